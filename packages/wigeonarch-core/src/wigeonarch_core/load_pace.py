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
COLD_MOST: Final = 5.0  # Greatest seconds of one load that are believed.
# Loads at once at full speed, to begin with; 8 and 48 are known.
AT_ONCE: Final = 8.0
AT_ONCE_MOST: Final = 512.0
# Steps of the number, by which it reaches 48 from 8 in 13 loads in time, and stays near the truth
# when half of the loads tried beyond it are late.
MORE: Final = 1.15
FEWER: Final = 0.93
# Loads beyond this part of the number say something of it; others of the time of one load.
NEAR: Final = 0.6
# Below this number lateness is put down to the time of one load, however many are under way.
AT_ONCE_LEAST: Final = 2.0
# Steps of the time of one load: 0.4 s is reached from 0.25 by five late loads, and one of ten is
# late where they balance.
SLOWER: Final = 1.12
FASTER: Final = 0.988


class LoadPace:
    """What one instance has learned.

    Attributes:
        at_once: Loads at full speed, as believed.
        base: Seconds of one load at full speed.
    """

    __slots__ = ("at_once", "base")

    def __init__(self) -> None:
        """Begins with the least that is known."""
        self.at_once = AT_ONCE
        self.base = COLD_LOAD

    def expected(self, warm: bool, under_way: int) -> float:
        """Returns the expected seconds of a load.

        Args:
            warm: Whether the engine held the adapter recently.
            under_way: Other loads on their way, over all engines.
        """
        if warm:
            return WARM_LOAD / COLD_LOAD * self.base
        return self.base * max(1.0, (under_way + 1) / self.at_once)

    def in_time(self, under_way: int) -> None:
        """Notes that a fetched copy was there when it was expected."""
        if under_way + 1 > self.at_once:
            self.at_once = min(AT_ONCE_MOST, self.at_once * MORE)
        else:
            self.base = max(COLD_LOAD, self.base * FASTER)

    def late(self, under_way: int) -> None:
        """Notes that a fetched copy was not there when it was expected."""
        if under_way + 1 > self.at_once * NEAR and self.at_once > AT_ONCE_LEAST:
            self.at_once *= FEWER
        else:
            self.base = min(COLD_MOST, self.base * SLOWER)
