"""Orders to engines: loads, evictions that make room for them, and announcements of an ownership.

Whether an order is allowed is checked twice: when it is decided, and again on the open connection
right before it is written. An eviction is allowed only if enough of the lease is left for its whole
duration, so that it can't arrive at the engine after a successor has become its owner. If its
answer is lost, it is repeated until the engine answers, as the copy may be evicted at any moment
until then.
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

# Timeouts and intervals in seconds.
LOAD_TIMEOUT: Final = 60.0
EVICT_TIMEOUT: Final = 1.0
EVICT_RETRY_INTERVAL: Final = 0.2
ANNOUNCE_TIMEOUT: Final = 1.0
# Reasons after which an engine certainly has carried out an eviction or never will; "" means done.
FINAL_EVICTION_REASONS: Final = frozenset({"", "not_loaded", "fenced"})
FENCED: Final = "fenced"
# An adapter version that no engine has; evicting it changes nothing.
NO_ADAPTER: Final = AdapterVersion("", "-", "-")


class Orders:
    """Sends loads, evictions and announcements to the owned engines."""

    __slots__ = ("_ctx", "_on_fenced", "_permits")

    def __init__(
        self, ctx: OwnerContext, permits: LoadPermitCoordinator, on_fenced: Callable[[str], None]
    ) -> None:
        """Makes the sender.

        Args:
            ctx: Context of the owner duties.
            permits: Load permits, to find their coordinator.
            on_fenced: Called with the name of an engine that refused an order because it knows a
                newer owner.
        """
        self._ctx = ctx
        self._permits = permits
        self._on_fenced = on_fenced

    def start(self, owned: OwnedEngine) -> None:
        """Starts the task that bids for loads of an engine."""
        owned.start(self._run_bids(owned))

    async def _run_bids(self, owned: OwnedEngine) -> None:
        """Announces the ownership, then bids for a load permit whenever the engine wants a load."""
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
        own_name = self._ctx.opts.instance
        message = LoadBid(owned.bid_id, own_name, owned.engine, bid.target, bid.value)
        self._ctx.send(self._permits.coordinator(now), message)

    def handle_load_permit(self, permit: LoadPermit) -> None:
        """Starts the load that the permit is for; returns the permit if the engine is not owned."""
        for owned in self._ctx.owned.values():
            if owned.bid_id == permit.bid:
                self._start_load(owned)
                return
        self._end_permit(permit.bid)

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
            succeeded = victim is None or await self._evict(owned, victim)
            if succeeded:
                succeeded = await self._order_load(owned, target)
            owned.scheduler.finish_load(target, succeeded, monotonic())
        finally:
            self._end_permit(bid_id)
            owned.wake.set()

    async def _evict(self, owned: OwnedEngine, victim: AdapterVersion) -> bool:
        """Evicts a copy of an adapter version.

        Returns:
            Whether the engine no longer has the copy, once that is certain.
        """
        sent = False
        while True:
            now = monotonic()
            if self._may_evict(owned, victim, now):
                time_limit = min(EVICT_TIMEOUT, self._ctx.lease.remaining(now))
                result = await self._send_order(
                    owned, "evict", victim, time_limit, lambda: self._may_evict(owned, victim)
                )
                if result.reason in FINAL_EVICTION_REASONS:
                    return result.done or result.reason == "not_loaded"
                sent = sent or result.reason != NEVER_SENT
            elif not sent:
                return False
            await asyncio.sleep(EVICT_RETRY_INTERVAL)

    def _may_evict(
        self, owned: OwnedEngine, victim: AdapterVersion, checked_at: float | None = None
    ) -> bool:
        now = monotonic() if checked_at is None else checked_at
        lease, engine_grants = self._ctx.lease, owned.engine_grants
        return (
            is_confirmed(engine_grants.ownership, lease, now)
            and engine_grants.announced
            and lease.remaining(now) >= self._ctx.opts.timing.lease_margin
            and engine_grants.may_evict(victim, now)
            and owned.scheduler.pin_count(victim) == 0
        )

    async def _order_load(self, owned: OwnedEngine, target: AdapterVersion) -> bool:
        may_send = self._confirmation(owned)
        if not may_send():
            return False
        result = await self._send_order(owned, "load", target, LOAD_TIMEOUT, may_send)
        return result.done

    async def _announce(self, owned: OwnedEngine) -> None:
        """Sends the fencing token to an engine that checks it, with an order that changes nothing.

        Once the engine has answered, it refuses all orders of older owners.
        """
        may_send = self._confirmation(owned)
        if not may_send():
            return
        result = await self._send_order(owned, "evict", NO_ADAPTER, ANNOUNCE_TIMEOUT, may_send)
        owned.engine_grants.announced = result.done or result.reason == "not_loaded"
        owned.wake.set()

    def _confirmation(self, owned: OwnedEngine) -> Callable[[], bool]:
        return lambda: is_confirmed(owned.engine_grants.ownership, self._ctx.lease, monotonic())

    async def _send_order(
        self,
        owned: OwnedEngine,
        order: str,
        target: AdapterVersion,
        time_limit: float,
        may_send: Callable[[], bool],
    ) -> OrderResult:
        address = self._ctx.address(owned.engine)
        if address is None:
            return OrderResult(False, NEVER_SENT)
        send = self._ctx.engines.evict if order == "evict" else self._ctx.engines.load
        with send_only_if(may_send):
            result = await send(address, owned.fence, target, time_limit)
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


# Reason of an order that was not sent: the class name of `NoLongerUsableError`, which is also used
# if the engine has no address.
NEVER_SENT: Final = "NoLongerUsableError"
