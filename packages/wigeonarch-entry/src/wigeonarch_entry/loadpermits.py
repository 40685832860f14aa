"""The holder's side of the turn to load, and how owners find the holder."""

from __future__ import annotations

import asyncio
from typing import Final

from wigeonarch_core.load_permits import LoadPermits
from wigeonarch_core.messages import LoadBid, LoadEnded, LoadPermit
from wigeonarch_core.rendezvous import ranked
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.owned import OwnerContext

COORDINATOR_KEY: Final = "load-turn"
ISSUE_INTERVAL: Final = 0.02


class LoadPermitCoordinator:
    """Bids and turns, while this instance holds the turn to load."""

    __slots__ = ("_ctx", "_permits")

    def __init__(self, ctx: OwnerContext) -> None:
        self._ctx = ctx
        self._permits = LoadPermits(ctx.opts.policy, [ctx.opts.zone], monotonic())

    def coordinator(self, now: float) -> str:
        """Returns the instance that holds the turn, as far as this one can tell."""
        heard = self._ctx.fleet.instances_heard_within(self._ctx.opts.timing.peer_timeout, now)
        return ranked(COORDINATOR_KEY, heard)[0]

    def handle_bid(self, bid: LoadBid) -> None:
        """Takes a bid."""
        peer = self._ctx.fleet.peers.get(bid.owner)
        zone = peer.record.zone if peer else self._ctx.opts.zone
        self._permits.add_bid(f"{bid.owner} {bid.bid}", zone, bid.value, monotonic())

    def handle_load_ended(self, ended: LoadEnded) -> None:
        """Ends a turn."""
        self._permits.end_load(f"{ended.owner} {ended.bid}", monotonic())

    async def run(self) -> None:
        """Gives turns until cancelled."""
        while True:
            now = monotonic()
            zones = self._ctx.fleet.zones()
            if tuple(zones) != self._permits.zones:
                self._permits = LoadPermits(self._ctx.opts.policy, zones, now)
            self._permits.set_reachable_zones(self._reached_zones(now), now)
            for given in self._permits.grant_due(now):
                owner, _, bid_id = given.partition(" ")
                self._ctx.send(owner, LoadPermit(bid_id))
            await asyncio.sleep(ISSUE_INTERVAL)

    def _reached_zones(self, now: float) -> set[str]:
        heard = self._ctx.fleet.instances_heard_within(self._ctx.opts.timing.peer_timeout, now)
        peers = self._ctx.fleet.peers
        return {self._ctx.opts.zone} | {peers[name].record.zone for name in heard if name in peers}
