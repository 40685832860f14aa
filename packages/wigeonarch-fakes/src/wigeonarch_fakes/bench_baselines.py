"""Baselines of the policy bench: plain policies, and one that knows the arrivals.

All share one machinery: a first-come queue per engine that serves any request whose adapter is
loaded (so none of them blocks behind a cold one), and one list of wanted loads, carried out one at
a time, as the weight store is fastest so. They differ in four functions: where a request goes,
whether the load that comes next is the oldest, and which copy makes room.
"""

from __future__ import annotations

import bisect
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core import rendezvous as homes
from wigeonarch_core.refs import AdapterVersion

from wigeonarch_fakes.bench_engine import Engine
from wigeonarch_fakes.bench_workloads import Request
from wigeonarch_fakes.bench_world import Policy, World

QUEUE_LIMIT: Final = 256
AHEAD_SECONDS: Final = 10.0
RETRY_LOAD_SECONDS: Final = 0.5


@dataclass(slots=True, eq=False)
class Wanted:
    """A load that requests wait for."""

    engine: str
    target: AdapterVersion
    since: float
    not_before: float = 0.0


@dataclass(slots=True)
class State:
    """What a baseline keeps.

    Attributes:
        world: The run.
        queues: Waiting requests by engine, the oldest first.
        awaited: Number of waiting requests by engine and adapter version.
        wanted: Loads that requests wait for, the oldest first.
        busy: Sides of a cut (the name of a zone, or empty) whose load is under way.
    """

    world: World
    queues: dict[str, list[Request]] = field(default_factory=lambda: defaultdict(list))
    awaited: dict[str, Counter[AdapterVersion]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    wanted: dict[tuple[str, AdapterVersion], Wanted] = field(default_factory=dict)
    busy: set[str] = field(default_factory=set)


Route = Callable[[State, Request, Sequence[Engine]], Engine]
PickLoad = Callable[[State, Sequence[Wanted]], Wanted]
PickVictim = Callable[[State, Sequence[AdapterVersion], Engine], AdapterVersion]


def build(world: World, route: Route, pick_load: PickLoad, pick_victim: PickVictim) -> Policy:
    """Returns a policy of first-come queues from its three choices."""
    state = State(world)

    def arrive(request: Request) -> None:
        engines = [each for each in world.engines.values() if _usable(world, request, each)]
        if not engines:
            world.refuse(request, "no_endpoint")
            return
        engine = route(state, request, engines)
        if len(state.queues[engine.name]) >= QUEUE_LIMIT:
            world.refuse(request, "queue_full")
            return
        engine.wait_here(request)
        state.queues[engine.name].append(request)
        state.awaited[engine.name][request.target] += 1
        _want(state, engine, request.target)
        pump(engine)

    def pump(engine: Engine) -> None:
        _grant(state, engine)
        for target in state.awaited[engine.name]:
            _want(state, engine, target)
        pump_loads()

    def pump_loads() -> None:
        while (load := _next_load(state, pick_load)) is not None:
            engine = world.engines[load.engine]
            victim = _victim(state, engine, pick_victim)
            del state.wanted[load.engine, load.target]
            side = _side(world, engine)
            state.busy.add(side)
            engine.load(load.target, victim, _ender(load, engine, side))

    def _ender(load: Wanted, engine: Engine, side: str) -> Callable[[bool], None]:
        def ended(ok: bool) -> None:
            state.busy.discard(side)
            if not ok and load.target in state.awaited[engine.name]:
                load.not_before = world.clock.now + RETRY_LOAD_SECONDS
                state.wanted[load.engine, load.target] = load
                world.clock.after(RETRY_LOAD_SECONDS, pump_loads)
            pump(engine)

        return ended

    def leave(request: Request) -> None:
        engine = world.engines[request.engine]
        if request in state.queues[engine.name]:
            _take(state, engine, request)
        pump(engine)

    return Policy(arrive=arrive, finished=leave, expired=leave)


def _usable(world: World, request: Request, engine: Engine) -> bool:
    return engine.up and world.reaches(request.zone, engine.zone)


def _side(world: World, engine: Engine) -> str:
    return engine.zone if engine.zone == world.cut_zone else ""


def _want(state: State, engine: Engine, target: AdapterVersion) -> None:
    if target in engine.copies or target in engine.loading:
        return
    wanted = Wanted(engine.name, target, state.world.clock.now)
    state.wanted.setdefault((engine.name, target), wanted)


def _take(state: State, engine: Engine, request: Request) -> None:
    state.queues[engine.name].remove(request)
    awaited = state.awaited[engine.name]
    awaited[request.target] -= 1
    if not awaited[request.target]:
        del awaited[request.target]


def _grant(state: State, engine: Engine) -> None:
    queue = state.queues[engine.name]
    if not engine.up:
        return
    if not any(target in engine.copies for target in state.awaited[engine.name]):
        return
    for request in list(queue):
        if engine.in_progress >= engine.spec.max_batch:
            return
        if request.target in engine.copies:
            _take(state, engine, request)
            engine.submit(request)


def _next_load(state: State, pick_load: PickLoad) -> Wanted | None:
    world = state.world
    free = {
        engine.name
        for engine in world.engines.values()
        if _side(world, engine) not in state.busy and _has_room(state, engine)
    }
    if not free:
        return None
    state.wanted = {key: each for key, each in state.wanted.items() if _still_wanted(state, each)}
    possible = [
        each
        for each in state.wanted.values()
        if each.engine in free and each.not_before <= world.clock.now
    ]
    return pick_load(state, possible) if possible else None


def _still_wanted(state: State, load: Wanted) -> bool:
    engine = state.world.engines[load.engine]
    if load.target in engine.copies or load.target in engine.loading:
        return False
    return load.target in state.awaited[load.engine]


def _has_room(state: State, engine: Engine) -> bool:
    if not engine.up:
        return False
    return engine.slots_used < engine.spec.slots or bool(_idle(state, engine))


def _idle(state: State, engine: Engine) -> list[AdapterVersion]:
    awaited = state.awaited[engine.name]
    return [
        target for target, copy in engine.copies.items() if not copy.users and target not in awaited
    ]


def _victim(state: State, engine: Engine, pick_victim: PickVictim) -> AdapterVersion | None:
    if engine.slots_used < engine.spec.slots:
        return None
    return pick_victim(state, _idle(state, engine), engine)


def _load_of(state: State, engine: Engine) -> int:
    return engine.in_progress + len(state.queues[engine.name])


def oldest(state: State, wanted: Sequence[Wanted]) -> Wanted:
    """The load that is wanted for the longest time."""
    return min(wanted, key=lambda load: load.since)


def least_recent(state: State, idle: Sequence[AdapterVersion], engine: Engine) -> AdapterVersion:
    """The copy whose last use is furthest back."""
    return min(idle, key=lambda target: (engine.copies[target].used, target))


def to_random(state: State, request: Request, engines: Sequence[Engine]) -> Engine:
    """Any engine."""
    return state.world.rng.choice(engines)


def to_least_loaded(state: State, request: Request, engines: Sequence[Engine]) -> Engine:
    """The engine with the fewest requests."""
    return min(engines, key=lambda engine: (_load_of(state, engine), engine.name))


def to_home(state: State, request: Request, engines: Sequence[Engine]) -> Engine:
    """The adapter's first engine by rendezvous hash."""
    by_name = {engine.name: engine for engine in engines}
    return by_name[homes.ranked(str(request.target), list(by_name))[0]]


def to_loaded(state: State, request: Request, engines: Sequence[Engine]) -> Engine:
    """The least loaded engine that has the adapter or waits for it; else the least loaded."""
    having = [
        engine
        for engine in engines
        if request.target in engine.copies
        or request.target in engine.loading
        or request.target in state.awaited[engine.name]
    ]
    return to_least_loaded(state, request, having or engines)


def random_lru(world: World) -> Policy:
    """Random engine, oldest load, least recently used victim."""
    return build(world, to_random, oldest, least_recent)


def least_loaded_lru(world: World) -> Policy:
    """Least loaded engine, oldest load, least recently used victim."""
    return build(world, to_least_loaded, oldest, least_recent)


def rendezvous_lru(world: World) -> Policy:
    """Home engine, oldest load, least recently used victim."""
    return build(world, to_home, oldest, least_recent)


def loaded_lru(world: World) -> Policy:
    """Engine that has the adapter, oldest load, least recently used victim; all known at once."""
    return build(world, to_loaded, oldest, least_recent)


def clairvoyant(world: World) -> Policy:
    """Knows all arrivals and the state of all engines at once; evicts the one used furthest ahead.

    It loads on demand only. The load that comes next is the one that most requests wait for or will
    come for within `AHEAD_SECONDS`. It is a limit to approach where the store keeps up; under
    overload it is not the best that can be done, as it looks no further than that.
    """
    uses: dict[AdapterVersion, list[float]] = defaultdict(list)
    for request in world.requests:
        uses[request.target].append(request.arrival)

    def next_use(target: AdapterVersion) -> float:
        times = uses[target]
        place = bisect.bisect_right(times, world.clock.now)
        return times[place] if place < len(times) else float("inf")

    def ahead(target: AdapterVersion) -> int:
        times = uses[target]
        now = world.clock.now
        return bisect.bisect_right(times, now + AHEAD_SECONDS) - bisect.bisect_right(times, now)

    def furthest(state: State, idle: Sequence[AdapterVersion], engine: Engine) -> AdapterVersion:
        return max(idle, key=lambda target: (next_use(target), target))

    def most_useful(state: State, wanted: Sequence[Wanted]) -> Wanted:
        def worth(load: Wanted) -> float:
            return state.awaited[load.engine][load.target] + ahead(load.target)

        return max(wanted, key=worth)

    def route(state: State, request: Request, engines: Sequence[Engine]) -> Engine:
        having = [engine for engine in engines if request.target in engine.copies]
        if having:
            return to_least_loaded(state, request, having)
        coming = [engine for engine in engines if request.target in engine.loading]
        queued = [engine for engine in engines if request.target in state.awaited[engine.name]]
        if coming or queued:
            return (coming or queued)[0]
        return max(engines, key=lambda engine: (_room(state, engine), -_load_of(state, engine)))

    def _room(state: State, engine: Engine) -> float:
        if engine.slots_used < engine.spec.slots:
            return float("inf")
        return max((next_use(target) for target in _idle(state, engine)), default=0.0)

    return build(world, route, most_useful, furthest)


BASELINES: Final[dict[str, Callable[[World], Policy]]] = {
    "random": random_lru,
    "least_loaded_lru": least_loaded_lru,
    "rendezvous_lru": rendezvous_lru,
    "loaded_lru": loaded_lru,
    "clairvoyant": clairvoyant,
}
