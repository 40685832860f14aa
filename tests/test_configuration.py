"""Rules of the configuration: who may serve, when a change is accepted, how the log may change."""

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
    attempt_needed_since=5.0,
    caught_up_at=11.0,
    last_attempt=11.0,
    applied=7,
    newest=7,
    others_known=True,
    recent_peers=(),
)
CUT_OFF_PEER = ZonePeer("b", 20.0, leased=False, reaches=False, applied=7)
# The lease lapsed at 15, an attempt to read the log began at 16, and a peer in the same state is
# heard.
CUT_OFF = replace(
    LEASED, leased=False, attempt_needed_since=15.0, last_attempt=16.0, recent_peers=(CUT_OFF_PEER,)
)


@pytest.mark.parametrize(
    ("state", "reason"),
    [
        (LEASED, None),
        (replace(LEASED, has_configuration=False), Reason.NO_CONFIGURATION),
        # A log read before the lease period began may lack changes accepted in between.
        (replace(LEASED, caught_up_at=9.9), Reason.NOT_CAUGHT_UP),
        (replace(LEASED, caught_up_at=None), Reason.NOT_CAUGHT_UP),
        (CUT_OFF, None),
        # Suspended: the lease has lapsed by the clock, and the platform was not tried since.
        (replace(CUT_OFF, last_attempt=14.9), Reason.NOT_CAUGHT_UP),
        (replace(CUT_OFF, last_attempt=None), Reason.NOT_CAUGHT_UP),
        # A peer has applied a newer change.
        (replace(CUT_OFF, newest=8), Reason.NOT_CAUGHT_UP),
        # It hears no other instance, so it may be cut off alone.
        (replace(CUT_OFF, recent_peers=()), Reason.CUT_OFF),
        # The only instance of its zone; the list names it.
        (replace(CUT_OFF, recent_peers=(), others_known=False), None),
        # The same, but it never had a lease, so no instance counts it.
        (replace(CUT_OFF, recent_peers=(), others_known=False, ever_leased=False), Reason.CUT_OFF),
        # It joined a zone that is cut off.
        (replace(CUT_OFF, ever_leased=False, caught_up_at=None), None),
        (replace(CUT_OFF, recent_peers=(CUT_OFF_PEER, replace(CUT_OFF_PEER, leased=True))), None),
        (
            replace(
                CUT_OFF,
                recent_peers=(
                    CUT_OFF_PEER,
                    replace(CUT_OFF_PEER, name="c", leased=True, reaches=True),
                ),
            ),
            Reason.NOT_LEASED,
        ),
    ],
)
def test_right_to_serve(state: ServingState, reason: Reason | None) -> None:
    assert refusal_reason(state) is reason


def test_new_lease_period_begins_after_a_gap() -> None:
    period = LeasePeriod(6.0, 1.0, 0.0)
    assert not period.is_valid(0.0)
    period.record_renewal(1.0, 1.5)
    assert (period.since, period.is_valid(5.9), period.is_valid(6.0)) == (1.5, True, False)
    period.record_renewal(4.0, 4.5)
    assert (period.since, period.last_ended_at(9.0)) == (1.5, 9.0)
    # Sent in time, but confirmed only after the end.
    period.record_renewal(8.9, 9.1)
    assert (period.since, period.last_ended_at(9.2)) == (9.1, 9.0)


def test_reachability_settles_only_without_a_gap() -> None:
    reachability = PlatformReachability(bound=2.0, settle=3.5)
    assert not reachability.is_reachable(0.0)
    for now in (0.0, 1.0, 2.0, 3.0, 4.0):
        reachability.record_answer(now)
    assert (
        reachability.is_settled(3.4),
        reachability.is_settled(4.0),
        reachability.is_settled(6.1),
    ) == (
        False,
        True,
        False,
    )
    reachability.record_answer(6.1)
    assert (reachability.is_reachable(6.1), reachability.is_settled(6.2)) == (True, False)


def test_an_answer_that_is_handled_late_does_not_make_the_platform_reachable_again() -> None:
    reachability = PlatformReachability(bound=2.0, settle=3.5)
    reachability.record_answer(5.0)
    reachability.record_answer(4.0)  # Its call began earlier and took longer.
    assert reachability.is_reachable(7.0)
    reachability.record_answer(4.5)
    assert not reachability.is_reachable(7.1)


def test_zone_view_remembers_the_newest_change() -> None:
    view = ZoneView(2.5)
    view.record(replace(CUT_OFF_PEER, as_of=1.0, applied=9))
    view.record(replace(CUT_OFF_PEER, as_of=2.0, applied=8))
    assert (view.newest, view.recent_peers(4.0), view.recent_peers(5.0)) == (
        9,
        (replace(CUT_OFF_PEER, as_of=2.0, applied=8),),
        (),
    )


A = Member("a", "zone-a", 7, leased=True, listed=True, settled=True)
B = Member("b", "zone-b", 7, leased=True, listed=True, settled=True)
B2 = replace(B, name="b2")
GONE = replace(B2, applied=6, leased=False)


@pytest.mark.parametrize(
    ("members", "lagging"),
    [
        ((A, B), ()),
        ((A, replace(B, applied=6)), ("b",)),
        # It has a lease but is not on the list yet.
        ((A, replace(B, applied=6, listed=False)), ("b",)),
        # Without a lease but on the list: its zone may be cut off and still serving.
        ((A, replace(GONE, name="b")), ("b",)),
        ((A, replace(GONE, listed=False)), ()),
        # Without a lease, in a zone that is covered.
        ((A, B, GONE), ()),
        # Its neighbour has not reached the platform for long enough to have told all of the zone.
        ((A, replace(B, settled=False), GONE), ("b2",)),
        ((A, replace(B, applied=6), GONE), ("b", "b2")),
        ((A, replace(B, leased=False), GONE), ("b2",)),
    ],
)
def test_which_instances_keep_a_change_from_being_accepted(
    members: tuple[Member, ...], lagging: tuple[str, ...]
) -> None:
    result = find_lagging(7, members)
    assert result == tuple(LaggingInstance("zone-b", name) for name in lagging)


def change(number: int) -> Change:
    return Change(f"op-{number}", Put(Service(f"s{number}", ServiceKind.PLAIN), 0))


def catalogue(applied: int) -> Catalogue:
    made = Catalogue()
    for number in range(1, applied + 1):
        made.apply(number, change(number))
    return made


@pytest.mark.parametrize(
    ("applied", "first", "snapshot", "comparison"),
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
        # Another history: after the store went back, the number was assigned to another change.
        (3, (3, change(9)), 5, LogComparison.ROLLED_BACK),
    ],
)
def test_comparison_of_the_log_with_the_replica(
    applied: int, first: tuple[int, Change] | None, snapshot: int, comparison: LogComparison
) -> None:
    assert compare_log(position_of(catalogue(applied)), first, snapshot) is comparison


@pytest.mark.parametrize("order", [(1, 2, 3, 4), (4, 3, 2, 1), (2, 2, 1, 1, 4, 3, 2)])
def test_changes_are_applied_in_order(order: tuple[int, ...]) -> None:
    replica = Replica()
    numbers = [result.number for number in order for result in replica.add(number, change(number))]
    assert numbers == [1, 2, 3, 4]
    assert not replica.has_gap


def test_replica_stays_as_it_is_after_the_log_went_back() -> None:
    replica = Replica()
    replica.add(1, change(1))
    assert replica.record_comparison(LogComparison.ROLLED_BACK)
    assert not replica.record_comparison(LogComparison.ROLLED_BACK)
    assert replica.add(2, change(9)) == []
    assert not replica.restore(catalogue(5).snapshot())
    assert replica.record_comparison(LogComparison.SAME)
    assert [result.number for result in replica.add(2, change(2))] == [2]


def test_snapshot_makes_early_changes_applicable() -> None:
    replica = Replica()
    replica.add(6, change(6))
    replica.add(3, change(3))
    assert replica.restore(catalogue(5).snapshot())
    assert (replica.catalogue.applied, replica.has_gap) == (6, False)


def test_split_snapshot_is_decoded_and_a_damaged_one_is_not() -> None:
    source = catalogue(1)
    for number in range(2, 3000):
        source.apply(number, Change(f"op-{number}", Put(Adapter("s1", f"a{number}"), 0)))
    data = b"".join(encode(source.snapshot()))
    assert decode(b"".join(split(data))) == source.snapshot()
    assert decode(data[:-10]) is None
    assert decode(b"") is None


def test_snapshot_head_keeps_the_last_two() -> None:
    head: SnapshotHead | None = None
    assert (newest_number(head), is_due(head, 9, 10), is_due(head, 10, 10)) == (0, False, True)
    for number in (10, 20, 30):
        head = finish(announce(head, number, f"w{number}"), 2)
    assert head is not None
    assert (newest_number(head), first_kept_change(head), head.pending) == (30, 20, None)
    assert (is_due(head, 39, 10), is_due(head, 40, 10)) == (False, True)
