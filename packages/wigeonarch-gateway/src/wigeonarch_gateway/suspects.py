"""Requests during which endpoints crashed, as seen by this instance and reported by the others.

A run is one dispatch of a request that may have reached its endpoint. When this instance loses the
connection of a run, it checks whether a process still listens at the endpoint's address. If none
does, it reports to all other instances at once which request it was and where it ran; losses that
come together share one message. A connection that broke while the endpoint is still up says nothing
about the request. If the check gives no result, or the run was given up because its caller
disconnected or the endpoint fell silent, the run counts as a crash if the endpoint is soon found to
be gone or restarted.

Requests with more than one crash are also stored in the instance's lease, where instances that are
cut off from the others, and those that start later, read them. This costs the store no more than
one early lease renewal.

Parts of prompts are suspected in the same way, as a request may crash endpoints by a part that it
shares with others (see `suspect_parts`).

A crash counts once for each incarnation of an endpoint, and a complete response clears a request of
all its crashes (see `core.fatal_requests`). An instance that has lost its way to the endpoints
can't tell them from crashed ones. So a crash is retracted as soon as any instance has proof that
the incarnation lives: its answer to a request that was sent after the crash was reported. Where an
endpoint may restart under its id, as those do that state their start time, only a connection that
is older than the report proves that the answer is not the next incarnation's.
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

from wigeonarch_gateway.messages import CrashReport, Message, PartReport
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.pools import ProbeResult
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.suspect_parts import CrashesByPart, SuspectParts

# Seconds for which crashes are collected into one message: an endpoint that crashes ends many runs
# at once.
BATCH_DELAY: Final = 0.02
MAX_PER_MESSAGE: Final = 200  # Requests in one message, so that it fits into a datagram.
# Seconds for which a run with an unknown outcome is remembered. The entry of an endpoint that is
# gone lapses within four seconds.
ABANDONED_RUN_TTL: Final = 10.0
MAX_ABANDONED_RUNS: Final = 1000  # Such runs that are remembered for one endpoint.
# Seconds after the start in which crashes read from the store are not reported to other instances,
# as those read them, too.
STARTUP_PERIOD: Final = 5.0

# Reported crashes whose times are remembered, so that they can be retracted.
MAX_REPORTED_CRASHES: Final = 1000

# Content keys of requests, each with the ids of its crashes, as encoded in messages and leases.
CrashesByContent = list[tuple[str, list[str]]]


class _AbandonedRun(msgspec.Struct, frozen=True):
    """A run that was given up before its outcome was known.

    Attributes:
        content_key: Key of the request's content.
        crash_id: Id of the crash that it counts as if its endpoint is gone: the incarnation.
        dispatched_at: Time at which the request was sent, in seconds.
        abandoned_at: Time at which the run was given up, in seconds.
        parts: Shared parts of its prompt.
        software: Version of the endpoint's software.
        wrote: Whether it had written for long enough to speak for its parts.
    """

    content_key: str
    crash_id: str
    dispatched_at: float
    abandoned_at: float
    parts: tuple[str, ...] = ()
    software: str = ""
    wrote: bool = False


class SuspectRequests:
    """The requests that may have crashed endpoints.

    Attributes:
        parts: The parts of prompts that may have.
    """

    __slots__ = (
        "_abandoned",
        "_batch_timer",
        "_checks",
        "_fatal_requests",
        "_instance",
        "_metrics",
        "_on_crashes_to_store",
        "_probe",
        "_reported_at",
        "_send_all",
        "_started",
        "_unsent",
        "_unsent_cleared",
        "parts",
    )

    def __init__(
        self,
        instance: str,
        send_all: Callable[[Message], None],
        on_crashes_to_store: Callable[[], None],
        probe: Callable[[EndpointRecord], Awaitable[ProbeResult]],
        metrics: Metrics,
    ) -> None:
        """Creates an empty record of crashes.

        Args:
            instance: Name of this instance.
            send_all: Sends a message to all instances.
            on_crashes_to_store: Called when `crashes_to_store` should be stored at once.
            probe: Tells whether a process listens at an endpoint's address.
            metrics: Counters.
        """
        self._instance = instance
        self._send_all = send_all
        self._on_crashes_to_store = on_crashes_to_store
        self._probe = probe
        self._metrics = metrics
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._fatal_requests = FatalRequests()
        self.parts = SuspectParts(self._send_parts, on_crashes_to_store, metrics)
        self._unsent: list[Crash] = []
        self._unsent_cleared: list[RequestCrashes] = []
        self._batch_timer: asyncio.TimerHandle | None = None
        self._abandoned: defaultdict[str, deque[_AbandonedRun]] = defaultdict(deque)
        # Time at which each crash was reported here, by its id, in order.
        self._reported_at: dict[str, float] = {}
        self._started = monotonic()

    def quarantine_left(self, content_key: str) -> float:
        """Returns the seconds for which a request stays quarantined; 0 if it may be sent."""
        return self._fatal_requests.quarantine_left(content_key, monotonic())

    def crash_count(self, content_key: str) -> int:
        """Returns how many crashes count for a request."""
        return self._fatal_requests.crash_count(content_key)

    # Runs of this instance.

    def record_connection_lost(
        self,
        content_key: str,
        record: EndpointRecord,
        dispatched_at: float,
        parts: tuple[str, ...] = (),
        wrote: bool = False,
    ) -> None:
        """Records that the connection of a run was lost: its endpoint may have crashed.

        Args:
            content_key: Key of the request's content.
            record: The endpoint.
            dispatched_at: Time at which the request was sent, in seconds.
            parts: Shared parts of its prompt.
            wrote: Whether it had written for long enough to speak for its parts.
        """
        self.record_abandoned(content_key, record, dispatched_at, parts, wrote)
        if record.endpoint not in self._checks:
            check = asyncio.create_task(self._probe_after_loss(record))
            self._checks[record.endpoint] = check
            check.add_done_callback(lambda task: self._checks.pop(record.endpoint, None))

    async def _probe_after_loss(self, record: EndpointRecord) -> None:
        """Checks whether an endpoint is up, which decides on all its runs that were lost so far."""
        result = await self._probe(record)
        if result is ProbeResult.REFUSED:
            self.endpoint_ended(record.endpoint)
        elif result is ProbeResult.OPEN:
            self._abandoned.pop(record.endpoint, None)

    def record_abandoned(
        self,
        content_key: str,
        record: EndpointRecord,
        dispatched_at: float,
        parts: tuple[str, ...] = (),
        wrote: bool = False,
    ) -> None:
        """Records a run that was given up before its outcome was known."""
        if wrote:
            self.parts.record_run(parts, record.software)
        runs = self._abandoned[record.endpoint]
        runs.append(
            _AbandonedRun(
                content_key,
                crash_id(record.endpoint, record.born),
                dispatched_at,
                monotonic(),
                parts,
                record.software,
                wrote,
            )
        )
        if len(runs) > MAX_ABANDONED_RUNS:
            runs.popleft()

    def record_head(
        self, record: EndpointRecord, dispatched_at: float, connected_at: float
    ) -> None:
        """Records the head of a response, which may show that its endpoint has not crashed.

        Args:
            record: The endpoint.
            dispatched_at: Time at which the request was sent, in seconds.
            connected_at: Time at which its connection was opened, in seconds.
        """
        if not self._reported_at:
            return
        crash = crash_id(record.endpoint, record.born)
        reported_at = self._reported_at.get(crash, float("inf"))
        may_be_next_incarnation = record.born and connected_at >= reported_at
        if dispatched_at <= reported_at or may_be_next_incarnation:
            return
        self._retract(crash)
        self._send_all(CrashReport(self._instance, [], [], [], [crash]))

    def _retract(self, crash: str) -> None:
        self._reported_at.pop(crash, None)
        self.parts.retract(crash)
        affected = self._fatal_requests.retract(crash)
        if affected:
            log("crash_retracted", endpoint=crash, requests=affected)

    def _note_reported(self, crash: str) -> None:
        self._reported_at.pop(crash, None)
        self._reported_at[crash] = monotonic()
        if len(self._reported_at) > MAX_REPORTED_CRASHES:
            del self._reported_at[next(iter(self._reported_at))]

    def record_answered(self, content_key: str) -> None:
        """Records a complete response, which clears the request."""
        crashes = self._fatal_requests.record_completion(content_key)
        if crashes is None:
            return
        log("suspect_cleared", content=content_key, ends=len(crashes.crash_ids))
        self._unsent_cleared.append(crashes)
        self._schedule_batch()

    def endpoint_ended(self, endpoint: str) -> None:
        """Counts a crash for each recent abandoned run of an endpoint.

        Called when the endpoint is gone, has restarted, or does not listen any more.
        """
        now = monotonic()
        abandoned = self._abandoned.pop(endpoint, ())
        recent = [run for run in abandoned if run.abandoned_at >= now - ABANDONED_RUN_TTL]
        for run in recent:
            self._record_own_crash(Crash(run.content_key, run.crash_id, now - run.dispatched_at))
        for crash in dict.fromkeys((run.crash_id, run.software) for run in recent):
            runs = [run for run in recent if (run.crash_id, run.software) == crash]
            self._record_part_crashes(runs, *crash)

    def _record_part_crashes(
        self, runs: Sequence[_AbandonedRun], crash: str, software: str
    ) -> None:
        """Records a crash of an endpoint for the parts of the runs that it ended."""
        cleared = {part for run in runs if run.wrote for part in run.parts}
        now, ages = monotonic(), dict[str, float]()
        for run in runs:
            for part in run.parts:
                ages[part] = min(ages.get(part, float("inf")), now - run.dispatched_at)
        suspected = {part: age for part, age in ages.items() if part not in cleared}
        if suspected:
            self._note_reported(crash)
            self.parts.record_crash(suspected, software, crash)

    def expire(self) -> None:
        """Forgets old requests and runs."""
        now = monotonic()
        self._fatal_requests.expire(now)
        self.parts.expire()
        for endpoint, runs in list(self._abandoned.items()):
            while runs and runs[0].abandoned_at < now - ABANDONED_RUN_TTL:
                runs.popleft()
            if not runs:
                del self._abandoned[endpoint]

    def _record_own_crash(self, crash: Crash) -> None:
        """Records a crash that this instance saw, and reports it to the others."""
        if not self._record_crash(crash):
            return
        self._unsent.append(crash)
        self._schedule_batch()
        if self._fatal_requests.crash_count(crash.content_key) >= CRASHES_TO_STORE:
            self._on_crashes_to_store()

    def _record_crash(self, crash: Crash) -> bool:
        count_before = self._fatal_requests.crash_count(crash.content_key)
        if not self._fatal_requests.record_crash(crash, monotonic()):
            return False
        self._note_reported(crash.crash_id)
        self._log_if_quarantined(crash.content_key, count_before, crash.crash_id)
        return True

    def _adopt_crashes(self, reported: RequestCrashes) -> bool:
        count_before = self._fatal_requests.crash_count(reported.content_key)
        if not self._fatal_requests.adopt(reported, monotonic()):
            return False
        for crash in reported.crash_ids:
            self._note_reported(crash)
        self._log_if_quarantined(reported.content_key, count_before, "")
        return True

    def _log_if_quarantined(self, content_key: str, count_before: int, last_crash_id: str) -> None:
        """Logs and counts a request that is quarantined from now on."""
        count = self._fatal_requests.crash_count(content_key)
        if count_before < CRASHES_TO_QUARANTINE <= count:
            quarantine_left = self.quarantine_left(content_key)
            log(
                "quarantined",
                "WARNING",
                content=content_key,
                ends=count,
                last=last_crash_id,
                held=quarantine_left,
            )
            self._metrics.quarantined.inc()

    def _schedule_batch(self) -> None:
        if self._batch_timer is None:
            self._batch_timer = asyncio.get_running_loop().call_later(BATCH_DELAY, self._send_batch)

    def _send_batch(self) -> None:
        self._batch_timer = None
        crashes, self._unsent = self._unsent, []
        cleared, self._unsent_cleared = self._unsent_cleared, []
        for start in range(0, max(len(crashes), len(cleared)), MAX_PER_MESSAGE):
            part = slice(start, start + MAX_PER_MESSAGE)
            reports = [
                (crash.content_key, crash.crash_id, int(crash.age * 1000))
                for crash in crashes[part]
            ]
            self._send_all(CrashReport(self._instance, reports, _to_wire(cleared[part]), []))

    # Exchange with other instances and the store.

    def receive_report(self, message: CrashReport) -> None:
        """Takes over a report of another instance."""
        for content_key, crash, age_ms in message.crashes:
            self._record_crash(Crash(content_key, crash, age_ms / 1000))
        for reported in _from_wire(message.counted):
            self._adopt_crashes(reported)
        for reported in _from_wire(message.cleared):
            self._fatal_requests.apply_clearance(reported)
        if message.parts is not None:
            for crash in dict.fromkeys(crash for _, _, crash, _ in message.parts.crashes):
                self._note_reported(crash)
            self.parts.receive(message.parts)
        for crash_retracted in message.retracted:
            self._retract(crash_retracted)

    def _send_parts(self, report: PartReport) -> None:
        self._send_all(CrashReport(self._instance, [], [], [], [], report))

    def known_crashes(self) -> CrashReport:
        """Returns a report for an instance that just started."""
        counted = _to_wire(self._fatal_requests.most_crashes(1, MAX_PER_MESSAGE))
        return CrashReport(self._instance, [], [], counted)

    def known_parts(self) -> CrashReport:
        """Returns a report of parts for an instance that just started."""
        return CrashReport(self._instance, [], [], [], [], self.parts.known_crashes())

    def crashes_to_store(self) -> CrashesByContent:
        """Returns the crashes that are stored in this instance's lease."""
        return _to_wire(self._fatal_requests.most_crashes(CRASHES_TO_STORE, MAX_STORED))

    def part_crashes_to_store(self) -> CrashesByPart:
        """Returns the crashes of parts that are stored in this instance's lease."""
        return self.parts.crashes_to_store()

    def adopt_stored_parts(self, stored: CrashesByPart) -> None:
        """Takes over the crashes of parts in a lease, and reports the new ones to all."""
        self.parts.adopt_stored(stored, tell=not self._is_starting())

    def _is_starting(self) -> bool:
        return monotonic() - self._started < STARTUP_PERIOD

    def adopt_stored_crashes(self, stored: CrashesByContent) -> None:
        """Takes over the crashes in a lease, and reports the new ones to the other instances."""
        for reported in _from_wire(stored):
            if self._adopt_crashes(reported) and not self._is_starting():
                self._send_all(CrashReport(self._instance, [], [], _to_wire([reported])))


def _to_wire(crashes: Sequence[RequestCrashes]) -> CrashesByContent:
    return [(reported.content_key, sorted(reported.crash_ids)) for reported in crashes]


def _from_wire(crashes: CrashesByContent) -> list[RequestCrashes]:
    return [RequestCrashes(content_key, frozenset(crash_ids)) for content_key, crash_ids in crashes]
