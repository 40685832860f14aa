"""An instance's copy of the configuration: takes elements of the log from wherever they come.

Elements arrive by watch, by listing, by peers' notices, doubled and out of order. The copy applies
them in order, keeps those that are early, ignores those that it has, and so never goes back.

The platform's store can go back, when it is restored from an old backup. Then the element with the
number last applied here is gone, or is another one. The copy stays as it is and applies nothing
more, since what would follow belongs to another history; and no change may be appended through it.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec

from wigeonarch_core.catalogue import Catalogue
from wigeonarch_core.changelog import Change, Result, Snapshot

# Early elements that are kept; a reading of the log brings the others again.
MAX_EARLY_CHANGES: Final = 1000


class LogComparison(enum.Enum):
    """How the log in the platform compares with the copy."""

    SAME = "same"  # It holds the last change applied here.
    TRIMMED = "trimmed"  # It begins later: a snapshot is to be read.
    ROLLED_BACK = "went_back"  # It ends earlier, or holds another change in that place.


class LogPosition(msgspec.Struct, frozen=True):
    """How far a copy was when a reading of the log began.

    A watch may bring more while the log is being read; what was read is not to be compared with
    that, or a log that only grew would look as if it had gone back.

    Attributes:
        applied: Number of the last change in force; 0 before the first.
        last: Operation id of that change.
    """

    applied: int
    last: str


def position_of(catalogue: Catalogue) -> LogPosition:
    """Returns how far a copy is now."""
    return LogPosition(catalogue.applied, catalogue.last)


def compare_log(
    position: LogPosition, first: tuple[int, Change] | None, snapshot: int
) -> LogComparison:
    """Compares the log with the copy.

    Args:
        mark: How far the copy was when the reading began.
        first: First element of the log with a number of at least `mark.applied`.
        snapshot: Number of the newest snapshot; 0 without one.
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
    """The copy.

    Attributes:
        catalogue: The state in force.
        informed: Whether a configuration has been read from the platform or a zone peer.
        caught_up: Monotonic time at which the last whole reading of the log began; None before.
        tried: The same of the last try that has ended, well or not; None before.
        went_back: Whether the log was found to have gone back.
    """

    __slots__ = (
        "_waiting",
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
        self._waiting: dict[int, Change] = {}

    @property
    def has_gap(self) -> bool:
        """Whether elements are kept that cannot be applied yet."""
        return bool(self._waiting)

    def add(self, number: int, change: Change) -> list[Result]:
        """Takes an element of the log; returns the verdicts on all that could be applied."""
        if self.rolled_back or number <= self.catalogue.applied:
            return []
        if len(self._waiting) < MAX_EARLY_CHANGES or number == self.catalogue.applied + 1:
            self._waiting[number] = change
        return self._apply_waiting()

    def restore(self, snapshot: Snapshot) -> bool:
        """Takes over a newer snapshot."""
        if self.rolled_back or not self.catalogue.restore(snapshot):
            return False
        applied = self.catalogue.applied
        self._waiting = {n: change for n, change in self._waiting.items() if n > applied}
        self._apply_waiting()
        return True

    def record_comparison(self, tail: LogComparison) -> bool:
        """Notes how the log compares; tells whether that is news for the operator."""
        was = self.rolled_back
        self.rolled_back = tail is LogComparison.ROLLED_BACK
        return was != self.rolled_back

    def record_read(self, began: float, whole: bool) -> None:
        """Notes that a try to read the log to its end, begun at `began`, has ended."""
        self.last_attempt = began
        if whole:
            self.caught_up_at = began
            self.has_configuration = True

    def _apply_waiting(self) -> list[Result]:
        results = []
        while (number := self.catalogue.applied + 1) in self._waiting:
            results.append(self.catalogue.apply(number, self._waiting.pop(number)))
        return results
