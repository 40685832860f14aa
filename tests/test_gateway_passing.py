"""Requests through a gateway: what is forwarded or retried, and which response callers get."""

from __future__ import annotations

import asyncio
import gc

import aiohttp
import pytest
from aiohttp.web_protocol import RequestHandler
from gateway_world import HOST, World, configuration, route, until, until_true, world
from standins.replica import Replica, ReplicaFault
from standins.store import StoreFault

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
NOT_RUN_STATUSES = {408, 421, 429, 503}


async def add_second_desk(deployment: World) -> tuple[Replica, Replica]:
    """Adds a second plain endpoint and waits until both are used."""
    second = await deployment.add_replica(Replica("desk", name="i-desk2"))
    first = deployment.replicas[1]
    await deployment.wait_until_served("/ask/x")

    async def until_both_ran() -> None:
        while not (first.executed and second.executed):
            await asyncio.gather(*(deployment.send_request("/ask/x") for _ in range(8)))

    async with asyncio.timeout(20):
        await until_both_ran()
    return first, second


async def test_request_and_response_are_forwarded_unchanged() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/ask/x")
        desk = deployment.replicas[1]
        desk.executed.clear()
        answer = await deployment.send_request(
            "/ask/a%2Fb/../c?q=1%20&r", b"\x00body", X_Other="kept", X_Hold="forged"
        )
        seen = desk.executed[0]
        assert (seen.method, seen.target, seen.body) == (
            "POST",
            "/ask/a%2Fb/../c?q=1%20&r",
            b"\x00body",
        )
        assert seen.headers["host"] == HOST
        assert seen.headers["x-other"] == "kept"
        assert "x-hold" not in seen.headers
        assert seen.headers["x-expect-instance"] == "i-desk"
        assert 0 < int(seen.headers["x-deadline-ms"]) <= 5000
        assert answer.status == 200
        assert answer.headers["x-server-stamp"] == "i-desk"
        assert answer.headers["x-request-id"] == seen.headers["x-request-id"]
        assert answer.body == b"answer of i-desk to \x00body"


@pytest.mark.parametrize(("path", "status"), [("/none/x", 404), ("/", 404), ("/ask/x", 200)])
async def test_status_by_route(path: str, status: int) -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/ask/x")
        # It denies nothing before the store has confirmed its first list.
        await until_true(lambda: not deployment.nodes[0]._freshness.is_behind())
        assert (await deployment.send_request(path)).status == status


async def test_request_is_refused_with_503_and_not_404_without_a_configuration() -> None:
    async with world(nodes=0) as deployment:
        deployment.store.fault = StoreFault.BUSY
        await deployment.add_node(0)
        assert await deployment.readiness_status() == 503
        answer = await deployment.send_request("/ask/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        deployment.store.fault = StoreFault.NONE
        await deployment.wait_until_served("/ask/x")
        assert await deployment.readiness_status() == 200


async def test_body_that_is_too_large_is_refused() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/ask/x")
        deployment.replicas[1].received.clear()
        assert (await deployment.send_request("/ask/x", b"x" * 100_001)).status == 413
        assert not deployment.replicas[1].received


# What the first endpoint does, the route, and what the caller must get: "other" is the response of
# the second endpoint, a number is the status of the gateway's own response.
CASES: list[tuple[ReplicaFault, str, str | int]] = [
    (ReplicaFault.ERROR, "/ask/x", "other"),
    (ReplicaFault.RESET, "/ask/x", "other"),
    (ReplicaFault.CUT, "/ask/x", "other"),
    (ReplicaFault.GARBAGE, "/ask/x", "other"),
    (ReplicaFault.SILENT, "/ask/x", "other"),
    (ReplicaFault.FALSE_503, "/ask/x", "other"),
    (ReplicaFault.UNFRAMED_RESET, "/ask/x", "other"),
    (ReplicaFault.SHED, "/ask/x", "other"),
    (ReplicaFault.SHED, "/book/x", "other"),  # The first endpoint states that it did not run it.
    (ReplicaFault.RESET, "/book/x", 502),
    (ReplicaFault.CUT, "/book/x", 502),
    (ReplicaFault.GARBAGE, "/book/x", 502),
    (ReplicaFault.FALSE_503, "/book/x", 502),
    (ReplicaFault.ERROR, "/book/x", 500),
    (ReplicaFault.UNFRAMED, "/book/x", 200),
    (ReplicaFault.FOREIGN_FIRST, "/book/x", 200),
    (ReplicaFault.DOUBLE, "/book/x", 200),
]


@pytest.mark.parametrize(("trouble", "path", "expected"), CASES)
async def test_faulty_endpoint(trouble: ReplicaFault, path: str, expected: str | int) -> None:
    async with world() as deployment:
        first, second = await add_second_desk(deployment)
        second.fault = ReplicaFault.SHED  # So that the request also reaches the first endpoint.
        first.fault = trouble
        first.executed.clear()
        second.executed.clear()
        if expected == "other":
            first.fault, second.fault = trouble, ReplicaFault.NONE
        answers = [await deployment.send_request(path, b"%d" % n) for n in range(3)]
        for number, answer in enumerate(answers):
            ran = [s for r in (first, second) for s in r.executed if s.body == b"%d" % number]
            if expected == "other":
                assert (answer.status, answer.body) == (
                    200,
                    b"answer of i-desk2 to %d" % number,
                ) or answer.status == 200
            elif answer.status in NOT_RUN_STATUSES:
                assert not ran  # The status promises that no endpoint ran the request.
            else:
                assert answer.status == expected
            if path.startswith("/book"):
                assert len(ran) <= 1
            if answer.status == 200:
                assert answer.complete
                assert (
                    answer.body
                    == b"answer of "
                    + ran[-1].headers["x-expect-instance"].encode()
                    + b" to %d" % number
                )


async def test_a_broken_stream_of_an_idempotent_route_is_not_joined_with_a_repeat() -> None:
    async with world() as deployment:
        first, second = await add_second_desk(deployment)
        for replica in (first, second):
            replica.extra_headers = {"Content-Type": "text/event-stream"}
            replica.executed.clear()
        # The body has one whole event and the beginning of another.
        answer = await deployment.send_request("/ask/x", b"\n\ndata: cut")
        assert (answer.status, answer.complete) == (200, False)
        assert answer.body.count(b"answer of") == 1
        assert len(first.executed) + len(second.executed) == 1


async def test_doubled_response_is_not_taken_for_that_of_the_next_request() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/ask/x")
        deployment.replicas[1].fault = ReplicaFault.DOUBLE
        for number in range(5):
            answer = await deployment.send_request("/book/x", b"%d" % number)
            assert answer.body == b"answer of i-desk to %d" % number


async def test_silent_endpoint_leads_to_504_at_the_routes_timeout() -> None:
    async with world() as deployment:
        slow = route("slow", "non_idempotent", "desk", timeout_ms=300)
        await deployment.store.put("config", "main", configuration(2, slow))
        await deployment.wait_until_served("/slow/x")
        deployment.replicas[1].fault = ReplicaFault.SILENT
        assert (await deployment.send_request("/slow/x")).status == 504


async def test_request_is_refused_with_retry_after_when_there_is_no_endpoint() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/ask/x")
        await deployment.store.delete("servers", "i-desk")

        async def refused() -> bool:
            answer = await deployment.send_request("/ask/x")
            return answer.status == 503 and float(answer.headers["retry-after"]) > 0

        await until(refused)


async def test_request_is_not_run_by_another_endpoint_at_the_same_address() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/ask/x")
        desk = deployment.replicas[1]
        desk.name = "i-other"
        desk.executed.clear()
        assert (await deployment.send_request("/book/x")).status == 503
        assert not desk.executed


async def test_leaving_endpoint_gets_no_new_requests() -> None:
    async with world() as deployment:
        first, _ = await add_second_desk(deployment)
        await deployment.store.put("servers", first.name, first.record("draining"))
        await asyncio.sleep(0.5)  # Twice as long as a watch call; later requests must not arrive.
        first.received.clear()
        for _ in range(10):
            assert (await deployment.send_request("/ask/x")).status == 200
        assert not first.received


async def test_stream_is_forwarded_completely() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/write/x", adapter="a1")
        answer = await deployment.send_request("/write/x", b"prompt", adapter="a1")
        assert (answer.status, answer.body, answer.complete) == (200, STREAM, True)
        assert answer.headers["x-server-stamp"] == "i-llm"


async def test_stream_that_breaks_off_does_not_look_complete() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/write/x", adapter="a1")
        deployment.replicas[0].fault = ReplicaFault.CUT
        answer = await deployment.send_request("/write/x", adapter="a1")
        assert not answer.complete
        assert answer.body == STREAM[: len(answer.body)]
        assert answer.body.endswith(b"\n\n") or not answer.body  # No event is incomplete.


async def test_stream_is_resumed_at_another_engine_if_its_route_allows() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/draft/x", adapter="a1")
        second = await deployment.add_replica(Replica("llm", model="m", name="i-llm2"))
        await until_true(lambda: deployment.recorded_owner("i-llm2"))
        deployment.replicas[0].fault = ReplicaFault.CUT
        answer = await deployment.send_request("/draft/x", adapter="a1")
        assert (answer.complete, answer.body) == (True, STREAM)
        # The headers are those of the first engine, also for the second one's part.
        assert answer.headers["x-server-stamp"] == "i-llm"
        assert second.executed[-1].headers["last-event-id"] == "3"


async def test_engine_stops_work_when_its_caller_disconnects() -> None:
    async with world() as deployment:
        engine = deployment.replicas[0]
        engine.events = 100_000
        url = f"http://{deployment.options[0].front}/write/x"
        headers = {"Host": HOST, "X-Request-Id": "leaver", "X-Model": "m/a1"}
        async with aiohttp.ClientSession() as session:
            async with asyncio.timeout(20):
                while True:
                    resp = await session.post(url, headers=headers)
                    if resp.status == 200:
                        break
                    resp.release()
            await resp.content.readany()
            resp.close()
        await until_true(lambda: engine.cancelled)


async def test_new_adapter_version_is_served_instead_of_the_old_one() -> None:
    async with world() as deployment:
        engine = deployment.replicas[0]
        await deployment.wait_until_served("/write/x", adapter="a1")
        engine.newest_versions["a1"] = 2
        await deployment.store.put(
            "versions", "m.a1", {"model": "m", "adapter": "a1", "version": 2}
        )

        async def new_version() -> bool:
            engine.executed.clear()
            answer = await deployment.send_request("/write/x", adapter="a1")
            return answer.status == 200 and "x-expect-version" in engine.executed[-1].headers

        await until(new_version)
        assert engine.loaded["a1"] == 2
        assert engine.executed[-1].headers["x-expect-version"] == "2"


async def test_more_adapters_than_places_are_served_without_eviction_in_use() -> None:
    async with world() as deployment:
        engine = deployment.replicas[0]
        await deployment.wait_until_served("/write/x", adapter="a0")
        answers = await asyncio.gather(
            *(
                deployment.send_request("/draft/x", adapter=f"a{n % 7}", X_Deadline_Ms="5000")
                for n in range(28)
            )
        )
        assert {answer.status for answer in answers} <= {200, 503}
        assert sum(answer.status == 200 for answer in answers) >= 7
        assert engine.evicted_in_use == 0
        assert engine.overfill_count == 0


async def test_orders_that_are_carried_out_late_do_not_overfill_the_engine() -> None:
    async with world() as deployment:
        engine = deployment.replicas[0]
        await deployment.wait_until_served("/write/x", adapter="a0")
        engine.delays_orders = True
        await asyncio.gather(
            *(deployment.send_request("/write/x", adapter=f"b{n}") for n in range(5))
        )
        engine.delays_orders = False
        await deployment.wait_until_served("/write/x", adapter="c1")
        await asyncio.sleep(engine.order_delay)
        await deployment.wait_until_served("/write/x", adapter="c2")
        assert engine.overfill_count == 0
        assert engine.evicted_in_use == 0


async def test_older_or_malformed_configuration_is_ignored() -> None:
    async with world() as deployment:
        await deployment.store.put(
            "config", "main", configuration(5, route("new", "idempotent", "desk"))
        )
        await deployment.wait_until_served("/new/x")
        await deployment.store.put("config", "main", configuration(4))
        await deployment.store.put("config", "main", {"version": 6, "routes": "unreadable"})
        await asyncio.sleep(0.7)
        assert (await deployment.send_request("/new/x")).status == 200
        assert "wigeonarch_gateway_configuration_version 5.0" in await deployment.metrics()


async def test_engine_without_its_base_model_gets_one_load_of_it_before_adapters() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/write/x", adapter="a1")
        empty = await deployment.add_replica(
            Replica("llm", model="m", name="i-empty", model_missing=True, model_time=1.5)
        )
        await deployment.store.delete("servers", "i-llm")
        await deployment.wait_until_served("/write/x", adapter="b1")
        loads = [body for body, _ in empty.orders if "adapter" not in body]
        assert len(loads) == 1


async def test_accepted_order_that_had_no_effect_is_detected() -> None:
    """The engine accepts the order, but its sequence number stays."""
    async with world() as deployment:
        engine = deployment.replicas[0]
        await deployment.wait_until_served("/write/x", adapter="a1")
        engine.sequence -= 1
        await deployment.wait_until_served("/write/x", adapter="b1")
        await deployment.wait_until_served("/write/x", adapter="c1")


async def test_new_version_of_an_adapter_in_use_does_not_block_other_loads() -> None:
    async with world() as deployment:
        engine = deployment.replicas[0]
        await deployment.wait_until_served("/write/x", adapter="a1")
        engine.events = 100_000
        running_request = asyncio.create_task(deployment.send_request("/write/x", adapter="a1"))
        await until_true(lambda: engine.use_counts.get("a1"))
        engine.newest_versions["a1"] = 2
        await deployment.store.put(
            "versions", "m.a1", {"model": "m", "adapter": "a1", "version": 2}
        )
        waiting_request = asyncio.create_task(deployment.send_request("/write/x", adapter="a1"))
        engine.events = 6
        await deployment.wait_until_served("/write/x", adapter="b1")
        assert (
            engine.use_counts["a1"] == 1
        )  # The first request still runs; the load did not wait for it.
        assert engine.loaded["a1"] == 1
        running_request.cancel()
        waiting_request.cancel()
        await asyncio.gather(running_request, waiting_request, return_exceptions=True)
        await deployment.wait_until_served("/write/x", adapter="a1")
        assert engine.loaded["a1"] == 2


async def test_request_dispatched_before_its_adapter_was_loaded_waits_for_the_retry_budget() -> (
    None
):
    async with world() as deployment:
        engine = deployment.replicas[0]
        await deployment.wait_until_served("/write/x", adapter="a0")
        retries = deployment.nodes[0]._retries
        retries.set_bounds(0.0, 0.0, 10.0)
        engine.load_time = 0.5  # Longer than expected, so the first dispatch comes too early.
        engine.received.clear()
        request = asyncio.create_task(deployment.send_request("/write/x", adapter="b1"))
        await until_true(lambda: engine.received)
        await asyncio.sleep(0.1)
        assert not request.done()
        retries.set_bounds(1.0, 100.0, 10.0)
        assert (await request).status == 200


async def test_connections_with_malformed_requests_are_not_kept() -> None:
    async with world() as deployment:
        host, _, port = deployment.options[0].front.rpartition(":")
        before = _count_connections()
        for _ in range(30):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"POST /ask/x HTTP/1.1\r\nHost: x\r\nno header\r\n\r\n")
            assert b" 400 " in await reader.read()
            writer.close()
        await until_true(lambda: _count_connections() < before + 10)


def _count_connections() -> int:
    gc.collect()
    return sum(isinstance(found, RequestHandler) for found in gc.get_objects())
