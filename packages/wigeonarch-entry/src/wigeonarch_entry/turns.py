"""The holder's side of the turn to load, and how owners find the holder."""

from __future__ import annotations

import asyncio
from typing import Final

from wigeonarch_core.homes import ranked
from wigeonarch_core.messages import LoadBid, LoadEnded, LoadTurn
from wigeonarch_core.turn import LoadTurns
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.owned import OwnerContext

TURN_KEY: Final = "load-turn"
TURN_INTERVAL: Final = 0.02


class Turns:
    """Bids and turns, while this instance holds the turn to load."""

    __slots__ = ("_ctx", "_turns")

    def __init__(self, ctx: OwnerContext) -> None:
        self._ctx = ctx
        self._turns = LoadTurns(ctx.opts.policy, [ctx.opts.zone], monotonic())

    def holder(self, now: float) -> str:
        """Returns the instance that holds the turn, as far as this one can tell."""
        heard = self._ctx.fleet.heard_within(self._ctx.opts.timing.peer_timeout, now)
        return ranked(TURN_KEY, heard)[0]

    def bid(self, bid: LoadBid) -> None:
        """Takes a bid."""
        peer = self._ctx.fleet.peers.get(bid.owner)
        zone = peer.record.zone if peer else self._ctx.opts.zone
        self._turns.bid(f"{bid.owner} {bid.bid}", zone, bid.value, monotonic())

    def load_ended(self, ended: LoadEnded) -> None:
        """Ends a turn."""
        self._turns.ended(f"{ended.owner} {ended.bid}", monotonic())

    async def keep(self) -> None:
        """Gives turns until cancelled."""
        while True:
            now = monotonic()
            zones = self._ctx.fleet.zones()
            if tuple(zones) != self._turns.zones:
                self._turns = LoadTurns(self._ctx.opts.policy, zones, now)
            self._turns.reach(self._reached_zones(now), now)
            for given in self._turns.decide(now):
                owner, _, bid_id = given.partition(" ")
                self._ctx.send(owner, LoadTurn(bid_id))
            await asyncio.sleep(TURN_INTERVAL)

    def _reached_zones(self, now: float) -> set[str]:
        heard = self._ctx.fleet.heard_within(self._ctx.opts.timing.peer_timeout, now)
        peers = self._ctx.fleet.peers
        return {self._ctx.opts.zone} | {peers[name].record.zone for name in heard if name in peers}
