"""Crowds of callers that don't behave: what each of them sends, and what a process holds for them.

A crowd opens all its connections at once, sends its form on each, and stays. What it is told is
read only where the form says so.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import resource
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import psutil

MB: Final = 1024 * 1024
PIECE_BYTES: Final = 65_536  # Bytes of a body that are written at once.
# Seconds for which a crowd goes on sending; a process may stop reading, so that it never ends.
SENDING_TIME: Final = 8.0
CONNECT_TIME: Final = 5.0  # Seconds for which a caller tries to connect.


@dataclass(frozen=True)
class Target:
    """Where and for what a crowd asks.

    Attributes:
        address: `IP:PORT` of the server.
        path: Path of its requests.
        host: Host that they name.
        headers: Further header lines, each with its end.
        max_body: Largest body that the server allows, in bytes.
    """

    address: str
    path: str
    host: str
    headers: str
    max_body: int

    def head(self, *lines: str) -> bytes:
        """Returns the head of a request with further header lines."""
        more = "".join(f"{line}\r\n" for line in lines)
        first = f"POST {self.path} HTTP/1.1\r\nHost: {self.host}\r\n"
        return f"{first}{self.headers}{more}\r\n".encode()


@dataclass(frozen=True)
class Form:
    """What each caller of a crowd sends.

    Attributes:
        name: Name of the test case.
        pieces: Returns what one caller writes, piece by piece.
        size: Number of callers.
        gap: Seconds between two pieces.
        waits_first: Whether a caller waits for an answer to its first piece.
        reads: Whether it reads all that it is told.
    """

    name: str
    pieces: Callable[[Target], Iterator[bytes]]
    size: int = 64
    gap: float = 0.0
    waits_first: bool = False
    reads: bool = False


def _split(size: int) -> Iterator[bytes]:
    """Returns the first bytes of a body, which is a JSON string that ends later."""
    yield b'"'
    for start in range(1, size, PIECE_BYTES):
        yield b"x" * min(PIECE_BYTES, size - start)


def _whole(size: int) -> Iterator[bytes]:
    yield from _split(size - 1)
    yield b'"'


def _body_short_of_its_end(target: Target) -> Iterator[bytes]:
    yield target.head(f"Content-Length: {target.max_body}")
    yield from _split(target.max_body - 1)


def _body_that_trickles(target: Target) -> Iterator[bytes]:
    yield target.head(f"Content-Length: {target.max_body}")
    yield from _split(target.max_body - 1000)
    yield from itertools.repeat(b"x", 999)


def _chunks_without_end(target: Target) -> Iterator[bytes]:
    yield target.head("Transfer-Encoding: chunked")
    for part in _split(target.max_body - PIECE_BYTES):
        yield b"%x\r\n%s\r\n" % (len(part), part)


def _body_after_continue(target: Target) -> Iterator[bytes]:
    yield target.head(f"Content-Length: {target.max_body}", "Expect: 100-continue")
    yield from _split(target.max_body - 1)


def _whole_body(target: Target) -> Iterator[bytes]:
    yield target.head(f"Content-Length: {target.max_body}")
    yield from _whole(target.max_body)


def _large_pipeline(target: Target) -> Iterator[bytes]:
    size = target.max_body // 4
    for _ in range(12):
        yield target.head(f"Content-Length: {size}")
        yield from _whole(size)


def _small_pipeline(target: Target) -> Iterator[bytes]:
    one = target.head("Content-Length: 1") + b"x"
    for _ in range(40):
        yield one * 100


def _header_lines(target: Target) -> Iterator[bytes]:
    yield target.head()[:-2]
    for number in range(200):
        yield b"X-Line-%d: %s\r\n" % (number, b"x" * 20_000)


def _small_header_lines(target: Target) -> Iterator[bytes]:
    yield target.head()[:-2]
    for _ in range(40):
        yield b"A: b\r\n" * 1000


def _header_line_without_end(target: Target) -> Iterator[bytes]:
    yield target.head()[:-2] + b"X-Line: "
    yield from _split(4 * MB)


def _half_a_head(target: Target) -> Iterator[bytes]:
    yield target.head()[:-2]


def _trailers(target: Target) -> Iterator[bytes]:
    yield target.head("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n"
    for number in range(200):
        yield b"X-Line-%d: %s\r\n" % (number, b"x" * 20_000)


def _chunks_of_two_bytes(target: Target) -> Iterator[bytes]:
    yield target.head("Transfer-Encoding: chunked")
    for _ in range(target.max_body // 2 // 10_000):
        yield b"2\r\nxx\r\n" * 10_000


def _chunk_extensions(target: Target) -> Iterator[bytes]:
    yield target.head("Transfer-Encoding: chunked")
    for _ in range(100):
        yield b"1;" + b"e" * 60_000 + b"\r\nx\r\n"


def _pieces_of_three_bytes(target: Target) -> Iterator[bytes]:
    yield target.head(f"Content-Length: {target.max_body}")
    yield from itertools.repeat(b"xxx", 20_000)


def _nothing(target: Target) -> Iterator[bytes]:
    yield from ()


def _one_request(target: Target) -> Iterator[bytes]:
    yield target.head("Content-Length: 1") + b"x"


FORMS: Final = (
    Form("body_short_of_its_end", _body_short_of_its_end),
    Form("body_that_trickles", _body_that_trickles, gap=0.02),
    Form("chunks_without_end", _chunks_without_end),
    Form("body_after_continue", _body_after_continue, waits_first=True),
    Form("whole_body", _whole_body, reads=True),
    Form("answer_that_nobody_reads", _whole_body),
    Form("large_pipeline", _large_pipeline, reads=True),
    Form("small_pipeline", _small_pipeline, reads=True),
    Form("header_lines", _header_lines),
    Form("small_header_lines", _small_header_lines),
    Form("header_line_without_end", _header_line_without_end),
    Form("trailers", _trailers),
    Form("chunks_of_two_bytes", _chunks_of_two_bytes),
    Form("chunk_extensions", _chunk_extensions),
    Form("pieces_of_three_bytes", _pieces_of_three_bytes),
)
# Forms of more connections than the server has descriptors.
CONNECTION_FORMS: Final = (
    Form("silent_connections", _nothing, size=700),
    Form("half_a_head", _half_a_head, size=700),
    Form("idle_after_a_request", _one_request, size=700, reads=True),
)


class Connections:
    """The connections of a crowd, which stay open until all are closed at its end."""

    def __init__(self) -> None:
        self._writers: list[asyncio.StreamWriter] = []
        self._readers: list[asyncio.Task[None]] = []

    async def open(self, address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens one more connection."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIME):
            reader, writer = await asyncio.open_connection(host, int(port))
        self._writers.append(writer)
        return reader, writer

    def read_in_background(self, reading: Coroutine[Any, Any, None]) -> None:
        """Reads from a connection until all are closed."""
        self._readers.append(asyncio.create_task(reading))

    async def close(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            writer.transport.abort()
        for task in self._readers:
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)


@asynccontextmanager
async def sending(
    send: Callable[[Connections], Coroutine[Any, Any, None]], size: int
) -> AsyncIterator[None]:
    """Lets many callers send side by side; their connections stay open until the block ends."""
    conns = Connections()
    callers = [asyncio.create_task(send(conns)) for _ in range(size)]
    try:
        await asyncio.wait(callers, timeout=SENDING_TIME)
        yield
    finally:
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await conns.close()


async def _send(form: Form, target: Target, conns: Connections) -> None:
    reader, writer = await conns.open(target.address)
    if form.reads:
        conns.read_in_background(_read_all(reader))
    with contextlib.suppress(ConnectionError):
        for number, piece in enumerate(form.pieces(target)):
            writer.write(piece)
            await writer.drain()
            if form.waits_first and number == 0:
                await reader.read(1)
            if form.gap and len(piece) == 1:
                await asyncio.sleep(form.gap)


async def _read_all(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(ConnectionError):
        while await reader.read(PIECE_BYTES):
            pass


@asynccontextmanager
async def crowd(form: Form, target: Target) -> AsyncIterator[None]:
    """Sends a form on all connections, and keeps them open until the end of the block."""
    async with sending(lambda conns: _send(form, target, conns), form.size):
        yield


def limit_descriptors(process: int, count: int) -> None:
    """Limits the descriptors that a process may open."""
    resource.prlimit(process, resource.RLIMIT_NOFILE, (count, count))


def peak_memory(process: int) -> float:
    """Returns the largest resident memory that a process has had, in MB."""
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    (peak,) = (int(line.split()[1]) for line in lines if line.startswith("VmHWM:"))
    return peak / 1024


def open_descriptors(process: int) -> int:
    """Returns the number of descriptors that a process has open."""
    return psutil.Process(process).num_fds()
