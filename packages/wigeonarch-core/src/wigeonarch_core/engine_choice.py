"""Choice of the engine for a generation: the one with the least expected wait for the first token.

The expected wait adds up what must happen before the first token: the load of the adapter, if the
engine does not hold it, and the prefill of the prompts ahead. Crossing to another availability
zone, recent failures and other costs are added as seconds of waiting. Copies of a popular adapter
spread without a rule of their own: as soon as the queue of the engine that holds the adapter costs
more than a load elsewhere, the load is chosen.

Where engines differ in pace, all of an engine's times are those at its pace. A slow one also makes
streams pause for too long when it processes several prompts at once, which others bear. Each stream
that this is expected to make late costs what a late response costs, so a slow engine gets prompts
one at a time. Where all engines have about the same pace, it plays no part.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from operator import itemgetter
from typing import Final

import msgspec
from msgspec.structs import replace

from wigeonarch_core.endpoint_pace import settled
from wigeonarch_core.load_time import COLD_LOAD, WARM_LOAD

# Adapters that one engine loads at the same time; engines refuse more.
MAX_CONCURRENT_LOADS: Final = 4
# Cost of a load besides its duration, in seconds of waiting. A load from the weight store costs
# about a third of what a response in time is worth, and a second of waiting makes it late.
WARM_LOAD_COST: Final = 0.03
COLD_LOAD_COST: Final = 0.3
# Seconds. An old version can be replaced only when no request uses it, which takes a second or two.
REPLACE_COST: Final = 0.6
# Rough values are enough here, as only the order of the engines depends on them.
PREFILL_RATE: Final = 19_000.0  # Prompt tokens per second.
STEP_TIME_PER_REQUEST: Final = 0.003  # Seconds that each running request adds to the wait.
# Typical seconds that a request runs; streams take one to three.
TYPICAL_RUN_TIME: Final = 2.0
# Cost of sending a request to another availability zone, in seconds of waiting: for the traffic,
# and because a network partition between the zones would break the stream.
CROSS_ZONE_COST: Final = 0.05
# Cost of making running streams pause, in seconds of waiting. Engines process prompts between the
# tokens of running requests, so prompts whose prefill takes about the longest allowed pause, sent
# within that time, make all streams there late. A higher cost would cause loads on other engines
# that serve no request sooner.
STALL_COST: Final = 0.01  # Per stream, at a stall ratio of 1.
MAX_STALL_FACTOR: Final = 4.0  # Greatest multiple of `STALL_COST` per stream.
# Stall ratio of the recent prompts above which the next prompt is held back.
CROWDED_STALL_RATIO: Final = 0.6
# Share of a slow engine's streams that the recent prompts make late, above which it is the same.
CROWDED_LATE_SHARE: Final = 0.1
# Cost of a stream that pauses for too long, in seconds of waiting: nine tenths of what a response
# in time is worth, which is about three loads from the weight store.
LATE_STREAM_COST: Final = 0.8
# Seconds between two events of a stream at the usual pace, without prompts between them.
EVENT_TIME: Final = 0.06
# Longest pause at the usual pace as a share of the longest allowed one: engines process prompts in
# chunks, so that a pause does not grow with the number of prompts.
USUAL_PAUSE_SHARE: Final = 0.9
# Expected pauses, as shares of the longest allowed one, at which no stream is late and all are.
SAFE_PAUSE_SHARE: Final = 0.85
LATE_PAUSE_SHARE: Final = 1.15
TYPICAL_PROMPT: Final = 1_500.0  # Tokens of a prompt that another instance may send.
# An engine whose KV cache is nearly full preempts requests, which then start again.
KV_CACHE_FULL: Final = 0.88  # Share of the cache from which the cost applies.
KV_CACHE_FULL_COST: Final = 2.0  # Seconds of waiting.
FAILURE_COST: Final = 1.0  # Seconds of waiting, at a failure share of 1.
# Seconds of waiting per unit of slowness beyond 1. At five times the usual latency, most streams
# pause for too long, which is as bad as the cost of a load on another engine.
SLOWNESS_COST: Final = 0.1
# Cost of a load when few places are free. A load that finds no free place waits for a running
# request to end, which takes seconds. The cost rises over the last few places, so that engines
# fill up evenly.
NO_PLACE_COST: Final = 1.0  # Seconds of waiting, when no place is free.
SCARCE_PLACES: Final = 4  # Free places below which the cost applies.
# Cost of a load at an engine that the adapter prefers least, in seconds of waiting. Owners tell of
# loads after they began, so instances that only looked at costs would all ask the same engine until
# then. With preferences of its own for each adapter they ask different engines for different
# adapters, and the same one for the same adapter.
LOAD_SPREAD_COST: Final = 0.3


class EngineState(msgspec.Struct, frozen=True):
    """What an instance knows of one engine when it chooses.

    Attributes:
        endpoint: Id of the engine.
        same_zone: Whether it is in the instance's availability zone.
        holds: Whether it holds the adapter version, or none is needed.
        loading_left: Seconds until a load of the adapter that is in progress ends; None if there is
            none.
        warm: Whether it held the adapter recently, which makes a load faster.
        replaces: Whether the load replaces another version of the adapter.
        loadable: Whether its owner can be asked for a load.
        free_places: Places for adapters that are empty or hold an unused adapter.
        loading: Number of adapters being loaded.
        waiting_loads: Loads that were requested from its owner and have not begun.
        load_rank: How little the adapter prefers this engine for its load, from 0 to 1.
        waiting_tokens: Prompt tokens sent to it whose requests have no first token yet.
        running: Requests sent to it that have not ended.
        batch: Requests that it can run at the same time.
        kv_tokens: Tokens that the running requests may occupy in its KV cache.
        kv_total: Tokens that fit into its KV cache; 0 if unknown.
        failing: Recent share of failures, from 0 to 1.
        load_time: Seconds of a load from the weight store while few others are in progress.
        slowness: How many times as long as usual it takes until first tokens; 1 if not far slower.
        recent_tokens: Prompt tokens sent to it lately, by all instances.
        largest_pause: Longest allowed pause between events of a stream, in seconds; 0 if unlimited.
        pace: How many times as long as the usual engine of its service it takes for each step.
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
    waiting_loads: int = 0
    load_rank: float = 0.0
    pace: float = 1.0

    @property
    def delay(self) -> float:
        """Returns how many times as long as usual it takes for work of any kind."""
        # Slow first tokens and slow steps may have one cause, which counts once.
        if self.slowness > 1.0 and self.pace > 1.0:
            return max(self.slowness, self.pace)
        return self.slowness * self.pace


class EngineChoice(msgspec.Struct, frozen=True):
    """An engine to send a request to, or to ask for a load.

    Attributes:
        endpoint: Id of the engine.
        load: Whether the adapter must be loaded first.
        expected: Expected wait including all costs, in seconds.
        crowded: Whether another prompt sent now would make streams there pause for too long.
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
        draw: Returns seconds to add to an expected wait. Requests of other instances are known with
            a lag; without randomness, all instances would send to the same engine until the next
            update.
    """
    return _choose(_settle(states), prompt_tokens, draw)


def _choose(
    states: Sequence[EngineState], prompt_tokens: int, draw: Callable[[], float]
) -> EngineChoice | None:
    usable = _expected_waits(states, prompt_tokens)
    if not usable:
        return None
    _, best = min(usable, key=itemgetter(0))
    # Randomness decides only among comparable engines, so it causes no load and no zone crossing.
    cost_class = _cost_class(best)
    alike = [pair for pair in usable if _cost_class(pair[1]) == cost_class]
    wait, chosen = min(alike, key=lambda pair: pair[0] + draw())
    return _as_choice(chosen, wait, prompt_tokens)


def _settle(states: Iterable[EngineState]) -> list[EngineState]:
    """Returns the states with the paces that count for the choice."""
    states = list(states)
    paces = settled([state.pace for state in states])
    return [
        state if state.pace == pace else replace(state, pace=pace)
        for state, pace in zip(states, paces, strict=True)
    ]


def estimate_engines(states: Iterable[EngineState], prompt_tokens: int) -> dict[str, EngineChoice]:
    """Returns, by id, each engine that can run the request with its expected wait as compared.

    Args:
        states: Engines that may be used.
        prompt_tokens: Length of the prompt.
    """
    waits = _expected_waits(_settle(states), prompt_tokens)
    return {state.endpoint: _as_choice(state, wait, prompt_tokens) for wait, state in waits}


def _cost_class(state: EngineState) -> tuple[bool, bool, bool, bool]:
    """Returns what a send to an engine costs besides waiting.

    Randomness chooses only among engines for which this is equal.
    """
    return state.holds, state.loading_left is not None, state.warm, state.same_zone


def choose_engine_after_load_request(
    states: Sequence[EngineState],
    prompt_tokens: int,
    loading_engine: str,
    keep_waiting: bool,
    draw: Callable[[], float] = lambda: 0.0,
) -> EngineChoice | None:
    """Returns the best engine for a request that may already have caused a load request.

    While `keep_waiting` is true the choice stays with the engine that was asked, so that no two
    engines load the adapter for one request; afterwards it prefers other engines. An engine that
    can no longer load does not restrict the choice.

    Args:
        states: Engines that may be used.
        prompt_tokens: Length of the prompt.
        loading_engine: Engine that was asked for a load; empty if none was.
        keep_waiting: Whether it was asked so recently that the request should wait for it.
        draw: As for `choose_engine`.
    """
    return _choose_after(_settle(states), prompt_tokens, loading_engine, keep_waiting, draw)


def choose_engine_in_turn(
    first: Sequence[EngineState],
    others: Callable[[], Iterable[EngineState]],
    least_wait: float,
    prompt_tokens: int,
    loading_engine: str,
    keep_waiting: bool,
    draw: Callable[[], float] = lambda: 0.0,
) -> EngineChoice | None:
    """Returns what `choose_engine_after_load_request` does, and describes no more than it needs.

    Most engines lack the adapter, and no load is faster than a short queue where it is.

    Args:
        first: Engines that hold the adapter, and that which was asked for it while `keep_waiting`.
            Paces are as `settled` returns them, as are those of the others.
        others: Describes the other engines.
        least_wait: Least seconds until one of them could have the adapter.
        prompt_tokens: Length of the prompt.
        loading_engine: Engine that was asked for a load; empty if none was.
        keep_waiting: Whether it was asked so recently that the request should wait for it.
        draw: As for `choose_engine`.
    """
    choice = _choose(first, prompt_tokens, draw)
    is_bound = bool(loading_engine) and keep_waiting
    if choice is not None and (is_bound or choice.expected <= least_wait):
        return choice
    return _choose_after([*first, *others()], prompt_tokens, loading_engine, keep_waiting, draw)


def least_load_wait(loading_left: float | None, load_time: float) -> float:
    """Returns the least seconds until an engine that lacks an adapter could have it.

    Args:
        loading_left: Seconds until a load of it that is in progress ends; None if there is none.
        load_time: Seconds of a load from the weight store while few others are in progress.
    """
    return load_time * (WARM_LOAD / COLD_LOAD) if loading_left is None else loading_left


def _choose_after(
    states: Sequence[EngineState],
    prompt_tokens: int,
    loading_engine: str,
    keep_waiting: bool,
    draw: Callable[[], float],
) -> EngineChoice | None:
    if not loading_engine:
        return _choose(states, prompt_tokens, draw)
    preferred = [s for s in states if s.holds or (s.endpoint == loading_engine) is keep_waiting]
    return _choose(preferred, prompt_tokens, draw) or _choose(states, prompt_tokens, draw)


def _expected_waits(
    states: Iterable[EngineState], prompt_tokens: int
) -> list[tuple[float, EngineState]]:
    """Returns the engines that can run a request, each with its expected wait and all costs.

    Of the cost of stalls only what is beyond the least one of comparable engines is counted.
    Engines are comparable that both hold or both lack the adapter, and are both in this
    availability zone or both in another. So prompts are spread over comparable engines, but stalls
    cause neither loads nor traffic between zones.
    """
    with_costs = [(state, _stall_cost(state, prompt_tokens)) for state in states]
    least: dict[tuple[bool, bool], float] = {}
    for state, cost in with_costs:
        group = state.holds, state.same_zone
        least[group] = min(least.get(group, math.inf), cost)
    return [
        (wait + (cost - least[state.holds, state.same_zone]), state)
        for state, cost in with_costs
        if (wait := _expected_wait(state, prompt_tokens)) is not None
    ]


def _as_choice(state: EngineState, wait: float, prompt_tokens: int) -> EngineChoice:
    crowded = _is_crowded(state, prompt_tokens)
    return EngineChoice(state.endpoint, not state.holds, wait, crowded)


def _expected_wait(state: EngineState, prompt_tokens: int) -> float | None:
    """Returns the expected wait with all costs but that of stalls; None if it can't run there."""
    load = cost = 0.0
    if not state.holds:
        if state.loading_left is not None:
            load = state.loading_left
        elif not state.loadable:
            return None
        else:
            load = state.load_time * (WARM_LOAD / COLD_LOAD if state.warm else 1.0)
            cost = WARM_LOAD_COST if state.warm else COLD_LOAD_COST
            cost += REPLACE_COST if state.replaces else 0.0
            # A new load waits for those before it, of which `MAX_CONCURRENT_LOADS` run at a time.
            ahead = state.loading + state.waiting_loads
            load += state.load_time * (ahead // MAX_CONCURRENT_LOADS)
            cost += LOAD_SPREAD_COST * state.load_rank
            shortage = max(0, SCARCE_PLACES - state.free_places) / SCARCE_PLACES
            cost += NO_PLACE_COST * shortage * shortage
    delay = state.delay
    prefill = delay * (state.waiting_tokens + prompt_tokens) / PREFILL_RATE
    wait = max(load + delay * prompt_tokens / PREFILL_RATE, prefill)
    # Running requests slow down each step while prompts are processed in chunks.
    wait += delay * STEP_TIME_PER_REQUEST * state.running
    # Requests that exceed the batch wait until others end.
    wait += delay * TYPICAL_RUN_TIME * batch_excess(state.running, state.batch)
    cost += SLOWNESS_COST * (state.slowness - 1.0)
    if not state.same_zone:
        wait += CROSS_ZONE_COST
    if state.kv_total and state.kv_tokens + prompt_tokens > KV_CACHE_FULL * state.kv_total:
        wait += KV_CACHE_FULL_COST
    wait += cost + FAILURE_COST * state.failing
    if state.pace > 1.0:
        wait += LATE_STREAM_COST * _late_streams(state, prompt_tokens)
    return wait


def _is_crowded(state: EngineState, prompt_tokens: int) -> bool:
    """Tells whether another prompt sent now would make streams pause for too long."""
    if state.running == 0:
        return False
    if stall_ratio(state, 0) > CROWDED_STALL_RATIO:
        return True
    if state.pace <= 1.0:
        return False
    # An engine that one prompt alone makes pause is not better later.
    alone = _late_share(state, prompt_tokens)
    with_recent = _late_share(state, state.recent_tokens + prompt_tokens)
    return with_recent - alone > CROWDED_LATE_SHARE


def _late_streams(state: EngineState, prompt_tokens: int) -> float:
    """Returns how many streams a slow engine's pauses are expected to make late, if one more runs.

    Prompts that other instances send at the same time are not known yet. They are expected at the
    rate at which the running requests must have come.
    """
    if state.pace <= 1.0 or not state.largest_pause:
        return 0.0
    window = state.pace * EVENT_TIME
    meets = 1.0 - math.exp(-state.running / TYPICAL_RUN_TIME * window)
    tokens = state.recent_tokens + prompt_tokens
    late = _late_share(state, tokens)
    late_if_met = _late_share(state, tokens + TYPICAL_PROMPT)
    others = state.running * (late + meets * (late_if_met - late))
    # Further prompts come while the request's own stream runs: about as many as requests run now.
    per_prompt = _late_share(state, TYPICAL_PROMPT)
    per_prompt += meets * (_late_share(state, 2 * TYPICAL_PROMPT) - per_prompt)
    own = 1.0 - (1.0 - min(1.0, per_prompt)) ** state.running
    return others + own


def _late_share(state: EngineState, tokens: float) -> float:
    """Returns the share of a slow engine's streams that a pause for so many tokens makes late."""
    if state.pace <= 1.0 or not state.largest_pause:
        return 0.0
    usual = min(EVENT_TIME + tokens / PREFILL_RATE, USUAL_PAUSE_SHARE * state.largest_pause)
    share = state.pace * usual / state.largest_pause
    ramp = (share - SAFE_PAUSE_SHARE) / (LATE_PAUSE_SHARE - SAFE_PAUSE_SHARE)
    return min(1.0, max(0.0, ramp))


def batch_excess(running: int, batch: int) -> float:
    """Returns how far one more request would exceed an engine's batch, in multiples of it."""
    return max(0, running + 1 - batch) / max(1, batch)


def expected_first_token(
    waiting_tokens: float, prompt_tokens: int, running: int, batch: int
) -> float:
    """Returns the expected seconds until a request's first token at an engine of usual speed.

    Args:
        waiting_tokens: Prompt tokens that are processed before its own.
        prompt_tokens: Length of its prompt.
        running: Requests at the engine.
        batch: Requests that it can run at the same time.
    """
    prefill = (waiting_tokens + prompt_tokens) / PREFILL_RATE
    return (
        prefill + STEP_TIME_PER_REQUEST * running + TYPICAL_RUN_TIME * batch_excess(running, batch)
    )


def stall_ratio(state: EngineState, prompt_tokens: int) -> float:
    """Returns the prefill time of the recent prompts and this one, per longest allowed pause."""
    if not state.largest_pause:
        return 0.0
    seconds = state.pace * (state.recent_tokens + prompt_tokens) / PREFILL_RATE
    return seconds / state.largest_pause


def _stall_cost(state: EngineState, prompt_tokens: int) -> float:
    """Returns the cost of the pauses that a prompt adds to the running streams."""
    ratio = stall_ratio(state, prompt_tokens)
    return STALL_COST * state.running * min(MAX_STALL_FACTOR, ratio * ratio)
