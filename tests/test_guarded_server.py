"""A guarded server passes on exactly what callers send, and refuses in time what it can't hold."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from aiohttp import web
from wigeonarch_runtime.caller_memory import CallerMemory
from wigeonarch_runtime.guarded_server import (
    BodyRefusal,
    EndReason,
    GuardedServer,
    ServerBounds,
    Turns,
    connection_of,
    read_body,
)

MAX_BODY = 2_000_000
WAIT = 20.0  # Seconds after which waiting fails; it is no bound under test.


@dataclass
class Server:
    """A guarded server that sends bodies back."""

    bounds: ServerBounds
    memory: CallerMemory
    body_time: float = WAIT
    port: int = 0
    ended: list[EndReason] = field(default_factory=list)
    served: list[bytes] = field(default_factory=list)
    refused: list[BodyRefusal] = field(default_factory=list)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Sends the body back, or tells why it was refused."""
        try:
            body = await read_body(request, MAX_BODY, self.body_time)
            if isinstance(body, BodyRefusal):
                self.refused.append(body)
                return web.Response(status=503, text=body.value)
            self.served.append(body)
            connection_of(request).hold_answer(len(body))
            return web.Response(body=body)
        finally:
            connection_of(request).request_ended()


@asynccontextmanager
async def running(
    bounds: ServerBounds | None = None, limit: int = 16_000_000, body_time: float = WAIT
) -> AsyncIterator[Server]:
    server = Server(bounds or ServerBounds(100), CallerMemory(lambda: limit), body_time)
    web_server = web.Server(server.handle, handler_cancellation=True)
    options = {"lingering_time": 0.2}
    guarded = GuardedServer(
        web_server, server.memory, lambda: server.bounds, options, server.ended.append
    )
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(guarded, "127.0.0.1", 0)
    server.port = listening.sockets[0].getsockname()[1]
    try:
        yield server
    finally:
        listening.close()
        await web_server.shutdown(0.1)


async def connect(server: Server) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", server.port)


async def read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    async with asyncio.timeout(WAIT):
        head = await reader.readuntil(b"\r\n\r\n")
        length = next(
            int(line.partition(b":")[2])
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"content-length:")
        )
        return int(head.split(b" ")[1]), await reader.readexactly(length)


def encode(body: bytes, chunk: int) -> bytes:
    """Returns a request with a body in chunks, or with its length if `chunk` is 0."""
    head = b"POST / HTTP/1.1\r\nHost: x\r\n"
    if not chunk:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    parts = [body[start : start + chunk] for start in range(0, len(body), chunk)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


@pytest.mark.parametrize("seed", range(12))
async def test_bodies_in_any_pieces_and_pipelines_arrive_as_they_were_sent(seed: int) -> None:
    rng = random.Random(seed)
    bodies = [
        rng.randbytes(rng.choice([0, 1, 700, 16_384, 70_000, 400_000, 1_500_000])) for _ in range(6)
    ]
    data = b"".join(encode(body, rng.choice([0, 0, 7, 1000, 200_000])) for body in bodies)
    async with running() as server:
        reader, writer = await connect(server)

        async def send() -> None:
            at = 0
            while at < len(data):
                step = rng.choice([1, 100, 16_384, 65_536, 300_000])
                writer.write(data[at : at + step])
                await writer.drain()
                at += step

        sending = asyncio.create_task(send())
        answers = [await read_response(reader) for _ in bodies]
        await sending
        assert [status for status, _ in answers] == [200] * len(bodies)
        assert [body for _, body in answers] == bodies
        assert server.memory.held <= 65_536
        writer.close()
    assert server.ended == []


async def test_all_is_given_back_when_callers_leave_at_any_moment() -> None:
    rng = random.Random(1)
    async with running() as server:
        for _ in range(40):
            _, writer = await connect(server)
            data = encode(b"x" * 300_000, rng.choice([0, 9])) * 2
            writer.write(data[: rng.randrange(len(data))])
            await asyncio.sleep(rng.choice([0, 0.01]))
            writer.transport.abort()
        async with asyncio.timeout(WAIT):
            while server.memory.held:  # noqa: ASYNC110 - it changes as the sockets close.
                await asyncio.sleep(0.01)


async def test_stalled_body_is_refused_for_one_that_comes_later() -> None:
    async with running(limit=1_000_000) as server:
        reader, writer = await connect(server)
        writer.write(encode(b"x" * 900_000, 0)[:-1])
        await writer.drain()
        while server.memory.held < 800_000:  # noqa: ASYNC110 - it changes as the body comes.
            await asyncio.sleep(0.01)
        second, second_writer = await connect(server)
        second_writer.write(encode(b"y" * 500_000, 0))
        assert await read_response(second) == (200, b"y" * 500_000)
        assert await read_response(reader) == (503, b"no_room")
        assert server.refused == [BodyRefusal.NO_ROOM]
        assert server.served == [b"y" * 500_000]


async def test_body_that_does_not_come_in_time_is_refused() -> None:
    async with running(body_time=0.2) as server:
        reader, writer = await connect(server)
        writer.write(encode(b"x" * 1000, 0)[:-1])
        assert await read_response(reader) == (503, b"body_too_slow")
        assert server.served == []


@pytest.mark.parametrize(
    ("data", "status", "reason"),
    [
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\n" + b"A: %s\r\n" % (b"x" * 8000) * 3,
            431,
            EndReason.HEAD_TOO_LARGE,
            id="head",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
            + b"A: %s\r\n" % (b"x" * 8000) * 3,
            503,
            EndReason.OVERHEAD,
            id="trailers",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"1;%s\r\nx\r\n" % (b"e" * 8000) * 3,
            503,
            EndReason.OVERHEAD,
            id="chunk_extensions",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: x\r\n", 408, EndReason.HEAD_TOO_SLOW, id="slow_head"
        ),
    ],
)
async def test_what_comes_beside_bodies_is_bounded(
    data: bytes, status: int, reason: EndReason
) -> None:
    bounds = ServerBounds(100, head_bytes=16_384, head_time=0.2)
    async with running(bounds) as server:
        reader, writer = await connect(server)
        writer.write(data)
        assert (await read_response(reader))[0] == status
        assert server.ended == [reason]
        assert server.served == []


async def test_longest_idle_connection_is_closed_for_a_new_one() -> None:
    async with running(ServerBounds(3)) as server:
        first, *others = [await connect(server) for _ in range(3)]
        for reader, writer in others:
            writer.write(encode(b"x", 0))
            assert await read_response(reader) == (200, b"x")
        newest, newest_writer = await connect(server)
        newest_writer.write(encode(b"y", 0))
        assert await read_response(newest) == (200, b"y")
        assert server.ended == [EndReason.TOO_MANY]
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await first[0].readexactly(1)


async def test_connection_whose_caller_reads_nothing_is_reset() -> None:
    async with running(ServerBounds(100, unread_time=0.2)) as server:
        _, writer = await connect(server)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        for _ in range(20):
            writer.write(encode(b"x" * 1_900_000, 0))
        async with asyncio.timeout(WAIT):
            while EndReason.NOT_READING not in server.ended:  # noqa: ASYNC110 - it is a list.
                await asyncio.sleep(0.01)
            while server.memory.held:  # noqa: ASYNC110 - it changes as the socket closes.
                await asyncio.sleep(0.01)
        writer.transport.abort()


async def test_others_have_their_turn_though_one_can_not_be_parsed() -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: None)
    turns, done = Turns(loop), list[str]()

    def fail() -> None:
        raise RuntimeError("a part that can't be parsed")

    turns.request(fail)
    turns.request(lambda: done.append("second"))
    await asyncio.sleep(0.01)
    turns.request(lambda: done.append("third"))
    await asyncio.sleep(0.01)
    assert done == ["second", "third"]


async def test_empty_lines_after_a_request_do_not_end_its_connection() -> None:
    async with running(ServerBounds(100, head_time=0.1)) as server:
        reader, writer = await connect(server)
        for _ in range(2):
            writer.write(encode(b"x", 0))
            assert await read_response(reader) == (200, b"x")
            writer.write(b"\r\n")
            await asyncio.sleep(0.6)  # Longer than the time of a head.
        assert server.ended == []
        writer.close()
