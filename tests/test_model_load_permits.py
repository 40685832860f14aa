"""Loads of base models: all owners together keep to the store's rate, and none waits in vain."""

from __future__ import annotations

import pytest
from gateway_world import world
from wigeonarch_gateway import model_load_permits as module
from wigeonarch_gateway.model_load_permits import WINDOW, ModelLoadPermits
from wigeonarch_gateway.ports import OrderResult
from wigeonarch_gateway.roles import possible_owner_count

OVERSHOOT = 1.1  # Of the rate, by which the loads of a window may exceed it,
EXTRA = 3.0  # and this many more.


@pytest.mark.parametrize(
    ("zone_sizes", "instances", "owners"),
    [
        ({"a": 2, "b": 2}, 4, 4),
        ({"a": 30, "b": 28, "c": 31}, 89, 18),
        ({"a": 65, "b": 65, "c": 65}, 195, 30),
        ({"a": 7}, 7, 6),
        ({"a": 30}, 33, 9),  # The zones of three are not known yet.
        ({}, 5, 5),
        ({}, 0, 1),
    ],
)
def test_possible_owners(zone_sizes: dict[str, int], instances: int, owners: int) -> None:
    assert possible_owner_count(zone_sizes, instances) == owners


@pytest.mark.parametrize(
    ("rate", "zone_sizes", "least"),
    [
        (17.0, {"a": 30, "b": 28, "c": 31}, 4),
        (26.0, {"a": 27, "b": 27, "c": 27}, 7),
        (2.8, {"a": 2, "b": 2, "c": 2}, 2),
    ],
)
def test_owners_of_a_large_deployment_use_its_rate_and_keep_to_it(
    monkeypatch: pytest.MonkeyPatch, rate: float, zone_sizes: dict[str, int], least: int
) -> None:
    monkeypatch.setattr(module, "monotonic", lambda: 100.0)
    owners = possible_owner_count(zone_sizes, sum(zone_sizes.values()))
    permits = [ModelLoadPermits(lambda: [rate], lambda: owners) for _ in range(owners)]
    begun = [sum(own.acquire() for _ in range(50)) for own in permits]
    assert min(begun) >= least
    assert sum(begun) <= rate * WINDOW * OVERSHOOT + EXTRA


@pytest.mark.parametrize(
    ("result", "kept"),
    [
        (OrderResult.STARTED, True),
        (OrderResult.UNKNOWN, True),
        (OrderResult.MISDIRECTED, False),
        (OrderResult.CONFLICT, False),
        (OrderResult.REFUSED, False),
    ],
)
async def test_load_that_did_not_begin_does_not_delay_the_next_one(
    monkeypatch: pytest.MonkeyPatch, result: OrderResult, kept: bool
) -> None:
    async with world() as deployment:
        [node] = deployment.nodes
        await deployment.wait_until_served("/write/x", adapter="a1")
        controller = node._engine_ownership.controller("i-llm")
        record = node._endpoints.get("i-llm")
        assert controller is not None
        assert record is not None

        async def answered(*args: object, **more: object) -> OrderResult:
            return result

        monkeypatch.setattr(type(controller), "_send_order", answered)
        controller._models.clear()
        await controller._load_model(record)
        assert bool(node._model_load_permits._begun_at) is kept


def test_permit_that_is_given_back_does_not_hide_a_load_that_began(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = [100.0]
    monkeypatch.setattr(module, "monotonic", lambda: now[0])
    permits = ModelLoadPermits(lambda: [0.4], lambda: 1)
    assert permits.acquire()
    now[0] += WINDOW - 1.0
    assert permits.acquire()
    permits.give_back()
    assert permits.acquire()
    now[0] += 2.0
    assert not permits.acquire()
