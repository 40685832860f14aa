"""Who may order an endpoint: no two instances within the pause, whatever happens to them."""

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


def observed(*lapsed: str) -> ObservedLeases:
    found = ObservedLeases(TERM, MARGIN)
    for instance in lapsed:
        found.record_read(instance, 5, 0.0)
        found.record_read(instance, 5, TERM + MARGIN + 0.1)
    return found


@pytest.mark.parametrize(
    ("holder", "confirmed", "alive", "candidates", "lapsed", "expected"),
    [
        (None, False, set(), ["me"], [], Claim(ENDPOINT, 0, 0.0)),
        (None, False, {"b"}, ["b"], [], None),  # This instance is leaving.
        ("me", False, set(), ["me"], [], Claim(ENDPOINT, 7, 0.0, True)),  # The same resumes.
        ("me", True, set(), ["me"], [], None),
        ("b", False, {"b"}, ["me"], ["b"], None),  # It says that its lease holds.
        ("b", False, set(), ["me"], [], None),  # Its lease was not watched for a whole term.
        ("b", False, set(), ["me"], ["b"], Claim(ENDPOINT, 7, PAUSE)),
        ("b", False, set(), [], ["b"], None),
    ],
)
def test_claim(
    holder: str | None,
    confirmed: bool,
    alive: set[str],
    candidates: list[str],
    lapsed: list[str],
    expected: Claim | None,
) -> None:
    record = EndpointOwner(ENDPOINT, holder, 7) if holder else None
    found = plan_claim(
        ENDPOINT, record, "me", confirmed, alive, candidates, observed(*lapsed), PAUSE
    )
    assert found == expected


def test_a_process_that_resumes_a_fresh_takeover_waits() -> None:
    record = EndpointOwner(ENDPOINT, "me", 7, taken_over=True)
    found = plan_claim(ENDPOINT, record, "me", False, set(), ["me"], observed(), PAUSE)
    assert found == Claim(ENDPOINT, 7, PAUSE)


# Steps: `t` a heartbeat tells revision and seconds left, `r` a read shows a revision, each at a
# time. Then: whether the lease has lapsed for a takeover.
LAPSES: list[tuple[list[tuple[str, int, float, float]], bool]] = [
    ([], False),
    ([("t", 5, 2.0, 0.0)], False),  # Nothing was read after the end.
    ([("t", 5, 2.0, 0.0), ("r", 5, 0, 2.4)], False),  # Within the margin.
    ([("t", 5, 2.0, 0.0), ("r", 5, 0, 2.6)], True),
    ([("t", 5, 2.0, 0.0), ("r", 6, 0, 2.6)], False),  # Renewed since.
    ([("t", 5, 2.0, 0.0), ("r", 6, 0, 2.6), ("r", 6, 0, 9.2)], True),
    ([("t", 5, 2.0, 0.0), ("t", 5, 2.0, 2.0), ("r", 5, 0, 2.6)], False),  # Extended by promises.
    ([("t", 5, 2.0, 0.0), ("t", 4, 0.0, 1.0), ("r", 5, 0, 2.6)], True),
    ([("r", 5, 0, 0.0), ("r", 5, 0, 6.4)], False),
    ([("r", 5, 0, 0.0), ("r", 5, 0, 6.6)], True),
    ([("r", 0, 0, 0.0), ("r", 0, 0, 6.6)], True),  # No lease at all, for a whole term.
    ([("r", 5, 0, 0.0), ("r", 5, 0, 6.6), ("t", 6, 2.0, 7.0)], False),
]


@pytest.mark.parametrize(("steps", "lapsed"), LAPSES)
def test_when_a_lease_has_lapsed(steps: list[tuple[str, int, float, float]], lapsed: bool) -> None:
    found = ObservedLeases(TERM, MARGIN)
    for what, revision, left, at in steps:
        if what == "t":
            found.record_heartbeat("b", revision, left, at)
        else:
            found.record_read("b", revision, at)
    assert found.has_lapsed("b") is lapsed


# What the store has (holder, of the present era), whether this process keeps it: the claim.
AFTER_A_COPY: list[tuple[tuple[str, bool] | None, bool, Claim | None]] = [
    (None, True, Claim(ENDPOINT, 0, 0.0)),
    (("b", False), True, Claim(ENDPOINT, 7, 0.0)),
    (("me", False), True, Claim(ENDPOINT, 7, 0.0)),
    (("me", True), True, Claim(ENDPOINT, 7, 0.0, True)),  # The own write, whose answer was lost.
    (("b", True), True, None),  # Taken over in this era.
    # Somebody else may hold it by what the copy lacks.
    (("me", False), False, Claim(ENDPOINT, 7, PAUSE)),
    (("b", False), False, None),
]


@pytest.mark.parametrize(("stored", "keeps", "expected"), AFTER_A_COPY)
def test_claim_after_the_store_came_back_older(
    stored: tuple[str, bool] | None, keeps: bool, expected: Claim | None
) -> None:
    record = EndpointOwner(ENDPOINT, stored[0], 7, in_current_era=stored[1]) if stored else None
    args = ("me", False, {"b"}, ["me"], observed(), PAUSE, keeps)
    assert plan_claim(ENDPOINT, record, *args) == expected


@dataclass
class Instance:
    """One instance of the world below; it sees the store only when `reaches` is true."""

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

    The store may come back as it was some time before.
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

    def come_back_older(self, steps: int) -> None:
        """Goes back by some steps; what is stored since then is gone."""
        self.revision, leases, record = self.past[-min(steps, len(self.past))]
        self.past.clear()
        if self.eras:
            self.era += 1
        self.leases = {name: self._renumbered(revision) for name, revision in leases.items()}
        self.revision = self._renumbered(self.revision)
        self.record = record
        if record is not None:
            revision = self._renumbered(record.revision)
            self.record = replace(record, revision=revision, in_current_era=not self.eras)

    def _renumbered(self, revision: int) -> int:
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
        keeps = inst.fence > 0 and (
            inst.generation == inst.lease.generation or not self.generations
        )
        confirmed = keeps and era_of(inst.fence) == self.era
        found = plan_claim(
            ENDPOINT,
            self.record,
            inst.name,
            confirmed,
            set(),
            [inst.name],
            inst.seen,
            self.pause,
            keeps,
        )
        if found is None or found.revision != (self.record.revision if self.record else 0):
            return
        not_before = self.now + found.pause
        if keeps:
            not_before = max(not_before, inst.not_before)
        elif not found.no_earlier_owner:
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
    for which, what, duration in steps:
        inst = world.instances[which]
        match what:
            case "freeze" | "thaw":
                inst.frozen = what == "freeze"
            case "cut" | "heal":
                inst.reaches = what == "heal"
            case "restart":
                world.instances[which] = Instance(inst.name, reaches=inst.reaches)
            case "older":
                world.come_back_older(duration)
        for _ in range(duration):
            world.step()
    return world


def turns_within(world: World, pause: float) -> list[float]:
    found = []
    for (at, name, _), (later, other, _) in pairwise(world.orders):
        if name != other and later - at < pause:
            found.append(later - at)
    return found


# Two that are cut from each other, of which the store forgets that one took over or began.
FORGOTTEN: list[Steps] = [
    [(0, "freeze", 110), (1, "run", 30), (1, "cut", 1), (1, "older", 60), (0, "thaw", 90)],
    [(0, "older", 20), (0, "cut", 40), (1, "run", 90)],
    [(0, "cut", 1), (0, "older", 25), (1, "run", 90)],
    # Two copies in a row: a holder that had to stop in the first era does not go on in the next.
    [(0, "freeze", 56), (0, "thaw", 14), (0, "older", 68), (0, "older", 38)],
    # One that starts right after the drill finds nothing, while a holder that is cut off goes on.
    [(0, "cut", 1), (0, "older", 25), (1, "restart", 90)],
    [(0, "freeze", 110), (1, "run", 30), (1, "cut", 1), (1, "older", 5), (0, "restart", 90)],
]


@pytest.mark.parametrize("steps", FORGOTTEN)
def test_a_holder_that_the_copy_forgot_is_not_met_by_another(steps: Steps) -> None:
    world = play(steps)
    assert not turns_within(world, PAUSE - 0.11)
    fences = [fence for _, _, fence in world.orders]
    assert fences == sorted(fences)


def test_fails_without_eras() -> None:
    """Revisions that are given out again, and an object that names a former holder."""
    without = [play(steps, eras=False) for steps in FORGOTTEN]
    assert any(turns_within(world, PAUSE - 0.11) for world in without)


@settings(max_examples=150, deadline=None)
@given(STEPS)
def test_two_holders_never_take_turns_within_the_pause(steps: Steps) -> None:
    world = play(steps)
    assert not turns_within(world, PAUSE - 0.11)
    fences = [fence for _, _, fence in world.orders]
    assert fences == sorted(fences)
    assert len({(name, fence) for _, name, fence in world.orders}) == len(set(fences))


TAKEOVER: Steps = [(0, "freeze", 100), (1, "run", 30)]
CUT: Steps = [(0, "cut", 120), (1, "run", 30)]


@pytest.mark.parametrize("steps", [TAKEOVER, CUT])
def test_a_lost_holder_is_replaced(steps: Steps) -> None:
    world = play(steps)
    assert world.orders[-1][1] == "b"


def test_fails_without_the_pause() -> None:
    """The scripted history in which the pause is what keeps two holders apart."""
    assert turns_within(play(CUT, pause=0.0), PAUSE)
    assert not turns_within(play(CUT), PAUSE - 0.11)


def test_fails_without_generations() -> None:
    """A thawed holder whose lease is renewed must not go on under its old fence."""
    steps: Steps = [(0, "freeze", 120), (1, "run", 20), (0, "thaw", 40)]
    assert turns_within(play(steps, generations=False), PAUSE)
    assert not turns_within(play(steps), PAUSE - 0.11)
