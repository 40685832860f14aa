"""Reads the workload files of the policy benchmark and draws the arrivals.

A workload file names a deployment (zones, engines, weight store), the traffic (request classes,
Zipf skew, rate) and the faults during the run (shifts of popularity, restarts, a slow store,
failing loads, a partition between zones). Arrivals are open loop: they are drawn before the run
from the seed alone, so every policy receives the same requests, whatever it does with them.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, Literal

import msgspec
from wigeonarch_core.refs import AdapterVersion

SERVICE: Final = "drafting"
VERSION: Final = "v1"
SHUFFLE_STREAM: Final = 0x5EED


class EngineSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Parameters of every engine of a deployment; the requirements don't specify them.

    Attributes:
        slots: Number of adapter versions that fit in memory.
        max_batch: Requests that one step serves.
        base_ms: Milliseconds of a step with an empty batch.
        per_sequence_ms: Milliseconds that each running request adds to a step.
        per_adapter_ms: Milliseconds that each distinct adapter adds to a step.
        prefill_ms: Milliseconds that a joining request adds to its first step.
        cached_prefill_ms: The same when its prompt's prefix is cached.
        prefixes: Prompt prefixes that the cache holds.
        restart_seconds: Seconds that a restart takes.
    """

    slots: int = 8
    max_batch: int = 16
    base_ms: float = 20.0
    per_sequence_ms: float = 0.3
    per_adapter_ms: float = 0.6
    prefill_ms: float = 60.0
    cached_prefill_ms: float = 10.0
    prefixes: int = 256
    restart_seconds: float = 5.0


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Sizes of one deployment.

    Attributes:
        user: Name of the deployment's user, whose objective applies.
        zones: Names of the availability zones.
        engines: Number of engines in each zone.
        adapters: Number of adapters.
        load_rate: Loads per second that the weight store admits; also its throughput at full
            speed with one load at a time.
        hop_ms: Milliseconds that a message takes between two instances.
        heartbeat: Seconds between heartbeats, which carry engine summaries.
        report_interval: Seconds between an engine's reports.
        report_lag: Seconds by which a report is delayed.
        engine: Parameters of every engine.
    """

    user: str
    zones: tuple[str, ...]
    engines: tuple[int, ...]
    adapters: int = 3000
    load_rate: float = 3.0
    hop_ms: float = 0.5
    heartbeat: float = 0.5
    report_interval: float = 0.25
    report_lag: float = 0.2
    engine: EngineSpec = EngineSpec()


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One class of requests.

    Attributes:
        name: Name of the class.
        share: Its fraction of the arrivals.
        tokens: Mean of the tokens generated; drawn from a geometric distribution around it.
        least_tokens: Least number of tokens.
        deadline: Greatest wait in seconds.
        priority: Requests with a greater value go first.
    """

    name: str
    share: float
    tokens: int
    least_tokens: int = 8
    deadline: float = 60.0
    priority: int = 0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A fault or a change of the traffic during a run.

    Attributes:
        kind: What happens: `shift` replaces the popular adapters; `wake` lets a share of the
            adapters become active or idle over `seconds`; `restart` restarts a share of the engines
            (at least one); `slow_store` sets the store's speed to `share`; `fail_loads` lets a
            share of the loads fail partway; `cut` cuts the first zone off from the others; `surge`
            multiplies the rate of arrivals by `share`.
        at: Seconds after the start.
        seconds: Duration; 0 for kinds without one.
        share: Size of the effect; see `kind`.
    """

    kind: Literal["shift", "wake", "restart", "slow_store", "fail_loads", "cut", "surge"]
    at: float
    seconds: float = 0.0
    share: float = 1.0


class Workload(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One workload file.

    Attributes:
        name: Name of the workload.
        note: Purpose and assumptions.
        deployment: File with the deployment, next to this one.
        held_out: Whether it was kept out of the tuning of the policy.
        quick: Whether the quick size runs it.
        seconds: Length of the run.
        warmup: Seconds at the start whose requests are not counted.
        rate: Requests per second.
        skew: Exponent of the Zipf popularity.
        classes: Classes of requests.
        callers: Number of callers; adapters are spread over them.
        flood_share: Fraction of the arrivals that come from one flooding caller, over all adapters.
        faults: Faults and traffic changes during the run.
    """

    name: str
    note: str
    deployment: str
    held_out: bool = False
    quick: bool = False
    seconds: float = 600.0
    warmup: float = 120.0
    rate: float = 6.0
    skew: float = 1.0
    classes: tuple[RequestClass, ...]
    callers: int = 200
    flood_share: float = 0.0
    faults: tuple[Fault, ...] = ()


@dataclass(slots=True, eq=False)
class Request:
    """One request and its outcome.

    Attributes:
        number: Counts from 0 in the order of arrival.
        arrival: Time of arrival in seconds.
        zone: Availability zone in which it arrives.
        caller: Its caller.
        target: The requested adapter version.
        priority: Requests with a greater value go first.
        tokens: Tokens that it will generate.
        patience: Seconds after arrival by which its wait must be over.
        prefix: Digest of its prompt's first block.
        engine: Engine at which it waits or runs; empty when at none.
        cold_since: Time since which it has waited at an engine without its adapter (a cold
            request); negative if it doesn't.
        stall: Seconds that it has waited for loads.
        started: Time at which an engine took it; negative before.
        first_token: Time of its first token; negative before.
        ended: Time at which it was answered or refused; negative before.
        refusal: Why it was refused; empty if it was not.
        cold_at_refusal: Whether it was refused while its engine lacked its adapter.
        retries: Number of times that it was resubmitted after an engine lost it.
    """

    number: int
    arrival: float
    zone: str
    caller: str
    target: AdapterVersion
    priority: int
    tokens: int
    patience: float
    prefix: int
    engine: str = ""
    cold_since: float = -1.0
    stall: float = 0.0
    started: float = -1.0
    first_token: float = -1.0
    ended: float = -1.0
    refusal: str = ""
    cold_at_refusal: bool = False
    retries: int = 0

    @property
    def deadline(self) -> float:
        """Time by which its wait must be over, in seconds."""
        return self.arrival + self.patience


@dataclass(slots=True)
class Popularity:
    """The popularity ranks of adapters, which change during a run.

    Attributes:
        order: Adapter numbers by rank, the most popular first.
        cumulative: Sums of the Zipf weights up to each rank.
    """

    order: list[int]
    cumulative: list[float] = field(default_factory=list)

    def draw(self, rng: random.Random) -> int:
        """Draws an adapter number."""
        point = rng.random() * self.cumulative[-1]
        return self.order[bisect.bisect_left(self.cumulative, point)]


def read_workload(path: Path) -> tuple[Workload, Deployment]:
    """Reads a workload file and the deployment that it names."""
    workload = msgspec.json.decode(path.read_bytes(), type=Workload)
    deployment = msgspec.json.decode(
        (path.parent / workload.deployment).read_bytes(), type=Deployment
    )
    return workload, deployment


def draw_arrivals(workload: Workload, deployment: Deployment, seed: int) -> list[Request]:
    """Draws all requests of a run, in the order of arrival."""
    rng = random.Random(f"{workload.name}/{seed}")
    popularity = _initial_popularity(workload, deployment, rng)
    changes = sorted(_popularity_changes(workload, deployment, rng), key=lambda change: change[0])
    requests: list[Request] = []
    now = 0.0
    while (now := now + rng.expovariate(_rate_at(workload, now))) < workload.seconds:
        while changes and changes[0][0] <= now:
            changes.pop(0)[1](popularity)
        requests.append(_draw_request(workload, deployment, popularity, rng, len(requests), now))
    return requests


def _initial_popularity(
    workload: Workload, deployment: Deployment, rng: random.Random
) -> Popularity:
    order = list(range(deployment.adapters))
    rng.shuffle(order)
    weights = (1.0 / rank**workload.skew for rank in range(1, deployment.adapters + 1))
    return Popularity(order, list(itertools.accumulate(weights)))


def _rate_at(workload: Workload, now: float) -> float:
    rate = workload.rate
    for fault in workload.faults:
        if fault.kind == "surge" and fault.at <= now < fault.at + fault.seconds:
            rate *= fault.share
    return rate


_PopularityChange = Callable[[Popularity], None]


def _popularity_changes(
    workload: Workload, deployment: Deployment, rng: random.Random
) -> Iterator[tuple[float, _PopularityChange]]:
    for fault in workload.faults:
        if fault.kind == "shift":
            yield fault.at, _reverse_popularity
        if fault.kind == "wake":
            yield from _wake_ups(fault, deployment, rng)


def _reverse_popularity(popularity: Popularity) -> None:
    """Reverses the order of popularity."""
    popularity.order.reverse()


def _wake_ups(
    fault: Fault, deployment: Deployment, rng: random.Random
) -> Iterator[tuple[float, _PopularityChange]]:
    """Swaps pairs of an active and an idle adapter, spread evenly over the fault's time."""
    pairs = int(deployment.adapters * fault.share / 2)
    half = deployment.adapters // 2
    active = rng.sample(range(half), pairs)
    idle = rng.sample(range(half, deployment.adapters), pairs)
    for number, (first, second) in enumerate(zip(active, idle, strict=True)):
        yield fault.at + fault.seconds * number / pairs, _swap(first, second)


def _swap(first: int, second: int) -> _PopularityChange:
    def swap(popularity: Popularity) -> None:
        order = popularity.order
        order[first], order[second] = order[second], order[first]

    return swap


def _draw_request(
    workload: Workload,
    deployment: Deployment,
    popularity: Popularity,
    rng: random.Random,
    number: int,
    now: float,
) -> Request:
    adapter = popularity.draw(rng)
    kind = rng.choices(workload.classes, [each.share for each in workload.classes])[0]
    flooding = rng.random() < workload.flood_share
    return Request(
        number=number,
        arrival=now,
        zone=rng.choice(deployment.zones),
        caller="flood" if flooding else f"caller-{adapter % workload.callers}",
        target=AdapterVersion(SERVICE, f"a{adapter}", VERSION),
        priority=kind.priority,
        tokens=_draw_tokens(kind, rng),
        patience=kind.deadline,
        prefix=adapter * 4 + rng.randrange(4),
    )


def _draw_tokens(kind: RequestClass, rng: random.Random) -> int:
    spread = max(1.0, kind.tokens - kind.least_tokens)
    drawn = kind.least_tokens + int(-math.log(1.0 - rng.random()) * spread)
    return min(drawn, 4 * kind.tokens)
