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
    CRASHES_TO_QUARANTINE,
    CRASHES_TO_STORE,
    MAX_STORED,
    Crash,
    FatalRequests,
    RequestCrashes,
    crash_id,
)
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.messages import CrashReport, Message
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.pools import ProbeResult
from wigeonarch_gateway.ports import EndpointRecord

# Seconds for which losses are gathered into one message: an endpoint that ends takes many at once.
BATCH_DELAY: Final = 0.02
MAX_PER_MESSAGE: Final = 200  # Requests in one message, so that it fits into a datagram.
# Seconds for which a run without an end is kept in mind: an entry lapses within four.
ABANDONED_RUN_TTL: Final = 10.0
MAX_ABANDONED_RUNS: Final = 1000  # Such runs that are kept for one endpoint.
# Seconds after the start in which what the store says is no news to others: all read it then.
STARTUP_PERIOD: Final = 5.0

# Keys of requests, and the ends under each, as messages and leases have them.
CrashesByContent = list[tuple[str, list[str]]]


class _AbandonedRun(msgspec.Struct, frozen=True):
    """A run that was given up at a time; what it was, and where and when it was sent."""

    content_key: str
    crash_id: str
    dispatched_at: float
    abandoned_at: float


class SuspectRequests:
    """The requests under which endpoints ended."""

    __slots__ = (
        "_abandoned",
        "_batch_timer",
        "_checks",
        "_fatal_requests",
        "_instance",
        "_metrics",
        "_on_crashes_to_store",
        "_probe",
        "_send_all",
        "_started",
        "_unsent",
        "_unsent_cleared",
    )

    def __init__(
        self,
        me: str,
        send_all: Callable[[Message], None],
        on_notable: Callable[[], None],
        reach: Callable[[EndpointRecord], Awaitable[ProbeResult]],
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
        self._instance = me
        self._send_all = send_all
        self._on_crashes_to_store = on_notable
        self._probe = reach
        self._metrics = metrics
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._fatal_requests = FatalRequests()
        self._unsent: list[Crash] = []
        self._unsent_cleared: list[RequestCrashes] = []
        self._batch_timer: asyncio.TimerHandle | None = None
        self._abandoned: defaultdict[str, deque[_AbandonedRun]] = defaultdict(deque)
        self._started = monotonic()

    def quarantine_left(self, content: str) -> float:
        """Returns the seconds for which a request is held back; 0 when it may be sent."""
        return self._fatal_requests.quarantine_left(content, monotonic())

    def crash_count(self, content: str) -> int:
        """Returns how many endpoints ended under a request."""
        return self._fatal_requests.crash_count(content)

    # What the runs of this instance show.

    def record_connection_lost(self, content: str, record: EndpointRecord, sent: float) -> None:
        """Notes that the connection of a run was lost: its endpoint may have ended under it.

        Args:
            content: Key of the request's content.
            record: The endpoint.
            sent: Time at which the request was sent.
        """
        self.record_abandoned(content, record, sent)
        if record.endpoint not in self._checks:
            check = asyncio.create_task(self._probe_after_loss(record))
            self._checks[record.endpoint] = check
            check.add_done_callback(lambda task: self._checks.pop(record.endpoint, None))

    async def _probe_after_loss(self, record: EndpointRecord) -> None:
        """Looks whether an endpoint lives, which decides on all runs that were lost by then."""
        reach = await self._probe(record)
        if reach is ProbeResult.REFUSED:
            self.endpoint_ended(record.endpoint)
        elif reach is ProbeResult.OPEN:
            self._abandoned.pop(record.endpoint, None)

    def record_abandoned(self, content: str, record: EndpointRecord, sent: float) -> None:
        """Notes a run that was given up while nothing was known of its end."""
        runs = self._abandoned[record.endpoint]
        runs.append(
            _AbandonedRun(content, crash_id(record.endpoint, record.born), sent, monotonic())
        )
        if len(runs) > MAX_ABANDONED_RUNS:
            runs.popleft()

    def record_answered(self, content: str) -> None:
        """Notes a run to its end, which clears the request."""
        ends = self._fatal_requests.record_completion(content)
        if ends is None:
            return
        log("suspect_cleared", content=content, ends=len(ends.crash_ids))
        self._unsent_cleared.append(ends)
        self._schedule_batch()

    def endpoint_ended(self, endpoint: str) -> None:
        """Notes that an endpoint is gone, started again, or does not listen any more."""
        now = monotonic()
        for run in self._abandoned.pop(endpoint, ()):
            if run.abandoned_at >= now - ABANDONED_RUN_TTL:
                self._record_own_crash(
                    Crash(run.content_key, run.crash_id, now - run.dispatched_at)
                )

    def expire(self) -> None:
        """Forgets what is old."""
        now = monotonic()
        self._fatal_requests.expire(now)
        for endpoint, runs in list(self._abandoned.items()):
            while runs and runs[0].abandoned_at < now - ABANDONED_RUN_TTL:
                runs.popleft()
            if not runs:
                del self._abandoned[endpoint]

    def _record_own_crash(self, end: Crash) -> None:
        """Takes over an end that this instance saw, and tells the others."""
        if not self._record_crash(end):
            return
        self._unsent.append(end)
        self._schedule_batch()
        if self._fatal_requests.crash_count(end.content_key) >= CRASHES_TO_STORE:
            self._on_crashes_to_store()

    def _record_crash(self, end: Crash) -> bool:
        before = self._fatal_requests.crash_count(end.content_key)
        if not self._fatal_requests.record_crash(end, monotonic()):
            return False
        self._log_if_quarantined(end.content_key, before, end.crash_id)
        return True

    def _adopt_crashes(self, found: RequestCrashes) -> bool:
        before = self._fatal_requests.crash_count(found.content_key)
        if not self._fatal_requests.adopt(found, monotonic()):
            return False
        self._log_if_quarantined(found.content_key, before, "")
        return True

    def _log_if_quarantined(self, content: str, before: int, last: str) -> None:
        """Logs a request that is held back from now on."""
        ends = self._fatal_requests.crash_count(content)
        if before < CRASHES_TO_QUARANTINE <= ends:
            held = self.quarantine_left(content)
            log("quarantined", "WARNING", content=content, ends=ends, last=last, held=held)
            self._metrics.quarantined.inc()

    def _schedule_batch(self) -> None:
        if self._batch_timer is None:
            self._batch_timer = asyncio.get_running_loop().call_later(BATCH_DELAY, self._send_batch)

    def _send_batch(self) -> None:
        self._batch_timer = None
        ends, self._unsent = self._unsent, []
        cleared, self._unsent_cleared = self._unsent_cleared, []
        for start in range(0, max(len(ends), len(cleared)), MAX_PER_MESSAGE):
            part = slice(start, start + MAX_PER_MESSAGE)
            seen = [(end.content_key, end.crash_id, int(end.age * 1000)) for end in ends[part]]
            self._send_all(CrashReport(self._instance, seen, _to_wire(cleared[part]), []))

    # What others tell, and what is told to those that start.

    def receive_report(self, message: CrashReport) -> None:
        """Takes over what another instance saw."""
        for content, endpoint, age in message.crashes:
            self._record_crash(Crash(content, endpoint, age / 1000))
        for found in _from_wire(message.counted):
            self._adopt_crashes(found)
        for found in _from_wire(message.cleared):
            self._fatal_requests.apply_clearance(found)

    def known_crashes(self) -> CrashReport:
        """Returns what an instance that just started should know."""
        return CrashReport(
            self._instance, [], [], _to_wire(self._fatal_requests.most_crashes(1, MAX_PER_MESSAGE))
        )

    def crashes_to_store(self) -> CrashesByContent:
        """Returns what belongs into the store."""
        return _to_wire(self._fatal_requests.most_crashes(CRASHES_TO_STORE, MAX_STORED))

    def adopt_stored_crashes(self, notable: CrashesByContent) -> None:
        """Takes over what a lease in the store says; the others hear of what is news."""
        is_young = monotonic() - self._started < STARTUP_PERIOD
        for found in _from_wire(notable):
            if self._adopt_crashes(found) and not is_young:
                self._send_all(CrashReport(self._instance, [], [], _to_wire([found])))


def _to_wire(ends: Sequence[RequestCrashes]) -> CrashesByContent:
    return [(found.content_key, sorted(found.crash_ids)) for found in ends]


def _from_wire(ends: CrashesByContent) -> list[RequestCrashes]:
    return [RequestCrashes(content, frozenset(endpoints)) for content, endpoints in ends]
