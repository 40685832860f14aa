"""A small world of one plain service under overload: what each kind of caller gets.

Time is virtual. One endpoint runs a few requests at the same time and queues some more; instances
learn of each other's load late.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wigeonarch_core.service_admission import (
    BUSY_SHARE,
    WATCH_TIME,
    AdmissionRequest,
    Clock,
    Decision,
    EndpointRoom,
    Refusal,
    ServiceAdmission,
    ServiceLoad,
)
from wigeonarch_core.service_demand import NO_TEAM, Kind, RequestRates
from wigeonarch_core.service_load import ServiceTimes

POLL = 0.03
WARM_UP = 8.0  # Seconds before which callers are not counted.
WARM = "w"  # Begins the names of those.


@dataclass(frozen=True)
class Callers:
    """Callers of one kind.

    Attributes:
        load: New requests, as a share of what the service can do.
        rank: Priority; 0 is the most urgent.
        team: Key of the team.
        returns: How often a refused caller returns.
        pause: Seconds after which it returns; None to obey Retry-After.
        name: Name under which results are counted.
    """

    load: float
    rank: int = 0
    team: int = NO_TEAM
    returns: int = 1
    pause: float | None = None
    name: str = ""


@dataclass(eq=False)
class Instance:
    """One instance: its admission, its requests in progress, and what the others heard of it."""

    admission: ServiceAdmission
    rates: RequestRates
    times: ServiceTimes
    running: int = 0
    watched_until: float = 0.0
    told_running: int = 0
    told_demand: dict[Kind, float] = field(default_factory=dict)


@dataclass
class World:
    """The service, its callers and instances."""

    callers: list[Callers]
    instances: int = 4
    slots: int = 8
    queue: int = 24
    work: float = 0.2
    objective: float = 0.8
    news: tuple[float, float] = (0.5, 1.1)
    seconds: float = 60.0
    seed: int = 1
    service_time: Callable[[int], float] | None = None
    is_news_lost: Callable[[float], bool] = lambda now: False
    slowness: Callable[[float], float] = lambda now: 1.0
    sides: int = 1
    restarts: tuple[float, ...] = ()
    counts: dict[str, Counter[str]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.now = 0.0
        self.capacity = self.slots / self.work
        self.number = 0
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.free_at = [0.0] * self.slots
        self.ends: list[float] = []
        self.nodes = [
            Instance(ServiceAdmission(), RequestRates(0.0), ServiceTimes())
            for _ in range(self.instances)
        ]
        self.longest_wait = 0.0
        self.told_running = [0] * self.sides
        self.told_demand: list[Counter[Kind]] = [Counter() for _ in range(self.sides)]

    def schedule(self, after: float, action: Callable[..., None], *args: Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (self.now + after, self.number, action, args))

    def run(self, until: float | None = None) -> World:
        """Runs the world to its end or until a time; it can be run on from there."""
        if not self.now:
            self.start()
        while self.events and self.events[0][0] <= (until or self.seconds):
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    def start(self) -> None:
        for index in range(self.instances):
            self.schedule(self.rng.random() * self.news[0], self.report, index)
        for at in self.restarts:
            self.schedule(at, self.restart)
        for callers in self.callers:
            self.schedule(0.0, self.arrive, callers)

    def restart(self) -> None:
        """Makes all instances forget what they learned, though not what is running."""
        for node in self.nodes:
            node.admission, node.rates = ServiceAdmission(), RequestRates(self.now)
            node.times = ServiceTimes()

    def lose_places(self, at: float, count: int, notice: float) -> None:
        """Lets places go away at a time; instances know of it some seconds later."""
        self.schedule(at, self.drop_places, count)
        self.schedule(at + notice, self.notice_places)

    def drop_places(self, count: int) -> None:
        self.free_at = sorted(self.free_at)[count:]
        heapq.heapify(self.free_at)

    def notice_places(self) -> None:
        self.slots = len(self.free_at)

    def report(self, index: int) -> None:
        node = self.nodes[index]
        news = (node.running, node.rates.rates(self.now))
        delay = self.rng.uniform(0.0, self.news[1] - self.news[0])
        if not self.is_news_lost(self.now):
            self.schedule(delay, self.hear, node, *news)
        self.schedule(self.news[0], self.report, index)

    def side(self, node: Instance) -> int:
        """Returns the side of a cut on which an instance is; it hears only those of its own."""
        return self.nodes.index(node) % self.sides

    def hear(self, node: Instance, running: int, demand: dict[Kind, float]) -> None:
        side = self.side(node)
        self.told_running[side] += running - node.told_running
        self.told_demand[side].subtract(node.told_demand)
        self.told_demand[side].update(demand)
        node.told_running, node.told_demand = running, demand

    def arrive(self, callers: Callers) -> None:
        rate = callers.load * self.capacity
        self.schedule(self.rng.expovariate(rate), self.arrive, callers)
        self.attempt(callers, f"{WARM if self.now < WARM_UP else 'c'}{self.number}", 0)

    def attempt(self, callers: Callers, caller: str, tries: int) -> None:
        self.count(callers, caller, "first" if not tries else "returned")
        node = self.rng.choice(self.nodes)
        node.rates.record(Kind(callers.rank, callers.team), self.objective, self.now)
        self.ask(callers, caller, tries, node, self.now, False)

    def count(self, callers: Callers, caller: str, what: str) -> None:
        if caller.startswith(WARM):
            return
        self.counts.setdefault(callers.name, Counter())[what] += 1

    def ask(
        self,
        callers: Callers,
        caller: str,
        tries: int,
        node: Instance,
        since: float,
        admitted: bool,
    ) -> None:
        kind, waited = Kind(callers.rank, callers.team), self.now - since
        request = AdmissionRequest(
            kind, caller, self.objective, waited, waited, is_admitted=admitted
        )
        peers = {
            each: rate - node.told_demand.get(each, 0.0)
            for each, rate in self.told_demand[self.side(node)].items()
        }
        others = self.told_running[self.side(node)] - node.told_running
        service_time = self.estimate(node)
        running = node.running + others
        if running >= BUSY_SHARE * self.slots:
            node.watched_until = self.now + WATCH_TIME
        if service_time is None or self.now >= node.watched_until:
            self.send(callers, caller, tries, node, since, running + 1)
            return
        load = ServiceLoad(
            self.slots, running, others, service_time, self.objective, sum(self.news) / 2
        )
        found = node.admission.decide(
            request,
            load,
            node.rates.rates(self.now),
            peers,
            EndpointRoom(running, self.slots),
            Clock(self.now, self.now, self.rng.random()),
        )
        if found is Decision.WAIT:
            self.schedule(POLL, self.ask, callers, caller, tries, node, since, True)
            return
        if isinstance(found, Refusal):
            self.longest_wait = max(self.longest_wait, waited)
            self.refused(callers, caller, tries, found.retry_after, found.decision)
            return
        self.send(callers, caller, tries, node, since, running + 1)

    def estimate(self, node: Instance) -> float | None:
        if self.service_time is not None:
            return self.service_time(self.nodes.index(node))
        return node.times.estimate("s")

    def send(
        self,
        callers: Callers,
        caller: str,
        tries: int,
        node: Instance,
        since: float,
        running: int,
    ) -> None:
        while self.ends and self.ends[0] <= self.now:
            heapq.heappop(self.ends)
        if len(self.ends) >= len(self.free_at) + self.queue:
            self.refused(callers, caller, tries, 0.3, "queue")
            return
        work = self.work * self.rng.uniform(0.8, 1.2) * self.slowness(self.now)
        end = max(self.now, self.free_at[0]) + work
        heapq.heapreplace(self.free_at, end)
        heapq.heappush(self.ends, end)
        node.running += 1
        self.schedule(end - self.now, self.finish, node, end - self.now, running)
        in_time = end - since <= self.objective
        self.count(callers, caller, "in_time" if in_time else "late")
        if in_time:
            self.count(callers, caller, "first_in_time" if not tries else "returned_in_time")

    def finish(self, node: Instance, took: float, running: int) -> None:
        node.running -= 1
        node.times.record_answer("s", took, running, self.slots)

    def refused(
        self, callers: Callers, caller: str, tries: int, retry_after: float, why: str
    ) -> None:
        self.count(callers, caller, why)
        if tries < callers.returns:
            pause = retry_after if callers.pause is None else callers.pause
            self.schedule(pause, self.attempt, callers, caller, tries + 1)

    def served(self, name: str = "") -> float:
        """Returns the share of callers whose request was answered in time, of any attempt."""
        return self.counts[name]["in_time"] / self.counts[name]["first"]

    def refused_share(self, name: str = "") -> float:
        """Returns the refusals for each caller."""
        return sum(self.counts[name][why] for why in Decision) / self.counts[name]["first"]

    def goodput(self) -> float:
        """Returns the requests answered in time, as a share of what the service can do."""
        in_time = sum(counts["in_time"] for counts in self.counts.values())
        return in_time / self.capacity / (self.seconds - WARM_UP)
