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
STEP: Final = 0.05  # Seconds of the world's clock.
BEAT: Final = 0.5  # Seconds between heartbeats.
HEARD: Final = 1.6  # Seconds without one after which an instance is not heard.
SETTLED: Final = 5.0
RESTART: Final = 1.2  # Seconds until a killed process serves again.
LOOK: Final = 0.25
BOUNDS: Final = QuotaBounds(8.0, 0.1, 11_000.0)
REQUEST: Final = 1_500.0  # Units of a request, about.
REQUEST_MOST: Final = 4_500.0


class Way(Protocol):
    """How the instances of a world decide on requests together."""

    def take(self, world: World, asker: Instance, cost: float) -> bool:
        """Tells whether an instance may serve a request of so many units."""

    def beat(self, world: World) -> None:
        """Lets instances tell each other what heartbeats carry for this way."""

    def restarted(self, one: Instance) -> None:
        """Forgets what a process knew that was killed."""


class AskBankers:
    """Asks the banker of the zone for each request, and its deputy where that does not answer."""

    def take(self, world: World, asker: Instance, cost: float) -> bool:
        """Asks at most two; a second time where others were asked for a loan."""
        for name in world.bankers(asker)[:2]:
            banker = world.by_name[name]
            for _ in range(2):
                if not world.arrives(asker, banker):
                    break
                verdict = world.ask(banker, cost)
                if not world.arrives(banker, asker):
                    break
                if verdict.granted:
                    return True
                if not verdict.loan_requested:
                    return False
        return False

    def beat(self, world: World) -> None:
        """Heartbeats carry nothing more."""

    def restarted(self, one: Instance) -> None:
        """The bank of the new process is empty."""


@dataclass
class Instance:
    """One instance."""

    name: str
    zone: int
    bank: QuotaLedger
    started: float = -100.0
    away_until: float = 0.0  # Frozen or not yet started again.
    split_until: float = 0.0  # On one side of a cut through its zone.
    alone_until: float = 0.0
    heard: dict[str, float] = field(default_factory=dict)
    told: dict[str, float] = field(default_factory=dict)


@dataclass
class World:
    """The instances, what they gave, and what happens to them."""

    zones: int
    per_zone: int
    quota: Quota
    seed: int
    troubles: bool = True
    loss: float = 0.02
    calling: set[int] | None = None  # Zones whose instances callers reach; all if None.
    now: float = 0.0
    given: list[tuple[float, float]] = field(default_factory=list)
    asked: list[tuple[float, float, bool]] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)
    cuts: list[tuple[float, int]] = field(default_factory=list)
    events: list[tuple[float, str]] = field(default_factory=list)
    bank_made: Callable[[QuotaBounds, float, int], QuotaLedger] = QuotaLedger
    share_of: Callable[[int, int], float] = lambda heard, known: heard / known
    way: Way = field(default_factory=AskBankers)
    messages: int = 0  # Sent for requests, heartbeats not counted.

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        for zone in range(self.zones):
            for number in range(self.per_zone):
                bank = self.bank_made(BOUNDS, self.now, self.rng.randrange(1 << 30))
                self.instances.append(Instance(f"e-{zone}-{number}", zone, bank))
        for one in self.instances:
            for other in self.instances:
                one.heard[other.name] = 0.0
                one.told[other.name] = other.started
        self.by_name = {one.name: one for one in self.instances}

    # What instances see.

    def alive(self, one: Instance) -> bool:
        """Tells whether an instance runs."""
        return self.now >= one.away_until

    def cut_off(self, one: Instance) -> int:
        """Returns the side of a cut; each instance that is cut off alone has one of its own."""
        if self.now < one.alone_until:
            return 1000 + self.instances.index(one)
        if self.now < one.split_until:
            return 2000 + one.zone
        return next(
            (zone for until, zone in self.cuts if self.now < until and zone == one.zone), -1
        )

    def reach(self, one: Instance, other: Instance) -> bool:
        """Tells whether two instances run and no cut lies between them."""
        if not (self.alive(one) and self.alive(other)):
            return False
        return one is other or self.cut_off(one) == self.cut_off(other)

    def arrives(self, one: Instance, other: Instance) -> bool:
        """Sends a message; tells whether it arrives."""
        self.messages += one is not other
        return self.reach(one, other) and (one is other or self.rng.random() >= self.loss)

    def in_zone(self, one: Instance) -> list[str]:
        """Returns the instances of the own zone that are heard, this one included."""
        nearby = [other for other in self.instances if other.zone == one.zone]
        lately = self.now - HEARD
        return [o.name for o in nearby if o is one or one.heard.get(o.name, -1e9) > lately]

    def bankers(self, one: Instance) -> list[str]:
        """Returns who is banker of the zone as an instance sees it, then the deputies."""
        names = self.in_zone(one)
        latest = self.now - SETTLED
        settled = [name for name in names if one.told.get(name, one.started) <= latest]
        return ranked(TEAM, sorted(settled or names))

    def part(self, one: Instance) -> QuotaShare:
        """Returns what an instance may give by its own view."""
        share = self.share_of(len(self.in_zone(one)), self.per_zone) / self.zones
        return QuotaShare(share, self.bankers(one)[0] == one.name)

    # What they do.

    def request(self) -> None:
        """One request at an instance that lives."""
        zones = self.calling if self.calling is not None else range(self.zones)
        alive = [one for one in self.instances if self.alive(one) and one.zone in zones]
        if not alive:
            return
        asker = self.rng.choice(alive)
        cost = min(REQUEST_MOST, self.rng.expovariate(1.0 / REQUEST) + 100.0)
        granted = self.way.take(self, asker, cost)
        self.asked.append((self.now, cost, granted))
        if granted:
            self.given.append((self.now, cost))

    def ask(self, banker: Instance, cost: float) -> AcquireResult:
        """Returns a banker's verdict; one that is short asks other zones for a loan."""
        part = self.part(banker)
        verdict = banker.bank.acquire(TEAM, self.quota, part, cost, self.now)
        plea = banker.bank.request_loan(TEAM, self.quota, part, self.now)
        if plea is None:
            return verdict
        for zone in range(self.zones):
            if zone != banker.zone:
                self.plead(banker, zone, plea.number, plea.wanted / (self.zones - 1))
        return AcquireResult(
            verdict.granted,
            verdict.wait,
            verdict.queue_wait,
            verdict.remaining,
            loan_requested=True,
        )

    def plead(self, borrower: Instance, zone: int, number: int, wanted: float) -> None:
        """Asks another zone for a loan, by any instance of it."""
        first = self.rng.choice([one for one in self.instances if one.zone == zone])
        if not self.arrives(borrower, first):
            return
        lender = self.by_name[self.bankers(first)[0]]
        if not self.arrives(first, lender):
            return
        units = lender.bank.lend(TEAM, self.quota, self.part(lender), wanted, self.now)
        for _ in range(1 + (self.rng.random() < self.loss)):  # A datagram may come twice.
            if units > 0.0 and self.arrives(lender, borrower):
                borrower.bank.accept_loan(TEAM, number, lender.name, units, self.now)

    def beat(self) -> None:
        """Lets all instances hear of those in reach."""
        for one in self.instances:
            for other in self.instances:
                if one is other or one.zone != other.zone or not self.reach(one, other):
                    continue
                one.heard[other.name] = self.now
                one.told[other.name] = other.started
        self.way.beat(self)

    def kill(self, one: Instance) -> None:
        """Kills a process, which begins anew and knows nobody."""
        one.away_until = self.now + RESTART + self.rng.uniform(0.0, 0.5)
        one.started = one.away_until
        one.bank = self.bank_made(BOUNDS, one.away_until, self.rng.randrange(1 << 30))
        one.heard, one.told = {}, {one.name: one.started}
        self.way.restarted(one)

    def trouble(self) -> None:
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
                one.away_until = max(one.away_until, self.now + rng.uniform(2.0, 5.0))
        elif what == "cut":
            self.cuts.append((self.now + rng.uniform(3.0, 12.0), rng.randrange(self.zones)))
        elif what == "split":
            until, zone = self.now + rng.uniform(4.0, 12.0), rng.randrange(self.zones)
            for one in [one for one in some if one.zone == zone][::2]:
                one.split_until = until
        else:
            for one in rng.sample(some, max(1, len(some) // 6)):
                one.alone_until = self.now + rng.uniform(3.0, 9.0)

    def play(self, until: float, rate: Callable[[float], float]) -> None:
        """Plays on.

        Args:
            until: Seconds at which it ends.
            rate: Returns the units a second that callers ask for at a time.
        """
        next_beat = next_look = self.now
        next_trouble = self.now + 6.0
        due = 0.0
        while self.now < until:
            self.now += STEP
            if self.now >= next_beat:
                next_beat += BEAT
                self.beat()
            if self.now >= next_look:
                next_look += LOOK
                for one in self.instances:
                    if self.alive(one):
                        one.bank.update({TEAM: (self.quota, self.part(one))}, self.now)
            if self.troubles and self.now >= next_trouble:
                next_trouble = self.now + self.rng.expovariate(1.0 / 2.5)
                self.trouble()
            due += rate(self.now) * STEP / REQUEST
            while due >= 1.0:
                due -= 1.0
                self.request()

    def worst(self, since: float = 0.0) -> float:
        """Returns the most that any window held, as a part of what the quota's rule allows."""
        window: deque[tuple[float, float]] = deque()
        held = worst = 0.0
        for at, cost in self.given:
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
        return sum(cost for _, cost, ok in self.asked if ok) / sum(c for _, c, _ in self.asked)


def quota(rate: float, burst: float | None = None) -> Quota:
    """Returns a quota of tokens."""
    return Quota(Unit.TOKENS, rate, rate if burst is None else burst, 200.0)
