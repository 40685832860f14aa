"""A cancel that comes in the same turn of the event loop as a line of the stream is not lost."""

from __future__ import annotations

import asyncio
from unittest.mock import Mock

import aiohttp
import pytest
from wigeonarch_entry.streamlines import StreamLines

ENDLESS = 1_000


class Content:
    """Lines that come one a turn, as on a busy instance."""

    def __init__(self) -> None:
        self.turns = 0

    async def readline(self) -> bytes:
        self.turns += 1
        for _ in range(self.turns % 3):
            await asyncio.sleep(0)
        return b"line\n"


async def _read(content: Content) -> None:
    lines = StreamLines(Mock(spec=aiohttp.StreamReader, readline=content.readline))
    for _ in range(ENDLESS):
        assert await lines.next(60.0) == b"line\n"


@pytest.mark.parametrize("turns", range(24))
async def test_cancel_while_lines_come(turns: int) -> None:
    content = Content()
    task = asyncio.create_task(_read(content))
    for _ in range(turns):
        await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert content.turns < ENDLESS
