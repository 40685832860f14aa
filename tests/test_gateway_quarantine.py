"""A request that ends the endpoints that run it, through several instances and their restarts."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from functools import partial

import pytest
from gateway_world import HOST, World, until, world
from standins.replica import Replica, Trouble
from wigeonarch_core.content_key import content_key
from wigeonarch_gateway.messages import CrashReport
from wigeonarch_gateway.suspects import BATCH_DELAY

FATAL = b"ends whoever runs it"
SPARE_ENGINES = 3
ENDS_MOST = 3  # Endpoints that may end before a request is known for it.
MORE_MOST = 3  # Endpoints that it may reach after that, by what was on its way.
PATH = "/write/x"
KEY = content_key("POST", HOST, PATH, FATAL)


async def fragile_engines(found: World) -> list[Replica]:
    """Makes all engines of a world, and some more, end under the fatal request."""
    engines = [found.replicas[0]]
    for number in range(SPARE_ENGINES):
        engines.append(await found.add_replica(Replica("llm", model="m", name=f"i-llm{number}")))
    for engine in engines:
        engine.born = 1
        engine.fatal = FATAL
        engine.on_end = partial(enter, found, engine)
        await enter(found, engine)
    for node in range(len(found.nodes)):
        await found.wait_until_served(PATH, node=node)
    return engines


async def enter(found: World, engine: Replica) -> None:
    """Enters an engine into the list as it is now."""
    await found.store.put("servers", engine.name, engine.record())


def ends(engines: list[Replica]) -> int:
    """Returns how often an engine ended."""
    return sum(engine.ends for engine in engines)


async def ask_until_known(
    found: World, engines: list[Replica], nodes: Sequence[int] | None = None
) -> None:
    """Sends the fatal request to instances in turn until enough endpoints ended."""
    turns = itertools.cycle(range(len(found.nodes)) if nodes is None else nodes)

    async def enough() -> bool:
        await found.send_request(PATH, FATAL, node=next(turns), X_Model="m")
        return ends(engines) >= ENDS_MOST

    await until(enough)


async def is_turned_away(found: World, engines: list[Replica], node: int) -> bool:
    """Sends the fatal request once; tells whether it was refused and no engine ended."""
    before = ends(engines)
    answer = await found.send_request(PATH, FATAL, node=node, X_Model="m")
    return answer.status == 503 and ends(engines) == before


async def test_a_request_that_ended_three_endpoints_is_sent_to_no_other_by_any_instance() -> None:
    async with world(nodes=3) as found:
        engines = await fragile_engines(found)
        await ask_until_known(found, engines)
        for node in range(len(found.nodes)):
            await until(partial(is_turned_away, found, engines, node))
        known = ends(engines)
        assert known <= ENDS_MOST + MORE_MOST
        for node in (0, 1, 2, 2, 1, 0):
            assert await is_turned_away(found, engines, node)
        await found.wait_until_served(PATH, node=1)
        assert ends(engines) == known


async def test_it_is_remembered_when_all_instances_are_started_anew() -> None:
    async with world(nodes=2) as found:
        engines = await fragile_engines(found)
        await ask_until_known(found, engines)
        for running in found.nodes:
            running.stop()
        for task in found.tasks:
            await task
        found.nodes.clear()
        found.options.clear()
        found.tasks.clear()
        for number in (2, 3):
            await found.add_node(number)
        for node in range(len(found.nodes)):
            await found.wait_until_served(PATH, node=node)
            await until(partial(is_turned_away, found, engines, node))
        assert ends(engines) <= ENDS_MOST + MORE_MOST


@pytest.mark.parametrize("cut", [False, True], ids=["hears-peers", "hears-only-the-store"])
async def test_an_instance_that_saw_no_end_itself_turns_it_away_too(cut: bool) -> None:
    async with world(nodes=2) as found:
        engines = await fragile_engines(found)
        if cut:
            links = found.nodes[1]._links
            hear = links._deliver
            links._deliver = lambda m: None if isinstance(m, CrashReport) else hear(m)
        await ask_until_known(found, engines, [0])
        await until(partial(is_refused, found, 1))
        assert ends(engines) <= ENDS_MOST + MORE_MOST


async def is_refused(found: World, node: int) -> bool:
    """Tells whether an instance holds the fatal request back, without sending it there."""
    return found.nodes[node]._suspects.quarantine_left(KEY) > 0.0


async def test_an_instance_that_joins_later_turns_it_away() -> None:
    async with world(nodes=1) as found:
        engines = await fragile_engines(found)
        await ask_until_known(found, engines)
        known = ends(engines)
        await found.add_node(1)
        await found.wait_until_served(PATH, node=1)
        await until(partial(is_refused, found, 1))
        assert await is_turned_away(found, engines, 1)
        assert ends(engines) == known


async def test_one_end_that_was_seen_before_an_instance_joined_counts_there() -> None:
    async with world(nodes=1) as found:
        engines = await fragile_engines(found)
        await found.send_request(PATH, FATAL, X_Model="m")
        assert ends(engines) == 1
        await asyncio.sleep(2 * BATCH_DELAY)  # Whoever runs now has been told.
        await found.add_node(1)
        joined = found.nodes[1]._suspects

        async def told() -> bool:
            return joined.crash_count(KEY) == 1

        await until(told)


async def test_one_that_waits_for_an_adapter_is_not_sent_after_news_of_its_ends() -> None:
    async with world(nodes=1) as found:
        engines = await fragile_engines(found)
        await found.wait_until_served(PATH, adapter="usual")
        for engine in engines:
            engine.load_time = 0.5
        waiting = asyncio.create_task(found.send_request(PATH, FATAL, adapter="rare"))

        async def loading() -> bool:
            return any(engine._pending for engine in engines)

        await until(loading)
        names = [f"gone{number}@1" for number in range(ENDS_MOST)]
        found.nodes[0]._suspects.receive_report(CrashReport("peer", [], [], [(KEY, names)]))
        assert (await waiting).status == 503
        arrived = [seen.body for engine in engines for seen in engine.arrived]
        assert FATAL not in arrived


async def test_a_refusal_says_when_to_come_back_and_takes_nothing_of_others() -> None:
    async with world() as found:
        engines = await fragile_engines(found)
        await ask_until_known(found, engines)
        answer = await found.send_request(PATH, FATAL, X_Model="m")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 60.0
        assert (await found.send_request(PATH, b"another body", X_Model="m")).status == 200
        assert "wigeonarch_gateway_quarantined_total 1.0" in await found.metrics()


async def test_a_request_that_ran_whole_between_the_ends_is_served_on() -> None:
    async with world() as found:
        engines = await fragile_engines(found)
        for engine in engines:
            engine.fatal = b""
        served = 0
        for engine in engines * 2:
            engine.trouble = Trouble.CUT
            await found.send_request(PATH, FATAL, X_Model="m")
            engine.trouble = Trouble.NONE
            served += (await found.send_request(PATH, FATAL, X_Model="m")).status == 200
        assert not await is_refused(found, 0)
        assert served
