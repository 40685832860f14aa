"""Other ways to keep a quota over all instances, to compare with the one that is in use.

A fixed share for each instance; sums that all tell each other with their heartbeats; and a banker
for each zone like the one in use, but with a token bucket where that has an account of the last
window.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from wigeonarch_core.quota_ledger import (
    AcquireResult,
    LoanRequest,
    QuotaBounds,
    QuotaLedger,
    QuotaShare,
)
from wigeonarch_core.teams import Quota

from wigeonarch_fakes.quota_world import BOUNDS, Instance, World


class Spent:
    """What one instance gave within the last window."""

    __slots__ = ("_given", "total")

    def __init__(self) -> None:
        """Nothing was given."""
        self._given: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, cost: float, now: float) -> None:
        """Notes units that were given."""
        self._given.append((now, cost))
        self.total += cost

    def forget(self, now: float) -> None:
        """Forgets what is older than the window."""
        while self._given and self._given[0][0] <= now - BOUNDS.window:
            self.total -= self._given.popleft()[1]


class EqualShares:
    """Each instance gives a fixed part of the quota, and asks nobody."""

    def __init__(self) -> None:
        """Nothing was given."""
        self._spent: dict[str, Spent] = {}

    def take(self, world: World, asker: Instance, cost: float) -> bool:
        """Gives while the own part of the window has room."""
        spent = self._spent.setdefault(asker.name, Spent())
        spent.forget(world.now)
        if spent.total + cost > BOUNDS.bound(world.quota) / len(world.instances):
            return False
        spent.add(cost, world.now)
        return True

    def beat(self, world: World) -> None:
        """Heartbeats carry nothing."""

    def restarted(self, one: Instance) -> None:
        """What a new process gives is bounded by its part, whatever the former one gave."""
        self._spent.pop(one.name, None)


class ToldSums:
    """Each instance gives by what all told with their last heartbeats, and what it gave itself."""

    def __init__(self) -> None:
        """Nothing was given or told."""
        self._spent: dict[str, Spent] = {}
        self._heard: dict[str, dict[str, float]] = {}

    def take(self, world: World, asker: Instance, cost: float) -> bool:
        """Gives while the sum that is known leaves room."""
        spent = self._spent.setdefault(asker.name, Spent())
        spent.forget(world.now)
        others = sum(self._heard.get(asker.name, {}).values())
        if spent.total + others + cost > BOUNDS.bound(world.quota):
            return False
        spent.add(cost, world.now)
        return True

    def beat(self, world: World) -> None:
        """Tells all instances in reach what each gave within the last window."""
        for one in world.instances:
            spent = self._spent.setdefault(one.name, Spent())
            spent.forget(world.now)
            for other in world.instances:
                if other is not one and world.reach(one, other):
                    self._heard.setdefault(other.name, {})[one.name] = spent.total

    def restarted(self, one: Instance) -> None:
        """The new process knows nothing of what was given."""
        self._spent.pop(one.name, None)
        self._heard.pop(one.name, None)


class BucketBank(QuotaLedger):
    """A banker's token bucket, which is empty at the start and lends nothing."""

    def __init__(self, bounds: QuotaBounds, now: float, first_loan_request: int = 0) -> None:
        """Begins without credit."""
        super().__init__(bounds, now, first_loan_request)
        self._level = 0.0
        self._at = now

    def update(self, parts: Mapping[str, tuple[Quota, QuotaShare]], now: float) -> None:
        """Fills the bucket."""
        for quota, part in parts.values():
            self._fill(quota, part, now)

    def acquire(
        self, team: str, quota: Quota, part: QuotaShare, cost: float, now: float
    ) -> AcquireResult:
        """Grants what the bucket holds, where this instance is the banker."""
        self._fill(quota, part, now)
        if not part.is_coordinator or cost > self._level:
            return AcquireResult(False)
        self._level -= cost
        return AcquireResult(True)

    def request_loan(
        self, team: str, quota: Quota, part: QuotaShare, now: float
    ) -> LoanRequest | None:
        """Asks other zones for nothing."""
        return None

    def _fill(self, quota: Quota, part: QuotaShare, now: float) -> None:
        added = quota.rate * part.share * (now - self._at)
        self._level = min(quota.burst * part.share, self._level + added)
        self._at = now
