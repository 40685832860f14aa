"""Which engines this instance orders: claims in the store, and an orderer for each one held."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

import msgspec
from wigeonarch_core.endpoint_ownership import (
    Claim,
    EndpointOwner,
    Era,
    ObservedLeases,
    plan_claim,
    preferred_owner,
)
from wigeonarch_core.promises import PromisesGiven
from wigeonarch_core.revisions import era_of
from wigeonarch_core.routes import EngineSpec
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.engine_controller import ControllerContext, EngineController, OrderAuthority
from wigeonarch_gateway.engineviews import UPDATE_VALID, EngineViews
from wigeonarch_gateway.leasing import OwnLease
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.object_contents import OwnerContent, content, read_owner
from wigeonarch_gateway.options import LeaseOptions
from wigeonarch_gateway.ports import (
    Absent,
    EndpointRecord,
    EndpointState,
    Listing,
    ObjectKind,
    ObjectStore,
    StoredObject,
    Unavailable,
)

CLAIM_INTERVAL: Final = 0.4  # Seconds between looks for engines without a holder.
RESUME_INTERVAL: Final = 0.2  # The same just after the start, for engines that this instance held.
# Seconds after which a write without an answer has taken effect or never will; the store may carry
# one out up to six seconds late.
MAX_WRITE_DELAY: Final = 8.0
NONCE_BYTES: Final = 4
# Seconds after the start until the peers of a common start are found and heard; until then an
# instance only resumes what it held.
STARTUP_TIME: Final = 2.4
# Stands for whoever a holder object names that can't be read: it has no lease, and after a term
# without one the endpoint may be taken over as from an instance that is gone.
UNKNOWN_OWNER: Final = "unreadable"
READ_INTERVAL: Final = 1.0  # Seconds between reads of the holder object of one engine.


@dataclass(slots=True)
class OwnedEngine:
    """An engine that this instance holds.

    Attributes:
        fence: Revision of the holder object.
        generation: Stretch of the lease in which it was written.
        era: The store's era in which it was written.
        not_before: Time from which orders may be given.
        orderer: The one that gives them.
        task: Its task.
    """

    fence: int
    generation: int
    era: int
    not_before: float
    controller: EngineController
    task: asyncio.Task[None]


class RemovedEngine(msgspec.Struct, frozen=True):
    """An engine that left the list while this instance held it.

    Attributes:
        at: Time at which it was dropped; no order was given later.
        fence: Revision of the holder object.
    """

    removed_at: float
    fence: int


class EngineOwnership:
    """The engines that this instance orders.

    Attributes:
        leaving: Whether this instance is shutting down.
        observed: Leases of the other instances.
        promises: Promises given to them.
    """

    __slots__ = (
        "_context",
        "_engines",
        "_era",
        "_last_reads",
        "_me",
        "_members",
        "_metrics",
        "_opts",
        "_own_lease",
        "_owned",
        "_previous_known",
        "_previously_owned",
        "_removed",
        "_started",
        "_store",
        "_takeover_times",
        "_views",
        "_with_owner_object",
        "leaving",
        "observed_leases",
        "promises",
    )

    def __init__(
        self,
        me: str,
        opts: LeaseOptions,
        store: ObjectStore,
        own_lease: OwnLease,
        members: Members,
        views: EngineViews,
        engines: Callable[[], list[tuple[EndpointRecord, EngineSpec]]],
        context: ControllerContext,
        metrics: Metrics,
    ) -> None:
        self._me = me
        self._opts = opts
        self._store = store
        self._own_lease = own_lease
        self._members = members
        self._views = views
        self._engines = engines
        self._context = context
        self._metrics = metrics
        self.observed_leases = ObservedLeases(opts.term, opts.margin)
        self.promises = PromisesGiven(opts.term)
        self._takeover_times: dict[str, float] = {}
        self._owned: dict[str, OwnedEngine] = {}
        self._removed: dict[str, RemovedEngine] = {}
        self._started = monotonic()
        self._era = Era()
        self._previously_owned: set[str] = set()  # Engines held at the last stop of this instance.
        self._with_owner_object: set[str] = (
            set()
        )  # Engines with a holder object at the start, or since.
        self._last_reads: dict[str, float] = {}  # Times of the last reads of holder objects.
        self._previous_known = False
        self.leaving = False

    def owned(self) -> list[str]:
        """Returns the engines that this instance holds."""
        return list(self._owned)

    def controller(self, endpoint: str) -> EngineController | None:
        """Returns the orderer of an engine that this instance holds."""
        held = self._owned.get(endpoint)
        return held.controller if held else None

    def zones(self) -> set[str]:
        """Returns the availability zones of the engines that this instance holds."""
        records = [self._context.record(endpoint) for endpoint in self._owned]
        return {record.zone for record in records if record is not None}

    def fence(self, endpoint: str) -> int:
        """Returns the fencing number of an engine; 0 when nothing may be ordered now."""
        held = self._owned.get(endpoint)
        now = monotonic()
        lease = self._own_lease.lease
        if held is None or not lease.is_valid(now) or held.generation != lease.generation:
            return 0
        if self._era.must_stop(held.era, now):
            return 0
        return held.fence if now >= held.not_before else 0

    def may_have_pending_takeover(self, owner: str) -> bool:
        """Tells whether a claim on an endpoint of an instance may take effect late."""
        return monotonic() - self._takeover_times.get(owner, float("-inf")) < MAX_WRITE_DELAY

    async def claim_engines(self) -> None:
        """Claims engines without a holder; runs until cancelled."""
        while True:
            await self._check_engines()
            young = monotonic() - self._started < STARTUP_TIME
            await asyncio.sleep(RESUME_INTERVAL if young else CLAIM_INTERVAL)

    def close(self) -> None:
        """Stops giving orders."""
        for held in self._owned.values():
            held.task.cancel()

    async def _check_engines(self) -> None:
        engines = self._engines()
        known = {record.endpoint for record, _ in engines}
        for endpoint in [name for name in self._owned if name not in known]:
            self._stop_owning(endpoint)
        await self._delete_owner_objects(known)
        self._last_reads = {name: at for name, at in self._last_reads.items() if name in known}
        if not self._own_lease.lease.is_valid(monotonic()):
            return
        if self._store.era is not None:
            self._era.observe(self._store.era, monotonic())
        if not self._previous_known:
            await self._read_previously_owned()
        heard = set(self._members.reachable())
        for record, spec in engines:
            if self._needs_check(record, heard) and self._may_have_to_claim(record):
                await self._claim(record, spec)

    async def _read_previously_owned(self) -> None:
        """Reads once, at the start, which engines this instance held before.

        The list may be some seconds old: each claim reads its holder anew.
        """
        found = await self._store.list(ObjectKind.HOLDERS, stale=True)
        if isinstance(found, Listing):
            holders = {one.name: read_owner(one) for one in found.objects}
            self._previously_owned = {
                name
                for name, holder in holders.items()
                if holder is not None and holder.holder == self._me
            }
            self._with_owner_object = set(holders)
            self._previous_known = True

    def _may_have_to_claim(self, record: EndpointRecord) -> bool:
        """Tells whether this instance may have to claim an engine; only then it asks the store."""
        endpoint = record.endpoint
        if endpoint in self._owned or endpoint in self._previously_owned:
            return True
        if monotonic() - self._started < STARTUP_TIME:
            return False
        if monotonic() - self._last_reads.get(endpoint, float("-inf")) < READ_INTERVAL:
            return False
        candidates = self._members.roles.owner_candidates(record.zone, not self.leaving)
        return preferred_owner(endpoint, candidates) == self._me

    def _needs_check(self, record: EndpointRecord, reachable: set[str]) -> bool:
        held = self._owned.get(record.endpoint)
        if held is not None:
            return not self._is_confirmed(held)
        if self.leaving or record.state is not EndpointState.READY:
            return False
        view = self._views.get(record.endpoint)
        now = monotonic()
        return now - view.last_update >= UPDATE_VALID or view.owner not in reachable

    def _owned_throughout(self, owned: OwnedEngine) -> bool:
        """Tells whether an engine was held all along in the present stretch of the lease."""
        return owned.generation == self._own_lease.lease.generation

    def _is_confirmed(self, owned: OwnedEngine) -> bool:
        """Tells whether the store has in its present era that an engine is held."""
        return self._owned_throughout(owned) and owned.era == self._era.number

    async def _claim(self, record: EndpointRecord, spec: EngineSpec) -> None:
        endpoint = record.endpoint
        self._last_reads[endpoint] = monotonic()
        found = await self._read_owner_object(endpoint)
        if isinstance(found, Unavailable):
            return
        holder = None
        if isinstance(found, StoredObject):
            read = read_owner(found) or OwnerContent(UNKNOWN_OWNER)
            name = read.holder
            # This process knows by itself when it may order what it took over.
            taken = read.taken_over and endpoint not in self._owned
            current = read.era >= self._era.number
            holder = EndpointOwner(endpoint, name, found.revision, taken, current)
            if name not in (self._me, *self._members.with_lease()):
                await self._read_lease(name)
        held = self._owned.get(endpoint)
        if held is None and self._owner_may_be_unrecorded(endpoint, holder):
            return
        self._previously_owned.discard(endpoint)
        wanted = plan_claim(
            endpoint,
            holder,
            self._me,
            held is not None and self._is_confirmed(held),
            self._members.with_lease() | set(self.promises.owners(monotonic())),
            self._members.roles.owner_candidates(record.zone, not self.leaving),
            self.observed_leases,
            self._opts.pause,
            held is not None and self._owned_throughout(held),
        )
        if wanted is not None and self._is_takeover_safe(wanted):
            if holder is not None:
                self._takeover_times[holder.owner] = monotonic()
            await self._write_claim(wanted, spec)
        elif held is not None and (holder is None or holder.owner != self._me):
            log("endpoint_lost_to", endpoint=endpoint, holder=holder.owner if holder else "")
            self._stop_owning(endpoint)

    def _owner_may_be_unrecorded(self, endpoint: str, record: EndpointOwner | None) -> bool:
        """Tells whether a holder goes on by a promise, whom an older copy of the store lacks."""
        if record is not None and record.in_current_era:
            return False
        return self.promises.is_in_force(self._views.get(endpoint).owner, monotonic())

    async def _read_owner_object(self, endpoint: str) -> StoredObject | Absent | Unavailable:
        """Returns the holder object of an engine.

        One that was never seen to exist is taken as absent once: what is written then is made only
        if that is so, which the store decides.
        """
        if endpoint not in self._with_owner_object:
            self._with_owner_object.add(endpoint)
            return Absent()
        return await self._store.get(ObjectKind.HOLDERS, endpoint)

    def _is_takeover_safe(self, wanted: Claim) -> bool:
        """Tells whether the own lease has held long enough for a takeover to be safe."""
        return not wanted.pause or self._own_lease.lease.is_settled(monotonic())

    async def _read_lease(self, owner: str) -> None:
        found = await self._store.get(ObjectKind.LEASES, owner)
        if isinstance(found, StoredObject):
            self.observed_leases.record_read(owner, found.revision, monotonic())
        elif isinstance(found, Absent):
            self.observed_leases.record_read(owner, 0, monotonic())

    async def _write_claim(self, wanted: Claim, spec: EngineSpec) -> None:
        generation, era = self._own_lease.lease.generation, self._era.number
        name = wanted.endpoint
        # Each write must change the object, as only a change gives a new fencing number.
        nonce = os.urandom(NONCE_BYTES).hex()
        waits = self._orders_from(wanted) > monotonic()
        stored = content(OwnerContent(self._me, waits, nonce, era))
        if wanted.revision:
            result = await self._store.replace(ObjectKind.HOLDERS, name, stored, wanted.revision)
        else:
            result = await self._store.create(ObjectKind.HOLDERS, name, stored)
        log(
            "claim",
            endpoint=name,
            expected=wanted.revision,
            pause=wanted.pause,
            result=type(result).__name__,
        )
        self._metrics.claims.labels(type(result).__name__).inc()
        # One that an era accepted in which it was not meant says nothing: the next look reads it.
        if isinstance(result, StoredObject) and era_of(result.revision) == era:
            self._note_owned(wanted, spec, result.revision, generation)

    def _orders_from(self, wanted: Claim) -> float:
        """Returns the time from which orders may be given after a write that is accepted now."""
        from_now = monotonic() + wanted.pause
        held = self._owned.get(wanted.endpoint)
        if held is not None and self._owned_throughout(held):
            return max(from_now, held.not_before)
        if wanted.no_earlier_owner:
            return from_now
        opts = self._opts
        return max(from_now, self._era.settled_at(opts.term, opts.margin, opts.pause))

    def _note_owned(self, wanted: Claim, spec: EngineSpec, fence: int, generation: int) -> None:
        endpoint = wanted.endpoint
        era = era_of(fence)
        not_before = self._orders_from(wanted)
        held = self._owned.get(endpoint)
        if held is not None:
            held.fence = fence
            held.generation = generation
            held.era = era
            held.not_before = not_before
            return
        right = OrderAuthority(self._me, lambda: self.fence(endpoint))
        orderer = EngineController(endpoint, spec, right, self._context)
        task = asyncio.create_task(orderer.run(), name=f"orderer-{endpoint}")
        self._owned[endpoint] = OwnedEngine(fence, generation, era, not_before, orderer, task)
        self._metrics.held.set(len(self._owned))

    def _stop_owning(self, endpoint: str) -> None:
        held = self._owned.pop(endpoint)
        held.task.cancel()
        self._metrics.held.set(len(self._owned))
        if self._context.record(endpoint) is None:
            self._removed[endpoint] = RemovedEngine(monotonic(), held.fence)
            # Should it come back, this instance is the one that may order it at once.
            self._previously_owned.add(endpoint)

    async def _delete_owner_objects(self, known: Collection[str]) -> None:
        """Removes the holder objects of engines that stay away.

        Not before the time that must lie between the orders of two holders: whoever finds no object
        takes the engine without a pause, also when its entry was missing for a moment only.
        """
        for endpoint, given_up in list(self._removed.items()):
            if endpoint in known:
                del self._removed[endpoint]
            elif monotonic() - given_up.removed_at >= self._opts.pause:
                del self._removed[endpoint]
                self._previously_owned.discard(endpoint)
                await self._store.remove(ObjectKind.HOLDERS, endpoint, given_up.fence)
