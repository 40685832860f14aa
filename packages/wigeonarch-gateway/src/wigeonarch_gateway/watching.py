"""Watches of the store: configuration, endpoints and adapter versions, each by a task of its own.

A watch waits briefly, so that a connection that went silent for good is noticed within the wait and
a margin; the call is then made anew on another connection. When the history that a watch needs is
gone, or a call was lost, the kind is listed. A configuration never goes back to an older version.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from wigeonarch_entry.clock import monotonic
from wigeonarch_entry.logs import log

from wigeonarch_gateway.options import StoreOptions
from wigeonarch_gateway.ports import (
    Change,
    Changes,
    HistoryGone,
    Kinds,
    Listing,
    ObjectStore,
    StoredObject,
    Unavailable,
)


@dataclass(frozen=True, slots=True)
class Follower:
    """What a watch tells of.

    Attributes:
        kind: The kind that is watched.
        listed: Called with all objects.
        changed: Called with each change.
        returned: Called when the store answers after an outage, before anything else.
        gather: Seconds to wait after news, so that several changes cost one call.
    """

    kind: Kinds
    listed: Callable[[tuple[StoredObject, ...]], None]
    changed: Callable[[Change], None]
    returned: Callable[[], None]
    gather: float = 0.0


class StoreState:
    """Whether the store answers this instance.

    Attributes:
        answered: Time of the last answer, in seconds; None before the first.
    """

    __slots__ = ("_away", "answered")

    def __init__(self) -> None:
        self.answered: float | None = None
        self._away: set[Kinds] = set()

    def reachable(self, kind: Kinds) -> bool:
        """Notes an answer; returns whether the kind was without one before."""
        self.answered = monotonic()
        if kind not in self._away:
            return False
        self._away.discard(kind)
        log("store_back", kind=kind.value)
        return True

    def unreachable(self, kind: Kinds, reason: str) -> None:
        """Notes a call without an answer."""
        if kind not in self._away:
            self._away.add(kind)
            log("store_lost", "WARNING", kind=kind.value, reason=reason)

    @property
    def away(self) -> bool:
        """Tells whether some kind is without an answer."""
        return bool(self._away)


async def follow(
    store: ObjectStore, state: StoreState, opts: StoreOptions, follower: Follower
) -> None:
    """Keeps a follower up to date; runs until cancelled."""
    since: int | None = None
    while True:
        if since is None:
            since = await _list(store, state, opts, follower)
            continue
        result = await store.watch(follower.kind, since, opts.watch)
        if isinstance(result, Unavailable):
            state.unreachable(follower.kind, result.reason)
            await asyncio.sleep(opts.retry)
            continue
        if state.reachable(follower.kind):
            follower.returned()
        if isinstance(result, HistoryGone):
            log("store_history_gone", "WARNING", kind=follower.kind.value, since=since)
            since = None
            continue
        since = _apply(follower, result, since)
        if result.changes and follower.gather:
            await asyncio.sleep(follower.gather)


def _apply(follower: Follower, result: Changes, since: int) -> int:
    for change in result.changes:
        follower.changed(change)
    return max(since, result.as_of)


async def _list(
    store: ObjectStore, state: StoreState, opts: StoreOptions, follower: Follower
) -> int | None:
    result = await store.list(follower.kind)
    if isinstance(result, Listing):
        if state.reachable(follower.kind):
            follower.returned()
        follower.listed(result.objects)
        return result.as_of
    state.unreachable(follower.kind, result.reason)
    await asyncio.sleep(opts.retry)
    return None
