"""Reads the complete answer to one dispatch, over as many streams as necessary.

A stream that breaks or goes silent is resumed on a new connection, from the first missing chunk. It
is resumed for as long as new chunks arrive from time to time: a reset connection can lose data that
had already arrived, so a resume without a new chunk does not mean that the engine has stopped.

If the engine accepts no connection, a request that may run again elsewhere is not resumed; one that
may not, or whose answer has been streamed in part, is.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.lifecycle import UNSENT_EVENTS, Event, Phase
from wigeonarch_core.options import Timing
from wigeonarch_core.outcomes import Answered, Outcome, Reason
from wigeonarch_core.retry import full_jitter
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.attempts import NO_ENDPOINT_RETRY, FailedAttempt, Progress
from wigeonarch_entry.engines import Chunk, EngineClient, Generation, StreamBroken
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.requests import Request, SendText

# A stream is resumed until no new chunk has come for this many times the token timeout.
RESUME_WINDOW_FACTOR: Final = 3
MIN_RESUME_PAUSE: Final = 0.02
MAX_RESUME_PAUSE: Final = 0.5
_RESUMABLE: Final = frozenset({Event.LOST, Event.SILENT})
_FINISH_FAILURES: Final[dict[str, tuple[Event, Reason]]] = {
    # An engine cancels a generation at its deadline, perhaps before this instance notices it.
    "cancelled": (Event.DEADLINE, Reason.DEADLINE),
}
_OTHER_FAILURE: Final = (Event.ERROR, Reason.ENDPOINT_ERROR)


@dataclass(slots=True)
class _PartialAnswer:
    """The part of an answer that has arrived."""

    texts: list[str] = field(default_factory=list)
    tokens: int = 0
    next_seq: int = 0
    finish: str = ""


class AnswerReader:
    """Reads the answer to one dispatch."""

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
        self, address: str, gen: Generation, timing: Timing, may_send: Callable[[], bool]
    ) -> Outcome | FailedAttempt:
        """Starts a generation and reads its answer.

        Args:
            address: `IP:PORT` of the engine.
            gen: The generation.
            timing: Timeouts.
            may_send: Called right before the request is sent; if it returns False, as when its
                grant has expired, nothing is sent.

        Returns:
            The outcome, or the failure that ended the attempt.
        """
        stream = self._engines.generate(
            address, gen, timing.first_token_timeout, timing.token_timeout, may_send
        )
        last_break = await self._read_stream(stream)
        if last_break is not None and last_break.event in UNSENT_EVENTS:
            return FailedAttempt(
                Phase.QUEUED, last_break.event, last_break.reason, NO_ENDPOINT_RETRY
            )
        first_break = last_break
        if last_break is not None:
            last_break = await self._resume(last_break, address, gen, timing.token_timeout)
        if first_break is None or last_break is None:
            return self._outcome()
        # How a resume failed does not tell whether the request ran, so the first break counts. The
        # exception is a mismatch: it means that another adapter version answered.
        reported = last_break if last_break.event is Event.MISMATCH else first_break
        phase = Phase.RUNNING if self._answer.next_seq else Phase.SENT
        return FailedAttempt(phase, reported.event, reported.reason, NO_ENDPOINT_RETRY)

    async def _resume(
        self, broken: StreamBroken, address: str, gen: Generation, token_timeout: float
    ) -> StreamBroken | None:
        """Resumes a broken stream until it is complete or no new chunk has come for too long.

        Returns:
            None if the stream is complete, otherwise its last break.
        """
        latest: StreamBroken | None = broken
        fruitless = 0
        until = monotonic() + RESUME_WINDOW_FACTOR * token_timeout
        while latest is not None and self._may_resume(latest) and monotonic() < until:
            next_seq = self._answer.next_seq
            self._metrics.resumes.labels(latest.reason).inc()
            self._journal.note(self._req.id, "resume", latest.reason, f"from {next_seq}")
            latest = await self._read_stream(
                self._engines.resume(address, gen, next_seq, token_timeout)
            )
            if self._answer.next_seq > next_seq:
                fruitless = 0
                until = monotonic() + RESUME_WINDOW_FACTOR * token_timeout
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
        """Reads one stream to its end; returns how it broke, or None if it is complete."""
        answer = self._answer
        last_time = self._req.received
        async for item in stream:
            if isinstance(item, StreamBroken):
                return item
            now = monotonic()
            timer = self._metrics.between_tokens if answer.next_seq else self._metrics.first_token
            timer.observe(now - last_time)
            last_time = now
            answer.next_seq = item.seq + 1
            answer.tokens += item.tokens
            answer.texts.append(item.text)
            answer.finish = item.finish
            if self._send_text is not None and item.text:
                self._progress.streamed = True
                await self._send_text(item.text)
        return None

    def _outcome(self) -> Outcome | FailedAttempt:
        answer = self._answer
        if answer.finish in ("stop", "length"):
            return Answered("".join(answer.texts), answer.tokens, answer.finish)
        event, reason = _FINISH_FAILURES.get(answer.finish, _OTHER_FAILURE)
        return FailedAttempt(Phase.RUNNING, event, reason)
