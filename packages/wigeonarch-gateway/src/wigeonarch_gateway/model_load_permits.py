"""How many loads of base models an instance begins: its part of what the weight store allows."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from wigeonarch_runtime.clock import monotonic

WINDOW: Final = 5.0  # Seconds over which loads are counted.


class ModelLoadPermits:
    """The loads of base models that this instance began lately."""

    __slots__ = ("_begun_at", "_instance_count", "_rates")

    def __init__(
        self, rates: Callable[[], Iterable[float]], instance_count: Callable[[], int]
    ) -> None:
        """Has begun none.

        Args:
            rates: Returns the loads a second that each engine's service allows over all engines.
            instances: Returns how many instances share them.
        """
        self._rates = rates
        self._instance_count = instance_count
        self._begun_at: list[float] = []

    def acquire(self) -> bool:
        """Takes a turn to begin a load now; returns whether there is one."""
        now = monotonic()
        self._begun_at = [at for at in self._begun_at if now - at < WINDOW]
        share = min(self._rates(), default=0.0) * WINDOW / self._instance_count()
        if len(self._begun_at) >= max(1.0, share):
            return False
        self._begun_at.append(now)
        return True
