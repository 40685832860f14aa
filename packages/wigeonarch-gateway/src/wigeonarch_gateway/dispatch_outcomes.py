"""What tries show of endpoints and of requests.

Of an endpoint, how far it can be trusted and how fast it is; of a request, whether endpoints end
under it.
"""

from __future__ import annotations

from wigeonarch_core.cooldowns import Cooldowns
from wigeonarch_core.endpoint_health import EndpointHealth
from wigeonarch_core.engine_latency import EngineLatency, Wait
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.limits import EndpointLimits
from wigeonarch_gateway.notices import Notices
from wigeonarch_gateway.ports import EndpointRecord, Notice
from wigeonarch_gateway.suspects import SuspectRequests


class DispatchOutcomes:
    """Takes down what tries show."""

    __slots__ = ("_cooldowns", "_health", "_latency", "_limits", "_notices", "_suspects")

    def __init__(
        self,
        doubts: EndpointHealth,
        paces: EngineLatency,
        suspects: SuspectRequests,
        limits: EndpointLimits,
        rests: Cooldowns,
        notices: Notices,
    ) -> None:
        self._health = doubts
        self._latency = paces
        self._suspects = suspects
        self._limits = limits
        self._cooldowns = rests
        self._notices = notices

    def quarantine_left(self, job: Job) -> float:
        """Returns the seconds for which a request is sent nowhere; 0 when it may be sent."""
        return self._suspects.quarantine_left(job.content_key)

    # What may be chosen.

    def is_paused(self, record: EndpointRecord, now: float) -> bool:
        """Tells whether nothing should be sent to an endpoint now, as nothing gets through."""
        return self._health.is_paused(record.endpoint, now)

    def any_limited(self, now: float) -> bool:
        """Tells whether any endpoint takes fewer requests than it could be sent."""
        return self._limits.any_limited or self._cooldowns.any_active(now)

    def limit_wait(self, record: EndpointRecord, now: float) -> float:
        """Returns the seconds until an endpoint takes another request, by what it said."""
        return self._cooldowns.remaining(record.endpoint, now) or self._limits.permit_wait(
            record.endpoint, now
        )

    def take_permit(self, record: EndpointRecord) -> bool:
        """Tells whether a request may be sent that is about to be, and uses its permit."""
        now = monotonic()
        if self._cooldowns.remaining(record.endpoint, now):
            return False
        return self._limits.take_permit(record.endpoint, now)

    def failure_share(self, record: EndpointRecord) -> float:
        """Returns the recent share of an endpoint's answers that were failures."""
        return self._health.failure_share(record.endpoint)

    def slowness(self, record: EndpointRecord, now: float) -> float:
        """Returns how many times as long as usual an engine takes."""
        return self._latency.slowness(record.endpoint, now)

    # What tries show.

    def record_unreachable(self, record: EndpointRecord) -> None:
        """Notes that there was no way to an endpoint."""
        self._health.record_unreachable(record.endpoint, monotonic())

    def record_send(self, record: EndpointRecord, expected: float | None) -> Wait | None:
        """Notes a send; of an engine, in how many seconds its first token is expected."""
        now = monotonic()
        self._health.record_send(record.endpoint, now)
        return (
            None if expected is None else self._latency.record_send(record.endpoint, expected, now)
        )

    def record_notice(self, job: Job, record: EndpointRecord, notice: Notice) -> None:
        """Notes what an endpoint says of itself in the head of an answer."""
        self._notices.note_response(record, notice, job.dispatched_at)

    def record_first_token(self, record: EndpointRecord, wait: Wait | None) -> None:
        """Notes the first token of a stream."""
        if wait is not None:
            self._latency.record_first_token(wait, monotonic())
        self._health.record_answer(record.endpoint, failed=False)

    def record_refusal(self, record: EndpointRecord) -> None:
        """Notes that an endpoint did not run a request."""
        self._health.end_probe(record.endpoint)

    def record_response(self, job: Job, record: EndpointRecord, failed: bool) -> None:
        """Notes a whole answer that is no stream."""
        self._health.record_answer(record.endpoint, failed)
        self._suspects.record_answered(job.content_key)

    def record_stream_end(self, job: Job) -> None:
        """Notes the end of a whole stream."""
        self._suspects.record_answered(job.content_key)

    def record_connection_lost(self, job: Job, record: EndpointRecord) -> None:
        """Notes that the connection of a run was lost."""
        self._health.record_unreachable(record.endpoint, monotonic())
        self._suspects.record_connection_lost(job.content_key, record, job.dispatched_at)

    def record_silence(self, job: Job, record: EndpointRecord) -> None:
        """Notes that a run was given up, as no answer came in the time for one try."""
        self._health.record_unreachable(record.endpoint, monotonic())
        self._suspects.record_abandoned(job.content_key, record, job.dispatched_at)

    def record_abandoned(self, job: Job, record: EndpointRecord) -> None:
        """Notes that a run was given up, as its caller left or its time was over."""
        self._health.end_probe(record.endpoint)
        self._suspects.record_abandoned(job.content_key, record, job.dispatched_at)

    def record_end(self, wait: Wait | None) -> None:
        """Notes that a try is over, however it ended."""
        if wait is not None:
            self._latency.stop_waiting(wait)
