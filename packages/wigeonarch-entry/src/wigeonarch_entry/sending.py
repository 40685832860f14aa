"""Connections that check, once they are open and before a byte is sent, whether to send at all.

Opening a connection takes time, and a process may be paused at any point. What was right when a
call was made may be wrong when it could be sent: a lease has lapsed, a grant has run out. So the
check runs as the last step before the request is written, with nothing to wait for in between.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from aiohttp.client import ClientTimeout
    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

_usable: ContextVar[Callable[[], bool] | None] = ContextVar("usable", default=None)


class NoLongerUsableError(aiohttp.ClientConnectionError):
    """The call must not be made any more; nothing of it was sent."""


@contextmanager
def send_only_if(usable: Callable[[], bool]) -> Iterator[None]:
    """Lets the calls made inside go out only if `usable` holds when they could be written."""
    token = _usable.set(usable)
    try:
        yield
    finally:
        _usable.reset(token)


class CheckedConnector(aiohttp.TCPConnector):
    """A connector that asks `sent_only_if`'s condition before it gives a connection out."""

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Returns an open connection.

        Raises:
            NoLongerUsableError: The condition does not hold any more.
        """
        conn = await super().connect(req, traces, timeout)
        usable = _usable.get()
        if usable is None or usable():
            return conn
        conn.release()
        raise NoLongerUsableError
