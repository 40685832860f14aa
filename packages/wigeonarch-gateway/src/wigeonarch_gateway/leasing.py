"""Keeps this instance's lease in the store renewed, or extended by promises of its peers.

An instance that can't renew its lease asks its peers for support. A peer that reaches the store
renews the lease on its behalf, and all peers promise not to take over its endpoints for one lease
term. With a promise of every instance that could take over, the lease stays in force. An extension
counts from the moment of the request, so a reply that is late or lost never extends the lease
beyond what the peers promised.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Collection
from typing import Final

import msgspec
from wigeonarch_core.lease import HeldLease
from wigeonarch_core.promises import PromisesHeld
from wigeonarch_runtime.clock import monotonic, unix_time
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.directory import ListedLease
from wigeonarch_gateway.messages import LeaseRenewed, LeaseSupportPromise, LeaseSupportRequest
from wigeonarch_gateway.object_contents import LeaseContent, content, read_lease
from wigeonarch_gateway.options import LeaseOptions
from wigeonarch_gateway.ports import (
    Absent,
    Conflict,
    ObjectKind,
    ObjectStore,
    StoredObject,
    Unavailable,
)
from wigeonarch_gateway.software_records import MS, SoftwareRecord, mixed_to_store
from wigeonarch_gateway.suspect_parts import CrashesByPart
from wigeonarch_gateway.suspects import CrashesByContent

# Seconds without an answer to a renewal after which peers are asked for support. The store usually
# answers within a few milliseconds, and the call's own timeout, which detects a lost answer, is
# longer.
PEER_REQUEST_DELAY: Final = 0.3
# Seconds between renewals by an instance that owns no endpoint. It still renews so that others find
# its address by the lease and see that its process is alive.
IDLE_RENEWAL_INTERVAL: Final = 25.0
# Seconds between renewals at least, however often there is something new to store.
MIN_RENEWAL_INTERVAL: Final = 0.25


class Identity(msgspec.Struct, frozen=True):
    """The identity of this instance.

    Attributes:
        name: Its name, which stays the same across restarts.
        incarnation: Incarnation of its process.
        address: Its address for messages.
        zone: Its availability zone.
    """

    name: str
    incarnation: str
    address: str
    zone: str


class CrashMemory(msgspec.Struct, frozen=True):
    """Access to what crashed several endpoints, which the lease object stores, too.

    Attributes:
        crashes: Returns the requests and crashes to store.
        restore: Takes over those that the last incarnation's lease stored.
        part_crashes: Returns the parts of prompts and crashes to store.
        restore_parts: Takes over those that the last incarnation's lease stored.
    """

    crashes: Callable[[], CrashesByContent]
    restore: Callable[[CrashesByContent], None]
    part_crashes: Callable[[], CrashesByPart] = list
    restore_parts: Callable[[CrashesByPart], None] = lambda stored: None


class SoftwareMemory(msgspec.Struct, frozen=True):
    """Access to the software at which streams of this instance may have begun.

    Attributes:
        record: Returns the record to store.
        restore: Takes over the record in a lease of the last incarnation, before it is replaced.
        on_stored: Called with each record that the store has accepted.
    """

    record: Callable[[], SoftwareRecord] = SoftwareRecord
    restore: Callable[[LeaseContent], None] = lambda lease: None
    on_stored: Callable[[SoftwareRecord], None] = lambda record: None


class OwnLease:
    """This instance's lease.

    Attributes:
        lease: Tells whether the lease is in force, and until when.
    """

    __slots__ = (
        "_crash_memory",
        "_is_needed",
        "_listed_lease",
        "_logged_as_held",
        "_me",
        "_opts",
        "_possible_successors",
        "_promises",
        "_renewal_count",
        "_request_support",
        "_revision",
        "_revision_conflict",
        "_software_memory",
        "_store",
        "_urgent",
        "lease",
    )

    def __init__(
        self,
        store: ObjectStore,
        opts: LeaseOptions,
        me: Identity,
        request_support: Callable[[LeaseSupportRequest], None],
        possible_successors: Callable[[], Collection[str]],
        is_needed: Callable[[], bool],
        listed_lease: Callable[[], Awaitable[ListedLease | None]],
        memory: CrashMemory,
        software_memory: SoftwareMemory | None = None,
    ) -> None:
        """Creates a lease that is not in force yet.

        Args:
            store: The store.
            opts: Lease times.
            me: This instance.
            request_support: Sends a request for lease support to all peers.
            possible_successors: Returns the instances that could take over from this one.
            is_needed: Tells whether this instance owns endpoints, or may have to.
            listed_lease: Returns the lease according to a list that may be old; None if there is
                none.
            memory: Requests that crashed several endpoints, stored for later incarnations.
            software_memory: Software at which streams began, stored for all instances.
        """
        self._store = store
        self._opts = opts
        self._me = me
        self._crash_memory = memory
        self._software_memory = software_memory or SoftwareMemory()
        self._request_support = request_support
        self._possible_successors = possible_successors
        self._is_needed = is_needed
        self._listed_lease = listed_lease
        self._promises = PromisesHeld(opts.term)
        self._renewal_count = 0
        self._revision = 0
        self._logged_as_held = False
        self._urgent = asyncio.Event()
        self._revision_conflict = False  # Whether the last write was refused for its revision.
        self.lease = HeldLease(opts.term, opts.margin)

    async def keep_renewed(self) -> None:
        """Renews the lease; runs until cancelled.

        A lease that is not needed is renewed only every `IDLE_RENEWAL_INTERVAL`, to publish this
        instance's address, and when it has something new to store.
        """
        began = float("-inf")
        urgent = False
        listed = await self._listed_lease()
        if listed is not None:
            self._revision = listed.revision
            self._software_memory.restore(listed.content)
        while True:
            urgent = urgent or self._urgent.is_set()
            idle = not self._is_needed() and monotonic() - began < IDLE_RENEWAL_INTERVAL
            if idle and not urgent:
                await self._wait_unless_urgent(self._opts.renewal / 4)
                continue
            began = monotonic()
            self._urgent.clear()
            peer_request = asyncio.get_running_loop().call_later(
                PEER_REQUEST_DELAY, self._ask_peers_for_support
            )
            ok = await self._renew()
            urgent = urgent and not ok
            peer_request.cancel()
            self._log_transitions()
            if not ok:
                self._ask_peers_for_support()
            pause = self._opts.renewal if ok else self._opts.renewal / 3
            await asyncio.sleep(max(0.0, began + min(pause, MIN_RENEWAL_INTERVAL) - monotonic()))
            await self._wait_unless_urgent(max(0.0, began + pause - monotonic()))

    async def _wait_unless_urgent(self, seconds: float) -> None:
        """Waits, but not longer than until the lease has something new to store."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._urgent.wait()

    def renew_soon(self) -> None:
        """Requests a renewal at once, because the lease has something new to store."""
        self._urgent.set()

    async def watch_clock(self) -> None:
        """Detects pauses of the process and the end of the lease; runs until cancelled."""
        while True:
            paused = self.lease.record_running(monotonic())
            if paused:
                log("paused", "WARNING", seconds=paused)
            self._log_transitions()
            await asyncio.sleep(self._opts.margin / 4)

    def note_peer_renewal(self, done: LeaseRenewed) -> None:
        """Applies a renewal that a peer made on behalf of this instance."""
        requested_at = self._promises.sent_at(done.number)
        if requested_at is None or done.revision <= self._revision:
            return
        self._revision = done.revision
        counts = self.lease.record_peer_renewal(requested_at, done.revision, monotonic())
        log("lease_renewed_by_peer", peer=done.sender, counts=counts)

    def note_promise(self, promise: LeaseSupportPromise) -> None:
        """Applies a peer's promise, which counts once all possible successors have given one."""
        self._promises.record_promise(promise.sender, promise.number)
        now = monotonic()
        since = self._promises.supported_since(self._possible_successors(), now)
        if since is not None:
            self.lease.record_promises(since, now)

    def revision(self) -> int:
        """Returns the revision of the lease, which heartbeats report to peers."""
        return self._revision

    def _log_transitions(self) -> None:
        holds = self.lease.is_valid(monotonic())
        if holds is not self._logged_as_held:
            self._logged_as_held = holds
            expected = holds or not self._is_needed()
            log("lease_holds" if holds else "lease_lapsed", "INFO" if expected else "WARNING")

    def _ask_peers_for_support(self) -> None:
        now = monotonic()
        # A lease that peers keep alive, but under which nothing can be owned, would keep them from
        # taking over.
        if self.lease.has_lapsed(now):
            return
        number = self._promises.start_request(now)
        if not self._possible_successors():
            self.lease.record_promises(now, now)
        self._request_support(LeaseSupportRequest(self._me.name, self._me.incarnation, number))

    async def _renew(self) -> bool:
        """Renews the lease; after a conflict it reads the revision and writes once more."""
        if await self._write():
            return True
        return self._revision_conflict and await self._read_revision() and await self._write()

    async def _write(self) -> bool:
        sent = monotonic()
        self._revision_conflict = False
        self.lease.record_attempt(sent)
        self._renewal_count += 1
        me = self._me
        record = self._software_memory.record()
        lease = LeaseContent(
            me.address,
            me.zone,
            me.incarnation,
            self._renewal_count,
            self._crash_memory.crashes(),
            mixed_to_store(record, sent, unix_time()),
            self._crash_memory.part_crashes(),
            dict(record.software),
            int(unix_time() * MS),
        )
        spec = content(lease)
        result: StoredObject | Absent | Conflict | Unavailable
        if self._revision:
            result = await self._store.replace(
                ObjectKind.LEASES, self._me.name, spec, self._revision
            )
        else:
            result = await self._store.create(ObjectKind.LEASES, self._me.name, spec)
        if isinstance(result, StoredObject):
            self._revision = result.revision
            self.lease.record_renewal(sent, result.revision, monotonic())
            self._software_memory.on_stored(record)
            return True
        self._revision_conflict = not isinstance(result, Unavailable)
        return False

    async def _read_revision(self) -> bool:
        """Reads the lease's revision; returns whether the lease can be written now."""
        result = await self._store.get(ObjectKind.LEASES, self._me.name)
        if isinstance(result, Unavailable):
            return False
        self._revision = 0
        if isinstance(result, StoredObject):
            self._revision = result.revision
            lease = read_lease(result)
            self._crash_memory.restore(lease.ended_under if lease is not None else [])
            self._crash_memory.restore_parts(lease.ended_by_part if lease is not None else [])
            if lease is not None and lease.incarnation != self._me.incarnation:
                self._software_memory.restore(lease)
        return True
