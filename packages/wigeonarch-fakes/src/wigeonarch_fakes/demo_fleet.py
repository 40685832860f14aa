"""Runs a small deployment in one process and event loop: stand-ins and three entry instances.

The parts communicate over loopback sockets, as separate processes would; no process is started.
Tests of the HTTP and RPC servers use it too.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Final

import aiohttp
import msgspec
from wigeonarch_core.listing import Listed, Role
from wigeonarch_core.options import Limits, Options, Timing
from wigeonarch_entry.node import Node

from wigeonarch_fakes import serving
from wigeonarch_fakes.engine import RunningEngine, start_engine
from wigeonarch_fakes.engine_documents import Settings
from wigeonarch_fakes.platform import RunningPlatform, start_platform
from wigeonarch_fakes.service import RunningService, start_service
from wigeonarch_fakes.weightstore import start_weight_store

MODEL_SERVICE: Final = "drafting"
PLAIN_SERVICE: Final = "orders"
TIMEOUT_S: Final = 30.0
POLL_INTERVAL_S: Final = 0.02


@dataclass(frozen=True, slots=True)
class Plan:
    """Describes the deployment to start.

    Attributes:
        zones: Availability zones; each gets one entry instance and one engine.
        checks_fence: Zones whose engine refuses outdated fencing tokens; engines of other zones
            ignore the tokens.
        engine: Settings of each engine; `weight_store` and `checks_fence` are overridden.
        loads_per_s: Maximum number of loads that may start per second at the weight store.
        bytes_per_s: Total bandwidth of the weight store, in bytes per second.
        limits: Limits of the entry instances.
        timing: Intervals and timeouts of the entry instances.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    checks_fence: tuple[str, ...] = ("zone-a", "zone-b")
    engine: Settings = field(default_factory=Settings)
    loads_per_s: float = 3.0
    bytes_per_s: float = 20e6
    limits: Limits = field(default_factory=Limits)
    timing: Timing = field(default_factory=Timing)


@dataclass(slots=True)
class DemoFleet:
    """A running deployment.

    Attributes:
        platform: Stand-in for the platform.
        engines: Stand-ins for the model engines, by name.
        services: Stand-ins for the replicas of the plain service, by name.
        nodes: Entry instances, by name.
    """

    platform: RunningPlatform
    engines: dict[str, RunningEngine] = field(default_factory=dict)
    services: dict[str, RunningService] = field(default_factory=dict)
    nodes: dict[str, Node] = field(default_factory=dict)

    def http_url(self, name: str) -> str:
        """Returns the URL of an entry instance's HTTP server."""
        return f"http://{self.nodes[name].opts.http}"

    def rpc_address(self, name: str) -> str:
        """Returns the address of an entry instance's RPC server."""
        return self.nodes[name].opts.rpc


@asynccontextmanager
async def demo_fleet(plan: Plan) -> AsyncIterator[DemoFleet]:
    """Starts a deployment, waits until its entry instances are ready, and stops it on exit."""
    async with AsyncExitStack() as stack:
        platform = await start_platform()
        stack.push_async_callback(platform.stop)
        fleet = DemoFleet(platform)
        await _start_endpoints(fleet, plan, stack)
        await _register_endpoints(fleet, plan)
        for zone in plan.zones:
            name = f"entry-{zone}"
            fleet.nodes[name] = node = Node(_options(name, zone, platform.address, plan))
            stack.push_async_callback(node.stop)
            await node.start()
        await wait_for(lambda: all(n.refusal_reason() is None for n in fleet.nodes.values()))
        yield fleet


async def wait_for(condition: Callable[[], bool], timeout_s: float = TIMEOUT_S) -> None:
    """Polls until a condition holds.

    Raises:
        TimeoutError: The condition did not hold within `timeout_s` seconds.
    """
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 - a predicate has no event to wait for
            await asyncio.sleep(POLL_INTERVAL_S)


def free_address() -> str:
    """Returns a loopback address whose port is free now; another process may still take it."""
    with socket.socket() as sock:
        sock.bind((serving.HOST, 0))
        return f"{serving.HOST}:{sock.getsockname()[1]}"


async def _start_endpoints(fleet: DemoFleet, plan: Plan, stack: AsyncExitStack) -> None:
    store = await start_weight_store(rate=plan.loads_per_s, bytes_per_s=plan.bytes_per_s)
    stack.push_async_callback(store.stop)
    for zone in plan.zones:
        settings = msgspec.structs.replace(
            plan.engine, weight_store=store.address, checks_fence=zone in plan.checks_fence
        )
        engine = await start_engine(settings=settings)
        stack.push_async_callback(engine.stop)
        fleet.engines[f"engine-{zone}"] = engine
        service = await start_service()
        stack.push_async_callback(service.stop)
        fleet.services[f"{PLAIN_SERVICE}-{zone}"] = service


async def _register_endpoints(fleet: DemoFleet, plan: Plan) -> None:
    """Registers the endpoints in the platform's instance list, as real endpoints do at start-up."""
    items = []
    for zone in plan.zones:
        engine, service = f"engine-{zone}", f"{PLAIN_SERVICE}-{zone}"
        address = fleet.engines[engine].address
        items.append(Listed(engine, address, zone, Role.ENGINE, MODEL_SERVICE))
        address = fleet.services[service].address
        items.append(Listed(service, address, zone, Role.SERVICE, PLAIN_SERVICE))
    async with aiohttp.ClientSession(f"http://{fleet.platform.address}") as session:
        for item in items:
            body = msgspec.json.encode(item)
            async with session.put(f"/v1/instances/{item.name}", data=body) as resp:
                resp.raise_for_status()


def _options(name: str, zone: str, platform: str, plan: Plan) -> Options:
    return Options(
        instance=name,
        zone=zone,
        http=free_address(),
        rpc=free_address(),
        peer=free_address(),
        platform=(platform,),
        limits=plan.limits,
        timing=plan.timing,
    )
