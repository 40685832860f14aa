"""Shares the watch of the store in a large availability zone.

In a large zone one instance, the zone watcher, watches the store, and the others follow it. Every
`FOLLOW_INTERVAL` a follower sends the revisions that it has, and the watcher replies with the
changes that it lacks; new changes are also pushed to followers as they arrive. The load on the
store therefore does not grow with the zone. The order in which instances may become the watcher
comes from `Roles.watchers`. No agreement is needed: an instance that has followers watches the
store, and a follower whose watcher falls silent or loses the store turns to the next one at once.

This is safe because a follower dispatches to an endpoint only while it is confirmed, within a
bounded age, that the endpoint had not begun to leave: by the follower's own watch, or by its
watcher's. The age counts from the earliest time at which the store may have given the last answer
that brought the watcher up to date (see `answer_time`), across all messages in between. As messages
may be delayed, a reply of the watcher is taken to be as old as the request that it answers. So a
watcher that lost the store, or handles its answers late, confirms nothing beyond what it knows,
however promptly it replies. A follower calls the store itself early enough that its call ends
before the age reaches the time within which a change must be in force:

    watcher's age + FOLLOW_INTERVAL + MAX_TRANSIT_TIME <= age relied on = bound - OWN_CALL_TIME

The left side is the age that a working watcher keeps to (`wait_of_watch`, `pause_after_changes`);
the right side is the age up to which a follower relies on it (`WatchSharing.kept_current_for`). An
instance without a watcher watches the store itself, from the revision that it has. A lost message
leaves a gap, which the next reply fills.

An instance that just started has read lists that may be some seconds old. It may use the time until
it must be up to date (`StoreOptions.contact`) to find a watcher, and does not watch the store
meanwhile, so that many instances that start at once don't all watch it. If its watcher lacks what
happened since those lists, as one that started later does, one short call closes the gap.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import msgspec
from wigeonarch_core.revisions import era_of, store_revision
from wigeonarch_core.store_contact import StoreContact
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.feeding import ChangeFeed
from wigeonarch_gateway.messages import FollowRequest, StoreUpdate, UpdateUnavailable, encode
from wigeonarch_gateway.options import StoreOptions
from wigeonarch_gateway.peer_socket import MAX_MESSAGE_BYTES
from wigeonarch_gateway.ports import Change, ObjectKind, StoredObject

FOLLOW_INTERVAL: Final = 0.7  # Seconds between a follower's requests to its watcher.
# Seconds without a reply after which a watcher is not relied on: two replies were lost.
WATCHER_TIMEOUT: Final = 1.6
# Seconds allowed for a call to the store by a follower that no longer relies on its watcher. It
# takes some milliseconds, and a tenth of a second on busy links of 5 Mbit/s.
OWN_CALL_TIME: Final = 0.4
# Seconds that the store's answer and the watcher's message are in transit at most, together.
MAX_TRANSIT_TIME: Final = 0.15
MIN_WATCH_WAIT: Final = 0.2  # Seconds that a watch call of the zone watcher waits at least.
# Seconds after a follower's last request for which changes are still pushed to it.
FOLLOWER_TIMEOUT: Final = 2.5
# Seconds for which a failed watcher is not followed again, so that followers don't return to one
# that replies only now and then each time that it does.
FAILED_WATCHER_PAUSE: Final = 3.0
# Seconds after its start in which an instance looks for a watcher instead of watching the store.
WATCHER_SEARCH_TIME: Final = 2.8
# Seconds of the time until an instance must be up to date (`StoreOptions.contact`) that the start
# of its process and its own call to the store take. The search is over before them.
START_RESERVE: Final = 1.2
KINDS: Final = tuple(ObjectKind)
NEVER: Final = float("-inf")  # Before all times.
STORE: Final = "store"  # Confirmed the state itself, without a watcher in between.


class Confirmation(msgspec.Struct, frozen=True):
    """How up to date the state of a kind is known to be.

    Attributes:
        age: Seconds since the state was last known to be that of the store.
        confirmed_by: The watcher that told so; `STORE` for an own call, empty before the first.
        as_of: Revision of the state; None before the first list.
    """

    age: float
    confirmed_by: str
    as_of: int | None


@dataclass(slots=True)
class SharedKind:
    """One kind of stored objects, and how up to date this instance is.

    Attributes:
        feed: The state of the kind.
        apply: Called with each new change; returns whether followers need it, too.
        bound: Seconds within which a change must be in force here.
        watched_at: Time as of which this instance's own calls last brought the state up to date.
        store_away: Whether this instance's own call failed, and neither a later call nor a watcher
            has confirmed the state since.
        last_reply: Time of the watcher's last reply.
        confirmed_at: Time as of which a watcher last confirmed the state.
        confirming_watcher: The watcher that did so; empty before the first.
        watcher_lacks_changes: Whether the watcher said that it lacks needed changes, and the state
            has not been confirmed since.
    """

    feed: ChangeFeed
    apply: Callable[[Change], bool]
    bound: float
    watched_at: float = NEVER
    store_away: bool = False
    last_reply: float = NEVER
    confirmed_at: float = NEVER
    confirming_watcher: str = ""
    watcher_lacks_changes: bool = False


class WatchSharing:
    """Exchanges store updates with the watcher that this instance follows, or with its followers.

    Attributes:
        following: The watcher that it follows; empty if it watches the store itself.
    """

    __slots__ = (
        "_contact",
        "_failed_watchers",
        "_followers",
        "_is_zone_small",
        "_kinds",
        "_me",
        "_on_next_era",
        "_opts",
        "_request_number",
        "_request_times",
        "_send",
        "_started",
        "_watchers",
        "following",
    )

    def __init__(
        self,
        me: str,
        opts: StoreOptions,
        watchers: Callable[[], Sequence[str]],
        send: Callable[[str, bytes], bool],
        contact: StoreContact,
        is_zone_small: Callable[[], bool] = lambda: True,
        on_next_era: Callable[[ObjectKind], None] = lambda kind: None,
    ) -> None:
        """Creates the sharing; kinds are added later.

        Args:
            me: Name of this instance.
            opts: Times of the watches.
            watchers: Returns the instances that may watch the store for this zone, best first; none
                in a small zone.
            send: Sends an encoded message to an instance.
            contact: Contact with the store, which the answers that a watcher received extend, too.
            is_zone_small: Tells whether this zone is known to be too small for a watcher.
            on_next_era: Called with a kind before the changes that take its state to the store's
                next era. An era begins when the store comes back from a copy that is older than
                the state before.
        """
        self._me = me
        self._opts = opts
        self._watchers = watchers
        self._send = send
        self._contact = contact
        self._kinds: dict[ObjectKind, SharedKind] = {}
        self._followers: dict[str, float] = {}
        self.following = ""
        self._request_number = 0
        self._request_times: dict[int, float] = {}  # Times of the latest requests, by number.
        self._failed_watchers: dict[str, float] = {}  # Times at which watchers failed.
        self._is_zone_small = is_zone_small
        self._on_next_era = on_next_era
        self._started = monotonic()

    def add_kind(self, kind: ObjectKind, apply: Callable[[Change], bool]) -> None:
        """Adds a kind, which this instance's own watch and its watcher both keep up to date."""
        self._kinds[kind] = SharedKind(ChangeFeed(), apply, self._bound(kind))

    def _bound(self, kind: ObjectKind) -> float:
        propagation = self._opts.propagation
        bounds = {
            ObjectKind.CONFIGURATION: propagation.configuration,
            ObjectKind.ENDPOINTS: propagation.endpoints,
            ObjectKind.VERSIONS: propagation.versions,
        }
        return bounds[kind]

    def wait_of_watch(self, kind: ObjectKind, wait: float) -> float:
        """Returns the seconds that the next watch call may wait for changes.

        Without followers this is `wait` as given. With followers it is limited so that the age of
        the state remains within what they may rely on: until this call is answered, and through
        another short call if this one returns changes, which may be from its first moment. It is
        shortest before this instance is up to date, and where its watcher lacks only what happened
        before that one's own first list: after one call it can follow.
        """
        if self._kinds[kind].watcher_lacks_changes:
            return MIN_WATCH_WAIT
        if not self.has_followers:
            return wait
        most = self._max_watcher_age(kind) - MIN_WATCH_WAIT - self.age(kind)
        return min(wait, max(MIN_WATCH_WAIT, most))

    def pause_after_changes(self, kind: ObjectKind, pause: float) -> float:
        """Returns the seconds to pause after changes; `pause` as given if it has no followers."""
        if not self.has_followers:
            return pause
        most = self._max_watcher_age(kind) - MIN_WATCH_WAIT - self.age(kind)
        return max(0.0, min(pause, most))

    def _max_watcher_age(self, kind: ObjectKind) -> float:
        """Returns the age that the state of an instance with followers may reach, in seconds."""
        bound = self._kinds[kind].bound
        return bound - OWN_CALL_TIME - FOLLOW_INTERVAL - MAX_TRANSIT_TIME

    def is_watcher(self) -> bool:
        """Tells whether this instance is the zone's first watcher, or the zone needs none."""
        watchers = self._watchers()
        return not watchers or watchers[0] == self._me

    def kinds(self) -> list[ObjectKind]:
        """Returns the kinds that are shared."""
        return list(self._kinds)

    def feed(self, kind: ObjectKind) -> ChangeFeed:
        """Returns the state of a kind."""
        return self._kinds[kind].feed

    @property
    def has_followers(self) -> bool:
        """Whether other instances follow this one."""
        return bool(self._live_followers())

    def follower_count(self) -> int:
        """Returns the number of instances that follow this one."""
        return len(self._live_followers())

    def is_kept_current(self, kind: ObjectKind) -> bool:
        """Tells whether the watcher keeps this instance's state of a kind up to date."""
        return self.kept_current_for(kind) > 0.0

    def kept_current_for(self, kind: ObjectKind) -> float:
        """Returns the seconds for which the watcher can be relied on without a further reply.

        An instance with followers relies on nobody, because ages would add up along a chain.
        """
        shared, now = self._kinds[kind], monotonic()
        if (
            not self.following
            or shared.feed.as_of is None
            or shared.store_away
            or self.has_followers
        ):
            return 0.0
        silent = now - shared.last_reply
        return min(WATCHER_TIMEOUT - silent, shared.bound - OWN_CALL_TIME - self.age(kind))

    def age(self, kind: ObjectKind) -> float:
        """Returns the seconds since the state was last known to be that of the store."""
        shared = self._kinds[kind]
        return monotonic() - max(shared.watched_at, shared.confirmed_at)

    def confirmation(self, kind: ObjectKind) -> Confirmation:
        """Returns how up to date the state of a kind is known to be, and by whom."""
        shared = self._kinds[kind]
        confirmed_by = STORE if shared.watched_at > NEVER else ""
        if shared.confirmed_at > shared.watched_at:
            confirmed_by = shared.confirming_watcher
        return Confirmation(self.age(kind), confirmed_by, shared.feed.as_of)

    def watch_not_needed_for(self, kind: ObjectKind) -> float:
        """Returns the seconds for which this instance need not call the store itself."""
        shared = self._kinds[kind]
        if shared.feed.as_of is None or shared.watcher_lacks_changes or self.has_followers:
            return 0.0
        search_time = min(WATCHER_SEARCH_TIME, self._opts.contact - START_RESERVE)
        search_left = 0.0 if self._is_zone_small() else self._started + search_time - monotonic()
        return max(self.kept_current_for(kind), search_left)

    # Results of this instance's own calls to the store.

    def take_list(
        self, kind: ObjectKind, objects: Sequence[StoredObject], as_of: int, requested_at: float
    ) -> bool:
        """Applies a list that was requested at a time; returns whether it was recent enough."""
        shared = self._kinds[kind]
        published_up_to = shared.feed.retained_up_to()
        before = shared.feed.as_of
        changes = shared.feed.apply_list(objects, as_of)
        if changes is None:
            return False
        shared.watched_at = requested_at
        shared.watcher_lacks_changes = False
        self._report_next_era(kind, before, as_of)
        needed = self._apply_and_publish(kind, changes, published_up_to)
        _log_passed_over(kind, needed, before)
        return True

    def take_changes(
        self, kind: ObjectKind, changes: Sequence[Change], as_of: int, answered_at: float
    ) -> None:
        """Applies the changes that a watch call returned, and sends them to the followers.

        Args:
            kind: The kind that is watched.
            changes: Its changes since the state that this instance has.
            as_of: Revision of the store up to which these are all.
            answered_at: Earliest time at which the store may have given this answer.
        """
        shared = self._kinds[kind]
        shared.watched_at = max(shared.watched_at, answered_at)
        shared.watcher_lacks_changes = False
        since = shared.feed.as_of
        assert since is not None
        # Followers need nothing between the last change sent to them and the present state, so a
        # follower that has that change lacks none.
        published_up_to = shared.feed.retained_up_to()
        fresh = shared.feed.apply_changes(changes, since, as_of) or []
        self._apply_and_publish(kind, fresh, published_up_to)

    def _report_next_era(self, kind: ObjectKind, before: int | None, as_of: int) -> None:
        """Reports a state of the store's next era, before its changes are applied."""
        if before is not None and era_of(before) < era_of(as_of):
            log("state_of_next_era", kind=kind.value, as_of=as_of, before=before)
            self._on_next_era(kind)

    def _apply_and_publish(
        self, kind: ObjectKind, fresh: Sequence[Change], published_up_to: int
    ) -> list[Change]:
        """Applies new changes; returns those that followers need, and sends these to them."""
        needed = self._apply(self._kinds[kind], fresh)
        if needed:
            self._send_update(kind, published_up_to, needed, self._live_followers())
        return needed

    def _apply(self, shared: SharedKind, fresh: Sequence[Change]) -> list[Change]:
        """Applies new changes; returns and retains those that followers need."""
        needed = [change for change in fresh if shared.apply(change)]
        shared.feed.retain(needed)
        return needed

    def note_store_failure(self, kind: ObjectKind) -> None:
        """Notes that this instance's own call got no answer, and tells the followers."""
        shared = self._kinds[kind]
        if not shared.store_away and shared.feed.as_of is not None:
            shared.store_away = True
            self._send_update(kind, shared.feed.as_of, [], self._live_followers())
        shared.store_away = True

    def note_store_answer(self, kind: ObjectKind) -> None:
        """Notes that the store answered this instance's own call.

        The answer alone does not bring the state up to date: it may be that the history is gone.
        Followers therefore learn of it with the next update. An update sent before this instance
        has read what it missed would wrongly say that nothing had changed.
        """
        self._kinds[kind].store_away = False

    # The follower's side.

    async def follow(self) -> None:
        """Follows a watcher where there is one; runs until cancelled."""
        while True:
            self._request_update()
            await asyncio.sleep(FOLLOW_INTERVAL)

    def _request_update(self) -> None:
        """Sends the revisions that this instance has to its watcher."""
        now = monotonic()
        self._choose_watcher(now)
        if self.following:
            revisions = [
                (KINDS.index(kind), shared.feed.as_of)
                for kind, shared in self._kinds.items()
                if shared.feed.as_of is not None
            ]
            self._request_number += 1
            self._request_times = {
                n: at for n, at in self._request_times.items() if now - at < WATCHER_TIMEOUT
            }
            self._request_times[self._request_number] = now
            self._send(
                self.following, encode(FollowRequest(self._me, revisions, self._request_number))
            )

    def _choose_watcher(self, now: float) -> None:
        """Follows the first watcher that did not fail lately, unless that is this instance."""
        if self.following and now - self._last_reply() >= WATCHER_TIMEOUT:
            self._leave_watcher("silent")
        self._failed_watchers = {
            name: at
            for name, at in self._failed_watchers.items()
            if now - at < FAILED_WATCHER_PAUSE
        }
        usable = self._usable_watchers()
        if not usable and any(shared.store_away for shared in self._kinds.values()):
            # Nobody reaches the store. A watcher's reply is the cheapest sign of its return.
            usable = list(self._watchers())
        first = usable[0] if usable and usable[0] != self._me else ""
        if first == self.following:
            return
        self.following = first
        if not first:
            return
        # What the last watcher confirmed stays valid; the new one has time to reply first.
        for shared in self._kinds.values():
            shared.last_reply = now
        if first not in self._failed_watchers:
            log("following", peer=first)

    def _usable_watchers(self) -> list[str]:
        """Returns the watchers that did not fail lately."""
        return [name for name in self._watchers() if name not in self._failed_watchers]

    def _leave_watcher(self, reason: str) -> None:
        if self.following not in self._failed_watchers:
            log("keeper_left", "WARNING", peer=self.following, reason=reason)
        self._failed_watchers[self.following] = monotonic()
        self.following = ""

    def _last_reply(self) -> float:
        return max((shared.last_reply for shared in self._kinds.values()), default=NEVER)

    def receive_update(self, update: StoreUpdate) -> None:
        """Applies an update from the watcher."""
        shared = self._kinds.get(KINDS[update.kind]) if update.kind < len(KINDS) else None
        if shared is None or update.sender != self.following:
            return
        if update.store_away:
            self._leave_watcher("store_away")
            if self._usable_watchers():
                self._request_update()
            return
        if shared.feed.as_of is None or update.since > shared.feed.as_of:
            # The changes in between are missing; the next reply or this instance's own watch brings
            # them. Until then this instance is not up to date, however recent the update is.
            return
        now = monotonic()
        requested_at = self._request_times.get(update.in_reply_to)
        if requested_at is None and shared.store_away:
            # Only a reply to a request establishes that the store was away, and thus which entries
            # may have lapsed.
            return
        if requested_at is not None:
            shared.last_reply = now
            self._confirm(shared, requested_at, update.age_ms / 1000)
        changes = [
            Change(StoredObject(name, revision, spec), deleted)
            for name, revision, spec, deleted in update.changes
        ]
        before = shared.feed.as_of
        fresh = shared.feed.apply_changes(changes, update.since, update.as_of) or []
        self._report_next_era(KINDS[update.kind], before, update.as_of)
        self._apply(shared, fresh)

    def _confirm(self, shared: SharedKind, requested_at: float, age: float) -> None:
        """Notes the time as of which a watcher confirms the state, unless that is too long ago."""
        if age >= shared.bound:
            return
        shared.store_away = shared.watcher_lacks_changes = False
        if requested_at - age > shared.confirmed_at:
            shared.confirmed_at = requested_at - age
            shared.confirming_watcher = self.following
        self._contact.record_answer(shared.confirmed_at)

    def receive_unavailable(self, message: UpdateUnavailable) -> None:
        """Notes that the watcher lacks needed changes, so that this instance's own watch runs."""
        shared = self._kinds.get(KINDS[message.kind]) if message.kind < len(KINDS) else None
        if shared is not None and message.sender == self.following:
            shared.last_reply, shared.confirmed_at = monotonic(), NEVER
            shared.watcher_lacks_changes = True

    # The watcher's side.

    def answer_follower(self, request: FollowRequest) -> None:
        """Replies to a follower with the changes that it lacks."""
        self._followers[request.sender] = monotonic()
        for index, since in request.revisions:
            if index >= len(KINDS):
                continue
            kind = KINDS[index]
            shared = self._kinds.get(kind)
            changes = shared.feed.changes_after(since) if shared is not None else None
            if changes is None:
                self._send(request.sender, encode(UpdateUnavailable(self._me, index)))
            else:
                self._send_update(kind, since, changes, [request.sender], request.number)

    def _live_followers(self) -> list[str]:
        """Returns the instances whose last request is younger than `FOLLOWER_TIMEOUT`."""
        now = monotonic()
        self._followers = {
            name: at for name, at in self._followers.items() if now - at < FOLLOWER_TIMEOUT
        }
        return list(self._followers)

    def _send_update(
        self,
        kind: ObjectKind,
        since: int,
        changes: Sequence[Change],
        names: list[str],
        in_reply_to: int = 0,
    ) -> None:
        """Sends an update to followers, or tells them that it is too long for a message."""
        if not names:
            return
        shared, now = self._kinds[kind], monotonic()
        as_of = shared.feed.as_of
        assert as_of is not None
        index = KINDS.index(kind)
        # This instance may itself have followed a watcher until a moment ago.
        age = min(now - max(shared.watched_at, shared.confirmed_at), shared.bound)
        update = StoreUpdate(
            self._me,
            index,
            since,
            max(since, as_of),
            math.ceil(age * 1000),
            shared.store_away,
            [
                (change.stored.name, change.stored.revision, change.stored.spec, change.deleted)
                for change in changes
            ],
            in_reply_to,
        )
        frame = encode(update)
        if len(frame) > MAX_MESSAGE_BYTES:
            frame = encode(UpdateUnavailable(self._me, index))
        for name in names:
            self._send(name, frame)


def _log_passed_over(kind: ObjectKind, needed: Sequence[Change], before: int | None) -> None:
    """Logs that a state as of a revision lacked changes up to that revision."""
    if before is None:
        return
    found = [c for c in needed if not c.deleted and c.stored.revision <= before]
    if found:
        log(
            "change_passed_over",
            "WARNING",
            kind=kind.value,
            count=len(found),
            name=found[0].stored.name,
            revision=store_revision(found[0].stored.revision),
            as_of=store_revision(before),
        )
