"""How long an instance has been in contact with the store, and whose entries may have lapsed.

An endpoint's entry lapses when the endpoint could not renew it for some heartbeats, and is back
shortly after the store's return. An instance that comes back from an outage therefore can't tell by
a missing entry alone whether the endpoint is gone. Kept too long, an endpoint that left goes on
getting requests; dropped too early, a service is empty for some seconds.

Three things decide. Between two answers of the store that are less than `lapse` apart nothing
lapses. An outage that others did not share was not the store's: endpoints could renew their
entries all along, so what is missing was taken away. And what is kept is dropped in time whatever
is believed: the way to the store may have been back since the last call that failed was sent, and
from then on the time counts after which this instance must act on what the store accepts:

    last failed call + `unsure`, at most; first answer + `comes_back`, at most

So late notice, the time to come back and the look at the clock can't add up beyond the bound,
whatever the pauses between calls are. Times are handed in.

A store that came back from an older copy lacks the entries that were made since, however short it
was away; they are written again within the time in which lapsed ones are back.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import msgspec

NEVER: Final = float("-inf")  # Before all times.


class Contact(msgspec.Struct, frozen=True):
    """A stretch of time in which the store answered an instance without an outage.

    Attributes:
        since: Its first answer.
        until: Its last answer so far.
    """

    since: float
    until: float


class LapseTimes(msgspec.Struct, frozen=True):
    """What is known of entries that lapse, in seconds.

    Attributes:
        lapse: Least time without the store in which an entry lapses.
        comes_back: Time after the store's return in which a lapsed entry is back.
        unsure: Time after the way to the store is back in which this instance may still act on what
            it knew before.
    """

    lapse: float
    return_time: float
    reaction_time: float


class StoreContact:
    """When the store answered this instance, by itself or by one that watches for it."""

    __slots__ = ("_before", "_older", "_reached", "_since", "_times", "_tried", "_until")

    def __init__(self, times: LapseTimes) -> None:
        """Has had no answer yet."""
        self._times = times
        self._since = NEVER
        self._until = NEVER
        self._before = NEVER  # Last answer before the last outage.
        self._reached = NEVER  # Earliest time at which the way may have been back after it.
        self._tried = NEVER  # Start of the last call that failed.
        self._older = NEVER  # Time at which the store was seen to have come back older.

    def record_answer(self, at: float) -> None:
        """Notes an answer of the store, as of a time."""
        if at <= self._until:
            return
        if at - self._until >= self._times.lapse:
            # Without a failed call in it, nothing was asked or this process stood still.
            away = self._tried > self._until
            self._before = self._until if away else NEVER
            self._reached = self._tried
            self._since = at
        self._until = at

    def record_failure(self, began: float) -> None:
        """Notes a call without an answer that began at a time."""
        self._tried = max(self._tried, began)

    def record_older_copy(self, at: float) -> None:
        """Notes that the store came back from an older copy."""
        self._older = at

    def contact(self) -> Contact | None:
        """Returns the stretch that goes on, or the last one; None before the first answer."""
        return Contact(self._since, self._until) if self._until > NEVER else None

    def may_lapse_until(self, witnesses: Iterable[Contact]) -> float:
        """Returns the time until which a missing entry may be one that lapsed.

        Args:
            witnesses: Contacts of those who would have shared an outage of the endpoint.
        """
        written_again = self._older + self._times.return_time
        if self._before == NEVER or any(map(self._spans_outage, witnesses)):
            return written_again
        times = self._times
        lapsed = min(self._since + times.return_time, self._reached + times.reaction_time)
        return max(lapsed, written_again)

    def _spans_outage(self, contact: Contact) -> bool:
        """Tells whether it leaves too little of the last outage for an entry to lapse."""
        lapse = self._times.lapse
        return contact.since - self._before < lapse and self._since - contact.until < lapse
