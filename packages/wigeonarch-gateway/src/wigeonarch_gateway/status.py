"""A small HTTP server for status pages: readiness, the metrics, and questions with an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from aiohttp import web
from wigeonarch_runtime.caller_memory import CallerMemory
from wigeonarch_runtime.guarded_server import (
    LINGER_TIME,
    BodyRefusal,
    GuardedServer,
    ServerBounds,
    connection_of,
    read_body,
)

# Seconds for which an idle connection is kept.
KEEP_ALIVE_TIMEOUT: Final = 75.0
READ_TIMEOUT: Final = 5.0  # Seconds for the body of a question.
REFUSAL_STATUSES: Final = {
    BodyRefusal.TOO_LARGE: 413,
    BodyRefusal.TOO_SLOW: 408,
    BodyRefusal.NO_ROOM: 503,
}


class Page(msgspec.Struct, frozen=True):
    """A page: its path, and a function that returns its status code and body."""

    path: str
    content: Callable[[], tuple[int, bytes]]


class QueryPage(msgspec.Struct, frozen=True):
    """A page that answers a question in the body of a request; both are JSON.

    Attributes:
        path: Its path.
        max_bytes: Largest body that is read.
        answer: Returns the status code and the answer to a question.
    """

    path: str
    max_bytes: int
    answer: Callable[[bytes], tuple[int, bytes]]


class StatusServer:
    """Serves pages at one address."""

    def __init__(
        self,
        pages: list[Page | QueryPage],
        memory: CallerMemory,
        bounds: Callable[[], ServerBounds],
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            pages: The pages.
            memory: Account of what the process holds for callers.
            bounds: Returns the bounds on its connections.
        """
        self._pages = {page.path: page for page in pages}
        self._web = web.Server(self._handle)
        options = {"keepalive_timeout": KEEP_ALIVE_TIMEOUT, "lingering_time": LINGER_TIME}
        self._connections = GuardedServer(self._web, memory, bounds, options)
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._connections, host, port)

    async def close(self) -> None:
        """Stops accepting connections and closes the open ones."""
        if self._server is not None:
            self._server.close()
        await self._web.shutdown(0.1)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._respond(request)
        finally:
            connection_of(request).request_ended()

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        page = self._pages.get(request.path)
        if page is None:
            return web.Response(status=404)
        if isinstance(page, QueryPage):
            return await _answer(page, request)
        if not request.content.is_eof():
            return _closing(413)
        status, body = page.content()
        return web.Response(status=status, body=body, content_type="text/plain")


async def _answer(page: QueryPage, request: web.BaseRequest) -> web.Response:
    if request.method not in ("GET", "POST"):
        return web.Response(status=405, headers={"Allow": "GET, POST"})
    question = await read_body(request, page.max_bytes, READ_TIMEOUT)
    if isinstance(question, BodyRefusal):
        return _closing(REFUSAL_STATUSES[question])
    status, body = page.answer(question)
    return web.Response(status=status, body=body, content_type="application/json")


def _closing(status: int) -> web.Response:
    """Returns a response after which the connection is closed, as its request was not read."""
    response = web.Response(status=status)
    response.force_close()
    return response
