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
    announce,
    decode,
    encode,
    finish,
    first_kept_change,
    from_part,
    is_due,
    newest_number,
    part_name,
    split,
    to_part,
)
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.platform import Conflict, Found, Missing, PlatformClient, Unavailable, Written

MEAN_CHECK_INTERVAL: Final = 5.0
# A writer that has announced itself and not finished for so long has died.
PENDING_TIMEOUT: Final = 60.0
TRIM_PAGE_SIZE: Final = 100
TRIM_PAUSE: Final = 1.0


class SnapshotReader:
    """Reads the newest whole snapshot."""

    __slots__ = ("_platform",)

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def newest_number(self) -> int | None:
        """Returns the number of the newest snapshot, 0 without one; None without an answer."""
        found = await self.read_head()
        return None if isinstance(found, Unavailable) else newest_number(found[1])

    async def read_head(self) -> tuple[int, SnapshotHead | None] | Unavailable:
        """Reads the head; returns its version, 0 when there is none."""
        found = await self._platform.get(SNAPSHOTS, HEAD)
        if isinstance(found, Unavailable):
            return found
        if isinstance(found, Missing):
            return 0, None
        return found.version, msgspec.convert(found.value, SnapshotHead)

    async def read(self) -> Snapshot | None:
        """Reads the newest snapshot; None when a part cannot be had, or there is no snapshot."""
        head = await self.read_head()
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
        return decode(b"".join(pieces))


class SnapshotWriter:
    """Writes a snapshot when enough changes have been applied, and trims the log."""

    __slots__ = ("_changes_per_snapshot", "_observed_pending", "_platform", "_reader", "_replica")

    def __init__(self, platform: PlatformClient, replica: Replica, every: int) -> None:
        self._platform = platform
        self._replica = replica
        self._changes_per_snapshot = every
        self._reader = SnapshotReader(platform)
        # The pending snapshot of another writer, and when it was first seen.
        self._observed_pending: tuple[SnapshotRef, float] | None = None

    async def run(self) -> None:
        """Writes snapshots until cancelled."""
        written = 0
        while True:
            await asyncio.sleep(MEAN_CHECK_INTERVAL * random.uniform(0.5, 1.5))
            applied = self._replica.catalogue.applied
            # Only a look at the number that the last look gave; the platform is asked when due.
            if applied < written + self._changes_per_snapshot or self._replica.rolled_back:
                continue
            head = await self._reader.read_head()
            if isinstance(head, Unavailable):
                continue
            version, known = head
            written = newest_number(known)
            if is_due(known, applied, self._changes_per_snapshot) and self._may_write(known):
                await self._write_snapshot(version, known)

    def _may_write(self, head: SnapshotHead | None) -> bool:
        """Tells whether no other writer is at work."""
        pending = head.pending if head else None
        if pending is None:
            return True
        if self._observed_pending is None or self._observed_pending[0] != pending:
            self._observed_pending = (pending, monotonic())
        return monotonic() - self._observed_pending[1] > PENDING_TIMEOUT

    async def _write_snapshot(self, version: int, head: SnapshotHead | None) -> None:
        snapshot = self._replica.catalogue.snapshot()
        announcement = announce(head, snapshot.applied, uuid.uuid4().hex)
        announced_at = await self._write_head(announcement, version)
        if announced_at is None or announcement.pending is None:
            return
        pieces = []
        for piece in encode(snapshot):
            pieces.append(piece)
            await asyncio.sleep(0)  # Requests go on between the pieces.
        parts = split(b"".join(pieces))
        for number, part in enumerate(parts):
            name = part_name(announcement.pending, number)
            result = await self._platform.create(SNAPSHOTS, name, to_part(part))
            if isinstance(result, Unavailable):
                log("snapshot_failed", "WARNING", number=snapshot.applied, detail=result.detail)
                return
        final = finish(announcement, len(parts))
        if await self._write_head(final, announced_at) is None:
            return
        log("snapshot_written", number=snapshot.applied, parts=len(parts))
        if head is not None:
            await self._delete_parts(head.previous)
            await self._delete_parts(head.pending)
        await self._trim_log(first_kept_change(final))

    async def _write_head(self, head: SnapshotHead, version: int) -> int | None:
        """Writes the head if it is at a version; a lost answer is settled by reading it back."""
        if version:
            result = await self._platform.replace(SNAPSHOTS, HEAD, head, version)
        else:
            result = await self._platform.create(SNAPSHOTS, HEAD, head)
        if isinstance(result, Written):
            return result.version
        if isinstance(result, Conflict) or result.may_have_written:
            found = await self._reader.read_head()
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

    async def _trim_log(self, kept: int) -> None:
        """Deletes the elements of the log before `kept`, a page at a time."""
        while True:
            page = await self._platform.list(CHANGES, "", TRIM_PAGE_SIZE)
            if isinstance(page, Unavailable):
                return
            old = [item for item in page.items if item.name < change_name(kept)]
            for item in old:
                await self._platform.delete(CHANGES, item.name, item.version)
            if len(old) < TRIM_PAGE_SIZE:
                return
            await asyncio.sleep(TRIM_PAUSE)
