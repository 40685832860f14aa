"""Which endpoints of a service may be called now: those that take work and are reached."""

from __future__ import annotations

import random
from typing import Final

from wigeonarch_core.circuit import Circuits
from wigeonarch_core.fleet import Endpoint, Fleet
from wigeonarch_core.lifecycle import Event, Phase
from wigeonarch_core.outcomes import Reason
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.attempts import NO_ENDPOINT_RETRY, Mishap, Progress

# What says that an endpoint cannot be reached, whatever the request.
_TRANSPORT: Final = frozenset({Event.CONNECT_FAILED, Event.LOST, Event.SILENT})


class Endpoints:
    """The endpoints that this instance calls, with their circuits."""

    __slots__ = ("_circuits", "_fleet")

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._circuits = Circuits(rng)

    def callable(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that take new work and have no open circuit."""
        now = monotonic()
        serving = self._fleet.serving(service)
        return [e for e in serving if self._circuits.allows(e.listed.name, now)]

    def left_for(self, service: str, progress: Progress) -> list[Endpoint]:
        """Returns the endpoints that a request may go to next: new ones, if there are any."""
        left = [e for e in self.callable(service) if e.listed.name not in progress.refused]
        return [e for e in left if e.listed.name not in progress.tried] or left

    def nowhere(self, service: str) -> Mishap:
        """Tells why no endpoint can be tried, and when one may be."""
        now = monotonic()
        pauses = [
            self._circuits.retry_after(e.listed.name, now) for e in self._fleet.serving(service)
        ]
        if pauses and min(pauses) > 0.0:
            return Mishap(Phase.QUEUED, Event.REFUSED, Reason.CIRCUIT_OPEN, min(pauses))
        return Mishap(Phase.QUEUED, Event.REFUSED, Reason.NO_ENDPOINT, NO_ENDPOINT_RETRY)

    def calling(self, endpoint: Endpoint) -> None:
        """Notes that a call to an endpoint begins."""
        self._circuits.calling(endpoint.listed.name, monotonic())

    def refused(self, endpoint: Endpoint, reason: Reason) -> None:
        """Notes why an endpoint, or its owner, took no work."""
        if reason is Reason.ENDPOINT_LEAVING:
            self._fleet.said_leaving(endpoint.listed.name)

    def called(self, endpoint: Endpoint, ended: object) -> None:
        """Notes how a call to an endpoint went."""
        name = endpoint.listed.name
        if not isinstance(ended, Mishap):
            self._circuits.succeeded(name)
            return
        self.refused(endpoint, ended.reason)
        if ended.event in _TRANSPORT:
            self._circuits.failed(name, monotonic())
            return
        self._circuits.succeeded(name)
