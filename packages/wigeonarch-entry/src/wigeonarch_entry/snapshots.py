"""Reads and writes snapshots of the catalogue in the platform, and trims the change log.

The format, and why a reader never sees half a snapshot, are described in
`wigeonarch_core.snapshots`.
"""

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

MEAN_CHECK_INTERVAL: Final = 5.0  # Seconds.
# Seconds after which a writer that has announced a snapshot and not finished it counts as dead.
PENDING_TIMEOUT: Final = 60.0
TRIM_PAGE_SIZE: Final = 100
TRIM_PAUSE: Final = 1.0  # Seconds between two pages.


class SnapshotReader:
    """Reads the newest complete snapshot."""

    __slots__ = ("_platform",)

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def newest_number(self) -> int | None:
        """Returns the number of the newest snapshot.

        Returns:
            The number of the last change in it; 0 when there is no snapshot, None when the platform
            gave no answer.
        """
        found = await self.read_head()
        return None if isinstance(found, Unavailable) else newest_number(found[1])

    async def read_head(self) -> tuple[int, SnapshotHead | None] | Unavailable:
        """Returns the version of the head object and its value; version 0 when there is none."""
        found = await self._platform.get(SNAPSHOTS, HEAD)
        if isinstance(found, Unavailable):
            return found
        if isinstance(found, Missing):
            return 0, None
        return found.version, msgspec.convert(found.value, SnapshotHead)

    async def read(self) -> Snapshot | None:
        """Reads the newest snapshot; None when there is none or a part of it cannot be read."""
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
    """Writes a snapshot once enough changes have been applied, and then trims the log."""

    __slots__ = ("_changes_per_snapshot", "_observed_pending", "_platform", "_reader", "_replica")

    def __init__(
        self, platform: PlatformClient, replica: Replica, changes_per_snapshot: int
    ) -> None:
        self._platform = platform
        self._replica = replica
        self._changes_per_snapshot = changes_per_snapshot
        self._reader = SnapshotReader(platform)
        # The pending snapshot of another writer, and when this instance first saw it.
        self._observed_pending: tuple[SnapshotRef, float] | None = None

    async def run(self) -> None:
        """Writes snapshots until cancelled."""
        written = 0
        while True:
            await asyncio.sleep(MEAN_CHECK_INTERVAL * random.uniform(0.5, 1.5))
            applied = self._replica.catalogue.applied
            # Compares with the number that the last read of the head gave; the platform is asked
            # only when a snapshot seems due by it.
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
        """Tells whether no other writer is writing a snapshot."""
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
            await asyncio.sleep(0)  # Lets other tasks run between the pieces.
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
        """Writes the head on condition that it is at `version` (0: that it does not exist).

        After a lost response or a conflict the head is read back.

        Returns:
            The new version; None when the head was not written, or that is unknown.
        """
        if version:
            result = await self._platform.replace(SNAPSHOTS, HEAD, head, version)
        else:
            result = await self._platform.create(SNAPSHOTS, HEAD, head)
        if isinstance(result, Written):
            return result.version
        if isinstance(result, Conflict) or result.may_have_written:
            found = await self._reader.read_head()
            # The head contains the writer's nonce, so an equal head was written by this writer.
            if not isinstance(found, Unavailable) and found[1] == head:
                return found[0]
        return None

    async def _delete_parts(self, ref: SnapshotRef | None) -> None:
        """Deletes the parts of a snapshot, up to the first that is missing.

        The number of parts of a snapshot that was never finished is unknown.
        """
        part = 0
        while ref is not None:
            found = await self._platform.get(SNAPSHOTS, part_name(ref, part))
            if not isinstance(found, Found):
                return
            await self._platform.delete(SNAPSHOTS, found.name, found.version)
            part += 1

    async def _trim_log(self, first_kept: int) -> None:
        """Deletes the changes before number `first_kept` from the log, one page at a time."""
        while True:
            page = await self._platform.list(CHANGES, "", TRIM_PAGE_SIZE)
            if isinstance(page, Unavailable):
                return
            old = [item for item in page.items if item.name < change_name(first_kept)]
            for item in old:
                await self._platform.delete(CHANGES, item.name, item.version)
            if len(old) < TRIM_PAGE_SIZE:
                return
            await asyncio.sleep(TRIM_PAUSE)
