"""The coordinator's side of load permits, and how owners find the coordinator.

A load permit allows an engine to load one adapter version from the weight store. One instance is
the coordinator: it collects the bids of all engines' owners and issues the permits.
"""

from __future__ import annotations

import asyncio
from typing import Final

from wigeonarch_core.load_permits import LoadPermits
from wigeonarch_core.messages import LoadBid, LoadEnded, LoadPermit
from wigeonarch_core.rendezvous import ranked
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.owned import OwnerContext

# Key of the rendezvous hash that selects the coordinator.
COORDINATOR_KEY: Final = "load-turn"
# Seconds between two rounds of issuing permits.
ISSUE_INTERVAL: Final = 0.02


class LoadPermitCoordinator:
    """Collects bids and issues load permits, while this instance is the coordinator."""

    __slots__ = ("_ctx", "_permits")

    def __init__(self, ctx: OwnerContext) -> None:
        self._ctx = ctx
        self._permits = LoadPermits(ctx.opts.policy, [ctx.opts.zone], monotonic())

    def coordinator(self, now: float) -> str:
        """Returns the coordinator among the instances that this one hears, by rendezvous hash."""
        reachable = self._ctx.fleet.instances_heard_within(self._ctx.opts.timing.peer_timeout, now)
        return ranked(COORDINATOR_KEY, reachable)[0]

    def handle_bid(self, bid: LoadBid) -> None:
        """Adds a bid, or updates its value."""
        peer = self._ctx.fleet.peers.get(bid.owner)
        zone = peer.record.zone if peer else self._ctx.opts.zone
        self._permits.add_bid(f"{bid.owner} {bid.bid}", zone, bid.value, monotonic())

    def handle_load_ended(self, ended: LoadEnded) -> None:
        """Ends a bid, and its permit if it has one."""
        self._permits.end_load(f"{ended.owner} {ended.bid}", monotonic())

    async def run(self) -> None:
        """Issues permits until cancelled."""
        while True:
            now = monotonic()
            zones = self._ctx.fleet.zones()
            if tuple(zones) != self._permits.zones:
                self._permits = LoadPermits(self._ctx.opts.policy, zones, now)
            self._permits.set_reachable_zones(self._reached_zones(now), now)
            for issued in self._permits.grant_due(now):
                owner, _, bid_id = issued.partition(" ")
                self._ctx.send(owner, LoadPermit(bid_id))
            await asyncio.sleep(ISSUE_INTERVAL)

    def _reached_zones(self, now: float) -> set[str]:
        reachable = self._ctx.fleet.instances_heard_within(self._ctx.opts.timing.peer_timeout, now)
        peers = self._ctx.fleet.peers
        return {self._ctx.opts.zone} | {
            peers[name].record.zone for name in reachable if name in peers
        }
