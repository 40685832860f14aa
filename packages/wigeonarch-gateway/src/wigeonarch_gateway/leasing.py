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

from wigeonarch_gateway.messages import PromiseMade, RenewalDone, RenewalPlea
from wigeonarch_gateway.options import HoldingOptions
from wigeonarch_gateway.ownobjects import LeaseContent, content, read_lease
from wigeonarch_gateway.ports import Absent, Conflict, Kinds, ObjectStore, StoredObject, Unavailable
from wigeonarch_gateway.suspects import EndsByContent

# Seconds without an answer to a renewal after which peers are asked; the store usually takes a few
# milliseconds, and a lost answer is known as such only by the call's own, longer time limit.
UNANSWERED: Final = 0.3
# Seconds between renewals by an instance that orders nothing: others find its address by the lease,
# and it is that of a process that lives.
RESTING_RENEWAL: Final = 25.0
URGENT_LEAST: Final = 0.25  # Seconds between renewals at least, however much there is to keep.


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


class Memory(msgspec.Struct, frozen=True):
    """What a lease keeps besides: requests under which several endpoints ended.

    Attributes:
        notable: Returns what is to be kept.
        read: Takes over what the last incarnation's lease kept.
    """

    notable: Callable[[], EndsByContent]
    read: Callable[[EndsByContent], None]


class Leasing:
    """The own lease.

    Attributes:
        lease: What may be relied on.
    """

    __slots__ = (
        "_count",
        "_held",
        "_last_seen",
        "_me",
        "_memory",
        "_needed",
        "_opts",
        "_outpaced",
        "_plead",
        "_promises",
        "_revision",
        "_rivals",
        "_store",
        "_urgent",
        "lease",
    )

    def __init__(
        self,
        store: ObjectStore,
        opts: HoldingOptions,
        me: Identity,
        plead: Callable[[RenewalPlea], None],
        rivals: Callable[[], Collection[str]],
        needed: Callable[[], bool],
        last_seen: Callable[[], Awaitable[int]],
        memory: Memory,
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
        self._memory = memory
        self._plead = plead
        self._rivals = rivals
        self._needed = needed
        self._last_seen = last_seen
        self._promises = PromisesHeld(opts.term)
        self._count = 0
        self._revision = 0
        self._held = False
        self._urgent = asyncio.Event()
        self._outpaced = False  # Whether the last write was refused for another one's.
        self.lease = HeldLease(opts.term, opts.margin)

    async def keep(self) -> None:
        """Renews the lease; runs until cancelled.

        While it is of no use, it is renewed only now and then, for its address, and when it has to
        keep something new.
        """
        began = float("-inf")
        urgent = False
        self._revision = await self._last_seen()
        while True:
            urgent = urgent or self._urgent.is_set()
            rests = not self._needed() and monotonic() - began < RESTING_RENEWAL
            if rests and not urgent:
                await self._pause(self._opts.renewal / 4)
                continue
            began = monotonic()
            self._urgent.clear()
            asking = asyncio.get_running_loop().call_later(UNANSWERED, self._ask_peers)
            ok = await self._renew()
            urgent = urgent and not ok
            asking.cancel()
            self._note_holding()
            if not ok:
                self._ask_peers()
            pause = self._opts.renewal if ok else self._opts.renewal / 3
            await asyncio.sleep(max(0.0, began + min(pause, URGENT_LEAST) - monotonic()))
            await self._pause(max(0.0, began + pause - monotonic()))

    async def _pause(self, seconds: float) -> None:
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
            paused = self.lease.alive(monotonic())
            if paused:
                log("paused", "WARNING", seconds=paused)
            self._note_holding()
            await asyncio.sleep(self._opts.margin / 4)

    def renewed_by_peer(self, done: RenewalDone) -> None:
        """Takes over a renewal that a peer made in this instance's name."""
        asked = self._promises.sent_at(done.number)
        if asked is None or done.revision <= self._revision:
            return
        self._revision = done.revision
        self.lease.renewed(asked, done.revision, monotonic())
        log("lease_renewed_by_peer", peer=done.sender)

    def promised(self, promise: PromiseMade) -> None:
        """Takes over a peer's promise; it counts once all that could take over have given one."""
        self._promises.promised(promise.sender, promise.number)
        now = monotonic()
        since = self._promises.asked_at(self._rivals(), now)
        if since is not None:
            self.lease.promised(since, now)

    def revision(self) -> int:
        """Returns the revision of the lease, to tell peers."""
        return self._revision

    def _note_holding(self) -> None:
        holds = self.lease.holds(monotonic())
        if holds is not self._held:
            self._held = holds
            expected = holds or not self._needed()
            log("lease_holds" if holds else "lease_lapsed", "INFO" if expected else "WARNING")

    def _ask_peers(self) -> None:
        now = monotonic()
        number = self._promises.ask(now)
        if not self._rivals():
            self.lease.promised(now, now)
        self._plead(RenewalPlea(self._me.name, self._me.incarnation, number))

    async def _renew(self) -> bool:
        """Renews the lease; a revision that was wrong is read, and the lease written again."""
        if await self._write():
            return True
        return self._outpaced and await self._read_back() and await self._write()

    async def _write(self) -> bool:
        sent = monotonic()
        self._outpaced = False
        self.lease.trying(sent)
        self._count += 1
        me = self._me
        notable = self._memory.notable()
        lease = LeaseContent(me.address, me.zone, me.incarnation, self._count, notable)
        spec = content(lease)
        result: StoredObject | Absent | Conflict | Unavailable
        if self._revision:
            result = await self._store.replace(Kinds.LEASES, self._me.name, spec, self._revision)
        else:
            result = await self._store.create(Kinds.LEASES, self._me.name, spec)
        if isinstance(result, StoredObject):
            self._revision = result.revision
            self.lease.renewed(sent, result.revision, monotonic())
            return True
        self._outpaced = not isinstance(result, Unavailable)
        return False

    async def _read_back(self) -> bool:
        """Finds the revision; returns whether the lease can be written now."""
        result = await self._store.get(Kinds.LEASES, self._me.name)
        if isinstance(result, Unavailable):
            return False
        self._revision = 0
        if isinstance(result, StoredObject):
            self._revision = result.revision
            lease = read_lease(result)
            self._memory.read(lease.ended_under if lease is not None else [])
        return True
