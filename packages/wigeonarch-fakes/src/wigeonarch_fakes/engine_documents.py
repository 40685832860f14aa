"""JSON documents of the engine stand-in: settings, faults, protocol messages and the record."""

from __future__ import annotations

import msgspec


class Settings(msgspec.Struct, frozen=True):
    """Capacity, speed and options of an engine; each field is a command-line option."""

    slots: int = 4
    max_batch: int = 8
    base_ms: float = 5
    per_sequence_ms: float = 0.2
    per_adapter_ms: float = 0.5
    load_ms: float = 200
    weight_store: str = ""
    weight_bytes: int = 1_000_000
    report_lag_ms: float = 0
    checks_fence: bool = False
    prefix_entries: int = 64
    prefill_ms: float = 0
    event_lag_ms: float = 300


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Active faults; see the engine module."""

    fail_loads: int = 0
    echo_version: str | int = 0
    refuse: bool | int = False
    cut_streams_after: int = 0
    silent_after: int = 0
    shuffle: bool | int = False
    foreign: bool | int = False
    omit: int = -1
    chunk_delay_ms: float = 0
    close_before: int = 0
    swallow_before: int = 0
    close_after: int = 0
    swallow_after: int = 0
    freeze: bool | int = False
    delay_ms: float = 0


class Generate(msgspec.Struct):
    """Body of a generation request."""

    dispatch: str
    adapter: str
    version: str
    prompt: str = ""
    max_tokens: int = 16
    priority: int = 0
    deadline_ms: float = 0


class Order(msgspec.Struct):
    """Body of an order to load or evict an adapter, or to set the model or role."""

    fence: int
    adapter: str = ""
    version: str = ""
    model: str = ""
    role: str = ""


class Leaving(msgspec.Struct):
    """Body of the control request that sets the ``leaving`` state."""

    leaving: bool = True


class Chunk(msgspec.Struct, omit_defaults=True):
    """One line of a generation stream."""

    dispatch: str
    seq: int
    text: str
    tokens: int
    adapter: str
    version: str | int
    final: bool
    finish: str = ""


class CacheEvent(msgspec.Struct):
    """One event of the prefix cache: a prefix was stored or dropped."""

    seq: int
    kind: str
    prefix: int


class LoadedAdapter(msgspec.Struct):
    """One occupied adapter slot in a report."""

    adapter: str
    version: str
    running: int
    state: str


class Report(msgspec.Struct):
    """Status report of the engine."""

    incarnation: str
    age_ms: float
    state: str
    slots: int
    max_batch: int
    running: int
    waiting: int
    step: int
    batch_fill: float
    loaded: list[LoadedAdapter]


class DispatchRecord(msgspec.Struct):
    """What really happened to one dispatch; times are milliseconds since the engine started."""

    dispatch: str
    adapter: str
    version: str
    times_begun: int = 0
    begun_ms: float = 0
    finished_ms: float = 0
    finish: str = ""
    tokens: int = 0


class OrderRecord(msgspec.Struct):
    """One order received and whether its fencing token was accepted."""

    order: str
    fence: int
    adapter: str
    version: str
    accepted: bool
    at_ms: float


class Eviction(msgspec.Struct):
    """One eviction and the dispatches that were using the adapter."""

    adapter: str
    version: str
    fence: int
    running: list[str]
    waiting: list[str]
    at_ms: float


class LoadRecord(msgspec.Struct):
    """One adapter load; its outcome is ``loaded``, ``failed`` or ``dropped`` (cancelled)."""

    adapter: str
    version: str
    at_ms: float
    took_ms: float
    outcome: str


class Record(msgspec.Struct):
    """What the engine really did, across all its incarnations."""

    dispatches: dict[str, DispatchRecord] = msgspec.field(default_factory=dict)
    refused: dict[str, int] = msgspec.field(default_factory=dict)
    loads: list[LoadRecord] = msgspec.field(default_factory=list)
    evictions: list[Eviction] = msgspec.field(default_factory=list)
    evicted_in_use: list[Eviction] = msgspec.field(default_factory=list)
    evicted_while_waiting: list[Eviction] = msgspec.field(default_factory=list)
    fence_refusals: int = 0
    orders: list[OrderRecord] = msgspec.field(default_factory=list)
    steps: int = 0
    batch_places: int = 0
    max_batch_seen: int = 0
    prefix_hits: int = 0
    prefix_misses: int = 0
    restarts: int = 0
