"""Engines that crash under parts of prompts, by chance or by racks, in virtual time.

Requests come at random instances. Each instance has a memory of its own; reports of crashes and of
runs that clear a part reach the others after `LAG`, or are lost; the lost ones of crashes arrive by
way of the store.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from wigeonarch_core.fatal_parts import WRITING_TIME, FatalParts, PartCrash, PartCrashes

LAG = 0.05  # Seconds until a report is there.
STORE_LAG = 2.0  # Seconds until a crash is known from the store.
CONTACT = 3.0  # Seconds within which all must know.
CRASHES_KNOWN = 5  # Crashes after which a part must be known.
REQUESTS_OF_A_SESSION = 4
SHARE_OF_NEW_SESSIONS = 0.5
FIRST_PARTS = 3


@dataclass(frozen=True)
class Mix:
    """What happens in a run; rates in a second, times in seconds.

    Attributes:
        engines: Number of engines.
        rate: Requests that are sound.
        fatal: Requests with each part that crashes engines.
        fatal_from: Time from which these come.
        fatal_software: Version that such a part crashes; empty for all.
        software: Version of the engines, in turn.
        chance: Crashes by chance.
        racks: Time, share of the engines that crash, and time over which they do.
        write: Shortest and longest time for which a request writes.
        adapters: Number of adapters, each with a part of its own.
        lost: Share of the reports between instances that are lost.
        instances: Number of instances.
        seconds: Length of the run.
    """

    engines: int = 5
    rate: float = 30.0
    fatal: tuple[float, ...] = (1.0,)
    fatal_from: float = 8.0
    fatal_software: str = ""
    software: tuple[str, ...] = ("v1",)
    chance: float = 0.0
    racks: tuple[tuple[float, float, float], ...] = ()
    write: tuple[float, float] = (0.5, 3.0)
    adapters: int = 200
    lost: float = 0.02
    instances: int = 7
    seconds: float = 80.0


@dataclass
class Run:
    """A request at an engine; `fatal` is the part that crashes the engine, empty for none."""

    parts: tuple[str, ...]
    sent: float
    first_event: float
    fatal: str
    is_first_try: bool


@dataclass
class PartWorld:
    """One run of a mix, and what came of it."""

    mix: Mix
    draw: random.Random
    now: float = 0.0
    up_at: list[float] = field(default_factory=list)
    incarnations: Counter[int] = field(default_factory=Counter)
    running: defaultdict[int, dict[int, Run]] = field(default_factory=lambda: defaultdict(dict))
    instances: list[FatalParts] = field(default_factory=list)
    fatal_arrivals: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    fatal_crashes: defaultdict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    crash_count: int = 0
    sent: list[float] = field(default_factory=list)
    served: list[float] = field(default_factory=list)
    refused: int = 0
    _events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = field(
        default_factory=list
    )
    _numbers: itertools.count[int] = field(default_factory=itertools.count)
    _sessions: list[str] = field(default_factory=list)

    def run(self) -> None:
        """Plays the mix."""
        mix = self.mix
        self.up_at = [0.0] * mix.engines
        self.instances = [FatalParts() for _ in range(mix.instances)]
        self._repeat(0.0, mix.rate, lambda: self._request("", self._parts("")))
        for number, rate in enumerate(mix.fatal):
            fatal = f"fatal{number}"
            self._repeat(mix.fatal_from, rate, self._fatal_request(fatal))
        self._repeat(0.0, mix.chance, lambda: self._crash(self.draw.randrange(mix.engines)))
        for at, share, span in mix.racks:
            for engine in self.draw.sample(range(mix.engines), int(share * mix.engines)):
                self._at(at + self.draw.uniform(0.0, span), self._crash, engine)
        while self._events:
            self.now, _, act, args = heapq.heappop(self._events)
            act(*args)

    def late_arrivals(self) -> int:
        """Returns how many requests with one fatal part reached engines when all had to know it."""
        late = [0]
        for part, crashes in self.fatal_crashes.items():
            if len(crashes) >= CRASHES_KNOWN:
                known_at = crashes[CRASHES_KNOWN - 1] + CONTACT
                late.append(sum(at > known_at for at in self.fatal_arrivals[part]))
        return max(late)

    def served_share(self) -> float:
        """Returns the share of sound requests served from when the fatal parts had to be known."""
        known = [crashes[:CRASHES_KNOWN][-1] for crashes in self.fatal_crashes.values()]
        since = max(known, default=0.0) + 2 * CONTACT
        sent = sum(at >= since for at in self.sent)
        return sum(at >= since for at in self.served) / max(1, sent)

    def refused_share(self) -> float:
        """Returns the share of sound requests that were refused for one of their parts."""
        return self.refused / max(1, len(self.sent))

    def _at(self, time: float, act: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), act, args))

    def _repeat(self, begin: float, rate: float, act: Callable[[], None]) -> None:
        at = begin
        while rate and (at := at + self.draw.expovariate(rate)) < self.mix.seconds:
            self._at(at, act)

    def _fatal_request(self, fatal: str) -> Callable[[], None]:
        return lambda: self._request(fatal, self._parts(fatal))

    def _parts(self, fatal: str) -> tuple[str, ...]:
        if self.draw.random() < SHARE_OF_NEW_SESSIONS or not self._sessions:
            session = f"session{next(self._numbers)}"
            self._sessions += [session] * REQUESTS_OF_A_SESSION
        else:
            session = self._sessions.pop(self.draw.randrange(len(self._sessions)))
        adapter = min(int(self.draw.paretovariate(0.6)), self.mix.adapters)
        parts = [f"first{self.draw.randrange(FIRST_PARTS)}", f"adapter{adapter}", session]
        return tuple([*parts[:1], fatal, *parts[1:]] if fatal else parts)

    def _software(self, engine: int) -> str:
        return self.mix.software[engine % len(self.mix.software)]

    def _request(self, fatal: str, parts: tuple[str, ...], is_first_try: bool = True) -> None:
        is_counted = not fatal and is_first_try
        if is_counted:
            self.sent.append(self.now)
        memory = self.draw.choice(self.instances)
        up = [e for e in range(self.mix.engines) if self.up_at[e] <= self.now]
        allowed = [e for e in up if not memory.hold_left(parts, self._software(e), self.now)]
        if not allowed:
            self.refused += is_counted and bool(up)
            return
        engine = self.draw.choice(allowed)
        software = self._software(engine)
        for part in parts:
            if memory.needs_trial(part, software):
                memory.begin_trial(part, self.now)
                self._tell(memory, FatalParts.begin_trial, part)
        number, begin = next(self._numbers), self.now + self.draw.uniform(0.2, 0.6)
        is_fatal = fatal and self.mix.fatal_software in ("", software)
        run = Run(parts, self.now, begin, fatal if is_fatal else "", is_counted)
        self.running[engine][number] = run
        if fatal:
            self.fatal_arrivals[fatal].append(self.now)
        if is_fatal:
            self._at(begin + self.draw.uniform(0.03, 0.13), self._crash_by, engine, number)
        else:
            self._at(begin + self.draw.uniform(*self.mix.write), self._end, engine, number, memory)

    def _end(self, engine: int, number: int, memory: FatalParts) -> None:
        run = self.running[engine].pop(number, None)
        if run is None:
            return
        if run.is_first_try:
            self.served.append(run.sent)
        self._speak_for(run.parts, self._software(engine), memory)

    def _speak_for(self, parts: Sequence[str], software: str, memory: FatalParts) -> None:
        for part in parts:
            cleared = memory.record_run(part, software, self.now)
            if cleared is not None:
                self._tell(memory, FatalParts.apply_clearance, cleared)

    def _tell(
        self, sender: FatalParts, act: Callable[[FatalParts, Any, float], None], told: Any
    ) -> None:
        arrival = self.now + LAG
        for memory in self.instances:
            if memory is not sender and self.draw.random() >= self.mix.lost:
                self._at(arrival, act, memory, told, arrival)

    def _crash_by(self, engine: int, number: int) -> None:
        if number in self.running[engine]:
            self.fatal_crashes[self.running[engine][number].fatal].append(self.now)
            self._crash(engine)

    def _crash(self, engine: int) -> None:
        if self.up_at[engine] > self.now:
            return
        self.crash_count += 1
        self.incarnations[engine] += 1
        crash = f"{engine}@{self.incarnations[engine]}"
        self.up_at[engine] = self.now + self.draw.uniform(3.0, 8.0)
        runs, self.running[engine] = list(self.running[engine].values()), {}
        software = self._software(engine)
        wrote = {p for r in runs if self.now - r.first_event >= WRITING_TIME for p in r.parts}
        self._speak_for(sorted(wrote), software, self.draw.choice(self.instances))
        sent: dict[str, float] = {}
        for run in runs:
            sent |= {part: max(sent.get(part, 0.0), run.sent) for part in run.parts}
            if run.is_first_try:
                self._at(
                    self.now + self.draw.uniform(0.1, 0.5), self._request, "", run.parts, False
                )
        suspected = {part: at for part, at in sent.items() if part not in wrote}
        for memory in self.instances:
            lost = self.draw.random() < self.mix.lost
            self._at(
                self.now + (STORE_LAG if lost else LAG),
                self._report,
                memory,
                crash,
                software,
                suspected,
                lost,
            )

    def _report(
        self,
        memory: FatalParts,
        crash: str,
        software: str,
        suspected: dict[str, float],
        by_store: bool,
    ) -> None:
        for part, sent in suspected.items():
            if by_store:
                memory.adopt(PartCrashes(part, software, frozenset({crash})), self.now)
            else:
                memory.record_crash(PartCrash(part, software, crash, self.now - sent), self.now)


def play(mix: Mix, seed: int) -> PartWorld:
    """Plays a mix with a seed."""
    world = PartWorld(mix, random.Random(seed))
    world.run()
    return world
