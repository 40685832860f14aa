"""An answer whose head breaks off is no answer, whoever reads it and wherever it breaks off."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager

import pytest
from gateway_world import World, cut_from_endpoints, until_true, world
from standins.replica import Ending, Framing, Replica, ResponseEnd
from wigeonarch_core.lifecycle import Event
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_entry.engines import EngineClient, Generation, StreamBroken
from wigeonarch_entry.services import CallBroken, ServiceCall, ServiceClient
from wigeonarch_gateway.connections import Connection, ConnectionLost
from wigeonarch_gateway.ports import ObjectKind, Unavailable
from wigeonarch_platform.store import Store

STATUS = b"HTTP/1.1 200 OK\r\n"
NAMED = b"X-Request-Id: r1\r\nX-Server-Stamp: s\r\n"
HEADS = {
    "length": STATUS + NAMED + b"Content-Type: application/json\r\nContent-Length: 10\r\n\r\n",
    "empty": STATUS + NAMED + b"Content-Length: 0\r\n\r\n",
    "chunks": STATUS + NAMED + b"Transfer-Encoding: chunked\r\n\r\n",
    "connection": STATUS + NAMED + b"Connection: close\r\n\r\n",
    "stream": STATUS + NAMED + b"Content-Type: text/event-stream\r\n\r\n",
    "no_content": b"HTTP/1.1 204 None\r\n" + NAMED + b"\r\n",
    "bare": STATUS + b"\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + STATUS + NAMED + b"Content-Length: 0\r\n\r\n",
    "refusal": b"HTTP/1.1 503 Busy\r\n" + NAMED + b"X-Not-Executed: 1\r\n\r\n",
}


class Part:
    """The part of a head that an endpoint sends now."""

    def __init__(self) -> None:
        self.data = b""

    def grow(self, head: str) -> Iterator[int]:
        """Yields the size of each part of a head that breaks off within it, which is sent then."""
        for size in range(len(HEADS[head])):
            self.data = HEADS[head][:size]
            yield size


@asynccontextmanager
async def cutting_endpoint(part: Part, reset: bool = False) -> AsyncIterator[str]:
    """Sends a part of a head on each connection, then closes or resets it; yields the address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(part.data)
        await writer.drain()
        if reset:
            await asyncio.sleep(0.005)  # So that the bytes arrive before the reset.
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("head", HEADS)
async def test_a_connection_to_an_endpoint_takes_no_part_of_a_head_for_an_answer(
    head: str, reset: bool
) -> None:
    loop = asyncio.get_running_loop()
    part = Part()
    async with cutting_endpoint(part, reset) as address:
        host, _, port = address.rpartition(":")
        for _ in part.grow(head):
            _, conn = await loop.create_connection(lambda: Connection(loop), host, int(port))
            conn.send_request(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", None)
            with pytest.raises(ConnectionLost):
                await conn.read_head()
            assert not conn.finish()


@pytest.mark.parametrize("head", HEADS)
async def test_the_store_client_takes_no_part_of_a_head_for_an_answer(head: str) -> None:
    part = Part()
    async with cutting_endpoint(part) as address:
        store = Store(address)
        for size in part.grow(head):
            for found in (
                await store.get(ObjectKind.CONFIGURATION, "main"),
                await store.list(ObjectKind.ENDPOINTS),
                await store.watch(ObjectKind.ENDPOINTS, 1, 0.1),
                await store.create(ObjectKind.LEASES, "e", {}),
            ):
                assert isinstance(found, Unavailable), (size, found)
                assert not found.no_effect
            assert not await store.remove(ObjectKind.LEASES, "e", 1), size
        await store.close()


@pytest.mark.parametrize("head", HEADS)
async def test_the_entry_instance_takes_no_part_of_a_head_for_an_answer(head: str) -> None:
    gen = Generation("d", AdapterVersion("s", "a", "v"), "p", 1, 0, 5.0)
    services, engines = ServiceClient(1.0), EngineClient(1.0)
    part = Part()
    async with cutting_endpoint(part) as address:
        for size in part.grow(head):
            for idempotent in (False, True):
                call = ServiceCall("d-1", "look", b"{}", "", idempotent, 5.0)
                reply = await services.call(address, call)
                assert isinstance(reply, CallBroken), (size, reply)
                assert reply.event is Event.LOST
            items = [item async for item in engines.generate(address, gen, 1.0, 1.0, lambda: True)]
            assert [type(item) for item in items] == [StreamBroken], (size, items)
            assert await engines.report(address, 1.0) is None
    await services.close()
    await engines.close()


# Bytes of the head of an answer that are sent, from its end if negative.
HEAD_SIZES = {"nothing": 0, "status": 12, "status_line": 18, "headers": -20, "last_line": -2}
HEAD_SIZES |= {"all_but_one": -1}


@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("over_peer", [False, True])
async def test_callers_get_no_answer_whose_head_broke_off(
    over_peer: bool, framing: Framing, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with world(nodes=1 + over_peer) as deployment:
        for path, adapter in (("/book/x", ""), ("/write/x", "a1")):
            await deployment.wait_until_served(path, adapter=adapter)
        if over_peer:
            cut_from_endpoints(deployment.nodes[0], monkeypatch, silent=False)
        for path, adapter in (("/book/x", ""), ("/write/x", "a1")):
            replica = deployment.replicas[0 if adapter else 1]
            for size in (HEAD_SIZES["status_line"], HEAD_SIZES["last_line"]):
                replica.response_end = ResponseEnd(framing, Ending.CLOSED, None, size)
                await _expect_no_answer(deployment, replica, path, adapter)


async def _expect_no_answer(deployment: World, replica: Replica, path: str, adapter: str) -> None:
    """Sends requests until the endpoint runs one; after a lost one it is paused for a moment."""
    replica.executed.clear()
    while not replica.executed:
        answer = await deployment.send_request(path, adapter=adapter)
    assert answer.status == 502
    assert len(replica.executed) == 1


@pytest.mark.parametrize("size", HEAD_SIZES)
async def test_a_request_that_may_be_repeated_goes_on_after_a_head_that_broke_off(
    size: str,
) -> None:
    async with world() as deployment:
        await deployment.add_replica(Replica("desk", name="i-desk2"))
        await until_true(lambda: len(deployment.nodes[0]._endpoints.ready("desk")) == 2)
        bad, good = deployment.replicas[1:]
        bad.response_end = ResponseEnd(Framing.LENGTH, Ending.CLOSED, None, HEAD_SIZES[size])
        while not bad.executed:
            answer = await deployment.send_request("/ask/x")
            assert (answer.status, answer.body) == (200, b"answer of i-desk2 to ")
        assert good.executed
