"""Tests the models of the policy benchmark and the counters that its figures rely on."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec
import pytest
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_fakes import bench_serving
from wigeonarch_fakes.bench_baselines import BASELINES
from wigeonarch_fakes.bench_engine import Engine
from wigeonarch_fakes.bench_figures import charged_stall, measure
from wigeonarch_fakes.bench_store import Clock, Store
from wigeonarch_fakes.bench_workloads import (
    Deployment,
    EngineSpec,
    Request,
    Workload,
    draw_arrivals,
    read_workload,
)
from wigeonarch_fakes.bench_world import World

WORKLOADS = sorted((Path(__file__).parent.parent / "bench/workloads").glob("*.json"))
SPEC = EngineSpec(
    slots=1,
    max_batch=2,
    base_ms=10.0,
    per_sequence_ms=1.0,
    per_adapter_ms=0.0,
    prefill_ms=0.0,
    cached_prefill_ms=0.0,
)
FIRST = AdapterVersion("drafting", "a1", "v1")
SECOND = AdapterVersion("drafting", "a2", "v1")


def request(number: int, target: AdapterVersion = FIRST, tokens: int = 10) -> Request:
    return Request(number, 0.0, "z", "caller", target, 0, tokens, 60.0, number)


def short_workload(name: str) -> tuple[Workload, Deployment]:
    path = next(each for each in WORKLOADS if each.stem == name)
    workload, deployment = read_workload(path)
    return msgspec.structs.replace(workload, seconds=60.0, warmup=10.0), deployment


@pytest.mark.parametrize("path", WORKLOADS, ids=lambda path: path.stem)
def test_workload_files_are_consistent(path: Path) -> None:
    workload, deployment = read_workload(path)
    assert workload.name == path.stem
    assert len(deployment.zones) == len(deployment.engines)
    assert sum(each.share for each in workload.classes) == pytest.approx(1.0)
    assert all(fault.at + fault.seconds <= workload.seconds for fault in workload.faults)


def test_arrivals_depend_on_the_seed_alone() -> None:
    workload, deployment = short_workload("gm-skew-100")
    drawn = [(each.arrival, each.target) for each in draw_arrivals(workload, deployment, 1)]
    again = [(each.arrival, each.target) for each in draw_arrivals(workload, deployment, 1)]
    other = [(each.arrival, each.target) for each in draw_arrivals(workload, deployment, 2)]
    assert drawn == again
    assert drawn != other


@pytest.mark.parametrize(
    ("transfers", "speed", "ends"),
    [(1, 1.0, [0.5]), (1, 0.25, [2.0]), (2, 0.25, [3.5, 4.0])],
    ids=["full-speed", "slow", "two-share-the-speed"],
)
def test_store_paces_transfers(transfers: int, speed: float, ends: list[float]) -> None:
    clock = Clock()
    store = Store(clock, 2.0, random.Random(1))
    store.set_speed(speed)
    ended: list[float] = []
    for _ in range(transfers):
        store.start(lambda ok: ended.append(clock.now))
    clock.run(10.0)
    assert ended == pytest.approx(ends)


def test_engine_accounts_steps_and_joins_at_boundaries() -> None:
    clock = Clock()
    engine = Engine("e", "z", SPEC, clock, Store(clock, 2.0, random.Random(1)))
    engine.load(FIRST, None, lambda ok: None)
    clock.run(1.0)
    early, late = request(1), request(2)
    assert engine.submit(early)

    def submit_late() -> None:
        engine.submit(late)

    clock.at(1.005, submit_late)
    clock.run(2.0)
    # One step alone (11 ms), nine together (12 ms each), one alone.
    assert early.ended == pytest.approx(1.0 + 0.011 + 9 * 0.012)
    assert late.ended == pytest.approx(early.ended + 0.011)
    assert (engine.figures.steps, engine.figures.request_steps) == (11, 20)


def test_engine_measures_stalls_and_counts_evictions_in_use() -> None:
    clock = Clock()
    engine = Engine("e", "z", SPEC, clock, Store(clock, 2.0, random.Random(1)))
    waiting = request(1)
    engine.begin_wait(waiting)
    engine.load(FIRST, None, lambda ok: None)
    clock.run(1.0)
    assert engine.submit(waiting)
    assert waiting.stall == pytest.approx(0.5)
    engine.evict(FIRST)
    assert engine.figures.violations == 1
    assert not engine.submit(request(2, SECOND))


def test_refusal_of_a_cold_request_is_charged_its_patience() -> None:
    served, refused = request(1), request(2)
    served.stall, refused.stall = 2.0, 3.0
    refused.refusal, refused.cold_at_refusal = "deadline", True
    assert charged_stall(served) == 2.0
    assert charged_stall(refused) == 60.0


@pytest.mark.parametrize("policy", [*BASELINES, "own"])
@pytest.mark.parametrize("name", ["dg-skew-100", "gm-overload-300"])
def test_no_policy_evicts_adapters_in_use_and_every_request_ends(policy: str, name: str) -> None:
    workload, deployment = short_workload(name)
    world = World(workload, deployment, 1)
    opts = PolicyOptions(load_rate=deployment.load_rate)
    build = BASELINES.get(policy)
    world.run(build(world) if build else bench_serving.build_policy(world, opts))
    figures = measure(world)
    assert figures.violations == 0
    assert figures.served + sum(figures.refusals.values()) == figures.requests
    assert "unanswered" not in figures.refusals
