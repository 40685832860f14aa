"""HTTP server of the engine stand-in: continuous batching in real time, adapter slots, streams.

A decoding step takes ``base_ms + per_sequence_ms * batch + per_adapter_ms * adapters`` and adds
one token to each running sequence. Token ``i`` of an answer is ``"{adapter}@{version}#{i} "``; an
answer has ``max_tokens`` tokens and finishes with ``length``. A sequence past its deadline is
cancelled.

Faults (``POST /_control/faults``, merged into the current ones; null or 0 clears a fault):

* ``fail_loads``: the next N adapter loads fail partway.
* ``echo_version``: chunks name this version instead of the one that generated them.
* ``refuse``: new requests are refused with 503 ``overloaded``.
* ``cut_streams_after``: streams opened from now on are closed after N chunks.
* ``silent_after``: streams opened from now on send nothing after N chunks; generation continues.
* ``shuffle``: streams opened from now on swap each pair of chunks and send the first one twice.
* ``foreign``: streams opened from now on send a chunk of another dispatch before each chunk.
* ``omit``: the next stream opened leaves out the chunk with this number; -1 for none.
* ``chunk_delay_ms``: wait before each chunk is sent.
* ``close_before``, ``swallow_before``: the next N generation requests are not admitted; their
  connections are closed, or stay open without a response.
* ``close_after``, ``swallow_after``: the same for the next N generation requests, but they are
  admitted and run.
* ``freeze``: no response or chunk is sent; requests that arrive are handled once it is cleared.
* ``delay_ms``: each request is handled only after this delay.

Other controls: ``POST /_control/restart`` (cold restart), ``POST /_control/leaving`` with
``{"leaving": bool}``, ``GET /_control/record`` (what the engine really did).
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

import msgspec
from aiohttp import web

from wigeonarch_fakes import serving
from wigeonarch_fakes.engine_documents import Generate, Leaving, Order, Settings
from wigeonarch_fakes.engine_model import Engine, Sequence
from wigeonarch_fakes.engine_streams import Stream

FREEZE_POLL_INTERVAL_S: Final = 0.02


async def _drop(request: web.Request) -> web.Response:
    return serving.drop_connection(request)


CONNECTION_FAULTS: Final[dict[str, Callable[[web.Request], Awaitable[web.Response]]]] = {
    "close_before": _drop,
    "swallow_before": serving.never_answer,
    "close_after": _drop,
    "swallow_after": serving.never_answer,
}


class EngineServer:
    """HTTP handlers of an engine."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(
            middlewares=[serving.refuse_malformed, self._apply_request_faults],
            client_max_size=serving.MAX_BODY_BYTES,
        )
        app.add_routes(
            [
                web.post("/v1/generate", self._generate),
                web.get("/v1/generate/{dispatch}", self._resume),
                web.delete("/v1/generate/{dispatch}", self._cancel),
                web.post("/v1/adapters/load", self._load),
                web.post("/v1/adapters/evict", self._evict),
                web.post("/v1/{order:model|role}", self._set_model_or_role),
                web.get("/v1/report", self._report),
                web.get("/v1/cache-events", self._cache_events),
                web.post("/_control/faults", self._set_faults),
                web.post("/_control/restart", self._restart),
                web.post("/_control/leaving", self._set_leaving),
                web.get("/_control/record", self._record),
            ]
        )
        return app

    @web.middleware
    async def _apply_request_faults(
        self, request: web.Request, handler: serving.Handler
    ) -> web.StreamResponse:
        if serving.is_control(request):
            return await handler(request)
        if self._engine.faults.delay_ms:
            await asyncio.sleep(self._engine.faults.delay_ms / 1000)
        await self._wait_while_frozen()
        response = await handler(request)
        await self._wait_while_frozen()
        return response

    async def _wait_while_frozen(self) -> None:
        while self._engine.faults.freeze:  # noqa: ASYNC110 - faults have no event
            await asyncio.sleep(FREEZE_POLL_INTERVAL_S)

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read(), type=Generate)
        before = self._engine.take_fault("close_before", "swallow_before")
        if before:
            return await CONNECTION_FAULTS[before](request)
        refusal = self._engine.refusal(body)
        if refusal is not None:
            return serving.error_response(*refusal)
        sequence = self._engine.admit(body)
        after = self._engine.take_fault("close_after", "swallow_after")
        if after:
            return await CONNECTION_FAULTS[after](request)
        return await self._stream(request, sequence, 0)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        sequence = self._engine.sequences.get(request.match_info["dispatch"])
        if sequence is None:
            return serving.error_response(404, "unknown_dispatch")
        return await self._stream(request, sequence, max(0, int(request.query.get("from", "0"))))

    async def _stream(
        self, request: web.Request, sequence: Sequence, first: int
    ) -> web.StreamResponse:
        try:
            response = await serving.open_stream(request, "application/x-ndjson")
            stream = Stream(request, response, self._engine.faults, self._wait_while_frozen)
            if await stream.send(sequence, first):
                await response.write_eof()
                return response
        except ConnectionError:
            pass
        return serving.drop_connection(request)

    async def _cancel(self, request: web.Request) -> web.Response:
        sequence = self._engine.sequences.get(request.match_info["dispatch"])
        if sequence is None:
            return serving.error_response(404, "unknown_dispatch")
        self._engine.finish(sequence, "cancelled")
        return serving.json_response({})

    async def _read_order(self, request: web.Request, name: str) -> Order | None:
        order = msgspec.json.decode(await request.read(), type=Order)
        return order if self._engine.accept_order(name, order) else None

    async def _load(self, request: web.Request) -> web.Response:
        order = await self._read_order(request, "load")
        if order is None:
            return serving.error_response(409, "fenced")
        outcome = await self._engine.slots.load(order.adapter, order.version)
        if outcome == "loaded":
            return serving.json_response({})
        return serving.error_response({"no_slot": 507, "load_failed": 502}[outcome], outcome)

    async def _evict(self, request: web.Request) -> web.Response:
        order = await self._read_order(request, "evict")
        if order is None:
            return serving.error_response(409, "fenced")
        if not self._engine.evict(order):
            return serving.error_response(404, "not_loaded")
        return serving.json_response({})

    async def _set_model_or_role(self, request: web.Request) -> web.Response:
        if await self._read_order(request, request.match_info["order"]) is None:
            return serving.error_response(409, "fenced")
        return serving.json_response({})

    async def _report(self, request: web.Request) -> web.Response:
        return serving.json_response(self._engine.report())

    async def _cache_events(self, request: web.Request) -> web.Response:
        events = self._engine.cache.events(int(request.query.get("after", "0")))
        return serving.json_response({"incarnation": self._engine.incarnation, "events": events})

    async def _set_faults(self, request: web.Request) -> web.Response:
        self._engine.faults = serving.merge_document(self._engine.faults, await request.read())
        return serving.json_response(self._engine.faults)

    async def _restart(self, request: web.Request) -> web.Response:
        self._engine.restart()
        return serving.json_response({"incarnation": self._engine.incarnation})

    async def _set_leaving(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read() or b"{}", type=Leaving)
        self._engine.leaving = body.leaving
        return serving.json_response(body)

    async def _record(self, request: web.Request) -> web.Response:
        return serving.json_response(record_document(self._engine))


def record_document(engine: Engine) -> dict[str, Any]:
    """Return an engine's record of what it did, together with its current state."""
    record = engine.record
    document: dict[str, Any] = msgspec.to_builtins(record)
    document["dispatches"] = list(document["dispatches"].values())
    places = record.steps * engine.settings.max_batch
    document["mean_batch_fill"] = record.batch_places / places if places else 0.0
    document["incarnation"] = engine.incarnation
    document["highest_fence"] = engine.highest_fence
    document["cached_prefixes"] = engine.cache.prefixes()
    return document


class RunningEngine:
    """A running engine with its HTTP server."""

    __slots__ = ("_server", "address", "engine")

    def __init__(self, engine: Engine, server: serving.Server) -> None:
        self.engine = engine
        self.address = server.address
        self._server = server

    async def stop(self) -> None:
        """Stop the HTTP server and the generation."""
        await self._server.stop()
        await self.engine.stop()


async def start_engine(port: int = 0, settings: Settings | None = None) -> RunningEngine:
    """Start an engine on a loopback port."""
    engine = Engine(settings or Settings())
    server = await serving.start_app(EngineServer(engine).app(), port)
    engine.start()
    return RunningEngine(engine, server)


def _add_settings(parser: argparse.ArgumentParser) -> None:
    for field in msgspec.structs.fields(Settings):
        option = "--" + field.name.replace("_", "-")
        if field.type is bool:
            parser.add_argument(option, action="store_true")
        else:
            parser.add_argument(option, type=type(field.default), default=field.default)


def main() -> None:
    """Run the engine as a program."""
    parser = serving.common_parser("stand-in for a model engine")
    _add_settings(parser)
    options = vars(parser.parse_args())
    port = options.pop("port")
    serving.run_main(lambda: start_engine(port, Settings(**options)))


if __name__ == "__main__":
    main()
