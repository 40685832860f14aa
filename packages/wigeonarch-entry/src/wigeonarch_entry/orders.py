"""Orders to engines: loads with the evictions before them, and the announcement of an ownership.

Each order is judged twice: when it is decided, and again when its connection is open and the next
step is to write it. An eviction needs more than the present right: enough of the lease must be left
for its whole duration, so that it can't arrive in a successor's time. One whose answer is lost is
repeated until the engine answers it, since until then the copy may still go at any moment.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from wigeonarch_core.messages import LoadBid, LoadEnded, LoadTurn
from wigeonarch_core.ownership import confirmed
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.engines import OrderResult
from wigeonarch_entry.owned import Owned, OwnerContext
from wigeonarch_entry.sending import sent_only_if
from wigeonarch_entry.turns import Turns

LOAD_BOUND: Final = 60.0
EVICT_BOUND: Final = 1.0
EVICT_REPEAT: Final = 0.2
ANNOUNCE_BOUND: Final = 1.0
# What an engine answers when it has certainly carried an eviction out or will never do so.
SETTLED: Final = frozenset({"", "not_loaded", "fenced"})
FENCED: Final = "fenced"
NOBODY: Final = AdapterVersion("", "-", "-")


class Orders:
    """Loads, evictions and announcements on the owned engines."""

    __slots__ = ("_ctx", "_fenced", "_turns")

    def __init__(self, ctx: OwnerContext, turns: Turns, fenced: Callable[[str], None]) -> None:
        """Makes the orders' keeper; `fenced` is told of engines that know a newer owner."""
        self._ctx = ctx
        self._turns = turns
        self._fenced = fenced

    def start(self, owned: Owned) -> None:
        """Begins to give orders to an engine."""
        owned.start(self._keep_bids(owned))

    async def _keep_bids(self, owned: Owned) -> None:
        """Asks for the turn to load whenever the engine wants a load."""
        interval = self._ctx.opts.timing.report_interval
        while True:
            now = monotonic()
            if not owned.custody.announced:
                await self._announce(owned)
            elif owned.custody.may_act(self._ctx.lease, now):
                self._bid(owned, now)
            await asyncio.sleep(min(interval, 0.05))

    def _bid(self, owned: Owned, now: float) -> None:
        bid = owned.scheduler.bid(now)
        if bid is None:
            return
        me = self._ctx.opts.instance
        message = LoadBid(owned.bid_id, me, owned.engine, bid.target, bid.value)
        self._ctx.send(self._turns.holder(now), message)

    def turn_given(self, turn: LoadTurn) -> None:
        """Starts the load that this instance has been given the turn for."""
        for owned in self._ctx.owned.values():
            if owned.bid_id == turn.bid:
                self._start_load(owned)
                return
        self._end_turn(turn.bid)

    def _start_load(self, owned: Owned) -> None:
        now = monotonic()
        bid = owned.scheduler.bid(now)
        may_order = bid is not None and owned.custody.may_act(self._ctx.lease, now)
        start = owned.scheduler.start_load(bid.target, now) if bid and may_order else None
        if start is None:
            self._end_turn(owned.bid_id)
            return
        owned.start_load(self._load(owned, start.target, start.victim, owned.bid_id))

    async def _load(
        self, owned: Owned, target: AdapterVersion, victim: AdapterVersion | None, bid_id: str
    ) -> None:
        try:
            done = victim is None or await self._evict(owned, victim)
            if done:
                done = await self._order_load(owned, target)
            owned.scheduler.load_ended(target, done, monotonic())
        finally:
            self._end_turn(bid_id)
            owned.wake.set()

    async def _evict(self, owned: Owned, victim: AdapterVersion) -> bool:
        """Evicts a copy; returns whether it has gone, once that is certain."""
        sent = False
        while True:
            now = monotonic()
            if self._may_evict(owned, victim, now):
                bound = min(EVICT_BOUND, self._ctx.lease.remaining(now))
                result = await self._order(
                    owned, "evict", victim, bound, lambda: self._may_evict(owned, victim)
                )
                if result.reason in SETTLED:
                    return result.done or result.reason == "not_loaded"
                sent = sent or result.reason != NEVER_SENT
            elif not sent:
                return False
            await asyncio.sleep(EVICT_REPEAT)

    def _may_evict(self, owned: Owned, victim: AdapterVersion, at: float | None = None) -> bool:
        now = monotonic() if at is None else at
        lease, custody = self._ctx.lease, owned.custody
        return (
            confirmed(custody.holding, lease, now)
            and custody.announced
            and lease.remaining(now) >= self._ctx.opts.timing.lease_margin
            and custody.may_evict(victim, now)
            and owned.scheduler.pin_count(victim) == 0
        )

    async def _order_load(self, owned: Owned, target: AdapterVersion) -> bool:
        usable = self._confirmed(owned)
        if not usable():
            return False
        result = await self._order(owned, "load", target, LOAD_BOUND, usable)
        return result.done

    async def _announce(self, owned: Owned) -> None:
        """Shows the fencing number to an engine that checks it, by an order that changes nothing.

        From its answer on the engine refuses whatever an older owner still has in hand.
        """
        usable = self._confirmed(owned)
        if not usable():
            return
        result = await self._order(owned, "evict", NOBODY, ANNOUNCE_BOUND, usable)
        owned.custody.announced = result.done or result.reason == "not_loaded"
        owned.wake.set()

    def _confirmed(self, owned: Owned) -> Callable[[], bool]:
        return lambda: confirmed(owned.custody.holding, self._ctx.lease, monotonic())

    async def _order(
        self,
        owned: Owned,
        order: str,
        target: AdapterVersion,
        bound: float,
        usable: Callable[[], bool],
    ) -> OrderResult:
        address = self._ctx.address(owned.engine)
        if address is None:
            return OrderResult(False, NEVER_SENT)
        give = self._ctx.engines.evict if order == "evict" else self._ctx.engines.load
        with sent_only_if(usable):
            result = await give(address, owned.fence, target, bound)
        self._ctx.metrics.orders.labels(order, result.reason or "done").inc()
        log(
            "engine_order",
            order=order,
            engine=owned.engine,
            target=target,
            fence=owned.fence,
            done=result.done,
            reason=result.reason or "-",
        )
        if result.reason == FENCED:
            self._fenced(owned.engine)
        return result

    def _end_turn(self, bid_id: str) -> None:
        ended = LoadEnded(bid_id, self._ctx.opts.instance)
        self._ctx.send(self._turns.holder(monotonic()), ended)


NEVER_SENT: Final = "NoLongerUsableError"
