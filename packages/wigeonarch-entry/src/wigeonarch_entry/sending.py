"""HTTP connections that check a condition right before a request is written to them.

Opening a connection takes time, and the process may be paused at any point. A call that was allowed
when it was made may no longer be allowed when it can be sent, as a lease has lapsed or a grant has
expired. So the condition is checked on the open connection, and nothing is awaited between that
check and the write. A call whose time ends before that check has not been sent, and can't have run.
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


class SendCheck:
    """The condition under which requests are sent.

    Attributes:
        passed: Whether it has held for a request, which may have been written from then on.
    """

    __slots__ = ("_may_send", "passed")

    def __init__(self, may_send: Callable[[], bool]) -> None:
        self._may_send = may_send
        self.passed = False

    def passes(self) -> bool:
        """Checks the condition, right before a request is written."""
        if not self._may_send():
            return False
        self.passed = True
        return True


_check: ContextVar[SendCheck | None] = ContextVar("check", default=None)


class NoLongerUsableError(aiohttp.ClientConnectionError):
    """The call is no longer allowed; nothing of it was sent."""


@contextmanager
def send_only_if(may_send: Callable[[], bool]) -> Iterator[SendCheck]:
    """Sends the requests made inside only if `may_send` returns True when they can be written.

    Yields the check, which tells whether any may have been written.

    Applies to sessions that use a `CheckedConnector`.
    """
    check = SendCheck(may_send)
    with checked(check):
        yield check


@contextmanager
def checked(check: SendCheck) -> Iterator[None]:
    """Sends the requests made inside only if a check passes; see `send_only_if`."""
    token = _check.set(check)
    try:
        yield
    finally:
        _check.reset(token)


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
        check = _check.get()
        if check is None or check.passes():
            return conn
        conn.release()
        raise NoLongerUsableError
