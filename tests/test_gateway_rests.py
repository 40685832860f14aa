"""An endpoint turns a request away and asks the instance for rest."""

from __future__ import annotations

import asyncio
import time

import pytest
from gateway_world import World, until, until_true, world
from standins.replica import Replica, Trouble

NOTICED = 0.5  # Seconds from a refusal in which requests may still arrive.
ARRIVE_MOST = 2  # Requests of an instance that may arrive in the rest of the time.


def most_in_a_rest(replica: Replica, rest: float) -> int:
    """Returns the most requests of one instance in any time for which it was to rest."""
    times = [(seen.at, seen.peer) for seen in replica.arrived] + replica.asked_at
    return max(
        (
            sum(peer == asked and at + NOTICED < t < at + rest for t, peer in times)
            for at, asked in replica.away_at
        ),
        default=0,
    )


async def all_ready(found: World, service: str, count: int) -> None:
    """Waits until all instances know so many endpoints of a service."""
    await until_true(
        lambda: all(len(node._endpoints.ready(service)) == count for node in found.nodes)
    )


async def load(found: World, path: str, seconds: float, model: str) -> list[int]:
    """Sends requests to all instances for some seconds; returns the statuses."""
    statuses: list[int] = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        asked = [found.send_request(path, node=n, X_Model=model) for n in range(len(found.nodes))]
        statuses += [answer.status for answer in await asyncio.gather(*asked)]
        await asyncio.sleep(0.01)
    return statuses


@pytest.mark.parametrize(
    ("path", "rest"), [("/ask/x", "1.5"), ("/book/x", "2"), ("/write/x", "1.5")]
)
async def test_an_endpoint_that_asked_for_rest_gets_no_request_of_that_instance(
    path: str, rest: str
) -> None:
    async with world(nodes=2) as found:
        engine = path.startswith("/write")
        service = "llm" if engine else "desk"
        tired = found.replicas[0 if engine else 1]
        model = "m" if engine else ""
        await found.add_replica(Replica(service, model=model, name="i-other"))
        await all_ready(found, service, 2)
        for node in range(2):
            await found.wait_until_served(path, node=node)
        tired.rest, tired.trouble = rest, Trouble.SHED
        statuses = await load(found, path, 3.0, model)
        assert tired.away_at
        assert most_in_a_rest(tired, float(rest)) <= ARRIVE_MOST
        assert statuses == [200] * len(statuses)


async def test_where_all_endpoints_want_rest_a_request_is_refused_at_once_with_the_time() -> None:
    async with world(nodes=2) as found:
        desk = found.replicas[1]
        for node in range(2):
            await found.wait_until_served("/ask/x", node=node)
        desk.rest, desk.trouble = "6", Trouble.SHED
        await found.send_request("/ask/x")
        arrived = len(desk.arrived)
        desk.trouble = Trouble.NONE
        answers = [await found.send_request("/ask/x") for _ in range(3)]
        assert [answer.status for answer in answers] == [503] * 3
        assert all(1.0 < float(answer.headers["retry-after"]) <= 6.0 for answer in answers)
        assert len(desk.arrived) == arrived
        # The other instance was not asked for rest.
        assert (await found.send_request("/ask/x", node=1)).status == 200


async def test_an_endpoint_is_used_again_when_its_rest_is_over() -> None:
    async with world(nodes=1) as found:
        desk = found.replicas[1]
        await found.wait_until_served("/ask/x")
        desk.rest, desk.trouble = "1", Trouble.SHED
        assert (await found.send_request("/ask/x")).status == 503
        desk.trouble = Trouble.NONE
        await found.wait_until_served("/ask/x")


async def test_a_holder_gives_no_orders_while_its_engine_wants_rest() -> None:
    async with world(nodes=2) as found:
        engine = found.replicas[0]
        await found.add_replica(Replica("llm", model="m", name="i-other"))
        await all_ready(found, "llm", 2)
        await until_true(lambda: found.recorded_owner("i-llm") and found.recorded_owner("i-other"))
        holder = int(found.recorded_owner("i-llm").removeprefix("edge-"))
        for node in range(2):
            await found.wait_until_served("/write/x", node=node, adapter="a")
        engine.rest, engine.trouble = "2.5", Trouble.SHED

        async def asked() -> bool:
            await found.send_request("/write/x", node=holder, X_Model="m")
            return bool(engine.away_at)

        await until(asked)
        engine.trouble = Trouble.NONE
        end = time.monotonic() + 2.5
        statuses: list[int] = []
        # The other instance, which was not asked for rest, needs adapters all the while.
        while time.monotonic() < end:
            adapter = f"rare{len(statuses)}"
            statuses.append(
                (await found.send_request("/write/x", node=1 - holder, adapter=adapter)).status
            )
        assert most_in_a_rest(engine, 2.5) == 0
        assert statuses == [200] * len(statuses)
