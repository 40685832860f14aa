"""An instance's copy of the configuration, kept up to date from the change log.

Changes arrive from a watch, from listings and from peers' notices, repeated and out of order. The
replica applies them in order, buffers those that arrive early and ignores those that it has already
applied, so it never goes back.

The platform's store can go back when it is restored from an old backup. Then the change with the
number last applied here is gone or is a different one. The replica stays as it is and applies
nothing more, because the changes that follow belong to another history. No change may be appended
through it either.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec

from wigeonarch_core.catalogue import Catalogue
from wigeonarch_core.changelog import Change, Result, Snapshot

# Bound on the early changes that are buffered; those beyond it come again with the next read of the
# log.
MAX_EARLY_CHANGES: Final = 1000


class LogComparison(enum.Enum):
    """Result of comparing the platform's change log with the replica."""

    SAME = "same"  # The log contains the last change applied here.
    TRIMMED = "trimmed"  # The log begins after it; a snapshot must be read.
    ROLLED_BACK = "went_back"  # The log ends before it, or has a different change at its number.


class LogPosition(msgspec.Struct, frozen=True):
    """How far a replica was when a read of the log began.

    A watch may bring more changes while the log is being read. The read must not be compared with
    these, or a log that only grew would look as if it had gone back.

    Attributes:
        applied: Number of the last applied change; 0 before the first.
        last: Operation id of that change.
    """

    applied: int
    last: str


def position_of(catalogue: Catalogue) -> LogPosition:
    """Returns how far a catalogue is now."""
    return LogPosition(catalogue.applied, catalogue.last)


def compare_log(
    position: LogPosition, first: tuple[int, Change] | None, snapshot: int
) -> LogComparison:
    """Compares the log with the replica.

    Args:
        position: How far the replica was when the read began.
        first: First change of the log with a number of at least `position.applied`; None if there
            is none.
        snapshot: Number of the newest snapshot; 0 if there is none.
    """
    applied = position.applied
    if first is not None and first[0] == applied:
        return (
            LogComparison.SAME if first[1].operation == position.last else LogComparison.ROLLED_BACK
        )
    if applied == 0 and (first is None or first[0] == 1) and snapshot == 0:
        return LogComparison.SAME
    return LogComparison.TRIMMED if snapshot > applied else LogComparison.ROLLED_BACK


class Replica:
    """The local copy of the configuration.

    Attributes:
        catalogue: The applied state.
        has_configuration: Whether a configuration has been read from the platform or a zone peer.
        caught_up_at: Monotonic time at which the last complete read of the log began; None before.
        last_attempt: Monotonic time at which the last finished attempt to read it began, successful
            or not; None before.
        rolled_back: Whether the log was found to have gone back.
    """

    __slots__ = (
        "_early_changes",
        "catalogue",
        "caught_up_at",
        "has_configuration",
        "last_attempt",
        "rolled_back",
    )

    def __init__(self) -> None:
        self.catalogue = Catalogue()
        self.has_configuration = False
        self.caught_up_at: float | None = None
        self.last_attempt: float | None = None
        self.rolled_back = False
        self._early_changes: dict[int, Change] = {}

    @property
    def has_gap(self) -> bool:
        """Whether there are early changes that can't be applied yet."""
        return bool(self._early_changes)

    def add(self, number: int, change: Change) -> list[Result]:
        """Adds a change of the log; returns the results of all changes that could be applied."""
        if self.rolled_back or number <= self.catalogue.applied:
            return []
        if len(self._early_changes) < MAX_EARLY_CHANGES or number == self.catalogue.applied + 1:
            self._early_changes[number] = change
        return self._apply_early_changes()

    def restore(self, snapshot: Snapshot) -> bool:
        """Replaces the state by a snapshot; returns False if it is not newer."""
        if self.rolled_back or not self.catalogue.restore(snapshot):
            return False
        applied = self.catalogue.applied
        self._early_changes = {
            n: change for n, change in self._early_changes.items() if n > applied
        }
        self._apply_early_changes()
        return True

    def record_comparison(self, comparison: LogComparison) -> bool:
        """Records how the log compares; returns whether `rolled_back` has changed."""
        before = self.rolled_back
        self.rolled_back = comparison is LogComparison.ROLLED_BACK
        return before != self.rolled_back

    def record_read(self, began: float, whole: bool) -> None:
        """Records the end of an attempt to read the log that began at `began`.

        Args:
            began: Monotonic time, in seconds.
            whole: Whether the log was read to its end.
        """
        self.last_attempt = began
        if whole:
            self.caught_up_at = began
            self.has_configuration = True

    def _apply_early_changes(self) -> list[Result]:
        results = []
        while (number := self.catalogue.applied + 1) in self._early_changes:
            results.append(self.catalogue.apply(number, self._early_changes.pop(number)))
        return results
