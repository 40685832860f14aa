"""Estimated rates of use from exponentially decayed counts, in bounded memory.

A count halves every half-life, so its value times `ln 2 / half_life` estimates the recent rate. The
rate of a key that has been idle for `t` seconds is capped at `1 / t`: a key that was used twice a
second, but not in the last minute, is no longer popular, whatever its count is. Decay is applied
when an entry is read, so idle entries cost nothing. When there are too many entries, those with the
lowest counts are dropped.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Final, Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

KEPT_SHARE: Final = 0.75  # Share of the entries that stays when there are too many.


@dataclass(slots=True)
class _Count:
    value: float
    at: float


class DecayedCounts(Generic[Key]):
    """Decayed number of events per key."""

    __slots__ = ("_counts", "_decay", "_limit")

    def __init__(self, half_life: float, limit: int) -> None:
        self._decay = math.log(2.0) / half_life
        self._limit = limit
        self._counts: dict[Key, _Count] = {}

    def add(self, key: Key, now: float, amount: float = 1.0) -> None:
        """Counts an event."""
        count = self._counts.get(key)
        if count is None:
            self._make_room(now)
            self._counts[key] = _Count(amount, now)
            return
        count.value = self._decayed(count, now) + amount
        count.at = now

    def rate(self, key: Key, now: float) -> float:
        """Returns the estimated events per second."""
        count = self._counts.get(key)
        if count is None:
            return 0.0
        estimate = self._decayed(count, now) * self._decay
        idle = now - count.at
        return min(estimate, 1.0 / idle) if idle > 0.0 else estimate

    def _decayed(self, count: _Count, now: float) -> float:
        return count.value * math.exp(-self._decay * max(0.0, now - count.at))

    def _make_room(self, now: float) -> None:
        if len(self._counts) < self._limit:
            return
        kept = heapq.nlargest(
            int(self._limit * KEPT_SHARE),
            self._counts.items(),
            key=lambda item: self._decayed(item[1], now),
        )
        self._counts = dict(kept)
