"""Which endpoint of a plain service should take a request.

What other instances have under way is known with a lag in which an endpoint serves several requests
a slot. Where all send to the endpoint that seems least busy, it is overrun until the next news, and
then the next one: with two endpoints and a load of 0.85, a quarter of the requests come late or are
refused. So what is told is taken for what it is, old: a request goes to an endpoint with the chance
by which all requests of the lag together would level the endpoints out. That is nearly even where
the lag is long, and the least busy one where it is short.

An endpoint of the own availability zone takes what it can before others are asked. One that answers
a larger part of its requests with failures than others counts as busier.

Source: M. Dahlin, Interpreting stale load information, IEEE TPDS 11(10), 2000 (basic load
interpretation).
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

# What a way to another availability zone is worth, in requests under way per slot.
CROSS_ZONE_COST: Final = 0.35
# A failing share of 1 is as bad as so many requests waiting per slot.
FAILURE_COST: Final = 4.0
# Requests per slot up to which an endpoint of the own zone takes all that come here.
LOCAL_LOAD_LIMIT: Final = 0.85
# Requests that arrive in the lag, in times those under way, where their time is not known.
DEFAULT_ARRIVALS: Final = 1.0


class ServiceState(msgspec.Struct, frozen=True):
    """What an instance believes of one endpoint of a plain service.

    Attributes:
        endpoint: Its id.
        same_zone: Whether it is in the instance's availability zone.
        slots: Requests that it runs at once.
        running: Requests sent to it that have not ended.
        failing: Recent share of failures, from 0 to 1.
    """

    endpoint: str
    same_zone: bool
    slots: int
    running: int
    failing: float


def choose_endpoint(
    states: Iterable[ServiceState],
    lag: float = 0.0,
    service_time: float | None = None,
    draw: float | None = None,
) -> str | None:
    """Returns the id of an endpoint, or None when there is none.

    Args:
        states: Endpoints that may be used.
        lag: Age of what other instances told, in seconds.
        usual: Seconds that a request takes; None if unknown.
        draw: Uniform in [0, 1); drawn if not given.
    """
    found = sorted(states, key=lambda state: (_load_level(state), state.endpoint))
    if not found:
        return None
    near = next((state for state in found if state.same_zone), None)
    if near is not None and _load_level(near) + 1 / max(1, near.slots) <= LOCAL_LOAD_LIMIT:
        return near.endpoint
    underway = sum(state.running for state in found)
    arrivals = underway * (lag / service_time if service_time else DEFAULT_ARRIVALS if lag else 0.0)
    parts = _levelling_arrivals(found, max(1.0, arrivals))
    mark = (random.random() if draw is None else draw) * sum(parts)
    for state, part in zip(found, parts, strict=True):
        mark -= part
        if mark < 0.0:
            return state.endpoint
    return found[0].endpoint


def _load_level(state: ServiceState) -> float:
    """Returns how busy an endpoint counts, in requests per slot."""
    zone = 0.0 if state.same_zone else CROSS_ZONE_COST
    return state.running / max(1, state.slots) + zone + FAILURE_COST * state.failing


def _levelling_arrivals(states: Sequence[ServiceState], arrivals: float) -> list[float]:
    """Returns the part of the arrivals for each endpoint that levels them out, least busy first."""
    slots = [max(1, state.slots) for state in states]
    levels = [_load_level(state) for state in states]
    filled = total = 0.0
    level = levels[0]
    for place, (size, own) in enumerate(zip(slots, levels, strict=True)):
        filled += size * own
        total += size
        level = (arrivals + filled) / total
        if place + 1 == len(states) or level <= levels[place + 1]:
            break
    return [max(0.0, level - own) * size for size, own in zip(slots, levels, strict=True)]
