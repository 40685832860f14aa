"""Snapshots of the catalogue as they are stored in the platform and sent to peers.

A snapshot is split into parts, each below the platform's size limit of an object. The head object
names the newest complete snapshot and the one before it. It is written on condition of its version
and after all parts, so a reader never sees half of a snapshot. Before it writes any parts, a writer
announces the snapshot in the head. So no two writers write at the same time, and the parts left by
a writer that died can be found and deleted.

Changes of the log up to the snapshot before the newest one are deleted. So a reader that has just
read the head has all the time until the next snapshot to read the parts that it names.
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Iterator
from typing import Final

import msgspec

from wigeonarch_core.changelog import Result, Snapshot
from wigeonarch_core.decoding import msgpack_decoder
from wigeonarch_core.entries import Stored

HEAD: Final = "head"
# Number of changes between two snapshots: few enough to be read quickly at a start.
CHANGES_PER_SNAPSHOT: Final = 1000
PART_BYTES: Final = 600_000  # Before Base64, which adds a third.
ENTRIES_PER_PIECE: Final = 1000  # Number of entries that are encoded at a time.
COMPRESSION_LEVEL: Final = 1  # Of zlib; the fastest.


class SnapshotRef(msgspec.Struct, frozen=True):
    """Identifies a snapshot and its parts.

    Attributes:
        number: Number of the last change that it contains.
        writer: Nonce of its writer; two writers never write the same part.
        parts: Number of parts; 0 while they are being written.
    """

    number: int
    writer: str
    parts: int = 0


class SnapshotHead(msgspec.Struct, frozen=True):
    """The head object.

    Attributes:
        latest: Newest complete snapshot.
        previous: The complete snapshot before it.
        pending: A snapshot that is being written.
    """

    latest: SnapshotRef | None = None
    previous: SnapshotRef | None = None
    pending: SnapshotRef | None = None


class SnapshotPart(msgspec.Struct, frozen=True):
    """One part, as a JSON document.

    Attributes:
        data: Its piece of the compressed snapshot, in Base64.
    """

    data: str


class _Preamble(msgspec.Struct, frozen=True):
    applied: int
    last: str
    results: tuple[tuple[str, Result], ...]


_encoder: Final = msgspec.msgpack.Encoder()
_decode_preamble: Final = msgpack_decoder(_Preamble)
_decode_entries: Final = msgpack_decoder(list[Stored])


def newest_number(head: SnapshotHead | None) -> int:
    """Returns the number of the newest snapshot; 0 if there is none."""
    return head.latest.number if head and head.latest else 0


def part_name(ref: SnapshotRef, part: int) -> str:
    """Returns the object name of a part."""
    return f"{ref.number:012d}-{ref.writer}-{part:04d}"


def is_due(head: SnapshotHead | None, applied: int, every: int) -> bool:
    """Returns whether a new snapshot is due: `every` changes after the newest one."""
    return applied >= newest_number(head) + every


def announce(head: SnapshotHead | None, number: int, writer: str) -> SnapshotHead:
    """Returns the head that announces a snapshot."""
    base = head or SnapshotHead()
    return msgspec.structs.replace(base, pending=SnapshotRef(number, writer))


def finish(head: SnapshotHead, parts: int) -> SnapshotHead:
    """Returns the head after all parts of the pending snapshot have been written."""
    assert head.pending is not None, "a snapshot must be announced before it is written"
    latest = msgspec.structs.replace(head.pending, parts=parts)
    return SnapshotHead(latest=latest, previous=head.latest)


def first_kept_change(head: SnapshotHead) -> int:
    """Returns the number of the first change of the log that must be kept."""
    return head.previous.number if head.previous else 0


def encode(snapshot: Snapshot) -> Iterator[bytes]:
    """Yields pieces of the compressed snapshot, so that other tasks can run between them.

    Decompressed, it is a sequence of MessagePack documents, each after its length: a preamble, then
    lists of entries.
    """
    stream = zlib.compressobj(COMPRESSION_LEVEL)
    preamble = _Preamble(snapshot.applied, snapshot.last, snapshot.results)
    yield stream.compress(_frame(_encoder.encode(preamble)))
    entries = snapshot.entries
    for first in range(0, len(entries), ENTRIES_PER_PIECE):
        yield stream.compress(_frame(_encoder.encode(entries[first : first + ENTRIES_PER_PIECE])))
    yield stream.flush()


def split(data: bytes) -> list[bytes]:
    """Splits the compressed snapshot into parts."""
    return [data[first : first + PART_BYTES] for first in range(0, len(data), PART_BYTES)]


def to_part(piece: bytes) -> SnapshotPart:
    """Returns the document of a part."""
    return SnapshotPart(base64.b64encode(piece).decode())


def from_part(part: SnapshotPart) -> bytes:
    """Returns the piece of the compressed snapshot in a part."""
    return base64.b64decode(part.data)


def decode(data: bytes) -> Snapshot | None:
    """Returns the snapshot in the complete compressed form; None if that is damaged."""
    try:
        frames = list(_iter_frames(zlib.decompress(data)))
        preamble = _decode_preamble(frames[0])
        entries = tuple(entry for frame in frames[1:] for entry in _decode_entries(frame))
    except (zlib.error, ValueError, IndexError):
        return None
    return Snapshot(preamble.applied, preamble.last, entries, preamble.results)


_LENGTH_BYTES: Final = 4


def _frame(document: bytes) -> bytes:
    return len(document).to_bytes(_LENGTH_BYTES, "big") + document


def _iter_frames(data: bytes) -> Iterator[bytes]:
    end = 0
    while end < len(data):
        start = end + _LENGTH_BYTES
        end = start + int.from_bytes(data[end:start], "big")
        yield data[start:end]
