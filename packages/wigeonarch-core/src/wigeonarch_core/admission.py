"""Admission control of an instance: limits the requests in progress and shares them among callers.

While fewer than half of the limit are in progress, every request is admitted. From then on a caller
may have at most an equal share of the limit, divided among the callers that have requests in
progress. So a burst of one caller cannot shut the others out, and a caller that is alone may still
use the whole limit.
"""

from __future__ import annotations

from collections import Counter

from wigeonarch_core.outcomes import Reason


class Admission:
    """Requests in progress at one instance, per caller.

    Attributes:
        in_progress: Number of requests in progress, of all callers.
    """

    __slots__ = ("_callers", "_limit", "in_progress")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._callers: Counter[str] = Counter()
        self.in_progress = 0

    def try_admit(self, caller: str) -> Reason | None:
        """Admits a request of a caller; returns the reason if it is refused."""
        if self.in_progress >= self._limit:
            return Reason.CONCURRENCY
        if 2 * self.in_progress >= self._limit and self._callers[caller] >= self._fair_share(
            caller
        ):
            return Reason.FAIR_SHARE
        self.in_progress += 1
        self._callers[caller] += 1
        return None

    def release(self, caller: str) -> None:
        """Notes that an admitted request of a caller has ended."""
        self.in_progress -= 1
        self._callers[caller] -= 1
        if not self._callers[caller]:
            del self._callers[caller]

    def count_of(self, caller: str) -> int:
        """Returns how many requests of a caller are in progress."""
        return self._callers.get(caller, 0)

    def _fair_share(self, caller: str) -> float:
        callers = len(self._callers) + (0 if self._callers.get(caller) else 1)
        return self._limit / max(1, callers)
