"""Bounds on what callers make this process hold, from its machine's memory and descriptors.

The account of the process (`runtime.caller_memory`) gets a share of the memory. The rest is for
the process itself, for what is read from endpoints, and for what the allocator does not give back.
Of the descriptors, each server gets a share for its connections; the rest is for connections to
endpoints, the store and peers.
"""

from __future__ import annotations

import enum
import resource
from collections.abc import Callable
from typing import Final

from wigeonarch_core.routes import ClientLimits
from wigeonarch_runtime.guarded_server import ServerBounds

MB: Final = 1024 * 1024
# Memory of the machine, in MB, if the settings do not state it: that of the smallest known.
DEFAULT_MEMORY_MB: Final = 160.0
MEMORY_SHARE: Final = 0.2
# The account holds at least so many bodies of the largest size.
MIN_BODIES: Final = 2
FILE_DESCRIPTORS: Final = 200  # Descriptors that are no sockets, and are not shared out.
MIN_CONNECTIONS: Final = 4
# Bytes of a head are bounded at a multiple of what the configuration allows, at least at the least
# value, as clients may count them in another way; its time likewise, as it may be under way.
HEAD_MARGIN: Final = 2
MIN_HEAD_BYTES: Final = 65_536
# Seconds that the body of a request without a route may take.
DEFAULT_BODY_TIME: Final = 30.0


class ServerRole(enum.Enum):
    """The servers of a gateway."""

    CALLERS = "callers"
    PEERS = "peers"
    READINESS = "readiness"
    METRICS = "metrics"


# Share of the descriptors for the connections of each server. Each request of a caller may need one
# more, for an endpoint or a peer.
DESCRIPTOR_SHARES: Final = {
    ServerRole.CALLERS: 0.42,
    ServerRole.PEERS: 0.1,
    ServerRole.READINESS: 0.02,
    ServerRole.METRICS: 0.02,
}


def memory_for_callers(memory_mb: float, body_bytes: int) -> int:
    """Returns the bytes that are held for callers at most.

    Args:
        memory_mb: Memory of the machine, in MB; 0 if unknown.
        body_bytes: Largest body of a request.
    """
    share = int((memory_mb or DEFAULT_MEMORY_MB) * MB * MEMORY_SHARE)
    return max(share, MIN_BODIES * body_bytes)


def make_bounds(role: ServerRole, descriptors: int, limits: ClientLimits | None) -> ServerBounds:
    """Returns the bounds of a server.

    Args:
        role: Which server it is.
        descriptors: Descriptors that the process may open; 0 if unknown.
        limits: Limits of the configuration; None before there is one.
    """
    available = descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    share = DESCRIPTOR_SHARES[role]
    connections = max(MIN_CONNECTIONS, int((available - FILE_DESCRIPTORS) * share))
    if limits is None:
        return ServerBounds(connections)
    return ServerBounds(
        connections,
        head_bytes=max(MIN_HEAD_BYTES, HEAD_MARGIN * limits.header_bytes),
        head_time=HEAD_MARGIN * limits.header_time,
    )


def bounds_in_force(
    role: ServerRole, descriptors: int, limits: Callable[[], ClientLimits | None]
) -> Callable[[], ServerBounds]:
    """Returns a function that returns the bounds of a server by the newest configuration."""
    made_for = limits()
    bounds = make_bounds(role, descriptors, made_for)

    def current() -> ServerBounds:
        nonlocal made_for, bounds
        newest = limits()
        if newest is not made_for:
            made_for, bounds = newest, make_bounds(role, descriptors, newest)
        return bounds

    return current
