"""Estimate of how long the load of an adapter takes, learned from observed loads.

The weight store serves a number of loads at full speed, counted over all engines; beyond it, each
load takes proportionally longer. No deployment states that number or the time of one load, and both
differ between deployments. Requests wait for a load until it is expected to end. An estimate that
is too long delays them needlessly. One that is too short sends a request that the engine refuses
without running it; each such send spends the retry allowance that all instances share, and a load
order beyond those that an engine executes at once is refused, too. So the estimate is lowered as
long as loads are on time, and raised by a larger step when one is late. An error is harmless, as
the estimate only affects when a request is sent.
"""

from __future__ import annotations

from typing import Final

# Seconds of a load of an adapter that the engine held recently (warm), and of one from the weight
# store (cold). The cold time is the lowest of any known deployment, the warm one a tenth of it. The
# estimate does not go below them: trying for less sends requests in vain, and makes other engines
# load the adapter as well.
WARM_LOAD: Final = 0.025
COLD_LOAD: Final = 0.25
MAX_COLD_LOAD: Final = 5.0  # Upper bound of the estimate, in seconds.
# Initial number of loads that run at full speed at the same time; deployments with 8 and with 48
# are known.
INITIAL_CONCURRENCY: Final = 8.0
MAX_CONCURRENCY: Final = 512.0
# Factors of the concurrency. With them it gets from 8 to 48 in 13 loads that are on time, and stays
# near the true value when half of the loads tried beyond it are late.
CONCURRENCY_INCREASE: Final = 1.15
CONCURRENCY_DECREASE: Final = 0.93
# A late load is evidence about the concurrency if more than this share of it was in use, otherwise
# about the time of one load.
SATURATION_SHARE: Final = 0.6
# At this concurrency or below, a late load is always evidence about the time of one load.
MIN_CONCURRENCY: Final = 2.0
# Factors of the time of one load. With them it gets from 0.25 s to 0.4 s in five late loads, and
# one load in ten is late at equilibrium.
LOAD_TIME_INCREASE: Final = 1.12
LOAD_TIME_DECREASE: Final = 0.988


class LoadTimeEstimate:
    """What one instance has learned about load times.

    Attributes:
        concurrency: Number of loads that run at full speed at the same time.
        base_seconds: Seconds of one load at full speed.
    """

    __slots__ = ("base_seconds", "concurrency")

    def __init__(self) -> None:
        """Starts with the lowest values seen in any deployment."""
        self.concurrency = INITIAL_CONCURRENCY
        self.base_seconds = COLD_LOAD

    def expected_seconds(self, warm: bool, other_loads: int) -> float:
        """Returns the expected seconds of a load.

        Args:
            warm: Whether the engine held the adapter recently.
            other_loads: Other loads in progress, over all engines.
        """
        if warm:
            return WARM_LOAD / COLD_LOAD * self.base_seconds
        return self.base_seconds * max(1.0, (other_loads + 1) / self.concurrency)

    def record_on_time(self, other_loads: int) -> None:
        """Notes that a copy from the weight store was usable when expected."""
        if other_loads + 1 > self.concurrency:
            self.concurrency = min(MAX_CONCURRENCY, self.concurrency * CONCURRENCY_INCREASE)
        else:
            self.base_seconds = max(COLD_LOAD, self.base_seconds * LOAD_TIME_DECREASE)

    def record_late(self, other_loads: int) -> None:
        """Notes that a copy from the weight store was not usable when expected."""
        if (
            other_loads + 1 > self.concurrency * SATURATION_SHARE
            and self.concurrency > MIN_CONCURRENCY
        ):
            self.concurrency *= CONCURRENCY_DECREASE
        else:
            self.base_seconds = min(MAX_COLD_LOAD, self.base_seconds * LOAD_TIME_INCREASE)
