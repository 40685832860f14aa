"""The pause without orders after a takeover is kept, whatever happens to the new owner in it."""

from __future__ import annotations

import threading

import pytest
from gateway_world import HOLDING, World, until_true, world
from msgspec.structs import replace
from version_streams import kill, lose
from wigeonarch_gateway.node import Node
from wigeonarch_runtime.clock import monotonic

ENGINE = "i-llm"
PAUSE = 60.0  # Seconds; longer than a test.


def stand_still(seconds: float) -> None:
    """Stops everything in this process, as a machine that is stopped does."""
    threading.Event().wait(seconds)


async def take_over(deployment: World) -> Node:
    """Has one of two instances take an engine over from the other; returns the new owner."""
    nodes = deployment.nodes
    for node in nodes:
        node._engine_ownership._opts = replace(HOLDING, pause=PAUSE)
    await until_true(lambda: any(node._engine_ownership.owned() == [ENGINE] for node in nodes))
    first = 0 if nodes[0]._engine_ownership.owned() else 1
    heir = nodes[1 - first]
    await kill(deployment, first)
    await until_true(lambda: heir._engine_ownership.owned() == [ENGINE])
    return heir


def not_before(node: Node) -> float:
    """Returns the time from which an instance may give the engine orders."""
    return node._engine_ownership._owned[ENGINE].not_before


async def lose_lease(node: Node) -> None:
    """Has an instance stand still for so long that it has to write its ownerships again."""
    ownership, lease = node._engine_ownership, node._own_lease.lease
    generation = lease.generation
    stand_still(HOLDING.term)
    await until_true(lambda: lease.generation > generation)
    await until_true(lambda: ownership._owned[ENGINE].generation == lease.generation)


@pytest.mark.parametrize("times", [1, 2])
async def test_an_owner_that_stands_still_within_the_pause_gives_no_orders_before_its_end(
    times: int,
) -> None:
    async with world(nodes=2) as deployment:
        heir = await take_over(deployment)
        due = not_before(heir)
        assert due > monotonic() + PAUSE / 2
        for _ in range(times):
            await lose_lease(heir)
            assert not_before(heir) >= due
            assert heir._engine_ownership.fence(ENGINE) == 0
        stored = deployment.store.spec("wigeonarch-holders", ENGINE)
        assert stored["taken_over"]


async def test_an_owner_that_starts_again_after_it_stood_still_waits_for_the_pause_too() -> None:
    async with world(nodes=2) as deployment:
        heir = await take_over(deployment)
        await lose_lease(heir)
        await lose(deployment, deployment.nodes.index(heir))
        again = await deployment.add_node(int(heir._opts.instance.removeprefix("edge-")))
        again._engine_ownership._opts = replace(HOLDING, pause=PAUSE)
        await until_true(lambda: again._engine_ownership.owned() == [ENGINE])
        assert not_before(again) > monotonic() + PAUSE / 2


async def test_an_owner_that_stands_still_after_the_pause_goes_on_at_once() -> None:
    async with world(nodes=2) as deployment:
        heir = await take_over(deployment)
        heir._engine_ownership._owned[ENGINE].not_before = monotonic()
        await lose_lease(heir)
        assert heir._engine_ownership.fence(ENGINE)
