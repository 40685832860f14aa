"""Decides which instance owns an endpoint that does not check fencing tokens.

The owner is the only instance that gives orders to the endpoint. Each instance has a lease object
in the store, and each endpoint an owner object. Both are written on condition of their revision,
and the revision of the owner object is the fencing token of the orders. An instance gives orders
only while its lease is valid by its own clock, which also counts the time while the machine is
suspended. Another instance takes an endpoint over only after a fresh read has shown that the
owner's lease, past its end, was not renewed; and then it gives no orders for a further pause. So
two instances never give orders to one endpoint within that pause, even if the first one was frozen,
cut off or only slow.

Heartbeats carry the time that a lease has left, so that the others know its end without watching it
in the store; the store decides whether it has been renewed since. While the store is unreachable,
an owner goes on by lease support promises from all instances that could take over (see `promises`).

A process that finds its own instance's name in an owner object resumes at once with a new fencing
token, because it is the same owner. Only if the last process of that name had just taken the
endpoint over from another instance does it wait for the pause too.

The store may be restored from an older copy; it is then in its next *era*. The owner objects and
leases of the last seconds are gone then, and the objects may name earlier owners. Therefore each
owner object contains the era in which it was written. An owner writes its object again at once and
goes on meanwhile. An instance that is not the owner, and finds no object of this era, can't tell
who the owner is. It gives no orders until any owner of the era before has either written its object
again or stopped (`Era.settled_at`).
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Final

import msgspec

from wigeonarch_core.rendezvous import ranked

NEVER: Final = float("-inf")  # Earlier than any time, in seconds.
UNKNOWN_ERA: Final = -1  # Earlier than any era.
FIRST_ERA: Final = 0  # Era of a store that was never restored from a copy.
# Seconds for which an owner may go on by the object that it wrote in the previous era, until it has
# written the object again.
REWRITE_GRACE: Final = 1.0


@dataclass(slots=True)
class Era:
    """The store's era, as this instance sees it.

    Attributes:
        number: Its number.
        since: Time at which this instance saw it begin, in seconds. A process that starts in an era
            that is not the store's first can't tell how long ago it began, so it takes the era as
            just begun.
    """

    number: int = UNKNOWN_ERA
    since: float = NEVER

    def observe(self, number: int, now: float) -> None:
        """Records the era that the store is in."""
        if number > self.number:
            self.since = NEVER if number == FIRST_ERA else now
            self.number = number

    def settled_at(self, term: float, margin: float, pause: float) -> float:
        """Returns the time from which no owner of the previous era can be giving orders.

        An owner that reached the store until the era began keeps its lease for one more term and
        learns of the era by its next renewal at the latest. Then it stops unless its object is
        written again.

        Args:
            term: Term of a lease, in seconds.
            margin: Allowance for differences in clock rates, in seconds.
            pause: Seconds without orders after a takeover.
        """
        return self.since + term + margin + REWRITE_GRACE + pause

    def must_stop(self, written: int, now: float) -> bool:
        """Returns whether an owner that wrote its object in era `written` must stop.

        If it skipped an era, it must stop at once: in that era it may already have had to stop.
        """
        if written == self.number - 1:
            return now >= self.since + REWRITE_GRACE
        return written < self.number


class EndpointOwner(msgspec.Struct, frozen=True):
    """An endpoint's owner, by its owner object in the store.

    Attributes:
        endpoint: The endpoint.
        owner: The instance that may give orders to it.
        revision: Revision of the object, which is the fencing token.
        taken_over: Whether the last write of the object took the endpoint over from another
            instance.
        in_current_era: Whether the object was written in the store's current era.
    """

    endpoint: str
    owner: str
    revision: int
    taken_over: bool = False
    in_current_era: bool = True


class Claim(msgspec.Struct, frozen=True):
    """A write of the owner object on condition of its revision.

    Attributes:
        endpoint: The endpoint.
        revision: Revision that the object must have; 0 if it must not exist.
        pause: Seconds after the write in which nothing may be ordered.
        no_earlier_owner: Whether no owner of an earlier era can still be giving orders. If not,
            nothing may be ordered before `Era.settled_at` either.
    """

    endpoint: str
    revision: int
    pause: float
    no_earlier_owner: bool = False


@dataclass(slots=True)
class _LeaseState:
    revision: int
    ends_at: float
    read_at: float = float("-inf")


class ObservedLeases:
    """Leases of the other instances, from their heartbeats and from reads of the store."""

    __slots__ = ("_leases", "_margin", "_term")

    def __init__(self, term: float, margin: float) -> None:
        self._term = term
        self._margin = margin
        self._leases: dict[str, _LeaseState] = {}

    def record_heartbeat(self, instance: str, revision: int, left: float, now: float) -> None:
        """Records what a heartbeat says of a lease: its revision and the seconds it has left."""
        lease = self._leases.get(instance)
        if lease is None or revision > lease.revision:
            self._leases[instance] = _LeaseState(revision, now + left)
        elif revision == lease.revision:
            # Lease support promises extend a lease without a write to the store.
            lease.ends_at = max(lease.ends_at, now + left)

    def record_read(self, instance: str, revision: int, now: float) -> None:
        """Records the revision of a lease just read from the store; 0 if it does not exist."""
        lease = self._leases.get(instance)
        if lease is None or revision > lease.revision:
            lease = self._leases[instance] = _LeaseState(revision, now + self._term)
        lease.read_at = now

    def has_lapsed(self, instance: str) -> bool:
        """Returns whether a read after the end of the lease showed that it was not renewed."""
        lease = self._leases.get(instance)
        return lease is not None and lease.read_at > lease.ends_at + self._margin


def preferred_owner(endpoint: str, instances: list[str]) -> str | None:
    """Returns the instance that should own an unowned endpoint; None if there are no instances."""
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
    """Returns the write that this instance should try in order to own an endpoint, if any.

    Args:
        endpoint: The endpoint.
        record: Its owner object; None if there is none.
        own_name: This instance.
        confirmed: Whether this process wrote the object since its lease last lapsed, and in the
            store's current era.
        alive: Instances that say that their lease is valid, and those with a lease support promise.
        candidates: Instances that may take the endpoint, including this one if it may.
        leases: Leases of the other instances.
        pause: Seconds without orders after a takeover.
        owned_throughout: Whether this process has owned the endpoint without a break, and its lease
            has not lapsed meanwhile, whatever the store says.
    """
    if owned_throughout and not confirmed and (record is None or not record.in_current_era):
        return Claim(endpoint, record.revision if record else 0, 0.0)
    if record is not None and record.owner == own_name:
        no_earlier_owner = record.in_current_era and not record.taken_over
        wait = 0.0 if no_earlier_owner else pause
        return None if confirmed else Claim(endpoint, record.revision, wait, no_earlier_owner)
    if preferred_owner(endpoint, candidates) != own_name:
        return None
    if record is None:
        return Claim(endpoint, 0, 0.0)
    if record.owner in alive or not leases.has_lapsed(record.owner):
        return None
    return Claim(endpoint, record.revision, pause)
