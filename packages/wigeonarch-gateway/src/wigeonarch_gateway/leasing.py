"""This instance's lease in the store, renewed here or by a peer that reaches the store.

An instance that is cut off from the store asks a peer to renew in its name. What the lease is worth
counts from the moment of asking, so an answer that comes late, or was lost, extends nothing that it
shouldn't.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wigeonarch_core.lease import HeldLease
from wigeonarch_entry.clock import monotonic
from wigeonarch_entry.logs import log

from wigeonarch_gateway.messages import RenewalDone, RenewalPlea
from wigeonarch_gateway.options import HoldingOptions
from wigeonarch_gateway.ports import Absent, Conflict, Kinds, ObjectStore, StoredObject, Unavailable


def lease_spec(incarnation: str, address: str, zone: str, count: int) -> dict[str, object]:
    """Returns the content of a lease object; the count makes each renewal a change."""
    return {"incarnation": incarnation, "address": address, "zone": zone, "count": count}


class Leasing:
    """The own lease.

    Attributes:
        lease: What may be relied on.
    """

    __slots__ = (
        "_address",
        "_asked",
        "_count",
        "_held",
        "_incarnation",
        "_name",
        "_opts",
        "_plead",
        "_pleas",
        "_revision",
        "_store",
        "_zone",
        "lease",
    )

    def __init__(
        self,
        store: ObjectStore,
        opts: HoldingOptions,
        name: str,
        incarnation: str,
        address: str,
        zone: str,
        plead: Callable[[RenewalPlea], None],
    ) -> None:
        """Makes a lease that does not hold yet; `plead` sends a plea to peers."""
        self._store = store
        self._opts = opts
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._zone = zone
        self._plead = plead
        self._pleas = 0
        self._asked: dict[int, float] = {}
        self._count = 0
        self._revision = 0
        self._held = False
        self.lease = HeldLease(opts.term, opts.margin)

    async def keep(self) -> None:
        """Renews the lease; runs until cancelled."""
        while True:
            began = monotonic()
            ok = await self._renew()
            self._note_holding()
            if not ok:
                self._ask_peers()
            pause = self._opts.renewal if ok else self._opts.renewal / 3
            await asyncio.sleep(max(0.0, began + pause - monotonic()))

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
        asked = self._asked.pop(done.number, None)
        if asked is None:
            return
        self._revision = max(self._revision, done.revision)
        self.lease.renewed(asked, done.revision, monotonic())
        log("lease_renewed_by_peer", peer=done.sender)

    def _note_holding(self) -> None:
        holds = self.lease.holds(monotonic())
        if holds is not self._held:
            self._held = holds
            log("lease_holds" if holds else "lease_lapsed", "INFO" if holds else "WARNING")

    def _ask_peers(self) -> None:
        self._pleas += 1
        self._asked[self._pleas] = monotonic()
        while len(self._asked) > 8:
            del self._asked[min(self._asked)]
        self._plead(RenewalPlea(self._name, self._incarnation, self._pleas))

    async def _renew(self) -> bool:
        sent = monotonic()
        self.lease.trying(sent)
        self._count += 1
        spec = lease_spec(self._incarnation, self._address, self._zone, self._count)
        result: StoredObject | Absent | Conflict | Unavailable
        if self._revision:
            result = await self._store.replace(Kinds.LEASES, self._name, spec, self._revision)
        else:
            result = await self._store.create(Kinds.LEASES, self._name, spec)
        if isinstance(result, StoredObject):
            self._revision = result.revision
            self.lease.renewed(sent, result.revision, monotonic())
            return True
        if isinstance(result, Unavailable):
            return False
        return await self._read_back()

    async def _read_back(self) -> bool:
        """Finds the revision after a renewal that was not the last write."""
        result = await self._store.get(Kinds.LEASES, self._name)
        if isinstance(result, Unavailable):
            return False
        if isinstance(result, Absent):
            self._revision = 0
            return False
        self._revision = result.revision
        return False
