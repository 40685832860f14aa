"""Reading lines that have arrived when their connection is closed.

Guards against dropping complete lines that were received before the end of the connection was.
"""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web
from wigeonarch_entry.streamlines import StreamLines

TEXT = [b"one\n", b"two\n", b"three\n", b"torn"]


async def test_lines_received_before_the_end_are_returned() -> None:
    async def send_lines(request: web.Request) -> web.StreamResponse:
        resp = web.StreamResponse()
        await resp.prepare(request)
        for line in TEXT:
            await resp.write(line)
        assert request.transport is not None
        request.transport.close()
        return resp

    app = web.Application()
    app.router.add_get("/", send_lines)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    async with aiohttp.ClientSession() as session:
        resp = await session.get(f"http://127.0.0.1:{port}/")
        # Waits until the lines and the end of the connection have arrived, before the first read.
        while resp.content.exception() is None:  # noqa: ASYNC110 - a reader has no event
            await asyncio.sleep(0)
        lines = StreamLines(resp.content)
        assert [await lines.next(1.0) for _ in range(5)] == [*TEXT, b""]
    await runner.cleanup()
