"""An endpoint names the requests a second that it takes from all instances together."""

from __future__ import annotations

import asyncio
import itertools
import time
from functools import partial

import pytest
from gateway_world import CallerResponse, World, configuration, route, until, world
from standins.replica import Replica
from wigeonarch_core.permits import PERMIT_LIFETIME
from wigeonarch_gateway.ports import ResponseHead
from wigeonarch_platform.dialect import read_notice
from wigeonarch_runtime.clock import monotonic

WINDOW = 4.0  # Seconds over which arrivals count.
OVER = 1.5  # Times the limit that may arrive in a window,
BESIDES = 5  # and so many requests besides.
# Seconds from the first naming in which instances that were told need not obey yet.
TOLD = 3.0
PLAY = 9.0  # Seconds of load after that.


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
def test_a_limit_is_read(value: bytes | None, limit: float | None) -> None:
    headers = () if value is None else ((b"server-limit", value),)
    notice = read_notice(ResponseHead(200, headers))
    assert notice is not None
    assert notice.limit == limit


def most_arrivals(replica: Replica, since: float) -> int:
    """Returns the most requests that arrived in any window that begins after a time."""
    times = [seen.at for seen in replica.arrived if seen.at >= since]
    return max((sum(at <= t < at + WINDOW for t in times) for at in times), default=0)


async def all_know(found: World, desks: int) -> bool:
    """Tells whether all instances know so many endpoints of the plain service."""
    return all(len(node._endpoints.ready("desk")) == desks for node in found.nodes)


async def both_used(found: World, one: Replica, other: Replica) -> bool:
    """Sends some requests; tells whether both endpoints have run one by now."""
    await asyncio.gather(*(found.send_request("/ask/x", node=n) for n in (0, 1, 2, 0, 1, 2)))
    return bool(one.ran and other.ran)


async def load(found: World, path: str, until_time: float, answers: list[CallerResponse]) -> None:
    """Sends requests to all instances in turn, one after the other."""
    for node in itertools.cycle(range(len(found.nodes))):
        if time.monotonic() > until_time:
            return
        answers.append(await found.send_request(path, b"%d" % len(answers), node=node))
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("limit", ["1", "2.5"])
async def test_instances_together_keep_to_the_rate_that_an_endpoint_names(limit: str) -> None:
    async with world(nodes=3) as found:
        limited = found.replicas[1]
        other = await found.add_replica(Replica("desk", name="i-desk2"))
        for node in range(3):
            await found.wait_until_served("/ask/x", node=node)

        await until(partial(all_know, found, 2))
        await until(partial(both_used, found, limited, other))
        limited.limit = limit
        named = time.monotonic()
        answers: list[CallerResponse] = []
        loads = [load(found, "/ask/x", named + TOLD + PLAY, answers) for _ in range(4)]
        await asyncio.gather(*loads)
        allowed = OVER * float(limit) * WINDOW + BESIDES
        assert most_arrivals(limited, named + TOLD) <= allowed
        # Whole answers, as a refusal says why.
        assert [answer for answer in answers if answer.status != 200] == []
        limited.limit = ""
        lifted = len(limited.arrived)

        async def used_again() -> bool:
            await asyncio.gather(
                *(found.send_request("/ask/x", node=n) for n in (0, 1, 2, 0, 1, 2))
            )
            return len(limited.arrived) - lifted > 4 * allowed

        await until(used_again)


async def test_when_all_endpoints_are_at_their_limits_a_request_is_refused_at_once() -> None:
    async with world(nodes=2) as found:
        found.replicas[1].limit = "0.2"
        for node in range(2):
            await found.wait_until_served("/ask/x", node=node)

        async def limited() -> bool:
            return all(
                node._limits.permit_wait("i-desk", monotonic()) > 1.0 for node in found.nodes
            )

        await until(limited)
        answer = await found.send_request("/ask/x", node=1)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.5
        assert (await found.send_request("/write/x", node=1, X_Model="m")).status == 200


@pytest.mark.parametrize("entry", ["missing", "unreadable"])
async def test_a_limit_holds_on_when_the_entry_of_its_endpoint_is_away_for_a_moment(
    entry: str,
) -> None:
    async with world(nodes=2) as found:
        desk = found.replicas[1]
        desk.limit = "0.5"
        for node in range(2):
            await found.wait_until_served("/ask/x", node=node)

        async def limited() -> bool:
            await found.send_request("/ask/x")
            return all(desk.name in node._limits._limited for node in found.nodes)

        await until(limited)
        if entry == "missing":
            await found.store.delete("servers", desk.name)
        else:
            await found.store.put("servers", desk.name, {"state": "ready"})
        await until(partial(all_know, found, 0))
        await found.store.put("servers", desk.name, desk.record())
        await until(partial(all_know, found, 1))
        back = time.monotonic()
        await asyncio.gather(*(found.send_request("/ask/x", node=n % 2) for n in range(40)))
        assert most_arrivals(desk, back) <= OVER * 0.5 * WINDOW + BESIDES


async def test_engines_without_a_limit_take_over_from_one_that_named_one() -> None:
    async with world(nodes=2) as found:
        limited = found.replicas[0]
        await found.add_replica(Replica("llm", model="m", name="i-llm2"))
        for node in range(2):
            await found.wait_until_served("/write/x", node=node, adapter="a")

        async def known() -> bool:
            return all(len(node._endpoints.ready("llm")) == 2 for node in found.nodes)

        await until(known)
        limited.limit = "1"
        statuses: list[int] = []

        async def told() -> bool:
            asked = [found.send_request("/write/x", node=n, X_Model="m") for n in (0, 1, 0, 1)]
            statuses.extend(answer.status for answer in await asyncio.gather(*asked))
            return all(limited.name in node._limits._limited for node in found.nodes)

        await until(told)
        before = len(limited.arrived)
        for turn in range(40):
            answer = await found.send_request("/write/x", node=turn % 2, X_Model="m")
            statuses.append(answer.status)
        assert statuses == [200] * len(statuses)
        assert len(limited.arrived) - before < 20


async def test_a_request_waits_for_the_permit_that_it_asked_for_where_all_have_limits() -> None:
    async with world(nodes=2) as found:
        # Its objective leaves less time to wait than a lost answer of the limiter takes.
        quick = route("quick", "idempotent", "desk", slo_ms=300)
        await found.store.put("config", "main", configuration(2, quick))
        found.replicas[1].limit = "4"
        for node in range(2):
            await found.wait_until_served("/quick/x", node=node)

        async def known() -> bool:
            await found.send_request("/quick/x", node=0)
            return all("i-desk" in node._limits._limited for node in found.nodes)

        await until(known)
        statuses = []
        for turn in range(6):
            # Longer than a permit holds, and long enough for the next one.
            await asyncio.sleep(PERMIT_LIFETIME + 0.2)
            statuses.append((await found.send_request("/quick/x", node=turn % 2)).status)
        assert statuses == [200] * len(statuses)


async def test_a_request_waits_for_an_adapter_where_no_endpoint_has_a_limit() -> None:
    async with world() as found:
        # More than half of the objective, for which a request is held without hope.
        found.replicas[0].load_time = 0.6
        for adapter in ("a", "b", "c", "d"):
            await found.wait_until_served("/write/x", adapter=adapter)
        statuses = [
            (await found.send_request("/write/x", adapter=f"rare{n}")).status for n in range(4)
        ]
        assert statuses == [200] * len(statuses)
