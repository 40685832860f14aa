"""Several gateways: who holds an engine, what is shared, starts, stops and outages of the store."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from gateway_world import HOST, World, until, until_true, world
from standins.replica import Replica
from standins.store import Trouble
from wigeonarch_core.load_time import COLD_LOAD
from wigeonarch_runtime.clock import monotonic


def holders_of_orders(replica: Replica) -> list[str]:
    return [str(body["holder"]) for body, _ in replica.orders]


async def test_one_instance_orders_and_all_serve() -> None:
    async with world(nodes=3) as found:
        engine = found.replicas[0]
        for node in range(3):
            await found.wait_until_served("/write/x", node=node, adapter=f"a{node}")
        assert len(set(holders_of_orders(engine))) == 1
        fences = [int(body["fence"]) for body, _ in engine.orders]
        assert len(set(fences)) == 1
        assert all("expect" in body for body, _ in engine.orders)


async def test_an_engine_of_a_lost_holder_is_taken_over_with_a_higher_fence() -> None:
    async with world(nodes=2) as found:
        engine = found.replicas[0]
        await found.wait_until_served("/write/x", node=0, adapter="a1")
        first = found.recorded_owner("i-llm")
        lost = int(first.removeprefix("edge-"))
        found.tasks[lost].cancel()
        for task in found.nodes[lost]._tasks:
            task.cancel()
        found.nodes[lost]._links.close()
        await until_true(lambda: found.recorded_owner("i-llm") not in ("", first))
        other = 1 - lost
        await found.wait_until_served("/write/x", node=other, adapter="b1")
        fences = [int(body["fence"]) for body, _ in engine.orders]
        assert fences == sorted(fences)
        assert len(set(zip(holders_of_orders(engine), fences, strict=True))) == 2


async def test_a_holder_cut_off_from_the_store_goes_on_by_its_peer() -> None:
    async with world(nodes=2) as found:
        engine = found.replicas[0]
        await found.wait_until_served("/write/x", adapter="a1")
        holder = found.recorded_owner("i-llm")
        cut = found.nodes[int(holder.removeprefix("edge-"))]
        cut._store._store._base = "http://127.0.0.1:1/nowhere"  # type: ignore[attr-defined]
        for number in range(8):  # Longer than the term of the lease.
            await asyncio.sleep(0.3)
            await found.wait_until_served("/write/x", adapter=f"b{number}")
        assert set(holders_of_orders(engine)) == {holder}
        assert cut._own_lease.lease.is_valid(monotonic())


async def test_an_outage_of_the_store_stops_no_answers() -> None:
    async with world(nodes=2) as found:
        await found.wait_until_served("/write/x", adapter="a1")
        await found.wait_until_served("/ask/x")
        found.store.trouble = Trouble.SILENT
        for _ in range(4):
            await asyncio.sleep(0.5)
            assert (await found.send_request("/ask/x")).status == 200
            assert (await found.send_request("/write/x", adapter="a1")).status == 200
        found.store.trouble = Trouble.NONE
        await found.wait_until_served("/write/x", adapter="b1")


async def test_endpoints_that_lapsed_in_an_outage_stay_in_use_and_lost_ones_go() -> None:
    async with world() as found:
        await found.wait_until_served("/ask/x")
        found.store.trouble = Trouble.BUSY
        await asyncio.sleep(0.8)
        await found.store.delete("servers", "i-desk")
        await found.store.delete("servers", "i-llm")
        found.store.trouble = Trouble.NONE
        await asyncio.sleep(0.3)
        assert (await found.send_request("/ask/x")).status == 200
        await found.store.put("servers", "i-llm", found.replicas[0].record())

        async def gone() -> bool:
            return (await found.send_request("/ask/x")).status == 503

        await until(gone)
        await found.wait_until_served("/write/x", adapter="a1")


async def test_dropped_history_is_read_anew() -> None:
    async with world() as found:
        await found.wait_until_served("/ask/x")
        await found.add_replica(Replica("desk", name="i-desk2"))
        await found.store.forget_history()
        await found.store.delete("servers", "i-desk")

        async def only_second() -> bool:
            found.replicas[1].arrived.clear()
            answer = await found.send_request("/ask/x")
            return answer.status == 200 and not found.replicas[1].arrived

        await until(only_second)


async def test_lost_answers_of_the_store_do_not_end_the_holding() -> None:
    async with world() as found:
        engine = found.replicas[0]
        await found.wait_until_served("/write/x", adapter="a1")
        found.store.trouble = Trouble.LOST
        await asyncio.sleep(2.0)
        found.store.trouble = Trouble.NONE
        await found.wait_until_served("/write/x", adapter="b1")
        fences = [int(body["fence"]) for body, _ in engine.orders]
        assert fences == sorted(fences)


async def test_a_stop_ends_what_is_in_progress_and_idle_connections() -> None:
    async with world() as found:
        await found.wait_until_served("/write/x", adapter="a1")
        found.replicas[0].events = 500
        url = f"http://{found.options[0].front}"
        connector = aiohttp.TCPConnector()
        async with aiohttp.ClientSession(connector=connector) as session:
            idle = await session.get(f"{url}/ask/x", headers={"Host": HOST, "X-Request-Id": "i"})
            await idle.read()
            resp = await session.post(
                f"{url}/write/x",
                headers={"Host": HOST, "X-Request-Id": "s", "X-Model": "m/a1"},
            )
            found.nodes[0].stop()
            await until(lambda: _not_ready(found))
            body = await resp.read()  # The stream is not cut.
            assert body.count(b"\n\n") == 500
            await asyncio.wait_for(found.tasks[0], 20)
        with pytest.raises(aiohttp.ClientError):
            await found.send_request("/ask/x")


async def _not_ready(found: World) -> bool:
    return await found.readiness_status() != 200


async def test_requests_of_one_instance_count_as_load_at_the_others() -> None:
    async with world(nodes=2) as found:
        await found.wait_until_served("/write/x", node=0, adapter="a1")
        await found.wait_until_served("/write/x", node=1, adapter="a1")
        found.replicas[0].events = 100_000
        tasks = [
            asyncio.create_task(found.send_request("/write/x", adapter="a1")) for _ in range(3)
        ]
        await until_true(lambda: found.nodes[1]._traffic.load_at("i-llm").running == 3)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await until_true(lambda: found.nodes[1]._traffic.load_at("i-llm").running == 0)


async def test_a_taken_metrics_port_does_not_keep_an_instance_from_serving() -> None:
    async with world() as found:
        opts = found.options[0]
        taken = found.nodes[0]._metrics_server._server
        assert taken is not None
        twin = type(found.nodes[0]._metrics_server)([])
        with pytest.raises(OSError):
            await twin.listen(opts.ip, opts.metrics_port)
        await found.nodes[0]._open_metrics()
        await found.wait_until_served("/ask/x")


async def test_a_duty_that_takes_its_cancellation_for_a_timeout_is_ended_all_the_same() -> None:
    """As the HTTP client does when both come at once, after a pause of the process."""
    async with world() as found:
        await found.wait_until_served("/ask/x")
        swallowed = 0

        async def duty() -> None:
            nonlocal swallowed
            while True:
                try:
                    await asyncio.sleep(3600)
                except asyncio.CancelledError:
                    if swallowed:
                        raise
                    swallowed += 1

        found.nodes[0]._tasks.append(asyncio.create_task(duty()))
        await asyncio.sleep(0)
        found.nodes[0].stop()
        await asyncio.wait_for(found.tasks[0], 20)
        assert swallowed == 1


@pytest.mark.parametrize(("takes", "slower"), [(0.5, True), (0.05, False)])
async def test_a_holder_learns_how_long_loads_take(takes: float, slower: bool) -> None:
    async with world() as found:
        found.replicas[0].load_time = takes
        pace = found.nodes[0]._load_time_estimate
        for number in range(4):
            await found.wait_until_served("/write/x", adapter=f"a{number}")
        await asyncio.sleep(0.5)
        assert (pace.base_seconds > COLD_LOAD) is slower
