"""Selects the endpoint for a request: the best one now, or the one that will have its adapter soon.

While an adapter is being loaded, the request waits for updates about that engine. Each time it
wakes up, the best engine is chosen again from what is known then.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Iterable
from typing import Final

import msgspec
from wigeonarch_core.engine_choice import EngineChoice, EngineState
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_core.service_choice import ServiceState
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.candidates import Candidates
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engine_selection import EngineSelector
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.load_requests import LoadRequests
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.places import GRANT_TIME, QUEUE_TIME, Places
from wigeonarch_gateway.plain_selection import PlainSelector
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.refusal_reasons import NoEndpointReason
from wigeonarch_gateway.traffic import InFlightTracker

# Share of the latency objective for which a request is held while no endpoint can take it at all.
HOLD_SHARE: Final = 0.5
# The same while an adapter is being loaded. A response later than this is worth little, and a
# caller that is refused in time may find an instance that can do better before it gives up.
LOADING_HOLD_SHARE: Final = 2.0
# The same while all endpoints that could take it are full: so short that a caller that comes back
# can still be served in time.
PLACE_HOLD_SHARE: Final = 0.1
# Brittle endpoints at which one request waits for a place at the same time.
MAX_QUEUES: Final = 8
# Seconds between attempts to select an endpoint while none can take the request.
POLL_INTERVAL: Final = 0.03

# Seconds after which a refused request may be retried: loads and queues change within that.
DEFAULT_RETRY_AFTER: Final = 0.3
# Seconds after which to retry a request that another instance may be able to answer.
RETRY_ELSEWHERE_AFTER: Final = 0.05

# Fields of a log line that explain a decision.
LogFields = dict[str, object]


class Decision(msgspec.Struct, frozen=True):
    """What happens to a request now.

    Attributes:
        selected: The endpoint to send it to, or why it is refused; None while it has to wait.
        choice: The best engine of a generation; None if there is none, or none is needed.
        held_back: Whether it waits although there is an endpoint, which reads other prompts first.
    """

    selected: EndpointRecord | NoEndpointReason | None
    choice: EngineChoice | None = None
    held_back: bool = False


class EndpointSelector:
    """Selects endpoints by what this instance knows of them."""

    __slots__ = (
        "_candidates",
        "_engines",
        "_is_out_of_reach",
        "_metrics",
        "_outcomes",
        "_places",
        "_plain",
        "_views",
    )

    def __init__(
        self,
        catalogue: Catalogue,
        endpoints: EndpointRegistry,
        views: EngineViews,
        traffic: InFlightTracker,
        outcomes: DispatchOutcomes,
        places: Places,
        load_requests: LoadRequests,
        zone: str,
        peer_lag: Callable[[], float],
        is_out_of_reach: Callable[[Job], bool],
        is_settled: Callable[[EndpointRecord], bool],
        metrics: Metrics,
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Creates a selector.

        Args:
            catalogue: Configuration and adapter versions in force.
            endpoints: The known endpoints.
            views: What is known of engines.
            traffic: Requests in flight at each endpoint.
            outcomes: What dispatches showed of endpoints.
            places: Places at brittle endpoints.
            load_requests: Sends load requests to the owners of engines.
            zone: Availability zone of this instance.
            peer_lag: Returns the age of what other instances reported, in seconds.
            is_out_of_reach: Tells whether a request need not wait for an endpoint here.
            is_settled: Tells whether streams that may be resumed may begin at an endpoint.
            metrics: Counters.
            draw: Returns random numbers in [0, 1).
        """
        self._views = views
        self._metrics = metrics
        self._outcomes = outcomes
        self._places = places
        self._is_out_of_reach = is_out_of_reach
        self._candidates = Candidates(endpoints, outcomes, is_settled)
        self._plain = PlainSelector(
            self._candidates, endpoints, traffic, outcomes, zone, peer_lag, draw
        )
        self._engines = EngineSelector(
            self._candidates,
            catalogue,
            endpoints,
            views,
            traffic,
            outcomes,
            load_requests,
            zone,
            peer_lag,
            draw,
        )

    async def select(self, job: Job) -> EndpointRecord | NoEndpointReason:
        """Waits for an endpoint that can run the request and returns it, or why there is none."""
        began = monotonic()
        while True:
            now = monotonic()
            decision = self.decide(job, now, now - began)
            selected, choice = decision.selected, decision.choice
            if decision.held_back:
                await self._views.wait_for_change(POLL_INTERVAL)
                continue
            if isinstance(selected, NoEndpointReason):
                self._count_refusal(job)
                return selected
            if selected is not None:
                placed = await self._obtain_place(job, selected)
                waited = monotonic() - began
                if placed is not None:
                    job.selection_time += waited
                    return placed
                if waited > PLACE_HOLD_SHARE * job.route.objective:
                    return NoEndpointReason.NO_PLACE
                continue
            if choice is not None and choice.load:
                self._engines.request_load(job, choice, now)
            refusal = self.refusal_of_wait(job, choice, now, now - began)
            if refusal is not None:
                return refusal
            await self._wait(job, choice, now)

    async def _obtain_place(self, job: Job, record: EndpointRecord) -> EndpointRecord | None:
        """Returns an endpoint to which a request may be sent; None if it got no place so far.

        A brittle endpoint is asked for a place. If it is full, so are all others, and the request
        waits at several of a plain service. An engine was chosen for the adapters that it holds.
        """
        if not self._places.is_needed(record):
            return record
        now = monotonic()
        records, timeout = [record], GRANT_TIME
        if self._places.is_full(record, now):
            timeout = QUEUE_TIME
            records = self._candidates.usable(job, now)
            if needs_engine(job):
                records = self._engines.holding(job, records, now)
            records = records[:MAX_QUEUES] or [record]
        endpoint = await self._places.acquire(records, job.priority, job.request.received, timeout)
        return next((found for found in records if found.endpoint == endpoint), None)

    def _count_refusal(self, job: Job) -> None:
        if job.overload is not None:
            reason = job.overload.decision.value
            self._metrics.service_refusals.labels(job.service, reason).inc()

    def decide(self, job: Job, now: float, waited: float) -> Decision:
        """Decides what happens to a request now.

        It requests permits of endpoints, notes lost ways and counts what services are asked for.
        With a selector of `observing`, it has no effects besides those on the job.

        Args:
            job: The request.
            now: Current time, in seconds.
            waited: Seconds for which it has waited for an endpoint since it was last refused.
        """
        refusal = self._certain_refusal(job)
        if refusal is not None:
            return Decision(refusal)
        if not needs_engine(job):
            return Decision(self._plain.select(job, now, waited))
        choice = self._engines.choose(job, now)
        record = self._engines.engine(choice)
        held_back = record is not None and self._engines.may_delay_prompt(job, choice, now)
        return Decision(record, choice, held_back)

    def refusal_of_wait(
        self, job: Job, choice: EngineChoice | None, now: float, waited: float
    ) -> NoEndpointReason | None:
        """Returns why a request that has no endpoint now must not wait any longer.

        Args:
            job: The request.
            choice: The engine that loads its adapter; None if there is none.
            now: Current time, in seconds.
            waited: Seconds for which it has waited.
        """
        max_wait = HOLD_SHARE * job.route.objective
        limit_wait = self._candidates.limit_wait(job, now)
        if limit_wait and waited + limit_wait > max_wait:
            return NoEndpointReason.LIMITED
        if waited > self.longest_wait(job, choice):
            return NoEndpointReason.UNAVAILABLE
        return None

    @staticmethod
    def longest_wait(job: Job, choice: EngineChoice | None) -> float:
        """Returns the seconds for which a request waits for an endpoint, or for a load."""
        share = HOLD_SHARE if choice is None else LOADING_HOLD_SHARE
        return share * job.route.objective

    def observing(
        self, is_out_of_reach: Callable[[Job], bool], draw: Callable[[], float]
    ) -> EndpointSelector:
        """Returns a selector whose `decide` has no effects and decides by what this one knows.

        Args:
            is_out_of_reach: Tells whether a request need not wait for an endpoint here, and has no
                effects either.
            draw: Returns random numbers in [0, 1).
        """
        other = copy.copy(self)
        other._is_out_of_reach = is_out_of_reach
        other._candidates = self._candidates.without_effects()
        other._plain = self._plain.observing(other._candidates, draw)
        other._engines = self._engines.observing(other._candidates, draw)
        return other

    def pace(self, record: EndpointRecord) -> float:
        """Returns how many times as long as the usual endpoint of its service one takes."""
        return self._plain.pace(record, monotonic())

    def usable(self, job: Job, now: float) -> list[EndpointRecord]:
        """Returns the endpoints that may take a request now."""
        return self._candidates.usable(job, now)

    def engine_states(
        self, job: Job, records: Iterable[EndpointRecord], now: float
    ) -> list[EngineState]:
        """Returns what the choice between engines is based on."""
        return self._engines.states(job, records, now)

    def service_states(
        self, job: Job, records: Iterable[EndpointRecord], now: float
    ) -> list[ServiceState]:
        """Returns what the choice between endpoints of a plain service is based on."""
        return self._plain.states(job, records, now)

    def service_time(self, service: str) -> float | None:
        """Returns the seconds that a request of a plain service takes; None while unknown."""
        return self._plain.service_time(service)

    def _certain_refusal(self, job: Job) -> NoEndpointReason | None:
        """Returns why a request can't be served here however long it waits; None if it may be."""
        if self._is_out_of_reach(job):
            return NoEndpointReason.OUT_OF_REACH
        if self._candidates.parts_hold_left(job):
            return NoEndpointReason.PART_HELD
        if job.origin is not None and not self._candidates.may_go_on(job):
            return NoEndpointReason.SOFTWARE_GONE
        return None

    async def _wait(self, job: Job, choice: EngineChoice | None, now: float) -> None:
        """Waits until an endpoint may be able to take the request."""
        if choice is None:
            await self._views.wait_for_change(POLL_INTERVAL)
            return
        interval = self._engines.load_poll_interval(job, now)
        await self._views.wait_for_change(interval, job.load_requested_from)

    def record_response_time(
        self, job: Job, record: EndpointRecord, took: float, running: int, is_sound: bool
    ) -> None:
        """Records how long a request took at an endpoint of a plain service.

        Args:
            job: The request.
            record: The endpoint.
            took: Seconds from the dispatch to the head of the response.
            running: Requests that were in flight at the endpoint when this one was dispatched.
            is_sound: Whether the response was no failure.
        """
        self._plain.record_response_time(job, record, took, running, is_sound)

    def required_adapter(self, job: Job) -> AdapterKey:
        """Returns the adapter that a request needs, in the newest known version."""
        return self._engines.required_adapter(job)

    def retry_after(self, job: Job, reason: NoEndpointReason) -> float:
        """Returns the seconds after which a refused request should be retried."""
        if reason is NoEndpointReason.PART_HELD:
            return max(DEFAULT_RETRY_AFTER, self._candidates.parts_hold_left(job))
        if reason is NoEndpointReason.OVERLOADED and job.overload is not None:
            return job.overload.retry_after
        if reason is not NoEndpointReason.LIMITED:
            return DEFAULT_RETRY_AFTER
        return max(DEFAULT_RETRY_AFTER, self._candidates.limit_wait(job, monotonic()))

    def log_fields(self, job: Job) -> LogFields:
        """Returns log fields that explain why a request was refused."""
        now = monotonic()
        ready = self._candidates.fitting(job)
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
            **overload_fields(job),
        }


def needs_engine(job: Job) -> bool:
    """Tells whether a request is a generation for the engines of a service."""
    return bool(job.terms.model) and job.spec is not None and job.spec.engine is not None


def overload_fields(job: Job) -> LogFields:
    """Returns log fields that explain why an overloaded service did not take a request."""
    refusal = job.overload
    if refusal is None:
        return {}
    return {
        "why": refusal.decision.value,
        "rank": refusal.kind.rank,
        "team": job.team.name if job.team is not None else "",
        "fraction": refusal.part,
        "kind_asked": refusal.kind_asked,
        "asked": refusal.asked,
        "allowed": refusal.allowed,
        "running": refusal.running,
        "intended": refusal.limit,
    }
