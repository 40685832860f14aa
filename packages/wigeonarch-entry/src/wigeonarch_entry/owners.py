"""Owner duties of this instance: the parts, and the messages that go to each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from wigeonarch_core.decisions import Refuse
from wigeonarch_core.fleet import Peer
from wigeonarch_core.messages import EngineSummary, GrantRequest, Moved, Release
from wigeonarch_core.options import Options
from wigeonarch_core.ownership import HandOver, plan_moves
from wigeonarch_core.records import LEASES
from wigeonarch_core.takeover_quarantine import QuarantineStage
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.claims import OwnershipClaims
from wigeonarch_entry.engines import EngineClient
from wigeonarch_entry.grantissuer import GrantIssuer
from wigeonarch_entry.handover import HandOvers
from wigeonarch_entry.loadpermits import LoadPermitCoordinator
from wigeonarch_entry.membership import Membership
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.orders import Orders
from wigeonarch_entry.owned import OwnedEngine, OwnerContext, Send
from wigeonarch_entry.platform import PlatformClient, Unavailable
from wigeonarch_entry.support import LeaseSupport

HAND_OVER_RETRY_INTERVAL: Final = 1.0


class OwnerDuties:
    """Owner duties of this instance.

    Attributes:
        granting: Queues and pins.
        orders: Loads and evictions.
        turns: The turn to load, while this instance holds it.
        hand_overs: Engines given away and taken.
        supporting: Support in a platform outage.
    """

    __slots__ = (
        "_claims",
        "_ctx",
        "grant_issuer",
        "hand_overs",
        "lease_support",
        "load_permits",
        "orders",
    )

    def __init__(
        self,
        opts: Options,
        platform: PlatformClient,
        membership: Membership,
        engines: EngineClient,
        send: Send,
        metrics: Metrics,
        checks_fence: Callable[[str, str], bool],
    ) -> None:
        """Makes the duties; `send` delivers to any instance, this one included."""
        ctx = OwnerContext(opts, platform, membership, engines, send, metrics, checks_fence)
        self._ctx = ctx
        self.grant_issuer = GrantIssuer(ctx)
        self.load_permits = LoadPermitCoordinator(ctx)
        self.orders = Orders(ctx, self.load_permits, self._on_fenced)
        self.hand_overs = HandOvers(ctx, self.grant_issuer)
        self.lease_support = LeaseSupport(opts, platform, membership, send)
        self._claims = OwnershipClaims(
            ctx, self.hand_overs, self._on_owned, self._on_dropped, self._on_handed_over
        )

    def summaries(self) -> tuple[EngineSummary, ...]:
        """Returns what peers need to know of the owned engines."""
        return tuple(owned.scheduler.summary(owned.fence) for owned in self._ctx.owned.values())

    def quarantine_stage(self, engine: str) -> QuarantineStage | None:
        """Returns the stage of an owned engine's quarantine; None without one."""
        owned = self._ctx.owned.get(engine)
        if owned is None or owned.engine_grants.quarantine is None:
            return None
        return owned.engine_grants.quarantine.stage(monotonic())

    async def run(self) -> None:
        """Keeps ownerships, support and the turn to load until cancelled."""
        works: list[Coroutine[Any, Any, None]] = [
            self._claims.run(),
            self.load_permits.run(),
            self.lease_support.run(),
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
            heirs = self._count_successors()
            if not heirs or (not self._ctx.owned and (answered or heirs > 1)):
                return
            await asyncio.sleep(HAND_OVER_RETRY_INTERVAL)

    async def vacate(self) -> None:
        """Gives up what no successor took, as the last act; see `HandOvers.vacate`."""
        await self._claims.vacate_all()

    @property
    def first_pass_done(self) -> bool:
        """Whether this instance has once tried to own what is free in its zone."""
        return self._claims.first_pass_done

    def _count_successors(self) -> int:
        """Returns how many other instances of the zone are heard that are not shutting down."""
        fleet, now = self._ctx.fleet, monotonic()
        heard = fleet.instances_heard_within(self._ctx.opts.timing.peer_timeout, now)
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
        moves = plan_moves(self._ctx.fleet, self._claims.local_state(), monotonic())
        gifts = [move for move in moves if isinstance(move, HandOver)]
        if len(gifts) < owned:
            log("handover_skipped", "WARNING", engines=owned - len(gifts), reason="no_successor")
        await asyncio.gather(*(self._claims.hand_over(gift) for gift in gifts))
        return True

    # Messages of which several duties take note ------------------------------------------------

    def handle_grant_request(self, ask: GrantRequest) -> None:
        """Takes an ask; one for an engine on its way to this instance is repeated by its asker."""
        if self.hand_overs.is_offered(ask.engine) and ask.engine not in self._ctx.owned:
            return
        self.grant_issuer.handle_grant_request(ask)

    def handle_release(self, release: Release) -> None:
        """Ends a grant, also one that comes with an offer."""
        self.hand_overs.handle_release(release)
        self.grant_issuer.handle_release(release)

    def adopt_handed_over(self) -> None:
        """Acts on an ownership that was just handed to this instance, without a delay."""
        self._claims.adopt_offered(monotonic())

    # What happens to owned engines --------------------------------------------------------------

    def _on_owned(self, owned: OwnedEngine) -> None:
        self.grant_issuer.start(owned)
        self.orders.start(owned)

    def _on_dropped(self, owned: OwnedEngine) -> None:
        now = monotonic()
        for decided in owned.scheduler.close(now):
            assert isinstance(decided, Refuse)
            self.grant_issuer.send_decision(owned, decided, now)

    def _on_handed_over(self, moved: Moved) -> None:
        self.grant_issuer.handed_over[moved.engine] = moved
        for name in [self._ctx.opts.instance, *self._ctx.fleet.peers]:
            self._ctx.send(name, moved)

    def _on_fenced(self, engine: str) -> None:
        owned = self._ctx.owned.get(engine)
        if owned is not None:
            owned.start(self._claims.refresh_owner(engine))


def _is_draining(peer: Peer) -> bool:
    beat = peer.heartbeat
    return peer.record.draining or (beat is not None and beat.draining)
