"""Requests at an instance that has lost its way to the endpoints, while others reach them.

Callers, the store and the other instances still reach it. Its connections to endpoints fail at
once, or hang.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from gateway_world import World, cut_from_endpoints, until, world

# First requests at the instance, in which it may learn that its way is lost.
LEARNING = 6
ASKED = 20


async def lose_way(deployment: World, monkeypatch: pytest.MonkeyPatch, silent: bool) -> None:
    """Cuts instance 0 from all endpoints, and waits until requests have shown it."""
    for node in range(len(deployment.nodes)):
        await deployment.wait_until_served("/ask/x", node=node)
        await deployment.wait_until_served("/write/x", node=node, adapter="a1")
    cut_from_endpoints(deployment.nodes[0], monkeypatch, silent)
    for path, adapter in (("/ask/x", ""), ("/write/x", "a1")):
        for _ in range(LEARNING):
            await deployment.send_request(path, adapter=adapter)


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize(
    ("path", "adapter"), [("/ask/x", ""), ("/book/x", ""), ("/write/x", "a1"), ("/draft/x", "a1")]
)
async def test_requests_are_served_although_their_instance_reaches_no_endpoint(
    path: str, adapter: str, silent: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with world(nodes=2) as deployment:
        await lose_way(deployment, monkeypatch, silent)
        for replica in deployment.replicas:
            replica.executed.clear()
        requests = (deployment.send_request(path, b"%d" % n, adapter=adapter) for n in range(ASKED))
        answers = await asyncio.gather(*requests)
        assert Counter((answer.status, answer.complete) for answer in answers) == {
            (200, True): ASKED
        }
        runs = Counter(s.body for replica in deployment.replicas for s in replica.executed)
        assert runs == {b"%d" % n: 1 for n in range(ASKED)}


async def test_instance_serves_by_itself_again_when_its_way_is_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=2) as deployment:
        await lose_way(deployment, monkeypatch, silent=True)
        monkeypatch.undo()
        desk = deployment.replicas[1]

        async def is_sent_directly() -> bool:
            desk.executed.clear()
            answer = await deployment.send_request("/ask/x")
            return answer.status == 200 and desk.executed[-1].peer == deployment.options[0].ip

        await until(is_sent_directly)
