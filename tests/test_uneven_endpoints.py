"""What callers get from endpoints of uneven pace, while news of them is late, lost or wrong."""

from __future__ import annotations

import pytest
from pace_world import PlainWorld, Slowness, by_turns, one_slow
from uneven_engines import PACES, World

USUAL = one_slow(1.0)
TWO_AND_A_QUARTER = 2.25  # Capacity of three endpoints of which one is four times slower.


@pytest.mark.parametrize(("load", "least"), [(0.3, 0.97), (0.5, 0.97), (0.7, 0.97), (0.85, 0.9)])
@pytest.mark.parametrize("seed", range(2))
def test_a_slow_plain_endpoint_makes_few_requests_late(
    load: float, least: float, seed: int
) -> None:
    before = PlainWorld(load, one_slow(4.0), TWO_AND_A_QUARTER, seed, uses_pace=False).run()
    after = PlainWorld(load, one_slow(4.0), TWO_AND_A_QUARTER, seed).run()
    assert after >= least
    assert after > before


@pytest.mark.parametrize(("spell", "least"), [(1.0, 0.94), (2.0, 0.95), (4.0, 0.97), (8.0, 0.97)])
def test_endpoints_that_are_slow_by_turns_make_few_requests_late(
    spell: float, least: float
) -> None:
    assert PlainWorld(0.33, by_turns(8.0, 3, spell), 3.0, 1).run() >= least


@pytest.mark.parametrize("load", [0.3, 0.6, 0.85])
def test_even_plain_endpoints_serve_as_without_paces(load: float) -> None:
    before = PlainWorld(load, USUAL, 3.0, 1, uses_pace=False).run()
    assert PlainWorld(load, USUAL, 3.0, 1).run() >= before - 0.005


def changes(at: float, before: float, after: float) -> Slowness:
    """The first endpoint changes its slowness once."""
    return lambda endpoint, now: 1.0 if endpoint else before if now < at else after


def test_an_endpoint_that_turns_fast_again_has_its_share_back_in_seconds() -> None:
    found = PlainWorld(0.5, changes(20.0, 4.0, 1.0), TWO_AND_A_QUARTER, 1, seconds=40.0)
    found.run()
    assert found.share(0, 15.0, 20.0) < 0.1
    assert found.share(0, 28.0, 40.0) > 0.2


def test_an_endpoint_that_turns_slow_during_a_cut_is_found_out_by_each_instance_alone() -> None:
    found = PlainWorld(0.5, changes(20.0, 1.0, 4.0), TWO_AND_A_QUARTER, 1, cut=(19.0, 35.0))
    found.run()
    assert found.in_time(22.0, 35.0) >= 0.95
    assert found.in_time(35.0, 60.0) >= 0.97


@pytest.mark.parametrize("lost", [0.3, 0.8])
def test_lost_news_costs_little(lost: float) -> None:
    assert PlainWorld(0.5, one_slow(4.0), TWO_AND_A_QUARTER, 1, news_lost=lost).run() >= 0.95


def test_an_endpoint_that_restarts_fast_under_its_id_has_its_share_at_once() -> None:
    found = PlainWorld(0.5, changes(20.0, 4.0, 1.0), TWO_AND_A_QUARTER, 1, seconds=30.0)

    def restart() -> None:
        for instance in found.instances:
            instance.paces.forget("0", found.now)
            instance.news.pop(0, None)

    found.at(20.0, restart)
    found.run()
    assert found.share(0, 20.5, 24.0) > 0.25


@pytest.mark.parametrize(("load", "seed"), [(0.2, 0), (0.2, 1), (0.4, 0)])
def test_streams_seldom_pause_too_long_at_slow_engines(load: float, seed: int) -> None:
    before, after = World(seed, False, load=load), World(seed, load=load)
    before.run(14.0)
    after.run(14.0)
    assert after.late < 0.05
    assert after.late < 0.5 * before.late
    assert after.first_late <= before.first_late + 0.01


@pytest.mark.parametrize("lost", [0.3, 0.9])
def test_streams_seldom_pause_too_long_while_news_is_lost(lost: float) -> None:
    found = World(1, news_lost=lost)
    found.run(14.0)
    assert found.late < 0.05


def test_even_engines_load_no_more_adapters_than_without_paces() -> None:
    before, after = World(1, False, paces=(1.0,)), World(1, paces=(1.0,))
    before.run(14.0)
    after.run(14.0)
    assert after.loads <= before.loads + 0.01 * after.sends
    assert after.late <= before.late


def test_an_engine_that_turns_slow_is_found_out() -> None:
    found = World(1, paces=(1.0,))
    found.run(6.0, warm_up=0.0)
    for engine in found.all.values():
        engine.pace = PACES[int(engine.name[1:]) % 3]
    found.run(16.0, warm_up=10.0)
    assert found.late < 0.05
