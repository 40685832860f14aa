"""What a watch does after calls that failed, against a store that answers by a script."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from gateway_world import new_store_contact
from wigeonarch_gateway.options import StoreOptions
from wigeonarch_gateway.ports import (
    Change,
    Changes,
    HistoryGone,
    Listing,
    ObjectKind,
    StoredObject,
    Unavailable,
)
from wigeonarch_gateway.sharing import WatchSharing
from wigeonarch_gateway.watching import StoreReachability, WatchedKind, keep_watching

OPTS = StoreOptions(retry=0.0)
KIND = ObjectKind.CONFIGURATION


class Script:
    """Answers calls in turn, then waits for ever."""

    def __init__(self, *answers: Any) -> None:
        self.answers = list(answers)
        self.calls: list[tuple[str, int]] = []
        self.waits: list[float] = []

    async def list(self, kind: ObjectKind, stale: bool = False) -> Any:
        return await self._next("list", 0)

    async def watch(self, kind: ObjectKind, since: int, wait: float) -> Any:
        self.waits.append(wait)
        return await self._next("watch", since)

    async def _next(self, call: str, since: int) -> Any:
        self.calls.append((call, since))
        if not self.answers:
            await asyncio.get_running_loop().create_future()
        return self.answers.pop(0)


def found(revision: int) -> StoredObject:
    return StoredObject("main", revision, revision)


def listing(as_of: int) -> Listing:
    return Listing((found(as_of),), as_of)


NEWS = Changes((Change(found(12), False),), 12)
NOTHING = Changes((), 12)


@pytest.mark.parametrize(
    ("answers", "calls", "seen"),
    [
        ([listing(10)], [("list", 0), ("watch", 10)], [10]),
        ([listing(10), NEWS], [("list", 0), ("watch", 10), ("watch", 12)], [10, 12]),
        ([listing(10), NOTHING], [("list", 0), ("watch", 10), ("watch", 12)], [10]),
        # A watch may wait in vain where history is being dropped: a list tells what is so.
        (
            [listing(10), Unavailable("silent"), listing(15)],
            [("list", 0), ("watch", 10), ("list", 0), ("watch", 15)],
            [10, 15],
        ),
        (
            [listing(10), HistoryGone(), Unavailable("busy"), listing(15)],
            [("list", 0), ("watch", 10), ("list", 0), ("list", 0), ("watch", 15)],
            [10, 15],
        ),
        # An answer of a copy that lags does not count, and is asked for again.
        (
            [listing(10), HistoryGone(), listing(9), listing(11)],
            [("list", 0), ("watch", 10), ("list", 0), ("list", 0), ("watch", 11)],
            [10, 11],
        ),
        (
            [Unavailable("busy"), Unavailable("busy"), listing(10)],
            [("list", 0), ("list", 0), ("list", 0), ("watch", 10)],
            [10],
        ),
    ],
)
async def test_calls_and_what_is_seen(
    answers: list[Any], calls: list[tuple[str, int]], seen: list[int]
) -> None:
    store, state, told = Script(*answers), StoreReachability(), []
    sharing = WatchSharing(
        "me", OPTS, lambda: ["me"], lambda name, frame: True, new_store_contact()
    )

    def changed(change: Change) -> bool:
        told.append(change.stored.revision)
        return True

    def listed(objects: tuple[StoredObject, ...]) -> None:
        told.extend(one.revision for one in objects)

    sharing.add_kind(KIND, changed)
    watched = WatchedKind(KIND, listed, OPTS.watch_configuration)
    task = asyncio.create_task(
        keep_watching(store, state, OPTS, sharing, watched)  # type: ignore[arg-type]
    )
    async with asyncio.timeout(10.0):
        while store.answers or len(store.calls) < len(calls):  # noqa: ASYNC110 - outside.
            await asyncio.sleep(0)
    task.cancel()
    assert store.calls == calls
    assert told == seen
    assert set(store.waits) <= {OPTS.watch_configuration}


class SilentWatches:
    """A store whose watches wait for ever but for one kind's first, which fails at a word.

    An instance was without the store for half a second, in which the answers to its watches were
    lost. Each learned of it only when its own wait was over, at 4.1 s for endpoints, after which
    the instance should have been up to date for 0.6 s.
    """

    def __init__(self, failure: Unavailable) -> None:
        self.failure = failure
        self.fail = asyncio.Event()
        self.watching: list[ObjectKind] = []
        self.listed: list[ObjectKind] = []

    async def list(self, kind: ObjectKind, stale: bool = False) -> Any:
        self.listed.append(kind)
        return listing(10 + len(self.listed))

    async def watch(self, kind: ObjectKind, since: int, wait: float) -> Any:
        self.watching.append(kind)
        if kind is KIND and not self.fail.is_set():
            await self.fail.wait()
            return self.failure
        return await asyncio.get_running_loop().create_future()


@pytest.mark.parametrize(
    ("failure", "listed_again"),
    [
        (Unavailable("TimeoutError"), {KIND, ObjectKind.ENDPOINTS, ObjectKind.VERSIONS}),
        # A refusal is an answer: the other watches may go on.
        (Unavailable("status 503", no_effect=True), {KIND}),
    ],
)
async def test_a_call_without_an_answer_casts_doubt_on_the_watches_beside_it(
    failure: Unavailable, listed_again: set[ObjectKind]
) -> None:
    store, state = SilentWatches(failure), StoreReachability()
    sharing = WatchSharing(
        "me", OPTS, lambda: ["me"], lambda name, frame: True, new_store_contact()
    )
    tasks = []
    for kind in ObjectKind.CONFIGURATION, ObjectKind.ENDPOINTS, ObjectKind.VERSIONS:
        sharing.add_kind(kind, lambda change: True)
        watched = WatchedKind(kind, lambda objects: None, 100.0)
        duty = keep_watching(store, state, OPTS, sharing, watched)  # type: ignore[arg-type]
        tasks.append(asyncio.create_task(duty))
    async with asyncio.timeout(10.0):
        while len(store.watching) < 3:  # noqa: ASYNC110 - outside.
            await asyncio.sleep(0)
        store.listed.clear()
        store.fail.set()
        while len(store.watching) < 3 + len(listed_again):  # noqa: ASYNC110 - outside.
            await asyncio.sleep(0)
    for task in tasks:
        task.cancel()
    assert set(store.listed) == listed_again


class Away:
    """A store that refuses every call until it is back; its first lists are those of a copy."""

    def __init__(self) -> None:
        self.back = False
        self.stale: list[bool] = []
        self.calls: list[ObjectKind] = []

    async def list(self, kind: ObjectKind, stale: bool = False) -> Any:
        self.calls.append(kind)
        self.stale.append(stale)
        await asyncio.sleep(0)
        return listing(10) if self.back else Unavailable("status 503", no_effect=True)

    async def watch(self, kind: ObjectKind, since: int, wait: float) -> Any:
        self.calls.append(kind)
        if not self.back:
            return Unavailable("status 503", no_effect=True)
        return await asyncio.get_running_loop().create_future()


async def test_in_an_outage_one_kind_asks_for_all() -> None:
    store, state = Away(), StoreReachability()
    sharing = WatchSharing(
        "me", OPTS, lambda: ["me"], lambda name, frame: True, new_store_contact()
    )
    tasks = []
    kinds = {ObjectKind.CONFIGURATION, ObjectKind.ENDPOINTS, ObjectKind.VERSIONS}
    for kind in kinds:
        sharing.add_kind(kind, lambda change: True)
        watched = WatchedKind(kind, lambda objects: None, 100.0)
        duty = keep_watching(store, state, OPTS, sharing, watched)  # type: ignore[arg-type]
        tasks.append(asyncio.create_task(duty))
    async with asyncio.timeout(10.0):
        while len(store.calls) < 20:  # noqa: ASYNC110 - outside.
            await asyncio.sleep(0)
        assert len(set(store.calls[3:])) == 1
        assert state.is_away
        store.back = True
        while state.is_away:  # noqa: ASYNC110 - outside.
            await asyncio.sleep(0)
    for task in tasks:
        task.cancel()
    assert set(store.calls[-3:]) == kinds
    # Nothing was known before, so a copy's answer will do: the watch tells what it lacks.
    assert all(store.stale)


async def test_only_the_first_list_may_be_of_a_copy_that_lags() -> None:
    store, state = Away(), StoreReachability()
    store.back = True
    sharing = WatchSharing(
        "me", OPTS, lambda: ["me"], lambda name, frame: True, new_store_contact()
    )
    sharing.add_kind(KIND, lambda change: True)
    duty = keep_watching(
        store,  # type: ignore[arg-type]
        state,
        OPTS,
        sharing,
        WatchedKind(KIND, lambda objects: None, 100.0),
    )
    task = asyncio.create_task(duty)
    async with asyncio.timeout(10.0):
        while len(store.calls) < 2:  # noqa: ASYNC110 - outside.
            await asyncio.sleep(0)
        state.note_failure(ObjectKind.ENDPOINTS, Unavailable("silent"))
        while len(store.stale) < 2:  # noqa: ASYNC110 - outside.
            await asyncio.sleep(0)
    task.cancel()
    assert store.stale == [True, False]


def test_a_configuration_is_asked_for_within_the_time_in_which_it_must_be_in_force() -> None:
    assert OPTS.watch_configuration < 2.0
