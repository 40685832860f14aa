"""In-memory journal of the decisions on recent requests, read by `explain` and `lookup`."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from wigeonarch_core.outcomes import Outcome
from wigeonarch_runtime.clock import monotonic


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision on a request, made `at` seconds after its receipt."""

    at: float
    step: str
    reason: str
    detail: str


@dataclass(slots=True)
class Entry:
    """The journal's entry for one request.

    Attributes:
        received: Monotonic time of receipt, in seconds.
        decisions: Decisions in the order in which they were made.
        outcome: None while the request is in progress.
    """

    received: float
    decisions: list[Decision] = field(default_factory=list)
    outcome: Outcome | None = None


class Journal:
    """Decisions and outcomes of the most recent requests of this instance."""

    __slots__ = ("_entries", "_max_requests")

    def __init__(self, max_requests: int) -> None:
        self._max_requests = max_requests
        self._entries: OrderedDict[str, Entry] = OrderedDict()

    def open(self, request: str, received: float) -> None:
        """Adds an entry for a request; drops the oldest entry if the journal is full."""
        self._entries[request] = Entry(received)
        if len(self._entries) > self._max_requests:
            self._entries.popitem(last=False)

    def note(self, request: str, step: str, reason: str = "", detail: str = "") -> None:
        """Adds a decision; does nothing if the request's entry has been dropped."""
        entry = self._entries.get(request)
        if entry is not None:
            at = monotonic() - entry.received
            entry.decisions.append(Decision(at, step, reason, detail))

    def set_outcome(self, request: str, outcome: Outcome) -> None:
        """Stores how a request ended."""
        entry = self._entries.get(request)
        if entry is not None:
            entry.outcome = outcome

    def get(self, request: str) -> Entry | None:
        """Returns the entry of a request; None if there is none any more."""
        return self._entries.get(request)
