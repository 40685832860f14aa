"""Bounds on what callers make this process hold, from its machine's memory.

The account of the process (`runtime.caller_memory`) gets a share of the memory. The rest is for
the process itself, for what is read from endpoints, and for what the allocator does not give back.
"""

from __future__ import annotations

from typing import Final

MB: Final = 1024 * 1024
# Memory of the machine, in MB, if the settings do not state it: that of the smallest known.
DEFAULT_MEMORY_MB: Final = 160.0
MEMORY_SHARE: Final = 0.2
# The account holds at least so many bodies of the largest size.
MIN_BODIES: Final = 2
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
