"""HTTP server for callers: OpenAI-compatible completions, service calls, models, metrics, probes.

Every handler of requests takes a request slot before it reads the body, so that bodies still being
received count towards the limit too. What callers make the instance hold is bounded besides (see
`runtime.guarded_server`). When a caller disconnects, or reads nothing for
`timing.write_timeout`, its request is cancelled, which also frees the engine it was using.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, Final

import msgspec
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST
from wigeonarch_core.catalogue import Catalogue
from wigeonarch_core.engine_report import MS_PER_SECOND
from wigeonarch_core.entries import Adapter, EntryKey, EntryKind
from wigeonarch_core.options import Options
from wigeonarch_core.outcomes import Answered, NotRun, Outcome, Reason
from wigeonarch_runtime.caller_memory import CallerMemory
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.guarded_server import (
    LINGER_TIME,
    BodyRefusal,
    GuardedServer,
    ServerBounds,
    connection_of,
    read_body,
)
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_entry.admission_gate import AdmissionGate
from wigeonarch_entry.caller_bounds import HTTP_SHARE, connection_bound
from wigeonarch_entry.completions import (
    CompletionRequest,
    ResponseBuilder,
    answer_doc,
    chunk_doc,
    first_chunk_doc,
    parse_chat_completion,
    parse_completion,
)
from wigeonarch_entry.dispatch import Dispatcher
from wigeonarch_entry.httperrors import (
    OUTCOME_HEADER,
    STREAM_STARTED,
    Handler,
    error_doc,
    error_middleware,
    error_response,
)
from wigeonarch_entry.httpterms import KEY_HEADER, read_terms
from wigeonarch_entry.intake import Terms, make_call_request, make_generate_request
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.refusals import Refusals
from wigeonarch_entry.requests import Request
from wigeonarch_entry.texts import (
    BAD_BODY,
    BODY_TIMED_OUT,
    CALLER_NOT_READING,
    NO_ROOM,
    REASON_TEXTS,
    TOO_MANY_STREAMS,
)

REQUEST_HEADER: Final = "X-Request-Id"
MAX_LISTED_MODELS: Final = 100_000
REFUSAL_RETRY_AFTER: Final = 1.0  # Seconds.
KEEP_ALIVE_TIMEOUT: Final = 75.0  # Seconds.
LISTEN_BACKLOG: Final = 1024
SEND_BUFFER_BYTES: Final = 64 * 1024

ANSWERED_HEADERS: Final = {OUTCOME_HEADER: "answered"}
SSE_HEADERS: Final = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
SSE_END: Final = b"data: [DONE]\n\n"


BODY_REFUSALS: Final = {
    BodyRefusal.TOO_LARGE: NotRun(Reason.TOO_LARGE),
    BodyRefusal.TOO_SLOW: NotRun(Reason.DEADLINE, REFUSAL_RETRY_AFTER, BODY_TIMED_OUT),
    BodyRefusal.NO_ROOM: NotRun(Reason.CONCURRENCY, REFUSAL_RETRY_AFTER, NO_ROOM),
}


@web.middleware
async def _count_middleware(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Gives back what a request held once it has ended."""
    try:
        response = await handler(request)
        # After a body that was not taken, the connection can't carry another request.
        if not request.content.is_eof() and not response.prepared:
            response.force_close()
        return response
    finally:
        connection_of(request).request_ended()


class HttpServer:
    """The HTTP server of an instance, with its handlers."""

    __slots__ = (
        "_caller_memory",
        "_catalogue",
        "_dispatcher",
        "_free_request_slots",
        "_free_stream_slots",
        "_gate",
        "_metrics",
        "_opts",
        "_refusals",
        "_runner",
        "_server",
    )

    def __init__(
        self,
        opts: Options,
        catalogue: Catalogue,
        dispatcher: Dispatcher,
        metrics: Metrics,
        refusals: Refusals,
        gate: AdmissionGate,
        caller_memory: CallerMemory,
    ) -> None:
        """Makes the server.

        Args:
            opts: Settings of the instance.
            catalogue: The configuration.
            dispatcher: Runs requests.
            metrics: Counters.
            refusals: Records refused requests.
            gate: Lets requests in when the instance may serve.
            caller_memory: Account of what the instance holds for callers.
        """
        self._opts = opts
        self._catalogue = catalogue
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._refusals = refusals
        self._gate = gate
        self._free_request_slots = opts.limits.requests
        self._free_stream_slots = opts.limits.event_streams
        self._caller_memory = caller_memory
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening."""
        limits = self._opts.limits
        app = web.Application(
            client_max_size=limits.body_bytes, middlewares=[_count_middleware, error_middleware]
        )
        app.add_routes(
            [
                web.post("/v1/completions", self._handle_completions),
                web.post("/v1/chat/completions", self._handle_chat_completions),
                web.post("/v1/services/{service}/{operation}", self._handle_service_call),
                web.get("/v1/models", self._handle_models),
                web.get("/v1/models/{service}/{adapter}", self._handle_model),
                web.get("/metrics", self._handle_metrics),
                web.get("/livez", self._handle_livez),
                web.get("/readyz", self._handle_readyz),
            ]
        )
        self._runner = web.AppRunner(
            app,
            # For responses that are still being sent when the server stops.
            shutdown_timeout=self._opts.timing.max_deadline,
            # A caller that disconnects cancels its handler, and so its request.
            handler_cancellation=True,
        )
        await self._runner.setup()
        assert self._runner.server is not None
        bounds = ServerBounds(
            connection_bound(limits.connections, HTTP_SHARE),
            head_bytes=limits.head_bytes,
            head_time=self._opts.timing.body_timeout,
            unread_time=self._opts.timing.write_timeout,
        )
        connections = GuardedServer(
            self._runner.server,
            self._caller_memory,
            lambda: bounds,
            {
                "max_line_size": limits.header_bytes,
                "max_field_size": limits.header_bytes,
                "keepalive_timeout": KEEP_ALIVE_TIMEOUT,
                "lingering_time": LINGER_TIME,
            },
            lambda reason: self._metrics.callers_ended.labels(reason.value).inc(),
        )
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(connections, sock=_listen(self._opts.http))

    async def stop(self) -> None:
        """Stops the server; no request is in progress when this is called."""
        if self._server is not None:
            self._server.close()
        if self._runner is not None:
            await self._runner.cleanup()

    # Requests -------------------------------------------------------------------------------

    async def _handle_completions(self, http: web.Request) -> web.StreamResponse:
        return await self._handle_generate(http, parse_completion)

    async def _handle_chat_completions(self, http: web.Request) -> web.StreamResponse:
        return await self._handle_generate(http, parse_chat_completion)

    async def _handle_generate(
        self, http: web.Request, decode: Callable[[bytes], CompletionRequest | NotRun]
    ) -> web.StreamResponse:
        """Handles both completion routes, which differ in how the body is decoded."""
        received = monotonic()
        async with self._request_slot() as refusal:
            body = refusal or await self._read_body(http)
            if isinstance(body, NotRun):
                return self._refuse(body)
            completion = decode(body)
            if isinstance(completion, NotRun):
                return self._refuse(completion)
            req = await self._make_request(http, completion, received)
            if isinstance(req, NotRun):
                return self._refuse(req)
            if completion.stream:
                return await self._respond_streamed(http, req, completion.response_builder)
            return await self._respond_whole(req, completion.response_builder)

    async def _make_request(
        self, http: web.Request, completion: CompletionRequest, received: float
    ) -> Request | NotRun:
        terms = read_terms(http)
        if isinstance(terms, NotRun):
            return terms
        refusal = await self._hold_until_admitted(terms, received)
        if refusal is not None:
            return refusal
        return make_generate_request(
            self._opts,
            self._catalogue,
            completion.model,
            completion.prompt,
            completion.max_tokens,
            terms,
            received,
        )

    async def _hold_until_admitted(self, terms: Terms, received: float) -> NotRun | None:
        """Waits until the instance may serve a request; returns the refusal if that takes long."""
        limit = terms.deadline_ms / MS_PER_SECOND or None
        reason = await self._gate.admit(received, limit)
        return None if reason is None else NotRun(reason, REFUSAL_RETRY_AFTER)

    async def _respond_whole(self, req: Request, builder: ResponseBuilder) -> web.StreamResponse:
        outcome = await self._dispatcher.run(req)
        if not isinstance(outcome, Answered):
            return _outcome_response(req, outcome)
        return web.json_response(
            answer_doc(req, builder, outcome), headers=_headers(req) | ANSWERED_HEADERS
        )

    async def _respond_streamed(
        self, http: web.Request, req: Request, builder: ResponseBuilder
    ) -> web.StreamResponse:
        """Responds with server-sent events; the HTTP status is sent with the first event."""
        if not self._free_stream_slots:
            return self._refuse(NotRun(Reason.CONCURRENCY, REFUSAL_RETRY_AFTER, TOO_MANY_STREAMS))
        self._free_stream_slots -= 1
        events = _EventStream(http, _headers(req), self._opts.timing.write_timeout)
        try:
            outcome = await self._dispatcher.run(req, _text_sender(events, req, builder))
            if not events.started and not isinstance(outcome, Answered):
                return _outcome_response(req, outcome)
            return await _end_stream(events, req, builder, outcome)
        finally:
            self._free_stream_slots += 1

    async def _handle_service_call(self, http: web.Request) -> web.StreamResponse:
        received = monotonic()
        async with self._request_slot() as refusal:
            body = refusal or await self._read_body(http)
            if isinstance(body, NotRun):
                return self._refuse(body)
            terms = read_terms(http)
            if isinstance(terms, NotRun):
                return self._refuse(terms)
            held_too_long = await self._hold_until_admitted(terms, received)
            if held_too_long is not None:
                return self._refuse(held_too_long)
            service, operation = http.match_info["service"], http.match_info["operation"]
            req = make_call_request(
                self._opts, self._catalogue, service, operation, body or b"{}", terms, received
            )
            if isinstance(req, NotRun):
                return self._refuse(req)
            outcome = await self._dispatcher.run(req)
            if not isinstance(outcome, Answered):
                return _outcome_response(req, outcome)
            headers = _headers(req) | ANSWERED_HEADERS
            return web.Response(text=outcome.text, content_type="application/json", headers=headers)

    @asynccontextmanager
    async def _request_slot(self) -> AsyncIterator[NotRun | None]:
        """Holds a request slot; yields the refusal if no request may be accepted now."""
        reason = self._gate.lasting_refusal() or (
            None if self._free_request_slots else Reason.CONCURRENCY
        )
        if reason is not None:
            yield NotRun(reason, REFUSAL_RETRY_AFTER)
            return
        self._free_request_slots -= 1
        try:
            yield None
        finally:
            self._free_request_slots += 1

    async def _read_body(self, http: web.Request) -> bytes | NotRun:
        limits, timing = self._opts.limits, self._opts.timing
        try:
            body = await read_body(http, limits.body_bytes, timing.body_timeout)
        except web.RequestPayloadError:
            return NotRun(Reason.MALFORMED, detail=BAD_BODY)
        except (asyncio.IncompleteReadError, ConnectionError):
            return NotRun(Reason.CANCELLED)
        return BODY_REFUSALS[body] if isinstance(body, BodyRefusal) else body

    def _refuse(self, outcome: NotRun) -> web.Response:
        """Refuses an HTTP request for which no `Request` was made."""
        request = self._refusals.record("http", outcome)
        return error_response(outcome, {REQUEST_HEADER: request})

    # Models, metrics and probes -------------------------------------------------------------

    async def _handle_models(self, _http: web.Request) -> web.Response:
        stored = self._catalogue.list(EntryKind.ADAPTER, "", MAX_LISTED_MODELS)
        data = [_model_doc(item.entry) for item in stored if isinstance(item.entry, Adapter)]
        return web.json_response({"object": "list", "data": data})

    async def _handle_model(self, http: web.Request) -> web.Response:
        name = f"{http.match_info['service']}/{http.match_info['adapter']}"
        stored = self._catalogue.get(EntryKey(EntryKind.ADAPTER, name))
        if stored is None or not isinstance(stored.entry, Adapter):
            return error_response(NotRun(Reason.NO_SUCH_ADAPTER), {})
        return web.json_response(_model_doc(stored.entry))

    async def _handle_metrics(self, _http: web.Request) -> web.Response:
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return web.Response(body=self._metrics.exposition(), headers=headers)

    async def _handle_livez(self, _http: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _handle_readyz(self, _http: web.Request) -> web.Response:
        reason = self._gate.lasting_refusal()
        if reason is None:
            return web.Response(text="ready\n")
        return web.Response(status=503, text=f"{reason}: {REASON_TEXTS[reason]}\n")


class _EventStream:
    """A stream of server-sent events to one caller.

    Attributes:
        started: Whether the HTTP status has been sent.
    """

    __slots__ = ("_http", "_response", "_write_timeout", "started")

    def __init__(self, http: web.Request, headers: dict[str, str], write_timeout: float) -> None:
        """Makes a stream; a caller that reads nothing for `write_timeout` seconds is gone."""
        self._http = http
        self._write_timeout = write_timeout
        self._response = web.StreamResponse(headers=SSE_HEADERS | headers)
        self.started = False

    async def send(self, data: bytes) -> None:
        """Sends bytes of an event.

        Raises:
            ConnectionError: The caller has disconnected, or does not read.
        """
        try:
            async with timeout_after(self._write_timeout):
                if not self.started:
                    self.started = self._http[STREAM_STARTED] = True
                    await self._response.prepare(self._http)
                await self._response.write(data)
        except TimeoutError as exc:
            if self._http.transport is not None:
                self._http.transport.abort()
            raise ConnectionAbortedError(CALLER_NOT_READING) from exc

    async def send_doc(self, doc: dict[str, Any]) -> None:
        """Sends one event that contains a JSON document."""
        await self.send(b"data: " + msgspec.json.encode(doc) + b"\n\n")

    async def end(self, last: bytes) -> web.StreamResponse:
        """Sends the last bytes and ends the stream."""
        await self.send(last)
        await self._response.write_eof()
        return self._response


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    # Connections inherit the size, which bounds the data held for a caller that reads slowly.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    sock.setblocking(False)
    return sock


def _text_sender(
    events: _EventStream, req: Request, builder: ResponseBuilder
) -> Callable[[str], Any]:
    async def send_text(text: str) -> None:
        first_chunk = None if events.started else first_chunk_doc(req, builder)
        if first_chunk is not None:
            await events.send_doc(first_chunk)
        await events.send_doc(chunk_doc(req, builder, text, None))

    return send_text


async def _end_stream(
    events: _EventStream, req: Request, builder: ResponseBuilder, outcome: Outcome
) -> web.StreamResponse:
    if not isinstance(outcome, Answered):
        # Without [DONE], so that the caller does not take the partial answer for a complete one.
        await events.send_doc(error_doc(outcome))
        return await events.end(b"")
    await events.send_doc(chunk_doc(req, builder, "", outcome.finish))
    return await events.end(SSE_END)


def _outcome_response(req: Request, outcome: Outcome) -> web.Response:
    return error_response(outcome, _headers(req))


def _headers(req: Request) -> dict[str, str]:
    headers = {REQUEST_HEADER: req.id}
    if req.key:
        headers[KEY_HEADER] = req.key
    return headers


def _model_doc(adapter: Adapter) -> dict[str, Any]:
    name = f"{adapter.service}/{adapter.name}"
    return {"id": name, "object": "model", "created": 0, "owned_by": adapter.service}
