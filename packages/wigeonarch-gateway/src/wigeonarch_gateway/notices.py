"""What endpoints say of themselves in the heads of answers, and who has to know.

That an endpoint leaves concerns all instances, and each may be the only one that hears it: the
store, by which all would learn it, may be away. So whoever reads it first tells all others, and
those that start later. It holds for the incarnation that said so, and is never taken back.

That it wants to be left alone for some seconds concerns this instance: each is asked by itself, and
one that was not may be welcome. So it is told to nobody.

How many requests a second an endpoint takes from all instances is kept by `limits`.
"""

from __future__ import annotations

from collections.abc import Callable

from wigeonarch_core.cooldowns import Cooldowns
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.limits import EndpointLimits
from wigeonarch_gateway.messages import LeavingEndpoints, Message
from wigeonarch_gateway.ports import EndpointRecord, Notice


class Notices:
    """Takes up what endpoints say of themselves."""

    __slots__ = ("_cooldowns", "_endpoints", "_limits", "_send_all")

    def __init__(
        self,
        endpoints: EndpointRegistry,
        limits: EndpointLimits,
        cooldowns: Cooldowns,
        send_all: Callable[[Message], None],
    ) -> None:
        self._endpoints = endpoints
        self._limits = limits
        self._cooldowns = cooldowns
        self._send_all = send_all

    def note_response(self, record: EndpointRecord, notice: Notice, sent: float) -> None:
        """Takes up what the answer to a caller's request says that was sent at a time."""
        self._limits.record_limit(record, notice.limit, sent)
        self.note(record, notice)

    def note(self, record: EndpointRecord, notice: Notice) -> None:
        """Takes up what any answer says, also to an order or a report's request."""
        if notice.leaving and self._endpoints.mark_leaving(record.endpoint, record.born):
            log("endpoint_leaves", endpoint=record.endpoint, born=record.born)
            self._send_all(LeavingEndpoints([(record.endpoint, record.born)]))
        if notice.cooldown and self._cooldowns.start(record.endpoint, notice.cooldown, monotonic()):
            log("rest_asked", endpoint=record.endpoint, seconds=notice.cooldown)

    def receive_leaving(self, message: LeavingEndpoints) -> None:
        """Takes over what other instances read."""
        for endpoint, born in message.leaving:
            if self._endpoints.mark_leaving(endpoint, born):
                log("endpoint_leaves", endpoint=endpoint, born=born, by="peer")

    def known_leaving(self) -> LeavingEndpoints | None:
        """Returns what an instance that just started should know; None for nothing."""
        leaving = self._endpoints.leaving_incarnations()
        return LeavingEndpoints(leaving) if leaving else None
