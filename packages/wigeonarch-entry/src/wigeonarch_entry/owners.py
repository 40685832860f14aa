"""Owner duties of this instance: the parts, and the messages that go to each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from wigeonarch_core.decisions import Refuse
from wigeonarch_core.fleet import Peer
from wigeonarch_core.messages import Ask, EngineSummary, Moved, Release
from wigeonarch_core.options import Options
from wigeonarch_core.ownership import HandOver, plan
from wigeonarch_core.quarantine import Stage
from wigeonarch_core.records import LEASES
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.claims import Claims
from wigeonarch_entry.engines import Engines
from wigeonarch_entry.granting import Granting
from wigeonarch_entry.handover import HandOvers
from wigeonarch_entry.membership import Membership
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.orders import Orders
from wigeonarch_entry.owned import Owned, OwnerContext, Send
from wigeonarch_entry.platform import Platform, Unavailable
from wigeonarch_entry.support import Supporting
from wigeonarch_entry.turns import Turns

HAND_OVER_PAUSE: Final = 1.0


class Owners:
    """Owner duties of this instance.

    Attributes:
        granting: Queues and pins.
        orders: Loads and evictions.
        turns: The turn to load, while this instance holds it.
        hand_overs: Engines given away and taken.
        supporting: Support in a platform outage.
    """

    __slots__ = ("_claims", "_ctx", "granting", "hand_overs", "orders", "supporting", "turns")

    def __init__(
        self,
        opts: Options,
        platform: Platform,
        membership: Membership,
        engines: Engines,
        send: Send,
        metrics: Metrics,
        checks_fence: Callable[[str, str], bool],
    ) -> None:
        """Makes the duties; `send` delivers to any instance, this one included."""
        ctx = OwnerContext(opts, platform, membership, engines, send, metrics, checks_fence)
        self._ctx = ctx
        self.granting = Granting(ctx)
        self.turns = Turns(ctx)
        self.orders = Orders(ctx, self.turns, self._fenced)
        self.hand_overs = HandOvers(ctx, self.granting)
        self.supporting = Supporting(opts, platform, membership, send)
        self._claims = Claims(ctx, self.hand_overs, self._begin, self._end, self._given)

    def summaries(self) -> tuple[EngineSummary, ...]:
        """Returns what peers need to know of the owned engines."""
        return tuple(owned.scheduler.summary(owned.fence) for owned in self._ctx.owned.values())

    def stage(self, engine: str) -> Stage | None:
        """Returns the stage of an owned engine's quarantine; None without one."""
        owned = self._ctx.owned.get(engine)
        if owned is None or owned.custody.quarantine is None:
            return None
        return owned.custody.quarantine.stage(monotonic())

    async def run(self) -> None:
        """Keeps ownerships, support and the turn to load until cancelled."""
        works: list[Coroutine[Any, Any, None]] = [
            self._claims.keep(),
            self.turns.keep(),
            self.supporting.keep(),
        ]
        try:
            async with asyncio.TaskGroup() as tasks:
                for work in works:
                    tasks.create_task(work)
        finally:
            self._claims.drop_all()

    async def hand_over(self) -> None:
        """Hands all owned engines to successors, as part of a graceful shutdown.

        Engines that cannot be handed over now, as in a platform outage, are served on as long as
        another instance of the zone is there that would be left without an owner. And the last
        but one instance of a zone stays until the outage is over: alone, the other one could not
        tell an outage from its own cut, and would have to stop serving.
        """
        while True:
            answered = await self._hand_over_now()
            heirs = self._heirs()
            if not heirs or (not self._ctx.owned and (answered or heirs > 1)):
                return
            await asyncio.sleep(HAND_OVER_PAUSE)

    async def vacate(self) -> None:
        """Gives up what no successor took, as the last act; see `HandOvers.vacate`."""
        await self._claims.vacate_all()

    @property
    def begun(self) -> bool:
        """Whether this instance has once tried to own what is free in its zone."""
        return self._claims.begun

    def _heirs(self) -> int:
        """Returns how many other instances of the zone are heard that are not shutting down."""
        fleet, now = self._ctx.fleet, monotonic()
        heard = fleet.heard_within(self._ctx.opts.timing.peer_timeout, now)
        peers = [fleet.peers[name] for name in heard if name in fleet.peers]
        zone = self._ctx.opts.zone
        return sum(peer.record.zone == zone and not _is_draining(peer) for peer in peers)

    async def _platform_answers(self) -> bool:
        """Asks afresh: an ownership write that may be lost would end this instance's granting."""
        found = await self._ctx.platform.get(LEASES, self._ctx.opts.instance)
        return not isinstance(found, Unavailable)

    async def _hand_over_now(self) -> bool:
        """Hands over what can be handed over now; returns whether the platform answers."""
        owned = len(self._ctx.owned)
        if not await self._platform_answers():
            log("handover_skipped", "WARNING", engines=owned, reason="platform_down")
            return False
        moves = plan(self._ctx.fleet, self._claims.standing(), monotonic())
        gifts = [move for move in moves if isinstance(move, HandOver)]
        if len(gifts) < owned:
            log("handover_skipped", "WARNING", engines=owned - len(gifts), reason="no_successor")
        await asyncio.gather(*(self._claims.hand_over(gift) for gift in gifts))
        return True

    # Messages of which several duties take note ------------------------------------------------

    def asked(self, ask: Ask) -> None:
        """Takes an ask; one for an engine on its way to this instance is repeated by its asker."""
        if self.hand_overs.is_coming(ask.engine) and ask.engine not in self._ctx.owned:
            return
        self.granting.asked(ask)

    def released(self, release: Release) -> None:
        """Ends a grant, also one that comes with an offer."""
        self.hand_overs.released(release)
        self.granting.released(release)

    def moved(self) -> None:
        """Acts on an ownership that was just handed to this instance, without a delay."""
        self._claims.take_offered(monotonic())

    # What happens to owned engines --------------------------------------------------------------

    def _begin(self, owned: Owned) -> None:
        self.granting.start(owned)
        self.orders.start(owned)

    def _end(self, owned: Owned) -> None:
        now = monotonic()
        for decided in owned.scheduler.close(now):
            assert isinstance(decided, Refuse)
            self.granting.answer(owned, decided, now)

    def _given(self, moved: Moved) -> None:
        self.granting.moved[moved.engine] = moved
        for name in [self._ctx.opts.instance, *self._ctx.fleet.peers]:
            self._ctx.send(name, moved)

    def _fenced(self, engine: str) -> None:
        owned = self._ctx.owned.get(engine)
        if owned is not None:
            owned.start(self._claims.reread(engine))


def _is_draining(peer: Peer) -> bool:
    beat = peer.heartbeat
    return peer.record.draining or (beat is not None and beat.draining)
