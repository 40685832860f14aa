"""Hands owned engines over to successors, and accepts engines from other owners.

The current owner stops granting and sending orders for the engine, waits for its loads to end, and
sends an offer with its pins and queue until the successor accepts it. Then it writes the successor
as the owner to the platform.

The successor starts to act once it sees that write. It needs no quarantine, as it knows every pin;
releases that reach the old owner in the meantime are forwarded. An offer without an ownership write
has no effect. An owner that can't tell whether its write took effect does not act on the engine
until it has written its own ownership again.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

import msgspec
from wigeonarch_core.messages import (
    Accepted,
    GrantRequest,
    HeldPin,
    Moved,
    Offer,
    OfferedPin,
    Release,
)
from wigeonarch_core.ownership import HandOver, HeldOwnership, is_confirmed
from wigeonarch_core.records import OWNERS, VACANT, OwnerRecord
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.grantissuer import GrantIssuer
from wigeonarch_entry.owned import OwnedEngine, OwnerContext
from wigeonarch_entry.platform import Unavailable, Written

# Seconds between two sendings of an offer.
OFFER_INTERVAL: Final = 0.25
OFFER_ATTEMPTS: Final = 12
# Longest wait for the loads of an engine to end, in seconds.
LOAD_WAIT: Final = 20.0
# Equals no lease generation, so that an ownership with it is never confirmed.
NO_GENERATION: Final = 0


@dataclass(slots=True)
class AcceptedOffer:
    """An offer that this instance has accepted.

    Attributes:
        offer: The offer.
        generation: Generation of this instance's lease when the offer was received.
        received_at: Monotonic time of receipt, in seconds.
        released_requests: Dispatch ids of the grants that were released since.
    """

    offer: Offer
    generation: int
    received_at: float
    released_requests: set[str] = field(default_factory=set)


class HandOvers:
    """Hand-overs of engines from and to this instance."""

    __slots__ = ("_acceptances", "_ctx", "_grant_issuer", "_offers")

    def __init__(self, ctx: OwnerContext, grant_issuer: GrantIssuer) -> None:
        self._ctx = ctx
        self._grant_issuer = grant_issuer
        self._offers: dict[str, AcceptedOffer] = {}
        self._acceptances: dict[tuple[str, int], asyncio.Future[Accepted]] = {}

    # The current owner's side ------------------------------------------------------------------

    async def hand_over(self, move: HandOver) -> Moved | None:
        """Hands one engine over.

        Returns:
            The message for requesters once the new owner is written; None if it was not written.
        """
        owned = self._ctx.owned.get(move.engine)
        if owned is None or owned.engine_grants.handing_over:
            return None
        owned.engine_grants.handing_over = True
        owned.successor = move.successor
        if owned.loads:
            await asyncio.wait(owned.loads, timeout=LOAD_WAIT)
        accepted = None if owned.loads else await self._offer(owned, move.successor)
        moved = None if accepted is None else await self._write_ownership(owned, accepted)
        owned.engine_grants.handing_over = moved is not None
        if moved is None:
            owned.successor = ""
            owned.wake.set()
            log("handover_failed", "WARNING", engine=move.engine, successor=move.successor)
            return None
        log("engine_handed_over", engine=move.engine, successor=move.successor, fence=moved.fence)
        return moved

    async def vacate(self, owned: OwnedEngine) -> bool:
        """Marks an engine as vacant in the platform; returns whether that was written.

        Used when no instance can take the engine now. The next owner then need not wait for this
        process's lease to lapse, which takes more than one lease term in which no instance of the
        zone may act on the engine. A write without an answer does no harm: this process no longer
        acts on the engine, and its lease lapses later.
        """
        if owned.engine_grants.handing_over:
            return False
        owned.engine_grants.handing_over = True
        if owned.loads:
            await asyncio.wait(owned.loads, timeout=LOAD_WAIT)
        if owned.loads or not is_confirmed(
            owned.engine_grants.ownership, self._ctx.lease, monotonic()
        ):
            return False
        record = OwnerRecord(owned.engine, VACANT, "")
        result = await self._ctx.platform.replace(OWNERS, owned.engine, record, owned.fence)
        self._ctx.metrics.ownership_moves.labels("vacate", type(result).__name__.lower()).inc()
        log("engine_vacated", engine=owned.engine, fence=owned.fence, result=type(result).__name__)
        return isinstance(result, Written)

    async def _offer(self, owned: OwnedEngine, successor: str) -> Accepted | None:
        key = (owned.engine, owned.fence)
        answer: asyncio.Future[Accepted] = asyncio.get_running_loop().create_future()
        self._acceptances[key] = answer
        try:
            for _ in range(OFFER_ATTEMPTS):
                if not is_confirmed(owned.engine_grants.ownership, self._ctx.lease, monotonic()):
                    return None
                self._ctx.send(successor, self._make_offer(owned))
                await asyncio.wait([answer], timeout=OFFER_INTERVAL)
                if answer.done():
                    return answer.result()
            return None
        finally:
            del self._acceptances[key]

    def _make_offer(self, owned: OwnedEngine) -> Offer:
        now = monotonic()
        pins = tuple(
            OfferedPin(
                pin.requester,
                (owned.engine_grants.requester_of(pin.dispatch_id) or (pin.requester, ""))[1],
                HeldPin(pin.dispatch_id, pin.target, pin.deadline - now),
            )
            for pin in owned.scheduler.pins()
        )
        waiting = owned.scheduler.waiting()
        queue = tuple(_with_remaining(queued.request, queued.deadline - now) for queued in waiting)
        return Offer(owned.engine, self._ctx.opts.instance, owned.fence, pins, queue)

    async def _write_ownership(self, owned: OwnedEngine, accepted: Accepted) -> Moved | None:
        engine_grants, previous_fence = owned.engine_grants, owned.fence
        record = OwnerRecord(owned.engine, accepted.successor, accepted.boot, previous_fence)
        result = await self._ctx.platform.replace(OWNERS, owned.engine, record, previous_fence)
        self._ctx.metrics.ownership_moves.labels("hand_over", type(result).__name__.lower()).inc()
        if isinstance(result, Written):
            self._ctx.fleet.observe_owner(record, result.version)
            return Moved(
                owned.engine, accepted.successor, accepted.boot, result.version, previous_fence
            )
        if not isinstance(result, Unavailable) or result.may_have_written:
            # Another instance may own the engine now. An ownership that is never confirmed keeps
            # this instance from acting until it has written its ownership again.
            engine_grants.ownership = HeldOwnership(
                previous_fence, NO_GENERATION, engine_grants.ownership.since
            )
        return None

    def handle_accepted(self, accepted: Accepted) -> None:
        """Handles a successor's acceptance of an offer."""
        answer = self._acceptances.get((accepted.engine, accepted.fence))
        if answer is not None and not answer.done():
            answer.set_result(accepted)

    # The successor's side ------------------------------------------------------------------

    def handle_offer(self, offer: Offer) -> None:
        """Stores an offer and accepts it, if this instance may own engines."""
        now = monotonic()
        if not self._ctx.membership.may_own(now):
            return
        previous = self._offers.get(offer.engine)
        released_requests = (
            previous.released_requests
            if previous and previous.offer.fence == offer.fence
            else set()
        )
        generation = self._ctx.lease.generation
        self._offers[offer.engine] = AcceptedOffer(offer, generation, now, released_requests)
        own_name, boot = self._ctx.opts.instance, self._ctx.fleet.boot
        self._ctx.send(offer.owner, Accepted(offer.engine, own_name, boot, offer.fence))

    def handle_release(self, release: Release) -> None:
        """Records the release of a grant of an engine that is offered to this instance."""
        offered = self._offers.get(release.engine)
        if offered is not None:
            offered.released_requests.add(release.dispatch_id)

    def take_effective_offer(self, engine: str, now: float) -> AcceptedOffer | None:
        """Removes an engine's offer once a newer ownership is written.

        Returns:
            The offer, if that ownership makes this instance the owner by this hand-over and its
            lease has held since the offer; otherwise None.
        """
        ownership = self._ctx.fleet.owners.get(engine)
        offered = self._offers.get(engine)
        if ownership is None or offered is None:
            return None
        if ownership.fence <= offered.offer.fence:
            return None
        del self._offers[engine]
        is_own = (ownership.owner, ownership.boot) == (
            self._ctx.opts.instance,
            self._ctx.fleet.boot,
        )
        lease = self._ctx.lease
        if not is_own or ownership.handed != offered.offer.fence:
            return None
        if offered.generation != lease.generation or not lease.is_valid(now):
            return None
        return offered

    def is_offered(self, engine: str) -> bool:
        """Returns whether this instance holds an offer of an engine that is not adopted yet."""
        return engine in self._offers

    def offered_engines(self) -> list[str]:
        """Returns the names of the engines that are offered to this instance."""
        return list(self._offers)

    def adopt_offer(self, owned: OwnedEngine, offered: AcceptedOffer, now: float) -> None:
        """Adds the pins and the queue of an offer to an engine that is now owned."""
        elapsed = now - offered.received_at
        for offered_pin in offered.offer.pins:
            pin = offered_pin.pin
            if pin.dispatch_id in offered.released_requests:
                continue
            remaining = pin.remaining - elapsed
            owned.scheduler.adopt_pin(
                pin.dispatch_id, offered_pin.requester, pin.target, remaining, now
            )
            owned.engine_grants.record_grant(
                pin.dispatch_id, offered_pin.requester, offered_pin.boot, now
            )
        for request in offered.offer.queue:
            if request.dispatch_id in offered.released_requests:
                continue
            self._grant_issuer.handle_grant_request(
                _with_remaining(request, request.remaining - elapsed)
            )


def _with_remaining(request: GrantRequest, remaining: float) -> GrantRequest:
    return msgspec.structs.replace(request, remaining=remaining)
