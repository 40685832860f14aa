"""How many loads of base models an instance begins: its part of what the weight store allows."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Final

from wigeonarch_runtime.clock import monotonic

WINDOW: Final = 5.0  # Seconds over which loads are counted.


class ModelTurns:
    """The loads of base models that this instance began lately."""

    __slots__ = ("_began", "_instances", "_rates")

    def __init__(self, rates: Callable[[], Iterable[float]], instances: Callable[[], int]) -> None:
        """Has begun none.

        Args:
            rates: Returns the loads a second that each engine's service allows over all engines.
            instances: Returns how many instances share them.
        """
        self._rates = rates
        self._instances = instances
        self._began: list[float] = []

    def take(self) -> bool:
        """Takes a turn to begin a load now; returns whether there is one."""
        now = monotonic()
        self._began = [at for at in self._began if now - at < WINDOW]
        share = min(self._rates(), default=0.0) * WINDOW / self._instances()
        if len(self._began) >= max(1.0, share):
            return False
        self._began.append(now)
        return True
