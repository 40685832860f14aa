"""Requests that may run once, at endpoints whose refusals come again late or name no request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from gateway_world import STEP, World, until_true, world
from loguru import logger
from standins.replica import Replica

MAX_WARM_UP = 300  # Requests; no bound under test.
RUN_TIME = 0.4  # Seconds that an endpoint takes for a request.


@dataclass
class Deployment:
    """A deployment whose endpoints refuse what they are told to refuse."""

    world: World
    replicas: list[Replica]

    async def warm_up(self, path: str, adapter: str) -> None:
        """Sends requests until one is answered: connections, owner and adapter are there then."""
        for _ in range(MAX_WARM_UP):
            if (await self.world.send_request(path, adapter=adapter)).status == 200:
                return
            await asyncio.sleep(STEP)
        raise AssertionError("nothing is served")

    def executions(self, request_id: str) -> int:
        return sum(run.id == request_id for replica in self.replicas for run in replica.executed)


@asynccontextmanager
async def deployment(service: str, endpoints: int) -> AsyncIterator[Deployment]:
    """Starts an instance and some endpoints of one service, of which each takes its time."""
    async with world() as found:
        replicas = [one for one in found.replicas if one.service == service]
        for number in range(1, endpoints):
            replica = Replica(service, model=replicas[0].model, name=f"i-{service}-{number}")
            replicas.append(await found.add_replica(replica))
        [node] = found.nodes
        await until_true(lambda: len(node._endpoints.ready(service)) == endpoints)
        for replica in replicas:
            replica.answer_delay = RUN_TIME
        yield Deployment(found, replicas)


async def test_the_log_tells_over_which_connection_a_request_was_refused_and_by_which_answer() -> (
    None
):
    lines: list[dict[str, object]] = []
    async with deployment("desk", 1) as found:
        found.replicas[0].rejects_next = 1
        sink = logger.add(
            lambda line: lines.append({"event": line.record["message"], **line.record["extra"]}),
            level="INFO",
        )
        try:
            assert (await found.world.send_request("/book/x")).status == 200
        finally:
            logger.remove(sink)
    first, second = [line for line in lines if line["event"] == "sent"]
    [refusal] = [line for line in lines if line["event"] == "turned_away"]
    assert first["sent_before"] == 0
    assert (refusal["conn"], refusal["named"], refusal["resent"]) == (first["conn"], True, False)
    assert refusal["status"] == 503
    assert second["conn"]
