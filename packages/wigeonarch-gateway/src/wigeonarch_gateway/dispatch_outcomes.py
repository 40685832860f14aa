"""Records the outcomes of dispatches, and answers what follows from them.

Outcomes show of an endpoint how healthy and how fast it is, whether it can be reached, limits its
rate or asked for a cooldown; and of a request, whether endpoints crash while they run it. Each of
these is kept by a module of its own, and this one passes every outcome on to those that it
concerns.
"""

from __future__ import annotations

from typing import Final

from wigeonarch_core.cooldowns import Cooldowns
from wigeonarch_core.endpoint_health import EndpointHealth
from wigeonarch_core.engine_latency import EngineLatency, Wait
from wigeonarch_core.fatal_parts import WRITING_TIME
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.limits import EndpointLimits
from wigeonarch_gateway.notices import Notices
from wigeonarch_gateway.places import Places
from wigeonarch_gateway.ports import EndpointRecord, Notice, Verdict
from wigeonarch_gateway.service_reach import ServiceReach
from wigeonarch_gateway.suspects import SuspectRequests

# Verdicts on responses that only the endpoint that was meant can have sent. After it is gone, its
# address may belong to another one, which calls requests for it misdirected.
OWN_RESPONSES: Final = frozenset({Verdict.ANSWER, Verdict.NOT_RUN})


class DispatchOutcomes:
    """The outcomes of this instance's dispatches."""

    __slots__ = (
        "_cooldowns",
        "_health",
        "_latency",
        "_limits",
        "_notices",
        "_places",
        "_reach",
        "_suspects",
    )

    def __init__(
        self,
        health: EndpointHealth,
        latency: EngineLatency,
        suspects: SuspectRequests,
        limits: EndpointLimits,
        places: Places,
        cooldowns: Cooldowns,
        notices: Notices,
        reach: ServiceReach,
    ) -> None:
        self._health = health
        self._latency = latency
        self._suspects = suspects
        self._limits = limits
        self._places = places
        self._cooldowns = cooldowns
        self._notices = notices
        self._reach = reach

    def quarantine_left(self, job: Job) -> float:
        """Returns the seconds for which a request stays quarantined; 0 if it may be sent."""
        return self._suspects.quarantine_left(job.content_key)

    @property
    def any_part_held(self) -> bool:
        """Whether any part of a prompt is held back."""
        return self._suspects.parts.any_held

    def parts_hold_left(self, job: Job, record: EndpointRecord) -> float:
        """Returns the seconds for which a request's parts are held back at an endpoint."""
        return self._suspects.parts.hold_left(job.terms.parts, record.software)

    def held_part(self, job: Job, record: EndpointRecord) -> str:
        """Returns the first part of a request's prompt that is held back at an endpoint."""
        return self._suspects.parts.held_part(job.terms.parts, record.software)

    def admits_parts(self, job: Job, record: EndpointRecord) -> bool:
        """Tells whether a request's parts allow that it is sent to an endpoint now."""
        return self._suspects.parts.admit(job.terms.parts, record.software)

    def is_suspect(self, job: Job) -> bool:
        """Tells whether an endpoint crashed under a request like this, or one with its parts."""
        if self._suspects.crash_count(job.content_key):
            return True
        return self._suspects.parts.any_crash(job.terms.parts)

    # Questions of endpoint selection.

    def is_paused(self, record: EndpointRecord, now: float) -> bool:
        """Tells whether nothing should be sent to an endpoint now, as it could not be reached."""
        return self._health.is_paused(record.endpoint, now)

    def pause_left(self, record: EndpointRecord, now: float) -> float:
        """Returns the seconds until requests may be sent again to an endpoint that is paused."""
        return self._health.pause_left(record.endpoint, now)

    def any_limited(self, now: float) -> bool:
        """Tells whether any endpoint has a rate limit or a cooldown."""
        return self._limits.any_limited or self._cooldowns.any_active(now)

    def limit_wait(self, record: EndpointRecord, now: float) -> float:
        """Returns the seconds until an endpoint's cooldown or rate limit allows another request."""
        return self._cooldowns.remaining(record.endpoint, now) or self._limits.permit_wait(
            record.endpoint, now
        )

    def expected_limit_wait(self, record: EndpointRecord, now: float) -> float:
        """Returns what `limit_wait` returns, without requesting a permit."""
        return self.cooldown_left(record, now) or self._limits.expected_permit_wait(
            record.endpoint, now
        )

    def cooldown_left(self, record: EndpointRecord, now: float) -> float:
        """Returns the seconds for which an endpoint asked this instance to send nothing."""
        return self._cooldowns.remaining(record.endpoint, now)

    def take_permit(self, record: EndpointRecord) -> bool:
        """Tells whether a request that is about to be sent may be; uses up its permit and place."""
        now = monotonic()
        if self._cooldowns.remaining(record.endpoint, now):
            return False
        return self._limits.take_permit(record.endpoint, now) and self._places.take(record)

    def without_full(
        self, job: Job, records: list[EndpointRecord], now: float
    ) -> list[EndpointRecord]:
        """Returns the endpoints at which a request need not queue; all if there are none."""
        return self._places.without_full(records, now, bool(job.terms.model))

    def failure_share(self, record: EndpointRecord) -> float:
        """Returns the recent share of an endpoint's responses that were failures."""
        return self._health.failure_share(record.endpoint)

    def slowness(self, record: EndpointRecord, now: float) -> float:
        """Returns how many times as long as usual an engine takes to the first token."""
        return self._latency.slowness(record.endpoint, now)

    # Events of dispatches.

    def record_unreachable(self, record: EndpointRecord) -> None:
        """Records that no connection to an endpoint could be opened."""
        self._health.record_unreachable(record.endpoint, monotonic())
        self._reach.record_unreachable(record)

    def record_head(
        self, job: Job, record: EndpointRecord, verdict: Verdict, connected_at: float
    ) -> None:
        """Records that the head of a response arrived, over a connection opened at that time."""
        self._reach.record_reached(record)
        if verdict in OWN_RESPONSES:
            self._suspects.record_head(record, job.dispatched_at, connected_at)

    def record_send(self, record: EndpointRecord, expected: float | None) -> Wait | None:
        """Records that a request is sent.

        Args:
            record: The endpoint.
            expected: Seconds until an engine's first token is expected; None for other endpoints.

        Returns:
            The wait for the first token, to be handed in when the token comes or the dispatch ends.
        """
        now = monotonic()
        self._health.record_send(record.endpoint, now)
        return (
            None if expected is None else self._latency.record_send(record.endpoint, expected, now)
        )

    def record_notice(
        self, job: Job, record: EndpointRecord, notice: Notice, verdict: Verdict
    ) -> None:
        """Records what the head of a response says of the endpoint itself."""
        ran = verdict in (Verdict.ANSWER, Verdict.FAILURE)
        self._notices.note_response(record, notice, job.dispatched_at, ran)

    def record_first_token(self, record: EndpointRecord, wait: Wait | None) -> None:
        """Records the first token of a stream."""
        if wait is not None:
            self._latency.record_first_token(wait, monotonic())
        self._health.record_answer(record.endpoint, failed=False)

    def record_refusal(self, record: EndpointRecord, verdict: Verdict) -> None:
        """Records that an endpoint refused a request without running it."""
        self._health.end_probe(record.endpoint)
        if verdict is Verdict.NOT_RUN:
            self._places.record_refusal(record)

    def record_response(self, job: Job, record: EndpointRecord, failed: bool) -> None:
        """Records a complete response that is not a stream."""
        self._health.record_answer(record.endpoint, failed)
        self._suspects.record_answered(job.content_key)
        if not failed:
            self._suspects.parts.record_run(job.terms.parts, record.software)

    def record_stream_end(self, job: Job, record: EndpointRecord) -> None:
        """Records that a stream came to its end."""
        self._suspects.record_answered(job.content_key)
        if job.writing_since:
            self._suspects.parts.record_run(job.terms.parts, record.software)

    def record_connection_lost(self, job: Job, record: EndpointRecord) -> None:
        """Records that the connection was lost before the response was complete."""
        self._health.record_unreachable(record.endpoint, monotonic())
        self._suspects.record_connection_lost(
            job.content_key, record, job.dispatched_at, job.terms.parts, _wrote(job)
        )

    def record_silence(self, job: Job, record: EndpointRecord) -> None:
        """Records that a dispatch was given up because no response came within its timeout."""
        self._health.record_unreachable(record.endpoint, monotonic())
        self._suspects.record_abandoned(
            job.content_key, record, job.dispatched_at, job.terms.parts, _wrote(job)
        )

    def record_abandoned(self, job: Job, record: EndpointRecord) -> None:
        """Records a dispatch that was given up: its caller disconnected or its deadline passed."""
        self._health.end_probe(record.endpoint)
        self._suspects.record_abandoned(
            job.content_key, record, job.dispatched_at, job.terms.parts, _wrote(job)
        )

    def record_end(self, record: EndpointRecord, wait: Wait | None) -> None:
        """Records that a dispatch is over, however it ended."""
        self._places.record_end(record)
        if wait is not None:
            self._latency.stop_waiting(wait)


def _wrote(job: Job) -> bool:
    """Tells whether the last dispatch had written for long enough to speak for its parts."""
    return job.writing_time is not None and job.writing_time >= WRITING_TIME
