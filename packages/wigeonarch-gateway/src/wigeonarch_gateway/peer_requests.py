"""Serves requests that peers hand over because they reach no endpoint for them.

Keys, quotas and the count of new requests were settled at the instance that took the request from
its caller. This one routes it by the configuration that it has in force itself, sends it to
endpoints, and never hands it over again. As it believes what the request says of its key and its
time under way, it serves only requests from the address of an instance that it knows.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from msgspec.structs import replace
from wigeonarch_core.stream_origins import Origin
from wigeonarch_core.teams import Team
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway import texts
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.exchange import CallerRequest, ResponseWriter
from wigeonarch_gateway.internal_headers import (
    NOT_RUN_HEADER,
    TERMS_HEADER,
    without_internal_headers,
)
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.peer_terms import REFUSAL_STATUSES, HandoverTerms, decode_terms
from wigeonarch_gateway.ports import Dialect, Headers, RequestTerms
from wigeonarch_gateway.responder import Responder
from wigeonarch_gateway.serving import RequestPipeline, make_job

UNAVAILABLE: Final = 503
FORBIDDEN: Final = 403


class PeerRequests:
    """Serves the requests that peers hand over."""

    __slots__ = ("_catalogue", "_dialect", "_is_instance", "_metrics", "_pipeline", "_responder")

    def __init__(
        self,
        dialect: Dialect,
        catalogue: Catalogue,
        pipeline: RequestPipeline,
        responder: Responder,
        metrics: Metrics,
        is_instance: Callable[[str], bool],
    ) -> None:
        """Creates a handler.

        Args:
            dialect: The platform's names of headers.
            catalogue: Configuration in force.
            pipeline: Serves requests.
            responder: Sends refusals.
            metrics: Counters.
            is_instance: Tells whether an instance of this deployment has an IP address.
        """
        self._is_instance = is_instance
        self._dialect = dialect
        self._catalogue = catalogue
        self._pipeline = pipeline
        self._responder = responder
        self._metrics = metrics

    async def serve(self, request: CallerRequest, response: ResponseWriter) -> None:
        """Responds to a request; the task is cancelled when the peer closes its connection."""
        if not self._is_instance(request.sender):
            log("handover_denied", "WARNING", sender=request.sender)
            self._metrics.handovers.labels("in", "denied").inc()
            # An instance that just started may not be known here yet, and asks another peer.
            not_run = [(NOT_RUN_HEADER, b"1")]
            await response.send(FORBIDDEN, not_run, texts.NOT_AN_INSTANCE.encode())
            return
        values = [value for name, value in request.raw_headers if name.lower() == TERMS_HEADER]
        try:
            (value,) = values
            handover = decode_terms(value)
        except ValueError as exc:
            log("handover_unreadable", "WARNING", reason=repr(exc))
            await response.send(UNAVAILABLE, [(NOT_RUN_HEADER, b"1")], texts.BAD_HANDOVER.encode())
            return
        terms = self._dialect.read_terms(request.headers)
        marked = _PeerResponseWriter(response)
        refusal = await self._serve(without_internal_headers(request), terms, handover, marked)
        self._metrics.handovers.labels("in", refusal or "served").inc()
        if refusal:
            await self._responder.refuse(marked, terms, refusal, texts.NO_ENDPOINT)

    async def _serve(
        self,
        request: CallerRequest,
        terms: RequestTerms,
        handover: HandoverTerms,
        response: ResponseWriter,
    ) -> str:
        """Serves a request, or returns the reason to refuse it."""
        table = self._catalogue.table
        route = None if table is None else table.find(request.host, request.path)
        if table is None or route is None:
            return "no_route_for_peer"
        team: Team | None = None
        if handover.team:
            team = table.teams.get(handover.team) if table.teams is not None else None
            if team is None:
                return "no_team_for_peer"
        job = make_job(request, terms, response, route, table, team)
        job.request = replace(request, received=request.received - handover.elapsed)
        job.deadline = min(job.deadline, job.request.received + route.timeout)
        job.from_peer = True
        if handover.software:
            job.origin = Origin(handover.service, handover.software)
            job.service, job.spec = handover.service, table.services.get(handover.service)
        job.may_have_run_on = list(handover.ran_on)
        job.avoided_endpoints = set(handover.ran_on)
        log(
            "taken_over",
            request=job.request_id,
            origin=handover.origin,
            service=job.service,
            elapsed=handover.elapsed,
            left=job.deadline - monotonic(),
        )
        await self._pipeline.run(job)
        return ""


class _PeerResponseWriter:
    """Sends the response to a peer; implements `exchange.ResponseWriter`."""

    __slots__ = ("_response",)

    def __init__(self, response: ResponseWriter) -> None:
        self._response = response

    @property
    def started(self) -> bool:
        """Tells whether a part of the response was sent."""
        return self._response.started

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response, marked if it states that the request has not run."""
        if status in REFUSAL_STATUSES:
            headers = [*headers, (NOT_RUN_HEADER, b"1")]
        await self._response.send(status, headers, body)

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head of a response whose body follows in parts."""
        await self._response.start(status, headers)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._response.write(data)

    async def finish(self) -> None:
        """Marks the response as complete."""
        await self._response.finish()

    def abort(self) -> None:
        """Closes the connection, so that the peer does not take the response for complete."""
        self._response.abort()
