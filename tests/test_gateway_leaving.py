"""An endpoint says in its answers that it leaves, while its entry in the store does not."""

from __future__ import annotations

import asyncio
import time

import pytest
from gateway_world import World, until, until_true, world
from standins.replica import Replica, Trouble
from wigeonarch_gateway.ports import EndpointState

OBEYED = 2.0  # Seconds from an answer that was passed on, in which requests may still arrive.
AFTER = 1.0  # Seconds of load after that.


async def two_desks(found: World) -> Replica:
    """Adds a second plain endpoint; returns the first one, when all instances know both."""
    await found.add_replica(Replica("desk", name="i-desk2"))
    await until_true(lambda: all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes))
    return found.replicas[1]


async def two_engines(found: World) -> Replica:
    """The same for engines."""
    await found.add_replica(Replica("llm", model="m", name="i-llm2"))
    await until_true(lambda: all(len(node._endpoints.ready("llm")) == 2 for node in found.nodes))
    return found.replicas[0]


PLACES = {"/ask/x": two_desks, "/write/x": two_engines}


async def ask_all(found: World, path: str, statuses: list[int]) -> None:
    """Sends a request to each instance."""
    model = "m" if path.startswith("/write") else ""
    answers = [found.send_request(path, node=n, X_Model=model) for n in range(len(found.nodes))]
    statuses.extend(answer.status for answer in await asyncio.gather(*answers))


@pytest.mark.parametrize("path", PLACES)
async def test_an_endpoint_whose_answer_said_that_it_leaves_gets_no_further_request(
    path: str,
) -> None:
    async with world(nodes=3) as found:
        leaving = await PLACES[path](found)
        statuses: list[int] = []
        for node in range(3):
            await found.wait_until_served(path, node=node)
        leaving.leaving = True
        ran = len(leaving.ran)

        async def passed_on() -> bool:
            await ask_all(found, path, statuses)
            return len(leaving.ran) > ran

        await until(passed_on)
        told = time.monotonic()
        while time.monotonic() < told + OBEYED + AFTER:
            await ask_all(found, path, statuses)
            # The entry changes meanwhile, and still says what it did.
            await found.store.put(
                "servers", leaving.name, {**leaving.record(), "seq": len(statuses)}
            )
        assert [seen.at - told for seen in leaving.arrived if seen.at > told + OBEYED] == []
        assert statuses == [200] * len(statuses)


async def has_left(found: World, endpoint: str) -> None:
    """Waits until no instance sends anything to an endpoint."""
    await until_true(
        lambda: all(
            endpoint not in [record.endpoint for record in node._endpoints.ready("desk")]
            for node in found.nodes
        )
    )


async def tell(found: World, leaving: Replica, node: int = 0) -> None:
    """Makes an endpoint say that it leaves, in an answer to one instance."""
    leaving.leaving = True

    async def heard() -> bool:
        await found.send_request("/ask/x", node=node)
        record = found.nodes[node]._endpoints.get(leaving.name)
        return record is not None and record.state is EndpointState.LEAVING

    await until(heard)


async def test_those_who_got_no_answer_that_says_so_are_told() -> None:
    async with world(nodes=3) as found:
        leaving = await two_desks(found)
        await tell(found, leaving)
        await has_left(found, leaving.name)


async def test_an_instance_that_starts_later_is_told_whatever_the_entry_says() -> None:
    async with world(nodes=2) as found:
        leaving = await two_desks(found)
        await tell(found, leaving)
        await found.add_node(2)
        await until_true(lambda: found.nodes[2]._endpoints.get(leaving.name) is not None)
        await has_left(found, leaving.name)


async def test_an_endpoint_that_starts_again_under_its_id_is_used_again() -> None:
    async with world(nodes=2) as found:
        leaving = await two_desks(found)
        leaving.born = 5000
        await found.store.put("servers", leaving.name, leaving.record())
        await until_true(
            lambda: all(
                record is not None and record.born == 5000
                for record in (node._endpoints.get(leaving.name) for node in found.nodes)
            )
        )
        await tell(found, leaving)
        await has_left(found, leaving.name)
        leaving.restart()
        leaving.leaving = False
        await found.store.put("servers", leaving.name, leaving.record())
        await until_true(
            lambda: all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes)
        )


async def test_an_answer_to_an_order_or_a_report_tells_it_too() -> None:
    async with world(nodes=2) as found:
        await two_engines(found)
        found.replicas[0].leaving = True
        # Nobody asks the engine for an answer but its holder.
        await until_true(
            lambda: all(len(node._endpoints.ready("llm")) == 1 for node in found.nodes)
        )


@pytest.mark.parametrize("trouble", [Trouble.FOREIGN_FIRST, Trouble.DOUBLE])
async def test_what_an_answer_of_another_request_says_counts_for_nothing(trouble: Trouble) -> None:
    async with world(nodes=1) as found:
        desk = found.replicas[1]
        await found.wait_until_served("/ask/x")
        desk.trouble = trouble
        desk.foreign_leaving = True
        for _ in range(5):
            await found.send_request("/ask/x")
        assert [record.endpoint for record in found.nodes[0]._endpoints.ready("desk")] == ["i-desk"]


async def test_another_endpoint_at_the_address_tells_nothing_of_the_one_that_was_meant() -> None:
    async with world(nodes=1) as found:
        desk = found.replicas[1]
        await found.wait_until_served("/ask/x")
        desk.name, desk.leaving = "i-other", True
        assert (await found.send_request("/ask/x")).status == 503
        record = found.nodes[0]._endpoints.get("i-desk")
        assert record is not None
        assert record.state is EndpointState.READY
