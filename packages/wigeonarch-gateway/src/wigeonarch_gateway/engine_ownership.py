"""Claims ownership of engines in the store, and runs an `EngineController` for each engine owned.

The owner of an engine is the only instance that may give it orders. Each engine has an owner object
in the store, whose revision is the fencing token of the orders. `core.holding` decides when this
instance may write the object; this module reads what the decision needs and carries it out.
"""

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

CLAIM_INTERVAL: Final = 0.4  # Seconds between checks for engines without an owner.
RESUME_INTERVAL: Final = 0.2  # The same just after the start, for engines owned before.
# Seconds after which a write without an answer has taken effect or never will. The store may carry
# one out up to six seconds late.
MAX_WRITE_DELAY: Final = 8.0
NONCE_BYTES: Final = 4
# Seconds after the start within which peers that start at the same time are found and their
# heartbeats arrive. Until then an instance only resumes the engines that it owned before.
STARTUP_TIME: Final = 2.4
# Stands for the owner in an owner object that can't be decoded. It has no lease, so after one lease
# term the endpoint may be taken over as from an instance that is gone.
UNKNOWN_OWNER: Final = "unreadable"
READ_INTERVAL: Final = 1.0  # Seconds between reads of the owner object of one engine.


@dataclass(slots=True)
class OwnedEngine:
    """An engine that this instance owns.

    Attributes:
        fence: Revision of the owner object, which is the fencing token.
        generation: Generation of the lease in which the object was written; a new one begins when
            the lease has lapsed.
        era: Era of the store in which the object was written.
        not_before: Time from which orders may be given.
        controller: Gives the orders.
        task: Task that runs the controller.
    """

    fence: int
    generation: int
    era: int
    not_before: float
    controller: EngineController
    task: asyncio.Task[None]


class RemovedEngine(msgspec.Struct, frozen=True):
    """An engine whose entry disappeared while this instance owned it.

    Attributes:
        removed_at: Time at which this instance stopped giving it orders.
        fence: Revision of the owner object.
    """

    removed_at: float
    fence: int


class EngineOwnership:
    """The engines that this instance owns.

    Attributes:
        leaving: Whether this instance is shutting down.
        observed_leases: Leases of the other instances.
        promises: Lease support promises given to the other instances.
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
        # Engines that this instance owned when its last process ended.
        self._previously_owned: set[str] = set()
        # Engines that had an owner object at the start, or since.
        self._with_owner_object: set[str] = set()
        self._last_reads: dict[str, float] = {}  # Last reads of owner objects.
        self._previous_known = False
        self.leaving = False

    def owned(self) -> list[str]:
        """Returns the engines that this instance owns."""
        return list(self._owned)

    def controller(self, endpoint: str) -> EngineController | None:
        """Returns the controller of an engine that this instance owns; None for other engines."""
        owned = self._owned.get(endpoint)
        return owned.controller if owned else None

    def zones(self) -> set[str]:
        """Returns the availability zones of the engines that this instance owns."""
        records = [self._context.record(endpoint) for endpoint in self._owned]
        return {record.zone for record in records if record is not None}

    def fence(self, endpoint: str) -> int:
        """Returns the fencing token of an engine; 0 if no orders may be given now."""
        owned = self._owned.get(endpoint)
        now = monotonic()
        lease = self._own_lease.lease
        if owned is None or not lease.is_valid(now) or owned.generation != lease.generation:
            return 0
        if self._era.must_stop(owned.era, now):
            return 0
        return owned.fence if now >= owned.not_before else 0

    def may_have_pending_takeover(self, owner: str) -> bool:
        """Tells whether an attempt to take an endpoint over from an owner may still take effect."""
        return monotonic() - self._takeover_times.get(owner, float("-inf")) < MAX_WRITE_DELAY

    async def claim_engines(self) -> None:
        """Claims engines without an owner; runs until cancelled."""
        while True:
            await self._check_engines()
            starting = monotonic() - self._started < STARTUP_TIME
            await asyncio.sleep(RESUME_INTERVAL if starting else CLAIM_INTERVAL)

    def close(self) -> None:
        """Stops giving orders."""
        for owned in self._owned.values():
            owned.task.cancel()

    async def _check_engines(self) -> None:
        """Stops owning engines that are gone, and claims engines that need an owner."""
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
        reachable = set(self._members.reachable())
        for record, spec in engines:
            if self._needs_check(record, reachable) and self._may_have_to_claim(record):
                await self._claim(record, spec)

    async def _read_previously_owned(self) -> None:
        """Reads once, at the start, which engines this instance owned before.

        A list that is some seconds old is sufficient, because each claim reads the owner object
        again.
        """
        found = await self._store.list(ObjectKind.HOLDERS, stale=True)
        if isinstance(found, Listing):
            owners = {one.name: read_owner(one) for one in found.objects}
            self._previously_owned = {
                name
                for name, owner in owners.items()
                if owner is not None and owner.holder == self._me
            }
            self._with_owner_object = set(owners)
            self._previous_known = True

    def _may_have_to_claim(self, record: EndpointRecord) -> bool:
        """Tells whether this instance may have to claim an engine; if not, the store isn't read."""
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
        """Tells whether an engine may lack an owner, or its ownership must be written again."""
        owned = self._owned.get(record.endpoint)
        if owned is not None:
            return not self._is_confirmed(owned)
        if self.leaving or record.state is not EndpointState.READY:
            return False
        view = self._views.get(record.endpoint)
        now = monotonic()
        return now - view.last_update >= UPDATE_VALID or view.owner not in reachable

    def _owned_throughout(self, owned: OwnedEngine) -> bool:
        """Tells whether an engine has been owned since the lease's present generation began."""
        return owned.generation == self._own_lease.lease.generation

    def _is_confirmed(self, owned: OwnedEngine) -> bool:
        """Tells whether the store records the ownership of an engine in its present era."""
        return self._owned_throughout(owned) and owned.era == self._era.number

    async def _claim(self, record: EndpointRecord, spec: EngineSpec) -> None:
        """Reads the owner object of an engine, and writes it if `claim` decides so."""
        endpoint = record.endpoint
        self._last_reads[endpoint] = monotonic()
        found = await self._read_owner_object(endpoint)
        if isinstance(found, Unavailable):
            return
        owner_record = None
        if isinstance(found, StoredObject):
            read = read_owner(found) or OwnerContent(UNKNOWN_OWNER)
            name = read.holder
            # For an engine that it owns, this process knows by itself from when it may give orders.
            taken = read.taken_over and endpoint not in self._owned
            current = read.era >= self._era.number
            owner_record = EndpointOwner(endpoint, name, found.revision, taken, current)
            if name not in (self._me, *self._members.with_lease()):
                await self._read_lease(name)
        owned = self._owned.get(endpoint)
        if owned is None and self._owner_may_be_unrecorded(endpoint, owner_record):
            return
        self._previously_owned.discard(endpoint)
        wanted = plan_claim(
            endpoint,
            owner_record,
            self._me,
            owned is not None and self._is_confirmed(owned),
            self._members.with_lease() | set(self.promises.owners(monotonic())),
            self._members.roles.owner_candidates(record.zone, not self.leaving),
            self.observed_leases,
            self._opts.pause,
            owned is not None and self._owned_throughout(owned),
        )
        if wanted is not None and self._is_takeover_safe(wanted):
            if owner_record is not None:
                self._takeover_times[owner_record.owner] = monotonic()
            await self._write_claim(wanted, spec)
        elif owned is not None and (owner_record is None or owner_record.owner != self._me):
            log(
                "endpoint_lost_to",
                endpoint=endpoint,
                holder=owner_record.owner if owner_record else "",
            )
            self._stop_owning(endpoint)

    def _owner_may_be_unrecorded(self, endpoint: str, record: EndpointOwner | None) -> bool:
        """Tells whether an owner with a promise is missing in the store.

        The store may have come back from a copy that is older than its owner object.
        """
        if record is not None and record.in_current_era:
            return False
        return self.promises.is_in_force(self._views.get(endpoint).owner, monotonic())

    async def _read_owner_object(self, endpoint: str) -> StoredObject | Absent | Unavailable:
        """Returns the owner object of an engine.

        The first time, an object that was never seen is assumed to be absent without a read. That
        is safe because the store creates the object only if it really is absent.
        """
        if endpoint not in self._with_owner_object:
            self._with_owner_object.add(endpoint)
            return Absent()
        return await self._store.get(ObjectKind.HOLDERS, endpoint)

    def _is_takeover_safe(self, wanted: Claim) -> bool:
        """Tells whether this instance's lease has been in force long enough for a safe takeover."""
        return not wanted.pause or self._own_lease.lease.is_settled(monotonic())

    async def _read_lease(self, owner: str) -> None:
        """Reads the lease of an owner, to find out whether it has lapsed."""
        found = await self._store.get(ObjectKind.LEASES, owner)
        if isinstance(found, StoredObject):
            self.observed_leases.record_read(owner, found.revision, monotonic())
        elif isinstance(found, Absent):
            self.observed_leases.record_read(owner, 0, monotonic())

    async def _write_claim(self, wanted: Claim, spec: EngineSpec) -> None:
        """Writes the owner object of an engine; if that is accepted, this instance owns it."""
        generation, era = self._own_lease.lease.generation, self._era.number
        name = wanted.endpoint
        # Each write must change the object, because only a change yields a new fencing token.
        nonce = os.urandom(NONCE_BYTES).hex()
        must_wait = self._orders_from(wanted) > monotonic()
        stored = content(OwnerContent(self._me, must_wait, nonce, era))
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
        # A write accepted in another era than intended proves nothing; the next check reads the
        # object.
        if isinstance(result, StoredObject) and era_of(result.revision) == era:
            self._note_owned(wanted, spec, result.revision, generation)

    def _orders_from(self, wanted: Claim) -> float:
        """Returns the time from which orders may be given if a write is accepted now.

        What this process has to wait for it goes on waiting for, also in a new generation of its
        lease: the owner object doesn't tell when the pause after a takeover began.
        """
        earliest = monotonic() + wanted.pause
        owned = self._owned.get(wanted.endpoint)
        if owned is not None:
            earliest = max(earliest, owned.not_before)
            if self._owned_throughout(owned):
                return earliest
        if wanted.no_earlier_owner:
            return earliest
        opts = self._opts
        return max(earliest, self._era.settled_at(opts.term, opts.margin, opts.pause))

    def _note_owned(self, wanted: Claim, spec: EngineSpec, fence: int, generation: int) -> None:
        endpoint = wanted.endpoint
        era = era_of(fence)
        not_before = self._orders_from(wanted)
        owned = self._owned.get(endpoint)
        if owned is not None:
            owned.fence = fence
            owned.generation = generation
            owned.era = era
            owned.not_before = not_before
            return
        authority = OrderAuthority(self._me, lambda: self.fence(endpoint))
        controller = EngineController(endpoint, spec, authority, self._context)
        task = asyncio.create_task(controller.run(), name=f"orderer-{endpoint}")
        self._owned[endpoint] = OwnedEngine(fence, generation, era, not_before, controller, task)
        self._metrics.held.set(len(self._owned))

    def _stop_owning(self, endpoint: str) -> None:
        """Stops giving orders to an engine."""
        owned = self._owned.pop(endpoint)
        owned.task.cancel()
        self._metrics.held.set(len(self._owned))
        if self._context.record(endpoint) is None:
            self._removed[endpoint] = RemovedEngine(monotonic(), owned.fence)
            # If the engine comes back, this instance may give it orders at once.
            self._previously_owned.add(endpoint)

    async def _delete_owner_objects(self, known: Collection[str]) -> None:
        """Deletes the owner objects of engines whose entries stay away.

        An object is deleted only after the pause that must lie between the orders of two owners. An
        instance that finds no object takes the engine without a pause, even if the engine's entry
        was missing only for a moment.
        """
        for endpoint, removed in list(self._removed.items()):
            if endpoint in known:
                del self._removed[endpoint]
            elif monotonic() - removed.removed_at >= self._opts.pause:
                del self._removed[endpoint]
                self._previously_owned.discard(endpoint)
                await self._store.remove(ObjectKind.HOLDERS, endpoint, removed.fence)
