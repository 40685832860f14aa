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

from wigeonarch_entry.attempts import NO_ENDPOINT_RETRY, Mishap, Progress
from wigeonarch_entry.engines import Broken, Chunk, Engines, Generation
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.requests import Request, Show

# For how many times the silence bound a stream is resumed without one new chunk.
PATIENCE: Final = 3
PAUSE_LEAST: Final = 0.02
PAUSE_MOST: Final = 0.5
_RESUMABLE: Final = frozenset({Event.LOST, Event.SILENT})
_ENDED: Final[dict[str, tuple[Event, Reason]]] = {
    # The engine cancels a generation at its deadline, a moment before this instance may notice.
    "cancelled": (Event.DEADLINE, Reason.DEADLINE),
}
_FAILED: Final = (Event.ERROR, Reason.ENDPOINT_ERROR)


@dataclass(slots=True)
class _Tally:
    """The part of an answer that has come."""

    texts: list[str] = field(default_factory=list)
    tokens: int = 0
    next_seq: int = 0
    finish: str = ""


class Reading:
    """The reading of one dispatch's answer."""

    __slots__ = ("_engines", "_journal", "_metrics", "_progress", "_req", "_rng", "_show", "_tally")

    def __init__(
        self,
        engines: Engines,
        journal: Journal,
        metrics: Metrics,
        req: Request,
        progress: Progress,
        show: Show | None,
        rng: random.Random,
    ) -> None:
        self._engines = engines
        self._journal = journal
        self._metrics = metrics
        self._req = req
        self._progress = progress
        self._show = show
        self._rng = rng
        self._tally = _Tally()

    async def run(
        self, address: str, gen: Generation, timing: Timing, usable: Callable[[], bool]
    ) -> Outcome | Mishap:
        """Starts a generation, while its grant is `usable`, and reads its answer."""
        stream = self._engines.generate(
            address, gen, timing.first_token_timeout, timing.token_timeout, usable
        )
        broken = await self._drain(stream)
        if broken is not None and broken.event is Event.CONNECT_FAILED:
            return Mishap(Phase.QUEUED, broken.event, broken.reason, NO_ENDPOINT_RETRY)
        cause = broken
        if broken is not None:
            broken = await self._resume(broken, address, gen, timing.token_timeout)
        if cause is None or broken is None:
            return self._whole()
        # What a failed resume says about itself says nothing about whether the request ran.
        told = broken if broken.event is Event.MISMATCH else cause
        phase = Phase.RUNNING if self._tally.next_seq else Phase.SENT
        return Mishap(phase, told.event, told.reason, NO_ENDPOINT_RETRY)

    async def _resume(
        self, broken: Broken, address: str, gen: Generation, silence: float
    ) -> Broken | None:
        """Resumes a broken stream until it ends well, or no chunk comes for too long."""
        latest: Broken | None = broken
        fruitless = 0
        until = monotonic() + PATIENCE * silence
        while latest is not None and self._may_resume(latest) and monotonic() < until:
            begun = self._tally.next_seq
            self._metrics.resumes.labels(latest.reason).inc()
            self._journal.note(self._req.id, "resume", latest.reason, f"from {begun}")
            latest = await self._drain(self._engines.resume(address, gen, begun, silence))
            if self._tally.next_seq > begun:
                fruitless = 0
                until = monotonic() + PATIENCE * silence
                continue
            fruitless += 1
            await asyncio.sleep(full_jitter(fruitless, PAUSE_LEAST, PAUSE_MOST, self._rng))
        return latest

    def _may_resume(self, broken: Broken) -> bool:
        if broken.event is Event.CONNECT_FAILED:
            return self._progress.shown or not self._req.idempotent
        return broken.event in _RESUMABLE

    async def _drain(self, stream: AsyncIterator[Chunk | Broken]) -> Broken | None:
        """Reads one stream to its end; returns how it broke, if it did."""
        tally = self._tally
        last = self._req.received
        async for item in stream:
            if isinstance(item, Broken):
                return item
            now = monotonic()
            timer = self._metrics.between_tokens if tally.next_seq else self._metrics.first_token
            timer.observe(now - last)
            last = now
            tally.next_seq = item.seq + 1
            tally.tokens += item.tokens
            tally.texts.append(item.text)
            tally.finish = item.finish
            if self._show is not None and item.text:
                self._progress.shown = True
                await self._show(item.text)
        return None

    def _whole(self) -> Outcome | Mishap:
        tally = self._tally
        if tally.finish in ("stop", "length"):
            return Answered("".join(tally.texts), tally.tokens, tally.finish)
        event, reason = _ENDED.get(tally.finish, _FAILED)
        return Mishap(Phase.RUNNING, event, reason)
