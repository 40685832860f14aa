"""Selects the endpoint of a plain service for a request, or refuses what it can't do in time."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from wigeonarch_core.endpoint_pace import ANSWER_EXPECTED, RecentRatios
from wigeonarch_core.service_admission import (
    BUSY_SHARE,
    AdmissionRequest,
    Clock,
    Decision,
    EndpointRoom,
    Refusal,
    ServiceAdmission,
    ServiceLoad,
)
from wigeonarch_core.service_choice import ServiceState, choose_endpoint
from wigeonarch_core.service_demand import NO_TEAM, Kind, team_key
from wigeonarch_core.service_load import ServiceTimes
from wigeonarch_runtime.clock import unix_time

from wigeonarch_gateway.candidates import Candidates
from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.refusal_reasons import NoEndpointReason
from wigeonarch_gateway.traffic import InFlightTracker

# Seconds for which a request that all endpoints of a plain service refused waits until it is sent
# to one of them again.
FULL_SERVICE_PAUSE: Final = 0.1


class PlainSelector:
    """Selects endpoints of plain services."""

    __slots__ = (
        "_admissions",
        "_candidates",
        "_demands",
        "_draw",
        "_endpoints",
        "_outcomes",
        "_peer_lag",
        "_ratios",
        "_times",
        "_traffic",
        "_zone",
    )

    def __init__(
        self,
        candidates: Candidates,
        endpoints: EndpointRegistry,
        traffic: InFlightTracker,
        outcomes: DispatchOutcomes,
        zone: str,
        peer_lag: Callable[[], float],
        draw: Callable[[], float] = random.random,
    ) -> None:
        """Creates a selector.

        Args:
            candidates: The endpoints that may take a request now.
            endpoints: The known endpoints.
            traffic: Requests in flight at each endpoint.
            outcomes: What dispatches showed of endpoints.
            zone: Availability zone of this instance.
            peer_lag: Returns the age of what other instances reported, in seconds.
            draw: Returns random numbers in [0, 1).
        """
        self._candidates = candidates
        self._endpoints = endpoints
        self._traffic = traffic
        self._outcomes = outcomes
        self._zone = zone
        self._peer_lag = peer_lag
        self._ratios = RecentRatios(traffic.paces)
        self._draw = draw
        self._times = ServiceTimes()
        self._demands = traffic.demands
        self._admissions: dict[str, ServiceAdmission] = {}

    def observing(self, candidates: Candidates, draw: Callable[[], float]) -> PlainSelector:
        """Returns a selector that knows what this one knows, with its own candidates and draws."""
        other = copy.copy(self)
        other._candidates = candidates
        other._draw = draw
        other._ratios = RecentRatios(self._traffic.paces)
        other._demands = copy.deepcopy(self._demands)
        other._admissions = copy.deepcopy(self._admissions)
        return other

    def select(
        self, job: Job, now: float, waited: float
    ) -> EndpointRecord | NoEndpointReason | None:
        """Returns the endpoint for a request, or why there is none; None while it has to wait.

        Args:
            job: The request.
            now: Current time, in seconds.
            waited: Seconds for which it has waited for an endpoint since it was last refused.
        """
        self._count(job, now)
        records = self._candidates.usable(job, now)
        if waited < FULL_SERVICE_PAUSE and all(
            record.endpoint in job.avoided_endpoints for record in records
        ):
            return None
        service_time = self.service_time(job.service)
        states = self.states(job, records, now)
        chosen = choose_endpoint(states, self._peer_lag(), service_time, self._draw())
        record = self._endpoints.get(chosen) if chosen else None
        if record is None or job.may_have_run_on or not service_time:
            return record
        load = self._service_load(job, self._candidates.serving(job, now), service_time)
        if load.running >= BUSY_SHARE * load.places:
            self._demands.note_busy(job.service, service_time, now)
        if not self._demands.is_watched(job.service, now):
            return record
        return self._admit(job, record, load, now, waited)

    def states(self, job: Job, records: Iterable[EndpointRecord], now: float) -> list[ServiceState]:
        """Returns what the choice between endpoints is based on."""
        records = list(records)
        paces = self._ratios.of_service(
            job.service,
            (record.endpoint for record in self._endpoints.ready(job.service)),
            [record.endpoint for record in records],
            now,
        )
        return [self._service_state(record, paces[record.endpoint]) for record in records]

    def pace(self, record: EndpointRecord, now: float) -> float:
        """Returns how many times as long as the usual endpoint of its service one takes."""
        peers = (peer.endpoint for peer in self._endpoints.ready(record.service))
        paces = self._ratios.of_service(record.service, peers, [record.endpoint], now)
        return paces[record.endpoint]

    def service_time(self, service: str) -> float | None:
        """Returns the seconds that a request takes, at first by the reports of others."""
        own = self._times.estimate(service)
        return own if own is not None else self._demands.peer_service_time(service)

    def _count(self, job: Job, now: float) -> None:
        """Counts a request once in what its service is asked for."""
        if job.is_counted:
            return
        job.is_counted = True
        self._demands.record(job.service, kind_of(job), job.route.objective, now)

    def _service_load(
        self, job: Job, records: Sequence[EndpointRecord], service_time: float
    ) -> ServiceLoad:
        objective = self._demands.shortest_objective(job.service) or job.route.objective
        return ServiceLoad(
            sum(record.slots for record in records),
            sum(self._traffic.load_at(record.endpoint).running for record in records),
            sum(self._traffic.running_of_peers(record.endpoint) for record in records),
            service_time,
            objective,
            self._peer_lag(),
        )

    def _admit(
        self, job: Job, record: EndpointRecord, load: ServiceLoad, now: float, waited: float
    ) -> EndpointRecord | NoEndpointReason | None:
        """Returns the chosen endpoint if the request is admitted, or why not; None if it waits."""
        request = AdmissionRequest(
            kind_of(job),
            f"{job.request.sender} {job.content_key}",
            job.route.objective,
            now - job.request.received,
            waited,
            job.dispatch_count > 0,
            job.is_admitted,
        )
        decision = self._admissions.setdefault(job.service, ServiceAdmission()).decide(
            request,
            load,
            self._demands.own_rates(job.service, now),
            self._demands.peer_rates(job.service),
            EndpointRoom(self._traffic.load_at(record.endpoint).running, record.slots),
            Clock(now, unix_time(), self._draw()),
        )
        if decision is Decision.SEND:
            job.is_admitted = True
            return record
        if decision is Decision.WAIT:
            job.is_admitted = True
            return None
        assert isinstance(decision, Refusal)
        job.overload = decision
        return NoEndpointReason.OVERLOADED

    def _service_state(self, record: EndpointRecord, pace: float) -> ServiceState:
        return ServiceState(
            record.endpoint,
            record.zone == self._zone,
            record.slots,
            self._traffic.load_at(record.endpoint).running,
            self._outcomes.failure_share(record),
            pace,
        )

    def record_response_time(
        self, job: Job, record: EndpointRecord, took: float, running: int, is_sound: bool
    ) -> None:
        """Records how long a request took at an endpoint.

        Args:
            job: The request.
            record: The endpoint.
            took: Seconds from the dispatch to the head of the response.
            running: Requests that were in flight at the endpoint when this one was dispatched.
            is_sound: Whether the response was no failure, which ends quickly at any pace.
        """
        if not is_sound:
            return
        if running <= record.slots:
            self._traffic.record_pace(record.endpoint, took, ANSWER_EXPECTED)
        self._times.record_answer(job.service, took, running, record.slots)


def kind_of(job: Job) -> Kind:
    """Returns the kind under which a request competes for its service."""
    return Kind(job.priority, team_key(job.team.name) if job.team is not None else NO_TEAM)
