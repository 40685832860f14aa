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
from wigeonarch_core.lifecycle import combine_outcomes, disposition_of, may_retry, outcome_of
from wigeonarch_core.options import Options
from wigeonarch_core.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from wigeonarch_core.retry import MAX_PAUSE, MIN_PAUSE, RetryBudget, full_jitter
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.attempts import NO_ENDPOINT_RETRY, FailedAttempt, Progress
from wigeonarch_entry.calling import ServiceCallAttempts
from wigeonarch_entry.endpoints import EndpointSelector
from wigeonarch_entry.engines import EngineClient
from wigeonarch_entry.generating import GenerationAttempts
from wigeonarch_entry.grantrequester import GrantRequester
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.keys import IdempotencyKeys, KeyHold
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.requests import Generate, Request, SendText
from wigeonarch_entry.services import ServiceClient


class Dispatcher:
    """Runs the requests of this instance."""

    __slots__ = (
        "_admission",
        "_detached",
        "_generations",
        "_idle",
        "_journal",
        "_keys",
        "_metrics",
        "_opts",
        "_retry_budget",
        "_rng",
        "_service_calls",
    )

    def __init__(
        self,
        opts: Options,
        fleet: Fleet,
        grants: GrantRequester,
        engines: EngineClient,
        services: ServiceClient,
        keys: IdempotencyKeys,
        journal: Journal,
        metrics: Metrics,
    ) -> None:
        self._opts = opts
        self._keys = keys
        self._journal = journal
        self._metrics = metrics
        self._admission = Admission(opts.limits.requests)
        self._retry_budget = RetryBudget(opts.limits.retry_share)
        self._rng = random.Random()
        endpoints = EndpointSelector(fleet, self._rng)
        self._generations = GenerationAttempts(
            opts, fleet, endpoints, grants, engines, journal, metrics, self._rng
        )
        self._service_calls = ServiceCallAttempts(
            opts.zone, endpoints, services, journal, self._rng
        )
        self._detached: set[asyncio.Task[Outcome]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._admission.in_progress

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        await self._idle.wait()

    async def run(self, req: Request, show: SendText | None = None) -> Outcome:
        """Runs a request to its one outcome, as `_counted` does.

        A non-idempotent request goes on when its caller is cut off, so that its key's record gets
        the answer and a repetition is told it.
        """
        if req.idempotent:
            return await self._run_recorded(req, show)
        task = asyncio.create_task(self._run_recorded(req, show and _until_disconnected(show)))
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return await asyncio.shield(task)

    async def _run_recorded(self, req: Request, show: SendText | None) -> Outcome:
        """Runs a request to its one outcome.

        Args:
            req: The request.
            show: Called with each piece of text as it comes, if the caller wants a stream.

        Returns:
            The outcome; it is also counted, logged and remembered.
        """
        refused = self._admission.try_admit(req.caller)
        if refused is not None:
            outcome: Outcome = NotRun(refused, NO_ENDPOINT_RETRY)
            self._journal.open(req.id, req.received)
            self._record_outcome(req, outcome)
            return outcome
        self._idle.clear()
        self._metrics.requests_in_progress.set(self.in_progress)
        self._journal.open(req.id, req.received)
        outcome = Unknown(Reason.CANCELLED)
        try:
            outcome = await self._run_admitted(req, show)
            return outcome
        finally:
            self._admission.release(req.caller)
            self._metrics.requests_in_progress.set(self.in_progress)
            if self.in_progress == 0:
                self._idle.set()
            self._record_outcome(req, outcome)

    async def _run_admitted(self, req: Request, show: SendText | None) -> Outcome:
        self._retry_budget.record_request(req.service)
        if req.idempotent:
            return await self._run_attempts(req, show)
        hold = await self._keys.acquire(req)
        if not isinstance(hold, KeyHold):
            self._journal.note(req.id, "idempotency", detail="answered from the key's record")
            return hold
        self._journal.note(req.id, "idempotency", detail="key recorded")
        if self._keys.may_dispatch(hold, req):
            outcome = await self._run_attempts(req, show)
        else:
            # Paused for long between the record and here.
            outcome = NotRun(Reason.DEADLINE)
        await self._keys.complete(hold, req, outcome)
        return outcome

    async def _run_attempts(self, req: Request, show: SendText | None) -> Outcome:
        progress = Progress()
        while True:
            if isinstance(req.work, Generate):
                ended = await self._generations.run(req, req.work, progress, show)
            else:
                ended = await self._service_calls.run(req, req.work, progress)
            if not isinstance(ended, FailedAttempt):
                return ended
            rule = disposition_of(ended.phase, ended.event)
            told = outcome_of(rule, ended.reason, ended.retry_after)
            progress.outcome = combine_outcomes(progress.outcome, told)
            again = may_retry(rule, ended.reason, req.idempotent, progress.streamed)
            if not again or not self._spend_retry(req, progress):
                return progress.outcome
            progress.retries += 1
            self._metrics.retries.labels(ended.reason).inc()
            self._journal.note(req.id, "retry", ended.reason, f"after {ended.event.value}")
            await asyncio.sleep(self._retry_pause(req, progress))

    def _spend_retry(self, req: Request, progress: Progress) -> bool:
        if progress.retries >= self._opts.limits.retries or monotonic() >= req.deadline:
            return False
        if self._retry_budget.try_spend(req.service):
            return True
        self._metrics.retries_denied.inc()
        self._journal.note(req.id, "retry", Reason.RETRY_BUDGET, "not retried")
        return False

    def _retry_pause(self, req: Request, progress: Progress) -> float:
        """Returns the seconds to wait before a retry; the first one goes elsewhere at once."""
        if progress.retries == 1:
            return 0.0
        pause = full_jitter(progress.retries - 2, MIN_PAUSE, MAX_PAUSE, self._rng)
        return min(pause, max(0.0, req.deadline - monotonic()))

    # Ends -----------------------------------------------------------------------------------

    def _record_outcome(self, req: Request, outcome: Outcome) -> None:
        kind = type(outcome).__name__.lower()
        reason = "" if isinstance(outcome, Answered) else outcome.reason
        self._metrics.requests.labels(kind).inc()
        if isinstance(outcome, NotRun):
            self._metrics.refusals.labels(outcome.reason).inc()
        self._journal.set_outcome(req.id, outcome)
        self._journal.note(req.id, "outcome", reason, kind)
        spent_ms = (monotonic() - req.received) * MS_PER_SECOND
        log("request_ended", request=req.id, outcome=kind, reason=reason or "-", ms=spent_ms)


def _until_disconnected(show: SendText) -> SendText:
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
