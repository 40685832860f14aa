"""Stand-in for a plain service that records each run of an operation.

Faults (``POST /_control/faults``, merged into the current ones; null or 0 clears a fault; a count N
applies to the next N calls, true to every call):

* ``lose_answers``: run, then close the connection without a response.
* ``close_before``: close the connection without running.
* ``swallow``: neither run nor respond.
* ``swallow_after``: run, but never respond.
* ``refuse``: respond with 503 ``overloaded`` without running.
* ``status``: run and respond with this status, until cleared.
* ``delay_ms``: each call is handled only after this delay.

``POST /_control/leaving`` with ``{"leaving": bool}`` sets the ``leaving`` state.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import Any, Final

import msgspec
from aiohttp import web

from wigeonarch_fakes import serving

DISPATCH_HEADER: Final = "X-Dispatch"
KEY_HEADER: Final = "Idempotency-Key"
BEFORE_FAULTS: Final = ("close_before", "swallow", "refuse")
AFTER_FAULTS: Final = ("lose_answers", "swallow_after")


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults; see the module docstring."""

    lose_answers: bool | int = 0
    close_before: bool | int = 0
    swallow: bool | int = 0
    swallow_after: bool | int = 0
    refuse: bool | int = 0
    status: int = 0
    delay_ms: float = 0


class Leaving(msgspec.Struct):
    """Body of the control request that sets the ``leaving`` state."""

    leaving: bool = True


class Run(msgspec.Struct):
    """One run of an operation; times are milliseconds since the service started."""

    run: int
    operation: str
    key: str
    dispatch: str
    body: Any
    begun_ms: float
    finished_ms: float = 0


class Service:
    """State and HTTP handlers of the service."""

    def __init__(self, work_ms: float) -> None:
        self.work_ms = work_ms
        self.faults = Faults()
        self.leaving = False
        self.runs: list[Run] = []
        self.not_run: Counter[str] = Counter()
        self._started = time.monotonic()
        self._fault_handlers = {
            "close_before": _drop,
            "lose_answers": _drop,
            "swallow": serving.never_answer,
            "swallow_after": serving.never_answer,
            "refuse": _refuse,
        }

    def app(self) -> web.Application:
        """Return the application with all routes."""
        app = web.Application(
            middlewares=[serving.refuse_malformed], client_max_size=serving.MAX_BODY_BYTES
        )
        app.add_routes(
            [
                web.post("/v1/call/{operation}", self._call),
                web.post("/_control/faults", self._set_faults),
                web.post("/_control/leaving", self._set_leaving),
                web.get("/_control/record", self._record),
            ]
        )
        return app

    def record(self) -> dict[str, Any]:
        """Return the record of what the service really did."""
        by_key = Counter(run.key for run in self.runs if run.key)
        by_dispatch = Counter(run.dispatch for run in self.runs if run.dispatch)
        return {
            "runs": self.runs,
            "runs_by_key": dict(by_key),
            "runs_by_dispatch": dict(by_dispatch),
            "not_run": dict(self.not_run),
            "leaving": self.leaving,
        }

    def _now_ms(self) -> float:
        return round((time.monotonic() - self._started) * 1000, 3)

    def _take_fault(self, names: tuple[str, ...]) -> str:
        """Use up one occurrence of the first active fault in ``names``.

        Returns:
            The name of the fault, or an empty string if none is active.
        """
        for name in names:
            remaining: bool | int = getattr(self.faults, name)
            if remaining:
                setattr(self.faults, name, True if remaining is True else remaining - 1)
                return name
        return ""

    async def _call(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read() or b"null")
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.leaving:
            self.not_run["leaving"] += 1
            return serving.error_response(503, "leaving")
        before = self._take_fault(BEFORE_FAULTS)
        if before:
            self.not_run[before] += 1
            return await self._fault_handlers[before](request)
        run = await self._run(request, body)
        after = self._take_fault(AFTER_FAULTS)
        return await self._fault_handlers[after](request) if after else self._answer(run)

    async def _run(self, request: web.Request, body: object) -> Run:
        headers = request.headers
        run = Run(
            len(self.runs) + 1,
            request.match_info["operation"],
            headers.get(KEY_HEADER, ""),
            headers.get(DISPATCH_HEADER, ""),
            body,
            self._now_ms(),
        )
        self.runs.append(run)
        if self.work_ms:
            await asyncio.sleep(self.work_ms / 1000)
        run.finished_ms = self._now_ms()
        return run

    def _answer(self, run: Run) -> web.Response:
        status = self.faults.status or 200
        headers = {DISPATCH_HEADER: run.dispatch} if run.dispatch else {}
        document: dict[str, object] = {"operation": run.operation, "run": run.run}
        if status >= 400:
            document["error"] = {"reason": "failed", "message": f"answers {status} as asked"}
        return serving.json_response(document, status, headers)

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = serving.merge_document(self.faults, await request.read())
        return serving.json_response(self.faults)

    async def _set_leaving(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read() or b"{}", type=Leaving)
        self.leaving = body.leaving
        return serving.json_response(body)

    async def _record(self, request: web.Request) -> web.Response:
        return serving.json_response(self.record())


async def _drop(request: web.Request) -> web.Response:
    return serving.drop_connection(request)


async def _refuse(request: web.Request) -> web.Response:
    return serving.error_response(503, "overloaded")


class RunningService:
    """A running service with its HTTP server."""

    __slots__ = ("_server", "address", "service")

    def __init__(self, service: Service, server: serving.Server) -> None:
        self.service = service
        self.address = server.address
        self._server = server

    async def stop(self) -> None:
        """Stop the HTTP server."""
        await self._server.stop()


async def start_service(port: int = 0, *, work_ms: float = 0) -> RunningService:
    """Start a service on a loopback port."""
    service = Service(work_ms)
    return RunningService(service, await serving.start_app(service.app(), port))


def main() -> None:
    """Run the service as a program."""
    parser = serving.common_parser("stand-in for a plain service")
    parser.add_argument("--work-ms", type=float, default=0)
    args = parser.parse_args()
    serving.run_main(lambda: start_service(args.port, work_ms=args.work_ms))


if __name__ == "__main__":
    main()
