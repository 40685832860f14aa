"""Lines of a streamed HTTP answer, including those that came just before its connection broke.

The client library raises a broken connection before it gives out what had arrived: lines and a
reset that are read in one turn of the event loop, as on a busy instance, would be lost together.
"""

from __future__ import annotations

import asyncio
from collections import deque

import aiohttp


class StreamLines:
    """Lines of one answer, each with its line end; a torn or empty one comes last."""

    __slots__ = ("_buffered", "_content")

    def __init__(self, content: aiohttp.StreamReader) -> None:
        self._content = content
        self._buffered: deque[bytes] | None = None

    async def next(self, timeout: float) -> bytes:
        """Returns the next line; an empty or torn one when the stream has ended or broken.

        Raises:
            TimeoutError: No line came within `bound` seconds.
        """
        if self._buffered is None:
            try:
                # Not `wait_for`: it drops a cancel that comes in the turn in which a line does, and
                # then a caller that has gone keeps its engine busy to the end.
                async with asyncio.timeout(timeout):
                    return await self._content.readline()
            except TimeoutError:
                raise
            except (aiohttp.ClientError, OSError):
                self._buffered = deque(_read_buffered(self._content).splitlines(keepends=True))
        return self._buffered.popleft() if self._buffered else b""


def _read_buffered(content: aiohttp.StreamReader) -> bytes:
    """Returns what had arrived before the connection broke."""
    # Without its exception the reader gives out its buffer; there is no other public way to it.
    content.set_exception(None)  # type: ignore[arg-type]
    return content.read_nowait(-1)
