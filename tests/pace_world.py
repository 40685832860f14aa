"""A plain service with endpoints of uneven pace, used by some instances, on virtual time.

Instances learn of each other's requests and samples by reports that are 0.2 to 1.0 s old.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from wigeonarch_core.endpoint_pace import ANSWER_EXPECTED, EndpointPaces, PaceSums
from wigeonarch_core.service_choice import ServiceState, choose_endpoint

SLOTS, QUEUE = 6, 24
WORK = 0.075  # Mean seconds that a request takes at the usual pace.
OBJECTIVE = 0.3
NEWS_AGE = (0.2, 1.0)  # Seconds between two reports of an instance.
INSTANCES = 4

Slowness = Callable[[int, float], float]


@dataclass
class Instance:
    """What an instance knows: its requests, those that the others reported, and the paces."""

    running: list[int]
    reported: dict[int, list[int]] = field(default_factory=dict)
    paces: EndpointPaces = field(default_factory=EndpointPaces)
    news: dict[int, PaceSums] = field(default_factory=dict)


@dataclass
class PlainWorld:
    """One run.

    Attributes:
        load: Requests as a share of what the endpoints can do at their usual slowness.
        slowness: How many times as long requests take at an endpoint, by time.
        capacity: Sum of the endpoints' paces.
        seed: Seed of the random numbers.
        endpoints: Number of endpoints.
        uses_pace: Whether the choice uses the paces.
        news_lost: Share of the reports that are lost.
        cut: Times between which no report arrives.
        seconds: Length of the run.
    """

    load: float
    slowness: Slowness
    capacity: float
    seed: int
    endpoints: int = 3
    uses_pace: bool = True
    news_lost: float = 0.0
    cut: tuple[float, float] = (-1.0, -1.0)
    seconds: float = 60.0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.slots = [[0.0] * SLOTS for _ in range(self.endpoints)]
        self.ends: list[list[float]] = [[] for _ in range(self.endpoints)]
        self.instances = [Instance([0] * self.endpoints) for _ in range(INSTANCES)]
        # Time of the send, endpoint, and whether the answer came in time.
        self.sent: list[tuple[float, int, bool]] = []
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.number, self.now = 0, 0.0

    def at(self, when: float, action: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, action))

    def run(self) -> float:
        """Returns the share of requests that were in time."""
        for instance in self.instances:
            self.at(self.rng.uniform(*NEWS_AGE), lambda who=instance: self.report(who))  # type: ignore[misc]
        self.at(0.0, self.arrive)
        while self.events and self.events[0][0] < self.seconds:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.in_time(0.0, self.seconds)

    def in_time(self, since: float, until: float) -> float:
        found = [good for at, _, good in self.sent if since <= at < until]
        return sum(found) / len(found)

    def share(self, endpoint: int, since: float, until: float) -> float:
        found = [to == endpoint for at, to, _ in self.sent if since <= at < until]
        return sum(found) / len(found)

    def report(self, instance: Instance) -> None:
        lost = self.rng.random() < self.news_lost or self.cut[0] <= self.now < self.cut[1]
        for other in self.instances:
            if other is instance or lost:
                continue
            other.reported[id(instance)] = list(instance.running)
            for endpoint, sums in instance.news.items():
                name = str(endpoint)
                other.paces.add_reported(name, sums.observed, sums.expected, self.now)
        instance.news = {}
        self.at(self.now + self.rng.uniform(*NEWS_AGE), lambda: self.report(instance))

    def arrive(self) -> None:
        rate = self.load * self.capacity * SLOTS / WORK
        self.at(self.now + self.rng.expovariate(rate), self.arrive)
        instance = self.rng.choice(self.instances)
        paces = instance.paces.ratios(map(str, range(self.endpoints)), self.now)
        states = [
            ServiceState(
                str(endpoint),
                True,
                SLOTS,
                self.known(instance, endpoint),
                0.0,
                paces[str(endpoint)] if self.uses_pace else 1.0,
            )
            for endpoint in range(self.endpoints)
        ]
        chosen = choose_endpoint(states, sum(NEWS_AGE) / 2, WORK, self.rng.random())
        assert chosen is not None
        self.send(instance, int(chosen))

    def known(self, instance: Instance, endpoint: int) -> int:
        others = sum(reported[endpoint] for reported in instance.reported.values())
        return instance.running[endpoint] + others

    def send(self, instance: Instance, endpoint: int) -> None:
        ends = self.ends[endpoint]
        while ends and ends[0] <= self.now:
            heapq.heappop(ends)
        if len(ends) >= SLOTS + QUEUE:
            self.sent.append((self.now, endpoint, False))
            return
        begin = max(self.now, self.slots[endpoint][0])
        work = WORK * self.rng.lognormvariate(-0.11, 0.47) * self.slowness(endpoint, begin)
        end = begin + work
        heapq.heapreplace(self.slots[endpoint], end)
        heapq.heappush(ends, end)
        instance.running[endpoint] += 1
        waits = self.known(instance, endpoint) > SLOTS
        began = self.now
        self.at(end, lambda: self.finish(instance, endpoint, began, waits))
        self.sent.append((self.now, endpoint, end - self.now <= OBJECTIVE))

    def finish(self, instance: Instance, endpoint: int, began: float, waited: bool) -> None:
        instance.running[endpoint] -= 1
        if waited:
            return
        took = self.now - began
        instance.paces.add(str(endpoint), took, ANSWER_EXPECTED, self.now)
        sums = instance.news.setdefault(endpoint, PaceSums(updated_at=self.now))
        sums.add(took, ANSWER_EXPECTED, self.now)


def one_slow(factor: float) -> Slowness:
    """The first endpoint is always slower than the others."""
    return lambda endpoint, now: factor if endpoint == 0 else 1.0


def by_turns(factor: float, endpoints: int, spell: float) -> Slowness:
    """Each endpoint is slow for a tenth of the time."""
    return lambda endpoint, now: (
        factor if (now + endpoint * 10.0 * spell / endpoints) % (10.0 * spell) < spell else 1.0
    )
