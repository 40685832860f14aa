"""Endpoints that start again under their id: nothing of before is believed, nothing goes back."""

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


def endpoints() -> tuple[EndpointRegistry, list[int]]:
    restarted: list[int] = []
    found = EndpointRegistry(
        lambda zone: 0.0, lambda name: None, lambda record: restarted.append(record.born)
    )
    return found, restarted


@pytest.mark.parametrize(
    ("said", "believed", "restarts"),
    [
        ([0, 0], 0, []),
        ([5, 5], 5, []),
        ([5, 9], 9, [9]),
        ([5, 9, 5], 9, [9]),  # Said late by the first incarnation.
        ([5, 9, 12], 12, [9, 12]),
        ([5, 0], None, []),  # Somebody else wrote the second one.
        ([5, 0, 5], 5, []),
        ([0, 5], 5, []),
    ],
)
def test_the_last_incarnation_counts(
    said: list[int], believed: int | None, restarts: list[int]
) -> None:
    found, restarted = endpoints()
    for born in said:
        found.update(record(born))
    now = found.get("i-1")
    assert (now.born if now else None) == believed
    assert restarted == restarts


READY, LEAVING = EndpointState.READY, EndpointState.LEAVING


@pytest.mark.parametrize(
    ("said", "state"),
    [
        ([(0, READY), (0, LEAVING)], LEAVING),
        ([(0, LEAVING), (0, READY)], LEAVING),  # An entry of before.
        ([(5, LEAVING), (5, READY)], LEAVING),
        ([(5, LEAVING), (9, READY)], READY),
        ([(5, READY), (9, LEAVING), (9, READY)], LEAVING),
    ],
)
@pytest.mark.parametrize("gone", [False, True])
def test_an_older_entry_does_not_take_back_that_an_endpoint_leaves(
    said: list[tuple[int, EndpointState]], state: EndpointState, gone: bool
) -> None:
    found, _ = endpoints()
    for born, stated in said:
        if gone:
            found.entry_removed("i-1", 1e12)
        found.update(record(born, stated))
    now = found.get("i-1")
    assert now is not None
    assert now.state is state


def test_an_old_incarnation_does_not_come_back_after_the_new_one_is_gone() -> None:
    found, _ = endpoints()
    found.update(record(5))
    found.update(record(9))
    found.entry_removed("i-1", 1e12)
    found.update(record(5))
    assert found.get("i-1") is None


@given(st.lists(st.tuples(st.integers(1, 6), st.booleans()), max_size=12))
def test_an_incarnation_never_goes_back(said: list[tuple[int, bool]]) -> None:
    found, _ = endpoints()
    latest = 0
    for born, leaving in said:
        state = EndpointState.LEAVING if leaving else EndpointState.READY
        counts = found.update(record(born, state))
        assert counts is (born >= latest)
        latest = max(latest, born)
        now = found.get("i-1")
        assert now is not None and now.born == latest


def news(number: int, born: int, adapters: list[str]) -> EngineUpdate:
    ready = [(0, name, 1) for name in adapters]
    return EngineUpdate("h", "i-1", 3, number, ["m"], ready, [], 0, True, born)


def held(views: EngineViews) -> set[str]:
    return {adapter for _, adapter in views.get("i-1").ready}


def test_what_was_believed_of_places_ends_with_the_incarnation() -> None:
    views = EngineViews()
    views.apply_update(news(1, 5, ["a"]))
    assert held(views) == {"a"}
    views.note_restart("i-1", 9)
    assert held(views) == set()
    assert not views.get("i-1").is_warm(AdapterKey("m", "a", 1))
    views.apply_update(news(2, 5, ["a"]))  # Of a holder that does not know yet.
    assert held(views) == set()
    views.apply_update(news(3, 9, ["b"]))
    views.note_restart("i-1", 9)  # Its entry comes after its holder's news.
    assert held(views) == {"b"}


def known_start(node: Node) -> int:
    found = node._endpoints.get("i-born")
    return found.born if found is not None else 0


async def test_an_engine_that_starts_again_is_served_with_what_it_then_holds() -> None:
    async with world(nodes=2) as found:
        engine = await found.add_replica(Replica("llm", model="m", name="i-born", born=1000))
        await found.store.delete("servers", "i-llm")
        await found.wait_until_served("/write/x", adapter="a1")
        await found.wait_until_served("/write/x", adapter="a2", node=1)
        for _ in range(2):
            engine.restart()
            await found.store.put("servers", "i-born", engine.record())
            await until_true(lambda: all(known_start(n) == engine.born for n in found.nodes))
            await found.wait_until_served("/write/x", adapter="a1")
            await found.wait_until_served("/write/x", adapter="a3", node=1)
            assert "a3" in engine.held
        assert engine.overfilled == 0


async def test_orders_meant_for_an_earlier_incarnation_overfill_nothing() -> None:
    async with world() as found:
        engine = await found.add_replica(Replica("llm", model="m", name="i-born", born=1000))
        await found.store.delete("servers", "i-llm")
        await found.wait_until_served("/write/x", adapter="a0")
        engine.late_orders = True
        await asyncio.gather(*(found.send_request("/write/x", adapter=f"b{n}") for n in range(5)))
        engine.late_orders = False
        engine.restart()
        await found.store.put("servers", "i-born", engine.record())
        for number in range(engine.places + 2):
            await found.wait_until_served("/write/x", adapter=f"c{number}")
        await asyncio.sleep(engine.late)
        await found.wait_until_served("/write/x", adapter="d1")
        assert engine.overfilled == 0
