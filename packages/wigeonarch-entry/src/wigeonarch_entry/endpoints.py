"""Which endpoints of a service may be called now: those that take work and are reached."""

from __future__ import annotations

import random
from typing import Final

from wigeonarch_core.circuit import CircuitBreakers
from wigeonarch_core.fleet import Endpoint, Fleet
from wigeonarch_core.lifecycle import Event, Phase
from wigeonarch_core.outcomes import Reason
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.attempts import NO_ENDPOINT_RETRY, FailedAttempt, Progress

# What says that an endpoint cannot be reached, whatever the request.
_TRANSPORT_FAILURES: Final = frozenset({Event.CONNECT_FAILED, Event.LOST, Event.SILENT})


class EndpointSelector:
    """The endpoints that this instance calls, with their circuits."""

    __slots__ = ("_circuit_breakers", "_fleet")

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._circuit_breakers = CircuitBreakers(rng)

    def available(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that take new work and have no open circuit."""
        now = monotonic()
        serving = self._fleet.endpoints_serving(service)
        return [e for e in serving if self._circuit_breakers.allows(e.listed.name, now)]

    def candidates(self, service: str, progress: Progress) -> list[Endpoint]:
        """Returns the endpoints that a request may go to next: new ones, if there are any."""
        left = [e for e in self.available(service) if e.listed.name not in progress.excluded]
        return [e for e in left if e.listed.name not in progress.avoided] or left

    def no_endpoint(self, service: str) -> FailedAttempt:
        """Tells why no endpoint can be tried, and when one may be."""
        now = monotonic()
        pauses = [
            self._circuit_breakers.retry_after(e.listed.name, now)
            for e in self._fleet.endpoints_serving(service)
        ]
        if pauses and min(pauses) > 0.0:
            return FailedAttempt(Phase.QUEUED, Event.REFUSED, Reason.CIRCUIT_OPEN, min(pauses))
        return FailedAttempt(Phase.QUEUED, Event.REFUSED, Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY)

    def call_started(self, endpoint: Endpoint) -> None:
        """Notes that a call to an endpoint begins."""
        self._circuit_breakers.begin_call(endpoint.listed.name, monotonic())

    def work_refused(self, endpoint: Endpoint, reason: Reason) -> None:
        """Notes why an endpoint, or its owner, took no work."""
        if reason is Reason.ENDPOINT_LEAVING:
            self._fleet.observe_leaving(endpoint.listed.name)

    def call_ended(self, endpoint: Endpoint, ended: object) -> None:
        """Notes how a call to an endpoint went."""
        name = endpoint.listed.name
        if not isinstance(ended, FailedAttempt):
            self._circuit_breakers.record_success(name)
            return
        self.work_refused(endpoint, ended.reason)
        if ended.event in _TRANSPORT_FAILURES:
            self._circuit_breakers.record_failure(name, monotonic())
            return
        self._circuit_breakers.record_success(name)
