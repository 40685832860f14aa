"""Requests that may run once, at endpoints whose refusals come again late or name no request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
from gateway_world import STEP, World, until_true, world
from loguru import logger
from standins.replica import LateCopies, Replica

MAX_WARM_UP = 300  # Requests; no bound under test.
RUN_TIME = 0.4  # Seconds that an endpoint takes for a request.
REFUSALS = {408, 421, 429, 503}
CUT = 30  # Bytes after which a copy of a refusal breaks off, within its head.


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


COPIES = {
    "soon": LateCopies(delay=0.15),
    "late": LateCopies(delay=0.3),
    "when_the_answer_is_due": LateCopies(delay=None),
    "two": LateCopies(2, delay=0.15),
    "two_when_the_answer_is_due": LateCopies(2, delay=None),
    "cut": LateCopies(delay=0.3, size=CUT),
    "after_the_answer": LateCopies(delay=2.0),
    "unnamed": LateCopies(delay=0.3, named=False),
}
# Path and adapter of requests that may run once, and the service that they go to.
ROUTES = {"plain": ("/book/x", "", "desk"), "stream": ("/write/x", "a1", "llm")}


@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize("endpoints", [1, 3])
@pytest.mark.parametrize("copies", COPIES)
async def test_a_request_runs_once_and_is_not_refused_although_its_refusal_comes_again(
    copies: str, endpoints: int, route: str
) -> None:
    path, adapter, service = ROUTES[route]
    async with deployment(service, endpoints) as found:
        await found.warm_up(path, adapter)
        for replica in found.replicas:
            replica.rejects_next, replica.late_copies = 1, COPIES[copies]
        answer = await found.world.send_request(path, adapter=adapter)
        ran = found.executions(f"r{found.world.sent}")
        assert (answer.status, ran) == (200, 1)


@pytest.mark.parametrize("copies", ["late", "unnamed"])
async def test_a_refusal_of_another_request_that_comes_again_refuses_no_other(copies: str) -> None:
    async with deployment("desk", 1) as found:
        [replica] = found.replicas
        [node] = found.world.nodes
        replica.rejects_next, replica.late_copies = 1, COPIES[copies]
        node._retries._allowance = 0.0  # So that the first request is refused.
        first = await found.world.send_request("/book/x")
        assert first.status == 503
        second = await found.world.send_request("/book/x")
        ran = found.executions(f"r{found.world.sent}")
        assert ran <= 1
        assert second.status not in REFUSALS or not ran


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
    assert (refusal["conn"], refusal["named"]) == (first["conn"], True)
    assert refusal["status"] == 503
    assert second["conn"] != first["conn"]
