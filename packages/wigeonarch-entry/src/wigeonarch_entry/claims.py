"""Claims, hands over and drops the ownership of engines.

The moves to make are planned by `wigeonarch_core.ownership`; this module executes them in the
platform and keeps the set of owned engines up to date.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from msgspec.structs import replace
from wigeonarch_core import ownership
from wigeonarch_core.engine_grants import EngineGrants
from wigeonarch_core.fleet import Ownership
from wigeonarch_core.messages import Moved
from wigeonarch_core.ownership import Claim, HandOver, HeldOwnership, LocalState
from wigeonarch_core.records import LEASES, OWNERS, LeaseRecord, OwnerRecord
from wigeonarch_core.scheduler import EngineScheduler
from wigeonarch_core.takeover_quarantine import QuarantineBounds, TakeoverQuarantine
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.handover import HandOvers
from wigeonarch_entry.owned import OwnedEngine, OwnerContext
from wigeonarch_entry.platform import Found, Missing, Unavailable, Written

# Seconds between two plans of ownership moves.
PLAN_INTERVAL: Final = 0.25


class OwnershipClaims:
    """Manages the engines that this instance owns.

    Attributes:
        first_pass_done: Whether this instance, holding its lease, has tried once to claim the
            engines of its zone that have no owner.
    """

    __slots__ = (
        "_ctx",
        "_hand_over_tasks",
        "_hand_overs",
        "_on_dropped",
        "_on_handed_over",
        "_on_owned",
        "first_pass_done",
    )

    def __init__(
        self,
        ctx: OwnerContext,
        hand_overs: HandOvers,
        on_owned: Callable[[OwnedEngine], None],
        on_dropped: Callable[[OwnedEngine], None],
        on_handed_over: Callable[[Moved], None],
    ) -> None:
        """Makes the manager of ownerships.

        Args:
            ctx: Context of the owner duties.
            hand_overs: Hand-overs of engines, in both directions.
            on_owned: Called when an engine is owned.
            on_dropped: Called when an engine is no longer owned and was not handed over.
            on_handed_over: Called when an engine has been handed over.
        """
        self._ctx = ctx
        self._hand_overs = hand_overs
        self._on_owned = on_owned
        self._on_dropped = on_dropped
        self._on_handed_over = on_handed_over
        self._hand_over_tasks: set[asyncio.Task[None]] = set()
        self.first_pass_done = False

    async def run(self) -> None:
        """Plans and executes ownership moves until cancelled."""
        while True:
            now = monotonic()
            self.adopt_offered(now)
            if self._ctx.membership.initialized and not self._ctx.membership.draining:
                leased = self._ctx.lease.is_valid(now)
                for move in ownership.plan_moves(self._ctx.fleet, self.local_state(), now):
                    await self._execute(move)
                self.first_pass_done = self.first_pass_done or leased
            self.drop_lost()
            await asyncio.sleep(PLAN_INTERVAL)

    def local_state(self) -> LocalState:
        """Returns the state of this instance that the plan depends on."""
        membership = self._ctx.membership
        holdings = {
            engine: owned.engine_grants.ownership for engine, owned in self._ctx.owned.items()
        }
        term = self._ctx.opts.timing.lease_term
        return LocalState(
            membership.lease, holdings, membership.promises, membership.draining, 2 * term
        )

    async def _execute(self, move: Claim | HandOver) -> None:
        if isinstance(move, Claim):
            await self._claim(move)
            return
        task = asyncio.create_task(self.hand_over(move))
        self._hand_over_tasks.add(task)
        task.add_done_callback(self._hand_over_tasks.discard)

    # Claims -----------------------------------------------------------------------------------

    async def _claim(self, claim: Claim) -> None:
        if claim.previous is not None and not await self._confirm_vacant(claim.previous):
            return
        lease, generation = self._ctx.lease, self._ctx.lease.generation
        if not lease.is_valid(monotonic()):
            return
        record = OwnerRecord(claim.engine, self._ctx.opts.instance, self._ctx.fleet.boot)
        if claim.expected:
            result = await self._ctx.platform.replace(OWNERS, claim.engine, record, claim.expected)
        else:
            result = await self._ctx.platform.create(OWNERS, claim.engine, record)
        self._ctx.metrics.ownership_moves.labels("claim", type(result).__name__.lower()).inc()
        if not isinstance(result, Written):
            # If only the answer was lost, the ownership turns out to be ours but not confirmed, and
            # the next plan writes it again.
            await self.refresh_owner(claim.engine)
            return
        self._ctx.fleet.observe_owner(record, result.version)
        now = monotonic()
        # The write counts only if the lease has held without a break until its answer.
        if lease.is_valid(now) and lease.generation == generation:
            self._apply_claim(claim, HeldOwnership(result.version, generation, now))

    async def _confirm_vacant(self, previous: Ownership) -> bool:
        """Checks that the last owner can no longer act.

        Its lease is read from the platform, as the watch may lag behind its renewals.
        """
        fleet = self._ctx.fleet
        found = await self._ctx.platform.get(LEASES, previous.owner)
        if isinstance(found, Unavailable):
            return False
        now = monotonic()
        if isinstance(found, Missing):
            fleet.observe_lease_deleted(previous.owner)
        else:
            fleet.observe_lease(msgspec.convert(found.value, LeaseRecord), found.version, now)
        return ownership.may_take_over(fleet, self.local_state(), previous, now)

    async def refresh_owner(self, engine: str) -> None:
        """Reads an engine's owner from the platform."""
        found = await self._ctx.platform.get(OWNERS, engine)
        if isinstance(found, Found):
            record = msgspec.convert(found.value, OwnerRecord)
            self._ctx.fleet.observe_owner(record, found.version)

    def _apply_claim(self, claim: Claim, holding: HeldOwnership) -> None:
        owned = self._ctx.owned.get(claim.engine)
        if owned is not None:
            # The conditional write shows that no other instance has owned the engine in between, so
            # its pins are still valid.
            owned.engine_grants.ownership = holding
            owned.engine_grants.announced = not self._checks_fence(claim.engine)
            owned.wake.set()
            log("engine_kept", engine=claim.engine, fence=holding.fence)
            return
        quarantine = self._new_quarantine() if claim.expected else None
        self._start_owning(claim.engine, holding, quarantine)

    def _new_quarantine(self) -> TakeoverQuarantine:
        timing, policy = self._ctx.opts.timing, self._ctx.opts.policy
        margins = policy.pin_margin + timing.lease_margin
        bounds = QuarantineBounds(timing.grant_validity + margins, timing.max_deadline + margins)
        requesters = [self._ctx.opts.instance, *self._ctx.fleet.peers]
        return TakeoverQuarantine(bounds, requesters, monotonic())

    def _start_owning(
        self, engine: str, holding: HeldOwnership, quarantine: TakeoverQuarantine | None
    ) -> OwnedEngine:
        opts = self._ctx.opts
        service = self._ctx.fleet.endpoints[engine].listed.service
        engine_grants = EngineGrants(
            engine,
            holding,
            quarantine,
            announced=not self._checks_fence(engine),
            validity=opts.timing.grant_validity + opts.timing.lease_margin,
        )
        scheduler = EngineScheduler(engine, opts.policy, holding.since, service=service)
        scheduler.may_evict = engine_grants.may_evict
        owned = OwnedEngine(engine_grants, scheduler)
        self._ctx.owned[engine] = owned
        self._ctx.metrics.engines_owned.set(len(self._ctx.owned))
        stage = quarantine.stage(holding.since) if quarantine else "none"
        log("engine_owned", engine=engine, fence=holding.fence, quarantine=stage)
        self._on_owned(owned)
        return owned

    def _checks_fence(self, engine: str) -> bool:
        endpoint = self._ctx.fleet.endpoints.get(engine)
        return endpoint is not None and self._ctx.checks_fence(endpoint.listed.service, engine)

    # Hand-overs ---------------------------------------------------------------------------------

    def adopt_offered(self, now: float) -> None:
        """Starts to own the engines that were handed over to this instance."""
        for engine in self._hand_overs.offered_engines():
            offered = self._hand_overs.take_effective_offer(engine, now)
            if offered is None or engine in self._ctx.owned:
                continue
            if engine not in self._ctx.fleet.endpoints:
                continue
            owner = self._ctx.fleet.owners[engine]
            holding = HeldOwnership(owner.fence, offered.generation, now)
            owned = self._start_owning(engine, holding, None)
            self._hand_overs.adopt_offer(owned, offered, now)

    async def hand_over(self, move: HandOver) -> None:
        """Hands one engine over and stops owning it."""
        message = await self._hand_overs.hand_over(move)
        owned = self._ctx.owned.get(move.engine)
        if owned is None:
            return
        if message is None:
            # A new start time delays the next attempt, as an engine is kept for some time before it
            # is handed over.
            engine_grants = owned.engine_grants
            engine_grants.ownership = replace(engine_grants.ownership, since=monotonic())
            return
        self._drop(owned, handed_over=True)
        self._on_handed_over(message)

    # Drops --------------------------------------------------------------------------------------

    def drop_lost(self) -> None:
        """Stops owning engines that have another owner or are no longer listed."""
        for engine, owned in list(self._ctx.owned.items()):
            if owned.engine_grants.handing_over:
                continue
            owner = self._ctx.fleet.owners.get(engine)
            lost = owner is not None and owner.fence > owned.fence and not self._is_mine(owner)
            if lost or engine not in self._ctx.fleet.endpoints:
                self._drop(owned, handed_over=False)

    def _is_mine(self, owner: Ownership) -> bool:
        return (owner.owner, owner.boot) == self._ctx.identity

    def _drop(self, owned: OwnedEngine, handed_over: bool) -> None:
        del self._ctx.owned[owned.engine]
        for task in list(owned.tasks):
            task.cancel()
        if not handed_over:
            self._on_dropped(owned)
        self._ctx.metrics.engines_owned.set(len(self._ctx.owned))
        log("engine_dropped", engine=owned.engine, fence=owned.fence, handed_over=handed_over)

    async def vacate_all(self) -> None:
        """Marks all owned engines as vacant in the platform; refuses their waiting requests."""
        await asyncio.gather(*(self._vacate(owned) for owned in self._ctx.owned.values()))

    async def _vacate(self, owned: OwnedEngine) -> None:
        if await self._hand_overs.vacate(owned) and owned.engine in self._ctx.owned:
            self._drop(owned, handed_over=False)

    def drop_all(self) -> None:
        """Stops owning all engines, as the instance stops."""
        for owned in list(self._ctx.owned.values()):
            self._drop(owned, handed_over=False)
