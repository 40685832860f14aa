"""The clocks that the tasks hand to the core."""

from __future__ import annotations

import time


def monotonic() -> float:
    """Returns seconds on a clock that only goes forward and also counts suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_time() -> float:
    """Returns seconds since the epoch; only for records that outlive processes."""
    return time.time()
