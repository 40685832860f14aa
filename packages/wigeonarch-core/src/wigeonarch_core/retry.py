"""Bounds on retries: a budget per service and pauses with full jitter.

Retries multiply load exactly when endpoints are weak. The budget lets a service spend only a share
of its fresh requests on retries, plus a small reserve so that a quiet service can retry at all.

Example: with a share of 0.2 and a reserve of 10, a hundred fresh requests earn twenty retries; the
balance never exceeds the reserve, so an hour without failures does not save up a storm.
"""

from __future__ import annotations

from random import Random
from typing import Final

RESERVE: Final = 10.0
MIN_PAUSE: Final = 0.02
MAX_PAUSE: Final = 1.0


class RetryBudget:
    """Balance of retries, per service."""

    __slots__ = ("_balances", "_reserve", "_share")

    def __init__(self, share: float, reserve: float = RESERVE) -> None:
        """Makes a budget that earns `share` of a retry for each fresh request."""
        self._share = share
        self._reserve = reserve
        self._balances: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Notes a fresh request."""
        balance = self._balances.get(service, self._reserve)
        self._balances[service] = min(self._reserve, balance + self._share)

    def try_spend(self, service: str) -> bool:
        """Takes one retry from the balance; False when there is none left."""
        balance = self._balances.get(service, self._reserve)
        if balance < 1.0:
            return False
        self._balances[service] = balance - 1.0
        return True


def full_jitter(attempt: int, first_bound: float, max_bound: float, rng: Random) -> float:
    """Returns a pause in seconds, uniform between 0 and a bound that doubles with each attempt.

    Args:
        attempt: 0 for the first pause.
        least: Bound of the first pause, in seconds.
        most: Bound that is never exceeded, in seconds.
        rng: Source of random numbers.
    """
    return rng.uniform(0.0, min(max_bound, first_bound * 2.0**attempt))
