"""Lease support promises, by which owners go on while the platform can't be reached.

An owner that fails to renew its lease asks the instances of its zone for lease support. Each of
them promises not to take over from the owner for one term. An instance that reaches the platform
also renews the lease on the owner's behalf. The owner counts the term of a promise from the moment
before it asked, the promising instance from the moment it was asked. So the promise always ends
first for the owner.

The owner needs the promise of *each* instance that could take over: the instances of its zone whose
leases were valid when it last reached the platform. An instance that joined or came back since then
may not take over before its own lease has held for a whole term, and it asks the others for their
promises first. A promise stays in force even when the promising instance reaches the platform
again.
"""

from __future__ import annotations

from collections.abc import Collection


class PromisesGiven:
    """The promises that this instance has given to other owners."""

    __slots__ = ("_term", "_until")

    def __init__(self, term: float) -> None:
        self._term = term
        self._until: dict[str, float] = {}

    def give(self, owner: str, now: float) -> None:
        """Promises not to take over from `owner` for one term from now on."""
        self._until[owner] = max(self._until.get(owner, now), now + self._term)

    def is_in_force(self, owner: str, now: float) -> bool:
        """Returns whether a promise to `owner` is in force."""
        return now <= self._until.get(owner, float("-inf"))

    def owners(self, now: float) -> tuple[str, ...]:
        """Returns the owners to whom a promise is in force, sorted."""
        self._until = {owner: until for owner, until in self._until.items() if now <= until}
        return tuple(sorted(self._until))


class PromisesHeld:
    """The promises that an owner has received from the instances of its zone.

    Attributes:
        round: Number of the last request for support.
    """

    __slots__ = ("_promised_since", "_requests_sent_at", "_term", "round")

    def __init__(self, term: float) -> None:
        self._term = term
        self._requests_sent_at: dict[int, float] = {}
        self._promised_since: dict[str, float] = {}
        self.round = 0

    def start_request(self, now: float) -> int:
        """Records that support is being requested now; returns the number of the request."""
        self.round += 1
        self._requests_sent_at = {
            n: at for n, at in self._requests_sent_at.items() if at > now - self._term
        }
        self._requests_sent_at[self.round] = now
        return self.round

    def sent_at(self, number: int) -> float | None:
        """Returns when a request was sent; None if that was too long ago to matter."""
        return self._requests_sent_at.get(number)

    def record_promise(self, peer: str, number: int) -> None:
        """Records a peer's promise in answer to a request."""
        sent = self._requests_sent_at.get(number)
        if sent is not None:
            self._promised_since[peer] = max(self._promised_since.get(peer, sent), sent)

    def supported_since(self, needed: Collection[str], now: float) -> float | None:
        """Returns the time from which the promises of all `needed` count; None if one is missing.

        If no peer is needed, no instance could take over, and the support counts from now.
        """
        if any(peer not in self._promised_since for peer in needed):
            return None
        return min((self._promised_since[peer] for peer in needed), default=now)
