"""Report of an engine about itself: the JSON body that it returns, which lags by its age."""

from __future__ import annotations

from typing import Final, Literal

import msgspec

MS_PER_SECOND: Final = 1000.0


class LoadedAdapter(msgspec.Struct, frozen=True):
    """An adapter slot of an engine that is in use.

    Attributes:
        adapter: Name of the adapter.
        version: Name of the version.
        running: Running requests that use it.
        state: Whether it can be used yet.
    """

    adapter: str
    version: str
    running: int = 0
    state: Literal["loading", "loaded"] = "loaded"


class EngineReport(msgspec.Struct, frozen=True):
    """The report of one engine.

    Attributes:
        incarnation: Changes when the engine restarts.
        slots: Number of adapter slots.
        max_batch: Requests that one step can serve.
        age_ms: Milliseconds since the report was sampled.
        state: Whether the engine takes new work.
        running: Requests in the batch.
        waiting: Requests in the engine's own queue.
        step: Number of the last step.
        batch_fill: Mean share of the batch in use over recent steps.
        loaded: Adapter slots that are in use.
    """

    incarnation: str
    slots: int
    max_batch: int
    age_ms: float = 0.0
    state: Literal["live", "leaving"] = "live"
    running: int = 0
    waiting: int = 0
    step: int = 0
    batch_fill: float = 0.0
    loaded: tuple[LoadedAdapter, ...] = ()
