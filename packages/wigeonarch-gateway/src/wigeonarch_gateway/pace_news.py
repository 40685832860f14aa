"""What an instance newly measured of endpoints' paces and has not reported to others yet.

Reports carry only what was measured since the last one, and each receiver adds it to what it knows.
So an endpoint without requests costs no bytes, and a lost report loses a few samples. The number of
endpoints in a report is bounded by the number of its receivers, as a report goes to all instances
of a zone several times a second. What exceeds the bound waits for the next reports, the oldest
first, and fades meanwhile.
"""

from __future__ import annotations

from typing import Final

from wigeonarch_core.endpoint_pace import FULL_EVIDENCE, LEAST_EVIDENCE, PaceSums

# Endpoints in one report, over all of its receivers: about 2 KB.
MAX_REPORTED: Final = 80
MIN_REPORTED: Final = 2  # Endpoints in one report, however many receivers it has.


class PaceNews:
    """Samples of paces that no report included yet."""

    __slots__ = ("_unreported",)

    def __init__(self) -> None:
        """Starts without samples."""
        self._unreported: dict[str, PaceSums] = {}

    def add(self, endpoint: str, observed: float, expected: float, now: float) -> None:
        """Adds a sample: the seconds that it took and those that were expected."""
        sums = self._unreported.setdefault(endpoint, PaceSums(updated_at=now))
        sums.add(observed, expected, now)
        sums.limit(FULL_EVIDENCE)

    def forget(self, endpoint: str) -> None:
        """Drops the samples of an endpoint that no longer exists or has restarted."""
        self._unreported.pop(endpoint, None)

    def take(self, receivers: int, now: float) -> dict[str, PaceSums]:
        """Returns the samples for the next report, which no later one will include.

        Args:
            receivers: Number of instances to which the report goes.
            now: Current time, in seconds.
        """
        self.drop_faded(now)
        limit = max(MIN_REPORTED, MAX_REPORTED // max(1, receivers))
        taken = dict(list(self._unreported.items())[:limit])
        for endpoint, sums in taken.items():
            del self._unreported[endpoint]
            sums.add(0.0, 0.0, now)
        return taken

    def drop_faded(self, now: float) -> None:
        """Drops samples that have faded, so that the memory stays bounded."""
        self._unreported = {
            endpoint: sums
            for endpoint, sums in self._unreported.items()
            if sums.expected * sums.weight(now) >= LEAST_EVIDENCE
        }
