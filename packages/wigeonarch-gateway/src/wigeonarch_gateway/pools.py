"""Kept connections, per endpoint.

The connection used last is used first, so that few are kept. One that was idle for a good part of
the time that its endpoint keeps it is not used, as a request that meets the endpoint's close may or
may not have run.
"""

from __future__ import annotations

import asyncio
import enum
from typing import Final

from wigeonarch_gateway.connections import Connection
from wigeonarch_gateway.ports import EndpointRecord

CONNECT_TIMEOUT: Final = 0.15  # Seconds; where there is a way it takes a few milliseconds.
DEFAULT_IDLE_TIMEOUT: Final = (
    2.0  # Seconds an idle connection is used where the endpoint states nothing.
)
IDLE_TIMEOUT_SHARE: Final = (
    0.5  # Share of the stated time after which an idle connection is not used.
)


class ProbeResult(enum.Enum):
    """What an attempt to connect to an endpoint shows."""

    OPEN = "open"  # A process listens at its address.
    REFUSED = "refused"  # None does.
    UNKNOWN = "unknown"  # No answer: there may be no way to it.


class ConnectionPools:
    """Connections to all endpoints of an instance."""

    __slots__ = ("_idle", "_loop", "_opened_count", "_source")

    def __init__(self, loop: asyncio.AbstractEventLoop, source: str) -> None:
        """Makes empty pools; connections come from the IP `source`."""
        self._loop = loop
        self._source = source
        self._idle: dict[str, list[Connection]] = {}
        self._opened_count = 0

    @property
    def opened_count(self) -> int:
        """Returns the number of connections made so far."""
        return self._opened_count

    async def acquire(self, endpoint: EndpointRecord) -> Connection | None:
        """Returns a connection to an endpoint; None when there is no way to it now."""
        kept = self._idle.get(endpoint.endpoint, [])
        while kept:
            conn = kept.pop()
            if conn.usable and self._is_within_idle_timeout(conn):
                return conn
            conn.close()
        return await self._connect(endpoint)

    async def probe(self, endpoint: EndpointRecord) -> ProbeResult:
        """Tells whether anything listens at an endpoint's address; a connection made is kept."""
        try:
            conn = await self._open(endpoint)
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except (OSError, TimeoutError):
            return ProbeResult.UNKNOWN
        self.release_unused(endpoint.endpoint, conn)
        return ProbeResult.OPEN

    def release(self, endpoint: str, conn: Connection) -> None:
        """Keeps a connection whose answer was read, if it can be used again."""
        if conn.finish():
            self._idle.setdefault(endpoint, []).append(conn)

    def release_unused(self, endpoint: str, conn: Connection) -> None:
        """Keeps a connection on which nothing was sent."""
        conn.idle_since = self._loop.time()
        self._idle.setdefault(endpoint, []).append(conn)

    def forget(self, endpoint: str) -> None:
        """Closes the kept connections to an endpoint that is gone."""
        for conn in self._idle.pop(endpoint, []):
            conn.close()

    def close_expired(self) -> None:
        """Closes connections that are too old to be used."""
        for kept in self._idle.values():
            for conn in [
                conn for conn in kept if not (conn.usable and self._is_within_idle_timeout(conn))
            ]:
                kept.remove(conn)
                conn.close()

    def close(self) -> None:
        """Closes all kept connections."""
        for endpoint in list(self._idle):
            self.forget(endpoint)

    def _is_within_idle_timeout(self, conn: Connection) -> bool:
        bound = (
            DEFAULT_IDLE_TIMEOUT
            if conn.keep_alive_timeout is None
            else conn.keep_alive_timeout * IDLE_TIMEOUT_SHARE
        )
        return self._loop.time() - conn.idle_since < bound

    async def _connect(self, endpoint: EndpointRecord) -> Connection | None:
        try:
            return await self._open(endpoint)
        except (OSError, TimeoutError):
            return None

    async def _open(self, endpoint: EndpointRecord) -> Connection:
        """Opens a connection.

        Raises:
            OSError: It was refused, or there is no way.
            TimeoutError: Nothing answered.
        """
        host, _, port = endpoint.address.rpartition(":")
        source = (self._source, 0) if self._source else None
        async with asyncio.timeout(CONNECT_TIMEOUT):
            _, conn = await self._loop.create_connection(
                lambda: Connection(self._loop), host, int(port), local_addr=source
            )
        self._opened_count += 1
        return conn
