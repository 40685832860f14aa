"""Which engines this instance orders: claims in the store, and an orderer for each one held."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Final

import msgspec
from wigeonarch_core.holding import Claim, Era, HolderRecord, Observed, claim, wanted_holder
from wigeonarch_core.promises import PromisesGiven
from wigeonarch_core.revisions import era_of
from wigeonarch_core.routes import EngineSpec
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.engineviews import NEWS_VALID, EngineViews
from wigeonarch_gateway.leasing import Leasing
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.options import HoldingOptions
from wigeonarch_gateway.orderer import Orderer, Right, Surroundings
from wigeonarch_gateway.ownobjects import HolderContent, content, read_holder
from wigeonarch_gateway.ports import (
    Absent,
    EndpointRecord,
    EndpointState,
    Kinds,
    Listing,
    ObjectStore,
    StoredObject,
    Unavailable,
)

CLAIM_EVERY: Final = 0.4  # Seconds between looks for engines without a holder.
RESUME_EVERY: Final = 0.2  # The same just after the start, for engines that this instance held.
# Seconds after which a write without an answer has taken effect or never will; the store may carry
# one out up to six seconds late.
CLAIM_EFFECT: Final = 8.0
NONCE_BYTES: Final = 4
# Seconds after the start until the peers of a common start are found and heard; until then an
# instance only resumes what it held.
SETTLE: Final = 2.4
# Stands for whoever a holder object names that can't be read: it has no lease, and after a term
# without one the endpoint may be taken over as from an instance that is gone.
UNKNOWN_HOLDER: Final = "unreadable"
READ_EVERY: Final = 1.0  # Seconds between reads of the holder object of one engine.


@dataclass(slots=True)
class Held:
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
    orderer: Orderer
    task: asyncio.Task[None]


class GivenUp(msgspec.Struct, frozen=True):
    """An engine that left the list while this instance held it.

    Attributes:
        at: Time at which it was dropped; no order was given later.
        fence: Revision of the holder object.
    """

    at: float
    fence: int


class Holders:
    """The engines that this instance orders.

    Attributes:
        leaving: Whether this instance is shutting down.
        observed: Leases of the other instances.
        promises: Promises given to them.
    """

    __slots__ = (
        "_around",
        "_engines",
        "_era",
        "_given_up",
        "_had_holder",
        "_held",
        "_leasing",
        "_me",
        "_members",
        "_metrics",
        "_opts",
        "_own",
        "_read",
        "_resumed",
        "_started",
        "_store",
        "_taking",
        "_views",
        "leaving",
        "observed",
        "promises",
    )

    def __init__(
        self,
        me: str,
        opts: HoldingOptions,
        store: ObjectStore,
        leasing: Leasing,
        members: Members,
        views: EngineViews,
        engines: Callable[[], list[tuple[EndpointRecord, EngineSpec]]],
        around: Surroundings,
        metrics: Metrics,
    ) -> None:
        self._me = me
        self._opts = opts
        self._store = store
        self._leasing = leasing
        self._members = members
        self._views = views
        self._engines = engines
        self._around = around
        self._metrics = metrics
        self.observed = Observed(opts.term, opts.margin)
        self.promises = PromisesGiven(opts.term)
        self._taking: dict[str, float] = {}
        self._held: dict[str, Held] = {}
        self._given_up: dict[str, GivenUp] = {}
        self._started = monotonic()
        self._era = Era()
        self._own: set[str] = set()  # Engines held at the last stop of this instance.
        self._had_holder: set[str] = set()  # Engines with a holder object at the start, or since.
        self._read: dict[str, float] = {}  # Times of the last reads of holder objects.
        self._resumed = False
        self.leaving = False

    def held(self) -> list[str]:
        """Returns the engines that this instance holds."""
        return list(self._held)

    def orderer(self, endpoint: str) -> Orderer | None:
        """Returns the orderer of an engine that this instance holds."""
        held = self._held.get(endpoint)
        return held.orderer if held else None

    def zones(self) -> set[str]:
        """Returns the availability zones of the engines that this instance holds."""
        records = [self._around.record(endpoint) for endpoint in self._held]
        return {record.zone for record in records if record is not None}

    def fence(self, endpoint: str) -> int:
        """Returns the fencing number of an engine; 0 when nothing may be ordered now."""
        held = self._held.get(endpoint)
        now = monotonic()
        lease = self._leasing.lease
        if held is None or not lease.holds(now) or held.generation != lease.generation:
            return 0
        if self._era.unconfirmed(held.era, now):
            return 0
        return held.fence if now >= held.not_before else 0

    def may_be_taking_from(self, holder: str) -> bool:
        """Tells whether a claim on an endpoint of an instance may take effect late."""
        return monotonic() - self._taking.get(holder, float("-inf")) < CLAIM_EFFECT

    async def keep(self) -> None:
        """Claims engines without a holder; runs until cancelled."""
        while True:
            await self._look()
            young = monotonic() - self._started < SETTLE
            await asyncio.sleep(RESUME_EVERY if young else CLAIM_EVERY)

    def close(self) -> None:
        """Stops giving orders."""
        for held in self._held.values():
            held.task.cancel()

    async def _look(self) -> None:
        engines = self._engines()
        known = {record.endpoint for record, _ in engines}
        for endpoint in [name for name in self._held if name not in known]:
            self._drop(endpoint)
        await self._remove_given_up(known)
        self._read = {name: at for name, at in self._read.items() if name in known}
        if not self._leasing.lease.holds(monotonic()):
            return
        if self._store.era is not None:
            self._era.saw(self._store.era, monotonic())
        if not self._resumed:
            await self._find_own()
        heard = set(self._members.heard())
        for record, spec in engines:
            if self._needs_look(record, heard) and self._concerns(record):
                await self._claim(record, spec)

    async def _find_own(self) -> None:
        """Reads once, at the start, which engines this instance held before.

        The list may be some seconds old: each claim reads its holder anew.
        """
        found = await self._store.list(Kinds.HOLDERS, stale=True)
        if isinstance(found, Listing):
            holders = {one.name: read_holder(one) for one in found.objects}
            self._own = {
                name
                for name, holder in holders.items()
                if holder is not None and holder.holder == self._me
            }
            self._had_holder = set(holders)
            self._resumed = True

    def _concerns(self, record: EndpointRecord) -> bool:
        """Tells whether this instance may have to claim an engine; only then it asks the store."""
        endpoint = record.endpoint
        if endpoint in self._held or endpoint in self._own:
            return True
        if monotonic() - self._started < SETTLE:
            return False
        if monotonic() - self._read.get(endpoint, float("-inf")) < READ_EVERY:
            return False
        candidates = self._members.duties.candidates(record.zone, not self.leaving)
        return wanted_holder(endpoint, candidates) == self._me

    def _needs_look(self, record: EndpointRecord, heard: set[str]) -> bool:
        held = self._held.get(record.endpoint)
        if held is not None:
            return not self._is_confirmed(held)
        if self.leaving or record.state is not EndpointState.READY:
            return False
        view = self._views.get(record.endpoint)
        now = monotonic()
        return now - view.heard >= NEWS_VALID or view.holder not in heard

    def _keeps(self, held: Held) -> bool:
        """Tells whether an engine was held all along in the present stretch of the lease."""
        return held.generation == self._leasing.lease.generation

    def _is_confirmed(self, held: Held) -> bool:
        """Tells whether the store has in its present era that an engine is held."""
        return self._keeps(held) and held.era == self._era.number

    async def _claim(self, record: EndpointRecord, spec: EngineSpec) -> None:
        endpoint = record.endpoint
        self._read[endpoint] = monotonic()
        found = await self._find_holder(endpoint)
        if isinstance(found, Unavailable):
            return
        holder = None
        if isinstance(found, StoredObject):
            read = read_holder(found) or HolderContent(UNKNOWN_HOLDER)
            name = read.holder
            # This process knows by itself when it may order what it took over.
            taken = read.taken_over and endpoint not in self._held
            current = read.era >= self._era.number
            holder = HolderRecord(endpoint, name, found.revision, taken, current)
            if name not in (self._me, *self._members.holding()):
                await self._observe(name)
        held = self._held.get(endpoint)
        if held is None and self._may_be_forgotten(endpoint, holder):
            return
        self._own.discard(endpoint)
        wanted = claim(
            endpoint,
            holder,
            self._me,
            held is not None and self._is_confirmed(held),
            self._members.holding() | set(self.promises.owners(monotonic())),
            self._members.duties.candidates(record.zone, not self.leaving),
            self.observed,
            self._opts.pause,
            held is not None and self._keeps(held),
        )
        if wanted is not None and self._may_take(wanted):
            if holder is not None:
                self._taking[holder.holder] = monotonic()
            await self._write(wanted, spec)
        elif held is not None and (holder is None or holder.holder != self._me):
            log("endpoint_lost_to", endpoint=endpoint, holder=holder.holder if holder else "")
            self._drop(endpoint)

    def _may_be_forgotten(self, endpoint: str, holder: HolderRecord | None) -> bool:
        """Tells whether a holder goes on by a promise, whom an older copy of the store lacks."""
        if holder is not None and holder.current:
            return False
        return self.promises.in_force(self._views.get(endpoint).holder, monotonic())

    async def _find_holder(self, endpoint: str) -> StoredObject | Absent | Unavailable:
        """Returns the holder object of an engine.

        One that was never seen to exist is taken as absent once: what is written then is made only
        if that is so, which the store decides.
        """
        if endpoint not in self._had_holder:
            self._had_holder.add(endpoint)
            return Absent()
        return await self._store.get(Kinds.HOLDERS, endpoint)

    def _may_take(self, wanted: Claim) -> bool:
        """Tells whether the own lease has held long enough for a takeover to be safe."""
        return not wanted.pause or self._leasing.lease.settled(monotonic())

    async def _observe(self, holder: str) -> None:
        found = await self._store.get(Kinds.LEASES, holder)
        if isinstance(found, StoredObject):
            self.observed.read(holder, found.revision, monotonic())
        elif isinstance(found, Absent):
            self.observed.read(holder, 0, monotonic())

    async def _write(self, wanted: Claim, spec: EngineSpec) -> None:
        generation, era = self._leasing.lease.generation, self._era.number
        name = wanted.endpoint
        # Each write must change the object, as only a change gives a new fencing number.
        nonce = os.urandom(NONCE_BYTES).hex()
        waits = self._orders_from(wanted) > monotonic()
        stored = content(HolderContent(self._me, waits, nonce, era))
        if wanted.revision:
            result = await self._store.replace(Kinds.HOLDERS, name, stored, wanted.revision)
        else:
            result = await self._store.create(Kinds.HOLDERS, name, stored)
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
            self._take(wanted, spec, result.revision, generation)

    def _orders_from(self, wanted: Claim) -> float:
        """Returns the time from which orders may be given after a write that is accepted now."""
        from_now = monotonic() + wanted.pause
        held = self._held.get(wanted.endpoint)
        if held is not None and self._keeps(held):
            return max(from_now, held.not_before)
        if wanted.settled:
            return from_now
        opts = self._opts
        return max(from_now, self._era.settled(opts.term, opts.margin, opts.pause))

    def _take(self, wanted: Claim, spec: EngineSpec, fence: int, generation: int) -> None:
        endpoint = wanted.endpoint
        era = era_of(fence)
        not_before = self._orders_from(wanted)
        held = self._held.get(endpoint)
        if held is not None:
            held.fence = fence
            held.generation = generation
            held.era = era
            held.not_before = not_before
            return
        right = Right(self._me, lambda: self.fence(endpoint))
        orderer = Orderer(endpoint, spec, right, self._around)
        task = asyncio.create_task(orderer.run(), name=f"orderer-{endpoint}")
        self._held[endpoint] = Held(fence, generation, era, not_before, orderer, task)
        self._metrics.held.set(len(self._held))

    def _drop(self, endpoint: str) -> None:
        held = self._held.pop(endpoint)
        held.task.cancel()
        self._metrics.held.set(len(self._held))
        if self._around.record(endpoint) is None:
            self._given_up[endpoint] = GivenUp(monotonic(), held.fence)
            # Should it come back, this instance is the one that may order it at once.
            self._own.add(endpoint)

    async def _remove_given_up(self, known: Collection[str]) -> None:
        """Removes the holder objects of engines that stay away.

        Not before the time that must lie between the orders of two holders: whoever finds no object
        takes the engine without a pause, also when its entry was missing for a moment only.
        """
        for endpoint, given_up in list(self._given_up.items()):
            if endpoint in known:
                del self._given_up[endpoint]
            elif monotonic() - given_up.at >= self._opts.pause:
                del self._given_up[endpoint]
                self._own.discard(endpoint)
                await self._store.remove(Kinds.HOLDERS, endpoint, given_up.fence)
