"""How a request ends: the endpoint's answer, or one of this instance's own.

A status that promises "not run" is sent only for a request that no endpoint can have begun. What
may have run ends with a status that promises nothing, or with a connection that is cut off.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway import texts
from wigeonarch_gateway.exchange import ResponseWriter
from wigeonarch_gateway.jobs import DispatchFailure, Job
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import EndpointRecord, RequestTerms, ResponseHead
from wigeonarch_gateway.selection import DEFAULT_RETRY_AFTER, LogFields

HOP_BY_HOP_HEADERS: Final = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade"}
)


class Responder:
    """Ends requests."""

    __slots__ = ("_log_fields", "_metrics")

    def __init__(self, metrics: Metrics, inputs: Callable[[Job], LogFields]) -> None:
        """Makes an end for requests; `inputs` tells what a refusal rested on."""
        self._metrics = metrics
        self._log_fields = inputs

    async def refuse(
        self,
        answer: ResponseWriter,
        terms: RequestTerms,
        reason: str,
        text: str,
        inputs: LogFields | None = None,
        after: float = DEFAULT_RETRY_AFTER,
        status: int = 503,
    ) -> None:
        """Answers that a request has not run and will not, and when to come back."""
        bound = inputs or {}
        request = terms.request_id
        log("refused", "INFO", request=request, reason=reason, retry_after=after, **bound)
        self._metrics.refusals.labels(reason).inc()
        headers = [(b"Retry-After", f"{after:.2f}".encode())]
        await answer.send(status, headers, text.encode())

    async def deny(
        self, answer: ResponseWriter, terms: RequestTerms, reason: str, text: str, inputs: LogFields
    ) -> None:
        """Answers that a request is not allowed; its key is not logged."""
        log("denied", "INFO", request=terms.request_id, reason=reason, **inputs)
        self._metrics.refusals.labels(reason).inc()
        await answer.send(401, [(b"WWW-Authenticate", b"Bearer")], text.encode())

    async def give_up(
        self, job: Job, reason: str, text: str, after: float = DEFAULT_RETRY_AFTER
    ) -> None:
        """Answers a request that no endpoint will be asked for any more."""
        if job.response.started or job.may_have_run_on:
            await self.fail(job, DispatchFailure.FAILED)
            return
        await self.refuse(job.response, job.terms, reason, text, self._log_fields(job), after)
        self._metrics.requests.labels(job.route.name, "refused").inc()

    async def fail(self, job: Job, again: DispatchFailure) -> None:
        """Answers a request that may have run."""
        log(
            "failed",
            "WARNING",
            request=job.request_id,
            reason=again.value,
            sends=job.dispatch_count,
            begun=job.response.started,
            events=job.splitter.count,
        )
        self._metrics.requests.labels(job.route.name, "failed").inc()
        if job.response.started:
            job.response.abort()
            return
        if job.failure_response is not None:
            await self.forward_response(job, None, *job.failure_response)
            return
        text = texts.ENDPOINT_FAILED if again is DispatchFailure.FAILED else texts.OUTCOME_UNKNOWN
        await job.response.send(502, [], text.encode())

    async def respond_timed_out(self, job: Job) -> None:
        """Answers a request whose time is over."""
        log(
            "timed_out",
            request=job.request_id,
            sends=job.dispatch_count,
            ran=len(job.may_have_run_on),
            begun=job.response.started,
            held=job.selection_time,
        )
        self._metrics.requests.labels(job.route.name, "timed_out").inc()
        if job.response.started:
            job.response.abort()
        elif job.failure_response is not None:
            await self.forward_response(job, None, *job.failure_response)
        elif job.may_have_run_on:
            await job.response.send(504, [], texts.TIMED_OUT.encode())
        else:
            inputs = self._log_fields(job)
            await self.refuse(job.response, job.terms, "timed_out", texts.NO_TIME_LEFT, inputs)

    async def forward_response(
        self, job: Job, record: EndpointRecord | None, head: ResponseHead, body: bytes
    ) -> None:
        """Passes a whole answer of an endpoint on."""
        await job.response.send(head.status, end_to_end_headers(head), body)
        self.record_responded(job, record.endpoint if record else "", head.status)

    def record_responded(self, job: Job, endpoint: str, status: int) -> None:
        """Notes that a caller has its answer."""
        took = monotonic() - job.request.received
        if job.team is not None:
            waited = job.first_event_at - job.request.received if job.first_event_at else took
            self._metrics.observe_team_answer(job.team.name, waited)
        log(
            "answered",
            request=job.request_id,
            endpoint=endpoint,
            status=status,
            sends=job.dispatch_count,
            held=job.selection_time,
            took=took,
            first_event=job.first_event_at - job.request.received if job.first_event_at else 0.0,
            pause=job.longest_pause,
        )
        self._metrics.requests.labels(job.route.name, "answered").inc()
        if job.terms.adapter:
            self._metrics.load_wait.observe(job.selection_time)


def end_to_end_headers(head: ResponseHead) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an endpoint's answer without those of its connection."""
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in head.headers:
        if name == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    dropped.add(b"content-length")
    return [(name, value) for name, value in head.headers if name not in dropped]
