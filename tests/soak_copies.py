"""Soak faults of endpoints that refuse requests now and then, and send each refusal again late.

The checks are those of the soak itself: what may run once runs once, and not after a promise.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from standins.replica import LateCopies, Replica

MAX_REJECTIONS = 3  # Requests in a row that an endpoint rejects.
CUT_SIZE = 30  # Bytes of a copy that breaks off within its head.


@dataclass
class RefusalCopies:
    """Makes endpoints reject requests and repeat their rejections.

    Attributes:
        rng: Random source of this class alone, so that its draws don't change the other ones.
        spells: Number of series of rejections.
    """

    rng: random.Random
    spells: int = 0

    async def vary(self, replicas: Sequence[Replica], seconds: float) -> None:
        """Makes one endpoint after the other reject its next requests, for the given time."""
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            replica = self.rng.choice(replicas)
            replica.late_copies = self._draw_copies()
            replica.rejects_next = self.rng.randint(1, MAX_REJECTIONS)
            self.spells += 1
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    def _draw_copies(self) -> LateCopies:
        delay = self.rng.choice([None, self.rng.uniform(0.0, 0.3), self.rng.uniform(0.0, 2.0)])
        size = self.rng.choice([None, None, None, CUT_SIZE])
        return LateCopies(self.rng.randint(1, 2), delay, size, self.rng.random() < 0.8)
