"""Snapshots of the catalogue as they are kept in the platform and sent to peers.

A snapshot is split into parts below the platform's limit of an object. The head object names the
newest whole snapshot and the one before it; it is written on condition of its version after all the
parts, so a reader never sees half of a snapshot. A writer first announces itself in the head, so
that two do not write at once and the parts of one that died can be found and deleted.

Elements of the log up to the last but one snapshot are deleted: a reader that has just read the
head has the whole time until the next snapshot to read the parts that it names.
"""

from __future__ import annotations

import base64
import zlib
from collections.abc import Iterator
from typing import Final

import msgspec

from wigeonarch_core.changelog import Result, Snapshot
from wigeonarch_core.entries import Stored

HEAD: Final = "head"
# Changes between two snapshots: few enough to read quickly at a start.
CHANGES_PER_SNAPSHOT: Final = 1000
PART_BYTES: Final = 600_000  # Base64 makes a third more of it.
ENTRIES_PER_PIECE: Final = 1000  # Entries that are encoded at a time.
COMPRESSION_LEVEL: Final = 1


class SnapshotRef(msgspec.Struct, frozen=True):
    """Names the parts of one snapshot.

    Attributes:
        number: Last change in it.
        writer: Nonce of its writer; two writers never write the same part.
        parts: Number of parts; 0 while they are being written.
    """

    number: int
    writer: str
    parts: int = 0


class SnapshotHead(msgspec.Struct, frozen=True):
    """The head object.

    Attributes:
        latest: Newest whole snapshot.
        previous: The one before it.
        pending: One that is being written.
    """

    latest: SnapshotRef | None = None
    previous: SnapshotRef | None = None
    pending: SnapshotRef | None = None


class SnapshotPart(msgspec.Struct, frozen=True):
    """One part, as a JSON document."""

    data: str


class _Preamble(msgspec.Struct, frozen=True):
    applied: int
    last: str
    results: tuple[tuple[str, Result], ...]


_encoder: Final = msgspec.msgpack.Encoder()
_preamble: Final = msgspec.msgpack.Decoder(_Preamble)
_entries: Final = msgspec.msgpack.Decoder(list[Stored])


def newest_number(head: SnapshotHead | None) -> int:
    """Returns the number of the newest snapshot; 0 without one."""
    return head.latest.number if head and head.latest else 0


def part_name(ref: SnapshotRef, part: int) -> str:
    """Returns the object name of a part."""
    return f"{ref.number:012d}-{ref.writer}-{part:04d}"


def is_due(head: SnapshotHead | None, applied: int, every: int) -> bool:
    """Tells whether a snapshot should be written."""
    return applied >= newest_number(head) + every


def announce(head: SnapshotHead | None, number: int, writer: str) -> SnapshotHead:
    """Returns the head that announces a snapshot."""
    base = head or SnapshotHead()
    return msgspec.structs.replace(base, pending=SnapshotRef(number, writer))


def finish(head: SnapshotHead, parts: int) -> SnapshotHead:
    """Returns the head once all parts of the pending snapshot are written."""
    assert head.pending is not None, "a snapshot is announced before it is written"
    latest = msgspec.structs.replace(head.pending, parts=parts)
    return SnapshotHead(latest=latest, previous=head.latest)


def first_kept_change(head: SnapshotHead) -> int:
    """Returns the first element of the log that must be kept."""
    return head.previous.number if head.previous else 0


def encode(snapshot: Snapshot) -> Iterator[bytes]:
    """Yields pieces of the compressed form; each takes a moment, so that others can run between.

    The form is a stream of MessagePack documents, each after its length: a preamble, then lists
    of entries.
    """
    stream = zlib.compressobj(COMPRESSION_LEVEL)
    preamble = _Preamble(snapshot.applied, snapshot.last, snapshot.results)
    yield stream.compress(_framed(_encoder.encode(preamble)))
    entries = snapshot.entries
    for first in range(0, len(entries), ENTRIES_PER_PIECE):
        yield stream.compress(_framed(_encoder.encode(entries[first : first + ENTRIES_PER_PIECE])))
    yield stream.flush()


def split(data: bytes) -> list[bytes]:
    """Splits the compressed form into parts."""
    return [data[first : first + PART_BYTES] for first in range(0, len(data), PART_BYTES)]


def to_part(piece: bytes) -> SnapshotPart:
    """Returns a part's document."""
    return SnapshotPart(base64.b64encode(piece).decode())


def from_part(part: SnapshotPart) -> bytes:
    """Returns a part's piece of the compressed form."""
    return base64.b64decode(part.data)


def decode(data: bytes) -> Snapshot | None:
    """Returns the snapshot in a whole compressed form; None when it is damaged."""
    try:
        frames = list(_unframed(zlib.decompress(data)))
        preamble = _preamble.decode(frames[0])
        entries = tuple(entry for frame in frames[1:] for entry in _entries.decode(frame))
    except (zlib.error, msgspec.DecodeError, IndexError):
        return None
    return Snapshot(preamble.applied, preamble.last, entries, preamble.results)


_LENGTH_BYTES: Final = 4


def _framed(document: bytes) -> bytes:
    return len(document).to_bytes(_LENGTH_BYTES, "big") + document


def _unframed(data: bytes) -> Iterator[bytes]:
    place = 0
    while place < len(data):
        begin = place + _LENGTH_BYTES
        place = begin + int.from_bytes(data[place:begin], "big")
        yield data[begin:place]
