"""The duties of this instance as an owner of engines.

Builds the parts that carry out the duties and passes them the messages that concern several parts.
"""

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

# Seconds between two attempts to hand over all engines at shutdown.
HAND_OVER_RETRY_INTERVAL: Final = 1.0


class OwnerDuties:
    """The duties of this instance as an owner of engines.

    Attributes:
        grant_issuer: Queues and pins of the owned engines.
        orders: Loads and evictions on the owned engines.
        load_permits: Load permits for all engines, while this instance is their coordinator.
        hand_overs: Hand-overs of engines from and to this instance.
        lease_support: Support of owners in a platform outage.
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
        """Makes the duties.

        Args:
            opts: Settings.
            platform: Client of the platform.
            membership: This instance's lease and its view of the other instances.
            engines: Client of the engines.
            send: Sends a message to an instance, also to this one.
            metrics: Counters.
            checks_fence: Returns whether an endpoint (service, name) refuses orders with an old
                fencing token.
        """
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
        """Returns the summaries of the owned engines for this instance's heartbeats."""
        return tuple(owned.scheduler.summary(owned.fence) for owned in self._ctx.owned.values())

    def quarantine_stage(self, engine: str) -> QuarantineStage | None:
        """Returns the stage of an owned engine's take-over quarantine; None if it has none."""
        owned = self._ctx.owned.get(engine)
        if owned is None or owned.engine_grants.quarantine is None:
            return None
        return owned.engine_grants.quarantine.stage(monotonic())

    async def run(self) -> None:
        """Manages ownerships, load permits and support until cancelled; then drops all engines."""
        duties: list[Coroutine[Any, Any, None]] = [
            self._claims.run(),
            self.load_permits.run(),
            self.lease_support.run(),
        ]
        try:
            async with asyncio.TaskGroup() as tasks:
                for duty in duties:
                    tasks.create_task(duty)
        finally:
            self._claims.drop_all()

    async def hand_over(self) -> None:
        """Hands all owned engines to successors, as part of a graceful shutdown.

        Engines that can't be handed over now, as in a platform outage, are served further while
        another instance of the zone is there, as it would be left without an owner for them.

        The last but one instance of a zone also stays until the outage is over: the other one, left
        alone, could not tell an outage from being cut off itself and would have to stop serving.
        """
        while True:
            platform_answers = await self._hand_over_now()
            successors = self._count_successors()
            if not successors or (not self._ctx.owned and (platform_answers or successors > 1)):
                return
            await asyncio.sleep(HAND_OVER_RETRY_INTERVAL)

    async def vacate(self) -> None:
        """Vacates the engines that no successor took, at the end; see `HandOvers.vacate`."""
        await self._claims.vacate_all()

    @property
    def first_pass_done(self) -> bool:
        """Whether this instance has tried once to claim its zone's engines without an owner."""
        return self._claims.first_pass_done

    def _count_successors(self) -> int:
        """Counts the other instances of the zone that are heard and not shutting down."""
        fleet, now = self._ctx.fleet, monotonic()
        names = fleet.instances_heard_within(self._ctx.opts.timing.peer_timeout, now)
        peers = [fleet.peers[name] for name in names if name in fleet.peers]
        zone = self._ctx.opts.zone
        return sum(peer.record.zone == zone and not _is_draining(peer) for peer in peers)

    async def _platform_answers(self) -> bool:
        """Checks with a read that the platform answers.

        This comes before any hand-over, as an ownership write whose answer is lost would stop this
        instance from granting.
        """
        found = await self._ctx.platform.get(LEASES, self._ctx.opts.instance)
        return not isinstance(found, Unavailable)

    async def _hand_over_now(self) -> bool:
        """Hands over what can be handed over now; returns whether the platform answers."""
        owned_count = len(self._ctx.owned)
        if not await self._platform_answers():
            log("handover_skipped", "WARNING", engines=owned_count, reason="platform_down")
            return False
        moves = plan_moves(self._ctx.fleet, self._claims.local_state(), monotonic())
        hand_overs = [move for move in moves if isinstance(move, HandOver)]
        if len(hand_overs) < owned_count:
            log(
                "handover_skipped",
                "WARNING",
                engines=owned_count - len(hand_overs),
                reason="no_successor",
            )
        await asyncio.gather(*(self._claims.hand_over(move) for move in hand_overs))
        return True

    # Messages that concern several parts --------------------------------------------------------

    def handle_grant_request(self, request: GrantRequest) -> None:
        """Handles a grant request.

        A request for an engine that is being handed over to this instance is ignored; the requester
        repeats it.
        """
        if self.hand_overs.is_offered(request.engine) and request.engine not in self._ctx.owned:
            return
        self.grant_issuer.handle_grant_request(request)

    def handle_release(self, release: Release) -> None:
        """Handles a release, also of a grant that is part of an offer."""
        self.hand_overs.handle_release(release)
        self.grant_issuer.handle_release(release)

    def adopt_handed_over(self) -> None:
        """Starts to own an engine that was just handed over to this instance, without a delay."""
        self._claims.adopt_offered(monotonic())

    # Callbacks ----------------------------------------------------------------------------------

    def _on_owned(self, owned: OwnedEngine) -> None:
        self.grant_issuer.start(owned)
        self.orders.start(owned)

    def _on_dropped(self, owned: OwnedEngine) -> None:
        now = monotonic()
        for refusal in owned.scheduler.close(now):
            assert isinstance(refusal, Refuse)
            self.grant_issuer.send_decision(owned, refusal, now)

    def _on_handed_over(self, moved: Moved) -> None:
        self.grant_issuer.handed_over[moved.engine] = moved
        for name in [self._ctx.opts.instance, *self._ctx.fleet.peers]:
            self._ctx.send(name, moved)

    def _on_fenced(self, engine: str) -> None:
        owned = self._ctx.owned.get(engine)
        if owned is not None:
            owned.start(self._claims.refresh_owner(engine))


def _is_draining(peer: Peer) -> bool:
    heartbeat = peer.heartbeat
    return peer.record.draining or (heartbeat is not None and heartbeat.draining)
