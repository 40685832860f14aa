"""No turn of an engine's orders from one owner to another comes within the pause between them.

Three instances claim one engine by the real decisions, on a store and a clock of the test. They
renew, look, stand still and start again in random orders. Each takes itself for the best owner and
hears nothing of the others, so only the store keeps them apart.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest
from wigeonarch_core.endpoint_ownership import Claim, EndpointOwner, plan_claim
from wigeonarch_core.lease import HeldLease
from wigeonarch_core.routes import EngineSpec
from wigeonarch_gateway import engine_ownership
from wigeonarch_gateway.engine_ownership import EngineOwnership
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.options import LeaseOptions
from wigeonarch_gateway.ports import (
    Absent,
    Conflict,
    EndpointRecord,
    EndpointState,
    Listing,
    ObjectKind,
    StoredObject,
)

ENGINE = "i-1"
NAMES = ("e-0", "e-1", "e-2")
LEASES = LeaseOptions(term=3.0, margin=0.3, renewal=1.0, pause=4.0)
RECORD = EndpointRecord(ENGINE, "llm", "127.0.0.1:9", "a", 8, EndpointState.READY, (), 0, "")
SPEC = EngineSpec(8, 1000, 10.0, 3, 1.0, ())
STEP = 0.1  # Seconds between two moments in which a running instance does something.
WALK_TIME = 60.0  # Seconds of one walk.
WALKS = 60  # For each seed.
STILLS = (0.2, 0.5, 1.5, 3.0, 5.0, 9.0)  # Seconds for which an instance stands still or is cut.
EVENT_SHARE = 0.02  # Share of the moments in which something happens to an instance.
HELD_SHARE = 0.02  # Share of the calls to the store in which the instance stands still.
RENEWAL = (0.3, 1.0)  # Seconds between renewals.
LOOK = (0.2, 0.6)  # Seconds between looks for engines without an owner.


@dataclass
class MemoryStore:
    """Stores objects by conditional writes, at once."""

    revision: int = 0
    objects: dict[tuple[ObjectKind, str], StoredObject] = field(default_factory=dict)

    def write(self, kind: ObjectKind, name: str, spec: Any) -> StoredObject:
        self.revision += 1
        found = self.objects[kind, name] = StoredObject(name, self.revision, spec)
        return found

    def replace(
        self, kind: ObjectKind, name: str, spec: Any, revision: int
    ) -> StoredObject | Conflict:
        found = self.objects.get((kind, name))
        if (0 if found is None else found.revision) != revision:
            return Conflict()
        return self.write(kind, name, spec)


class StoreCalls:
    """The store as one instance calls it; it may stand still before and after each call."""

    era = 0

    def __init__(self, store: MemoryStore, hold: Callable[[], Awaitable[None]]) -> None:
        self._store = store
        self._hold = hold

    async def list(self, kind: ObjectKind, stale: bool = False) -> Listing:
        await self._hold()
        found = tuple(one for (at, _), one in self._store.objects.items() if at is kind)
        return Listing(found, self._store.revision)

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | Absent:
        await self._hold()
        found = self._store.objects.get((kind, name), Absent())
        await self._hold()
        return found

    async def create(self, kind: ObjectKind, name: str, spec: Any) -> StoredObject | Conflict:
        return await self.replace(kind, name, spec, 0)

    async def replace(
        self, kind: ObjectKind, name: str, spec: Any, revision: int
    ) -> StoredObject | Conflict:
        await self._hold()
        result = self._store.replace(kind, name, spec, revision)
        await self._hold()
        return result


class IdleController:
    """Stands for the controller, whose orders the test counts by itself."""

    def __init__(self, *args: object) -> None:
        pass

    async def run(self) -> None:
        await asyncio.Event().wait()


@dataclass
class Instance:
    """A process of an instance.

    Attributes:
        still_until: Time until which it stands still.
        cut_until: Time until which it does not reach the store.
        busy: Whether it is within a call.
    """

    lease: HeldLease
    ownership: EngineOwnership
    still_until: float = 0.0
    cut_until: float = 0.0
    renews_at: float = 0.0
    looks_at: float = 0.0
    busy: bool = False


@dataclass
class Walk:
    """One random walk of three instances.

    Attributes:
        now: Time, in seconds.
        turns: Number of times that the engine's orders went over to another instance.
        events: What happened, for a failure's report.
    """

    rng: random.Random
    now: float = 100.0
    turns: int = 0
    store: MemoryStore = field(default_factory=MemoryStore)
    instances: dict[str, Instance] = field(default_factory=dict)
    last_order: tuple[str, float] | None = None
    events: list[str] = field(default_factory=list)

    def start(self, name: str) -> None:
        """Starts a process, in place of the former one of that name."""
        lease = HeldLease(LEASES.term, LEASES.margin)
        members: Any = SimpleNamespace(
            reachable=list,
            with_lease=lambda: {name},
            roles=SimpleNamespace(owner_candidates=lambda zone, is_available: [name]),
        )
        view = SimpleNamespace(last_update=float("-inf"), owner="")
        views: Any = SimpleNamespace(get=lambda endpoint: view)
        own_lease: Any = SimpleNamespace(lease=lease)
        context: Any = SimpleNamespace(record=lambda endpoint: RECORD)
        store: Any = StoreCalls(self.store, partial(self._hold, name))
        ownership = EngineOwnership(
            name,
            LEASES,
            store,
            own_lease,
            members,
            views,
            lambda: [(RECORD, SPEC)],
            context,
            Metrics(),
        )
        self.instances[name] = Instance(lease, ownership)

    async def run(self, until: float) -> None:
        """Lets time pass, in which instances that don't stand still act."""
        while self.now < until:
            self.now += STEP
            for name in self.rng.sample(NAMES, len(NAMES)):
                await self._act(name)
                self._give_orders()

    async def _act(self, name: str) -> None:
        one = self.instances[name]
        if one.busy or self.now < one.still_until:
            return
        if self.rng.random() < EVENT_SHARE:
            self._trouble(name)
            return
        one.lease.record_running(self.now)
        if self.now < one.cut_until:
            return
        one.busy = True
        if self.now >= one.renews_at:
            one.renews_at = self.now + self.rng.uniform(*RENEWAL)
            await self._renew(name, one.lease)
        if self.now >= one.looks_at:
            one.looks_at = self.now + self.rng.uniform(*LOOK)
            await one.ownership._check_engines()
        one.busy = False

    def _trouble(self, name: str) -> None:
        """Makes an instance stand still, start again, or lose the store."""
        one, seconds = self.instances[name], self.rng.choice(STILLS)
        kind = self.rng.choice(("still", "cut", "start"))
        self.events.append(f"{self.now:.1f} {kind} {name} {seconds}")
        if kind == "start":
            one.ownership.close()
            self.start(name)
            self.instances[name].still_until = self.now + seconds
        elif kind == "still":
            one.still_until = self.now + seconds
        else:
            one.cut_until = self.now + seconds

    async def _hold(self, name: str) -> None:
        """Makes an instance stand still within a call now and then, while the others go on."""
        if self.rng.random() < HELD_SHARE:
            seconds = self.rng.choice(STILLS)
            self.events.append(f"{self.now:.1f} held {name} {seconds}")
            await self.run(self.now + seconds)

    async def _renew(self, name: str, lease: HeldLease) -> None:
        sent_at = self.now
        lease.record_attempt(sent_at)
        await self._hold(name)
        found = self.store.write(ObjectKind.LEASES, name, {})
        await self._hold(name)
        lease.record_renewal(sent_at, found.revision, self.now)

    def _give_orders(self) -> None:
        """Gives an order by each instance that may, and checks its distance from the last one."""
        for name, one in self.instances.items():
            if not one.ownership.fence(ENGINE):
                continue
            if self.last_order is not None and self.last_order[0] != name:
                since = self.now - self.last_order[1]
                self.events.append(f"{self.now:.1f} turn to {name}")
                assert since >= LEASES.pause, (since, self.events[-12:])
                self.turns += 1
            self.last_order = (name, self.now)


async def _walk(seed: int, monkeypatch: pytest.MonkeyPatch) -> int:
    """Runs the walks of a seed; returns the number of turns."""
    monkeypatch.setattr(engine_ownership, "EngineController", IdleController)
    monkeypatch.setattr(engine_ownership, "STARTUP_TIME", 0.0)
    monkeypatch.setattr(engine_ownership, "READ_INTERVAL", 0.0)
    rng, turns = random.Random(seed), 0
    for _ in range(WALKS):
        walk = Walk(rng)
        monkeypatch.setattr(engine_ownership, "monotonic", partial(getattr, walk, "now"))
        for name in NAMES:
            walk.start(name)
        await walk.run(walk.now + WALK_TIME)
        for one in walk.instances.values():
            one.ownership.close()
        turns += walk.turns
    return turns


@pytest.mark.parametrize("seed", range(4))
async def test_orders_of_two_owners_are_a_pause_apart(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert await _walk(seed, monkeypatch) > WALKS / 2


def _forget_pause(self: EngineOwnership, wanted: Claim) -> float:
    now: float = vars(engine_ownership)["monotonic"]()
    return now + wanted.pause


def _claim_at_once(*args: Any) -> Claim | None:
    claim = plan_claim(*args)
    return None if claim is None else Claim(claim.endpoint, claim.revision, 0.0, True)


def _claim_after_restart(endpoint: str, record: EndpointOwner | None, *args: Any) -> Claim | None:
    if record is not None:
        record = EndpointOwner(endpoint, record.owner, record.revision)
    return plan_claim(endpoint, record, *args)


MISTAKES: dict[str, tuple[object, str, object]] = {
    "pause_lost_with_the_lease": (EngineOwnership, "_orders_from", _forget_pause),
    "no_pause": (engine_ownership, "plan_claim", _claim_at_once),
    "pause_lost_with_the_process": (engine_ownership, "plan_claim", _claim_after_restart),
    "lease_not_asked_for": (HeldLease, "is_valid", lambda self, now: True),
}


@pytest.mark.parametrize("mistake", MISTAKES)
async def test_the_walks_find_planted_mistakes(
    mistake: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(*MISTAKES[mistake])
    with pytest.raises(AssertionError):
        for seed in range(20):
            await _walk(seed, monkeypatch)
