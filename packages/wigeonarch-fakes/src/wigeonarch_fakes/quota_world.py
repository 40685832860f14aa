"""A world of whole zones whose instances share a team's quota, with a clock of its own.

Instances are frozen, killed, cut off alone or with their zone and started again, in series and
overlapping; messages are lost, and loans doubled. Callers send at any instance, far more than the
quota at times. How an instance decides on a request is a way of its own: that of the product asks
the zone's banker, others stand beside it for comparison. What was given is kept for tests and
figures to judge.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

from wigeonarch_core.quota_ledger import AcquireResult, QuotaBounds, QuotaLedger, QuotaShare
from wigeonarch_core.rendezvous import ranked
from wigeonarch_core.teams import Quota, Unit

TEAM: Final = "t"
STEP_SECONDS: Final = 0.05  # Seconds of the world's clock.
HEARTBEAT_SECONDS: Final = 0.5  # Seconds between heartbeats.
SILENT_AFTER_SECONDS: Final = 1.6  # Seconds without one after which an instance is not heard.
SETTLED_AFTER_SECONDS: Final = 5.0
RESTART_SECONDS: Final = 1.2  # Seconds until a killed process serves again.
UPDATE_SECONDS: Final = 0.25
BOUNDS: Final = QuotaBounds(8.0, 0.1, 11_000.0)
MEAN_REQUEST_UNITS: Final = 1_500.0  # Units of a request, about.
MAX_REQUEST_UNITS: Final = 4_500.0


class QuotaScheme(Protocol):
    """How the instances of a world decide on requests together."""

    def acquire(self, world: World, requester: Instance, cost: float) -> bool:
        """Tells whether an instance may serve a request of so many units."""

    def exchange_heartbeats(self, world: World) -> None:
        """Lets instances tell each other what heartbeats carry for this way."""

    def on_restart(self, instance: Instance) -> None:
        """Forgets what a process knew that was killed."""


class ZoneCoordinators:
    """Asks the banker of the zone for each request, and its deputy where that does not answer."""

    def acquire(self, world: World, requester: Instance, cost: float) -> bool:
        """Asks at most two; a second time where others were asked for a loan."""
        for name in world.coordinators(requester)[:2]:
            banker = world.by_name[name]
            for _ in range(2):
                if not world.deliver(requester, banker):
                    break
                verdict = world.acquire(banker, cost)
                if not world.deliver(banker, requester):
                    break
                if verdict.granted:
                    return True
                if not verdict.loan_requested:
                    return False
        return False

    def exchange_heartbeats(self, world: World) -> None:
        """Heartbeats carry nothing more."""

    def on_restart(self, instance: Instance) -> None:
        """The bank of the new process is empty."""


@dataclass
class Instance:
    """One instance."""

    name: str
    zone: int
    ledger: QuotaLedger
    started: float = -100.0
    down_until: float = 0.0  # Frozen or not yet started again.
    split_until: float = 0.0  # On one side of a cut through its zone.
    isolated_until: float = 0.0
    heard_at: dict[str, float] = field(default_factory=dict)
    known_starts: dict[str, float] = field(default_factory=dict)


@dataclass
class World:
    """The instances, what they gave, and what happens to them."""

    zones: int
    per_zone: int
    quota: Quota
    seed: int
    random_faults: bool = True
    loss: float = 0.02
    called_zones: set[int] | None = None  # Zones whose instances callers reach; all if None.
    now: float = 0.0
    admitted: list[tuple[float, float]] = field(default_factory=list)
    requests: list[tuple[float, float, bool]] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)
    zone_cuts: list[tuple[float, int]] = field(default_factory=list)
    events: list[tuple[float, str]] = field(default_factory=list)
    make_ledger: Callable[[QuotaBounds, float, int], QuotaLedger] = QuotaLedger
    share_of: Callable[[int, int], float] = lambda heard, known: heard / known
    scheme: QuotaScheme = field(default_factory=ZoneCoordinators)
    messages: int = 0  # Sent for requests, heartbeats not counted.

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        for zone in range(self.zones):
            for number in range(self.per_zone):
                bank = self.make_ledger(BOUNDS, self.now, self.rng.randrange(1 << 30))
                self.instances.append(Instance(f"e-{zone}-{number}", zone, bank))
        for one in self.instances:
            for other in self.instances:
                one.heard_at[other.name] = 0.0
                one.known_starts[other.name] = other.started
        self.by_name = {one.name: one for one in self.instances}

    # What instances see.

    def is_running(self, one: Instance) -> bool:
        """Tells whether an instance runs."""
        return self.now >= one.down_until

    def partition_side(self, one: Instance) -> int:
        """Returns the side of a cut; each instance that is cut off alone has one of its own."""
        if self.now < one.isolated_until:
            return 1000 + self.instances.index(one)
        if self.now < one.split_until:
            return 2000 + one.zone
        return next(
            (zone for until, zone in self.zone_cuts if self.now < until and zone == one.zone), -1
        )

    def can_reach(self, one: Instance, other: Instance) -> bool:
        """Tells whether two instances run and no cut lies between them."""
        if not (self.is_running(one) and self.is_running(other)):
            return False
        return one is other or self.partition_side(one) == self.partition_side(other)

    def deliver(self, one: Instance, other: Instance) -> bool:
        """Sends a message; tells whether it arrives."""
        self.messages += one is not other
        return self.can_reach(one, other) and (one is other or self.rng.random() >= self.loss)

    def reachable_in_zone(self, one: Instance) -> list[str]:
        """Returns the instances of the own zone that are heard, this one included."""
        nearby = [other for other in self.instances if other.zone == one.zone]
        lately = self.now - SILENT_AFTER_SECONDS
        return [o.name for o in nearby if o is one or one.heard_at.get(o.name, -1e9) > lately]

    def coordinators(self, one: Instance) -> list[str]:
        """Returns who is banker of the zone as an instance sees it, then the deputies."""
        names = self.reachable_in_zone(one)
        latest = self.now - SETTLED_AFTER_SECONDS
        settled = [name for name in names if one.known_starts.get(name, one.started) <= latest]
        return ranked(TEAM, sorted(settled or names))

    def part(self, one: Instance) -> QuotaShare:
        """Returns what an instance may give by its own view."""
        share = self.share_of(len(self.reachable_in_zone(one)), self.per_zone) / self.zones
        return QuotaShare(share, self.coordinators(one)[0] == one.name)

    # What they do.

    def send_request(self) -> None:
        """One request at an instance that lives."""
        zones = self.called_zones if self.called_zones is not None else range(self.zones)
        alive = [one for one in self.instances if self.is_running(one) and one.zone in zones]
        if not alive:
            return
        asker = self.rng.choice(alive)
        cost = min(MAX_REQUEST_UNITS, self.rng.expovariate(1.0 / MEAN_REQUEST_UNITS) + 100.0)
        granted = self.scheme.acquire(self, asker, cost)
        self.requests.append((self.now, cost, granted))
        if granted:
            self.admitted.append((self.now, cost))

    def acquire(self, coordinator: Instance, cost: float) -> AcquireResult:
        """Returns a banker's verdict; one that is short asks other zones for a loan."""
        part = self.part(coordinator)
        verdict = coordinator.ledger.acquire(TEAM, self.quota, part, cost, self.now)
        plea = coordinator.ledger.request_loan(TEAM, self.quota, part, self.now)
        if plea is None:
            return verdict
        for zone in range(self.zones):
            if zone != coordinator.zone:
                self.request_loan(coordinator, zone, plea.number, plea.wanted / (self.zones - 1))
        return AcquireResult(
            verdict.granted,
            verdict.wait,
            verdict.queue_wait,
            verdict.remaining,
            loan_requested=True,
        )

    def request_loan(self, borrower: Instance, zone: int, number: int, wanted: float) -> None:
        """Asks another zone for a loan, by any instance of it."""
        first = self.rng.choice([one for one in self.instances if one.zone == zone])
        if not self.deliver(borrower, first):
            return
        lender = self.by_name[self.coordinators(first)[0]]
        if not self.deliver(first, lender):
            return
        units = lender.ledger.lend(TEAM, self.quota, self.part(lender), wanted, self.now)
        for _ in range(1 + (self.rng.random() < self.loss)):  # A datagram may come twice.
            if units > 0.0 and self.deliver(lender, borrower):
                borrower.ledger.accept_loan(TEAM, number, lender.name, units, self.now)

    def exchange_heartbeats(self) -> None:
        """Lets all instances hear of those in reach."""
        for one in self.instances:
            for other in self.instances:
                if one is other or one.zone != other.zone or not self.can_reach(one, other):
                    continue
                one.heard_at[other.name] = self.now
                one.known_starts[other.name] = other.started
        self.scheme.exchange_heartbeats(self)

    def kill(self, one: Instance) -> None:
        """Kills a process, which begins anew and knows nobody."""
        one.down_until = self.now + RESTART_SECONDS + self.rng.uniform(0.0, 0.5)
        one.started = one.down_until
        one.ledger = self.make_ledger(BOUNDS, one.down_until, self.rng.randrange(1 << 30))
        one.heard_at, one.known_starts = {}, {one.name: one.started}
        self.scheme.on_restart(one)

    def inject_random_fault(self) -> None:
        """One of the things that happen to instances."""
        rng, some = self.rng, self.instances
        what = rng.choice(["kill", "half", "all", "zone_killed", "freeze", "cut", "alone", "split"])
        self.events.append((self.now, what))
        if what == "kill":
            self.kill(rng.choice(some))
        elif what in ("half", "all", "zone_killed"):
            zone = rng.randrange(self.zones)
            for one in some:
                if what == "all" or (one.zone == zone if what != "half" else rng.random() < 0.55):
                    self.kill(one)
        elif what == "freeze":
            for one in rng.sample(some, max(1, len(some) // 5)):
                one.down_until = max(one.down_until, self.now + rng.uniform(2.0, 5.0))
        elif what == "cut":
            self.zone_cuts.append((self.now + rng.uniform(3.0, 12.0), rng.randrange(self.zones)))
        elif what == "split":
            until, zone = self.now + rng.uniform(4.0, 12.0), rng.randrange(self.zones)
            for one in [one for one in some if one.zone == zone][::2]:
                one.split_until = until
        else:
            for one in rng.sample(some, max(1, len(some) // 6)):
                one.isolated_until = self.now + rng.uniform(3.0, 9.0)

    def run(self, until: float, rate: Callable[[float], float]) -> None:
        """Plays on.

        Args:
            until: Seconds at which it ends.
            rate: Returns the units a second that callers ask for at a time.
        """
        next_beat = next_look = self.now
        next_trouble = self.now + 6.0
        due = 0.0
        while self.now < until:
            self.now += STEP_SECONDS
            if self.now >= next_beat:
                next_beat += HEARTBEAT_SECONDS
                self.exchange_heartbeats()
            if self.now >= next_look:
                next_look += UPDATE_SECONDS
                for one in self.instances:
                    if self.is_running(one):
                        one.ledger.update({TEAM: (self.quota, self.part(one))}, self.now)
            if self.random_faults and self.now >= next_trouble:
                next_trouble = self.now + self.rng.expovariate(1.0 / 2.5)
                self.inject_random_fault()
            due += rate(self.now) * STEP_SECONDS / MEAN_REQUEST_UNITS
            while due >= 1.0:
                due -= 1.0
                self.send_request()

    def worst_window(self, since: float = 0.0) -> float:
        """Returns the most that any window held, as a part of what the quota's rule allows."""
        window: deque[tuple[float, float]] = deque()
        held = worst = 0.0
        for at, cost in self.admitted:
            if at < since:
                continue
            window.append((at, cost))
            held += cost
            while window[0][0] <= at - BOUNDS.window:
                held -= window.popleft()[1]
            worst = max(worst, held)
        return worst / BOUNDS.bound(self.quota)

    def goodput(self) -> float:
        """Returns the part of the units asked for that was given."""
        return sum(cost for _, cost, ok in self.requests if ok) / sum(
            c for _, c, _ in self.requests
        )


def quota(rate: float, burst: float | None = None) -> Quota:
    """Returns a quota of tokens."""
    return Quota(Unit.TOKENS, rate, rate if burst is None else burst, 200.0)
