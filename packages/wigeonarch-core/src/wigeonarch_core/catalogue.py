"""The catalogue: the state of all entries after some change of the change log.

The catalogue is a pure function of the change log: applying a change to the state after the change
before it gives the same new state, or the same rejection, on every instance. The version of an
entry is the number of the change that last set it, so an expected version identifies one exact
state of the entry. A deleted entry leaves nothing in the catalogue. The results of the last
`MAX_REMEMBERED_RESULTS` operations are kept by operation id, so that a repeated operation gets the
result of its first run.

`applied` never decreases: changes are applied in order, and a snapshot replaces the state only if
it is newer.
"""

from __future__ import annotations

import bisect
from collections import OrderedDict
from collections.abc import Iterator
from typing import Final

from wigeonarch_core.changelog import Change, Delete, Mutation, Result, Snapshot, Verdict
from wigeonarch_core.entries import (
    Entry,
    EntryKey,
    EntryKind,
    Rule,
    Service,
    Stored,
    key_of,
    parents_of,
)

MAX_REMEMBERED_RESULTS: Final = 2000


class Catalogue:
    """State of all entries after change `applied`.

    Attributes:
        applied: Number of the last applied change; 0 before the first.
        last: Operation id of that change.
    """

    __slots__ = ("_entries", "_names", "_results", "applied", "last")

    def __init__(self) -> None:
        self.applied = 0
        self.last = ""
        self._entries: dict[EntryKey, Stored] = {}
        # Sorted, so that a page of entries, or all entries below another one, is a contiguous
        # range.
        self._names: dict[EntryKind, list[str]] = {kind: [] for kind in EntryKind}
        self._results: OrderedDict[str, Result] = OrderedDict()

    def apply(self, number: int, change: Change) -> Result:
        """Applies the next change of the log.

        Args:
            number: Number of the change; must be `applied + 1`.
            change: The change.

        Returns:
            The result, which is also remembered under the change's operation id. For an operation
            that was applied before, the result of its first run.
        """
        assert number == self.applied + 1, f"change {number} does not follow change {self.applied}"
        self.applied = number
        self.last = change.operation
        earlier = self._results.get(change.operation)
        if earlier is not None:
            return earlier
        result = self.evaluate(number, change.mutation)
        if result.verdict is Verdict.APPLIED:
            self._execute(number, change.mutation)
        self._remember(change.operation, result)
        return result

    def evaluate(self, number: int, mutation: Mutation) -> Result:
        """Returns the result that a mutation would have as change `number`, without applying it."""
        if isinstance(mutation, Delete):
            return self._evaluate_delete(number, mutation)
        key = key_of(mutation.entry)
        current = self._current_version(key)
        if current != mutation.expected:
            return _conflict(number, key, current, mutation.expected)
        missing = self._missing_parent(mutation.entry)
        if missing is not None:
            message = f"{missing.kind} {missing.name} does not exist; create it first"
            return Result(number, Verdict.INVALID, current, message)
        entry = mutation.entry
        if isinstance(entry, Rule) and not any(split.weight > 0 for split in entry.splits):
            return Result(number, Verdict.INVALID, current, "a rule needs a weight above 0")
        stored = self._entries.get(key_of(entry))
        if stored is not None and _changes_kind(stored.entry, entry):
            return Result(number, Verdict.INVALID, current, "a service's kind can't be changed")
        return Result(number, Verdict.APPLIED, number)

    def result_of(self, operation: str) -> Result | None:
        """Returns the result of an operation; None if it is not among the remembered ones."""
        return self._results.get(operation)

    def result_at(self, number: int) -> Result | None:
        """Returns the result of change `number`; None if it is not among the remembered ones."""
        return next((result for result in self._results.values() if result.number == number), None)

    def get(self, key: EntryKey) -> Stored | None:
        """Returns the entry with a key; None if there is none."""
        return self._entries.get(key)

    def service(self, name: str) -> Service | None:
        """Returns the service with a name; None if there is none."""
        stored = self._entries.get(EntryKey(EntryKind.SERVICE, name))
        return stored.entry if stored and isinstance(stored.entry, Service) else None

    def list(self, kind: EntryKind, after: str, limit: int) -> list[Stored]:
        """Returns up to `limit` entries of a kind, sorted by name, with names that sort after
        `after`.
        """
        names = self._names[kind]
        first = bisect.bisect_right(names, after)
        return [self._entries[EntryKey(kind, name)] for name in names[first : first + limit]]

    def snapshot(self) -> Snapshot:
        """Returns the whole state."""
        entries = tuple(
            self._entries[EntryKey(kind, name)] for kind in EntryKind for name in self._names[kind]
        )
        return Snapshot(self.applied, self.last, entries, tuple(self._results.items()))

    def restore(self, snapshot: Snapshot) -> bool:
        """Replaces the state by a newer snapshot.

        Returns:
            Whether the snapshot was newer; an older one is ignored.
        """
        if snapshot.applied <= self.applied:
            return False
        self.applied = snapshot.applied
        self.last = snapshot.last
        self._entries = {key_of(stored.entry): stored for stored in snapshot.entries}
        self._names = {kind: [] for kind in EntryKind}
        for key in sorted(self._entries):
            self._names[key.kind].append(key.name)
        self._results = OrderedDict(snapshot.results)
        return True

    def _evaluate_delete(self, number: int, mutation: Delete) -> Result:
        key = mutation.key
        current = self._current_version(key)
        if current != mutation.expected:
            return _conflict(number, key, current, mutation.expected)
        if current == 0:
            return Result(number, Verdict.CONFLICT, 0, f"{key.kind} {key.name} does not exist")
        child = self._child_of(key)
        if child is not None:
            message = f"{child.kind} {child.name} still needs it; delete that first"
            return Result(number, Verdict.INVALID, current, message)
        return Result(number, Verdict.APPLIED, 0)

    def _execute(self, number: int, mutation: Mutation) -> None:
        if isinstance(mutation, Delete):
            names = self._names[mutation.key.kind]
            del self._entries[mutation.key]
            del names[bisect.bisect_left(names, mutation.key.name)]
            return
        key = key_of(mutation.entry)
        if key not in self._entries:
            bisect.insort(self._names[key.kind], key.name)
        self._entries[key] = Stored(number, mutation.entry)

    def _current_version(self, key: EntryKey) -> int:
        stored = self._entries.get(key)
        return stored.version if stored else 0

    def _missing_parent(self, entry: Entry) -> EntryKey | None:
        return next((key for key in parents_of(entry) if key not in self._entries), None)

    def _child_of(self, key: EntryKey) -> EntryKey | None:
        """Returns an entry that depends on this one; None if there is none."""
        for child in self._possible_children(key):
            if key in parents_of(self._entries[child].entry):
                return child
        return None

    def _possible_children(self, key: EntryKey) -> Iterator[EntryKey]:
        """Yields the entries that, judging by their names, may depend on this one."""
        if key.kind is EntryKind.SERVICE:
            yield from self._with_prefix(EntryKind.ADAPTER, f"{key.name}/")
        adapter = key.name.partition("@")[0]
        if key.kind is EntryKind.ADAPTER:
            yield from self._with_prefix(EntryKind.VERSION, f"{adapter}@")
        rule = EntryKey(EntryKind.RULE, adapter)
        if rule in self._entries:
            yield rule

    def _with_prefix(self, kind: EntryKind, prefix: str) -> Iterator[EntryKey]:
        names = self._names[kind]
        for index in range(bisect.bisect_left(names, prefix), len(names)):
            if not names[index].startswith(prefix):
                return
            yield EntryKey(kind, names[index])

    def _remember(self, operation: str, result: Result) -> None:
        self._results[operation] = result
        if len(self._results) > MAX_REMEMBERED_RESULTS:
            self._results.popitem(last=False)


def _changes_kind(before: Entry, after: Entry) -> bool:
    if not isinstance(before, Service) or not isinstance(after, Service):
        return False
    return before.kind is not after.kind


def _conflict(number: int, key: EntryKey, current: int, expected: int) -> Result:
    message = f"{key.kind} {key.name} is at version {current}, not {expected}"
    return Result(number, Verdict.CONFLICT, current, message)
