"""HTTP connections that check a condition right before a request is written to them.

Opening a connection takes time, and the process may be paused at any point. A call that was allowed
when it was made may no longer be allowed when it can be sent, as a lease has lapsed or a grant has
expired. So the condition is checked on the open connection, and nothing is awaited between that
check and the write.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import TYPE_CHECKING

import aiohttp
from wigeonarch_runtime.http_client import TimedConnector

if TYPE_CHECKING:
    from aiohttp.client import ClientTimeout
    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

_may_send: ContextVar[Callable[[], bool] | None] = ContextVar("usable", default=None)


class NoLongerUsableError(aiohttp.ClientConnectionError):
    """The call is no longer allowed; nothing of it was sent."""


@contextmanager
def send_only_if(may_send: Callable[[], bool]) -> Iterator[None]:
    """Sends the requests made inside only if `may_send` returns True when they can be written.

    Applies to sessions that use a `CheckedConnector`.
    """
    token = _may_send.set(may_send)
    try:
        yield
    finally:
        _may_send.reset(token)


class CheckedConnector(TimedConnector):
    """A connector that checks the condition of `send_only_if` once a connection is open."""

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Returns an open connection.

        Raises:
            NoLongerUsableError: The condition no longer holds.
            ConnectionTimeoutError: There was none within the connect timeout.
        """
        conn = await super().connect(req, traces, timeout)
        may_send = _may_send.get()
        if may_send is None or may_send():
            return conn
        conn.release()
        raise NoLongerUsableError
