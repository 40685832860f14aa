"""Reads and writes snapshots of the catalogue in the platform; see `wigeonarch_core.snapshots`."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import Final

import msgspec
from wigeonarch_core.changelog import Snapshot
from wigeonarch_core.records import CHANGES, SNAPSHOTS, change_name
from wigeonarch_core.replica import Replica
from wigeonarch_core.snapshots import (
    HEAD,
    SnapshotHead,
    SnapshotPart,
    SnapshotRef,
    announced,
    decoded,
    encoded,
    finished,
    from_part,
    is_due,
    kept_from,
    newest,
    part_name,
    split,
    to_part,
)
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.platform import Conflict, Found, Missing, Platform, Unavailable, Written

CHECK_PAUSE: Final = 5.0
# A writer that has announced itself and not finished for so long has died.
PATIENCE: Final = 60.0
TRIM_PAGE: Final = 100
TRIM_PAUSE: Final = 1.0


class SnapshotReader:
    """Reads the newest whole snapshot."""

    __slots__ = ("_platform",)

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def newest(self) -> int | None:
        """Returns the number of the newest snapshot, 0 without one; None without an answer."""
        found = await self.head()
        return None if isinstance(found, Unavailable) else newest(found[1])

    async def head(self) -> tuple[int, SnapshotHead | None] | Unavailable:
        """Reads the head; returns its version, 0 when there is none."""
        found = await self._platform.get(SNAPSHOTS, HEAD)
        if isinstance(found, Unavailable):
            return found
        if isinstance(found, Missing):
            return 0, None
        return found.version, msgspec.convert(found.value, SnapshotHead)

    async def read(self) -> Snapshot | None:
        """Reads the newest snapshot; None when a part cannot be had, or there is no snapshot."""
        head = await self.head()
        if isinstance(head, Unavailable) or head[1] is None or head[1].latest is None:
            return None
        ref = head[1].latest
        pieces = []
        for part in range(ref.parts):
            found = await self._platform.get(SNAPSHOTS, part_name(ref, part))
            if not isinstance(found, Found):
                log("snapshot_part_missing", "WARNING", number=ref.number, part=part)
                return None
            pieces.append(from_part(msgspec.convert(found.value, SnapshotPart)))
        return decoded(b"".join(pieces))


class SnapshotWriter:
    """Writes a snapshot when enough changes have been applied, and trims the log."""

    __slots__ = ("_every", "_platform", "_reader", "_replica", "_seen")

    def __init__(self, platform: Platform, replica: Replica, every: int) -> None:
        self._platform = platform
        self._replica = replica
        self._every = every
        self._reader = SnapshotReader(platform)
        # The pending snapshot of another writer, and when it was first seen.
        self._seen: tuple[SnapshotRef, float] | None = None

    async def run(self) -> None:
        """Writes snapshots until cancelled."""
        written = 0
        while True:
            await asyncio.sleep(CHECK_PAUSE * random.uniform(0.5, 1.5))
            applied = self._replica.catalogue.applied
            # Only a look at the number that the last look gave; the platform is asked when due.
            if applied < written + self._every or self._replica.went_back:
                continue
            head = await self._reader.head()
            if isinstance(head, Unavailable):
                continue
            version, known = head
            written = newest(known)
            if is_due(known, applied, self._every) and self._may_write(known):
                await self._write(version, known)

    def _may_write(self, head: SnapshotHead | None) -> bool:
        """Tells whether no other writer is at work."""
        pending = head.pending if head else None
        if pending is None:
            return True
        if self._seen is None or self._seen[0] != pending:
            self._seen = (pending, monotonic())
        return monotonic() - self._seen[1] > PATIENCE

    async def _write(self, version: int, head: SnapshotHead | None) -> None:
        snapshot = self._replica.catalogue.snapshot()
        announcement = announced(head, snapshot.applied, uuid.uuid4().hex)
        announced_at = await self._put_head(announcement, version)
        if announced_at is None or announcement.pending is None:
            return
        pieces = []
        for piece in encoded(snapshot):
            pieces.append(piece)
            await asyncio.sleep(0)  # Requests go on between the pieces.
        parts = split(b"".join(pieces))
        for number, part in enumerate(parts):
            name = part_name(announcement.pending, number)
            result = await self._platform.create(SNAPSHOTS, name, to_part(part))
            if isinstance(result, Unavailable):
                log("snapshot_failed", "WARNING", number=snapshot.applied, detail=result.detail)
                return
        final = finished(announcement, len(parts))
        if await self._put_head(final, announced_at) is None:
            return
        log("snapshot_written", number=snapshot.applied, parts=len(parts))
        if head is not None:
            await self._delete_parts(head.previous)
            await self._delete_parts(head.pending)
        await self._trim(kept_from(final))

    async def _put_head(self, head: SnapshotHead, version: int) -> int | None:
        """Writes the head if it is at a version; a lost answer is settled by reading it back."""
        if version:
            result = await self._platform.replace(SNAPSHOTS, HEAD, head, version)
        else:
            result = await self._platform.create(SNAPSHOTS, HEAD, head)
        if isinstance(result, Written):
            return result.version
        if isinstance(result, Conflict) or result.maybe:
            found = await self._reader.head()
            # The writer's nonce is in the head, so an equal head is this writer's own.
            if not isinstance(found, Unavailable) and found[1] == head:
                return found[0]
        return None

    async def _delete_parts(self, ref: SnapshotRef | None) -> None:
        """Deletes the parts of a snapshot; of one that was never finished, those that are there."""
        part = 0
        while ref is not None:
            found = await self._platform.get(SNAPSHOTS, part_name(ref, part))
            if not isinstance(found, Found):
                return
            await self._platform.delete(SNAPSHOTS, found.name, found.version)
            part += 1

    async def _trim(self, kept: int) -> None:
        """Deletes the elements of the log before `kept`, a page at a time."""
        while True:
            page = await self._platform.list(CHANGES, "", TRIM_PAGE)
            if isinstance(page, Unavailable):
                return
            old = [item for item in page.items if item.name < change_name(kept)]
            for item in old:
                await self._platform.delete(CHANGES, item.name, item.version)
            if len(old) < TRIM_PAGE:
                return
            await asyncio.sleep(TRIM_PAUSE)
