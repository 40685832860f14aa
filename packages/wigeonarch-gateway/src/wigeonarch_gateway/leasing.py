"""This instance's lease in the store, renewed here or by a peer, or extended by promises.

An instance that can't renew asks its peers: one that reaches the store renews in its name, and all
promise to take nothing over for a term. With the promises of each that could take over, the lease
goes on. What it is worth counts from the moment of asking, so an answer that comes late, or was
lost, extends nothing that it shouldn't.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Collection
from typing import Final

import msgspec
from wigeonarch_core.lease import HeldLease
from wigeonarch_core.promises import PromisesHeld
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

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
from wigeonarch_gateway.suspects import CrashesByContent

# Seconds without an answer to a renewal after which peers are asked; the store usually takes a few
# milliseconds, and a lost answer is known as such only by the call's own, longer time limit.
PEER_REQUEST_DELAY: Final = 0.3
# Seconds between renewals by an instance that orders nothing: others find its address by the lease,
# and it is that of a process that lives.
IDLE_RENEWAL_INTERVAL: Final = 25.0
MIN_RENEWAL_INTERVAL: Final = (
    0.25  # Seconds between renewals at least, however much there is to keep.
)


class Identity(msgspec.Struct, frozen=True):
    """An instance.

    Attributes:
        name: Its name, kept over restarts.
        incarnation: Incarnation of its process.
        address: Address for messages to it.
        zone: Its availability zone.
    """

    name: str
    incarnation: str
    address: str
    zone: str


class CrashMemory(msgspec.Struct, frozen=True):
    """What a lease keeps besides: requests under which several endpoints ended.

    Attributes:
        notable: Returns what is to be kept.
        read: Takes over what the last incarnation's lease kept.
    """

    crashes: Callable[[], CrashesByContent]
    restore: Callable[[CrashesByContent], None]


class OwnLease:
    """The own lease.

    Attributes:
        lease: What may be relied on.
    """

    __slots__ = (
        "_crash_memory",
        "_is_needed",
        "_listed_revision",
        "_logged_as_held",
        "_me",
        "_opts",
        "_possible_successors",
        "_promises",
        "_renewal_count",
        "_request_support",
        "_revision",
        "_revision_conflict",
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
        listed_revision: Callable[[], Awaitable[int]],
        memory: CrashMemory,
    ) -> None:
        """Makes a lease that does not hold yet.

        Args:
            store: The store.
            opts: Times.
            me: This instance.
            plead: Sends a plea to all peers.
            rivals: Returns the instances that could take over from this one.
            needed: Tells whether this instance orders endpoints, or may have to.
            last_seen: Returns the revision of the lease by a list that may be old; 0 without one.
            memory: What the lease keeps for the instances that come after.
        """
        self._store = store
        self._opts = opts
        self._me = me
        self._crash_memory = memory
        self._request_support = request_support
        self._possible_successors = possible_successors
        self._is_needed = is_needed
        self._listed_revision = listed_revision
        self._promises = PromisesHeld(opts.term)
        self._renewal_count = 0
        self._revision = 0
        self._logged_as_held = False
        self._urgent = asyncio.Event()
        self._revision_conflict = False  # Whether the last write was refused for another one's.
        self.lease = HeldLease(opts.term, opts.margin)

    async def keep_renewed(self) -> None:
        """Renews the lease; runs until cancelled.

        While it is of no use, it is renewed only now and then, for its address, and when it has to
        keep something new.
        """
        began = float("-inf")
        urgent = False
        self._revision = await self._listed_revision()
        while True:
            urgent = urgent or self._urgent.is_set()
            rests = not self._is_needed() and monotonic() - began < IDLE_RENEWAL_INTERVAL
            if rests and not urgent:
                await self._wait_unless_urgent(self._opts.renewal / 4)
                continue
            began = monotonic()
            self._urgent.clear()
            asking = asyncio.get_running_loop().call_later(
                PEER_REQUEST_DELAY, self._ask_peers_for_support
            )
            ok = await self._renew()
            urgent = urgent and not ok
            asking.cancel()
            self._log_transitions()
            if not ok:
                self._ask_peers_for_support()
            pause = self._opts.renewal if ok else self._opts.renewal / 3
            await asyncio.sleep(max(0.0, began + min(pause, MIN_RENEWAL_INTERVAL) - monotonic()))
            await self._wait_unless_urgent(max(0.0, began + pause - monotonic()))

    async def _wait_unless_urgent(self, seconds: float) -> None:
        """Waits, unless the lease has to keep something new."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._urgent.wait()

    def renew_soon(self) -> None:
        """Has the lease renewed at once, as it has to keep something new."""
        self._urgent.set()

    async def watch_clock(self) -> None:
        """Notices pauses of the process; runs until cancelled."""
        while True:
            paused = self.lease.record_running(monotonic())
            if paused:
                log("paused", "WARNING", seconds=paused)
            self._log_transitions()
            await asyncio.sleep(self._opts.margin / 4)

    def note_peer_renewal(self, done: LeaseRenewed) -> None:
        """Takes over a renewal that a peer made in this instance's name."""
        asked = self._promises.sent_at(done.number)
        if asked is None or done.revision <= self._revision:
            return
        self._revision = done.revision
        self.lease.record_renewal(asked, done.revision, monotonic())
        log("lease_renewed_by_peer", peer=done.sender)

    def note_promise(self, promise: LeaseSupportPromise) -> None:
        """Takes over a peer's promise; it counts once all that could take over have given one."""
        self._promises.record_promise(promise.sender, promise.number)
        now = monotonic()
        since = self._promises.supported_since(self._possible_successors(), now)
        if since is not None:
            self.lease.record_promises(since, now)

    def revision(self) -> int:
        """Returns the revision of the lease, to tell peers."""
        return self._revision

    def _log_transitions(self) -> None:
        holds = self.lease.is_valid(monotonic())
        if holds is not self._logged_as_held:
            self._logged_as_held = holds
            expected = holds or not self._is_needed()
            log("lease_holds" if holds else "lease_lapsed", "INFO" if expected else "WARNING")

    def _ask_peers_for_support(self) -> None:
        now = monotonic()
        number = self._promises.start_request(now)
        if not self._possible_successors():
            self.lease.record_promises(now, now)
        self._request_support(LeaseSupportRequest(self._me.name, self._me.incarnation, number))

    async def _renew(self) -> bool:
        """Renews the lease; a revision that was wrong is read, and the lease written again."""
        if await self._write():
            return True
        return self._revision_conflict and await self._read_revision() and await self._write()

    async def _write(self) -> bool:
        sent = monotonic()
        self._revision_conflict = False
        self.lease.record_attempt(sent)
        self._renewal_count += 1
        me = self._me
        notable = self._crash_memory.crashes()
        lease = LeaseContent(me.address, me.zone, me.incarnation, self._renewal_count, notable)
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
            return True
        self._revision_conflict = not isinstance(result, Unavailable)
        return False

    async def _read_revision(self) -> bool:
        """Finds the revision; returns whether the lease can be written now."""
        result = await self._store.get(ObjectKind.LEASES, self._me.name)
        if isinstance(result, Unavailable):
            return False
        self._revision = 0
        if isinstance(result, StoredObject):
            self._revision = result.revision
            lease = read_lease(result)
            self._crash_memory.restore(lease.ended_under if lease is not None else [])
        return True
