"""Hands owned engines to successors, and takes over what others hand to this instance.

The present owner stops granting and ordering on the engine, waits for its loads to end, and sends
an offer with pins and queue until the successor has accepted it; then it writes the ownership. The
successor acts once it sees that write, and needs no quarantine, as it knows every pin. Releases
that reach the old owner meanwhile are passed on. An offer whose ownership is never written is worth
nothing, and an owner that can't tell whether its write took effect acts no more before it has
written its ownership anew.
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

OFFER_INTERVAL: Final = 0.25
OFFER_ATTEMPTS: Final = 12
LOAD_WAIT: Final = 20.0
NO_GENERATION: Final = 0


@dataclass(slots=True)
class AcceptedOffer:
    """An offer that this instance has accepted.

    Attributes:
        offer: The offer.
        generation: Generation of this instance's lease at the time.
        at: Time of receipt, in seconds.
        released: Asks whose pins have ended since.
    """

    offer: Offer
    generation: int
    received_at: float
    released_requests: set[str] = field(default_factory=set)


class HandOvers:
    """Hand-overs in both directions."""

    __slots__ = ("_acceptances", "_ctx", "_grant_issuer", "_offers")

    def __init__(self, ctx: OwnerContext, granting: GrantIssuer) -> None:
        self._ctx = ctx
        self._grant_issuer = granting
        self._offers: dict[str, AcceptedOffer] = {}
        self._acceptances: dict[tuple[str, int], asyncio.Future[Accepted]] = {}

    # The owner that gives ----------------------------------------------------------------------

    async def hand_over(self, move: HandOver) -> Moved | None:
        """Hands one engine over; returns the move once it is written, None when it was not."""
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
        """Gives up an engine that nobody can take now; returns whether that is written.

        Whoever comes next then need not wait for this process's lease to lapse, which takes a
        term and more in which no instance of the zone may act on the engine. No answer to the write
        is no harm: this process acts no more, and a lapsed lease says the same later.
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
        queue = tuple(_with_remaining(each.request, each.deadline - now) for each in waiting)
        return Offer(owned.engine, self._ctx.opts.instance, owned.fence, pins, queue)

    async def _write_ownership(self, owned: OwnedEngine, accepted: Accepted) -> Moved | None:
        custody, last = owned.engine_grants, owned.fence
        record = OwnerRecord(owned.engine, accepted.successor, accepted.boot, last)
        result = await self._ctx.platform.replace(OWNERS, owned.engine, record, last)
        self._ctx.metrics.ownership_moves.labels("hand_over", type(result).__name__.lower()).inc()
        if isinstance(result, Written):
            self._ctx.fleet.observe_owner(record, result.version)
            return Moved(owned.engine, accepted.successor, accepted.boot, result.version, last)
        if not isinstance(result, Unavailable) or result.may_have_written:
            # Whether somebody else owns it now can't be known: act no more before a new write.
            custody.ownership = HeldOwnership(last, NO_GENERATION, custody.ownership.since)
        return None

    def handle_accepted(self, accepted: Accepted) -> None:
        """Takes a successor's word."""
        answer = self._acceptances.get((accepted.engine, accepted.fence))
        if answer is not None and not answer.done():
            answer.set_result(accepted)

    # The successor -------------------------------------------------------------------------

    def handle_offer(self, offer: Offer) -> None:
        """Keeps an offer and says so, if this instance can own engines."""
        now = monotonic()
        if not self._ctx.membership.may_own(now):
            return
        known = self._offers.get(offer.engine)
        released = known.released_requests if known and known.offer.fence == offer.fence else set()
        generation = self._ctx.lease.generation
        self._offers[offer.engine] = AcceptedOffer(offer, generation, now, released)
        me, boot = self._ctx.opts.instance, self._ctx.fleet.boot
        self._ctx.send(offer.owner, Accepted(offer.engine, me, boot, offer.fence))

    def handle_release(self, release: Release) -> None:
        """Notes a release for an engine that is being handed to this instance."""
        offered = self._offers.get(release.engine)
        if offered is not None:
            offered.released_requests.add(release.dispatch_id)

    def take_effective_offer(self, engine: str, now: float) -> AcceptedOffer | None:
        """Returns the offer by which this instance owns an engine, if the ownership is written."""
        held = self._ctx.fleet.owners.get(engine)
        offered = self._offers.get(engine)
        if held is None or offered is None:
            return None
        if held.fence <= offered.offer.fence:
            return None
        del self._offers[engine]
        mine = (held.owner, held.boot) == (self._ctx.opts.instance, self._ctx.fleet.boot)
        lease = self._ctx.lease
        if not mine or held.handed != offered.offer.fence:
            return None
        if offered.generation != lease.generation or not lease.is_valid(now):
            return None
        return offered

    def is_offered(self, engine: str) -> bool:
        """Tells whether an engine is offered to this instance, or written to it a moment ago."""
        return engine in self._offers

    def offered_engines(self) -> list[str]:
        """Returns the engines that are offered to this instance."""
        return list(self._offers)

    def adopt_offer(self, owned: OwnedEngine, offered: AcceptedOffer, now: float) -> None:
        """Takes in the pins and the queue of an offer."""
        passed = now - offered.received_at
        for each in offered.offer.pins:
            pin = each.pin
            if pin.dispatch_id in offered.released_requests:
                continue
            left = pin.remaining - passed
            owned.scheduler.adopt_pin(pin.dispatch_id, each.requester, pin.target, left, now)
            owned.engine_grants.record_grant(pin.dispatch_id, each.requester, each.boot, now)
        for ask in offered.offer.queue:
            if ask.dispatch_id in offered.released_requests:
                continue
            self._grant_issuer.handle_grant_request(_with_remaining(ask, ask.remaining - passed))


def _with_remaining(ask: GrantRequest, remaining: float) -> GrantRequest:
    return msgspec.structs.replace(ask, remaining=remaining)
