"""Timeouts of waits whose data arrives while the process stands still."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Awaitable, Callable, Iterator

import pytest
import uvloop
from gateway_world import world
from test_gateway_limits import add_replica_beside_a_limited_one
from wigeonarch_core.lifecycle import Event
from wigeonarch_core.outcomes import Reason
from wigeonarch_entry.services import CallBroken, ServiceCall, ServiceClient
from wigeonarch_gateway.pools import CONNECT_TIMEOUT, ConnectionPools
from wigeonarch_gateway.ports import EndpointRecord, EndpointState
from wigeonarch_runtime.timeouts import timeout_after

LOOPS = pytest.mark.parametrize(
    "loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["asyncio", "uvloop"]
)
TIMEOUT = 0.2  # Seconds; the timeout under test.
ANSWER_AFTER = 0.05  # Seconds until the other side answers.
STANDSTILL = 0.4  # Seconds for which the event loop is blocked.

Task = Callable[[], Awaitable[None]]


def run(loop_factory: Callable[[], asyncio.AbstractEventLoop], main: Task) -> None:
    async def call() -> None:
        await main()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(call())


@pytest.fixture
def server() -> Iterator[socket.socket]:
    """Yields a listening socket; a thread answers each connection's first bytes a moment later."""
    listener = socket.create_server(("127.0.0.1", 0))

    def answer() -> None:
        while True:
            try:
                conn, _ = listener.accept()
            except OSError:
                return
            with conn:
                if conn.recv(100):
                    time.sleep(ANSWER_AFTER)
                    conn.sendall(b"answer")
                conn.recv(100)

    thread = threading.Thread(target=answer, daemon=True)
    thread.start()
    yield listener
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()


@LOOPS
@pytest.mark.parametrize("blocked_after", [0.0, 0.02, 0.1])
def test_response_that_arrives_while_the_process_stands_still_is_read(
    server: socket.socket,
    loop_factory: Callable[[], asyncio.AbstractEventLoop],
    blocked_after: float,
) -> None:
    async def main() -> None:
        reader, writer = await asyncio.open_connection(*server.getsockname())
        writer.write(b"question")
        asyncio.get_running_loop().call_later(blocked_after, time.sleep, STANDSTILL)
        async with timeout_after(TIMEOUT):
            # Nested tasks, as in clients of outside systems.
            found = await asyncio.gather(asyncio.create_task(reader.readexactly(6)))
        assert found[0] == b"answer"
        writer.close()

    run(loop_factory, main)


@LOOPS
@pytest.mark.parametrize("blocked_after", [0.0, 0.0001, 0.0003, 0.001])
def test_connection_that_opens_while_the_process_stands_still_is_used(
    server: socket.socket,
    loop_factory: Callable[[], asyncio.AbstractEventLoop],
    blocked_after: float,
) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        pools = ConnectionPools(loop, "")
        host, port = server.getsockname()
        record = EndpointRecord("e", "desk", f"{host}:{port}", "a", 1, EndpointState.READY, ())
        for _ in range(5):
            loop.call_later(blocked_after, time.sleep, CONNECT_TIMEOUT + 0.05)
            conn = await pools.acquire(record)
            assert conn is not None
            conn.close()

    run(loop_factory, main)


@LOOPS
@pytest.mark.parametrize("standstill", [0.0, STANDSTILL])
def test_silence_ends_the_wait(
    loop_factory: Callable[[], asyncio.AbstractEventLoop], standstill: float
) -> None:
    async def main() -> None:
        if standstill:
            asyncio.get_running_loop().call_soon(time.sleep, standstill)
        with pytest.raises(TimeoutError):
            async with timeout_after(TIMEOUT):
                await asyncio.Event().wait()
        # The task is not cancelled for anything else.
        await asyncio.sleep(0)
        async with timeout_after(None):
            await asyncio.sleep(0.01)

    run(loop_factory, main)


@LOOPS
@pytest.mark.parametrize("iterations", range(16))
def test_cancellation_near_the_expiry_is_not_lost(
    loop_factory: Callable[[], asyncio.AbstractEventLoop], iterations: int
) -> None:
    async def wait() -> None:
        async with timeout_after(0.01):
            await asyncio.Event().wait()

    async def main() -> None:
        task = asyncio.create_task(wait())
        await asyncio.sleep(0.01)
        for _ in range(iterations):
            await asyncio.sleep(0)
        was_waiting = task.cancel()
        with pytest.raises((asyncio.CancelledError, TimeoutError)) as raised:
            await task
        assert not was_waiting or raised.type is asyncio.CancelledError

    run(loop_factory, main)


async def test_standstill_while_connecting_does_not_pause_the_endpoint_without_a_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=1) as deployment:
        other, node = await add_replica_beside_a_limited_one(deployment), deployment.nodes[0]
        loop, open_connection = asyncio.get_running_loop(), ConnectionPools._open

        async def open_in_a_standstill(pools: ConnectionPools, address: str) -> object:
            loop.call_soon(time.sleep, CONNECT_TIMEOUT + 0.05)
            return await open_connection(pools, address)

        monkeypatch.setattr(ConnectionPools, "_open", open_in_a_standstill)
        answers = []
        for _ in range(8):
            node._pools.forget(other.name)
            answers.append(await deployment.send_request("/ask/x"))
        assert [answer for answer in answers if answer.status != 200] == []


async def test_gateway_sends_nothing_after_a_standstill_beyond_the_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=1) as deployment:
        await deployment.wait_until_served("/ask/x")
        desk, node = deployment.replicas[1], deployment.nodes[0]
        loop, open_connection = asyncio.get_running_loop(), ConnectionPools._open

        async def open_in_a_standstill(pools: ConnectionPools, address: str) -> object:
            loop.call_soon(time.sleep, STANDSTILL)
            return await open_connection(pools, address)

        monkeypatch.setattr(ConnectionPools, "_open", open_in_a_standstill)
        node._pools.forget(desk.name)
        before = len(desk.received)
        answer = await deployment.send_request("/ask/x", X_Deadline_Ms=str(int(TIMEOUT * 1000)))
        assert answer.status != 200
        assert len(desk.received) == before


@LOOPS
def test_entry_instance_calls_no_service_after_a_standstill_beyond_the_deadline(
    server: socket.socket, loop_factory: Callable[[], asyncio.AbstractEventLoop]
) -> None:
    async def main() -> None:
        client = ServiceClient(1.0)
        host, port = server.getsockname()
        asyncio.get_running_loop().call_soon(time.sleep, STANDSTILL)
        call = ServiceCall("d", "op", b"{}", "", False, TIMEOUT)
        reply = await client.call(f"{host}:{port}", call)
        await client.close()
        assert reply == CallBroken(Event.REFUSED, Reason.DEADLINE)

    run(loop_factory, main)


@pytest.fixture
def full_listener() -> Iterator[socket.socket]:
    """Yields a listening socket whose queue is full, so that no further connection opens."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    waiting = [socket.socket() for _ in range(3)]
    for sock in waiting:
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
    yield listener
    for sock in waiting:
        sock.close()
    listener.close()


@LOOPS
@pytest.mark.parametrize("idempotent", [True, False])
def test_call_whose_time_ends_before_it_was_sent_has_not_run(
    full_listener: socket.socket,
    loop_factory: Callable[[], asyncio.AbstractEventLoop],
    idempotent: bool,
) -> None:
    async def main() -> None:
        client = ServiceClient(30 * TIMEOUT)
        host, port = full_listener.getsockname()
        call = ServiceCall("d", "op", b"{}", "", idempotent, TIMEOUT)
        reply = await client.call(f"{host}:{port}", call)
        await client.close()
        assert reply == CallBroken(Event.REFUSED, Reason.DEADLINE)

    run(loop_factory, main)
