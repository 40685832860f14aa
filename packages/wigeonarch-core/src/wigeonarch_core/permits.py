"""Permits for requests to an endpoint that limits its rate of requests from all instances together.

For each endpoint, a single instance grants the permits to all instances. A permit expires
`PERMIT_LIFETIME` after it was granted, so only permits granted in a window or shortly before it can
cause requests in that window. Their number is at most:

    rate x USED_SHARE x (window + PERMIT_LIFETIME) + MAX_SAVED_PERMITS

That stays below the endpoint's rate, except for the few permits that are granted at once after a
quiet period. Not all of the rate is granted, because two instances may both grant permits for a
moment while they reach different peers. An instance that starts to grant permits may follow another
one that did, so it starts without saved permits.
"""

from __future__ import annotations

from typing import Final

PERMIT_LIFETIME: Final = 0.5  # Seconds for which a permit may be used.
USED_SHARE: Final = 0.8  # Share of the rate that is granted.
MAX_SAVED_PERMITS: Final = 2.0  # Capacity of the bucket.
MAX_WAIT: Final = 10.0  # Longest wait, in seconds, before a permit is requested again.


class PermitBucket:
    """Token bucket of the permits of one endpoint."""

    __slots__ = ("_filled_at", "_level", "_rate")

    def __init__(self, rate: float, now: float) -> None:
        """Starts empty; `rate` is the endpoint's limit, in requests per second."""
        self._rate = rate * USED_SHARE
        self._level = 0.0
        self._filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the endpoint's rate, from now on."""
        self._fill(now)
        self._rate = rate * USED_SHARE

    def seconds_until_permit(self, now: float) -> float:
        """Returns the seconds until a permit is available; 0 if one is."""
        self._fill(now)
        missing = 1.0 - self._level
        if missing <= 0.0:
            return 0.0
        return min(MAX_WAIT, missing / self._rate) if self._rate > 0.0 else MAX_WAIT

    def take(self, now: float) -> bool:
        """Takes a permit; returns False if none is available."""
        if self.seconds_until_permit(now) > 0.0:
            return False
        self._level -= 1.0
        return True

    def _fill(self, now: float) -> None:
        self._level = min(
            MAX_SAVED_PERMITS, self._level + self._rate * max(0.0, now - self._filled_at)
        )
        self._filled_at = now
