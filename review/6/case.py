"""A client asks for an adapter that does not exist; do the adapters of others still get loaded?"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from rig import (  # noqa: E402
    ADAPTERS,
    BROKEN,
    HELD,
    MODEL,
    TROUBLE,
    Gateway,
    World,
    call,
    encode_request,
    main,
    new_id,
)

MISSING = f"a{ADAPTERS + 1}"  # The model has `ADAPTERS` adapters, from a1 on.
WRONG_PER_SECOND = 15.0  # Requests of the uncontrolled client, over all gateways.
SUBJECTS = 30  # Adapters that ordinary callers ask for, fewer than the engines have places for.
PER_SECOND = 8.0  # Requests of ordinary callers, over all gateways.
LENGTH = 20.0


def stream_request(adapter: str, request_id: str) -> bytes:
    """Returns a request for a generation with an adapter."""
    more = (
        f"X-Model: {MODEL}/{adapter}\r\nX-Token-Counts: 1460,80\r\n"
        f"X-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,{request_id[:8]}:250\r\n"
    )
    return encode_request("POST", "/batch-sheet/2f", request_id, 15000, b"x" * 1300, more)


async def play(world: World) -> int:
    """Plays the case."""
    await asyncio.sleep(4.0)
    sent: Counter[str] = Counter()
    served: Counter[str] = Counter()
    end = time.monotonic() + LENGTH

    async def one(gateway: Gateway, adapter: str, who: str) -> None:
        request_id = new_id()
        answer = await call(gateway.front, stream_request(adapter, request_id), 15.0)
        whole = answer.status == 200 and answer.body.count(b"id: ") == 20
        world.record.line(
            f"{who} {gateway.name} id={request_id} {adapter} got {answer.status} "
            f"{'whole' if whole else answer.ended} after {answer.took:.3f} s"
        )
        if who == "ordinary":
            sent[adapter] += 1
            served[adapter] += whole

    async def keep_sending(rate: float, who: str) -> list[asyncio.Task[None]]:
        tasks = []
        number = 0
        while time.monotonic() < end:
            gateway = world.gateways[number % len(world.gateways)]
            adapter = MISSING if who == "uncontrolled" else f"a{1 + number % SUBJECTS}"
            tasks.append(asyncio.create_task(one(gateway, adapter, who)))
            number += 1
            await asyncio.sleep(1 / rate)
        return tasks

    senders = [keep_sending(PER_SECOND, "ordinary")]
    if TROUBLE:
        senders.append(keep_sending(WRONG_PER_SECOND, "uncontrolled"))
    for tasks in await asyncio.gather(*senders):
        await asyncio.gather(*tasks)

    orders = Counter((order["op"], order.get("adapter") == MISSING, status)
                     for engine in world.engines for order, status in engine.orders)
    for (op, is_missing, status), number in sorted(orders.items()):
        what = MISSING if is_missing else "another adapter"
        world.record.line(f"orders to {op} {what} answered {status}: {number}")
    asked = [adapter for adapter, number in sent.items() if number >= 4]
    never = [adapter for adapter in asked if not served[adapter]]
    total = f"{sum(served.values())} of {sum(sent.values())}"
    world.record.line(f"ordinary requests served: {total}")
    world.record.line(f"adapters asked for four times or more: {len(asked)}, never served: "
                      f"{len(never)} {' '.join(sorted(never))}")
    print(f"ordinary served {total}; adapters never served: {len(never)} of {len(asked)}")
    # Starved: more than 1 + 10 in 100 of the adapters that are asked for are never served.
    return BROKEN if len(never) > 1 + len(asked) / 10 else HELD


os.chdir(Path(__file__).resolve().parent)
main(__file__, 3, play, engines=3)
