"""Elements of the change log and the results of applying them; data only."""

from __future__ import annotations

import enum

import msgspec

from wigeonarch_core.entries import Entry, EntryKey, Stored


class Put(msgspec.Struct, frozen=True, tag=True):
    """Creates or replaces an entry.

    Attributes:
        entry: The new entry.
        expected: Version that the entry must have now; 0 if it must not exist.
    """

    entry: Entry
    expected: int


class Delete(msgspec.Struct, frozen=True, tag=True):
    """Deletes an entry.

    Attributes:
        key: Key of the entry.
        expected: Version that the entry must have now.
    """

    key: EntryKey
    expected: int


Mutation = Put | Delete


class Change(msgspec.Struct, frozen=True):
    """One element of the change log.

    Attributes:
        operation: Operation id, chosen by the caller; a repeated id is applied only once.
        mutation: What to change.
    """

    operation: str
    mutation: Mutation


class Verdict(enum.StrEnum):
    """Whether a change was applied or why it was rejected; the same on every instance."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Result(msgspec.Struct, frozen=True):
    """Result of a change.

    Attributes:
        number: Number of the change in the log.
        verdict: Whether it was applied.
        version: Version of the entry afterwards; 0 if it does not exist.
        message: Why the change was rejected.
    """

    number: int
    verdict: Verdict
    version: int = 0
    message: str = ""


class Snapshot(msgspec.Struct, frozen=True):
    """The whole catalogue after change `applied`, as stored in the platform and sent to peers.

    Attributes:
        applied: Number of the last change that it contains.
        last: Operation id of that change.
        entries: All entries.
        results: The remembered operation ids with their results, in the order of the log.
    """

    applied: int
    last: str
    entries: tuple[Stored, ...]
    results: tuple[tuple[str, Result], ...]
