"""Bounds on what callers make this process hold, from its machine's memory.

The account of the process (`runtime.caller_memory`) gets a share of the memory. The rest is for
the process itself, for what is read from endpoints, and for what the allocator does not give back.
"""

from __future__ import annotations

import sys
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
# Bytes of a head are bounded at a multiple of what the configuration allows, at least at the least
# value, as clients may count them in another way; its time likewise, as it may be under way.
HEAD_MARGIN: Final = 2
MIN_HEAD_BYTES: Final = 65_536
# Seconds that the body of a request without a route may take.
DEFAULT_BODY_TIME: Final = 30.0


def memory_for_callers(memory_mb: float, body_bytes: int) -> int:
    """Returns the bytes that are held for callers at most.

    Args:
        memory_mb: Memory of the machine, in MB; 0 if unknown.
        body_bytes: Largest body of a request.
    """
    share = int((memory_mb or DEFAULT_MEMORY_MB) * MB * MEMORY_SHARE)
    return max(share, MIN_BODIES * body_bytes)


def make_bounds(limits: ClientLimits | None) -> ServerBounds:
    """Returns the bounds of a server by the limits of the configuration, if there is one."""
    if limits is None:
        return ServerBounds(sys.maxsize)
    return ServerBounds(
        sys.maxsize,
        head_bytes=max(MIN_HEAD_BYTES, HEAD_MARGIN * limits.header_bytes),
        head_time=HEAD_MARGIN * limits.header_time,
    )


def bounds_in_force(limits: Callable[[], ClientLimits | None]) -> Callable[[], ServerBounds]:
    """Returns a function that returns the bounds of a server by the newest configuration."""
    made_for = limits()
    bounds = make_bounds(made_for)

    def current() -> ServerBounds:
        nonlocal made_for, bounds
        newest = limits()
        if newest is not made_for:
            made_for, bounds = newest, make_bounds(newest)
        return bounds

    return current
