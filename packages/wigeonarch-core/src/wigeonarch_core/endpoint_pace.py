"""Pace of each endpoint: how many times as long as usual its service's work takes there.

Endpoints of one service may differ by their hardware, and one may become slow while it still
answers, which neither silence nor failures show. The evidence of an endpoint is two sums, observed
and expected seconds, to which each instance adds what it measures and what other instances report.
Only the quotient counts, relative to the median over the endpoints of the service, so what is
expected may be off by a common factor.

Evidence is limited, fades within seconds, and is weighed against a
prior at the usual pace. So a change shows soon, and an endpoint that was slow gets a few requests
again. An error is harmless: the pace only affects which endpoint is chosen, never whether a request
runs. Failures and refusals are no samples, as they end quickly on an endpoint of any pace.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

EVIDENCE_HALF_LIFE: Final = 2.0  # Seconds, with no newer evidence.
# Expected seconds at which an endpoint's evidence is full; older evidence gives way to newer.
FULL_EVIDENCE: Final = 20.0
# Expected seconds of the prior assumption that an endpoint has the usual pace.
PRIOR_EVIDENCE: Final = 0.2
# Expected seconds below which evidence says nothing of what is usual, and is dropped.
LEAST_EVIDENCE: Final = 0.02
# Expected seconds that each answer of a plain service counts for. It is the same for all services,
# so that instances agree without knowing what is usual.
ANSWER_EXPECTED: Final = 0.1
# Nominal seconds between two events of a stream, and the share that each other running request
# adds. Only quotients count, so they need not be near real gaps.
EVENT_EXPECTED: Final = 0.03
EVENT_SHARE_PER_REQUEST: Final = 0.02
# Gaps between events that make up one sample, and the least number at the end of a stream.
GAPS_PER_SAMPLE: Final = 8
MIN_GAPS: Final = 4
# Seconds. The gap after a longer write to the caller is skipped, as the write distorts it.
LONGEST_WRITE: Final = 0.005
# Seconds for which reports of others about an endpoint that restarted may be about its last start.
OLD_NEWS_TIME: Final = 2.0
RATIOS_AGE: Final = 0.2  # Seconds for which ratios are used before they are worked out anew.
MIN_RATIO: Final = 0.1
MAX_RATIO: Final = 20.0
# Ratios up to this factor from the usual pace are noise, and count as the usual pace.
EVEN_RATIO: Final = 1.25


@dataclass(slots=True)
class PaceSums:
    """Evidence of an endpoint's pace, which may be added up.

    Attributes:
        observed: Seconds that samples took.
        expected: Seconds that they were expected to take.
        updated_at: Time to which both are decayed, in seconds.
    """

    observed: float = 0.0
    expected: float = 0.0
    updated_at: float = 0.0

    def add(self, observed: float, expected: float, now: float) -> None:
        """Adds evidence; what was there decays until now."""
        weight = self.weight(now)
        self.observed = weight * self.observed + observed
        self.expected = weight * self.expected + expected
        self.updated_at = max(self.updated_at, now)

    def limit(self, expected: float) -> None:
        """Scales the evidence down if it is worth more than these expected seconds."""
        if self.expected > expected:
            self.observed *= expected / self.expected
            self.expected = expected

    def weight(self, now: float) -> float:
        """Returns the share of the evidence that has not faded."""
        return math.exp2(min(0.0, self.updated_at - now) / EVIDENCE_HALF_LIFE)


class EndpointPaces:
    """What is known of the paces of all endpoints, from this instance and from others."""

    __slots__ = ("_evidence", "_restarts")

    def __init__(self) -> None:
        """Starts without evidence: all endpoints have the usual pace."""
        self._evidence: dict[str, PaceSums] = {}
        self._restarts: dict[str, float] = {}

    def add(self, endpoint: str, observed: float, expected: float, now: float) -> None:
        """Adds evidence that this instance measured.

        Args:
            endpoint: The endpoint.
            observed: Seconds that the sample took.
            expected: Seconds that it takes at the pace by which all instances measure.
            now: Current time, in seconds.
        """
        if expected <= 0.0 or observed < 0.0:
            return
        sums = self._evidence.setdefault(endpoint, PaceSums(updated_at=now))
        sums.add(observed, expected, now)
        sums.limit(FULL_EVIDENCE)

    def add_reported(self, endpoint: str, observed: float, expected: float, now: float) -> None:
        """Adds evidence that another instance reported, unless it may be of an earlier start."""
        if now - self._restarts.get(endpoint, -OLD_NEWS_TIME) >= OLD_NEWS_TIME:
            self.add(endpoint, observed, expected, now)

    def forget(self, endpoint: str, now: float) -> None:
        """Forgets an endpoint that no longer exists or has restarted."""
        self._evidence.pop(endpoint, None)
        self._restarts = {
            name: at for name, at in self._restarts.items() if now - at < OLD_NEWS_TIME
        }
        self._restarts[endpoint] = now

    def drop_faded(self, now: float) -> None:
        """Drops evidence that has faded, so that the memory stays bounded."""
        self._evidence = {
            name: sums
            for name, sums in self._evidence.items()
            if sums.expected * sums.weight(now) >= LEAST_EVIDENCE
        }

    def ratio(self, endpoint: str, peers: Iterable[str], now: float) -> float:
        """Returns how many times as long as usual an endpoint takes; 1 while little is known.

        Args:
            endpoint: The endpoint.
            peers: All endpoints of its service; whether it is among them makes no difference.
            now: Current time, in seconds.
        """
        return self.ratios({endpoint, *peers}, now)[endpoint]

    def ratios(self, endpoints: Iterable[str], now: float) -> dict[str, float]:
        """Returns the ratio of each of the endpoints of one service, as `ratio` does."""
        found = {name: self._evidence.get(name) for name in endpoints}
        known = sorted(
            sums.observed / sums.expected
            for sums in found.values()
            if sums is not None and sums.expected * sums.weight(now) >= LEAST_EVIDENCE
        )
        usual = known[(len(known) - 1) // 2] if known else 0.0
        if usual <= 0.0:
            return dict.fromkeys(found, 1.0)
        return {name: _weighed_ratio(sums, usual, now) for name, sums in found.items()}


class RecentRatios:
    """Ratios of each service's endpoints, worked out less often than requests are sent."""

    __slots__ = ("_found", "_paces")

    def __init__(self, paces: EndpointPaces) -> None:
        """Starts without ratios of these paces."""
        self._paces = paces
        # Ratios of each service, with the time at which they were worked out.
        self._found: dict[str, tuple[float, dict[str, float]]] = {}

    def of_service(
        self, service: str, endpoints: Iterable[str], needed: Iterable[str], now: float
    ) -> dict[str, float]:
        """Returns ratios of a service's endpoints that are at most `RATIOS_AGE` old.

        Args:
            service: The service.
            endpoints: All endpoints of the service; read only if the ratios are worked out anew.
            needed: Endpoints of which the ratio is needed.
            now: Current time, in seconds.
        """
        at, found = self._found.get(service, (-math.inf, {}))
        if 0.0 <= now - at < RATIOS_AGE and all(name in found for name in needed):
            return found
        found = self._paces.ratios({*endpoints, *needed}, now)
        self._found[service] = (now, found)
        return found


class EventGaps:
    """Measures the time between two events of one stream.

    The prompts that an engine processes between events lengthen some of them, which is load and not
    pace. So of some gaps in succession the lower quartile counts.
    """

    __slots__ = ("_gaps", "_last")

    def __init__(self) -> None:
        """Starts before the first event."""
        self._gaps: list[float] = []
        self._last: float | None = None

    def note(self, events: int, now: float) -> float | None:
        """Notes that events arrived together; returns the typical gap once there are enough."""
        if events <= 0:
            return None
        if self._last is not None:
            self._gaps.append((now - self._last) / events)
        self._last = now
        return self.typical() if len(self._gaps) >= GAPS_PER_SAMPLE else None

    def note_write(self, took: float) -> None:
        """Notes how long the caller took to accept events; the next gap may then be its own."""
        if took > LONGEST_WRITE:
            self._last = None

    def typical(self) -> float | None:
        """Returns the lower quartile of the gaps since the last call; None if there are few."""
        gaps, self._gaps = sorted(self._gaps), []
        return gaps[len(gaps) // 4] if len(gaps) >= MIN_GAPS else None


def expected_gaps(running: int) -> float:
    """Returns the expected seconds that one sample of gaps between events counts for.

    Args:
        running: Requests that run at the engine, with this one.
    """
    share = 1.0 + EVENT_SHARE_PER_REQUEST * max(0, running - 1)
    return GAPS_PER_SAMPLE * EVENT_EXPECTED * share


def settled(ratios: Sequence[float], noise: float = EVEN_RATIO) -> list[float]:
    """Returns the ratios for a choice: 1 for those that differ by no more than noise.

    Args:
        ratios: Ratios of the endpoints among which to choose.
        noise: Factor up to which a ratio counts as the usual pace. If all are within `EVEN_RATIO`
            of each other, each does.
    """
    if len(ratios) > 1 and max(ratios) <= EVEN_RATIO * min(ratios):
        return [1.0] * len(ratios)
    return [1.0 if 1.0 / noise <= ratio <= noise else ratio for ratio in ratios]


def _weighed_ratio(sums: PaceSums | None, usual: float, now: float) -> float:
    if sums is None:
        return 1.0
    weight = sums.weight(now)
    observed = weight * sums.observed / usual + PRIOR_EVIDENCE
    expected = weight * sums.expected + PRIOR_EVIDENCE
    return min(MAX_RATIO, max(MIN_RATIO, observed / expected))
