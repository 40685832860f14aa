"""Supports a peer that can't renew its lease, by a promise and if possible by a renewal.

See `leasing` for the requesting side, and `core.promises` for why this is safe.
"""

from __future__ import annotations

import asyncio

from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.engine_ownership import EngineOwnership
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.messages import LeaseRenewed, LeaseSupportPromise, LeaseSupportRequest
from wigeonarch_gateway.object_contents import content, read_lease
from wigeonarch_gateway.ports import ObjectKind, ObjectStore, StoredObject
from wigeonarch_gateway.watching import StoreReachability


class LeaseSupport:
    """Answers lease support requests of peers."""

    __slots__ = ("_me", "_members", "_ownership", "_state", "_store")

    def __init__(
        self,
        me: str,
        store: ObjectStore,
        state: StoreReachability,
        ownership: EngineOwnership,
        members: Members,
    ) -> None:
        self._me = me
        self._store = store
        self._state = state
        self._ownership = ownership
        self._members = members

    def answer_request(self, request: LeaseSupportRequest) -> None:
        """Gives a promise if that is safe, and begins a renewal if one is requested."""
        self._promise(request)
        if request.renew:
            asyncio.create_task(self._renew_for(request))  # noqa: RUF006 - ends by itself.

    def _promise(self, request: LeaseSupportRequest) -> None:
        """Promises to take nothing over, unless a takeover may already be in progress."""
        if self._ownership.may_have_pending_takeover(request.sender):
            return
        self._ownership.promises.give(request.sender, monotonic())
        self._members.send(request.sender, LeaseSupportPromise(self._me, request.number))

    async def _renew_for(self, request: LeaseSupportRequest) -> None:
        """Renews a peer's lease on its behalf, unless the store doesn't answer here either."""
        if self._state.is_away:
            return
        found = await self._store.get(ObjectKind.LEASES, request.sender)
        lease = read_lease(found) if isinstance(found, StoredObject) else None
        if not isinstance(found, StoredObject) or lease is None:
            return
        if lease.incarnation != request.incarnation:
            return
        lease.count += 1
        result = await self._store.replace(
            ObjectKind.LEASES, request.sender, content(lease), found.revision
        )
        if isinstance(result, StoredObject):
            done = LeaseRenewed(self._me, request.number, result.revision)
            self._members.send(request.sender, done)
