"""Admission at an instance's door: a bound on requests in progress, shared fairly among callers.

While fewer than half of the places are taken, anybody may take one. From then on a caller may hold
at most an equal share of all places among the callers present, so one caller's burst cannot shut
the others out, and a single caller alone may still use every place.
"""

from __future__ import annotations

from collections import Counter

from wigeonarch_core.outcomes import Reason


class Admission:
    """Places of one instance.

    Attributes:
        taken: Requests in progress.
    """

    __slots__ = ("_callers", "_limit", "in_progress")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._callers: Counter[str] = Counter()
        self.in_progress = 0

    def try_admit(self, caller: str) -> Reason | None:
        """Takes a place for a caller; returns why not if there is none for it."""
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
        """Gives a place back."""
        self.in_progress -= 1
        self._callers[caller] -= 1
        if not self._callers[caller]:
            del self._callers[caller]

    def count_of(self, caller: str) -> int:
        """Returns the places that a caller holds."""
        return self._callers.get(caller, 0)

    def _fair_share(self, caller: str) -> float:
        present = len(self._callers) + (0 if self._callers.get(caller) else 1)
        return self._limit / max(1, present)
