"""A follower never relies on a state that is too old, whatever happens to messages and the store.

A simulation with its own clock: a watcher watches the store, and a follower relies on the watcher.
At every step the follower must know what the store accepted `bound` seconds earlier, or not rely on
the watcher. The faults are lost, duplicated and delayed messages, and silent cuts from the store.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from corrupted_updates import DEFECTS
from gateway_world import new_store_contact
from wigeonarch_gateway import sharing as sharing_module
from wigeonarch_gateway.answer_time import earliest_answer_time
from wigeonarch_gateway.messages import FollowRequest, StoreUpdate, UpdateUnavailable, decode
from wigeonarch_gateway.options import PropagationBounds, StoreOptions
from wigeonarch_gateway.ports import Change, ObjectKind, StoredObject
from wigeonarch_gateway.sharing import FOLLOW_INTERVAL, KINDS, OWN_CALL_TIME, WatchSharing

KIND = ObjectKind.ENDPOINTS
STEP = 0.01  # Seconds of simulated time.
SPAN = 30.0  # Seconds that are simulated.
RTT = 0.01  # Seconds that a call to the store takes.


@dataclass
class Simulation:
    """Simulated time, scheduled events and the store.

    Attributes:
        now: Simulated time, in seconds.
        due: Events, with the times at which they happen.
        accepted: Revisions of the store, with the times of their acceptance.
    """

    now: float = 100.0
    due: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    accepted: list[tuple[float, int]] = field(default_factory=lambda: [(0.0, 10)])

    def schedule(self, seconds: float, event: Callable[[], None]) -> None:
        self.due.append((self.now + seconds, event))

    def step(self) -> None:
        self.now += STEP
        ready = [event for at, event in self.due if at <= self.now]
        self.due = [(at, event) for at, event in self.due if at > self.now]
        for event in ready:
            event()

    def revision(self, at: float) -> int:
        return max(revision for when, revision in self.accepted if when <= at)


def simulate(
    seed: int, bound: float, corrupt: Callable[[StoreUpdate], StoreUpdate] = lambda update: update
) -> None:
    """Simulates faults drawn from a seed; fails if the follower relies on a state too old."""
    rng = random.Random(seed)
    world = Simulation()
    opts = StoreOptions(propagation=PropagationBounds(endpoints=bound))
    loss = rng.choice((0.0, 0.1, 0.4))
    slowest = rng.choice((0.01, 0.1, 0.6))

    def link(receive: Callable[[bytes], None]) -> Callable[[str, bytes], bool]:
        def send(name: str, frame: bytes) -> bool:
            for _ in range(rng.choice((1, 1, 1, 2))):
                if rng.random() >= loss:
                    world.schedule(rng.uniform(0.0, slowest), lambda: receive(frame))
            return True

        return send

    def to_watcher(frame: bytes) -> None:
        message = decode(frame)
        assert isinstance(message, FollowRequest)
        watcher.answer_follower(message)

    def to_follower(frame: bytes) -> None:
        message = decode(frame)
        if isinstance(message, UpdateUnavailable):
            follower.receive_unavailable(message)
        elif isinstance(message, StoreUpdate):
            follower.receive_update(corrupt(message))

    watcher = WatchSharing("k", opts, lambda: ["k"], link(to_follower), new_store_contact())
    follower = WatchSharing("f", opts, lambda: ["k"], link(to_watcher), new_store_contact())
    known = {10}

    def learn(change: Change) -> bool:
        known.add(change.stored.revision)
        return True

    watcher.add_kind(KIND, lambda change: True)
    follower.add_kind(KIND, learn)
    for one in (watcher, follower):
        one.feed(KIND).apply_list([], 10)
    cuts = sorted(rng.uniform(world.now, world.now + SPAN) for _ in range(4))

    def cut(at: float) -> bool:
        return cuts[0] <= at < cuts[1] or cuts[2] <= at < cuts[3]

    def watch() -> None:
        """Runs a watch call; a silent cut swallows its answer, and the call times out."""
        wait = watcher.wait_of_watch(KIND, opts.watch)
        began, since = world.now, watcher.feed(KIND).as_of
        assert since is not None

        def check() -> None:
            latest = world.revision(world.now)
            if cut(world.now) or cut(began):
                if world.now - began > wait + 0.6:
                    watcher.note_store_failure(KIND)
                    world.schedule(opts.retry, watch)
                else:
                    world.schedule(STEP, check)
            elif latest > since or world.now - began >= wait:
                fresh = range(since + 1, latest + 1)
                changes = [Change(StoredObject(f"i-{n}", n, n), False) for n in fresh]
                watcher.note_store_answer(KIND)
                answered_at = earliest_answer_time(began, world.now, wait, bool(changes))
                watcher.take_changes(KIND, changes, latest, answered_at)
                pause = watcher.pause_after_changes(KIND, opts.batch_pause)
                world.schedule(pause if changes else 0.0, watch)
            else:
                world.schedule(STEP, check)

        world.schedule(RTT, check)

    def request_updates() -> None:
        follower._request_update()
        world.schedule(FOLLOW_INTERVAL, request_updates)

    patch = pytest.MonkeyPatch()
    patch.setattr(sharing_module, "monotonic", lambda: world.now)
    try:
        watch()
        request_updates()
        end = world.now + SPAN
        while world.now < end:
            if rng.random() < STEP * 2:
                world.accepted.append((world.now, world.revision(world.now) + 1))
            world.step()
            if follower.kept_current_for(KIND) > 0.0:
                must = world.revision(world.now - bound + OWN_CALL_TIME - STEP)
                lacks = set(range(10, must + 1)) - known
                assert not lacks, f"seed {seed}: at {world.now:.2f} s it relies on a gap: {lacks}"
    finally:
        patch.undo()


BOUNDS = (2.0, 3.0, 4.0)


@pytest.mark.parametrize("bound", BOUNDS)
@pytest.mark.parametrize("seed", range(12))
def test_a_follower_never_relies_on_a_state_that_is_too_old(seed: int, bound: float) -> None:
    simulate(seed, bound)


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_planted_defect_is_detected(defect: Callable[[StoreUpdate], StoreUpdate]) -> None:
    with pytest.raises(AssertionError, match="relies on a gap"):
        for seed in range(60):
            simulate(seed, 3.0, defect)


@pytest.mark.parametrize("bound", BOUNDS)
def test_a_working_watcher_can_always_be_relied_on(
    bound: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its pauses and waits keep the age at a follower's next request below the bound."""
    clock = [100.0]
    monkeypatch.setattr(sharing_module, "monotonic", lambda: clock[0])
    opts = StoreOptions(propagation=PropagationBounds(endpoints=bound))
    sharing = WatchSharing("k", opts, lambda: ["k"], lambda name, frame: True, new_store_contact())
    sharing.add_kind(KIND, lambda change: True)
    sharing.feed(KIND).apply_list([], 10)
    assert sharing.wait_of_watch(KIND, 3.5) == 3.5
    assert sharing.pause_after_changes(KIND, 0.9) == 0.9
    rng = random.Random(1)
    waits, ages = [], []
    for number in range(11, 400):
        sharing.answer_follower(FollowRequest("f", [(KINDS.index(KIND), 10)]))
        wait = sharing.wait_of_watch(KIND, 3.5)
        called_at = clock[0]
        changed = rng.random() < 0.5
        clock[0] += rng.choice((RTT, wait)) if changed else wait + RTT
        waits.append(wait)
        ages.append(sharing.age(KIND))
        changes = [Change(StoredObject("i", number, number), False)] if changed else []
        answered_at = earliest_answer_time(called_at, clock[0], wait, changed)
        sharing.take_changes(KIND, changes, number, answered_at)
        sharing.answer_follower(FollowRequest("f", [(KINDS.index(KIND), number)]))
        clock[0] += sharing.pause_after_changes(KIND, 0.9) if changed else 0.0
    assert max(ages[1:]) + FOLLOW_INTERVAL < bound - OWN_CALL_TIME
    assert min(waits) > 0.1
