"""The way of an admitted request: endpoint, answer, and what may be tried again.

Once a byte of a request was written to an endpoint, the request may have run; only the endpoint's
own word that it did not makes it "not run" again. What may have run is sent again only where its
route allows that. Requests come from `serving`; endpoints are found by `finding`; how requests end
is in `closing`.
"""

from __future__ import annotations

import asyncio
from typing import Final

from wigeonarch_core.engine_choice import expected_first_token
from wigeonarch_core.retry_window import RetryWindow
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway import texts
from wigeonarch_gateway.connections import Connection, ConnectionLost
from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.jobs import MAY_HAVE_RUN, DispatchFailure, Job
from wigeonarch_gateway.load_requests import LoadRequests
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.pools import ConnectionPools
from wigeonarch_gateway.ports import (
    Dialect,
    Dispatch,
    EndpointRecord,
    ResponseHead,
    Verdict,
)
from wigeonarch_gateway.responder import Responder, end_to_end_headers
from wigeonarch_gateway.selection import EndpointSelector, NoEndpointReason
from wigeonarch_gateway.traffic import InFlightRequest, InFlightTracker

NO_ENDPOINT_TEXTS: Final = {
    NoEndpointReason.UNAVAILABLE: texts.NO_ENDPOINT,
    NoEndpointReason.OVERLOADED: texts.OVERLOADED,
    NoEndpointReason.LIMITED: texts.LIMITED,
}
EVENT_STREAM: Final = b"text/event-stream"
# Pause before an engine that lacked an adapter against expectation is tried again, in seconds, and
# as a share of what a load takes there.
MIN_MISSING_ADAPTER_PAUSE: Final = 0.03
MISSING_ADAPTER_LOAD_SHARE: Final = 0.15
RETRY_POLL_INTERVAL: Final = 0.05  # Seconds between looks for an allowed repeat.
# Refused sends of one request after which it is refused itself.
MAX_REFUSALS: Final = 6
# Share of the objective after which an endpoint without an answer is given up, where a request may
# be sent again: it would be late in any case, and an answer that was lost never comes.
RESPONSE_TIMEOUT_SHARE: Final = 1.2
# Answers that are not streams are read whole before they are passed on; bytes.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
# Output tokens that a request is expected to use of its greatest length.
EXPECTED_OUTPUT_SHARE: Final = 0.5


class Forwarder:
    """Passes requests on."""

    __slots__ = (
        "_dialect",
        "_endpoints",
        "_load_requests",
        "_metrics",
        "_outcomes",
        "_pools",
        "_responder",
        "_retries",
        "_selector",
        "_traffic",
        "_views",
    )

    def __init__(
        self,
        dialect: Dialect,
        endpoints: EndpointRegistry,
        views: EngineViews,
        traffic: InFlightTracker,
        pools: ConnectionPools,
        wishes: LoadRequests,
        retries: RetryWindow,
        evidence: DispatchOutcomes,
        metrics: Metrics,
        finder: EndpointSelector,
        closing: Responder,
    ) -> None:
        self._dialect = dialect
        self._endpoints = endpoints
        self._views = views
        self._traffic = traffic
        self._pools = pools
        self._load_requests = wishes
        self._retries = retries
        self._outcomes = evidence
        self._metrics = metrics
        self._selector = finder
        self._responder = closing

    async def forward(self, job: Job) -> None:
        """Tries until the caller has its answer; cancelled when the time or the caller is gone."""
        while not await self._refuse_if_quarantined(job):
            record = await self._selector.select(job)
            if isinstance(record, NoEndpointReason):
                after = self._selector.retry_after(job, record)
                await self._responder.give_up(job, record.value, NO_ENDPOINT_TEXTS[record], after)
                return
            if await self._refuse_if_quarantined(job):
                return
            again = await self._dispatch(job, record)
            if again is None:
                return
            if again is not DispatchFailure.LACKS_ADAPTER:
                job.avoided_endpoints.add(record.endpoint)
            if not await self._may_retry(job, record, again):
                return

    async def _refuse_if_quarantined(self, job: Job) -> bool:
        """Refuses a request under which endpoints end; returns whether it did.

        Others may have seen that while this request looked for an endpoint.
        """
        held = self._outcomes.quarantine_left(job)
        if not held:
            return False
        await self._responder.give_up(job, "quarantined", texts.QUARANTINED, held)
        return True

    async def _may_retry(self, job: Job, record: EndpointRecord, again: DispatchFailure) -> bool:
        """Decides whether another try follows; if not, answers."""
        log(
            "try_failed",
            request=job.request_id,
            endpoint=record.endpoint,
            reason=again.value,
            sends=job.dispatch_count,
            waited=monotonic() - job.request.received,
        )
        if again in MAY_HAVE_RUN and not job.may_repeat:
            await self._responder.fail(job, again)
            return False
        job.refusal_count += again not in MAY_HAVE_RUN
        if job.refusal_count > MAX_REFUSALS:
            await self._responder.give_up(job, "endpoints_full", texts.ENDPOINTS_FULL)
            return False
        if again is not DispatchFailure.NOT_SENT and not await self._take_retry(job, again):
            log("retry_denied", request=job.request_id, service=job.service)
            self._metrics.retries.labels("denied").inc()
            await self._responder.give_up(job, "retry_budget", texts.ENDPOINTS_FULL)
            return False
        self._metrics.retries.labels(again.value).inc()
        return True

    async def _take_retry(self, job: Job, again: DispatchFailure) -> bool:
        """Takes one of the repeats that are allowed; False if there is none in time.

        A request that an engine refused for lack of its adapter waits for one: the allowance comes
        back little by little, and the adapter is on its way.
        """
        patience = job.request.received + job.route.objective
        while not self._retries.try_spend(job.service, monotonic()):
            if again is not DispatchFailure.LACKS_ADAPTER or monotonic() > patience:
                return False
            await asyncio.sleep(RETRY_POLL_INTERVAL)
        return True

    # One try.

    async def _dispatch(self, job: Job, record: EndpointRecord) -> DispatchFailure | None:
        """Sends the request to an endpoint; returns None when the caller has its answer."""
        conn = await self._pools.acquire(record)
        if conn is None:
            self._outcomes.record_unreachable(record)
            log("endpoint_unreachable", "WARNING", endpoint=record.endpoint, request=job.request_id)
            return DispatchFailure.NOT_SENT
        known = self._endpoints.get(record.endpoint) is record or self._still_ready(record)
        if not known or not self._outcomes.take_permit(record):
            self._pools.release_unused(record.endpoint, conn)
            return DispatchFailure.NOT_SENT
        under = self._begin_dispatch(job, record)
        try:
            return await self._exchange(job, record, conn, under)
        except ConnectionLost as exc:
            conn.close()
            self._outcomes.record_connection_lost(job, record)
            log(
                "answer_lost",
                "WARNING",
                request=job.request_id,
                content=job.content_key,
                endpoint=record.endpoint,
                how=str(exc),
            )
            return DispatchFailure.LOST
        except BaseException:
            conn.close()
            self._outcomes.record_abandoned(job, record)
            raise
        finally:
            self._traffic.end(under)
            self._outcomes.record_end(under.first_token_wait)
            self._views.wake(record.endpoint)

    def _still_ready(self, record: EndpointRecord) -> bool:
        return any(r.endpoint == record.endpoint for r in self._endpoints.ready(record.service))

    def _begin_dispatch(self, job: Job, record: EndpointRecord) -> InFlightRequest:
        terms = job.terms
        job.dispatched_at = monotonic()
        key = self._selector.required_adapter(job) if terms.adapter else None
        kv = terms.prompt_tokens + EXPECTED_OUTPUT_SHARE * terms.output_tokens
        expected = self._expected_first_token(job, record) if terms.model else None
        under = self._traffic.begin(record.endpoint, terms.prompt_tokens, kv, key)
        under.first_token_wait = self._outcomes.record_send(record, expected)
        if key is not None:
            self._load_requests.report_use(record.endpoint, key)
            self._views.get(record.endpoint).note_sending(key, monotonic())
        return under

    def _expected_first_token(self, job: Job, record: EndpointRecord) -> float:
        """Returns the seconds that an engine should take until the first token of a request."""
        load = self._traffic.load_at(record.endpoint)
        engine = job.spec.engine if job.spec else None
        batch = engine.batch if engine else record.slots
        prompt = job.terms.prompt_tokens
        return expected_first_token(load.waiting_tokens, prompt, load.running, batch)

    def _encode_request(self, job: Job, record: EndpointRecord) -> bytes:
        req = job.request
        engine = bool(job.terms.model)
        dispatch = Dispatch(
            record.endpoint,
            max(0.001, job.deadline - monotonic()),
            job.priority if engine else None,
            self._selector.required_adapter(job).version if job.terms.adapter else 0,
            job.splitter.last_id,
            job.requires_key,
            job.team.name if job.team is not None else "",
        )
        lines = [f"{req.method} {req.target} HTTP/1.1".encode("latin-1")]
        lines += [
            name + b": " + value
            for name, value in self._dialect.endpoint_headers(req.raw_headers, dispatch)
        ]
        if req.body or req.method in ("POST", "PUT", "PATCH"):
            lines.append(b"Content-Length: %d" % len(req.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + req.body

    async def _exchange(
        self, job: Job, record: EndpointRecord, conn: Connection, under: InFlightRequest
    ) -> DispatchFailure | None:
        job.dispatch_count += 1
        sent, running = monotonic(), self._traffic.load_at(record.endpoint).running
        log(
            "sent",
            request=job.request_id,
            content=job.content_key,
            endpoint=record.endpoint,
            route=job.route.name,
            adapter=job.terms.adapter,
            version=under.adapter.version if under.adapter else 0,
            running=running,
            waited=monotonic() - job.request.received,
        )
        judge = self._dialect.classify_response
        job.may_have_run_on.append(record.endpoint)
        conn.send_request(
            self._encode_request(job, record),
            lambda head: judge(job.request_id, head) is Verdict.FOREIGN,
            no_body=job.request.method == "HEAD",
        )
        try:
            async with asyncio.timeout(self._head_timeout(job)):
                head = await conn.read_head()
        except TimeoutError:
            conn.close()
            self._outcomes.record_silence(job, record)
            return DispatchFailure.SILENT
        verdict = judge(job.request_id, head)
        notice = self._dialect.read_notice(head)
        if notice is not None:
            self._outcomes.record_notice(job, record, notice)
        if verdict in (Verdict.NOT_RUN, Verdict.MISDIRECTED):
            job.may_have_run_on.remove(record.endpoint)
            return await self._handle_refusal(job, record, conn, under, verdict)
        self._metrics.first_byte.labels(job.route.name).observe(monotonic() - job.request.received)
        if head.status == 200 and (head.get(b"content-type") or b"").startswith(EVENT_STREAM):
            return await self._forward_stream(job, record, conn, under, head)
        if not job.terms.model:
            self._selector.record_response_time(job, record, monotonic() - sent, running)
        return await self._forward_whole(job, record, conn, head, verdict)

    def _head_timeout(self, job: Job) -> float | None:
        """Returns the seconds for the head of an answer; None for all the time that is left."""
        if not job.may_repeat:
            return None
        return RESPONSE_TIMEOUT_SHARE * job.route.objective

    async def _handle_refusal(
        self,
        job: Job,
        record: EndpointRecord,
        conn: Connection,
        under: InFlightRequest,
        verdict: Verdict,
    ) -> DispatchFailure:
        while await conn.read():
            pass
        self._pools.release(record.endpoint, conn)
        self._outcomes.record_refusal(record)
        if under.adapter is None:
            return DispatchFailure.NOT_RUN
        # Which of the two it was is not always told: the load may not have ended yet.
        load_time = self._views.get(record.endpoint).load_time
        pause = max(MIN_MISSING_ADAPTER_PAUSE, MISSING_ADAPTER_LOAD_SHARE * load_time)
        self._views.note_missing_adapter(record.endpoint, under.adapter, pause)
        self._load_requests.request_load(record.endpoint, under.adapter, job.priority, missing=True)
        return (
            DispatchFailure.LACKS_ADAPTER
            if verdict is Verdict.MISDIRECTED
            else DispatchFailure.NOT_RUN
        )

    async def _forward_whole(
        self,
        job: Job,
        record: EndpointRecord,
        conn: Connection,
        head: ResponseHead,
        verdict: Verdict,
    ) -> DispatchFailure | None:
        parts: list[bytes] = []
        size = 0
        while part := await conn.read():
            parts.append(part)
            size += len(part)
            if size > MAX_BODY_BYTES:
                raise ConnectionLost("the answer is too large")
        self._pools.release(record.endpoint, conn)
        failed = verdict is not Verdict.ANSWER
        self._outcomes.record_response(job, record, failed)
        if verdict is Verdict.UNUSABLE:
            return DispatchFailure.FAILED
        if failed and not job.response.started:
            job.failure_response = (head, b"".join(parts))
            if job.may_repeat:
                return DispatchFailure.FAILED
        if job.response.started:
            return DispatchFailure.FAILED
        await self._responder.forward_response(job, record, head, b"".join(parts))
        return None

    # Streams.

    async def _forward_stream(
        self,
        job: Job,
        record: EndpointRecord,
        conn: Connection,
        under: InFlightRequest,
        head: ResponseHead,
    ) -> DispatchFailure | None:
        job.splitter.discard_partial()
        if not job.response.started:
            await job.response.start(head.status, end_to_end_headers(head))
        while True:
            data = await conn.read()
            if not data:
                break
            events = job.splitter.feed(data)
            if under.unread_tokens and events:
                self._traffic.first_token(under)
                self._outcomes.record_first_token(record, under.first_token_wait)
            if events:
                job.record_events(monotonic())
                await job.response.write(events)
        if rest := job.splitter.take_partial():
            await job.response.write(rest)
        self._pools.release(record.endpoint, conn)
        self._outcomes.record_stream_end(job)
        await job.response.finish()
        self._responder.record_responded(job, record.endpoint, head.status)
        return None
