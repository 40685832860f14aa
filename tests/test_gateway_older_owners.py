"""Who orders an engine after the store came back from a copy some seconds old."""

from __future__ import annotations

from itertools import pairwise

import pytest
from gateway_world import HOLDING, World, until, until_true, world
from standins.replica import Replica

LATER = 100_000  # Revisions by which the copy is older than what is known.


async def noticed(found: World) -> None:
    """Waits until all instances that live know that the store came back older."""

    async def known() -> bool:
        nodes = zip(found.nodes, found.tasks, strict=True)
        return all(node._store.era == found.store.era for node, task in nodes if not task.done())

    await until(known)


def lose(found: World, holder: str) -> int:
    """Ends an instance without a word; returns its number."""
    number = int(holder.removeprefix("edge-"))
    found.tasks[number].cancel()
    for task in found.nodes[number]._tasks:
        task.cancel()
    found.nodes[number]._links.close()
    return number


def check_orders(engine: Replica) -> None:
    """Checks that fences only rise, each is one holder's, and that no two holders take turns."""
    fences = [fence for _, _, fence in engine.order_arrivals]
    assert fences == sorted(fences)
    assert len({fence: holder for _, holder, fence in engine.order_arrivals}) == len(
        {(fence, holder) for _, holder, fence in engine.order_arrivals}
    )
    for (before, one, _), (after, other, _) in pairwise(engine.order_arrivals):
        assert one == other or after - before >= HOLDING.pause


@pytest.mark.parametrize("copied", ["before_the_claim", "after_the_claim"])
async def test_fences_rise_although_revisions_are_given_out_again(copied: str) -> None:
    async with world(nodes=2) as found:
        engine = found.replicas[0]
        found.store.revision += LATER
        if copied == "before_the_claim":
            await until_true(lambda: len(found.nodes[0]._endpoints.ready("llm")) == 1)
            found.store.take_copy()
            found.store._copy = found.store._copy[0] - LATER, found.store._copy[1]
        await found.wait_until_served("/write/x", adapter="a1")
        first = found.recorded_owner("i-llm")
        if copied == "after_the_claim":
            found.store.take_copy()
            found.store._copy = found.store._copy[0] - LATER, found.store._copy[1]
        await found.store.come_back_older()
        await noticed(found)
        await found.wait_until_served("/write/x", node=0, adapter="a2")
        lost = lose(found, first)
        await until_true(lambda: found.recorded_owner("i-llm") not in ("", first))
        await found.wait_until_served("/write/x", node=1 - lost, adapter="b1")
        assert len({holder for _, holder, _ in engine.order_arrivals}) == 2
        check_orders(engine)


async def test_a_holder_that_the_copy_forgot_writes_again_and_goes_on() -> None:
    async with world(nodes=3) as found:
        engine = found.replicas[0]
        await until_true(lambda: len(found.nodes[0]._endpoints.ready("llm")) == 1)
        found.store.take_copy()
        await found.wait_until_served("/write/x", adapter="a1")
        first = found.recorded_owner("i-llm")
        for drill in range(3):
            await found.store.come_back_older()
            assert found.recorded_owner("i-llm") == ""
            await until_true(lambda: found.recorded_owner("i-llm"))
            assert found.recorded_owner("i-llm") == first
            for node in range(3):
                await found.wait_until_served("/write/x", node=node, adapter=f"b{drill}{node}")
        assert {holder for _, holder, _ in engine.order_arrivals} == {first}
        check_orders(engine)
