"""A plain service before many instances, in virtual time: what callers get by how instances choose.

Endpoints run a few requests at once and queue some more; instances see each other's requests with
the lag of heartbeats, those of other zones with another one on top.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wigeonarch_core.service_choice import ServiceState

SLOTS, QUEUE = 6, 24
WORK = 0.075  # Seconds that a request takes on the whole.
OBJECTIVE = 0.3
LAG = 0.55  # Seconds between heartbeats.
INSTANCES, ZONES = 64, 3
SECONDS = 40.0

Choose = Callable[[list[ServiceState], random.Random], str | None]
Share = Callable[[int], float]


def least_busy(states: list[ServiceState], rng: random.Random) -> str | None:
    """The endpoint that seems least busy, as if the news were fresh."""
    return min(states, key=lambda s: ((s.running + 1) / s.slots, not s.same_zone)).endpoint


@dataclass
class Outcome:
    """What callers got, in parts of what they asked for, and the part that went to other zones."""

    in_time: float
    late: float
    refused: float
    abroad: float


@dataclass
class Service:
    """The service, and what each instance knows of it."""

    load: float
    choose: Choose
    share: Share = lambda running: 1.0
    endpoints: int = 2
    slow: float = 1.0  # How many times as long the first endpoint takes.
    seed: int = 1
    counts: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.ends = [[0.0] * SLOTS for _ in range(self.endpoints)]
        self.under: list[list[float]] = [[] for _ in range(self.endpoints)]
        self.own = [[0] * self.endpoints for _ in range(INSTANCES)]
        self.told = [[0] * self.endpoints for _ in range(INSTANCES)]
        self.in_zone = [[0] * self.endpoints for _ in range(ZONES)]
        self.abroad = [[0] * self.endpoints for _ in range(ZONES)]
        self.counts = {"in_time": 0, "late": 0, "refused": 0, "abroad": 0}
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.number = 0

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, what, args))

    def play(self) -> Outcome:
        for instance in range(INSTANCES):
            self.at(self.rng.random() * LAG, self.beat, instance)
        for zone in range(ZONES):
            self.at(self.rng.random() * LAG, self.tell_abroad, zone)
        self.at(0.0, self.request)
        self.now = 0.0
        while self.events and self.events[0][0] <= SECONDS:
            self.now, _, what, args = heapq.heappop(self.events)
            what(*args)
        asked = sum(self.counts[name] for name in ("in_time", "late", "refused"))
        return Outcome(**{name: count / asked for name, count in self.counts.items()})

    def beat(self, instance: int) -> None:
        zone = self.in_zone[instance % ZONES]
        for place, own in enumerate(self.own[instance]):
            zone[place] += own - self.told[instance][place]
            self.told[instance][place] = own
        self.at(self.now + LAG, self.beat, instance)

    def tell_abroad(self, zone: int) -> None:
        self.abroad[zone] = list(self.in_zone[zone])
        self.at(self.now + LAG, self.tell_abroad, zone)

    def running(self, instance: int, place: int) -> int:
        zone = instance % ZONES
        others = sum(self.abroad[other][place] for other in range(ZONES) if other != zone)
        seen = self.in_zone[zone][place] - self.told[instance][place]
        return self.own[instance][place] + seen + others

    def request(self) -> None:
        rate = self.load * self.endpoints * SLOTS / WORK
        self.at(self.now + self.rng.expovariate(rate), self.request)
        instance = self.rng.randrange(INSTANCES)
        states = [
            ServiceState(
                str(place), place == instance % ZONES, SLOTS, self.running(instance, place), 0.0
            )
            for place in range(self.endpoints)
        ]
        chosen = self.choose(states, self.rng)
        assert chosen is not None
        self.send(instance, int(chosen))

    def send(self, instance: int, place: int) -> None:
        under = self.under[place]
        while under and under[0] <= self.now:
            heapq.heappop(under)
        refused = self.rng.random() >= self.share(self.running(instance, place))
        if refused or len(under) >= SLOTS + QUEUE:
            self.counts["refused"] += 1
            return
        work = WORK * self.rng.lognormvariate(-0.11, 0.47) * (1.0 if place else self.slow)
        end = max(self.now, self.ends[place][0]) + work
        heapq.heapreplace(self.ends[place], end)
        heapq.heappush(under, end)
        self.own[instance][place] += 1
        self.at(end, self.ended, instance, place)
        self.counts["in_time" if end - self.now <= OBJECTIVE else "late"] += 1
        self.counts["abroad"] += place != instance % ZONES

    def ended(self, instance: int, place: int) -> None:
        self.own[instance][place] -= 1
