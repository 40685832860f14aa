"""Figures of one run of the policy bench, and their spread over seeds."""

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
    """What one run showed; times in seconds.

    A stall is the time that a request waited at an engine whose slots did not hold its adapter. A
    request that was refused while its adapter was cold is charged its whole patience, so refusing
    does not look like serving.

    Attributes:
        requests: Requests counted (those that arrived after the warm-up).
        served: Requests answered.
        stall_mean: Mean charged stall.
        stall_p50: Median charged stall.
        stall_p95: Its 95th percentile.
        stall_p99: Its 99th percentile.
        stall_worst: The worst one.
        wait_mean: Mean wait before a served request ran, stall included.
        first_token_p95: 95th percentile of the time to the first token.
        fill: Mean share of batch places used, over all steps.
        idle_places: Unused batch place-seconds for each request served.
        tokens_rate: Tokens generated each second, by the requests counted.
        loads: Loads.
        failed_loads: Loads that failed.
        evictions: Evictions.
        wasted_loads: Copies that went without having served a request.
        violations: Evictions of an adapter in use.
        not_loaded: Requests that met an engine without their adapter.
        refusals: Refused requests by reason.
        starved: Requests that ran out of time while a later one of the same priority and adapter
            was served by the same engine.
        jain: Jain's index over callers of the share of their requests that were answered.
        recovery: Seconds after a shift or restart until stalls were steady again; negative when
            nothing of that kind happened.
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
    """Returns the figures of a run that has ended."""
    counted = [each for each in world.requests if each.arrival >= world.workload.warmup]
    served = [each for each in counted if each.ended >= 0.0 and not each.refusal]
    stalls = sorted(charged_stall(each) for each in counted)
    engines = [engine.figures for engine in world.engines.values()]
    steps = sum(each.steps for each in engines)
    places = steps * world.deployment.engine.max_batch
    firsts = sorted(each.first_token - each.arrival for each in served)
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
        first_token_p95=percentile(firsts, 0.95),
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
    """Returns a request's stall; its whole patience when it was refused while cold."""
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
    """Counts requests past their deadline while a later equal one was served by the same engine."""
    latest: dict[tuple[str, object, int], float] = defaultdict(lambda: -1.0)
    late: list[Request] = []
    for request in requests:
        key = (request.engine, request.target, request.priority)
        if request.started >= 0.0:
            latest[key] = max(latest[key], request.arrival)
        elif request.refusal == "deadline":
            late.append(request)
    return sum(
        latest[(each.engine, each.target, each.priority)] > each.arrival
        and _later_request_was_served(requests, each)
        for each in late
    )


def _later_request_was_served(requests: Iterable[Request], late: Request) -> bool:
    return any(
        each.arrival > late.arrival
        and 0.0 <= each.started <= late.ended
        and (each.engine, each.target, each.priority) == (late.engine, late.target, late.priority)
        for each in requests
    )


def _recovery_seconds(world: World) -> float:
    sudden = [f.at for f in world.workload.faults if f.kind in ("shift", "restart")]
    if not sudden:
        return -1.0
    start = sudden[0]
    before = _mean(
        [charged_stall(r) for r in world.requests if world.workload.warmup <= r.arrival < start]
    )
    windows: defaultdict[int, list[float]] = defaultdict(list)
    for request in world.requests:
        if request.arrival >= start:
            number = int((request.arrival - start) / RECOVERY_WINDOW_SECONDS)
            windows[number].append(charged_stall(request))
    for number in sorted(windows):
        following = windows[number] + windows.get(number + 1, [])
        if _mean(following) <= before * RECOVERED_STALL_FACTOR:
            return number * RECOVERY_WINDOW_SECONDS
    return world.workload.seconds - start
