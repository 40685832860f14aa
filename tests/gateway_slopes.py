"""Measures the cost of an idle gateway by the number of gateways and engines.

    python tests/gateway_slopes.py 6:6 12:12 24:12 24:24

All gateways run in one process with stand-ins of the store and of the engines, so the processor
time of one gateway is that of the process divided by their number. docs/CAPACITY.md uses the
results.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from typing import Final

import gateway_world
import uvloop
from gateway_world import World, configuration
from loguru import logger
from msgspec.structs import replace
from ports import free_port
from standins.replica import Replica
from standins.store import StoreStandIn
from wigeonarch_gateway.options import LeaseOptions, StoreOptions
from wigeonarch_gateway.peer_socket import PeerSocket

SETTLE_SECONDS: Final = 12.0  # Until engines have owners and gateways know each other.
MEASURE_SECONDS: Final = 8.0


async def measure(gateways: int, engines: int) -> str:
    """Returns a line with the processor time, messages and store calls of one gateway."""
    logger.remove()
    gateway_world.HOLDING = LeaseOptions()
    gateway_world.STORE = StoreOptions()
    sent = [0, 0]
    send_frame = PeerSocket.send_frame

    def send_counted_frame(self: PeerSocket, address: str, frame: bytes) -> bool:
        sent[0] += 1
        sent[1] += len(frame)
        return send_frame(self, address, frame)

    PeerSocket.send_frame = send_counted_frame  # type: ignore[method-assign]
    store = StoreStandIn()
    await store.start()
    await store.put("config", "main", configuration())
    world = World(store, peer_port=free_port("127.0.0.10", socket.SOCK_DGRAM))
    for number in range(engines):
        await world.add_replica(Replica("llm", model="m", name=f"i-{number}"))
    for number in range(gateways):
        await world.add_node(number)
    await asyncio.sleep(SETTLE_SECONDS)
    started_at, cpu_before, calls_before = time.monotonic(), time.process_time(), len(store.calls)
    sent[:] = [0, 0]
    await asyncio.sleep(MEASURE_SECONDS)
    elapsed = time.monotonic() - started_at
    cpu = (time.process_time() - cpu_before) / elapsed / gateways
    line = (
        f"gateways={gateways} engines={engines} core={cpu:.4f} "
        f"messages={sent[0] / elapsed / gateways:.1f}/s bytes={sent[1] / elapsed / gateways:.0f}/s "
        f"store={(len(store.calls) - calls_before) / elapsed / gateways:.2f}/s"
    )
    for opts, node in zip(world.options, world.nodes, strict=True):
        node._opts = replace(opts, grace=0.8)
        node.stop()
    await asyncio.gather(*world.tasks, return_exceptions=True)
    for replica in world.replicas:
        await replica.stop()
    await store.stop()
    PeerSocket.send_frame = send_frame  # type: ignore[method-assign]
    return line


def main() -> None:
    """Measures each deployment size given as GATEWAYS:ENGINES."""
    for size in sys.argv[1:]:
        gateways, _, engines = size.partition(":")
        print(uvloop.run(measure(int(gateways), int(engines))), flush=True)


if __name__ == "__main__":
    main()
