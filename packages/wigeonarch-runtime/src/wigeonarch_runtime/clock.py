"""The clocks whose times are passed to the core."""

from __future__ import annotations

import time


def monotonic() -> float:
    """Returns seconds on a clock that never goes back and also counts the time while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Returns seconds since the epoch; only for records that outlive processes."""
    return time.time()
