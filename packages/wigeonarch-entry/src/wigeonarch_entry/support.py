"""Support of owners that can't reach the platform: renewals on their behalf, and promises.

Both sides are here. An owner whose lease is about to run out asks the instances of its zone; each
promises not to take over for a term, and one that reaches the platform renews the lease besides.
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
from wigeonarch_entry.platform import Conflict, Found, Platform, Written

SUPPORT_INTERVAL: Final = 0.1
NOT_OF_A_ROUND: Final = 0


class Supporting:
    """Support given and received."""

    __slots__ = ("_held", "_membership", "_opts", "_platform", "_send", "_supported", "_works")

    def __init__(
        self, opts: Options, platform: Platform, membership: Membership, send: Send
    ) -> None:
        timing = opts.timing
        self._opts = opts
        self._platform = platform
        self._membership = membership
        self._send = send
        self._held = PromisesHeld(timing.lease_term)
        self._supported = False
        self._works: set[asyncio.Task[None]] = set()

    async def keep(self) -> None:
        """Asks for support whenever the lease runs out; runs until cancelled."""
        lease = self._membership.lease
        while True:
            now = monotonic()
            if lease.wants_support(now):
                self._ask(now)
            elif self._supported and not lease.holds(now):
                self._note(False)
            await asyncio.sleep(SUPPORT_INTERVAL)

    def _ask(self, now: float) -> None:
        membership = self._membership
        number = self._held.ask(now)
        membership.lease.trying(now)
        request = Support(number, membership.record(), membership.lease.version)
        for name in membership.zone_peers():
            self._send(name, request)
        self._count(now)

    def _count(self, now: float) -> None:
        asked_at = self._held.asked_at(self._membership.needed(), now)
        if asked_at is not None:
            self._membership.lease.promised(asked_at, now)
            self._note(self._membership.lease.holds(now))

    def _note(self, supported: bool) -> None:
        if supported is not self._supported:
            log("owner_supported" if supported else "owner_unsupported", by="promises")
        self._supported = supported

    # The owner's side ------------------------------------------------------------------------

    def promised(self, promised: Promised) -> None:
        """Counts a peer's promise."""
        self._held.promised(promised.peer, promised.round)
        self._count(monotonic())

    def renewed(self, renewed: Renewed) -> None:
        """Counts a renewal that a peer made on this instance's behalf."""
        now = monotonic()
        lease = self._membership.lease
        sent = self._held.sent_at(renewed.round)
        if renewed.version <= lease.version:
            return
        if sent is None:
            lease.read_back(renewed.version, now)
        else:
            lease.renewed(sent, renewed.version, now)
            self._membership.period.renewed(sent, now)
        log("lease_renewed_by_peer", version=renewed.version)

    # The peer's side -------------------------------------------------------------------------

    def asked(self, support: Support) -> None:
        """Promises, and renews if the platform is reached."""
        record = support.record
        if record.zone != self._opts.zone:
            return
        self._membership.promises.give(record.instance, monotonic())
        self._send(record.instance, Promised(support.round, self._opts.instance))
        if self._membership.reaches_platform and support.version:
            work = asyncio.create_task(self._renew(support))
            self._works.add(work)
            work.add_done_callback(self._works.discard)

    async def _renew(self, support: Support) -> None:
        record = support.record
        result = await self._platform.replace(LEASES, record.instance, record, support.version)
        answer: Message | None = None
        if isinstance(result, Written):
            answer = Renewed(support.round, result.version)
        elif isinstance(result, Conflict):
            answer = await self._found(record)
        if answer is not None:
            self._send(record.instance, answer)

    async def _found(self, record: LeaseRecord) -> Message | None:
        """Returns what another peer's renewal, or an earlier one of ours, has stored."""
        found = await self._platform.get(LEASES, record.instance)
        if not isinstance(found, Found):
            return None
        stored = msgspec.convert(found.value, LeaseRecord)
        return Renewed(NOT_OF_A_ROUND, found.version) if stored.boot == record.boot else None
