"""The lease of an instance, seen from its holder and from the others.

The holder counts from the moment *before* it sent a renewal, others from the moment they first saw
the renewed version, so the holder's view always ends first; a margin covers differences in clock
rates. No clock is compared with another one.

Example: with a term of 6 s and a margin of 1 s, a renewal sent at 10.0 lets the holder act until
15.0. A watcher that saw it at 10.3 calls the lease lapsed at 16.3 plus the margin.

A holder whose lease has ended for however short a time can't know whether somebody took over in
the gap, and reading back wouldn't tell: a takeover may be on its way. So each unbroken stretch has
a generation number, and an ownership counts only in the generation in which it was written. After a
gap the holder writes its ownerships again, and the conditional write decides between it and others.
"""

from __future__ import annotations

from typing import Final

# A lease is renewed every third of its term, so two thirds are left when the renewal is sent.
RENEWALS_LEFT: Final = 2 / 3
OVERDUE: Final = 0.75


class HeldLease:
    """An instance's own lease.

    Attributes:
        version: Version of the stored lease object; 0 before the first.
        generation: Number of the present unbroken stretch; 0 before the first.
        since: Time at which that stretch began, in seconds.
    """

    __slots__ = (
        "_alive",
        "_doubted",
        "_end",
        "_margin",
        "_term",
        "_tried",
        "generation",
        "since",
        "version",
    )

    def __init__(self, term: float, margin: float) -> None:
        self._term = term
        self._margin = margin
        self._end: float | None = None
        self._alive: float | None = None
        self._doubted: float | None = None
        self._tried: float | None = None
        self.version = 0
        self.generation = 0
        self.since = 0.0

    def record_attempt(self, now: float) -> None:
        """Notes that a renewal is sent; its answer may be lost after it took effect."""
        if self._tried is None:
            self._tried = now

    def record_renewal(self, sent_at: float, version: int, now: float) -> None:
        """Notes a renewal that was sent at `sent_at`, stored as `version` and answered now."""
        if not self.is_valid(now):
            self.generation += 1
            self.since = now
            self._end = None
        self._extend(sent_at)
        self._alive = now
        self._doubted = None
        self.version = version
        self._tried = None

    def record_stored_version(self, version: int, now: float) -> None:
        """Notes the version that a read found in this process's name.

        Only a version that is new proves a renewal, and it may be the first of those sent since.
        """
        if version > self.version and self._tried is not None:
            self.record_renewal(self._tried, version, now)

    def record_promises(self, asked_at: float, now: float) -> None:
        """Notes promises, asked for at `asked_at`, that nobody will take over for a term.

        They never bridge a gap; after a pause they count only if they were asked for since.
        """
        if self._end is None or now >= self._end:
            return
        if self._doubted is not None and asked_at < self._doubted:
            return
        self._extend(asked_at)
        self._doubted = None

    def wants_support(self, now: float) -> bool:
        """Tells whether a renewal is overdue, so that the zone's instances should help."""
        if self._end is None or now >= self._end:
            return False
        usual = self._term * RENEWALS_LEFT - self._margin
        return self._doubted is not None or self._end - now < usual * OVERDUE

    def record_running(self, now: float) -> float:
        """Notes that the process runs, which it must do more often than once per margin.

        Returns:
            The seconds of a longer pause, after which nothing counts before a new renewal or new
            promises; 0 without one.
        """
        paused = self._paused(now)
        if paused:
            self._doubted = now
        self._alive = now
        return paused

    def invalidate(self) -> None:
        """Notes that the lease must not be relied on until the next renewal."""
        self._end = None

    def record_replacement(self, version: int) -> None:
        """Notes that the stored lease is another process's; the next renewal replaces it."""
        self._end = None
        self._tried = None
        self.version = version

    def is_valid(self, now: float) -> bool:
        """Tells whether the holder may act as an owner."""
        if self._end is None or now >= self._end:
            return False
        return self._doubted is None and not self._paused(now)

    def remaining(self, now: float) -> float:
        """Returns the seconds left to act in; 0 when it has lapsed."""
        return 0.0 if self._end is None else max(0.0, self._end - now)

    def is_settled(self, now: float) -> bool:
        """Tells whether it has held for a whole term, so that all others know of this instance."""
        return self.is_valid(now) and now >= self.since + self._term + self._margin

    def _paused(self, now: float) -> float:
        """Returns the seconds for which the process did not run, if that is too long."""
        gap = 0.0 if self._alive is None else now - self._alive
        return gap if gap > self._margin else 0.0

    def _extend(self, sent_at: float) -> None:
        until = sent_at + self._term - self._margin
        self._end = until if self._end is None else max(self._end, until)


class PeerLease:
    """Another instance's lease, as watched.

    Attributes:
        version: Greatest version seen.
        since: Time since which it has not been seen lapsed, in seconds.
    """

    __slots__ = ("_margin", "_seen", "_term", "since", "version")

    def __init__(self, term: float, margin: float, version: int, now: float) -> None:
        self._term = term
        self._margin = margin
        self._seen = now
        self.since = now
        self.version = version

    def observe(self, version: int, now: float) -> None:
        """Notes a version; only a greater one extends the lease."""
        if version <= self.version:
            return
        if self.has_lapsed(now):
            self.since = now
        self.version = version
        self._seen = now

    def has_lapsed(self, now: float) -> bool:
        """Tells whether the holder can no longer rely on it."""
        return now > self._seen + self._term + self._margin

    def is_settled(self, now: float) -> bool:
        """Tells whether it has been live for a whole term."""
        return not self.has_lapsed(now) and now >= self.since + self._term
