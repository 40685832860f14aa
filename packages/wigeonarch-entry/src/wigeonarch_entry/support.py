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
from wigeonarch_entry.platform import Conflict, Found, PlatformClient, Written

SUPPORT_INTERVAL: Final = 0.1
NO_ROUND: Final = 0


class LeaseSupport:
    """Support given and received."""

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
        """Asks for support whenever the lease runs out; runs until cancelled."""
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
        asked_at = self._promises.supported_since(self._membership.potential_successors(), now)
        if asked_at is not None:
            self._membership.lease.record_promises(asked_at, now)
            self._set_supported(self._membership.lease.is_valid(now))

    def _set_supported(self, supported: bool) -> None:
        if supported is not self._supported:
            log("owner_supported" if supported else "owner_unsupported", by="promises")
        self._supported = supported

    # The owner's side ------------------------------------------------------------------------

    def handle_promised(self, promised: Promised) -> None:
        """Counts a peer's promise."""
        self._promises.record_promise(promised.peer, promised.round)
        self._check_promises(monotonic())

    def handle_renewed(self, renewed: Renewed) -> None:
        """Counts a renewal that a peer made on this instance's behalf."""
        now = monotonic()
        lease = self._membership.lease
        sent = self._promises.sent_at(renewed.round)
        if renewed.version <= lease.version:
            return
        if sent is None:
            lease.record_stored_version(renewed.version, now)
        else:
            lease.record_renewal(sent, renewed.version, now)
            self._membership.lease_period.record_renewal(sent, now)
        log("lease_renewed_by_peer", version=renewed.version)

    # The peer's side -------------------------------------------------------------------------

    def handle_support(self, support: Support) -> None:
        """Promises, and renews if the platform is reached."""
        record = support.record
        if record.zone != self._opts.zone:
            return
        self._membership.promises.give(record.instance, monotonic())
        self._send(record.instance, Promised(support.round, self._opts.instance))
        if self._membership.reaches_platform and support.version:
            work = asyncio.create_task(self._renew_for_owner(support))
            self._renewal_tasks.add(work)
            work.add_done_callback(self._renewal_tasks.discard)

    async def _renew_for_owner(self, support: Support) -> None:
        record = support.record
        result = await self._platform.replace(LEASES, record.instance, record, support.version)
        answer: Message | None = None
        if isinstance(result, Written):
            answer = Renewed(support.round, result.version)
        elif isinstance(result, Conflict):
            answer = await self._stored_renewal(record)
        if answer is not None:
            self._send(record.instance, answer)

    async def _stored_renewal(self, record: LeaseRecord) -> Message | None:
        """Returns what another peer's renewal, or an earlier one of ours, has stored."""
        found = await self._platform.get(LEASES, record.instance)
        if not isinstance(found, Found):
            return None
        stored = msgspec.convert(found.value, LeaseRecord)
        return Renewed(NO_ROUND, found.version) if stored.boot == record.boot else None
