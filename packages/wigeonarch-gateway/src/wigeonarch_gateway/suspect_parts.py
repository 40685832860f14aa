"""Parts of prompts that may crash endpoints, as seen by this instance and reported by the others.

`suspects` finds out which runs were lost in a crash. Their prompts' parts are reported to all other
instances in the same message, and so is a run that clears a part, and that one request tries a part
that was held back. Parts with several crashes are also stored in the instance's lease, where
instances that are cut off from the others, and those that start later, read them. Which part is
held back, and for how long, is decided by `core.fatal_parts`.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from typing import Final, TypeVar

from wigeonarch_core.fatal_parts import (
    CRASHES_TO_STORE,
    MAX_STORED,
    FatalParts,
    PartCrash,
    PartCrashes,
)
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.messages import PartReport
from wigeonarch_gateway.metrics import Metrics

MAX_PER_MESSAGE: Final = 200  # Parts in one message, so that it fits into a datagram.
# Parts that are reported of one crash; those of the requests that were sent last go first.
MAX_PER_CRASH: Final = 400

Item = TypeVar("Item")
# Parts and software versions, each with the ids of its crashes, as in messages and leases.
CrashesByPart = list[tuple[str, str, list[str]]]


class SuspectParts:
    """The parts that may have crashed endpoints, with what is to be reported of them."""

    __slots__ = ("_fatal_parts", "_metrics", "_on_crashes_to_store", "_send")

    def __init__(
        self,
        send: Callable[[PartReport], None],
        on_crashes_to_store: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Creates an empty record.

        Args:
            send: Sends a report to all instances.
            on_crashes_to_store: Called when `crashes_to_store` should be stored at once.
            metrics: Counters.
        """
        self._send = send
        self._on_crashes_to_store = on_crashes_to_store
        self._metrics = metrics
        self._fatal_parts = FatalParts()

    # Requests of this instance.

    @property
    def any_held(self) -> bool:
        """Whether any part is held back."""
        return self._fatal_parts.any_held

    def hold_left(self, parts: Collection[str], software: str) -> float:
        """Returns the seconds until a request with these parts may run at a software version."""
        return self._fatal_parts.hold_left(parts, software, monotonic())

    def held_part(self, parts: Collection[str], software: str) -> str:
        """Returns the first part for which such a request may not run now; empty if none."""
        return self._fatal_parts.held_part(parts, software, monotonic())

    def any_crash(self, parts: Iterable[str]) -> bool:
        """Tells whether a crash counts under any of some parts, held back or not."""
        return any(self._fatal_parts.crash_count(part) for part in parts)

    def admit(self, parts: Collection[str], software: str) -> bool:
        """Tells whether a request may be sent now; if it tries a part, tells all others."""
        if self.hold_left(parts, software):
            return False
        tried = [part for part in parts if self._fatal_parts.needs_trial(part, software)]
        for part in tried:
            self._fatal_parts.begin_trial(part, monotonic())
            log("part_tried", part=part, software=software)
        if tried:
            self._send(PartReport([], [], [], tried))
        return True

    def record_run(self, parts: Iterable[str], software: str) -> None:
        """Records a run that speaks for its parts."""
        now = monotonic()
        found = (self._fatal_parts.record_run(part, software, now) for part in parts)
        cleared = [crashes for crashes in found if crashes is not None]
        for crashes in cleared:
            log("part_cleared", part=crashes.part, software=software, ends=len(crashes.crash_ids))
        for some in _slices(_to_wire(cleared)):
            self._send(PartReport([], some, [], []))

    def record_crash(self, ages: dict[str, float], software: str, crash_id: str) -> None:
        """Records that an endpoint crashed under requests with these parts, and reports it.

        Args:
            ages: Parts, with the seconds since the last request with each was sent there.
            software: Version of the endpoint's software.
            crash_id: Identifies its incarnation.
        """
        youngest = sorted(ages.items(), key=lambda pair: pair[1])[:MAX_PER_CRASH]
        crashes = [PartCrash(part, software, crash_id, age) for part, age in youngest]
        new = [crash for crash in crashes if self._record(crash)]
        reports = [
            (crash.part, crash.software, crash.crash_id, int(crash.age * 1000)) for crash in new
        ]
        for some in _slices(reports):
            self._send(PartReport(some, [], [], []))
        told = (crash for crash in new if self._fatal_parts.is_to_be_told(crash.part, software))
        if any(self._fatal_parts.crash_count(crash.part) >= CRASHES_TO_STORE for crash in told):
            self._on_crashes_to_store()

    def _record(self, crash: PartCrash) -> bool:
        held_before = self._fatal_parts.needs_trial(crash.part, crash.software)
        is_new = self._fatal_parts.record_crash(crash, monotonic())
        self._log_if_held(crash.part, crash.software, held_before)
        return is_new

    def _adopt(self, reported: PartCrashes) -> bool:
        held_before = self._fatal_parts.needs_trial(reported.part, reported.software)
        is_new = self._fatal_parts.adopt(reported, monotonic())
        self._log_if_held(reported.part, reported.software, held_before)
        return is_new

    def _log_if_held(self, part: str, software: str, held_before: bool) -> None:
        """Logs and counts a part that is held back from now on."""
        if held_before or not self._fatal_parts.needs_trial(part, software):
            return
        log(
            "part_held",
            "WARNING",
            part=part,
            software=software,
            ends=self._fatal_parts.crash_count(part),
            held=self._fatal_parts.held_for(part, monotonic()),
        )
        self._metrics.parts_held.inc()

    def retract(self, crash_id: str) -> None:
        """Forgets a crash that did not happen."""
        self._fatal_parts.retract(crash_id)

    def expire(self) -> None:
        """Forgets what is long past."""
        self._fatal_parts.expire(monotonic())

    # Exchange with other instances and the store.

    def receive(self, report: PartReport) -> None:
        """Takes over a report of another instance."""
        now = monotonic()
        for part, software, crash, age_ms in report.crashes:
            self._record(PartCrash(part, software, crash, age_ms / 1000))
        for reported in _from_wire(report.counted):
            self._adopt(reported)
        for reported in _from_wire(report.cleared):
            self._fatal_parts.apply_clearance(reported, now)
        for part in report.tried:
            self._fatal_parts.begin_trial(part, now)

    def known_crashes(self) -> PartReport:
        """Returns a report for an instance that just started."""
        counted = self._fatal_parts.most_crashes(1, MAX_PER_MESSAGE)
        return PartReport([], [], _to_wire(counted), [])

    def crashes_to_store(self) -> CrashesByPart:
        """Returns the crashes that are stored in this instance's lease."""
        return _to_wire(self._fatal_parts.most_crashes(CRASHES_TO_STORE, MAX_STORED))

    def adopt_stored(self, stored: CrashesByPart, tell: bool) -> None:
        """Takes over the crashes in a lease; tells the other instances of new ones if asked to."""
        new = [reported for reported in _from_wire(stored) if self._adopt(reported)]
        if new and tell:
            self._send(PartReport([], [], _to_wire(new), []))


def _slices(items: list[Item]) -> list[list[Item]]:
    return [items[i : i + MAX_PER_MESSAGE] for i in range(0, len(items), MAX_PER_MESSAGE)]


def _to_wire(crashes: Iterable[PartCrashes]) -> CrashesByPart:
    return [(each.part, each.software, sorted(each.crash_ids)) for each in crashes]


def _from_wire(crashes: CrashesByPart) -> list[PartCrashes]:
    return [PartCrashes(part, software, frozenset(ids)) for part, software, ids in crashes]
