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
IDLE_UNSTATED: Final = 2.0  # Seconds an idle connection is used where the endpoint states nothing.
IDLE_SHARE: Final = 0.5  # Share of the stated time after which an idle connection is not used.


class Reach(enum.Enum):
    """What an attempt to connect to an endpoint shows."""

    OPEN = "open"  # A process listens at its address.
    REFUSED = "refused"  # None does.
    UNKNOWN = "unknown"  # No answer: there may be no way to it.


class Pools:
    """Connections to all endpoints of an instance."""

    __slots__ = ("_idle", "_loop", "_opened", "_source")

    def __init__(self, loop: asyncio.AbstractEventLoop, source: str) -> None:
        """Makes empty pools; connections come from the IP `source`."""
        self._loop = loop
        self._source = source
        self._idle: dict[str, list[Connection]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """Returns the number of connections made so far."""
        return self._opened

    async def take(self, endpoint: EndpointRecord) -> Connection | None:
        """Returns a connection to an endpoint; None when there is no way to it now."""
        kept = self._idle.get(endpoint.endpoint, [])
        while kept:
            conn = kept.pop()
            if conn.usable and self._young(conn):
                return conn
            conn.close()
        return await self._connect(endpoint)

    async def reach(self, endpoint: EndpointRecord) -> Reach:
        """Tells whether anything listens at an endpoint's address; a connection made is kept."""
        try:
            conn = await self._open(endpoint)
        except ConnectionRefusedError:
            return Reach.REFUSED
        except (OSError, TimeoutError):
            return Reach.UNKNOWN
        self.put_back(endpoint.endpoint, conn)
        return Reach.OPEN

    def give_back(self, endpoint: str, conn: Connection) -> None:
        """Keeps a connection whose answer was read, if it can be used again."""
        if conn.finish():
            self._idle.setdefault(endpoint, []).append(conn)

    def put_back(self, endpoint: str, conn: Connection) -> None:
        """Keeps a connection on which nothing was sent."""
        conn.idle_since = self._loop.time()
        self._idle.setdefault(endpoint, []).append(conn)

    def forget(self, endpoint: str) -> None:
        """Closes the kept connections to an endpoint that is gone."""
        for conn in self._idle.pop(endpoint, []):
            conn.close()

    def trim(self) -> None:
        """Closes connections that are too old to be used."""
        for kept in self._idle.values():
            for conn in [conn for conn in kept if not (conn.usable and self._young(conn))]:
                kept.remove(conn)
                conn.close()

    def close(self) -> None:
        """Closes all kept connections."""
        for endpoint in list(self._idle):
            self.forget(endpoint)

    def _young(self, conn: Connection) -> bool:
        bound = IDLE_UNSTATED if conn.keep is None else conn.keep * IDLE_SHARE
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
        self._opened += 1
        return conn
