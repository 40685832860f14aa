"""How far an endpoint is trusted, from what its own answers showed.

Two kinds of evidence are kept apart. Silence and lost connections say that nothing gets through:
the endpoint is passed over for a pause that doubles, then one request tries it. Failures that it
answered say that it works badly: their share, compared with its peers of the same service, makes it
less attractive, but never closes it, as a service may fail a part of its requests by nature.
Health checks are not used: they are a cost, and an endpoint may pass them while it fails requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

PAUSE_FIRST: Final = 0.5  # Seconds; about the objective of the most urgent requests.
PAUSE_MOST: Final = 4.0  # Seconds; a crashed endpoint is back within a few seconds.
FAILURE_WEIGHT: Final = 0.15  # Weight of one answer in the failing share: about the last ten count.


@dataclass(slots=True)
class _Evidence:
    failing: float = 0.0
    answers: int = 0
    pauses: int = 0
    shut_until: float = 0.0
    trying: bool = False


class Doubts:
    """Evidence about the endpoints that an instance sends to."""

    __slots__ = ("_evidence",)

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}

    def shut(self, endpoint: str, now: float) -> bool:
        """Tells whether nothing should be sent to an endpoint now."""
        found = self._evidence.get(endpoint)
        if found is None or not found.pauses:
            return False
        return now < found.shut_until or found.trying

    def sending(self, endpoint: str, now: float) -> None:
        """Notes that a request is sent; after a pause it is the one that tries the endpoint."""
        found = self._evidence.get(endpoint)
        if found is not None and found.pauses:
            found.trying = True
            found.shut_until = max(found.shut_until, now + PAUSE_FIRST)

    def answered(self, endpoint: str, failed: bool) -> None:
        """Notes an answer of the endpoint itself."""
        found = self._evidence.setdefault(endpoint, _Evidence())
        found.failing += FAILURE_WEIGHT * (float(failed) - found.failing)
        found.answers += 1
        found.pauses = 0
        found.trying = False

    def released(self, endpoint: str) -> None:
        """Notes that a try ended without a verdict."""
        found = self._evidence.get(endpoint)
        if found is not None:
            found.trying = False

    def unreachable(self, endpoint: str, now: float) -> None:
        """Notes that a connection failed, was lost or stayed silent."""
        found = self._evidence.setdefault(endpoint, _Evidence())
        tried, found.trying = found.trying, False
        if now < found.shut_until and not tried:
            return  # Sent before the pause began: no new evidence.
        found.shut_until = now + min(PAUSE_MOST, PAUSE_FIRST * 2.0**found.pauses)
        found.pauses += 1

    def failing(self, endpoint: str) -> float:
        """Returns the recent share of answers that were failures, from 0 to 1."""
        found = self._evidence.get(endpoint)
        return found.failing if found else 0.0

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that is gone."""
        self._evidence.pop(endpoint, None)
