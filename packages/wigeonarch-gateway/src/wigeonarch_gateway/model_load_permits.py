"""Limits the loads of base models that an instance begins to its share of the allowed rate.

The weight store allows a rate of loads over all engines. Only owners of engines begin loads, so the
rate is shared equally by the instances that may own engines. A load that certainly did not begin
gives its permit back.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from wigeonarch_runtime.clock import monotonic

WINDOW: Final = 5.0  # Seconds over which loads are counted.


class ModelLoadPermits:
    """Permits for this instance to begin loads of base models."""

    __slots__ = ("_begun_at", "_owner_count", "_rates")

    def __init__(
        self, rates: Callable[[], Iterable[float]], owner_count: Callable[[], int]
    ) -> None:
        """Creates the permits; none is in use yet.

        Args:
            rates: Returns, for each engine, the loads per second that its service allows over all
                engines.
            owner_count: Returns the number of instances that may begin loads within a window.
        """
        self._rates = rates
        self._owner_count = owner_count
        self._begun_at: list[float] = []

    def acquire(self) -> bool:
        """Acquires a permit to begin a load now; returns whether there is one."""
        now = monotonic()
        self._begun_at = [at for at in self._begun_at if now - at < WINDOW]
        share = min(self._rates(), default=0.0) * WINDOW / self._owner_count()
        if len(self._begun_at) >= max(1.0, share):
            return False
        self._begun_at.append(now)
        return True

    def give_back(self) -> None:
        """Gives back a permit, because its load did not begin and never will.

        The oldest one goes, so that a load that did begin counts for as long as it must.
        """
        if self._begun_at:
            self._begun_at.pop(0)
