"""Simulated engine behind the stand-in: sequences, decoding steps, orders, reports and record."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections import Counter, deque
from collections.abc import Iterable
from typing import Any, Final

import msgspec

from wigeonarch_fakes.engine_cache import PrefixCache, prefix_digest
from wigeonarch_fakes.engine_documents import (
    Chunk,
    DispatchRecord,
    Eviction,
    Faults,
    Generate,
    LoadedAdapter,
    Order,
    OrderRecord,
    Record,
    Report,
    Settings,
)
from wigeonarch_fakes.engine_slots import Slots

FINISHED_RETENTION_S: Final = 30.0
SWEEP_INTERVAL_S: Final = 1.0
SAMPLE_INTERVAL_S: Final = 0.05
MAX_SAMPLES: Final = 2000
FILL_WINDOW_STEPS: Final = 64


class Sequence:
    """One generation request with the chunks generated so far.

    Attributes:
        arrival: Number of the request, in the order of admission.
        deadline: Time of the monotonic clock at which it is cancelled; None for no deadline.
        ended_at: Time of the monotonic clock at which it ended; None while it waits or runs.
        lost: Whether a restart of the engine removed it.
        chunk_added: Set when a chunk is added, then replaced by a new event.
    """

    __slots__ = ("arrival", "chunk_added", "chunks", "deadline", "ended_at", "lost", "request")

    def __init__(self, request: Generate, arrival: int) -> None:
        now = time.monotonic()
        self.request = request
        self.arrival = arrival
        self.deadline = now + request.deadline_ms / 1000 if request.deadline_ms > 0 else None
        self.chunks: list[Chunk] = []
        self.ended_at: float | None = None
        self.lost = False
        self.chunk_added = asyncio.Event()

    def wake(self) -> None:
        """Wake the streams that wait for new chunks."""
        self.chunk_added.set()
        self.chunk_added = asyncio.Event()


class Engine:
    """State of the engine: slots, sequences, the step loop and the record."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.faults = Faults()
        self.record = Record()
        self.leaving = False
        self.highest_fence = 0
        self.sequences: dict[str, Sequence] = {}
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self._started = time.monotonic()
        self.slots = Slots(settings, lambda: self.faults, self.record.loads, self.now_ms)
        self._arrivals = 0
        self._work_added = asyncio.Event()
        self._samples: deque[tuple[float, Report]] = deque(maxlen=MAX_SAMPLES)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._start_incarnation()

    def start(self) -> None:
        """Start the background tasks, among them the step loop."""
        self.track_task(asyncio.create_task(self._step_forever()))
        self.track_task(asyncio.create_task(self._sweep_forever()))
        if self.settings.report_lag_ms > 0:
            self.track_task(asyncio.create_task(self._sample_forever()))

    async def stop(self) -> None:
        """Cancel all background tasks."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def track_task(self, task: asyncio.Task[Any]) -> None:
        """Keep a reference to a task until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def take_fault(self, *names: str) -> str:
        """Use up one occurrence of the first active fault in ``names``.

        Returns:
            The name of the fault, or an empty string if none is active.
        """
        for name in names:
            remaining: int = getattr(self.faults, name)
            if remaining > 0:
                setattr(self.faults, name, remaining - 1)
                return name
        return ""

    def now_ms(self) -> float:
        """Return the time since the engine started, in milliseconds."""
        return round((time.monotonic() - self._started) * 1000, 3)

    def restart(self) -> None:
        """Lose all slots, sequences and the cache, and start a new incarnation."""
        for sequence in self.sequences.values():
            if sequence.ended_at is None:
                self._record_finish(sequence, "lost")
            sequence.lost = True
            sequence.wake()
        self.slots.clear()
        self.sequences.clear()
        self.running.clear()
        self.waiting.clear()
        self.record.restarts += 1
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        self.incarnation = uuid.uuid4().hex[:12]
        self.step = 0
        self.leaving = False
        self.cache = PrefixCache(self.settings.prefix_entries, self.settings.event_lag_ms / 1000)
        self._recent_fills: deque[float] = deque(maxlen=FILL_WINDOW_STEPS)
        self._samples.clear()

    # Orders

    def accept_order(self, name: str, order: Order) -> bool:
        """Record an order; return whether its fencing token is accepted."""
        is_outdated = self.settings.checks_fence and order.fence < self.highest_fence
        self.highest_fence = max(self.highest_fence, order.fence)
        self.record.fence_refusals += is_outdated
        self.record.orders.append(
            OrderRecord(
                name, order.fence, order.adapter, order.version, not is_outdated, self.now_ms()
            )
        )
        return not is_outdated

    def evict(self, order: Order) -> bool:
        """Evict an adapter, even one in use; return whether it occupied a slot."""
        key = (order.adapter, order.version)
        if self.slots.free(order.adapter, order.version) is None:
            return False
        running = [seq for seq in self.running if _adapter_key(seq) == key]
        waiting = [seq for seq in self.waiting if _adapter_key(seq) == key]
        eviction = Eviction(
            order.adapter,
            order.version,
            order.fence,
            _dispatch_ids(running),
            _dispatch_ids(waiting),
            self.now_ms(),
        )
        self.record.evictions.append(eviction)
        if running:
            self.record.evicted_in_use.append(eviction)
        if waiting:
            self.record.evicted_while_waiting.append(eviction)
        for sequence in (*running, *waiting):
            self.finish(sequence, "error")
        return True

    # Sequences

    def refusal(self, request: Generate) -> tuple[int, str] | None:
        """Return the status and reason for refusing a request, or None to admit it."""
        checks: tuple[tuple[bool, int, str], ...] = (
            (request.dispatch in self.sequences, 409, "duplicate_dispatch"),
            (self.leaving, 503, "leaving"),
            (bool(self.faults.refuse), 503, "overloaded"),
            (not self.slots.is_loaded(request.adapter, request.version), 404, "not_loaded"),
        )
        for is_refused, status, reason in checks:
            if is_refused:
                self.record.refused[reason] = self.record.refused.get(reason, 0) + 1
                return status, reason
        return None

    def admit(self, request: Generate) -> Sequence:
        """Queue a request that was not refused."""
        self._arrivals += 1
        sequence = Sequence(request, self._arrivals)
        self.sequences[request.dispatch] = sequence
        self.waiting.append(sequence)
        self._work_added.set()
        return sequence

    def finish(self, sequence: Sequence, finish: str) -> None:
        """End a sequence early with an empty final chunk."""
        if sequence.ended_at is not None:
            return
        self._remove_from_queues(sequence)
        self._append_chunk(sequence, "", 0, finish)
        self._mark_ended(sequence, finish)

    def _remove_from_queues(self, sequence: Sequence) -> None:
        for queue in (self.running, self.waiting):
            if sequence in queue:
                queue.remove(sequence)

    def _append_chunk(self, sequence: Sequence, text: str, tokens: int, finish: str) -> None:
        request = sequence.request
        version = self.faults.echo_version or request.version
        chunk = Chunk(
            request.dispatch,
            len(sequence.chunks),
            text,
            tokens,
            request.adapter,
            version,
            bool(finish),
            finish,
        )
        sequence.chunks.append(chunk)
        sequence.wake()

    def _mark_ended(self, sequence: Sequence, finish: str) -> None:
        sequence.ended_at = time.monotonic()
        self._record_finish(sequence, finish)

    def _record_finish(self, sequence: Sequence, finish: str) -> None:
        record = self.record.dispatches.get(sequence.request.dispatch)
        if record is not None:
            record.finish = finish
            record.finished_ms = self.now_ms()
            record.tokens = sum(chunk.tokens for chunk in sequence.chunks)

    def _start_sequence(self, sequence: Sequence) -> bool:
        """Add a sequence to the batch; return whether its prefix was cached."""
        request = sequence.request
        record = self.record.dispatches.setdefault(
            request.dispatch, DispatchRecord(request.dispatch, request.adapter, request.version)
        )
        record.times_begun += 1
        record.begun_ms = self.now_ms()
        self.running.append(sequence)
        is_hit = self.cache.touch(prefix_digest(request.prompt))
        self.record.prefix_hits += is_hit
        self.record.prefix_misses += not is_hit
        return is_hit

    # Steps

    async def _step_forever(self) -> None:
        while True:
            self._cancel_expired()
            misses = self._fill_batch()
            if not self.running:
                self._work_added.clear()
                await self._work_added.wait()
                continue
            batch = list(self.running)
            await asyncio.sleep(self._step_duration_s(batch, misses))
            self._emit_tokens(batch)

    def _cancel_expired(self) -> None:
        now = time.monotonic()
        for sequence in (*self.running, *self.waiting):
            if sequence.deadline is not None and sequence.deadline <= now:
                self.finish(sequence, "cancelled")

    def _fill_batch(self) -> int:
        self.waiting.sort(key=lambda sequence: (-sequence.request.priority, sequence.arrival))
        misses = 0
        while self.waiting and len(self.running) < self.settings.max_batch:
            misses += not self._start_sequence(self.waiting.pop(0))
        return misses

    def _step_duration_s(self, batch: list[Sequence], misses: int) -> float:
        settings = self.settings
        adapters = len({_adapter_key(sequence) for sequence in batch})
        step_ms = settings.base_ms + settings.per_sequence_ms * len(batch)
        step_ms += settings.per_adapter_ms * adapters + settings.prefill_ms * misses
        return step_ms / 1000

    def _emit_tokens(self, batch: list[Sequence]) -> None:
        self.step += 1
        self.record.steps += 1
        self.record.batch_places += len(batch)
        self.record.max_batch_seen = max(self.record.max_batch_seen, len(batch))
        self._recent_fills.append(len(batch) / self.settings.max_batch)
        for sequence in batch:
            if sequence.ended_at is None and not sequence.lost:
                self._emit_token(sequence)

    def _emit_token(self, sequence: Sequence) -> None:
        request = sequence.request
        index = len(sequence.chunks)
        finish = "length" if index + 1 >= request.max_tokens else ""
        self._append_chunk(sequence, f"{request.adapter}@{request.version}#{index} ", 1, finish)
        if finish:
            self._remove_from_queues(sequence)
            self._mark_ended(sequence, finish)

    async def _sweep_forever(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            until = time.monotonic() - FINISHED_RETENTION_S
            for dispatch, sequence in list(self.sequences.items()):
                if sequence.ended_at is not None and sequence.ended_at < until:
                    del self.sequences[dispatch]

    # Reports

    def report(self) -> Report:
        """Return the report as callers see it, delayed by the configured report lag."""
        if not self._samples:
            return self._current_report()
        now = time.monotonic()
        until = now - self.settings.report_lag_ms / 1000
        sampled_at, report = self._samples[0]
        for candidate_at, candidate in reversed(self._samples):
            if candidate_at <= until:
                sampled_at, report = candidate_at, candidate
                break
        return msgspec.structs.replace(report, age_ms=round((now - sampled_at) * 1000, 3))

    def _current_report(self) -> Report:
        running = Counter(_adapter_key(sequence) for sequence in self.running)
        loaded = [
            LoadedAdapter(
                slot.adapter,
                slot.version,
                running[key],
                "loaded" if slot.loading is None else "loading",
            )
            for key, slot in self.slots.occupied.items()
        ]
        fill = sum(self._recent_fills) / len(self._recent_fills) if self._recent_fills else 0.0
        return Report(
            self.incarnation,
            0,
            "leaving" if self.leaving else "live",
            self.settings.slots,
            self.settings.max_batch,
            len(self.running),
            len(self.waiting),
            self.step,
            round(fill, 4),
            loaded,
        )

    async def _sample_forever(self) -> None:
        keep_s = self.settings.report_lag_ms / 1000 + 2 * SAMPLE_INTERVAL_S
        while True:
            now = time.monotonic()
            self._samples.append((now, self._current_report()))
            while self._samples[0][0] < now - keep_s:
                self._samples.popleft()
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _adapter_key(sequence: Sequence) -> tuple[str, str]:
    return sequence.request.adapter, sequence.request.version


def _dispatch_ids(sequences: Iterable[Sequence]) -> list[str]:
    return [sequence.request.dispatch for sequence in sequences]
