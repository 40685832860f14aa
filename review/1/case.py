"""One entry of another writer, with a field of another type, ends every gateway again and again."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common import world as w  # noqa: E402
from common.replicas import Replica  # noqa: E402

DEPTH = 1200  # Lists within one another in the field `models`; the entry takes 2.6 KB.
RUN_SECONDS = 30.0
REQUEST_INTERVAL = 0.1  # Seconds: 10 requests a second, as the sheet's order-desk gets.
# By the rule: ends of one machine's processes, and the machines on which so many come.
MAX_ENDS = 3
MIN_MACHINES = 2


async def case(world: w.World) -> list[str]:
    """Runs the case; returns how the rule was broken."""
    await world.start_store()
    await world.store.put("config", "main", w.configuration(1))
    for number, zone in enumerate(w.ZONES):
        name = f"i-desk-{number}"
        await world.add_replica(Replica(name, "order-desk", zone, world.log, slots=6))
    await world.start_gateways(w.ZONES)
    await world.wait_until(lambda: is_serving(world), "all gateways serve")
    if world.trouble:
        text = foreign_entry(world.replicas[0].entry())
        world.log("foreign_entry", kind="servers", bytes=len(text), depth=DEPTH)
        await world.store.put_text("servers", "i-foreign", text)
    await send_requests(world)
    broken = [gateway for gateway in world.gateways if len(gateway.ends) >= MAX_ENDS]
    if len(broken) < MIN_MACHINES:
        return []
    return [f"{one.name}: its process ended by itself {len(one.ends)} times" for one in broken]


def foreign_entry(entry: dict[str, object]) -> str:
    """Returns an entry like a replica's, in which `models` is no list of models."""
    text = json.dumps({**entry, "models": "@"})
    return text.replace('"@"', "[" * DEPTH + "]" * DEPTH)


async def is_serving(world: w.World) -> bool:
    """Tells whether each gateway answers with success."""
    for gateway in world.gateways:
        _, found = await world.request(gateway, "/despatch-note/1", deadline_ms=1500)
        if found.status != 200:
            return False
    return True


async def send_requests(world: w.World) -> None:
    """Sends requests to the gateways in turn, and logs how many were served."""
    requests = []
    for number in range(int(RUN_SECONDS / REQUEST_INTERVAL)):
        gateway = world.gateways[number % len(world.gateways)]
        path = f"/despatch-note/{number}"
        requests.append(world.spawn(world.request(gateway, path, deadline_ms=1500)))
        await asyncio.sleep(REQUEST_INTERVAL)
    answers = [found for _, found in await asyncio.gather(*requests)]
    served = sum(found.status == 200 for found in answers)
    world.log("served", requests=len(answers), with_success=served)


if __name__ == "__main__":
    sys.exit(w.main(case, HERE))
