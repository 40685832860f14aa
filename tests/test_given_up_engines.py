"""An engine whose entry disappears and comes back must not get orders of another instance at once.

The fault: something else overwrites the engine's entry, so its owner drops the engine and deletes
the owner object. When the entry is back, another instance finds no owner and takes the engine
without the pause that must lie between orders of two owners. A soak with nine gateways showed this:
orders of edge-0 and edge-8 at i-llm1, in an order of events that the faults of seed 6005 allow.
"""

from __future__ import annotations

import asyncio

from gateway_world import HOLDING, World, until_true, world
from msgspec.structs import replace
from wigeonarch_gateway.node import Node

OWNER_OBJECT = ("wigeonarch-holders", "i-llm")


def set_takeover_pause(node: Node, pause: float) -> None:
    """Sets the time for which an instance sends no orders after a takeover."""
    node._engine_ownership._opts = replace(HOLDING, pause=pause)


async def drop_engine(deployment: World, pause: float) -> None:
    """Waits until the engine is owned, deletes its entry, and waits until the owner dropped it."""
    [node] = deployment.nodes
    set_takeover_pause(node, pause)
    await deployment.wait_until_served("/write/x", adapter="a1")
    await until_true(lambda: OWNER_OBJECT in deployment.store.objects)
    await deployment.store.delete("servers", "i-llm")
    await until_true(lambda: not node._engine_ownership.owned())
    await asyncio.sleep(0.2)  # Longer than a call to the store, so that a deletion would be done.


async def test_owner_object_is_kept_during_the_takeover_pause() -> None:
    async with world() as deployment:
        await drop_engine(deployment, pause=3600.0)
        assert OWNER_OBJECT in deployment.store.objects
        # Back in the list, the engine belongs to its last owner again, with a higher fencing token.
        before = deployment.store.objects[OWNER_OBJECT]["metadata"]["revision"]
        await deployment.store.put("servers", "i-llm", deployment.replicas[0].record())
        await until_true(lambda: deployment.nodes[0]._engine_ownership.owned() == ["i-llm"])
        assert deployment.recorded_owner("i-llm") == "edge-0"
        assert deployment.store.objects[OWNER_OBJECT]["metadata"]["revision"] > before


async def test_owner_object_of_an_engine_that_stays_away_is_deleted() -> None:
    async with world() as deployment:
        await drop_engine(deployment, pause=3600.0)
        set_takeover_pause(deployment.nodes[0], 0.0)
        await until_true(lambda: OWNER_OBJECT not in deployment.store.objects)
