"""The callers' HTTP door: completions in the OpenAI form, plain calls, models, metrics, probes.

Every handler first takes a place, so that bodies still on their way count as work too; a caller
that vanishes, or reads nothing for `timing.write_timeout`, ends its request, and so its use of an
engine.
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
from wigeonarch_core.entries import Adapter, EntryKey, EntryKind
from wigeonarch_core.options import Options
from wigeonarch_core.outcomes import Answered, NotRun, Outcome, Reason

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
    error_doc,
    error_middleware,
    error_response,
)
from wigeonarch_entry.httpterms import KEY_HEADER, read_terms
from wigeonarch_entry.intake import make_call_request, make_generate_request
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.refusals import Refusals
from wigeonarch_entry.requests import Request
from wigeonarch_entry.texts import (
    BAD_BODY,
    BODY_TIMED_OUT,
    CALLER_NOT_READING,
    REASON_TEXTS,
    TOO_MANY_STREAMS,
)

REQUEST_HEADER: Final = "X-Request-Id"
MAX_LISTED_MODELS: Final = 100_000
REFUSAL_RETRY_AFTER: Final = 1.0
KEEP_ALIVE_TIMEOUT: Final = 75.0
LINGER_TIMEOUT: Final = (
    3.0  # For a refused body that still comes, so that its caller reads the refusal.
)
LISTEN_BACKLOG: Final = 1024
SEND_BUFFER_BYTES: Final = 64 * 1024

ANSWERED_HEADERS: Final = {OUTCOME_HEADER: "answered"}
SSE_HEADERS: Final = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
SSE_END: Final = b"data: [DONE]\n\n"


class HttpServer:
    """Handlers of the HTTP door."""

    __slots__ = (
        "_catalogue",
        "_dispatcher",
        "_free_request_slots",
        "_free_stream_slots",
        "_metrics",
        "_opts",
        "_refusal_reason",
        "_refusals",
        "_runner",
    )

    def __init__(
        self,
        opts: Options,
        catalogue: Catalogue,
        dispatcher: Dispatcher,
        metrics: Metrics,
        refusals: Refusals,
        refusal: Callable[[], Reason | None],
    ) -> None:
        """Makes the door; `refusal` says why no request may be taken now, if so."""
        self._opts = opts
        self._catalogue = catalogue
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._refusals = refusals
        self._refusal_reason = refusal
        self._free_request_slots = opts.limits.requests
        self._free_stream_slots = opts.limits.event_streams
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Begins to listen."""
        limits = self._opts.limits
        app = web.Application(client_max_size=limits.body_bytes, middlewares=[error_middleware])
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
            access_log=None,
            max_line_size=limits.header_bytes,
            max_field_size=limits.header_bytes,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT,
            lingering_time=LINGER_TIMEOUT,
            # For answers that are still being sent when the door closes.
            shutdown_timeout=self._opts.timing.max_deadline,
            # A caller that vanishes cancels its handler, and so its request.
            handler_cancellation=True,
        )
        await self._runner.setup()
        await web.SockSite(self._runner, _listen(self._opts.http)).start()

    async def stop(self) -> None:
        """Closes the door; requests in progress have ended by then."""
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
        async with self._request_slot() as refused:
            body = refused or await self._read_body(http)
            if isinstance(body, NotRun):
                return self._refuse(body)
            ask = decode(body)
            if isinstance(ask, NotRun):
                return self._refuse(ask)
            req = self._make_request(http, ask)
            if isinstance(req, NotRun):
                return self._refuse(req)
            if ask.stream:
                return await self._respond_streamed(http, req, ask.response_builder)
            return await self._respond_whole(req, ask.response_builder)

    def _make_request(self, http: web.Request, ask: CompletionRequest) -> Request | NotRun:
        terms = read_terms(http)
        if isinstance(terms, NotRun):
            return terms
        return make_generate_request(
            self._opts, self._catalogue, ask.model, ask.prompt, ask.max_tokens, terms
        )

    async def _respond_whole(self, req: Request, form: ResponseBuilder) -> web.StreamResponse:
        outcome = await self._dispatcher.run(req)
        if not isinstance(outcome, Answered):
            return _outcome_response(req, outcome)
        return web.json_response(
            answer_doc(req, form, outcome), headers=_headers(req) | ANSWERED_HEADERS
        )

    async def _respond_streamed(
        self, http: web.Request, req: Request, form: ResponseBuilder
    ) -> web.StreamResponse:
        """Answers with server-sent events; the status is sent with the first one."""
        if not self._free_stream_slots:
            return self._refuse(NotRun(Reason.CONCURRENCY, REFUSAL_RETRY_AFTER, TOO_MANY_STREAMS))
        self._free_stream_slots -= 1
        events = _EventStream(http, _headers(req), self._opts.timing.write_timeout)
        try:
            outcome = await self._dispatcher.run(req, _text_sender(events, req, form))
            if not events.started and not isinstance(outcome, Answered):
                return _outcome_response(req, outcome)
            return await _end_stream(events, req, form, outcome)
        finally:
            self._free_stream_slots += 1

    async def _handle_service_call(self, http: web.Request) -> web.StreamResponse:
        async with self._request_slot() as refused:
            body = refused or await self._read_body(http)
            if isinstance(body, NotRun):
                return self._refuse(body)
            terms = read_terms(http)
            if isinstance(terms, NotRun):
                return self._refuse(terms)
            service, operation = http.match_info["service"], http.match_info["operation"]
            req = make_call_request(
                self._opts, self._catalogue, service, operation, body or b"{}", terms
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
        """Holds a place for one request; gives the refusal if it may not be taken now."""
        blocked = self._refusal_reason() or (
            None if self._free_request_slots else Reason.CONCURRENCY
        )
        if blocked is not None:
            yield NotRun(blocked, REFUSAL_RETRY_AFTER)
            return
        self._free_request_slots -= 1
        try:
            yield None
        finally:
            self._free_request_slots += 1

    async def _read_body(self, http: web.Request) -> bytes | NotRun:
        try:
            async with asyncio.timeout(self._opts.timing.body_timeout):
                return await http.read()
        except web.HTTPRequestEntityTooLarge:
            return NotRun(Reason.TOO_LARGE)
        except TimeoutError:
            return NotRun(Reason.DEADLINE, REFUSAL_RETRY_AFTER, BODY_TIMED_OUT)
        except web.RequestPayloadError:
            return NotRun(Reason.MALFORMED, detail=BAD_BODY)
        except (asyncio.IncompleteReadError, ConnectionError):
            return NotRun(Reason.CANCELLED)

    def _refuse(self, outcome: NotRun) -> web.Response:
        """Answers a request that never became one."""
        request = self._refusals.record("http", outcome)
        return error_response(outcome, {REQUEST_HEADER: request})

    # The rest -------------------------------------------------------------------------------

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
        blocked = self._refusal_reason()
        if blocked is None:
            return web.Response(text="ready\n")
        return web.Response(status=503, text=f"{blocked}: {REASON_TEXTS[blocked]}\n")


class _EventStream:
    """A stream of server-sent events to one caller.

    Attributes:
        begun: Whether the status has been sent.
    """

    __slots__ = ("_http", "_response", "_write_timeout", "started")

    def __init__(self, http: web.Request, headers: dict[str, str], bound: float) -> None:
        """Makes a stream; a caller that reads nothing for `bound` seconds counts as gone."""
        self._http = http
        self._write_timeout = bound
        self._response = web.StreamResponse(headers=SSE_HEADERS | headers)
        self.started = False

    async def send(self, data: bytes) -> None:
        """Sends bytes of an event.

        Raises:
            ConnectionError: The caller is gone, or does not read.
        """
        try:
            async with asyncio.timeout(self._write_timeout):
                if not self.started:
                    self.started = self._http[STREAM_STARTED] = True
                    await self._response.prepare(self._http)
                await self._response.write(data)
        except TimeoutError as exc:
            if self._http.transport is not None:
                self._http.transport.abort()
            raise ConnectionAbortedError(CALLER_NOT_READING) from exc

    async def send_doc(self, doc: dict[str, Any]) -> None:
        """Sends one event with a JSON document."""
        await self.send(b"data: " + msgspec.json.encode(doc) + b"\n\n")

    async def end(self, last: bytes) -> web.StreamResponse:
        """Sends the last bytes and ends the stream."""
        await self.send(last)
        await self._response.write_eof()
        return self._response


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    sock = socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    # Connections inherit it: what a caller that reads slowly can hold up is bounded.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    sock.setblocking(False)
    return sock


def _text_sender(events: _EventStream, req: Request, form: ResponseBuilder) -> Callable[[str], Any]:
    async def show(text: str) -> None:
        opening = None if events.started else first_chunk_doc(req, form)
        if opening is not None:
            await events.send_doc(opening)
        await events.send_doc(chunk_doc(req, form, text, None))

    return show


async def _end_stream(
    events: _EventStream, req: Request, form: ResponseBuilder, outcome: Outcome
) -> web.StreamResponse:
    if not isinstance(outcome, Answered):
        # No [DONE]: the answer is not whole, and a caller must not take it for one.
        await events.send_doc(error_doc(outcome))
        return await events.end(b"")
    await events.send_doc(chunk_doc(req, form, "", outcome.finish))
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
