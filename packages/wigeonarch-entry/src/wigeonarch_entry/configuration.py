"""Holds the configuration of this instance, appends changes to it, and decides whether to serve.

A change is appended by creating the object `changes/N` on condition that it is absent, so the log
has a single order and two operators cannot both write change N. A change is accepted only once
every instance that may serve has applied it; until then it is pending, and the reply names the
instances that lack it. The rules are in the core (`catalogue`, `acceptance`, `serving_right`); this
module collects what they need from the platform and the peers.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec
from wigeonarch_core import acceptance, serving_right
from wigeonarch_core.acceptance import LaggingInstance, Member
from wigeonarch_core.catalogue import Catalogue
from wigeonarch_core.changelog import Change, Mutation, Result, Verdict
from wigeonarch_core.fleet import Fleet, Peer
from wigeonarch_core.messages import ChangeNotice, Heartbeat
from wigeonarch_core.options import Options
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.records import CHANGES, LEASES, LeaseRecord, change_name
from wigeonarch_core.replica import Replica
from wigeonarch_core.serving_right import ServingState, ZonePeer, ZoneView
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.changefeed import ChangeFeed
from wigeonarch_entry.membership import Membership
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.platform import Conflict, Found, PlatformClient, Unavailable, Written
from wigeonarch_entry.snapshots import SnapshotWriter

POLL_INTERVAL: Final = 0.02  # Seconds.
LOST_ANSWER_ATTEMPTS: Final = 3
APPEND_ATTEMPTS: Final = 50
RETRY_AFTER: Final = 2.0  # Seconds.
# Read intervals of the platform's list for which an instance without a lease still counts although
# the list does not name it: the list lags behind the real state.
LIST_GRACE_INTERVALS: Final = 10
# Peers are notified of a change at once; only an instance that is behind for longer reads the log.
BEHIND_GRACE: Final = 0.5  # Seconds.

LOG_ROLLED_BACK: Final = (
    "the log of changes in the platform ends before the configuration in force, or differs from "
    "it; no change is taken until it is restored (see OPERATING)"
)
MAYBE_WRITTEN: Final = "the change may have been written; repeat it with the same operation id"
UNCONFIRMED: Final = "the platform cannot be asked which instances count"


class ChangeStatus(enum.StrEnum):
    """Status of a change, as reported to its operator."""

    ACCEPTED = "accepted"
    PENDING = "pending"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class ChangeReply:
    """Reply to the operator who made a change or asked about it.

    Attributes:
        status: Status of the change.
        result: Its number and the verdict on it; None while it is not known to be in the log.
        lagging: Instances that lack it while it is pending.
        message: Explanation for the operator, with what to do where something can be done.
        retry_after: Seconds after which the operator should ask again.
    """

    status: ChangeStatus
    result: Result | None = None
    lagging: tuple[LaggingInstance, ...] = ()
    message: str = ""
    retry_after: float = 0.0


_REJECTIONS: Final = {
    Verdict.CONFLICT: ChangeStatus.CONFLICT,
    Verdict.INVALID: ChangeStatus.INVALID,
}


class Configuration:
    """The configuration of this instance.

    Attributes:
        replica: The copy of the configuration, with the changes applied so far.
    """

    __slots__ = (
        "_behind_since",
        "_feed",
        "_highest_accepted",
        "_list_grace_seconds",
        "_logged_state",
        "_membership",
        "_newest_known",
        "_notify",
        "_platform",
        "_snapshots",
        "_zone_view",
        "replica",
    )

    def __init__(
        self,
        opts: Options,
        platform: PlatformClient,
        membership: Membership,
        notify: Callable[[ChangeNotice], None],
        metrics: Metrics,
    ) -> None:
        timing = opts.timing
        self.replica = Replica()
        self._platform = platform
        self._membership = membership
        self._notify = notify
        self._feed = ChangeFeed(
            platform, self.replica, timing.watch_silence, self._is_read_due, metrics
        )
        self._snapshots = SnapshotWriter(platform, self.replica, opts.limits.snapshot_every)
        self._zone_view = ZoneView(timing.peer_timeout)
        self._list_grace_seconds = LIST_GRACE_INTERVALS * timing.list_interval
        self._newest_known = 0
        self._behind_since: float | None = None
        # The refusal reason, and whether the lease was valid, when they were last logged.
        self._logged_state: tuple[Reason | None, bool] = (Reason.NO_CONFIGURATION, False)
        self._highest_accepted = 0

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue as of the last change applied here."""
        return self.replica.catalogue

    @property
    def _fleet(self) -> Fleet:
        return self._membership.fleet

    async def run(self) -> None:
        """Keeps the replica up to date and writes snapshots of it until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._feed.run())
            tasks.create_task(self._snapshots.run())

    def refusal_reason(self) -> Reason | None:
        """Returns why no request may be served now, by the local clock; None when one may."""
        return serving_right.refusal_reason(self._serving_state(monotonic()))

    def hasten_read(self) -> None:
        """Reads the log at once if the right to serve depends on it."""
        self._feed.hasten()

    def handle_change_notice(self, notice: ChangeNotice) -> None:
        """Adds a change that a peer has written to the log."""
        self._feed.add(notice.number, notice.change)
        self._record_newest(notice.number)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Records how far a peer has applied the log, and its state if it is in the same zone."""
        self._record_newest(heartbeat.applied)
        if heartbeat.zone == self._fleet.zone:
            peer = ZonePeer(
                heartbeat.instance,
                heartbeat.echo,
                heartbeat.leased,
                heartbeat.reaches,
                heartbeat.applied,
            )
            self._zone_view.record(peer)

    async def mutate(self, operation: str, mutation: Mutation, wait: float) -> ChangeReply:
        """Appends a change and waits until every instance that may serve has applied it.

        Args:
            operation: The operator's id of the change; a repeated id never makes a second change.
            mutation: What to change.
            wait: Seconds to wait for acceptance before replying `PENDING`.
        """
        known = self.catalogue.result_of(operation)
        if known is not None:
            return await self._await_acceptance(known, wait)
        reply = await self._append_change(Change(operation, mutation))
        return await self._await_acceptance(reply, wait) if isinstance(reply, Result) else reply

    async def change_status(self, operation: str, number: int, wait: float) -> ChangeReply | None:
        """Returns the status of an earlier change; None when the log does not contain it.

        Args:
            operation: The operator's id of the change; empty to look it up by number.
            number: Its number in the log, used without an operation id.
            wait: Seconds to wait for acceptance before replying `PENDING`.
        """
        result = self._known_result(operation, number)
        if result is None:
            # The change may have been made through another instance a moment ago.
            if await self._feed.catch_up() is None:
                return _maybe_written_reply("the log of changes cannot be read now")
            result = self._known_result(operation, number)
        return await self._await_acceptance(result, wait) if result else None

    def _known_result(self, operation: str, number: int) -> Result | None:
        if operation:
            return self.catalogue.result_of(operation)
        if not 0 < number <= self.catalogue.applied:
            return None
        return self.catalogue.result_at(number) or Result(number, Verdict.APPLIED)

    async def _append_change(self, change: Change) -> Result | ChangeReply:
        """Appends a change to the log unless it conflicts, is invalid or is already there.

        Returns:
            The verdict on the change; a reply when the log is unavailable or the write is in doubt.
        """
        for _ in range(APPEND_ATTEMPTS):
            # The log is read to its end first, so that a change which already conflicts is
            # rejected without being written, and an operation made through another instance is
            # found.
            if await self._feed.catch_up() is None:
                return _unavailable_reply("the log of changes cannot be read now")
            if self.replica.rolled_back:
                return _unavailable_reply(LOG_ROLLED_BACK)
            known = self.catalogue.result_of(change.operation)
            if known is not None:
                return known
            number = self.catalogue.applied + 1
            expected = self.catalogue.evaluate(number, change.mutation)
            if expected.verdict is not Verdict.APPLIED:
                return msgspec.structs.replace(expected, number=0)
            written = await self._create_change(number, change)
            if isinstance(written, Unavailable):
                return (
                    _maybe_written_reply()
                    if written.may_have_written
                    else _unavailable_reply(written.detail)
                )
            if isinstance(written, Written):
                self._feed.add(number, change)
                self._notify(ChangeNotice(number, self._fleet.own_name, change))
            else:
                await asyncio.sleep(random.uniform(0, POLL_INTERVAL))
            known = self.catalogue.result_of(change.operation)
            if known is not None:
                return known
        return _unavailable_reply("too many other changes at the same time")

    async def _create_change(self, number: int, change: Change) -> Written | Conflict | Unavailable:
        """Writes change `number` to the log.

        After a lost response or a conflict the change is read back: it may have been written by
        this instance's own earlier attempt.
        """
        written: Written | Conflict | Unavailable = Unavailable(False, "")
        # Once an attempt may have written the change, a later refusal does not undo that.
        may_have_written = False
        for _ in range(LOST_ANSWER_ATTEMPTS):
            written = await self._platform.create(CHANGES, change_name(number), change)
            if isinstance(written, Written):
                return written
            may_have_written = may_have_written or (
                isinstance(written, Unavailable) and written.may_have_written
            )
            if isinstance(written, Unavailable) and not may_have_written:
                return written
            found = await self._platform.get(CHANGES, change_name(number))
            if isinstance(found, Found):
                is_own = msgspec.convert(found.value, Change).operation == change.operation
                return Written(found.version) if is_own else Conflict(found.version)
        return Unavailable(True, MAYBE_WRITTEN) if may_have_written else written

    async def _await_acceptance(self, result: Result, wait: float) -> ChangeReply:
        """Waits up to `wait` seconds for the acceptance of a change that was not rejected."""
        rejected = _REJECTIONS.get(result.verdict)
        if rejected is not None:
            return ChangeReply(rejected, result, (), result.message)
        until = monotonic() + wait
        while True:
            lagging = await self._find_lagging(result.number)
            if lagging is not None and not lagging:
                return ChangeReply(ChangeStatus.ACCEPTED, result)
            if monotonic() >= until:
                message = UNCONFIRMED if lagging is None else ""
                return ChangeReply(
                    ChangeStatus.PENDING, result, lagging or (), message, RETRY_AFTER
                )
            await asyncio.sleep(POLL_INTERVAL)

    async def _find_lagging(self, number: int) -> tuple[LaggingInstance, ...] | None:
        """Returns the instances that keep a change from being accepted.

        The leases known here may be out of date: an instance may have got or renewed its lease
        without this instance having learned of it. So the leases are read from the platform after
        the change was written.

        Returns:
            The lagging instances; None when the leases could not be read.
        """
        if number <= self._highest_accepted:
            return ()
        lagging = acceptance.find_lagging(number, self._members(number, monotonic()))
        if lagging:
            return lagging
        asked_at = monotonic()
        if not await self._read_leases():
            return None
        lagging = acceptance.find_lagging(number, self._members(number, asked_at))
        if not lagging:
            self._highest_accepted = max(self._highest_accepted, number)
        return lagging

    async def _read_leases(self) -> bool:
        """Updates the known leases from the platform; returns whether all could be read."""
        after, more = "", True
        while more:
            page = await self._platform.list(LEASES, after)
            if isinstance(page, Unavailable):
                return False
            for item in page.items:
                record = msgspec.convert(item.value, LeaseRecord)
                self._fleet.observe_lease(record, item.version, monotonic())
                after = item.name
            more = page.more
        return True

    def _members(self, number: int, now: float) -> list[Member]:
        fleet = self._fleet
        peers = [self._member(name, peer, number, now) for name, peer in fleet.peers.items()]
        membership = self._membership
        own = Member(
            name=fleet.own_name,
            zone=fleet.zone,
            applied=self.catalogue.applied,
            leased=membership.lease_period.is_valid(now),
            listed=True,
            settled=membership.reachability.is_settled(now),
        )
        return [own, *peers]

    def _member(self, name: str, peer: Peer, number: int, now: float) -> Member:
        leased = not peer.lease.has_lapsed(now)
        listed = name in self._fleet.entries or not peer.lease.has_lapsed(
            now - self._list_grace_seconds
        )
        return acceptance.build_member(peer.record, peer.heartbeat, number, leased, listed)

    def _serving_state(self, now: float) -> ServingState:
        period = self._membership.lease_period
        fleet = self._fleet
        replica = self.replica
        return ServingState(
            has_configuration=replica.has_configuration,
            leased=period.is_valid(now),
            ever_leased=period.ever_valid,
            leased_since=period.since,
            attempt_needed_since=serving_right.attempt_needed_since(
                period.last_ended_at(now), self._membership.lease.woke_at(now)
            ),
            caught_up_at=replica.caught_up_at,
            last_attempt=_latest(replica.last_attempt, self._membership.reachability.last_failure),
            applied=replica.catalogue.applied,
            newest=self._zone_view.newest,
            others_known=any(peer.record.zone == fleet.zone for peer in fleet.peers.values()),
            recent_peers=self._zone_view.recent_peers(now),
        )

    def _record_newest(self, number: int) -> None:
        self._newest_known = max(self._newest_known, number)

    def _log_serving_state(self) -> Reason | None:
        """Returns the refusal reason, and logs when it or the validity of the lease changes."""
        refusal = self.refusal_reason()
        state = (refusal, self._membership.lease_period.is_valid(monotonic()))
        if state != self._logged_state:
            self._logged_state = state
            reason = "" if refusal is None else refusal.value
            log("may_not_serve" if reason else "may_serve", reason=reason, leased=state[1])
        return refusal

    def _is_read_due(self) -> bool:
        """Tells whether the log must be read again, for `ChangeFeed`."""
        refusal = self._log_serving_state()
        now = monotonic()
        is_behind = self._newest_known > self.catalogue.applied or self.replica.has_gap
        if not is_behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        in_grace = self._behind_since is None or now < self._behind_since + BEHIND_GRACE
        return not in_grace or refusal is Reason.NOT_CAUGHT_UP


def _latest(one: float | None, other: float | None) -> float | None:
    return max((time for time in (one, other) if time is not None), default=None)


def _maybe_written_reply(message: str = MAYBE_WRITTEN) -> ChangeReply:
    """Returns the reply for a change that may or may not be in the log."""
    log("change_unsettled", "WARNING", detail=message)
    return ChangeReply(ChangeStatus.PENDING, None, (), message, RETRY_AFTER)


def _unavailable_reply(message: str) -> ChangeReply:
    """Returns the reply for a change that was not written to the log."""
    log("change_not_taken", "WARNING", detail=message)
    return ChangeReply(ChangeStatus.UNAVAILABLE, None, (), message, RETRY_AFTER)
