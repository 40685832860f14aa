"""Engines of uneven pace with adapters, used by some instances: arithmetic on virtual time.

Engines process prompts in chunks between the tokens of running streams. Instances learn of each
other's requests and samples by reports that are 0.2 to 1.0 s old.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

from engine_states import IDLE
from msgspec.structs import replace
from wigeonarch_core.endpoint_pace import (
    GAPS_PER_SAMPLE,
    EndpointPaces,
    EventGaps,
    PaceSums,
    expected_gaps,
)
from wigeonarch_core.engine_choice import (
    EngineChoice,
    EngineState,
    choose_engine_after_load_request,
)

STEP = 0.008  # Seconds of a step without prompts, at the usual pace.
CHUNK = 600  # Prompt tokens processed in one step.
RATE = 20_000.0  # Prompt tokens processed per second.
EVENT = 7  # Steps between events of a stream.
LENGTH = 34  # Events of a stream.
PROMPT = 1460  # Tokens.
ALLOWED = 0.3  # Longest allowed pause between events, in seconds.
OBJECTIVE = 0.77  # Seconds until the first token.
HELD_BACK = 0.3 * OBJECTIVE
PLACES, BATCH, LOAD_TIME = 10, 16, 0.45
ADAPTERS = 450
PACES = (0.6, 1.0, 1.6)
NEWS_AGE = (0.2, 1.0)
TICK = 0.01


@dataclass
class Stream:
    """A request at an engine, the instance that sent it, and what its caller saw."""

    instance: int
    adapter: int
    arrived: float
    unread: int = PROMPT
    steps: int = 0
    last: float = 0.0
    pause: float = 0.0
    first: float = 0.0
    gaps: EventGaps = field(default_factory=EventGaps)


@dataclass
class Engine:
    """One engine, simulated step by step."""

    name: str
    pace: float
    at: float = 0.0
    waiting: deque[Stream] = field(default_factory=deque)
    running: list[Stream] = field(default_factory=list)
    ended: list[Stream] = field(default_factory=list)
    adapters: dict[int, float] = field(default_factory=dict)  # Last use, or the end of the load.

    def run_until(self, end: float, world: World) -> None:
        if not self.waiting and not self.running:
            self.at = max(self.at, end)
        while self.at < end:
            left = CHUNK
            while self.waiting and left > 0 and len(self.running) < BATCH:
                done = min(left, self.waiting[0].unread)
                left -= done
                self.waiting[0].unread -= done
                if self.waiting[0].unread:
                    break
                self.running.append(self.waiting.popleft())
            self.at += (STEP + (CHUNK - left) / RATE) / self.pace
            for stream in self.running:
                self.advance(stream, world)
            self.ended += [s for s in self.running if s.steps >= EVENT * LENGTH]
            self.running = [s for s in self.running if s.steps < EVENT * LENGTH]

    def advance(self, stream: Stream, world: World) -> None:
        stream.steps += 1
        if stream.steps % EVENT != 1:
            return
        if stream.first:
            stream.pause = max(stream.pause, self.at - stream.last)
        stream.first, stream.last = stream.first or self.at, self.at
        gap = stream.gaps.note(1, self.at)
        if gap is not None:
            world.record_gap(stream.instance, self, gap)

    def streams(self) -> list[Stream]:
        return [*self.waiting, *self.running]


@dataclass
class Known:
    """What an instance knows.

    Attributes:
        others: Running requests and recent tokens that others reported, by engine.
        sent: Times of its own recent prompts, by engine.
        paces: Paces of the engines.
        news: Samples that it has not reported yet.
        next_report: Time of its next report.
        ratios: Ratios of the paces, as of `ratios_at`.
    """

    others: dict[str, tuple[int, float]] = field(default_factory=dict)
    sent: dict[str, list[float]] = field(default_factory=dict)
    paces: EndpointPaces = field(default_factory=EndpointPaces)
    news: dict[str, PaceSums] = field(default_factory=dict)
    next_report: float = 0.0
    ratios: dict[str, float] = field(default_factory=dict)
    ratios_at: float = -1.0


@dataclass
class World:
    """One run.

    Attributes:
        seed: Seed of the random numbers.
        uses_pace: Whether the choice uses the paces.
        engines: Number of engines.
        load: Streams as a share of all places.
        paces: Paces of the engines, by turns.
        news_lost: Share of the reports that are lost.
        instances: Number of instances.
    """

    seed: int
    uses_pace: bool = True
    engines: int = 45
    load: float = 0.2
    paces: tuple[float, ...] = PACES
    news_lost: float = 0.0
    instances: int = 4

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.all = {
            f"e{n}": Engine(f"e{n}", self.paces[n % len(self.paces)]) for n in range(self.engines)
        }
        names = list(self.all)
        for adapter in range(ADAPTERS):
            self.all[names[adapter % self.engines]].adapters[adapter] = 0.0
        self.known = [Known() for _ in range(self.instances)]
        self.reports: dict[int, dict[str, tuple[int, float]]] = {}
        self.loads = self.sends = 0
        self.now = self.upcoming = 0.0
        # Requests that wait: arrival, time of the next attempt, adapter, instance, engine that was
        # asked for a load, and when.
        self.held: list[tuple[float, float, int, int, str, float]] = []

    def record_gap(self, instance: int, engine: Engine, gap: float) -> None:
        known, expected = self.known[instance], expected_gaps(len(engine.streams()))
        known.paces.add(engine.name, GAPS_PER_SAMPLE * gap, expected, self.now)
        sums = known.news.setdefault(engine.name, PaceSums(updated_at=self.now))
        sums.add(GAPS_PER_SAMPLE * gap, expected, self.now)

    def run(self, until: float, warm_up: float = 6.0) -> None:
        """Goes on until a time; what callers saw counts for requests after `warm_up`."""
        life = LENGTH * EVENT * STEP
        rate = self.load * self.engines * BATCH / (life * 1.25)
        weights = [1.0 / (n + 3) ** 0.8 for n in range(ADAPTERS)]
        while self.now < until:
            self.now += TICK
            for engine in self.all.values():
                engine.run_until(self.now, self)
            for instance in range(self.instances):
                self.report(instance)
            while self.upcoming <= self.now:
                adapter = self.rng.choices(range(ADAPTERS), weights)[0]
                self.held.append(
                    (self.now, self.now, adapter, self.rng.randrange(self.instances), "", 0.0)
                )
                self.upcoming += self.rng.expovariate(rate)
            for entry in self.held[:]:
                if entry[1] <= self.now:
                    self.held.remove(entry)
                    self.held += self.attempt(*entry)
        self.done = [s for e in self.all.values() for s in e.ended if warm_up <= s.arrived]
        self.late = sum(s.pause > ALLOWED for s in self.done) / len(self.done)
        self.first_late = sum(s.first - s.arrived > OBJECTIVE for s in self.done) / len(self.done)

    def attempt(
        self, arrived: float, due: float, adapter: int, instance: int, asked: str, asked_at: float
    ) -> list[tuple[float, float, int, int, str, float]]:
        """Sends a request, or asks for a load; returns the entry for the next attempt, if any."""
        states = [self.state(instance, engine, adapter) for engine in self.all.values()]
        keep = self.now - asked_at < 1.8 * LOAD_TIME
        jitter = 0.25 * NEWS_AGE[0]
        choice = choose_engine_after_load_request(
            states, PROMPT, asked, keep, lambda: self.rng.uniform(0.0, jitter)
        )
        if choice is None:
            return [(arrived, self.now + 0.03, adapter, instance, asked, asked_at)]
        if choice.load:
            if choice.endpoint != asked:
                asked, asked_at = choice.endpoint, self.now
            self.begin_load(self.all[choice.endpoint], adapter)
            return [(arrived, self.now + 0.02, adapter, instance, asked, asked_at)]
        if choice.crowded and self.now - arrived < HELD_BACK:
            return [(arrived, self.now + 0.03, adapter, instance, asked, asked_at)]
        self.send(choice, arrived, adapter, instance)
        return []

    def send(self, choice: EngineChoice, arrived: float, adapter: int, instance: int) -> None:
        engine = self.all[choice.endpoint]
        engine.waiting.append(Stream(instance, adapter, arrived))
        engine.adapters[adapter] = self.now
        self.known[instance].sent.setdefault(engine.name, []).append(self.now)
        self.sends += 1

    def begin_load(self, engine: Engine, adapter: int) -> None:
        if adapter in engine.adapters:
            return
        if len(engine.adapters) >= PLACES:
            idle = self.idle(engine)
            if not idle:
                return
            del engine.adapters[min(idle, key=engine.adapters.__getitem__)]
        engine.adapters[adapter] = self.now + LOAD_TIME
        self.loads += 1

    def idle(self, engine: Engine) -> list[int]:
        used = {stream.adapter for stream in engine.streams()}
        return [a for a, at in engine.adapters.items() if a not in used and at <= self.now]

    def state(self, instance: int, engine: Engine, adapter: int) -> EngineState:
        known, streams = self.known[instance], engine.streams()
        own = [s for s in streams if s.instance == instance]
        running, recent = known.others.get(engine.name, (0, 0.0))
        ready_at = engine.adapters.get(adapter)
        pace = self.ratios(instance).get(engine.name, 1.0) if self.uses_pace else 1.0
        return replace(
            IDLE,
            endpoint=engine.name,
            holds=ready_at is not None and ready_at <= self.now,
            loading_left=ready_at - self.now if ready_at and ready_at > self.now else None,
            free_places=PLACES - len(engine.adapters) + len(self.idle(engine)),
            loading=sum(at > self.now for at in engine.adapters.values()),
            waiting_tokens=float(sum(s.unread for s in own)),
            running=len(own) + running,
            batch=BATCH,
            load_time=LOAD_TIME,
            recent_tokens=self.recent(instance, engine) + recent,
            largest_pause=ALLOWED,
            pace=pace,
        )

    def ratios(self, instance: int) -> dict[str, float]:
        known = self.known[instance]
        if known.ratios_at != self.now:
            known.ratios_at = self.now
            known.ratios = known.paces.ratios(self.all, self.now)
        return known.ratios

    def recent(self, instance: int, engine: Engine) -> float:
        sent = self.known[instance].sent.get(engine.name, [])
        sent[:] = [at for at in sent if self.now - at < 2.0]
        return sum(PROMPT * math.exp((at - self.now) / 0.3) for at in sent)

    def report(self, instance: int) -> None:
        known = self.known[instance]
        if self.now < known.next_report:
            return
        known.next_report = self.now + self.rng.uniform(*NEWS_AGE)
        if self.rng.random() >= self.news_lost:
            self.reports[instance] = {
                e.name: (
                    sum(s.instance == instance for s in e.streams()),
                    self.recent(instance, e),
                )
                for e in self.all.values()
            }
            for other in set(range(self.instances)) - {instance}:
                for name, sums in known.news.items():
                    paces = self.known[other].paces
                    paces.add_reported(name, sums.observed, sums.expected, self.now)
                self.known[other].others = {
                    name: (
                        sum(r[name][0] for i, r in self.reports.items() if i != other),
                        sum(r[name][1] for i, r in self.reports.items() if i != other),
                    )
                    for name in self.all
                }
        known.news = {}
