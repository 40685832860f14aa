"""An endpoint says in its answers that it leaves, while its entry in the store does not."""

from __future__ import annotations

import asyncio
import time

import pytest
from gateway_world import World, until, until_true, world
from standins.replica import Replica

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
    answers = [found.ask(path, node=n, X_Model=model) for n in range(len(found.nodes))]
    statuses.extend(answer.status for answer in await asyncio.gather(*answers))


@pytest.mark.parametrize("path", PLACES)
async def test_an_endpoint_whose_answer_said_that_it_leaves_gets_no_further_request(
    path: str,
) -> None:
    async with world(nodes=3) as found:
        leaving = await PLACES[path](found)
        statuses: list[int] = []
        for node in range(3):
            await found.served(path, node=node)
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
