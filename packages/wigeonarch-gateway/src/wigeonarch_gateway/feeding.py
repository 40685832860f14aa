"""Tracks the revisions of one kind of stored objects, and retains recent changes for followers.

Changes come from the instance's own watch and from peers that watch the store for it, in any order,
late or more than once. This is safe because each object carries the store's revision of its last
change: a change that is not newer than the object is dropped, and so is the removal of an object
that has been created again since. Recent changes are retained in order, so a peer whose state is
that of an earlier revision can be brought up to date; one that lacks older changes must read the
store.

Revisions include the store's era (see `core.revisions`). In a list of the next era all revisions
differ, so each object counts as changed, whatever its number was before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Final

from wigeonarch_gateway.ports import Change, StoredObject

# Number of changes that are retained for peers. A peer asks about once a second, and a deployment
# of 70 engines with 40 loads per second has 80 changes in that time.
MAX_RETAINED_CHANGES: Final = 400


class ChangeFeed:
    """The revisions of all objects of one kind, and its recent changes.

    Attributes:
        as_of: Revision of the state; None before the first list.
    """

    __slots__ = ("_floor", "_retained", "_revisions", "as_of")

    def __init__(self) -> None:
        """Creates a feed that has no state yet."""
        self.as_of: int | None = None
        self._revisions: dict[str, int] = {}
        self._retained: deque[tuple[int, Change]] = deque()
        self._floor = 0

    def apply_list(self, objects: Sequence[StoredObject], as_of: int) -> list[Change] | None:
        """Replaces the state by a list of all objects.

        Returns:
            The changes from the state before; none for the first list. None if the list was ignored
            because it is older than the state.
        """
        before = self.as_of
        if before is not None and as_of < before:
            return None
        changes = self._differences(objects, as_of) if before is not None else []
        self._revisions = {found.name: found.revision for found in objects}
        self.as_of = as_of
        if before is None:
            self._floor = as_of
        return changes

    def _differences(self, objects: Sequence[StoredObject], as_of: int) -> list[Change]:
        """Returns the changes from the state to a list, so that peers need no list."""
        left = self._revisions.keys() - {found.name for found in objects}
        removed = [Change(StoredObject(name, as_of, None), True) for name in sorted(left)]
        put = [
            Change(found, False)
            for found in objects
            if found.revision > self._revisions.get(found.name, 0)
        ]
        return removed + put

    def apply_changes(
        self, changes: Sequence[Change], since: int, as_of: int
    ) -> list[Change] | None:
        """Applies the changes between two revisions.

        Returns:
            The changes that are new, in order; None if changes before `since` are missing.
        """
        if self.as_of is None or since > self.as_of:
            return None
        fresh = [change for change in changes if self._apply_change(change)]
        self.as_of = max(self.as_of, as_of)
        return fresh

    def retain(self, changes: Iterable[Change]) -> None:
        """Retains changes that were just applied, for peers that lack them."""
        assert self.as_of is not None
        for change in changes:
            self._retained.append((self.as_of, change))
        while len(self._retained) > MAX_RETAINED_CHANGES:
            self._floor = self._retained.popleft()[0]

    def retained_up_to(self) -> int:
        """Returns the revision of the last retained change; a peer that has it lacks none."""
        return self._retained[-1][0] if self._retained else self._floor

    def changes_after(self, revision: int) -> list[Change] | None:
        """Returns the changes after a revision; None if they are no longer retained."""
        if self.as_of is None or revision < self._floor:
            return None
        return [change for as_of, change in self._retained if as_of > revision]

    def _apply_change(self, change: Change) -> bool:
        """Applies a change; returns whether it was new."""
        assert self.as_of is not None
        name, revision = change.stored.name, change.stored.revision
        known = self._revisions.get(name)
        if change.deleted:
            # The object was created again since, or the state already lacks it.
            if known is None or known > revision:
                return False
            del self._revisions[name]
            return True
        # An object that the state lacks may have been removed since. One that it has is compared by
        # its own revision, so that a change that an earlier answer lacked still counts.
        if revision <= (self.as_of if known is None else known):
            return False
        self._revisions[name] = revision
        return True
