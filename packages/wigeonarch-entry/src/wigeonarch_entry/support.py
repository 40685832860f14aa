"""Lets an owner that cannot reach the platform keep its engines, with the help of its zone.

An owner whose lease is about to expire asks the instances of its zone for support. Each of them
promises not to take over its engines for one lease term, and one that reaches the platform also
renews the lease on the owner's behalf. This module contains both sides; why they are safe is
described in `wigeonarch_core.promises`.
"""

from __future__ import annotations

import asyncio
from typing import Final

import msgspec
from wigeonarch_core.messages import Message, Promised, Renewed, Support
from wigeonarch_core.options import Options
from wigeonarch_core.promises import PromisesHeld
from wigeonarch_core.records import LEASES, LeaseRecord
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.membership import Membership
from wigeonarch_entry.owned import Send
from wigeonarch_entry.platform import Conflict, Found, PlatformClient, Written

SUPPORT_INTERVAL: Final = 0.1  # Seconds.
# Round number of a `Renewed` message about a lease that was found stored, not just renewed.
NO_ROUND: Final = 0


class LeaseSupport:
    """Requests support for this instance's lease, and supports other owners of the zone."""

    __slots__ = (
        "_membership",
        "_opts",
        "_platform",
        "_promises",
        "_renewal_tasks",
        "_send",
        "_supported",
    )

    def __init__(
        self, opts: Options, platform: PlatformClient, membership: Membership, send: Send
    ) -> None:
        timing = opts.timing
        self._opts = opts
        self._platform = platform
        self._membership = membership
        self._send = send
        self._promises = PromisesHeld(timing.lease_term)
        self._supported = False
        self._renewal_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Requests support while a renewal of the lease is overdue; runs until cancelled."""
        lease = self._membership.lease
        while True:
            now = monotonic()
            if lease.wants_support(now):
                self._request_support(now)
            elif self._supported and not lease.is_valid(now):
                self._set_supported(False)
            await asyncio.sleep(SUPPORT_INTERVAL)

    def _request_support(self, now: float) -> None:
        membership = self._membership
        number = self._promises.start_request(now)
        membership.lease.record_attempt(now)
        request = Support(number, membership.lease_record(), membership.lease.version)
        for name in membership.zone_peers():
            self._send(name, request)
        self._check_promises(now)

    def _check_promises(self, now: float) -> None:
        """Extends the lease if every instance that could take over has promised not to."""
        asked_at = self._promises.supported_since(self._membership.potential_successors(), now)
        if asked_at is not None:
            self._membership.lease.record_promises(asked_at, now)
            self._set_supported(self._membership.lease.is_valid(now))

    def _set_supported(self, supported: bool) -> None:
        """Records whether promises keep the lease valid, and logs when that changes."""
        if supported is not self._supported:
            log("owner_supported" if supported else "owner_unsupported", by="promises")
        self._supported = supported

    # The owner's side ------------------------------------------------------------------------

    def handle_promised(self, promised: Promised) -> None:
        """Records a peer's promise to this instance."""
        self._promises.record_promise(promised.peer, promised.round)
        self._check_promises(monotonic())

    def handle_renewed(self, renewed: Renewed) -> None:
        """Records a renewal of the lease that a peer made on this instance's behalf."""
        now = monotonic()
        lease = self._membership.lease
        sent_at = self._promises.sent_at(renewed.round)
        if renewed.version <= lease.version:
            return
        if sent_at is None:
            counts = lease.record_peer_version(renewed.version, now)
        else:
            counts = lease.record_peer_renewal(sent_at, renewed.version, now)
            self._membership.record_confirmed_renewal(sent_at, now)
        log("lease_renewed_by_peer", version=renewed.version, counts=counts)

    # The peer's side -------------------------------------------------------------------------

    def handle_support(self, support: Support) -> None:
        """Promises support to an owner of the zone; renews its lease if the platform answers."""
        record = support.record
        if record.zone != self._opts.zone:
            return
        self._membership.promises.give(record.instance, monotonic())
        self._send(record.instance, Promised(support.round, self._opts.instance))
        if self._membership.reaches_platform and support.version:
            task = asyncio.create_task(self._renew_for_owner(support))
            self._renewal_tasks.add(task)
            task.add_done_callback(self._renewal_tasks.discard)

    async def _renew_for_owner(self, support: Support) -> None:
        record = support.record
        result = await self._platform.replace(LEASES, record.instance, record, support.version)
        reply: Message | None = None
        if isinstance(result, Written):
            reply = Renewed(support.round, result.version)
        elif isinstance(result, Conflict):
            reply = await self._stored_renewal(record)
        if reply is not None:
            self._send(record.instance, reply)

    async def _stored_renewal(self, record: LeaseRecord) -> Message | None:
        """Reads the lease that another peer, or an earlier call from here, has stored for an owner.

        Returns:
            The message for the owner; None when the lease cannot be read, or is not that of the
            owner's present process.
        """
        found = await self._platform.get(LEASES, record.instance)
        if not isinstance(found, Found):
            return None
        stored = msgspec.convert(found.value, LeaseRecord)
        return Renewed(NO_ROUND, found.version) if stored.boot == record.boot else None
