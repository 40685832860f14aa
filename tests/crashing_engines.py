"""Engines of a deployment that crash under certain requests and are back soon."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from gateway_world import World
from standins.replica import Replica

SPARE_ENGINES = 3
PATH = "/write/x"


async def add_crashing_engines(
    deployment: World, prepare: Callable[[Replica], None]
) -> list[Replica]:
    """Adds engines to the one of the deployment, and makes all crash.

    Args:
        deployment: The deployment.
        prepare: Tells an engine under which requests it crashes.
    """
    engines = [deployment.replicas[0]]
    for number in range(SPARE_ENGINES):
        engines.append(
            await deployment.add_replica(Replica("llm", model="m", name=f"i-llm{number}"))
        )
    for engine in engines:
        engine.incarnation = 1
        prepare(engine)
        engine.on_restarted = partial(write_entry, deployment, engine)
        await write_entry(deployment, engine)
    for node in range(len(deployment.nodes)):
        await deployment.wait_until_served(PATH, node=node)
    return engines


async def write_entry(deployment: World, engine: Replica) -> None:
    """Writes an engine's entry into the store."""
    await deployment.store.put("servers", engine.name, engine.record())


def crash_count(engines: list[Replica]) -> int:
    """Returns how often engines crashed."""
    return sum(engine.crash_count for engine in engines)
