"""To which endpoints an instance has a way, by whether it can open connections to them.

An endpoint that refuses or takes no connections may have crashed, or the way to it may be
interrupted. An instance that reaches none of a service's endpoints can't tell the two apart, nor
serve the service's requests by itself.

Slow or missing responses are no evidence here: an endpoint that is overloaded is reached.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

# Number of a service's endpoints that can't be reached from which on the others are probed too: one
# alone has most likely crashed.
SUSPICIOUS_COUNT: Final = 2


class EndpointReach:
    """The endpoints to which this instance can't open connections."""

    __slots__ = ("_unreachable",)

    def __init__(self) -> None:
        self._unreachable: set[str] = set()

    @property
    def any_unreachable(self) -> bool:
        """Tells whether there is an endpoint that can't be reached."""
        return bool(self._unreachable)

    def record_unreachable(self, endpoint: str) -> bool:
        """Notes that no connection could be opened; returns whether that is new."""
        is_new = endpoint not in self._unreachable
        self._unreachable.add(endpoint)
        return is_new

    def record_reached(self, endpoint: str) -> None:
        """Notes that a connection was opened, or that bytes of the endpoint arrived."""
        self._unreachable.discard(endpoint)

    def reaches_none(self, endpoints: Collection[str]) -> bool:
        """Tells whether there are endpoints and none of them can be reached."""
        return bool(endpoints) and self._unreachable.issuperset(endpoints)

    def is_suspicious(self, endpoints: Collection[str]) -> bool:
        """Tells whether so many of a service's endpoints can't be reached that the way may be."""
        if not endpoints:
            return False
        unreachable = self._unreachable.intersection(endpoints)
        return len(unreachable) >= min(SUSPICIOUS_COUNT, len(endpoints))

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that no longer exists."""
        self._unreachable.discard(endpoint)
