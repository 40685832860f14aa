"""The way of one request: route, endpoint, answer, and what may be tried again.

Once a byte of a request was written to an endpoint, the request may have run; only the endpoint's
own word that it did not makes it "not run" again. A table says for each kind of route what may be
sent again. An answer that can't be passed on becomes a failure that promises nothing; a status that
promises "not run" is sent only for requests that no endpoint can have begun.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.doubt import Doubts
from wigeonarch_core.engine_choice import Choice, EngineState, choose_again
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_core.retry_window import RetryWindow
from wigeonarch_core.routes import Route, RoutingTable, ServiceSpec, pick_service
from wigeonarch_core.service_choice import ServiceState, choose_plain
from wigeonarch_entry.clock import monotonic
from wigeonarch_entry.logs import log

from wigeonarch_gateway import texts
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.connections import Connection, Lost
from wigeonarch_gateway.endpoints import Endpoints
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.events import EventSplitter
from wigeonarch_gateway.exchange import Answer, Incoming
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.pools import Pools
from wigeonarch_gateway.ports import (
    AnswerHead,
    Dialect,
    Dispatch,
    EndpointRecord,
    RequestTerms,
    Verdict,
)
from wigeonarch_gateway.traffic import Traffic, Under
from wigeonarch_gateway.wishes import Wishes

EVENT_STREAM: Final = b"text/event-stream"
# Longest wait for a wished load before another engine is asked, in seconds: a cold load and a half.
WISH_PATIENCE: Final = 0.45
# Share of the time between heartbeats by which expectations are spread at random.
SPREAD: Final = 0.1
# Pause before an engine that lacked an adapter against expectation is tried again, in seconds.
REFUTED_PAUSE: Final = 0.03
# Share of the objective for which a request is held while no endpoint can take it at all.
HOLD_SHARE: Final = 0.5
# The same while an adapter is on its way: a request that is later than this earns little, and its
# caller, told in time, may find another instance that can do better before it gives up.
HOLD_MOST: Final = 2.0
# When to come back after a refusal, in seconds: loads and queues change within that.
COME_BACK: Final = 0.3
# Refused sends of one request after which it is refused itself.
REFUSALS_MOST: Final = 6
# Share of the objective after which an endpoint without an answer is given up, where a request may
# be sent again: it would be late in any case, and an answer that was lost never comes.
SILENCE_SHARE: Final = 1.2
# Answers that are not streams are read whole before they are passed on; bytes.
BODY_MOST: Final = 16 * 1024 * 1024
# Output tokens that a request is expected to use of its greatest length.
OUTPUT_SHARE: Final = 0.5
HEADERS_OF_CONNECTION: Final = frozenset(
    {b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade"}
)


Inputs = dict[str, object]


class Again(enum.Enum):
    """What a try says about another one."""

    NOT_SENT = "not_sent"  # There was no way to the endpoint.
    NOT_RUN = "not_run"  # The endpoint did not run it.
    LACKS_ADAPTER = "lacks_adapter"  # It did not run it for lack of the adapter.
    LOST = "lost"  # It may have run: no answer, or only a part.
    SILENT = "silent"  # It may have run: the endpoint did not answer in the time for one try.
    FAILED = "failed"  # It ran and failed, or the answer can't be passed on.


MAY_HAVE_RUN: Final = frozenset({Again.LOST, Again.SILENT, Again.FAILED})


@dataclass(slots=True)
class Job:
    """A request on its way.

    Attributes:
        req: What the caller sent.
        terms: What its headers ask for.
        answer: Where the answer goes.
        route: Its route.
        service: Service that serves it.
        deadline: Time at which its answer is of no use or the route allows no more.
        spec: The service.
        sends: Sends so far.
        ran: Endpoints at which it may have run, in order of the sends.
        refused: Sends that were refused.
        avoid: Endpoints that it should not be sent to again.
        splitter: Events passed on so far.
        stored: A failure of an endpoint that is passed on if nothing better comes.
    """

    req: Incoming
    terms: RequestTerms
    answer: Answer
    route: Route
    service: str
    deadline: float
    spec: ServiceSpec | None
    sends: int = 0
    ran: list[str] = field(default_factory=list)
    refused: int = 0
    avoid: set[str] = field(default_factory=set)
    splitter: EventSplitter = field(default_factory=EventSplitter)
    stored: tuple[AnswerHead, bytes] | None = None
    wished: str = ""
    wished_at: float = 0.0
    waited: float = 0.0

    @property
    def key(self) -> str:
        """Returns the id for the log."""
        return self.terms.request_id

    @property
    def may_repeat(self) -> bool:
        """Tells whether it may be sent again although it may have run."""
        repeatable = self.route.repeatable or self.route.resumable
        return repeatable and len(set(self.ran)) < self.route.attempts


class Passing:
    """Passes requests on."""

    __slots__ = (
        "_catalogue",
        "_dialect",
        "_doubts",
        "_endpoints",
        "_instance_zone",
        "_lag",
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
        catalogue: Catalogue,
        endpoints: Endpoints,
        views: EngineViews,
        traffic: Traffic,
        pools: Pools,
        wishes: Wishes,
        retries: RetryWindow,
        doubts: Doubts,
        metrics: Metrics,
        zone: str,
        lag: Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._catalogue = catalogue
        self._endpoints = endpoints
        self._views = views
        self._traffic = traffic
        self._pools = pools
        self._wishes = wishes
        self._retries = retries
        self._doubts = doubts
        self._metrics = metrics
        self._instance_zone = zone
        self._lag = lag

    async def serve(self, req: Incoming, answer: Answer) -> None:
        """Answers a request; cancelled when the caller leaves."""
        terms = self._dialect.read_terms(req.headers)
        table = self._catalogue.table
        if table is None:
            await self._refuse(answer, terms, "no_configuration", texts.NO_CONFIGURATION)
            return
        route = table.find(req.host, req.path)
        if route is None:
            log("no_route", request=terms.request_id, host=req.host, version=table.version)
            self._metrics.refusals.labels("no_route").inc()
            await answer.whole(404, [], texts.NO_ROUTE.encode())
            return
        job = self._job(req, terms, answer, route, table)
        self._retries.fresh(job.service, monotonic())
        self._metrics.in_progress.inc()
        try:
            async with asyncio.timeout_at(self._loop_time(job.deadline)):
                await self._until_answered(job)
        except TimeoutError:
            await self._timed_out(job)
        except asyncio.CancelledError:
            log("caller_left", request=job.key, sends=job.sends, begun=answer.begun)
            self._metrics.requests.labels(route.name, "caller_left").inc()
            raise
        finally:
            self._metrics.in_progress.dec()

    def _job(
        self,
        req: Incoming,
        terms: RequestTerms,
        answer: Answer,
        route: Route,
        table: RoutingTable,
    ) -> Job:
        wait = route.timeout if terms.wait is None else min(terms.wait, route.timeout)
        service = pick_service(route, random.random())
        return Job(
            req,
            terms,
            answer,
            route,
            service,
            req.received + wait,
            table.services.get(service),
        )

    @staticmethod
    def _loop_time(when: float) -> float:
        return asyncio.get_running_loop().time() + when - monotonic()

    async def _until_answered(self, job: Job) -> None:
        while True:
            record = await self._find(job)
            if record is None:
                await self._give_up(job, "no_endpoint", texts.NO_ENDPOINT)
                return
            again = await self._try(job, record)
            if again is None:
                return
            job.avoid.add(record.endpoint) if again is not Again.LACKS_ADAPTER else None
            if not await self._may_go_on(job, record, again):
                return

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
            await self._fail(job, again)
            return False
        job.refused += again not in MAY_HAVE_RUN
        if job.refused > REFUSALS_MOST:
            await self._give_up(job, "endpoints_full", texts.ENDPOINTS_FULL)
            return False
        if again is not Again.NOT_SENT and not self._retries.spend(job.service, monotonic()):
            log("retry_denied", request=job.key, service=job.service)
            self._metrics.retries.labels("denied").inc()
            await self._give_up(job, "retry_budget", texts.ENDPOINTS_FULL)
            return False
        self._metrics.retries.labels(again.value).inc()
        return True

    # Finding an endpoint.

    async def _find(self, job: Job) -> EndpointRecord | None:
        """Returns an endpoint that can run the request now; None when there is none in time."""
        began = monotonic()
        patience = HOLD_SHARE * job.route.objective
        longest = HOLD_MOST * job.route.objective
        while True:
            now = monotonic()
            if job.terms.model and job.spec is not None and job.spec.engine is not None:
                found, hopeful = self._find_engine(job, now)
            else:
                found, hopeful = self._find_plain(job, now), False
            if found is not None:
                job.waited += now - began
                return found
            if now - began > (longest if hopeful else patience):
                return None
            if hopeful:
                await self._views.change(self._pause(job, now), job.wished)
            else:
                await self._views.change(REFUTED_PAUSE)

    def _pause(self, job: Job, now: float) -> float:
        """Returns the time after which a wished load may be there without further news."""
        left = self._views.get(job.wished).loading_left(self._adapter(job), now)
        return max(0.004, min(0.1, 0.1 if left is None else left + 0.002))

    def _find_plain(self, job: Job, now: float) -> EndpointRecord | None:
        records = self._usable(job, now)
        chosen = choose_plain(
            ServiceState(
                record.endpoint,
                record.zone == self._instance_zone,
                record.slots,
                self._traffic.at(record.endpoint).running,
                self._doubts.failing(record.endpoint),
            )
            for record in records
        )
        return self._endpoints.get(chosen) if chosen else None

    def _usable(self, job: Job, now: float) -> list[EndpointRecord]:
        ready = self._endpoints.ready(job.service)
        fresh = [record for record in ready if record.endpoint not in job.avoid]
        fresh = fresh or [record for record in ready if record.endpoint not in job.ran]
        return [record for record in fresh if not self._doubts.shut(record.endpoint, now)]

    def _find_engine(self, job: Job, now: float) -> tuple[EndpointRecord | None, bool]:
        """Returns an engine to send to, or whether waiting for a load makes sense."""
        choice = self._choose_engine(job, now)
        if choice is None:
            return None, False
        if not choice.load:
            return self._endpoints.get(choice.endpoint), True
        if choice.endpoint != job.wished:
            self._note_wish(job, choice, now)
            job.wished = choice.endpoint
            job.wished_at = now
        self._wishes.wish(choice.endpoint, self._adapter(job), job.route.priority, missing=False)
        return None, True

    def _note_wish(self, job: Job, choice: Choice, now: float) -> None:
        view = self._views.get(choice.endpoint)
        log(
            "adapter_awaited",
            request=job.key,
            endpoint=choice.endpoint,
            adapter=job.terms.adapter,
            expected=choice.expected,
            holder=view.holder,
            heard=now - view.heard,
            free=view.free,
            loading=len(view.loading),
            before=job.wished,
            waited=now - job.req.received,
        )

    def _choose_engine(self, job: Job, now: float) -> Choice | None:
        key = self._adapter(job)
        states = [self._state(record, job, key, now) for record in self._usable(job, now)]
        found = [state for state in states if state is not None]
        patient = now - job.wished_at < WISH_PATIENCE
        spread = SPREAD * self._lag()
        return choose_again(
            found,
            job.terms.prompt_tokens,
            job.wished,
            patient,
            lambda: random.uniform(0.0, spread),
        )

    def _adapter(self, job: Job) -> AdapterKey:
        terms = job.terms
        version = self._catalogue.version(terms.model, terms.adapter) if terms.adapter else 0
        return AdapterKey(terms.model, terms.adapter, version)

    def _state(
        self, record: EndpointRecord, job: Job, key: AdapterKey, now: float
    ) -> EngineState | None:
        view = self._views.get(record.endpoint)
        if key.model not in view.models:
            return None
        load = self._traffic.at(record.endpoint)
        engine = job.spec.engine if job.spec else None
        return EngineState(
            endpoint=record.endpoint,
            same_zone=record.zone == self._instance_zone,
            holds=not key.adapter or view.holds(key, now),
            loading_left=view.loading_left(key, now),
            warm=view.warm(key),
            replaces=view.replaces(key),
            loadable=view.loadable(now),
            free_places=view.free,
            loading=len(view.loading),
            waiting_tokens=load.waiting_tokens,
            running=load.running,
            batch=engine.batch if engine else record.slots,
            kv_tokens=load.kv_tokens,
            kv_total=engine.kv_tokens if engine else 0,
            failing=self._doubts.failing(record.endpoint),
        )

    # One try.

    async def _try(self, job: Job, record: EndpointRecord) -> Again | None:
        """Sends the request to an endpoint; returns None when the caller has its answer."""
        conn = await self._pools.take(record)
        now = monotonic()
        if conn is None:
            self._doubts.unreachable(record.endpoint, now)
            log("endpoint_unreachable", "WARNING", endpoint=record.endpoint, request=job.key)
            return Again.NOT_SENT
        if self._endpoints.get(record.endpoint) is not record and not self._still_ready(record):
            self._pools.put_back(record.endpoint, conn)
            return Again.NOT_SENT
        under = self._begin(job, record)
        try:
            return await self._exchange(job, record, conn, under)
        except Lost as exc:
            conn.close()
            self._doubts.unreachable(record.endpoint, monotonic())
            log("answer_lost", "WARNING", request=job.key, endpoint=record.endpoint, how=str(exc))
            return Again.LOST
        except BaseException:
            conn.close()
            self._doubts.released(record.endpoint)
            raise
        finally:
            self._traffic.end(under)
            self._views.wake(record.endpoint)

    def _still_ready(self, record: EndpointRecord) -> bool:
        return any(r.endpoint == record.endpoint for r in self._endpoints.ready(record.service))

    def _begin(self, job: Job, record: EndpointRecord) -> Under:
        terms = job.terms
        key = self._adapter(job) if terms.adapter else None
        kv = terms.prompt_tokens + OUTPUT_SHARE * terms.output_tokens
        under = self._traffic.begin(record.endpoint, terms.prompt_tokens, kv, key)
        if key is not None:
            self._wishes.using(record.endpoint, key)
            self._views.get(record.endpoint).sending(key, monotonic())
        self._doubts.sending(record.endpoint, monotonic())
        return under

    def _request(self, job: Job, record: EndpointRecord) -> bytes:
        req = job.req
        engine = bool(job.terms.model)
        dispatch = Dispatch(
            record.endpoint,
            max(0.001, job.deadline - monotonic()),
            job.route.priority if engine else None,
            self._adapter(job).version if job.terms.adapter else 0,
            job.splitter.last_id,
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
        log(
            "sent",
            request=job.key,
            endpoint=record.endpoint,
            route=job.route.name,
            adapter=job.terms.adapter,
            version=under.key.version if under.key else 0,
            running=self._traffic.at(record.endpoint).running,
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
            self._doubts.unreachable(record.endpoint, monotonic())
            return Again.SILENT
        verdict = judge(job.key, head)
        if verdict in (Verdict.NOT_RUN, Verdict.MISDIRECTED):
            job.ran.remove(record.endpoint)
            return await self._refused_by(job, record, conn, under, verdict)
        self._metrics.first_byte.labels(job.route.name).observe(monotonic() - job.req.received)
        if head.status == 200 and (head.get(b"content-type") or b"").startswith(EVENT_STREAM):
            return await self._stream(job, record, conn, under, head)
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
        self._doubts.released(record.endpoint)
        if under.key is None:
            return Again.NOT_RUN
        # Which of the two it was is not always told: the load may not have ended yet.
        self._views.refuted(record.endpoint, under.key, REFUTED_PAUSE)
        self._wishes.wish(record.endpoint, under.key, job.route.priority, missing=True)
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
        self._doubts.answered(record.endpoint, failed)
        if verdict is Verdict.UNUSABLE:
            return Again.FAILED
        if failed and not job.answer.begun:
            job.stored = (head, b"".join(parts))
            if job.may_repeat:
                return Again.FAILED
        if job.answer.begun:
            return Again.FAILED
        await self._pass_on(job, record, head, b"".join(parts))
        return None

    async def _pass_on(
        self, job: Job, record: EndpointRecord | None, head: AnswerHead, body: bytes
    ) -> None:
        await job.answer.whole(head.status, _for_caller(head), body)
        self._answered(job, record.endpoint if record else "", head.status)

    def _answered(self, job: Job, endpoint: str, status: int) -> None:
        log(
            "answered",
            request=job.key,
            endpoint=endpoint,
            status=status,
            sends=job.sends,
            held=job.waited,
            took=monotonic() - job.req.received,
        )
        self._metrics.requests.labels(job.route.name, "answered").inc()
        if job.terms.adapter:
            self._metrics.load_wait.observe(job.waited)

    # Streams.

    async def _stream(
        self, job: Job, record: EndpointRecord, conn: Connection, under: Under, head: AnswerHead
    ) -> Again | None:
        job.splitter.drop_rest()
        if not job.answer.begun:
            await job.answer.begin(head.status, _for_caller(head))
        while True:
            data = await conn.read()
            if not data:
                break
            events = job.splitter.feed(data)
            if under.prompt and events:
                self._traffic.first_token(under)
                self._doubts.answered(record.endpoint, failed=False)
            if events:
                await job.answer.write(events)
        if rest := job.splitter.rest():
            await job.answer.write(rest)
        self._pools.give_back(record.endpoint, conn)
        await job.answer.end()
        self._answered(job, record.endpoint, head.status)
        return None

    # Final answers of this instance's own.

    async def _refuse(
        self,
        answer: Answer,
        terms: RequestTerms,
        reason: str,
        text: str,
        inputs: Inputs | None = None,
    ) -> None:
        after = COME_BACK
        bound = inputs or {}
        request = terms.request_id
        log("refused", "INFO", request=request, reason=reason, retry_after=after, **bound)
        self._metrics.refusals.labels(reason).inc()
        headers = [(b"Retry-After", f"{after:.2f}".encode())]
        await answer.whole(503, headers, text.encode())

    def _inputs(self, job: Job) -> Inputs:
        """Returns what a refusal rested on, for the log."""
        now = monotonic()
        ready = self._endpoints.ready(job.service)
        views = [self._views.get(record.endpoint) for record in ready]
        return {
            "route": job.route.name,
            "service": job.service,
            "adapter": job.terms.adapter,
            "ready": len(ready),
            "shut": sum(self._doubts.shut(record.endpoint, now) for record in ready),
            "loadable": sum(view.loadable(now) for view in views),
            "with_model": sum(job.terms.model in view.models for view in views),
            "sends": job.sends,
            "waited": now - job.req.received,
        }

    async def _give_up(self, job: Job, reason: str, text: str) -> None:
        """Answers a request that no endpoint will be asked for any more."""
        if job.answer.begun or job.ran:
            await self._fail(job, Again.FAILED)
            return
        await self._refuse(job.answer, job.terms, reason, text, self._inputs(job))
        self._metrics.requests.labels(job.route.name, "refused").inc()

    async def _fail(self, job: Job, again: Again) -> None:
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
            head, body = job.stored
            await self._pass_on(job, None, head, body)
            return
        text = texts.ENDPOINT_FAILED if again is Again.FAILED else texts.OUTCOME_UNKNOWN
        await job.answer.whole(502, [], text.encode())

    async def _timed_out(self, job: Job) -> None:
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
        elif job.ran:
            await job.answer.whole(504, [], texts.TIMED_OUT.encode())
        else:
            inputs = self._inputs(job)
            await self._refuse(job.answer, job.terms, "timed_out", texts.NO_TIME_LEFT, inputs)


def _for_caller(head: AnswerHead) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an endpoint's answer without those of its connection."""
    dropped = set(HEADERS_OF_CONNECTION)
    for name, value in head.headers:
        if name == b"connection":
            dropped.update(part.strip().lower() for part in value.split(b","))
    dropped.add(b"content-length")
    return [(name, value) for name, value in head.headers if name not in dropped]
