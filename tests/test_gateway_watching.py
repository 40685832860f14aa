"""Tests what a watch does after failed calls, against stores with scripted answers."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from gateway_world import new_store_contact
from wigeonarch_gateway import instrumented_store as instrumented_store_module
from wigeonarch_gateway import sharing as sharing_module
from wigeonarch_gateway import watching as watching_module
from wigeonarch_gateway.instrumented_store import InstrumentedStore
from wigeonarch_gateway.metrics import Metrics
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


class ScriptedStore:
    """A store that gives the scripted answers in order, and then never answers."""

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


def stored(revision: int) -> StoredObject:
    return StoredObject("main", revision, revision)


def listing(as_of: int) -> Listing:
    return Listing((stored(as_of),), as_of)


ONE_CHANGE = Changes((Change(stored(12), False),), 12)
NO_CHANGES = Changes((), 12)


@pytest.mark.parametrize(
    ("answers", "calls", "seen"),
    [
        ([listing(10)], [("list", 0), ("watch", 10)], [10]),
        ([listing(10), ONE_CHANGE], [("list", 0), ("watch", 10), ("watch", 12)], [10, 12]),
        ([listing(10), NO_CHANGES], [("list", 0), ("watch", 10), ("watch", 12)], [10]),
        # A watch might wait in vain while history is dropped; a list shows the present state.
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
        # A list of a replica that lags behind is ignored, and is requested again.
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
async def test_calls_to_the_store_and_applied_revisions(
    answers: list[Any], calls: list[tuple[str, int]], seen: list[int]
) -> None:
    store, state, revisions = ScriptedStore(*answers), StoreReachability(), []
    sharing = WatchSharing(
        "me", OPTS, lambda: ["me"], lambda name, frame: True, new_store_contact()
    )

    def apply(change: Change) -> bool:
        revisions.append(change.stored.revision)
        return True

    def on_first_list(objects: tuple[StoredObject, ...]) -> None:
        revisions.extend(one.revision for one in objects)

    sharing.add_kind(KIND, apply)
    watched = WatchedKind(KIND, on_first_list, OPTS.watch_configuration)
    task = asyncio.create_task(
        keep_watching(store, state, OPTS, sharing, watched)  # type: ignore[arg-type]
    )
    async with asyncio.timeout(10.0):
        while store.answers or len(store.calls) < len(calls):  # noqa: ASYNC110 - polled.
            await asyncio.sleep(0)
    task.cancel()
    assert store.calls == calls
    assert revisions == seen
    assert set(store.waits) <= {OPTS.watch_configuration}


class SilentWatches:
    """A store whose watch calls never return, except one kind's first call, which fails on request.

    Guards against a late recovery. An instance lost the store for half a second, and with it the
    answers to all its watch calls. Each watch noticed this only when its own wait was over: that of
    the endpoints after 4.1 s, 0.6 s later than the instance should have been up to date.
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
        # A refusal is an answer, so the other watches continue.
        (Unavailable("status 503", no_effect=True), {KIND}),
    ],
)
async def test_a_call_without_an_answer_makes_all_kinds_be_listed_again(
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
        watching = keep_watching(store, state, OPTS, sharing, watched)  # type: ignore[arg-type]
        tasks.append(asyncio.create_task(watching))
    async with asyncio.timeout(10.0):
        while len(store.watching) < 3:  # noqa: ASYNC110 - polled.
            await asyncio.sleep(0)
        store.listed.clear()
        store.fail.set()
        while len(store.watching) < 3 + len(listed_again):  # noqa: ASYNC110 - polled.
            await asyncio.sleep(0)
    for task in tasks:
        task.cancel()
    assert set(store.listed) == listed_again


class UnavailableStore:
    """A store that refuses every call until it is back, and records which lists may be stale."""

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


async def test_only_one_kind_calls_the_store_in_an_outage() -> None:
    store, state = UnavailableStore(), StoreReachability()
    sharing = WatchSharing(
        "me", OPTS, lambda: ["me"], lambda name, frame: True, new_store_contact()
    )
    tasks = []
    kinds = {ObjectKind.CONFIGURATION, ObjectKind.ENDPOINTS, ObjectKind.VERSIONS}
    for kind in kinds:
        sharing.add_kind(kind, lambda change: True)
        watched = WatchedKind(kind, lambda objects: None, 100.0)
        watching = keep_watching(store, state, OPTS, sharing, watched)  # type: ignore[arg-type]
        tasks.append(asyncio.create_task(watching))
    async with asyncio.timeout(10.0):
        while len(store.calls) < 20:  # noqa: ASYNC110 - polled.
            await asyncio.sleep(0)
        assert len(set(store.calls[3:])) == 1
        assert state.is_away
        store.back = True
        while state.is_away:  # noqa: ASYNC110 - polled.
            await asyncio.sleep(0)
    for task in tasks:
        task.cancel()
    assert set(store.calls[-3:]) == kinds
    # Nothing was known before, so a stale list suffices: the watch brings the changes since.
    assert all(store.stale)


async def test_only_the_first_list_may_be_stale() -> None:
    store, state = UnavailableStore(), StoreReachability()
    store.back = True
    sharing = WatchSharing(
        "me", OPTS, lambda: ["me"], lambda name, frame: True, new_store_contact()
    )
    sharing.add_kind(KIND, lambda change: True)
    watching = keep_watching(
        store,  # type: ignore[arg-type]
        state,
        OPTS,
        sharing,
        WatchedKind(KIND, lambda objects: None, 100.0),
    )
    task = asyncio.create_task(watching)
    async with asyncio.timeout(10.0):
        while len(store.calls) < 2:  # noqa: ASYNC110 - polled.
            await asyncio.sleep(0)
        state.note_failure(ObjectKind.ENDPOINTS, Unavailable("silent"))
        while len(store.stale) < 2:  # noqa: ASYNC110 - polled.
            await asyncio.sleep(0)
    task.cancel()
    assert store.stale == [True, False]


class LateStore:
    """A store whose first watch call takes some time until its answer is handled.

    Attributes:
        now: Time, in seconds.
        answer: The answer of the first watch call; later ones never return.
        took: Seconds until it is handled.
    """

    def __init__(self, answer: Changes, took: float) -> None:
        self.now = 100.0
        self.era: int | None = None
        self.answer: Changes | None = answer
        self.took = took

    async def list(self, kind: ObjectKind, stale: bool = False) -> Any:
        return listing(10)

    async def watch(self, kind: ObjectKind, since: int, wait: float) -> Any:
        answer, self.answer = self.answer, None
        if answer is None:
            return await asyncio.get_running_loop().create_future()
        self.now += self.took
        return answer


@pytest.mark.parametrize(
    ("answer", "took", "age"),
    [
        (NO_CHANGES, OPTS.watch_configuration, 0.0),
        (NO_CHANGES, OPTS.watch_configuration + 0.9, 0.9),
        (NO_CHANGES, 0.5, 0.5),  # The store did not wait as long as it should have.
        (ONE_CHANGE, 0.5, 0.5),  # The change may be from the first moment of the wait.
    ],
)
async def test_time_that_an_answer_spent_on_its_way_counts_for_the_age(
    monkeypatch: pytest.MonkeyPatch, answer: Changes, took: float, age: float
) -> None:
    store, state = LateStore(answer, took), StoreReachability()
    for module in (sharing_module, watching_module):
        monkeypatch.setattr(module, "monotonic", lambda: store.now)
    sharing = WatchSharing(
        "me", OPTS, lambda: ["me"], lambda name, frame: True, new_store_contact()
    )
    sharing.add_kind(KIND, lambda change: True)
    watched = WatchedKind(KIND, lambda objects: None, OPTS.watch_configuration)
    task = asyncio.create_task(
        keep_watching(store, state, OPTS, sharing, watched)  # type: ignore[arg-type]
    )
    async with asyncio.timeout(10.0):
        while sharing.feed(KIND).as_of != answer.as_of:  # noqa: ASYNC110 - polled.
            await asyncio.sleep(0)
    task.cancel()
    assert sharing.age(KIND) == pytest.approx(age)


@pytest.mark.parametrize(
    ("answer", "took", "age"),
    [
        (NO_CHANGES, 1.0, 0.0),
        (NO_CHANGES, 3.0, 2.0),
        (ONE_CHANGE, 3.0, 3.0),
        (HistoryGone(), 3.0, 3.0),
    ],
)
async def test_an_answer_that_is_handled_late_is_no_recent_contact_with_the_store(
    monkeypatch: pytest.MonkeyPatch, answer: Any, took: float, age: float
) -> None:
    store, contact = LateStore(answer, took), new_store_contact()
    monkeypatch.setattr(instrumented_store_module, "monotonic", lambda: store.now)
    instrumented = InstrumentedStore(store, Metrics(), contact)  # type: ignore[arg-type]
    assert await instrumented.watch(KIND, 10, 1.0) == answer
    found = contact.contact()
    assert found is not None
    assert store.now - found.until == pytest.approx(age)


def test_the_watch_of_the_configuration_is_shorter_than_its_bound() -> None:
    assert OPTS.watch_configuration < 2.0


def test_the_pause_between_calls_is_bounded_in_an_outage_of_hours() -> None:
    sharing = WatchSharing(
        "me", OPTS, lambda: ["other"], lambda name, frame: True, new_store_contact()
    )
    opts = StoreOptions()
    assert watching_module._retry_pause(opts, sharing, 5000) == opts.retry_most


async def test_a_kind_whose_answers_can_not_be_used_keeps_no_other_from_being_read() -> None:
    state = StoreReachability()
    for kind in (ObjectKind.ENDPOINTS, ObjectKind.CONFIGURATION):
        state.note_failure(kind, Unavailable("timeout"))
    waiting = asyncio.create_task(state.wait_before_retry(ObjectKind.CONFIGURATION, OPTS.retry))
    await asyncio.sleep(0)
    state.note_failure(ObjectKind.ENDPOINTS, Unavailable("undecodable response", answered=True))
    async with asyncio.timeout(10.0):
        await waiting
    assert state.is_away
    state.note_answer(ObjectKind.CONFIGURATION)
    assert not state.is_away
