"""A peer that has no room for a request says so, and the request goes to another or is refused."""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial

import pytest
from gateway_world import World, cut_from_endpoints, until, world

ASKED = 6
BODY_BYTES = 90_000


async def lose_way_beside_a_full_peer(deployment: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Cuts the first instance off from all endpoints; the second one holds nothing more."""
    cut_from_endpoints(deployment.nodes[0], monkeypatch, silent=False)

    async def is_handed_over(path: str) -> bool:
        answer = await deployment.send_request(path)
        return answer.status == 200 and 'handovers_total{direction="out"' in (
            await deployment.metrics()
        )

    await until(partial(is_handed_over, "/ask/x"))
    monkeypatch.setattr(deployment.nodes[1]._caller_memory, "_limit", lambda: 0)
    for replica in deployment.replicas:
        replica.executed.clear()


@pytest.mark.parametrize(("nodes", "status"), [(3, 200), (2, 503)])
async def test_request_for_which_a_peer_has_no_room_runs_elsewhere_once_or_is_refused(
    monkeypatch: pytest.MonkeyPatch, nodes: int, status: int
) -> None:
    async with world(nodes=nodes) as deployment:
        await lose_way_beside_a_full_peer(deployment, monkeypatch)
        bodies = [b"%d" % number + b"x" * BODY_BYTES for number in range(ASKED)]
        answers = [await deployment.send_request("/book/x", body) for body in bodies]
        assert [answer.status for answer in answers] == [status] * ASKED
        runs = Counter(run.body for replica in deployment.replicas for run in replica.executed)
        assert runs == (dict.fromkeys(bodies, 1) if status == 200 else {})


async def test_body_of_a_stranger_at_the_port_for_peers_is_not_awaited() -> None:
    async with world(nodes=1) as deployment:
        host = deployment.options[0].ip
        reader, writer = await asyncio.open_connection(host, deployment.peer_port)
        writer.write(b"POST /ask/x HTTP/1.1\r\nHost: x\r\nContent-Length: 90000\r\n\r\nx")
        async with asyncio.timeout(10.0):
            head = await reader.readuntil(b"\r\n\r\n")
        assert b" 403 " in head
        assert b"connection: close" in head.lower()
        writer.close()
