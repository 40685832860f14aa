"""Load permits: they share the weight store's load rate among all engines of a deployment.

One instance, the coordinator, collects bids and grants permits: no faster than the store's rate,
and only as many at a time as can run at full speed. The best bid is granted first. A zone that has
had less than its guaranteed share goes before the others; the share that it does not use goes to
them. Each permit has a lease, so a bidder that fails delays the others no longer than that. A
coordinator that reaches only some zones grants only their shares of the rate, so during a network
partition the coordinators on both sides together stay within the limit.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from typing import Final

from wigeonarch_core.policy_options import PolicyOptions

BURST: Final = 1.0  # Greatest number of permits saved up, per zone and overall.


@dataclass(slots=True)
class _Bid:
    zone: str
    value: float
    since: float


class LoadPermits:
    """Bids and granted permits, kept by the load permit coordinator.

    Attributes:
        zones: Availability zones of the deployment, each with an equal share of the load rate.
    """

    __slots__ = (
        "_bids",
        "_granted",
        "_opts",
        "_reachable",
        "_refilled_at",
        "_tokens",
        "_zone_credit",
        "zones",
    )

    def __init__(self, opts: PolicyOptions, zones: Sequence[str], now: float) -> None:
        self.zones = tuple(zones)
        self._opts = opts
        self._reachable = frozenset(zones)
        self._bids: dict[str, _Bid] = {}
        self._granted: dict[str, float] = {}
        self._zone_credit = dict.fromkeys(zones, 0.0)
        self._tokens = BURST
        self._refilled_at = now

    def set_reachable_zones(self, zones: Collection[str], now: float) -> None:
        """Sets the zones that this coordinator reaches; only their shares are granted."""
        self._refill(now)
        self._reachable = frozenset(zones)

    def add_bid(self, bid_id: str, zone: str, value: float, now: float) -> None:
        """Adds a bid, or changes its value; does nothing if the bid holds a permit."""
        if bid_id in self._granted:
            return
        known = self._bids.get(bid_id)
        since = now if known is None else known.since
        self._bids[bid_id] = _Bid(zone, value, since)

    def withdraw(self, bid_id: str) -> None:
        """Removes a bid that holds no permit yet."""
        self._bids.pop(bid_id, None)

    def end_load(self, bid_id: str, now: float) -> None:
        """Removes a bid, and returns its permit if it holds one."""
        self._bids.pop(bid_id, None)
        self._granted.pop(bid_id, None)

    def grant_due(self, now: float) -> list[str]:
        """Grants the permits that are due; returns the ids of their bids."""
        self._refill(now)
        self._granted = {bid_id: until for bid_id, until in self._granted.items() if until > now}
        chosen: list[str] = []
        while self._bids and self._tokens >= 1.0 and len(self._granted) < self._opts.load_parallel:
            chosen.append(self._grant_best(now))
        return chosen

    def next_due(self, now: float) -> float:
        """Returns the time, in seconds, at which `grant_due` should run at the latest."""
        idle = now + self._opts.idle_interval
        if not self._bids:
            return idle
        if len(self._granted) >= self._opts.load_parallel:
            return min(idle, min(self._granted.values()))
        rate = max(self._rate(), 1e-9)
        return min(idle, self._refilled_at + (1.0 - self._tokens) / rate)

    def _grant_best(self, now: float) -> str:
        bid_id = max(self._bids, key=self._rank)
        zone = self._bids.pop(bid_id).zone
        self._tokens -= 1.0
        self._zone_credit[zone] = max(0.0, self._zone_credit.get(zone, 0.0) - 1.0)
        self._granted[bid_id] = now + self._opts.turn_lease
        return bid_id

    def _rank(self, bid_id: str) -> tuple[bool, float, float, str]:
        bid = self._bids[bid_id]
        is_owed = self._zone_credit.get(bid.zone, 0.0) >= 1.0
        return is_owed, bid.value, -bid.since, bid_id

    def _rate(self) -> float:
        share = len(self._reachable & set(self.zones)) / max(1, len(self.zones))
        return self._opts.load_rate * share

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(self._refilled_at, now)
        self._tokens = min(BURST, self._tokens + passed * self._rate())
        own = self._opts.load_rate / max(1, len(self.zones)) * self._opts.zone_guarantee
        for zone in self._zone_credit:
            self._zone_credit[zone] = min(BURST, self._zone_credit[zone] + passed * own)
