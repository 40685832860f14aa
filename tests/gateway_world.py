"""Runs gateway instances in one event loop against stand-ins of the platform, over real sockets.

Each instance has its own loopback address, because all use the same port for messages.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import pytest
from msgspec.structs import replace
from ports import free_port
from standins.replica import Replica
from standins.store import StoreStandIn
from wigeonarch_core.quota_ledger import QuotaBounds
from wigeonarch_core.store_contact import LapseTimes, StoreContact
from wigeonarch_gateway.node import Node
from wigeonarch_gateway.options import (
    ExtraTryOptions,
    LeaseOptions,
    Options,
    RetryOptions,
    StoreOptions,
)
from wigeonarch_gateway.pools import CONNECT_TIMEOUT, ConnectionPools
from wigeonarch_platform.dialect import DIALECT
from wigeonarch_platform.store import Store
from yarl import URL

HOST = "shop.example"
WAIT = 20.0  # Seconds after which waiting for a condition fails; it is no bound under test.
STEP = 0.03  # Seconds between checks of a condition.
# Short leases, so that takeovers happen within a test.
HOLDING = LeaseOptions(term=1.5, margin=0.3, renewal=0.3, pause=0.5)
STORE = StoreOptions(
    watch=0.5, watch_configuration=0.5, batch_pause=0.05, retry=0.05, return_time=0.6, lapse=0.2
)


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 5000,
        "slo_ms": 800,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "sticky": False,
        "resumable": False,
        "gap_target_ms": 250,
        **more,
    }


def team(name: str, *keys: str, **more: Any) -> dict[str, Any]:
    """Returns a team of the configuration, without a quota unless `more` gives one."""
    return {"name": name, "api_keys": list(keys), **more}


def configuration(
    version: int = 1, *extra: dict[str, Any], teams: list[dict[str, Any]] | None = None
) -> dict[str, Any]:
    """Returns a configuration with an engine service and a plain one."""
    engine = {
        "slots": 8,
        "kv_capacity": 100_000,
        "weights_mb": 1000.0,
        "adapter_slots": 3,
        "loads_per_s": 2.0,
        "models": [{"name": "m", "weights_mb": 900.0, "load_s": 0.1, "adapter_mb": 1.0}],
    }
    return {
        "version": version,
        "routes": [
            route("ask", "idempotent", "desk"),
            route("book", "non_idempotent", "desk", attempts=1),
            route("write", "streaming", "llm", attempts=1),
            route("draft", "streaming", "llm", resumable=True),
            *extra,
        ],
        "services": [
            {"name": "llm", "max_conns": 100, "engine": engine},
            {"name": "desk", "max_conns": 100},
        ],
        "limits": {"max_body_bytes": 100_000, "idle_timeout_ms": 15000},
        **({} if teams is None else {"tenants": teams}),
    }


@dataclass
class CallerResponse:
    """The response to a caller; `complete` is False if the connection ended too early."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True


@dataclass
class World:
    """The store, replicas and gateway instances of a test, and a caller."""

    store: StoreStandIn
    nodes: list[Node] = field(default_factory=list)
    options: list[Options] = field(default_factory=list)
    replicas: list[Replica] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    sent: int = 0
    peer_port: int = 0
    store_options: StoreOptions = STORE
    quotas: QuotaBounds = field(default_factory=QuotaBounds)
    extra_tries: ExtraTryOptions = field(default_factory=ExtraTryOptions)

    async def add_replica(self, replica: Replica) -> Replica:
        """Starts a replica and writes its entry to the store."""
        await replica.start()
        self.replicas.append(replica)
        await self.store.put("servers", replica.name, replica.record())
        return replica

    async def add_node(self, number: int) -> Node:
        """Starts a gateway instance at its own loopback address."""
        host = f"127.0.0.{number + 10}"
        opts = Options(
            instance=f"edge-{number}",
            zone="a",
            ip=host,
            front=f"{host}:{free_port(host)}",
            ready=f"{host}:{free_port(host)}",
            peer_port=self.peer_port,
            metrics_port=free_port(host),
            grace=6.0,
            unready_detection_time=0.3,
            retries=RetryOptions(allowance=100.0),
            extra_tries=self.extra_tries,
            leases=HOLDING,
            store=self.store_options,
            quotas=self.quotas,
        )
        opts = replace(opts, seeds=tuple(f"127.0.0.{n}:1" for n in (10, 11, 12)))
        node = Node(opts, DIALECT, Store(self.store.address))
        await node.start()
        self.nodes.append(node)
        self.options.append(opts)
        self.tasks.append(asyncio.create_task(node.serve()))
        return node

    async def send_request(
        self,
        path: str,
        body: bytes = b"",
        node: int = 0,
        method: str = "POST",
        adapter: str = "",
        **headers: str,
    ) -> CallerResponse:
        """Sends a request on a new connection; returns the response."""
        self.sent += 1
        own = {"Host": HOST, "X-Request-Id": f"r{self.sent}", "X-Deadline-Ms": "5000"}
        if adapter:
            own["X-Model"] = f"m/{adapter}"
            own["X-Token-Counts"] = "100,20"
        own |= {name.replace("_", "-"): value for name, value in headers.items()}
        url = URL(f"http://{self.options[node].front}{path}", encoded=True)
        async with (
            aiohttp.ClientSession(auto_decompress=False) as session,
            session.request(method, url, data=body, headers=own) as resp,
        ):
            parts = []
            complete = True
            try:
                async for part in resp.content.iter_any():
                    parts.append(part)
            except aiohttp.ClientPayloadError:
                complete = False
            found = {name.lower(): value for name, value in resp.headers.items()}
            return CallerResponse(resp.status, found, b"".join(parts), complete)

    async def readiness_status(self, node: int = 0) -> int:
        """Returns the status of an instance's readiness check; 0 if it does not respond."""
        url = f"http://{self.options[node].ready}/wigeonarch/readyz"
        try:
            async with aiohttp.ClientSession() as session, session.get(url) as resp:
                return resp.status
        except aiohttp.ClientError:
            return 0

    async def metrics(self, node: int = 0) -> str:
        """Returns the metrics page of an instance."""
        opts = self.options[node]
        url = f"http://{opts.ip}:{opts.metrics_port}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as resp:
            return await resp.text()

    def recorded_owner(self, endpoint: str) -> str:
        """Returns the owner of an engine according to the store; empty if there is none."""
        found = self.store.objects.get(("wigeonarch-holders", endpoint))
        return str(found["spec"]["holder"]) if found else ""

    async def wait_until_served(self, path: str, node: int = 0, adapter: str = "") -> None:
        """Waits until a request for a path succeeds."""

        async def ok() -> bool:
            return (await self.send_request(path, node=node, adapter=adapter)).status == 200

        await until(ok)


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Waits until an asynchronous condition is true."""
    async with asyncio.timeout(WAIT):
        while not await condition():  # noqa: ASYNC110 - the condition is polled.
            await asyncio.sleep(STEP)


async def until_true(condition: Callable[[], Any]) -> None:
    """Waits until a synchronous condition is true."""
    async with asyncio.timeout(WAIT):
        while not condition():  # noqa: ASYNC110 - the condition is polled.
            await asyncio.sleep(STEP)


@asynccontextmanager
async def world(
    nodes: int = 1, store: StoreOptions = STORE, extra_tries: ExtraTryOptions | None = None
) -> AsyncIterator[World]:
    """Starts a deployment of one engine, one plain service and some gateway instances."""
    standin = StoreStandIn()
    await standin.start()
    await standin.put("config", "main", configuration())
    found = World(
        standin,
        peer_port=free_port("127.0.0.10", socket.SOCK_DGRAM),
        store_options=store,
        extra_tries=extra_tries or ExtraTryOptions(),
    )
    await found.add_replica(Replica("llm", model="m", name="i-llm"))
    await found.add_replica(Replica("desk", name="i-desk"))
    try:
        for number in range(nodes):
            await found.add_node(number)
        yield found
    finally:
        for node in found.nodes:
            node.stop()
        await asyncio.gather(*found.tasks, return_exceptions=True)
        for replica in found.replicas:
            await replica.stop()
        await standin.stop()


def new_store_contact(opts: StoreOptions | None = None) -> StoreContact:
    """Returns the store contact of an instance that the store has not answered yet."""
    opts = opts or StoreOptions()
    return StoreContact(LapseTimes(opts.lapse, opts.return_time, opts.contact))


def cut_from_store(node: Node) -> str:
    """Makes the store unreachable for an instance; returns its real address."""
    client = node._store._store
    address: str = client._base  # type: ignore[attr-defined]
    client._base = "http://127.0.0.1:1/nowhere"  # type: ignore[attr-defined]
    return address


def cut_from_endpoints(
    node: Node, monkeypatch: pytest.MonkeyPatch, silent: bool, keeps_idle: bool = False
) -> None:
    """Cuts an instance from all endpoints until the patch is undone.

    Args:
        node: The instance.
        monkeypatch: Replaces how connections are opened.
        silent: Whether new connections get no answer; if not, they fail at once.
        keeps_idle: Whether idle connections live on; if not, they end.
    """
    pools = node._pools
    if not keeps_idle:
        pools.close()
    open_connection = ConnectionPools._open

    async def fail_to_open(self: ConnectionPools, *args: Any) -> Any:
        if self is not pools:
            return await open_connection(self, *args)
        if silent:
            await asyncio.sleep(CONNECT_TIMEOUT)
            raise TimeoutError
        raise ConnectionRefusedError

    monkeypatch.setattr(ConnectionPools, "_open", fail_to_open)


def parse_json(body: bytes) -> Any:
    """Decodes a JSON document."""
    return json.loads(body)
