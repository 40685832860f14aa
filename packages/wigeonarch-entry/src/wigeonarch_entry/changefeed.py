"""Follows the change log of the platform: reads all of it at the start, then watches it.

A watch alone is not reliable: it can go silent, miss changes or outlive a pause of this process. So
the log is read again whenever the local copy may be incomplete: after a broken watch, on a gap in
the numbers of the changes, after a new lease period has begun, or when a peer has applied more
changes. `wigeonarch_core.replica` decides whether the log continues what has been applied here.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

import msgspec
from wigeonarch_core.changelog import Change
from wigeonarch_core.records import CHANGES, change_name
from wigeonarch_core.replica import LogComparison, LogPosition, Replica, compare_log, position_of
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log
from wigeonarch_runtime.timeouts import wait_for_event

from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.platform import Page, PlatformClient, Unavailable
from wigeonarch_entry.snapshots import SnapshotReader

PAGE_SIZE: Final = 500
# Seconds between attempts to follow the log, and between checks whether a read is due.
MIN_RETRY_PAUSE: Final = 0.5
MAX_RETRY_PAUSE: Final = 5.0
CHECK_INTERVAL: Final = 0.1
# Many instances learn of the same change at once; random delays of up to this many seconds spread
# their reads.
MAX_READ_DELAY: Final = 0.2
MAX_READ_ATTEMPTS: Final = 3


class ChangeFeed:
    """Passes changes from the log in the platform to the replica of this instance."""

    __slots__ = (
        "_hastened",
        "_is_read_due",
        "_metrics",
        "_platform",
        "_read_lock",
        "_replica",
        "_snapshots",
        "_watch_timeout",
    )

    def __init__(
        self,
        platform: PlatformClient,
        replica: Replica,
        watch_timeout: float,
        is_read_due: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        """Makes the feed.

        Args:
            platform: Client of the platform.
            replica: The copy of the configuration that the changes are added to.
            watch_timeout: Seconds without data after which a watch counts as broken.
            is_read_due: Tells whether the log must be read again.
            metrics: Metrics of this instance.
        """
        self._platform = platform
        self._replica = replica
        self._watch_timeout = watch_timeout
        self._is_read_due = is_read_due
        self._metrics = metrics
        self._read_lock = asyncio.Lock()
        self._hastened = asyncio.Event()
        self._snapshots = SnapshotReader(platform)

    async def run(self) -> None:
        """Follows the log until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_watch())
            tasks.create_task(self._run_rereads())

    def hasten(self) -> None:
        """Looks at once whether the log must be read again, and then reads it without a delay."""
        self._hastened.set()

    def add(self, number: int, change: Change) -> None:
        """Adds change `number` to the replica and logs the verdict on each change applied."""
        for result in self._replica.add(number, change):
            log("change_applied", number=result.number, verdict=result.verdict)
        self._metrics.configuration_applied.set(self._replica.catalogue.applied)

    async def catch_up(self) -> int | None:
        """Reads the log to its end.

        Returns:
            The revision that a watch should start from; None when the log could not be read.
        """
        async with self._read_lock:
            started_at = monotonic()
            revision = await self._read_log()
            self._replica.record_read(started_at, revision is not None)
            return revision

    async def _read_log(self) -> int | None:
        for _ in range(MAX_READ_ATTEMPTS):
            position = position_of(self._replica.catalogue)
            page = await self._list_page(change_name(max(position.applied - 1, 0)))
            if isinstance(page, Unavailable):
                return None
            comparison = await self._compare_log(position, page)
            if comparison is None:
                return None
            if self._replica.record_comparison(comparison):
                event = (
                    "log_went_back" if comparison is LogComparison.ROLLED_BACK else "log_is_back"
                )
                log(event, "ERROR", applied=position.applied, operation=position.last)
            if comparison is not LogComparison.TRIMMED:
                return await self._add_pages(page)
        return None

    async def _compare_log(self, position: LogPosition, page: Page) -> LogComparison | None:
        """Compares the log with the replica; loads a snapshot if the log was trimmed past it.

        Returns:
            The result of the comparison; None when the platform gave no answer.
        """
        first = next(iter(_changes_of(page)), None)
        if position.applied and compare_log(position, first, 0) is LogComparison.SAME:
            return LogComparison.SAME
        number = await self._snapshots.newest_number()
        if number is None:
            return None
        comparison = compare_log(position, first, number)
        if comparison is LogComparison.TRIMMED and not await self._load_snapshot():
            return None
        return comparison

    async def _load_snapshot(self) -> bool:
        snapshot = await self._snapshots.read()
        if snapshot is None:
            return False
        if self._replica.restore(snapshot):
            log("snapshot_restored", number=snapshot.applied, entries=len(snapshot.entries))
            self._metrics.configuration_applied.set(snapshot.applied)
        return True

    async def _add_pages(self, page: Page) -> int | None:
        revision = page.revision
        while True:
            for number, change in _changes_of(page):
                self.add(number, change)
            if not page.more:
                return revision
            next_page = await self._list_page(page.items[-1].name)
            if isinstance(next_page, Unavailable):
                return None
            page = next_page

    async def _list_page(self, after: str) -> Page | Unavailable:
        return await self._platform.list(CHANGES, after, PAGE_SIZE)

    async def _run_watch(self) -> None:
        pause = MIN_RETRY_PAUSE
        while True:
            revision = await self.catch_up()
            if revision is not None:
                pause = MIN_RETRY_PAUSE
                await self._watch(revision)
            # Full jitter keeps many instances from reconnecting at the same moment.
            await asyncio.sleep(random.uniform(0, pause))
            pause = min(pause * 2, MAX_RETRY_PAUSE)

    async def _watch(self, revision: int) -> None:
        async for event in self._platform.watch(CHANGES, revision, self._watch_timeout):
            if isinstance(event, Unavailable):
                log("watch_broken", "WARNING", kind=CHANGES, detail=event.detail)
                return
            if event.value is not None:
                self.add(int(event.name), _decode_change(event.value))

    async def _run_rereads(self) -> None:
        """Reads the log again whenever a read is due, with growing pauses while it stays due."""
        pause = MIN_RETRY_PAUSE
        while True:
            hastened = await wait_for_event(self._hastened, CHECK_INTERVAL)
            if not self._is_read_due():
                pause = MIN_RETRY_PAUSE
                continue
            if not hastened:
                await wait_for_event(self._hastened, random.uniform(0, MAX_READ_DELAY))
            if self._is_read_due():
                self._metrics.log_readings.inc()
                await self.catch_up()
                await wait_for_event(self._hastened, random.uniform(0, pause))
                pause = min(pause * 2, MAX_RETRY_PAUSE)


def _changes_of(page: Page) -> list[tuple[int, Change]]:
    return [(int(item.name), _decode_change(item.value)) for item in page.items]


def _decode_change(value: Any) -> Change:
    return msgspec.convert(value, Change)
