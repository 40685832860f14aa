"""Reads the log of changes: whole at the start and after each doubt, then by watch.

A watch alone can go silent, miss elements or outlive a pause of this process. So the log is listed
again whenever there is a reason: a broken watch, a gap, a lease that began anew, or a peer that has
more in force. Whether the log goes on from what is in force here is judged by the core.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

import msgspec
from wigeonarch_core.changelog import Change
from wigeonarch_core.records import CHANGES, change_name
from wigeonarch_core.replica import Mark, Replica, Tail, judge_tail, mark_of
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.platform import Page, Platform, Unavailable
from wigeonarch_entry.snapshots import SnapshotReader

PAGE: Final = 500
RETRY_LEAST: Final = 0.5
RETRY_MOST: Final = 5.0
POLL: Final = 0.1
# Many instances learn of the same change at once; each asks the platform a little later.
SPREAD: Final = 0.2
RESTARTS: Final = 3


class ChangeFeed:
    """The way of changes from the platform to the copy of this instance."""

    __slots__ = ("_due", "_metrics", "_platform", "_reading", "_replica", "_silence", "_snapshots")

    def __init__(
        self,
        platform: Platform,
        replica: Replica,
        silence: float,
        due: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        """Makes the feed; `due` tells whether the log is to be read again."""
        self._platform = platform
        self._replica = replica
        self._silence = silence
        self._due = due
        self._metrics = metrics
        self._reading = asyncio.Lock()
        self._snapshots = SnapshotReader(platform)

    async def run(self) -> None:
        """Follows the log until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follow())
            tasks.create_task(self._keep_up())

    def take(self, number: int, change: Change) -> None:
        """Takes one element of the log."""
        for result in self._replica.take(number, change):
            log("change_applied", number=result.number, verdict=result.verdict)
        self._metrics.applied.set(self._replica.catalogue.applied)

    async def catch_up(self) -> int | None:
        """Reads the log to its end.

        Returns:
            The revision that a watch is to start from; None when the platform gave no answer.
        """
        async with self._reading:
            began = monotonic()
            revision = await self._read()
            self._replica.read(began, revision is not None)
            return revision

    async def _read(self) -> int | None:
        for _ in range(RESTARTS):
            mark = mark_of(self._replica.catalogue)
            page = await self._page(change_name(max(mark.applied - 1, 0)))
            if isinstance(page, Unavailable):
                return None
            tail = await self._judge(mark, page)
            if tail is None:
                return None
            if self._replica.judged(tail):
                event = "log_went_back" if tail is Tail.WENT_BACK else "log_is_back"
                log(event, "ERROR", applied=mark.applied, operation=mark.last)
            if tail is not Tail.TRIMMED:
                return await self._take_pages(page)
        return None

    async def _judge(self, mark: Mark, page: Page) -> Tail | None:
        """Compares the log with the copy; a snapshot is loaded when the log begins later."""
        first = next(iter(_elements(page)), None)
        if mark.applied and judge_tail(mark, first, 0) is Tail.SAME:
            return Tail.SAME
        number = await self._snapshots.newest()
        if number is None:
            return None
        tail = judge_tail(mark, first, number)
        if tail is Tail.TRIMMED and not await self._load_snapshot():
            return None
        return tail

    async def _load_snapshot(self) -> bool:
        snapshot = await self._snapshots.read()
        if snapshot is None:
            return False
        if self._replica.restore(snapshot):
            log("snapshot_restored", number=snapshot.applied, entries=len(snapshot.entries))
            self._metrics.applied.set(snapshot.applied)
        return True

    async def _take_pages(self, page: Page) -> int | None:
        revision = page.revision
        while True:
            for number, change in _elements(page):
                self.take(number, change)
            if not page.more:
                return revision
            following = await self._page(page.items[-1].name)
            if isinstance(following, Unavailable):
                return None
            page = following

    async def _page(self, after: str) -> Page | Unavailable:
        return await self._platform.list(CHANGES, after, PAGE)

    async def _follow(self) -> None:
        pause = RETRY_LEAST
        while True:
            revision = await self.catch_up()
            if revision is not None:
                pause = RETRY_LEAST
                await self._watch(revision)
            # Full jitter keeps many instances from coming back at the same moment.
            await asyncio.sleep(random.uniform(0, pause))
            pause = min(pause * 2, RETRY_MOST)

    async def _watch(self, revision: int) -> None:
        async for event in self._platform.watch(CHANGES, revision, self._silence):
            if isinstance(event, Unavailable):
                log("watch_broken", "WARNING", kind=CHANGES, detail=event.detail)
                return
            if event.value is not None:
                self.take(int(event.name), _change(event.value))

    async def _keep_up(self) -> None:
        """Reads the log again whenever there is a reason, with growing pauses while it fails."""
        pause = RETRY_LEAST
        while True:
            await asyncio.sleep(POLL)
            if not self._due():
                pause = RETRY_LEAST
                continue
            await asyncio.sleep(random.uniform(0, SPREAD))
            if self._due():
                self._metrics.log_readings.inc()
                await self.catch_up()
                await asyncio.sleep(random.uniform(0, pause))
                pause = min(pause * 2, RETRY_MOST)


def _elements(page: Page) -> list[tuple[int, Change]]:
    return [(int(item.name), _change(item.value)) for item in page.items]


def _change(value: Any) -> Change:
    return msgspec.convert(value, Change)
