"""Shared helpers of the stand-ins: HTTP server, responses, connection faults and rate limits."""

from __future__ import annotations

import argparse
import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol, TypeVar

import msgspec
import uvloop
from aiohttp import web

HOST: Final = "127.0.0.1"
SHUTDOWN_TIMEOUT_S: Final = 0.05
DISCONNECT_POLL_S: Final = 0.05
MAX_BODY_BYTES: Final = 64 * 1024 * 1024
CONTROL_PREFIX: Final = "/_control/"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
T = TypeVar("T")


class Running(Protocol):
    """A running stand-in."""

    @property
    def address(self) -> str:
        """Address it listens on, as IP:PORT."""

    async def stop(self) -> None:
        """Stop listening and break the open connections."""


class Server:
    """A listening aiohttp application."""

    __slots__ = ("_runner", "address")

    def __init__(self, runner: web.AppRunner, address: str) -> None:
        self._runner = runner
        self.address = address

    async def stop(self) -> None:
        """Stop listening and break the open connections."""
        await self._runner.cleanup()


async def start_app(app: web.Application, port: int) -> Server:
    """Serve the application on a loopback port; port 0 takes any free one."""
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    site = web.TCPSite(runner, HOST, port, backlog=1024)
    await site.start()
    bound = runner.addresses[0][1]
    return Server(runner, f"{HOST}:{bound}")


def json_response(
    document: object, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a response with a JSON body."""
    body = msgspec.json.encode(document)
    return web.Response(
        body=body, status=status, headers=headers, content_type="application/json", charset="utf-8"
    )


def error_response(
    status: int,
    reason: str,
    message: str = "",
    *,
    retry_after_s: float | None = None,
    version: int | None = None,
) -> web.Response:
    """Return a response with the error body that all stand-ins use."""
    error: dict[str, object] = {"reason": reason, "message": message or reason}
    document: dict[str, object] = {"error": error}
    if version is not None:
        document["version"] = version
        error["version"] = version
    headers = {} if retry_after_s is None else {"Retry-After": f"{retry_after_s:g}"}
    return json_response(document, status, headers)


def is_disconnected(request: web.Request) -> bool:
    """Return whether the caller's connection is closed or closing."""
    return request.transport is None or request.transport.is_closing()


def drop_connection(request: web.Request) -> web.Response:
    """Reset the caller's connection; the response returned is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def never_answer(request: web.Request) -> web.Response:
    """Leave the request unanswered until the caller disconnects."""
    while not is_disconnected(request):  # noqa: ASYNC110 - a transport has no event to wait for
        await asyncio.sleep(DISCONNECT_POLL_S)
    return web.Response(status=500)


async def open_stream(request: web.Request, content_type: str) -> web.StreamResponse:
    """Send the headers of a streamed response."""
    response = web.StreamResponse(headers={"Content-Type": content_type})
    await response.prepare(request)
    return response


def merge_document(state: T, change: bytes) -> T:
    """Return the state with a JSON document merged in; null sets a field to its default.

    Raises:
        msgspec.ValidationError: A field is unknown or of a wrong type.
    """
    merged: dict[str, Any] = msgspec.to_builtins(state)
    for name, value in msgspec.json.decode(change, type=dict[str, Any]).items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = value
    return msgspec.convert(merged, type(state))


@web.middleware
async def refuse_malformed(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Respond with 400 to requests that do not match the protocol."""
    try:
        return await handler(request)
    except (msgspec.DecodeError, ValueError) as error:
        return error_response(400, "bad_request", str(error))


def is_control(request: web.Request) -> bool:
    """Return whether a request controls the stand-in; faults do not affect these requests."""
    return request.path.startswith(CONTROL_PREFIX)


class TokenBucket:
    """Token bucket with a burst of one second, but of at least one token; rate 0 means no limit."""

    __slots__ = ("_rate", "_refilled_at", "_tokens")

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = max(rate, 1.0)
        self._refilled_at = time.monotonic()

    def take(self) -> float:
        """Take one token and return 0, or return the seconds until one is available."""
        if self._rate <= 0:
            return 0.0
        now = time.monotonic()
        available = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(max(self._rate, 1.0), available)
        self._refilled_at = now
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._rate
        self._tokens -= 1.0
        return 0.0


def common_parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the arguments common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, default=0, help="port on loopback; 0 takes a free one")
    return parser


def run_main(start: Callable[[], Awaitable[Running]]) -> None:
    """Start a stand-in, print its ready line with the address, and run until SIGTERM or SIGINT."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(start))


async def _serve(start: Callable[[], Awaitable[Running]]) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    running = await start()
    print(f"ready {running.address}", flush=True)
    await stopped.wait()
    await running.stop()
