"""Which endpoint of a plain service should take a request: the one that will answer soonest.

The expected time grows with the requests under way per slot. An endpoint that answers a larger part
of its requests with failures than others is chosen only when they are busier.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

# What a way to another availability zone is worth, in requests under way per slot: the endpoint of
# the own zone is taken until a third of its slots is busier than elsewhere.
ZONE_COST: Final = 0.35
# A failing share of 1 is as bad as so many requests waiting per slot.
FAILURE_COST: Final = 4.0


@dataclass(frozen=True, slots=True)
class ServiceState:
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


def choose_plain(states: Iterable[ServiceState]) -> str | None:
    """Returns the id of the best endpoint, or None when there is none."""
    best = min(states, key=_cost, default=None)
    return best.endpoint if best else None


def _cost(state: ServiceState) -> tuple[float, str]:
    waiting = (state.running + 1) / max(1, state.slots)
    zone = 0.0 if state.same_zone else ZONE_COST
    return waiting + zone + FAILURE_COST * state.failing, state.endpoint
