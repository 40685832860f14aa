"""Instance list of the platform stand-in, which lags behind registrations."""

from __future__ import annotations

import time
from collections import deque

import msgspec


class Instance(msgspec.Struct):
    """One entry of the instance list."""

    name: str = ""
    address: str = ""
    zone: str = ""
    role: str = ""
    service: str = ""
    state: str = "live"


class InstanceList:
    """Instance list whose changes become visible only after a lag.

    Attributes:
        current: The registered instances without lag, by name.
    """

    def __init__(self) -> None:
        self.current: dict[str, Instance] = {}
        self._visible: dict[str, Instance] = {}
        self._pending: deque[tuple[float, str, Instance | None]] = deque()

    def set(self, name: str, instance: Instance | None) -> None:
        """Register an instance; None removes it."""
        if instance is None:
            self.current.pop(name, None)
        else:
            self.current[name] = instance
        self._pending.append((time.monotonic(), name, instance))

    def lagging_list(self, lag_s: float) -> list[Instance]:
        """Return the list as it was ``lag_s`` ago; it never goes back to an older state."""
        until = time.monotonic() - lag_s
        while self._pending and self._pending[0][0] <= until:
            _, name, instance = self._pending.popleft()
            if instance is None:
                self._visible.pop(name, None)
            else:
                self._visible[name] = instance
        return self.last_shown()

    def last_shown(self) -> list[Instance]:
        """Return the list as last returned, sorted by name."""
        return [self._visible[name] for name in sorted(self._visible)]
