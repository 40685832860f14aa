"""Follows all objects of one kind in the platform: lists them, then watches for changes.

When the watch breaks, the objects are listed and watched again.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

from wigeonarch_runtime.logs import log

from wigeonarch_entry.platform import PlatformClient, Unavailable, WatchEvent

MIN_RETRY_PAUSE: Final = 0.5
MAX_RETRY_PAUSE: Final = 5.0


class Follower:
    """Follows the objects of one kind.

    Attributes:
        listed: Set once all objects have been listed.
    """

    __slots__ = (
        "_kind",
        "_names",
        "_on_deleted",
        "_on_put",
        "_platform",
        "_watch_timeout",
        "listed",
    )

    def __init__(
        self,
        platform: PlatformClient,
        kind: str,
        silence: float,
        on_put: Callable[[str, int, Any], None],
        on_deleted: Callable[[str], None],
    ) -> None:
        """Makes a follower.

        Args:
            platform: The platform.
            kind: Kind of the objects.
            silence: Seconds without a line after which a watch counts as broken.
            on_put: Called with the name, version and value of an object that is new or may have
                changed.
            on_deleted: Called with the name of an object that was deleted.
        """
        self._platform = platform
        self._kind = kind
        self._watch_timeout = silence
        self._on_put = on_put
        self._on_deleted = on_deleted
        self._names: set[str] = set()
        self.listed = asyncio.Event()

    async def run(self) -> None:
        """Follows until cancelled."""
        pause = MIN_RETRY_PAUSE
        while True:
            revision = await self._list()
            if revision is not None:
                pause = MIN_RETRY_PAUSE
                self.listed.set()
                await self._watch(revision)
            # Full jitter keeps many instances from listing at the same moment.
            await asyncio.sleep(random.uniform(0, pause))
            pause = min(pause * 2, MAX_RETRY_PAUSE)

    async def _list(self) -> int | None:
        """Lists all objects.

        Returns:
            The revision of the first page, from which the watch starts; None if a page could not be
            read.
        """
        seen: set[str] = set()
        after, first_revision = "", None
        while True:
            page = await self._platform.list(self._kind, after)
            if isinstance(page, Unavailable):
                return None
            first_revision = page.revision if first_revision is None else first_revision
            for item in page.items:
                seen.add(item.name)
                self._on_put(item.name, item.version, item.value)
            if not page.more:
                break
            after = page.items[-1].name
        for name in self._names - seen:
            self._on_deleted(name)
        self._names = seen
        return first_revision

    async def _watch(self, revision: int) -> None:
        async for event in self._platform.watch(self._kind, revision, self._watch_timeout):
            if isinstance(event, Unavailable):
                log("watch_broken", "WARNING", kind=self._kind, detail=event.detail)
                return
            self._apply(event)

    def _apply(self, event: WatchEvent) -> None:
        if not event.name:
            return
        if event.value is None:
            self._names.discard(event.name)
            self._on_deleted(event.name)
            return
        self._names.add(event.name)
        self._on_put(event.name, event.version, event.value)
