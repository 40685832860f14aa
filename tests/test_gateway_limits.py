"""An endpoint names the requests a second that it takes from all instances together."""

from __future__ import annotations

import asyncio
import itertools
import time

import pytest
from gateway_world import World, until, world
from standins.replica import Replica
from wigeonarch_gateway.ports import AnswerHead
from wigeonarch_platform.dialect import read_limit

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
    assert read_limit(AnswerHead(200, headers)) == limit


def most_arrivals(replica: Replica, since: float) -> int:
    """Returns the most requests that arrived in any window that begins after a time."""
    times = [seen.at for seen in replica.arrived if seen.at >= since]
    return max((sum(at <= t < at + WINDOW for t in times) for at in times), default=0)


async def load(found: World, path: str, until_time: float, statuses: list[int]) -> None:
    """Sends requests to all instances in turn, one after the other."""
    for node in itertools.cycle(range(len(found.nodes))):
        if time.monotonic() > until_time:
            return
        answer = await found.ask(path, b"%d" % len(statuses), node=node)
        statuses.append(answer.status)
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("limit", ["1", "2.5"])
async def test_instances_together_keep_to_the_rate_that_an_endpoint_names(limit: str) -> None:
    async with world(nodes=3) as found:
        limited = found.replicas[1]
        other = await found.add_replica(Replica("desk", name="i-desk2"))
        for node in range(3):
            await found.served("/ask/x", node=node)

        async def both_used() -> bool:
            await asyncio.gather(*(found.ask("/ask/x", node=n) for n in (0, 1, 2, 0, 1, 2)))
            return bool(other.ran and limited.ran)

        await until(both_used)
        limited.limit = limit
        named = time.monotonic()
        statuses: list[int] = []
        loads = [load(found, "/ask/x", named + TOLD + PLAY, statuses) for _ in range(4)]
        await asyncio.gather(*loads)
        allowed = OVER * float(limit) * WINDOW + BESIDES
        assert most_arrivals(limited, named + TOLD) <= allowed
        assert statuses.count(200) == len(statuses)
        limited.limit = ""
        lifted = len(limited.arrived)

        async def used_again() -> bool:
            await asyncio.gather(*(found.ask("/ask/x", node=n) for n in (0, 1, 2, 0, 1, 2)))
            return len(limited.arrived) - lifted > 4 * allowed

        await until(used_again)
