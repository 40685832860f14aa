"""Selects the endpoint for a request: the best one now, or the one that will have its adapter soon.

While an adapter is being loaded, the request waits for updates about that engine. Each time it
wakes up, the best engine is chosen again from what is known then.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from typing import Final

from wigeonarch_core.engine_choice import (
    EngineChoice,
    EngineState,
    choose_engine_after_load_request,
)
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_core.service_choice import ServiceState, choose_endpoint
from wigeonarch_core.service_load import ServiceTimes, admitted_share
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.load_requests import LoadRequests
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.stream_origins import software_of
from wigeonarch_gateway.traffic import InFlightTracker

# Longest wait for a requested load before another engine is asked, as a multiple of the time that
# the engine takes for a load that must be fetched.
LOAD_WAIT_FACTOR: Final = 1.8
# The same in seconds, at least: within that a load request that was lost is repeated.
MIN_LOAD_WAIT: Final = 0.2
# Share of the heartbeat interval up to which random jitter is added to expected waiting times.
JITTER_SHARE: Final = 0.25
# Share of the latency objective for which a request is held while no endpoint can take it at all.
HOLD_SHARE: Final = 0.5
# The same while an adapter is being loaded. A response later than this is worth little, and a
# caller that is refused in time may find an instance that can do better before it gives up.
LOADING_HOLD_SHARE: Final = 2.0
# Share of the latency objective for which a prompt is held back while its engine reads others. It
# costs the request nothing, and streams on that engine pause for less long.
PROMPT_DELAY_SHARE: Final = 0.3
# Seconds between attempts to select an endpoint while none can take the request.
POLL_INTERVAL: Final = 0.03
# Least and greatest seconds between attempts while a load is awaited and no update comes.
MIN_LOAD_POLL_INTERVAL: Final = 0.004
MAX_LOAD_POLL_INTERVAL: Final = 0.1
TIMER_SLACK: Final = 0.002  # Seconds added to a timer, so that it does not fire early.

# Seconds for which a request that all endpoints of a plain service refused waits until it is sent
# to one of them again.
FULL_SERVICE_PAUSE: Final = 0.1

# Seconds after which a refused request may be retried: loads and queues change within that.
DEFAULT_RETRY_AFTER: Final = 0.3
# Seconds after which to retry a request that another instance may be able to answer.
RETRY_ELSEWHERE_AFTER: Final = 0.05

# Fields of a log line that explain a decision.
LogFields = dict[str, object]


class NoEndpointReason(enum.Enum):
    """Why there is no endpoint for a request."""

    UNAVAILABLE = "no_endpoint"  # No endpoint could take it for as long as it could wait.
    OVERLOADED = "service_overloaded"  # The plain service receives more than it can do in time.
    LIMITED = "endpoints_limited"  # All endpoints have stated rate limits that are used up.
    SOFTWARE_GONE = "software_gone"  # No endpoint is left on which its stream can go on.
    PART_HELD = "part_held"  # Endpoints have crashed under requests with a part of its prompt.
    OUT_OF_REACH = "out_of_reach"  # This instance reaches none; a peer may be able to help.


class EndpointSelector:
    """Selects endpoints by what this instance knows of them."""

    __slots__ = (
        "_catalogue",
        "_endpoints",
        "_is_out_of_reach",
        "_is_settled",
        "_load_requests",
        "_outcomes",
        "_peer_lag",
        "_times",
        "_traffic",
        "_views",
        "_zone",
    )

    def __init__(
        self,
        catalogue: Catalogue,
        endpoints: EndpointRegistry,
        views: EngineViews,
        traffic: InFlightTracker,
        outcomes: DispatchOutcomes,
        load_requests: LoadRequests,
        zone: str,
        peer_lag: Callable[[], float],
        is_out_of_reach: Callable[[Job], bool],
        is_settled: Callable[[EndpointRecord], bool],
    ) -> None:
        """Creates a selector.

        Args:
            catalogue: Configuration and adapter versions in force.
            endpoints: The known endpoints.
            views: What is known of engines.
            traffic: Requests in flight at each endpoint.
            outcomes: What dispatches showed of endpoints.
            load_requests: Sends load requests to the owners of engines.
            zone: Availability zone of this instance.
            peer_lag: Returns the age of what other instances reported, in seconds.
            is_out_of_reach: Tells whether a request need not wait for an endpoint here.
            is_settled: Tells whether streams that may be resumed may begin at an endpoint.
        """
        self._catalogue = catalogue
        self._endpoints = endpoints
        self._views = views
        self._traffic = traffic
        self._outcomes = outcomes
        self._load_requests = load_requests
        self._zone = zone
        self._peer_lag = peer_lag
        self._is_out_of_reach = is_out_of_reach
        self._is_settled = is_settled
        self._times = ServiceTimes()

    async def select(self, job: Job) -> EndpointRecord | NoEndpointReason:
        """Waits for an endpoint that can run the request and returns it, or why there is none."""
        began = monotonic()
        max_wait = HOLD_SHARE * job.route.objective
        max_load_wait = LOADING_HOLD_SHARE * job.route.objective
        selected: EndpointRecord | NoEndpointReason | None
        while True:
            now = monotonic()
            if self._is_out_of_reach(job):
                return NoEndpointReason.OUT_OF_REACH
            if self._parts_hold_left(job):
                return NoEndpointReason.PART_HELD
            if job.origin is not None and not self._may_go_on(job):
                return NoEndpointReason.SOFTWARE_GONE
            if job.terms.model and job.spec is not None and job.spec.engine is not None:
                choice = self._choose_engine(job, now)
                selected, awaits_load = self._engine_or_load(job, choice, now), choice is not None
                held_back = (
                    choice is not None and choice.crowded and self._may_delay_prompt(job, now)
                )
                if selected is not None and held_back:
                    await self._views.wait_for_change(POLL_INTERVAL)
                    continue
            else:
                selected, awaits_load = self._select_plain(job, now, now - began), False
            if selected is NoEndpointReason.OVERLOADED:
                return selected
            if isinstance(selected, EndpointRecord):
                job.selection_time += now - began
                return selected
            limit_wait = self._limit_wait(job, now)
            if limit_wait and now + limit_wait > began + max_wait:
                return NoEndpointReason.LIMITED
            if now - began > (max_load_wait if awaits_load else max_wait):
                return NoEndpointReason.UNAVAILABLE
            if awaits_load:
                await self._views.wait_for_change(
                    self._load_poll_interval(job, now), job.load_requested_from
                )
            else:
                await self._views.wait_for_change(POLL_INTERVAL)

    def _load_poll_interval(self, job: Job, now: float) -> float:
        """Returns the seconds after which a requested load may be done, if no update comes."""
        left = self._views.get(job.load_requested_from).loading_left(
            self.required_adapter(job), now
        )
        if left is None:
            return MAX_LOAD_POLL_INTERVAL
        return max(MIN_LOAD_POLL_INTERVAL, min(MAX_LOAD_POLL_INTERVAL, left + TIMER_SLACK))

    def _select_plain(
        self, job: Job, now: float, waited: float
    ) -> EndpointRecord | NoEndpointReason | None:
        records = self._candidates(job, now)
        if waited < FULL_SERVICE_PAUSE and all(
            record.endpoint in job.avoided_endpoints for record in records
        ):
            return None
        service_time = self._times.estimate(job.service)
        chosen = choose_endpoint(
            [self._service_state(r) for r in records], self._peer_lag(), service_time
        )
        record = self._endpoints.get(chosen) if chosen else None
        if record is None or job.dispatch_count:
            return record
        running = self._traffic.load_at(record.endpoint).running
        sent_part = admitted_share(running, record.slots, service_time, job.route.objective)
        return record if random.random() < sent_part else NoEndpointReason.OVERLOADED

    def _service_state(self, record: EndpointRecord) -> ServiceState:
        return ServiceState(
            record.endpoint,
            record.zone == self._zone,
            record.slots,
            self._traffic.load_at(record.endpoint).running,
            self._outcomes.failure_share(record),
        )

    def record_response_time(
        self, job: Job, record: EndpointRecord, took: float, running: int
    ) -> None:
        """Records how long a request took at an endpoint.

        Args:
            job: The request.
            record: The endpoint.
            took: Seconds from the dispatch to the head of the response.
            running: Requests that were in flight at the endpoint when this one was dispatched.
        """
        self._times.record_answer(job.service, took, running, record.slots)

    def _ready(self, job: Job) -> list[EndpointRecord]:
        """Returns the endpoints that take new requests and whose software fits the request.

        A stream goes on only at the software that began it. A part of a prompt may be held back at
        some software only.
        """
        ready = self._fitting(job)
        if not self._outcomes.any_part_held:
            return ready
        return [record for record in ready if not self._outcomes.parts_hold_left(job, record)]

    def _fitting(self, job: Job) -> list[EndpointRecord]:
        """Returns the endpoints that take new requests and on which the stream may go on."""
        ready = self._endpoints.ready(job.service)
        if job.origin is None:
            return ready
        return [record for record in ready if software_of(record) == job.origin.software]

    def _parts_hold_left(self, job: Job) -> float:
        """Returns the seconds until no part of a prompt keeps it from all endpoints; 0 for now."""
        if not self._outcomes.any_part_held:
            return 0.0
        holds = [self._outcomes.parts_hold_left(job, record) for record in self._fitting(job)]
        return min(holds, default=0.0)

    def _may_go_on(self, job: Job) -> bool:
        """Tells whether there is an endpoint on which a stream with events can go on."""
        return any(record.endpoint not in job.may_have_run_on for record in self._ready(job))

    def _candidates(self, job: Job, now: float) -> list[EndpointRecord]:
        """Returns the endpoints that may take a request now.

        A stream that may be resumed begins at software that all instances know of, as long as any
        of it can take the stream: others could not tell later where it may go on.
        """
        ready = self._ready(job)
        untried = [record for record in ready if record.endpoint not in job.avoided_endpoints]
        untried = untried or [
            record for record in ready if record.endpoint not in job.may_have_run_on
        ]
        usable = [record for record in untried if not self._outcomes.is_paused(record, now)]
        if self._outcomes.any_limited(now):
            usable = [record for record in usable if not self._outcomes.limit_wait(record, now)]
        if job.origin is None and job.route.resumable:
            return [record for record in usable if self._is_settled(record)] or usable
        return usable

    def _limit_wait(self, job: Job, now: float) -> float:
        """Returns the seconds until the first endpoint takes a request within its rate limit.

        An endpoint that is paused takes one when its pause ends. The result is 0 unless limits keep
        the request from an endpoint.
        """
        if not self._outcomes.any_limited(now):
            return 0.0
        waits = [
            (self._outcomes.limit_wait(record, now), self._outcomes.pause_left(record, now))
            for record in self._ready(job)
        ]
        if not any(limit_wait for limit_wait, _ in waits):
            return 0.0
        return min(max(wait) for wait in waits)

    def retry_after(self, job: Job, reason: NoEndpointReason) -> float:
        """Returns the seconds after which a refused request should be retried."""
        if reason is NoEndpointReason.PART_HELD:
            return max(DEFAULT_RETRY_AFTER, self._parts_hold_left(job))
        if reason is not NoEndpointReason.LIMITED:
            return DEFAULT_RETRY_AFTER
        return max(DEFAULT_RETRY_AFTER, self._limit_wait(job, monotonic()))

    @staticmethod
    def _may_delay_prompt(job: Job, now: float) -> bool:
        """Tells whether a request has time to let an engine read the prompts of others first."""
        return now - job.request.received < PROMPT_DELAY_SHARE * job.route.objective

    def _engine_or_load(
        self, job: Job, choice: EngineChoice | None, now: float
    ) -> EndpointRecord | None:
        """Returns the chosen engine if the request can be sent there; else requests the load."""
        if choice is None:
            return None
        if not choice.load:
            return self._endpoints.get(choice.endpoint)
        if choice.endpoint != job.load_requested_from:
            self._log_load_request(job, choice, now)
            job.load_requested_from = choice.endpoint
            job.load_requested_at = now
        self._load_requests.request_load(
            choice.endpoint, self.required_adapter(job), job.priority, missing=False
        )
        return None

    def _log_load_request(self, job: Job, choice: EngineChoice, now: float) -> None:
        view = self._views.get(choice.endpoint)
        log(
            "adapter_awaited",
            request=job.request_id,
            endpoint=choice.endpoint,
            adapter=job.terms.adapter,
            expected=choice.expected,
            holder=view.owner,
            heard=now - view.last_update,
            free=view.free_places,
            loading=len(view.loading),
            before=job.load_requested_from,
            waited=now - job.request.received,
        )

    def _choose_engine(self, job: Job, now: float) -> EngineChoice | None:
        key = self.required_adapter(job)
        states = [
            self._engine_state(record, job, key, now) for record in self._candidates(job, now)
        ]
        usable = [state for state in states if state is not None]
        load_time = (
            self._views.get(job.load_requested_from).load_time if job.load_requested_from else 0.0
        )
        max_load_wait = max(MIN_LOAD_WAIT, LOAD_WAIT_FACTOR * load_time)
        keep_waiting = now - job.load_requested_at < max_load_wait
        max_jitter = JITTER_SHARE * self._peer_lag()
        return choose_engine_after_load_request(
            usable,
            job.terms.prompt_tokens,
            job.load_requested_from,
            keep_waiting,
            lambda: random.uniform(0.0, max_jitter),
        )

    def required_adapter(self, job: Job) -> AdapterKey:
        """Returns the adapter that a request needs, in the newest known version."""
        terms = job.terms
        version = self._catalogue.version(terms.model, terms.adapter) if terms.adapter else 0
        return AdapterKey(terms.model, terms.adapter, version)

    def _engine_state(
        self, record: EndpointRecord, job: Job, key: AdapterKey, now: float
    ) -> EngineState | None:
        view = self._views.get(record.endpoint)
        if key.model not in view.models:
            return None
        load = self._traffic.load_at(record.endpoint)
        engine = job.spec.engine if job.spec else None
        return EngineState(
            endpoint=record.endpoint,
            same_zone=record.zone == self._zone,
            holds=not key.adapter or view.can_serve(key, now),
            loading_left=view.loading_left(key, now),
            warm=view.is_warm(key),
            replaces=view.replaces(key),
            loadable=view.can_request_load(now),
            free_places=view.free_places,
            loading=len(view.loading),
            waiting_tokens=load.waiting_tokens,
            running=load.running,
            batch=engine.batch if engine else record.slots,
            kv_tokens=load.kv_tokens,
            kv_total=engine.kv_tokens if engine else 0,
            failing=self._outcomes.failure_share(record),
            load_time=view.load_time,
            slowness=self._outcomes.slowness(record, now),
            recent_tokens=load.recent_tokens,
            largest_pause=job.route.largest_pause,
        )

    def log_fields(self, job: Job) -> LogFields:
        """Returns log fields that explain why a request was refused."""
        now = monotonic()
        ready = self._fitting(job)
        views = [self._views.get(record.endpoint) for record in ready]
        return {
            "route": job.route.name,
            "content": job.content_key,
            "service": job.service,
            "adapter": job.terms.adapter,
            "ready": len(ready),
            "held_part": next(filter(None, (self._outcomes.held_part(job, r) for r in ready)), ""),
            "limited": sum(self._outcomes.limit_wait(record, now) > 0.0 for record in ready),
            "shut": sum(self._outcomes.is_paused(record, now) for record in ready),
            "loadable": sum(view.can_request_load(now) for view in views),
            "with_model": sum(job.terms.model in view.models for view in views),
            "sends": job.dispatch_count,
            "waited": now - job.request.received,
        }
