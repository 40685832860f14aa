"""Who watches the store for whom: a few instances of each availability zone tell the others.

In a large zone some instances (the keepers, see `Members.keepers`) watch the store
and the rest follow one of them each: a follower says about each second what state it has, and is
answered with what it lacks; news are sent on at once. A watch by each of 68 instances cost 1.6
calls a second and instance.

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
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from wigeonarch_core.homes import ranked
from wigeonarch_core.store_contact import StoreContact
from wigeonarch_entry.clock import monotonic
from wigeonarch_entry.logs import log

from wigeonarch_gateway.feeding import Feed
from wigeonarch_gateway.links import MESSAGE_BOUND
from wigeonarch_gateway.messages import Follow, Told, Untold, encode
from wigeonarch_gateway.options import StoreOptions
from wigeonarch_gateway.ports import Change, Kinds, StoredObject

FOLLOW_EVERY: Final = 0.7  # Seconds between a follower's words to its keeper.
# Seconds without an answer after which a keeper is not relied on: two lost answers.
SILENT: Final = 1.6
# Seconds for a call to the store by a follower that does not rely on its keeper any more: it takes
# some milliseconds, and on links of 5 Mbit/s that are busy a tenth of a second.
OWN_CALL: Final = 0.4
WAY: Final = 0.15  # Seconds that the store's answer and the keeper's message take, at most.
WAIT_LEAST: Final = 0.2  # Seconds that a keeper's watch waits at least.
# Seconds for which a follower is told of news after its last word.
FOLLOWS: Final = 2.5
# Seconds for which an instance that fell back watches for itself before it follows again, so that
# a keeper that answers now and then is not gone back to each time.
ALONE: Final = 3.0
KINDS: Final = tuple(Kinds)


@dataclass(slots=True)
class Shared:
    """One kind, and how this instance is kept up to date of it.

    Attributes:
        feed: The state.
        apply: Called with each change that is news; returns whether followers need it, too.
        answered: Time at which the own watch last brought the state up to date.
        away: Whether the own watch is without an answer.
        told: Time of the last answer of the keeper.
        vouched: Time up to which the keeper vouches for the state.
        bound: Seconds within which a change must be in force here.
    """

    feed: Feed
    apply: Callable[[Change], bool]
    bound: float
    answered: float = float("-inf")
    away: bool = False
    told: float = float("-inf")
    vouched: float = float("-inf")


class Sharing:
    """What this instance tells its followers, and what its keeper tells it.

    Attributes:
        following: The keeper that it follows; empty when it watches for itself.
    """

    __slots__ = (
        "_alone_until",
        "_asked",
        "_asked_at",
        "_contact",
        "_followers",
        "_keepers",
        "_kinds",
        "_me",
        "_opts",
        "_send",
        "following",
    )

    def __init__(
        self,
        me: str,
        opts: StoreOptions,
        keepers: Callable[[], Sequence[str]],
        send: Callable[[str, bytes], bool],
        contact: StoreContact,
    ) -> None:
        """Makes the sharing of no kinds.

        Args:
            me: Name of this instance.
            opts: Times of the watches.
            keepers: Returns the keepers of the own zone.
            send: Sends an encoded message to an instance.
            contact: What is noted of the store's answers to the keeper.
        """
        self._me = me
        self._opts = opts
        self._keepers = keepers
        self._send = send
        self._contact = contact
        self._kinds: dict[Kinds, Shared] = {}
        self._followers: dict[str, float] = {}
        self.following = ""
        self._asked = 0
        self._asked_at: dict[int, float] = {}  # Times of the last words to the keeper.
        self._alone_until = float("-inf")

    def add(self, kind: Kinds, apply: Callable[[Change], bool]) -> None:
        """Makes the state of a kind, which its watch and its keeper both bring up to date."""
        self._kinds[kind] = Shared(Feed(), apply, self._bound(kind))

    def _bound(self, kind: Kinds) -> float:
        obeyed = self._opts.obeyed
        bounds = {
            Kinds.CONFIGURATION: obeyed.configuration,
            Kinds.ENDPOINTS: obeyed.endpoints,
            Kinds.VERSIONS: obeyed.versions,
        }
        return bounds[kind]

    def watch_times(self, kind: Kinds, pause: float, wait: float) -> tuple[float, float]:
        """Returns the seconds for which a watch pauses after news, and for which it waits.

        An instance that is followed keeps both so short that what it tells is young enough.
        """
        if not self.followed:
            return pause, wait
        most = self._kinds[kind].bound - OWN_CALL - FOLLOW_EVERY - WAY
        wait = min(wait, max(WAIT_LEAST, most - pause))
        return max(0.0, min(pause, most - wait)), wait

    def keeper(self) -> bool:
        """Tells whether this instance watches the store for others, or would."""
        return self._me in self._keepers()

    def kinds(self) -> list[Kinds]:
        """Returns the kinds that are shared."""
        return list(self._kinds)

    def feed(self, kind: Kinds) -> Feed:
        """Returns the state of a kind."""
        return self._kinds[kind].feed

    @property
    def followed(self) -> bool:
        """Tells whether others follow this instance."""
        return bool(self._live_followers())

    def told_lately(self, kind: Kinds) -> bool:
        """Tells whether the keeper keeps this instance up to date of a kind."""
        return self.told_for(kind) > 0.0

    def told_for(self, kind: Kinds) -> float:
        """Returns the seconds for which the keeper may be relied on without a further word."""
        shared, now = self._kinds[kind], monotonic()
        if not self.following or shared.feed.as_of is None:
            return 0.0
        silent, age = now - shared.told, now - shared.vouched
        return min(SILENT - silent, shared.bound - OWN_CALL - age)

    # What the own watch finds.

    def listed(
        self, kind: Kinds, objects: Sequence[StoredObject], as_of: int, asked: float
    ) -> bool:
        """Takes over a list that was asked for at a time; returns whether it counts."""
        shared = self._kinds[kind]
        if not shared.feed.listed(objects, as_of):
            return False
        shared.answered = asked
        return True

    def watched(self, kind: Kinds, changes: Sequence[Change], as_of: int) -> None:
        """Takes over what the own watch told, and tells the followers."""
        shared = self._kinds[kind]
        shared.answered = monotonic()
        since = shared.feed.as_of
        assert since is not None
        # Between the last change that was told and this state was nothing that followers need, so
        # one that has that change lacks none.
        told_up_to = shared.feed.kept_up_to()
        needed = self._apply(shared, changes, since, as_of)
        if needed:
            self._tell(kind, told_up_to, needed, self._live_followers())

    def _apply(
        self, shared: Shared, changes: Sequence[Change], since: int, as_of: int
    ) -> list[Change]:
        """Takes changes over; returns and keeps those that followers need."""
        fresh = shared.feed.take(changes, since, as_of) or []
        needed = [change for change in fresh if shared.apply(change)]
        shared.feed.keep(needed)
        return needed

    def store_lost(self, kind: Kinds) -> None:
        """Notes that the own watch got no answer, and tells the followers."""
        shared = self._kinds[kind]
        if not shared.away and shared.feed.as_of is not None:
            shared.away = True
            self._tell(kind, shared.feed.as_of, [], self._live_followers())
        shared.away = True

    def store_answered(self, kind: Kinds) -> None:
        """Notes an answer to the own watch.

        That alone does not bring the state up to date: the answer may be that history is gone. So
        followers hear of it with the next news or answer: what this instance missed is not read
        yet, and a word before that would seem to say that nothing had changed.
        """
        self._kinds[kind].away = False

    # The follower's side.

    async def keep(self) -> None:
        """Follows a keeper where there is one; runs until cancelled."""
        while True:
            self._ask()
            await asyncio.sleep(FOLLOW_EVERY)

    def _ask(self) -> None:
        """Tells the keeper what this instance has."""
        now = monotonic()
        self._choose(now)
        if self.following:
            states = [
                (KINDS.index(kind), shared.feed.as_of)
                for kind, shared in self._kinds.items()
                if shared.feed.as_of is not None
            ]
            self._asked += 1
            self._asked_at = {n: at for n, at in self._asked_at.items() if now - at < SILENT}
            self._asked_at[self._asked] = now
            self._send(self.following, encode(Follow(self._me, states, self._asked)))

    def _choose(self, now: float) -> None:
        """Follows a keeper, unless this instance is one or the last one fell silent just now."""
        if self.following and now - self._last_word() >= SILENT:
            self._leave_keeper("silent")
        keepers = self._keepers()
        if self.following in keepers and self._me not in keepers:
            return
        self.following = ""
        if not keepers or self._me in keepers or now < self._alone_until:
            return
        self.following = ranked(self._me, keepers)[0]
        for shared in self._kinds.values():
            shared.told, shared.vouched = now, float("-inf")
        log("following", peer=self.following)

    def _leave_keeper(self, reason: str) -> None:
        log("keeper_left", "WARNING", peer=self.following, reason=reason)
        self.following = ""
        self._alone_until = monotonic() + ALONE

    def _last_word(self) -> float:
        return max((shared.told for shared in self._kinds.values()), default=float("-inf"))

    def told(self, told: Told) -> None:
        """Takes over what the keeper tells."""
        shared = self._kinds.get(KINDS[told.kind]) if told.kind < len(KINDS) else None
        if shared is None or told.sender != self.following:
            return
        if told.away:
            self._leave_keeper("store_away")
            return
        if shared.feed.as_of is None or told.since > shared.feed.as_of:
            # What lies between is missing: it comes with the next answer, or from the own watch.
            # Until then this instance is not up to date, however young the message is.
            return
        now = monotonic()
        asked = self._asked_at.get(told.answers)
        if asked is not None:
            shared.told = now
            shared.vouched = max(shared.vouched, asked - told.age_ms / 1000)
            self._contact.answered(shared.vouched)
        changes = [
            Change(StoredObject(name, revision, spec), deleted)
            for name, revision, spec, deleted in told.changes
        ]
        self._apply(shared, changes, told.since, told.as_of)

    def untold(self, message: Untold) -> None:
        """Notes that the keeper lacks what this instance needs; the own watch finds it."""
        shared = self._kinds.get(KINDS[message.kind]) if message.kind < len(KINDS) else None
        if shared is not None and message.sender == self.following:
            shared.told, shared.vouched = monotonic(), float("-inf")

    # The keeper's side.

    def asked(self, follow: Follow) -> None:
        """Answers a follower with what it lacks."""
        self._followers[follow.sender] = monotonic()
        for place, since in follow.states:
            if place >= len(KINDS):
                continue
            kind = KINDS[place]
            shared = self._kinds.get(kind)
            changes = shared.feed.after(since) if shared is not None else None
            if changes is None:
                self._send(follow.sender, encode(Untold(self._me, place)))
            else:
                self._tell(kind, since, changes, [follow.sender], follow.number)

    def _live_followers(self) -> list[str]:
        now = monotonic()
        self._followers = {name: at for name, at in self._followers.items() if now - at < FOLLOWS}
        return list(self._followers)

    def _tell(
        self,
        kind: Kinds,
        since: int,
        changes: Sequence[Change],
        names: list[str],
        answers: int = 0,
    ) -> None:
        if not names:
            return
        shared, now = self._kinds[kind], monotonic()
        as_of = shared.feed.as_of
        assert as_of is not None
        place = KINDS.index(kind)
        # It may have followed a keeper itself until a moment ago.
        age = min(now - max(shared.answered, shared.vouched), shared.bound)
        told = Told(
            self._me,
            place,
            since,
            max(since, as_of),
            math.ceil(age * 1000),
            shared.away,
            [
                (change.found.name, change.found.revision, change.found.spec, change.deleted)
                for change in changes
            ],
            answers,
        )
        frame = encode(told)
        if len(frame) > MESSAGE_BOUND:
            frame = encode(Untold(self._me, place))
        for name in names:
            self._send(name, frame)
