"""Random states of engines and of plain endpoints, to compare ways of choosing."""

from __future__ import annotations

import random

from engine_states import IDLE
from msgspec.structs import replace
from wigeonarch_core.engine_choice import EngineState
from wigeonarch_core.service_choice import ServiceState

COUNT = 300


def engines(rng: random.Random) -> list[EngineState]:
    return [_engine(rng, name) for name in "abcdefgh"[: rng.randint(1, 8)]]


def _engine(rng: random.Random, name: str) -> EngineState:
    holds = rng.random() < 0.4
    return replace(
        IDLE,
        endpoint=name,
        same_zone=rng.random() < 0.6,
        holds=holds,
        loading_left=None if holds or rng.random() < 0.8 else rng.uniform(0.0, 0.7),
        warm=rng.random() < 0.3,
        replaces=rng.random() < 0.1,
        loadable=rng.random() < 0.9,
        free_places=rng.randint(0, 8),
        loading=rng.randint(0, 6),
        waiting_tokens=rng.choice([0.0, rng.uniform(0.0, 9_000.0)]),
        running=rng.randint(0, 20),
        batch=16,
        kv_tokens=rng.uniform(0.0, 100_000.0),
        failing=rng.choice([0.0, 0.0, rng.random()]),
        slowness=rng.choice([1.0, 1.0, 1.0, rng.uniform(2.0, 8.0)]),
        recent_tokens=rng.choice([0.0, rng.uniform(0.0, 9_000.0)]),
        largest_pause=rng.choice([0.0, 0.3]),
    )


def plain_endpoints(rng: random.Random) -> list[ServiceState]:
    return [
        ServiceState(
            name,
            rng.random() < 0.4,
            rng.randint(1, 8),
            rng.randint(0, 16),
            rng.choice([0.0, 0.0, rng.random()]),
        )
        for name in "abcdefgh"[: rng.randint(1, 8)]
    ]
