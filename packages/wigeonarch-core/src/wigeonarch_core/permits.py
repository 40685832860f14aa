"""Permits for requests to an endpoint that takes only so many a second from all instances.

One instance gives the permits for an endpoint; the sum over the others is what it gave. A permit is
used within `HOLDS` or is void, so those given in a window and a moment before it are all that can
arrive there:

    rate x USED x (window + HOLDS) + AT_ONCE

That stays below the rate that was named, but for the few that are given at once after a calm time.
Part of the rate is not given: two instances may both give permits for a moment, while they hear
different peers. An instance that begins to give them may do so after another one, and starts with
none.
"""

from __future__ import annotations

from typing import Final

PERMIT_LIFETIME: Final = 0.5  # Seconds for which a permit may be used.
USED_SHARE: Final = 0.8  # Share of the rate that is given.
MAX_SAVED_PERMITS: Final = 2.0  # Permits that are saved up at most.
MAX_WAIT: Final = 10.0  # Seconds after which a permit is asked for again at the latest.


class PermitBucket:
    """The permits of one endpoint."""

    __slots__ = ("_at", "_level", "_rate")

    def __init__(self, rate: float, now: float) -> None:
        """Makes an empty bucket; `rate` is the requests a second that the endpoint named."""
        self._rate = rate * USED_SHARE
        self._level = 0.0
        self._at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Takes another rate from now on."""
        self._fill(now)
        self._rate = rate * USED_SHARE

    def seconds_until_permit(self, now: float) -> float:
        """Returns the seconds until there is a permit; 0 when there is one."""
        self._fill(now)
        lacks = 1.0 - self._level
        if lacks <= 0.0:
            return 0.0
        return min(MAX_WAIT, lacks / self._rate) if self._rate > 0.0 else MAX_WAIT

    def take(self, now: float) -> bool:
        """Takes a permit; False when there is none."""
        if self.seconds_until_permit(now) > 0.0:
            return False
        self._level -= 1.0
        return True

    def _fill(self, now: float) -> None:
        self._level = min(MAX_SAVED_PERMITS, self._level + self._rate * max(0.0, now - self._at))
        self._at = now
