"""A request that ends the endpoints that run it, through several instances and their restarts."""

from __future__ import annotations

from functools import partial

from gateway_world import World, until, world
from standins.replica import Replica

FATAL = b"ends whoever runs it"
SPARE_ENGINES = 3
ENDS_MOST = 3  # Endpoints that may end before a request is known for it.
MORE_MOST = 3  # Endpoints that it may reach after that, by what was on its way.
PATH = "/write/x"


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
        await found.served(PATH, node=node)
    return engines


async def enter(found: World, engine: Replica) -> None:
    """Enters an engine into the list as it is now."""
    await found.store.put("servers", engine.name, engine.record())


def ends(engines: list[Replica]) -> int:
    """Returns how often an engine ended."""
    return sum(engine.ends for engine in engines)


async def ask_until_known(found: World, engines: list[Replica]) -> None:
    """Sends the fatal request to all instances in turn until enough endpoints ended."""
    node = 0

    async def enough() -> bool:
        nonlocal node
        node = (node + 1) % len(found.nodes)
        await found.ask(PATH, FATAL, node=node, X_Model="m")
        return ends(engines) >= ENDS_MOST

    await until(enough)


async def is_turned_away(found: World, engines: list[Replica], node: int) -> bool:
    """Sends the fatal request once; tells whether it was refused and no engine ended."""
    before = ends(engines)
    answer = await found.ask(PATH, FATAL, node=node, X_Model="m")
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
        await found.served(PATH, node=1)
        assert ends(engines) == known


async def test_it_is_remembered_when_all_instances_are_started_anew() -> None:
    async with world(nodes=2) as found:
        engines = await fragile_engines(found)
        await ask_until_known(found, engines)
        for node in found.nodes:
            node.stop()
        for task in found.tasks:
            await task
        found.nodes.clear()
        found.options.clear()
        found.tasks.clear()
        for number in (2, 3):
            await found.add_node(number)
        for node in range(len(found.nodes)):
            await found.served(PATH, node=node)
            await until(partial(is_turned_away, found, engines, node))
        assert ends(engines) <= ENDS_MOST + MORE_MOST
