"""Rate limits that endpoints state, which all instances together must keep."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections.abc import Sequence
from functools import partial

import pytest
from gateway_world import (
    WAIT,
    CallerResponse,
    World,
    configuration,
    route,
    until,
    until_true,
    world,
)
from standins.replica import Replica, ReplicaFault
from wigeonarch_core.endpoint_health import MIN_PAUSE
from wigeonarch_core.permits import PERMIT_LIFETIME
from wigeonarch_gateway.ports import ResponseHead
from wigeonarch_platform.dialect import read_notice
from wigeonarch_runtime.clock import monotonic

WINDOW = 4.0  # Seconds over which arrivals are counted.
MAX_EXCESS = 1.5  # A window may hold this many times the limit,
MAX_EXTRA = 5  # and this many more requests.
# Seconds after the limit was first stated within which instances must keep it.
NOTICE_TIME = 3.0
LOAD_TIME = 9.0  # Seconds of load after that.


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (None, None),
        (b"1.2", 1.2),
        (b"2", 2.0),
        (b" 3.5 ", 3.5),
        (b"0", 0.0),
        (b"", None),
        (b"many", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
    ],
)
def test_limit_of_a_response_head_is_read(value: bytes | None, limit: float | None) -> None:
    headers = () if value is None else ((b"server-limit", value),)
    notice = read_notice(ResponseHead(200, headers))
    assert notice is not None
    assert notice.limit == limit


def most_arrivals(replica: Replica, since: float) -> int:
    """Returns the largest number of requests that arrived in any window from a time on."""
    times = [seen.at for seen in replica.received if seen.at >= since]
    return max((sum(at <= t < at + WINDOW for t in times) for at in times), default=0)


async def all_know(deployment: World, count: int) -> bool:
    """Tells whether each instance knows this many endpoints of the plain service."""
    return all(len(node._endpoints.ready("desk")) == count for node in deployment.nodes)


async def both_used(deployment: World, one: Replica, other: Replica) -> bool:
    """Sends some requests; tells whether both endpoints have run at least one so far."""
    await asyncio.gather(*(deployment.send_request("/ask/x", node=n) for n in (0, 1, 2, 0, 1, 2)))
    return bool(one.executed and other.executed)


async def load(
    deployment: World,
    path: str,
    until_time: float,
    answers: list[CallerResponse],
    nodes: Sequence[int] = (),
) -> None:
    """Sends one request after the other, to all or some instances in turn, until a time."""
    for node in itertools.cycle(nodes or range(len(deployment.nodes))):
        if time.monotonic() > until_time:
            return
        answers.append(await deployment.send_request(path, b"%d" % len(answers), node=node))
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("limit", ["1", "2.5"])
async def test_instances_together_keep_to_the_rate_that_an_endpoint_names(limit: str) -> None:
    async with world(nodes=3) as deployment:
        limited = deployment.replicas[1]
        other = await deployment.add_replica(Replica("desk", name="i-desk2"))
        for node in range(3):
            await deployment.wait_until_served("/ask/x", node=node)

        await until(partial(all_know, deployment, 2))
        await until(partial(both_used, deployment, limited, other))
        limited.rate_limit = limit
        stated_at = time.monotonic()
        answers: list[CallerResponse] = []
        loads = [
            load(deployment, "/ask/x", stated_at + NOTICE_TIME + LOAD_TIME, answers)
            for _ in range(4)
        ]
        await asyncio.gather(*loads)
        allowed = MAX_EXCESS * float(limit) * WINDOW + MAX_EXTRA
        assert most_arrivals(limited, stated_at + NOTICE_TIME) <= allowed
        # Compares complete responses, so that a failure shows why a request was refused.
        assert [answer for answer in answers if answer.status != 200] == []
        limited.rate_limit = ""
        arrived_before = len(limited.received)

        async def used_again() -> bool:
            await asyncio.gather(
                *(deployment.send_request("/ask/x", node=n) for n in (0, 1, 2, 0, 1, 2))
            )
            return len(limited.received) - arrived_before > 4 * allowed

        await until(used_again)


async def test_request_is_refused_at_once_when_all_endpoints_are_at_their_limits() -> None:
    async with world(nodes=2) as deployment:
        deployment.replicas[1].rate_limit = "0.2"
        for node in range(2):
            await deployment.wait_until_served("/ask/x", node=node)

        async def limited() -> bool:
            return all(
                node._limits.permit_wait("i-desk", monotonic()) > 1.0 for node in deployment.nodes
            )

        await until(limited)
        answer = await deployment.send_request("/ask/x", node=1)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.5
        assert (await deployment.send_request("/write/x", node=1, X_Model="m")).status == 200


async def add_replica_beside_a_limited_one(deployment: World) -> Replica:
    """Limits the only replica of the plain service and adds another one; waits until both count."""
    limited, node = deployment.replicas[1], deployment.nodes[0]
    other = await deployment.add_replica(Replica("desk", name="i-desk2"))
    limited.rate_limit = "0.2"

    async def limit_known() -> bool:
        await deployment.send_request("/ask/x")
        return node._limits.is_limited(limited.name) and bool(other.executed)

    await until(limit_known)
    return other


async def test_request_waits_for_an_endpoint_without_a_limit_whose_pause_ends_soon() -> None:
    async with world(nodes=1) as deployment:
        other, node = await add_replica_beside_a_limited_one(deployment), deployment.nodes[0]
        # Half of its pause is over; the route's objective lets a request wait for the rest.
        node._endpoint_health.record_unreachable(other.name, monotonic() - MIN_PAUSE / 2)
        answer = await deployment.send_request("/ask/x")
        assert answer.status == 200, answer


@pytest.mark.parametrize("entry", ["missing", "unreadable"])
async def test_limit_is_kept_while_the_entry_of_its_endpoint_is_missing_for_a_moment(
    entry: str,
) -> None:
    async with world(nodes=2) as deployment:
        desk = deployment.replicas[1]
        desk.rate_limit = "0.5"
        for node in range(2):
            await deployment.wait_until_served("/ask/x", node=node)

        async def limited() -> bool:
            await deployment.send_request("/ask/x")
            return all(node._limits.is_limited(desk.name) for node in deployment.nodes)

        await until(limited)
        if entry == "missing":
            await deployment.store.delete("servers", desk.name)
        else:
            await deployment.store.put("servers", desk.name, {"state": "ready"})
        await until(partial(all_know, deployment, 0))
        await deployment.store.put("servers", desk.name, desk.record())
        await until(partial(all_know, deployment, 1))
        back_at = time.monotonic()
        await asyncio.gather(*(deployment.send_request("/ask/x", node=n % 2) for n in range(40)))
        assert most_arrivals(desk, back_at) <= MAX_EXCESS * 0.5 * WINDOW + MAX_EXTRA


async def test_engines_without_a_limit_serve_what_a_limited_one_does_not() -> None:
    async with world(nodes=2) as deployment:
        limited = deployment.replicas[0]
        await deployment.add_replica(Replica("llm", model="m", name="i-llm2"))
        for node in range(2):
            await deployment.wait_until_served("/write/x", node=node, adapter="a")

        async def known() -> bool:
            return all(len(node._endpoints.ready("llm")) == 2 for node in deployment.nodes)

        await until(known)
        limited.rate_limit = "1"
        statuses: list[int] = []

        async def limit_known() -> bool:
            requests = [
                deployment.send_request("/write/x", node=n, X_Model="m") for n in (0, 1, 0, 1)
            ]
            statuses.extend(answer.status for answer in await asyncio.gather(*requests))
            return all(node._limits.is_limited(limited.name) for node in deployment.nodes)

        await until(limit_known)
        before = len(limited.received)
        for number in range(40):
            answer = await deployment.send_request("/write/x", node=number % 2, X_Model="m")
            statuses.append(answer.status)
        assert statuses == [200] * len(statuses)
        assert len(limited.received) - before < 20


async def test_request_waits_for_its_permit_when_all_endpoints_have_limits() -> None:
    async with world(nodes=2) as deployment:
        # The route's objective leaves less time than a lost reply of the limiter would take.
        quick = route("quick", "idempotent", "desk", slo_ms=300)
        await deployment.store.put("config", "main", configuration(2, quick))
        deployment.replicas[1].rate_limit = "4"
        for node in range(2):
            await deployment.wait_until_served("/quick/x", node=node)

        async def known() -> bool:
            await deployment.send_request("/quick/x", node=0)
            return all(node._limits.is_limited("i-desk") for node in deployment.nodes)

        await until(known)
        statuses = []
        for number in range(6):
            # The last permit has expired by then, and there is a new one.
            await asyncio.sleep(PERMIT_LIFETIME + 0.2)
            statuses.append((await deployment.send_request("/quick/x", node=number % 2)).status)
        assert statuses == [200] * len(statuses)


async def test_request_waits_for_an_adapter_when_no_endpoint_has_a_limit() -> None:
    async with world() as deployment:
        # More than half of the objective, for which a request is held if no load is expected.
        deployment.replicas[0].load_time = 0.6
        for adapter in ("a", "b", "c", "d"):
            await deployment.wait_until_served("/write/x", adapter=adapter)
        statuses = [
            (await deployment.send_request("/write/x", adapter=f"rare{n}")).status for n in range(4)
        ]
        assert statuses == [200] * len(statuses)


async def test_a_rejection_that_names_no_limit_does_not_end_it() -> None:
    async with world(nodes=3) as deployment:
        limited = deployment.replicas[1]
        other = await deployment.add_replica(Replica("desk", name="i-desk2"))
        await until(partial(all_know, deployment, 2))
        await until(partial(both_used, deployment, limited, other))
        limited.rate_limit = "2.5"
        stated_at = time.monotonic()
        answers: list[CallerResponse] = []
        until_time = stated_at + NOTICE_TIME + LOAD_TIME
        loads = [
            asyncio.create_task(load(deployment, "/ask/x", until_time, answers)) for _ in range(4)
        ]
        await asyncio.sleep(NOTICE_TIME)
        limited.fault = ReplicaFault.SHED
        await asyncio.gather(*loads)
        allowed = MAX_EXCESS * 2.5 * WINDOW + MAX_EXTRA
        assert most_arrivals(limited, stated_at + NOTICE_TIME) <= allowed


@pytest.mark.parametrize("how", ["missed_the_notice", "restarted"])
async def test_limiter_without_callers_that_does_not_know_the_limit_keeps_it(how: str) -> None:
    async with world(nodes=3) as deployment:
        limited = deployment.replicas[1]
        other = await deployment.add_replica(Replica("desk", name="i-desk2"))
        await until(partial(all_know, deployment, 2))
        await until(partial(both_used, deployment, limited, other))
        limited.rate_limit = "1"

        async def limit_known() -> bool:
            await both_used(deployment, limited, other)
            return all(node._limits.is_limited(limited.name) for node in deployment.nodes)

        await until(limit_known)
        known_at = time.monotonic()
        name = deployment.nodes[0]._limiter(limited.name)
        limiter = next(n for n, opts in enumerate(deployment.options) if opts.instance == name)
        if how == "missed_the_notice":
            deployment.nodes[limiter]._limits.forget(limited.name)
        else:
            await restart(deployment, limiter)
        others = [n for n in range(3) if n != limiter]
        answers: list[CallerResponse] = []
        until_time = time.monotonic() + LOAD_TIME
        await asyncio.gather(
            *(load(deployment, "/ask/x", until_time, answers, others) for _ in range(4))
        )
        assert most_arrivals(limited, known_at) <= MAX_EXCESS * 1.0 * WINDOW + MAX_EXTRA
        assert [answer for answer in answers if answer.status != 200] == []


async def restart(deployment: World, number: int) -> None:
    """Stops an instance and starts it again under its name."""
    deployment.nodes[number].stop()
    await deployment.tasks[number]
    await deployment.add_node(number)


async def test_instance_that_starts_is_told_of_the_limits() -> None:
    async with world(nodes=2) as deployment:
        desk = deployment.replicas[1]
        desk.rate_limit = "1"
        # One request only: no instance asks for permits, so no limiter repeats the limit.
        await deployment.wait_until_served("/ask/x")
        await until_true(lambda: all(n._limits.is_limited(desk.name) for n in deployment.nodes))
        newcomer = await deployment.add_node(2)
        await until_true(lambda: newcomer._limits.is_limited(desk.name))


async def test_limit_is_kept_when_its_endpoint_restarts_under_its_id() -> None:
    async with world(nodes=3) as deployment:
        limited = Replica("desk", name="i-desk1", incarnation=1000)
        await deployment.add_replica(limited)
        await until(partial(all_know, deployment, 2))
        await until(partial(both_used, deployment, limited, deployment.replicas[1]))
        limited.rate_limit = "1"

        async def limit_known() -> bool:
            await both_used(deployment, limited, deployment.replicas[1])
            return all(node._limits.is_limited(limited.name) for node in deployment.nodes)

        await until(limit_known)
        limited.restart()
        await deployment.store.put("servers", limited.name, limited.record())
        await until_true(
            lambda: all(
                node._endpoints.since_restart(limited.name) < WAIT for node in deployment.nodes
            )
        )
        restarted_at = time.monotonic()
        await asyncio.gather(*(deployment.send_request("/ask/x", node=n % 3) for n in range(60)))
        assert most_arrivals(limited, restarted_at) <= MAX_EXCESS * 1.0 * WINDOW + MAX_EXTRA


async def test_limit_of_a_restarted_endpoint_that_names_none_ends() -> None:
    async with world(nodes=3) as deployment:
        limited = Replica("desk", name="i-desk1", incarnation=1000, rate_limit="0")
        await deployment.add_replica(limited)
        await until(partial(all_know, deployment, 2))

        async def limit_known() -> bool:
            await both_used(deployment, limited, deployment.replicas[1])
            return all(node._limits.is_limited(limited.name) for node in deployment.nodes)

        await until(limit_known)
        limited.rate_limit = ""
        limited.restart()
        await deployment.store.put("servers", limited.name, limited.record())

        async def ended() -> bool:
            await both_used(deployment, limited, deployment.replicas[1])
            return not any(node._limits.is_limited(limited.name) for node in deployment.nodes)

        await until(ended)
