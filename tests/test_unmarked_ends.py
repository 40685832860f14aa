"""Answers whose end only their connection marks, as the HTTP clients of both instances read them.

Guards against taking a connection that was reset, or that the process closed itself, for the end.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from wigeonarch_core.lifecycle import Event
from wigeonarch_entry.services import CallBroken, ServiceCall, ServiceClient, ServiceReply
from wigeonarch_gateway.connections import Connection, ConnectionLost
from wigeonarch_gateway.ports import ObjectKind, StoredObject, Unavailable
from wigeonarch_platform.store import Store

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"
OBJECT = b'{"metadata":{"name":"main","revision":3},"spec":{},"status":{}}'


@asynccontextmanager
async def endpoint(response: bytes, reset: bool) -> AsyncIterator[str]:
    """Serves one response to each connection, then closes or resets it; yields the address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await writer.drain()
        await asyncio.sleep(0.05)  # So that the bytes arrive before the reset.
        if reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


@pytest.mark.parametrize(
    ("reset", "expected"),
    [
        (False, ServiceReply(200, "{}")),
        (True, Event.LOST),
    ],
)
async def test_entry_instance_takes_no_reset_for_the_end_of_a_service_answer(
    reset: bool, expected: ServiceReply | Event
) -> None:
    client = ServiceClient(1.0)
    async with endpoint(HEAD + b"{}", reset) as address:
        call = ServiceCall("d-1", "look", b"{}", "", False, 5.0)
        reply = await client.call(address, call)
    await client.close()
    assert (reply.event if isinstance(reply, CallBroken) else reply) == expected


@pytest.mark.parametrize(("reset", "expected"), [(False, StoredObject), (True, Unavailable)])
async def test_store_client_takes_no_reset_for_the_end_of_an_answer(
    reset: bool, expected: type
) -> None:
    async with endpoint(HEAD + OBJECT, reset) as address:
        store = Store(address)
        found = await store.get(ObjectKind.CONFIGURATION, "main")
        await store.close()
    assert isinstance(found, expected)


async def test_connection_closed_by_this_process_does_not_complete_an_answer() -> None:
    loop = asyncio.get_running_loop()
    held = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"part")
        await held.wait()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        _, conn = await loop.create_connection(lambda: Connection(loop), "127.0.0.1", port)
        conn.send_request(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", None)
        await conn.read_head()
        while await conn.read() != b"part":
            pass
        rest = asyncio.create_task(conn.read())
        await asyncio.sleep(0)
        conn.close()
        with pytest.raises(ConnectionLost):
            await rest
        held.set()
