"""What a follower takes from its keeper is young enough, whatever happens to messages and store.

A small world with a clock of its own: a keeper watches the store, a follower relies on it. At each
moment the follower must know what the store accepted `bound` earlier, or not rely on the keeper.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from corrupted_updates import DEFECTS
from gateway_world import new_store_contact
from wigeonarch_gateway import sharing as sharing_module
from wigeonarch_gateway.messages import FollowRequest, StoreUpdate, UpdateUnavailable, decode
from wigeonarch_gateway.options import PropagationBounds, StoreOptions
from wigeonarch_gateway.ports import Change, ObjectKind, StoredObject
from wigeonarch_gateway.sharing import FOLLOW_INTERVAL, KINDS, OWN_CALL_TIME, WatchSharing

KIND = ObjectKind.ENDPOINTS
STEP = 0.01  # Seconds of the world's clock.
SPAN = 30.0  # Seconds that are played.
RTT = 0.01  # Seconds of a call to the store.


@dataclass
class Played:
    """One world.

    Attributes:
        now: Its time, in seconds.
        due: What happens later.
        accepted: Revisions of the store, with the times of their acceptance.
    """

    now: float = 100.0
    due: list[tuple[float, Callable[[], None]]] = field(default_factory=list)
    accepted: list[tuple[float, int]] = field(default_factory=lambda: [(0.0, 10)])

    def later(self, seconds: float, what: Callable[[], None]) -> None:
        self.due.append((self.now + seconds, what))

    def step(self) -> None:
        self.now += STEP
        ready = [what for at, what in self.due if at <= self.now]
        self.due = [(at, what) for at, what in self.due if at > self.now]
        for what in ready:
            what()

    def revision(self, at: float) -> int:
        return max(revision for when, revision in self.accepted if when <= at)


def play(
    seed: int, bound: float, spoil: Callable[[StoreUpdate], StoreUpdate] = lambda told: told
) -> None:
    """Plays a world drawn from a seed; fails when the follower relies on what is too old."""
    rng = random.Random(seed)
    world = Played()
    opts = StoreOptions(propagation=PropagationBounds(endpoints=bound))
    loss = rng.choice((0.0, 0.1, 0.4))
    slowest = rng.choice((0.01, 0.1, 0.6))

    def link(receive: Callable[[bytes], None]) -> Callable[[str, bytes], bool]:
        def send(name: str, frame: bytes) -> bool:
            for _ in range(rng.choice((1, 1, 1, 2))):
                if rng.random() >= loss:
                    world.later(rng.uniform(0.0, slowest), lambda: receive(frame))
            return True

        return send

    def to_keeper(frame: bytes) -> None:
        message = decode(frame)
        assert isinstance(message, FollowRequest)
        keeper.answer_follower(message)

    def to_follower(frame: bytes) -> None:
        message = decode(frame)
        if isinstance(message, UpdateUnavailable):
            follower.receive_unavailable(message)
        elif isinstance(message, StoreUpdate):
            follower.receive_update(spoil(message))

    keeper = WatchSharing("k", opts, lambda: ["k"], link(to_follower), new_store_contact())
    follower = WatchSharing("f", opts, lambda: ["k"], link(to_keeper), new_store_contact())
    known = {10}

    def learn(change: Change) -> bool:
        known.add(change.stored.revision)
        return True

    keeper.add_kind(KIND, lambda change: True)
    follower.add_kind(KIND, learn)
    for one in (keeper, follower):
        one.feed(KIND).apply_list([], 10)
    cuts = sorted(rng.uniform(world.now, world.now + SPAN) for _ in range(4))

    def cut(at: float) -> bool:
        return cuts[0] <= at < cuts[1] or cuts[2] <= at < cuts[3]

    def watch() -> None:
        """The keeper's watch: a silent cut swallows its answer, and it is lost in time."""
        pause, wait = keeper.watch_times(KIND, opts.batch_pause, opts.watch)
        began, since = world.now, keeper.feed(KIND).as_of
        assert since is not None

        def look() -> None:
            news = world.revision(world.now)
            if cut(world.now) or cut(began):
                if world.now - began > wait + 0.6:
                    keeper.note_store_failure(KIND)
                    world.later(opts.retry, watch)
                else:
                    world.later(STEP, look)
            elif news > since or world.now - began >= wait:
                fresh = range(since + 1, news + 1)
                changes = [Change(StoredObject(f"i-{n}", n, n), False) for n in fresh]
                keeper.note_store_answer(KIND)
                keeper.take_changes(KIND, changes, news)
                world.later(pause if news > since else 0.0, watch)
            else:
                world.later(STEP, look)

        world.later(RTT, look)

    def ask() -> None:
        follower._request_update()
        world.later(FOLLOW_INTERVAL, ask)

    patch = pytest.MonkeyPatch()
    patch.setattr(sharing_module, "monotonic", lambda: world.now)
    try:
        watch()
        ask()
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
def test_a_follower_relies_on_nothing_too_old(seed: int, bound: float) -> None:
    play(seed, bound)


@pytest.mark.parametrize("defect", DEFECTS)
def test_a_planted_defect_is_caught(defect: Callable[[StoreUpdate], StoreUpdate]) -> None:
    with pytest.raises(AssertionError, match="relies on a gap"):
        for seed in range(60):
            play(seed, 3.0, defect)


@pytest.mark.parametrize("bound", BOUNDS)
def test_a_sound_keeper_is_relied_on_all_the_time(
    bound: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its pause and wait fit the bound: the age at the next word is still under it."""
    opts = StoreOptions(propagation=PropagationBounds(endpoints=bound))
    sharing = WatchSharing("k", opts, lambda: ["k"], lambda name, frame: True, new_store_contact())
    sharing.add_kind(KIND, lambda change: True)
    assert sharing.watch_times(KIND, 0.9, 3.5) == (0.9, 3.5)
    sharing.answer_follower(FollowRequest("f", [(KINDS.index(KIND), 10)]))
    pause, wait = sharing.watch_times(KIND, 0.9, 3.5)
    assert pause + wait + FOLLOW_INTERVAL < bound - OWN_CALL_TIME
    assert wait > 0.1
