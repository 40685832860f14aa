"""Baselines of the policy benchmark: simple policies, and one that knows future arrivals.

All share the same structure. Each engine has a first-come queue that serves any request whose
adapter is loaded, so that no request blocks behind one that waits for a load. Wanted loads are in
one list and run one at a time, as the weight store is fastest that way. The baselines differ in how
they route a request, which load they start next and which copy they evict.
"""

from __future__ import annotations

import bisect
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core import rendezvous
from wigeonarch_core.refs import AdapterVersion

from wigeonarch_fakes.bench_engine import Engine
from wigeonarch_fakes.bench_workloads import Request
from wigeonarch_fakes.bench_world import Policy, World

MAX_QUEUE_LENGTH: Final = 256
LOOKAHEAD_SECONDS: Final = 10.0
RETRY_LOAD_SECONDS: Final = 0.5


@dataclass(slots=True, eq=False)
class WantedLoad:
    """A load that requests wait for; times in seconds."""

    engine: str
    target: AdapterVersion
    since: float
    not_before: float = 0.0


@dataclass(slots=True)
class BaselineState:
    """The state of a baseline.

    Attributes:
        world: The run.
        queues: Waiting requests by engine, the oldest first.
        waiting_counts: Number of waiting requests by engine and adapter version.
        wanted_loads: Loads that requests wait for, the oldest first.
        loading_sides: Sides of a partition with a load under way: the isolated zone's name, or
            empty for all others.
    """

    world: World
    queues: dict[str, list[Request]] = field(default_factory=lambda: defaultdict(list))
    waiting_counts: dict[str, Counter[AdapterVersion]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    wanted_loads: dict[tuple[str, AdapterVersion], WantedLoad] = field(default_factory=dict)
    loading_sides: set[str] = field(default_factory=set)


Route = Callable[[BaselineState, Request, Sequence[Engine]], Engine]
PickLoad = Callable[[BaselineState, Sequence[WantedLoad]], WantedLoad]
PickVictim = Callable[[BaselineState, Sequence[AdapterVersion], Engine], AdapterVersion]


def build_policy(
    world: World, route: Route, pick_load: PickLoad, pick_victim: PickVictim
) -> Policy:
    """Returns a policy with first-come queues from its three decision functions."""
    state = BaselineState(world)

    def on_arrival(request: Request) -> None:
        engines = [each for each in world.engines.values() if _is_usable(world, request, each)]
        if not engines:
            world.refuse(request, "no_endpoint")
            return
        engine = route(state, request, engines)
        if len(state.queues[engine.name]) >= MAX_QUEUE_LENGTH:
            world.refuse(request, "queue_full")
            return
        engine.begin_wait(request)
        state.queues[engine.name].append(request)
        state.waiting_counts[engine.name][request.target] += 1
        _add_wanted_load(state, engine, request.target)
        advance(engine)

    def advance(engine: Engine) -> None:
        _submit_ready_requests(state, engine)
        for target in state.waiting_counts[engine.name]:
            _add_wanted_load(state, engine, target)
        start_loads()

    def start_loads() -> None:
        while (load := _next_load(state, pick_load)) is not None:
            engine = world.engines[load.engine]
            victim = _choose_victim(state, engine, pick_victim)
            del state.wanted_loads[load.engine, load.target]
            side = _side_of(world, engine)
            state.loading_sides.add(side)
            engine.load(load.target, victim, end_action(load, engine, side))

    def end_action(load: WantedLoad, engine: Engine, side: str) -> Callable[[bool], None]:
        def on_load_ended(ok: bool) -> None:
            state.loading_sides.discard(side)
            if not ok and load.target in state.waiting_counts[engine.name]:
                load.not_before = world.clock.now + RETRY_LOAD_SECONDS
                state.wanted_loads[load.engine, load.target] = load
                world.clock.after(RETRY_LOAD_SECONDS, start_loads)
            advance(engine)

        return on_load_ended

    def on_left(request: Request) -> None:
        engine = world.engines[request.engine]
        if request in state.queues[engine.name]:
            _remove_from_queue(state, engine, request)
        advance(engine)

    return Policy(on_arrival=on_arrival, on_finished=on_left, on_expired=on_left)


def _is_usable(world: World, request: Request, engine: Engine) -> bool:
    return engine.up and world.can_reach(request.zone, engine.zone)


def _side_of(world: World, engine: Engine) -> str:
    return engine.zone if engine.zone == world.isolated_zone else ""


def _add_wanted_load(state: BaselineState, engine: Engine, target: AdapterVersion) -> None:
    if target in engine.copies or target in engine.loading:
        return
    wanted = WantedLoad(engine.name, target, state.world.clock.now)
    state.wanted_loads.setdefault((engine.name, target), wanted)


def _remove_from_queue(state: BaselineState, engine: Engine, request: Request) -> None:
    state.queues[engine.name].remove(request)
    waiting_counts = state.waiting_counts[engine.name]
    waiting_counts[request.target] -= 1
    if not waiting_counts[request.target]:
        del waiting_counts[request.target]


def _submit_ready_requests(state: BaselineState, engine: Engine) -> None:
    queue = state.queues[engine.name]
    if not engine.up:
        return
    if not any(target in engine.copies for target in state.waiting_counts[engine.name]):
        return
    for request in list(queue):
        if engine.in_progress >= engine.spec.max_batch:
            return
        if request.target in engine.copies:
            _remove_from_queue(state, engine, request)
            engine.submit(request)


def _next_load(state: BaselineState, pick_load: PickLoad) -> WantedLoad | None:
    world = state.world
    free_engines = {
        engine.name
        for engine in world.engines.values()
        if _side_of(world, engine) not in state.loading_sides and _can_load(state, engine)
    }
    if not free_engines:
        return None
    state.wanted_loads = {
        key: each for key, each in state.wanted_loads.items() if _still_wanted(state, each)
    }
    startable = [
        each
        for each in state.wanted_loads.values()
        if each.engine in free_engines and each.not_before <= world.clock.now
    ]
    return pick_load(state, startable) if startable else None


def _still_wanted(state: BaselineState, load: WantedLoad) -> bool:
    engine = state.world.engines[load.engine]
    if load.target in engine.copies or load.target in engine.loading:
        return False
    return load.target in state.waiting_counts[load.engine]


def _can_load(state: BaselineState, engine: Engine) -> bool:
    if not engine.up:
        return False
    return engine.slots_used < engine.spec.slots or bool(_evictable(state, engine))


def _evictable(state: BaselineState, engine: Engine) -> list[AdapterVersion]:
    waiting_counts = state.waiting_counts[engine.name]
    return [
        target
        for target, copy in engine.copies.items()
        if not copy.users and target not in waiting_counts
    ]


def _choose_victim(
    state: BaselineState, engine: Engine, pick_victim: PickVictim
) -> AdapterVersion | None:
    if engine.slots_used < engine.spec.slots:
        return None
    return pick_victim(state, _evictable(state, engine), engine)


def _request_count(state: BaselineState, engine: Engine) -> int:
    return engine.in_progress + len(state.queues[engine.name])


def pick_oldest_load(state: BaselineState, wanted: Sequence[WantedLoad]) -> WantedLoad:
    """Returns the load that has been wanted the longest."""
    return min(wanted, key=lambda load: load.since)


def pick_least_recently_used(
    state: BaselineState, idle: Sequence[AdapterVersion], engine: Engine
) -> AdapterVersion:
    """Returns the least recently used copy."""
    return min(idle, key=lambda target: (engine.copies[target].last_used, target))


def route_randomly(state: BaselineState, request: Request, engines: Sequence[Engine]) -> Engine:
    """Returns a random engine."""
    return state.world.rng.choice(engines)


def route_to_least_loaded(
    state: BaselineState, request: Request, engines: Sequence[Engine]
) -> Engine:
    """Returns the engine with the fewest requests."""
    return min(engines, key=lambda engine: (_request_count(state, engine), engine.name))


def route_to_home(state: BaselineState, request: Request, engines: Sequence[Engine]) -> Engine:
    """Returns the adapter's first engine by rendezvous hashing."""
    by_name = {engine.name: engine for engine in engines}
    return by_name[rendezvous.ranked(str(request.target), list(by_name))[0]]


def route_to_loaded(state: BaselineState, request: Request, engines: Sequence[Engine]) -> Engine:
    """Returns the least loaded engine that has or awaits the adapter, else of all engines."""
    candidates = [
        engine
        for engine in engines
        if request.target in engine.copies
        or request.target in engine.loading
        or request.target in state.waiting_counts[engine.name]
    ]
    return route_to_least_loaded(state, request, candidates or engines)


def random_lru(world: World) -> Policy:
    """Random engine, oldest load, least recently used victim."""
    return build_policy(world, route_randomly, pick_oldest_load, pick_least_recently_used)


def least_loaded_lru(world: World) -> Policy:
    """Least loaded engine, oldest load, least recently used victim."""
    return build_policy(world, route_to_least_loaded, pick_oldest_load, pick_least_recently_used)


def rendezvous_lru(world: World) -> Policy:
    """Home engine, oldest load, least recently used victim."""
    return build_policy(world, route_to_home, pick_oldest_load, pick_least_recently_used)


def loaded_lru(world: World) -> Policy:
    """Engine that has the adapter, oldest load, least recently used victim; no reporting delay."""
    return build_policy(world, route_to_loaded, pick_oldest_load, pick_least_recently_used)


def clairvoyant(world: World) -> Policy:
    """Knows all arrivals, and engine state without delay; evicts the copy next used furthest ahead.

    It loads on demand only. It starts the load with the most requests that wait for it or arrive
    within `LOOKAHEAD_SECONDS`. It approximates the optimum where the store keeps up; under overload
    it is not optimal, as it looks no further ahead.
    """
    uses: dict[AdapterVersion, list[float]] = defaultdict(list)
    for request in world.requests:
        uses[request.target].append(request.arrival)

    def next_use(target: AdapterVersion) -> float:
        times = uses[target]
        place = bisect.bisect_right(times, world.clock.now)
        return times[place] if place < len(times) else float("inf")

    def upcoming(target: AdapterVersion) -> int:
        times = uses[target]
        now = world.clock.now
        return bisect.bisect_right(times, now + LOOKAHEAD_SECONDS) - bisect.bisect_right(times, now)

    def pick_used_furthest_ahead(
        state: BaselineState, idle: Sequence[AdapterVersion], engine: Engine
    ) -> AdapterVersion:
        return max(idle, key=lambda target: (next_use(target), target))

    def pick_most_requested(state: BaselineState, wanted: Sequence[WantedLoad]) -> WantedLoad:
        def demand(load: WantedLoad) -> float:
            return state.waiting_counts[load.engine][load.target] + upcoming(load.target)

        return max(wanted, key=demand)

    def route(state: BaselineState, request: Request, engines: Sequence[Engine]) -> Engine:
        candidates = [engine for engine in engines if request.target in engine.copies]
        if candidates:
            return route_to_least_loaded(state, request, candidates)
        loading = [engine for engine in engines if request.target in engine.loading]
        queued = [
            engine for engine in engines if request.target in state.waiting_counts[engine.name]
        ]
        if loading or queued:
            return (loading or queued)[0]
        return max(
            engines,
            key=lambda engine: (_next_use_of_victim(state, engine), -_request_count(state, engine)),
        )

    def _next_use_of_victim(state: BaselineState, engine: Engine) -> float:
        if engine.slots_used < engine.spec.slots:
            return float("inf")
        return max((next_use(target) for target in _evictable(state, engine)), default=0.0)

    return build_policy(world, route, pick_most_requested, pick_used_furthest_ahead)


BASELINES: Final[dict[str, Callable[[World], Policy]]] = {
    "random": random_lru,
    "least_loaded_lru": least_loaded_lru,
    "rendezvous_lru": rendezvous_lru,
    "loaded_lru": loaded_lru,
    "clairvoyant": clairvoyant,
}
