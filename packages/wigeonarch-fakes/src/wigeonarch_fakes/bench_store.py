"""Virtual time and a model of the weight store for the policy benchmark.

Virtual time is event driven, with a heap of timed callbacks. The store divides its bandwidth among
the transfers under way and limits the rate at which transfers start.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

MS: Final = 0.001
EPSILON: Final = 1e-9

Action = Callable[[], None]
EndCallback = Callable[[bool], None]


class Clock:
    """Virtual time and the scheduled events.

    Attributes:
        now: The time in seconds.
    """

    __slots__ = ("_events", "_sequence", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._sequence = 0

    def at(self, time: float, action: Action) -> None:
        """Schedules an action; those for the same time run in the order of scheduling."""
        self._sequence += 1
        heapq.heappush(self._events, (max(time, self.now), self._sequence, action))

    def after(self, delay: float, action: Action) -> None:
        """Runs an action after some seconds."""
        self.at(self.now + delay, action)

    def run(self, until: float) -> None:
        """Runs all events up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until


@dataclass(slots=True, eq=False)
class _Transfer:
    remaining: float
    on_ended: EndCallback
    fails_at_remaining: float


class Store:
    """The weight store: transfers share its bandwidth, and the rate of starts is limited.

    Attributes:
        speed: Fraction of its full speed at which it runs.
        fail_share: Fraction of the loads that fail partway.
        transfers_started: Number of transfers started.
    """

    __slots__ = (
        "_advanced_at",
        "_clock",
        "_epoch",
        "_next_start",
        "_rate",
        "_rng",
        "_transfers",
        "fail_share",
        "speed",
        "transfers_started",
    )

    def __init__(self, clock: Clock, rate: float, rng: random.Random) -> None:
        self._clock = clock
        self._rate = rate
        self._rng = rng
        self._transfers: list[_Transfer] = []
        self._next_start = 0.0
        self._advanced_at = 0.0
        self._epoch = 0
        self.speed = 1.0
        self.fail_share = 0.0
        self.transfers_started = 0

    def start(self, on_ended: EndCallback) -> None:
        """Starts a transfer as soon as the rate limit allows."""
        when = max(self._clock.now, self._next_start)
        self._next_start = when + 1.0 / self._rate
        self._clock.at(when, lambda: self._begin(on_ended))

    def set_speed(self, speed: float) -> None:
        """Changes the speed, including that of transfers under way."""
        self._advance()
        self.speed = speed
        self._schedule()

    def _begin(self, on_ended: EndCallback) -> None:
        self._advance()
        self.transfers_started += 1
        fails = self._rng.random() < self.fail_share
        fails_at = self._rng.random() if fails else 0.0
        self._transfers.append(_Transfer(1.0, on_ended, fails_at))
        self._schedule()

    def _advance(self) -> None:
        passed = self._clock.now - self._advanced_at
        self._advanced_at = self._clock.now
        if not self._transfers:
            return
        done = passed * self._rate * self.speed / len(self._transfers)
        for transfer in self._transfers:
            transfer.remaining -= done

    def _schedule(self) -> None:
        self._epoch += 1
        if not self._transfers:
            return
        least = min(each.remaining - each.fails_at_remaining for each in self._transfers)
        delay = max(0.0, least) * len(self._transfers) / (self._rate * self.speed)
        epoch = self._epoch
        self._clock.after(delay, lambda: self._finish(epoch))

    def _finish(self, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._advance()
        done = [
            each for each in self._transfers if each.remaining - each.fails_at_remaining <= EPSILON
        ]
        self._transfers = [each for each in self._transfers if each not in done]
        self._schedule()
        for transfer in done:
            transfer.on_ended(transfer.fails_at_remaining == 0.0)
