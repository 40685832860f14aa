"""How long a load of an adapter takes, learned from loads: no deployment says how much is at once.

The store of adapters serves a number of loads at full speed, over all engines; beyond it each takes
longer in proportion. That number and the time of one load differ between deployments, and requests
wait for a load until it should have ended. An estimate that is too long holds them back in vain;
one that is too short sends a request that the engine refuses without running it, and again some 30
ms later. So the estimate is lowered for as long as loads are there in time, and raised when one is
late. It is safe to be wrong: it moves the moment of asking only.
"""

from __future__ import annotations

from typing import Final

# A load of an adapter that an engine held recently, and of one that must be fetched, in seconds.
# The second is the least that is known of a deployment (0.25 and 0.29 are); the first a tenth.
WARM_LOAD: Final = 0.025
COLD_LOAD: Final = 0.25
# Loads at once at full speed, to begin with; 8 and 48 are known.
AT_ONCE: Final = 8.0
AT_ONCE_MOST: Final = 512.0
# Steps of the number, by which it reaches 48 from 8 in 13 loads in time, and stays near the truth
# when half of the loads tried beyond it are late.
MORE: Final = 1.15
FEWER: Final = 0.93
# Loads beyond this part of the number say something of it; others of the time of one load.
NEAR: Final = 0.6
SLOWER: Final = 1.02
FASTER: Final = 0.995
SLOWEST: Final = 2.0  # Times the time of one load, at most.


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
        return WARM_LOAD if warm else self.base * max(1.0, (under_way + 1) / self.at_once)

    def in_time(self, under_way: int) -> None:
        """Notes that a fetched copy was there when it was expected."""
        if under_way + 1 > self.at_once:
            self.at_once = min(AT_ONCE_MOST, self.at_once * MORE)
        else:
            self.base = max(COLD_LOAD, self.base * FASTER)

    def late(self, under_way: int) -> None:
        """Notes that a fetched copy was not there when it was expected."""
        if under_way + 1 > self.at_once * NEAR:
            self.at_once = max(1.0, self.at_once * FEWER)
        else:
            self.base = min(COLD_LOAD * SLOWEST, self.base * SLOWER)
