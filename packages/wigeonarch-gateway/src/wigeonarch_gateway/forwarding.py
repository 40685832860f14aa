"""Forwards an admitted request to endpoints until one gives a response, or no retry is allowed.

Once a byte of a request was written to an endpoint, the request may have run; it counts as not run
only if the endpoint itself says so. A request that may have run is sent again only if its route
allows that. Requests come from `serving`, endpoints are chosen by `selection`, and responses to the
caller are sent by `responder`.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Final

from wigeonarch_core.endpoint_pace import GAPS_PER_SAMPLE, EventGaps, expected_gaps
from wigeonarch_core.engine_choice import expected_first_token
from wigeonarch_core.retry_window import RetryWindow
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_gateway import texts
from wigeonarch_gateway.attribution import is_certain, may_carry
from wigeonarch_gateway.calls import learn_incarnation
from wigeonarch_gateway.connections import (
    Connection,
    ConnectionLost,
    Framing,
    encode_head,
)
from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.extra_tries import ExtraTries
from wigeonarch_gateway.jobs import MAY_HAVE_RUN, DispatchFailure, Job
from wigeonarch_gateway.load_requests import LoadRequests
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.peer_forwarding import PeerForwarder
from wigeonarch_gateway.pools import ConnectionPools
from wigeonarch_gateway.ports import (
    Dialect,
    Dispatch,
    EndpointRecord,
    ResponseHead,
    Verdict,
)
from wigeonarch_gateway.refusal_reasons import NoEndpointReason
from wigeonarch_gateway.responder import Responder, end_to_end_headers
from wigeonarch_gateway.selection import EndpointSelector, LogFields
from wigeonarch_gateway.stream_origins import StreamOrigins, Unresumable
from wigeonarch_gateway.traffic import InFlightRequest, InFlightTracker

UNRESUMABLE_TEXTS: Final = {
    Unresumable.ORIGIN_UNKNOWN: texts.ORIGIN_UNKNOWN,
    Unresumable.SOFTWARE_GONE: texts.SOFTWARE_GONE,
}
NO_ENDPOINT_TEXTS: Final = {
    NoEndpointReason.UNAVAILABLE: texts.NO_ENDPOINT,
    NoEndpointReason.OVERLOADED: texts.OVERLOADED,
    NoEndpointReason.LIMITED: texts.LIMITED,
    NoEndpointReason.NO_PLACE: texts.NO_PLACE,
    NoEndpointReason.SOFTWARE_GONE: texts.SOFTWARE_GONE,
    NoEndpointReason.OUT_OF_REACH: texts.OUT_OF_REACH,
    NoEndpointReason.PART_HELD: texts.PART_HELD,
}
# Pause before an engine that was believed to have an adapter and lacked it is tried again: in
# seconds, at least, and as a share of the time that a load takes there.
MIN_MISSING_ADAPTER_PAUSE: Final = 0.03
MISSING_ADAPTER_LOAD_SHARE: Final = 0.15
REPORT_TIMEOUT: Final = 0.2  # Seconds for a report by which an endpoint shows its incarnation.
RETRY_POLL_INTERVAL: Final = 0.05  # Seconds between checks whether the retry budget allows a retry.
MAX_REFUSALS: Final = 6  # Refused dispatches of one request; after one more it is refused itself.
# Share of the latency objective after which a dispatch without a response is given up, if the
# request may be sent again: the response would be late in any case, and a lost one never comes.
RESPONSE_TIMEOUT_SHARE: Final = 1.2
# Share of the requested output length that a request is expected to use.
EXPECTED_OUTPUT_SHARE: Final = 0.5

MAX_LOGGED_PARTS: Final = 8  # Parts of a prompt that a log line names.


def find_broken_end(framing: Framing, inside_event: bool, is_empty: bool) -> str:
    """Returns why a stream that ended in order has broken off; empty if it is complete.

    An endpoint that crashes may close its connections in order, as one does that has sent all.

    Args:
        framing: How the end of the stream was recognised.
        inside_event: Whether the stream ended inside an event.
        is_empty: Whether no event came.
    """
    if inside_event:
        return "ended inside an event"
    if is_empty and framing is Framing.CONNECTION:
        return "closed before an event"
    return ""


class Forwarder:
    """Forwards requests to endpoints and their responses to callers."""

    __slots__ = (
        "_dialect",
        "_endpoints",
        "_extra_tries",
        "_load_requests",
        "_metrics",
        "_outcomes",
        "_peer_forwarder",
        "_pools",
        "_responder",
        "_retries",
        "_selector",
        "_streams",
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
        load_requests: LoadRequests,
        retries: RetryWindow,
        outcomes: DispatchOutcomes,
        metrics: Metrics,
        selector: EndpointSelector,
        responder: Responder,
        peer_forwarder: PeerForwarder,
        streams: StreamOrigins,
        extra_tries: ExtraTries,
    ) -> None:
        self._dialect = dialect
        self._endpoints = endpoints
        self._views = views
        self._traffic = traffic
        self._pools = pools
        self._load_requests = load_requests
        self._retries = retries
        self._outcomes = outcomes
        self._metrics = metrics
        self._selector = selector
        self._responder = responder
        self._peer_forwarder = peer_forwarder
        self._streams = streams
        self._extra_tries = extra_tries

    async def forward(self, job: Job) -> None:
        """Dispatches a request until its caller has a response.

        The task is cancelled when the request's deadline passes or its caller disconnects.
        """
        if job.takes_up_stream:
            refusal = await self._streams.bind(job)
            if refusal is not None:
                await self._responder.give_up(job, refusal.value, UNRESUMABLE_TEXTS[refusal])
                return
        while not await self._refuse_if_quarantined(job):
            record = await self._selector.select(job)
            if record is NoEndpointReason.OUT_OF_REACH:
                if await self._hand_over(job):
                    return
                continue
            if isinstance(record, NoEndpointReason):
                after = self._selector.retry_after(job, record)
                await self._responder.give_up(job, record.value, NO_ENDPOINT_TEXTS[record], after)
                return
            if await self._refuse_if_quarantined(job):
                return
            failure = await self._extra_tries.dispatch(job, record, self._dispatch)
            if failure is None:
                return
            if failure is not DispatchFailure.LACKS_ADAPTER:
                job.avoided_endpoints.add(record.endpoint)
            if not await self._may_retry(job, record, failure):
                return

    async def _hand_over(self, job: Job) -> bool:
        """Hands a request over to a peer; returns whether the caller has its response."""
        peer = self._peer_forwarder.choose(job)
        if peer is None:
            reason = NoEndpointReason.OUT_OF_REACH
            await self._responder.give_up(job, reason.value, NO_ENDPOINT_TEXTS[reason])
            return True
        if job.peers_tried and not await self._take_retry(job, DispatchFailure.NOT_RUN):
            # The first peer may have sent it to endpoints, which refused it.
            await self._responder.give_up(job, "retry_budget", texts.ENDPOINTS_FULL)
            return True
        failure = await self._peer_forwarder.forward(job, peer)
        if failure is None:
            return True
        _log_failed_try(job, peer.name, failure)
        if failure in MAY_HAVE_RUN:
            await self._responder.fail(job, failure)
            return True
        return False

    async def _refuse_if_quarantined(self, job: Job) -> bool:
        """Refuses a request that crashes endpoints; returns whether it did.

        Checked again after an endpoint was selected: meanwhile other instances may have reported
        further crashes.
        """
        quarantine_left = self._outcomes.quarantine_left(job)
        if not quarantine_left:
            return False
        await self._responder.give_up(job, "quarantined", texts.QUARANTINED, quarantine_left)
        return True

    async def _may_retry(self, job: Job, record: EndpointRecord, failure: DispatchFailure) -> bool:
        """Decides whether another dispatch follows a failed one; if not, responds to the caller."""
        _log_failed_try(job, record.endpoint, failure)
        if failure in MAY_HAVE_RUN and not job.may_repeat:
            await self._responder.fail(job, failure)
            return False
        job.refusal_count += failure not in MAY_HAVE_RUN
        if job.refusal_count > MAX_REFUSALS:
            await self._responder.give_up(job, "endpoints_full", texts.ENDPOINTS_FULL)
            return False
        if failure is not DispatchFailure.NOT_SENT and not await self._take_retry(job, failure):
            log("retry_denied", request=job.request_id, service=job.service)
            self._metrics.retries.labels("denied").inc()
            await self._responder.give_up(job, "retry_budget", texts.ENDPOINTS_FULL)
            return False
        self._metrics.retries.labels(failure.value).inc()
        return True

    async def _take_retry(self, job: Job, failure: DispatchFailure) -> bool:
        """Takes one retry out of the service's retry budget; False if there is none in time.

        A request that an engine refused because the adapter is not loaded waits for the budget: it
        refills gradually, and the adapter is being loaded meanwhile.
        """
        give_up_at = job.request.received + job.route.objective
        while not self._retries.try_spend(job.service, monotonic()):
            if failure is not DispatchFailure.LACKS_ADAPTER or monotonic() > give_up_at:
                return False
            await asyncio.sleep(RETRY_POLL_INTERVAL)
        return True

    # One dispatch.

    async def _dispatch(self, job: Job, record: EndpointRecord) -> DispatchFailure | None:
        """Sends the request to an endpoint; returns None when the caller has its response."""
        conn = await self._connect(job, record)
        if conn is None:
            return DispatchFailure.NOT_SENT
        if not self._may_run_there(job, record, conn):
            conn.close()
            return DispatchFailure.NOT_SENT
        if monotonic() >= job.deadline:
            # After a pause of this process; sending it now could only make the outcome unknown.
            self._pools.release_unused(record.endpoint, conn)
            raise TimeoutError
        still_registered = self._endpoints.get(record.endpoint) is record or self._still_ready(
            record
        )
        is_allowed = still_registered and self._outcomes.admits_parts(job, record)
        if not is_allowed or not self._outcomes.take_permit(record):
            self._pools.release_unused(record.endpoint, conn)
            return DispatchFailure.NOT_SENT
        in_flight = self._begin_dispatch(job, record)
        try:
            return await self._exchange(job, record, conn, in_flight)
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
                received=conn.received,
                body=conn.body_bytes,
                parts=_logged_parts(job),
                writing=job.writing_time,
            )
            return DispatchFailure.LOST
        except BaseException:
            conn.close()
            self._outcomes.record_abandoned(job, record)
            raise
        finally:
            self._traffic.end(in_flight)
            self._outcomes.record_end(record, in_flight.first_token_wait)
            self._views.wake(record.endpoint)

    async def _connect(self, job: Job, record: EndpointRecord) -> Connection | None:
        """Returns a connection to an endpoint; None if it can't be reached.

        The record of an endpoint that restarted under its id follows late, or not at all to an
        instance that is cut off. So the process is asked where it matters which software it runs.
        """
        may_use = partial(_may_carry, job)
        conn = await self._pools.acquire(record, may_use)
        if conn is not None and record.born and _depends_on_software(job):
            is_usable = bool(conn.process_born) or await learn_incarnation(
                conn, self._dialect, record, REPORT_TIMEOUT
            )
            if not is_usable:
                conn.close()
                conn = await self._pools.acquire(record, may_use)
        if conn is None:
            self._outcomes.record_unreachable(record)
            log("endpoint_unreachable", "WARNING", endpoint=record.endpoint, request=job.request_id)
        return conn

    def _may_run_there(self, job: Job, record: EndpointRecord, conn: Connection) -> bool:
        """Tells whether the software at the other end of a connection is certain where it must be.

        A stream goes on only at the software that began it. One that may be resumed begins at
        unsure software, too, and can't go on then, but not while this instance is cut off.
        """
        if _leads_to(record, conn) or not _depends_on_software(job):
            return True
        log("incarnation_unsure", "WARNING", endpoint=record.endpoint, request=job.request_id)
        return job.origin is None and not self._streams.is_behind()

    def _still_ready(self, record: EndpointRecord) -> bool:
        return any(r.endpoint == record.endpoint for r in self._endpoints.ready(record.service))

    def _begin_dispatch(self, job: Job, record: EndpointRecord) -> InFlightRequest:
        terms = job.terms
        job.dispatched_at, job.writing_since = monotonic(), 0.0
        adapter = self._selector.required_adapter(job) if terms.adapter else None
        kv_tokens = terms.prompt_tokens + EXPECTED_OUTPUT_SHARE * terms.output_tokens
        expected_first_token = self._expected_first_token(job, record) if terms.model else None
        in_flight = self._traffic.begin(record.endpoint, terms.prompt_tokens, kv_tokens, adapter)
        in_flight.first_token_wait = self._outcomes.record_send(record, expected_first_token)
        if adapter is not None:
            self._load_requests.report_use(record.endpoint, adapter)
            self._views.get(record.endpoint).note_sending(adapter, monotonic())
        return in_flight

    def _expected_first_token(self, job: Job, record: EndpointRecord) -> float:
        """Returns the expected seconds until an engine sends a request's first token."""
        load = self._traffic.load_at(record.endpoint)
        engine = job.spec.engine if job.spec else None
        batch = engine.batch if engine else record.slots
        prompt_tokens = job.terms.prompt_tokens
        return expected_first_token(load.waiting_tokens, prompt_tokens, load.running, batch)

    def _encode_head(self, job: Job, record: EndpointRecord) -> bytes:
        request = job.request
        to_engine = bool(job.terms.model)
        dispatch = Dispatch(
            record.endpoint,
            max(0.001, job.deadline - monotonic()),
            job.priority if to_engine else None,
            self._selector.required_adapter(job).version if job.terms.adapter else 0,
            job.splitter.last_id,
            job.requires_key,
            job.team.name if job.team is not None else "",
        )
        headers = self._dialect.endpoint_headers(request.raw_headers, dispatch)
        return encode_head(request.method, request.target, headers, request.body)

    async def _exchange(
        self, job: Job, record: EndpointRecord, conn: Connection, in_flight: InFlightRequest
    ) -> DispatchFailure | None:
        job.dispatch_count += 1
        sent_at, running = monotonic(), self._traffic.load_at(record.endpoint).running
        log(
            "sent",
            "INFO",
            request=job.request_id,
            content=job.content_key,
            endpoint=record.endpoint,
            route=job.route.name,
            adapter=job.terms.adapter,
            version=in_flight.adapter.version if in_flight.adapter else 0,
            software=record.software,
            running=running,
            pace=self._selector.pace(record),
            waited=monotonic() - job.request.received,
            parts=_logged_parts(job),
            conn=conn.number,
            sent_before=conn.sent_count,
            **self._stream_fields(job),
        )
        judge = self._dialect.classify_response
        job.may_have_run_on.append(record.endpoint)
        job.connections.add(conn.number)
        conn.send_request(
            self._encode_head(job, record),
            lambda head: judge(job.request_id, head) is Verdict.FOREIGN,
            no_body=job.request.method == "HEAD",
            body=job.request.body,
        )
        try:
            async with timeout_after(self._head_timeout(job)):
                head = await conn.read_head()
        except TimeoutError:
            conn.close()
            self._outcomes.record_silence(job, record)
            return DispatchFailure.SILENT
        verdict = self._judge(job, record, conn, head)
        self._outcomes.record_head(job, record, verdict, conn.connected_at)
        notice = self._dialect.read_notice(head)
        if notice is not None:
            self._outcomes.record_notice(job, record, notice, verdict)
        if verdict in (Verdict.NOT_RUN, Verdict.MISDIRECTED):
            job.may_have_run_on.remove(record.endpoint)
            self._log_refusal(job, record, conn, head)
            return await self._handle_refusal(job, record, conn, in_flight, verdict)
        if job.note_head():
            waited = monotonic() - job.request.received
            self._metrics.first_byte.labels(job.route.name).observe(waited)
        if head.is_event_stream and verdict is Verdict.ANSWER:
            return await self._forward_stream(job, record, conn, in_flight, head)
        if not job.terms.model:
            took, is_sound = monotonic() - sent_at, verdict is Verdict.ANSWER
            self._selector.record_response_time(job, record, took, running, is_sound)
        return await self._forward_whole(job, record, conn, head, verdict)

    @staticmethod
    def _stream_fields(job: Job) -> LogFields:
        """Returns log fields that tell which stream a dispatch resumes; none for a new one."""
        if not job.terms.resumed and not job.splitter.count:
            return {}
        return {"resumes": job.terms.resumes, "events": job.splitter.count}

    def _head_timeout(self, job: Job) -> float | None:
        """Returns the seconds to wait for a response's head; None to wait until the deadline."""
        if not job.may_repeat:
            return None
        return RESPONSE_TIMEOUT_SHARE * job.route.objective

    def _judge(
        self, job: Job, record: EndpointRecord, conn: Connection, head: ResponseHead
    ) -> Verdict:
        """Returns the verdict on a response, of which nothing is believed unless it is certain."""
        answered_id = self._dialect.answered_id(head)
        sent_before = conn.sent_count - 1
        verdict = self._dialect.classify_response(job.request_id, head)
        if verdict is Verdict.UNUSABLE or is_certain(job.request_id, answered_id, sent_before):
            return verdict
        log(
            "answer_uncertain",
            "WARNING",
            request=job.request_id,
            endpoint=record.endpoint,
            status=head.status,
            conn=conn.number,
            sent_before=sent_before,
        )
        return Verdict.UNUSABLE

    def _log_refusal(
        self, job: Job, record: EndpointRecord, conn: Connection, head: ResponseHead
    ) -> None:
        """Logs a refusal, with what tells whether it is the answer to the last dispatch."""
        log(
            "turned_away",
            request=job.request_id,
            endpoint=record.endpoint,
            status=head.status,
            sends=job.dispatch_count,
            running=self._traffic.load_at(record.endpoint).running,
            slots=record.slots,
            waited=monotonic() - job.request.received,
            took=monotonic() - job.dispatched_at,
            conn=conn.number,
            sent_before=conn.sent_count - 1,
            named=self._dialect.answered_id(head) is not None,
        )

    async def _handle_refusal(
        self,
        job: Job,
        record: EndpointRecord,
        conn: Connection,
        in_flight: InFlightRequest,
        verdict: Verdict,
    ) -> DispatchFailure:
        await conn.discard_rest()
        self._pools.release(record.endpoint, conn)
        self._outcomes.record_refusal(record, verdict)
        self._metrics.turned_away.labels(job.service, str(job.dispatch_count == 1).lower()).inc()
        if in_flight.adapter is None:
            return DispatchFailure.NOT_RUN
        # The response does not always say whether the adapter is missing: its load may not have
        # finished yet.
        load_time = self._views.get(record.endpoint).load_time
        pause = max(MIN_MISSING_ADAPTER_PAUSE, MISSING_ADAPTER_LOAD_SHARE * load_time)
        self._views.note_missing_adapter(record.endpoint, in_flight.adapter, pause)
        self._load_requests.request_load(
            record.endpoint, in_flight.adapter, job.priority, missing=True
        )
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
        body = await conn.read_all()
        self._pools.release(record.endpoint, conn)
        failed = verdict is not Verdict.ANSWER
        self._outcomes.record_response(job, record, failed)
        if verdict is Verdict.UNUSABLE:
            return DispatchFailure.FAILED
        if failed and not job.response.started:
            job.failure_response = (head, body)
            if job.may_repeat or job.has_other_exchange:
                return DispatchFailure.FAILED
        if job.response.started or not job.claim_answer(not failed):
            return DispatchFailure.FAILED
        await self._responder.forward_response(job, record, head, body)
        return None

    # Streams.

    async def _forward_stream(
        self,
        job: Job,
        record: EndpointRecord,
        conn: Connection,
        in_flight: InFlightRequest,
        head: ResponseHead,
    ) -> DispatchFailure | None:
        job.splitter.discard_partial()
        events_before = job.splitter.count
        gaps = EventGaps()
        if not job.claim_answer():
            conn.close()
            return DispatchFailure.FAILED
        if not job.response.started:
            await job.response.start(head.status, end_to_end_headers(head))
        while True:
            data = await conn.read()
            if not data:
                break
            count_before = job.splitter.count
            events = job.splitter.feed(data)
            if excess := job.splitter.find_excess():
                raise ConnectionLost(excess)
            self._record_gap(job, record, gaps.note(job.splitter.count - count_before, monotonic()))
            if in_flight.unread_tokens and events:
                self._traffic.first_token(in_flight)
                self._outcomes.record_first_token(record, in_flight.first_token_wait)
            if events:
                self._streams.record_begun(job, record, _leads_to(record, conn))
                job.record_events(monotonic())
                written_from = monotonic()
                await job.response.write(events)
                gaps.note_write(monotonic() - written_from)
        self._record_gap(job, record, gaps.typical())
        stream_end: LogFields = {"framing": conn.framing.value}
        is_empty = job.splitter.count == events_before
        if reason := find_broken_end(conn.framing, job.splitter.inside_event, is_empty):
            raise ConnectionLost(reason)
        if blank_lines := job.splitter.take_partial():
            await job.response.write(blank_lines)
        self._pools.release(record.endpoint, conn)
        self._outcomes.record_stream_end(job, record)
        await job.response.finish()
        self._responder.record_responded(job, record.endpoint, head.status, stream_end)
        return None

    def _record_gap(self, job: Job, record: EndpointRecord, gap: float | None) -> None:
        """Records the typical time between two events of a stream of an engine, if it is known."""
        if gap is None or not job.terms.model:
            return
        running = self._traffic.load_at(record.endpoint).running
        self._traffic.record_pace(record.endpoint, GAPS_PER_SAMPLE * gap, expected_gaps(running))


def _may_carry(job: Job, conn: Connection) -> bool:
    return may_carry(job.request_id, job.connections, conn.number, conn.sent_count)


def _depends_on_software(job: Job) -> bool:
    """Tells whether it matters to later answers which software runs a request."""
    return job.origin is not None or job.route.resumable


def _leads_to(record: EndpointRecord, conn: Connection) -> bool:
    """Tells whether a connection surely leads to the process that a record is of.

    Endpoints that state no start time have a new id after each start.
    """
    return not record.born or conn.process_born == record.born


def _logged_parts(job: Job) -> str:
    """Returns the ids of the shared parts of a request's prompt for a log line."""
    return ",".join(job.terms.parts[:MAX_LOGGED_PARTS])


def _log_failed_try(job: Job, name: str, failure: DispatchFailure) -> None:
    """Logs that an endpoint, or the peer to which a request was handed over, did not answer it."""
    log(
        "try_failed",
        request=job.request_id,
        endpoint=name,
        reason=failure.value,
        sends=job.dispatch_count,
        waited=monotonic() - job.request.received,
    )
