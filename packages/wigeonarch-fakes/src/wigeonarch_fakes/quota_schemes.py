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


class WindowUsage:
    """What one instance gave within the last window."""

    __slots__ = ("_grants", "total")

    def __init__(self) -> None:
        """Nothing was given."""
        self._grants: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, cost: float, now: float) -> None:
        """Notes units that were given."""
        self._grants.append((now, cost))
        self.total += cost

    def expire(self, now: float) -> None:
        """Forgets what is older than the window."""
        while self._grants and self._grants[0][0] <= now - BOUNDS.window:
            self.total -= self._grants.popleft()[1]


class EqualShares:
    """Each instance gives a fixed part of the quota, and asks nobody."""

    def __init__(self) -> None:
        """Nothing was given."""
        self._usage: dict[str, WindowUsage] = {}

    def acquire(self, world: World, requester: Instance, cost: float) -> bool:
        """Gives while the own part of the window has room."""
        spent = self._usage.setdefault(requester.name, WindowUsage())
        spent.expire(world.now)
        if spent.total + cost > BOUNDS.bound(world.quota) / len(world.instances):
            return False
        spent.add(cost, world.now)
        return True

    def exchange_heartbeats(self, world: World) -> None:
        """Heartbeats carry nothing."""

    def on_restart(self, instance: Instance) -> None:
        """What a new process gives is bounded by its part, whatever the former one gave."""
        self._usage.pop(instance.name, None)


class HeartbeatSums:
    """Each instance gives by what all told with their last heartbeats, and what it gave itself."""

    def __init__(self) -> None:
        """Nothing was given or told."""
        self._usage: dict[str, WindowUsage] = {}
        self._reported_usage: dict[str, dict[str, float]] = {}

    def acquire(self, world: World, requester: Instance, cost: float) -> bool:
        """Gives while the sum that is known leaves room."""
        spent = self._usage.setdefault(requester.name, WindowUsage())
        spent.expire(world.now)
        others = sum(self._reported_usage.get(requester.name, {}).values())
        if spent.total + others + cost > BOUNDS.bound(world.quota):
            return False
        spent.add(cost, world.now)
        return True

    def exchange_heartbeats(self, world: World) -> None:
        """Tells all instances in reach what each gave within the last window."""
        for one in world.instances:
            spent = self._usage.setdefault(one.name, WindowUsage())
            spent.expire(world.now)
            for other in world.instances:
                if other is not one and world.can_reach(one, other):
                    self._reported_usage.setdefault(other.name, {})[one.name] = spent.total

    def on_restart(self, instance: Instance) -> None:
        """The new process knows nothing of what was given."""
        self._usage.pop(instance.name, None)
        self._reported_usage.pop(instance.name, None)


class TokenBucketLedger(QuotaLedger):
    """A banker's token bucket, which is empty at the start and lends nothing."""

    def __init__(self, bounds: QuotaBounds, now: float, first_loan_request: int = 0) -> None:
        """Begins without credit."""
        super().__init__(bounds, now, first_loan_request)
        self._level = 0.0
        self._filled_at = now

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
        added = quota.rate * part.share * (now - self._filled_at)
        self._level = min(quota.burst * part.share, self._level + added)
        self._filled_at = now
