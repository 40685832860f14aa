"""Timeouts that do not give up what has already arrived.

A process can stand still: it is suspended, or its event loop is busy. When it goes on, the timers
that expired meanwhile run before the data in its sockets has reached the waiting tasks, and
`asyncio.timeout` then throws away a response that is there. So when a timeout of this module
expires, it first lets the event loop read the sockets and run the tasks. Only if the wait is still
not over does it end the wait.

It is meant for waits for something from outside, such as a connection or a response. It must not
decide what others count on by time alone: leases, permits, grants and quotas are compared with the
clock where they are used. For polling, `asyncio.timeout` is cheaper.
"""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Final

# Iterations of the event loop that follow the expiry. One reads the sockets; the others carry what
# was read through protocols, futures and nested tasks, or a new connection through its set-up.
GRACE_ITERATIONS: Final = 12


class Timeout:
    """Context manager that raises `TimeoutError` in the waiting task, as `asyncio.timeout` does."""

    __slots__ = ("_handle", "_loop", "_scope", "_when")

    def __init__(self, loop: asyncio.AbstractEventLoop, when: float | None) -> None:
        """Makes a timeout at a time of the loop's clock, in seconds; None for none."""
        self._loop = loop
        self._when = when
        self._scope = asyncio.timeout(None)
        self._handle: asyncio.Handle | None = None

    async def __aenter__(self) -> Timeout:
        await self._scope.__aenter__()
        if self._when is not None:
            self._handle = self._loop.call_at(self._when, self._expire_after, GRACE_ITERATIONS)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._handle is not None:
            self._handle.cancel()
        await self._scope.__aexit__(exc_type, exc, traceback)

    def expire(self) -> None:
        """Ends the wait now, as if its time were over."""
        if self._handle is not None:
            self._handle.cancel()
        self._scope.reschedule(self._loop.time())

    def _expire_after(self, iterations: int) -> None:
        """Ends the wait after some iterations of the event loop, unless it is over by then."""
        if iterations:
            self._handle = self._loop.call_soon(self._expire_after, iterations - 1)
        else:
            self._scope.reschedule(self._loop.time())


def timeout_after(seconds: float | None) -> Timeout:
    """Returns a timeout `seconds` from now for the waits inside; None for none."""
    loop = asyncio.get_running_loop()
    return Timeout(loop, None if seconds is None else loop.time() + seconds)


def timeout_at(when: float) -> Timeout:
    """Returns a timeout at a time of the running loop's clock, in seconds, for the waits inside."""
    return Timeout(asyncio.get_running_loop(), when)


async def wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    """Waits for some seconds or until an event is set; returns whether it was, and clears it."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    event.clear()
    return True
