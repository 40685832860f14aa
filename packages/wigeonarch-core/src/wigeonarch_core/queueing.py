"""Queue of one engine: fair between callers, ordered by priority, limited by deadlines.

Grant requests wait in one heap per adapter version, so those whose adapter is loaded can be taken
without looking at the others. Start-time fair queueing shares the engine among callers: each
request gets its caller's virtual start time, which advances by the tokens of the caller's requests.
So a caller with many requests falls behind one with few.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TypeVar

from wigeonarch_core.messages import GrantRequest
from wigeonarch_core.refs import AdapterVersion

Key = TypeVar("Key", str, AdapterVersion)


@dataclass(slots=True)
class Waiting:
    """A grant request in the queue.

    Attributes:
        request: The grant request.
        since: Time at which it arrived, in seconds.
        deadline: Time by which it must be answered, in seconds.
        virtual_start: Its caller's virtual time when it arrived.
        lacked_adapter: Whether its adapter version was not loaded when it arrived.
        removed: Whether it has left the queue.
    """

    request: GrantRequest
    since: float
    deadline: float
    virtual_start: float
    lacked_adapter: bool
    removed: bool = False


Rank = tuple[int, float, int]
_Entry = tuple[Rank, Waiting]


class FairQueue:
    """Grant requests that wait for one engine."""

    __slots__ = (
        "_by_id",
        "_by_target",
        "_callers",
        "_expiries",
        "_sequence",
        "_targets",
        "_virtual_finish",
        "_virtual_time",
    )

    def __init__(self) -> None:
        self._by_id: dict[str, Waiting] = {}
        self._by_target: dict[AdapterVersion, list[_Entry]] = {}
        self._expiries: list[tuple[float, int, Waiting]] = []
        self._callers: Counter[str] = Counter()
        self._targets: Counter[AdapterVersion] = Counter()
        self._virtual_finish: dict[str, float] = {}
        self._virtual_time = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, dispatch_id: str) -> bool:
        return dispatch_id in self._by_id

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._by_id.values()))

    def count_by_caller(self, caller: str) -> int:
        """Returns how many requests of a caller wait."""
        return self._callers[caller]

    def count_by_target(self, target: AdapterVersion) -> int:
        """Returns how many requests for an adapter version wait."""
        return self._targets[target]

    def targets(self) -> list[AdapterVersion]:
        """Returns the adapter versions that requests wait for."""
        return list(self._targets)

    def waiting_for(self, target: AdapterVersion) -> list[Waiting]:
        """Returns the requests that wait for an adapter version, in no particular order."""
        return [waiting for _, waiting in self._by_target.get(target, ()) if not waiting.removed]

    def enqueue(self, request: GrantRequest, now: float, lacks_adapter: bool) -> Waiting:
        """Adds a request."""
        start = max(self._virtual_time, self._virtual_finish.get(request.caller, 0.0))
        self._virtual_finish[request.caller] = start + max(1, request.tokens)
        waiting = Waiting(request, now, now + request.remaining, start, lacks_adapter)
        self._sequence += 1
        rank = (-request.priority, start, self._sequence)
        self._by_id[request.dispatch_id] = waiting
        heapq.heappush(self._by_target.setdefault(request.target, []), (rank, waiting))
        heapq.heappush(self._expiries, (waiting.deadline, self._sequence, waiting))
        self._callers[request.caller] += 1
        self._targets[request.target] += 1
        return waiting

    def remove(self, dispatch_id: str) -> Waiting | None:
        """Removes a request; returns None if it is not in the queue."""
        waiting = self._by_id.pop(dispatch_id, None)
        if waiting is None:
            return None
        waiting.removed = True
        _decrement(self._callers, waiting.request.caller)
        _decrement(self._targets, waiting.request.target)
        if waiting.request.target not in self._targets:
            del self._by_target[waiting.request.target]
        if not self._by_id:
            self._forget_idle()
        return waiting

    def peek(self, targets: Iterable[AdapterVersion]) -> Waiting | None:
        """Returns the request to serve next among those for the given adapter versions."""
        heads = [entry for target in targets if (entry := self._head(target)) is not None]
        return min(heads, key=lambda entry: entry[0])[1] if heads else None

    def remove_granted(self, waiting: Waiting) -> None:
        """Removes a request that is granted, and advances the virtual time."""
        self._virtual_time = max(self._virtual_time, waiting.virtual_start)
        self.remove(waiting.request.dispatch_id)

    def pop_expired(self, now: float) -> list[Waiting]:
        """Removes and returns the requests whose deadline has passed."""
        expired: list[Waiting] = []
        while (due := self.earliest_deadline()) is not None and due <= now:
            waiting = heapq.heappop(self._expiries)[2]
            self.remove(waiting.request.dispatch_id)
            expired.append(waiting)
        return expired

    def earliest_deadline(self) -> float | None:
        """Returns the earliest deadline of a waiting request, in seconds."""
        while self._expiries and self._expiries[0][2].removed:
            heapq.heappop(self._expiries)
        return self._expiries[0][0] if self._expiries else None

    def _head(self, target: AdapterVersion) -> _Entry | None:
        heap = self._by_target.get(target)
        while heap and heap[0][1].removed:
            heapq.heappop(heap)
        return heap[0] if heap else None

    def _forget_idle(self) -> None:
        self._virtual_time = max(
            self._virtual_time, max(self._virtual_finish.values(), default=0.0)
        )
        self._virtual_finish.clear()
        self._expiries.clear()


def _decrement(counts: Counter[Key], key: Key) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
