"""What was decided about recent requests, for `explain` and `lookup`; bounded, in memory."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from wigeonarch_core.outcomes import Outcome
from wigeonarch_runtime.clock import monotonic


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision, `at` seconds after receipt."""

    at: float
    step: str
    reason: str
    detail: str


@dataclass(slots=True)
class Entry:
    """All that is remembered of one request."""

    received: float
    decisions: list[Decision] = field(default_factory=list)
    outcome: Outcome | None = None


class Journal:
    """The last requests of this instance."""

    __slots__ = ("_entries", "_max_requests")

    def __init__(self, bound: int) -> None:
        self._max_requests = bound
        self._entries: OrderedDict[str, Entry] = OrderedDict()

    def open(self, request: str, received: float) -> None:
        """Begins to remember a request; the oldest one is forgotten if there are too many."""
        self._entries[request] = Entry(received)
        if len(self._entries) > self._max_requests:
            self._entries.popitem(last=False)

    def note(self, request: str, step: str, reason: str = "", detail: str = "") -> None:
        """Remembers a decision."""
        entry = self._entries.get(request)
        if entry is not None:
            at = monotonic() - entry.received
            entry.decisions.append(Decision(at, step, reason, detail))

    def set_outcome(self, request: str, outcome: Outcome) -> None:
        """Remembers how a request ended."""
        entry = self._entries.get(request)
        if entry is not None:
            entry.outcome = outcome

    def get(self, request: str) -> Entry | None:
        """Returns what is remembered of a request."""
        return self._entries.get(request)
