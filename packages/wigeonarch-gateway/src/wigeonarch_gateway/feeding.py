"""One kind of stored objects as one instance knows it, and what it can tell others of it.

Changes come from the instance's own watch and from peers that watch the store for it, in any mix,
twice or late. They are safe to mix, as each object has the store's revision of its last change: a
change that is not newer than the state is dropped, and so is a removal of an object that was made
anew since. What came lately is kept in order, so a peer that has the state of an earlier revision
can be brought to this one; one that lacks more must ask the store.

Revisions bear the store's era (see `core.revisions`). A list of the next era differs in all of its
revisions, so each object counts as changed, whatever its number was before.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from typing import Final

from wigeonarch_gateway.ports import Change, StoredObject

# Changes that are kept for peers. A peer asks about each second, in which a deployment of 70
# engines with 40 loads a second has 80 changes.
MAX_RETAINED_CHANGES: Final = 400


class ChangeFeed:
    """What is known of one kind.

    Attributes:
        as_of: Revision of the state; None before the first list.
    """

    __slots__ = ("_floor", "_retained", "_revisions", "as_of")

    def __init__(self) -> None:
        """Knows nothing."""
        self.as_of: int | None = None
        self._revisions: dict[str, int] = {}
        self._retained: deque[tuple[int, Change]] = deque()
        self._floor = 0

    def apply_list(self, objects: Sequence[StoredObject], as_of: int) -> list[Change] | None:
        """Takes over a whole list.

        Returns:
            What differs from the state before, none of it at the first list; None when the list
            does not count, as it is older than the state.
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
        """Returns the changes that lead from the state to a list; peers need no list then."""
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
        """Takes over what changed from one revision to another.

        Returns:
            The changes that are news, in order; None when changes before them are missing.
        """
        if self.as_of is None or since > self.as_of:
            return None
        fresh = [change for change in changes if self._apply_change(change)]
        self.as_of = max(self.as_of, as_of)
        return fresh

    def retain(self, changes: Iterable[Change]) -> None:
        """Keeps changes that were just taken over, for peers that lack them."""
        assert self.as_of is not None
        for change in changes:
            self._retained.append((self.as_of, change))
        while len(self._retained) > MAX_RETAINED_CHANGES:
            self._floor = self._retained.popleft()[0]

    def retained_up_to(self) -> int:
        """Returns the revision of the last change kept: who has it lacks none of them."""
        return self._retained[-1][0] if self._retained else self._floor

    def changes_after(self, revision: int) -> list[Change] | None:
        """Returns what changed after a revision; None when that is not known any more."""
        if self.as_of is None or revision < self._floor:
            return None
        return [change for as_of, change in self._retained if as_of > revision]

    def _apply_change(self, change: Change) -> bool:
        """Notes a change; returns whether it is news."""
        assert self.as_of is not None
        name, revision = change.stored.name, change.stored.revision
        known = self._revisions.get(name)
        if change.deleted:
            # Not so if it was made anew since; a state as of later has no object to remove.
            if known is None or known > revision:
                return False
            del self._revisions[name]
            return True
        if revision <= max(known or 0, self.as_of):
            return False
        self._revisions[name] = revision
        return True
