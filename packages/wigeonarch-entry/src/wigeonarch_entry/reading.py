"""Reads the answer to one dispatch whole, over as many streams as that takes.

A stream that breaks or goes silent is resumed on a new connection from the first chunk that is
missing. That goes on for as long as chunks come now and then: a reset connection can lose what had
arrived, so a resume that brings nothing says little. A request that could be run afresh elsewhere
does not wait for an engine that takes no connections; one that could not does.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.lifecycle import Event, Phase
from wigeonarch_core.options import Timing
from wigeonarch_core.outcomes import Answered, Outcome, Reason
from wigeonarch_core.retry import full_jitter
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.attempts import NO_ENDPOINT_RETRY, FailedAttempt, Progress
from wigeonarch_entry.engines import Chunk, EngineClient, Generation, StreamBroken
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.requests import Request, SendText

# For how many times the silence bound a stream is resumed without one new chunk.
RESUME_WINDOW_FACTOR: Final = 3
MIN_RESUME_PAUSE: Final = 0.02
MAX_RESUME_PAUSE: Final = 0.5
_RESUMABLE: Final = frozenset({Event.LOST, Event.SILENT})
_FINISH_FAILURES: Final[dict[str, tuple[Event, Reason]]] = {
    # The engine cancels a generation at its deadline, a moment before this instance may notice.
    "cancelled": (Event.DEADLINE, Reason.DEADLINE),
}
_OTHER_FAILURE: Final = (Event.ERROR, Reason.ENDPOINT_ERROR)


@dataclass(slots=True)
class _PartialAnswer:
    """The part of an answer that has come."""

    texts: list[str] = field(default_factory=list)
    tokens: int = 0
    next_seq: int = 0
    finish: str = ""


class AnswerReader:
    """The reading of one dispatch's answer."""

    __slots__ = (
        "_answer",
        "_engines",
        "_journal",
        "_metrics",
        "_progress",
        "_req",
        "_rng",
        "_send_text",
    )

    def __init__(
        self,
        engines: EngineClient,
        journal: Journal,
        metrics: Metrics,
        req: Request,
        progress: Progress,
        show: SendText | None,
        rng: random.Random,
    ) -> None:
        self._engines = engines
        self._journal = journal
        self._metrics = metrics
        self._req = req
        self._progress = progress
        self._send_text = show
        self._rng = rng
        self._answer = _PartialAnswer()

    async def run(
        self, address: str, gen: Generation, timing: Timing, usable: Callable[[], bool]
    ) -> Outcome | FailedAttempt:
        """Starts a generation, while its grant is `usable`, and reads its answer."""
        stream = self._engines.generate(
            address, gen, timing.first_token_timeout, timing.token_timeout, usable
        )
        broken = await self._read_stream(stream)
        if broken is not None and broken.event is Event.CONNECT_FAILED:
            return FailedAttempt(Phase.QUEUED, broken.event, broken.reason, NO_ENDPOINT_RETRY)
        cause = broken
        if broken is not None:
            broken = await self._resume(broken, address, gen, timing.token_timeout)
        if cause is None or broken is None:
            return self._outcome()
        # What a failed resume says about itself says nothing about whether the request ran.
        told = broken if broken.event is Event.MISMATCH else cause
        phase = Phase.RUNNING if self._answer.next_seq else Phase.SENT
        return FailedAttempt(phase, told.event, told.reason, NO_ENDPOINT_RETRY)

    async def _resume(
        self, broken: StreamBroken, address: str, gen: Generation, silence: float
    ) -> StreamBroken | None:
        """Resumes a broken stream until it ends well, or no chunk comes for too long."""
        latest: StreamBroken | None = broken
        fruitless = 0
        until = monotonic() + RESUME_WINDOW_FACTOR * silence
        while latest is not None and self._may_resume(latest) and monotonic() < until:
            begun = self._answer.next_seq
            self._metrics.resumes.labels(latest.reason).inc()
            self._journal.note(self._req.id, "resume", latest.reason, f"from {begun}")
            latest = await self._read_stream(self._engines.resume(address, gen, begun, silence))
            if self._answer.next_seq > begun:
                fruitless = 0
                until = monotonic() + RESUME_WINDOW_FACTOR * silence
                continue
            fruitless += 1
            await asyncio.sleep(
                full_jitter(fruitless, MIN_RESUME_PAUSE, MAX_RESUME_PAUSE, self._rng)
            )
        return latest

    def _may_resume(self, broken: StreamBroken) -> bool:
        if broken.event is Event.CONNECT_FAILED:
            return self._progress.streamed or not self._req.idempotent
        return broken.event in _RESUMABLE

    async def _read_stream(
        self, stream: AsyncIterator[Chunk | StreamBroken]
    ) -> StreamBroken | None:
        """Reads one stream to its end; returns how it broke, if it did."""
        tally = self._answer
        last = self._req.received
        async for item in stream:
            if isinstance(item, StreamBroken):
                return item
            now = monotonic()
            timer = self._metrics.between_tokens if tally.next_seq else self._metrics.first_token
            timer.observe(now - last)
            last = now
            tally.next_seq = item.seq + 1
            tally.tokens += item.tokens
            tally.texts.append(item.text)
            tally.finish = item.finish
            if self._send_text is not None and item.text:
                self._progress.streamed = True
                await self._send_text(item.text)
        return None

    def _outcome(self) -> Outcome | FailedAttempt:
        tally = self._answer
        if tally.finish in ("stop", "length"):
            return Answered("".join(tally.texts), tally.tokens, tally.finish)
        event, reason = _FINISH_FAILURES.get(tally.finish, _OTHER_FAILURE)
        return FailedAttempt(Phase.RUNNING, event, reason)
