"""HTTP connections to endpoints: one request at a time, each response matched to its request.

The `httptools` library parses responses, but a general HTTP client is not used, because clients
hide three things that must be known for certain:

- Whether a byte of a request can have reached the endpoint. Only then may the request have run.
- Whether a response without a length was complete, or the connection was reset in the middle.
- To which request a response belongs. An endpoint may send a late, additional response just before
  that of the next request. Such a response is recognised by its request id and skipped.

A connection on which bytes arrive while no request waits for a response is not used any more. One
on which more arrives than a sound endpoint sends is closed (see `answer_bounds`).
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, cast

import httptools
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.answer_bounds import (
    MAX_BODY_BYTES,
    MAX_HEADERS,
    MAX_REFUSAL_BYTES,
    find_excess,
)
from wigeonarch_gateway.ports import Headers, ResponseHead

# Unread bytes of a response above which reading is paused, so that the endpoint has to wait.
READ_AHEAD_BYTES: Final = 262_144
# Largest body that is joined to its head; a larger one is not copied.
MAX_JOINED_BYTES: Final = 16_384
# Milliseconds after which sent bytes without a TCP acknowledgement mean that the endpoint can't be
# reached.
UNACKNOWLEDGED_MS: Final = 1_500
NO_BODY_STATUSES: Final = frozenset({204, 304})


class ConnectionLost(Exception):  # noqa: N818 - the state of a connection, not a program error.
    """The connection closed before the response was complete, or the response is malformed."""


class Framing(enum.Enum):
    """How the end of a response is recognised."""

    LENGTH = "length"  # The response states its length.
    CHUNKS = "chunks"  # The response is chunked; the last chunk is empty.
    CONNECTION = "connection"  # The response ends when its connection is closed in order.


@dataclass(slots=True)
class _ResponseState:
    """The response that is being parsed.

    Attributes:
        status: Its status code.
        headers: Its headers so far; None before its first byte.
        framing: How its end is recognised, as far as its headers have arrived.
        foreign: Whether it belongs to another request, and is skipped.
    """

    status: int = 0
    headers: list[tuple[bytes, bytes]] | None = None
    framing: Framing = Framing.CONNECTION
    foreign: bool = False


class Connection(asyncio.Protocol):
    """A connection to an endpoint.

    Attributes:
        number: Its number among the connections that its pool has opened, for log lines.
        sent_count: Requests and calls sent on it so far.
        connected_at: Time at which it was opened, in seconds of the monotonic clock.
        idle_since: Time at which the last response was read, in seconds of the event loop's clock.
        process_born: Start time of the process at its other end, as that one reported it; 0 if
            it has not been asked.
        keep_alive_timeout: Seconds for which the endpoint keeps an idle connection; None if it did
            not say.
        received: Bytes received since the last request was sent.
        body_bytes: Those of them that are part of the response's body.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, number: int = 0) -> None:
        self._loop = loop
        self.number = number
        self.sent_count = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response = _ResponseState()
        self._is_foreign: Callable[[ResponseHead], bool] | None = None
        self._no_body = False
        self._head_future: asyncio.Future[ResponseHead] | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered = 0
        self._paused = False
        self._complete = False
        self._lost_reason: str | None = None
        self._not_reusable = False
        self._data_ready: asyncio.Future[None] | None = None
        self.connected_at = monotonic()
        self.idle_since = 0.0
        self.process_born = 0
        self.keep_alive_timeout: float | None = None
        self.received = 0
        self.body_bytes = 0
        self._skipped = 0  # Responses that were skipped since the last request was sent.
        self._excess = ""  # What of the response is too much; empty if nothing is.

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the socket options, among them the timeout for unacknowledged bytes."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection if no request waits for a response."""
        if self._head_future is None:
            log("unexpected_bytes", conn=self.number, size=len(data), sent=self.sent_count)
            self._invalidate("bytes received without a request")
            return
        self.received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if self._complete:
                self._not_reusable = True
            else:
                self._fail(f"malformed response: {type(exc).__name__}")
        if excess := self._excess or find_excess(self.received, self.body_bytes, self._skipped):
            self._fail(excess)
            return
        if self._buffered > READ_AHEAD_BYTES and not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Completes a response that has no length."""
        self._connection_ended(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the response that is being read."""
        self._connection_ended(exc)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begins a response; after an additional one, the connection is not reused."""
        if self._complete:
            self._not_reusable = True
            return
        self._response = _ResponseState(headers=[])

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records a header; trailers are of no use."""
        if self._complete or self._response.headers is None or self._response.status:
            return
        if len(self._response.headers) >= MAX_HEADERS:
            self._excess = "too many headers"
            return
        name = name.lower()
        self._response.headers.append((name, value))
        if name == b"transfer-encoding":
            self._response.framing = Framing.CHUNKS
        elif name == b"content-length" and self._response.framing is Framing.CONNECTION:
            self._response.framing = Framing.LENGTH

    def on_headers_complete(self) -> None:
        """Hands the response's head to the waiting request, unless it belongs to another one."""
        if self._complete or self._response.headers is None:
            return
        self._response.status = self._parser.get_status_code()
        if self._response.status < 200:
            self._skipped += 1
            return
        head = ResponseHead(self._response.status, tuple(self._response.headers))
        if self._is_foreign is not None and self._is_foreign(head):
            self._response.foreign = True
            self._skipped += 1
            if self._skipped == 1:
                log("answer_skipped", conn=self.number, status=head.status, sent=self.sent_count)
            return
        self._note_keep_alive(head)
        if self._head_future is not None and not self._head_future.done():
            self._head_future.set_result(head)
        if self._no_body:
            self._complete = self._not_reusable = True

    def on_body(self, data: bytes) -> None:
        """Buffers a part of the body."""
        if self._complete or self._response.foreign:
            return
        self._chunks.append(data)
        self._buffered += len(data)
        self.body_bytes += len(data)
        self._wake_reader()

    def on_message_complete(self) -> None:
        """Ends a response; the awaited one follows an informational or foreign one."""
        if self._complete or self._response.foreign or self._response.status < 200:
            self._response = _ResponseState()
            return
        ends_with_connection = self._response.framing is Framing.CONNECTION
        if ends_with_connection and self._response.status not in NO_BODY_STATUSES:
            return  # See `eof_received`.
        self._complete = True
        if not self._parser.should_keep_alive():
            self._not_reusable = True
        self._wake_reader()

    # Used by callers of this class.

    @property
    def framing(self) -> Framing:
        """Returns how the end of the response that is being read is recognised."""
        return self._response.framing

    @property
    def usable(self) -> bool:
        """Tells whether another request may be sent on the connection."""
        return self._lost_reason is None and not self._not_reusable and self._head_future is None

    def send_request(
        self,
        head: bytes,
        is_foreign: Callable[[ResponseHead], bool] | None,
        no_body: bool = False,
        body: bytes = b"",
    ) -> None:
        """Sends a request, which may have run from now on.

        Args:
            head: Head of the request.
            is_foreign: Tells whether a response belongs to another request; None to accept any.
            no_body: Whether the response has no body whatever its headers say.
            body: Body of the request.
        """
        self._head_future = self._loop.create_future()
        self._is_foreign = is_foreign
        self._no_body = no_body
        self._complete = False
        self.sent_count += 1
        self.received = self.body_bytes = self._skipped = 0
        self._excess = ""
        if self._transport is None:
            return
        if len(body) <= MAX_JOINED_BYTES:
            self._transport.write(head + body)
        else:
            self._transport.writelines((head, body))

    async def read_head(self) -> ResponseHead:
        """Waits for the head of the response and returns it.

        Raises:
            ConnectionLost: The connection closed before, or the response is malformed.
        """
        if self._head_future is None:
            raise ConnectionLost("no request was sent")
        if self._lost_reason is not None and not self._head_future.done():
            raise ConnectionLost(self._lost_reason)
        return await self._head_future

    async def read(self) -> bytes:
        """Waits for the next part of the body and returns it; empty at the body's end.

        Raises:
            ConnectionLost: The connection closed before the body was complete.
        """
        while not self._chunks:
            if self._complete:
                return b""
            if self._lost_reason is not None:
                raise ConnectionLost(self._lost_reason)
            self._data_ready = self._loop.create_future()
            await self._data_ready
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        if self._paused and self._transport is not None and self._lost_reason is None:
            self._paused = False
            self._transport.resume_reading()
        return data

    async def read_all(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Waits for the rest of the body and returns it.

        Args:
            limit: Bytes that it may have.

        Raises:
            ConnectionLost: The connection closed before the body was complete, or it is too large.
        """
        parts: list[bytes] = []
        size = 0
        while part := await self.read():
            parts.append(part)
            size += len(part)
            if size > limit:
                raise ConnectionLost("the response is too large")
        return b"".join(parts)

    async def discard_rest(self) -> None:
        """Waits until the rest of a body has arrived or is lost, of which only the head matters."""
        with contextlib.suppress(ConnectionLost):
            await self.read_all(MAX_REFUSAL_BYTES)

    def finish(self) -> bool:
        """Ends the request; returns whether the connection can be used for another one."""
        sent = self._transport is not None and not self._transport.get_write_buffer_size()
        reusable = self._complete and sent and not self._not_reusable and self._lost_reason is None
        self._head_future = None
        self._is_foreign = None
        self._chunks.clear()
        self._buffered = 0
        self.idle_since = self._loop.time()
        if not reusable:
            self.close()
        return reusable

    def close(self) -> None:
        """Closes the connection, so that the endpoint stops working on its request."""
        self._not_reusable = True
        if self._lost_reason is None and not self._complete:
            self._lost_reason = "closed by this instance"
        if self._transport is not None:
            self._transport.abort()

    def _note_keep_alive(self, head: ResponseHead) -> None:
        if (head.get(b"connection") or b"").lower() == b"close":
            self._not_reusable = True
        for part in (head.get(b"keep-alive") or b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout":
                with contextlib.suppress(ValueError):
                    self.keep_alive_timeout = float(value)

    def _connection_ended(self, exc: Exception | None) -> None:
        in_body = self._head_future is not None and self._head_future.done() and not self._complete
        ends_with_connection = self._response.framing is Framing.CONNECTION
        if in_body and ends_with_connection and exc is None and self._lost_reason is None:
            self._complete = True
        self._not_reusable = True
        self._fail("reset" if exc is not None else "closed")

    def _fail(self, reason: str) -> None:
        if self._lost_reason is None:
            self._lost_reason = reason
        if self._head_future is not None and not self._head_future.done():
            self._head_future.set_exception(ConnectionLost(reason))
            # Marks the exception as retrieved: the task that waited may have been cancelled.
            self._head_future.exception()
        self._wake_reader()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    def _invalidate(self, reason: str) -> None:
        self._not_reusable = True
        self._fail(reason)

    def _wake_reader(self) -> None:
        if self._data_ready is not None and not self._data_ready.done():
            self._data_ready.set_result(None)


def encode_head(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Returns the head of a request as it is sent, with the length of its body."""
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n"
