"""The configuration of this instance: changes made through it, and whether it may serve.

`changes/N` is created if absent, so the log has one order and two operators cannot both win N. A
change is accepted only once every instance that may serve has it in force; until then it is
pending, and the reply says who lacks it. The rules are in the core (`catalogue`, `acceptance`,
`serving_right`); this module asks the platform and the peers for what they need.
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

POLL_INTERVAL: Final = 0.02
LOST_ANSWER_ATTEMPTS: Final = 3
APPEND_ATTEMPTS: Final = 50
RETRY_AFTER: Final = 2.0
# For how many readings of the platform's list an instance without a lease still counts when it is
# not on it: the list is behind the truth.
LIST_GRACE_INTERVALS: Final = 10
# Peers are told of a change at once; only one that is behind for longer makes the log be read.
BEHIND_GRACE: Final = 0.5

LOG_ROLLED_BACK: Final = (
    "the log of changes in the platform ends before the configuration in force, or differs from "
    "it; no change is taken until it is restored (see OPERATING)"
)
MAYBE_WRITTEN: Final = "the change may have been written; repeat it with the same operation id"
UNCONFIRMED: Final = "the platform cannot be asked which instances count"


class ChangeStatus(enum.StrEnum):
    """Where a change stands, as its operator is told."""

    ACCEPTED = "accepted"
    PENDING = "pending"
    CONFLICT = "conflict"
    INVALID = "invalid"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class ChangeReply:
    """What an operator is told about a change.

    Attributes:
        standing: Where it stands.
        result: The log's verdict, once there is one.
        lagging: Who lacks it, while it is pending.
        message: What to do, for people.
        retry_after: Seconds after which asking again makes sense.
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
        replica: Its copy of the state.
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
        # Why nothing may be served, and whether the lease holds, as last logged.
        self._logged_state: tuple[Reason | None, bool] = (Reason.NO_CONFIGURATION, False)
        self._highest_accepted = 0

    @property
    def catalogue(self) -> Catalogue:
        """The catalogue in force here."""
        return self.replica.catalogue

    @property
    def _fleet(self) -> Fleet:
        return self._membership.fleet

    async def run(self) -> None:
        """Keeps the copy up to date until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._feed.run())
            tasks.create_task(self._snapshots.run())

    def refusal_reason(self) -> Reason | None:
        """Tells why no request may be served on the state in force; judged by the clock, now."""
        return serving_right.refusal_reason(self._serving_state(monotonic()))

    def handle_change_notice(self, notice: ChangeNotice) -> None:
        """Takes a change that a peer has written to the log."""
        self._feed.add(notice.number, notice.change)
        self._record_newest(notice.number)

    def handle_heartbeat(self, beat: Heartbeat) -> None:
        """Takes a peer's word about itself."""
        self._record_newest(beat.applied)
        if beat.zone == self._fleet.zone:
            peer = ZonePeer(beat.instance, beat.echo, beat.leased, beat.reaches, beat.applied)
            self._zone_view.record(peer)

    async def mutate(self, operation: str, mutation: Mutation, wait: float) -> ChangeReply:
        """Appends a change and waits until it is in force everywhere.

        Args:
            operation: The operator's id of the change; repeating it never makes it twice.
            mutation: What to change.
            wait: Seconds to wait before `PENDING` is answered.
        """
        known = self.catalogue.result_of(operation)
        if known is not None:
            return await self._await_acceptance(known, wait)
        reply = await self._append_change(Change(operation, mutation))
        return await self._await_acceptance(reply, wait) if isinstance(reply, Result) else reply

    async def change_status(self, operation: str, number: int, wait: float) -> ChangeReply | None:
        """Tells where an earlier change stands; None when the log does not hold it."""
        result = self._known_result(operation, number)
        if result is None:
            # It may have been made through another instance a moment ago.
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
        """Appends a change to the log, or finds that it must not or need not be."""
        for _ in range(APPEND_ATTEMPTS):
            # The end of the log is read first, so that a change which already conflicts is told so
            # without being written, and an operation made through another instance is found.
            if await self._feed.catch_up() is None:
                return _unavailable_reply("the log of changes cannot be read now")
            if self.replica.rolled_back:
                return _unavailable_reply(LOG_ROLLED_BACK)
            known = self.catalogue.result_of(change.operation)
            if known is not None:
                return known
            number = self.catalogue.applied + 1
            judged = self.catalogue.evaluate(number, change.mutation)
            if judged.verdict is not Verdict.APPLIED:
                return msgspec.structs.replace(judged, number=0)
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
        """Creates a log element; a lost answer, or a conflict with itself, is read back."""
        written: Written | Conflict | Unavailable = Unavailable(False, "")
        # Once one try may have landed, no later refusal can take that back.
        maybe = False
        for _ in range(LOST_ANSWER_ATTEMPTS):
            written = await self._platform.create(CHANGES, change_name(number), change)
            if isinstance(written, Written):
                return written
            maybe = maybe or (isinstance(written, Unavailable) and written.may_have_written)
            if isinstance(written, Unavailable) and not maybe:
                return written
            found = await self._platform.get(CHANGES, change_name(number))
            if isinstance(found, Found):
                mine = msgspec.convert(found.value, Change).operation == change.operation
                return Written(found.version) if mine else Conflict(found.version)
        return Unavailable(True, MAYBE_WRITTEN) if maybe else written

    async def _await_acceptance(self, result: Result, wait: float) -> ChangeReply:
        rejected = _REJECTIONS.get(result.verdict)
        if rejected is not None:
            return ChangeReply(rejected, result, (), result.message)
        until = monotonic() + wait
        while True:
            missing = await self._find_lagging(result.number)
            if missing is not None and not missing:
                return ChangeReply(ChangeStatus.ACCEPTED, result)
            if monotonic() >= until:
                message = UNCONFIRMED if missing is None else ""
                return ChangeReply(
                    ChangeStatus.PENDING, result, missing or (), message, RETRY_AFTER
                )
            await asyncio.sleep(POLL_INTERVAL)

    async def _find_lagging(self, number: int) -> tuple[LaggingInstance, ...] | None:
        """Returns who keeps a change from being accepted; None when the platform cannot be asked.

        What is known here may be old: an instance may have got its lease, or renewed it, without
        this one having heard. So the leases are read after the change was written.
        """
        if number <= self._highest_accepted:
            return ()
        missing = acceptance.find_lagging(number, self._members(number, monotonic()))
        if missing:
            return missing
        asked_at = monotonic()
        if not await self._read_leases():
            return None
        missing = acceptance.find_lagging(number, self._members(number, asked_at))
        if not missing:
            self._highest_accepted = max(self._highest_accepted, number)
        return missing

    async def _read_leases(self) -> bool:
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
        me = Member(
            name=fleet.own_name,
            zone=fleet.zone,
            applied=self.catalogue.applied,
            leased=membership.lease_period.is_valid(now),
            listed=True,
            settled=membership.reachability.is_settled(now),
        )
        return [me, *peers]

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
            lapsed_at=period.last_ended_at(now),
            caught_up_at=replica.caught_up_at,
            last_attempt=replica.last_attempt,
            applied=replica.catalogue.applied,
            newest=self._zone_view.newest,
            others_known=any(peer.record.zone == fleet.zone for peer in fleet.peers.values()),
            recent_peers=self._zone_view.recent_peers(now),
        )

    def _record_newest(self, number: int) -> None:
        self._newest_known = max(self._newest_known, number)

    def _log_serving_state(self) -> Reason | None:
        """Returns why nothing may be served now, and logs when that or the lease changes."""
        refused = self.refusal_reason()
        right = (refused, self._membership.lease_period.is_valid(monotonic()))
        if right != self._logged_state:
            self._logged_state = right
            reason = "" if refused is None else refused.value
            log("may_not_serve" if reason else "may_serve", reason=reason, leased=right[1])
        return refused

    def _is_read_due(self) -> bool:
        """Tells whether the log is to be read again."""
        refused = self._log_serving_state()
        now = monotonic()
        is_behind = self._newest_known > self.catalogue.applied or self.replica.has_gap
        if not is_behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        patient = self._behind_since is None or now < self._behind_since + BEHIND_GRACE
        return not patient or refused is Reason.NOT_CAUGHT_UP


def _maybe_written_reply(message: str = MAYBE_WRITTEN) -> ChangeReply:
    """Returns the reply about a change of which nobody can say now whether it is in the log."""
    log("change_unsettled", "WARNING", detail=message)
    return ChangeReply(ChangeStatus.PENDING, None, (), message, RETRY_AFTER)


def _unavailable_reply(message: str) -> ChangeReply:
    log("change_not_taken", "WARNING", detail=message)
    return ChangeReply(ChangeStatus.UNAVAILABLE, None, (), message, RETRY_AFTER)
