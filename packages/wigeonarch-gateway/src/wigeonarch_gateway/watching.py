"""Watches of the store: configuration, endpoints and adapter versions, each by a task of its own.

Where other instances of the zone watch the store for this one, the task rests (see `sharing`).
A watch waits briefly, so that a connection that went silent for good is noticed within the wait and
a margin; the call is then made anew on another connection. When the history that a watch needs is
gone, or a call was lost, the kind is listed. A configuration never goes back to an older version.

A call without any answer casts doubt on the watches beside it, which may wait in vain for as long
as they were to: those kinds are listed at once. So a way to the store that was silent for a moment
is noticed for all kinds by the shortest wait, `watch_configuration`, and a margin; with the list
that follows they take less than the time with a way to the store after which this instance must
act on what the store accepted (`StoreOptions.contact`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.options import StoreOptions
from wigeonarch_gateway.ports import (
    Changes,
    HistoryGone,
    Listing,
    ObjectKind,
    ObjectStore,
    StoredObject,
    Unavailable,
)
from wigeonarch_gateway.sharing import NEVER, WatchSharing

FOLLOWING_CHECK_INTERVAL: Final = 0.3  # Seconds between looks whether the keeper still tells.
WATCHER_SEARCH_INTERVAL: Final = (
    0.1  # The same whether there is a keeper, before there is a first word of one.
)


class WatchedKind(msgspec.Struct, frozen=True):
    """What a watch tells of.

    Attributes:
        kind: The kind that is watched.
        listed: Called with all objects of the first list; of later ones only what changed is told.
        wait: Seconds that one call waits at most.
        gather: Seconds to wait after news, so that several changes cost one call.
    """

    kind: ObjectKind
    on_first_list: Callable[[tuple[StoredObject, ...]], None]
    wait: float
    batch_pause: float = 0.0


class StoreReachability:
    """Whether the store answers this instance's watches."""

    __slots__ = ("_answered", "_call_lost", "_failing_kinds")

    def __init__(self) -> None:
        self._answered = asyncio.Event()
        self._call_lost = asyncio.Event()
        self._failing_kinds: dict[ObjectKind, None] = {}  # In the order in which they were lost.

    def note_answer(self, kind: ObjectKind) -> None:
        """Notes an answer."""
        if kind in self._failing_kinds:
            del self._failing_kinds[kind]
            log("store_back", kind=kind.value)
            self._answered.set()
            self._answered = asyncio.Event()

    async def wait_before_retry(self, kind: ObjectKind, pause: float) -> None:
        """Waits until a call that failed is to be made again.

        In an outage the kind that was lost first asks for all: the others wait for its answer.
        """
        if next(iter(self._failing_kinds), kind) is kind:
            await asyncio.sleep(pause)
        else:
            await self._answered.wait()

    def note_failure(self, kind: ObjectKind, result: Unavailable) -> None:
        """Notes a call that failed."""
        if kind not in self._failing_kinds:
            self._failing_kinds[kind] = None
            log("store_lost", "WARNING", kind=kind.value, reason=result.reason)
        if not result.no_effect:
            self._call_lost.set()
            self._call_lost = asyncio.Event()

    async def wait_for_lost_call(self) -> None:
        """Waits until a call got no answer; one that was refused got one."""
        await self._call_lost.wait()

    @property
    def is_away(self) -> bool:
        """Tells whether some kind is without an answer."""
        return bool(self._failing_kinds)


async def keep_watching(
    store: ObjectStore,
    state: StoreReachability,
    opts: StoreOptions,
    sharing: WatchSharing,
    watched: WatchedKind,
) -> None:
    """Keeps a kind up to date, by itself while no keeper does; runs until cancelled."""
    kind = watched.kind
    feed = sharing.feed(kind)
    gone = False
    failures = 0
    while True:
        rests = sharing.watch_not_needed_for(kind)
        if rests > 0.0:
            # What the keeper vouches for has no gap, whatever the own calls missed before.
            gone, failures = False, 0
            state.note_answer(kind)
            look = (
                FOLLOWING_CHECK_INTERVAL
                if sharing.is_kept_current(kind)
                else WATCHER_SEARCH_INTERVAL
            )
            await asyncio.sleep(min(look, rests))
            continue
        since = feed.as_of
        if since is None or gone:
            gone = not await _list(store, state, sharing, watched)
            if gone:
                await state.wait_before_retry(kind, _retry_pause(opts, sharing, failures))
            failures = failures + 1 if gone else 0
            continue
        pause, wait = sharing.watch_times(kind, watched.batch_pause, watched.wait)
        result = await _watch(store, state, kind, since, wait)
        if result is None:
            gone = True
            continue
        if isinstance(result, Unavailable):
            state.note_failure(kind, result)
            sharing.note_store_failure(kind)
            await state.wait_before_retry(kind, _retry_pause(opts, sharing, failures))
            failures += 1
            # A list tells what is so now; a watch may wait in vain where history is being dropped.
            gone = True
            continue
        failures = 0
        state.note_answer(kind)
        sharing.note_store_answer(kind)
        if isinstance(result, HistoryGone):
            log("store_history_gone", "WARNING", kind=kind.value, since=since)
            gone = True
            continue
        sharing.take_changes(kind, result.changes, result.as_of)
        if result.changes and pause:
            await asyncio.sleep(pause)


async def _watch(
    store: ObjectStore, state: StoreReachability, kind: ObjectKind, since: int, wait: float
) -> Changes | HistoryGone | Unavailable | None:
    """Returns what a watch told; None when another call got no answer meanwhile."""
    call = asyncio.ensure_future(store.watch(kind, since, wait))
    silenced = asyncio.ensure_future(state.wait_for_lost_call())
    try:
        await asyncio.wait((call, silenced), return_when=asyncio.FIRST_COMPLETED)
        return call.result() if call.done() else None
    finally:
        call.cancel()
        silenced.cancel()


def _retry_pause(opts: StoreOptions, sharing: WatchSharing, failures: int) -> float:
    """Returns the seconds until a call that failed is made again.

    Instances that mostly follow a keeper wait ever longer: they are many, each call has a price
    also in an outage, and their keeper will say when the store is back.
    """
    if sharing.is_watcher():
        return opts.retry
    return min(opts.retry * 2.0**failures, opts.retry_most)


async def _list(
    store: ObjectStore, state: StoreReachability, sharing: WatchSharing, watched: WatchedKind
) -> bool:
    """Reads a kind whole; returns whether that brought a state to go on from.

    The first list may be some seconds old: what changed since, the watch or the keeper tells, and
    until then nothing vouches for the state.
    """
    kind = watched.kind
    first = sharing.feed(kind).as_of is None
    asked = NEVER if first else monotonic()
    result = await store.list(kind, stale=first)
    if not isinstance(result, Listing):
        state.note_failure(kind, result)
        sharing.note_store_failure(kind)
        return False
    state.note_answer(kind)
    sharing.note_store_answer(kind)
    known = sharing.feed(kind).as_of
    if not sharing.take_list(kind, result.objects, result.as_of, asked):
        log("list_is_older", "WARNING", kind=kind.value, as_of=result.as_of, known=known)
        return False
    if first:
        watched.on_first_list(result.objects)
    return True
