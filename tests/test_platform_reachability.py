"""When the platform counts as having answered, for calls whose answers are handled late."""

from __future__ import annotations

import pytest
from aiohttp import web
from wigeonarch_core.serving_right import PlatformReachability
from wigeonarch_entry import platform as platform_module
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.platform import PlatformClient

BOUND = 2.0


@pytest.mark.parametrize(("took", "is_reachable"), [(1.0, True), (3.0, False)])
async def test_an_answer_counts_from_its_call_and_not_from_when_it_is_handled(
    monkeypatch: pytest.MonkeyPatch, took: float, is_reachable: bool
) -> None:
    clock = [100.0]
    monkeypatch.setattr(platform_module, "monotonic", lambda: clock[0])

    async def answer(request: web.BaseRequest) -> web.Response:
        clock[0] += took
        return web.json_response({}, status=404)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    reachability = PlatformReachability(BOUND, 3.5)
    client = PlatformClient((f"{host}:{port}",), "i", "z", 5.0, Metrics(), reachability)
    try:
        await client.get("leases", "i")
        assert reachability.is_reachable(clock[0]) is is_reachable
    finally:
        await client.close()
        await runner.cleanup()
