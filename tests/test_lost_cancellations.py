"""A cancellation that arrives at the moment of a call's timeout ends the task all the same."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from aiohttp import web
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.serving_right import PlatformReachability
from wigeonarch_entry.engines import EngineClient
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.platform import PlatformClient
from wigeonarch_entry.services import ServiceCall, ServiceClient
from wigeonarch_gateway.ports import ObjectKind
from wigeonarch_platform.store import Store

LIMIT = 0.2  # Seconds after which a call times out.
TURNS = 50  # Of the event loop, in which the task must end.


def platform(address: str) -> tuple[Any, Callable[[], Awaitable[object]]]:
    reachability = PlatformReachability(1.0, 1.0)
    client = PlatformClient((address,), "i", "z", LIMIT, Metrics(), reachability)
    return client, lambda: client.get("leases", "i")


def engine(
    call: Callable[[EngineClient, str], Awaitable[object]],
) -> Callable[[str], tuple[Any, Callable[[], Awaitable[object]]]]:
    def made(address: str) -> tuple[Any, Callable[[], Awaitable[object]]]:
        client = EngineClient(LIMIT / 2)
        return client, lambda: call(client, address)

    return made


def service(address: str) -> tuple[Any, Callable[[], Awaitable[object]]]:
    client = ServiceClient(LIMIT / 2)
    call = ServiceCall("d", "op", b"{}", "", False, LIMIT)
    return client, lambda: client.call(address, call)


def store(address: str) -> tuple[Any, Callable[[], Awaitable[object]]]:
    client = Store(address)
    path = client._path(ObjectKind.ENDPOINTS)
    return client, lambda: client._call("GET", path, {}, timeout=LIMIT)


ADAPTER = AdapterVersion("s", "a", "v")
CALLS = {
    "platform": platform,
    "engine-cancel": engine(lambda client, address: client.cancel(address, "d")),
    "engine-report": engine(lambda client, address: client.report(address, LIMIT)),
    "engine-order": engine(lambda client, address: client.load(address, 1, ADAPTER, LIMIT)),
    "service": service,
    "store": store,
}


@pytest.mark.parametrize("name", CALLS)
async def test_a_cancellation_at_the_moment_of_a_timeout_is_not_lost(name: str) -> None:
    asked = asyncio.Event()

    async def stay_silent(request: web.BaseRequest) -> web.Response:
        asked.set()
        await asyncio.get_running_loop().create_future()
        raise AssertionError

    runner = web.ServerRunner(web.Server(stay_silent), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    client, call = CALLS[name](f"{host}:{port}")

    async def call_forever() -> None:
        while True:
            await call()

    task = asyncio.create_task(call_forever())
    try:
        await asked.wait()
        # Both are due when the loop runs again, the timeout first.
        asyncio.get_running_loop().call_later(LIMIT, task.cancel)
        time.sleep(2 * LIMIT)  # noqa: ASYNC251 - the loop stands still.
        for _ in range(TURNS):
            await asyncio.sleep(0)
        assert task.cancelled()
    finally:
        task.cancel()
        await client.close()
        await runner.cleanup()
