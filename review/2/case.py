"""A second copy of a refusal is taken for the answer to the same request, which runs again."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common import world as w  # noqa: E402
from common.http11 import Response  # noqa: E402
from common.replicas import Replica  # noqa: E402

RUN_SECONDS = 104.0
REQUESTS_PER_SECOND = 39.0  # Of the three kinds of streams together, by the sheet.
KINDS = {"batch-sheet": 22.6, "allergen-decl": 3.14, "shop-reply": 13.6}  # By the sheet.
ADAPTERS = 3000
POPULARITY = 0.4  # Shape of the distribution of adapters: few are asked for often, most rarely.
# By the sheet: an adapter takes 250 ms, longer in proportion beyond 8 on their way.
LOAD_SECONDS = 0.25
LOADS_AT_FULL_SPEED = 8
# The largest dose of `garble` in the site file: { how = "extra late", share = 0.6, x = 0.03,
# for_s = 5.0 }. Half of the six engines is faulty, for 5 s of every 6.
FAULTY_ENGINES = 3
EXTRA_SHARE = 0.03
FAULT_SECONDS = 5.0
FAULT_PERIOD = 6.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


async def case(world: w.World) -> list[str]:
    """Runs the case; returns how the rule was broken."""
    draw = random.Random(2)
    await world.start_store()
    await world.store.put("config", "main", w.configuration(1))
    for number, zone in enumerate((*w.ZONES, *w.ZONES)):
        name = f"i-scribe-{number}"
        engine = Replica(name, "blend-scribe", zone, world.log, model=w.MODEL, events=8)
        engine.event_s = 0.02
        engine.load_s = lambda: load_seconds(world)
        await world.add_replica(engine)
    await world.start_gateways(w.ZONES)
    await world.wait_until(lambda: is_serving(world), "all gateways serve")
    answers = await send_requests(world, draw)
    return find_breaks(world, answers)


def load_seconds(world: w.World) -> float:
    """Returns how long the load of an adapter takes that begins now."""
    on_their_way = sum(len(replica.pending) for replica in world.replicas)
    return LOAD_SECONDS * max(1.0, on_their_way / LOADS_AT_FULL_SPEED)


async def is_serving(world: w.World) -> bool:
    """Tells whether each gateway answers with success."""
    for gateway in world.gateways:
        _, found = await world.request(gateway, "/batch-sheet/1", adapter="a1")
        if found.status != 200:
            return False
    return True


async def send_requests(world: w.World, draw: random.Random) -> list[tuple[str, Response]]:
    """Sends streams at the rate of the sheet; returns the answers by request."""
    requests = []
    began = now = time.monotonic()
    while now < began + RUN_SECONDS:
        is_faulty = world.trouble and (now - began) % FAULT_PERIOD < FAULT_SECONDS
        for engine in world.replicas[:FAULTY_ENGINES]:
            engine.fault.extra_share = EXTRA_SHARE if is_faulty else 0.0
        kind = draw.choices(list(KINDS), list(KINDS.values()))[0]
        adapter = f"a{min(ADAPTERS, int(draw.paretovariate(POPULARITY)))}"
        gateway = draw.choice(world.gateways)
        requests.append(world.spawn(world.request(gateway, f"/{kind}/1", adapter=adapter)))
        await asyncio.sleep(draw.expovariate(REQUESTS_PER_SECOND))
        now = time.monotonic()
    return await asyncio.gather(*requests)


def find_breaks(world: w.World, answers: list[tuple[str, Response]]) -> list[str]:
    """Returns the requests that ran more than once; none of the routes is resumable.

    Requests that ran though they were answered that they had not are only recorded.
    """
    runs: Counter[str] = Counter()
    for replica in world.replicas:
        runs.update(replica.runs)
    extras = sum(replica.fault.extras for replica in world.replicas)
    responses = sum(replica.fault.responses for replica in world.replicas)
    world.log("totals", requests=len(answers), extras=extras, responses_of_faulty=responses)
    for name, found in answers:
        if found.status in NOT_RUN_STATUSES and runs[name]:
            world.log("refused_and_ran", request=name, status=found.status)
            print(f"besides: {name} was answered {found.status} and ran")
    return [f"{name} began to run {n} times" for name, n in runs.items() if n > 1]


if __name__ == "__main__":
    sys.exit(w.main(case, HERE, 118.0))
