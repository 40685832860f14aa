"""Pins: which dispatches use which adapter version of one engine.

A pin begins with a grant, or with a peer's declaration, and ends when the requester releases it. If
no release comes, the pin ends only after the request's hard deadline plus a margin, once a report
sampled after that shows the adapter idle. Until then the loaded copy can't be evicted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

from wigeonarch_core.refs import AdapterVersion


@dataclass(slots=True)
class Pin:
    """The use of an adapter version by one dispatch.

    Attributes:
        dispatch_id: Identifies the dispatch.
        requester: Instance that holds the grant.
        target: Adapter version in use.
        deadline: Hard deadline in seconds.
        since: Time of the grant, or of the declaration, in seconds.
        tokens: Upper bound of tokens to generate; 0 if unknown.
    """

    dispatch_id: str
    requester: str
    target: AdapterVersion
    deadline: float
    since: float
    tokens: int = 0


class PinTable:
    """All pins on one engine."""

    __slots__ = ("_pins", "_targets")

    def __init__(self) -> None:
        self._pins: dict[str, Pin] = {}
        self._targets: Counter[AdapterVersion] = Counter()

    def __len__(self) -> int:
        return len(self._pins)

    def __contains__(self, dispatch_id: str) -> bool:
        return dispatch_id in self._pins

    def count(self, target: AdapterVersion) -> int:
        """Returns how many dispatches use an adapter version."""
        return self._targets[target]

    def targets(self) -> list[AdapterVersion]:
        """Returns the adapter versions in use."""
        return list(self._targets)

    def add(self, pin: Pin) -> None:
        """Adds a pin; if there is one for the same dispatch, it stays as it is."""
        if pin.dispatch_id in self._pins:
            return
        self._pins[pin.dispatch_id] = pin
        self._targets[pin.target] += 1

    def remove(self, dispatch_id: str) -> Pin | None:
        """Removes and returns a pin; returns None if there is none."""
        pin = self._pins.pop(dispatch_id, None)
        if pin is None:
            return None
        self._targets[pin.target] -= 1
        if not self._targets[pin.target]:
            del self._targets[pin.target]
        return pin

    def held_by(self, requester: str) -> list[Pin]:
        """Returns the pins of a requester."""
        return [pin for pin in self._pins.values() if pin.requester == requester]

    def remove_overdue(self, sampled: float, idle: Callable[[AdapterVersion], bool]) -> list[Pin]:
        """Removes the pins that are past their deadline in a report that shows their adapter idle.

        Args:
            sampled: Time at which the report was sampled, minus the margin, in seconds.
            idle: Returns whether the report shows an adapter version without running requests.

        Returns:
            The removed pins.
        """
        overdue = [
            pin for pin in self._pins.values() if pin.deadline < sampled and idle(pin.target)
        ]
        for pin in overdue:
            self.remove(pin.dispatch_id)
        return overdue

    def all(self) -> list[Pin]:
        """Returns all pins."""
        return list(self._pins.values())

    def keep_only(self, targets: Collection[AdapterVersion]) -> None:
        """Removes all pins except those on `targets`, after a restart of the engine."""
        for pin in self.all():
            if pin.target not in targets:
                self.remove(pin.dispatch_id)
