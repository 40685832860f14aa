"""How long a load of an adapter takes, learned from loads: no deployment says how much is at once.

The store of adapters serves a number of loads at full speed, over all engines; beyond it each takes
longer in proportion. That number and the time of one load differ between deployments, and requests
wait for a load until it should have ended. An estimate that is too long holds them back in vain;
one that is too short sends a request that the engine refuses without running it: each such send
spends the allowance of repeats that all instances share, and an order beyond those that an engine
carries out at once is refused, too. So the estimate is lowered for as long as loads are there in
time, and raised more when one is late. It is safe to be wrong: it moves the moment of asking only.
"""

from __future__ import annotations

from typing import Final

# A load of an adapter that an engine held recently, and of one that must be fetched, in seconds.
# The second is the least that is known of a deployment; the first a tenth. Less is not believed:
# trying for less sends requests in vain, and fetches adapters for second engines.
WARM_LOAD: Final = 0.025
COLD_LOAD: Final = 0.25
MAX_COLD_LOAD: Final = 5.0  # Greatest seconds of one load that are believed.
# Loads at once at full speed, to begin with; 8 and 48 are known.
INITIAL_CONCURRENCY: Final = 8.0
MAX_CONCURRENCY: Final = 512.0
# Steps of the number, by which it reaches 48 from 8 in 13 loads in time, and stays near the truth
# when half of the loads tried beyond it are late.
CONCURRENCY_INCREASE: Final = 1.15
CONCURRENCY_DECREASE: Final = 0.93
# Loads beyond this part of the number say something of it; others of the time of one load.
SATURATION_SHARE: Final = 0.6
# Below this number lateness is put down to the time of one load, however many are under way.
MIN_CONCURRENCY: Final = 2.0
# Steps of the time of one load: 0.4 s is reached from 0.25 by five late loads, and one of ten is
# late where they balance.
LOAD_TIME_INCREASE: Final = 1.12
LOAD_TIME_DECREASE: Final = 0.988


class LoadTimeEstimate:
    """What one instance has learned.

    Attributes:
        at_once: Loads at full speed, as believed.
        base: Seconds of one load at full speed.
    """

    __slots__ = ("base_seconds", "concurrency")

    def __init__(self) -> None:
        """Begins with the least that is known."""
        self.concurrency = INITIAL_CONCURRENCY
        self.base_seconds = COLD_LOAD

    def expected_seconds(self, warm: bool, other_loads: int) -> float:
        """Returns the expected seconds of a load.

        Args:
            warm: Whether the engine held the adapter recently.
            under_way: Other loads on their way, over all engines.
        """
        if warm:
            return WARM_LOAD / COLD_LOAD * self.base_seconds
        return self.base_seconds * max(1.0, (other_loads + 1) / self.concurrency)

    def record_on_time(self, other_loads: int) -> None:
        """Notes that a fetched copy was there when it was expected."""
        if other_loads + 1 > self.concurrency:
            self.concurrency = min(MAX_CONCURRENCY, self.concurrency * CONCURRENCY_INCREASE)
        else:
            self.base_seconds = max(COLD_LOAD, self.base_seconds * LOAD_TIME_DECREASE)

    def record_late(self, other_loads: int) -> None:
        """Notes that a fetched copy was not there when it was expected."""
        if (
            other_loads + 1 > self.concurrency * SATURATION_SHARE
            and self.concurrency > MIN_CONCURRENCY
        ):
            self.concurrency *= CONCURRENCY_DECREASE
        else:
            self.base_seconds = min(MAX_COLD_LOAD, self.base_seconds * LOAD_TIME_INCREASE)
