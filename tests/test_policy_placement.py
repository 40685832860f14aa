"""Placement of requests, rendezvous hashing and load permits."""

from __future__ import annotations

import itertools

import pytest
from wigeonarch_core import rendezvous
from wigeonarch_core.load_permits import LoadPermits
from wigeonarch_core.messages import EngineSummary
from wigeonarch_core.placement import Choice, EngineView, PlacementReason, choose_engines
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.refs import AdapterVersion

OPTS = PolicyOptions(homes=2, overload_wait=8.0, load_rate=2.0, turn_lease=10.0)
TARGET = AdapterVersion("drafting", "a1", "v1")
ENGINES = ("a0", "a1", "b0", "b1")
ORDER = rendezvous.ranked(str(TARGET), ENGINES)


def view(engine: str, state: str = "", wait: float = 0.0, backlog: int = 0) -> EngineView:
    summary = EngineSummary(
        engine=engine,
        fence=1,
        loaded=(TARGET,) if state == "loaded" else (),
        coming=(TARGET,) if state == "coming" else (),
        free=1,
        queued=0,
        wait=wait,
        backlog=backlog,
    )
    return EngineView(engine, engine[0], state == "leaving", summary, state != "unowned")


def chosen(*changed: EngineView, tried: tuple[str, ...] = ()) -> list[Choice]:
    views = {engine: view(engine) for engine in ENGINES}
    views.update({each.engine: each for each in changed})
    return choose_engines(TARGET, "a", list(views.values()), OPTS, tried)


@pytest.mark.parametrize(
    ("changed", "first"),
    [
        ((view("b1", "loaded"), view("a1", "loaded")), Choice("a1", PlacementReason.LOADED)),
        (
            (view("b1", "loaded"), view("a1", "coming")),
            Choice("b1", PlacementReason.LOADED_OTHER_ZONE),
        ),
        ((view("b0", "coming"),), Choice("b0", PlacementReason.COMING)),
        ((view("b1", "loaded", wait=5.0),), Choice("b1", PlacementReason.LOADED_OTHER_ZONE)),
        ((view("b1", "loaded", wait=9.0),), Choice(ORDER[0], PlacementReason.HOME)),
        ((), Choice(ORDER[0], PlacementReason.HOME)),
        (
            (view(ORDER[0], backlog=3), view(ORDER[1], backlog=1)),
            Choice(ORDER[1], PlacementReason.HOME),
        ),
        ((view(ORDER[0], "leaving"),), Choice(ORDER[1], PlacementReason.HOME)),
        ((view(ORDER[0], "unowned"),), Choice(ORDER[1], PlacementReason.HOME)),
    ],
    ids=["near", "far", "coming", "wait", "overload", "home", "fewer-loads", "leaving", "unowned"],
)
def test_the_first_choice_and_its_reason(changed: tuple[EngineView, ...], first: Choice) -> None:
    assert chosen(*changed)[0] == first


def test_only_home_engines_compete_by_backlog() -> None:
    busy = [view(engine, backlog=9) for engine in ORDER[:2]]
    assert chosen(*busy)[0].engine in ORDER[:2]


def test_tried_and_leaving_engines_are_never_chosen() -> None:
    remaining = chosen(view(ORDER[1], "leaving"), tried=(ORDER[0],))
    assert {each.engine for each in remaining} == set(ORDER[2:])


def test_an_overloaded_engine_comes_last() -> None:
    last = chosen(view("a0", "loaded", wait=9.0))[-1]
    assert last == Choice("a0", PlacementReason.OVERLOADED)


def test_an_engine_with_an_unreachable_owner_comes_after_all_others() -> None:
    unreachable = view(ORDER[0], "loaded")
    unreachable = EngineView(
        unreachable.engine, unreachable.zone, False, unreachable.summary, owned=False
    )
    busy = view(ORDER[1], "loaded", wait=9.0)
    assert chosen(unreachable, busy)[-2:] == [
        Choice(ORDER[1], PlacementReason.OVERLOADED),
        Choice(ORDER[0], PlacementReason.UNOWNED),
    ]


def test_a_lost_member_moves_only_its_own_keys() -> None:
    keys = [f"key-{number}" for number in range(200)]
    before = {key: rendezvous.ranked(key, ENGINES)[0] for key in keys}
    after = {key: rendezvous.ranked(key, ENGINES[1:])[0] for key in keys}
    assert all(after[key] == home for key, home in before.items() if home != ENGINES[0])


def make_permits(zones: tuple[str, ...] = ("a", "b")) -> LoadPermits:
    return LoadPermits(OPTS, zones, 0.0)


def test_the_best_bid_is_granted_first_and_one_at_a_time() -> None:
    permits = make_permits()
    permits.add_bid("low", "a", 1.0, 0.0)
    permits.add_bid("high", "b", 2.0, 0.0)
    assert permits.grant_due(0.0) == ["high"]
    assert permits.grant_due(5.0) == []
    permits.end_load("high", 5.0)
    assert permits.grant_due(5.0) == ["low"]


def test_permits_stay_within_the_rate_of_the_store() -> None:
    permits = make_permits()
    granted = []
    for tick in range(1000):
        now = tick / 100.0
        permits.add_bid(f"bid-{tick}", "a", 1.0, now)
        for bid in permits.grant_due(now):
            granted.append(now)
            permits.end_load(bid, now)
    assert len(granted) == pytest.approx(20, abs=1)
    gaps = [after - before for before, after in itertools.pairwise(granted)]
    assert min(gaps) >= 0.49


def test_a_failed_bidder_delays_the_others_only_for_its_lease() -> None:
    permits = make_permits()
    permits.add_bid("dead", "a", 2.0, 0.0)
    permits.add_bid("next", "a", 1.0, 0.0)
    assert permits.grant_due(0.0) == ["dead"]
    assert permits.grant_due(9.9) == []
    assert permits.grant_due(10.1) == ["next"]


def test_a_zone_below_its_guaranteed_share_goes_before_better_bids() -> None:
    permits = make_permits()
    granted = []
    for second in range(12):
        permits.add_bid("poor", "a", 1.0, float(second))
        permits.add_bid("rich", "b", 9.0, float(second))
        for bid in permits.grant_due(float(second)):
            granted.append(bid)
            permits.end_load(bid, float(second))
    assert 3 <= granted.count("poor") < granted.count("rich")


def test_coordinators_on_both_sides_of_a_partition_share_the_rate() -> None:
    sides = {"a": make_permits(), "b": make_permits()}
    granted = 0
    for zone, permits in sides.items():
        permits.set_reachable_zones([zone], 0.0)
        for tick in range(1000):
            now = tick / 100.0
            permits.add_bid("bid", zone, 1.0, now)
            for bid in permits.grant_due(now):
                granted += 1
                permits.end_load(bid, now)
    assert granted <= 22


def test_a_withdrawn_bid_gets_no_permit() -> None:
    permits = make_permits()
    permits.add_bid("gone", "a", 1.0, 0.0)
    permits.withdraw("gone")
    assert permits.grant_due(0.0) == []
