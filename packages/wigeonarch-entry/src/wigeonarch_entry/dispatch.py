"""Runs requests: admission, idempotency, the choice of an endpoint, retries and the outcome.

Whether a request may be retried, and which outcome its caller gets, is decided only by the state
table in `wigeonarch_core.lifecycle`; this module looks up each event in it and acts on the result.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

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
        reaches_platform: Callable[[float], bool],
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
            opts,
            fleet,
            endpoints,
            grants,
            engines,
            journal,
            metrics,
            self._rng,
            reaches_platform,
        )
        self._service_calls = ServiceCallAttempts(
            opts.zone, endpoints, services, journal, self._rng
        )
        self._detached: set[asyncio.Task[Outcome]] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_progress(self) -> int:
        """Number of admitted requests that have not ended."""
        return self._admission.in_progress

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        await self._idle.wait()

    async def run(self, req: Request, send_text: SendText | None = None) -> Outcome:
        """Runs a request to its one outcome; see `_run_recorded` for the arguments.

        A non-idempotent request continues when its caller disconnects, so that its answer is stored
        under its idempotency key and a repetition of the request receives it.
        """
        if req.idempotent:
            return await self._run_recorded(req, send_text)
        task = asyncio.create_task(
            self._run_recorded(req, send_text and _until_disconnected(send_text))
        )
        self._detached.add(task)
        task.add_done_callback(self._detached.discard)
        return await asyncio.shield(task)

    async def _run_recorded(self, req: Request, send_text: SendText | None) -> Outcome:
        """Admits and runs a request to its one outcome.

        Args:
            req: The request.
            send_text: Called with each piece of text as it arrives, if the caller wants a stream.

        Returns:
            The outcome, which is also counted, logged and added to the journal.
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
            outcome = await self._run_admitted(req, send_text)
            return outcome
        finally:
            self._admission.release(req.caller)
            self._metrics.requests_in_progress.set(self.in_progress)
            if self.in_progress == 0:
                self._idle.set()
            self._record_outcome(req, outcome)

    async def _run_admitted(self, req: Request, send_text: SendText | None) -> Outcome:
        self._retry_budget.record_request(req.service)
        if req.idempotent:
            return await self._run_attempts(req, send_text)
        held_key = await self._keys.acquire(req)
        if not isinstance(held_key, KeyHold):
            self._journal.note(req.id, "idempotency", detail="answered from the key's record")
            return held_key
        self._journal.note(req.id, "idempotency", detail="key recorded")
        if self._keys.may_dispatch(held_key, req):
            outcome = await self._run_attempts(req, send_text)
        else:
            # The process was paused for too long after it had taken the key.
            outcome = NotRun(Reason.DEADLINE)
        await self._keys.complete(held_key, req, outcome)
        return outcome

    async def _run_attempts(self, req: Request, send_text: SendText | None) -> Outcome:
        progress = Progress()
        while True:
            if isinstance(req.work, Generate):
                result = await self._generations.run(req, req.work, progress, send_text)
            else:
                result = await self._service_calls.run(req, req.work, progress)
            if not isinstance(result, FailedAttempt):
                return result
            progress.attempts += 1
            disposition = disposition_of(result.phase, result.event)
            outcome = outcome_of(disposition, result.reason, result.retry_after)
            progress.outcome = combine_outcomes(progress.outcome, outcome)
            if result.reason is Reason.NO_OWNER and await self._generations.wait_for_owner(
                req, progress
            ):
                self._journal.note(req.id, "retry", result.reason, "an owner can be asked again")
                continue
            retry = may_retry(disposition, result.reason, req.idempotent, progress.streamed)
            if not retry or not self._spend_retry(req, progress):
                return progress.outcome
            progress.retries += 1
            self._metrics.retries.labels(result.reason).inc()
            self._journal.note(req.id, "retry", result.reason, f"after {result.event.value}")
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
        """Returns the seconds to wait before a retry; the first retry is sent without a wait."""
        if progress.retries == 1:
            return 0.0
        pause = full_jitter(progress.retries - 2, MIN_PAUSE, MAX_PAUSE, self._rng)
        return min(pause, max(0.0, req.deadline - monotonic()))

    # Outcomes -------------------------------------------------------------------------------

    def _record_outcome(self, req: Request, outcome: Outcome) -> None:
        outcome_kind = type(outcome).__name__.lower()
        reason = "" if isinstance(outcome, Answered) else outcome.reason
        self._metrics.requests.labels(outcome_kind).inc()
        if isinstance(outcome, NotRun):
            self._metrics.refusals.labels(outcome.reason).inc()
        self._journal.set_outcome(req.id, outcome)
        self._journal.note(req.id, "outcome", reason, outcome_kind)
        duration_ms = (monotonic() - req.received) * MS_PER_SECOND
        log(
            "request_ended",
            request=req.id,
            outcome=outcome_kind,
            reason=reason or "-",
            ms=duration_ms,
        )


def _until_disconnected(send_text: SendText) -> SendText:
    """Wraps `send_text` so that it does nothing once the caller has disconnected.

    For a request that continues without its caller.
    """
    disconnected = False

    async def send_if_connected(text: str) -> None:
        nonlocal disconnected
        if disconnected:
            return
        try:
            await send_text(text)
        except ConnectionError:
            disconnected = True

    return send_if_connected
