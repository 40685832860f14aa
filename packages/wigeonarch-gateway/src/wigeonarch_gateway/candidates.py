"""The endpoints that may take a request now.

An endpoint is left out while it leaves or can't be reached, while its limits or a held part of the
prompt keep the request from it, where the request may have run, and where its stream can't go on.
"""

from __future__ import annotations

import copy
from collections.abc import Callable

from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.stream_origins import software_of


class Candidates:
    """The endpoints that may take each request, by what this instance knows of them."""

    __slots__ = ("_endpoints", "_is_settled", "_limit_wait", "_outcomes")

    def __init__(
        self,
        endpoints: EndpointRegistry,
        outcomes: DispatchOutcomes,
        is_settled: Callable[[EndpointRecord], bool],
    ) -> None:
        """Creates the candidates.

        Args:
            endpoints: The known endpoints.
            outcomes: What dispatches showed of endpoints.
            is_settled: Tells whether streams that may be resumed may begin at an endpoint.
        """
        self._endpoints = endpoints
        self._outcomes = outcomes
        self._is_settled = is_settled
        self._limit_wait = outcomes.limit_wait

    def without_effects(self) -> Candidates:
        """Returns the same candidates, which request no permits of limited endpoints."""
        other = copy.copy(self)
        other._limit_wait = self._outcomes.expected_limit_wait
        return other

    def ready(self, job: Job) -> list[EndpointRecord]:
        """Returns the endpoints that take new requests and whose software fits the request.

        A stream goes on only at the software that began it. A part of a prompt may be held back at
        some software only.
        """
        ready = self.fitting(job)
        if not self._outcomes.any_part_held:
            return ready
        return [record for record in ready if not self._outcomes.parts_hold_left(job, record)]

    def fitting(self, job: Job) -> list[EndpointRecord]:
        """Returns the endpoints that take new requests and on which the stream may go on."""
        ready = self._endpoints.ready(job.service)
        if job.origin is None:
            return ready
        return [record for record in ready if software_of(record) == job.origin.software]

    def parts_hold_left(self, job: Job) -> float:
        """Returns the seconds until no part of a prompt keeps it from all endpoints; 0 for now."""
        if not self._outcomes.any_part_held:
            return 0.0
        holds = [self._outcomes.parts_hold_left(job, record) for record in self.fitting(job)]
        return min(holds, default=0.0)

    def may_go_on(self, job: Job) -> bool:
        """Tells whether there is an endpoint on which a stream with events can go on."""
        return any(record.endpoint not in job.may_have_run_on for record in self.ready(job))

    def serving(self, job: Job, now: float) -> list[EndpointRecord]:
        """Returns the endpoints that are ready and not paused; rate limits are ignored."""
        return [record for record in self.ready(job) if not self._outcomes.is_paused(record, now)]

    def usable(self, job: Job, now: float) -> list[EndpointRecord]:
        """Returns the endpoints that may take a request now.

        A stream that may be resumed begins at software that all instances know of, as long as any
        of it can take the stream: others could not tell later where it may go on.
        """
        ready = self.ready(job)
        untried = [record for record in ready if record.endpoint not in job.avoided_endpoints]
        untried = untried or [
            record for record in ready if record.endpoint not in job.may_have_run_on
        ]
        usable = [record for record in untried if not self._outcomes.is_paused(record, now)]
        if self._outcomes.any_limited(now):
            usable = [record for record in usable if not self._limit_wait(record, now)]
        usable = self._outcomes.without_full(job, usable, now)
        if job.origin is None and job.route.resumable:
            return [record for record in usable if self._is_settled(record)] or usable
        return usable

    def limit_wait(self, job: Job, now: float) -> float:
        """Returns the seconds until the first endpoint takes a request within its rate limit.

        An endpoint that is paused takes one when its pause ends. The result is 0 unless limits keep
        the request from an endpoint.
        """
        if not self._outcomes.any_limited(now):
            return 0.0
        waits = [
            (self._limit_wait(record, now), self._outcomes.pause_left(record, now))
            for record in self.ready(job)
        ]
        if not any(limit_wait for limit_wait, _ in waits):
            return 0.0
        return min(max(wait) for wait in waits)
