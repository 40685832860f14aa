"""What an instance does for a peer that can't renew its lease: a promise, and a renewal.

See `leasing` for the peer's side, and `core.promises` for why that is safe.
"""

from __future__ import annotations

import asyncio

from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.holders import Holders
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.messages import PromiseMade, RenewalDone, RenewalPlea
from wigeonarch_gateway.ownobjects import content, read_lease
from wigeonarch_gateway.ports import Kinds, ObjectStore, StoredObject
from wigeonarch_gateway.watching import StoreState


class Support:
    """Answers the pleas of peers."""

    __slots__ = ("_holders", "_me", "_members", "_state", "_store")

    def __init__(
        self, me: str, store: ObjectStore, state: StoreState, holders: Holders, members: Members
    ) -> None:
        self._me = me
        self._store = store
        self._state = state
        self._holders = holders
        self._members = members

    def pleaded(self, plea: RenewalPlea) -> None:
        """Promises what can be, and begins a renewal if one is asked for."""
        self._promise(plea)
        if plea.renew:
            asyncio.create_task(self._renew_for(plea))  # noqa: RUF006 - ends by itself.

    def _promise(self, plea: RenewalPlea) -> None:
        """Promises to take nothing over, unless that may already have been begun."""
        if self._holders.may_be_taking_from(plea.sender):
            return
        self._holders.promises.give(plea.sender, monotonic())
        self._members.send(plea.sender, PromiseMade(self._me, plea.number))

    async def _renew_for(self, plea: RenewalPlea) -> None:
        """Renews a peer's lease in its name, unless the store does not answer here either."""
        if self._state.away:
            return
        found = await self._store.get(Kinds.LEASES, plea.sender)
        lease = read_lease(found) if isinstance(found, StoredObject) else None
        if not isinstance(found, StoredObject) or lease is None:
            return
        if lease.incarnation != plea.incarnation:
            return
        lease.count += 1
        result = await self._store.replace(
            Kinds.LEASES, plea.sender, content(lease), found.revision
        )
        if isinstance(result, StoredObject):
            done = RenewalDone(self._me, plea.number, result.revision)
            self._members.send(plea.sender, done)
