"""Selects the engine for a generation: the best one now, or the one that will have its adapter."""

from __future__ import annotations

import copy
import math
import random
from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from wigeonarch_core.endpoint_pace import RecentRatios, settled
from wigeonarch_core.engine_choice import (
    EngineChoice,
    EngineState,
    choose_engine_in_turn,
    least_load_wait,
)
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_core.rendezvous import aversion
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.candidates import Candidates
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engineviews import EngineView, EngineViews
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.load_requests import LoadRequests
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.traffic import InFlightTracker

# Longest wait for a requested load before another engine is asked, as a multiple of the time that
# the engine takes for a load that must be fetched.
LOAD_WAIT_FACTOR: Final = 1.8
# The same in seconds, at least: within that a load request that was lost is repeated.
MIN_LOAD_WAIT: Final = 0.2
# Share of the heartbeat interval up to which random jitter is added to expected waiting times.
JITTER_SHARE: Final = 0.25
# Share of the latency objective for which a prompt is held back while its engine reads others. It
# costs the request nothing, and streams on that engine pause for less long.
PROMPT_DELAY_SHARE: Final = 0.3
# Least and greatest seconds between attempts while a load is awaited and no update comes.
MIN_LOAD_POLL_INTERVAL: Final = 0.004
MAX_LOAD_POLL_INTERVAL: Final = 0.1
TIMER_SLACK: Final = 0.002  # Seconds added to a timer, so that it does not fire early.


class _Engine(NamedTuple):
    """An engine that has a request's model, before it is described in full.

    Attributes:
        record: Its record.
        view: What is known of its adapters.
        holds: Whether it can run the request without loading anything.
        pace: How many times as long as usual it takes.
    """

    record: EndpointRecord
    view: EngineView
    holds: bool
    pace: float


class EngineSelector:
    """Selects engines for generations."""

    __slots__ = (
        "_candidates",
        "_catalogue",
        "_draw",
        "_endpoints",
        "_load_requests",
        "_outcomes",
        "_peer_lag",
        "_ratios",
        "_traffic",
        "_views",
        "_zone",
    )

    def __init__(
        self,
        candidates: Candidates,
        catalogue: Catalogue,
        endpoints: EndpointRegistry,
        views: EngineViews,
        traffic: InFlightTracker,
        outcomes: DispatchOutcomes,
        load_requests: LoadRequests,
        zone: str,
        peer_lag: Callable[[], float],
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Creates a selector.

        Args:
            candidates: The endpoints that may take a request now.
            catalogue: Configuration and adapter versions in force.
            endpoints: The known endpoints.
            views: What is known of engines.
            traffic: Requests in flight at each endpoint.
            outcomes: What dispatches showed of endpoints.
            load_requests: Sends load requests to the owners of engines.
            zone: Availability zone of this instance.
            peer_lag: Returns the age of what other instances reported, in seconds.
            draw: Returns random numbers in [0, 1).
        """
        self._candidates = candidates
        self._catalogue = catalogue
        self._endpoints = endpoints
        self._views = views
        self._traffic = traffic
        self._outcomes = outcomes
        self._load_requests = load_requests
        self._zone = zone
        self._peer_lag = peer_lag
        self._ratios = RecentRatios(traffic.paces)
        self._draw = draw

    def observing(self, candidates: Candidates, draw: Callable[[], float]) -> EngineSelector:
        """Returns a selector that knows what this one knows, with its own candidates and draws."""
        other = copy.copy(self)
        other._candidates = candidates
        other._draw = draw
        other._ratios = RecentRatios(self._traffic.paces)
        return other

    def load_poll_interval(self, job: Job, now: float) -> float:
        """Returns the seconds after which a requested load may be done, if no update comes."""
        left = self._views.get(job.load_requested_from).loading_left(
            self.required_adapter(job), now
        )
        if left is None:
            return MAX_LOAD_POLL_INTERVAL
        return max(MIN_LOAD_POLL_INTERVAL, min(MAX_LOAD_POLL_INTERVAL, left + TIMER_SLACK))

    @staticmethod
    def may_delay_prompt(job: Job, choice: EngineChoice | None, now: float) -> bool:
        """Tells whether a request should and may let an engine read the prompts of others first."""
        if choice is None or not choice.crowded:
            return False
        return now - job.request.received < PROMPT_DELAY_SHARE * job.route.objective

    def engine(self, choice: EngineChoice | None) -> EndpointRecord | None:
        """Returns the chosen engine if the request can be sent there now."""
        if choice is None or choice.load:
            return None
        return self._endpoints.get(choice.endpoint)

    def request_load(self, job: Job, choice: EngineChoice, now: float) -> None:
        """Requests the load for which a request has to wait."""
        if choice.endpoint != job.load_requested_from:
            self._log_load_request(job, choice, now)
            job.load_requested_from = choice.endpoint
            job.load_requested_at = now
        self._load_requests.request_load(
            choice.endpoint, self.required_adapter(job), job.priority, missing=False
        )

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

    def choose(self, job: Job, now: float) -> EngineChoice | None:
        """Returns the best engine for a request, or None when none can run it."""
        load_time = (
            self._views.get(job.load_requested_from).load_time if job.load_requested_from else 0.0
        )
        max_load_wait = max(MIN_LOAD_WAIT, LOAD_WAIT_FACTOR * load_time)
        keep_waiting = now - job.load_requested_at < max_load_wait
        max_jitter = JITTER_SHARE * self._peer_lag()
        key = self.required_adapter(job)
        first: list[_Engine] = []
        others: list[_Engine] = []
        least_wait = math.inf
        for found in self._with_model(job, key, self._candidates.usable(job, now), now, settled):
            asked = keep_waiting and found.record.endpoint == job.load_requested_from
            if found.holds or asked:
                first.append(found)
                continue
            others.append(found)
            left = found.view.loading_left(key, now)
            least_wait = min(least_wait, least_load_wait(left, found.view.load_time))
        return choose_engine_in_turn(
            [self._engine_state(each, job, key, now) for each in first],
            lambda: [self._engine_state(each, job, key, now) for each in others],
            least_wait,
            job.terms.prompt_tokens,
            job.load_requested_from,
            keep_waiting,
            lambda: self._draw() * max_jitter,
        )

    def states(self, job: Job, records: Iterable[EndpointRecord], now: float) -> list[EngineState]:
        """Returns what the choice between engines is based on, for those with the model."""
        key = self.required_adapter(job)
        found = self._with_model(job, key, records, now, list)
        return [self._engine_state(each, job, key, now) for each in found]

    def _with_model(
        self,
        job: Job,
        key: AdapterKey,
        records: Iterable[EndpointRecord],
        now: float,
        weigh: Callable[[list[float]], list[float]],
    ) -> list[_Engine]:
        """Returns the engines that have a request's model, with their paces as weighed."""
        views = ((record, self._views.peek(record.endpoint)) for record in records)
        with_model = [(record, view) for record, view in views if key.model in view.models]
        names = [record.endpoint for record, _ in with_model]
        ready = (record.endpoint for record in self._endpoints.ready(job.service))
        ratios = self._ratios.of_service(job.service, ready, names, now)
        paces = weigh([ratios[name] for name in names])
        return [
            _Engine(record, view, not key.adapter or view.can_serve(key, now), pace)
            for (record, view), pace in zip(with_model, paces, strict=True)
        ]

    def holding(
        self, job: Job, records: Iterable[EndpointRecord], now: float
    ) -> list[EndpointRecord]:
        """Returns the engines that can run a request without loading anything."""
        key = self.required_adapter(job)
        views = ((record, self._views.peek(record.endpoint)) for record in records)
        return [
            record
            for record, view in views
            if key.model in view.models and (not key.adapter or view.can_serve(key, now))
        ]

    def required_adapter(self, job: Job) -> AdapterKey:
        """Returns the adapter that a request needs, in the newest known version."""
        terms = job.terms
        version = self._catalogue.version(terms.model, terms.adapter) if terms.adapter else 0
        return AdapterKey(terms.model, terms.adapter, version)

    def _engine_state(self, found: _Engine, job: Job, key: AdapterKey, now: float) -> EngineState:
        record, view, holds = found.record, found.view, found.holds
        load = self._traffic.load_at(record.endpoint)
        engine = job.spec.engine if job.spec else None
        return EngineState(
            endpoint=record.endpoint,
            same_zone=record.zone == self._zone,
            holds=holds,
            loading_left=view.loading_left(key, now),
            warm=view.is_warm(key),
            replaces=view.replaces(key),
            loadable=view.can_request_load(now),
            free_places=view.free_places,
            loading=len(view.loading),
            waiting_loads=view.waiting_loads,
            load_rank=0.0 if holds else aversion(key.adapter, record.endpoint),
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
            pace=found.pace,
        )
