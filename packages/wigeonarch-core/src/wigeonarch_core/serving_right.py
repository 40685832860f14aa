"""Whether an instance may serve on the configuration that it has in force.

A change is accepted once every instance that may serve has it (see `acceptance`). So an instance
must be able to tell for itself, at each request and from its own clock alone, that nothing can have
been accepted without it:

* While its lease holds, all others count it, so nothing is accepted that it lacks. This is true of
  changes made after the lease began; the log must have been read to its end once since then.
* Without a lease it may have been left out. It goes on only if its whole zone is in the same place:
  it hears other instances of its zone, and each one that it hears has no lease either or does not
  reach the platform. Nothing is accepted behind the back of such a zone, as long as the platform's
  list names it. An instance that hears nobody, while others are known, may be cut off alone.

A process that was paused finds its lease lapsed by the clock at its first request, and then has to
try the platform before it may say that its zone is cut off.

Example: an instance is paused for a minute. A change is accepted without it. At its first request
after the pause its lease has lapsed and it has not tried the platform since, so it refuses. It
reads the log, renews its lease, reads the log once more, and serves on the new state.
"""

from __future__ import annotations

import msgspec

from wigeonarch_core.outcomes import Reason


class LeasePeriod:
    """The unbroken time for which the platform has held this instance's lease.

    Unlike `lease.HeldLease`, which says who may give orders, this is never extended by anything but
    a renewal that the platform confirmed, since only that is seen by all others.

    Attributes:
        since: Monotonic time at which the period began.
        lapsed_at: Monotonic time at which the last period ended, or the process began.
        ever: Whether there has been a period.
    """

    __slots__ = ("_end", "_length", "ever_valid", "lapsed_at", "since")

    def __init__(self, term: float, margin: float, now: float) -> None:
        self._length = term - margin
        self._end = now
        self.since = now
        self.lapsed_at = now
        self.ever_valid = False

    def record_renewal(self, sent_at: float, now: float) -> None:
        """Notes a renewal that was sent at `sent_at` and confirmed now."""
        if not self.ever_valid or now >= self._end:
            self.lapsed_at = self._end
            self.since = now
        self.ever_valid = True
        self._end = max(self._end, sent_at + self._length)

    def is_valid(self, now: float) -> bool:
        """Tells whether all others count this instance."""
        return self.ever_valid and now < self._end

    def last_ended_at(self, now: float) -> float:
        """Returns when the last period ended."""
        return self.lapsed_at if self.is_valid(now) else self._end


class PlatformReachability:
    """Whether the platform has been answering without a gap."""

    __slots__ = ("_bound", "_last", "_settle", "_since")

    def __init__(self, bound: float, settle: float) -> None:
        """Makes the view.

        Args:
            bound: Seconds without any answer after which the platform counts as out of reach.
            settle: Seconds of reach after which all peers of the zone have been told of it.
        """
        self._bound = bound
        self._settle = settle
        self._last: float | None = None
        self._since = 0.0

    def record_answer(self, now: float) -> None:
        """Notes any answer of the platform, a line of a watch included."""
        if not self.is_reachable(now):
            self._since = now
        self._last = now

    def is_reachable(self, now: float) -> bool:
        """Tells whether the platform is within reach."""
        return self._last is not None and now <= self._last + self._bound

    def is_settled(self, now: float) -> bool:
        """Tells whether it has been for so long that no peer of the zone goes on without it."""
        return self.is_reachable(now) and now >= self._since + self._settle


class ZonePeer(msgspec.Struct, frozen=True):
    """What another instance of the zone said of itself.

    Attributes:
        name: Its name.
        heard: Monotonic time, by the own clock, that what it said is at least as new as: when the
            own heartbeat was sent that it echoed. A message that was held up is worth nothing.
        leased: Whether its lease held.
        reaches: Whether it reached the platform.
        applied: Last change in force there.
    """

    name: str
    as_of: float
    leased: bool
    reaches: bool
    applied: int


class ZoneView:
    """What the other instances of the zone have said, those included that are not known otherwise.

    Attributes:
        newest: Greatest number of a change that any instance of the zone had in force.
    """

    __slots__ = ("_peers", "_timeout", "newest")

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._peers: dict[str, ZonePeer] = {}
        self.newest = 0

    def record(self, peer: ZonePeer) -> None:
        """Notes what a peer said; older words than those known count for nothing but the number."""
        known = self._peers.get(peer.name)
        if known is None or peer.as_of >= known.as_of:
            self._peers[peer.name] = peer
        self.newest = max(self.newest, peer.applied)

    def recent_peers(self, now: float) -> tuple[ZonePeer, ...]:
        """Returns the peers heard within the timeout."""
        return tuple(p for p in self._peers.values() if now - p.as_of <= self._timeout)


class ServingState(msgspec.Struct, frozen=True):
    """All that the right to serve depends on.

    Attributes:
        informed: Whether a configuration has been read, from the platform or from a zone peer.
        leased: Whether the lease holds.
        ever_leased: Whether it ever held.
        leased_since: Monotonic time at which the present lease period began.
        lapsed_at: Monotonic time at which the last one ended.
        caught_up: Monotonic time at which the last whole reading of the log began; None before.
        tried: The same of the last try that has ended, well or not; None before.
        applied: Last change in force here.
        newest: Greatest change heard of in the zone.
        others: Whether other instances of the zone are known.
        heard: Those heard of late.
    """

    has_configuration: bool
    leased: bool
    ever_leased: bool
    leased_since: float
    lapsed_at: float
    caught_up_at: float | None
    last_attempt: float | None
    applied: int
    newest: int
    others_known: bool
    recent_peers: tuple[ZonePeer, ...]


def refusal_reason(at: ServingState) -> Reason | None:
    """Returns why an instance must not serve; None when it may."""
    if not at.has_configuration:
        return Reason.NO_CONFIGURATION
    if at.leased:
        is_current = at.caught_up_at is not None and at.caught_up_at >= at.leased_since
        return None if is_current else Reason.NOT_CAUGHT_UP
    return _refusal_without_lease(at)


def _refusal_without_lease(at: ServingState) -> Reason | None:
    if at.last_attempt is None or at.last_attempt < at.lapsed_at or at.newest > at.applied:
        return Reason.NOT_CAUGHT_UP
    # One that never had a lease is counted by nobody; it serves only as part of a zone that is.
    if not at.recent_peers and (at.others_known or not at.ever_leased):
        return Reason.CUT_OFF
    if any(peer.leased and peer.reaches for peer in at.recent_peers):
        return Reason.NOT_LEASED
    return None
