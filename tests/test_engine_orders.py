"""Engines get no load for which they may lack a place, whatever becomes of the orders before it."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any

import pytest
from gateway_world import World, until_true, world
from virtual_time import run_virtually
from wigeonarch_core.engine_places import USE_REPORTED_WITHIN, AdapterKey, AdapterName
from wigeonarch_core.load_time import LoadTimeEstimate
from wigeonarch_core.routes import EngineSpec, ModelSpec
from wigeonarch_gateway import engine_controller
from wigeonarch_gateway.calls import CallResult
from wigeonarch_gateway.engine_controller import (
    MAX_CONFLICT_PAUSE,
    MIN_CONFLICT_PAUSE,
    ControllerContext,
    EngineController,
    OrderAuthority,
)
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import EndpointRecord, EndpointState, Order, OrderResult
from wigeonarch_platform.dialect import DIALECT

PLACES = 4
ADAPTERS = 9
LOAD_SECONDS = 0.25
SECONDS = 60.0  # Virtual time of a run.
SPEC = EngineSpec(8, 1000, 100.0, PLACES, 2.0, (ModelSpec("m", 90.0, 1.0, 1.0),))
MAX_LATE = 12.0  # Seconds after which an order without a response may still be carried out.


def key(name: str, version: int = 0) -> AdapterKey:
    return AdapterKey("m", name, version)


async def fill(deployment: World) -> None:
    """Has an adapter loaded into each place, and waits until they can be unloaded again."""
    for number in range(deployment.replicas[0].places):
        await deployment.wait_until_served("/write/x", adapter=f"a{number}")
    await asyncio.sleep(2 * USE_REPORTED_WITHIN)


async def test_an_order_without_a_response_does_not_let_the_next_load_overfill_the_engine() -> None:
    async with world() as deployment:
        [node], engine = deployment.nodes, deployment.replicas[0]
        await fill(deployment)
        controller = node._engine_ownership.controller("i-llm")
        assert controller is not None
        await deployment.store.put(
            "versions", "m.a1", {"model": "m", "adapter": "a1", "version": 2}
        )
        await until_true(lambda: node._catalogue.version("m", "a1") == 2)
        engine.silent_loads = 1
        controller.request_load(key("b"), 1, False)
        await until_true(lambda: engine.silent_loads == 0)
        controller.request_load(key("a1", 2), 0, False)
        controller.request_load(key("c"), 0, False)
        orders = len(engine.orders)
        await until_true(lambda: len(engine.orders) > orders + 1)
        assert engine.overfill_count == 0
        assert all("expect" in body for body, _ in engine.orders)


RESULTS = {"a": OrderResult.STARTED, "c": OrderResult.CONFLICT, "u": OrderResult.UNKNOWN}


@pytest.mark.parametrize(
    ("results", "doublings"),
    [
        ("c", 0),
        ("cc", 1),
        ("cccccc", 5),
        ("cac", 0),
        ("uc", 0),  # It is refused because the one before took effect.
        ("uuuc", 0),
        ("cuc", 1),
        ("uuu", None),
        ("uuuu", 0),
        ("uuuuu", 1),
    ],
)
def test_the_pause_after_refused_orders_does_not_grow_with_lost_answers(
    monkeypatch: pytest.MonkeyPatch, results: str, doublings: int | None
) -> None:
    monkeypatch.setattr(engine_controller, "monotonic", lambda: 100.0)
    controller = EngineController("i-1", SPEC, OrderAuthority("me", lambda: 1), context_of())
    order = Order(True, key("a"), "me", 1, 1)
    for result in results:
        controller._note_result(order, RESULTS[result], 0)
    if doublings is None:
        assert controller._blocked_until == 0.0
        return
    pause = min(MAX_CONFLICT_PAUSE, MIN_CONFLICT_PAUSE * 2**doublings)
    assert controller._blocked_until == pytest.approx(100.0 + pause)
    assert controller._sequence is None


def context_of(**replaced: Any) -> ControllerContext:
    """Returns the context of a controller whose engine nobody uses."""
    plain: dict[str, Any] = {
        "pools": None,
        "dialect": DIALECT,
        "metrics": Metrics(),
        "record": lambda endpoint: None,
        "in_use": lambda endpoint: set(),
        "is_outdated": lambda found: False,
        "publish": lambda update: None,
        "update_interval": lambda: 0.5,
        "load_times": LoadTimeEstimate(),
        "loads_in_progress": lambda: 0,
        "was_loaded_before": lambda endpoint, found: False,
        "may_load_model": lambda: True,
        "give_back_model_load": lambda: None,
        "since_restart": lambda endpoint: 1e9,
        "on_notice": lambda record, notice: None,
        "cooldown_left": lambda endpoint: 0.0,
    }
    return ControllerContext(**plain | replaced)


@dataclass
class SimulatedEngine:
    """An engine that obeys every order whose number is right, and loses responses.

    Attributes:
        draw: Draws what becomes of each order and report.
        trouble: Share of the orders that get no response; a third of them each is carried out,
            carried out late, or never.
        loaded: Version of each loaded adapter.
        pending: Version of each adapter on its way.
        most_held: Largest number of adapters loaded and on their way.
        loads: Loads that began.
    """

    draw: random.Random
    trouble: float
    loaded: dict[str, int] = field(default_factory=dict)
    pending: dict[str, int] = field(default_factory=dict)
    sequence: int = 0
    born: int = 1
    restarted_at: float = -1e9
    most_held: int = 0
    loads: int = 0
    unnumbered: int = 0
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _reports: list[tuple[float, bytes]] = field(default_factory=list)

    async def call(
        self,
        pools: Any,
        dialect: Any,
        record: EndpointRecord,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        may_send: Any,
    ) -> CallResult:
        """Stands in for `calls.call_endpoint`."""
        if not may_send():
            return CallResult(0, b"", False)
        await asyncio.sleep(self.draw.uniform(0.001, 0.01))
        if method == "GET":
            return await self._report(timeout)
        order = json.loads(body)
        if self.draw.random() >= self.trouble:
            return CallResult(self._execute(order), b"", True)
        fate = self.draw.randrange(3)
        if fate == 0:
            self._execute(order)
        if fate == 1:
            self._spawn(self._execute_late(order))
        await asyncio.sleep(timeout)
        return CallResult(0, b"", True)

    async def _report(self, timeout: float) -> CallResult:
        if self.draw.random() < self.trouble / 3:
            await asyncio.sleep(timeout)
            return CallResult(0, b"", True)
        lag = self.draw.uniform(0.0, 0.3)
        now = asyncio.get_running_loop().time()
        shown = [body for at, body in self._reports if at <= now - lag]
        return CallResult(200, shown[-1] if shown else self._state(), True)

    def _state(self) -> bytes:
        adapters = [f"{name}@{version}" for name, version in self.loaded.items()]
        report = {
            "models": [{"name": "m", "version": 1, "adapters": adapters}],
            "seq": self.sequence,
            "pending": [f"m/{name}@{version}" for name, version in self.pending.items()],
            "born": self.born,
        }
        return json.dumps(report).encode()

    async def _execute_late(self, order: dict[str, Any]) -> None:
        await asyncio.sleep(self.draw.uniform(0.2, MAX_LATE))
        self._execute(order)

    def _execute(self, order: dict[str, Any]) -> int:
        self.unnumbered += "expect" not in order
        if order.get("expect", self.sequence) != self.sequence:
            return 409
        name = order["adapter"]
        if order["op"] == "unload":
            if name in self.loaded:
                del self.loaded[name]
                self._changed()
            return 200
        if name in self.loaded and self.loaded[name] >= order.get("version", 0):
            return 200
        self.loaded.pop(name, None)
        self.pending[name] = order.get("version", 1)
        self.loads += 1
        self._changed()
        self._spawn(self._load(name, self.born))
        return 202

    def _changed(self) -> None:
        self.sequence += 1
        self.most_held = max(self.most_held, len(self.loaded | self.pending))
        self._note_state()

    def _note_state(self) -> None:
        self._reports.append((asyncio.get_running_loop().time(), self._state()))
        del self._reports[:-50]

    async def _load(self, name: str, born: int) -> None:
        await asyncio.sleep(LOAD_SECONDS * self.draw.uniform(0.5, 3.0))
        if self.born == born and name in self.pending:
            self.loaded[name] = self.pending.pop(name)
            self._note_state()

    def restart(self) -> None:
        self.born += 1
        self.restarted_at = asyncio.get_running_loop().time()
        self.sequence = 0
        self.loaded.clear()
        self.pending.clear()
        self._reports.clear()
        self._note_state()

    def _spawn(self, coro: Any) -> None:
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def run_engine(
    monkeypatch: pytest.MonkeyPatch, seed: int, trouble: float, restarts: bool
) -> SimulatedEngine:
    """Has an engine ordered for random requests, for `SECONDS` of virtual time."""
    loop = asyncio.get_running_loop()
    draw = random.Random(seed)
    engine = SimulatedEngine(random.Random(seed + 1), trouble)
    monkeypatch.setattr(engine_controller, "monotonic", loop.time)
    monkeypatch.setattr(engine_controller, "call_endpoint", engine.call)
    in_use: set[AdapterName] = set()
    newest: dict[str, int] = {}

    def record(endpoint: str) -> EndpointRecord:
        return EndpointRecord(
            endpoint, "llm", "127.0.0.1:1", "a", 8, EndpointState.READY, (), engine.born, ""
        )

    context = context_of(
        record=record,
        in_use=lambda endpoint: in_use,
        is_outdated=lambda found: found.version < newest.get(found.adapter, 1),
        loads_in_progress=lambda: len(engine.pending),
        since_restart=lambda endpoint: loop.time() - engine.restarted_at,
    )
    controller = EngineController("i-1", SPEC, OrderAuthority("me", lambda: 1), context)
    running = asyncio.create_task(controller.run())
    end = loop.time() + SECONDS
    while loop.time() < end:
        name = f"a{draw.randrange(ADAPTERS)}"
        if draw.random() < 0.1:
            newest[name] = newest.get(name, 1) + 1
        in_use.clear()
        in_use.update(key(f"a{draw.randrange(ADAPTERS)}").name for _ in range(draw.randrange(2)))
        version = newest.get(name, 1) if draw.random() < 0.5 else 0
        controller.request_load(key(name, version), draw.randrange(3), draw.random() < 0.2)
        if restarts and draw.random() < 0.01:
            engine.restart()
        await asyncio.sleep(draw.choice([0.0, 0.01, 0.05, 0.2]))
    running.cancel()
    return engine


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("trouble", [0.0, 0.1, 0.35, 0.6])
@pytest.mark.parametrize("seed", range(8))
def test_no_order_overfills_an_engine_that_loses_responses(
    monkeypatch: pytest.MonkeyPatch, seed: int, trouble: float, restarts: bool
) -> None:
    engine = run_virtually(run_engine(monkeypatch, seed, trouble, restarts))
    assert engine.unnumbered == 0
    assert engine.most_held <= PLACES
    assert engine.loads >= 10
