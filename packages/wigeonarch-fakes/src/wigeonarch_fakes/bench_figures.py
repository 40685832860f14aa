"""Computes the figures of one run of the policy benchmark."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from wigeonarch_fakes.bench_workloads import Request
from wigeonarch_fakes.bench_world import World

MIN_REQUESTS_FOR_JAIN: Final = 5
RECOVERY_WINDOW_SECONDS: Final = 15.0
RECOVERED_STALL_FACTOR: Final = 1.25


class Figures(msgspec.Struct, kw_only=True):
    """Figures of one run; times in seconds.

    A stall is the time that a request waited at an engine on which its adapter was not loaded. A
    request that was refused in that state is charged its whole patience as a stall, so that a
    policy can't improve its figures by refusing requests.

    Attributes:
        requests: Requests counted (those that arrived after the warm-up).
        served: Requests answered.
        stall_mean: Mean charged stall.
        stall_p50: Median charged stall.
        stall_p95: 95th percentile of the charged stalls.
        stall_p99: 99th percentile of the charged stalls.
        stall_worst: Greatest charged stall.
        wait_mean: Mean wait before a served request ran, stall included.
        first_token_p95: 95th percentile of the time to the first token.
        fill: Mean share of batch places used, over all steps.
        idle_places: Unused batch place-seconds per request.
        tokens_rate: Tokens generated each second, by the requests counted.
        loads: Loads that succeeded.
        failed_loads: Loads that failed.
        evictions: Evictions.
        wasted_loads: Copies that were evicted or lost without having served a request.
        violations: Evictions of an adapter in use.
        not_loaded: Requests that reached an engine without their adapter.
        refusals: Number of unserved requests by reason.
        starved: Requests that passed their deadline while a later one of the same priority and
            adapter was served by the same engine.
        jain: Jain's index over callers of the share of their requests that were answered.
        recovery: Seconds after the first shift or restart until the mean stall was at most
            `RECOVERED_STALL_FACTOR` times its earlier value; negative if the workload has neither.
    """

    requests: int
    served: int
    stall_mean: float
    stall_p50: float
    stall_p95: float
    stall_p99: float
    stall_worst: float
    wait_mean: float
    first_token_p95: float
    fill: float
    idle_places: float
    tokens_rate: float
    loads: int
    failed_loads: int
    evictions: int
    wasted_loads: int
    violations: int
    not_loaded: int
    refusals: dict[str, int]
    starved: int
    jain: float
    recovery: float


def measure(world: World) -> Figures:
    """Returns the figures of a finished run."""
    counted = [each for each in world.requests if each.arrival >= world.workload.warmup]
    served = [each for each in counted if each.ended >= 0.0 and not each.refusal]
    stalls = sorted(charged_stall(each) for each in counted)
    engines = [engine.figures for engine in world.engines.values()]
    steps = sum(each.steps for each in engines)
    places = steps * world.deployment.engine.max_batch
    first_token_times = sorted(each.first_token - each.arrival for each in served)
    unserved = [each for each in counted if each.ended < 0.0 or each.refusal]
    refusals = Counter(each.refusal or "unanswered" for each in unserved)
    return Figures(
        requests=len(counted),
        served=len(served),
        stall_mean=_mean(stalls),
        stall_p50=percentile(stalls, 0.50),
        stall_p95=percentile(stalls, 0.95),
        stall_p99=percentile(stalls, 0.99),
        stall_worst=stalls[-1] if stalls else 0.0,
        wait_mean=_mean([each.started - each.arrival for each in served]),
        first_token_p95=percentile(first_token_times, 0.95),
        fill=sum(each.request_steps for each in engines) / max(1, places),
        idle_places=sum(each.idle_place_seconds for each in engines) / max(1, len(world.requests)),
        tokens_rate=sum(each.tokens for each in served)
        / (world.workload.seconds - world.workload.warmup),
        loads=sum(each.loads for each in engines),
        failed_loads=sum(each.failed_loads for each in engines),
        evictions=sum(each.evictions for each in engines),
        wasted_loads=sum(each.wasted_loads for each in engines),
        violations=sum(each.violations for each in engines),
        not_loaded=sum(each.not_loaded for each in engines),
        refusals=dict(sorted(refusals.items())),
        starved=_count_starved(counted),
        jain=_jain_index(counted),
        recovery=_recovery_seconds(world),
    )


def charged_stall(request: Request) -> float:
    """Returns a request's stall; at least its patience if it was refused without its adapter."""
    if request.refusal and request.cold_at_refusal:
        return max(request.stall, request.patience)
    return request.stall


def percentile(ordered: Sequence[float], share: float) -> float:
    """Returns the value below which a share of the ordered values lies."""
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _mean(values: Sequence[float]) -> float:
    return statistics.fmean(values) if values else 0.0


def _jain_index(requests: Iterable[Request]) -> float:
    asked: Counter[str] = Counter()
    answered: Counter[str] = Counter()
    for request in requests:
        asked[request.caller] += 1
        answered[request.caller] += not request.refusal
    shares = [answered[c] / count for c, count in asked.items() if count >= MIN_REQUESTS_FOR_JAIN]
    squares = sum(share * share for share in shares)
    return sum(shares) ** 2 / (len(shares) * squares) if squares else 1.0


def _count_starved(requests: Iterable[Request]) -> int:
    """Counts expired requests that a later one of the same kind overtook at the same engine."""
    latest: dict[tuple[str, object, int], float] = defaultdict(lambda: -1.0)
    expired: list[Request] = []
    for request in requests:
        key = (request.engine, request.target, request.priority)
        if request.started >= 0.0:
            latest[key] = max(latest[key], request.arrival)
        elif request.refusal == "deadline":
            expired.append(request)
    return sum(
        latest[(each.engine, each.target, each.priority)] > each.arrival
        and _later_request_was_served(requests, each)
        for each in expired
    )


def _later_request_was_served(requests: Iterable[Request], expired: Request) -> bool:
    return any(
        each.arrival > expired.arrival
        and 0.0 <= each.started <= expired.ended
        and (each.engine, each.target, each.priority)
        == (expired.engine, expired.target, expired.priority)
        for each in requests
    )


def _recovery_seconds(world: World) -> float:
    disruptions = [f.at for f in world.workload.faults if f.kind in ("shift", "restart")]
    if not disruptions:
        return -1.0
    start = disruptions[0]
    before = _mean(
        [charged_stall(r) for r in world.requests if world.workload.warmup <= r.arrival < start]
    )
    windows: defaultdict[int, list[float]] = defaultdict(list)
    for request in world.requests:
        if request.arrival >= start:
            number = int((request.arrival - start) / RECOVERY_WINDOW_SECONDS)
            windows[number].append(charged_stall(request))
    for number in sorted(windows):
        two_windows = windows[number] + windows.get(number + 1, [])
        if _mean(two_windows) <= before * RECOVERED_STALL_FACTOR:
            return number * RECOVERY_WINDOW_SECONDS
    return world.workload.seconds - start
