"""Tests of endpoints that restart under their id: what was known of the last start is discarded."""

from __future__ import annotations

import asyncio

import pytest
from gateway_world import until_true, world
from hypothesis import given
from hypothesis import strategies as st
from standins.replica import Replica
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.messages import EngineUpdate
from wigeonarch_gateway.node import Node
from wigeonarch_gateway.ports import EndpointRecord, EndpointState


def record(born: int, state: EndpointState = EndpointState.READY) -> EndpointRecord:
    return EndpointRecord("i-1", "s", "10.0.0.1:80", "a", 4, state, (), born)


def make_endpoints() -> tuple[EndpointRegistry, list[int]]:
    restarted: list[int] = []
    found = EndpointRegistry(
        lambda zone: 0.0, lambda name: None, lambda record: restarted.append(record.born)
    )
    return found, restarted


@pytest.mark.parametrize(
    ("entries", "known_start", "restarts"),
    [
        ([0, 0], 0, []),
        ([5, 5], 5, []),
        ([5, 9], 9, [9]),
        ([5, 9, 5], 9, [9]),  # A late entry of the first incarnation.
        ([5, 9, 12], 12, [9, 12]),
        ([5, 0], None, []),  # Another writer wrote the second entry.
        ([5, 0, 5], 5, []),
        ([0, 5], 5, []),
    ],
)
def test_the_last_incarnation_counts(
    entries: list[int], known_start: int | None, restarts: list[int]
) -> None:
    found, restarted = make_endpoints()
    for born in entries:
        found.update(record(born))
    now = found.get("i-1")
    assert (now.born if now else None) == known_start
    assert restarted == restarts


READY, LEAVING = EndpointState.READY, EndpointState.LEAVING


@pytest.mark.parametrize(
    ("entries", "state"),
    [
        ([(0, READY), (0, LEAVING)], LEAVING),
        ([(0, LEAVING), (0, READY)], LEAVING),  # An outdated entry.
        ([(5, LEAVING), (5, READY)], LEAVING),
        ([(5, LEAVING), (9, READY)], READY),
        ([(5, READY), (9, LEAVING), (9, READY)], LEAVING),
    ],
)
@pytest.mark.parametrize("gone", [False, True])
def test_an_older_entry_does_not_make_a_leaving_endpoint_ready(
    entries: list[tuple[int, EndpointState]], state: EndpointState, gone: bool
) -> None:
    found, _ = make_endpoints()
    for born, stated in entries:
        if gone:
            found.entry_removed("i-1", 1e12)
        found.update(record(born, stated))
    now = found.get("i-1")
    assert now is not None
    assert now.state is state


def test_an_entry_of_an_old_incarnation_is_ignored_after_the_new_one_is_gone() -> None:
    found, _ = make_endpoints()
    found.update(record(5))
    found.update(record(9))
    found.entry_removed("i-1", 1e12)
    found.update(record(5))
    assert found.get("i-1") is None


@given(st.lists(st.tuples(st.integers(1, 6), st.booleans()), max_size=12))
def test_the_known_incarnation_never_decreases(entries: list[tuple[int, bool]]) -> None:
    found, _ = make_endpoints()
    latest = 0
    for born, leaving in entries:
        state = EndpointState.LEAVING if leaving else EndpointState.READY
        is_applied = found.update(record(born, state))
        assert is_applied is (born >= latest)
        latest = max(latest, born)
        now = found.get("i-1")
        assert now is not None and now.born == latest


def update(number: int, born: int, adapters: list[str]) -> EngineUpdate:
    ready = [(0, name, 1) for name in adapters]
    return EngineUpdate("h", "i-1", 3, number, ["m"], ready, [], 0, True, born)


def loaded(views: EngineViews) -> set[str]:
    return {adapter for _, adapter in views.get("i-1").ready}


def test_the_view_of_an_engine_is_discarded_with_its_incarnation() -> None:
    views = EngineViews()
    views.apply_update(update(1, 5, ["a"]))
    assert loaded(views) == {"a"}
    views.note_restart("i-1", 9)
    assert loaded(views) == set()
    assert not views.get("i-1").is_warm(AdapterKey("m", "a", 1))
    views.apply_update(update(2, 5, ["a"]))  # The owner does not know of the restart yet.
    assert loaded(views) == set()
    views.apply_update(update(3, 9, ["b"]))
    views.note_restart("i-1", 9)  # The entry arrives after the owner's update.
    assert loaded(views) == {"b"}


def start_known_to(node: Node) -> int:
    found = node._endpoints.get("i-born")
    return found.born if found is not None else 0


async def test_an_engine_that_restarts_is_used_with_the_adapters_that_it_then_has() -> None:
    async with world(nodes=2) as found:
        engine = await found.add_replica(Replica("llm", model="m", name="i-born", incarnation=1000))
        await found.store.delete("servers", "i-llm")
        await found.wait_until_served("/write/x", adapter="a1")
        await found.wait_until_served("/write/x", adapter="a2", node=1)
        for _ in range(2):
            engine.restart()
            await found.store.put("servers", "i-born", engine.record())
            await until_true(
                lambda: all(start_known_to(n) == engine.incarnation for n in found.nodes)
            )
            await found.wait_until_served("/write/x", adapter="a1")
            await found.wait_until_served("/write/x", adapter="a3", node=1)
            assert "a3" in engine.loaded
        assert engine.overfill_count == 0


async def test_orders_meant_for_an_earlier_incarnation_do_not_overfill_the_engine() -> None:
    async with world() as found:
        engine = await found.add_replica(Replica("llm", model="m", name="i-born", incarnation=1000))
        await found.store.delete("servers", "i-llm")
        await found.wait_until_served("/write/x", adapter="a0")
        engine.delays_orders = True
        await asyncio.gather(*(found.send_request("/write/x", adapter=f"b{n}") for n in range(5)))
        engine.delays_orders = False
        engine.restart()
        await found.store.put("servers", "i-born", engine.record())
        for number in range(engine.places + 2):
            await found.wait_until_served("/write/x", adapter=f"c{number}")
        await asyncio.sleep(engine.order_delay)
        await found.wait_until_served("/write/x", adapter="d1")
        assert engine.overfill_count == 0
