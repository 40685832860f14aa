"""Attempts to call a plain service: each chooses an endpoint and calls it once."""

from __future__ import annotations

import random
from typing import Final

from wigeonarch_core.fleet import Endpoint
from wigeonarch_core.lifecycle import UNSENT_EVENTS, Event, Phase
from wigeonarch_core.outcomes import Answered, Failed, Outcome, Reason
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.attempts import NO_ENDPOINT_RETRY, FailedAttempt, Progress
from wigeonarch_entry.endpoints import EndpointSelector
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.requests import Call, Request
from wigeonarch_entry.services import CallBroken, ServiceCall, ServiceClient

_MIN_ERROR_STATUS: Final = 400


class ServiceCallAttempts:
    """Makes single attempts to call plain services."""

    __slots__ = ("_endpoints", "_journal", "_rng", "_services", "_zone")

    def __init__(
        self,
        zone: str,
        endpoints: EndpointSelector,
        services: ServiceClient,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._endpoints = endpoints
        self._services = services
        self._journal = journal
        self._rng = rng

    async def run(self, req: Request, work: Call, progress: Progress) -> Outcome | FailedAttempt:
        """Makes one attempt; returns the outcome, or the failure that ended the attempt."""
        endpoint = self._choose(work, progress)
        if endpoint is None:
            return self._endpoints.no_endpoint(req.service)
        remaining = req.deadline - monotonic()
        if remaining <= 0:
            return FailedAttempt(Phase.QUEUED, Event.DEADLINE, Reason.DEADLINE)
        name = endpoint.listed.name
        self._journal.note(req.id, "dispatch", detail=f"{work.operation} to {name}")
        call = ServiceCall(
            dispatch=f"{req.id}.{progress.attempts}",
            operation=work.operation,
            body=work.body,
            key=req.key,
            idempotent=req.idempotent,
            remaining=remaining,
        )
        self._endpoints.call_started(endpoint)
        reply = await self._services.call(endpoint.listed.address, call)
        if isinstance(reply, CallBroken):
            phase = Phase.QUEUED if reply.event in UNSENT_EVENTS else Phase.SENT
            failure = FailedAttempt(phase, reply.event, reply.reason, NO_ENDPOINT_RETRY)
            progress.record_failure(name, failure)
            self._endpoints.call_ended(endpoint, failure)
            return failure
        self._endpoints.call_ended(endpoint, reply)
        if reply.status >= _MIN_ERROR_STATUS:
            return Failed(Reason.ENDPOINT_ERROR, reply.status, reply.body)
        return Answered(reply.body)

    def _choose(self, work: Call, progress: Progress) -> Endpoint | None:
        candidates = self._endpoints.candidates(work.service, progress)
        same_zone = [e for e in candidates if e.listed.zone == self._zone]
        return self._rng.choice(same_zone or candidates) if candidates else None
