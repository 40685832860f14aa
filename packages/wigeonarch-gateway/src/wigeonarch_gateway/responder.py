"""Sends the response that ends a request: an endpoint's, or one of this instance's own.

A status that promises "not run" is sent only for a request that no endpoint can have begun. A
request that may have run ends with a status that promises nothing, or with a closed connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway import texts
from wigeonarch_gateway.exchange import ResponseWriter
from wigeonarch_gateway.internal_headers import is_internal
from wigeonarch_gateway.jobs import DispatchFailure, Job
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import EndpointRecord, RequestTerms, ResponseHead
from wigeonarch_gateway.selection import DEFAULT_RETRY_AFTER, LogFields

HOP_BY_HOP_HEADERS: Final = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade"}
)


class Responder:
    """Sends final responses to callers, and logs and counts them."""

    __slots__ = ("_log_fields", "_metrics")

    def __init__(self, metrics: Metrics, log_fields: Callable[[Job], LogFields]) -> None:
        """Creates a responder.

        Args:
            metrics: Counters.
            log_fields: Returns log fields that explain why a request was refused.
        """
        self._metrics = metrics
        self._log_fields = log_fields

    async def refuse(
        self,
        response: ResponseWriter,
        terms: RequestTerms,
        reason: str,
        text: str,
        log_fields: LogFields | None = None,
        retry_after: float = DEFAULT_RETRY_AFTER,
        status: int = 503,
    ) -> None:
        """Responds that a request has not run and will not, and when to retry."""
        fields = log_fields or {}
        request_id = terms.request_id
        log("refused", "INFO", request=request_id, reason=reason, retry_after=retry_after, **fields)
        self._metrics.refusals.labels(reason).inc()
        headers = [(b"Retry-After", f"{retry_after:.2f}".encode())]
        await response.send(status, headers, text.encode())

    async def deny(
        self,
        response: ResponseWriter,
        terms: RequestTerms,
        reason: str,
        text: str,
        log_fields: LogFields,
    ) -> None:
        """Responds that a request is not allowed; its API key is not logged."""
        log("denied", "INFO", request=terms.request_id, reason=reason, **log_fields)
        self._metrics.refusals.labels(reason).inc()
        await response.send(401, [(b"WWW-Authenticate", b"Bearer")], text.encode())

    async def give_up(
        self, job: Job, reason: str, text: str, retry_after: float = DEFAULT_RETRY_AFTER
    ) -> None:
        """Responds to a request for which no further dispatch is made."""
        if job.response.started or job.may_have_run_on:
            await self.fail(job, DispatchFailure.FAILED)
            return
        await self.refuse(job.response, job.terms, reason, text, self._log_fields(job), retry_after)
        self._metrics.requests.labels(job.route.name, "refused").inc()

    async def fail(self, job: Job, failure: DispatchFailure) -> None:
        """Responds to a request that may have run."""
        log(
            "failed",
            "WARNING",
            request=job.request_id,
            reason=failure.value,
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
        text = texts.ENDPOINT_FAILED if failure is DispatchFailure.FAILED else texts.OUTCOME_UNKNOWN
        await job.response.send(502, [], text.encode())

    async def respond_timed_out(self, job: Job) -> None:
        """Responds to a request whose deadline has passed."""
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
            log_fields = self._log_fields(job)
            await self.refuse(job.response, job.terms, "timed_out", texts.NO_TIME_LEFT, log_fields)

    async def forward_response(
        self, job: Job, record: EndpointRecord | None, head: ResponseHead, body: bytes
    ) -> None:
        """Forwards a complete response of an endpoint."""
        await job.response.send(head.status, end_to_end_headers(head), body)
        self.record_responded(job, record.endpoint if record else "", head.status)

    def record_responded(
        self, job: Job, endpoint: str, status: int, stream_end: LogFields | None = None
    ) -> None:
        """Logs and counts a response that was sent to the end.

        Args:
            job: The request.
            endpoint: Endpoint whose response it is; empty for one of an earlier dispatch.
            status: Status code.
            stream_end: Log fields that tell how the end of a stream was recognised.
        """
        took = monotonic() - job.request.received
        if job.team is not None:
            waited = job.first_event_at - job.request.received if job.first_event_at else took
            self._metrics.observe_team_answer(job.team.name, waited)
        log(
            "answered",
            "INFO",
            request=job.request_id,
            endpoint=endpoint,
            status=status,
            sends=job.dispatch_count,
            held=job.selection_time,
            took=took,
            first_event=job.first_event_at - job.request.received if job.first_event_at else 0.0,
            pause=job.longest_pause,
            **(stream_end or {}),
        )
        self._metrics.requests.labels(job.route.name, "answered").inc()
        if job.terms.adapter:
            self._metrics.load_wait.observe(job.selection_time)


def end_to_end_headers(head: ResponseHead) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an endpoint's response that are passed on.

    Those of a single connection are not, nor those that only instances may set.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in head.headers:
        if name == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    dropped.add(b"content-length")
    return [
        (name, value)
        for name, value in head.headers
        if name not in dropped and not is_internal(name)
    ]
