"""Decides whether an instance may serve requests with the configuration that it has applied.

A change is accepted once every instance that may serve has applied it (see `acceptance`). So at
each request, an instance must be able to tell, by its own clock alone, that no change can have been
accepted without it:

* While its lease is valid, all others count it, so no change is accepted that it lacks. This is
  true of changes made after the lease period began, so the log must have been read to its end once
  since then.
* Without a valid lease, a change may have been accepted without it. It goes on serving only if its
  whole zone is in the same state: it hears other instances of its zone, and each of them has no
  valid lease either or does not reach the platform. No change is accepted without such a zone as
  long as its instances are on the platform's list. An instance that hears no other one, although
  others are known, may be cut off alone, so it stops.

A process that was suspended finds at its first request that its lease has lapsed by the clock, or
has been without one since before. Either way it must try to reach the platform before it may
conclude that its zone is cut off.

Example: an instance is suspended for a minute, and a change is accepted without it. At its first
request after that, its lease has lapsed and it has not tried to reach the platform since, so it
refuses the request. It reads the log, renews its lease, reads the log once more, and serves with
the new state.
"""

from __future__ import annotations

import msgspec

from wigeonarch_core.outcomes import Reason


class LeasePeriod:
    """The unbroken time for which the platform has held this instance's lease.

    `lease.HeldLease` decides whether the instance may give orders. Unlike that, a lease period is
    extended only by renewals that the platform confirmed, since only those are seen by all others.

    Attributes:
        since: Monotonic time at which the period began.
        lapsed_at: Monotonic time at which the period before it ended, or the process began.
        ever_valid: Whether there has been a period.
    """

    __slots__ = ("_end", "_length", "ever_valid", "lapsed_at", "since")

    def __init__(self, term: float, margin: float, now: float) -> None:
        self._length = term - margin
        self._end = now
        self.since = now
        self.lapsed_at = now
        self.ever_valid = False

    def record_renewal(self, sent_at: float, now: float) -> None:
        """Records a renewal that was sent at `sent_at` and confirmed now."""
        if not self.ever_valid or now >= self._end:
            self.lapsed_at = self._end
            self.since = now
        self.ever_valid = True
        self._end = max(self._end, sent_at + self._length)

    def is_valid(self, now: float) -> bool:
        """Returns whether all other instances count this one as serving."""
        return self.ever_valid and now < self._end

    def last_ended_at(self, now: float) -> float:
        """Returns when the last period ended."""
        return self.lapsed_at if self.is_valid(now) else self._end


class PlatformReachability:
    """Whether the platform has been answering without a gap.

    Attributes:
        last_failure: Monotonic time at which the last call that got no usable answer began; None
            before the first.
    """

    __slots__ = ("_bound", "_last_answer", "_settle", "_since", "last_failure")

    def __init__(self, bound: float, settle: float) -> None:
        """Starts without any answer.

        Args:
            bound: Seconds without any answer after which the platform counts as unreachable.
            settle: Seconds of reachability after which all peers of the zone have been told of it.
        """
        self._bound = bound
        self._settle = settle
        self._last_answer: float | None = None
        self._since = 0.0
        self.last_failure: float | None = None

    def record_failure(self, began: float) -> None:
        """Records a call that began at `began` and got no usable answer."""
        self.last_failure = began if self.last_failure is None else max(self.last_failure, began)

    def record_answer(self, at: float) -> None:
        """Records any answer of the platform, including a line of a watch.

        Args:
            at: Earliest time at which the platform may have given it. An answer may be handled long
                after, while the platform is away.
        """
        if not self.is_reachable(at):
            self._since = at
        self._last_answer = at if self._last_answer is None else max(self._last_answer, at)

    def is_reachable(self, now: float) -> bool:
        """Returns whether the platform has answered recently."""
        return self._last_answer is not None and now <= self._last_answer + self._bound

    def is_settled(self, now: float) -> bool:
        """Returns whether it has been reachable for so long that every peer of the zone knows.

        By then, no peer goes on serving in the belief that the whole zone is cut off.
        """
        return self.is_reachable(now) and now >= self._since + self._settle


class ZonePeer(msgspec.Struct, frozen=True):
    """What another instance of the zone said about itself.

    Attributes:
        name: Its name.
        as_of: Monotonic time, by this instance's clock, than which the information is no older:
            when this instance sent the heartbeat that the peer echoed. So a message that was held
            up is worth nothing.
        leased: Whether its lease was valid.
        reaches: Whether it reached the platform.
        applied: Number of the last change that it had applied.
    """

    name: str
    as_of: float
    leased: bool
    reaches: bool
    applied: int


class ZoneView:
    """What the other instances of the zone said, even those known only by their heartbeats.

    Attributes:
        newest: Highest number of a change that any instance of the zone had applied.
    """

    __slots__ = ("_peers", "_timeout", "newest")

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._peers: dict[str, ZonePeer] = {}
        self.newest = 0

    def record(self, peer: ZonePeer) -> None:
        """Records what a peer said; of older information, only the number of its change is used."""
        known = self._peers.get(peer.name)
        if known is None or peer.as_of >= known.as_of:
            self._peers[peer.name] = peer
        self.newest = max(self.newest, peer.applied)

    def recent_peers(self, now: float) -> tuple[ZonePeer, ...]:
        """Returns the peers whose information is no older than the timeout."""
        return tuple(p for p in self._peers.values() if now - p.as_of <= self._timeout)


class ServingState(msgspec.Struct, frozen=True):
    """All that the right to serve depends on.

    Attributes:
        has_configuration: Whether a configuration has been read from the platform or a zone peer.
        leased: Whether the lease is valid.
        ever_leased: Whether it has ever been valid.
        leased_since: Monotonic time at which the current lease period began.
        attempt_needed_since: See `attempt_needed_since`.
        caught_up_at: Monotonic time at which the last complete read of the log began; None before.
        last_attempt: Monotonic time at which the last finished attempt to read it began, or the
            last call of any kind that the platform did not answer; None before.
        applied: Number of the last change applied here.
        newest: Highest number of a change that was heard of in the zone.
        others_known: Whether other instances of the zone are known.
        recent_peers: Those that were heard recently.
    """

    has_configuration: bool
    leased: bool
    ever_leased: bool
    leased_since: float
    attempt_needed_since: float
    caught_up_at: float | None
    last_attempt: float | None
    applied: int
    newest: int
    others_known: bool
    recent_peers: tuple[ZonePeer, ...]


def attempt_needed_since(lapsed_at: float, woke_at: float) -> float:
    """Returns since when an instance without a lease must have tried to reach the platform.

    What it found before a pause of its process says nothing of the time after it.

    Args:
        lapsed_at: Monotonic time at which its last lease period ended.
        woke_at: Monotonic time at which the last pause of its process ended.
    """
    return max(lapsed_at, woke_at)


def refusal_reason(state: ServingState) -> Reason | None:
    """Returns why an instance must not serve; None if it may."""
    if not state.has_configuration:
        return Reason.NO_CONFIGURATION
    if state.leased:
        is_current = state.caught_up_at is not None and state.caught_up_at >= state.leased_since
        return None if is_current else Reason.NOT_CAUGHT_UP
    return _reason_without_lease(state)


def _reason_without_lease(state: ServingState) -> Reason | None:
    if (
        state.last_attempt is None
        or state.last_attempt < state.attempt_needed_since
        or state.newest > state.applied
    ):
        return Reason.NOT_CAUGHT_UP
    # No other instance counts one that never had a lease, so it serves only as part of a zone that
    # others do count.
    if not state.recent_peers and (state.others_known or not state.ever_leased):
        return Reason.CUT_OFF
    if any(peer.leased and peer.reaches for peer in state.recent_peers):
        return Reason.NOT_LEASED
    return None
