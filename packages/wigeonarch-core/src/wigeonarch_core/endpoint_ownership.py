"""Who may order an endpoint, on endpoints that check nothing.

Each instance has one lease object, each endpoint one holder object; both are written on condition
of their revision, and the revision of the holder object is the fencing number of the orders. An
instance orders only while its lease holds on its own clock, which counts suspended time. Another
one takes an endpoint over only when a fresh read shows the holder's lease unchanged after its end,
and then orders nothing for a further pause. So two instances never order one endpoint within that
pause, also when the first was frozen, cut off or only slow.

Heartbeats tell how long a lease has left, so that its end is known without a watch of it in the
store; the store decides whether it was renewed since. While the store is away, a holder goes on by
promises of all that could take over (`promises`).

A process that finds its own instance's name in a holder object resumes at once, with a new fencing
number: it is the same holder. Only where the last process of that name had just taken the endpoint
over from another one does it wait for the pause, too.

The store may come back from an older copy, in its next era: holder objects and leases of the last
seconds are gone then, and the objects may name those who held before. So each holder object says in
which era it was written. Who holds an endpoint writes it again at once and goes on meanwhile; who
does not, and finds none of this era, can't tell who holds it, and orders nothing until any holder
has either written it again or stopped: `Era.settled`.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

import msgspec

from wigeonarch_core.rendezvous import ranked

NEVER: Final = float("-inf")  # Before all times.
UNKNOWN_ERA: Final = -1  # Before all eras.
FIRST_ERA: Final = 0  # Of a store that never came back from a copy.
# Seconds in which a holder goes on by what it wrote in an earlier era, until it is written again.
REWRITE_GRACE: Final = 1.0


@dataclass(slots=True)
class Era:
    """The store's era, as an instance sees it.

    Attributes:
        number: Its number.
        since: Time at which it was seen to begin. A process that starts in one that is not the
            store's first can't tell how long ago it began, and takes it for new.
    """

    number: int = UNKNOWN_ERA
    since: float = NEVER

    def observe(self, number: int, now: float) -> None:
        """Notes the era that the store is in."""
        if number > self.number:
            self.since = NEVER if number == FIRST_ERA else now
            self.number = number

    def settled_at(self, term: float, margin: float, pause: float) -> float:
        """Returns the time from which no holder of the era before can be in the way.

        One that reached the store until the era began holds for a term more, hears of the era by
        its next renewal at the latest, and then stops unless its object is written again.
        """
        return self.since + term + margin + REWRITE_GRACE + pause

    def must_stop(self, written: int, now: float) -> bool:
        """Tells whether a holder must stop that wrote its object in an earlier era.

        One that did not write it in the era between may have had to stop in that.
        """
        if written == self.number - 1:
            return now >= self.since + REWRITE_GRACE
        return written < self.number


class EndpointOwner(msgspec.Struct, frozen=True):
    """Who holds an endpoint, by the store.

    Attributes:
        endpoint: The endpoint.
        holder: The instance that may order it.
        revision: Revision of the object, which is the fencing number.
        taken_over: Whether the object was last written when it was taken over from another one.
        current: Whether it was written in the store's present era.
    """

    endpoint: str
    owner: str
    revision: int
    taken_over: bool = False
    in_current_era: bool = True


class Claim(msgspec.Struct, frozen=True):
    """Write the holder object on condition of its revision (0: absent).

    Attributes:
        endpoint: The endpoint.
        revision: Revision that the object must have.
        pause: Seconds after the write in which nothing may be ordered.
        settled: Whether no holder of an earlier era can be in the way; if not, nothing may be
            ordered before `Era.settled` either.
    """

    endpoint: str
    revision: int
    pause: float
    no_earlier_owner: bool = False


@dataclass(slots=True)
class _Seen:
    revision: int
    ends: float
    read: float = float("-inf")


class ObservedLeases:
    """Leases of other instances, as their heartbeats tell and as read from the store."""

    __slots__ = ("_leases", "_margin", "_term")

    def __init__(self, term: float, margin: float) -> None:
        self._term = term
        self._margin = margin
        self._leases: dict[str, _Seen] = {}

    def record_heartbeat(self, instance: str, revision: int, left: float, now: float) -> None:
        """Notes what a heartbeat tells: the lease's revision, and the seconds that it has left."""
        seen = self._leases.get(instance)
        if seen is None or revision > seen.revision:
            self._leases[instance] = _Seen(revision, now + left)
        elif revision == seen.revision:
            # Promises extend a lease without a write.
            seen.ends = max(seen.ends, now + left)

    def record_read(self, instance: str, revision: int, now: float) -> None:
        """Notes the revision of a lease that was just read; 0 when it does not exist."""
        seen = self._leases.get(instance)
        if seen is None or revision > seen.revision:
            seen = self._leases[instance] = _Seen(revision, now + self._term)
        seen.read = now

    def has_lapsed(self, instance: str) -> bool:
        """Tells whether a read after the end of the lease showed it unchanged."""
        seen = self._leases.get(instance)
        return seen is not None and seen.read > seen.ends + self._margin


def preferred_owner(endpoint: str, instances: list[str]) -> str | None:
    """Returns the instance that should hold an endpoint that nobody holds."""
    return ranked(endpoint, instances)[0] if instances else None


def plan_claim(
    endpoint: str,
    record: EndpointOwner | None,
    own_name: str,
    confirmed: bool,
    alive: Collection[str],
    candidates: list[str],
    leases: ObservedLeases,
    pause: float,
    owned_throughout: bool = False,
) -> Claim | None:
    """Returns the write that this instance should try for an endpoint, if any.

    Args:
        endpoint: The endpoint.
        record: Its holder object, None when there is none.
        me: This instance.
        confirmed: Whether this process wrote the object in the present stretch of its lease, and in
            the store's present era.
        alive: Instances that say that their lease holds, and those with a promise.
        candidates: Instances that may take the endpoint, this one included if it may.
        observed: Leases of the other instances, as read.
        pause: Seconds without orders after a takeover.
        keeps: Whether this process has held the endpoint in the present stretch of its lease all
            along, whatever the store has of it.
    """
    if owned_throughout and not confirmed and (record is None or not record.in_current_era):
        return Claim(endpoint, record.revision if record else 0, 0.0)
    if record is not None and record.owner == own_name:
        settled = record.in_current_era and not record.taken_over
        wait = 0.0 if settled else pause
        return None if confirmed else Claim(endpoint, record.revision, wait, settled)
    if preferred_owner(endpoint, candidates) != own_name:
        return None
    if record is None:
        return Claim(endpoint, 0, 0.0)
    if record.owner in alive or not leases.has_lapsed(record.owner):
        return None
    return Claim(endpoint, record.revision, pause)
