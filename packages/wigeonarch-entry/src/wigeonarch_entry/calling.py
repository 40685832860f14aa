"""One attempt at a call to a plain service: choose an endpoint, call it."""

from __future__ import annotations

import random
from typing import Final

from wigeonarch_core.fleet import Endpoint
from wigeonarch_core.lifecycle import Event, Phase
from wigeonarch_core.outcomes import Answered, Failed, Outcome, Reason
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.attempts import NO_ENDPOINT_RETRY, Mishap, Progress
from wigeonarch_entry.endpoints import Endpoints
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.requests import Call, Request
from wigeonarch_entry.services import CallBroken, ServiceCall, Services

_LEAST_ERROR: Final = 400


class Calling:
    """Attempts at calls to plain services."""

    __slots__ = ("_endpoints", "_journal", "_rng", "_services", "_zone")

    def __init__(
        self,
        zone: str,
        endpoints: Endpoints,
        services: Services,
        journal: Journal,
        rng: random.Random,
    ) -> None:
        self._zone = zone
        self._endpoints = endpoints
        self._services = services
        self._journal = journal
        self._rng = rng

    async def attempt(self, req: Request, work: Call, progress: Progress) -> Outcome | Mishap:
        """Makes one attempt: chooses an endpoint and calls it."""
        endpoint = self._choose(work, progress)
        if endpoint is None:
            return self._endpoints.nowhere(req.service)
        remaining = req.deadline - monotonic()
        if remaining <= 0:
            return Mishap(Phase.QUEUED, Event.DEADLINE, Reason.DEADLINE)
        name = endpoint.listed.name
        self._journal.note(req.id, "dispatch", detail=f"{work.operation} to {name}")
        call = ServiceCall(
            dispatch=f"{req.id}.{progress.retries}",
            operation=work.operation,
            body=work.body,
            key=req.key,
            repeatable=req.idempotent,
            remaining=remaining,
        )
        self._endpoints.calling(endpoint)
        reply = await self._services.call(endpoint.listed.address, call)
        if isinstance(reply, CallBroken):
            failed = reply.event is Event.CONNECT_FAILED
            phase = Phase.QUEUED if failed else Phase.SENT
            mishap = Mishap(phase, reply.event, reply.reason, NO_ENDPOINT_RETRY)
            progress.note(name, mishap)
            self._endpoints.called(endpoint, mishap)
            return mishap
        self._endpoints.called(endpoint, reply)
        if reply.status >= _LEAST_ERROR:
            return Failed(Reason.ENDPOINT_ERROR, reply.status, reply.body)
        return Answered(reply.body)

    def _choose(self, work: Call, progress: Progress) -> Endpoint | None:
        serving = self._endpoints.left_for(work.service, progress)
        near = [e for e in serving if e.listed.zone == self._zone]
        return self._rng.choice(near or serving) if serving else None
