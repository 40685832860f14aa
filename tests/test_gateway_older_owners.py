"""Tests the ownership of an engine after the store came back from an older copy."""

from __future__ import annotations

from itertools import pairwise

import pytest
from gateway_world import HOLDING, World, until, until_true, world
from standins.replica import Replica

REVISIONS_LOST = 100_000  # Revisions by which the copy is behind the known state.


async def wait_for_new_era(found: World) -> None:
    """Waits until all live instances know that the store came back from an older copy."""

    async def known() -> bool:
        nodes = zip(found.nodes, found.tasks, strict=True)
        return all(node._store.era == found.store.era for node, task in nodes if not task.done())

    await until(known)


def crash(found: World, instance: str) -> int:
    """Ends an instance without any message; returns its number."""
    number = int(instance.removeprefix("edge-"))
    found.tasks[number].cancel()
    for task in found.nodes[number]._tasks:
        task.cancel()
    found.nodes[number]._links.close()
    return number


def check_orders(engine: Replica) -> None:
    """Checks that fencing tokens rise, each has one owner, and owners change after a pause."""
    fences = [fence for _, _, fence in engine.order_arrivals]
    assert fences == sorted(fences)
    assert len({fence: owner for _, owner, fence in engine.order_arrivals}) == len(
        {(fence, owner) for _, owner, fence in engine.order_arrivals}
    )
    for (before, one, _), (after, other, _) in pairwise(engine.order_arrivals):
        assert one == other or after - before >= HOLDING.pause


@pytest.mark.parametrize("copied", ["before_the_claim", "after_the_claim"])
async def test_fencing_tokens_rise_although_revisions_are_reused(copied: str) -> None:
    async with world(nodes=2) as found:
        engine = found.replicas[0]
        found.store.revision += REVISIONS_LOST
        if copied == "before_the_claim":
            await until_true(lambda: len(found.nodes[0]._endpoints.ready("llm")) == 1)
            found.store.take_copy()
            found.store._saved_copy = (
                found.store._saved_copy[0] - REVISIONS_LOST,
                found.store._saved_copy[1],
            )
        await found.wait_until_served("/write/x", adapter="a1")
        first = found.recorded_owner("i-llm")
        if copied == "after_the_claim":
            found.store.take_copy()
            found.store._saved_copy = (
                found.store._saved_copy[0] - REVISIONS_LOST,
                found.store._saved_copy[1],
            )
        await found.store.restore_copy()
        await wait_for_new_era(found)
        await found.wait_until_served("/write/x", node=0, adapter="a2")
        crashed = crash(found, first)
        await until_true(lambda: found.recorded_owner("i-llm") not in ("", first))
        await found.wait_until_served("/write/x", node=1 - crashed, adapter="b1")
        assert len({owner for _, owner, _ in engine.order_arrivals}) == 2
        check_orders(engine)


async def test_an_owner_that_the_copy_lacks_writes_its_object_again_and_stays_owner() -> None:
    async with world(nodes=3) as found:
        engine = found.replicas[0]
        await until_true(lambda: len(found.nodes[0]._endpoints.ready("llm")) == 1)
        found.store.take_copy()
        await found.wait_until_served("/write/x", adapter="a1")
        first = found.recorded_owner("i-llm")
        for drill in range(3):
            await found.store.restore_copy()
            assert found.recorded_owner("i-llm") == ""
            await until_true(lambda: found.recorded_owner("i-llm"))
            assert found.recorded_owner("i-llm") == first
            for node in range(3):
                await found.wait_until_served("/write/x", node=node, adapter=f"b{drill}{node}")
        assert {owner for _, owner, _ in engine.order_arrivals} == {first}
        check_orders(engine)
