"""Selects the endpoint of a plain service for a request, or refuses what it can't do in time."""

from __future__ import annotations

import copy
import random
from collections.abc import Callable, Iterable
from typing import Final

from wigeonarch_core.service_choice import ServiceState, choose_endpoint
from wigeonarch_core.service_load import ServiceTimes, admitted_share

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
        "_candidates",
        "_draw",
        "_endpoints",
        "_outcomes",
        "_peer_lag",
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
        self._draw = draw
        self._times = ServiceTimes()

    def observing(self, candidates: Candidates, draw: Callable[[], float]) -> PlainSelector:
        """Returns a selector that knows what this one knows, with its own candidates and draws."""
        other = copy.copy(self)
        other._candidates = candidates
        other._draw = draw
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
        records = self._candidates.usable(job, now)
        if waited < FULL_SERVICE_PAUSE and all(
            record.endpoint in job.avoided_endpoints for record in records
        ):
            return None
        service_time = self._times.estimate(job.service)
        chosen = choose_endpoint(
            [self._service_state(r) for r in records], self._peer_lag(), service_time, self._draw()
        )
        record = self._endpoints.get(chosen) if chosen else None
        if record is None or job.dispatch_count:
            return record
        running = self._traffic.load_at(record.endpoint).running
        sent_part = admitted_share(running, record.slots, service_time, job.route.objective)
        return record if self._draw() < sent_part else NoEndpointReason.OVERLOADED

    def states(self, records: Iterable[EndpointRecord]) -> list[ServiceState]:
        """Returns what the choice between endpoints is based on."""
        return [self._service_state(record) for record in records]

    def service_time(self, service: str) -> float | None:
        """Returns the seconds that a request takes without waiting; None while unknown."""
        return self._times.estimate(service)

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
