"""Pools of idle connections, one per endpoint.

The most recently used connection is reused first, so that few are kept. A connection that was idle
for a large part of the time for which its endpoint keeps it is not reused: the endpoint might close
it just as a request is sent, and then the request may or may not have run.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
from collections.abc import Callable
from typing import Final

from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_gateway.connections import Connection
from wigeonarch_gateway.ports import EndpointRecord

CONNECT_TIMEOUT: Final = 0.15  # Seconds; a reachable endpoint accepts within a few milliseconds.
# Seconds after which an idle connection is not reused if the endpoint states no keep-alive timeout.
DEFAULT_IDLE_TIMEOUT: Final = 2.0
# Share of a stated keep-alive timeout after which an idle connection is not reused.
IDLE_TIMEOUT_SHARE: Final = 0.5


class ProbeResult(enum.Enum):
    """The result of an attempt to connect to an endpoint."""

    OPEN = "open"  # A process listens at the endpoint's address.
    REFUSED = "refused"  # No process listens there.
    UNKNOWN = "unknown"  # No answer: the network path may be interrupted.


def _is_any(conn: Connection) -> bool:
    return True


class ConnectionPools:
    """The connections of this instance to all endpoints."""

    __slots__ = ("_idle", "_loop", "_numbers", "_opened_count", "_source")

    def __init__(self, loop: asyncio.AbstractEventLoop, source: str) -> None:
        """Creates empty pools.

        Args:
            loop: The event loop.
            source: Local IP address of the connections; empty for any.
        """
        self._loop = loop
        self._source = source
        self._idle: dict[str, list[Connection]] = {}
        self._opened_count = 0
        self._numbers = itertools.count(1)

    @property
    def opened_count(self) -> int:
        """Returns the number of connections opened so far."""
        return self._opened_count

    async def acquire(
        self, endpoint: EndpointRecord, may_use: Callable[[Connection], bool] = _is_any
    ) -> Connection | None:
        """Returns a connection to an endpoint, reused or new; None if it can't be reached now.

        Args:
            endpoint: The endpoint.
            may_use: Tells whether a kept connection may be reused this time.
        """
        return await self.acquire_at(endpoint.endpoint, endpoint.address, may_use)

    async def acquire_at(
        self, name: str, address: str, may_use: Callable[[Connection], bool] = _is_any
    ) -> Connection | None:
        """Returns a connection to `IP:PORT`; connections are kept for reuse under a name."""
        return self._take_kept(name, may_use) or await self._connect(address)

    def _take_kept(self, name: str, may_use: Callable[[Connection], bool]) -> Connection | None:
        """Returns the connection used last of those that may be reused; None if there is none."""
        kept = self._idle.get(name, [])
        for index in range(len(kept) - 1, -1, -1):
            conn = kept[index]
            is_usable = conn.usable and self._is_within_idle_timeout(conn)
            if is_usable and not may_use(conn):
                continue
            del kept[index]
            if is_usable:
                return conn
            conn.close()
        return None

    async def probe(self, endpoint: EndpointRecord) -> ProbeResult:
        """Tells whether a process listens at an endpoint's address.

        A connection that was opened for this is kept for reuse.
        """
        try:
            conn = await self._open(endpoint.address)
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except (OSError, TimeoutError):
            return ProbeResult.UNKNOWN
        self.release_unused(endpoint.endpoint, conn)
        return ProbeResult.OPEN

    def release(self, endpoint: str, conn: Connection) -> None:
        """Keeps a connection whose response was read, if it can be reused."""
        if conn.finish():
            self._idle.setdefault(endpoint, []).append(conn)

    def release_unused(self, endpoint: str, conn: Connection) -> None:
        """Keeps a connection that was acquired and on which nothing was sent."""
        conn.idle_since = self._loop.time()
        self._idle.setdefault(endpoint, []).append(conn)

    def forget(self, endpoint: str) -> None:
        """Closes the idle connections to an endpoint that is gone."""
        for conn in self._idle.pop(endpoint, []):
            conn.close()

    def close_expired(self) -> None:
        """Closes idle connections that can't be reused any more."""
        for kept in self._idle.values():
            for conn in [
                conn for conn in kept if not (conn.usable and self._is_within_idle_timeout(conn))
            ]:
                kept.remove(conn)
                conn.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for endpoint in list(self._idle):
            self.forget(endpoint)

    def _is_within_idle_timeout(self, conn: Connection) -> bool:
        max_idle_time = (
            DEFAULT_IDLE_TIMEOUT
            if conn.keep_alive_timeout is None
            else conn.keep_alive_timeout * IDLE_TIMEOUT_SHARE
        )
        return self._loop.time() - conn.idle_since < max_idle_time

    async def _connect(self, address: str) -> Connection | None:
        try:
            return await self._open(address)
        except (OSError, TimeoutError):
            return None

    async def _open(self, address: str) -> Connection:
        """Opens a connection to `IP:PORT`.

        Raises:
            OSError: The connection was refused, or there is no network path.
            TimeoutError: No answer within `CONNECT_TIMEOUT`.
        """
        host, _, port = address.rpartition(":")
        source = (self._source, 0) if self._source else None
        number = next(self._numbers)
        async with timeout_after(CONNECT_TIMEOUT):
            _, conn = await self._loop.create_connection(
                lambda: Connection(self._loop, number), host, int(port), local_addr=source
            )
        self._opened_count += 1
        return conn
