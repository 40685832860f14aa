"""Tracks an instance's contact with the store, to tell which missing entries may have lapsed.

An endpoint's entry in the store lapses if the endpoint could not renew it for some heartbeats, and
it is back shortly after the store's return. So after an outage, an instance can't tell from a
missing entry alone whether the endpoint is gone. If the entry is kept too long, an endpoint that
left keeps getting requests; if it is dropped too early, a service has no endpoints for some
seconds.

Three rules decide:

- Between two answers of the store that are less than `lapse` apart, no entry lapses.
- An outage that other instances did not share was not the store's. The endpoints could renew their
  entries all the time, so a missing entry was removed.
- A missing entry counts as lapsed only until the earlier of two times, whatever this instance
  believes: the last failed call plus `reaction_time`, and the first answer plus `return_time`. The
  first of them holds because the store may have been reachable again since the last failed call was
  sent, and `reaction_time` is the time in which this instance must act on what the store accepts.

So late notice of the store's return, the time in which entries come back and the interval between
checks can't add up beyond that bound, however long the pauses between calls are. Times are passed
in as arguments.

A store that was restored from an older copy lacks the entries made since that copy, however short
the outage was. They are written again within the same `return_time`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

NEVER: Final = float("-inf")  # Earlier than any time, in seconds.


class Contact(msgspec.Struct, frozen=True):
    """A period in which the store answered an instance without an outage.

    Attributes:
        since: Time of its first answer, in seconds.
        until: Time of its last answer so far, in seconds.
    """

    since: float
    until: float


class LapseTimes(msgspec.Struct, frozen=True):
    """Times that bound how entries lapse and come back, in seconds.

    Attributes:
        lapse: Shortest time without the store in which an entry lapses.
        return_time: Time after the store's return in which a lapsed entry is back.
        reaction_time: Time after the store is reachable again for which this instance may still act
            on what it knew before.
    """

    lapse: float
    return_time: float
    reaction_time: float


class StoreContact:
    """When the store answered this instance, directly or through one that watches it for others."""

    __slots__ = (
        "_before_outage",
        "_last_failed_call",
        "_older_copy_at",
        "_reachable_from",
        "_since",
        "_times",
        "_until",
    )

    def __init__(self, times: LapseTimes) -> None:
        """Starts without any answer."""
        self._times = times
        self._since = NEVER
        self._until = NEVER
        self._before_outage = NEVER  # Last answer before the last outage.
        self._reachable_from = NEVER  # Earliest possible end of the last outage.
        self._last_failed_call = NEVER  # Start of the last failed call.
        self._older_copy_at = NEVER  # When the store was found restored from an older copy.

    def record_answer(self, at: float) -> None:
        """Records an answer of the store as of a time."""
        if at <= self._until:
            return
        if at - self._until >= self._times.lapse:
            # Without a failed call in the gap, no call was made, or this process was suspended.
            outage = self._last_failed_call > self._until
            self._before_outage = self._until if outage else NEVER
            self._reachable_from = self._last_failed_call
            self._since = at
        self._until = at

    def record_failure(self, began: float) -> None:
        """Records a call that began at a time and got no answer."""
        self._last_failed_call = max(self._last_failed_call, began)

    def record_older_copy(self, at: float) -> None:
        """Records that the store was found restored from an older copy."""
        self._older_copy_at = at

    def contact(self) -> Contact | None:
        """Returns the current or last period of contact; None before the first answer."""
        return Contact(self._since, self._until) if self._until > NEVER else None

    def may_lapse_until(self, witnesses: Iterable[Contact]) -> float:
        """Returns the time until which a missing entry may have lapsed rather than been removed.

        Args:
            witnesses: Periods of contact of those that would have shared an outage of the endpoint.
        """
        rewritten_by = self._older_copy_at + self._times.return_time
        if self._before_outage == NEVER or any(map(self._spans_outage, witnesses)):
            return rewritten_by
        times = self._times
        lapsed = min(self._since + times.return_time, self._reachable_from + times.reaction_time)
        return max(lapsed, rewritten_by)

    def _spans_outage(self, contact: Contact) -> bool:
        """Returns whether a contact leaves too little of the last outage for a lapse."""
        lapse = self._times.lapse
        return contact.since - self._before_outage < lapse and self._since - contact.until < lapse
