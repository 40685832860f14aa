"""Extra tries: when a second endpoint gets a request whose answer is slow, and how many may.

A few slow answers decide the high percentiles. If the answer of a repeatable request is slower than
nearly all others of its service and route, the request is also sent to a second endpoint, and the
first whole answer counts (hedged requests). This helps while one endpoint is slow for a moment. It
must not help while all are: then each extra try only adds load. Three things see to that:

- The limit is a share of the requests that this instance sent to the service in a window. Nothing
  is carried over, and a part of a try is none. So the sum over all instances keeps the share
  without messages, also after restarts, and while instances can't reach each other.
- The moment is the percentile that leaves about the limit's share of the answers, so tries go
  where they save most. It is learned from answers that came within the objective.
- No try is sent that is not expected to be in time, or while the service as a whole is slow, near
  its limit, or refuses.

This answers loads below a service's limit with short disturbances of single endpoints. Source: J.
Dean and L. A. Barroso, The Tail at Scale, CACM 56(2), 2013.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Iterable
from typing import Final

import msgspec

SAMPLES: Final = 128  # Answers of a service and route that are remembered.
SAMPLE_AGE: Final = 30.0  # Seconds for which an answer is remembered.
MIN_SAMPLES: Final = 20  # Answers before which there are no extra tries.
# Answers and seconds after which the summary of answers is made anew.
SUMMARY_SAMPLES: Final = 4
SUMMARY_AGE: Final = 0.5
# Least percentile after which an answer counts as slow; a larger share does not lower it.
MIN_PERCENTILE: Final = 0.95
# Answers that tell whether all endpoints are slow, and how many times the usual time means that.
LATEST_SAMPLES: Final = 12
ALL_SLOW_FACTOR: Final = 1.5
IN_TIME_SHARE: Final = 0.8  # Share of the answers that came within the objective, at least.
# Weight of one answer in the recent time of an endpoint, and seconds for which that time holds.
ENDPOINT_WEIGHT: Final = 0.3
ENDPOINT_AGE: Final = 1.0
MAX_ENDPOINTS: Final = 256  # Endpoints above which those without recent answers are forgotten.
FULL_SHARE: Final = 0.85  # Share of a service's places taken, above which there are no extra tries.
REFUSAL_PAUSE: Final = 1.0  # Seconds without extra tries after a refusal of the service.


class Denial(enum.Enum):
    """Why a request has no extra try."""

    UNKNOWN = "unknown"  # Too few answers tell how long one takes.
    TOO_LATE = "too_late"  # The second answer would miss the objective.
    ALL_SLOW = "all_slow"  # Answers are slow at all endpoints.
    FULL = "full"  # The service is near its limit.
    REFUSED = "refused"  # The service has refused a request just now.
    LIMIT = "limit"  # The share of extra tries is used up.
    RETRY_BUDGET = "retry_budget"
    ATTEMPTS = "attempts"  # The first try was not sent yet, or the route allows no other endpoint.
    SUSPECT = "suspect"  # Endpoints may have crashed under the request.
    NO_ENDPOINT = "no_endpoint"  # No other endpoint can take the request at once.
    DRAINING = "draining"  # This instance is shutting down.


class ExtraTryLimit:
    """The extra tries that one instance may send to each service."""

    __slots__ = ("_requests", "_share", "_tries", "_window")

    def __init__(self, share: float, window: float) -> None:
        """Starts without requests, so that there is nothing to spend.

        Args:
            share: Extra tries per request, over all instances; 0 for none.
            window: Length of the sliding window, in seconds.
        """
        self._requests: dict[str, deque[float]] = {}
        self._tries: dict[str, deque[float]] = {}
        self.set_bounds(share, window)

    def set_bounds(self, share: float, window: float) -> None:
        """Changes the limit; requests are counted anew after extra tries were off."""
        self._share = share
        self._window = window
        if not share:
            self._requests.clear()

    @property
    def share(self) -> float:
        """Returns the extra tries per request; 0 if there are none."""
        return self._share

    def record_request(self, service: str, now: float) -> None:
        """Records a request that is sent to a service for the first time."""
        requests = self._requests.setdefault(service, deque())
        requests.append(now)
        _drop_before(requests, now - self._window)

    def remaining(self, service: str, now: float) -> float:
        """Returns how many extra tries may be sent now; below 1 means none.

        If the rate of requests falls, that of the last half of the window decides: its requests
        stay in the window for as long as tries sent now weigh on it.
        """
        requests = self._requests.get(service)
        if not self._share or not requests:
            return 0.0
        _drop_before(requests, now - self._window)
        middle = now - self._window / 2
        recent = sum(1 for at in requests if at > middle)
        return self._share * min(len(requests), 2 * recent) - self.spent(service, now)

    def spent(self, service: str, now: float) -> int:
        """Returns how many extra tries were sent in the window."""
        tries = self._tries.get(service, deque())
        _drop_before(tries, now - self._window)
        return len(tries)

    def try_spend(self, service: str, now: float) -> bool:
        """Takes one extra try; returns False if none is left."""
        if self.remaining(service, now) < 1.0:
            return False
        self._tries.setdefault(service, deque()).append(now)
        return True


class _Sample(msgspec.Struct, frozen=True):
    """One answer: when it came, how long it took, and whether that was within the objective."""

    at: float
    took: float
    in_time: bool


class AnswerTimes:
    """How long answers of one service and route took lately, as one instance saw it."""

    __slots__ = ("_by_endpoint", "_samples", "_summary", "_summary_at", "_unread")

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque(maxlen=SAMPLES)
        self._by_endpoint: dict[str, tuple[float, float]] = {}
        self._summary: AnswerSummary | None = None
        self._summary_at = -SUMMARY_AGE
        self._unread = 0  # Answers since the summary was made.

    def record(self, endpoint: str, took: float, objective: float, now: float) -> None:
        """Records the answer of a first try, or that it was ended as the second one had answered.

        The latter counts with the time until it was ended: without it, only fast answers of slow
        endpoints would be seen.
        """
        self._samples.append(_Sample(now, took, took <= objective))
        self._unread += 1
        self.record_endpoint(endpoint, took, now)

    def record_endpoint(self, endpoint: str, took: float, now: float) -> None:
        """Records the answer of a second try, which tells of its endpoint only."""
        if len(self._by_endpoint) >= MAX_ENDPOINTS:
            self._by_endpoint = {
                name: entry
                for name, entry in self._by_endpoint.items()
                if now - entry[1] <= ENDPOINT_AGE
            }
        before, at = self._by_endpoint.get(endpoint, (took, now))
        if now - at > ENDPOINT_AGE:
            before = took
        self._by_endpoint[endpoint] = (before + ENDPOINT_WEIGHT * (took - before), now)

    def summary(self, now: float) -> AnswerSummary | None:
        """Returns what the remembered answers tell; None if there are too few."""
        if self._unread >= SUMMARY_SAMPLES or now - self._summary_at >= SUMMARY_AGE:
            self._summary, self._summary_at, self._unread = self._summarize(now), now, 0
        return self._summary

    def _summarize(self, now: float) -> AnswerSummary | None:
        while self._samples and self._samples[0].at < now - SAMPLE_AGE:
            self._samples.popleft()
        if len(self._samples) < MIN_SAMPLES:
            return None
        in_time = sorted(sample.took for sample in self._samples if sample.in_time)
        if len(in_time) < IN_TIME_SHARE * len(self._samples):
            return AnswerSummary((), is_all_slow=True)
        usual = in_time[len(in_time) // 2]
        latest = sorted(sample.took for sample in list(self._samples)[-LATEST_SAMPLES:])
        is_all_slow = latest[len(latest) // 2] > ALL_SLOW_FACTOR * usual
        return AnswerSummary(tuple(in_time), is_all_slow)

    def endpoint_time(self, endpoint: str, now: float) -> float:
        """Returns the recent seconds of an endpoint's answers; 0 if there is none."""
        took, at = self._by_endpoint.get(endpoint, (0.0, 0.0))
        if now - at > ENDPOINT_AGE:
            self._by_endpoint.pop(endpoint, None)
            return 0.0
        return took


class AnswerSummary(msgspec.Struct, frozen=True):
    """The answers of a service and route at one moment.

    Attributes:
        in_time: Seconds of the answers within the objective, in order.
        is_all_slow: Whether answers are slow at all endpoints, or more than a fifth are late.
    """

    in_time: tuple[float, ...]
    is_all_slow: bool

    def usual(self) -> float:
        """Returns the median time in seconds."""
        return self.in_time[len(self.in_time) // 2]

    def slow_after(self, share: float) -> float:
        """Returns the seconds that only about a share of the answers exceed."""
        percentile = max(MIN_PERCENTILE, 1.0 - share)
        return self.in_time[min(len(self.in_time) - 1, int(percentile * len(self.in_time)))]


class Places(msgspec.Struct, frozen=True):
    """Places of one endpoint, and the requests there."""

    running: int
    slots: int


def expected_time(usual: float, places: Places, recent: float = 0.0) -> float:
    """Returns the seconds that a request is expected to take at an endpoint.

    Args:
        usual: Seconds that answers of the service usually take.
        places: The endpoint's places; requests beyond them wait.
        recent: Seconds that the endpoint's last answers took; 0 if unknown.
    """
    return max(usual * max(1.0, places.running / max(1, places.slots)), recent)


def plan(summary: AnswerSummary | None, share: float, objective_left: float) -> float | Denial:
    """Returns after how many seconds without an answer an extra try is due.

    Args:
        summary: The answers of the service and route.
        share: Extra tries per request.
        objective_left: Seconds until the objective of the answer ends.
    """
    if summary is None:
        return Denial.UNKNOWN
    if summary.is_all_slow:
        return Denial.ALL_SLOW
    wait = summary.slow_after(share)
    return wait if wait + summary.usual() <= objective_left else Denial.TOO_LATE


def judge_service(places: Iterable[Places], last_refusal: float, now: float) -> Denial | None:
    """Returns why a service gets no extra try now; None if it may.

    Args:
        places: Its endpoints' places.
        last_refusal: Time of its last refusal, in seconds.
        now: Current time.
    """
    if now - last_refusal < REFUSAL_PAUSE:
        return Denial.REFUSED
    running = slots = 0
    for each in places:
        running += min(each.running, each.slots)
        slots += max(1, each.slots)
    return Denial.FULL if running > FULL_SHARE * slots else None


def judge_second(expected: float, waited: float, objective_left: float) -> Denial | None:
    """Returns why a request is not sent to a second endpoint; None if it may be.

    Args:
        expected: Seconds that the second endpoint is expected to take.
        waited: Seconds that the first one has taken so far.
        objective_left: Seconds until the objective of the answer ends.
    """
    if expected >= waited:
        return Denial.ALL_SLOW
    return Denial.TOO_LATE if expected > objective_left else None


def _drop_before(times: deque[float], start: float) -> None:
    while times and times[0] <= start:
        times.popleft()
