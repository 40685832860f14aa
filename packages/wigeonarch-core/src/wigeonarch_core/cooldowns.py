"""How long endpoints want nothing from this instance.

An endpoint that turns a request away may say for how long it wants no other. What is sent there
meanwhile would be turned away, too, and costs a request its time and the allowed repeats. The time
is this instance's own: others may have been asked for none, or for another one. A later, shorter
time does not shorten the first. Times are handed in.
"""

from __future__ import annotations


class Cooldowns:
    """The rests that were asked for."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        """Knows of none."""
        self._until: dict[str, float] = {}

    def start(self, endpoint: str, seconds: float, now: float) -> bool:
        """Notes a rest that an endpoint asks for; returns whether it had none before."""
        self._until = {name: until for name, until in self._until.items() if until > now}
        fresh = endpoint not in self._until
        self._until[endpoint] = max(self._until.get(endpoint, now), now + seconds)
        return fresh

    def forget(self, endpoint: str) -> None:
        """Forgets the rest of an endpoint that started again."""
        self._until.pop(endpoint, None)

    def remaining(self, endpoint: str, now: float) -> float:
        """Returns the seconds for which nothing may be sent to an endpoint."""
        return max(0.0, self._until.get(endpoint, now) - now)

    def any_active(self, now: float) -> bool:
        """Tells whether any endpoint is to be left alone."""
        return any(until > now for until in self._until.values())
