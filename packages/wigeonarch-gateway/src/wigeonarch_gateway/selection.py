"""Finds the endpoint for a request: the best one now, or the one that will have its adapter soon.

While an adapter is on its way, the request waits for news of that engine. Each time it looks again,
the best engine is chosen anew from what is believed then.
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
from wigeonarch_gateway.traffic import InFlightTracker

# Longest wait for a wished load before another engine is asked: loads that must be fetched, and
# seconds at least, in which a wish that was lost is repeated.
LOAD_WAIT_FACTOR: Final = 1.8
MIN_LOAD_WAIT: Final = 0.2
# Share of the time between heartbeats by which expectations are spread at random.
JITTER_SHARE: Final = 0.25
# Share of the objective for which a request is held while no endpoint can take it at all.
HOLD_SHARE: Final = 0.5
# The same while an adapter is on its way: a request that is later than this earns little, and its
# caller, told in time, may find another instance that can do better before it gives up.
LOADING_HOLD_SHARE: Final = 2.0
# Share of the objective for which a prompt is held back while its engine reads others: it costs the
# request nothing, and streams there pause for less long.
PROMPT_DELAY_SHARE: Final = 0.3
# Seconds between looks while no endpoint can take a request.
POLL_INTERVAL: Final = 0.03
# Least and greatest seconds of a wait for a load, if no news come.
MIN_LOAD_POLL_INTERVAL: Final = 0.004
MAX_LOAD_POLL_INTERVAL: Final = 0.1
TIMER_SLACK: Final = 0.002  # Seconds added so that a timer is not early.

# Seconds for which a request that all endpoints of a plain service refused waits before the next.
FULL_SERVICE_PAUSE: Final = 0.1

# When to come back after a refusal, in seconds: loads and queues change within that.
DEFAULT_RETRY_AFTER: Final = 0.3

LogFields = dict[str, object]


class NoEndpointReason(enum.Enum):
    """Why there is no endpoint for a request."""

    UNAVAILABLE = "no_endpoint"  # None that can take it, for as long as it may wait.
    OVERLOADED = "service_overloaded"  # Its service has no time for all that is asked.
    LIMITED = "endpoints_limited"  # All have named a limit, which leaves no place in time.


class EndpointSelector:
    """Chooses endpoints by what this instance believes."""

    __slots__ = (
        "_catalogue",
        "_endpoints",
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
        evidence: DispatchOutcomes,
        wishes: LoadRequests,
        zone: str,
        lag: Callable[[], float],
    ) -> None:
        """Makes a finder for an instance in `zone`; `lag` is the age of what others told."""
        self._catalogue = catalogue
        self._endpoints = endpoints
        self._views = views
        self._traffic = traffic
        self._outcomes = evidence
        self._load_requests = wishes
        self._zone = zone
        self._peer_lag = lag
        self._times = ServiceTimes()

    async def select(self, job: Job) -> EndpointRecord | NoEndpointReason:
        """Returns an endpoint that can run the request now, or why there is none in time."""
        began = monotonic()
        patience = HOLD_SHARE * job.route.objective
        longest = LOADING_HOLD_SHARE * job.route.objective
        found: EndpointRecord | NoEndpointReason | None
        while True:
            now = monotonic()
            if job.terms.model and job.spec is not None and job.spec.engine is not None:
                choice = self._choose_engine(job, now)
                found, hopeful = self._engine_or_load(job, choice, now), choice is not None
                held_back = (
                    choice is not None and choice.crowded and self._may_delay_prompt(job, now)
                )
                if found is not None and held_back:
                    await self._views.wait_for_change(POLL_INTERVAL)
                    continue
            else:
                found, hopeful = self._select_plain(job, now, now - began), False
            if found is NoEndpointReason.OVERLOADED:
                return found
            if isinstance(found, EndpointRecord):
                job.selection_time += now - began
                return found
            limited_for = self._limit_wait(job, now)
            if limited_for and now + limited_for > began + patience:
                return NoEndpointReason.LIMITED
            if now - began > (longest if hopeful else patience):
                return NoEndpointReason.UNAVAILABLE
            if hopeful:
                await self._views.wait_for_change(
                    self._load_poll_interval(job, now), job.load_requested_from
                )
            else:
                await self._views.wait_for_change(POLL_INTERVAL)

    def _load_poll_interval(self, job: Job, now: float) -> float:
        """Returns the time after which a wished load may be there without further news."""
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
        usual = self._times.estimate(job.service)
        chosen = choose_endpoint([self._service_state(r) for r in records], self._peer_lag(), usual)
        record = self._endpoints.get(chosen) if chosen else None
        if record is None or job.dispatch_count:
            return record
        running = self._traffic.load_at(record.endpoint).running
        share = admitted_share(running, record.slots, usual, job.route.objective)
        return record if random.random() < share else NoEndpointReason.OVERLOADED

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
        """Notes how long a request took at an endpoint that had so many when it was sent."""
        self._times.record_answer(job.service, took, running, record.slots)

    def _candidates(self, job: Job, now: float) -> list[EndpointRecord]:
        ready = self._endpoints.ready(job.service)
        fresh = [record for record in ready if record.endpoint not in job.avoided_endpoints]
        fresh = fresh or [record for record in ready if record.endpoint not in job.may_have_run_on]
        reached = [record for record in fresh if not self._outcomes.is_paused(record, now)]
        if not self._outcomes.any_limited(now):
            return reached
        return [record for record in reached if not self._outcomes.limit_wait(record, now)]

    def _limit_wait(self, job: Job, now: float) -> float:
        """Returns the seconds until the first endpoint takes a request by the limit it named.

        It is 0 where limits don't keep the request from all endpoints.
        """
        if not self._outcomes.any_limited(now):
            return 0.0
        ready = self._endpoints.ready(job.service)
        reached = [record for record in ready if not self._outcomes.is_paused(record, now)]
        return min((self._outcomes.limit_wait(record, now) for record in reached), default=0.0)

    def retry_after(self, job: Job, why: NoEndpointReason) -> float:
        """Returns the seconds after which a refused request should come back."""
        if why is not NoEndpointReason.LIMITED:
            return DEFAULT_RETRY_AFTER
        return max(DEFAULT_RETRY_AFTER, self._limit_wait(job, monotonic()))

    @staticmethod
    def _may_delay_prompt(job: Job, now: float) -> bool:
        """Tells whether a request has time to let others' prompts be read first."""
        return now - job.request.received < PROMPT_DELAY_SHARE * job.route.objective

    def _engine_or_load(
        self, job: Job, choice: EngineChoice | None, now: float
    ) -> EndpointRecord | None:
        """Returns the chosen engine if the request can be sent; else asks it for the adapter."""
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
        found = [state for state in states if state is not None]
        load_time = (
            self._views.get(job.load_requested_from).load_time if job.load_requested_from else 0.0
        )
        patience = max(MIN_LOAD_WAIT, LOAD_WAIT_FACTOR * load_time)
        patient = now - job.load_requested_at < patience
        spread = JITTER_SHARE * self._peer_lag()
        return choose_engine_after_load_request(
            found,
            job.terms.prompt_tokens,
            job.load_requested_from,
            patient,
            lambda: random.uniform(0.0, spread),
        )

    def required_adapter(self, job: Job) -> AdapterKey:
        """Returns the adapter that a request needs, at the newest version named."""
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
        """Returns what a refusal rested on, for the log."""
        now = monotonic()
        ready = self._endpoints.ready(job.service)
        views = [self._views.get(record.endpoint) for record in ready]
        return {
            "route": job.route.name,
            "content": job.content_key,
            "service": job.service,
            "adapter": job.terms.adapter,
            "ready": len(ready),
            "limited": sum(self._outcomes.limit_wait(record, now) > 0.0 for record in ready),
            "shut": sum(self._outcomes.is_paused(record, now) for record in ready),
            "loadable": sum(view.can_request_load(now) for view in views),
            "with_model": sum(job.terms.model in view.models for view in views),
            "sends": job.dispatch_count,
            "waited": now - job.request.received,
        }
