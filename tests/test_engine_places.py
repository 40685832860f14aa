"""Adapter places of an engine, as tracked by its owner."""

from __future__ import annotations

import pytest
from wigeonarch_core.engine_places import (
    MAX_LOAD_DELAY,
    MIN_RESIDENCE,
    AdapterKey,
    AdapterName,
    AdapterPlaces,
    satisfies,
)


def key(name: str, version: int = 1) -> AdapterKey:
    return AdapterKey("m", name, version)


def name(adapter: str) -> AdapterName:
    return ("m", adapter)


def full_places(capacity: int = 3) -> AdapterPlaces:
    places = AdapterPlaces(capacity, 10)
    for number in range(capacity):
        places.mark_ready(key(f"a{number}"), 0.0)
    return places


@pytest.mark.parametrize(
    ("held_version", "wanted_version", "serves"),
    [(1, 0, True), (1, 1, True), (1, 2, False), (0, 0, True)],
)
def test_a_copy_serves_requests_for_its_version_or_any(
    held_version: int, wanted_version: int, serves: bool
) -> None:
    assert satisfies(held_version, wanted_version) is serves


def test_a_reported_copy_serves_a_request_for_any_version() -> None:
    places = AdapterPlaces(3, 10)
    places.adopt_report([key("a", 1)], [], 0.0)
    assert places.holds(key("a", 0))
    assert not places.holds(key("a", 2))
    assert places.copy_of(name("a")) is not None


def test_the_least_used_idle_copy_is_evicted() -> None:
    places = full_places()
    for _ in range(5):
        places.record_use(name("a0"), 1.0)
    places.record_use(name("a1"), 1.0)
    assert places.choose_victim(set(), set(), 10.0) == key("a2")
    assert places.choose_victim({name("a2")}, set(), 10.0) == key("a1")


def test_an_outdated_copy_is_evicted_first_unless_in_use() -> None:
    places = full_places()
    for _ in range(5):
        places.record_use(name("a0"), 1.0)
    assert places.choose_victim(set(), {name("a0")}, 10.0) == key("a0")
    assert places.choose_victim({name("a0"), name("a1"), name("a2")}, {name("a0")}, 10.0) is None


def test_a_new_copy_stays_until_its_request_arrives() -> None:
    places = AdapterPlaces(1, 10)
    places.begin_load(key("a"), 0.0, 0.25)
    assert places.choose_victim(set(), set(), 0.2) is None
    assert places.choose_victim(set(), set(), 0.25 + MIN_RESIDENCE / 2) is None
    assert places.choose_victim(set(), set(), 0.25 + 3 * MIN_RESIDENCE) == key("a")


def test_loads_in_progress_take_places() -> None:
    places = full_places(2)
    assert places.free_count() == 0
    places.remove(name("a0"))
    places.begin_load(key("b"), 0.0, 0.25)
    assert places.free_count() == 0
    assert places.loading_count(0.1) == 1
    assert places.loading_count(0.3) == 0
    assert places.is_ready(key("b"), 0.3)


def test_a_late_load_is_extended_only_for_a_limited_time() -> None:
    places = AdapterPlaces(2, 10)
    places.begin_load(key("a"), 0.0, 0.25)
    assert places.extend_load(name("a"), 0.26, 0.03)
    assert not places.is_ready(key("a"), 0.28)
    assert places.is_ready(key("a"), 0.30)
    assert not places.extend_load(name("a"), 0.30 + MAX_LOAD_DELAY + 0.1, 0.03)
    assert not places.extend_load(name("b"), 0.3, 0.03)


def test_a_report_replaces_the_tracked_state() -> None:
    places = full_places()
    places.begin_load(key("lost"), 0.0, 0.25)
    places.adopt_report([key("a0"), key("new", 4)], [key("coming")], 1.0)
    assert places.ready_copies(1.0) == [key("a0"), key("new", 4), key("coming")]
    assert not places.holds(key("lost"))
    assert places.free_count() == 0


def test_warm_adapters_are_bounded_and_ignore_versions() -> None:
    places = AdapterPlaces(3, 2)
    for adapter in ("a", "b", "c"):
        places.mark_ready(key(adapter, 7), 0.0)
        places.remove(name(adapter))
    assert [places.is_warm(name(a)) for a in ("a", "b", "c")] == [False, True, True]
