"""What callers ask for of plain services that are busy: measured here, and reported by others.

Only services whose endpoints are busy are reported, with a bounded number of kinds of requests, so
that heartbeats stay as short as before while there is no overload. A report replaces the sender's
last one, and is dropped when the sender is silent.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from typing import Final

from wigeonarch_core.service_admission import WATCH_TIME
from wigeonarch_core.service_demand import Kind, RequestRates, largest_kinds

from wigeonarch_gateway.messages import ServiceDemand

# Kinds of requests in a heartbeat, over all services; about 100 bytes.
MAX_REPORTED_KINDS: Final = 8
# The same for a whole zone, which only few messages a second contain.
MAX_ZONE_KINDS: Final = 24
MAX_REPORTED_SERVICES: Final = 2
MAX_SERVICES: Final = 1000  # Services that are measured at the same time.
RATE_UNITS: Final = 10.0  # Reported units in one request a second.
MAX_RATE_UNITS: Final = 1_000_000_000


class ServiceDemands:
    """Demand for plain services, by kind of request."""

    __slots__ = ("_busy", "_peers", "_rates", "_times")

    def __init__(self) -> None:
        self._rates: dict[str, RequestRates] = {}
        self._busy: dict[str, float] = {}
        self._times: dict[str, float] = {}
        self._peers: dict[str, dict[str, ServiceDemand]] = {}

    def record(self, service: str, kind: Kind, objective: float, now: float) -> None:
        """Counts a request of a caller, with its latency objective in seconds."""
        rates = self._rates.get(service)
        if rates is None:
            if len(self._rates) >= MAX_SERVICES:
                del self._rates[next(iter(self._rates))]
            rates = self._rates[service] = RequestRates(now)
        rates.record(kind, objective, now)

    def own_rates(self, service: str, now: float) -> dict[Kind, float]:
        """Returns the requests a second of each kind that this instance is asked for."""
        rates = self._rates.get(service)
        return rates.rates(now) if rates is not None else {}

    def shortest_objective(self, service: str) -> float:
        """Returns the shortest latency objective of recent requests, in seconds; 0 without any."""
        rates = self._rates.get(service)
        return rates.shortest_objective() if rates is not None else 0.0

    def note_busy(self, service: str, service_time: float | None, now: float) -> None:
        """Notes that the endpoints of a service are busy, so that others must hear of it."""
        self._busy[service] = now
        self._times[service] = service_time or 0.0

    def is_watched(self, service: str, now: float) -> bool:
        """Tells whether the endpoints of a service were busy recently."""
        return now - self._busy.get(service, -WATCH_TIME) < WATCH_TIME

    def receive(self, sender: str, demands: list[ServiceDemand]) -> None:
        """Takes over what another instance reports."""
        if demands:
            self._peers[sender] = {demand.service: demand for demand in demands}
        else:
            self._peers.pop(sender, None)

    def forget_instance(self, sender: str) -> None:
        """Forgets what a silent instance reported."""
        self._peers.pop(sender, None)

    def peer_rates(self, service: str) -> dict[Kind, float]:
        """Returns the requests a second of each kind that others report."""
        return self._sum_reports(service, self._peers)

    def peer_service_time(self, service: str) -> float | None:
        """Returns the seconds that a request takes by the reports of others; None if unknown."""
        reports = (reported.get(service) for reported in self._peers.values())
        times = [report.time_ms for report in reports if report is not None and report.time_ms > 0]
        return statistics.median(times) / 1000 if times else None

    def own_report(self, now: float) -> list[ServiceDemand]:
        """Returns what this instance is asked for of busy services, for its heartbeats."""
        return self._report((), MAX_REPORTED_KINDS, now)

    def combined_report(self, senders: Iterable[str], now: float) -> list[ServiceDemand]:
        """Returns what this instance and some others are asked for, added up."""
        return self._report(senders, MAX_ZONE_KINDS, now)

    def _report(self, senders: Iterable[str], max_kinds: int, now: float) -> list[ServiceDemand]:
        self._busy = {name: at for name, at in self._busy.items() if now - at < WATCH_TIME}
        self._times = {name: self._times[name] for name in self._busy}
        names = set(senders)
        services = set(self._busy).union(*(self._peers.get(name, ()) for name in names))
        demands = {}
        for service in services:
            demand = self._sum_reports(service, names)
            for kind, rate in self.own_rates(service, now).items():
                demand[kind] = demand.get(kind, 0.0) + rate
            demands[service] = demand
        largest = sorted(services, key=lambda name: -sum(demands[name].values()))
        reported = largest[:MAX_REPORTED_SERVICES]
        return [
            self._encode(service, largest_kinds(demands[service], max_kinds // len(reported)))
            for service in reported
        ]

    def _encode(self, service: str, demand: dict[Kind, float]) -> ServiceDemand:
        kinds = [
            (kind.rank, kind.team, min(MAX_RATE_UNITS, round(rate * RATE_UNITS)))
            for kind, rate in demand.items()
        ]
        service_time = self._times.get(service) or self.peer_service_time(service) or 0.0
        return ServiceDemand(service, round(service_time * 1000), kinds)

    def _sum_reports(self, service: str, senders: Iterable[str]) -> dict[Kind, float]:
        total: dict[Kind, float] = {}
        for sender in senders:
            report = self._peers.get(sender, {}).get(service)
            for rank, team, units in report.kinds if report is not None else ():
                kind = Kind(rank, team)
                total[kind] = total.get(kind, 0.0) + max(0, units) / RATE_UNITS
        return total
