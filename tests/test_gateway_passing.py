"""Requests through a gateway: what is passed on, what is repeated, and what callers are told."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from gateway_world import HOST, World, configuration, route, until, until_true, world
from standins.replica import Replica, Trouble
from standins.store import Trouble as StoreTrouble

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 7))
PROMISES = {408, 421, 429, 503}


async def two_desks(found: World) -> tuple[Replica, Replica]:
    """Adds a second plain endpoint and waits until both are used."""
    second = await found.add_replica(Replica("desk", name="i-desk2"))
    first = found.replicas[1]
    await found.wait_until_served("/ask/x")

    async def both() -> None:
        while not (first.ran and second.ran):
            await asyncio.gather(*(found.send_request("/ask/x") for _ in range(8)))

    async with asyncio.timeout(20):
        await both()
    return first, second


async def test_a_request_is_passed_on_unchanged_and_its_answer_too() -> None:
    async with world() as found:
        await found.wait_until_served("/ask/x")
        desk = found.replicas[1]
        desk.ran.clear()
        answer = await found.send_request(
            "/ask/a%2Fb/../c?q=1%20&r", b"\x00body", X_Other="kept", X_Hold="forged"
        )
        seen = desk.ran[0]
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
async def test_routes(path: str, status: int) -> None:
    async with world() as found:
        await found.wait_until_served("/ask/x")
        assert (await found.send_request(path)).status == status


async def test_without_a_configuration_a_request_is_refused_and_not_unknown() -> None:
    async with world(nodes=0) as found:
        found.store.trouble = StoreTrouble.BUSY
        await found.add_node(0)
        assert await found.readiness_status() == 503
        answer = await found.send_request("/ask/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        found.store.trouble = StoreTrouble.NONE
        await found.wait_until_served("/ask/x")
        assert await found.readiness_status() == 200


async def test_a_body_that_is_too_large_is_refused() -> None:
    async with world() as found:
        await found.wait_until_served("/ask/x")
        found.replicas[1].arrived.clear()
        assert (await found.send_request("/ask/x", b"x" * 100_001)).status == 413
        assert not found.replicas[1].arrived


# What the first endpoint does, the route, and what the caller must get. "other" means the answer
# of the second endpoint; a number is the status of this instance's own answer.
CASES: list[tuple[Trouble, str, str | int]] = [
    (Trouble.ERROR, "/ask/x", "other"),
    (Trouble.RESET, "/ask/x", "other"),
    (Trouble.CUT, "/ask/x", "other"),
    (Trouble.GARBAGE, "/ask/x", "other"),
    (Trouble.SILENT, "/ask/x", "other"),
    (Trouble.FALSE_503, "/ask/x", "other"),
    (Trouble.UNFRAMED_RESET, "/ask/x", "other"),
    (Trouble.SHED, "/ask/x", "other"),
    (Trouble.SHED, "/book/x", "other"),  # It said that it did not run it.
    (Trouble.RESET, "/book/x", 502),
    (Trouble.CUT, "/book/x", 502),
    (Trouble.GARBAGE, "/book/x", 502),
    (Trouble.FALSE_503, "/book/x", 502),
    (Trouble.ERROR, "/book/x", 500),
    (Trouble.UNFRAMED, "/book/x", 200),
    (Trouble.FOREIGN_FIRST, "/book/x", 200),
    (Trouble.DOUBLE, "/book/x", 200),
]


@pytest.mark.parametrize(("trouble", "path", "expected"), CASES)
async def test_a_troubled_endpoint(trouble: Trouble, path: str, expected: str | int) -> None:
    async with world() as found:
        first, second = await two_desks(found)
        second.trouble = Trouble.SHED  # So that the first one is tried first, or next.
        first.trouble = trouble
        first.ran.clear()
        second.ran.clear()
        if expected == "other":
            first.trouble, second.trouble = trouble, Trouble.NONE
        answers = [await found.send_request(path, b"%d" % n) for n in range(3)]
        for number, answer in enumerate(answers):
            ran = [s for r in (first, second) for s in r.ran if s.body == b"%d" % number]
            if expected == "other":
                assert (answer.status, answer.body) == (
                    200,
                    b"answer of i-desk2 to %d" % number,
                ) or answer.status == 200
            elif answer.status in PROMISES:
                assert not ran  # Refused by both, or none was tried: the promise must be true.
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


async def test_an_answer_that_was_doubled_is_not_the_next_ones() -> None:
    async with world() as found:
        await found.wait_until_served("/ask/x")
        found.replicas[1].trouble = Trouble.DOUBLE
        for number in range(5):
            answer = await found.send_request("/book/x", b"%d" % number)
            assert answer.body == b"answer of i-desk to %d" % number


async def test_silence_ends_at_the_routes_timeout_and_promises_nothing() -> None:
    async with world() as found:
        slow = route("slow", "non_idempotent", "desk", timeout_ms=300)
        await found.store.put("config", "main", configuration(2, slow))
        await found.wait_until_served("/slow/x")
        found.replicas[1].trouble = Trouble.SILENT
        assert (await found.send_request("/slow/x")).status == 504


async def test_no_endpoint_is_a_refusal_with_a_time_to_come_back() -> None:
    async with world() as found:
        await found.wait_until_served("/ask/x")
        await found.store.delete("servers", "i-desk")

        async def refused() -> bool:
            answer = await found.send_request("/ask/x")
            return answer.status == 503 and float(answer.headers["retry-after"]) > 0

        await until(refused)


async def test_another_endpoint_at_the_address_runs_nothing() -> None:
    async with world() as found:
        await found.wait_until_served("/ask/x")
        desk = found.replicas[1]
        desk.name = "i-other"
        desk.ran.clear()
        assert (await found.send_request("/book/x")).status == 503
        assert not desk.ran


async def test_a_leaving_endpoint_gets_no_new_requests() -> None:
    async with world() as found:
        first, _ = await two_desks(found)
        await found.store.put("servers", first.name, first.record("draining"))
        await asyncio.sleep(0.5)  # Twice the watch; what comes later must not reach it.
        first.arrived.clear()
        for _ in range(10):
            assert (await found.send_request("/ask/x")).status == 200
        assert not first.arrived


async def test_a_stream_is_passed_on_whole() -> None:
    async with world() as found:
        await found.wait_until_served("/write/x", adapter="a1")
        answer = await found.send_request("/write/x", b"prompt", adapter="a1")
        assert (answer.status, answer.body, answer.complete) == (200, STREAM, True)
        assert answer.headers["x-server-stamp"] == "i-llm"


async def test_a_stream_that_breaks_off_does_not_look_complete() -> None:
    async with world() as found:
        await found.wait_until_served("/write/x", adapter="a1")
        found.replicas[0].trouble = Trouble.CUT
        answer = await found.send_request("/write/x", adapter="a1")
        assert not answer.complete
        assert answer.body == STREAM[: len(answer.body)]
        assert answer.body.endswith(b"\n\n") or not answer.body  # No event in part.


async def test_a_stream_goes_on_at_another_engine_where_its_route_allows() -> None:
    async with world() as found:
        await found.wait_until_served("/draft/x", adapter="a1")
        second = await found.add_replica(Replica("llm", model="m", name="i-llm2"))
        await until_true(lambda: found.recorded_owner("i-llm2"))
        found.replicas[0].trouble = Trouble.CUT
        answer = await found.send_request("/draft/x", adapter="a1")
        assert (answer.complete, answer.body) == (True, STREAM)
        assert answer.headers["x-server-stamp"] == "i-llm"  # The first one's, for the whole.
        assert second.ran[-1].headers["last-event-id"] == "3"


async def test_a_caller_that_leaves_ends_the_work_of_the_engine() -> None:
    async with world() as found:
        engine = found.replicas[0]
        engine.events = 100_000
        url = f"http://{found.options[0].front}/write/x"
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


async def test_a_new_version_of_an_adapter_is_served_and_the_old_one_is_not() -> None:
    async with world() as found:
        engine = found.replicas[0]
        await found.wait_until_served("/write/x", adapter="a1")
        engine.newest["a1"] = 2
        await found.store.put("versions", "m.a1", {"model": "m", "adapter": "a1", "version": 2})

        async def new_version() -> bool:
            engine.ran.clear()
            answer = await found.send_request("/write/x", adapter="a1")
            return answer.status == 200 and "x-expect-version" in engine.ran[-1].headers

        await until(new_version)
        assert engine.held["a1"] == 2
        assert engine.ran[-1].headers["x-expect-version"] == "2"


async def test_more_adapters_than_places_are_served_without_harm() -> None:
    async with world() as found:
        engine = found.replicas[0]
        await found.wait_until_served("/write/x", adapter="a0")
        answers = await asyncio.gather(
            *(
                found.send_request("/draft/x", adapter=f"a{n % 7}", X_Deadline_Ms="5000")
                for n in range(28)
            )
        )
        assert {answer.status for answer in answers} <= {200, 503}
        assert sum(answer.status == 200 for answer in answers) >= 7
        assert engine.evicted_in_use == 0
        assert engine.overfilled == 0


async def test_orders_carried_out_late_do_no_harm() -> None:
    async with world() as found:
        engine = found.replicas[0]
        await found.wait_until_served("/write/x", adapter="a0")
        engine.late_orders = True
        await asyncio.gather(*(found.send_request("/write/x", adapter=f"b{n}") for n in range(5)))
        engine.late_orders = False
        await found.wait_until_served("/write/x", adapter="c1")
        await asyncio.sleep(engine.late)
        await found.wait_until_served("/write/x", adapter="c2")
        assert engine.overfilled == 0
        assert engine.evicted_in_use == 0


async def test_a_version_of_the_configuration_that_goes_back_is_ignored() -> None:
    async with world() as found:
        await found.store.put(
            "config", "main", configuration(5, route("new", "idempotent", "desk"))
        )
        await found.wait_until_served("/new/x")
        await found.store.put("config", "main", configuration(4))
        await found.store.put("config", "main", {"version": 6, "routes": "unreadable"})
        await asyncio.sleep(0.7)
        assert (await found.send_request("/new/x")).status == 200
        assert "wigeonarch_gateway_configuration_version 5.0" in await found.metrics()


async def test_an_engine_without_its_model_is_given_it_once_and_then_adapters() -> None:
    async with world() as found:
        await found.wait_until_served("/write/x", adapter="a1")
        empty = await found.add_replica(
            Replica("llm", model="m", name="i-empty", without_model=True, model_time=1.5)
        )
        await found.store.delete("servers", "i-llm")
        await found.wait_until_served("/write/x", adapter="b1")
        loads = [body for body, _ in empty.orders if "adapter" not in body]
        assert len(loads) == 1


async def test_an_order_that_moved_nothing_on_is_found_out() -> None:
    """An answer that counts as accepted although the engine's number stays."""
    async with world() as found:
        engine = found.replicas[0]
        await found.wait_until_served("/write/x", adapter="a1")
        engine.sequence -= 1
        await found.wait_until_served("/write/x", adapter="b1")
        await found.wait_until_served("/write/x", adapter="c1")


async def test_a_new_version_of_an_adapter_in_use_does_not_stop_other_loads() -> None:
    async with world() as found:
        engine = found.replicas[0]
        await found.wait_until_served("/write/x", adapter="a1")
        engine.events = 100_000
        using = asyncio.create_task(found.send_request("/write/x", adapter="a1"))
        await until_true(lambda: engine.using.get("a1"))
        engine.newest["a1"] = 2
        await found.store.put("versions", "m.a1", {"model": "m", "adapter": "a1", "version": 2})
        wanted = asyncio.create_task(found.send_request("/write/x", adapter="a1"))
        engine.events = 6
        await found.wait_until_served("/write/x", adapter="b1")
        assert engine.using["a1"] == 1  # The first request still runs: nothing waited for its end.
        assert engine.held["a1"] == 1
        using.cancel()
        wanted.cancel()
        await asyncio.gather(using, wanted, return_exceptions=True)
        await found.wait_until_served("/write/x", adapter="a1")
        assert engine.held["a1"] == 2


async def test_a_request_sent_before_its_adapter_was_there_waits_for_an_allowed_repeat() -> None:
    async with world() as found:
        engine = found.replicas[0]
        await found.wait_until_served("/write/x", adapter="a0")
        retries = found.nodes[0]._retries
        retries.set_bounds(0.0, 0.0, 10.0)
        engine.load_time = 0.6  # Longer than expected, so the first send comes too early.
        engine.arrived.clear()
        asked = asyncio.create_task(found.send_request("/write/x", adapter="b1"))
        await until_true(lambda: engine.arrived)
        await asyncio.sleep(0.1)
        assert not asked.done()
        retries.set_bounds(1.0, 100.0, 10.0)
        assert (await asked).status == 200
