"""Adapter places of an engine, as its holder orders them."""

from __future__ import annotations

import pytest
from wigeonarch_core.engine_places import (
    LATE_MOST,
    SETTLE,
    AdapterKey,
    AdapterName,
    Places,
    satisfies,
)


def key(name: str, version: int = 1) -> AdapterKey:
    return AdapterKey("m", name, version)


def name(adapter: str) -> AdapterName:
    return ("m", adapter)


def full(capacity: int = 3) -> Places:
    places = Places(capacity, 10)
    for number in range(capacity):
        places.there(key(f"a{number}"), 0.0)
    return places


@pytest.mark.parametrize(
    ("held", "wanted", "serves"), [(1, 0, True), (1, 1, True), (1, 2, False), (0, 0, True)]
)
def test_a_copy_serves_its_own_version(held: int, wanted: int, serves: bool) -> None:
    assert satisfies(held, wanted) is serves


def test_a_copy_listed_with_a_version_serves_a_request_for_any() -> None:
    places = Places(3, 10)
    places.adopt([key("a", 1)], [], 0.0)
    assert places.holds(key("a", 0))
    assert not places.holds(key("a", 2))
    assert places.takes_place(name("a"))


def test_the_least_used_idle_copy_goes() -> None:
    places = full()
    for _ in range(5):
        places.used(name("a0"), 1.0)
    places.used(name("a1"), 1.0)
    assert places.victim(set(), set(), 10.0) == key("a2")
    assert places.victim({name("a2")}, set(), 10.0) == key("a1")


def test_an_outdated_copy_goes_first_and_one_in_use_never() -> None:
    places = full()
    for _ in range(5):
        places.used(name("a0"), 1.0)
    assert places.victim(set(), {name("a0")}, 10.0) == key("a0")
    assert places.victim({name("a0"), name("a1"), name("a2")}, {name("a0")}, 10.0) is None


def test_a_copy_that_just_came_stays_for_the_request_that_wanted_it() -> None:
    places = Places(1, 10)
    places.began(key("a"), 0.0, 0.25)
    assert places.victim(set(), set(), 0.2) is None
    assert places.victim(set(), set(), 0.25 + SETTLE / 2) is None
    assert places.victim(set(), set(), 0.25 + 3 * SETTLE) == key("a")


def test_loads_under_way_take_places() -> None:
    places = full(2)
    assert places.free() == 0
    places.gone(name("a0"))
    places.began(key("b"), 0.0, 0.25)
    assert places.free() == 0
    assert places.in_transit(0.1) == 1
    assert places.in_transit(0.3) == 0
    assert places.is_ready(key("b"), 0.3)


def test_a_load_that_is_late_is_expected_again_but_not_forever() -> None:
    places = Places(2, 10)
    places.began(key("a"), 0.0, 0.25)
    assert places.not_yet(name("a"), 0.26, 0.03)
    assert not places.is_ready(key("a"), 0.28)
    assert places.is_ready(key("a"), 0.30)
    assert not places.not_yet(name("a"), 0.30 + LATE_MOST + 0.1, 0.03)
    assert not places.not_yet(name("b"), 0.3, 0.03)


def test_a_report_corrects_what_was_believed() -> None:
    places = full()
    places.began(key("lost"), 0.0, 0.25)
    places.adopt([key("a0"), key("new", 4)], [key("coming")], 1.0)
    assert places.ready(1.0) == [key("a0"), key("new", 4), key("coming")]
    assert not places.holds(key("lost"))
    assert places.free() == 0


def test_warmth_is_bounded_and_by_name() -> None:
    places = Places(3, 2)
    for adapter in ("a", "b", "c"):
        places.there(key(adapter, 7), 0.0)
        places.gone(name(adapter))
    assert [places.warm(name(a)) for a in ("a", "b", "c")] == [False, True, True]
