"""Several gateways: ownership of engines, shared state, starts, stops, and outages of the store."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from gateway_world import HOST, World, until, until_true, world
from standins.replica import Replica
from standins.store import StoreFault
from wigeonarch_core.load_time import COLD_LOAD
from wigeonarch_runtime.caller_memory import CallerMemory
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.guarded_server import ServerBounds


def owners_of_orders(replica: Replica) -> list[str]:
    return [str(body["holder"]) for body, _ in replica.orders]


async def test_one_instance_sends_orders_and_all_serve() -> None:
    async with world(nodes=3) as deployment:
        engine = deployment.replicas[0]
        for node in range(3):
            await deployment.wait_until_served("/write/x", node=node, adapter=f"a{node}")
        assert len(set(owners_of_orders(engine))) == 1
        fences = [int(body["fence"]) for body, _ in engine.orders]
        assert len(set(fences)) == 1
        assert all("expect" in body for body, _ in engine.orders)


async def test_engine_of_a_lost_owner_is_taken_over_with_a_higher_fencing_token() -> None:
    async with world(nodes=2) as deployment:
        engine = deployment.replicas[0]
        await deployment.wait_until_served("/write/x", node=0, adapter="a1")
        first_owner = deployment.recorded_owner("i-llm")
        lost_node = int(first_owner.removeprefix("edge-"))
        deployment.tasks[lost_node].cancel()
        for task in deployment.nodes[lost_node]._tasks:
            task.cancel()
        deployment.nodes[lost_node]._links.close()
        await until_true(lambda: deployment.recorded_owner("i-llm") not in ("", first_owner))
        other_node = 1 - lost_node
        await deployment.wait_until_served("/write/x", node=other_node, adapter="b1")
        fences = [int(body["fence"]) for body, _ in engine.orders]
        assert fences == sorted(fences)
        assert len(set(zip(owners_of_orders(engine), fences, strict=True))) == 2


async def test_owner_cut_off_from_the_store_keeps_its_lease_through_a_peer() -> None:
    async with world(nodes=2) as deployment:
        engine = deployment.replicas[0]
        await deployment.wait_until_served("/write/x", adapter="a1")
        owner = deployment.recorded_owner("i-llm")
        cut = deployment.nodes[int(owner.removeprefix("edge-"))]
        cut._store._store._base = "http://127.0.0.1:1/nowhere"  # type: ignore[attr-defined]
        for number in range(8):  # For longer than the term of the lease.
            await asyncio.sleep(0.3)
            await deployment.wait_until_served("/write/x", adapter=f"b{number}")
        assert set(owners_of_orders(engine)) == {owner}
        assert cut._own_lease.lease.is_valid(monotonic())


async def test_requests_are_served_during_a_store_outage() -> None:
    async with world(nodes=2) as deployment:
        await deployment.wait_until_served("/write/x", adapter="a1")
        await deployment.wait_until_served("/ask/x")
        deployment.store.fault = StoreFault.SILENT
        for _ in range(4):
            await asyncio.sleep(0.5)
            assert (await deployment.send_request("/ask/x")).status == 200
            assert (await deployment.send_request("/write/x", adapter="a1")).status == 200
        deployment.store.fault = StoreFault.NONE
        await deployment.wait_until_served("/write/x", adapter="b1")


async def test_entries_that_lapsed_in_a_store_outage_stay_in_use_and_removed_ones_do_not() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/ask/x")
        deployment.store.fault = StoreFault.BUSY
        await asyncio.sleep(0.8)
        await deployment.store.delete("servers", "i-desk")
        await deployment.store.delete("servers", "i-llm")
        deployment.store.fault = StoreFault.NONE
        await asyncio.sleep(0.3)
        assert (await deployment.send_request("/ask/x")).status == 200
        await deployment.store.put("servers", "i-llm", deployment.replicas[0].record())

        async def gone() -> bool:
            return (await deployment.send_request("/ask/x")).status == 503

        await until(gone)
        await deployment.wait_until_served("/write/x", adapter="a1")


async def test_list_is_read_again_when_the_store_dropped_its_history() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/ask/x")
        await deployment.add_replica(Replica("desk", name="i-desk2"))
        await deployment.store.compact_history()
        await deployment.store.delete("servers", "i-desk")

        async def only_second() -> bool:
            deployment.replicas[1].received.clear()
            answer = await deployment.send_request("/ask/x")
            return answer.status == 200 and not deployment.replicas[1].received

        await until(only_second)


async def test_lost_responses_of_the_store_do_not_end_ownership() -> None:
    async with world() as deployment:
        engine = deployment.replicas[0]
        await deployment.wait_until_served("/write/x", adapter="a1")
        deployment.store.fault = StoreFault.RESPONSE_LOST
        await asyncio.sleep(2.0)
        deployment.store.fault = StoreFault.NONE
        await deployment.wait_until_served("/write/x", adapter="b1")
        fences = [int(body["fence"]) for body, _ in engine.orders]
        assert fences == sorted(fences)


async def test_stop_completes_requests_in_progress_and_closes_idle_connections() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/write/x", adapter="a1")
        deployment.replicas[0].events = 500
        url = f"http://{deployment.options[0].front}"
        connector = aiohttp.TCPConnector()
        async with aiohttp.ClientSession(connector=connector) as session:
            idle = await session.get(f"{url}/ask/x", headers={"Host": HOST, "X-Request-Id": "i"})
            await idle.read()
            resp = await session.post(
                f"{url}/write/x",
                headers={"Host": HOST, "X-Request-Id": "s", "X-Model": "m/a1"},
            )
            deployment.nodes[0].stop()
            await until(lambda: _not_ready(deployment))
            body = await resp.read()  # The stream is completed.
            assert body.count(b"\n\n") == 500
            await asyncio.wait_for(deployment.tasks[0], 20)
        with pytest.raises(aiohttp.ClientError):
            await deployment.send_request("/ask/x")


async def _not_ready(deployment: World) -> bool:
    return await deployment.readiness_status() != 200


async def test_requests_in_flight_count_as_load_at_other_instances() -> None:
    async with world(nodes=2) as deployment:
        await deployment.wait_until_served("/write/x", node=0, adapter="a1")
        await deployment.wait_until_served("/write/x", node=1, adapter="a1")
        deployment.replicas[0].events = 100_000
        tasks = [
            asyncio.create_task(deployment.send_request("/write/x", adapter="a1")) for _ in range(3)
        ]
        await until_true(lambda: deployment.nodes[1]._traffic.load_at("i-llm").running == 3)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await until_true(lambda: deployment.nodes[1]._traffic.load_at("i-llm").running == 0)


async def test_instance_serves_although_its_metrics_port_is_in_use() -> None:
    async with world() as deployment:
        opts = deployment.options[0]
        listening = deployment.nodes[0]._metrics_server._server
        assert listening is not None
        other_server = type(deployment.nodes[0]._metrics_server)(
            [], CallerMemory(lambda: 0), lambda: ServerBounds(1)
        )
        with pytest.raises(OSError):
            await other_server.listen(opts.ip, opts.metrics_port)
        await deployment.nodes[0]._open_metrics()
        await deployment.wait_until_served("/ask/x")


async def test_background_task_that_swallows_a_cancellation_is_cancelled_again() -> None:
    """The HTTP client swallows a cancellation that comes at the same moment as its timeout."""
    async with world() as deployment:
        await deployment.wait_until_served("/ask/x")
        swallowed = 0

        async def task_that_ignores_one_cancellation() -> None:
            nonlocal swallowed
            while True:
                try:
                    await asyncio.sleep(3600)
                except asyncio.CancelledError:
                    if swallowed:
                        raise
                    swallowed += 1

        deployment.nodes[0]._tasks.append(asyncio.create_task(task_that_ignores_one_cancellation()))
        await asyncio.sleep(0)
        deployment.nodes[0].stop()
        await asyncio.wait_for(deployment.tasks[0], 20)
        assert swallowed == 1


@pytest.mark.parametrize(("load_time", "expect_slower"), [(0.5, True), (0.05, False)])
async def test_a_holder_learns_how_long_loads_take(load_time: float, expect_slower: bool) -> None:
    async with world() as deployment:
        deployment.replicas[0].load_time = load_time
        estimate = deployment.nodes[0]._load_time_estimate
        for number in range(4):
            await deployment.wait_until_served("/write/x", adapter=f"a{number}")
        await asyncio.sleep(0.5)
        assert (estimate.base_seconds > COLD_LOAD) is expect_slower
