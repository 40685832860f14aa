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

# Per case of a lease renewed at 0: time of an action, the action, time of the check, whether the
# lease is valid then, and its generation then.
LEASE_CASES = {
    "renewed": (1.0, lambda lease: None, 4.9, True, 1),
    "lapsed": (1.0, lambda lease: None, 5.0, False, 1),
    "renewed in time": (4.5, lambda lease: lease.record_renewal(4.0, 2, 4.5), 8.9, True, 1),
    "answer came after its end": (
        5.5,
        lambda lease: lease.record_renewal(4.0, 2, 5.5),
        6.0,
        True,
        2,
    ),
    "read back unchanged": (4.5, lambda lease: _read_stored_version(lease, 1), 6.0, False, 1),
    "read back renewed": (4.5, lambda lease: _read_stored_version(lease, 2), 6.0, True, 1),
    "promised": (4.5, lambda lease: lease.record_promises(4.0, 4.5), 8.9, True, 1),
    "promised after its end": (5.5, lambda lease: lease.record_promises(4.0, 5.5), 6.0, False, 1),
    "paused": (3.6, lambda lease: lease.record_running(3.6), 4.0, False, 1),
    "paused, then promised": (3.6, lambda lease: _after_pause(lease, promised=3.6), 4.0, True, 1),
    "paused, promised before": (
        3.6,
        lambda lease: _after_pause(lease, promised=3.0),
        4.0,
        False,
        1,
    ),
    "paused, then renewed": (3.6, lambda lease: _after_pause(lease, renewed=3.6), 4.0, True, 2),
    "renewed by a peer": (4.5, lambda lease: lease.record_peer_renewal(4.0, 2, 4.5), 8.9, True, 1),
    "renewed by a peer after its end": (
        5.5,
        lambda lease: lease.record_peer_renewal(5.4, 2, 5.5),
        6.0,
        False,
        1,
    ),
    "found renewed by a peer": (4.5, lambda lease: _read_peer_version(lease, 2), 6.0, True, 1),
    "found unchanged by a peer": (4.5, lambda lease: _read_peer_version(lease, 1), 6.0, False, 1),
    "paused, then renewed by a peer": (
        3.6,
        lambda lease: _after_pause(lease, peer_renewed=3.6),
        4.0,
        True,
        1,
    ),
    "paused, a peer was asked before": (
        3.6,
        lambda lease: _after_pause(lease, peer_renewed=3.0),
        4.0,
        False,
        1,
    ),
    "lost": (1.0, lambda lease: lease.invalidate(), 1.5, False, 1),
}
LAST_RUNNING_BEFORE_PAUSE = 2.0


def _read_stored_version(lease: HeldLease, version: int) -> None:
    lease.record_attempt(2.0)
    lease.record_attempt(4.0)
    lease.record_stored_version(version, 4.5)


def _read_peer_version(lease: HeldLease, version: int) -> None:
    lease.record_attempt(2.0)
    lease.record_attempt(4.0)
    lease.record_peer_version(version, 4.5)


def _after_pause(
    lease: HeldLease,
    promised: float | None = None,
    renewed: float | None = None,
    peer_renewed: float | None = None,
) -> None:
    assert lease.record_running(3.6) > MARGIN
    if promised is not None:
        lease.record_promises(promised, 3.6)
    if renewed is not None:
        lease.record_renewal(renewed, 2, 3.6)
    if peer_renewed is not None:
        lease.record_peer_renewal(peer_renewed, 2, 3.6)


def _keep_running(lease: HeldLease, now: float, end: float) -> None:
    while now < end:
        lease.record_running(now)
        now += 0.5
    lease.record_running(end)


@pytest.mark.parametrize(
    ("action_at", "action", "check_at", "valid", "generation"),
    LEASE_CASES.values(),
    ids=LEASE_CASES,
)
def test_lease_validity_and_generation(
    action_at: float,
    action: Callable[[HeldLease], None],
    check_at: float,
    valid: bool,
    generation: int,
) -> None:
    lease = HeldLease(TERM, MARGIN)
    lease.record_renewal(0.0, 1, 0.1)
    _keep_running(lease, 0.1, LAST_RUNNING_BEFORE_PAUSE if action_at == 3.6 else action_at - 0.1)
    action(lease)
    _keep_running(lease, action_at, check_at)
    assert (lease.is_valid(check_at), lease.generation) == (valid, generation)


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


# Per case: leases seen at 0, the recorded owner's process, the time, and whether the engine counts
# as vacant.
VACANT_CASES = {
    "live, until its lease lapses": ((_record("o", "o1"),), "o1", 7.0, False),
    "lapsed": ((_record("o", "o1"),), "o1", 7.1, True),
    "never seen, within a term": ((), "o1", 7.0, False),
    "never seen for a term": ((), "o1", 7.1, True),
    "replaced, may still run": ((_record("o", "o1"), _record("o", "o2")), "o1", 7.0, False),
    "replaced a term ago": ((_record("o", "o1"), _record("o", "o2")), "o1", 7.1, True),
}


@pytest.mark.parametrize(
    ("peers", "boot", "now", "vacant"), VACANT_CASES.values(), ids=VACANT_CASES
)
def test_when_the_recorded_owner_counts_as_gone(
    peers: tuple[LeaseRecord, ...], boot: str, now: float, vacant: bool
) -> None:
    assert _fleet(peers=peers).is_vacant(Ownership("o", boot, 10), now) is vacant


def test_owner_counts_as_gone_once_its_lease_is_deleted() -> None:
    fleet = _fleet(peers=(_record("o", "o1"),))
    fleet.observe_lease_deleted("o")
    assert fleet.is_vacant(Ownership("o", "o1", 10), 0.1)


MINE = OwnerRecord("engine", "me", "m1")
OTHER = OwnerRecord("engine", "o", "o1")
TAKEN = Ownership("o", "o1", 10)
VACATED = OwnerRecord("engine", "", "")
HELD = HeldOwnership(10, 1, 0.0)
# Per case: the recorded owner, this instance's ownership, whether it is draining, whether it has
# promised not to take over, and the moves planned at 20 s.
PLAN_CASES = {
    "without an owner": (None, None, False, False, [Claim("engine", 0)]),
    "mine, confirmed": (MINE, HELD, False, False, []),
    "mine, of an earlier generation": (
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
    ("owner", "ownership", "draining", "promised", "moves"), PLAN_CASES.values(), ids=PLAN_CASES
)
def test_planned_moves(
    owner: OwnerRecord | None,
    ownership: HeldOwnership | None,
    draining: bool,
    promised: bool,
    moves: list[Claim | HandOver],
) -> None:
    lease, promises = HeldLease(TERM, MARGIN), PromisesGiven(TERM)
    for at in range(21):
        lease.record_renewal(float(at), at + 1, float(at))
    if promised:
        promises.give("o", 19.0)
    held = {} if ownership is None else {"engine": ownership}
    state = LocalState(lease, held, promises, draining)
    assert plan_moves(_fleet(owner), state, 20.0) == moves


def test_draining_owner_hands_over_to_a_settled_instance() -> None:
    fleet, lease = _fleet(MINE, (_record("o", "o1"),)), HeldLease(TERM, MARGIN)
    lease.record_renewal(6.0, 1, 6.0)
    state = LocalState(lease, {"engine": HELD}, PromisesGiven(TERM), draining=True)
    assert plan_moves(fleet, state, 6.5) == [HandOver("engine", "o", 10)]


@pytest.mark.parametrize(
    ("promisers", "needed", "supported_since"),
    [((), (), 3.0), ((), ("a",), None), (("a",), ("a", "b"), None), (("a", "b"), ("a", "b"), 2.0)],
)
def test_support_needs_the_promises_of_all(
    promisers: tuple[str, ...], needed: tuple[str, ...], supported_since: float | None
) -> None:
    held = PromisesHeld(TERM)
    number = held.start_request(2.0)
    for peer in promisers:
        held.record_promise(peer, number)
    assert held.supported_since(needed, 3.0) == supported_since


# Per case: time of the report, requests queued in the engine, whether all instances declared, what
# may be evicted at 9 s, and the stage then.
QUARANTINE_CASES = {
    "idle before the settling": (6.9, 0, True, [], QuarantineStage.IDLE_ONLY),
    "idle after it": (7.0, 0, True, [X], QuarantineStage.IDLE_ONLY),
    "requests queued in the engine": (7.0, 1, True, [], QuarantineStage.IDLE_ONLY),
    "not all declared": (7.0, 0, False, [], QuarantineStage.DECLARING),
}


@pytest.mark.parametrize(
    ("sampled", "waiting", "declared", "evictable", "stage"),
    QUARANTINE_CASES.values(),
    ids=QUARANTINE_CASES,
)
def test_what_may_be_evicted_after_a_takeover(
    sampled: float,
    waiting: int,
    declared: bool,
    evictable: list[AdapterVersion],
    stage: QuarantineStage,
) -> None:
    quarantine = TakeoverQuarantine(QuarantineBounds(7.0, 30.0), ["a"], 0.0)
    loaded = (LoadedAdapter("x", "v1", 0), LoadedAdapter("y", "v1", 1))
    report = EngineReport("1", 2, 8, waiting=waiting, loaded=loaded)
    quarantine.record_report(report, "drafting", sampled)
    if declared:
        quarantine.record_declaration("a")
    assert [target for target in (X, Y) if quarantine.may_evict(target, 9.0)] == evictable
    assert quarantine.stage(9.0) is stage
    assert quarantine.may_evict(Y, 30.0)


REQUEST = GrantRequest("ask", "me", "engine", X, "caller", 0, 30.0, 10)
# Per case: round and fencing token of a grant, time of its arrival, and whether it may be used.
GRANT_CASES = {
    "recent": (1, 5, 5.0, True),
    "too late": (1, 5, 5.1, False),
    "of a round not sent": (2, 5, 1.0, False),
    "of an older owner than declared to": (1, 4, 1.0, False),
}


@pytest.mark.parametrize(
    ("number", "fence", "now", "usable"), GRANT_CASES.values(), ids=GRANT_CASES
)
def test_which_grants_may_be_used(number: int, fence: int, now: float, usable: bool) -> None:
    requests = GrantRequests("me", "m1", 5.0, 1.0)
    requests.note_sent("ask", 1, 0.0)
    requests.declare_pins(DeclarePins("engine", "o", 5), 0.0)
    assert requests.may_use(Granted("ask", number, 0.0, 0.0, "engine", fence), now) is usable


def test_abandoned_grant_is_declared_until_its_deadline() -> None:
    requests = GrantRequests("me", "m1", 5.0, 1.0)
    requests.hold(REQUEST, 30.0, 0.0)
    assert requests.is_usable("ask", 1.0) and not requests.is_usable("ask", 1.1)
    requests.abandon("ask", 2.0)
    for now, count in ((2.0, 1), (31.0, 1), (31.1, 0)):
        held = requests.declare_pins(DeclarePins("engine", "o", 5), now)
        assert held is not None and len(held.pins) == count


# Per case: process and fencing token of an empty declaration, when it was requested, and which pins
# it ends.
DECLARATION_CASES = {
    "not listed": ("a1", 10, 6.1, ("ask",)),
    "asked while the grant could still be taken": ("a1", 10, 6.0, ()),
    "another process of the requester": ("a2", 10, 6.1, ()),
    "to another ownership": ("a1", 9, 6.1, ()),
}


@pytest.mark.parametrize(
    ("boot", "fence", "asked_at", "ended"), DECLARATION_CASES.values(), ids=DECLARATION_CASES
)
def test_which_pins_a_declaration_ends(
    boot: str, fence: int, asked_at: float, ended: tuple[str, ...]
) -> None:
    grants = EngineGrants("engine", HELD, None, announced=True, validity=6.0)
    grants.record_grant("ask", "a", "a1", 0.0)
    number = grants.request_declaration("me", asked_at).number
    assert grants.apply_declaration(HeldPins("a", boot, "engine", fence, number, ())).ended == ended


def test_released_pin_is_not_adopted_from_an_older_declaration() -> None:
    grants = EngineGrants("engine", HELD, None, announced=True, validity=6.0)
    number = grants.request_declaration("me", 0.0).number
    grants.record_release("ask")
    held = HeldPins("a", "a1", "engine", 10, number, (HeldPin("ask", X, 9.0),))
    assert grants.apply_declaration(held).adopt == ()
