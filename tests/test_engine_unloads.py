"""Copies that may be in use are not unloaded; an engine that waits for requests is left alone."""

from __future__ import annotations

import asyncio

import pytest
from gateway_world import new_store_contact, until_true, world
from ports import free_port
from wigeonarch_core.engine_places import (
    MAX_UNLOAD_TIME,
    USE_REPORTED_WITHIN,
    AdapterKey,
    AdapterName,
    AdapterPlaces,
)
from wigeonarch_gateway.engine_controller import UNLOAD_POLL_INTERVAL
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.messages import AdaptersInUse, Heartbeat
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.peer_socket import PeerSocket
from wigeonarch_gateway.traffic import InFlightTracker

A1 = AdapterKey("m", "a1", 1)
A2 = AdapterKey("m", "a2", 1)


@pytest.fixture
def members() -> Members:
    port = free_port("127.0.0.1")
    return Members(
        Options("me", "a", "127.0.0.1", "127.0.0.1:1", "127.0.0.1:2", port, 3),
        "boot",
        PeerSocket(f"127.0.0.1:{port}", lambda message: None),
        InFlightTracker(),
        lambda: (1, 1000),
        lambda name, revision, left: None,
        lambda endpoint: "",
        lambda name: None,
        lambda name: None,
        Metrics(),
        new_store_contact(),
    )


def heartbeat(incarnation: str, uses: list[AdaptersInUse], states_uses: bool) -> Heartbeat:
    sent = Heartbeat("far", incarnation, "127.0.0.1:9", "b", False, 5, 3000, [], uses)
    sent.states_uses = states_uses
    return sent


def two_copies() -> AdapterPlaces:
    places = AdapterPlaces(2, 10)
    places.mark_ready(A1, 0.0)
    places.mark_ready(A2, 0.0)
    return places


@pytest.mark.parametrize(
    ("used_at", "in_use", "victim", "free"),
    [
        ({}, set(), A1, 2),
        ({A1: 10.0 - USE_REPORTED_WITHIN / 2}, set(), A2, 1),  # Nobody had to report it yet.
        ({A1: 10.0 - 2 * USE_REPORTED_WITHIN}, set(), A2, 2),
        ({A1: 10.0 - 2 * USE_REPORTED_WITHIN}, {A2.name}, A1, 1),
        ({A1: 9.9, A2: 9.9}, set(), None, 0),
    ],
)
def test_copy_used_just_now_is_no_victim(
    used_at: dict[AdapterKey, float],
    in_use: set[AdapterName],
    victim: AdapterKey | None,
    free: int,
) -> None:
    places = two_copies()
    for key, at in used_at.items():
        places.record_use(key.name, at)
    assert places.choose_victim(in_use, set(), 10.0) == victim
    assert places.evictable_count(in_use, 10.0) == free


def test_copy_that_is_unloaded_later_is_neither_offered_nor_chosen_again() -> None:
    places = two_copies()
    places.begin_unload(A1.name, 1.0)
    places.adopt_report([A1, A2], [], 1.5)
    assert places.is_unloading(2.0)
    assert not places.holds(A1)
    assert places.ready_copies(2.0) == [A2]
    assert places.choose_victim(set(), set(), 5.0) == A2
    assert places.free_count() == 0
    assert not places.extend_load(A1.name, 2.0, 0.1)
    places.adopt_report([A2], [], 2.5)
    assert not places.is_unloading(2.5)
    assert places.free_count() == 1


def test_unload_without_any_effect_does_not_block_an_engine_for_good() -> None:
    places = two_copies()
    places.begin_unload(A1.name, 1.0)
    assert places.is_unloading(1.0 + MAX_UNLOAD_TIME)
    assert not places.is_unloading(1.1 + MAX_UNLOAD_TIME)
    assert places.holds(A1)


async def test_engine_that_waits_for_a_request_gets_no_further_orders() -> None:
    async with world() as deployment:
        [node], engine = deployment.nodes, deployment.replicas[0]
        adapters = [f"a{number}" for number in range(engine.places)]
        for adapter in adapters:
            await deployment.wait_until_served("/write/x", adapter=adapter)
        # Requests that no instance knows of use all copies.
        engine.use_counts.update(dict.fromkeys(adapters, 1))
        await asyncio.sleep(USE_REPORTED_WITHIN)
        waiting = asyncio.create_task(deployment.send_request("/write/x", adapter="new"))
        await until_true(lambda: engine.unloading_adapter)
        before = len(engine.orders) - 1
        await until_true(lambda: not node._views.get("i-llm").accepts_loads)
        await asyncio.sleep(2 * UNLOAD_POLL_INTERVAL)
        assert engine.unloading_adapter
        assert [status for _, status in engine.orders[before:]] == [202]
        engine.use_counts.clear()
        await until_true(lambda: node._views.get("i-llm").accepts_loads)
        await deployment.wait_until_served("/write/x", adapter="new")
        await waiting


@pytest.mark.parametrize(
    ("states_uses", "incarnation", "known"),
    [
        (True, "boot", []),
        (False, "boot", [A1.name]),  # A heartbeat for a whole zone, which states no uses.
        (False, "next", []),
    ],
)
def test_heartbeat_that_states_no_uses_clears_none(
    states_uses: bool, incarnation: str, known: list[AdapterName], members: Members
) -> None:
    members.receive_heartbeat(heartbeat("boot", [AdaptersInUse("i-llm", [("m", "a1", 1)])], True))
    members.receive_heartbeat(heartbeat(incarnation, [], states_uses))
    assert members.adapters_in_use("i-llm") == set(known)
