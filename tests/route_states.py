"""Gateway instances in random states, whose clock stands still, and what their components hold."""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from enum import Enum
from types import SimpleNamespace
from typing import Any

import pytest
from gateway_world import configuration, route, team
from wigeonarch_core.fatal_parts import CRASHES_OF_NEW_PART
from wigeonarch_gateway.limiter import Limiter
from wigeonarch_gateway.member import Member
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.messages import (
    EndpointLoad,
    EngineUpdate,
    PartReport,
    RateLimitUpdate,
    ServiceDemand,
)
from wigeonarch_gateway.node import Node
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.peer_socket import PeerSocket
from wigeonarch_gateway.ports import EndpointRecord, EndpointState, StoredObject
from wigeonarch_gateway.roles import Roles
from wigeonarch_platform.dialect import DIALECT
from wigeonarch_platform.store import Store

NOW = 5000.0  # Seconds; the time at which the clock stands.
KEY = "key-of-deli-5b1f"
FREE_KEY = "key-of-free-77c2"  # Of a team without a quota.
ADAPTERS = ("a1", "a2", "a3")
PARTS = ("p1", "p2")
# Components that only remember what follows from others.
CACHES = {"_coordinators", "_ranked_instances"}


class Instance:
    """An instance that was never started, with the messages that it tried to send."""

    def __init__(self, sent: list[str]) -> None:
        self.sent = sent
        opts = Options(
            instance="edge-0",
            zone="a",
            ip="127.0.0.1",
            front="127.0.0.1:1",
            ready="127.0.0.1:1",
            peer_port=1,
            metrics_port=1,
            grace=1.0,
        )
        self.node = Node(opts, DIALECT, Store("127.0.0.1:1"))
        self.explainer = self.node._explainer
        self.selector = self.explainer._selector

    def configure(self, **limits: float) -> None:
        """Puts a configuration in force, with a team that has a quota of tokens."""
        split = [{"service": "desk", "weight": 2}, {"service": "spare", "weight": 1}]
        extra = route("both", "idempotent", "desk", split=split)
        quota = {"unit": "tokens", "rate_per_s": 1000.0, "burst": 1000.0, **limits}
        spec = configuration(3, extra, teams=[team("deli", KEY, **quota), team("free", FREE_KEY)])
        spec["services"].append({"name": "spare", "max_conns": 100})
        self.node._catalogue.take_configuration_list((StoredObject("main", 1, spec),))


@contextmanager
def standing_clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[SimpleNamespace]:
    """Stops the clock that all components read; its `now` may be set."""
    clock = SimpleNamespace(now=NOW, CLOCK_BOOTTIME=0, time=lambda: NOW)
    clock.clock_gettime = lambda _: clock.now
    with monkeypatch.context() as patch:
        patch.setattr("wigeonarch_runtime.clock.time", clock)
        yield clock


def record_sends(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Returns a list that gets the messages of instances made from now on; none is sent."""
    sent: list[str] = []

    def send(_: object, to: str, message: object) -> bool:
        sent.append(f"{to} {message}")
        return True

    def send_all(_: object, message: object) -> None:
        sent.append(f"all {message}")

    monkeypatch.setattr(PeerSocket, "send", send)
    monkeypatch.setattr(Members, "send", send)
    monkeypatch.setattr(Members, "send_all", send_all)
    return sent


def set_random_state(instance: Instance, rng: random.Random) -> None:
    """Gives an instance random knowledge of random endpoints."""
    instance.configure()
    node = instance.node
    for service in ("llm", "desk", "spare"):
        for number in range(rng.randrange(6)):
            _add_endpoint(instance, f"{service}-{number}", service, rng)
    for record in node._endpoints.all():
        _set_health(instance, record, rng)
    for running in (0, 3, 5, 7, 8) if rng.random() < 0.5 else ():
        record = EndpointRecord("x", "desk", "127.0.0.1:9", "a", 8, EndpointState.READY, ())
        job = SimpleNamespace(service="desk")
        instance.selector.record_response_time(
            job, record, 0.2, running, True  # type: ignore[arg-type]
        )
    if rng.random() < 0.4:
        flood = ServiceDemand("desk", 200, [(rng.randrange(3), 0, rng.randrange(100_000))])
        node._traffic.demands.receive("peer-of-flood", [flood])
    if rng.random() < 0.3:
        crashes = [
            (rng.choice(PARTS), "v1", f"c{number}", 10) for number in range(CRASHES_OF_NEW_PART + 2)
        ]
        node._suspects.parts.receive(PartReport(crashes, [], [], []))
    peer = Member("edge-9", "i", "127.0.0.1:2", "a", False, True, 0.0, 0.0, {}, 0.0, 0.0, None, 0.0)
    peers = [peer] if rng.random() < 0.8 else []
    node._peer_forwarder._peers = lambda service: peers
    node._quotas.refresh()


def _add_endpoint(instance: Instance, name: str, service: str, rng: random.Random) -> None:
    node = instance.node
    state = EndpointState.LEAVING if rng.random() < 0.1 else EndpointState.READY
    zone, software = rng.choice("aab"), rng.choice(("v1", "v1", "v2"))
    record = EndpointRecord(
        name, service, "127.0.0.1:9", zone, 8, state, (), born=1, software=software
    )
    node._endpoints.update(record)
    running = rng.choice((0, 0, 1, 5, 9, 30))
    if running:
        tokens = [rng.randrange(20_000) for _ in range(3)]
        loads = [EndpointLoad(name, running, *tokens)]
        node._traffic.receive_loads(f"peer-of-{name}", loads)
    if service != "llm" or rng.random() < 0.1:
        return
    ready = [(0, adapter, 0) for adapter in ADAPTERS if rng.random() < 0.3]
    loading = [(0, "a1", 0, rng.randrange(900))] if not ready and rng.random() < 0.4 else []
    models = ["m"] if rng.random() < 0.9 else []
    update = EngineUpdate(
        "edge-1",
        name,
        1,
        1,
        models,
        ready if models else [],
        loading if models else [],
        rng.randrange(4),
        rng.random() < 0.8,
        1,
        rng.choice((0, 400, 900)),
    )
    node._views.apply_update(update)
    if rng.random() < 0.3:
        node._views.add_seen_adapters(name, [("m", rng.choice(ADAPTERS))])


def _set_health(instance: Instance, record: EndpointRecord, rng: random.Random) -> None:
    node, endpoint = instance.node, record.endpoint
    for _ in range(rng.choice((0, 0, 1, 4))):
        node._endpoint_health.record_answer(endpoint, failed=True)
    if rng.random() < 0.15:
        node._endpoint_health.record_unreachable(endpoint, NOW)
    if rng.random() < 0.25:
        node._reach._reach.record_unreachable(endpoint)
    if rng.random() < 0.15:
        node._cooldowns.start(endpoint, rng.choice((0.1, 3.0)), NOW)
    if rng.random() < 0.3:
        wait = node._engine_latency.record_send(endpoint, 0.1, NOW - 1.0)
        node._engine_latency.record_first_token(wait, NOW)
    if rng.random() < 0.25:
        limiter = rng.choice(("edge-0", "edge-5"))
        node._limits._limiter = Limiter("edge-0", lambda _: limiter, Roles.ranked_limiters)
        limit = RateLimitUpdate("edge-5", endpoint, rng.choice((2.0, 50.0)))
        node._limits.receive_limit(limit)


def held(value: Any, seen: set[int] | None = None) -> Any:
    """Returns all that a component holds, as values that can be compared.

    Of what is not the project's own, only the type is told.
    """
    seen = set() if seen is None else seen
    if value is None or isinstance(value, str | bytes | int | float | Enum):
        return value
    if id(value) in seen:
        return "seen"
    seen.add(id(value))
    if isinstance(value, Mapping):
        return [(held(key, seen), held(item, seen)) for key, item in value.items()]
    if isinstance(value, set | frozenset):
        return sorted(str(item) for item in value)
    if isinstance(value, list | tuple) or type(value).__name__ == "deque":
        return [held(item, seen) for item in value]
    if not type(value).__module__.startswith("wigeonarch_"):
        return type(value).__name__
    names = {name for kind in type(value).__mro__ for name in getattr(kind, "__slots__", ())}
    names |= set(getattr(value, "__dict__", ())) | set(getattr(value, "__struct_fields__", ()))
    return [(name, held(getattr(value, name, None), seen)) for name in sorted(names - CACHES)]
