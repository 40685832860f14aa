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

ENDS_MOST: Final = 3  # Endpoints that end one after the other until a request is held back.
# Ends from which a request is worth a place in the store: nearly all others share one end only.
ENDS_NOTABLE: Final = 2
# Seconds before an end was heard of in which another run may have begun because of it: what
# instances tell one another takes longer than a caller that comes back at once.
HEARD_LATE: Final = 0.05
# Seconds after its last end for which a request is held back, and how many times as long after each
# further end: an endpoint that ends costs all requests on it.
QUARANTINE: Final = 900.0
QUARANTINE_GROWS: Final = 4.0
# Seconds without a further end after which one that is not held back is forgotten.
FORGET: Final = 900.0
ENDS_KEPT: Final = 8  # Ends of one request that count, and are told.
KNOWN_MOST: Final = 64  # Ends of one request that don't count and are known.
SUSPECTS_MOST: Final = 5000  # Requests that are remembered; the oldest with the fewest ends go.
NOTABLE_MOST: Final = 32  # Requests that are kept in the store.


class End(msgspec.Struct, frozen=True):
    """An endpoint that just ended under a request.

    Attributes:
        content: Key of the request's content.
        endpoint: The endpoint's incarnation.
        age: Seconds since the request was sent there.
    """

    content: str
    endpoint: str
    age: float


class Ends(msgspec.Struct, frozen=True):
    """A request by the key of its content, and the endpoints that ended under it."""

    content: str
    endpoints: frozenset[str]


@dataclass(slots=True)
class _Suspect:
    """What is remembered of a request.

    Attributes:
        at: Time of the last end that counts.
        ends: Ends that count.
        others: Ends that don't, as one that came together with them does.
        cleared: Ends that don't count any more.
    """

    at: float
    ends: set[str] = field(default_factory=set)
    others: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)

    def knows(self, endpoint: str) -> bool:
        """Tells whether an end was told before."""
        return endpoint in self.ends or endpoint in self.others or endpoint in self.cleared


class FatalRequests:
    """What is remembered of requests under which endpoints ended."""

    __slots__ = ("_suspects",)

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}

    def ended(self, end: End, now: float) -> bool:
        """Notes an end that was just seen, here or elsewhere; returns whether it counts.

        Of a request with many ends no more are counted: it is known for what it is.
        """
        suspect = self._suspects.get(end.content)
        if suspect is None:
            suspect = self._add(end.content, now)
        elif suspect.knows(end.endpoint):
            return False
        together = bool(suspect.ends) and now - end.age + HEARD_LATE < suspect.at
        if together or len(suspect.ends) >= ENDS_KEPT:
            suspect.others = _joined(suspect.others, {end.endpoint})
            return False
        suspect.ends.add(end.endpoint)
        suspect.at = now
        return True

    def adopt(self, found: Ends, now: float) -> bool:
        """Takes over all ends that another instance counts, if these are more; returns if so.

        Of ends that came together two instances may count different ones, so they are not added up.
        """
        suspect = self._suspects.get(found.content)
        cleared = set() if suspect is None else suspect.cleared
        counted = sorted(set(found.endpoints) - cleared)[:ENDS_KEPT]
        if len(counted) <= self.ends(found.content):
            return False
        if suspect is None:
            suspect = self._add(found.content, now)
        suspect.others = _joined(suspect.others, suspect.ends)
        suspect.ends = set(counted)
        suspect.at = now
        return True

    def ran_whole(self, content: str) -> Ends | None:
        """Clears a request that an endpoint ran to its end; returns the ends that don't count now.

        They stay known, as others may still tell of them.
        """
        suspect = self._suspects.get(content)
        if suspect is None or not suspect.ends:
            return None
        ends = Ends(content, frozenset(suspect.ends))
        self.cleared(ends)
        return ends

    def cleared(self, found: Ends) -> None:
        """Notes what another instance saw cleared."""
        suspect = self._suspects.get(found.content)
        if suspect is not None:
            suspect.ends -= found.endpoints
            suspect.cleared = _joined(suspect.cleared, found.endpoints)

    def held_for(self, content: str, now: float) -> float:
        """Returns the seconds for which a request is held back; 0 when it may be sent."""
        suspect = self._suspects.get(content)
        if suspect is None:
            return 0.0
        return max(0.0, self._held_until(suspect) - now)

    def ends(self, content: str) -> int:
        """Returns how many endpoints ended under a request."""
        suspect = self._suspects.get(content)
        return 0 if suspect is None else len(suspect.ends)

    def known(self, least: int, most: int) -> list[Ends]:
        """Returns the requests with so many ends at least, those with most and the newest first."""
        found = [(name, s) for name, s in self._suspects.items() if len(s.ends) >= least]
        found.sort(key=lambda pair: (len(pair[1].ends), pair[1].at), reverse=True)
        return [Ends(name, frozenset(suspect.ends)) for name, suspect in found[:most]]

    def forget_old(self, now: float) -> None:
        """Forgets requests of which nothing was seen for long."""
        for content, suspect in list(self._suspects.items()):
            if now >= max(self._held_until(suspect), suspect.at) + FORGET:
                del self._suspects[content]

    def _add(self, content: str, now: float) -> _Suspect:
        self._make_room()
        suspect = self._suspects[content] = _Suspect(now)
        return suspect

    def _make_room(self) -> None:
        if len(self._suspects) < SUSPECTS_MOST:
            return
        least = min(self._suspects.items(), key=lambda pair: (len(pair[1].ends), pair[1].at))
        del self._suspects[least[0]]

    @staticmethod
    def _held_until(suspect: _Suspect) -> float:
        over = len(suspect.ends) - ENDS_MOST
        if over < 0:
            return float("-inf")
        return suspect.at + QUARANTINE * QUARANTINE_GROWS**over


def _joined(names: set[str], more: Iterable[str]) -> set[str]:
    """Returns both, or the new ones where both are too many."""
    fresh = set(more)
    both = names | fresh
    return both if len(both) <= KNOWN_MOST else fresh


def end_of(endpoint: str, born: int) -> str:
    """Returns the name of the end of an endpoint's incarnation."""
    return f"{endpoint}@{born}"
