"""Rules of leases, takeovers, promises, quarantines and declarations, one table each."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from wigeonarch_core.engine_grants import EngineGrants
from wigeonarch_core.engine_report import EngineReport, LoadedAdapter
from wigeonarch_core.fleet import Fleet, Ownership
from wigeonarch_core.grant_requests import GrantRequests
from wigeonarch_core.lease import HeldLease
from wigeonarch_core.listing import Listed, Role
from wigeonarch_core.messages import DeclarePins, Granted, GrantRequest, HeldPin, HeldPins
from wigeonarch_core.ownership import Claim, HandOver, HeldOwnership, LocalState, plan_moves
from wigeonarch_core.promises import PromisesGiven, PromisesHeld
from wigeonarch_core.records import LeaseRecord, OwnerRecord
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.takeover_quarantine import (
    QuarantineBounds,
    QuarantineStage,
    TakeoverQuarantine,
)

TERM, MARGIN = 6.0, 1.0
X = AdapterVersion("drafting", "x", "v1")
Y = AdapterVersion("drafting", "y", "v1")

# What happens at a time to a lease renewed at 0, whether it holds later, and its generation then.
LEASE = {
    "renewed": (1.0, lambda lease: None, 4.9, True, 1),
    "lapsed": (1.0, lambda lease: None, 5.0, False, 1),
    "renewed in time": (4.5, lambda lease: lease.renewed(4.0, 2, 4.5), 8.9, True, 1),
    "answer came after its end": (5.5, lambda lease: lease.renewed(4.0, 2, 5.5), 6.0, True, 2),
    "read back unchanged": (4.5, lambda lease: _read_back(lease, 1), 6.0, False, 1),
    "read back renewed": (4.5, lambda lease: _read_back(lease, 2), 6.0, True, 1),
    "promised": (4.5, lambda lease: lease.promised(4.0, 4.5), 8.9, True, 1),
    "promised after its end": (5.5, lambda lease: lease.promised(4.0, 5.5), 6.0, False, 1),
    "paused": (3.6, lambda lease: lease.alive(3.6), 4.0, False, 1),
    "paused, then promised": (3.6, lambda lease: _after_pause(lease, promised=3.6), 4.0, True, 1),
    "paused, promised before": (
        3.6,
        lambda lease: _after_pause(lease, promised=3.0),
        4.0,
        False,
        1,
    ),
    "paused, then renewed": (3.6, lambda lease: _after_pause(lease, renewed=3.6), 4.0, True, 2),
    "lost": (1.0, lambda lease: lease.lost(), 1.5, False, 1),
}
PAUSED_AT = 2.0


def _read_back(lease: HeldLease, version: int) -> None:
    lease.record_attempt(2.0)
    lease.record_attempt(4.0)
    lease.record_stored_version(version, 4.5)


def _after_pause(
    lease: HeldLease, promised: float | None = None, renewed: float | None = None
) -> None:
    assert lease.record_running(3.6) > MARGIN
    if promised is not None:
        lease.record_promises(promised, 3.6)
    if renewed is not None:
        lease.record_renewal(renewed, 2, 3.6)


def _run(lease: HeldLease, since: float, until: float) -> None:
    while since < until:
        lease.record_running(since)
        since += 0.5
    lease.record_running(until)


@pytest.mark.parametrize(("when", "act", "at", "holds", "generation"), LEASE.values(), ids=LEASE)
def test_lease(
    when: float, act: Callable[[HeldLease], None], at: float, holds: bool, generation: int
) -> None:
    lease = HeldLease(TERM, MARGIN)
    lease.record_renewal(0.0, 1, 0.1)
    _run(lease, 0.1, PAUSED_AT if when == 3.6 else when - 0.1)
    act(lease)
    _run(lease, when, at)
    assert (lease.is_valid(at), lease.generation) == (holds, generation)


def _record(name: str, boot: str, draining: bool = False) -> LeaseRecord:
    return LeaseRecord(name, "zone", boot, "", "", TERM, 0, draining)


def _fleet(owner: OwnerRecord | None = None, peers: tuple[LeaseRecord, ...] = ()) -> Fleet:
    fleet = Fleet("me", "zone", "m1", MARGIN, TERM, 0.0)
    fleet.observe_list([Listed("engine", "127.0.0.1:1", "zone", Role.ENGINE, "drafting")])
    for number, record in enumerate(peers):
        fleet.observe_lease(record, number + 1, 0.0)
    if owner is not None:
        fleet.observe_owner(owner, 10)
    return fleet


# How an owner on record was seen, and when it counts as gone.
VACANT = {
    "live, until its lease lapses": ((_record("o", "o1"),), "o1", 7.0, False),
    "lapsed": ((_record("o", "o1"),), "o1", 7.1, True),
    "never seen, within a term": ((), "o1", 7.0, False),
    "never seen for a term": ((), "o1", 7.1, True),
    "replaced, may still run": ((_record("o", "o1"), _record("o", "o2")), "o1", 7.0, False),
    "replaced a term ago": ((_record("o", "o1"), _record("o", "o2")), "o1", 7.1, True),
}


@pytest.mark.parametrize(("peers", "boot", "now", "vacant"), VACANT.values(), ids=VACANT)
def test_vacant(peers: tuple[LeaseRecord, ...], boot: str, now: float, vacant: bool) -> None:
    assert _fleet(peers=peers).is_vacant(Ownership("o", boot, 10), now) is vacant


def test_a_deleted_lease_means_that_its_holder_has_stopped() -> None:
    fleet = _fleet(peers=(_record("o", "o1"),))
    fleet.observe_lease_deleted("o")
    assert fleet.is_vacant(Ownership("o", "o1", 10), 0.1)


MINE = OwnerRecord("engine", "me", "m1")
OTHER = OwnerRecord("engine", "o", "o1")
TAKEN = Ownership("o", "o1", 10)
VACATED = OwnerRecord("engine", "", "")
HELD = HeldOwnership(10, 1, 0.0)
# Owner on record, holding, whether this instance drains and has promised, and the moves at 20 s.
PLAN = {
    "nobody's": (None, None, False, False, [Claim("engine", 0)]),
    "mine, confirmed": (MINE, HELD, False, False, []),
    "mine, of an earlier stretch": (
        MINE,
        HeldOwnership(10, 0, 0.0),
        False,
        False,
        [Claim("engine", 10)],
    ),
    "mine, unknown": (MINE, None, False, False, [Claim("engine", 10)]),
    "another's, gone": (OTHER, None, False, False, [Claim("engine", 10, TAKEN)]),
    "another's, promised": (OTHER, None, False, True, []),
    "another's, while draining": (OTHER, None, True, False, []),
    "given up by its owner": (VACATED, None, False, False, [Claim("engine", 10)]),
    "given up, while draining": (VACATED, None, True, False, []),
    "mine, while draining alone": (MINE, HELD, True, False, []),
}


@pytest.mark.parametrize(
    ("owner", "holding", "draining", "promised", "moves"), PLAN.values(), ids=PLAN
)
def test_plan(
    owner: OwnerRecord | None,
    holding: HeldOwnership | None,
    draining: bool,
    promised: bool,
    moves: list[Claim | HandOver],
) -> None:
    lease, promises = HeldLease(TERM, MARGIN), PromisesGiven(TERM)
    for at in range(21):
        lease.record_renewal(float(at), at + 1, float(at))
    if promised:
        promises.give("o", 19.0)
    held = {} if holding is None else {"engine": holding}
    standing = LocalState(lease, held, promises, draining)
    assert plan_moves(_fleet(owner), standing, 20.0) == moves


def test_a_draining_owner_gives_to_a_settled_instance() -> None:
    fleet, lease = _fleet(MINE, (_record("o", "o1"),)), HeldLease(TERM, MARGIN)
    lease.record_renewal(6.0, 1, 6.0)
    standing = LocalState(lease, {"engine": HELD}, PromisesGiven(TERM), draining=True)
    assert plan_moves(fleet, standing, 6.5) == [HandOver("engine", "o", 10)]


@pytest.mark.parametrize(
    ("promisers", "needed", "asked_at"),
    [((), (), 3.0), ((), ("a",), None), (("a",), ("a", "b"), None), (("a", "b"), ("a", "b"), 2.0)],
)
def test_promises_of_all_are_needed(
    promisers: tuple[str, ...], needed: tuple[str, ...], asked_at: float | None
) -> None:
    held = PromisesHeld(TERM)
    number = held.start_request(2.0)
    for peer in promisers:
        held.record_promise(peer, number)
    assert held.supported_since(needed, 3.0) == asked_at


# Time of the report, whether the engine queues, whether all declared, and what may go at 9 s.
QUARANTINE = {
    "idle before the settling": (6.9, 0, True, [], QuarantineStage.IDLE_ONLY),
    "idle after it": (7.0, 0, True, [X], QuarantineStage.IDLE_ONLY),
    "requests queued in the engine": (7.0, 1, True, [], QuarantineStage.IDLE_ONLY),
    "not all declared": (7.0, 0, False, [], QuarantineStage.DECLARING),
}


@pytest.mark.parametrize(
    ("sampled", "waiting", "declared", "may_go", "stage"), QUARANTINE.values(), ids=QUARANTINE
)
def test_quarantine(
    sampled: float,
    waiting: int,
    declared: bool,
    may_go: list[AdapterVersion],
    stage: QuarantineStage,
) -> None:
    quarantine = TakeoverQuarantine(QuarantineBounds(7.0, 30.0), ["a"], 0.0)
    loaded = (LoadedAdapter("x", "v1", 0), LoadedAdapter("y", "v1", 1))
    report = EngineReport("1", 2, 8, waiting=waiting, loaded=loaded)
    quarantine.record_report(report, "drafting", sampled)
    if declared:
        quarantine.record_declaration("a")
    assert [each for each in (X, Y) if quarantine.may_evict(each, 9.0)] == may_go
    assert quarantine.stage(9.0) is stage
    assert quarantine.may_evict(Y, 30.0)


ASK = GrantRequest("ask", "me", "engine", X, "caller", 0, 30.0, 10)
# Round and fence of a grant, time of its arrival, and whether it may be used.
GRANTS = {
    "recent": (1, 5, 5.0, True),
    "too late": (1, 5, 5.1, False),
    "of a round not sent": (2, 5, 1.0, False),
    "of an older owner than declared to": (1, 4, 1.0, False),
}


@pytest.mark.parametrize(("number", "fence", "now", "usable"), GRANTS.values(), ids=GRANTS)
def test_which_grants_are_taken(number: int, fence: int, now: float, usable: bool) -> None:
    asking = GrantRequests("me", "m1", 5.0, 1.0)
    asking.note_sent("ask", 1, 0.0)
    asking.declare_pins(DeclarePins("engine", "o", 5), 0.0)
    assert asking.may_use(Granted("ask", number, 0.0, 0.0, "engine", fence), now) is usable


def test_a_grant_given_up_is_declared_until_its_deadline() -> None:
    asking = GrantRequests("me", "m1", 5.0, 1.0)
    asking.hold(ASK, 30.0, 0.0)
    assert asking.is_usable("ask", 1.0) and not asking.is_usable("ask", 1.1)
    asking.abandon("ask", 2.0)
    for now, count in ((2.0, 1), (31.0, 1), (31.1, 0)):
        held = asking.declare_pins(DeclarePins("engine", "o", 5), now)
        assert held is not None and len(held.pins) == count


# Process and fence of an empty declaration, when it was asked for, and whether the pin has ended.
DECLARED = {
    "not listed": ("a1", 10, 6.1, ("ask",)),
    "asked while the grant could still be taken": ("a1", 10, 6.0, ()),
    "another process of the asker": ("a2", 10, 6.1, ()),
    "to another ownership": ("a1", 9, 6.1, ()),
}


@pytest.mark.parametrize(("boot", "fence", "asked", "gone"), DECLARED.values(), ids=DECLARED)
def test_what_a_declaration_ends(
    boot: str, fence: int, asked: float, gone: tuple[str, ...]
) -> None:
    custody = EngineGrants("engine", HELD, None, announced=True, validity=6.0)
    custody.record_grant("ask", "a", "a1", 0.0)
    number = custody.request_declaration("me", asked).number
    assert custody.apply_declaration(HeldPins("a", boot, "engine", fence, number, ())).ended == gone


def test_a_pin_released_before_its_declaration_comes_is_not_adopted() -> None:
    custody = EngineGrants("engine", HELD, None, announced=True, validity=6.0)
    number = custody.request_declaration("me", 0.0).number
    custody.record_release("ask")
    held = HeldPins("a", "a1", "engine", 10, number, (HeldPin("ask", X, 9.0),))
    assert custody.apply_declaration(held).adopt == ()
