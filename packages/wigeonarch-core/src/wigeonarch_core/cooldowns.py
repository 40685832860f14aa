"""Cooldowns: for how long endpoints asked this instance to send them nothing.

An endpoint that refuses a request may state for how long it wants no other. Requests sent before
that time would be refused, too, and each would lose time and spend an allowed retry. A cooldown
holds for this instance only: the endpoint may have asked other instances for a different time or
for none. A later, shorter cooldown does not shorten an earlier one. The caller passes the current
time.
"""

from __future__ import annotations


class Cooldowns:
    """Cooldowns of the endpoints that an instance sends requests to."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        """Starts without cooldowns."""
        self._until: dict[str, float] = {}

    def start(self, endpoint: str, seconds: float, now: float) -> bool:
        """Starts or extends an endpoint's cooldown; returns whether it had none before."""
        self._until = {name: until for name, until in self._until.items() if until > now}
        is_new = endpoint not in self._until
        self._until[endpoint] = max(self._until.get(endpoint, now), now + seconds)
        return is_new

    def forget(self, endpoint: str) -> None:
        """Ends the cooldown of an endpoint that has restarted."""
        self._until.pop(endpoint, None)

    def remaining(self, endpoint: str, now: float) -> float:
        """Returns the seconds for which nothing may be sent to an endpoint."""
        return max(0.0, self._until.get(endpoint, now) - now)

    def any_active(self, now: float) -> bool:
        """Tells whether any endpoint has a cooldown."""
        return any(until > now for until in self._until.values())
