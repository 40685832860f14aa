"""List of instances of the platform stand-in, which lags behind the truth."""

from __future__ import annotations

import time
from collections import deque

import msgspec


class Instance(msgspec.Struct):
    """One entry of the list of instances."""

    name: str = ""
    address: str = ""
    zone: str = ""
    role: str = ""
    service: str = ""
    state: str = "live"


class InstanceList:
    """The list of instances, which shows changes only after a lag."""

    def __init__(self) -> None:
        self.current: dict[str, Instance] = {}
        self._shown: dict[str, Instance] = {}
        self._pending: deque[tuple[float, str, Instance | None]] = deque()

    def set(self, name: str, instance: Instance | None) -> None:
        """Register an instance, or remove it."""
        if instance is None:
            self.current.pop(name, None)
        else:
            self.current[name] = instance
        self._pending.append((time.monotonic(), name, instance))

    def lagging_list(self, lag_s: float) -> list[Instance]:
        """Return the list as it was ``lag_s`` ago, and never earlier than already shown."""
        until = time.monotonic() - lag_s
        while self._pending and self._pending[0][0] <= until:
            _, name, instance = self._pending.popleft()
            if instance is None:
                self._shown.pop(name, None)
            else:
                self._shown[name] = instance
        return self.last_shown()

    def last_shown(self) -> list[Instance]:
        """Return the list as last shown."""
        return [self._shown[name] for name in sorted(self._shown)]
