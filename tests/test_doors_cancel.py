"""A cancellation is not lost when a line arrives in the same iteration of the event loop.

If it were lost, the request of a caller that has disconnected would keep its engine to the end.
"""

from __future__ import annotations

import asyncio
from unittest.mock import Mock

import aiohttp
import pytest
from wigeonarch_entry.streamlines import StreamLines

MAX_LINES = 1_000


class StubContent:
    """Response content that returns a line after 0 to 2 iterations of the event loop."""

    def __init__(self) -> None:
        self.lines_read = 0

    async def readline(self) -> bytes:
        self.lines_read += 1
        for _ in range(self.lines_read % 3):
            await asyncio.sleep(0)
        return b"line\n"


async def _read_lines(content: StubContent) -> None:
    lines = StreamLines(Mock(spec=aiohttp.StreamReader, readline=content.readline))
    for _ in range(MAX_LINES):
        assert await lines.next(60.0) == b"line\n"


@pytest.mark.parametrize("iterations", range(24))
async def test_cancellation_between_lines_ends_the_reader(iterations: int) -> None:
    content = StubContent()
    task = asyncio.create_task(_read_lines(content))
    for _ in range(iterations):
        await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert content.lines_read < MAX_LINES
