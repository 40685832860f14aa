"""All gateways are killed while two software versions serve; do streams go on that clients resume?"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))

from rig import (  # noqa: E402
    BROKEN,
    HELD,
    MODEL,
    TROUBLE,
    Gateway,
    World,
    encode_request,
    main,
    new_id,
)

ENGINES = 4  # Two of each software version.
EVENTS, PAUSE = 150, 0.04  # Of a stream: 6 s.
STREAMS = 40
SETTLED = 12.0  # Seconds for which all has served before the streams begin.
DOWN = 0.5  # Seconds until the platform starts a killed process again.
CONTACT = 3.0  # `contact_ms`; machines are in touch after it.
RESUME_AFTER = DOWN + CONTACT + 1.0  # Seconds after the break at which a client takes it up.
LIMIT = 15.0  # Time limit of the clients, from the first try.
BEGIN_LIMIT = 4.0  # Seconds after which a client leaves that has no event: four times the aim.


@dataclass
class Stream:
    """A stream as its client sees it."""

    body: bytes
    first_id: str = field(default_factory=new_id)
    last_event: int = 0
    software: str = ""


def request_head(stream: Stream, request_id: str, left: float) -> bytes:
    """Returns a request for a stream, or for the rest of one."""
    more = (
        f"X-Model: {MODEL}/a{1 + stream.body[0] % 6}\r\nX-Token-Counts: 1460,160\r\n"
        f"X-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,{stream.first_id[:8]}:250\r\n"
    )
    if stream.last_event:
        more += f"Last-Event-Id: {stream.last_event}\r\nResumes: {stream.first_id}\r\n"
    return encode_request(
        "POST", "/allergen-decl/2f", request_id, int(left * 1000), stream.body, more
    )


async def read_events(gateway: Gateway, stream: Stream, sent: bytes, seconds: float) -> str:
    """Reads events into a stream until it ends, breaks or the time is over; returns how it ended."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*gateway.front)
            writer.write(sent)
            status = int((await reader.readline()).split()[1])
            while (await reader.readline()).strip():
                pass
            if status != 200:
                return str(status)
            while size := int(await reader.readline(), 16):
                chunk = await reader.readexactly(size + 2)
                for line in chunk.split(b"\n"):
                    if line.startswith(b"id: "):
                        stream.last_event = int(line[4:])
                    elif line.startswith(b"data: "):
                        stream.software = line.split()[1].decode()
            return "whole"
    except TimeoutError:
        return "left"
    except (OSError, asyncio.IncompleteReadError, ValueError, IndexError) as exc:
        return type(exc).__name__
    finally:
        if writer is not None:
            writer.close()


async def play(world: World) -> int:
    """Plays the case."""
    for number, engine in enumerate(world.engines):
        engine.events, engine.pause = EVENTS, PAUSE
        engine.software = "v1" if number % 2 else "v2"
    await asyncio.sleep(SETTLED)
    streams = [Stream(random.randbytes(1300)) for _ in range(STREAMS)]
    broken_at = time.monotonic() + 3.0

    async def begin(stream: Stream, gateway: Gateway) -> None:
        # Without the kill, the clients break off by themselves at the same moment.
        sent = request_head(stream, stream.first_id, LIMIT)
        left = broken_at - time.monotonic() + (5.0 if TROUBLE else 0.0)
        how = await read_events(gateway, stream, sent, left)
        world.record.line(
            f"{stream.first_id} at {gateway.name}: {stream.last_event} events of "
            f"{stream.software or 'nothing'}, then {how}"
        )

    begun = []
    for number, stream in enumerate(streams):
        gateway = world.gateways[number % len(world.gateways)]
        begun.append(asyncio.create_task(begin(stream, gateway)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(max(0.0, broken_at - time.monotonic()))
    if TROUBLE:
        for gateway in world.gateways:
            gateway.signal(signal.SIGKILL)
            world.record.line(f"{gateway.name} is killed")
        await asyncio.sleep(DOWN)
        for gateway in world.gateways:
            await gateway.start()
    await asyncio.gather(*begun)
    await asyncio.sleep(max(0.0, broken_at + RESUME_AFTER - time.monotonic()))
    return await count(world, [stream for stream in streams if stream.last_event])


async def count(world: World, broken: list[Stream]) -> int:
    """Takes up the broken streams, begins as many new ones, and compares."""

    async def take_up(stream: Stream, gateway: Gateway) -> bool:
        request_id, before, version = new_id(), stream.last_event, stream.software
        sent = request_head(stream, request_id, LIMIT / 2)
        how = await read_events(gateway, stream, sent, LIMIT / 2)
        went_on = stream.last_event > before
        world.record.line(
            f"{request_id} takes up {stream.first_id} ({version}) after {before} at "
            f"{gateway.name}: {stream.last_event - before} events of {stream.software}, then {how}"
        )
        return went_on

    async def begin_new(gateway: Gateway) -> bool:
        stream = Stream(random.randbytes(1300))
        sent = request_head(stream, stream.first_id, LIMIT)
        how = await read_events(gateway, stream, sent, BEGIN_LIMIT)
        world.record.line(f"new {stream.first_id} at {gateway.name}: "
                          f"{stream.last_event} events, then {how}")
        return bool(stream.last_event)

    tasks, new = [], []
    for number, stream in enumerate(broken):
        gateway = world.gateways[(number + 1) % len(world.gateways)]
        tasks.append(asyncio.create_task(take_up(stream, gateway)))
        new.append(asyncio.create_task(begin_new(gateway)))
        await asyncio.sleep(0.05)
    went_on = sum(await asyncio.gather(*tasks))
    begun = sum(await asyncio.gather(*new))
    text = f"taken up {len(broken)}, went on {went_on}; new {len(new)}, began {begun}"
    world.record.line(text)
    print(text)
    if len(broken) < 12:
        return HELD
    # LOST: the share that goes on is under half of the share of new streams that begin.
    return BROKEN if went_on / len(broken) < begun / len(new) / 2 else HELD


os.chdir(Path(__file__).resolve().parent)
main(__file__, 3, play, engines=ENGINES)
