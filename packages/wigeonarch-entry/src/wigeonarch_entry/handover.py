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
from wigeonarch_core.messages import Accepted, Ask, HeldPin, Moved, Offer, OfferedPin, Release
from wigeonarch_core.ownership import HandOver, Holding, confirmed
from wigeonarch_core.records import OWNERS, VACANT, OwnerRecord
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.granting import Granting
from wigeonarch_entry.owned import Owned, OwnerContext
from wigeonarch_entry.platform import Unavailable, Written

OFFER_REPEAT: Final = 0.25
OFFER_TRIES: Final = 12
LOAD_BOUND: Final = 20.0
NO_GENERATION: Final = 0


@dataclass(slots=True)
class Offered:
    """An offer that this instance has accepted.

    Attributes:
        offer: The offer.
        generation: Generation of this instance's lease at the time.
        at: Time of receipt, in seconds.
        released: Asks whose pins have ended since.
    """

    offer: Offer
    generation: int
    at: float
    released: set[str] = field(default_factory=set)


class HandOvers:
    """Hand-overs in both directions."""

    __slots__ = ("_accepted", "_ctx", "_granting", "_offered")

    def __init__(self, ctx: OwnerContext, granting: Granting) -> None:
        self._ctx = ctx
        self._granting = granting
        self._offered: dict[str, Offered] = {}
        self._accepted: dict[tuple[str, int], asyncio.Future[Accepted]] = {}

    # The owner that gives ----------------------------------------------------------------------

    async def give(self, move: HandOver) -> Moved | None:
        """Hands one engine over; returns the move once it is written, None when it was not."""
        owned = self._ctx.owned.get(move.engine)
        if owned is None or owned.custody.handing:
            return None
        owned.custody.handing = True
        owned.successor = move.successor
        if owned.loads:
            await asyncio.wait(owned.loads, timeout=LOAD_BOUND)
        accepted = None if owned.loads else await self._offer(owned, move.successor)
        moved = None if accepted is None else await self._write(owned, accepted)
        owned.custody.handing = moved is not None
        if moved is None:
            owned.successor = ""
            owned.wake.set()
            log("handover_failed", "WARNING", engine=move.engine, successor=move.successor)
            return None
        log("engine_handed_over", engine=move.engine, successor=move.successor, fence=moved.fence)
        return moved

    async def vacate(self, owned: Owned) -> bool:
        """Gives up an engine that nobody can take now; returns whether that is written.

        Whoever comes next then need not wait for this process's lease to lapse, which takes a
        term and more in which no instance of the zone may act on the engine. No answer to the write
        is no harm: this process acts no more, and a lapsed lease says the same later.
        """
        if owned.custody.handing:
            return False
        owned.custody.handing = True
        if owned.loads:
            await asyncio.wait(owned.loads, timeout=LOAD_BOUND)
        if owned.loads or not confirmed(owned.custody.holding, self._ctx.lease, monotonic()):
            return False
        record = OwnerRecord(owned.engine, VACANT, "")
        result = await self._ctx.platform.replace(OWNERS, owned.engine, record, owned.fence)
        self._ctx.metrics.ownership.labels("vacate", type(result).__name__.lower()).inc()
        log("engine_vacated", engine=owned.engine, fence=owned.fence, result=type(result).__name__)
        return isinstance(result, Written)

    async def _offer(self, owned: Owned, successor: str) -> Accepted | None:
        key = (owned.engine, owned.fence)
        answer: asyncio.Future[Accepted] = asyncio.get_running_loop().create_future()
        self._accepted[key] = answer
        try:
            for _ in range(OFFER_TRIES):
                if not confirmed(owned.custody.holding, self._ctx.lease, monotonic()):
                    return None
                self._ctx.send(successor, self._make_offer(owned))
                await asyncio.wait([answer], timeout=OFFER_REPEAT)
                if answer.done():
                    return answer.result()
            return None
        finally:
            del self._accepted[key]

    def _make_offer(self, owned: Owned) -> Offer:
        now = monotonic()
        pins = tuple(
            OfferedPin(
                pin.asker,
                (owned.custody.holder(pin.ask) or (pin.asker, ""))[1],
                HeldPin(pin.ask, pin.target, pin.deadline - now),
            )
            for pin in owned.scheduler.pins()
        )
        waiting = owned.scheduler.waiting()
        queue = tuple(_still_waiting(each.ask, each.deadline - now) for each in waiting)
        return Offer(owned.engine, self._ctx.opts.instance, owned.fence, pins, queue)

    async def _write(self, owned: Owned, accepted: Accepted) -> Moved | None:
        custody, last = owned.custody, owned.fence
        record = OwnerRecord(owned.engine, accepted.successor, accepted.boot, last)
        result = await self._ctx.platform.replace(OWNERS, owned.engine, record, last)
        self._ctx.metrics.ownership.labels("hand_over", type(result).__name__.lower()).inc()
        if isinstance(result, Written):
            self._ctx.fleet.saw_owner(record, result.version)
            return Moved(owned.engine, accepted.successor, accepted.boot, result.version, last)
        if not isinstance(result, Unavailable) or result.maybe:
            # Whether somebody else owns it now can't be known: act no more before a new write.
            custody.holding = Holding(last, NO_GENERATION, custody.holding.since)
        return None

    def accepted(self, accepted: Accepted) -> None:
        """Takes a successor's word."""
        answer = self._accepted.get((accepted.engine, accepted.fence))
        if answer is not None and not answer.done():
            answer.set_result(accepted)

    # The successor -------------------------------------------------------------------------

    def offered(self, offer: Offer) -> None:
        """Keeps an offer and says so, if this instance can own engines."""
        now = monotonic()
        if not self._ctx.membership.may_own(now):
            return
        known = self._offered.get(offer.engine)
        released = known.released if known and known.offer.fence == offer.fence else set()
        generation = self._ctx.lease.generation
        self._offered[offer.engine] = Offered(offer, generation, now, released)
        me, boot = self._ctx.opts.instance, self._ctx.fleet.boot
        self._ctx.send(offer.owner, Accepted(offer.engine, me, boot, offer.fence))

    def released(self, release: Release) -> None:
        """Notes a release for an engine that is being handed to this instance."""
        offered = self._offered.get(release.engine)
        if offered is not None:
            offered.released.add(release.ask)

    def take(self, engine: str, now: float) -> Offered | None:
        """Returns the offer by which this instance owns an engine, if the ownership is written."""
        held = self._ctx.fleet.owners.get(engine)
        offered = self._offered.get(engine)
        if held is None or offered is None:
            return None
        if held.fence <= offered.offer.fence:
            return None
        del self._offered[engine]
        mine = (held.owner, held.boot) == (self._ctx.opts.instance, self._ctx.fleet.boot)
        lease = self._ctx.lease
        if not mine or held.handed != offered.offer.fence:
            return None
        if offered.generation != lease.generation or not lease.holds(now):
            return None
        return offered

    def is_coming(self, engine: str) -> bool:
        """Tells whether an engine is offered to this instance, or written to it a moment ago."""
        return engine in self._offered

    def waiting(self) -> list[str]:
        """Returns the engines that are offered to this instance."""
        return list(self._offered)

    def adopt(self, owned: Owned, offered: Offered, now: float) -> None:
        """Takes in the pins and the queue of an offer."""
        passed = now - offered.at
        for each in offered.offer.pins:
            pin = each.pin
            if pin.ask in offered.released:
                continue
            left = pin.remaining - passed
            owned.scheduler.adopt_pin(pin.ask, each.asker, pin.target, left, now)
            owned.custody.told(pin.ask, each.asker, each.boot, now)
        for ask in offered.offer.queue:
            if ask.ask in offered.released:
                continue
            self._granting.asked(_still_waiting(ask, ask.remaining - passed))


def _still_waiting(ask: Ask, remaining: float) -> Ask:
    return msgspec.structs.replace(ask, remaining=remaining)
