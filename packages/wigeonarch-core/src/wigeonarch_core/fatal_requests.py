"""Requests that crash the endpoints that run them, and their quarantine.

A request that crashes its endpoint is often repeated by its caller, as a new attempt that may reach
any instance. Each attempt can take down another endpoint with everything that runs there. So
crashes have to be remembered per request, not only per endpoint.

A single crash proves nothing, as all requests on that endpoint were running when it crashed. A
request is quarantined once `CRASHES_TO_QUARANTINE` endpoints have crashed under it one after
another, with no completed run in between. A harmless request rarely sees that many crashes, and a
completed run clears it of all of them. Endpoints that crash together, such as those of a rack,
count once, because many callers may be sending the same request just then. So a crash counts only
if its run began after the last crash that counts. After a quarantine, one attempt may show that the
request is harmless by now; another crash makes the next quarantine longer.

A crash is identified by the endpoint and its incarnation. So the reports of several instances can
be combined, and a crash that is reported twice counts once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

import msgspec

CRASHES_TO_QUARANTINE: Final = 3  # Crashes one after another that quarantine a request.
# Crashes from which a request is kept in the store; nearly all harmless requests have only one.
CRASHES_TO_STORE: Final = 2
# Seconds by which a repetition may begin before the report of the crash that caused it arrives: a
# caller that repeats its request at once is faster than the messages between instances.
REPORT_LAG: Final = 0.05
# Seconds of quarantine after the last crash, and the factor by which each further crash multiplies
# it. It is long because a crash fails all requests on the endpoint.
QUARANTINE: Final = 900.0
QUARANTINE_GROWTH: Final = 4.0
# Seconds after its last crash, or its quarantine, until a request is forgotten.
EXPIRY: Final = 900.0
MAX_COUNTED_CRASHES: Final = 8  # Per request; these are also sent to other instances.
MAX_UNCOUNTED_CRASHES: Final = 64  # Per request, that are known but don't count.
MAX_SUSPECTS: Final = 5000  # Beyond it, those with the fewest and oldest crashes are dropped.
MAX_RETRACTED_CRASHES: Final = 1000  # That are remembered, so that they are not adopted again.
MAX_STORED: Final = 32  # Requests kept in the store.


class Crash(msgspec.Struct, frozen=True):
    """An endpoint that crashed just now while it ran a request.

    Attributes:
        content_key: Content key of the request.
        crash_id: Identifies the endpoint's incarnation.
        age: Seconds since the request was sent there.
    """

    content_key: str
    crash_id: str
    age: float


class RequestCrashes(msgspec.Struct, frozen=True):
    """Content key of a request, and the ids of the crashes that happened under it."""

    content_key: str
    crash_ids: frozenset[str]


@dataclass(slots=True)
class _Suspect:
    """What is remembered of a request.

    Attributes:
        last_crash_at: Time of the last crash that counts.
        counted: Crashes that count.
        uncounted: Crashes that don't count, for example because they happened together with one
            that does.
        cleared: Crashes that no longer count, as the request completed a run afterwards.
    """

    last_crash_at: float
    counted: set[str] = field(default_factory=set)
    uncounted: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)

    def knows(self, crash: str) -> bool:
        """Tells whether a crash was reported before."""
        return crash in self.counted or crash in self.uncounted or crash in self.cleared


class FatalRequests:
    """Requests under which endpoints have crashed."""

    __slots__ = ("_retracted", "_suspects")

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        # Retracted crashes that were not recorded again since, in order.
        self._retracted: dict[str, None] = {}

    def record_crash(self, crash: Crash, now: float) -> bool:
        """Records a crash just seen here or by another instance; returns whether it counts.

        At most `MAX_COUNTED_CRASHES` crashes of a request count, which is more than enough to
        quarantine it.
        """
        self._retracted.pop(crash.crash_id, None)
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
        """Adopts the crashes that another instance counts if these are more than counted here.

        The counts are not added up, as two instances may count different crashes of a group that
        happened together.

        Returns:
            Whether the crashes were adopted.
        """
        suspect = self._suspects.get(reported.content_key)
        cleared = set() if suspect is None else suspect.cleared
        known_false = cleared | self._retracted.keys()
        counted = sorted(set(reported.crash_ids) - known_false)[:MAX_COUNTED_CRASHES]
        if len(counted) <= self.crash_count(reported.content_key):
            return False
        if suspect is None:
            suspect = self._add(reported.content_key, now)
        suspect.uncounted = _union_or_new(suspect.uncounted, suspect.counted)
        suspect.counted = set(counted)
        suspect.last_crash_at = now
        return True

    def record_completion(self, content_key: str) -> RequestCrashes | None:
        """Clears a request that completed a run; returns the crashes that no longer count, if any.

        The cleared crashes are remembered, as other instances may still report them.
        """
        suspect = self._suspects.get(content_key)
        if suspect is None or not suspect.counted:
            return None
        crashes = RequestCrashes(content_key, frozenset(suspect.counted))
        self.apply_clearance(crashes)
        return crashes

    def apply_clearance(self, cleared: RequestCrashes) -> None:
        """Clears the crashes that another instance has cleared."""
        suspect = self._suspects.get(cleared.content_key)
        if suspect is not None:
            suspect.counted -= cleared.crash_ids
            suspect.cleared = _union_or_new(suspect.cleared, cleared.crash_ids)

    def retract(self, crash: str) -> int:
        """Forgets a crash that did not happen; returns for how many requests it counted.

        It counts again as soon as it is recorded anew, as the same incarnation may really crash
        later; but it is not adopted from an instance that still counts it.
        """
        self._retracted.pop(crash, None)
        self._retracted[crash] = None
        if len(self._retracted) > MAX_RETRACTED_CRASHES:
            del self._retracted[next(iter(self._retracted))]
        affected = 0
        for suspect in self._suspects.values():
            affected += crash in suspect.counted
            suspect.counted.discard(crash)
            suspect.uncounted.discard(crash)
        return affected

    def quarantine_left(self, content_key: str, now: float) -> float:
        """Returns the seconds until a request may be sent; 0 if it may be sent now."""
        suspect = self._suspects.get(content_key)
        if suspect is None:
            return 0.0
        return max(0.0, self._quarantine_end(suspect) - now)

    def crash_count(self, content_key: str) -> int:
        """Returns how many crashes of a request count."""
        suspect = self._suspects.get(content_key)
        return 0 if suspect is None else len(suspect.counted)

    def most_crashes(self, min_crashes: int, limit: int) -> list[RequestCrashes]:
        """Returns the requests with the most crashes, the latest first among equals.

        Args:
            min_crashes: Least number of crashes of a request that is returned.
            limit: Greatest number of requests that are returned.
        """
        found = [(name, s) for name, s in self._suspects.items() if len(s.counted) >= min_crashes]
        found.sort(key=lambda pair: (len(pair[1].counted), pair[1].last_crash_at), reverse=True)
        return [RequestCrashes(name, frozenset(suspect.counted)) for name, suspect in found[:limit]]

    def expire(self, now: float) -> None:
        """Forgets requests whose quarantine and last crash are long past."""
        for content_key, suspect in list(self._suspects.items()):
            if now >= max(self._quarantine_end(suspect), suspect.last_crash_at) + EXPIRY:
                del self._suspects[content_key]

    def _add(self, content_key: str, now: float) -> _Suspect:
        self._make_room()
        suspect = self._suspects[content_key] = _Suspect(now)
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
        excess = len(suspect.counted) - CRASHES_TO_QUARANTINE
        if excess < 0:
            return float("-inf")
        return suspect.last_crash_at + QUARANTINE * QUARANTINE_GROWTH**excess


def _union_or_new(names: set[str], more: Iterable[str]) -> set[str]:
    """Returns the union of both sets, or only the new names if the union is too large."""
    new = set(more)
    union = names | new
    return union if len(union) <= MAX_UNCOUNTED_CRASHES else new


def crash_id(endpoint: str, incarnation: int) -> str:
    """Returns the id of the crash of an endpoint's incarnation."""
    return f"{endpoint}@{incarnation}"
