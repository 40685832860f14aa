"""Promises not to take over, by which owners go on while the platform can't be reached.

An owner that fails to renew its lease asks the instances of its zone for support. Each of them
promises not to take over from it for one term, and one that reaches the platform renews the lease
on the owner's behalf besides. The owner counts a promise from the moment before it asked, the
promiser from the moment it was asked, so the owner's view always ends first.

The owner needs the promise of *each* instance that could take over: those of its zone whose leases
held when it last reached the platform. An instance that joined, or came back, since then may not
take over before its own lease has held for a whole term, and asks the others for their promises
first. A promise stays in force when its giver reaches the platform again.
"""

from __future__ import annotations

from collections.abc import Collection


class PromisesGiven:
    """Promises of this instance to others."""

    __slots__ = ("_term", "_until")

    def __init__(self, term: float) -> None:
        self._term = term
        self._until: dict[str, float] = {}

    def give(self, owner: str, now: float) -> None:
        """Promises not to take over from `owner` for one term from now."""
        self._until[owner] = max(self._until.get(owner, now), now + self._term)

    def is_in_force(self, owner: str, now: float) -> bool:
        """Tells whether a promise to `owner` holds."""
        return now <= self._until.get(owner, float("-inf"))

    def owners(self, now: float) -> tuple[str, ...]:
        """Returns those to whom a promise holds."""
        self._until = {owner: until for owner, until in self._until.items() if now <= until}
        return tuple(sorted(self._until))


class PromisesHeld:
    """Promises that an owner has from the instances of its zone.

    Attributes:
        round: Number of the last request for support.
    """

    __slots__ = ("_sent", "_since", "_term", "round")

    def __init__(self, term: float) -> None:
        self._term = term
        self._sent: dict[int, float] = {}
        self._since: dict[str, float] = {}
        self.round = 0

    def start_request(self, now: float) -> int:
        """Notes that support is being asked for; returns the number of the request."""
        self.round += 1
        self._sent = {n: at for n, at in self._sent.items() if at > now - self._term}
        self._sent[self.round] = now
        return self.round

    def sent_at(self, number: int) -> float | None:
        """Returns when a request was sent; None when that is too long ago to matter."""
        return self._sent.get(number)

    def record_promise(self, peer: str, number: int) -> None:
        """Notes a peer's promise in answer to a request."""
        sent = self._sent.get(number)
        if sent is not None:
            self._since[peer] = max(self._since.get(peer, sent), sent)

    def supported_since(self, needed: Collection[str], now: float) -> float | None:
        """Returns the time since which the promises of all of `needed` count; None without them.

        With nobody needed there is nobody who could take over: they count from now.
        """
        if any(peer not in self._since for peer in needed):
            return None
        return min((self._since[peer] for peer in needed), default=now)
