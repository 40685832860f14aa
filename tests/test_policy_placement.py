"""Where requests go, and who gets the turn to load."""

from __future__ import annotations

import itertools

import pytest
from wigeonarch_core import rendezvous as homes
from wigeonarch_core.load_permits import LoadPermits
from wigeonarch_core.messages import EngineSummary
from wigeonarch_core.placement import Choice, EngineView, PlacementReason, choose_engines
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.refs import AdapterVersion

OPTS = PolicyOptions(homes=2, overload_wait=8.0, load_rate=2.0, turn_lease=10.0)
TARGET = AdapterVersion("drafting", "a1", "v1")
ENGINES = ("a0", "a1", "b0", "b1")
ORDER = homes.ranked(str(TARGET), ENGINES)


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
def test_first_choice(changed: tuple[EngineView, ...], first: Choice) -> None:
    assert chosen(*changed)[0] == first


def test_only_the_first_homes_compete_by_backlog() -> None:
    busy = [view(engine, backlog=9) for engine in ORDER[:2]]
    assert chosen(*busy)[0].engine in ORDER[:2]


def test_what_was_tried_or_is_leaving_is_never_chosen() -> None:
    left = chosen(view(ORDER[1], "leaving"), tried=(ORDER[0],))
    assert {each.engine for each in left} == set(ORDER[2:])


def test_an_overloaded_copy_is_the_last_resort() -> None:
    last = chosen(view("a0", "loaded", wait=9.0))[-1]
    assert last == Choice("a0", PlacementReason.OVERLOADED)


def test_an_engine_whose_owner_is_out_of_reach_comes_after_all_others() -> None:
    lost = view(ORDER[0], "loaded")
    lost = EngineView(lost.engine, lost.zone, False, lost.summary, owned=False)
    busy = view(ORDER[1], "loaded", wait=9.0)
    assert chosen(lost, busy)[-2:] == [
        Choice(ORDER[1], PlacementReason.OVERLOADED),
        Choice(ORDER[0], PlacementReason.UNOWNED),
    ]


def test_a_lost_member_moves_only_its_own_keys() -> None:
    keys = [f"key-{number}" for number in range(200)]
    before = {key: homes.ranked(key, ENGINES)[0] for key in keys}
    after = {key: homes.ranked(key, ENGINES[1:])[0] for key in keys}
    assert all(after[key] == home for key, home in before.items() if home != ENGINES[0])


def turns(zones: tuple[str, ...] = ("a", "b")) -> LoadPermits:
    return LoadPermits(OPTS, zones, 0.0)


def test_the_most_valuable_bid_goes_first_and_one_at_a_time() -> None:
    made = turns()
    made.add_bid("low", "a", 1.0, 0.0)
    made.add_bid("high", "b", 2.0, 0.0)
    assert made.grant_due(0.0) == ["high"]
    assert made.grant_due(5.0) == []
    made.end_load("high", 5.0)
    assert made.grant_due(5.0) == ["low"]


def test_turns_keep_to_the_rate_of_the_store() -> None:
    made = turns()
    given = []
    for tick in range(1000):
        now = tick / 100.0
        made.add_bid(f"bid-{tick}", "a", 1.0, now)
        for bid in made.grant_due(now):
            given.append(now)
            made.end_load(bid, now)
    assert len(given) == pytest.approx(20, abs=1)
    gaps = [after - before for before, after in itertools.pairwise(given)]
    assert min(gaps) >= 0.49


def test_a_dead_bidder_delays_the_rest_for_its_lease_only() -> None:
    made = turns()
    made.add_bid("dead", "a", 2.0, 0.0)
    made.add_bid("next", "a", 1.0, 0.0)
    assert made.grant_due(0.0) == ["dead"]
    assert made.grant_due(9.9) == []
    assert made.grant_due(10.1) == ["next"]


def test_a_zone_owed_its_share_goes_before_better_bids() -> None:
    made = turns()
    first = []
    for second in range(12):
        made.add_bid("poor", "a", 1.0, float(second))
        made.add_bid("rich", "b", 9.0, float(second))
        for bid in made.grant_due(float(second)):
            first.append(bid)
            made.end_load(bid, float(second))
    assert 3 <= first.count("poor") < first.count("rich")


def test_holders_on_both_sides_of_a_cut_keep_the_rate_together() -> None:
    sides = {"a": turns(), "b": turns()}
    given = 0
    for zone, made in sides.items():
        made.set_reachable_zones([zone], 0.0)
        for tick in range(1000):
            now = tick / 100.0
            made.add_bid("bid", zone, 1.0, now)
            for bid in made.grant_due(now):
                given += 1
                made.end_load(bid, now)
    assert given <= 22


def test_a_withdrawn_bid_gets_no_turn() -> None:
    made = turns()
    made.add_bid("gone", "a", 1.0, 0.0)
    made.withdraw("gone")
    assert made.grant_due(0.0) == []
