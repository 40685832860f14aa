"""An engine that left the list and is back is not ordered by another instance at once.

A soak with nine gateways showed an engine that got orders of two holders within the time that must
lie between them: its entry had been overwritten by somebody else, its holder had dropped it and
removed the holder object, and when the entry was back another instance, finding no holder, took
the engine without a pause. Evidence: orders of edge-0 and edge-8 at i-llm1 (seed 6005), and the
order of events that the fault list of that seed allows.
"""

from __future__ import annotations

import asyncio

from gateway_world import HOLDING, World, until_true, world
from msgspec.structs import replace
from wigeonarch_gateway.node import Node

HOLDER = ("wigeonarch-holders", "i-llm")


def pausing(node: Node, pause: float) -> None:
    """Sets the time without orders that an instance keeps after a takeover."""
    node._engine_ownership._opts = replace(HOLDING, pause=pause)


async def dropped(found: World, pause: float) -> None:
    """Lets the engine be held, then leave the list, until its holder has dropped it."""
    [node] = found.nodes
    pausing(node, pause)
    await found.wait_until_served("/write/x", adapter="a1")
    await until_true(lambda: HOLDER in found.store.objects)
    await found.store.delete("servers", "i-llm")
    await until_true(lambda: not node._engine_ownership.owned())
    await asyncio.sleep(0.2)  # A call to the store takes less.


async def test_its_holder_is_still_named_while_orders_must_pause() -> None:
    async with world() as found:
        await dropped(found, pause=3600.0)
        assert HOLDER in found.store.objects
        # Back in the list, it is its last holder's again, with a greater fencing number.
        before = found.store.objects[HOLDER]["metadata"]["revision"]
        await found.store.put("servers", "i-llm", found.replicas[0].record())
        await until_true(lambda: found.nodes[0]._engine_ownership.owned() == ["i-llm"])
        assert found.recorded_owner("i-llm") == "edge-0"
        assert found.store.objects[HOLDER]["metadata"]["revision"] > before


async def test_the_holder_object_of_one_that_stays_away_is_removed() -> None:
    async with world() as found:
        await dropped(found, pause=3600.0)
        pausing(found.nodes[0], 0.0)
        await until_true(lambda: HOLDER not in found.store.objects)
