"""Choice of the endpoint of a plain service for a request.

An instance learns of the other instances' requests with a lag, in which an endpoint serves several
requests per slot. If all instances sent to the endpoint that seems least busy, it would be overrun
until the next update, and then the next one: with two endpoints and a load of 0.85, a quarter of
the requests are late or refused. So old information is treated as old: an endpoint is chosen with
the probability by which all requests that arrive during the lag together would level the load of
the endpoints. That is nearly uniform for a long lag, and means the least busy endpoint for a short
one.

What is levelled is the expected time of a request, in multiples of the usual service time: the
requests before it and its own, each as long as the pace of the endpoint says. So an endpoint of
which the requests take four times as long gets some only when the queues elsewhere are as long.

An endpoint in the instance's own availability zone gets requests up to a limit before others do. An
endpoint with a higher share of failures counts as busier.

Source: M. Dahlin, Interpreting stale load information, IEEE TPDS 11(10), 2000 (basic load
interpretation).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec
from msgspec.structs import replace

from wigeonarch_core.endpoint_pace import settled

# Cost of sending a request to another availability zone, in usual service times.
CROSS_ZONE_COST: Final = 0.35
# Cost of a failure share of 1, in usual service times.
FAILURE_COST: Final = 4.0
# Requests per slot up to which an endpoint of the own zone gets all requests of this instance.
LOCAL_LOAD_LIMIT: Final = 0.85
# Factor up to which an endpoint's pace counts as usual. Endpoints that are slow for less than a
# second look so for longer, and their queues alone send requests elsewhere.
PACE_NOISE: Final = 1.8
# Arrivals during the lag per running request, while the service time is unknown.
DEFAULT_ARRIVALS: Final = 1.0


class ServiceState(msgspec.Struct, frozen=True):
    """What an instance knows of one endpoint of a plain service.

    Attributes:
        endpoint: Id of the endpoint.
        same_zone: Whether it is in the instance's availability zone.
        slots: Requests that it can run at the same time.
        running: Requests sent to it that have not ended.
        failing: Recent share of failures, from 0 to 1.
        pace: How many times as long as usual a request takes there.
    """

    endpoint: str
    same_zone: bool
    slots: int
    running: int
    failing: float
    pace: float = 1.0


def choose_endpoint(
    states: Iterable[ServiceState],
    lag: float = 0.0,
    service_time: float | None = None,
    draw: float | None = None,
) -> str | None:
    """Returns the id of an endpoint, or None when there is none.

    Args:
        states: Endpoints that may be used.
        lag: Age of the information from other instances, in seconds.
        service_time: Seconds that a request takes; None if unknown.
        draw: Uniform in [0, 1); drawn if not given.
    """
    found = sorted(_settle(states), key=lambda state: (_load_level(state), state.endpoint))
    if not found:
        return None
    near = next((state for state in found if state.same_zone), None)
    if near is not None and _is_light(near):
        return near.endpoint
    in_progress = sum(state.running for state in found)
    arrivals = in_progress * (
        lag / service_time if service_time else DEFAULT_ARRIVALS if lag else 0.0
    )
    parts = _levelling_arrivals(found, max(1.0, arrivals))
    point = (random.random() if draw is None else draw) * sum(parts)
    for state, part in zip(found, parts, strict=True):
        point -= part
        if point < 0.0:
            return state.endpoint
    return found[0].endpoint


def _settle(states: Iterable[ServiceState]) -> list[ServiceState]:
    """Returns the states with the paces that count for the choice."""
    states = list(states)
    paces = settled([state.pace for state in states], PACE_NOISE)
    return [
        state if state.pace == pace else replace(state, pace=pace)
        for state, pace in zip(states, paces, strict=True)
    ]


def _is_light(state: ServiceState) -> bool:
    """Tells whether an endpoint of the own zone is to get a request without regard to others."""
    load = max(_load_level(state), state.running / max(1, state.slots))
    return load + 1 / max(1, state.slots) <= LOCAL_LOAD_LIMIT


def _load_level(state: ServiceState) -> float:
    """Returns by how much a request's expected time exceeds the usual service time.

    It is in multiples of the usual service time, and includes zone and failure costs. At the usual
    pace it is the number of running requests per slot.
    """
    zone = 0.0 if state.same_zone else CROSS_ZONE_COST
    own = state.pace - 1.0
    queue = state.pace * state.running / max(1, state.slots)
    return queue + zone + FAILURE_COST * state.failing + own


def _levelling_arrivals(states: Sequence[ServiceState], arrivals: float) -> list[float]:
    """Returns how many of the arrivals each endpoint should get; `states` is in order of load."""
    slots = [max(1, state.slots) / state.pace for state in states]
    levels = [_load_level(state) for state in states]
    filled = total = 0.0
    level = levels[0]
    for index, (size, own) in enumerate(zip(slots, levels, strict=True)):
        filled += size * own
        total += size
        level = (arrivals + filled) / total
        if index + 1 == len(states) or level <= levels[index + 1]:
            break
    return [max(0.0, level - own) * size for size, own in zip(slots, levels, strict=True)]
