"""Logs what a limiter granted, once a second for each endpoint.

A line tells whether the limiter knew the endpoint's limit, so that the lines of all instances show
who granted permits beside whom, and from what knowledge. The number of lines is bounded by the
number of endpoints that were asked for.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from wigeonarch_runtime.logs import log

LOG_INTERVAL: Final = 1.0  # Seconds that one line covers.


@dataclass(slots=True)
class _Counts:
    """Permits of one endpoint since the last line.

    Attributes:
        rate: The endpoint's limit as this instance knows it; None if it knows of none.
        to_peers: Permits granted to other instances.
        own: Permits granted to requests of this instance.
        denied: Permits denied to other instances.
    """

    rate: float | None = None
    to_peers: int = 0
    own: int = 0
    denied: int = 0


class PermitLog:
    """Counts of the permits that this instance granted and denied since the last lines."""

    __slots__ = ("_counts", "_logged_at")

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}
        self._logged_at = 0.0

    def record_reply(self, endpoint: str, rate: float | None, granted: bool) -> None:
        """Counts a reply to another instance."""
        counts = self._of(endpoint, rate)
        counts.to_peers += granted
        counts.denied += not granted

    def record_own(self, endpoint: str, rate: float) -> None:
        """Counts a permit that a request of this instance uses."""
        self._of(endpoint, rate).own += 1

    def write(self, now: float) -> None:
        """Writes a line for each endpoint if the last lines are old enough."""
        if now - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = now
        for endpoint, counts in self._counts.items():
            log(
                "permits",
                endpoint=endpoint,
                rate=counts.rate,
                to_peers=counts.to_peers,
                own=counts.own,
                denied=counts.denied,
            )
        self._counts.clear()

    def _of(self, endpoint: str, rate: float | None) -> _Counts:
        counts = self._counts.setdefault(endpoint, _Counts())
        counts.rate = rate
        return counts
