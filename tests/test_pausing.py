"""Streams pause while their engine reads others' prompts: what the choice of engines does about it.

The load of the heaviest day known: nine engines, some 90 prompts a second of 800 to 7,000 tokens,
each read in pieces between the tokens of running streams.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import pytest
from engine_states import IDLE
from msgspec.structs import replace
from wigeonarch_core.engine_choice import PREFILL_RATE, EngineState, choose_engine, stall_ratio

STEP = 0.0045  # Seconds of a step without a prompt.
PIECE = 4096  # Prompt tokens that are read in one step, at most.
RATE = 38_000.0  # Prompt tokens read in a second.
EVENT = 7  # Steps between events of a stream.
LENGTH = 300  # Tokens of an answer.
ALLOWED = 0.3  # Seconds between events.
RECENT = 0.3  # Seconds over which sent prompts count as recent.
HELD_BACK = 0.24  # Seconds for which a prompt is held back at most.
LOOK = 0.03  # Seconds between looks of one that is held back.


@dataclass
class Stream:
    """A running answer: tokens so far, time of its last event, and whether one came late."""

    tokens: int = 0
    last: float = 0.0
    late: bool = False


@dataclass
class Engine:
    """One engine, played step by step."""

    name: str
    at: float = 0.0
    waiting: deque[int] = field(default_factory=deque)
    streams: list[Stream] = field(default_factory=list)
    ended: list[Stream] = field(default_factory=list)
    sent: deque[tuple[float, int]] = field(default_factory=deque)

    def play(self, until: float) -> None:
        while self.at < until:
            left = PIECE
            while self.waiting and left > 0:
                read = min(left, self.waiting[0])
                left -= read
                self.waiting[0] -= read
                if not self.waiting[0]:
                    self.waiting.popleft()
                    self.streams.append(Stream(last=self.at))
            self.at += STEP + (PIECE - left) / RATE
            for stream in self.streams:
                stream.tokens += 1
                if stream.tokens % EVENT == 0:
                    stream.late |= self.at - stream.last > ALLOWED
                    stream.last = self.at
            self.ended += [stream for stream in self.streams if stream.tokens >= LENGTH]
            self.streams = [stream for stream in self.streams if stream.tokens < LENGTH]

    def state(self, now: float, heeded: bool) -> EngineState:
        while self.sent and now - self.sent[0][0] > RECENT:
            self.sent.popleft()
        return replace(
            IDLE,
            endpoint=self.name,
            holds=True,
            waiting_tokens=float(sum(self.waiting)),
            running=len(self.streams) + len(self.waiting),
            batch=32,
            recent_tokens=float(sum(tokens for _, tokens in self.sent)),
            largest_pause=ALLOWED if heeded else 0.0,
        )


def late_share(heeded: bool, seed: int) -> float:
    """Plays some seconds; returns the share of answers with a pause that is too long."""
    rng, now, number = random.Random(seed), 0.0, 0
    engines = {name: Engine(name) for name in "abcdefghi"}
    held: list[tuple[float, float, int, list[str]]] = []
    arrives = 0.0
    while now < 20.0:
        now += 0.01
        while arrives <= now:
            prompt = min(7_000, int(rng.lognormvariate(6.9, 0.9)))
            # Some engines hold the adapter.
            holders = rng.sample(sorted(engines), 3)
            held.append((now, now, prompt, holders))
            arrives += rng.expovariate(90.0)
        for one in held[:]:
            since, due, prompt, holders = one
            if due > now:
                continue
            for name in holders:
                engines[name].play(now)
            states = [engines[name].state(now, heeded) for name in holders]
            choice = choose_engine(states, prompt)
            assert choice is not None
            held.remove(one)
            if choice.crowded and now - since < HELD_BACK:
                held.append((since, now + LOOK, prompt, holders))
                continue
            engines[choice.endpoint].waiting.append(prompt)
            engines[choice.endpoint].sent.append((now, prompt))
            number += 1
    ended = [stream for engine in engines.values() for stream in engine.ended]
    assert len(ended) > 0.8 * number
    return sum(stream.late for stream in ended) / len(ended)


@pytest.mark.parametrize("seed", range(3))
def test_fewer_streams_pause_for_too_long(seed: int) -> None:
    before, after = late_share(False, seed), late_share(True, seed)
    assert before > 0.05
    assert after < 0.6 * before


BUSY = replace(Engine("e").state(0.0, True), running=10)


@pytest.mark.parametrize(
    ("recent", "running", "crowded"),
    [
        (0.0, 10, False),
        (0.5 * ALLOWED * PREFILL_RATE, 10, False),
        (0.7 * ALLOWED * PREFILL_RATE, 10, True),
        (5.0 * ALLOWED * PREFILL_RATE, 0, False),  # No stream is there to pause.
    ],
)
def test_where_a_prompt_is_held_back(recent: float, running: int, crowded: bool) -> None:
    choice = choose_engine([replace(BUSY, recent_tokens=recent, running=running)], 800)
    assert choice is not None
    assert choice.crowded is crowded


def test_a_prompt_goes_where_fewer_streams_pause() -> None:
    busy = replace(BUSY, endpoint="busy", running=25, recent_tokens=4_000.0)
    quiet = replace(BUSY, endpoint="quiet", running=25)
    choice = choose_engine([busy, quiet], 4_000)
    assert choice is not None
    assert choice.endpoint == "quiet"


@pytest.mark.parametrize(
    "other",
    [
        # Pauses alone buy no load and no way to another availability zone.
        replace(BUSY, endpoint="other", holds=False, running=25, recent_tokens=0.0),
        replace(BUSY, endpoint="other", same_zone=False, running=25, recent_tokens=0.0),
    ],
)
def test_pauses_are_weighed_among_engines_that_are_alike_otherwise(other: EngineState) -> None:
    crowded = replace(BUSY, endpoint="crowded", running=25, recent_tokens=9_000.0)
    choice = choose_engine([crowded, other], 1_000)
    assert choice is not None
    assert choice.endpoint == "crowded"


def test_without_a_bound_on_pauses_nothing_stalls() -> None:
    assert stall_ratio(replace(BUSY, recent_tokens=50_000.0, largest_pause=0.0), 800) == 0.0
