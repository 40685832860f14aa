"""Connections that an instance accepts in the moment in which it stops."""

from __future__ import annotations

import asyncio
import socket

import pytest
from gateway_world import HOST, World, world
from wigeonarch_gateway.http_server import HttpServer
from wigeonarch_gateway.node import DRAIN_POLL_INTERVAL

EVENTS = 100
REQUEST = (
    f"POST /write/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: last\r\nX-Model: m/a1\r\n"
    "X-Token-Counts: 100,20\r\nX-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
).encode()


@pytest.mark.parametrize("delay", [0.0, 0.4 * DRAIN_POLL_INTERVAL])
async def test_request_on_a_connection_accepted_as_the_instance_stops_is_not_cut_off(
    delay: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/write/x", adapter="a1")
        engine = deployment.replicas[0]
        engine.events = EVENTS
        engine.executed.clear()
        answers = ask_while_stopping(deployment, delay, monkeypatch)
        deployment.nodes[0].stop()
        await deployment.tasks[0]
        end_process(deployment)
        answer = await answers[0]
        assert len(engine.executed) == 1
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.count(b"data: piece") == EVENTS
        assert answer.endswith(b"0\r\n\r\n")


def end_process(deployment: World) -> None:
    """Ends what the end of the process would end."""
    for conn in list(deployment.nodes[0]._http_server._aiohttp_server.connections):
        if conn.transport is not None:
            conn.transport.abort()


def ask_while_stopping(
    deployment: World, delay: float, monkeypatch: pytest.MonkeyPatch
) -> list[asyncio.Task[bytes]]:
    """Lets an instance accept a connection in the pass in which it stops accepting.

    The event loop has accepted it by then, and hands it to the server right after the pass.

    Returns:
        The task of its caller, which sends a request after `delay` seconds; none before the pass.
    """
    server = deployment.nodes[0]._http_server
    stop_accepting = HttpServer.stop_accepting
    callers: list[asyncio.Task[bytes]] = []

    def accept_one_more(self: HttpServer) -> object:
        result = stop_accepting(self)
        if self is server and not callers:
            callers.append(asyncio.create_task(ask(self, delay)))
        return result

    monkeypatch.setattr(HttpServer, "stop_accepting", accept_one_more)
    return callers


async def ask(server: HttpServer, delay: float) -> bytes:
    """Sends a request on a connection of its own; returns all bytes of the response."""
    caller, accepted = socket.socketpair()
    loop = asyncio.get_running_loop()
    await loop.connect_accepted_socket(server._connections, accepted)
    reader, writer = await asyncio.open_connection(sock=caller)
    await asyncio.sleep(delay)
    writer.write(REQUEST)
    received = bytearray()
    try:
        while data := await reader.read(65_536):
            received += data
    except ConnectionError:
        pass  # What has arrived until then is returned.
    finally:
        writer.close()
    return bytes(received)
