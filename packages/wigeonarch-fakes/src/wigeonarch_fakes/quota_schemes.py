"""Alternative schemes that enforce a quota over all instances, for comparison.

`EqualShares` gives each instance a fixed share. `HeartbeatSums` lets instances exchange their usage
in heartbeats. `TokenBucketLedger` is used by quota coordinators, as in the product, but replaces
the product's ledger, which accounts for the last window, by a token bucket.
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
    """Units that one instance admitted within the last window."""

    __slots__ = ("_grants", "total")

    def __init__(self) -> None:
        """Starts without usage."""
        self._grants: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, cost: float, now: float) -> None:
        """Records admitted units."""
        self._grants.append((now, cost))
        self.total += cost

    def expire(self, now: float) -> None:
        """Removes what is older than the window."""
        while self._grants and self._grants[0][0] <= now - BOUNDS.window:
            self.total -= self._grants.popleft()[1]


class EqualShares:
    """Each instance admits up to a fixed share of the quota, without coordination."""

    def __init__(self) -> None:
        """Starts without usage."""
        self._usage: dict[str, WindowUsage] = {}

    def acquire(self, world: World, requester: Instance, cost: float) -> bool:
        """Admits a request that fits into the instance's share of the window."""
        usage = self._usage.setdefault(requester.name, WindowUsage())
        usage.expire(world.now)
        if usage.total + cost > BOUNDS.bound(world.quota) / len(world.instances):
            return False
        usage.add(cost, world.now)
        return True

    def exchange_heartbeats(self, world: World) -> None:
        """Does nothing: this scheme needs no heartbeats."""

    def on_restart(self, instance: Instance) -> None:
        """Discards the usage: the new process is limited by its own share alone."""
        self._usage.pop(instance.name, None)


class HeartbeatSums:
    """Each instance admits by its own usage and what others last reported in heartbeats."""

    def __init__(self) -> None:
        """Starts without usage or reports."""
        self._usage: dict[str, WindowUsage] = {}
        self._reported_usage: dict[str, dict[str, float]] = {}

    def acquire(self, world: World, requester: Instance, cost: float) -> bool:
        """Admits a request if the sum of all known usage stays within the bound."""
        usage = self._usage.setdefault(requester.name, WindowUsage())
        usage.expire(world.now)
        others = sum(self._reported_usage.get(requester.name, {}).values())
        if usage.total + others + cost > BOUNDS.bound(world.quota):
            return False
        usage.add(cost, world.now)
        return True

    def exchange_heartbeats(self, world: World) -> None:
        """Reports each instance's usage of the last window to all instances in reach."""
        for instance in world.instances:
            usage = self._usage.setdefault(instance.name, WindowUsage())
            usage.expire(world.now)
            for other in world.instances:
                if other is not instance and world.can_reach(instance, other):
                    self._reported_usage.setdefault(other.name, {})[instance.name] = usage.total

    def on_restart(self, instance: Instance) -> None:
        """Discards what the killed process knew of its own and others' usage."""
        self._usage.pop(instance.name, None)
        self._reported_usage.pop(instance.name, None)


class TokenBucketLedger(QuotaLedger):
    """A coordinator's token bucket; it starts empty and requests no loans."""

    def __init__(self, bounds: QuotaBounds, now: float, first_loan_request: int = 0) -> None:
        """Starts with an empty bucket."""
        super().__init__(bounds, now, first_loan_request)
        self._level = 0.0
        self._filled_at = now

    def update(self, parts: Mapping[str, tuple[Quota, QuotaShare]], now: float) -> None:
        """Refills the bucket."""
        for quota, part in parts.values():
            self._fill(quota, part, now)

    def acquire(
        self, team: str, quota: Quota, part: QuotaShare, cost: float, now: float
    ) -> AcquireResult:
        """Takes units from the bucket, if this instance is the coordinator."""
        self._fill(quota, part, now)
        if not part.is_coordinator or cost > self._level:
            return AcquireResult(False)
        self._level -= cost
        return AcquireResult(True)

    def request_loan(
        self, team: str, quota: Quota, part: QuotaShare, now: float
    ) -> LoanRequest | None:
        """Returns None: this ledger requests no loans."""
        return None

    def _fill(self, quota: Quota, part: QuotaShare, now: float) -> None:
        added = quota.rate * part.share * (now - self._filled_at)
        self._level = min(quota.burst * part.share, self._level + added)
        self._filled_at = now
