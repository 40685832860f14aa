"""Choice of engines when streams pause because their engine processes other prompts.

The simulated load is the heaviest known: nine engines and about 90 prompts per second of 800 to
7,000 tokens, each processed in chunks between the tokens of running streams.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import pytest
from engine_states import IDLE
from msgspec.structs import replace
from wigeonarch_core.engine_choice import PREFILL_RATE, EngineState, choose_engine, stall_ratio

STEP = 0.0045  # Seconds of a step without prefill.
CHUNK = 4096  # Greatest number of prompt tokens processed in one step.
RATE = 38_000.0  # Prompt tokens processed per second.
EVENT = 7  # Steps between events of a stream.
LENGTH = 300  # Tokens of a response.
ALLOWED = 0.3  # Longest allowed pause between events, in seconds.
RECENT = 0.3  # Seconds for which a prompt that was sent counts as recent.
HELD_BACK = 0.24  # Longest time for which a prompt is held back, in seconds.
RETRY_INTERVAL = 0.03  # Seconds between tries to send a prompt that is held back.


@dataclass
class Stream:
    """A running stream: its tokens so far, the time of its last event, and whether one was late."""

    tokens: int = 0
    last: float = 0.0
    late: bool = False


@dataclass
class Engine:
    """One engine, simulated step by step."""

    name: str
    at: float = 0.0
    waiting: deque[int] = field(default_factory=deque)
    streams: list[Stream] = field(default_factory=list)
    ended: list[Stream] = field(default_factory=list)
    sent: deque[tuple[float, int]] = field(default_factory=deque)

    def run_until(self, end: float) -> None:
        while self.at < end:
            left = CHUNK
            while self.waiting and left > 0:
                processed = min(left, self.waiting[0])
                left -= processed
                self.waiting[0] -= processed
                if not self.waiting[0]:
                    self.waiting.popleft()
                    self.streams.append(Stream(last=self.at))
            self.at += STEP + (CHUNK - left) / RATE
            for stream in self.streams:
                stream.tokens += 1
                if stream.tokens % EVENT == 0:
                    stream.late |= self.at - stream.last > ALLOWED
                    stream.last = self.at
            self.ended += [stream for stream in self.streams if stream.tokens >= LENGTH]
            self.streams = [stream for stream in self.streams if stream.tokens < LENGTH]

    def state(self, now: float, count_stalls: bool) -> EngineState:
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
            largest_pause=ALLOWED if count_stalls else 0.0,
        )


def late_share(count_stalls: bool, seed: int) -> float:
    """Simulates 20 seconds; returns the share of streams with a pause that is too long."""
    rng, now, sent_count = random.Random(seed), 0.0, 0
    engines = {name: Engine(name) for name in "abcdefghi"}
    held: list[tuple[float, float, int, list[str]]] = []
    next_arrival = 0.0
    while now < 20.0:
        now += 0.01
        while next_arrival <= now:
            prompt = min(7_000, int(rng.lognormvariate(6.9, 0.9)))
            # Three of the engines hold the adapter.
            candidates = rng.sample(sorted(engines), 3)
            held.append((now, now, prompt, candidates))
            next_arrival += rng.expovariate(90.0)
        for entry in held[:]:
            since, due, prompt, candidates = entry
            if due > now:
                continue
            for name in candidates:
                engines[name].run_until(now)
            states = [engines[name].state(now, count_stalls) for name in candidates]
            choice = choose_engine(states, prompt)
            assert choice is not None
            held.remove(entry)
            if choice.crowded and now - since < HELD_BACK:
                held.append((since, now + RETRY_INTERVAL, prompt, candidates))
                continue
            engines[choice.endpoint].waiting.append(prompt)
            engines[choice.endpoint].sent.append((now, prompt))
            sent_count += 1
    ended = [stream for engine in engines.values() for stream in engine.ended]
    assert len(ended) > 0.8 * sent_count
    return sum(stream.late for stream in ended) / len(ended)


@pytest.mark.parametrize("seed", range(3))
def test_stall_costs_reduce_the_streams_that_pause_for_too_long(seed: int) -> None:
    without, with_costs = late_share(False, seed), late_share(True, seed)
    assert without > 0.05
    assert with_costs < 0.6 * without


BUSY = replace(Engine("e").state(0.0, True), running=10)


@pytest.mark.parametrize(
    ("recent", "running", "crowded"),
    [
        (0.0, 10, False),
        (0.5 * ALLOWED * PREFILL_RATE, 10, False),
        (0.7 * ALLOWED * PREFILL_RATE, 10, True),
        (5.0 * ALLOWED * PREFILL_RATE, 0, False),  # There is no stream to pause.
    ],
)
def test_a_prompt_is_held_back_where_it_would_stall_streams(
    recent: float, running: int, crowded: bool
) -> None:
    choice = choose_engine([replace(BUSY, recent_tokens=recent, running=running)], 800)
    assert choice is not None
    assert choice.crowded is crowded


def test_a_prompt_goes_to_the_engine_with_the_lower_stall_ratio() -> None:
    busy = replace(BUSY, endpoint="busy", running=25, recent_tokens=4_000.0)
    quiet = replace(BUSY, endpoint="quiet", running=25)
    choice = choose_engine([busy, quiet], 4_000)
    assert choice is not None
    assert choice.endpoint == "quiet"


@pytest.mark.parametrize(
    "other",
    [
        # Stalls alone cause no load and no crossing to another availability zone.
        replace(BUSY, endpoint="other", holds=False, running=25, recent_tokens=0.0),
        replace(BUSY, endpoint="other", same_zone=False, running=25, recent_tokens=0.0),
    ],
)
def test_stall_costs_count_only_among_comparable_engines(other: EngineState) -> None:
    crowded = replace(BUSY, endpoint="crowded", running=25, recent_tokens=9_000.0)
    choice = choose_engine([crowded, other], 1_000)
    assert choice is not None
    assert choice.endpoint == "crowded"


def test_without_a_limit_on_pauses_there_is_no_stall() -> None:
    assert stall_ratio(replace(BUSY, recent_tokens=50_000.0, largest_pause=0.0), 800) == 0.0
