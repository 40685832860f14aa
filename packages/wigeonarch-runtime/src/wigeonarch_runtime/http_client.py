"""Timeouts of HTTP clients, which must not give up what arrived while the process stood still.

The HTTP library's own timeouts do, and its total timeout also loses a cancellation that comes at
the same moment. So no call uses them: `timeouts` limits a call, and the connector limits the time
to open a connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import aiohttp

from wigeonarch_runtime.timeouts import timeout_after

if TYPE_CHECKING:
    from aiohttp.client import ClientTimeout
    from aiohttp.client_reqrep import ClientRequest
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

# Switches the library's own timeouts off.
NO_TIMEOUT: Final = aiohttp.ClientTimeout(total=None)


class TimedConnector(aiohttp.TCPConnector):
    """A connector without a limit of connections, but of the time to open one."""

    def __init__(self, connect_timeout: float, **settings: Any) -> None:
        """Makes a connector; `connect_timeout` is in seconds, `settings` are the library's."""
        super().__init__(limit=0, **settings)
        self._connect_timeout = connect_timeout

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
