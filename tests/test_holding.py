"""No two instances give orders to one endpoint within the pause, whatever happens to them."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace
from wigeonarch_core.endpoint_ownership import Claim, EndpointOwner, Era, ObservedLeases, plan_claim
from wigeonarch_core.lease import HeldLease
from wigeonarch_core.revisions import era_of, global_revision, store_revision

TERM, MARGIN, PAUSE = 6.0, 0.5, 3.0
ENDPOINT = "i-1"


def leases_with_lapsed(*lapsed: str) -> ObservedLeases:
    leases = ObservedLeases(TERM, MARGIN)
    for instance in lapsed:
        leases.record_read(instance, 5, 0.0)
        leases.record_read(instance, 5, TERM + MARGIN + 0.1)
    return leases


@pytest.mark.parametrize(
    ("owner", "confirmed", "alive", "candidates", "lapsed", "expected"),
    [
        (None, False, set(), ["me"], [], Claim(ENDPOINT, 0, 0.0)),
        (None, False, {"b"}, ["b"], [], None),  # This instance may not take the endpoint.
        ("me", False, set(), ["me"], [], Claim(ENDPOINT, 7, 0.0, True)),  # The same owner resumes.
        ("me", True, set(), ["me"], [], None),
        ("b", False, {"b"}, ["me"], ["b"], None),  # The owner says that its lease is valid.
        ("b", False, set(), ["me"], [], None),  # Its lease was not observed for a whole term.
        ("b", False, set(), ["me"], ["b"], Claim(ENDPOINT, 7, PAUSE)),
        ("b", False, set(), [], ["b"], None),
    ],
)
def test_which_claim_an_instance_makes(
    owner: str | None,
    confirmed: bool,
    alive: set[str],
    candidates: list[str],
    lapsed: list[str],
    expected: Claim | None,
) -> None:
    record = EndpointOwner(ENDPOINT, owner, 7) if owner else None
    claim = plan_claim(
        ENDPOINT, record, "me", confirmed, alive, candidates, leases_with_lapsed(*lapsed), PAUSE
    )
    assert claim == expected


def test_process_that_resumes_a_recent_takeover_waits() -> None:
    record = EndpointOwner(ENDPOINT, "me", 7, taken_over=True)
    claim = plan_claim(ENDPOINT, record, "me", False, set(), ["me"], leases_with_lapsed(), PAUSE)
    assert claim == Claim(ENDPOINT, 7, PAUSE)


# Per case: steps, each with a revision, the seconds left and a time, and whether the lease has
# lapsed afterwards. `t` is a heartbeat that carries revision and seconds left, `r` a read that
# shows a revision.
LAPSE_CASES: list[tuple[list[tuple[str, int, float, float]], bool]] = [
    ([], False),
    ([("t", 5, 2.0, 0.0)], False),  # No read after the end.
    ([("t", 5, 2.0, 0.0), ("r", 5, 0, 2.4)], False),  # Within the margin.
    ([("t", 5, 2.0, 0.0), ("r", 5, 0, 2.6)], True),
    ([("t", 5, 2.0, 0.0), ("r", 6, 0, 2.6)], False),  # Renewed meanwhile.
    ([("t", 5, 2.0, 0.0), ("r", 6, 0, 2.6), ("r", 6, 0, 9.2)], True),
    ([("t", 5, 2.0, 0.0), ("t", 5, 2.0, 2.0), ("r", 5, 0, 2.6)], False),  # Extended by promises.
    ([("t", 5, 2.0, 0.0), ("t", 4, 0.0, 1.0), ("r", 5, 0, 2.6)], True),
    ([("r", 5, 0, 0.0), ("r", 5, 0, 6.4)], False),
    ([("r", 5, 0, 0.0), ("r", 5, 0, 6.6)], True),
    ([("r", 0, 0, 0.0), ("r", 0, 0, 6.6)], True),  # No lease at all, for a whole term.
    ([("r", 5, 0, 0.0), ("r", 5, 0, 6.6), ("t", 6, 2.0, 7.0)], False),
]


@pytest.mark.parametrize(("steps", "lapsed"), LAPSE_CASES)
def test_when_a_lease_has_lapsed(steps: list[tuple[str, int, float, float]], lapsed: bool) -> None:
    leases = ObservedLeases(TERM, MARGIN)
    for kind, revision, left, at in steps:
        if kind == "t":
            leases.record_heartbeat("b", revision, left, at)
        else:
            leases.record_read("b", revision, at)
    assert leases.has_lapsed("b") is lapsed


# Per case: the stored owner and whether it was written in the current era, whether this process has
# owned the endpoint throughout, and the claim.
RESTORED_STORE_CASES: list[tuple[tuple[str, bool] | None, bool, Claim | None]] = [
    (None, True, Claim(ENDPOINT, 0, 0.0)),
    (("b", False), True, Claim(ENDPOINT, 7, 0.0)),
    (("me", False), True, Claim(ENDPOINT, 7, 0.0)),
    # This process's own write, whose answer was lost.
    (("me", True), True, Claim(ENDPOINT, 7, 0.0, True)),
    (("b", True), True, None),  # Taken over in this era.
    # Another instance may own it by a write that the copy lacks.
    (("me", False), False, Claim(ENDPOINT, 7, PAUSE)),
    (("b", False), False, None),
]


@pytest.mark.parametrize(("stored", "owned_throughout", "expected"), RESTORED_STORE_CASES)
def test_claim_after_the_store_was_restored_from_an_older_copy(
    stored: tuple[str, bool] | None, owned_throughout: bool, expected: Claim | None
) -> None:
    record = EndpointOwner(ENDPOINT, stored[0], 7, in_current_era=stored[1]) if stored else None
    args = ("me", False, {"b"}, ["me"], leases_with_lapsed(), PAUSE, owned_throughout)
    assert plan_claim(ENDPOINT, record, *args) == expected


@dataclass
class Instance:
    """One instance of the world below; it reaches the store only while `reaches` is true."""

    name: str
    lease: HeldLease = field(default_factory=lambda: HeldLease(TERM, MARGIN))
    seen: ObservedLeases = field(default_factory=lambda: ObservedLeases(TERM, MARGIN))
    reaches: bool = True
    frozen: bool = False
    fence: int = 0
    generation: int = -1
    not_before: float = 0.0
    era: Era = field(default_factory=Era)


class World:
    """A store, two instances that can't hear each other, and an endpoint that checks nothing.

    The store may be restored to an earlier state.
    """

    def __init__(self, pause: float, generations: bool, eras: bool) -> None:
        self.now = 0.0
        self.eras = eras
        self.era = 0
        self.revision = 0
        self.past: list[tuple[int, dict[str, int], EndpointOwner | None]] = []
        self.leases: dict[str, int] = {}
        self.record: EndpointOwner | None = None
        self.orders: list[tuple[float, str, int]] = []
        self.instances = [Instance("a"), Instance("b")]
        self.pause = pause
        self.generations = generations

    def restore_earlier_state(self, steps: int) -> None:
        """Restores the state of some steps ago; what was stored since then is lost."""
        self.revision, leases, record = self.past[-min(steps, len(self.past))]
        self.past.clear()
        if self.eras:
            self.era += 1
        self.leases = {name: self._in_current_era(revision) for name, revision in leases.items()}
        self.revision = self._in_current_era(self.revision)
        self.record = record
        if record is not None:
            revision = self._in_current_era(record.revision)
            self.record = replace(record, revision=revision, in_current_era=not self.eras)

    def _in_current_era(self, revision: int) -> int:
        return global_revision(self.era, store_revision(revision))

    def step(self) -> None:
        self.now += 0.1
        self.past.append((self.revision, dict(self.leases), self.record))
        for inst in self.instances:
            if inst.frozen:
                continue
            inst.lease.record_running(self.now)
            if inst.reaches:
                self._renew(inst)
                self._claim(inst)
            self._order(inst)

    def _renew(self, inst: Instance) -> None:
        if self.now - inst.lease.since < 0 or int(self.now * 10) % 15:
            return
        self.revision += 1
        self.leases[inst.name] = self.revision
        inst.lease.record_renewal(self.now, self.revision, self.now)

    def _claim(self, inst: Instance) -> None:
        if not inst.lease.is_valid(self.now):
            return
        inst.era.observe(self.era, self.now)
        for other in self.leases:
            if other != inst.name:
                inst.seen.record_read(other, self.leases[other], self.now)
        owned_throughout = inst.fence > 0 and (
            inst.generation == inst.lease.generation or not self.generations
        )
        confirmed = owned_throughout and era_of(inst.fence) == self.era
        claim = plan_claim(
            ENDPOINT,
            self.record,
            inst.name,
            confirmed,
            set(),
            [inst.name],
            inst.seen,
            self.pause,
            owned_throughout,
        )
        if claim is None or claim.revision != (self.record.revision if self.record else 0):
            return
        not_before = self.now + claim.pause
        if owned_throughout:
            not_before = max(not_before, inst.not_before)
        elif not claim.no_earlier_owner:
            not_before = max(not_before, inst.era.settled_at(TERM, MARGIN, self.pause))
        self.revision += 1
        self.record = EndpointOwner(ENDPOINT, inst.name, self.revision, not_before > self.now)
        inst.fence = self.revision
        inst.generation = inst.lease.generation
        inst.not_before = not_before

    def _order(self, inst: Instance) -> None:
        current = inst.generation == inst.lease.generation or not self.generations
        current = current and not inst.era.must_stop(era_of(inst.fence), self.now)
        if inst.fence and current and inst.lease.is_valid(self.now) and self.now >= inst.not_before:
            self.orders.append((self.now, inst.name, inst.fence))


Steps = list[tuple[int, str, int]]
STEPS = st.lists(
    st.tuples(
        st.integers(0, 1),
        st.sampled_from(["freeze", "thaw", "cut", "heal", "restart", "older", "run"]),
        st.integers(1, 90),
    ),
    max_size=25,
)


def play(steps: Steps, pause: float = PAUSE, generations: bool = True, eras: bool = True) -> World:
    world = World(pause, generations, eras)
    for _ in range(20):
        world.step()
    for which, event, duration in steps:
        instance = world.instances[which]
        match event:
            case "freeze" | "thaw":
                instance.frozen = event == "freeze"
            case "cut" | "heal":
                instance.reaches = event == "heal"
            case "restart":
                world.instances[which] = Instance(instance.name, reaches=instance.reaches)
            case "older":
                world.restore_earlier_state(duration)
        for _ in range(duration):
            world.step()
    return world


def changes_of_owner_within(world: World, pause: float) -> list[float]:
    intervals = []
    for (at, name, _), (later, other, _) in pairwise(world.orders):
        if name != other and later - at < pause:
            intervals.append(later - at)
    return intervals


# Two instances that can't hear each other; the restored copy lacks the takeover or the start of one
# of them.
HISTORIES_WITH_RESTORE: list[Steps] = [
    [(0, "freeze", 110), (1, "run", 30), (1, "cut", 1), (1, "older", 60), (0, "thaw", 90)],
    [(0, "older", 20), (0, "cut", 40), (1, "run", 90)],
    [(0, "cut", 1), (0, "older", 25), (1, "run", 90)],
    # Two restores in a row: an owner that had to stop in the first era must not go on in the next.
    [(0, "freeze", 56), (0, "thaw", 14), (0, "older", 68), (0, "older", 38)],
    # An instance that starts right after the restore finds no owner, while an owner that is cut off
    # goes on.
    [(0, "cut", 1), (0, "older", 25), (1, "restart", 90)],
    [(0, "freeze", 110), (1, "run", 30), (1, "cut", 1), (1, "older", 5), (0, "restart", 90)],
]


@pytest.mark.parametrize("steps", HISTORIES_WITH_RESTORE)
def test_owner_missing_from_the_restored_copy_meets_no_other_owner(steps: Steps) -> None:
    world = play(steps)
    assert not changes_of_owner_within(world, PAUSE - 0.11)
    fences = [fence for _, _, fence in world.orders]
    assert fences == sorted(fences)


def test_fails_without_eras() -> None:
    """Without eras, revisions are assigned twice and the owner object may name a former owner."""
    worlds = [play(steps, eras=False) for steps in HISTORIES_WITH_RESTORE]
    assert any(changes_of_owner_within(world, PAUSE - 0.11) for world in worlds)


@settings(max_examples=150, deadline=None)
@given(STEPS)
def test_no_two_owners_give_orders_within_the_pause(steps: Steps) -> None:
    world = play(steps)
    assert not changes_of_owner_within(world, PAUSE - 0.11)
    fences = [fence for _, _, fence in world.orders]
    assert fences == sorted(fences)
    assert len({(name, fence) for _, name, fence in world.orders}) == len(set(fences))


FROZEN_OWNER: Steps = [(0, "freeze", 100), (1, "run", 30)]
CUT_OFF_OWNER: Steps = [(0, "cut", 120), (1, "run", 30)]


@pytest.mark.parametrize("steps", [FROZEN_OWNER, CUT_OFF_OWNER])
def test_lost_owner_is_replaced(steps: Steps) -> None:
    world = play(steps)
    assert world.orders[-1][1] == "b"


def test_fails_without_the_pause() -> None:
    """In this history, only the pause keeps the orders of two owners apart."""
    assert changes_of_owner_within(play(CUT_OFF_OWNER, pause=0.0), PAUSE)
    assert not changes_of_owner_within(play(CUT_OFF_OWNER), PAUSE - 0.11)


def test_fails_without_generations() -> None:
    """A thawed owner whose lease is renewed must not go on with its old fencing token."""
    steps: Steps = [(0, "freeze", 120), (1, "run", 20), (0, "thaw", 40)]
    assert changes_of_owner_within(play(steps, generations=False), PAUSE)
    assert not changes_of_owner_within(play(steps), PAUSE - 0.11)
