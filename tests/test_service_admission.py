"""Admission to a plain service that is asked for more than it can do."""

from __future__ import annotations

import random

import pytest
from admission_world import Callers, World
from wigeonarch_core.service_admission import (
    DRAW_SLOT,
    MAX_RETRY_SPREAD,
    MIN_RATE_FACTOR,
    WAIT_SHARE,
    AdmissionRequest,
    Clock,
    Decision,
    Draws,
    EndpointRoom,
    RateControl,
    Refusal,
    ServiceAdmission,
    ServiceLoad,
    decide_room,
    draw_of,
    retry_delay,
)
from wigeonarch_core.service_demand import (
    MAX_KINDS,
    NO_TEAM,
    Kind,
    RequestRates,
    admitted_parts,
    largest_kinds,
    team_key,
    total_demand,
)

URGENT, MIDDLE, LATER = Kind(0, NO_TEAM), Kind(1, NO_TEAM), Kind(2, NO_TEAM)
ONE, TWO, THREE = Kind(0, 1), Kind(0, 2), Kind(0, 3)
POLL = 0.03

# Instances, and the slots that 3 to 6 requests a second of each of them overload.
FLEETS = [(4, 8), (89, 80)]


def world(fleet: tuple[int, int], *callers: Callers, seed: int = 1, **more: float) -> World:
    instances, slots = fleet
    seconds = more.get("seconds", 40.0 if instances < 10 else 20.0)
    return World(list(callers), instances, slots, queue=3 * slots, seed=seed, seconds=seconds).run()


@pytest.mark.parametrize("fleet", FLEETS)
def test_goodput_stays_near_its_peak_beyond_the_capacity(fleet: tuple[int, int]) -> None:
    goodput = {load: world(fleet, Callers(load)).goodput() for load in (0.9, 1.0, 1.1, 1.5, 2, 3)}
    peak = max(goodput.values())
    assert all(goodput[load] >= 0.9 * peak for load in (1.5, 2, 3)), goodput


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("load", [0.3, 0.6, 0.75])
def test_nothing_is_refused_below_the_capacity(
    fleet: tuple[int, int], load: float, seed: int
) -> None:
    found = world(fleet, Callers(load), seed=seed)
    assert found.refused_share() == 0.0
    assert found.served() >= 0.99


def test_nothing_is_refused_close_to_the_capacity() -> None:
    cases = [(load, seed) for load in (0.8, 0.85) for seed in range(1, 6)]
    shares = {
        (load, seed): world(FLEETS[0], Callers(load), seed=seed).refused_share()
        for load, seed in cases
    }
    assert all(share == 0.0 for share in shares.values()), shares


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("urgent", "load"), [(0.5, 1.1), (0.5, 2.1), (0.75, 2.1)])
def test_urgent_requests_are_in_time_while_they_fit(
    fleet: tuple[int, int], urgent: float, load: float, seed: int
) -> None:
    found = world(
        fleet, Callers(urgent, 0, name="u"), Callers(load - urgent, 2, name="l"), seed=seed
    )
    assert found.served("u") >= 0.95
    assert found.served("l") <= found.served("u")
    assert found.goodput() >= 0.9


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("load", [1.3, 2.1])
def test_a_less_urgent_kind_never_gets_a_greater_share(fleet: tuple[int, int], load: float) -> None:
    kinds = [Callers(load / 3, rank, name=str(rank)) for rank in range(3)]
    found = world(fleet, *kinds)
    shares = [found.served(str(rank)) for rank in range(3)]
    assert shares == sorted(shares, reverse=True)


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_team_within_its_share_is_served_beside_one_that_asks_for_twice_everything(
    fleet: tuple[int, int], seed: int
) -> None:
    found = world(
        fleet, Callers(1 / 7, team=1, name="small"), Callers(2.0, team=2, name="big"), seed=seed
    )
    assert found.served("small") >= 0.95
    assert found.goodput() >= 0.9  # What the small team leaves is lent to the other one.


@pytest.mark.parametrize("fleet", FLEETS)
def test_refusals_come_at_once_and_callers_that_return_are_no_worse_off(
    fleet: tuple[int, int],
) -> None:
    found = world(fleet, Callers(2.0))
    counts = found.counts[""]
    assert found.longest_wait <= WAIT_SHARE * found.objective + POLL
    first = counts["first_in_time"] / counts["first"]
    assert counts["returned_in_time"] / counts["returned"] >= 0.9 * first


@pytest.mark.parametrize("fleet", FLEETS)
@pytest.mark.parametrize(("returns", "pause"), [(1, 0.3), (5, 0.1)])
def test_callers_that_ignore_retry_after_gain_nothing(
    fleet: tuple[int, int], returns: int, pause: float
) -> None:
    found = world(
        fleet,
        Callers(1.0, name="obeys"),
        Callers(1.0, returns=returns, pause=pause, name="ignores"),
        seconds=40.0,
    )
    assert found.served("ignores") <= found.served("obeys")
    assert found.goodput() >= 0.9


# Failures.


@pytest.mark.parametrize("fleet", FLEETS)
def test_instances_that_disagree_on_the_service_time_keep_the_goodput(
    fleet: tuple[int, int],
) -> None:
    found = World(
        [Callers(0.5, 0, name="u"), Callers(1.5, 2, name="l")],
        fleet[0],
        fleet[1],
        queue=3 * fleet[1],
        seconds=30.0,
        service_time=lambda index: 0.2 * (0.8, 1.2)[index % 2],
    ).run()
    assert found.goodput() >= 0.85
    assert found.served("u") >= 0.95


def test_an_estimate_gone_after_a_restart_keeps_the_goodput() -> None:
    found = World([Callers(2.0)], 4, seconds=40.0, restarts=(20.0,)).run()
    assert found.goodput() >= 0.85


def test_endpoints_that_become_slower_under_overload_still_answer_in_time() -> None:
    found = World([Callers(2.0)], 4, seconds=90.0, slowness=lambda now: 1.0 + (now > 20.0))
    found.run(until=50.0)
    before = found.counts[""]["in_time"]
    found.run()
    assert found.counts[""]["in_time"] - before >= 0.85 * 40.0 * found.capacity / 2


def test_half_of_the_places_lost_at_the_peak_costs_no_more_than_they_did() -> None:
    found = World([Callers(0.3, 0, name="u"), Callers(0.6, 2, name="l")], 4, slots=16, queue=48)
    found.lose_places(20.0, 8, notice=1.0)
    found.run()
    assert found.served("u") >= 0.95
    assert found.served("l") <= found.served("u")


def test_lost_news_keep_the_goodput() -> None:
    found = World(
        [Callers(0.5, 0, name="u"), Callers(1.5, 2, name="l")],
        4,
        is_news_lost=lambda now: 15.0 < now < 19.0,
        seconds=40.0,
    ).run()
    assert found.goodput() >= 0.85
    assert found.served("u") >= 0.9


@pytest.mark.parametrize("demand", [1.2, 2.0])
def test_sides_of_a_cut_that_use_the_same_endpoint_keep_the_goodput(demand: float) -> None:
    found = World(
        [Callers(0.4, 0, name="u"), Callers(demand - 0.4, 2, name="l")], 4, sides=2, seconds=60.0
    ).run()
    assert found.goodput() >= 0.85
    assert found.served("u") >= 0.85
    assert found.served("l") <= found.served("u")


# Single decisions.


@pytest.mark.parametrize(
    ("demand", "allowed", "parts"),
    [
        ({}, 10.0, {}),
        ({URGENT: 4.0, LATER: 4.0}, 10.0, {URGENT: 1.0, LATER: 1.0}),
        ({URGENT: 8.0, LATER: 4.0}, 10.0, {URGENT: 1.0, LATER: 0.5}),
        (
            {URGENT: 20.0, MIDDLE: 4.0, LATER: 4.0},
            10.0,
            {URGENT: 0.5, MIDDLE: 0.0, LATER: 0.0},
        ),
        ({ONE: 2.0, TWO: 20.0}, 10.0, {ONE: 1.0, TWO: 0.4}),
        ({ONE: 20.0, TWO: 20.0, THREE: 2.0}, 10.0, {ONE: 0.2, TWO: 0.2, THREE: 1.0}),
        ({ONE: 1.0}, 0.0, {ONE: 0.0}),
    ],
)
def test_admitted_parts(
    demand: dict[Kind, float], allowed: float, parts: dict[Kind, float]
) -> None:
    assert admitted_parts(demand, allowed) == pytest.approx(parts)


def load(running: int, places: int = 8) -> ServiceLoad:
    return ServiceLoad(places, running, 0, 0.2, 0.8, 0.8)


def test_the_allowed_rate_is_the_capacity_at_the_intended_queue_and_falls_beyond_it() -> None:
    assert RateControl().allowed_rate(load(16)) == pytest.approx(40.0)
    rates = [RateControl().allowed_rate(load(running)) for running in range(0, 200, 4)]
    assert rates == sorted(rates, reverse=True)
    assert rates[-1] >= 40.0 * MIN_RATE_FACTOR


@pytest.mark.parametrize(
    ("peers", "sent_by_peers", "expected"),
    [
        ({}, 0.0, {URGENT: 2.0, LATER: 2.0}),
        ({URGENT: 10.0}, 8.0, {URGENT: 12.0, LATER: 2.0}),
        # Peers that report nothing are taken to be asked for the same kinds.
        ({}, 8.0, {URGENT: 6.0, LATER: 6.0}),
    ],
)
def test_total_demand(
    peers: dict[Kind, float], sent_by_peers: float, expected: dict[Kind, float]
) -> None:
    own = {URGENT: 2.0, LATER: 2.0}
    assert total_demand(own, peers, sent_by_peers) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("running", "elapsed", "waited", "is_repeat", "decision"),
    [
        (7, 0.0, 0.0, False, Decision.SEND),
        (7, 5.0, 0.0, True, Decision.SEND),  # A free place.
        (20, 0.0, 0.0, False, Decision.SEND),
        (20, 0.0, 0.0, True, Decision.FULL),  # A repeat needs room in the intended queue.
        (12, 0.1, 0.0, True, Decision.SEND),
        (40, 0.0, 0.0, False, Decision.WAIT),
        (40, 0.09, 0.09, False, Decision.FULL),
        (12, 0.7, 0.0, False, Decision.LATE),
    ],
)
def test_room_at_the_chosen_endpoint(
    running: int, elapsed: float, waited: float, is_repeat: bool, decision: Decision
) -> None:
    request = AdmissionRequest(URGENT, "c", 0.8, elapsed, waited, is_repeat)
    assert decide_room(request, EndpointRoom(running, 8), 0.2) is decision


def test_a_request_that_waits_for_room_is_not_drawn_again() -> None:
    admission, own = ServiceAdmission(), {LATER: 1000.0}
    refused = AdmissionRequest(LATER, "caller", 0.8)
    waiting = AdmissionRequest(LATER, "caller", 0.8, is_admitted=True)
    found = [
        admission.decide(request, load(12), own, {}, EndpointRoom(12, 8), Clock(0.0, 0.0, 0.5))
        for request in (refused, waiting)
    ]
    assert isinstance(found[0], Refusal)
    assert found[0].decision is Decision.SHARE
    assert found[1] is Decision.SEND


def test_a_repeat_in_the_same_time_slot_is_drawn_alike_and_later_anew() -> None:
    assert draw_of("caller", 10.0) == draw_of("caller", 10.0 + 0.9 * DRAW_SLOT)
    assert len({draw_of("caller", slot * DRAW_SLOT) for slot in range(20)}) == 20


@pytest.mark.parametrize("part", [0.1, 0.5, 0.9])
def test_requests_that_are_all_alike_are_admitted_by_their_part(part: float) -> None:
    draws = Draws()
    admitted = sum(draws.admits(URGENT, part, 0.5) for _ in range(2000))
    assert admitted == pytest.approx(2000 * part, rel=0.35)


def test_urgent_callers_return_first_and_all_are_spread() -> None:
    demand, rng = {URGENT: 40.0, LATER: 60.0}, random.Random(1)
    pauses = {
        kind: [retry_delay(kind, demand, 40.0, 0.5, rng.random()) for _ in range(200)]
        for kind in demand
    }
    assert max(pauses[URGENT]) <= min(pauses[LATER])
    assert min(pauses[URGENT]) >= 0.5 * DRAW_SLOT
    assert max(pauses[LATER]) <= DRAW_SLOT + MAX_RETRY_SPREAD
    assert max(pauses[LATER]) - min(pauses[LATER]) >= 0.5


def test_rates_are_known_soon_and_forgotten() -> None:
    rates = RequestRates(0.0)
    for number in range(40):
        rates.record(URGENT, 0.8, number * 0.1)
    assert rates.rates(4.0)[URGENT] == pytest.approx(10.0, rel=0.1)
    assert rates.shortest_objective() == 0.8
    assert rates.rates(60.0) == {}
    assert rates.shortest_objective() == 0.0


def test_kinds_are_bounded() -> None:
    rates = RequestRates(0.0)
    for team in range(10 * MAX_KINDS):
        rates.record(Kind(0, team + 1), 0.8, 0.0)
    assert len(rates.rates(0.0)) == MAX_KINDS + 1
    found = largest_kinds({Kind(team % 3, team): 1.0 + team for team in range(1, 50)}, 8)
    assert len(found) <= 8
    assert sum(found.values()) == pytest.approx(sum(1.0 + team for team in range(1, 50)))


def test_a_team_beyond_those_counted_one_by_one_is_not_let_through_unlimited() -> None:
    rates = RequestRates(0.0)
    for team in range(2 * MAX_KINDS):
        for _ in range(10):
            rates.record(Kind(0, team + 1), 0.8, 0.0)
    last = AdmissionRequest(Kind(0, 2 * MAX_KINDS), "caller", 0.8)
    admission, own = ServiceAdmission(), rates.rates(0.0)
    room, clock = EndpointRoom(12, 8), Clock(0.0, 0.0, 0.5)
    found = [admission.decide(last, load(12), own, {}, room, clock) for _ in range(20)]
    assert any(isinstance(each, Refusal) for each in found)


def test_a_team_has_a_key_of_its_own() -> None:
    assert team_key("a") not in (team_key("b"), NO_TEAM)
