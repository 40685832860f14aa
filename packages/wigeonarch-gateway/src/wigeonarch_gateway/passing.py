"""The way of an admitted request: endpoint, answer, and what may be tried again.

Once a byte of a request was written to an endpoint, the request may have run; only the endpoint's
own word that it did not makes it "not run" again. What may have run is sent again only where its
route allows that. Requests come from `serving`; endpoints are found by `finding`; how requests end
is in `closing`.
"""

from __future__ import annotations

import asyncio
from typing import Final

from wigeonarch_core.engine_choice import until_first_token
from wigeonarch_core.retry_window import RetryWindow
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway import texts
from wigeonarch_gateway.closing import Closing, for_caller
from wigeonarch_gateway.connections import Connection, Lost
from wigeonarch_gateway.endpoints import Endpoints
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.evidence import Evidence
from wigeonarch_gateway.finding import Finder, NoEndpoint
from wigeonarch_gateway.jobs import MAY_HAVE_RUN, Again, Job
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.pools import Pools
from wigeonarch_gateway.ports import (
    AnswerHead,
    Dialect,
    Dispatch,
    EndpointRecord,
    Verdict,
)
from wigeonarch_gateway.traffic import Traffic, Under
from wigeonarch_gateway.wishes import Wishes

NO_ENDPOINT_TEXTS: Final = {
    NoEndpoint.NONE: texts.NO_ENDPOINT,
    NoEndpoint.OVERLOADED: texts.OVERLOADED,
    NoEndpoint.LIMITED: texts.LIMITED,
}
EVENT_STREAM: Final = b"text/event-stream"
# Pause before an engine that lacked an adapter against expectation is tried again, in seconds, and
# as a share of what a load takes there.
REFUTED_PAUSE: Final = 0.03
REFUTED_SHARE: Final = 0.15
RETRY_LOOK: Final = 0.05  # Seconds between looks for an allowed repeat.
# Refused sends of one request after which it is refused itself.
REFUSALS_MOST: Final = 6
# Share of the objective after which an endpoint without an answer is given up, where a request may
# be sent again: it would be late in any case, and an answer that was lost never comes.
SILENCE_SHARE: Final = 1.2
# Answers that are not streams are read whole before they are passed on; bytes.
BODY_MOST: Final = 16 * 1024 * 1024
# Output tokens that a request is expected to use of its greatest length.
OUTPUT_SHARE: Final = 0.5


class Passing:
    """Passes requests on."""

    __slots__ = (
        "_closing",
        "_dialect",
        "_endpoints",
        "_evidence",
        "_finder",
        "_metrics",
        "_pools",
        "_retries",
        "_traffic",
        "_views",
        "_wishes",
    )

    def __init__(
        self,
        dialect: Dialect,
        endpoints: Endpoints,
        views: EngineViews,
        traffic: Traffic,
        pools: Pools,
        wishes: Wishes,
        retries: RetryWindow,
        evidence: Evidence,
        metrics: Metrics,
        finder: Finder,
        closing: Closing,
    ) -> None:
        self._dialect = dialect
        self._endpoints = endpoints
        self._views = views
        self._traffic = traffic
        self._pools = pools
        self._wishes = wishes
        self._retries = retries
        self._evidence = evidence
        self._metrics = metrics
        self._finder = finder
        self._closing = closing

    async def until_answered(self, job: Job) -> None:
        """Tries until the caller has its answer; cancelled when the time or the caller is gone."""
        while not await self._is_quarantined(job):
            record = await self._finder.find(job)
            if isinstance(record, NoEndpoint):
                after = self._finder.come_back(job, record)
                await self._closing.give_up(job, record.value, NO_ENDPOINT_TEXTS[record], after)
                return
            if await self._is_quarantined(job):
                return
            again = await self._try(job, record)
            if again is None:
                return
            if again is not Again.LACKS_ADAPTER:
                job.avoid.add(record.endpoint)
            if not await self._may_go_on(job, record, again):
                return

    async def _is_quarantined(self, job: Job) -> bool:
        """Refuses a request under which endpoints end; returns whether it did.

        Others may have seen that while this request looked for an endpoint.
        """
        held = self._evidence.held_for(job)
        if not held:
            return False
        await self._closing.give_up(job, "quarantined", texts.QUARANTINED, held)
        return True

    async def _may_go_on(self, job: Job, record: EndpointRecord, again: Again) -> bool:
        """Decides whether another try follows; if not, answers."""
        log(
            "try_failed",
            request=job.key,
            endpoint=record.endpoint,
            reason=again.value,
            sends=job.sends,
            waited=monotonic() - job.req.received,
        )
        if again in MAY_HAVE_RUN and not job.may_repeat:
            await self._closing.fail(job, again)
            return False
        job.refused += again not in MAY_HAVE_RUN
        if job.refused > REFUSALS_MOST:
            await self._closing.give_up(job, "endpoints_full", texts.ENDPOINTS_FULL)
            return False
        if again is not Again.NOT_SENT and not await self._spend_retry(job, again):
            log("retry_denied", request=job.key, service=job.service)
            self._metrics.retries.labels("denied").inc()
            await self._closing.give_up(job, "retry_budget", texts.ENDPOINTS_FULL)
            return False
        self._metrics.retries.labels(again.value).inc()
        return True

    async def _spend_retry(self, job: Job, again: Again) -> bool:
        """Takes one of the repeats that are allowed; False if there is none in time.

        A request that an engine refused for lack of its adapter waits for one: the allowance comes
        back little by little, and the adapter is on its way.
        """
        patience = job.req.received + job.route.objective
        while not self._retries.spend(job.service, monotonic()):
            if again is not Again.LACKS_ADAPTER or monotonic() > patience:
                return False
            await asyncio.sleep(RETRY_LOOK)
        return True

    # One try.

    async def _try(self, job: Job, record: EndpointRecord) -> Again | None:
        """Sends the request to an endpoint; returns None when the caller has its answer."""
        conn = await self._pools.take(record)
        if conn is None:
            self._evidence.unreachable(record)
            log("endpoint_unreachable", "WARNING", endpoint=record.endpoint, request=job.key)
            return Again.NOT_SENT
        known = self._endpoints.get(record.endpoint) is record or self._still_ready(record)
        if not known or not self._evidence.permitted(record):
            self._pools.put_back(record.endpoint, conn)
            return Again.NOT_SENT
        under = self._begin(job, record)
        try:
            return await self._exchange(job, record, conn, under)
        except Lost as exc:
            conn.close()
            self._evidence.lost(job, record)
            log(
                "answer_lost",
                "WARNING",
                request=job.key,
                content=job.content,
                endpoint=record.endpoint,
                how=str(exc),
            )
            return Again.LOST
        except BaseException:
            conn.close()
            self._evidence.left(job, record)
            raise
        finally:
            self._traffic.end(under)
            self._evidence.ended(under.wait)
            self._views.wake(record.endpoint)

    def _still_ready(self, record: EndpointRecord) -> bool:
        return any(r.endpoint == record.endpoint for r in self._endpoints.ready(record.service))

    def _begin(self, job: Job, record: EndpointRecord) -> Under:
        terms = job.terms
        job.sent_at = monotonic()
        key = self._finder.adapter(job) if terms.adapter else None
        kv = terms.prompt_tokens + OUTPUT_SHARE * terms.output_tokens
        expected = self._expect(job, record) if terms.model else None
        under = self._traffic.begin(record.endpoint, terms.prompt_tokens, kv, key)
        under.wait = self._evidence.sending(record, expected)
        if key is not None:
            self._wishes.using(record.endpoint, key)
            self._views.get(record.endpoint).sending(key, monotonic())
        return under

    def _expect(self, job: Job, record: EndpointRecord) -> float:
        """Returns the seconds that an engine should take until the first token of a request."""
        load = self._traffic.at(record.endpoint)
        engine = job.spec.engine if job.spec else None
        batch = engine.batch if engine else record.slots
        prompt = job.terms.prompt_tokens
        return until_first_token(load.waiting_tokens, prompt, load.running, batch)

    def _request(self, job: Job, record: EndpointRecord) -> bytes:
        req = job.req
        engine = bool(job.terms.model)
        dispatch = Dispatch(
            record.endpoint,
            max(0.001, job.deadline - monotonic()),
            job.priority if engine else None,
            self._finder.adapter(job).version if job.terms.adapter else 0,
            job.splitter.last_id,
            job.keyed,
            job.team.name if job.team is not None else "",
        )
        lines = [f"{req.method} {req.target} HTTP/1.1".encode("latin-1")]
        lines += [
            name + b": " + value for name, value in self._dialect.forward(req.raw_headers, dispatch)
        ]
        if req.body or req.method in ("POST", "PUT", "PATCH"):
            lines.append(b"Content-Length: %d" % len(req.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + req.body

    async def _exchange(
        self, job: Job, record: EndpointRecord, conn: Connection, under: Under
    ) -> Again | None:
        job.sends += 1
        sent, running = monotonic(), self._traffic.at(record.endpoint).running
        log(
            "sent",
            request=job.key,
            content=job.content,
            endpoint=record.endpoint,
            route=job.route.name,
            adapter=job.terms.adapter,
            version=under.key.version if under.key else 0,
            running=running,
            waited=monotonic() - job.req.received,
        )
        judge = self._dialect.judge
        job.ran.append(record.endpoint)
        conn.begin(
            self._request(job, record),
            lambda head: judge(job.key, head) is Verdict.FOREIGN,
            no_body=job.req.method == "HEAD",
        )
        try:
            async with asyncio.timeout(self._patience(job)):
                head = await conn.head()
        except TimeoutError:
            conn.close()
            self._evidence.silent(job, record)
            return Again.SILENT
        verdict = judge(job.key, head)
        notice = self._dialect.read_notice(head)
        if notice is not None:
            self._evidence.headed(job, record, notice)
        if verdict in (Verdict.NOT_RUN, Verdict.MISDIRECTED):
            job.ran.remove(record.endpoint)
            return await self._refused_by(job, record, conn, under, verdict)
        self._metrics.first_byte.labels(job.route.name).observe(monotonic() - job.req.received)
        if head.status == 200 and (head.get(b"content-type") or b"").startswith(EVENT_STREAM):
            return await self._stream(job, record, conn, under, head)
        if not job.terms.model:
            self._finder.answered(job, record, monotonic() - sent, running)
        return await self._whole(job, record, conn, head, verdict)

    def _patience(self, job: Job) -> float | None:
        """Returns the seconds for the head of an answer; None for all the time that is left."""
        if not job.may_repeat:
            return None
        return SILENCE_SHARE * job.route.objective

    async def _refused_by(
        self,
        job: Job,
        record: EndpointRecord,
        conn: Connection,
        under: Under,
        verdict: Verdict,
    ) -> Again:
        while await conn.read():
            pass
        self._pools.give_back(record.endpoint, conn)
        self._evidence.refused(record)
        if under.key is None:
            return Again.NOT_RUN
        # Which of the two it was is not always told: the load may not have ended yet.
        load_time = self._views.get(record.endpoint).load_time
        pause = max(REFUTED_PAUSE, REFUTED_SHARE * load_time)
        self._views.refuted(record.endpoint, under.key, pause)
        self._wishes.wish(record.endpoint, under.key, job.priority, missing=True)
        return Again.LACKS_ADAPTER if verdict is Verdict.MISDIRECTED else Again.NOT_RUN

    async def _whole(
        self, job: Job, record: EndpointRecord, conn: Connection, head: AnswerHead, verdict: Verdict
    ) -> Again | None:
        parts: list[bytes] = []
        size = 0
        while part := await conn.read():
            parts.append(part)
            size += len(part)
            if size > BODY_MOST:
                raise Lost("the answer is too large")
        self._pools.give_back(record.endpoint, conn)
        failed = verdict is not Verdict.ANSWER
        self._evidence.answered(job, record, failed)
        if verdict is Verdict.UNUSABLE:
            return Again.FAILED
        if failed and not job.answer.begun:
            job.stored = (head, b"".join(parts))
            if job.may_repeat:
                return Again.FAILED
        if job.answer.begun:
            return Again.FAILED
        await self._closing.pass_on(job, record, head, b"".join(parts))
        return None

    # Streams.

    async def _stream(
        self, job: Job, record: EndpointRecord, conn: Connection, under: Under, head: AnswerHead
    ) -> Again | None:
        job.splitter.drop_rest()
        if not job.answer.begun:
            await job.answer.begin(head.status, for_caller(head))
        while True:
            data = await conn.read()
            if not data:
                break
            events = job.splitter.feed(data)
            if under.prompt and events:
                self._traffic.first_token(under)
                self._evidence.first_token(record, under.wait)
            if events:
                job.passed(monotonic())
                await job.answer.write(events)
        if rest := job.splitter.rest():
            await job.answer.write(rest)
        self._pools.give_back(record.endpoint, conn)
        self._evidence.streamed(job)
        await job.answer.end()
        self._closing.answered(job, record.endpoint, head.status)
        return None
