"""Reads the lines of a streamed HTTP response, including those received before a connection broke.

aiohttp raises the error of a broken connection before it returns the data received earlier. When
lines and a reset are read in one iteration of the event loop, as on a busy instance, those lines
would be lost.
"""

from __future__ import annotations

from collections import deque

import aiohttp
from wigeonarch_runtime.timeouts import timeout_after


class StreamLines:
    """The lines of one response, each with its line end; the last one is incomplete or empty."""

    __slots__ = ("_buffered", "_content")

    def __init__(self, content: aiohttp.StreamReader) -> None:
        self._content = content
        self._buffered: deque[bytes] | None = None

    async def next(self, timeout: float) -> bytes:
        """Returns the next line; an incomplete or empty one when the stream has ended or broken.

        Raises:
            TimeoutError: No line was received within `timeout` seconds.
        """
        if self._buffered is None:
            try:
                # Not `wait_for`: it loses a cancellation that arrives in the same iteration of the
                # event loop as a line, and then the request of a caller that has disconnected
                # keeps its engine busy to the end.
                async with timeout_after(timeout):
                    return await self._content.readline()
            except TimeoutError:
                raise
            except (aiohttp.ClientError, OSError):
                self._buffered = deque(_read_buffered(self._content).splitlines(keepends=True))
        return self._buffered.popleft() if self._buffered else b""


def _read_buffered(content: aiohttp.StreamReader) -> bytes:
    """Returns the data received before the connection broke."""
    # `read_nowait` raises while an exception is set; no other public method returns the buffer.
    content.set_exception(None)  # type: ignore[arg-type]
    return content.read_nowait(-1)
