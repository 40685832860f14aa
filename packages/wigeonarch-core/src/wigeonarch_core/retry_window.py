"""Limit on retries per service that needs no communication between instances.

In any window, all instances together may retry a share of a service's fresh requests, plus a fixed
allowance. Each instance keeps to the share of the fresh requests that it received itself, and to
its part of the allowance. The parts add up to less than the whole, so the sum keeps the limit even
while instances can't reach each other. An instance that sees fewer others than there are would take
too large a part, so the greatest number of instances ever seen is used.
"""

from __future__ import annotations

from collections import deque
from typing import Final

# Half of the share is kept back for fresh requests that have left the sliding window.
SHARE_USED: Final = 0.5
# Half of the allowance is kept back for instances that restart and count anew within a window.
ALLOWANCE_USED: Final = 0.5


class RetryWindow:
    """Fresh requests and retries of one instance, per service, over a sliding window."""

    __slots__ = ("_allowance", "_fresh", "_instances", "_retries", "_share", "_window")

    def __init__(self, share: float, allowance: float, window: float) -> None:
        """Starts with an empty window.

        Args:
            share: Retries allowed per fresh request, over all instances.
            allowance: Further retries allowed in a window, over all instances.
            window: Length of the window, in seconds.
        """
        self.set_bounds(share, allowance, window)
        self._instances = 1
        self._fresh: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def set_bounds(self, share: float, allowance: float, window: float) -> None:
        """Changes the limits; requests and retries counted so far stay."""
        self._share = share * SHARE_USED
        self._allowance = allowance * ALLOWANCE_USED
        self._window = window

    def note_instance_count(self, instances: int) -> None:
        """Notes how many instances there are, this one included."""
        self._instances = max(self._instances, instances)

    def record_request(self, service: str, now: float) -> None:
        """Notes a fresh request."""
        self._fresh.setdefault(service, deque()).append(now)

    def remaining(self, service: str, now: float) -> float:
        """Returns how many retries may be sent now; below 1 means none."""
        fresh = self._count(self._fresh, service, now)
        spent = self._count(self._retries, service, now)
        return self._share * fresh + self._allowance / self._instances - spent

    def try_spend(self, service: str, now: float) -> bool:
        """Takes one retry; returns False if none is left."""
        if self.remaining(service, now) < 1.0:
            return False
        self._retries.setdefault(service, deque()).append(now)
        return True

    def _count(self, table: dict[str, deque[float]], service: str, now: float) -> int:
        times = table.get(service)
        if not times:
            return 0
        while times and times[0] <= now - self._window:
            times.popleft()
        return len(times)
