"""Which engine should run a generation: the one that is expected to give the first token first.

The expectation adds what has to happen before the first token: the adapter's load, if the engine
does not hold it; the prompts that are read before this one; the way to another availability zone;
and what recent failures make likely. Copies of an adapter thus spread by themselves: as soon as the
queue before the engine that holds it costs more than a load elsewhere, the load wins.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Final

import msgspec

from wigeonarch_core.load_time import COLD_LOAD, WARM_LOAD

# Adapters on their way to one engine at once; engines refuse more.
MAX_CONCURRENT_LOADS: Final = 4
# What a load costs besides its time, in seconds of waiting. A fetch has a price of its own: about
# a third of what an answer in time is worth, and waiting becomes lateness within a second.
WARM_LOAD_COST: Final = 0.03
COLD_LOAD_COST: Final = 0.3
# An old version can be replaced only when no request uses it, which takes a second or two.
REPLACE_COST: Final = 0.6
# Prompt tokens that an engine reads in a second, and what each running request adds to a step:
# only the order of engines depends on them, so a rough value does.
PREFILL_RATE: Final = 19_000.0
STEP_TIME_PER_REQUEST: Final = 0.003
# Seconds that a request runs, about: both users' streams take one to three.
TYPICAL_RUN_TIME: Final = 2.0
# What the traffic between availability zones is worth, in seconds of waiting; a cut between zones
# also loses the streams that cross it.
CROSS_ZONE_COST: Final = 0.05
# What it is worth not to make a stream pause for longer than allowed, in seconds of waiting.
# Engines read prompts between the tokens of running requests; where prompts that take about the
# longest pause are sent within that time, all streams there are late. Worth more, it would buy
# loads elsewhere that serve nobody sooner.
STALL_COST: Final = 0.01  # A stream, where all of the longest pause is read.
MAX_STALL_FACTOR: Final = 4.0
# Part of the longest pause that prompts sent lately may take until the next one is held back.
CROWDED_STALL_RATIO: Final = 0.6
# An engine whose KV cache is nearly full preempts requests, which then start anew.
KV_CACHE_FULL: Final = 0.88
KV_CACHE_FULL_COST: Final = 2.0
FAILURE_COST: Final = 1.0
# Streams of an engine five times slower than usual are mostly late by their pauses, which is
# worth about as much as a load elsewhere costs.
SLOWNESS_COST: Final = 0.1
# Places are short when hardly any copy can go. A load that finds none waits for a running request
# to end, which takes seconds; the cost rises over the last few, so that engines fill up evenly.
NO_PLACE_COST: Final = 1.0
SCARCE_PLACES: Final = 4


class EngineState(msgspec.Struct, frozen=True):
    """What an instance believes of one engine when it has to choose.

    Attributes:
        endpoint: Id of the engine.
        same_zone: Whether it is in the instance's availability zone.
        holds: Whether it holds the adapter version, or none is needed.
        loading_left: Seconds until a load of it that is under way ends; None if there is none.
        warm: Whether it held the adapter recently.
        loadable: Whether its owner can be asked for a load.
        free_places: Adapter places that are empty or idle.
        loading: Adapters on their way to it.
        waiting_tokens: Prompt tokens sent to it whose first token has not come.
        running: Requests sent to it that have not ended.
        batch: Requests that it runs at once.
        kv_tokens: Tokens that those may take in its KV cache.
        kv_total: Tokens that fit.
        failing: Recent share of failures, from 0 to 1.
        load_time: Seconds of a load that must be fetched, while few others are.
        slowness: How many times as long as usual it takes until first tokens; 1 if not far slower.
        recent_tokens: Prompt tokens sent to it lately, by all instances.
        largest_pause: Longest pause between a stream's events that is in time; 0 if none.
    """

    endpoint: str
    same_zone: bool
    holds: bool
    loading_left: float | None
    warm: bool
    replaces: bool
    loadable: bool
    free_places: int
    loading: int
    waiting_tokens: float
    running: int
    batch: int
    kv_tokens: float
    kv_total: float
    failing: float
    load_time: float = COLD_LOAD
    slowness: float = 1.0
    recent_tokens: float = 0.0
    largest_pause: float = 0.0


class EngineChoice(msgspec.Struct, frozen=True):
    """An engine to send to, or to ask for a load.

    Attributes:
        endpoint: The engine.
        load: Whether the adapter must be loaded first.
        expected: What the choice went by, in seconds of waiting.
        crowded: Whether streams there would pause for too long, were a prompt sent now.
    """

    endpoint: str
    load: bool
    expected: float
    crowded: bool = False


def choose_engine(
    states: Iterable[EngineState], prompt_tokens: int, draw: Callable[[], float] = lambda: 0.0
) -> EngineChoice | None:
    """Returns the best engine, or None when none can run the request.

    Args:
        states: Engines that may be used.
        prompt_tokens: Length of the prompt.
        draw: Returns seconds to add to an expectation. What others have under way is known with a
            lag; without chance, all instances would send to the same engine until the next news.
    """
    states = list(states)
    unavoidable = _least_stall_costs(states, prompt_tokens)
    expected = [
        (choice, state)
        for state in states
        if (choice := _estimate(state, prompt_tokens, unavoidable[state.holds, state.same_zone]))
    ]
    if not expected:
        return None
    _, best = min(expected, key=lambda pair: pair[0].expected)
    # Chance decides among engines that are alike: it buys no load and no way between zones.
    alike = [choice for choice, state in expected if _cost_class(state) == _cost_class(best)]
    return min(alike, key=lambda choice: choice.expected + draw())


def _cost_class(state: EngineState) -> tuple[bool, bool, bool, bool]:
    """Returns what makes engines alike: what sending there costs besides waiting."""
    return state.holds, state.loading_left is not None, state.warm, state.same_zone


def choose_engine_after_load_request(
    states: Sequence[EngineState],
    prompt_tokens: int,
    loading_engine: str,
    keep_waiting: bool,
    draw: Callable[[], float] = lambda: 0.0,
) -> EngineChoice | None:
    """Returns the best engine for a request that may have asked one for a load already.

    While it is patient it stays with that one, so that no two engines load for one request;
    afterwards it prefers others. An engine that can't load any more binds nobody.

    Args:
        states: Engines that may be used.
        prompt_tokens: Length of the prompt.
        asked: Engine that was asked for a load; empty if none was.
        patient: Whether that was just now.
        draw: As for `choose`.
    """
    if not loading_engine:
        return choose_engine(states, prompt_tokens, draw)
    preferred = [s for s in states if s.holds or (s.endpoint == loading_engine) is keep_waiting]
    return choose_engine(preferred, prompt_tokens, draw) or choose_engine(
        states, prompt_tokens, draw
    )


def _least_stall_costs(
    states: Iterable[EngineState], prompt_tokens: int
) -> dict[tuple[bool, bool], float]:
    """Returns the least that pauses cost among engines that are alike, by what makes them so.

    Those are alike that hold the adapter or lack it, in this availability zone or another. Only
    what lies beyond the least is weighed, so that prompts are spread over engines that are alike,
    and pauses buy no load and no bytes between zones.
    """
    least: dict[tuple[bool, bool], float] = {}
    for state in states:
        alike = state.holds, state.same_zone
        least[alike] = min(least.get(alike, float("inf")), _stall_cost(state, prompt_tokens))
    return least


def _estimate(state: EngineState, prompt_tokens: int, unavoidable: float) -> EngineChoice | None:
    load = price = 0.0
    if not state.holds:
        if state.loading_left is not None:
            load = state.loading_left
        elif not state.loadable:
            return None
        else:
            load = state.load_time * (WARM_LOAD / COLD_LOAD if state.warm else 1.0)
            price = WARM_LOAD_COST if state.warm else COLD_LOAD_COST
            price += REPLACE_COST if state.replaces else 0.0
            # What is loaded next waits for those that are on their way, four at a time.
            load += state.load_time * (state.loading // MAX_CONCURRENT_LOADS)
            short = max(0, SCARCE_PLACES - state.free_places) / SCARCE_PLACES
            price += NO_PLACE_COST * short * short
    reading = state.slowness * (state.waiting_tokens + prompt_tokens) / PREFILL_RATE
    wait = max(load + state.slowness * prompt_tokens / PREFILL_RATE, reading)
    # Running requests slow each step while prompts are read piece by piece.
    wait += state.slowness * STEP_TIME_PER_REQUEST * state.running
    # Requests beyond the batch wait until others end.
    wait += state.slowness * TYPICAL_RUN_TIME * batch_excess(state.running, state.batch)
    price += SLOWNESS_COST * (state.slowness - 1.0)
    if not state.same_zone:
        wait += CROSS_ZONE_COST
    if state.kv_total and state.kv_tokens + prompt_tokens > KV_CACHE_FULL * state.kv_total:
        wait += KV_CACHE_FULL_COST
    wait += price + FAILURE_COST * state.failing
    wait += _stall_cost(state, prompt_tokens) - unavoidable
    crowded = state.running > 0 and stall_ratio(state, 0) > CROWDED_STALL_RATIO
    return EngineChoice(state.endpoint, not state.holds, wait, crowded)


def batch_excess(running: int, batch: int) -> float:
    """Returns the requests beyond an engine's batch, were one more sent, in batches."""
    return max(0, running + 1 - batch) / max(1, batch)


def expected_first_token(
    waiting_tokens: float, prompt_tokens: int, running: int, batch: int
) -> float:
    """Returns the expected seconds until a request's first token at an engine that is as usual.

    Args:
        waiting_tokens: Prompt tokens that are read before its own.
        prompt_tokens: Length of its prompt.
        running: Requests there.
        batch: Requests that run at once.
    """
    reading = (waiting_tokens + prompt_tokens) / PREFILL_RATE
    return (
        reading + STEP_TIME_PER_REQUEST * running + TYPICAL_RUN_TIME * batch_excess(running, batch)
    )


def stall_ratio(state: EngineState, prompt_tokens: int) -> float:
    """Returns how much of the longest pause in time is read there, were a prompt sent now."""
    if not state.largest_pause:
        return 0.0
    return (state.recent_tokens + prompt_tokens) / PREFILL_RATE / state.largest_pause


def _stall_cost(state: EngineState, prompt_tokens: int) -> float:
    """Returns what the pauses of running streams cost that a prompt adds to."""
    part = stall_ratio(state, prompt_tokens)
    return STALL_COST * state.running * min(MAX_STALL_FACTOR, part * part)
