"""Gives one engine the orders to load and unload adapters, on behalf of its owner.

Load requests wait in order of priority, and orders are given one at a time. Before each order is
written to the connection, the authority to give it is checked once more. An order without an answer
may take effect now, later or never. Each order therefore names the sequence number that the engine
must have, so that only one of several orders with the same number takes effect, and only on the
state of the engine that the number stands for. If the engine refuses an order, for its number or
otherwise, the state is not known any more, and no order is given until the report was read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec
from wigeonarch_core.engine_choice import MAX_CONCURRENT_LOADS
from wigeonarch_core.engine_places import AdapterKey, AdapterName, AdapterPlaces
from wigeonarch_core.load_time import LoadTimeEstimate
from wigeonarch_core.retry import doubled
from wigeonarch_core.routes import EngineSpec, ModelSpec
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.calls import CallResult, call_endpoint
from wigeonarch_gateway.messages import EngineUpdate
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.pools import ConnectionPools
from wigeonarch_gateway.ports import (
    Dialect,
    EndpointRecord,
    EngineReport,
    Notice,
    Order,
    OrderResult,
)

# Seconds. A reachable engine answers within a few milliseconds, and no other order can be given to
# the engine while an answer is awaited.
ORDER_TIMEOUT: Final = 0.12
REPORT_TIMEOUT: Final = 0.4  # Seconds.
REPORT_LAG: Final = 0.2  # Seconds after which a report shows an order; reports lag some 100 ms.
# Seconds until the report is read after an order that was refused. The pause doubles with each such
# order in a row, because an engine that executes an order for seconds refuses all others. Orders
# without an answer don't count: the first refusal after them is for their number.
MIN_CONFLICT_PAUSE: Final = 0.06
MAX_CONFLICT_PAUSE: Final = 0.5  # Seconds.
# Number of orders in a row without an answer after which the report is read before the next one.
MAX_UNANSWERED_ORDERS: Final = 3
# Seconds within which an order may still be executed after it was given: the known worst case and
# one second more. An order meant for one incarnation of the engine may thus take effect on the next
# one, if that has the sequence number named in the order.
MAX_ORDER_DELAY: Final = 13.0
# Adapter places that are kept empty for that time after a restart, because a load that arrives when
# all places are full crashes the engine. Late orders can't pile up unnoticed: after one has taken
# effect, the next order given here is refused for its number, and the report is read.
PLACES_FOR_LATE_ORDERS: Final = 2
# Seconds between reports while the engine waits for requests to end before it unloads an adapter,
# in which it accepts no other order.
UNLOAD_POLL_INTERVAL: Final = 0.4
# Seconds between reports while a base model is loaded, which takes seconds.
MODEL_POLL_INTERVAL: Final = 0.4
MAX_REPORT_LAG: Final = 0.8  # Seconds after which a report shows all orders answered before.
REPORT_INTERVAL: Final = 4.0  # Seconds between reports without problems; each report has a cost.
IDLE_INTERVAL: Final = 0.3  # Seconds between checks while no load is requested.
# Seconds for which a load request is valid; it is repeated while the adapter is needed.
LOAD_REQUEST_VALID: Final = 0.4
# Approximate number of adapters that an engine keeps copies of in host memory.
HOST_COPIES: Final = 120
# Pause until a late load is expected again: least seconds, and share of a load's duration. Each
# request that is sent too early uses up part of the retry budget.
MIN_LATE_PAUSE: Final = 0.03
LATE_SHARE: Final = 0.15
# Seconds within which this instance learns that an engine refused a request because it lacks an
# adapter.
REFUSAL_KNOWN_WITHIN: Final = 0.08
# Seconds after which a cold load without any use says nothing about the duration of loads.
UNUSED_LOAD_TIMEOUT: Final = 3.0
LOAD_MARGIN: Final = 0.012  # Seconds added to a load's duration for the order's time in transit.
# Seconds until a load request is retried for which no adapter place could be freed.
RETRY_INTERVAL: Final = 0.03
TIMER_SLACK: Final = 0.002  # Seconds added so that a timer doesn't expire too early.


@dataclass(slots=True)
class PendingLoad:
    """A requested load that has not been ordered yet.

    Attributes:
        priority: Rank of the most urgent request for it; 0 is the most urgent.
        since: Time of the first load request.
        renewed: Time of the last load request.
    """

    priority: int
    first_requested: float
    last_requested: float


@dataclass(slots=True)
class ColdLoad:
    """A load from the weight store, until it is known whether it took as long as expected.

    Attributes:
        concurrent_loads: Other loads in progress when it began.
        due: Time at which it is expected to end, in seconds.
        first_used: Time of the first request dispatched after that; None if there was none.
    """

    concurrent_loads: int
    due: float
    first_used: float | None = None


class OrderAuthority(msgspec.Struct, frozen=True):
    """The authority to give orders to an engine.

    Attributes:
        owner: Name of this instance.
        fence: Returns the fencing token; 0 if no orders may be given now.
    """

    owner: str
    fence: Callable[[], int]


class ControllerContext(msgspec.Struct, frozen=True):
    """What an engine controller uses of its instance.

    Attributes:
        pools: Connections to endpoints.
        dialect: Encodes orders and decodes their responses.
        metrics: Counters.
        record: Returns the endpoint's record; None if it is gone.
        in_use: Returns the adapters that any instance uses at an endpoint.
        is_outdated: Tells whether a newer version of an adapter is published.
        publish: Sends an update to all instances, including this one.
        update_interval: Returns the seconds between repeated updates.
        load_times: Estimates how long loads take.
        loads_in_progress: Returns the number of loads in progress on all engines.
        was_loaded_before: Tells whether an engine is known to have had an adapter loaded.
        may_load_model: Acquires a permit to begin the load of a base model; False if there is none.
        give_back_model_load: Gives the permit back, because the load did not begin and never will.
        since_restart: Returns the seconds since an endpoint was seen to restart under its id.
        on_notice: Handles what an endpoint states about itself in a response.
        cooldown_left: Returns the seconds for which an endpoint wants no calls from this instance.
    """

    pools: ConnectionPools
    dialect: Dialect
    metrics: Metrics
    record: Callable[[str], EndpointRecord | None]
    in_use: Callable[[str], set[AdapterName]]
    is_outdated: Callable[[AdapterKey], bool]
    publish: Callable[[EngineUpdate], None]
    update_interval: Callable[[], float]
    load_times: LoadTimeEstimate
    loads_in_progress: Callable[[], int]
    was_loaded_before: Callable[[str, AdapterKey], bool]
    may_load_model: Callable[[], bool]
    give_back_model_load: Callable[[], None]
    since_restart: Callable[[str], float]
    on_notice: Callable[[EndpointRecord, Notice], None]
    cooldown_left: Callable[[str], float]


class EngineController:
    """Gives orders to one engine, and publishes its state to all instances."""

    __slots__ = (
        "_authority",
        "_blocked_until",
        "_born",
        "_cold_loads",
        "_context",
        "_cooldown_published",
        "_endpoint",
        "_executing_order",
        "_load_requests",
        "_min_sequence",
        "_models",
        "_places",
        "_published_at",
        "_refused_orders",
        "_report_due",
        "_sequence",
        "_sequence_moved_at",
        "_spec",
        "_unanswered_orders",
        "_update_fence",
        "_update_number",
        "_wake_event",
    )

    def __init__(
        self, endpoint: str, spec: EngineSpec, authority: OrderAuthority, context: ControllerContext
    ) -> None:
        self._endpoint = endpoint
        self._spec = spec
        self._authority = authority
        self._context = context
        self._born = 0  # Start time of the engine's incarnation; 0 if unknown.
        self._load_requests: dict[AdapterKey, PendingLoad] = {}
        self._wake_event = asyncio.Event()
        self._update_number = 0
        self._update_fence = 0
        self._published_at = 0.0
        self._reset()

    def _reset(self) -> None:
        """Resets what is known of the engine."""
        self._places = AdapterPlaces(self._spec.places, HOST_COPIES)
        self._models: set[str] = set()
        self._refused_orders = 0  # Refused since the last one that was accepted.
        self._unanswered_orders = 0  # Without an answer in a row.
        self._blocked_until = 0.0
        self._executing_order = False  # Whether the engine executes an order and accepts no other.
        self._sequence: int | None = None  # None if it is unknown.
        self._min_sequence = 0  # Least sequence number that the engine can have, by its responses.
        self._sequence_moved_at = 0.0  # Time of the last response that raised it.
        self._cold_loads: dict[AdapterName, ColdLoad] = {}
        self._report_due = 0.0
        # Whether the instances were told that the engine wants no orders for a while.
        self._cooldown_published = False

    def _note_start(self, born: int) -> None:
        """Notes the start time of the engine's incarnation; a later one means that it restarted."""
        if born <= self._born:
            return
        if self._born:
            log("engine_restarted", "WARNING", endpoint=self._endpoint, sequence=self._sequence)
            self._reset()
        self._born = born

    def request_load(self, key: AdapterKey, priority: int, missing: bool) -> None:
        """Notes that a request needs an adapter.

        Args:
            key: The adapter.
            priority: Rank of the request; 0 is the most urgent.
            missing: Whether the engine just refused a request because it lacks the adapter.
        """
        now = monotonic()
        self._places.record_use(key.name, now)
        pause = max(MIN_LATE_PAUSE, LATE_SHARE * self._context.load_times.base_seconds)
        if missing and not self._places.extend_load(key.name, now, pause):
            self._report_due = min(self._report_due, now)
        if missing:
            self._note_late(key.name)
        pending = self._load_requests.get(key)
        if pending is None:
            self._load_requests[key] = PendingLoad(priority, now, now)
        else:
            pending.priority = min(pending.priority, priority)
            pending.last_requested = now
        self._wake_event.set()

    def wake(self) -> None:
        """Makes the controller check the engine now, because something about it has changed."""
        self._wake_event.set()

    def note_use(self, name: AdapterName) -> None:
        """Notes that a request for an adapter is dispatched to the engine."""
        now = monotonic()
        self._places.record_use(name, now)
        load = self._cold_loads.get(name)
        if load is not None and now >= load.due and load.first_used is None:
            load.first_used = now

    def _note_late(self, name: AdapterName) -> None:
        """Records that a cold load took longer than expected."""
        load = self._cold_loads.pop(name, None)
        if load is not None and load.first_used is not None:
            self._context.load_times.record_late(load.concurrent_loads)

    def _note_in_time(self) -> None:
        """Records the cold loads whose adapters were used without a refusal."""
        now = monotonic()
        for name, load in list(self._cold_loads.items()):
            if load.first_used is not None and now - load.first_used > REFUSAL_KNOWN_WITHIN:
                self._context.load_times.record_on_time(load.concurrent_loads)
                del self._cold_loads[name]
            elif now - load.due > UNUSED_LOAD_TIMEOUT:
                del self._cold_loads[name]

    async def run(self) -> None:
        """Serves load requests; runs until cancelled."""
        while True:
            pause = await self._run_once()
            self._note_in_time()
            self._publish_periodically()
            try:
                async with asyncio.timeout(pause):
                    await self._wake_event.wait()
            except TimeoutError:
                pass
            self._wake_event.clear()

    async def _run_once(self) -> float:
        """Does what is due now; returns the seconds until something may be due again."""
        now = monotonic()
        record = self._context.record(self._endpoint)
        if record is None or not self._authority.fence():
            return IDLE_INTERVAL
        self._note_start(record.born)
        may_get_late_orders = self._context.since_restart(self._endpoint) < MAX_ORDER_DELAY
        self._places.capacity = max(
            1, self._spec.places - PLACES_FOR_LATE_ORDERS * may_get_late_orders
        )
        if now < self._blocked_until:
            return self._blocked_until - now + TIMER_SLACK
        cooldown = self._context.cooldown_left(self._endpoint)
        if cooldown:
            self._publish_cooldown()
            return cooldown + TIMER_SLACK
        self._cooldown_published = False
        if self._sequence is None or now >= self._report_due:
            if not await self._read_report(record):
                return REPORT_LAG
            self._publish_update()
        if self._places.is_unloading(now):
            return max(TIMER_SLACK, self._report_due - now)
        if self._missing_model() is not None:
            return await self._load_model(record)
        return await self._serve_load_requests(record)

    async def _serve_load_requests(self, record: EndpointRecord) -> float:
        """Orders requested loads while it can; returns the seconds until the next attempt."""
        pause = IDLE_INTERVAL
        for key in self._load_requests_in_order():
            now = monotonic()
            if self._places.holds(key):
                self._load_requests.pop(key, None)
                self._publish_update()
                continue
            if self._places.loading_count(now) >= MAX_CONCURRENT_LOADS:
                return min(left for _, left in self._places.loading_copies(now)) + TIMER_SLACK
            old = self._places.copy_of(key.name)
            if old is not None:
                # If it were ordered to replace a version in use, the engine would accept no other
                # order until the last request for it has completed, which takes seconds.
                if key.name in self._context.in_use(self._endpoint):
                    continue
                if not await self._unload(record, old):
                    return RETRY_INTERVAL
            elif self._places.free_count() <= 0 and not await self._make_room(record):
                return RETRY_INTERVAL
            if not await self._load(record, key):
                return RETRY_INTERVAL
            self._load_requests.pop(key, None)
            self._publish_update()
        return pause

    def _load_requests_in_order(self) -> list[AdapterKey]:
        """Drops expired load requests; returns the others, the most urgent first."""
        now = monotonic()
        for key in [
            k for k, w in self._load_requests.items() if now - w.last_requested > LOAD_REQUEST_VALID
        ]:
            del self._load_requests[key]
        waiting = self._load_requests
        return sorted(
            waiting, key=lambda key: (waiting[key].priority, waiting[key].first_requested)
        )

    async def _make_room(self, record: EndpointRecord) -> bool:
        """Unloads an adapter that is not needed; returns whether a place is free now."""
        now = monotonic()
        spared = self._context.in_use(self._endpoint) | {key.name for key in self._load_requests}
        loaded = self._places.ready_copies(now)
        outdated = {key.name for key in loaded if self._context.is_outdated(key)}
        victim = self._places.choose_victim(spared, outdated, now)
        if victim is None:
            return False
        return await self._unload(record, victim)

    async def _unload(self, record: EndpointRecord, victim: AdapterKey) -> bool:
        """Orders an unload; returns whether the adapter's place is free now."""
        result = await self._send_order(record, load=False, key=victim)
        if result is OrderResult.HOLDS:
            self._places.remove(victim.name)
            return True
        if result is OrderResult.STARTED:
            # It ends when the requests that use the adapter have completed; a report will show it.
            now = monotonic()
            self._places.begin_unload(victim.name, now)
            self._report_due = now + REPORT_LAG
            log("unload_waits", endpoint=self._endpoint, adapter=victim.adapter)
            self._publish_update()
        return False

    async def _load(self, record: EndpointRecord, key: AdapterKey) -> bool:
        """Orders a load; returns whether the adapter is being loaded or is loaded already."""
        warm = self._places.is_warm(key.name) or self._context.was_loaded_before(
            self._endpoint, key
        )
        result = await self._send_order(record, load=True, key=key)
        now = monotonic()
        if result is OrderResult.STARTED:
            concurrent_loads = self._context.loads_in_progress()
            duration = (
                self._context.load_times.expected_seconds(warm, concurrent_loads) + LOAD_MARGIN
            )
            self._places.begin_load(key, now, duration)
            if not warm:
                self._cold_loads[key.name] = ColdLoad(concurrent_loads, now + duration)
            return True
        if result is OrderResult.HOLDS:
            self._places.mark_ready(key, now)
            return True
        return False

    async def _load_model(self, record: EndpointRecord) -> float:
        """Orders the load of the missing base model; returns the seconds until the next report."""
        model = self._missing_model()
        if model is None or self._executing_order or not self._context.may_load_model():
            return MODEL_POLL_INTERVAL
        result = await self._send_order(record, load=True, key=AdapterKey(model.name, "", 0))
        if result in (OrderResult.STARTED, OrderResult.HOLDS):
            # No order is given until a report shows the model, or that no order is being executed.
            self._executing_order = True
            self._report_due = monotonic() + max(MAX_REPORT_LAG, model.load_time)
        elif result is not OrderResult.UNKNOWN:
            self._context.give_back_model_load()
        return MODEL_POLL_INTERVAL

    def _missing_model(self) -> ModelSpec | None:
        """Returns the model to load if the engine has none; None otherwise."""
        if self._models or not self._spec.models:
            return None
        return self._spec.models[0]

    async def _send_order(self, record: EndpointRecord, load: bool, key: AdapterKey) -> OrderResult:
        """Sends an order if this instance still has the authority; returns the result."""
        fence, sequence = self._authority.fence(), self._sequence
        if not fence or sequence is None:
            return OrderResult.REFUSED
        order = Order(load, key, self._authority.owner, fence, sequence)
        body = self._context.dialect.order_body(order)
        path = self._context.dialect.order_path
        response = await self._call(
            record, "POST", path, body, ORDER_TIMEOUT, lambda: self._may_order(fence)
        )
        result = OrderResult.UNKNOWN
        if not response.sent:
            result = OrderResult.REFUSED
        elif response.status:
            result = self._context.dialect.order_result(response.status)
        self._note_result(order, result, response.status)
        return result

    async def _call(
        self,
        record: EndpointRecord,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        may_send: Callable[[], bool],
    ) -> CallResult:
        """Calls the engine, and handles what its response states about it."""
        context = self._context
        response = await call_endpoint(
            context.pools, context.dialect, record, method, path, body, timeout, may_send
        )
        if response.notice is not None:
            context.on_notice(record, response.notice)
        return response

    def _accepts_calls(self) -> bool:
        """Tells whether the engine accepts calls from this instance now."""
        return not self._context.cooldown_left(self._endpoint)

    def _accepts_orders(self, now: float) -> bool:
        """Tells whether the engine would carry out a load now."""
        is_free = self._sequence is not None and not self._places.is_unloading(now)
        return is_free and self._accepts_calls()

    def _may_order(self, fence: int) -> bool:
        return self._authority.fence() == fence and self._accepts_calls()

    def _note_result(self, order: Order, result: OrderResult, status: int) -> None:
        """Logs an order, and updates the expected sequence number by its result."""
        log(
            "order",
            endpoint=self._endpoint,
            op="load" if order.load else "unload",
            model=order.key.model,
            adapter=order.key.adapter,
            version=order.key.version,
            fence=order.fence,
            sequence=order.sequence,
            result=result.value,
            status=status,
        )
        self._context.metrics.orders.labels("load" if order.load else "unload", result.value).inc()
        if result in (OrderResult.STARTED, OrderResult.HOLDS):
            if result is OrderResult.STARTED or not order.load:
                self._min_sequence += 1
                self._sequence = self._min_sequence
                self._sequence_moved_at = monotonic()
            self._refused_orders = self._unanswered_orders = 0
            return
        if result is OrderResult.UNKNOWN:
            self._unanswered_orders += 1
        else:
            self._refused_orders += 1
            self._unanswered_orders = 0
        silent_orders = self._unanswered_orders - MAX_UNANSWERED_ORDERS
        if result is OrderResult.UNKNOWN and silent_orders <= 0:
            # If the order took effect, the next one is refused for its number. If not, the next one
            # raises the number, and this one can no longer take effect. So no report is needed now.
            return
        # What is known of the engine may be wrong.
        self._sequence = None
        times = max(self._refused_orders, silent_orders) - 1
        pause = doubled(MIN_CONFLICT_PAUSE, times, MAX_CONFLICT_PAUSE)
        self._blocked_until = monotonic() + pause

    async def _read_report(self, record: EndpointRecord) -> bool:
        """Reads the engine's report; returns whether the sequence number is known after it."""
        path = self._context.dialect.report_path
        response = await self._call(record, "GET", path, b"", REPORT_TIMEOUT, self._accepts_calls)
        self._context.metrics.reports.inc()
        if response.status != 200:
            log("report_failed", "WARNING", endpoint=self._endpoint, status=response.status)
            self._report_due = monotonic() + REPORT_LAG
            return False
        try:
            report = self._context.dialect.decode_report(response.body)
        except ValueError as exc:
            log("report_unreadable", "ERROR", endpoint=self._endpoint, reason=str(exc))
            return False
        return self._apply_report(report)

    def _apply_report(self, report: EngineReport) -> bool:
        """Applies a report; returns whether the sequence number is known after it."""
        now = monotonic()
        if report.born and report.born < self._born:
            return False  # The report is from an earlier incarnation.
        self._note_start(report.born)
        if report.sequence < self._min_sequence and now - self._sequence_moved_at < MAX_REPORT_LAG:
            # The report was made before the last accepted order, so it shows nothing new. A report
            # that is still lower after the greatest lag is right and the count here was wrong:
            # some accepted orders don't raise the number.
            self._report_due = now + REPORT_LAG
            return self._sequence is not None
        held = [key for model in report.models for key in model.adapters]
        log(
            "report",
            endpoint=self._endpoint,
            sequence=report.sequence,
            believed=self._sequence,
            held=len(held),
            pending=len(report.pending),
            models=len(report.models),
        )
        self._sequence = self._min_sequence = report.sequence
        self._models = {model.model for model in report.models}
        self._places.adopt_report(held, report.pending, now)
        self._executing_order = report.busy
        self._report_due = now + self._next_report_in(report, now)
        return True

    def _next_report_in(self, report: EngineReport, now: float) -> float:
        """Returns the seconds after which the next report is due."""
        if report.busy:
            return MODEL_POLL_INTERVAL
        return UNLOAD_POLL_INTERVAL if self._places.is_unloading(now) else REPORT_INTERVAL

    def _publish_cooldown(self) -> None:
        """Publishes once for each cooldown that no loads are accepted, so that nobody waits."""
        if not self._cooldown_published:
            self._cooldown_published = True
            self._publish_update()

    def _publish_periodically(self) -> None:
        if monotonic() - self._published_at >= self._context.update_interval():
            self._publish_update()

    def _publish_update(self) -> None:
        now = monotonic()
        fence = self._authority.fence()
        if fence and fence != self._update_fence:
            self._update_fence = fence
            self._update_number = 0
        self._update_number += 1
        self._published_at = now
        in_use = self._context.in_use(self._endpoint)
        models = sorted(self._models)
        index = {model: number for number, model in enumerate(models)}
        update = EngineUpdate(
            sender=self._authority.owner,
            endpoint=self._endpoint,
            fence=self._update_fence,
            number=self._update_number,
            models=models,
            ready=[
                (index[key.model], key.adapter, key.version)
                for key in self._places.ready_copies(now)
                if key.model in index
            ],
            loading=[
                (index[key.model], key.adapter, key.version, int(left * 1000))
                for key, left in self._places.loading_copies(now)
                if key.model in index
            ],
            free_places=self._places.evictable_count(in_use, now),
            accepts_loads=bool(fence) and self._accepts_orders(now),
            born=self._born,
            load_ms=int(self._context.load_times.base_seconds * 1000),
            waiting_loads=len(self._load_requests),
        )
        if self._update_fence:
            self._context.publish(update)
