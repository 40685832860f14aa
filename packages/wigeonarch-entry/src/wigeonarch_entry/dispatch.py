"""Runs requests: admission, idempotency, the choice of an endpoint, retries and the outcome.

Whether something may be retried, and what a caller is told, is decided by the state table in
`wigeonarch_core.lifecycle` alone; this module finds out what happened and carries the ruling out.
"""

from __future__ import annotations

import asyncio
import random

from wigeonarch_core.admission import Admission
from wigeonarch_core.engine_report import MS_PER_SECOND
from wigeonarch_core.fleet import Fleet
from wigeonarch_core.lifecycle import may_retry, outcome_of, ruling, told_after
from wigeonarch_core.options import Options
from wigeonarch_core.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from wigeonarch_core.retry import PAUSE_LEAST, PAUSE_MOST, RetryBudget, full_jitter
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.attempts import NO_ENDPOINT_RETRY, Mishap, Progress
from wigeonarch_entry.calling import Calling
from wigeonarch_entry.endpoints import Endpoints
from wigeonarch_entry.engines import Engines
from wigeonarch_entry.generating import Generating
from wigeonarch_entry.grants import Grants
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.keys import Hold, Keys
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.requests import Generate, Request, Show
from wigeonarch_entry.services import Services


class Dispatcher:
    """Runs the requests of this instance."""

    __slots__ = (
        "_admission",
        "_budget",
        "_calling",
        "_detached",
        "_generating",
        "_idle",
        "_journal",
        "_keys",
        "_metrics",
        "_opts",
        "_rng",
    )

    def __init__(
        self,
        opts: Options,
        fleet: Fleet,
        grants: Grants,
        engines: Engines,
        services: Services,
        keys: Keys,
        journal: Journal,
        metrics: Metrics,
    ) -> None:
        self._opts = opts
        self._keys = keys
        self._journal = journal
        self._metrics = metrics
        self._admission = Admission(opts.limits.requests)
        self._budget = RetryBudget(opts.limits.retry_share)
        self._rng = random.Random()
        endpoints = Endpoints(fleet, self._rng)
        self._generating = Generating(
            opts, fleet, endpoints, grants, engines, journal, metrics, self._rng
        )
        self._calling = Calling(opts.zone, endpoints, services, journal, self._rng)
        self._detached: set[asyncio.Task[Outcome]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._admission.taken

    async def idle(self) -> None:
        """Waits until no request is in progress."""
        await self._idle.wait()

    async def run(self, req: Request, show: Show | None = None) -> Outcome:
        """Runs a request to its one outcome, as `_counted` does.

        A non-idempotent request goes on when its caller is cut off, so that its key's record gets
        the answer and a repetition is told it.
        """
        if req.idempotent:
            return await self._counted(req, show)
        task = asyncio.create_task(self._counted(req, show and _until_broken(show)))
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return await asyncio.shield(task)

    async def _counted(self, req: Request, show: Show | None) -> Outcome:
        """Runs a request to its one outcome.

        Args:
            req: The request.
            show: Called with each piece of text as it comes, if the caller wants a stream.

        Returns:
            The outcome; it is also counted, logged and remembered.
        """
        refused = self._admission.enter(req.caller)
        if refused is not None:
            outcome: Outcome = NotRun(refused, NO_ENDPOINT_RETRY)
            self._journal.open(req.id, req.received)
            self._end(req, outcome)
            return outcome
        self._idle.clear()
        self._metrics.in_progress.set(self.in_progress)
        self._journal.open(req.id, req.received)
        outcome = Unknown(Reason.CANCELLED)
        try:
            outcome = await self._run(req, show)
            return outcome
        finally:
            self._admission.leave(req.caller)
            self._metrics.in_progress.set(self.in_progress)
            if self.in_progress == 0:
                self._idle.set()
            self._end(req, outcome)

    async def _run(self, req: Request, show: Show | None) -> Outcome:
        self._budget.fresh(req.service)
        if req.idempotent:
            return await self._attempts(req, show)
        hold = await self._keys.hold(req)
        if not isinstance(hold, Hold):
            self._journal.note(req.id, "idempotency", detail="answered from the key's record")
            return hold
        self._journal.note(req.id, "idempotency", detail="key recorded")
        if self._keys.may_dispatch(hold, req):
            outcome = await self._attempts(req, show)
        else:
            # Paused for long between the record and here.
            outcome = NotRun(Reason.DEADLINE)
        await self._keys.settle(hold, req, outcome)
        return outcome

    async def _attempts(self, req: Request, show: Show | None) -> Outcome:
        progress = Progress()
        while True:
            if isinstance(req.work, Generate):
                ended = await self._generating.attempt(req, req.work, progress, show)
            else:
                ended = await self._calling.attempt(req, req.work, progress)
            if not isinstance(ended, Mishap):
                return ended
            rule = ruling(ended.phase, ended.event)
            told = outcome_of(rule, ended.reason, ended.retry_after)
            progress.told = told_after(progress.told, told)
            again = may_retry(rule, ended.reason, req.idempotent, progress.shown)
            if not again or not self._may_spend_retry(req, progress):
                return progress.told
            progress.retries += 1
            self._metrics.retries.labels(ended.reason).inc()
            self._journal.note(req.id, "retry", ended.reason, f"after {ended.event.value}")
            await asyncio.sleep(self._pause(req, progress))

    def _may_spend_retry(self, req: Request, progress: Progress) -> bool:
        if progress.retries >= self._opts.limits.retries or monotonic() >= req.deadline:
            return False
        if self._budget.spend(req.service):
            return True
        self._metrics.retries_denied.inc()
        self._journal.note(req.id, "retry", Reason.RETRY_BUDGET, "not retried")
        return False

    def _pause(self, req: Request, progress: Progress) -> float:
        """Returns the seconds to wait before a retry; the first one goes elsewhere at once."""
        if progress.retries == 1:
            return 0.0
        pause = full_jitter(progress.retries - 2, PAUSE_LEAST, PAUSE_MOST, self._rng)
        return min(pause, max(0.0, req.deadline - monotonic()))

    # Ends -----------------------------------------------------------------------------------

    def _end(self, req: Request, outcome: Outcome) -> None:
        kind = type(outcome).__name__.lower()
        reason = "" if isinstance(outcome, Answered) else outcome.reason
        self._metrics.requests.labels(kind).inc()
        if isinstance(outcome, NotRun):
            self._metrics.refusals.labels(outcome.reason).inc()
        self._journal.close(req.id, outcome)
        self._journal.note(req.id, "outcome", reason, kind)
        spent_ms = (monotonic() - req.received) * MS_PER_SECOND
        log("request_ended", request=req.id, outcome=kind, reason=reason or "-", ms=spent_ms)


def _until_broken(show: Show) -> Show:
    """Returns `show` for a request that goes on when its caller no longer takes the answer."""
    broken = False

    async def guarded(text: str) -> None:
        nonlocal broken
        if broken:
            return
        try:
            await show(text)
        except ConnectionError:
            broken = True

    return guarded
