"""Runs extra tries: a request whose answer is slow is sent to a second endpoint as well.

When and how many is decided by `core.extra_tries`. The first exchange goes on. The second one runs
on a twin of the request's job, which shares all that belongs to the request and has its own of what
belongs to one exchange. The first whole good answer, or the first that begins to be forwarded, goes
to the caller; the other exchange is ended by closing its connection. If one fails while the other
is open, the other decides. Both end with the task that serves the request: when the caller leaves,
or the deadline passes.

While the limit is 0, requests pass by without a task, timer or state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, replace
from typing import Any, Final

from wigeonarch_core.extra_tries import (
    AnswerTimes,
    Denial,
    ExtraTryLimit,
    Places,
    expected_time,
    judge_second,
    judge_service,
    plan,
)
from wigeonarch_core.retry_window import RetryWindow
from wigeonarch_core.routes import RouteKind
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.exchange_race import ExchangeRace, ExchangeTask
from wigeonarch_gateway.jobs import DispatchFailure, Job
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.options import ExtraTryOptions
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.selection import EndpointSelector
from wigeonarch_gateway.traffic import InFlightTracker

Dispatch = Callable[[Job, EndpointRecord], Coroutine[Any, Any, DispatchFailure | None]]

# Seconds for which a second endpoint is looked for: one that has to be waited for is not worth it.
SELECTION_TIME: Final = 0.02
CANCEL_TIMEOUT: Final = 0.1  # Seconds after which an exchange that did not end is cancelled again.
NEVER: Final = float("-inf")
# Failures of two exchanges, the deciding one last: what may have run must not be forgotten.
BY_SEVERITY: Final = (
    DispatchFailure.NOT_SENT,
    DispatchFailure.NOT_RUN,
    DispatchFailure.LACKS_ADAPTER,
    DispatchFailure.FAILED,
    DispatchFailure.SILENT,
    DispatchFailure.LOST,
)


@dataclass(slots=True)
class _Pair:
    """One request with its exchanges.

    Attributes:
        job: The request, with the state of its first exchange.
        record: Endpoint of the first exchange.
        times: How long answers of its service and route took.
        race: Tells which exchange answers.
        second: Task of the second exchange; None before it.
        twin: The request with the state of its second exchange; None before it.
        second_record: Endpoint of the second exchange; None before it.
    """

    job: Job
    record: EndpointRecord
    times: AnswerTimes
    race: ExchangeRace
    second: ExchangeTask | None = None
    twin: Job | None = None
    second_record: EndpointRecord | None = None

    @property
    def is_second_sent(self) -> bool:
        """Tells whether the request was sent to the second endpoint."""
        return self.twin is not None and self.twin.dispatched_at > 0.0

    def merge(self) -> None:
        """Takes over from the twin what belongs to the request."""
        job, twin = self.job, self.twin
        if twin is not None:
            job.dispatch_count = twin.dispatch_count = max(job.dispatch_count, twin.dispatch_count)
            job.failure_response = twin.failure_response or job.failure_response


class ExtraTries:
    """Sends requests of this instance to a second endpoint within the operators' limit."""

    __slots__ = (
        "_is_draining",
        "_limit",
        "_metrics",
        "_outcomes",
        "_ready",
        "_refused_at",
        "_retries",
        "_selector",
        "_times",
        "_traffic",
    )

    def __init__(
        self,
        opts: ExtraTryOptions,
        ready: Callable[[str], Sequence[EndpointRecord]],
        traffic: InFlightTracker,
        retries: RetryWindow,
        outcomes: DispatchOutcomes,
        metrics: Metrics,
        selector: EndpointSelector,
        is_draining: Callable[[], bool],
    ) -> None:
        """Creates the component; nothing is known of answer times at first.

        Args:
            opts: The operators' limit.
            ready: Returns the endpoints of a service that take requests.
            traffic: Requests in flight at each endpoint.
            retries: Retry budget, from which each extra try is taken too.
            outcomes: What dispatches showed of endpoints and requests.
            metrics: Counters.
            selector: Selects the second endpoint.
            is_draining: Tells whether this instance is shutting down.
        """
        self._limit = ExtraTryLimit(opts.share, opts.window)
        self._ready = ready
        self._traffic = traffic
        self._retries = retries
        self._outcomes = outcomes
        self._metrics = metrics
        self._selector = selector
        self._is_draining = is_draining
        self._times: dict[tuple[str, str], AnswerTimes] = {}
        self._refused_at: dict[str, float] = {}

    def set_options(self, opts: ExtraTryOptions) -> None:
        """Changes the limit; with 0, nothing is remembered."""
        self._limit.set_bounds(opts.share, opts.window)
        if not opts.share:
            self._times.clear()
            self._refused_at.clear()

    async def dispatch(
        self, job: Job, record: EndpointRecord, send: Dispatch
    ) -> DispatchFailure | None:
        """Sends a request to an endpoint, and to another one if the answer is slow.

        Args:
            job: The request.
            record: The endpoint.
            send: Sends a request to one endpoint and forwards the answer.

        Returns:
            The failure that decides what follows; None when the caller has its response.
        """
        if not self._limit.share:
            return await send(job, record)
        if _is_plain(job) and not job.from_peer and not job.dispatch_count:
            self._limit.record_request(job.service, monotonic())
        failure = await (
            self._dispatch_pair(job, record, send) if _may_race(job) else send(job, record)
        )
        if failure is DispatchFailure.NOT_RUN:
            self._note_refusal(job)
        return failure

    async def _dispatch_pair(
        self, job: Job, record: EndpointRecord, send: Dispatch
    ) -> DispatchFailure | None:
        times = self._times.setdefault((job.service, job.route.name), AnswerTimes())
        race = ExchangeRace(lambda is_good: self._note_claim(pair, is_good))
        pair = _Pair(job, record, times, race)
        job.race = race
        wait = self._plan(pair)
        try:
            if isinstance(wait, Denial):
                self._count_denial(wait)
                return await send(job, record)
            return await self._run(pair, send, wait)
        finally:
            job.race = None

    def _plan(self, pair: _Pair) -> float | Denial:
        """Returns after how many seconds an extra try is due."""
        now = monotonic()
        return plan(pair.times.summary(now), self._limit.share, _objective_left(pair.job, now))

    async def _run(self, pair: _Pair, send: Dispatch, wait: float) -> DispatchFailure | None:
        first = asyncio.create_task(send(pair.job, pair.record))
        pair.race.add(first)
        try:
            try:
                async with timeout_after(wait):
                    await asyncio.wait([first])
            except TimeoutError:
                self._begin_second(pair, send)
            return await self._decide(pair, first)
        finally:
            await _end(pair.race)
            pair.merge()
            self._record_end(pair)

    def _begin_second(self, pair: _Pair, send: Dispatch) -> None:
        denial = self._deny_at_once(pair)
        if denial is not None:
            self._count_denial(denial)
            return
        pair.job.avoided_endpoints.add(pair.record.endpoint)
        pair.twin = replace(pair.job, dispatched_at=0.0, writing_since=0.0)
        pair.second = asyncio.create_task(self._send_second(pair, pair.twin, send))
        pair.race.add(pair.second)

    def _deny_at_once(self, pair: _Pair) -> Denial | None:
        """Returns why no second endpoint is looked for; None if one is."""
        job, now = pair.job, monotonic()
        if self._is_draining():
            return Denial.DRAINING
        if pair.record.endpoint not in job.may_have_run_on or not job.may_repeat:
            return Denial.ATTEMPTS
        if self._outcomes.is_suspect(job):
            return Denial.SUSPECT
        summary = pair.times.summary(now)
        if summary is None:
            return Denial.UNKNOWN
        if summary.is_all_slow:
            return Denial.ALL_SLOW
        places = [
            Places(self._traffic.load_at(record.endpoint).running, record.slots)
            for record in self._ready(job.service)
        ]
        denial = judge_service(places, self._refused_at.get(job.service, NEVER), now)
        if denial is not None:
            return denial
        return self._limit_denial(job, now)

    def _limit_denial(self, job: Job, now: float) -> Denial | None:
        """Returns the limit that is used up, if any.

        Retries go first: extra tries leave at least as much of the retry budget as they use.
        """
        if self._limit.remaining(job.service, now) < 1.0:
            return Denial.LIMIT
        reserve = self._limit.spent(job.service, now)
        if self._retries.remaining(job.service, now) < 1.0 + reserve:
            return Denial.RETRY_BUDGET
        return None

    async def _send_second(self, pair: _Pair, twin: Job, send: Dispatch) -> DispatchFailure | None:
        """Sends a request to a second endpoint, if one can answer in time."""
        record = await self._select_second(twin)
        denial = self._deny_second(pair, record)
        if denial is not None or record is None:
            self._count_denial(denial or Denial.NO_ENDPOINT)
            return DispatchFailure.NOT_SENT
        pair.second_record = record
        return await send(twin, record)

    async def _select_second(self, twin: Job) -> EndpointRecord | None:
        try:
            async with asyncio.timeout(SELECTION_TIME):
                selected = await self._selector.select(twin)
        except TimeoutError:
            return None
        return selected if isinstance(selected, EndpointRecord) else None

    def _deny_second(self, pair: _Pair, record: EndpointRecord | None) -> Denial | None:
        """Returns why a second endpoint is not used; if it is, takes the try out of the limits."""
        job, now = pair.job, monotonic()
        if record is None or record.endpoint in {pair.record.endpoint, *job.may_have_run_on}:
            return Denial.NO_ENDPOINT
        summary = pair.times.summary(now)
        if summary is None:
            return Denial.UNKNOWN
        if summary.is_all_slow:
            return Denial.ALL_SLOW
        running = self._traffic.load_at(record.endpoint).running
        expected = expected_time(
            summary.usual(),
            Places(running + 1, record.slots),
            pair.times.endpoint_time(record.endpoint, now),
        )
        waited = now - job.dispatched_at
        denial = judge_second(expected, waited, _objective_left(job, now))
        denial = denial or self._limit_denial(job, now)
        if denial is not None:
            return denial
        # Both were just found to have one left.
        self._limit.try_spend(job.service, now)
        self._retries.try_spend(job.service, now)
        log(
            "extra_try",
            request=job.request_id,
            endpoint=record.endpoint,
            first=pair.record.endpoint,
            after=waited,
            expected=expected,
        )
        return None

    async def _decide(self, pair: _Pair, first: ExchangeTask) -> DispatchFailure | None:
        """Waits until an exchange has answered, or none is left that could."""
        failures: list[DispatchFailure] = []
        waiting = {first, *pair.race.open_tasks}
        while waiting:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                if pair.race.winner not in (None, task):
                    continue
                failure: DispatchFailure | None = task.result()
                if failure is None or pair.race.winner is task:
                    return failure
                failures.append(failure)
                if task is first and not pair.is_second_sent:
                    return failure
                self._note_failure(pair, task, failure)
        return _deciding(pair.job, failures)

    # What exchanges show.

    def _note_failure(self, pair: _Pair, task: ExchangeTask, failure: DispatchFailure) -> None:
        """Records a failure of one of two exchanges, which may not be the one that decides."""
        if failure is DispatchFailure.NOT_RUN:
            self._note_refusal(pair.job)
        if task is pair.second and pair.second_record is not None:
            pair.job.avoided_endpoints.add(pair.second_record.endpoint)

    def _note_refusal(self, job: Job) -> None:
        self._refused_at[job.service] = monotonic()

    def _note_claim(self, pair: _Pair, is_good: bool) -> None:
        """Records that an answer is about to be forwarded."""
        pair.merge()
        if not is_good:
            return
        now, objective = monotonic(), pair.job.route.objective
        pair.times.record(pair.record.endpoint, now - pair.job.dispatched_at, objective, now)
        is_second = pair.second is not None and pair.race.winner is pair.second
        if is_second and pair.second_record is not None and pair.twin is not None:
            took = now - pair.twin.dispatched_at
            pair.times.record_endpoint(pair.second_record.endpoint, took, now)

    def _record_end(self, pair: _Pair) -> None:
        """Counts how an extra try ended; one that was not sent is none."""
        if not pair.is_second_sent or pair.second is None:
            return
        outcome = "failed"
        if pair.race.winner is pair.second:
            outcome = "won"
        elif pair.second.cancelled():
            outcome = "ended"
        self._metrics.extra_tries.labels("sent").inc()
        self._metrics.extra_tries.labels(outcome).inc()

    def _count_denial(self, denial: Denial) -> None:
        self._metrics.extra_tries_denied.labels(denial.value).inc()


def _may_race(job: Job) -> bool:
    """Tells whether a request may be at two endpoints at the same time."""
    return (
        _is_plain(job)
        and job.route.kind is RouteKind.IDEMPOTENT
        and job.route.attempts > 1
        and not job.from_peer
        and not job.response.started
    )


def _is_plain(job: Job) -> bool:
    return not job.terms.model and (job.spec is None or job.spec.engine is None)


def _objective_left(job: Job, now: float) -> float:
    """Returns the seconds in which an answer is still soon enough."""
    return min(job.request.received + job.route.objective, job.deadline) - now


def _deciding(job: Job, failures: Sequence[DispatchFailure]) -> DispatchFailure:
    """Returns the failure of several that decides; refusals that don't are counted here."""
    decides = max(failures, key=BY_SEVERITY.index)
    refusals = failures.count(DispatchFailure.NOT_RUN)
    job.refusal_count += refusals - (decides is DispatchFailure.NOT_RUN)
    return decides


async def _end(race: ExchangeRace) -> None:
    """Ends the exchanges that are open."""
    while tasks := race.open_tasks:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=CANCEL_TIMEOUT)
