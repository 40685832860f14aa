"""Who may order an endpoint, on endpoints that check nothing.

Each instance has one lease object, each endpoint one holder object; both are written on condition
of their revision, and the revision of the holder object is the fencing number of the orders. An
instance orders only while its lease holds on its own clock, which counts suspended time. Another
one takes an endpoint over only after it has watched the holder's lease stay unchanged for the whole
term, and then orders nothing for a further pause. So two instances never order one endpoint within
that pause, also when the first was frozen, cut off or only slow.

A process that finds its own instance's name in a holder object resumes at once, with a new fencing
number: it is the same holder.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from wigeonarch_core.homes import ranked
from wigeonarch_core.lease import SeenLease


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Who holds an endpoint, by the store; `revision` is the fencing number."""

    endpoint: str
    holder: str
    revision: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Write the holder object on condition of its revision (0: absent).

    Attributes:
        endpoint: The endpoint.
        revision: Revision that the object must have.
        pause: Seconds after the write in which nothing may be ordered.
    """

    endpoint: str
    revision: int
    pause: float


class Observed:
    """Leases of other instances, as read from the store while they are suspected."""

    __slots__ = ("_leases", "_margin", "_term")

    def __init__(self, term: float, margin: float) -> None:
        self._term = term
        self._margin = margin
        self._leases: dict[str, SeenLease] = {}

    def saw(self, instance: str, revision: int, now: float) -> None:
        """Notes the revision of a lease; 0 when it does not exist."""
        lease = self._leases.get(instance)
        if lease is None:
            self._leases[instance] = SeenLease(self._term, self._margin, revision, now)
        else:
            lease.saw(revision, now)

    def lapsed(self, instance: str, now: float) -> bool:
        """Tells whether the lease was watched unchanged for the whole term."""
        lease = self._leases.get(instance)
        return lease is not None and lease.lapsed(now)

    def forget(self, instance: str) -> None:
        """Forgets an instance that is heard again, so that a later watch begins anew."""
        self._leases.pop(instance, None)


def wanted_holder(endpoint: str, instances: list[str]) -> str | None:
    """Returns the instance that should hold an endpoint that nobody holds."""
    return ranked(endpoint, instances)[0] if instances else None


def claim(
    endpoint: str,
    record: HolderRecord | None,
    me: str,
    confirmed: bool,
    alive: Collection[str],
    candidates: list[str],
    observed: Observed,
    pause: float,
    now: float,
) -> Claim | None:
    """Returns the write that this instance should try for an endpoint, if any.

    Args:
        endpoint: The endpoint.
        record: Its holder object, None when there is none.
        me: This instance.
        confirmed: Whether this process wrote the object in the present stretch of its lease.
        alive: Instances that say that their lease holds.
        candidates: Instances that may take the endpoint, this one included if it may.
        observed: Leases of the other instances, as read.
        pause: Seconds without orders after a takeover.
        now: Time, in seconds.
    """
    if record is not None and record.holder == me:
        return None if confirmed else Claim(endpoint, record.revision, 0.0)
    if wanted_holder(endpoint, candidates) != me:
        return None
    if record is None:
        return Claim(endpoint, 0, 0.0)
    if record.holder in alive or not observed.lapsed(record.holder, now):
        return None
    return Claim(endpoint, record.revision, pause)
