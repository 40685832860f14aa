"""A small HTTP server for status pages: readiness for the load balancer, and the metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from aiohttp import web


class Page(msgspec.Struct, frozen=True):
    """A page: its path, and a function that returns its status code and body."""

    path: str
    content: Callable[[], tuple[int, bytes]]


class StatusServer:
    """Serves pages at one address."""

    def __init__(self, pages: list[Page]) -> None:
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
        status, body = page.content()
        return web.Response(status=status, body=body, content_type="text/plain")
