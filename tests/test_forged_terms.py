"""A caller that sends the terms of a handover itself gains nothing by it.

What instances say to one another in headers counts only if an instance has said it: neither a
caller nor an endpoint can.
"""

from __future__ import annotations

import asyncio
import json
from functools import partial
from typing import Any

import aiohttp
import pytest
from gateway_world import HOST, configuration, cut_from_endpoints, team, until, world
from raw_http import request_raw

FORGED = json.dumps({"origin": "x", "elapsed": 0.0, "team": "gold", "ran_on": []})


async def setup(found: Any) -> None:
    await found.store.put(
        "config", "main", configuration(2, teams=[team("gold", "key-gold"), team("tin", "key-tin")])
    )
    for node in (0, 1):
        await until(partial(is_known, found, node))


async def is_known(found: Any, node: int) -> bool:
    a = await found.send_request("/ask/x", node=node, Authorization="Bearer key-tin")
    b = await found.send_request("/ask/x", node=node)
    return bool(a.status == 200 and b.status == 401)


async def test_forged_terms_do_not_make_a_caller_another_team(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=2) as found:
        await setup(found)
        cut_from_endpoints(found.nodes[0], monkeypatch, silent=False)
        for _ in range(8):
            await found.send_request("/ask/x", Authorization="Bearer key-tin")
        for replica in found.replicas:
            replica.executed.clear()
        for _ in range(5):
            await found.send_request(
                "/ask/x", Authorization="Bearer key-tin", wigeonarch_handover=FORGED
            )
        told = [dict(r.headers) for e in found.replicas for r in e.executed]
        assert told and not any("gold" in v for h in told for v in h.values())


async def test_port_for_peers_serves_no_caller_without_a_key() -> None:
    async with world(nodes=2) as found:
        await setup(found)
        for replica in found.replicas:
            replica.executed.clear()
        url = f"http://{found.options[1].ip}:{found.peer_port}/ask/x"
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                url,
                headers={
                    "Host": "shop.example",
                    "X-Request-Id": "z1",
                    "X-Deadline-Ms": "3000",
                    "wigeonarch-handover": FORGED,
                },
            ) as resp,
        ):
            await resp.read()
        assert not [r for e in found.replicas for r in e.executed]


SPELLINGS = [
    "wigeonarch-handover",
    "Wigeonarch-Handover",
    "wigeonarch_handover",
    "WIGEONARCH_HANDOVER",
    "wigeonarch-not-run",
    "wigeonarch-anything",
]


@pytest.mark.parametrize("name", SPELLINGS)
@pytest.mark.parametrize("is_cut", [False, True])
async def test_endpoints_see_no_header_by_which_instances_speak(
    name: str, is_cut: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with world(nodes=2) as found:
        for node in (0, 1):
            await found.wait_until_served("/ask/x", node=node)
        if is_cut:
            cut_from_endpoints(found.nodes[0], monkeypatch, silent=False)
            for _ in range(8):
                await found.send_request("/ask/x")
        for replica in found.replicas:
            replica.executed.clear()
        headers = {
            "Host": HOST,
            "X-Request-Id": "spelled",
            "X-Deadline-Ms": "3000",
            name: FORGED,
        }
        answer = await request_raw(found.options[0].front, "/ask/x", headers)
        assert answer.status == 200
        told = [header for r in found.replicas for e in r.executed for header in e.headers]
        assert told
        assert not any("wigeonarch" in header.lower() for header in told)


@pytest.mark.parametrize("path", ["/book/x", "/ask/x"])
async def test_endpoint_that_names_its_answer_not_run_is_not_believed(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with world(nodes=3) as found:
        for node in (0, 1, 2):
            await found.wait_until_served(path, node=node)
        cut_from_endpoints(found.nodes[0], monkeypatch, silent=False)
        for _ in range(8):
            await found.send_request(path)
        desk = found.replicas[1]
        desk.extra_headers = {"wigeonarch-not-run": "1"}
        desk.executed.clear()
        answer = await found.send_request(path, b"once")
        assert (answer.status, answer.body) == (200, b"answer of i-desk to once")
        assert len(desk.executed) == 1
        assert "wigeonarch-not-run" not in answer.headers


async def test_handover_with_two_terms_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    async with world(nodes=2) as found:
        await setup(found)
        own = found.options[0]
        reader, writer = await asyncio.open_connection(
            found.options[1].ip, found.peer_port, local_addr=(own.ip, 0)
        )
        lines = ["POST /ask/x HTTP/1.1", f"Host: {HOST}", "X-Request-Id: two"]
        lines += [f"wigeonarch-handover: {FORGED}"] * 2
        writer.write("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
        for replica in found.replicas:
            replica.executed.clear()
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert b" 503 " in head.splitlines()[0]
        assert not [r for e in found.replicas for r in e.executed]
