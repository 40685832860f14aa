"""Limits on retries: a budget per service, and pauses with full jitter.

Retries multiply the load exactly when endpoints are weak. The budget lets a service spend only a
share of its fresh requests on retries, plus a small reserve so that a service with few requests can
retry at all.

Example: with a share of 0.2, a hundred fresh requests earn twenty retries. The balance never
exceeds the reserve, for example 10, so an hour without failures does not save up a retry storm.
"""

from __future__ import annotations

from random import Random
from typing import Final

RESERVE: Final = 10.0  # Retries.
MIN_PAUSE: Final = 0.02  # Seconds.
MAX_PAUSE: Final = 1.0  # Seconds.
MAX_DOUBLINGS: Final = 60  # Of a pause; a float overflows at 1,024.


class RetryBudget:
    """Balance of allowed retries, per service."""

    __slots__ = ("_balances", "_reserve", "_share")

    def __init__(self, share: float, reserve: float = RESERVE) -> None:
        """Starts with the full reserve for each service.

        Args:
            share: Part of a retry that each fresh request earns.
            reserve: Greatest balance of a service, in retries.
        """
        self._share = share
        self._reserve = reserve
        self._balances: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Notes a fresh request, which earns a part of a retry."""
        balance = self._balances.get(service, self._reserve)
        self._balances[service] = min(self._reserve, balance + self._share)

    def try_spend(self, service: str) -> bool:
        """Takes one retry from the balance; returns False if none is left."""
        balance = self._balances.get(service, self._reserve)
        if balance < 1.0:
            return False
        self._balances[service] = balance - 1.0
        return True


def doubled(first: float, times: int, most: float) -> float:
    """Returns a pause that doubles up to a bound, however often it did.

    Args:
        first: The first pause, in seconds.
        times: Number of pauses before this one.
        most: The longest pause, in seconds.
    """
    return min(most, first * 2.0 ** min(times, MAX_DOUBLINGS))


def full_jitter(attempt: int, first_bound: float, max_bound: float, rng: Random) -> float:
    """Returns a pause in seconds, uniform between 0 and a bound that doubles with each attempt.

    Args:
        attempt: Number of the pause; 0 for the first.
        first_bound: Bound of the first pause, in seconds.
        max_bound: Greatest bound, in seconds.
        rng: Source of random numbers.
    """
    return rng.uniform(0.0, doubled(first_bound, attempt, max_bound))
