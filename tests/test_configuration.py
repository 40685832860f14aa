"""Rules of the configuration: who may serve, when a change is accepted, what the log may do."""

from __future__ import annotations

import pytest
from msgspec.structs import replace
from wigeonarch_core.acceptance import LaggingInstance, Member, find_lagging
from wigeonarch_core.catalogue import Catalogue
from wigeonarch_core.changelog import Change, Put
from wigeonarch_core.entries import Adapter, Service, ServiceKind
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.replica import LogComparison, Replica, compare_log, position_of
from wigeonarch_core.serving_right import (
    LeasePeriod,
    PlatformReachability,
    ServingState,
    ZonePeer,
    ZoneView,
    refusal_reason,
)
from wigeonarch_core.snapshots import (
    SnapshotHead,
    announce,
    decode,
    encode,
    finish,
    first_kept_change,
    is_due,
    newest_number,
    split,
)

LEASED = ServingState(
    has_configuration=True,
    leased=True,
    ever_leased=True,
    leased_since=10.0,
    lapsed_at=5.0,
    caught_up_at=11.0,
    last_attempt=11.0,
    applied=7,
    newest=7,
    others_known=True,
    recent_peers=(),
)
ADRIFT = ZonePeer("b", 20.0, leased=False, reaches=False, applied=7)
# The lease ended at 15, the platform was tried at 16, and a peer in the same place is heard.
CUT = replace(LEASED, leased=False, lapsed_at=15.0, last_attempt=16.0, recent_peers=(ADRIFT,))


@pytest.mark.parametrize(
    ("at", "reason"),
    [
        (LEASED, None),
        (replace(LEASED, has_configuration=False), Reason.NO_CONFIGURATION),
        # A log read before the lease began may lack what was accepted in between.
        (replace(LEASED, caught_up_at=9.9), Reason.NOT_CAUGHT_UP),
        (replace(LEASED, caught_up_at=None), Reason.NOT_CAUGHT_UP),
        (CUT, None),
        # Paused: by the clock the lease has lapsed, and nothing was tried since.
        (replace(CUT, last_attempt=14.9), Reason.NOT_CAUGHT_UP),
        (replace(CUT, last_attempt=None), Reason.NOT_CAUGHT_UP),
        # A peer has more in force.
        (replace(CUT, newest=8), Reason.NOT_CAUGHT_UP),
        # Cut off alone.
        (replace(CUT, recent_peers=()), Reason.CUT_OFF),
        # The only instance of its zone, which the list names.
        (replace(CUT, recent_peers=(), others_known=False), None),
        # The same one, but never counted by anybody.
        (replace(CUT, recent_peers=(), others_known=False, ever_leased=False), Reason.CUT_OFF),
        # New in a zone that is cut off.
        (replace(CUT, ever_leased=False, caught_up_at=None), None),
        (replace(CUT, recent_peers=(ADRIFT, replace(ADRIFT, leased=True))), None),
        (
            replace(
                CUT, recent_peers=(ADRIFT, replace(ADRIFT, name="c", leased=True, reaches=True))
            ),
            Reason.NOT_LEASED,
        ),
    ],
)
def test_right_to_serve(at: ServingState, reason: Reason | None) -> None:
    assert refusal_reason(at) is reason


def test_lease_period_begins_anew_after_a_gap() -> None:
    period = LeasePeriod(6.0, 1.0, 0.0)
    assert not period.is_valid(0.0)
    period.record_renewal(1.0, 1.5)
    assert (period.since, period.is_valid(5.9), period.is_valid(6.0)) == (1.5, True, False)
    period.record_renewal(4.0, 4.5)
    assert (period.since, period.last_ended_at(9.0)) == (1.5, 9.0)
    # Sent in time, but confirmed only after the end.
    period.record_renewal(8.9, 9.1)
    assert (period.since, period.last_ended_at(9.2)) == (9.1, 9.0)


def test_reach_settles_without_a_gap() -> None:
    reach = PlatformReachability(bound=2.0, settle=3.5)
    assert not reach.is_reachable(0.0)
    for now in (0.0, 1.0, 2.0, 3.0, 4.0):
        reach.record_answer(now)
    assert (reach.is_settled(3.4), reach.is_settled(4.0), reach.is_settled(6.1)) == (
        False,
        True,
        False,
    )
    reach.record_answer(6.1)
    assert (reach.is_reachable(6.1), reach.is_settled(6.2)) == (True, False)


def test_zone_view_remembers_the_newest_change() -> None:
    view = ZoneView(2.5)
    view.record(replace(ADRIFT, as_of=1.0, applied=9))
    view.record(replace(ADRIFT, as_of=2.0, applied=8))
    assert (view.newest, view.recent_peers(4.0), view.recent_peers(5.0)) == (
        9,
        (replace(ADRIFT, as_of=2.0, applied=8),),
        (),
    )


A = Member("a", "zone-a", 7, leased=True, listed=True, settled=True)
B = Member("b", "zone-b", 7, leased=True, listed=True, settled=True)
B2 = replace(B, name="b2")
GONE = replace(B2, applied=6, leased=False)


@pytest.mark.parametrize(
    ("members", "missing"),
    [
        ((A, B), ()),
        ((A, replace(B, applied=6)), ("b",)),
        # Not yet listed, but leased.
        ((A, replace(B, applied=6, listed=False)), ("b",)),
        # A zone without a lease that the list still names: cut off, and serving.
        ((A, replace(GONE, name="b")), ("b",)),
        ((A, replace(GONE, listed=False)), ()),
        # One without a lease in a zone that knows of the platform.
        ((A, B, GONE), ()),
        # Its neighbour reaches the platform again, but not for long: not all were told.
        ((A, replace(B, settled=False), GONE), ("b2",)),
        ((A, replace(B, applied=6), GONE), ("b", "b2")),
        ((A, replace(B, leased=False), GONE), ("b2",)),
    ],
)
def test_acceptance(members: tuple[Member, ...], missing: tuple[str, ...]) -> None:
    found = find_lagging(7, members)
    assert found == tuple(LaggingInstance("zone-b", name) for name in missing)


def change(number: int) -> Change:
    return Change(f"op-{number}", Put(Service(f"s{number}", ServiceKind.PLAIN), 0))


def catalogue(applied: int) -> Catalogue:
    made = Catalogue()
    for number in range(1, applied + 1):
        made.apply(number, change(number))
    return made


@pytest.mark.parametrize(
    ("applied", "first", "snapshot", "tail"),
    [
        (0, None, 0, LogComparison.SAME),
        (0, (1, change(1)), 0, LogComparison.SAME),
        (0, (1, change(1)), 5, LogComparison.TRIMMED),
        (0, (4, change(4)), 5, LogComparison.TRIMMED),
        (0, (4, change(4)), 0, LogComparison.ROLLED_BACK),
        (3, (3, change(3)), 0, LogComparison.SAME),
        (3, (4, change(4)), 5, LogComparison.TRIMMED),
        (3, None, 0, LogComparison.ROLLED_BACK),
        (3, None, 2, LogComparison.ROLLED_BACK),
        # Another history: the number was given away again after the store went back.
        (3, (3, change(9)), 5, LogComparison.ROLLED_BACK),
    ],
)
def test_tail_of_the_log(
    applied: int, first: tuple[int, Change] | None, snapshot: int, tail: LogComparison
) -> None:
    assert compare_log(position_of(catalogue(applied)), first, snapshot) is tail


@pytest.mark.parametrize("order", [(1, 2, 3, 4), (4, 3, 2, 1), (2, 2, 1, 1, 4, 3, 2)])
def test_elements_are_applied_in_order(order: tuple[int, ...]) -> None:
    replica = Replica()
    numbers = [result.number for number in order for result in replica.add(number, change(number))]
    assert numbers == [1, 2, 3, 4]
    assert not replica.has_gap


def test_a_copy_stays_as_it_is_when_the_log_went_back() -> None:
    replica = Replica()
    replica.add(1, change(1))
    assert replica.record_comparison(LogComparison.ROLLED_BACK)
    assert not replica.record_comparison(LogComparison.ROLLED_BACK)
    assert replica.add(2, change(9)) == []
    assert not replica.restore(catalogue(5).snapshot())
    assert replica.record_comparison(LogComparison.SAME)
    assert [result.number for result in replica.add(2, change(2))] == [2]


def test_a_snapshot_meets_early_elements() -> None:
    replica = Replica()
    replica.add(6, change(6))
    replica.add(3, change(3))
    assert replica.restore(catalogue(5).snapshot())
    assert (replica.catalogue.applied, replica.has_gap) == (6, False)


def test_snapshots_are_split_and_put_together() -> None:
    full = catalogue(1)
    for number in range(2, 3000):
        full.apply(number, Change(f"op-{number}", Put(Adapter("s1", f"a{number}"), 0)))
    data = b"".join(encode(full.snapshot()))
    assert decode(b"".join(split(data))) == full.snapshot()
    assert decode(data[:-10]) is None
    assert decode(b"") is None


def test_head_of_the_snapshots() -> None:
    head: SnapshotHead | None = None
    assert (newest_number(head), is_due(head, 9, 10), is_due(head, 10, 10)) == (0, False, True)
    for number in (10, 20, 30):
        head = finish(announce(head, number, f"w{number}"), 2)
    assert head is not None
    assert (newest_number(head), first_kept_change(head), head.pending) == (30, 20, None)
    assert (is_due(head, 39, 10), is_due(head, 40, 10)) == (False, True)
