"""Places at one endpoint, granted by one instance to all instances.

An endpoint that crashes when it has to turn requests away must not get more of them than it can run
at once, whatever the instances believe of each other's requests. So one instance grants the places.
The others state to it how many they have and how many more they could use.

A statement is the whole truth about its sender: it replaces the sender's last one, and a lost one
is made up for by the next. A grant counts until its receiver has stated that it came, or for
`GRANT_TTL` if it was lost. So the places that are in use are never more than

    the places stated + the grants not yet confirmed

of instances whose statements arrive. An instance that begins to grant waits first, until all others
have stated what they have, from the one that granted before or from before places were needed.
Where another one may have granted before, it begins with few places: that one may go on in a cut.

How many requests fit is known from the endpoint's slots. Where it still refuses some, fewer fit, as
when its memory is full. Then no place is granted for a moment, and fewer for some seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

import msgspec

# Seconds between two statements of an instance that has places or wants some.
STATEMENT_INTERVAL: Final = 0.25
# Seconds before the first grant when all instances have just heard that places are needed.
NEWS_SETTLING_TIME: Final = 0.15
# Seconds before the first grant otherwise: instances notice at different times that another one
# grants, and make their next statement to it.
SETTLING_TIME: Final = 0.8
# Seconds for which a statement holds; an instance that is silent for longer is gone or cut off.
STATEMENT_TTL: Final = 2.0
NEVER: Final = float("-inf")  # Before all times.
# Seconds after which a grant that is not confirmed was lost.
GRANT_TTL: Final = 0.5
REFUSAL_PAUSE: Final = 0.3  # Seconds without a grant after a refusal.
REFUSAL_FACTOR: Final = 0.75  # Share of the places that remains after a refusal.
RECOVERY_SHARE: Final = 0.1  # Share of the slots by which that grows again each second.
# The same for the places with which an instance begins that may not be the only one to grant.
RAMP_SHARE: Final = 0.5


class Statement(msgspec.Struct, array_like=True, frozen=True):
    """What an instance states about its places at an endpoint.

    Attributes:
        epoch: Tells processes of the same name apart.
        number: Grows with each statement of a process.
        in_use: Its requests at the endpoint, and places that it has not used yet.
        wanted: Further places that it could use now.
        rank: Priority of the most urgent request that waits; 0 is first.
        waited: Seconds for which the latest request has waited.
        ledger: Epoch of the ledger from which a grant came last.
        seen: Number of that grant.
        refused: Requests that the endpoint has refused to run, to this process.
    """

    epoch: int
    number: int
    in_use: int
    wanted: int
    rank: int = 0
    waited: float = 0.0
    ledger: int = 0
    seen: int = 0
    refused: int = 0


@dataclass(slots=True)
class _Holder:
    """An instance, by its last statement.

    Attributes:
        stated: The statement.
        at: Time at which it came, in seconds.
        grants: Grants that are not confirmed, by number, with their times.
    """

    stated: Statement
    at: float
    grants: dict[int, float] = field(default_factory=dict)

    @property
    def count(self) -> int:
        """Returns the places that it has or may have."""
        return self.stated.in_use + len(self.grants)

    @property
    def missing(self) -> int:
        """Returns the places that it still waits for."""
        return self.stated.wanted - len(self.grants)


class _Limit(msgspec.Struct, frozen=True):
    """A number of places that grows with time.

    Attributes:
        places: Places at a time.
        since: That time, in seconds.
        growth: Share of the slots by which they grow each second.
    """

    places: float
    since: float
    growth: float


class PlaceLedger:
    """The places of one endpoint, as granted by this instance.

    Attributes:
        epoch: Tells ledgers apart, of which each numbers its grants anew.
    """

    __slots__ = ("_begins", "_holders", "_last_number", "_limit", "_refused_at", "epoch")

    def __init__(self, epoch: int, now: float, is_news: bool) -> None:
        """Creates a ledger without places in use.

        Args:
            epoch: Tells this ledger from all others.
            now: Current time, in seconds.
            is_news: Whether all instances have just heard that places are needed. If not, another
                one may have granted some, and go on to where this instance is not heard.
        """
        self.epoch = epoch
        self._begins = now + (NEWS_SETTLING_TIME if is_news else SETTLING_TIME)
        self._limit = None if is_news else _Limit(0.0, self._begins, RAMP_SHARE)
        self._refused_at = NEVER
        self._holders: dict[str, _Holder] = {}
        self._last_number = 0

    def note(self, sender: str, statement: Statement, now: float) -> None:
        """Takes over a statement, unless a later one of the same process came before."""
        holder = self._holders.get(sender)
        if holder is None or holder.stated.epoch != statement.epoch:
            self._holders[sender] = _Holder(statement, now)
            return
        if statement.number <= holder.stated.number:
            return
        if statement.refused > holder.stated.refused:
            self._reduce(now)
        holder.stated, holder.at = statement, now
        if statement.ledger == self.epoch:
            holder.grants = {n: at for n, at in holder.grants.items() if n > statement.seen}

    def grant(self, slots: int, now: float) -> list[tuple[str, int]]:
        """Grants the free places; returns the receiver and the number of each grant.

        Args:
            slots: Requests that the endpoint runs at once.
            now: Current time, in seconds.
        """
        self._expire(now)
        if self.pause_left(now):
            return []
        free = self.room(slots, now) - self.occupied()
        granted = []
        for _ in range(free):
            sender = self._next()
            if sender is None:
                break
            self._last_number += 1
            self._holders[sender].grants[self._last_number] = now
            granted.append((sender, self._last_number))
        return granted

    def occupied(self) -> int:
        """Returns the places that are in use or granted."""
        return sum(holder.count for holder in self._holders.values())

    def waiting(self) -> int:
        """Returns the places that instances wait for."""
        return sum(max(0, holder.missing) for holder in self._holders.values())

    def room(self, slots: int, now: float) -> int:
        """Returns how many places there are; fewer than the slots at first and after refusals."""
        slots = max(1, slots)
        if self._limit is None:
            return slots
        grown = self._limit.places + slots * self._limit.growth * (now - self._limit.since)
        return max(1, min(slots, int(grown)))

    def pause_left(self, now: float) -> float:
        """Returns the seconds for which nothing is granted; 0 if places are."""
        return max(0.0, self._begins - now, self._refused_at + REFUSAL_PAUSE - now)

    def _reduce(self, now: float) -> None:
        """Reduces the places after a refusal; more refusals of the same moment count as one."""
        if now - self._refused_at >= REFUSAL_PAUSE:
            self._refused_at = now
            self._limit = _Limit(REFUSAL_FACTOR * self.occupied(), now, RECOVERY_SHARE)

    def _next(self) -> str | None:
        """Returns the instance that gets the next place: by urgency, then the latest request.

        Under overload the first requests to come would all be served when it is nearly too late.
        """
        waiting = [name for name, holder in self._holders.items() if holder.missing > 0]
        return min(waiting, key=self._order, default=None)

    def _order(self, name: str) -> tuple[int, int, float]:
        holder = self._holders[name]
        return holder.stated.rank, len(holder.grants), holder.stated.waited

    def _expire(self, now: float) -> None:
        for name, holder in list(self._holders.items()):
            holder.grants = {n: at for n, at in holder.grants.items() if now - at < GRANT_TTL}
            if now - holder.at >= STATEMENT_TTL:
                del self._holders[name]
