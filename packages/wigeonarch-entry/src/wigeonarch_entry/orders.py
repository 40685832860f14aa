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

from wigeonarch_core.messages import LoadBid, LoadEnded, LoadPermit
from wigeonarch_core.ownership import is_confirmed
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.engines import OrderResult
from wigeonarch_entry.loadpermits import LoadPermitCoordinator
from wigeonarch_entry.owned import OwnedEngine, OwnerContext
from wigeonarch_entry.sending import send_only_if

LOAD_TIMEOUT: Final = 60.0
EVICT_TIMEOUT: Final = 1.0
EVICT_RETRY_INTERVAL: Final = 0.2
ANNOUNCE_TIMEOUT: Final = 1.0
# What an engine answers when it has certainly carried an eviction out or will never do so.
FINAL_EVICTION_REASONS: Final = frozenset({"", "not_loaded", "fenced"})
FENCED: Final = "fenced"
NO_ADAPTER: Final = AdapterVersion("", "-", "-")


class Orders:
    """Loads, evictions and announcements on the owned engines."""

    __slots__ = ("_ctx", "_on_fenced", "_permits")

    def __init__(
        self, ctx: OwnerContext, turns: LoadPermitCoordinator, fenced: Callable[[str], None]
    ) -> None:
        """Makes the orders' keeper; `fenced` is told of engines that know a newer owner."""
        self._ctx = ctx
        self._permits = turns
        self._on_fenced = fenced

    def start(self, owned: OwnedEngine) -> None:
        """Begins to give orders to an engine."""
        owned.start(self._run_bids(owned))

    async def _run_bids(self, owned: OwnedEngine) -> None:
        """Asks for the turn to load whenever the engine wants a load."""
        interval = self._ctx.opts.timing.report_interval
        while True:
            now = monotonic()
            if not owned.engine_grants.announced:
                await self._announce(owned)
            elif owned.engine_grants.may_act(self._ctx.lease, now):
                self._bid(owned, now)
            await asyncio.sleep(min(interval, 0.05))

    def _bid(self, owned: OwnedEngine, now: float) -> None:
        bid = owned.scheduler.best_bid(now)
        if bid is None:
            return
        me = self._ctx.opts.instance
        message = LoadBid(owned.bid_id, me, owned.engine, bid.target, bid.value)
        self._ctx.send(self._permits.coordinator(now), message)

    def handle_load_permit(self, turn: LoadPermit) -> None:
        """Starts the load that this instance has been given the turn for."""
        for owned in self._ctx.owned.values():
            if owned.bid_id == turn.bid:
                self._start_load(owned)
                return
        self._end_permit(turn.bid)

    def _start_load(self, owned: OwnedEngine) -> None:
        now = monotonic()
        bid = owned.scheduler.best_bid(now)
        may_order = bid is not None and owned.engine_grants.may_act(self._ctx.lease, now)
        start = owned.scheduler.start_load(bid.target, now) if bid and may_order else None
        if start is None:
            self._end_permit(owned.bid_id)
            return
        owned.start_load(self._load(owned, start.target, start.victim, owned.bid_id))

    async def _load(
        self, owned: OwnedEngine, target: AdapterVersion, victim: AdapterVersion | None, bid_id: str
    ) -> None:
        try:
            done = victim is None or await self._evict(owned, victim)
            if done:
                done = await self._order_load(owned, target)
            owned.scheduler.finish_load(target, done, monotonic())
        finally:
            self._end_permit(bid_id)
            owned.wake.set()

    async def _evict(self, owned: OwnedEngine, victim: AdapterVersion) -> bool:
        """Evicts a copy; returns whether it has gone, once that is certain."""
        sent = False
        while True:
            now = monotonic()
            if self._may_evict(owned, victim, now):
                bound = min(EVICT_TIMEOUT, self._ctx.lease.remaining(now))
                result = await self._send_order(
                    owned, "evict", victim, bound, lambda: self._may_evict(owned, victim)
                )
                if result.reason in FINAL_EVICTION_REASONS:
                    return result.done or result.reason == "not_loaded"
                sent = sent or result.reason != NEVER_SENT
            elif not sent:
                return False
            await asyncio.sleep(EVICT_RETRY_INTERVAL)

    def _may_evict(
        self, owned: OwnedEngine, victim: AdapterVersion, at: float | None = None
    ) -> bool:
        now = monotonic() if at is None else at
        lease, custody = self._ctx.lease, owned.engine_grants
        return (
            is_confirmed(custody.ownership, lease, now)
            and custody.announced
            and lease.remaining(now) >= self._ctx.opts.timing.lease_margin
            and custody.may_evict(victim, now)
            and owned.scheduler.pin_count(victim) == 0
        )

    async def _order_load(self, owned: OwnedEngine, target: AdapterVersion) -> bool:
        usable = self._confirmation(owned)
        if not usable():
            return False
        result = await self._send_order(owned, "load", target, LOAD_TIMEOUT, usable)
        return result.done

    async def _announce(self, owned: OwnedEngine) -> None:
        """Shows the fencing number to an engine that checks it, by an order that changes nothing.

        From its answer on the engine refuses whatever an older owner still has in hand.
        """
        usable = self._confirmation(owned)
        if not usable():
            return
        result = await self._send_order(owned, "evict", NO_ADAPTER, ANNOUNCE_TIMEOUT, usable)
        owned.engine_grants.announced = result.done or result.reason == "not_loaded"
        owned.wake.set()

    def _confirmation(self, owned: OwnedEngine) -> Callable[[], bool]:
        return lambda: is_confirmed(owned.engine_grants.ownership, self._ctx.lease, monotonic())

    async def _send_order(
        self,
        owned: OwnedEngine,
        order: str,
        target: AdapterVersion,
        bound: float,
        usable: Callable[[], bool],
    ) -> OrderResult:
        address = self._ctx.address(owned.engine)
        if address is None:
            return OrderResult(False, NEVER_SENT)
        give = self._ctx.engines.evict if order == "evict" else self._ctx.engines.load
        with send_only_if(usable):
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
            self._on_fenced(owned.engine)
        return result

    def _end_permit(self, bid_id: str) -> None:
        ended = LoadEnded(bid_id, self._ctx.opts.instance)
        self._ctx.send(self._permits.coordinator(monotonic()), ended)


NEVER_SENT: Final = "NoLongerUsableError"
