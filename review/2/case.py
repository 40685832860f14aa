"""After an order without an answer, an engine is ordered to load more adapters than it holds."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common import world as w  # noqa: E402
from common.replicas import Replica  # noqa: E402

PLACES = 21  # By the sheet.
ROUNDS = 40
# The largest dose of `applied_late` in the site file is x = 0.35.
UNANSWERED_SHARE = 0.35
ROUND_PAUSE = 1.0  # Seconds between rounds.
VERSION_PAUSE = 0.15  # Seconds from a new version of an adapter to the next requests.
NEXT_REQUESTS = 0.06  # Seconds from a request for a rare adapter to two more urgent ones.
STREAMS = 6  # Long streams that run all the time.
EVENTS = 86  # Of a stream, by the sheet.
SHORT_EVENTS = 12


async def case(world: w.World) -> list[str]:
    """Runs the case; returns how the rule was broken."""
    await world.start_store()
    await world.store.put("config", "main", w.configuration(1))
    engine = Replica("i-scribe-1", "blend-scribe", "mill-hall", world.log, model=w.MODEL)
    engine.fault.draw = random.Random(3)
    engine.events_of = lambda adapter: EVENTS if adapter.startswith("long") else SHORT_EVENTS
    await world.add_replica(engine)
    await world.start_gateways(("mill-hall", "mill-hall"))
    await world.wait_until(lambda: is_serving(world), "all gateways serve")
    for number in range(STREAMS):
        world.spawn(keep_streaming(world, engine, f"long{number}"))
    await fill(world, engine)
    if world.trouble:
        engine.fault.unanswered_share = UNANSWERED_SHARE
    for number in range(ROUNDS):
        await asyncio.sleep(ROUND_PAUSE)
        await play_round(world, engine, number)
        if engine.crashed:
            await asyncio.sleep(1.0)
            break
    if not engine.crashed:
        return []
    return [f"{engine.name} was ordered to hold {engine.most_held} adapters in {PLACES} places"]


async def is_serving(world: w.World) -> bool:
    """Tells whether each gateway answers with success."""
    for gateway in world.gateways:
        _, found = await world.request(gateway, "/batch-sheet/1", adapter="a1")
        if found.status != 200:
            return False
    return True


async def keep_streaming(world: w.World, engine: Replica, adapter: str) -> None:
    """Sends one long stream after another, for work that is under way at each moment."""
    gateway = world.gateways[0]
    while not engine.crashed:
        await world.request(gateway, "/allergen-decl/1", adapter=adapter)


async def fill(world: w.World, engine: Replica) -> None:
    """Asks for adapters until all places are taken, as they are in every busy deployment."""
    number = 1
    while len(engine.loaded) < PLACES:
        if number > 4 * PLACES:
            raise w.CannotRunError("the engine's places don't fill")
        adapters = [f"a{number + n}" for n in range(3)]
        number += 3
        gateway = world.gateways[1]
        await asyncio.gather(
            *(world.request(gateway, "/batch-sheet/1", adapter=name) for name in adapters)
        )


async def play_round(world: w.World, engine: Replica, number: int) -> None:
    """Sends four requests: one before a new version of its adapter, three about at once after it.

    The first and the third are for one adapter that is loaded. The second and the fourth are for
    adapters that are not, so that each needs a place.
    """
    gateway = world.gateways[number % 2]
    idle = [name for name in engine.loaded if not engine.in_use.get(name)]
    popular = idle[number % len(idle)]
    await world.request(gateway, "/shop-reply/1", adapter=popular)
    version = number + 2
    engine.newest[popular] = version
    spec = {"model": w.MODEL, "adapter": popular, "version": version}
    await world.store.put("versions", f"{w.MODEL}.{popular}", spec)
    world.log("version", adapter=popular, version=version)
    await asyncio.sleep(VERSION_PAUSE)
    requests = [world.spawn(world.request(gateway, "/batch-sheet/1", adapter=f"b{number}"))]
    await asyncio.sleep(NEXT_REQUESTS)
    for adapter in (popular, f"c{number}"):
        requests.append(world.spawn(world.request(gateway, "/shop-reply/1", adapter=adapter)))
    await asyncio.gather(*requests)


if __name__ == "__main__":
    sys.exit(w.main(case, HERE, 118.0))
