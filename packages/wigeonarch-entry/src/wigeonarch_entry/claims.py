"""Ownership writes: carries out what the plan says, and keeps the owned engines in step."""

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

PLAN_INTERVAL: Final = 0.25


class OwnershipClaims:
    """Keeps the ownerships of this instance.

    Attributes:
        begun: Whether it has once tried, with a lease, to own what is free in its zone.
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
        begin: Callable[[OwnedEngine], None],
        end: Callable[[OwnedEngine], None],
        given: Callable[[Moved], None],
    ) -> None:
        """Makes the keeper; it calls back as engines are owned, dropped and handed over."""
        self._ctx = ctx
        self._hand_overs = hand_overs
        self._on_owned = begin
        self._on_dropped = end
        self._on_handed_over = given
        self._hand_over_tasks: set[asyncio.Task[None]] = set()
        self.first_pass_done = False

    async def run(self) -> None:
        """Plans and writes until cancelled."""
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
        """Returns what the plan depends on."""
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
        work = asyncio.create_task(self.hand_over(move))
        self._hand_over_tasks.add(work)
        work.add_done_callback(self._hand_over_tasks.discard)

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
            # A lost answer shows as an ownership of ours that is not confirmed; it is written anew.
            await self.refresh_owner(claim.engine)
            return
        self._ctx.fleet.observe_owner(record, result.version)
        now = monotonic()
        # A write that was answered in another stretch of the lease proves nothing for this one.
        if lease.is_valid(now) and lease.generation == generation:
            self._apply_claim(claim, HeldOwnership(result.version, generation, now))

    async def _confirm_vacant(self, last: Ownership) -> bool:
        """Reads the last owner's lease afresh, as a watch may lag behind its renewals."""
        fleet = self._ctx.fleet
        found = await self._ctx.platform.get(LEASES, last.owner)
        if isinstance(found, Unavailable):
            return False
        now = monotonic()
        if isinstance(found, Missing):
            fleet.observe_lease_deleted(last.owner)
        else:
            fleet.observe_lease(msgspec.convert(found.value, LeaseRecord), found.version, now)
        return ownership.may_take_over(fleet, self.local_state(), last, now)

    async def refresh_owner(self, engine: str) -> None:
        """Reads who owns an engine."""
        found = await self._ctx.platform.get(OWNERS, engine)
        if isinstance(found, Found):
            record = msgspec.convert(found.value, OwnerRecord)
            self._ctx.fleet.observe_owner(record, found.version)

    def _apply_claim(self, claim: Claim, holding: HeldOwnership) -> None:
        known = self._ctx.owned.get(claim.engine)
        if known is not None:
            # Nobody else has owned it since: the conditional write says so. Its pins still hold.
            known.engine_grants.ownership = holding
            known.engine_grants.announced = not self._checks_fence(claim.engine)
            known.wake.set()
            log("engine_kept", engine=claim.engine, fence=holding.fence)
            return
        quarantine = self._new_quarantine() if claim.expected else None
        self._start_owning(claim.engine, holding, quarantine)

    def _new_quarantine(self) -> TakeoverQuarantine:
        timing, policy = self._ctx.opts.timing, self._ctx.opts.policy
        margins = policy.pin_margin + timing.lease_margin
        bounds = QuarantineBounds(timing.grant_validity + margins, timing.max_deadline + margins)
        askers = [self._ctx.opts.instance, *self._ctx.fleet.peers]
        return TakeoverQuarantine(bounds, askers, monotonic())

    def _start_owning(
        self, engine: str, holding: HeldOwnership, quarantine: TakeoverQuarantine | None
    ) -> OwnedEngine:
        opts = self._ctx.opts
        service = self._ctx.fleet.endpoints[engine].listed.service
        custody = EngineGrants(
            engine,
            holding,
            quarantine,
            announced=not self._checks_fence(engine),
            validity=opts.timing.grant_validity + opts.timing.lease_margin,
        )
        scheduler = EngineScheduler(engine, opts.policy, holding.since, service=service)
        scheduler.may_evict = custody.may_evict
        owned = OwnedEngine(custody, scheduler)
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
        """Begins to own the engines that were handed to this instance."""
        for engine in self._hand_overs.offered_engines():
            offered = self._hand_overs.take_effective_offer(engine, now)
            if offered is None or engine in self._ctx.owned:
                continue
            if engine not in self._ctx.fleet.endpoints:
                continue
            held = self._ctx.fleet.owners[engine]
            holding = HeldOwnership(held.fence, offered.generation, now)
            owned = self._start_owning(engine, holding, None)
            self._hand_overs.adopt_offer(owned, offered, now)

    async def hand_over(self, move: HandOver) -> None:
        """Hands one engine over and stops owning it."""
        moved = await self._hand_overs.hand_over(move)
        owned = self._ctx.owned.get(move.engine)
        if owned is None:
            return
        if moved is None:
            # Counts as owned from now on, so that it is not tried again at once.
            custody = owned.engine_grants
            custody.ownership = replace(custody.ownership, since=monotonic())
            return
        self._drop(owned, told=True)
        self._on_handed_over(moved)

    # Drops --------------------------------------------------------------------------------------

    def drop_lost(self) -> None:
        """Stops owning engines that have another owner or are gone."""
        for engine, owned in list(self._ctx.owned.items()):
            if owned.engine_grants.handing_over:
                continue
            held = self._ctx.fleet.owners.get(engine)
            lost = held is not None and held.fence > owned.fence and not self._is_mine(held)
            if lost or engine not in self._ctx.fleet.endpoints:
                self._drop(owned, told=False)

    def _is_mine(self, held: Ownership) -> bool:
        return (held.owner, held.boot) == self._ctx.identity

    def _drop(self, owned: OwnedEngine, told: bool) -> None:
        del self._ctx.owned[owned.engine]
        for task in list(owned.tasks):
            task.cancel()
        if not told:
            self._on_dropped(owned)
        self._ctx.metrics.engines_owned.set(len(self._ctx.owned))
        log("engine_dropped", engine=owned.engine, fence=owned.fence, handed_over=told)

    async def vacate_all(self) -> None:
        """Gives up all engines in the store and stops owning them; asks that wait are refused."""
        await asyncio.gather(*(self._vacate(owned) for owned in self._ctx.owned.values()))

    async def _vacate(self, owned: OwnedEngine) -> None:
        if await self._hand_overs.vacate(owned) and owned.engine in self._ctx.owned:
            self._drop(owned, told=False)

    def drop_all(self) -> None:
        """Stops owning everything; the instance stops."""
        for owned in list(self._ctx.owned.values()):
            self._drop(owned, told=False)
