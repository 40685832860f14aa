"""Selects the endpoints of a service that may be called now.

These take new work and have no open circuit breaker. A circuit breaker opens when an endpoint could
not be reached; a response that reports an error does not open it.
"""

from __future__ import annotations

import random
from typing import Final

from wigeonarch_core.circuit import CircuitBreakers
from wigeonarch_core.fleet import Endpoint, Fleet
from wigeonarch_core.lifecycle import Event, Phase
from wigeonarch_core.outcomes import Reason
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.attempts import NO_ENDPOINT_RETRY, FailedAttempt, Progress

# Events which mean that an endpoint cannot be reached, whatever the request was.
_TRANSPORT_FAILURES: Final = frozenset({Event.CONNECT_FAILED, Event.LOST, Event.SILENT})


class EndpointSelector:
    """The endpoints that this instance can call, with their circuit breakers."""

    __slots__ = ("_circuit_breakers", "_fleet")

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._circuit_breakers = CircuitBreakers(rng)

    def available(self, service: str) -> list[Endpoint]:
        """Returns a service's endpoints that take new work and have no open circuit breaker."""
        now = monotonic()
        endpoints = self._fleet.endpoints_serving(service)
        return [e for e in endpoints if self._circuit_breakers.allows(e.listed.name, now)]

    def candidates(self, service: str, progress: Progress) -> list[Endpoint]:
        """Returns the endpoints that a request may be sent to next.

        Endpoints that already failed this request are returned only if there are no others.
        """
        allowed = [e for e in self.available(service) if e.listed.name not in progress.excluded]
        return [e for e in allowed if e.listed.name not in progress.avoided] or allowed

    def no_endpoint(self, service: str) -> FailedAttempt:
        """Returns the failure for an attempt that found no endpoint, with the time to a retry."""
        now = monotonic()
        waits = [
            self._circuit_breakers.retry_after(e.listed.name, now)
            for e in self._fleet.endpoints_serving(service)
        ]
        if waits and min(waits) > 0.0:
            return FailedAttempt(Phase.QUEUED, Event.REFUSED, Reason.CIRCUIT_OPEN, min(waits))
        return FailedAttempt(Phase.QUEUED, Event.REFUSED, Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY)

    def call_started(self, endpoint: Endpoint) -> None:
        """Records that a call to an endpoint starts."""
        self._circuit_breakers.begin_call(endpoint.listed.name, monotonic())

    def work_refused(self, endpoint: Endpoint, reason: Reason) -> None:
        """Records why an endpoint, or its owner, refused work."""
        if reason is Reason.ENDPOINT_LEAVING:
            self._fleet.observe_leaving(endpoint.listed.name)

    def call_ended(self, endpoint: Endpoint, result: object) -> None:
        """Records how a call to an endpoint ended.

        Args:
            endpoint: The endpoint that was called.
            result: A `FailedAttempt`; any other value means that the endpoint answered.
        """
        name = endpoint.listed.name
        if not isinstance(result, FailedAttempt):
            self._circuit_breakers.record_success(name)
            return
        self.work_refused(endpoint, result.reason)
        if result.event in _TRANSPORT_FAILURES:
            self._circuit_breakers.record_failure(name, monotonic())
            return
        self._circuit_breakers.record_success(name)
