"""Cooldowns: an endpoint refuses a request and asks the instance for a pause."""

from __future__ import annotations

import asyncio
import time

import pytest
from gateway_world import World, until, until_true, world
from standins.replica import Replica, ReplicaFault

NOTICE_TIME = 0.5  # Seconds after a refusal within which requests may still arrive.
MAX_ARRIVALS = 2  # Requests of one instance that may arrive in the remaining cooldown.


def most_in_a_cooldown(replica: Replica, cooldown: float) -> int:
    """Returns the largest number of requests that one instance sent in any of its cooldowns."""
    arrivals = [(seen.at, seen.peer) for seen in replica.received] + replica.control_requests
    return max(
        (
            sum(peer == asked and at + NOTICE_TIME < t < at + cooldown for t, peer in arrivals)
            for at, asked in replica.rejections
        ),
        default=0,
    )


async def all_ready(deployment: World, service: str, count: int) -> None:
    """Waits until each instance knows this many endpoints of a service."""
    await until_true(
        lambda: all(len(node._endpoints.ready(service)) == count for node in deployment.nodes)
    )


async def load(deployment: World, path: str, seconds: float, model: str) -> list[int]:
    """Sends requests to all instances for some seconds; returns the statuses of the responses."""
    statuses: list[int] = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        asked = [
            deployment.send_request(path, node=n, X_Model=model)
            for n in range(len(deployment.nodes))
        ]
        statuses += [answer.status for answer in await asyncio.gather(*asked)]
        await asyncio.sleep(0.01)
    return statuses


@pytest.mark.parametrize(
    ("path", "cooldown"), [("/ask/x", "1.5"), ("/book/x", "2"), ("/write/x", "1.5")]
)
async def test_endpoint_gets_no_request_of_an_instance_in_its_cooldown(
    path: str, cooldown: str
) -> None:
    async with world(nodes=2) as deployment:
        engine = path.startswith("/write")
        service = "llm" if engine else "desk"
        refusing = deployment.replicas[0 if engine else 1]
        model = "m" if engine else ""
        await deployment.add_replica(Replica(service, model=model, name="i-other"))
        await all_ready(deployment, service, 2)
        for node in range(2):
            await deployment.wait_until_served(path, node=node)
        refusing.retry_after, refusing.fault = cooldown, ReplicaFault.SHED
        statuses = await load(deployment, path, 3.0, model)
        assert refusing.rejections
        assert most_in_a_cooldown(refusing, float(cooldown)) <= MAX_ARRIVALS
        assert statuses == [200] * len(statuses)


async def test_request_is_refused_at_once_with_retry_after_when_all_endpoints_have_cooldowns() -> (
    None
):
    async with world(nodes=2) as deployment:
        desk = deployment.replicas[1]
        for node in range(2):
            await deployment.wait_until_served("/ask/x", node=node)
        desk.retry_after, desk.fault = "6", ReplicaFault.SHED
        await deployment.send_request("/ask/x")
        arrived = len(desk.received)
        desk.fault = ReplicaFault.NONE
        answers = [await deployment.send_request("/ask/x") for _ in range(3)]
        assert [answer.status for answer in answers] == [503] * 3
        assert all(1.0 < float(answer.headers["retry-after"]) <= 6.0 for answer in answers)
        assert len(desk.received) == arrived
        # The other instance has no cooldown.
        assert (await deployment.send_request("/ask/x", node=1)).status == 200


async def test_endpoint_is_used_again_after_its_cooldown() -> None:
    async with world(nodes=1) as deployment:
        desk = deployment.replicas[1]
        await deployment.wait_until_served("/ask/x")
        desk.retry_after, desk.fault = "1", ReplicaFault.SHED
        assert (await deployment.send_request("/ask/x")).status == 503
        desk.fault = ReplicaFault.NONE
        await deployment.wait_until_served("/ask/x")


async def test_owner_sends_no_orders_during_the_cooldown_of_its_engine() -> None:
    async with world(nodes=2) as deployment:
        engine = deployment.replicas[0]
        await deployment.add_replica(Replica("llm", model="m", name="i-other"))
        await all_ready(deployment, "llm", 2)
        await until_true(
            lambda: deployment.recorded_owner("i-llm") and deployment.recorded_owner("i-other")
        )
        owner = int(deployment.recorded_owner("i-llm").removeprefix("edge-"))
        for node in range(2):
            await deployment.wait_until_served("/write/x", node=node, adapter="a")
        engine.retry_after, engine.fault = "2.5", ReplicaFault.SHED

        async def asked() -> bool:
            await deployment.send_request("/write/x", node=owner, X_Model="m")
            return bool(engine.rejections)

        await until(asked)
        engine.fault = ReplicaFault.NONE
        end = time.monotonic() + 2.5
        statuses: list[int] = []
        # The other instance has no cooldown and requests adapter loads all the time.
        while time.monotonic() < end:
            adapter = f"rare{len(statuses)}"
            statuses.append(
                (await deployment.send_request("/write/x", node=1 - owner, adapter=adapter)).status
            )
        assert most_in_a_cooldown(engine, 2.5) == 0
        assert statuses == [200] * len(statuses)
