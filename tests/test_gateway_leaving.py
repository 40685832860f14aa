"""Tests of endpoints that announce in responses that they leave, but not in their entries."""

from __future__ import annotations

import asyncio
import time

import pytest
from gateway_world import World, until, until_true, world
from standins.replica import Replica, ReplicaFault
from wigeonarch_gateway.ports import EndpointState

OBEYED = 2.0  # Seconds after a forwarded response within which requests may still arrive.
AFTER = 1.0  # Seconds of load after `OBEYED`.


async def add_second_service(found: World) -> Replica:
    """Adds a second plain service; returns the first one once all instances know both."""
    await found.add_replica(Replica("desk", name="i-desk2"))
    await until_true(lambda: all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes))
    return found.replicas[1]


async def add_second_engine(found: World) -> Replica:
    """Adds a second engine; returns the first one once all instances know both."""
    await found.add_replica(Replica("llm", model="m", name="i-llm2"))
    await until_true(lambda: all(len(node._endpoints.ready("llm")) == 2 for node in found.nodes))
    return found.replicas[0]


ADD_SECOND = {"/ask/x": add_second_service, "/write/x": add_second_engine}


async def send_to_all(found: World, path: str, statuses: list[int]) -> None:
    """Sends a request to each instance."""
    model = "m" if path.startswith("/write") else ""
    requests = [found.send_request(path, node=n, X_Model=model) for n in range(len(found.nodes))]
    statuses.extend(response.status for response in await asyncio.gather(*requests))


@pytest.mark.parametrize("path", ADD_SECOND)
async def test_an_endpoint_that_announced_in_a_response_that_it_leaves_gets_no_requests(
    path: str,
) -> None:
    async with world(nodes=3) as found:
        leaving = await ADD_SECOND[path](found)
        statuses: list[int] = []
        for node in range(3):
            await found.wait_until_served(path, node=node)
        leaving.leaving = True
        ran = len(leaving.executed)

        async def forwarded() -> bool:
            await send_to_all(found, path, statuses)
            return len(leaving.executed) > ran

        await until(forwarded)
        announced = time.monotonic()
        while time.monotonic() < announced + OBEYED + AFTER:
            await send_to_all(found, path, statuses)
            # The entry changes meanwhile, but still says that the endpoint is ready.
            await found.store.put(
                "servers", leaving.name, {**leaving.record(), "seq": len(statuses)}
            )
        assert [
            seen.at - announced for seen in leaving.received if seen.at > announced + OBEYED
        ] == []
        assert statuses == [200] * len(statuses)


async def wait_until_unused(found: World, endpoint: str) -> None:
    """Waits until no instance considers an endpoint ready."""
    await until_true(
        lambda: all(
            endpoint not in [record.endpoint for record in node._endpoints.ready("desk")]
            for node in found.nodes
        )
    )


async def announce_leaving(found: World, leaving: Replica, node: int = 0) -> None:
    """Makes an endpoint announce that it leaves, in a response to one instance."""
    leaving.leaving = True

    async def is_known() -> bool:
        await found.send_request("/ask/x", node=node)
        record = found.nodes[node]._endpoints.get(leaving.name)
        return record is not None and record.state is EndpointState.LEAVING

    await until(is_known)


async def test_all_instances_learn_that_an_endpoint_leaves() -> None:
    async with world(nodes=3) as found:
        leaving = await add_second_service(found)
        await announce_leaving(found, leaving)
        await wait_until_unused(found, leaving.name)


async def test_an_instance_that_starts_later_learns_it_whatever_the_entry_says() -> None:
    async with world(nodes=2) as found:
        leaving = await add_second_service(found)
        await announce_leaving(found, leaving)
        await found.add_node(2)
        await until_true(lambda: found.nodes[2]._endpoints.get(leaving.name) is not None)
        await wait_until_unused(found, leaving.name)


async def test_an_endpoint_that_restarts_under_its_id_is_used_again() -> None:
    async with world(nodes=2) as found:
        leaving = await add_second_service(found)
        leaving.incarnation = 5000
        await found.store.put("servers", leaving.name, leaving.record())
        await until_true(
            lambda: all(
                record is not None and record.born == 5000
                for record in (node._endpoints.get(leaving.name) for node in found.nodes)
            )
        )
        await announce_leaving(found, leaving)
        await wait_until_unused(found, leaving.name)
        leaving.restart()
        leaving.leaving = False
        await found.store.put("servers", leaving.name, leaving.record())
        await until_true(
            lambda: all(len(node._endpoints.ready("desk")) == 2 for node in found.nodes)
        )


async def test_responses_to_orders_and_report_requests_announce_it_too() -> None:
    async with world(nodes=2) as found:
        await add_second_engine(found)
        found.replicas[0].leaving = True
        # Only the engine's owner calls it.
        await until_true(
            lambda: all(len(node._endpoints.ready("llm")) == 1 for node in found.nodes)
        )


@pytest.mark.parametrize("trouble", [ReplicaFault.FOREIGN_FIRST, ReplicaFault.DOUBLE])
async def test_the_notice_in_a_response_to_another_request_is_ignored(
    trouble: ReplicaFault,
) -> None:
    async with world(nodes=1) as found:
        desk = found.replicas[1]
        await found.wait_until_served("/ask/x")
        desk.fault = trouble
        desk.unsolicited_leaving = True
        for _ in range(5):
            await found.send_request("/ask/x")
        assert [record.endpoint for record in found.nodes[0]._endpoints.ready("desk")] == ["i-desk"]


async def test_a_notice_of_another_endpoint_at_the_address_is_ignored() -> None:
    async with world(nodes=1) as found:
        desk = found.replicas[1]
        await found.wait_until_served("/ask/x")
        desk.name, desk.leaving = "i-other", True
        assert (await found.send_request("/ask/x")).status == 503
        record = found.nodes[0]._endpoints.get("i-desk")
        assert record is not None
        assert record.state is EndpointState.READY
