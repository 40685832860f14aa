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
from wigeonarch_gateway.exchange import Answer
from wigeonarch_gateway.finding import COME_BACK, Inputs
from wigeonarch_gateway.jobs import Again, Job
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import AnswerHead, EndpointRecord, RequestTerms

HEADERS_OF_CONNECTION: Final = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade"}
)


class Closing:
    """Ends requests."""

    __slots__ = ("_inputs", "_metrics")

    def __init__(self, metrics: Metrics, inputs: Callable[[Job], Inputs]) -> None:
        """Makes an end for requests; `inputs` tells what a refusal rested on."""
        self._metrics = metrics
        self._inputs = inputs

    async def refuse(
        self,
        answer: Answer,
        terms: RequestTerms,
        reason: str,
        text: str,
        inputs: Inputs | None = None,
        after: float = COME_BACK,
        status: int = 503,
    ) -> None:
        """Answers that a request has not run and will not, and when to come back."""
        bound = inputs or {}
        request = terms.request_id
        log("refused", "INFO", request=request, reason=reason, retry_after=after, **bound)
        self._metrics.refusals.labels(reason).inc()
        headers = [(b"Retry-After", f"{after:.2f}".encode())]
        await answer.whole(status, headers, text.encode())

    async def deny(
        self, answer: Answer, terms: RequestTerms, reason: str, text: str, inputs: Inputs
    ) -> None:
        """Answers that a request is not allowed; its key is not logged."""
        log("denied", "INFO", request=terms.request_id, reason=reason, **inputs)
        self._metrics.refusals.labels(reason).inc()
        await answer.whole(401, [(b"WWW-Authenticate", b"Bearer")], text.encode())

    async def give_up(self, job: Job, reason: str, text: str, after: float = COME_BACK) -> None:
        """Answers a request that no endpoint will be asked for any more."""
        if job.answer.begun or job.ran:
            await self.fail(job, Again.FAILED)
            return
        await self.refuse(job.answer, job.terms, reason, text, self._inputs(job), after)
        self._metrics.requests.labels(job.route.name, "refused").inc()

    async def fail(self, job: Job, again: Again) -> None:
        """Answers a request that may have run."""
        log(
            "failed",
            "WARNING",
            request=job.key,
            reason=again.value,
            sends=job.sends,
            begun=job.answer.begun,
            events=job.splitter.count,
        )
        self._metrics.requests.labels(job.route.name, "failed").inc()
        if job.answer.begun:
            job.answer.cut()
            return
        if job.stored is not None:
            await self.pass_on(job, None, *job.stored)
            return
        text = texts.ENDPOINT_FAILED if again is Again.FAILED else texts.OUTCOME_UNKNOWN
        await job.answer.whole(502, [], text.encode())

    async def timed_out(self, job: Job) -> None:
        """Answers a request whose time is over."""
        log(
            "timed_out",
            request=job.key,
            sends=job.sends,
            ran=len(job.ran),
            begun=job.answer.begun,
            held=job.waited,
        )
        self._metrics.requests.labels(job.route.name, "timed_out").inc()
        if job.answer.begun:
            job.answer.cut()
        elif job.stored is not None:
            await self.pass_on(job, None, *job.stored)
        elif job.ran:
            await job.answer.whole(504, [], texts.TIMED_OUT.encode())
        else:
            inputs = self._inputs(job)
            await self.refuse(job.answer, job.terms, "timed_out", texts.NO_TIME_LEFT, inputs)

    async def pass_on(
        self, job: Job, record: EndpointRecord | None, head: AnswerHead, body: bytes
    ) -> None:
        """Passes a whole answer of an endpoint on."""
        await job.answer.whole(head.status, for_caller(head), body)
        self.answered(job, record.endpoint if record else "", head.status)

    def answered(self, job: Job, endpoint: str, status: int) -> None:
        """Notes that a caller has its answer."""
        took = monotonic() - job.req.received
        if job.team is not None:
            waited = job.first_event - job.req.received if job.first_event else took
            self._metrics.answered_team(job.team.name, waited)
        log(
            "answered",
            request=job.key,
            endpoint=endpoint,
            status=status,
            sends=job.sends,
            held=job.waited,
            took=took,
            first_event=job.first_event - job.req.received if job.first_event else 0.0,
            pause=job.pause,
        )
        self._metrics.requests.labels(job.route.name, "answered").inc()
        if job.terms.adapter:
            self._metrics.load_wait.observe(job.waited)


def for_caller(head: AnswerHead) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an endpoint's answer without those of its connection."""
    dropped = set(HEADERS_OF_CONNECTION)
    for name, value in head.headers:
        if name == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    dropped.add(b"content-length")
    return [(name, value) for name, value in head.headers if name not in dropped]
