"""RPC calls written frame by frame, so that a caller can stop wherever it likes."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Final

from crowd import Connections, sending

PREFACE: Final = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, PING, WINDOW_UPDATE, CONTINUATION = 0, 1, 4, 6, 8, 9
END_STREAM, END_HEADERS, ACK = 1, 4, 1
INITIAL_WINDOW_SIZE: Final = 4  # Number of a setting.
WINDOW: Final = 65_535
FRAME_BYTES: Final = 16_384
HEAD_BYTES: Final = 9  # Of a frame.


@dataclass(frozen=True)
class RpcForm:
    """What each connection of a crowd sends.

    Attributes:
        name: Name of the test case.
        connections: Number of connections.
        calls: Calls on each.
        message: Message of each call, as it would be sent whole; empty for none.
        left_out: Bytes at its end that are never sent.
        header_frames: Further frames with headers of each call, which never end.
        has_preface: Whether a connection begins as it should; else it says nothing.
    """

    name: str
    connections: int
    calls: int
    message: bytes = b""
    left_out: int = 0
    header_frames: int = 0
    has_preface: bool = True


def _frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    return len(payload).to_bytes(3) + bytes([kind, flags]) + stream.to_bytes(4) + payload


def _header(name: str, value: str) -> bytes:
    """Returns a header in the form that needs no table and no code: a literal."""
    return b"\x00" + bytes([len(name)]) + name.encode() + bytes([len(value)]) + value.encode()


class _Connection:
    """One connection: its flow control, and what it still has to send."""

    def __init__(self, form: RpcForm, path: str) -> None:
        self._form = form
        self._path = path
        self._window = WINDOW
        self._stream_window = WINDOW
        self._credit: Counter[int] = Counter()
        self._changed = asyncio.Event()
        self._ended = False

    async def run(self, address: str, conns: Connections) -> None:
        """Sends the form on a connection of its own."""
        reader, writer = await conns.open(address)
        conns.read_in_background(self._read(reader, writer))
        with contextlib.suppress(ConnectionError):
            await self._send(writer)

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        if not self._form.has_preface:
            return
        writer.write(PREFACE + _frame(SETTINGS, 0, 0, b""))
        streams = [2 * number + 1 for number in range(self._form.calls)]
        for stream in streams:
            writer.write(self._head(stream))
            for _ in range(self._form.header_frames):
                padding = b"".join(_header(f"x-{n}", "y" * 100) for n in range(100))
                writer.write(_frame(CONTINUATION, 0, stream, padding))
                await writer.drain()
        message = self._form.message
        body = b"\x00" + len(message).to_bytes(4) + message
        for start in range(0, len(body) - self._form.left_out if message else 0, FRAME_BYTES):
            end = min(start + FRAME_BYTES, len(body) - self._form.left_out)
            is_last = end == len(body)
            for stream in streams:
                await self._send_data(writer, stream, body[start:end], is_last)

    def _head(self, stream: int) -> bytes:
        block = b"".join(
            _header(name, value)
            for name, value in (
                (":method", "POST"),
                (":scheme", "http"),
                (":path", self._path),
                (":authority", "crowd"),
                ("te", "trailers"),
                ("content-type", "application/grpc"),
            )
        )
        return _frame(HEADERS, 0 if self._form.header_frames else END_HEADERS, stream, block)

    async def _send_data(
        self, writer: asyncio.StreamWriter, stream: int, data: bytes, is_last: bool
    ) -> None:
        while len(data) > min(self._window, self._stream_window + self._credit[stream]):
            if self._ended:
                return
            self._changed.clear()
            await self._changed.wait()
        self._window -= len(data)
        self._credit[stream] -= len(data)
        writer.write(_frame(DATA, END_STREAM if is_last else 0, stream, data))
        await writer.drain()

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Follows the flow control of the server, and answers its pings."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readexactly(HEAD_BYTES)
                payload = await reader.readexactly(int.from_bytes(head[:3]))
                self._take(head[3], head[4], int.from_bytes(head[5:9]), payload, writer)
                self._changed.set()
        self._ended = True
        self._changed.set()

    def _take(
        self, kind: int, flags: int, stream: int, payload: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if kind == WINDOW_UPDATE and stream:
            self._credit[stream] += int.from_bytes(payload)
        elif kind == WINDOW_UPDATE:
            self._window += int.from_bytes(payload)
        elif kind == PING and not flags & ACK:
            writer.write(_frame(PING, ACK, 0, payload))
        elif kind == SETTINGS and not flags & ACK:
            for at in range(0, len(payload), 6):
                if int.from_bytes(payload[at : at + 2]) == INITIAL_WINDOW_SIZE:
                    self._stream_window = int.from_bytes(payload[at + 2 : at + 6])
            writer.write(_frame(SETTINGS, ACK, 0, b""))


@asynccontextmanager
async def rpc_crowd(form: RpcForm, address: str, path: str) -> AsyncIterator[None]:
    """Sends a form on all connections, and keeps them open until the end of the block."""
    async with sending(lambda conns: _Connection(form, path).run(address, conns), form.connections):
        yield
