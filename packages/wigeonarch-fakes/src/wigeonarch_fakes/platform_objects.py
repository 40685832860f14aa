"""Object store of the platform stand-in: versions, conditional writes, watches and history."""

from __future__ import annotations

import asyncio
import bisect
from collections import deque

import msgspec


class Item(msgspec.Struct):
    """One stored object."""

    name: str
    version: int
    value: msgspec.Raw


class Change(msgspec.Struct, omit_defaults=True):
    """One line of a watch: a put, a delete or a bookmark."""

    type: str
    version: int
    name: str = ""
    value: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class Conflict(Exception):  # noqa: N818 - term of the protocol
    """A conditional write expected another version than the present one."""

    def __init__(self, version: int) -> None:
        super().__init__(f"present version is {version}")
        self.version = version


class Watch:
    """One open watch with the changes that are still to be sent."""

    __slots__ = ("muted", "pending", "wake")

    def __init__(self, backlog: list[Change]) -> None:
        self.pending = deque(backlog)
        self.wake = asyncio.Event()
        self.muted = False

    def push(self, change: Change) -> None:
        """Queue a change and wake the sender."""
        self.pending.append(change)
        self.wake.set()


class ObjectStore:
    """Versioned objects by kind and name, with a bounded history of changes.

    Attributes:
        revision: Number of the last write; it becomes the version of the object written.
        compacted: Highest revision that was dropped from the history.
    """

    def __init__(self, history: int) -> None:
        self.revision = 0
        self.compacted = 0
        self.kinds: dict[str, dict[str, Item]] = {}
        self.watches: dict[str, set[Watch]] = {}
        self._names: dict[str, list[str]] = {}
        self._history: deque[tuple[str, Change]] = deque()
        self._max_history = history

    def get(self, kind: str, name: str) -> Item | None:
        """Return an object, if present."""
        return self.kinds.get(kind, {}).get(name)

    def page(self, kind: str, after: str, limit: int) -> tuple[list[Item], bool]:
        """Return up to ``limit`` objects with names after ``after``, and whether there are more."""
        names = self._names.get(kind, [])
        first = bisect.bisect_right(names, after) if after else 0
        items = [self.kinds[kind][name] for name in names[first : first + limit]]
        return items, first + limit < len(names)

    def put(self, kind: str, name: str, expected: int, value: bytes) -> int:
        """Write an object and return its new version.

        Raises:
            Conflict: The present version is not ``expected`` (0 if the object must not exist).
        """
        present = self._check_version(kind, name, expected)
        self.revision += 1
        item = Item(name, self.revision, msgspec.Raw(value))
        self.kinds.setdefault(kind, {})[name] = item
        if present is None:
            bisect.insort(self._names.setdefault(kind, []), name)
        self._publish(kind, Change("put", self.revision, name, item.value))
        return self.revision

    def delete(self, kind: str, name: str, expected: int) -> int:
        """Delete an object and return the revision of the deletion.

        Raises:
            Conflict: The object does not exist or its present version is not ``expected``.
        """
        if self._check_version(kind, name, expected) is None:
            raise Conflict(0)
        self.revision += 1
        del self.kinds[kind][name]
        names = self._names[kind]
        del names[bisect.bisect_left(names, name)]
        self._publish(kind, Change("delete", self.revision, name))
        return self.revision

    def changes_since(self, kind: str, revision: int) -> list[Change]:
        """Return the changes of one kind after a revision that is not compacted yet."""
        changes: list[Change] = []
        for changed_kind, change in reversed(self._history):
            if change.version <= revision:
                break
            if changed_kind == kind:
                changes.append(change)
        changes.reverse()
        return changes

    def _check_version(self, kind: str, name: str, expected: int) -> Item | None:
        present = self.get(kind, name)
        version = 0 if present is None else present.version
        if version != expected:
            raise Conflict(version)
        return present

    def _publish(self, kind: str, change: Change) -> None:
        self._history.append((kind, change))
        if len(self._history) > self._max_history:
            self.compacted = self._history.popleft()[1].version
        for watch in self.watches.get(kind, ()):
            watch.push(change)
