"""Engine states that the tests of engine choice start from."""

from __future__ import annotations

from wigeonarch_core.engine_choice import EngineState

# An idle engine that does not hold the adapter and could load it.
IDLE = EngineState(
    endpoint="e",
    same_zone=True,
    holds=False,
    loading_left=None,
    warm=False,
    replaces=False,
    loadable=True,
    free_places=5,
    loading=0,
    waiting_tokens=0.0,
    running=0,
    batch=64,
    kv_tokens=0.0,
    kv_total=100_000,
    failing=0.0,
)
