"""Simulation of a plain service used by many instances: what callers get for a way of choosing.

Time is virtual. Endpoints run a few requests at the same time and queue some more. Instances learn
of each other's requests with the lag of heartbeats; other zones add a second such lag.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wigeonarch_core.service_admission import (
    BUSY_SHARE,
    AdmissionRequest,
    Clock,
    Decision,
    EndpointRoom,
    ServiceAdmission,
    ServiceLoad,
)
from wigeonarch_core.service_choice import ServiceState
from wigeonarch_core.service_demand import NO_TEAM, Kind, RequestRates

SLOTS, QUEUE = 6, 24
WORK = 0.075  # Mean seconds that a request takes.
OBJECTIVE = 0.3
LAG = 0.55  # Seconds between heartbeats.
INSTANCES, ZONES = 64, 3
SECONDS = 40.0
KIND = Kind(0, NO_TEAM)

Choose = Callable[[list[ServiceState], random.Random], str | None]


def least_busy(states: list[ServiceState], rng: random.Random) -> str | None:
    """Returns the endpoint that seems least busy, as if the information were up to date."""
    return min(states, key=lambda s: ((s.running + 1) / s.slots, not s.same_zone)).endpoint


@dataclass
class Outcome:
    """Shares of all requests: by result for the caller, and those sent to other zones."""

    in_time: float
    late: float
    refused: float
    other_zone: float


@dataclass
class Service:
    """The service, and what each instance knows of it.

    Attributes:
        load: Arriving requests, as a share of what the endpoints can serve.
        choose: Chooses the endpoint of a request.
        admission: Whether instances refuse what the service can't do in time.
        endpoints: Number of endpoints.
        slow: Factor by which requests take longer at the first endpoint.
        seed: Seed of the random numbers.
        counts: Requests by result, and those sent to other zones.
    """

    load: float
    choose: Choose
    admission: bool = False
    endpoints: int = 2
    slow: float = 1.0
    seed: int = 1
    counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.slot_free_at = [[0.0] * SLOTS for _ in range(self.endpoints)]
        self.end_times: list[list[float]] = [[] for _ in range(self.endpoints)]
        self.own = [[0] * self.endpoints for _ in range(INSTANCES)]
        self.reported = [[0] * self.endpoints for _ in range(INSTANCES)]
        self.in_zone = [[0] * self.endpoints for _ in range(ZONES)]
        self.other_zone_view = [[0] * self.endpoints for _ in range(ZONES)]
        self.admissions = [ServiceAdmission() for _ in range(INSTANCES)]
        self.rates = [RequestRates(0.0) for _ in range(INSTANCES)]
        self.told_rates = [0.0] * INSTANCES
        self.other_zone_rates = [0.0] * ZONES
        self.counts = {"in_time": 0, "late": 0, "refused": 0, "other_zone": 0}
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = 0

    def schedule(self, when: float, action: Callable[..., None], *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, action, args))

    def run(self) -> Outcome:
        for instance in range(INSTANCES):
            self.schedule(self.rng.random() * LAG, self.heartbeat, instance)
        for zone in range(ZONES):
            self.schedule(self.rng.random() * LAG, self.publish_zone, zone)
        self.schedule(0.0, self.arrive)
        self.now = 0.0
        while self.events and self.events[0][0] <= SECONDS:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        total = sum(self.counts[name] for name in ("in_time", "late", "refused"))
        return Outcome(**{name: count / total for name, count in self.counts.items()})

    def heartbeat(self, instance: int) -> None:
        zone = self.in_zone[instance % ZONES]
        for endpoint, own in enumerate(self.own[instance]):
            zone[endpoint] += own - self.reported[instance][endpoint]
            self.reported[instance][endpoint] = own
        self.told_rates[instance] = sum(self.rates[instance].rates(self.now).values())
        self.schedule(self.now + LAG, self.heartbeat, instance)

    def publish_zone(self, zone: int) -> None:
        self.other_zone_view[zone] = list(self.in_zone[zone])
        self.other_zone_rates[zone] = sum(self.told_rates[zone::ZONES])
        self.schedule(self.now + LAG, self.publish_zone, zone)

    def running(self, instance: int, endpoint: int) -> int:
        zone = instance % ZONES
        others = sum(
            self.other_zone_view[other][endpoint] for other in range(ZONES) if other != zone
        )
        same_zone = self.in_zone[zone][endpoint] - self.reported[instance][endpoint]
        return self.own[instance][endpoint] + same_zone + others

    def arrive(self) -> None:
        rate = self.load * self.endpoints * SLOTS / WORK
        self.schedule(self.now + self.rng.expovariate(rate), self.arrive)
        instance = self.rng.randrange(INSTANCES)
        states = [
            ServiceState(
                str(endpoint),
                endpoint == instance % ZONES,
                SLOTS,
                self.running(instance, endpoint),
                0.0,
            )
            for endpoint in range(self.endpoints)
        ]
        chosen = self.choose(states, self.rng)
        assert chosen is not None
        self.send(instance, int(chosen))

    def send(self, instance: int, endpoint: int) -> None:
        running = self.end_times[endpoint]
        while running and running[0] <= self.now:
            heapq.heappop(running)
        if self.is_refused(instance, endpoint) or len(running) >= SLOTS + QUEUE:
            self.counts["refused"] += 1
            return
        work = WORK * self.rng.lognormvariate(-0.11, 0.47) * (1.0 if endpoint else self.slow)
        end = max(self.now, self.slot_free_at[endpoint][0]) + work
        heapq.heapreplace(self.slot_free_at[endpoint], end)
        heapq.heappush(running, end)
        self.own[instance][endpoint] += 1
        self.schedule(end, self.finish, instance, endpoint)
        self.counts["in_time" if end - self.now <= OBJECTIVE else "late"] += 1
        self.counts["other_zone"] += endpoint != instance % ZONES

    def is_refused(self, instance: int, endpoint: int) -> bool:
        if not self.admission:
            return False
        zone = instance % ZONES
        self.rates[instance].record(KIND, OBJECTIVE, self.now)
        running = [self.running(instance, each) for each in range(self.endpoints)]
        if sum(running) < BUSY_SHARE * SLOTS * self.endpoints:
            return False
        peers = sum(self.told_rates[zone::ZONES]) - self.told_rates[instance]
        peers += sum(self.other_zone_rates) - self.other_zone_rates[zone]
        found = self.admissions[instance].decide(
            AdmissionRequest(KIND, str(self.number), OBJECTIVE),
            ServiceLoad(
                SLOTS * self.endpoints,
                sum(running),
                sum(running) - sum(self.own[instance]),
                WORK,
                OBJECTIVE,
                LAG,
            ),
            self.rates[instance].rates(self.now),
            {KIND: peers},
            EndpointRoom(running[endpoint], SLOTS),
            Clock(self.now, self.now, self.rng.random()),
        )
        return found is not Decision.SEND

    def finish(self, instance: int, endpoint: int) -> None:
        self.own[instance][endpoint] -= 1
