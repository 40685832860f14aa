"""Requests under which endpoints end, and when such a request is not sent any more.

A request that crashes whatever runs it comes back with its caller, to any instance, as a new
attempt. Each send takes an endpoint down with all that runs there, so what one endpoint showed has
to be remembered for the request, not only for the endpoint.

One end proves nothing: all requests on the endpoint saw it. A request is held back once several
endpoints ended under it one after the other, and none ran it whole in between. An innocent one
rarely meets that many ends, and a whole answer clears it of all of them. Endpoints that end
together, as those of a rack do, count once: many callers may be asking for the same thing just
then. So an end counts only if the run began after the last one that counts. After a quarantine one
attempt may show that the request has become harmless; another end makes the next one longer.

Ends are named by endpoint and incarnation, so that what several instances tell adds up, and the
same end told twice counts once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import msgspec

CRASHES_TO_QUARANTINE: Final = (
    3  # Endpoints that end one after the other until a request is held back.
)
# Ends from which a request is worth a place in the store: nearly all others share one end only.
CRASHES_TO_STORE: Final = 2
# Seconds before an end was heard of in which another run may have begun because of it: what
# instances tell one another takes longer than a caller that comes back at once.
REPORT_LAG: Final = 0.05
# Seconds after its last end for which a request is held back, and how many times as long after each
# further end: an endpoint that ends costs all requests on it.
QUARANTINE: Final = 900.0
QUARANTINE_GROWTH: Final = 4.0
# Seconds without a further end after which one that is not held back is forgotten.
EXPIRY: Final = 900.0
MAX_COUNTED_CRASHES: Final = 8  # Ends of one request that count, and are told.
MAX_UNCOUNTED_CRASHES: Final = 64  # Ends of one request that don't count and are known.
MAX_SUSPECTS: Final = 5000  # Requests that are remembered; the oldest with the fewest ends go.
MAX_STORED: Final = 32  # Requests that are kept in the store.


class Crash(msgspec.Struct, frozen=True):
    """An endpoint that just ended under a request.

    Attributes:
        content: Key of the request's content.
        endpoint: The endpoint's incarnation.
        age: Seconds since the request was sent there.
    """

    content_key: str
    crash_id: str
    age: float


class RequestCrashes(msgspec.Struct, frozen=True):
    """A request by the key of its content, and the endpoints that ended under it."""

    content_key: str
    crash_ids: frozenset[str]


@dataclass(slots=True)
class _Suspect:
    """What is remembered of a request.

    Attributes:
        at: Time of the last end that counts.
        ends: Ends that count.
        others: Ends that don't, as one that came together with them does.
        cleared: Ends that don't count any more.
    """

    last_crash_at: float
    counted: set[str] = field(default_factory=set)
    uncounted: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)

    def knows(self, endpoint: str) -> bool:
        """Tells whether an end was told before."""
        return endpoint in self.counted or endpoint in self.uncounted or endpoint in self.cleared


class FatalRequests:
    """What is remembered of requests under which endpoints ended."""

    __slots__ = ("_suspects",)

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Notes an end that was just seen, here or elsewhere; returns whether it counts.

        Of a request with many ends no more are counted: it is known for what it is.
        """
        suspect = self._suspects.get(crash.content_key)
        if suspect is None:
            suspect = self._add(crash.content_key, now)
        elif suspect.knows(crash.crash_id):
            return False
        together = bool(suspect.counted) and now - crash.age + REPORT_LAG < suspect.last_crash_at
        if together or len(suspect.counted) >= MAX_COUNTED_CRASHES:
            suspect.uncounted = _union_or_new(suspect.uncounted, {crash.crash_id})
            return False
        suspect.counted.add(crash.crash_id)
        suspect.last_crash_at = now
        return True

    def adopt(self, reported: RequestCrashes, now: float) -> bool:
        """Takes over all ends that another instance counts, if these are more; returns if so.

        Of ends that came together two instances may count different ones, so they are not added up.
        """
        suspect = self._suspects.get(reported.content_key)
        cleared = set() if suspect is None else suspect.cleared
        counted = sorted(set(reported.crash_ids) - cleared)[:MAX_COUNTED_CRASHES]
        if len(counted) <= self.crash_count(reported.content_key):
            return False
        if suspect is None:
            suspect = self._add(reported.content_key, now)
        suspect.uncounted = _union_or_new(suspect.uncounted, suspect.counted)
        suspect.counted = set(counted)
        suspect.last_crash_at = now
        return True

    def record_completion(self, content: str) -> RequestCrashes | None:
        """Clears a request that an endpoint ran to its end; returns the ends that don't count now.

        They stay known, as others may still tell of them.
        """
        suspect = self._suspects.get(content)
        if suspect is None or not suspect.counted:
            return None
        ends = RequestCrashes(content, frozenset(suspect.counted))
        self.apply_clearance(ends)
        return ends

    def apply_clearance(self, cleared: RequestCrashes) -> None:
        """Notes what another instance saw cleared."""
        suspect = self._suspects.get(cleared.content_key)
        if suspect is not None:
            suspect.counted -= cleared.crash_ids
            suspect.cleared = _union_or_new(suspect.cleared, cleared.crash_ids)

    def quarantine_left(self, content: str, now: float) -> float:
        """Returns the seconds for which a request is held back; 0 when it may be sent."""
        suspect = self._suspects.get(content)
        if suspect is None:
            return 0.0
        return max(0.0, self._quarantine_end(suspect) - now)

    def crash_count(self, content: str) -> int:
        """Returns how many endpoints ended under a request."""
        suspect = self._suspects.get(content)
        return 0 if suspect is None else len(suspect.counted)

    def most_crashes(self, min_crashes: int, limit: int) -> list[RequestCrashes]:
        """Returns the requests with so many ends at least, those with most and the newest first."""
        found = [(name, s) for name, s in self._suspects.items() if len(s.counted) >= min_crashes]
        found.sort(key=lambda pair: (len(pair[1].counted), pair[1].last_crash_at), reverse=True)
        return [RequestCrashes(name, frozenset(suspect.counted)) for name, suspect in found[:limit]]

    def expire(self, now: float) -> None:
        """Forgets requests of which nothing was seen for long."""
        for content, suspect in list(self._suspects.items()):
            if now >= max(self._quarantine_end(suspect), suspect.last_crash_at) + EXPIRY:
                del self._suspects[content]

    def _add(self, content: str, now: float) -> _Suspect:
        self._make_room()
        suspect = self._suspects[content] = _Suspect(now)
        return suspect

    def _make_room(self) -> None:
        if len(self._suspects) < MAX_SUSPECTS:
            return
        least = min(
            self._suspects.items(), key=lambda pair: (len(pair[1].counted), pair[1].last_crash_at)
        )
        del self._suspects[least[0]]

    @staticmethod
    def _quarantine_end(suspect: _Suspect) -> float:
        over = len(suspect.counted) - CRASHES_TO_QUARANTINE
        if over < 0:
            return float("-inf")
        return suspect.last_crash_at + QUARANTINE * QUARANTINE_GROWTH**over


def _union_or_new(names: set[str], more: Iterable[str]) -> set[str]:
    """Returns both, or the new ones where both are too many."""
    fresh = set(more)
    both = names | fresh
    return both if len(both) <= MAX_UNCOUNTED_CRASHES else fresh


def crash_id(endpoint: str, incarnation: int) -> str:
    """Returns the name of the end of an endpoint's incarnation."""
    return f"{endpoint}@{incarnation}"
