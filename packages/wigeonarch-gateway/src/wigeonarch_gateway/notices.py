"""Handles what endpoints state about themselves in the head of a response.

That an endpoint is leaving concerns all instances, and each may be the only one to read it, because
the store, from which all would learn it, may be away. So the first instance that reads it tells all
others, and also those that start later. It applies to the incarnation that stated it, and is never
withdrawn.

A cooldown, for which an endpoint wants no calls for some seconds, concerns only this instance. Each
instance is asked by itself, and the endpoint may accept calls from one that was not, so it is not
sent to others.

The request rate that an endpoint accepts from all instances together is handled by `limits`, and
that it crashes when it has to turn too many away by `brittle_endpoints`.
"""

from __future__ import annotations

from collections.abc import Callable

from wigeonarch_core.cooldowns import Cooldowns
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.brittle_endpoints import BrittleEndpoints
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.limits import EndpointLimits
from wigeonarch_gateway.messages import LeavingEndpoints, Message
from wigeonarch_gateway.ports import EndpointRecord, Notice


class Notices:
    """Handles the notices of endpoints."""

    __slots__ = ("_brittle", "_cooldowns", "_endpoints", "_limits", "_send_all", "_unreadable")

    def __init__(
        self,
        endpoints: EndpointRegistry,
        limits: EndpointLimits,
        cooldowns: Cooldowns,
        brittle: BrittleEndpoints,
        send_all: Callable[[Message], None],
    ) -> None:
        self._endpoints = endpoints
        self._limits = limits
        self._cooldowns = cooldowns
        self._send_all = send_all
        self._brittle = brittle
        self._unreadable: set[str] = set()  # Endpoints of which an unreadable notice was logged.

    def note_response(self, record: EndpointRecord, notice: Notice, sent: float, ran: bool) -> None:
        """Handles the notice in the response to a caller's request.

        Args:
            record: The endpoint.
            notice: The notice.
            sent: Time at which the request was dispatched, in seconds.
            ran: Whether the endpoint ran the request. A rejection ends no limit: an endpoint that
                turns requests away has not recovered.
        """
        if ran or notice.limit is not None:
            self._limits.record_limit(record, notice.limit, sent)
        self._note(record, notice, sent, ran)

    def note(self, record: EndpointRecord, notice: Notice) -> None:
        """Handles the notice in the response to an order or a request for a report."""
        self._note(record, notice, monotonic(), ran=False)

    def _note(self, record: EndpointRecord, notice: Notice, sent: float, ran: bool) -> None:
        self._note_brittle(record, notice, sent, ran)
        if notice.leaving and self._endpoints.mark_leaving(record.endpoint, record.born):
            log("endpoint_leaves", endpoint=record.endpoint, born=record.born)
            self._send_all(LeavingEndpoints([(record.endpoint, record.born)]))
        if notice.cooldown and self._cooldowns.start(record.endpoint, notice.cooldown, monotonic()):
            log("rest_asked", endpoint=record.endpoint, seconds=notice.cooldown)

    def _note_brittle(self, record: EndpointRecord, notice: Notice, sent: float, ran: bool) -> None:
        """Handles how many rejections an endpoint tolerates; what can't be read is ignored."""
        if not notice.unreadable:
            self._brittle.record_response(record, notice.tolerated, sent, ran)
        elif record.endpoint not in self._unreadable:
            self._unreadable.add(record.endpoint)
            log("notice_unreadable", "WARNING", endpoint=record.endpoint)

    def receive_leaving(self, message: LeavingEndpoints) -> None:
        """Applies what another instance read."""
        for endpoint, born in message.leaving:
            if self._endpoints.mark_leaving(endpoint, born):
                log("endpoint_leaves", endpoint=endpoint, born=born, by="peer")

    def known_leaving(self) -> LeavingEndpoints | None:
        """Returns the leaving endpoints, for an instance that just started; None without any."""
        leaving = self._endpoints.leaving_incarnations()
        return LeavingEndpoints(leaving) if leaving else None
