"""A small HTTP server for status pages: readiness, the metrics, and questions with an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from aiohttp import web

READ_TIMEOUT: Final = 5.0  # Seconds for the body of a question.


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

    def __init__(self, pages: list[Page | QueryPage]) -> None:
        self._pages = {page.path: page for page in pages}
        self._web = web.Server(self._handle, access_log=None)
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Starts to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._web, host, port)

    async def close(self) -> None:
        """Stops accepting connections and closes the open ones."""
        if self._server is not None:
            self._server.close()
        await self._web.shutdown(0.1)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        page = self._pages.get(request.path)
        if page is None:
            return web.Response(status=404)
        if isinstance(page, QueryPage):
            return await _answer(page, request)
        status, body = page.content()
        return web.Response(status=status, body=body, content_type="text/plain")


async def _answer(page: QueryPage, request: web.BaseRequest) -> web.Response:
    if request.method not in ("GET", "POST"):
        return web.Response(status=405, headers={"Allow": "GET, POST"})
    try:
        async with asyncio.timeout(READ_TIMEOUT):
            question = await _read_bounded(request, page.max_bytes)
    except TimeoutError:
        return _closing(408)
    if question is None:
        return _closing(413)
    status, body = page.answer(question)
    return web.Response(status=status, body=body, content_type="application/json")


async def _read_bounded(request: web.BaseRequest, max_bytes: int) -> bytes | None:
    """Returns the body of a request; None if it is too large."""
    parts = bytearray()
    while part := await request.content.read(max_bytes + 1 - len(parts)):
        parts += part
        if len(parts) > max_bytes:
            return None
    return bytes(parts)


def _closing(status: int) -> web.Response:
    """Returns a response after which the connection is closed, as its request was not read."""
    response = web.Response(status=status)
    response.force_close()
    return response
