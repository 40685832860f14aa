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

from wigeonarch_core.rests import Rests
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.endpoints import Endpoints
from wigeonarch_gateway.limits import Limits
from wigeonarch_gateway.messages import LeavingTold, Message
from wigeonarch_gateway.ports import EndpointRecord, Notice


class Notices:
    """Takes up what endpoints say of themselves."""

    __slots__ = ("_endpoints", "_limits", "_rests", "_send_all")

    def __init__(
        self,
        endpoints: Endpoints,
        limits: Limits,
        rests: Rests,
        send_all: Callable[[Message], None],
    ) -> None:
        self._endpoints = endpoints
        self._limits = limits
        self._rests = rests
        self._send_all = send_all

    def answered(self, record: EndpointRecord, notice: Notice, sent: float) -> None:
        """Takes up what the answer to a caller's request says that was sent at a time."""
        self._limits.noted(record, notice.limit, sent)
        self.called(record, notice)

    def called(self, record: EndpointRecord, notice: Notice) -> None:
        """Takes up what any answer says, also to an order or a report's request."""
        if notice.leaving and self._endpoints.leaves(record.endpoint, record.born):
            log("endpoint_leaves", endpoint=record.endpoint, born=record.born)
            self._send_all(LeavingTold([(record.endpoint, record.born)]))
        if notice.rest and self._rests.asked(record.endpoint, notice.rest, monotonic()):
            log("rest_asked", endpoint=record.endpoint, seconds=notice.rest)

    def told(self, told: LeavingTold) -> None:
        """Takes over what other instances read."""
        for endpoint, born in told.leaving:
            if self._endpoints.leaves(endpoint, born):
                log("endpoint_leaves", endpoint=endpoint, born=born, by="peer")

    def known(self) -> LeavingTold | None:
        """Returns what an instance that just started should know; None for nothing."""
        leaving = self._endpoints.leaving()
        return LeavingTold(leaving) if leaving else None
