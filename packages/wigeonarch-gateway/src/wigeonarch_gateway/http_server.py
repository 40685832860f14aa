"""The HTTP server for callers: aiohttp's low-level server with one handler for all paths.

What callers make it hold is bounded (see `runtime.guarded_server`).

When a caller disconnects, its handler is cancelled, which also stops the endpoint's work on the
request. If a response can't be completed, its connection is closed, so that the caller does not
take it for complete. A caller that does not know chunks recognises the end of a stream only by that
of its connection: for it, the connection is reset unless the response was finished, also if this
process ends first. While the instance shuts down, each response closes its connection, so that
the caller opens the next one at another instance.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Final, cast

from aiohttp import web
from aiohttp.http import HttpVersion11
from aiohttp.web_protocol import RequestHandler
from multidict import CIMultiDict
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.guarded_server import (
    LINGER_TIME,
    BodyRefusal,
    GuardedConnection,
    GuardedServer,
    connection_of,
    read_body,
)
from wigeonarch_runtime.logs import log

from wigeonarch_gateway import texts
from wigeonarch_gateway.caller_guard import CallerGuard
from wigeonarch_gateway.exchange import CallerRequest, ResponseWriter
from wigeonarch_gateway.ports import Headers

# Seconds for which an idle connection is kept: longer than any caller reuses one, which the
# configuration bounds.
KEEP_ALIVE_TIMEOUT: Final = 75.0
MAX_HEADER_BYTES: Final = 65_536
LISTEN_BACKLOG: Final = 1_024
# Values of SO_LINGER: what closing a connection does to its peer.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
END_ON_CLOSE: Final = struct.pack("ii", 0, 0)

UNAVAILABLE: Final = 503
BODY_RETRY_AFTER: Final = b"1.00"  # Seconds.
# Text and status for each refusal; 408 and 503 state that the request has not run.
REFUSALS: Final = {
    BodyRefusal.TOO_LARGE: (texts.BODY_TOO_LARGE, 413),
    BodyRefusal.TOO_SLOW: (texts.BODY_TOO_SLOW, 408),
    BodyRefusal.NO_ROOM: (texts.NO_ROOM_FOR_BODY, UNAVAILABLE),
}

RequestHandlerFunction = Callable[[CallerRequest, ResponseWriter], Awaitable[None]]


class _ResponseWriter:
    """Sends the response to one request; implements `exchange.ResponseWriter`."""

    __slots__ = ("_is_draining", "_request", "_response")

    def __init__(self, request: web.BaseRequest, is_draining: Callable[[], bool]) -> None:
        self._request = request
        self._is_draining = is_draining
        self._response: web.StreamResponse | None = None

    @property
    def started(self) -> bool:
        """Tells whether a part of the response was sent."""
        return self._response is not None

    @property
    def response(self) -> web.StreamResponse | None:
        """Returns the response for aiohttp to finish; None if none was started."""
        return self._response

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response."""
        self._response = web.Response(status=status, headers=_header_multidict(headers), body=body)
        connection_of(self._request).hold_answer(len(body))
        await self._prepare()
        await self._response.write_eof()

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head of a response whose body follows in parts."""
        self._response = web.StreamResponse(status=status, headers=_header_multidict(headers))
        if self._ends_with_connection:
            self._set_linger(RESET_ON_CLOSE)
        await self._prepare()

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        assert self._response is not None
        await self._response.write(data)

    async def finish(self) -> None:
        """Marks the response as complete."""
        assert self._response is not None
        await self._response.write_eof()
        if self._ends_with_connection:
            self._set_linger(END_ON_CLOSE)

    def abort(self) -> None:
        """Closes the connection, so that the caller does not take the response for complete."""
        transport = self._request.transport
        if transport is None:
            return
        if self._ends_with_connection:
            transport.abort()
        else:
            transport.close()

    @property
    def _ends_with_connection(self) -> bool:
        """Tells whether the caller knows no chunks, by which a stream's end could be marked."""
        return self._request.version < HttpVersion11

    def _set_linger(self, value: bytes) -> None:
        transport = self._request.transport
        if transport is not None:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)

    async def _prepare(self) -> None:
        assert self._response is not None
        # After a body that was not taken, the connection can't carry another request.
        if self._is_draining() or not self._request.content.is_eof():
            self._response.force_close()
        await self._response.prepare(self._request)


class HttpServer:
    """The HTTP server for callers.

    Attributes:
        in_progress: Number of requests whose handlers are running.
        draining: Whether each response closes its connection, so that callers go elsewhere.
    """

    def __init__(self, serve: RequestHandlerFunction, guard: CallerGuard) -> None:
        """Creates a server that does not listen yet.

        Args:
            serve: Handles a request and sends its response.
            guard: Bounds what callers make the server hold.
        """
        self._serve = serve
        self._guard = guard
        self._server: asyncio.Server | None = None
        self._aiohttp_server = web.Server(
            self._handle,
            handler_cancellation=True,
        )
        self._connections = GuardedServer(
            self._aiohttp_server,
            guard.memory,
            guard.bounds,
            {
                "keepalive_timeout": KEEP_ALIVE_TIMEOUT,
                "lingering_time": LINGER_TIME,
                "auto_decompress": False,
                "max_line_size": MAX_HEADER_BYTES,
                "max_field_size": MAX_HEADER_BYTES,
            },
            guard.on_ended,
            guard.refusal_headers,
        )
        # By the last `stop_accepting`.
        self._seen_connections: set[RequestHandler] = set()
        self._stopped_accepting = False
        self.in_progress = 0
        self.draining = False

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._connections, host, port, backlog=LISTEN_BACKLOG
        )

    def stop_accepting(self) -> bool:
        """Stops accepting connections and closes each open one as soon as it is idle.

        It is to be called repeatedly. A connection is closed only if an earlier call has seen it:
        one that was accepted just before has its first request under way.

        Returns:
            Whether no connection is left.
        """
        if self._server is not None:
            self._server.close()
        connections = set(self._aiohttp_server.connections)
        for conn in connections & self._seen_connections:
            # Closing a connection would abort a request that was parsed, handled or not.
            if cast(GuardedConnection, conn).is_busy:
                conn.close()
            else:
                conn.force_close()
        # One that the event loop has accepted in this pass appears only after it.
        is_first_call, self._stopped_accepting = not self._stopped_accepting, True
        self._seen_connections = connections
        return not connections and not is_first_call

    async def close(self) -> None:
        """Stops listening and closes the connections that are still open."""
        if self._server is not None:
            self._server.close()
        await self._aiohttp_server.shutdown(0.2)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        received = monotonic()
        response = _ResponseWriter(request, lambda: self.draining)
        self.in_progress += 1
        try:
            body = await self._read_body(request)
            if isinstance(body, BodyRefusal):
                await self._refuse(request, response, body)
            else:
                await self._serve(_caller_request(request, body, received), response)
        except (ConnectionError, RuntimeError) as exc:
            # The caller's connection closed while the response was being written.
            log("caller_gone", "DEBUG", reason=repr(exc))
            response.abort()
        finally:
            self.in_progress -= 1
            connection_of(request).request_ended()
        return response.response or web.Response(status=500)

    async def _read_body(self, request: web.BaseRequest) -> bytes | BodyRefusal:
        """Returns the complete body, or why it is not taken; a body for nobody is not read."""
        if not self._guard.reads_body(request.remote or ""):
            return b""
        seconds = self._guard.body_time(
            request.headers.get("Host", ""), request.path, request.headers
        )
        return await read_body(request, self._guard.max_body_bytes(), seconds)

    async def _refuse(
        self, request: web.BaseRequest, response: _ResponseWriter, refusal: BodyRefusal
    ) -> None:
        """Responds to a request whose body was not taken, and that has not run."""
        text, status = REFUSALS[refusal]
        log("body_refused", "INFO", reason=refusal.value, length=request.content_length)
        self._guard.on_refused(refusal)
        retry_after = [(b"Retry-After", BODY_RETRY_AFTER)] if status == UNAVAILABLE else []
        await response.send(status, [*retry_after, *self._guard.refusal_headers], text.encode())


def _caller_request(request: web.BaseRequest, body: bytes, received: float) -> CallerRequest:
    headers: dict[str, str] = {}
    for name, value in request.headers.items():
        headers.setdefault(name.lower(), value)
    return CallerRequest(
        request.method,
        request.raw_path,
        headers.get("host", ""),
        request.raw_headers,
        headers,
        body,
        received,
        request.remote or "",
    )


def _header_multidict(headers: Headers) -> CIMultiDict[str]:
    decoded: CIMultiDict[str] = CIMultiDict()
    for name, value in headers:
        decoded.add(name.decode("latin-1"), value.decode("latin-1"))
    return decoded
