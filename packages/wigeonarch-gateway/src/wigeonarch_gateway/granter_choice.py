"""Which instance grants what an endpoint allows to all instances together.

All instances determine an endpoint's granter by themselves, so several may take themselves for it
while they hear different peers. A granter therefore announces itself, as soon as it is one and
regularly. Of granters that hear each other only the one that ranks first goes on. That needs no
agreement, since all rank alike.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Final

# Seconds between announcements of a granter.
ANNOUNCEMENT_INTERVAL: Final = 1.0
# Seconds after which a granter that announced itself no longer counts: two announcements were lost.
RIVAL_TTL: Final = 2.5


class GranterChoice:
    """The granters of endpoints, as this instance sees them."""

    __slots__ = ("_announced_at", "_appointed", "_instance", "_rank", "_rivals")

    def __init__(
        self,
        instance: str,
        appointed: Callable[[str], str],
        rank: Callable[[str, Sequence[str]], list[str]],
    ) -> None:
        """Creates a choice; nobody has announced itself.

        Args:
            instance: Name of this instance.
            appointed: Returns the granter of an endpoint, by the peers that this instance hears.
            rank: Orders instances by their preference as an endpoint's granter, alike everywhere.
        """
        self._instance = instance
        self._appointed = appointed
        self._rank = rank
        # Time of the last announcement of each endpoint that this instance grants for.
        self._announced_at: dict[str, float] = {}
        # Other instances that announced that they grant for an endpoint, and when.
        self._rivals: dict[str, dict[str, float]] = {}

    def choose(self, endpoint: str, now: float) -> str:
        """Returns the instance to ask; this one if it grants."""
        appointed = self._appointed(endpoint)
        if appointed != self._instance or endpoint not in self._rivals:
            return appointed
        rivals = [name for name, at in self._rivals[endpoint].items() if now - at < RIVAL_TTL]
        return self._rank(endpoint, [self._instance, *rivals])[0]

    def note_announcement(self, endpoint: str, sender: str, grants: bool, now: float) -> None:
        """Notes whether another instance grants for an endpoint."""
        if grants:
            self._rivals.setdefault(endpoint, {})[sender] = now
        elif endpoint in self._rivals:
            self._rivals[endpoint].pop(sender, None)

    def begins(self, endpoint: str, now: float) -> bool:
        """Tells whether an announcement that this instance grants is due, and notes it as made."""
        if now - self._announced_at.get(endpoint, float("-inf")) < ANNOUNCEMENT_INTERVAL:
            return False
        self._announced_at[endpoint] = now
        return True

    def ends(self, endpoint: str) -> bool:
        """Tells whether this instance announced last that it grants; notes that it ceased to."""
        return self._announced_at.pop(endpoint, None) is not None

    def is_announced(self, endpoint: str) -> bool:
        """Tells whether this instance announced last that it grants for an endpoint."""
        return endpoint in self._announced_at

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint for which nothing has to be granted any more."""
        self._announced_at.pop(endpoint, None)
        self._rivals.pop(endpoint, None)
