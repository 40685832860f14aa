"""What a gateway costs at rest, by the number of gateways and engines; for docs/CAPACITY.md.

    python tests/gateway_slopes.py 6:6 12:12 24:12 24:24

All gateways run in one process before stand-ins, so processor time is that of all, divided.
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

SETTLE_SECONDS: Final = 12.0  # Seconds until engines are held and all have heard each other.
MEASURE_SECONDS: Final = 8.0  # Seconds.


async def measure(gateways: int, engines: int) -> str:
    """Returns a line with the cost of one gateway."""
    logger.remove()
    gateway_world.HOLDING = LeaseOptions()
    gateway_world.STORE = StoreOptions()
    sent = [0, 0]
    plain = PeerSocket.send_frame

    def counted(self: PeerSocket, address: str, frame: bytes) -> bool:
        sent[0] += 1
        sent[1] += len(frame)
        return plain(self, address, frame)

    PeerSocket.send_frame = counted  # type: ignore[method-assign]
    store = StoreStandIn()
    await store.start()
    await store.put("config", "main", configuration())
    found = World(store, peer_port=free_port("127.0.0.10", socket.SOCK_DGRAM))
    for number in range(engines):
        await found.add_replica(Replica("llm", model="m", name=f"i-{number}"))
    for number in range(gateways):
        await found.add_node(number)
    await asyncio.sleep(SETTLE_SECONDS)
    began, used, calls = time.monotonic(), time.process_time(), len(store.calls)
    sent[:] = [0, 0]
    await asyncio.sleep(MEASURE_SECONDS)
    spent = time.monotonic() - began
    cpu = (time.process_time() - used) / spent / gateways
    line = (
        f"gateways={gateways} engines={engines} core={cpu:.4f} "
        f"messages={sent[0] / spent / gateways:.1f}/s bytes={sent[1] / spent / gateways:.0f}/s "
        f"store={(len(store.calls) - calls) / spent / gateways:.2f}/s"
    )
    for opts, node in zip(found.options, found.nodes, strict=True):
        node._opts = replace(opts, grace=0.8)
        node.stop()
    await asyncio.gather(*found.tasks, return_exceptions=True)
    for replica in found.replicas:
        await replica.stop()
    await store.stop()
    PeerSocket.send_frame = plain  # type: ignore[method-assign]
    return line


def main() -> None:
    """Measures the sizes given as GATEWAYS:ENGINES."""
    for size in sys.argv[1:]:
        gateways, _, engines = size.partition(":")
        print(uvloop.run(measure(int(gateways), int(engines))), flush=True)


if __name__ == "__main__":
    main()
