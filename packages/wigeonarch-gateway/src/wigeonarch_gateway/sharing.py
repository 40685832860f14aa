"""Who watches the store for whom: one instance of each large availability zone tells the others.

In a large zone one instance watches the store (the first of `Duties.watchers`) and the rest
follow it: a follower says about each second what state it has, and is answered with what it lacks;
news are sent on at once. So what watching costs does not grow with the zone. The next ones stand
by. They need no agreement: whoever is followed watches, and a follower whose keeper fell silent or
lost the store turns to the next one at once.

It is safe because a follower sends to an endpoint only while something vouches, within a stated
age, that the endpoint had not begun to leave: its own watch, or its keeper's. The age counts from
the last answer of the store that brought the keeper up to date, over all messages in between: an
answer of the keeper counts as sent when its question was, as messages may be late. So a keeper
whose way to the store fell silent vouches for nothing however promptly it answers. The follower's
own call begins before the age reaches the time in which a change must be in force:

    keeper's pause + keeper's wait + FOLLOW_EVERY + WAY <= age relied on = bound - OWN_CALL

The left side is what a sound keeper reaches (`watch_times` fits its pause and wait), the right side
what is relied on (`Sharing.told_for`). Without a keeper an instance watches the store itself, from
the revision that it has. A lost message leaves a gap, which the next answer fills.

An instance that just started has read lists that may be some seconds old. It has the time until it
counts as up to date (`StoreOptions.contact`) to find its keeper, and rests meanwhile, so that many
that start at once don't all watch.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from wigeonarch_core.revisions import era_of
from wigeonarch_core.store_contact import StoreContact
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.feeding import ChangeFeed
from wigeonarch_gateway.messages import FollowRequest, StoreUpdate, UpdateUnavailable, encode
from wigeonarch_gateway.options import StoreOptions
from wigeonarch_gateway.peer_socket import MAX_MESSAGE_BYTES
from wigeonarch_gateway.ports import Change, ObjectKind, StoredObject

FOLLOW_INTERVAL: Final = 0.7  # Seconds between a follower's words to its keeper.
# Seconds without an answer after which a keeper is not relied on: two lost answers.
WATCHER_TIMEOUT: Final = 1.6
# Seconds for a call to the store by a follower that does not rely on its keeper any more: it takes
# some milliseconds, and on links of 5 Mbit/s that are busy a tenth of a second.
OWN_CALL_TIME: Final = 0.4
MAX_TRANSIT_TIME: Final = (
    0.15  # Seconds that the store's answer and the keeper's message take, at most.
)
MIN_WATCH_WAIT: Final = 0.2  # Seconds that a keeper's watch waits at least.
# Seconds for which a follower is told of news after its last word.
FOLLOWER_TIMEOUT: Final = 2.5
# Seconds for which a keeper that failed is not followed again, so that one that answers now and
# then is not gone back to each time.
FAILED_WATCHER_PAUSE: Final = 3.0
# Seconds after the start in which an instance may rest without a keeper. It must be up to date
# `StoreOptions.contact` and a bound after its start.
WATCHER_SEARCH_TIME: Final = 2.8
KINDS: Final = tuple(ObjectKind)
NEVER: Final = float("-inf")  # Before all times.


@dataclass(slots=True)
class SharedKind:
    """One kind, and how this instance is kept up to date of it.

    Attributes:
        feed: The state.
        apply: Called with each change that is news; returns whether followers need it, too.
        answered: Time at which the own watch last brought the state up to date.
        away: Whether the own watch is without an answer, and no keeper vouched since.
        told: Time of the last answer of the keeper.
        vouched: Time up to which the keeper vouches for the state.
        bound: Seconds within which a change must be in force here.
    """

    feed: ChangeFeed
    apply: Callable[[Change], bool]
    bound: float
    watched_at: float = NEVER
    store_away: bool = False
    last_reply: float = NEVER
    confirmed_at: float = NEVER


class WatchSharing:
    """What this instance tells its followers, and what its keeper tells it.

    Attributes:
        following: The keeper that it follows; empty when it watches for itself.
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
        """Makes the sharing of no kinds.

        Args:
            me: Name of this instance.
            opts: Times of the watches.
            keepers: Returns who may watch for the own zone, best first; none in a small zone.
            send: Sends an encoded message to an instance.
            contact: What is noted of the store's answers to the keeper.
            is_alone: Tells whether the own zone is known to need no keeper.
            on_next_era: Called before the changes by which a kind's state is of the store's next
                era, which began with a copy that is older than the state before.
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
        self._request_times: dict[int, float] = {}  # Times of the last words to the keeper.
        self._failed_watchers: dict[str, float] = {}  # Keepers that failed, and when.
        self._is_zone_small = is_zone_small
        self._on_next_era = on_next_era
        self._started = monotonic()

    def add_kind(self, kind: ObjectKind, apply: Callable[[Change], bool]) -> None:
        """Makes the state of a kind, which its watch and its keeper both bring up to date."""
        self._kinds[kind] = SharedKind(ChangeFeed(), apply, self._bound(kind))

    def _bound(self, kind: ObjectKind) -> float:
        obeyed = self._opts.propagation
        bounds = {
            ObjectKind.CONFIGURATION: obeyed.configuration,
            ObjectKind.ENDPOINTS: obeyed.endpoints,
            ObjectKind.VERSIONS: obeyed.versions,
        }
        return bounds[kind]

    def watch_times(self, kind: ObjectKind, pause: float, wait: float) -> tuple[float, float]:
        """Returns the seconds for which a watch pauses after news, and for which it waits.

        An instance that is followed keeps both so short that what it tells is young enough; the
        more so while it can vouch for nothing yet.
        """
        if not self.has_followers:
            return pause, wait
        shared = self._kinds[kind]
        most = shared.bound - OWN_CALL_TIME - FOLLOW_INTERVAL - MAX_TRANSIT_TIME
        wait = min(wait, max(MIN_WATCH_WAIT, most - pause))
        if shared.watched_at == NEVER:
            wait = min(wait, MIN_WATCH_WAIT)
        return max(0.0, min(pause, most - wait)), wait

    def is_watcher(self) -> bool:
        """Tells whether this instance watches the store for others, or has nobody to follow."""
        keepers = self._watchers()
        return not keepers or keepers[0] == self._me

    def kinds(self) -> list[ObjectKind]:
        """Returns the kinds that are shared."""
        return list(self._kinds)

    def feed(self, kind: ObjectKind) -> ChangeFeed:
        """Returns the state of a kind."""
        return self._kinds[kind].feed

    @property
    def has_followers(self) -> bool:
        """Tells whether others follow this instance."""
        return bool(self._live_followers())

    def follower_count(self) -> int:
        """Returns how many follow this instance."""
        return len(self._live_followers())

    def is_kept_current(self, kind: ObjectKind) -> bool:
        """Tells whether the keeper keeps this instance up to date of a kind."""
        return self.kept_current_for(kind) > 0.0

    def kept_current_for(self, kind: ObjectKind) -> float:
        """Returns the seconds for which the keeper may be relied on without a further word.

        An instance that is followed relies on nobody, as ages would add up along a chain.
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
        """Returns the seconds since the store last vouched for the state, by whatever way."""
        shared = self._kinds[kind]
        return monotonic() - max(shared.watched_at, shared.confirmed_at)

    def watch_not_needed_for(self, kind: ObjectKind) -> float:
        """Returns the seconds for which this instance need not ask the store itself."""
        if self._kinds[kind].feed.as_of is None or self.has_followers:
            return 0.0
        finding = (
            0.0 if self._is_zone_small() else self._started + WATCHER_SEARCH_TIME - monotonic()
        )
        return max(self.kept_current_for(kind), finding)

    # What the own watch finds.

    def take_list(
        self, kind: ObjectKind, objects: Sequence[StoredObject], as_of: int, requested_at: float
    ) -> bool:
        """Takes over a list that was asked for at a time; returns whether it counts."""
        shared = self._kinds[kind]
        told_up_to = shared.feed.retained_up_to()
        before = shared.feed.as_of
        changes = shared.feed.apply_list(objects, as_of)
        if changes is None:
            return False
        shared.watched_at = requested_at
        self._report_next_era(kind, before, as_of)
        self._apply_and_publish(kind, changes, told_up_to)
        return True

    def take_changes(self, kind: ObjectKind, changes: Sequence[Change], as_of: int) -> None:
        """Takes over what the own watch told, and tells the followers."""
        shared = self._kinds[kind]
        shared.watched_at = monotonic()
        since = shared.feed.as_of
        assert since is not None
        # Between the last change that was told and this state was nothing that followers need, so
        # one that has that change lacks none.
        told_up_to = shared.feed.retained_up_to()
        fresh = shared.feed.apply_changes(changes, since, as_of) or []
        self._apply_and_publish(kind, fresh, told_up_to)

    def _report_next_era(self, kind: ObjectKind, before: int | None, as_of: int) -> None:
        """Tells, before the changes do, that a state is of a store that came back older."""
        if before is not None and era_of(before) < era_of(as_of):
            log("state_of_next_era", kind=kind.value, as_of=as_of, before=before)
            self._on_next_era(kind)

    def _apply_and_publish(
        self, kind: ObjectKind, fresh: Sequence[Change], published_up_to: int
    ) -> None:
        """Takes over what is news, and tells the followers what of it they need."""
        needed = self._apply(self._kinds[kind], fresh)
        if needed:
            self._send_update(kind, published_up_to, needed, self._live_followers())

    def _apply(self, shared: SharedKind, fresh: Sequence[Change]) -> list[Change]:
        """Takes over what is news; returns and keeps what followers need of it."""
        needed = [change for change in fresh if shared.apply(change)]
        shared.feed.retain(needed)
        return needed

    def note_store_failure(self, kind: ObjectKind) -> None:
        """Notes that the own watch got no answer, and tells the followers."""
        shared = self._kinds[kind]
        if not shared.store_away and shared.feed.as_of is not None:
            shared.store_away = True
            self._send_update(kind, shared.feed.as_of, [], self._live_followers())
        shared.store_away = True

    def note_store_answer(self, kind: ObjectKind) -> None:
        """Notes an answer to the own watch.

        That alone does not bring the state up to date: the answer may be that history is gone. So
        followers hear of it with the next news or answer: what this instance missed is not read
        yet, and a word before that would seem to say that nothing had changed.
        """
        self._kinds[kind].store_away = False

    # The follower's side.

    async def follow(self) -> None:
        """Follows a keeper where there is one; runs until cancelled."""
        while True:
            self._request_update()
            await asyncio.sleep(FOLLOW_INTERVAL)

    def _request_update(self) -> None:
        """Tells the keeper what this instance has."""
        now = monotonic()
        self._choose_watcher(now)
        if self.following:
            states = [
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
                self.following, encode(FollowRequest(self._me, states, self._request_number))
            )

    def _choose_watcher(self, now: float) -> None:
        """Follows the first keeper that did not fail just now, unless this instance is that."""
        if self.following and now - self._last_reply() >= WATCHER_TIMEOUT:
            self._leave_watcher("silent")
        self._failed_watchers = {
            name: at
            for name, at in self._failed_watchers.items()
            if now - at < FAILED_WATCHER_PAUSE
        }
        usable = self._usable_watchers()
        if not usable and any(shared.store_away for shared in self._kinds.values()):
            # Nobody reaches the store: a keeper's answer will be the cheapest word of its return.
            usable = list(self._watchers())
        first = usable[0] if usable and usable[0] != self._me else ""
        if first == self.following:
            return
        self.following = first
        if not first:
            return
        # What the last keeper vouched for stays true; only the new one's word is waited for.
        for shared in self._kinds.values():
            shared.last_reply = now
        if first not in self._failed_watchers:
            log("following", peer=first)

    def _usable_watchers(self) -> list[str]:
        """Returns the keepers that did not fail lately."""
        return [name for name in self._watchers() if name not in self._failed_watchers]

    def _leave_watcher(self, reason: str) -> None:
        if self.following not in self._failed_watchers:
            log("keeper_left", "WARNING", peer=self.following, reason=reason)
        self._failed_watchers[self.following] = monotonic()
        self.following = ""

    def _last_reply(self) -> float:
        return max((shared.last_reply for shared in self._kinds.values()), default=NEVER)

    def receive_update(self, update: StoreUpdate) -> None:
        """Takes over what the keeper tells."""
        shared = self._kinds.get(KINDS[update.kind]) if update.kind < len(KINDS) else None
        if shared is None or update.sender != self.following:
            return
        if update.store_away:
            self._leave_watcher("store_away")
            if self._usable_watchers():
                self._request_update()
            return
        if shared.feed.as_of is None or update.since > shared.feed.as_of:
            # What lies between is missing: it comes with the next answer, or from the own watch.
            # Until then this instance is not up to date, however young the message is.
            return
        now = monotonic()
        asked = self._request_times.get(update.in_reply_to)
        if asked is None and shared.store_away:
            # Only with the answer it is known that the store was away, and what may have lapsed.
            return
        if asked is not None:
            shared.last_reply = now
            self._confirm(shared, asked, update.age_ms / 1000)
        changes = [
            Change(StoredObject(name, revision, spec), deleted)
            for name, revision, spec, deleted in update.changes
        ]
        before = shared.feed.as_of
        fresh = shared.feed.apply_changes(changes, update.since, update.as_of) or []
        self._report_next_era(KINDS[update.kind], before, update.as_of)
        self._apply(shared, fresh)

    def _confirm(self, shared: SharedKind, requested_at: float, age: float) -> None:
        """Notes the time up to which a keeper vouches; one that is the bound's age vouches not."""
        if age >= shared.bound:
            return
        shared.store_away = False
        shared.confirmed_at = max(shared.confirmed_at, requested_at - age)
        self._contact.record_answer(shared.confirmed_at)

    def receive_unavailable(self, message: UpdateUnavailable) -> None:
        """Notes that the keeper lacks what this instance needs; the own watch finds it."""
        shared = self._kinds.get(KINDS[message.kind]) if message.kind < len(KINDS) else None
        if shared is not None and message.sender == self.following:
            shared.last_reply, shared.confirmed_at = monotonic(), NEVER

    # The keeper's side.

    def answer_follower(self, request: FollowRequest) -> None:
        """Answers a follower with what it lacks."""
        self._followers[request.sender] = monotonic()
        for place, since in request.revisions:
            if place >= len(KINDS):
                continue
            kind = KINDS[place]
            shared = self._kinds.get(kind)
            changes = shared.feed.changes_after(since) if shared is not None else None
            if changes is None:
                self._send(request.sender, encode(UpdateUnavailable(self._me, place)))
            else:
                self._send_update(kind, since, changes, [request.sender], request.number)

    def _live_followers(self) -> list[str]:
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
        if not names:
            return
        shared, now = self._kinds[kind], monotonic()
        as_of = shared.feed.as_of
        assert as_of is not None
        place = KINDS.index(kind)
        # It may have followed a keeper itself until a moment ago.
        age = min(now - max(shared.watched_at, shared.confirmed_at), shared.bound)
        told = StoreUpdate(
            self._me,
            place,
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
        frame = encode(told)
        if len(frame) > MAX_MESSAGE_BYTES:
            frame = encode(UpdateUnavailable(self._me, place))
        for name in names:
            self._send(name, frame)
