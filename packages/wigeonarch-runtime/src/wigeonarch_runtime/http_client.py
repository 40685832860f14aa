"""What HTTP clients of both kinds of instance must do otherwise than the HTTP library does.

- Timeouts must not give up what arrived while the process stood still. The library's own do, and
  its total timeout also loses a cancellation that comes at the same moment. So no call uses them:
  `timeouts` limits a call, and the connector limits the time to open a connection.
- A reset must not be taken for the end of a response that has neither a length nor chunks. The
  library does so; the connector's connections report the reset.
"""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from wigeonarch_runtime.timeouts import timeout_after

if TYPE_CHECKING:
    from aiohttp.client import ClientTimeout
    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

# Switches the library's own timeouts off.
NO_TIMEOUT: Final = aiohttp.ClientTimeout(total=None)


class ResetAwareHandler(ResponseHandler):
    """A connection on which the body of a response fails unless its end came before the reset."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fails the response that is being read if the connection did not end in order."""
        body = self._payload
        if exc is not None and body is not None and not body.is_eof():
            # Comes before the library marks the body as complete.
            body.set_exception(aiohttp.ClientPayloadError(f"connection lost: {exc}"), exc)
        super().connection_lost(exc)


class TimedConnector(aiohttp.TCPConnector):
    """A connector without a limit of connections, but of the time to open one.

    Its connections tell a reset from the end of a response.
    """

    def __init__(self, connect_timeout: float, **settings: Any) -> None:
        """Makes a connector; `connect_timeout` is in seconds, `settings` are the library's."""
        super().__init__(limit=0, **settings)
        self._connect_timeout = connect_timeout
        # The library has no public way to set the class of its connections.
        self._factory = functools.partial(_new_handler, loop=self._loop)

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Returns an open connection.

        Raises:
            ConnectionTimeoutError: There was none within the connect timeout.
        """
        try:
            async with timeout_after(self._connect_timeout):
                return await super().connect(req, traces, timeout)
        except TimeoutError as exc:
            raise aiohttp.ConnectionTimeoutError(f"Connection timeout to host {req.url}") from exc


def _new_handler(loop: asyncio.AbstractEventLoop) -> ResponseHandler:
    return ResetAwareHandler(loop)
