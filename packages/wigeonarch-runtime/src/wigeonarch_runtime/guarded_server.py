"""An HTTP server on aiohttp that bounds what its callers make the process hold and do.

aiohttp bounds a header line and the number of lines, but neither the sum of a head, nor how long it
takes, nor the bytes that bring nothing of a body, nor the number of connections. A connection of
this server

- counts all that it holds in the account of the process (see `caller_memory`), and can be ended
  when the account is full: with a response that refuses if its request is not whole yet;
- is closed when its head, or what comes beside its body, is too large, or its head takes too long,
  or its caller reads nothing of an answer;
- takes turns with others as soon as one request sends more than a little, so that none keeps the
  event loop for long, however small the pieces are that have to be parsed;
- may be closed for a new one when there are too many.

Nothing of this is met by a caller whose requests keep to the limits, while the process has room.
"""

from __future__ import annotations

import asyncio
import enum
import sys
import traceback
from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, Final, cast

from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

from wigeonarch_runtime.caller_memory import CallerMemory, Holding
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log
from wigeonarch_runtime.timeouts import Timeout

# Bytes that are parsed at once, before other connections have their turn.
SLICE_BYTES: Final = 16_384
# Bytes of one request that are parsed as they come; what follows takes turns with others.
DIRECT_BYTES: Final = 65_536
# Unread bytes of a body above which no more is read from its connection.
READ_AHEAD_BYTES: Final = 32_768
# Bytes that a parsed head takes beside those that were sent.
HEAD_OVERHEAD_BYTES: Final = 4096
# Bytes beside a body (chunk lines and trailers) for each byte of it: a chunk of one byte takes six.
OVERHEAD_PER_BODY_BYTE: Final = 16
# Seconds for which the rest of a refused body is still read, so that its caller reads the refusal.
LINGER_TIME: Final = 2.0
MAX_ERROR_CHARS: Final = 200  # Of an error, in a log line.
# Seconds between the end of a time limit and the closing: what has arrived is read before.
GRACE_TIME: Final = 0.25


class EndReason(enum.Enum):
    """Why a connection, or what it asks for, was ended."""

    NO_ROOM = "no_room"  # The account of the process is full.
    TOO_MANY = "too_many_connections"
    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TOO_SLOW = "head_too_slow"
    OVERHEAD = "too_many_bytes_beside_the_body"
    NOT_READING = "caller_reads_nothing"


class BodyRefusal(enum.Enum):
    """Why a request is refused whose body was not read, or not taken."""

    TOO_LARGE = "body_too_large"
    TOO_SLOW = "body_too_slow"
    NO_ROOM = "no_room"


@dataclass(frozen=True, slots=True)
class ServerBounds:
    """Bounds of one server.

    Attributes:
        connections: Open connections.
        head_bytes: Bytes of a head, and of what comes beside a body.
        head_time: Seconds from the first byte of a head to its last.
        unread_time: Seconds for which a caller may read nothing of an answer.
    """

    connections: int
    head_bytes: int = 65_536
    head_time: float = 10.0
    unread_time: float = 30.0


class Turns:
    """Lets connections with much to parse do so one after the other, a slice in each iteration."""

    __slots__ = ("_is_scheduled", "_loop", "_waiting")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def request(self, parse: Callable[[], None]) -> None:
        """Calls a function when its turn has come."""
        self._waiting.append(parse)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        parse = self._waiting.popleft()
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            # The sockets are read before the next turn, as in each iteration of the event loop.
            self._loop.call_soon(self._run)
        parse()


@dataclass(slots=True)
class _Message:
    """A request whose head was parsed and that has not ended yet."""

    head_bytes: int
    payload: StreamReader

    @property
    def size(self) -> int:
        return self.head_bytes + self.payload.total_bytes


@dataclass(slots=True)
class _Backlog:
    """Bytes that were received and wait for their turn to be parsed."""

    parts: deque[bytes] = field(default_factory=deque)
    size: int = 0
    is_waiting: bool = False  # Whether a turn was requested.

    def append(self, data: bytes) -> None:
        self.parts.append(data)
        self.size += len(data)

    def take(self, size: int) -> bytes:
        first = self.parts.popleft()
        if len(first) > size:
            self.parts.appendleft(first[size:])
            first = first[:size]
        self.size -= len(first)
        return first


class GuardedConnection(RequestHandler):
    """A connection of a caller; see the module docstring."""

    __slots__ = (
        "_backlog",
        "_beside",
        "_body_scope",
        "_end_reason",
        "_guard",
        "_head_timer",
        "_holding",
        "_is_deaf",
        "_live",
        "_received",
        "_socket",
        "_unread_size",
        "_unread_timer",
    )

    def __init__(self, guard: GuardedServer, loop: asyncio.AbstractEventLoop, **options: Any):
        super().__init__(guard.web_server, loop=loop, **options)
        self._guard = guard
        self._live: deque[_Message] = deque()
        self._backlog = _Backlog()
        # Bytes of the request that is being received: all, and those since the last of its body.
        self._received = 0
        self._beside = 0
        self._holding = Holding(self._end_for_room, 0.0)
        self._is_deaf = False  # Whether what still comes is dropped: the rest of a refused body.
        self._body_scope: Timeout | None = None
        self._end_reason: EndReason | None = None
        self._head_timer: asyncio.Handle | None = None
        self._unread_timer: asyncio.Handle | None = None
        self._unread_size = 0
        self._socket: asyncio.Transport | None = None

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection, and closes another one if there are too many."""
        self._socket = cast(asyncio.Transport, transport)
        self._holding = self._guard.memory.open(self._end_for_room, monotonic())
        super().connection_made(transport)
        self._guard.add(self, self._holding)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Gives back all that the connection held."""
        self._guard.remove(self._holding)
        self._guard.memory.close(self._holding)
        self._cancel_timers()
        self._backlog = _Backlog()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parses what was received, in turns with other connections if it is much."""
        if self._is_deaf or self._end_reason is not None:
            return
        if not data:
            self._parse(data)  # The library goes on with bytes that it has kept.
            return
        direct = 0 if self._backlog.size else max(0, DIRECT_BYTES - self._received)
        for start in range(0, min(direct, len(data)), SLICE_BYTES):
            self._parse(data[start : min(start + SLICE_BYTES, direct)])
        rest = data[direct:]
        if not rest or self._is_deaf or self._end_reason is not None:
            return
        self._backlog.append(rest)
        self._pause_transport_reading()
        self._count()
        self._request_turn()

    def pause_writing(self) -> None:
        """Begins to watch whether the caller reads its answer."""
        super().pause_writing()
        self._holding.since = monotonic()
        self._holding.may_end = True
        self._unread_size = 0
        if self._unread_timer is None:
            self._watch_reading_later()
        self._count()

    def resume_writing(self) -> None:
        """Records that the caller reads its answer."""
        super().resume_writing()
        self._holding.may_end = not self._is_serving()
        self._count()

    def _resume_transport_reading(self) -> None:
        if self._backlog.size:
            self._request_turn()
        else:
            super()._resume_transport_reading()

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Logs in one line what the library would log with a traceback for each bad request."""
        exc = kw.get("exc_info") or sys.exc_info()[1]
        if isinstance(exc, HttpProcessingError):
            log("malformed_request", "INFO", error=type(exc).__name__)
            return
        frames = traceback.extract_tb(exc.__traceback__) if isinstance(exc, Exception) else []
        where = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
        error = repr(exc) if exc is not None else str(args[0])
        log("request_failed", "ERROR", error=error[:MAX_ERROR_CHARS], where=where)

    # Parsing.

    def _request_turn(self) -> None:
        if not self._backlog.is_waiting:
            self._backlog.is_waiting = True
            self._guard.turns.request(self._take_turn)

    def _take_turn(self) -> None:
        self._backlog.is_waiting = False
        if self._end_reason is not None or self.transport is None:
            self._backlog = _Backlog()
        # While the body is paused, its reader asks for the next turn.
        elif self._backlog.size and not (self._reading_paused or self._buffer_paused):
            try:
                self._parse(self._backlog.take(SLICE_BYTES))
            except Exception:
                # The event loop does the same where a connection can't take what it has read.
                self._abort()
                raise
            if self._backlog.size:
                self._request_turn()
                return
        if not (self._reading_paused or self._buffer_paused or self._backlog.size):
            super()._resume_transport_reading()

    def _parse(self, data: bytes) -> None:
        before = self._request_count
        payload = self._live[-1].payload if self._live else None
        in_body = payload is not None and not payload.is_eof()
        body_before = payload.total_bytes if payload is not None else 0
        super().data_received(data)
        if self._request_count != before:
            self._note_messages(self._request_count - before, len(data))
        elif payload is not None and in_body:
            self._note_body(payload, body_before, len(data))
        # Empty lines before a head are no part of it.
        elif self._beside or data.strip(b"\r\n"):
            self._note_head(len(data))
        self._count()

    def _note_messages(self, count: int, size: int) -> None:
        if not self._live and not self._beside:
            self._holding.since = monotonic()
        for message, payload in list(self._messages)[-count:]:
            # After a head that can't be parsed, nothing more is read.
            self._is_deaf = self._is_deaf or not isinstance(message, RawRequestMessage)
            raw_headers = getattr(message, "raw_headers", ())
            lines = sum(len(name) + len(value) for name, value in raw_headers)
            self._live.append(_Message(lines + HEAD_OVERHEAD_BYTES, payload))
        self._received, self._beside = size, 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _note_body(self, payload: StreamReader, body_before: int, size: int) -> None:
        self._received += size
        self._beside = 0 if payload.total_bytes > body_before else self._beside + size
        allowed = self._guard.bounds().head_bytes + OVERHEAD_PER_BODY_BYTE * payload.total_bytes
        if payload.is_eof():
            self._received = self._beside = 0
        elif self._received - payload.total_bytes > allowed:
            self.end(EndReason.OVERHEAD)

    def _note_head(self, size: int) -> None:
        if not self._beside:
            self._received = 0
            if not self._live:
                self._holding.since = monotonic()
            self._head_timer = self._loop.call_later(
                self._guard.bounds().head_time, self._end_slow_head
            )
        self._received += size
        self._beside += size
        if self._beside > self._guard.bounds().head_bytes:
            self.end(EndReason.HEAD_TOO_LARGE)

    def _count(self) -> None:
        size = self._backlog.size + self._beside
        if self._paused and not self._live and self._socket is not None:
            size += self._socket.get_write_buffer_size()
        for message in self._live:
            size += message.size
        self._guard.memory.set_held(self._holding, size, monotonic())

    # Requests.

    def _is_serving(self) -> bool:
        """Tells whether the first request is whole, and its response is still to come."""
        return bool(self._live) and self._live[0].payload.is_eof()

    @asynccontextmanager
    async def reading_body(self, seconds: float) -> AsyncIterator[None]:
        """Bounds the time in which a body is read; it ends also if the connection is to end."""
        loop = self._loop
        async with Timeout(loop, loop.time() + seconds) as scope:
            self._body_scope = scope
            try:
                yield
            finally:
                self._body_scope = None

    @property
    def is_busy(self) -> bool:
        """Tells whether a request was received whose handler has not ended."""
        return bool(self._live)

    @property
    def end_reason(self) -> EndReason | None:
        """Returns why the connection is being ended; None if it is not."""
        return self._end_reason

    def may_serve(self) -> bool:
        """Tells whether there is room for a whole request to be served."""
        size = self._live[0].size if self._live else 0
        return self._guard.memory.may_serve(self._holding, size)

    def hold_answer(self, size: int) -> None:
        """Counts an answer that is being sent; it is given back when its request ends."""
        if self._live:
            self._live[0].head_bytes += size
        self._count()

    def request_ended(self) -> None:
        """Gives back what the first request held."""
        if self._live:
            self._is_deaf = not self._live.popleft().payload.is_eof() or self._is_deaf
        self._holding.since = monotonic()
        self._guard.memory.stop_serving(self._holding)
        if self._is_deaf:
            self._drop_backlog()
        self._count()
        if self._socket is not None and self._unread_timer is None:
            # What is left of the answer is small, but its connection must not stay for ever.
            self._unread_size = self._socket.get_write_buffer_size()
            if self._unread_size:
                self._watch_reading_later()

    # Ends.

    def end(self, reason: EndReason) -> None:
        """Ends what the connection asks for, or the connection."""
        if self._end_reason is not None:
            if reason is EndReason.NOT_READING:
                self._abort()
            return
        self._end_reason = reason
        log("caller_ended", "INFO", reason=reason.value, held=self._holding.held)
        self._guard.on_ended(reason)
        self._cancel_timers()
        self._guard.memory.set_held(self._holding, 0, monotonic())
        if self._paused or reason in (EndReason.NOT_READING, EndReason.TOO_MANY):
            self._abort()
        elif self._body_scope is not None:
            self._drop_backlog()
            self._body_scope.expire()
        elif self._live:
            # Its response is still to come. What follows it on the connection is not read.
            self._drop_backlog()
            self.close()
        else:
            self._refuse_head(reason)

    def _abort(self) -> None:
        """Resets the connection."""
        if self._socket is not None:
            self._socket.abort()

    def _drop_backlog(self) -> None:
        """Drops what was received, and goes on to read, so that the caller can send the rest."""
        if self._backlog.size:
            self._backlog = _Backlog()
            super()._resume_transport_reading()

    def _refuse_head(self, reason: EndReason) -> None:
        """Responds to a head that is not whole; a connection that has sent nothing is closed."""
        status = HEAD_STATUSES.get(reason)
        if self._beside and status and self.transport is not None:
            lines = [b"HTTP/1.1 " + status, b"Connection: close", b"Content-Length: 0"]
            lines += [name + b": " + value for name, value in self._guard.refusal_headers]
            self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")
        self.force_close()

    def _end_for_room(self) -> None:
        self.end(EndReason.NO_ROOM)

    def _end_slow_head(self) -> None:
        self._head_timer = self._loop.call_later(GRACE_TIME, self.end, EndReason.HEAD_TOO_SLOW)

    def _watch_reading(self) -> None:
        """Ends the connection if its caller has read nothing since the last call."""
        self._unread_timer = None
        size = self._socket.get_write_buffer_size() if self._socket is not None else 0
        if not size:
            return
        if size == self._unread_size:
            self.end(EndReason.NOT_READING)
            return
        self._unread_size = size
        self._watch_reading_later()

    def _watch_reading_later(self) -> None:
        self._unread_timer = self._loop.call_later(
            self._guard.bounds().unread_time, self._watch_reading
        )

    def _cancel_timers(self) -> None:
        for timer in (self._head_timer, self._unread_timer):
            if timer is not None:
                timer.cancel()
        self._head_timer = self._unread_timer = None


# What a caller is told whose head is not whole: each status states that nothing has run.
HEAD_STATUSES: Final = {
    EndReason.HEAD_TOO_LARGE: b"431 Request Header Fields Too Large",
    EndReason.HEAD_TOO_SLOW: b"408 Request Timeout",
    EndReason.NO_ROOM: b"503 Service Unavailable\r\nRetry-After: 1",
}


class GuardedServer:
    """Makes the connections of one server, and bounds their number.

    Attributes:
        web_server: aiohttp's server, which calls the handlers.
        memory: Account of the process.
        bounds: Returns the bounds in force.
        turns: Lets connections with much to parse take turns.
        on_ended: Called when a connection is ended, with the reason.
        refusal_headers: Further headers where a head is refused that is not whole.
    """

    def __init__(
        self,
        web_server: web.Server,
        memory: CallerMemory,
        bounds: Callable[[], ServerBounds],
        options: dict[str, Any],
        on_ended: Callable[[EndReason], None] = lambda reason: None,
        refusal_headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Creates a server whose connections get aiohttp's options."""
        self.web_server = web_server
        self.memory = memory
        self.bounds = bounds
        self.on_ended = on_ended
        self.refusal_headers = refusal_headers
        self._options = options
        self._loop = asyncio.get_running_loop()
        self.turns = Turns(self._loop)
        self._conns: dict[Holding, GuardedConnection] = {}

    def __call__(self) -> GuardedConnection:
        """Returns the protocol of a new connection."""
        return GuardedConnection(
            self, self._loop, read_bufsize=READ_AHEAD_BYTES, access_log=None, **self._options
        )

    def add(self, conn: GuardedConnection, holding: Holding) -> None:
        """Counts a new connection; closes another one, or the new one, if there are too many."""
        if len(self._conns) >= self.bounds().connections:
            (self._longest_idle() or conn).end(EndReason.TOO_MANY)
        self._conns[holding] = conn

    def _longest_idle(self) -> GuardedConnection | None:
        """Returns the connection whose caller has waited longest for nothing; None if none has.

        It has sent nothing yet, or a part of a request, or reads nothing, or has had its answer.
        """
        found = [holding for holding in self._conns if holding.may_end]
        longest = min(found, key=lambda holding: holding.since, default=None)
        return None if longest is None else self._conns.pop(longest)

    def remove(self, holding: Holding) -> None:
        """Forgets a connection that has ended."""
        self._conns.pop(holding, None)


def connection_of(request: web.BaseRequest) -> GuardedConnection:
    """Returns the connection of a request that a guarded server has received."""
    return cast(GuardedConnection, request.protocol)


async def read_body(
    request: web.BaseRequest, max_bytes: int, seconds: float
) -> bytes | BodyRefusal:
    """Returns the whole body of a request, or why it is not taken; then nothing may have run.

    Args:
        request: The request.
        max_bytes: Largest body that is taken.
        seconds: Time in which it must have come.
    """
    conn = connection_of(request)
    if conn.end_reason is not None:
        return END_REFUSALS.get(conn.end_reason, BodyRefusal.TOO_SLOW)
    if (request.content_length or 0) > max_bytes:
        return BodyRefusal.TOO_LARGE
    if request.headers.get("Expect", "").lower() == "100-continue" and request.transport:
        request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    if request.content.is_eof():
        body = request.content.read_nowait() if request.body_exists else b""
    else:
        try:
            async with conn.reading_body(seconds):
                parts = await _read_parts(request, max_bytes)
        except TimeoutError:
            return END_REFUSALS.get(conn.end_reason, BodyRefusal.TOO_SLOW)
        if parts is None:
            return BodyRefusal.TOO_LARGE
        body = b"".join(parts)
    if len(body) > max_bytes:
        return BodyRefusal.TOO_LARGE
    return body if conn.may_serve() else BodyRefusal.NO_ROOM


async def _read_parts(request: web.BaseRequest, max_bytes: int) -> list[bytes] | None:
    """Returns the parts of a body as they came; None if they are too large."""
    parts: list[bytes] = []
    size = 0
    async for part in request.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            return None
    return parts


# Why a body is refused whose connection was ended meanwhile.
END_REFUSALS: Final[dict[EndReason | None, BodyRefusal]] = {
    EndReason.NO_ROOM: BodyRefusal.NO_ROOM,
    EndReason.OVERHEAD: BodyRefusal.TOO_LARGE,
}
