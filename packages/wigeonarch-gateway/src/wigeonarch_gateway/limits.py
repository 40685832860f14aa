"""Rates that endpoints name: how many requests a second one takes from all instances together."""

from __future__ import annotations

from wigeonarch_entry.logs import log

from wigeonarch_gateway.ports import EndpointRecord


class Limits:
    """The rates that endpoints name, by endpoint, in requests a second."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def noted(self, record: EndpointRecord, rate: float | None) -> None:
        """Notes what an answer says; None when it names no limit."""
        before = self._rates.get(record.endpoint)
        if rate == before:
            return
        log("limit_named", endpoint=record.endpoint, rate=rate, before=before)
        if rate is None:
            del self._rates[record.endpoint]
        else:
            self._rates[record.endpoint] = rate
