"""What tries show of endpoints and of requests.

Of an endpoint, how far it can be trusted and how fast it is; of a request, whether endpoints end
under it.
"""

from __future__ import annotations

from wigeonarch_core.doubt import Doubts
from wigeonarch_core.engine_pace import EnginePaces, Wait
from wigeonarch_core.rests import Rests
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.limits import Limits
from wigeonarch_gateway.notices import Notices
from wigeonarch_gateway.ports import EndpointRecord, Notice
from wigeonarch_gateway.suspects import Suspects


class Evidence:
    """Takes down what tries show."""

    __slots__ = ("_doubts", "_limits", "_notices", "_paces", "_rests", "_suspects")

    def __init__(
        self,
        doubts: Doubts,
        paces: EnginePaces,
        suspects: Suspects,
        limits: Limits,
        rests: Rests,
        notices: Notices,
    ) -> None:
        self._doubts = doubts
        self._paces = paces
        self._suspects = suspects
        self._limits = limits
        self._rests = rests
        self._notices = notices

    def held_for(self, job: Job) -> float:
        """Returns the seconds for which a request is sent nowhere; 0 when it may be sent."""
        return self._suspects.held_for(job.content)

    # What may be chosen.

    def shut(self, record: EndpointRecord, now: float) -> bool:
        """Tells whether nothing should be sent to an endpoint now, as nothing gets through."""
        return self._doubts.shut(record.endpoint, now)

    def any_limits(self, now: float) -> bool:
        """Tells whether any endpoint takes fewer requests than it could be sent."""
        return self._limits.any_named or self._rests.any(now)

    def limited_for(self, record: EndpointRecord, now: float) -> float:
        """Returns the seconds until an endpoint takes another request, by what it said."""
        return self._rests.left(record.endpoint, now) or self._limits.wait(record.endpoint, now)

    def permitted(self, record: EndpointRecord) -> bool:
        """Tells whether a request may be sent that is about to be, and uses its permit."""
        now = monotonic()
        if self._rests.left(record.endpoint, now):
            return False
        return self._limits.spend(record.endpoint, now)

    def failing(self, record: EndpointRecord) -> float:
        """Returns the recent share of an endpoint's answers that were failures."""
        return self._doubts.failing(record.endpoint)

    def slowness(self, record: EndpointRecord, now: float) -> float:
        """Returns how many times as long as usual an engine takes."""
        return self._paces.slowness(record.endpoint, now)

    # What tries show.

    def unreachable(self, record: EndpointRecord) -> None:
        """Notes that there was no way to an endpoint."""
        self._doubts.unreachable(record.endpoint, monotonic())

    def sending(self, record: EndpointRecord, expected: float | None) -> Wait | None:
        """Notes a send; of an engine, in how many seconds its first token is expected."""
        now = monotonic()
        self._doubts.sending(record.endpoint, now)
        return None if expected is None else self._paces.sent(record.endpoint, expected, now)

    def headed(self, job: Job, record: EndpointRecord, notice: Notice) -> None:
        """Notes what an endpoint says of itself in the head of an answer."""
        self._notices.answered(record, notice, job.sent_at)

    def first_token(self, record: EndpointRecord, wait: Wait | None) -> None:
        """Notes the first token of a stream."""
        if wait is not None:
            self._paces.first_token(wait, monotonic())
        self._doubts.answered(record.endpoint, failed=False)

    def refused(self, record: EndpointRecord) -> None:
        """Notes that an endpoint did not run a request."""
        self._doubts.released(record.endpoint)

    def answered(self, job: Job, record: EndpointRecord, failed: bool) -> None:
        """Notes a whole answer that is no stream."""
        self._doubts.answered(record.endpoint, failed)
        self._suspects.answered(job.content)

    def streamed(self, job: Job) -> None:
        """Notes the end of a whole stream."""
        self._suspects.answered(job.content)

    def lost(self, job: Job, record: EndpointRecord) -> None:
        """Notes that the connection of a run was lost."""
        self._doubts.unreachable(record.endpoint, monotonic())
        self._suspects.lost(job.content, record, job.sent_at)

    def silent(self, job: Job, record: EndpointRecord) -> None:
        """Notes that a run was given up, as no answer came in the time for one try."""
        self._doubts.unreachable(record.endpoint, monotonic())
        self._suspects.unanswered(job.content, record, job.sent_at)

    def left(self, job: Job, record: EndpointRecord) -> None:
        """Notes that a run was given up, as its caller left or its time was over."""
        self._doubts.released(record.endpoint)
        self._suspects.unanswered(job.content, record, job.sent_at)

    def ended(self, wait: Wait | None) -> None:
        """Notes that a try is over, however it ended."""
        if wait is not None:
            self._paces.ended(wait)
