"""A bound on repeated sends per service that needs no talk between instances.

Over any window, all instances together may send a service a share of its fresh requests again, plus
a fixed allowance. Each instance keeps to the share of the fresh requests that it took itself and to
its part of the allowance; the parts add up to less than the whole, so the sum keeps the bound also
while instances can't hear each other. An instance that hears of fewer others than there are would
take too large a part, so the greatest number ever heard of counts.
"""

from __future__ import annotations

from collections import deque
from typing import Final

# Half of the share is left for requests that the sliding window no longer counts as fresh.
SHARE_USED: Final = 0.5
# Instances may be restarted and begin a new count within a window.
ALLOWANCE_USED: Final = 0.5


class RetryWindow:
    """Fresh and repeated sends of one instance, per service, over a sliding window."""

    __slots__ = ("_allowance", "_fresh", "_instances", "_retries", "_share", "_window")

    def __init__(self, share: float, allowance: float, window: float) -> None:
        """Makes an empty window.

        Args:
            share: Repeats allowed per fresh request, over all instances.
            allowance: Repeats allowed besides, over all instances.
            window: Its length, in seconds.
        """
        self.set_bounds(share, allowance, window)
        self._instances = 1
        self._fresh: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def set_bounds(self, share: float, allowance: float, window: float) -> None:
        """Takes other bounds; what was counted stays."""
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
        """Returns how many repeats may be sent now; below 1 means none."""
        fresh = self._count(self._fresh, service, now)
        spent = self._count(self._retries, service, now)
        return self._share * fresh + self._allowance / self._instances - spent

    def try_spend(self, service: str, now: float) -> bool:
        """Takes one repeat; False when none is left."""
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
