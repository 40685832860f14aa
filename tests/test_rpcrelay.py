"""The relay before the RPC server passes all on, and reads no more than its server takes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from wigeonarch_entry.rpcframes import DATA, END_HEADERS, END_STREAM, HEADERS, PREFACE_BYTES
from wigeonarch_entry.rpcrelay import RpcRelay
from wigeonarch_runtime.caller_memory import CallerMemory
from wigeonarch_runtime.guarded_server import EndReason, ServerBounds

WAIT = 20.0  # Seconds after which waiting fails; it is no bound under test.
PREFACE = b"p" * PREFACE_BYTES


def frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    return len(payload).to_bytes(3) + bytes([kind, flags]) + stream.to_bytes(4) + payload


@dataclass
class Relay:
    """A relay before a server that records what it gets, once it may read."""

    port: int
    memory: CallerMemory
    ended: list[EndReason]
    may_read: asyncio.Event = field(default_factory=asyncio.Event)
    received: bytearray = field(default_factory=bytearray)
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await self.may_read.wait()
        while data := await reader.read(65_536):
            self.received += data

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)


@asynccontextmanager
async def running(
    connections: int = 10, limit: int = 10_000_000, head_time: float = WAIT
) -> AsyncIterator[Relay]:
    memory, ended = CallerMemory(lambda: limit), list[EndReason]()
    bounds = ServerBounds(connections, head_bytes=10_000, head_time=head_time)
    relay = RpcRelay(memory, bounds, ended.append)
    found = Relay(0, memory, ended)
    server = await asyncio.start_unix_server(found.serve, relay.path)
    await relay.listen("127.0.0.1:0")
    assert relay._server is not None
    found.port = relay._server.sockets[0].getsockname()[1]
    try:
        yield found
    finally:
        found.may_read.set()
        relay.close()
        server.close()
        for writer in found.writers:
            writer.transport.abort()


async def until_received(relay: Relay, size: int) -> None:
    async with asyncio.timeout(WAIT):
        while len(relay.received) < size:  # noqa: ASYNC110 - it grows as the sockets are read.
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("seed", range(5))
async def test_bytes_in_any_pieces_are_passed_on(seed: int) -> None:
    rng = random.Random(seed)
    data = PREFACE + b"".join(
        frame(HEADERS, END_HEADERS, 2 * n + 1, b"h" * 40)
        + frame(DATA, END_STREAM, 2 * n + 1, rng.randbytes(rng.choice([0, 10, 16_000])))
        for n in range(40)
    )
    async with running() as relay:
        relay.may_read.set()
        _, writer = await relay.connect()
        at = 0
        while at < len(data):
            step = rng.choice([1, 30, 5000, 60_000])
            writer.write(data[at : at + step])
            at += step
            await asyncio.sleep(0)
        await until_received(relay, len(data))
        assert bytes(relay.received) == data
        writer.close()


async def test_no_more_is_read_than_the_server_takes() -> None:
    async with running() as relay:
        _, writer = await relay.connect()
        # Frames that belong to no call, so that they count for nobody.
        data = PREFACE + frame(DATA, 0, 1, b"x" * 16_000) * 2000
        writer.write(data)
        sending = asyncio.create_task(writer.drain())
        await asyncio.sleep(0.5)
        assert not sending.done()
        relay.may_read.set()
        await sending
        await until_received(relay, len(data))
        writer.close()


async def test_large_whole_messages_leave_room_for_small_ones() -> None:
    async with running(connections=30, limit=1_000_000) as relay:
        relay.may_read.set()
        writers = [(await relay.connect())[1] for _ in range(12)]
        for writer in writers:
            call = frame(HEADERS, END_HEADERS, 1, b"h") + frame(DATA, END_STREAM, 1, b"x" * 40_000)
            writer.write(PREFACE + call)
        async with asyncio.timeout(WAIT):
            while len(relay.ended) < 6:  # noqa: ASYNC110 - it is a list.
                await asyncio.sleep(0.01)
        # 750,000 bytes for whole ones, of which each message counts for 120,000.
        assert relay.ended == [EndReason.NO_ROOM] * 6
        _, small = await relay.connect()
        call = frame(HEADERS, END_HEADERS, 1, b"h") + frame(DATA, END_STREAM, 1, b"y" * 1000)
        before = len(relay.received)
        small.write(PREFACE + call)
        await until_received(relay, before + len(PREFACE + call))
        assert len(relay.ended) == 6


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (frame(HEADERS, 0, 1, b"h" * 9000) + frame(9, 0, 1, b"h" * 2000), EndReason.HEAD_TOO_LARGE),
        (frame(HEADERS, END_HEADERS, 1, b"h"), EndReason.HEAD_TOO_SLOW),
        (
            frame(HEADERS, END_HEADERS, 1, b"h") + frame(DATA, 0, 1, b"x" * 60_000),
            EndReason.NO_ROOM,
        ),
    ],
)
async def test_connection_that_holds_too_much_or_for_too_long_is_ended(
    data: bytes, reason: EndReason
) -> None:
    async with running(limit=100_000, head_time=0.3) as relay:
        reader, writer = await relay.connect()
        writer.write(PREFACE + data)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            async with asyncio.timeout(WAIT):
                await reader.readexactly(1)
        assert relay.ended == [reason]
        assert relay.memory.held == 0


async def test_longest_idle_connection_is_ended_for_a_new_one() -> None:
    async with running(connections=2) as relay:
        relay.may_read.set()
        first, _ = await relay.connect()
        await relay.connect()
        _, writer = await relay.connect()
        writer.write(PREFACE)
        await until_received(relay, len(PREFACE))
        assert relay.ended == [EndReason.TOO_MANY]
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await first.readexactly(1)
