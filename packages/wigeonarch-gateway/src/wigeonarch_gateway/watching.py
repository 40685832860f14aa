"""Watches the configuration, endpoints and adapter versions in the store, one task for each kind.

The task does nothing while another instance of the zone watches the store for this one (see
`sharing`). A watch call waits only briefly, so that a connection that stays silent is noticed
within the wait and a margin; the call is then repeated on another connection. If the history that a
watch needs is gone, or a call was lost, the kind is listed. A configuration never goes back to an
older version.

A call without an answer makes the concurrent watch calls suspect, which may be lost, too, and wait
in vain until they time out: their kinds are listed at once. A short interruption of the way to the
store is therefore noticed for all kinds within the shortest wait, `watch_configuration`, and a
margin. Together with the list that follows this takes less than `StoreOptions.contact`, the time in
contact with the store after which this instance must act on what the store accepted.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from wigeonarch_core.retry import doubled
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.answer_time import earliest_answer_time
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

FOLLOWING_CHECK_INTERVAL: Final = 0.3  # Seconds between checks whether the watcher still replies.
# Seconds between checks whether there is a watcher, before the first reply of one.
WATCHER_SEARCH_INTERVAL: Final = 0.1
# Seconds from the end of a watch call's wait after which its answer counts as late.
LATE_ANSWER: Final = 0.3


class WatchedKind(msgspec.Struct, frozen=True):
    """A kind to watch, and how.

    Attributes:
        kind: The kind that is watched.
        on_first_list: Called with all objects of the first list; later lists are reported as
            changes.
        wait: Seconds that one watch call waits at most.
        batch_pause: Seconds to pause after changes, so that several changes cost one call.
    """

    kind: ObjectKind
    on_first_list: Callable[[tuple[StoredObject, ...]], None]
    wait: float
    batch_pause: float = 0.0


class StoreReachability:
    """Tracks whether the store answers this instance's calls."""

    __slots__ = ("_answered", "_call_lost", "_failing_kinds")

    def __init__(self) -> None:
        self._answered = asyncio.Event()
        self._call_lost = asyncio.Event()
        self._failing_kinds: dict[ObjectKind, None] = (
            {}
        )  # In the order in which they began to fail.

    def note_answer(self, kind: ObjectKind) -> None:
        """Notes an answer of the store for a kind."""
        if kind in self._failing_kinds:
            del self._failing_kinds[kind]
            log("store_back", kind=kind.value)
            self._answered.set()
            self._answered = asyncio.Event()

    async def wait_before_retry(self, kind: ObjectKind, pause: float) -> None:
        """Waits until a call that failed should be repeated.

        In an outage only the kind that failed first calls the store; the others wait for its
        answer. A kind whose answers can't be used shows no outage, and no other waits for it.
        """
        if next(iter(self._failing_kinds), kind) is kind:
            await asyncio.sleep(pause)
        else:
            await self._answered.wait()

    def note_failure(self, kind: ObjectKind, result: Unavailable) -> None:
        """Notes a failed call for a kind."""
        if result.answered:
            self.note_answer(kind)
            log("store_answer_unusable", "WARNING", kind=kind.value, reason=result.reason)
            return
        if kind not in self._failing_kinds:
            self._failing_kinds[kind] = None
            log("store_lost", "WARNING", kind=kind.value, reason=result.reason)
        if not result.no_effect:
            self._call_lost.set()
            self._call_lost = asyncio.Event()

    async def wait_for_lost_call(self) -> None:
        """Waits until a call gets no answer; a call that is refused gets one."""
        await self._call_lost.wait()

    @property
    def is_away(self) -> bool:
        """Whether the store does not answer calls for some kind."""
        return bool(self._failing_kinds)


async def keep_watching(
    store: ObjectStore,
    state: StoreReachability,
    opts: StoreOptions,
    sharing: WatchSharing,
    watched: WatchedKind,
) -> None:
    """Keeps a kind up to date while no watcher does it for this instance; runs until cancelled."""
    kind = watched.kind
    feed = sharing.feed(kind)
    needs_list = False
    failures = 0
    while True:
        idle_for = sharing.watch_not_needed_for(kind)
        if idle_for > 0.0:
            # The state that the watcher confirms has no gap, even if own calls missed changes.
            needs_list, failures = False, 0
            state.note_answer(kind)
            interval = (
                FOLLOWING_CHECK_INTERVAL
                if sharing.is_kept_current(kind)
                else WATCHER_SEARCH_INTERVAL
            )
            await asyncio.sleep(min(interval, idle_for))
            continue
        since = feed.as_of
        if since is None or needs_list:
            needs_list = not await _list(store, state, sharing, watched)
            if needs_list:
                await state.wait_before_retry(kind, _retry_pause(opts, sharing, failures))
            failures = failures + 1 if needs_list else 0
            continue
        wait = sharing.wait_of_watch(kind, watched.wait)
        called_at = monotonic()
        result = await _watch(store, state, kind, since, wait)
        if result is None:
            needs_list = True
            continue
        if isinstance(result, Unavailable):
            state.note_failure(kind, result)
            sharing.note_store_failure(kind)
            await state.wait_before_retry(kind, _retry_pause(opts, sharing, failures))
            failures += 1
            # A list shows the present state; a watch might wait in vain while history is dropped.
            needs_list = True
            continue
        failures = 0
        state.note_answer(kind)
        sharing.note_store_answer(kind)
        if isinstance(result, HistoryGone):
            log("store_history_gone", "WARNING", kind=kind.value, since=since)
            needs_list = True
            continue
        handled_at = monotonic()
        _log_late_answer(kind, result, handled_at - called_at - wait)
        answered_at = earliest_answer_time(called_at, handled_at, wait, bool(result.changes))
        sharing.take_changes(kind, result.changes, result.as_of, answered_at)
        pause = sharing.pause_after_changes(kind, watched.batch_pause)
        if result.changes and pause:
            await asyncio.sleep(pause)


async def _watch(
    store: ObjectStore, state: StoreReachability, kind: ObjectKind, since: int, wait: float
) -> Changes | HistoryGone | Unavailable | None:
    """Returns the result of a watch call; None if another call got no answer meanwhile."""
    call = asyncio.ensure_future(store.watch(kind, since, wait))
    silenced = asyncio.ensure_future(state.wait_for_lost_call())
    try:
        await asyncio.wait((call, silenced), return_when=asyncio.FIRST_COMPLETED)
        return call.result() if call.done() else None
    finally:
        call.cancel()
        silenced.cancel()


def _log_late_answer(kind: ObjectKind, result: Changes, late: float) -> None:
    """Logs an answer that was handled long after the store gave it, which ends a full wait."""
    if not result.changes and late >= LATE_ANSWER:
        log("store_answer_late", "WARNING", kind=kind.value, late=late, as_of=result.as_of)


def _retry_pause(opts: StoreOptions, sharing: WatchSharing, failures: int) -> float:
    """Returns the seconds until a failed call is repeated.

    Instances that normally follow a watcher wait longer after each failure: they are many, each
    call has a price even in an outage, and their watcher will tell them when the store is back.
    """
    if sharing.is_watcher():
        return opts.retry
    return doubled(opts.retry, failures, opts.retry_most)


async def _list(
    store: ObjectStore, state: StoreReachability, sharing: WatchSharing, watched: WatchedKind
) -> bool:
    """Lists all objects of a kind; returns whether watching can continue from the list.

    The first list may be some seconds old. The watch or the watcher brings the changes since; until
    then the state is not confirmed.
    """
    kind = watched.kind
    first = sharing.feed(kind).as_of is None
    requested_at = NEVER if first else monotonic()
    result = await store.list(kind, stale=first)
    if not isinstance(result, Listing):
        state.note_failure(kind, result)
        sharing.note_store_failure(kind)
        return False
    state.note_answer(kind)
    sharing.note_store_answer(kind)
    known = sharing.feed(kind).as_of
    if not sharing.take_list(kind, result.objects, result.as_of, requested_at):
        log("list_is_older", "WARNING", kind=kind.value, as_of=result.as_of, known=known)
        return False
    if first:
        watched.on_first_list(result.objects)
    return True
