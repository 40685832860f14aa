"""Requests under which endpoints ended, as this instance and the others saw it.

An instance that loses a run looks whether anything still listens at the endpoint's address, and if
not, tells all others at once which request it was and where it ran, some losses in one message. A
connection that broke while the endpoint lives on says nothing of the request. Where that is not
known, or the run was given up, as its caller left or the endpoint fell silent, it counts when the
endpoint is found to be gone or to have started again.

What was seen more than once goes into the instance's lease too: an instance that is cut off from
the others, and all that start anew, read it there. So nothing more is asked of the store than a
lease that is renewed at once.

An end counts once for each endpoint, and a whole answer clears a request of all (see
`core.fatal_requests`).
"""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Awaitable, Callable, Sequence
from typing import Final

import msgspec
from wigeonarch_core.fatal_requests import (
    ENDS_MOST,
    ENDS_NOTABLE,
    NOTABLE_MOST,
    End,
    Ends,
    FatalRequests,
    end_of,
)
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.messages import EndsTold, Message
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.pools import Reach
from wigeonarch_gateway.ports import EndpointRecord

# Seconds for which losses are gathered into one message: an endpoint that ends takes many at once.
GATHER: Final = 0.02
TOLD_AT_ONCE: Final = 200  # Requests in one message, so that it fits into a datagram.
# Seconds for which a run without an end is kept in mind: an entry lapses within four.
LINGERS: Final = 10.0
LINGERING_MOST: Final = 1000  # Such runs that are kept for one endpoint.
# Seconds after the start in which what the store says is no news to others: all read it then.
YOUNG: Final = 5.0

# Keys of requests, and the ends under each, as messages and leases have them.
EndsByContent = list[tuple[str, list[str]]]


class _Run(msgspec.Struct, frozen=True):
    """A run that was given up at a time; what it was, and where and when it was sent."""

    content: str
    end: str
    sent: float
    at: float


class Suspects:
    """The requests under which endpoints ended."""

    __slots__ = (
        "_checks",
        "_cleared",
        "_gathered",
        "_gathering",
        "_lingering",
        "_me",
        "_metrics",
        "_on_notable",
        "_reach",
        "_requests",
        "_send_all",
        "_started",
    )

    def __init__(
        self,
        me: str,
        send_all: Callable[[Message], None],
        on_notable: Callable[[], None],
        reach: Callable[[EndpointRecord], Awaitable[Reach]],
        metrics: Metrics,
    ) -> None:
        """Knows none.

        Args:
            me: Name of this instance.
            send_all: Sends a message to all instances.
            on_notable: Called when `notable` has something that the store should have at once.
            reach: Tells whether anything listens at an endpoint's address.
            metrics: Counters.
        """
        self._me = me
        self._send_all = send_all
        self._on_notable = on_notable
        self._reach = reach
        self._metrics = metrics
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._requests = FatalRequests()
        self._gathered: list[End] = []
        self._cleared: list[Ends] = []
        self._gathering: asyncio.TimerHandle | None = None
        self._lingering: defaultdict[str, deque[_Run]] = defaultdict(deque)
        self._started = monotonic()

    def held_for(self, content: str) -> float:
        """Returns the seconds for which a request is held back; 0 when it may be sent."""
        return self._requests.held_for(content, monotonic())

    def ends(self, content: str) -> int:
        """Returns how many endpoints ended under a request."""
        return self._requests.ends(content)

    # What the runs of this instance show.

    def lost(self, content: str, record: EndpointRecord, sent: float) -> None:
        """Notes that the connection of a run was lost: its endpoint may have ended under it.

        Args:
            content: Key of the request's content.
            record: The endpoint.
            sent: Time at which the request was sent.
        """
        self.unanswered(content, record, sent)
        if record.endpoint not in self._checks:
            check = asyncio.create_task(self._check(record))
            self._checks[record.endpoint] = check
            check.add_done_callback(lambda task: self._checks.pop(record.endpoint, None))

    async def _check(self, record: EndpointRecord) -> None:
        """Looks whether an endpoint lives, which decides on all runs that were lost by then."""
        reach = await self._reach(record)
        if reach is Reach.REFUSED:
            self.endpoint_ended(record.endpoint)
        elif reach is Reach.OPEN:
            self._lingering.pop(record.endpoint, None)

    def unanswered(self, content: str, record: EndpointRecord, sent: float) -> None:
        """Notes a run that was given up while nothing was known of its end."""
        runs = self._lingering[record.endpoint]
        runs.append(_Run(content, end_of(record.endpoint, record.born), sent, monotonic()))
        if len(runs) > LINGERING_MOST:
            runs.popleft()

    def answered(self, content: str) -> None:
        """Notes a run to its end, which clears the request."""
        ends = self._requests.ran_whole(content)
        if ends is None:
            return
        log("suspect_cleared", content=content, ends=len(ends.endpoints))
        self._cleared.append(ends)
        self._gather()

    def endpoint_ended(self, endpoint: str) -> None:
        """Notes that an endpoint is gone, started again, or does not listen any more."""
        now = monotonic()
        for run in self._lingering.pop(endpoint, ()):
            if run.at >= now - LINGERS:
                self._saw(End(run.content, run.end, now - run.sent))

    def tick(self) -> None:
        """Forgets what is old."""
        now = monotonic()
        self._requests.forget_old(now)
        for endpoint, runs in list(self._lingering.items()):
            while runs and runs[0].at < now - LINGERS:
                runs.popleft()
            if not runs:
                del self._lingering[endpoint]

    def _saw(self, end: End) -> None:
        """Takes over an end that this instance saw, and tells the others."""
        if not self._note_end(end):
            return
        self._gathered.append(end)
        self._gather()
        if self._requests.ends(end.content) >= ENDS_NOTABLE:
            self._on_notable()

    def _note_end(self, end: End) -> bool:
        before = self._requests.ends(end.content)
        if not self._requests.ended(end, monotonic()):
            return False
        self._note_more(end.content, before, end.endpoint)
        return True

    def _adopt(self, found: Ends) -> bool:
        before = self._requests.ends(found.content)
        if not self._requests.adopt(found, monotonic()):
            return False
        self._note_more(found.content, before, "")
        return True

    def _note_more(self, content: str, before: int, last: str) -> None:
        """Logs a request that is held back from now on."""
        ends = self._requests.ends(content)
        if before < ENDS_MOST <= ends:
            held = self.held_for(content)
            log("quarantined", "WARNING", content=content, ends=ends, last=last, held=held)
            self._metrics.quarantined.inc()

    def _gather(self) -> None:
        if self._gathering is None:
            self._gathering = asyncio.get_running_loop().call_later(GATHER, self._tell)

    def _tell(self) -> None:
        self._gathering = None
        ends, self._gathered = self._gathered, []
        cleared, self._cleared = self._cleared, []
        for start in range(0, max(len(ends), len(cleared)), TOLD_AT_ONCE):
            part = slice(start, start + TOLD_AT_ONCE)
            seen = [(end.content, end.endpoint, int(end.age * 1000)) for end in ends[part]]
            self._send_all(EndsTold(self._me, seen, _to_wire(cleared[part]), []))

    # What others tell, and what is told to those that start.

    def told(self, message: EndsTold) -> None:
        """Takes over what another instance saw."""
        for content, endpoint, age in message.ends:
            self._note_end(End(content, endpoint, age / 1000))
        for found in _from_wire(message.counted):
            self._adopt(found)
        for found in _from_wire(message.cleared):
            self._requests.cleared(found)

    def known(self) -> EndsTold:
        """Returns what an instance that just started should know."""
        return EndsTold(self._me, [], [], _to_wire(self._requests.known(1, TOLD_AT_ONCE)))

    def notable(self) -> EndsByContent:
        """Returns what belongs into the store."""
        return _to_wire(self._requests.known(ENDS_NOTABLE, NOTABLE_MOST))

    def read(self, notable: EndsByContent) -> None:
        """Takes over what a lease in the store says; the others hear of what is news."""
        is_young = monotonic() - self._started < YOUNG
        for found in _from_wire(notable):
            if self._adopt(found) and not is_young:
                self._send_all(EndsTold(self._me, [], [], _to_wire([found])))


def _to_wire(ends: Sequence[Ends]) -> EndsByContent:
    return [(found.content, sorted(found.endpoints)) for found in ends]


def _from_wire(ends: EndsByContent) -> list[Ends]:
    return [Ends(content, frozenset(endpoints)) for content, endpoints in ends]
