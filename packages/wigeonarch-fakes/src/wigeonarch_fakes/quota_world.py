"""Simulates instances in several zones that share a team's quota, in virtual time.

Instances are frozen, killed and restarted, and cut off alone or with their zone; such faults may
follow one another or overlap. Messages are lost, and replies with a loan are duplicated. Callers
send requests to any instance, at times far beyond the quota. A `QuotaScheme` decides on requests:
the product's scheme asks the zone's quota coordinator; others serve as a comparison. The simulation
records all admitted requests, so that tests and benchmarks can check the bound of every window.
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
STEP_SECONDS: Final = 0.05  # Of virtual time.
HEARTBEAT_SECONDS: Final = 0.5
SILENT_AFTER_SECONDS: Final = 1.6  # Without a heartbeat.
SETTLED_AFTER_SECONDS: Final = 5.0
RESTART_SECONDS: Final = 1.2  # Until a killed process serves again.
UPDATE_SECONDS: Final = 0.25
BOUNDS: Final = QuotaBounds(8.0, 0.1, 11_000.0)
MEAN_REQUEST_UNITS: Final = 1_500.0  # Before clamping.
MAX_REQUEST_UNITS: Final = 4_500.0


class QuotaScheme(Protocol):
    """How instances decide together whether the quota admits a request."""

    def acquire(self, world: World, requester: Instance, cost: float) -> bool:
        """Returns whether an instance may serve a request that costs so many units."""

    def exchange_heartbeats(self, world: World) -> None:
        """Exchanges what heartbeats carry for this scheme."""

    def on_restart(self, instance: Instance) -> None:
        """Discards the state of a killed process."""


class ZoneCoordinators:
    """Asks the zone's quota coordinator for each request, or its deputy if there is no reply."""

    def acquire(self, world: World, requester: Instance, cost: float) -> bool:
        """Asks at most two instances, and each a second time if it has requested a loan."""
        for name in world.coordinators(requester)[:2]:
            coordinator = world.by_name[name]
            for _ in range(2):
                if not world.deliver(requester, coordinator):
                    break
                result = world.acquire(coordinator, cost)
                if not world.deliver(coordinator, requester):
                    break
                if result.granted:
                    return True
                if not result.loan_requested:
                    return False
        return False

    def exchange_heartbeats(self, world: World) -> None:
        """Does nothing: this scheme adds no data to heartbeats."""

    def on_restart(self, instance: Instance) -> None:
        """Does nothing: the new process has a new quota ledger already."""


@dataclass
class Instance:
    """One instance.

    Attributes:
        name: Its name.
        zone: Number of its availability zone.
        ledger: Its quota ledger.
        started: Start time of its process, in seconds.
        down_until: Time until which it is frozen or not yet restarted.
        split_until: Time until which it is on one side of a cut through its zone.
        isolated_until: Time until which it reaches no other instance.
        heard_at: Time of the last heartbeat from each instance of the zone.
        known_starts: Start times of other processes, as their heartbeats stated them.
    """

    name: str
    zone: int
    ledger: QuotaLedger
    started: float = -100.0
    down_until: float = 0.0
    split_until: float = 0.0
    isolated_until: float = 0.0
    heard_at: dict[str, float] = field(default_factory=dict)
    known_starts: dict[str, float] = field(default_factory=dict)


@dataclass
class World:
    """The simulated instances with their requests and faults.

    Attributes:
        zones: Number of availability zones.
        per_zone: Instances in each zone.
        quota: The team's quota.
        seed: Seed of all random draws.
        random_faults: Whether random faults are injected.
        loss: Share of messages that are lost.
        called_zones: Zones whose instances callers reach; all if None.
        now: Virtual time in seconds.
        admitted: Time and cost of each admitted request.
        requests: Time, cost and whether it was admitted, for each request.
        instances: All instances.
        zone_cuts: Cut-off zones, each with the time at which its cut ends.
        events: Time and kind of each random fault.
        make_ledger: Creates an instance's ledger.
        share_of: Returns an instance's share of its zone from the numbers of instances that it
            hears and that exist.
        scheme: How instances decide on requests.
        messages: Messages sent for requests; heartbeats are not counted.
    """

    zones: int
    per_zone: int
    quota: Quota
    seed: int
    random_faults: bool = True
    loss: float = 0.02
    called_zones: set[int] | None = None
    now: float = 0.0
    admitted: list[tuple[float, float]] = field(default_factory=list)
    requests: list[tuple[float, float, bool]] = field(default_factory=list)
    instances: list[Instance] = field(default_factory=list)
    zone_cuts: list[tuple[float, int]] = field(default_factory=list)
    events: list[tuple[float, str]] = field(default_factory=list)
    make_ledger: Callable[[QuotaBounds, float, int], QuotaLedger] = QuotaLedger
    share_of: Callable[[int, int], float] = lambda heard, known: heard / known
    scheme: QuotaScheme = field(default_factory=ZoneCoordinators)
    messages: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        for zone in range(self.zones):
            for number in range(self.per_zone):
                ledger = self.make_ledger(BOUNDS, self.now, self.rng.randrange(1 << 30))
                self.instances.append(Instance(f"e-{zone}-{number}", zone, ledger))
        for instance in self.instances:
            for other in self.instances:
                instance.heard_at[other.name] = 0.0
                instance.known_starts[other.name] = other.started
        self.by_name = {instance.name: instance for instance in self.instances}

    # Reachability and membership.

    def is_running(self, instance: Instance) -> bool:
        """Returns whether an instance runs."""
        return self.now >= instance.down_until

    def partition_side(self, instance: Instance) -> int:
        """Returns the partition that an instance is in; one that is isolated has its own."""
        if self.now < instance.isolated_until:
            return 1000 + self.instances.index(instance)
        if self.now < instance.split_until:
            return 2000 + instance.zone
        return next(
            (zone for until, zone in self.zone_cuts if self.now < until and zone == instance.zone),
            -1,
        )

    def can_reach(self, instance: Instance, other: Instance) -> bool:
        """Returns whether two instances run and are in the same partition."""
        if not (self.is_running(instance) and self.is_running(other)):
            return False
        return instance is other or self.partition_side(instance) == self.partition_side(other)

    def deliver(self, sender: Instance, receiver: Instance) -> bool:
        """Sends a message; returns whether it arrives."""
        self.messages += sender is not receiver
        return self.can_reach(sender, receiver) and (
            sender is receiver or self.rng.random() >= self.loss
        )

    def reachable_in_zone(self, instance: Instance) -> list[str]:
        """Returns the instance and those of its zone with a recent heartbeat."""
        nearby = [other for other in self.instances if other.zone == instance.zone]
        silent_since = self.now - SILENT_AFTER_SECONDS
        return [
            o.name
            for o in nearby
            if o is instance or instance.heard_at.get(o.name, -1e9) > silent_since
        ]

    def coordinators(self, instance: Instance) -> list[str]:
        """Returns the zone's quota coordinator and its deputies, by an instance's own view."""
        names = self.reachable_in_zone(instance)
        latest = self.now - SETTLED_AFTER_SECONDS
        settled = [
            name for name in names if instance.known_starts.get(name, instance.started) <= latest
        ]
        return ranked(TEAM, sorted(settled or names))

    def part(self, instance: Instance) -> QuotaShare:
        """Returns an instance's share of the quota, by its own view."""
        share = self.share_of(len(self.reachable_in_zone(instance)), self.per_zone) / self.zones
        return QuotaShare(share, self.coordinators(instance)[0] == instance.name)

    # Requests and faults.

    def send_request(self) -> None:
        """Sends a request to a random running instance."""
        zones = self.called_zones if self.called_zones is not None else range(self.zones)
        alive = [
            instance
            for instance in self.instances
            if self.is_running(instance) and instance.zone in zones
        ]
        if not alive:
            return
        requester = self.rng.choice(alive)
        cost = min(MAX_REQUEST_UNITS, self.rng.expovariate(1.0 / MEAN_REQUEST_UNITS) + 100.0)
        granted = self.scheme.acquire(self, requester, cost)
        self.requests.append((self.now, cost, granted))
        if granted:
            self.admitted.append((self.now, cost))

    def acquire(self, coordinator: Instance, cost: float) -> AcquireResult:
        """Asks a coordinator for units; it requests loans from other zones if it is short."""
        part = self.part(coordinator)
        result = coordinator.ledger.acquire(TEAM, self.quota, part, cost, self.now)
        loan_request = coordinator.ledger.request_loan(TEAM, self.quota, part, self.now)
        if loan_request is None:
            return result
        for zone in range(self.zones):
            if zone != coordinator.zone:
                self.request_loan(
                    coordinator, zone, loan_request.number, loan_request.wanted / (self.zones - 1)
                )
        return AcquireResult(
            result.granted, result.wait, result.queue_wait, result.remaining, loan_requested=True
        )

    def request_loan(self, borrower: Instance, zone: int, number: int, wanted: float) -> None:
        """Requests a loan from another zone, through any of its instances."""
        receiver = self.rng.choice(
            [instance for instance in self.instances if instance.zone == zone]
        )
        if not self.deliver(borrower, receiver):
            return
        lender = self.by_name[self.coordinators(receiver)[0]]
        if not self.deliver(receiver, lender):
            return
        units = lender.ledger.lend(TEAM, self.quota, self.part(lender), wanted, self.now)
        for _ in range(1 + (self.rng.random() < self.loss)):  # A datagram may be duplicated.
            if units > 0.0 and self.deliver(lender, borrower):
                borrower.ledger.accept_loan(TEAM, number, lender.name, units, self.now)

    def exchange_heartbeats(self) -> None:
        """Delivers heartbeats between instances of a zone that reach each other."""
        for instance in self.instances:
            for other in self.instances:
                if (
                    instance is other
                    or instance.zone != other.zone
                    or not self.can_reach(instance, other)
                ):
                    continue
                instance.heard_at[other.name] = self.now
                instance.known_starts[other.name] = other.started
        self.scheme.exchange_heartbeats(self)

    def kill(self, instance: Instance) -> None:
        """Kills a process; it restarts with no state and knows no other instance."""
        instance.down_until = self.now + RESTART_SECONDS + self.rng.uniform(0.0, 0.5)
        instance.started = instance.down_until
        instance.ledger = self.make_ledger(BOUNDS, instance.down_until, self.rng.randrange(1 << 30))
        instance.heard_at, instance.known_starts = {}, {instance.name: instance.started}
        self.scheme.on_restart(instance)

    def inject_random_fault(self) -> None:
        """Injects a random fault."""
        rng, instances = self.rng, self.instances
        kind = rng.choice(["kill", "half", "all", "zone_killed", "freeze", "cut", "alone", "split"])
        self.events.append((self.now, kind))
        if kind == "kill":
            self.kill(rng.choice(instances))
        elif kind in ("half", "all", "zone_killed"):
            zone = rng.randrange(self.zones)
            for instance in instances:
                if kind == "all" or (
                    instance.zone == zone if kind != "half" else rng.random() < 0.55
                ):
                    self.kill(instance)
        elif kind == "freeze":
            for instance in rng.sample(instances, max(1, len(instances) // 5)):
                instance.down_until = max(instance.down_until, self.now + rng.uniform(2.0, 5.0))
        elif kind == "cut":
            self.zone_cuts.append((self.now + rng.uniform(3.0, 12.0), rng.randrange(self.zones)))
        elif kind == "split":
            until, zone = self.now + rng.uniform(4.0, 12.0), rng.randrange(self.zones)
            for instance in [instance for instance in instances if instance.zone == zone][::2]:
                instance.split_until = until
        else:
            for instance in rng.sample(instances, max(1, len(instances) // 6)):
                instance.isolated_until = self.now + rng.uniform(3.0, 9.0)

    def run(self, until: float, rate: Callable[[float], float]) -> None:
        """Continues the simulation.

        Args:
            until: Time at which to stop, in seconds.
            rate: Returns the units per second that callers request at a time.
        """
        next_heartbeat = next_update = self.now
        next_fault = self.now + 6.0
        due = 0.0
        while self.now < until:
            self.now += STEP_SECONDS
            if self.now >= next_heartbeat:
                next_heartbeat += HEARTBEAT_SECONDS
                self.exchange_heartbeats()
            if self.now >= next_update:
                next_update += UPDATE_SECONDS
                for instance in self.instances:
                    if self.is_running(instance):
                        instance.ledger.update({TEAM: (self.quota, self.part(instance))}, self.now)
            if self.random_faults and self.now >= next_fault:
                next_fault = self.now + self.rng.expovariate(1.0 / 2.5)
                self.inject_random_fault()
            due += rate(self.now) * STEP_SECONDS / MEAN_REQUEST_UNITS
            while due >= 1.0:
                due -= 1.0
                self.send_request()

    def worst_window(self, since: float = 0.0) -> float:
        """Returns the most units admitted in any window, divided by the allowed bound."""
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
        """Returns the share of the requested units that were admitted."""
        return sum(cost for _, cost, ok in self.requests if ok) / sum(
            c for _, c, _ in self.requests
        )


def quota(rate: float, burst: float | None = None) -> Quota:
    """Returns a quota in tokens, with a burst of one second's rate by default."""
    return Quota(Unit.TOKENS, rate, rate if burst is None else burst, 200.0)
