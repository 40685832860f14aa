"""The lease of an instance, as its holder counts it and as other instances see it.

The holder counts the term from the moment *before* it sent a renewal. The others count it from the
moment at which they first saw the renewed version. So the lease always ends first for its holder. A
margin covers differences in clock rates. Times of different clocks are never compared.

Example: with a term of 6 s and a margin of 1 s, a renewal sent at 10.0 lets the holder act until
15.0. An observer that saw it at 10.3 takes the lease as lapsed after 17.3, which is 10.3 plus the
term and the margin.

A holder whose lease has lapsed, however briefly, can't know whether another instance took over in
the gap. A read would not tell either, because a takeover may be on its way. Therefore each unbroken
period of validity has a generation number, and an ownership counts only in the generation in which
it was written. After a gap the holder writes its ownerships again, and the conditional write
decides between it and other instances.
"""

from __future__ import annotations

from typing import Final

# Part of the term that is left when the next renewal is sent: a lease is renewed every third of its
# term.
TERM_LEFT_AT_RENEWAL: Final = 2 / 3
# A renewal is overdue when less than this part of the usual time at a renewal is left.
OVERDUE_PART: Final = 0.75


class HeldLease:
    """An instance's own lease.

    Attributes:
        version: Version of the stored lease object; 0 before the first.
        generation: Number of the current unbroken period of validity; 0 before the first.
        since: Time at which that period began, in seconds.
    """

    __slots__ = (
        "_end",
        "_first_attempt",
        "_last_running",
        "_margin",
        "_paused_at",
        "_term",
        "_woke_at",
        "generation",
        "since",
        "version",
    )

    def __init__(self, term: float, margin: float) -> None:
        self._term = term
        self._margin = margin
        self._end: float | None = None
        self._last_running: float | None = None
        self._paused_at: float | None = None
        self._woke_at = float("-inf")
        self._first_attempt: float | None = None
        self.version = 0
        self.generation = 0
        self.since = 0.0

    def record_attempt(self, now: float) -> None:
        """Records that a renewal is being sent; it may take effect even if its answer is lost."""
        if self._first_attempt is None:
            self._first_attempt = now

    def record_renewal(self, sent_at: float, version: int, now: float) -> None:
        """Records a renewal sent at `sent_at`, stored as `version` and confirmed now."""
        if not self.is_valid(now):
            self.generation += 1
            self.since = now
            self._end = None
        self._extend(sent_at)
        self._last_running = now
        self._paused_at = None
        self.version = version
        self._first_attempt = None

    def record_peer_renewal(self, sent_at: float, version: int, now: float) -> bool:
        """Records a renewal that a peer made on this instance's behalf; returns whether it counts.

        It extends the lease, and never begins a new period. An instance that needs a peer for its
        renewals could not write its ownerships in a new period either, and while its lease goes on
        nobody takes them over. Such a lease is better left to lapse.

        Args:
            sent_at: Time at which the peer was asked, in seconds.
            version: Version of the stored lease object.
            now: Present time, in seconds.
        """
        asked_before_pause = self._paused_at is not None and sent_at < self._paused_at
        if self.has_lapsed(now) or asked_before_pause or self._pause_length(now):
            return False
        self._extend(sent_at)
        self._paused_at = None
        self.version = version
        self._first_attempt = None
        return True

    def record_stored_version(self, version: int, now: float) -> None:
        """Records the version of a stored lease that names this process.

        Only a new version proves that a renewal took effect. It may be the first one that was sent
        since the last confirmation, so the term is counted from that one.
        """
        if version > self.version and self._first_attempt is not None:
            self.record_renewal(self._first_attempt, version, now)

    def record_peer_version(self, version: int, now: float) -> bool:
        """Records that a peer found a version of this process's lease stored.

        Returns:
            Whether that extends the lease; see `record_stored_version` and `record_peer_renewal`.
        """
        if version <= self.version or self._first_attempt is None:
            return False
        return self.record_peer_renewal(self._first_attempt, version, now)

    def record_promises(self, asked_at: float, now: float) -> None:
        """Extends the lease by lease support promises that were requested at `asked_at`.

        Each promise says that its giver does not take over for one term. Promises never revive a
        lapsed lease, and after a pause of the process they count only if requested after it.
        """
        if self._end is None or now >= self._end:
            return
        if self._paused_at is not None and asked_at < self._paused_at:
            return
        self._extend(asked_at)
        self._paused_at = None

    def wants_support(self, now: float) -> bool:
        """Returns whether a renewal is overdue, so that lease support should be requested."""
        if self._end is None or now >= self._end:
            return False
        usual = self._term * TERM_LEFT_AT_RENEWAL - self._margin
        return self._paused_at is not None or self._end - now < usual * OVERDUE_PART

    def record_running(self, now: float) -> float:
        """Records that the process is running; must be called more often than once per margin.

        Returns:
            The length of a pause longer than the margin, in seconds; 0 if there was none. After
            such a pause the lease is not valid until a new renewal or new promises.
        """
        paused = self._pause_length(now)
        if paused:
            self._paused_at = now
            self._woke_at = now
        self._last_running = now
        return paused

    def woke_at(self, now: float) -> float:
        """Returns when the last pause of the process ended; minus infinity if there was none."""
        return now if self._pause_length(now) else self._woke_at

    def invalidate(self) -> None:
        """Makes the lease invalid until the next renewal."""
        self._end = None

    def record_replacement(self, version: int) -> None:
        """Records that the stored lease is another process's; the next renewal replaces it."""
        self._end = None
        self._first_attempt = None
        self.version = version

    def is_valid(self, now: float) -> bool:
        """Returns whether the holder may act as an owner."""
        if self._end is None or now >= self._end:
            return False
        return self._paused_at is None and not self._pause_length(now)

    def has_lapsed(self, now: float) -> bool:
        """Returns whether its time is over, so that only an own renewal can begin a new period."""
        return self._end is None or now >= self._end

    def remaining(self, now: float) -> float:
        """Returns the seconds for which the holder may still act; 0 once the lease has lapsed."""
        return 0.0 if self._end is None else max(0.0, self._end - now)

    def is_settled(self, now: float) -> bool:
        """Returns whether it has been valid for so long that all others have seen this instance."""
        return self.is_valid(now) and now >= self.since + self._term + self._margin

    def _pause_length(self, now: float) -> float:
        """Returns for how many seconds the process did not run; 0 if no longer than the margin."""
        pause = 0.0 if self._last_running is None else now - self._last_running
        return pause if pause > self._margin else 0.0

    def _extend(self, sent_at: float) -> None:
        end = sent_at + self._term - self._margin
        self._end = end if self._end is None else max(self._end, end)


class PeerLease:
    """Another instance's lease, as watched in the platform.

    Attributes:
        version: Highest version seen.
        since: Time since which it has not been seen to lapse, in seconds.
    """

    __slots__ = ("_margin", "_renewal_seen_at", "_term", "since", "version")

    def __init__(self, term: float, margin: float, version: int, now: float) -> None:
        self._term = term
        self._margin = margin
        self._renewal_seen_at = now
        self.since = now
        self.version = version

    def observe(self, version: int, now: float) -> None:
        """Records a version; only a higher one extends the lease."""
        if version <= self.version:
            return
        if self.has_lapsed(now):
            self.since = now
        self.version = version
        self._renewal_seen_at = now

    def has_lapsed(self, now: float) -> bool:
        """Returns whether the holder can no longer rely on it."""
        return now > self._renewal_seen_at + self._term + self._margin

    def is_settled(self, now: float) -> bool:
        """Returns whether it has not lapsed for a whole term."""
        return not self.has_lapsed(now) and now >= self.since + self._term
