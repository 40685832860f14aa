"""Orders to one engine by its holder: which adapters it holds, one order after the other.

Wishes wait in order of urgency. Before each order the right to give it is judged anew, at the last
moment before it is written. An order without an answer may take effect now, late or never; each
order names the sequence number that the engine must have, so of those with one number only one
takes effect, and an engine that refuses one for its number is asked for a report.
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

# Seconds; answers take a few milliseconds where there is a way. While one is awaited, nothing else
# can be ordered of the engine.
ORDER_TIMEOUT: Final = 0.12
REPORT_TIMEOUT: Final = 0.4  # Seconds.
REPORT_LAG: Final = 0.2  # Seconds after which a report shows an order; they lag some 100 ms.
# Seconds until the report is read after an order that was not accepted; doubled with each in a row,
# as an engine that carries out an order for seconds refuses all others.
MIN_CONFLICT_PAUSE: Final = 0.06
MAX_CONFLICT_PAUSE: Final = 0.5
# Orders without an answer in a row after which the report is read before the next one.
MAX_UNANSWERED_ORDERS: Final = 3
# An order may be carried out so many seconds after it was given, the known worst case and one more;
# one meant for an earlier incarnation of the engine may then take effect on the next one, when that
# has the sequence number named.
MAX_ORDER_DELAY: Final = 13.0
# Places of an engine that are kept empty for that time: a load that comes on top of full places
# crashes the engine. After each that takes effect the next own order is refused for its number, and
# the report is read, so these can't pile up unseen.
PLACES_FOR_LATE_ORDERS: Final = 2
MODEL_POLL_INTERVAL: Final = (
    0.4  # Seconds between reports while a base model is loaded; it takes seconds.
)
MAX_REPORT_LAG: Final = 0.8  # Seconds after which a report shows all orders answered before.
REPORT_INTERVAL: Final = 4.0  # Seconds between reports while all goes well; each one has a price.
IDLE_INTERVAL: Final = 0.3  # Seconds between looks while nothing is wished.
LOAD_REQUEST_VALID: Final = (
    0.4  # Seconds that a wish counts; requests repeat theirs while they need it.
)
HOST_COPIES: Final = 120  # Adapters that an engine keeps copies of, about.
# Seconds after which a load that is late is expected again, at least, and as a share of what a load
# takes: each try in vain spends the allowance of repeats.
MIN_LATE_PAUSE: Final = 0.03
LATE_SHARE: Final = 0.15
# Seconds within which it is known here that an engine refused a request for lack of an adapter.
REFUSAL_KNOWN_WITHIN: Final = 0.08
UNUSED_LOAD_TIMEOUT: Final = 3.0  # Seconds after which a fetch that nobody used tells nothing.
LOAD_MARGIN: Final = 0.012  # Seconds added to a load's time, for the way of the order.
RETRY_INTERVAL: Final = (
    0.03  # Seconds until a wish is tried again that no place could be found for.
)
TIMER_SLACK: Final = 0.002  # Seconds added so that a timer is not early.


@dataclass(slots=True)
class PendingLoad:
    """A request somewhere needs an adapter here."""

    priority: int
    first_requested: float
    last_requested: float


@dataclass(slots=True)
class ColdLoad:
    """A load that is not warm, until it is known whether it was there in time.

    Attributes:
        under_way: Other loads on their way as it began.
        due: Time at which it was expected to end, in seconds.
        tried: Time of the first request sent after that; None before.
    """

    concurrent_loads: int
    due: float
    first_used: float | None = None


class OrderAuthority(msgspec.Struct, frozen=True):
    """The right to order an engine, judged by the holder of the lease.

    Attributes:
        holder: Name of this instance.
        fence: Returns the fencing number; 0 when nothing may be ordered now.
    """

    owner: str
    fence: Callable[[], int]


class ControllerContext(msgspec.Struct, frozen=True):
    """What an orderer uses of its instance.

    Attributes:
        pools: Connections to endpoints.
        dialect: How things are spelled.
        metrics: Counters.
        record: Returns the endpoint's record; None when it is gone.
        in_use: Returns the adapters in use at an endpoint, by all instances.
        outdated: Tells whether a newer version of an adapter was named.
        publish: Sends news to all instances, this one included.
        news_pause: Returns the seconds between repeated news.
        pace: What was learned of the time of loads.
        loads_under_way: Returns the loads on their way, over all engines.
        was_seen: Tells whether an engine was seen with an adapter before.
        model_turn: Tells whether a load of a base model may begin now.
        since_restart: Returns the seconds since an endpoint was seen to start again under its id.
        noticed: Takes up what an endpoint says of itself in an answer.
        rest_left: Returns the seconds for which an endpoint wants nothing from this instance.
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
    since_restart: Callable[[str], float]
    on_notice: Callable[[EndpointRecord, Notice], None]
    cooldown_left: Callable[[str], float]


class EngineController:
    """The holder's side of one engine."""

    __slots__ = (
        "_authority",
        "_blocked_until",
        "_born",
        "_cold_loads",
        "_context",
        "_cooldown_published",
        "_endpoint",
        "_executing_order",
        "_failed_orders",
        "_load_requests",
        "_min_sequence",
        "_models",
        "_places",
        "_published_at",
        "_report_due",
        "_sequence",
        "_sequence_moved_at",
        "_spec",
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
        self._born = 0  # Start of the engine's incarnation; 0 when it does not say.
        self._load_requests: dict[AdapterKey, PendingLoad] = {}
        self._wake_event = asyncio.Event()
        self._update_number = 0
        self._update_fence = 0
        self._published_at = 0.0
        self._reset()

    def _reset(self) -> None:
        """Sets what is believed of an engine of which nothing is known."""
        self._places = AdapterPlaces(self._spec.places, HOST_COPIES)
        self._models: set[str] = set()
        self._failed_orders = 0  # Orders in a row that were not accepted.
        self._blocked_until = 0.0
        self._executing_order = (
            False  # Whether the engine carries out an order that keeps it from others.
        )
        self._sequence: int | None = None  # None while it is in doubt.
        self._min_sequence = 0  # Least sequence number that the engine can have, by its answers.
        self._sequence_moved_at = 0.0  # Time of the last answer that moved it on.
        self._cold_loads: dict[AdapterName, ColdLoad] = {}
        self._report_due = 0.0
        self._cooldown_published = (
            False  # Whether it was told that the engine wants no orders for a while.
        )

    def _note_start(self, born: int) -> None:
        """Notes the start of the engine's incarnation, which may be a new one."""
        if born <= self._born:
            return
        if self._born:
            log("engine_restarted", "WARNING", endpoint=self._endpoint, sequence=self._sequence)
            self._reset()
        self._born = born

    def request_load(self, key: AdapterKey, priority: int, missing: bool) -> None:
        """Notes that a request needs an adapter; `missing` if the engine just refused one."""
        now = monotonic()
        self._places.record_use(key.name, now)
        pause = max(MIN_LATE_PAUSE, LATE_SHARE * self._context.load_times.base_seconds)
        if missing and not self._places.extend_load(key.name, now, pause):
            self._report_due = min(self._report_due, now)
        if missing:
            self._note_late(key.name)
        wish = self._load_requests.get(key)
        if wish is None:
            self._load_requests[key] = PendingLoad(priority, now, now)
        else:
            wish.priority = min(wish.priority, priority)
            wish.last_requested = now
        self._wake_event.set()

    def wake(self) -> None:
        """Looks at the engine anew, as something about it has changed."""
        self._wake_event.set()

    def note_use(self, name: AdapterName) -> None:
        """Notes that a request is sent to the engine."""
        now = monotonic()
        self._places.record_use(name, now)
        fetch = self._cold_loads.get(name)
        if fetch is not None and now >= fetch.due and fetch.first_used is None:
            fetch.first_used = now

    def _note_late(self, name: AdapterName) -> None:
        """Learns that a fetch took longer than expected."""
        fetch = self._cold_loads.pop(name, None)
        if fetch is not None and fetch.first_used is not None:
            self._context.load_times.record_late(fetch.concurrent_loads)

    def _note_in_time(self) -> None:
        """Learns from the fetches whose copies were used and not missed."""
        now = monotonic()
        for name, fetch in list(self._cold_loads.items()):
            if fetch.first_used is not None and now - fetch.first_used > REFUSAL_KNOWN_WITHIN:
                self._context.load_times.record_on_time(fetch.concurrent_loads)
                del self._cold_loads[name]
            elif now - fetch.due > UNUSED_LOAD_TIMEOUT:
                del self._cold_loads[name]

    async def run(self) -> None:
        """Carries out wishes; runs until cancelled."""
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
        """Does what can be done now; returns the seconds until something may be due."""
        now = monotonic()
        record = self._context.record(self._endpoint)
        if record is None or not self._authority.fence():
            return IDLE_INTERVAL
        self._note_start(record.born)
        late = self._context.since_restart(self._endpoint) < MAX_ORDER_DELAY
        self._places.capacity = max(1, self._spec.places - PLACES_FOR_LATE_ORDERS * late)
        if now < self._blocked_until:
            return self._blocked_until - now + TIMER_SLACK
        rest = self._context.cooldown_left(self._endpoint)
        if rest:
            self._publish_cooldown()
            return rest + TIMER_SLACK
        self._cooldown_published = False
        if self._sequence is None or now >= self._report_due:
            if not await self._read_report(record):
                return REPORT_LAG
            self._publish_update()
        if self._missing_model() is not None:
            return await self._load_model(record)
        return await self._serve_load_requests(record)

    async def _serve_load_requests(self, record: EndpointRecord) -> float:
        pause = IDLE_INTERVAL
        for key in self._load_requests_in_order():
            now = monotonic()
            if self._places.holds(key):
                self._load_requests.pop(key, None)
                self._publish_update()
                continue
            if self._places.loading_count(now) >= MAX_CONCURRENT_LOADS:
                return min(left for _, left in self._places.loading_copies(now)) + TIMER_SLACK
            if self._places.has_place(key.name):
                if not await self._unload_other_version(record, key):
                    continue
            elif self._places.free_count() <= 0 and not await self._make_room(record):
                return RETRY_INTERVAL
            if not await self._load(record, key):
                return RETRY_INTERVAL
            self._load_requests.pop(key, None)
            self._publish_update()
        return pause

    async def _unload_other_version(self, record: EndpointRecord, key: AdapterKey) -> bool:
        """Unloads another version of an adapter; False while requests use it.

        An engine that is ordered to replace a copy in use takes no other order until the last of
        its requests has ended, which takes seconds.
        """
        if key.name in self._context.in_use(self._endpoint):
            return False
        old = self._places.copy_of(key.name)
        return old is not None and await self._unload(record, old)

    def _load_requests_in_order(self) -> list[AdapterKey]:
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
        now = monotonic()
        spared = self._context.in_use(self._endpoint) | {key.name for key in self._load_requests}
        loaded = self._places.ready_copies(now)
        outdated = {key.name for key in loaded if self._context.is_outdated(key)}
        victim = self._places.choose_victim(spared, outdated, now)
        if victim is None:
            return False
        return await self._unload(record, victim)

    async def _unload(self, record: EndpointRecord, victim: AdapterKey) -> bool:
        result = await self._send_order(record, load=False, key=victim)
        if result is OrderResult.HOLDS:
            self._places.remove(victim.name)
            return True
        if result is OrderResult.STARTED:
            # It ends when requests that use it have ended; a report will show that.
            self._report_due = monotonic() + REPORT_LAG
        return False

    async def _load(self, record: EndpointRecord, key: AdapterKey) -> bool:
        warm = self._places.is_warm(key.name) or self._context.was_loaded_before(
            self._endpoint, key
        )
        result = await self._send_order(record, load=True, key=key)
        now = monotonic()
        if result is OrderResult.STARTED:
            under_way = self._context.loads_in_progress()
            takes = self._context.load_times.expected_seconds(warm, under_way) + LOAD_MARGIN
            self._places.begin_load(key, now, takes)
            if not warm:
                self._cold_loads[key.name] = ColdLoad(under_way, now + takes)
            return True
        if result is OrderResult.HOLDS:
            self._places.mark_ready(key, now)
            return True
        return False

    async def _load_model(self, record: EndpointRecord) -> float:
        model = self._missing_model()
        if model is None or self._executing_order or not self._context.may_load_model():
            return MODEL_POLL_INTERVAL
        result = await self._send_order(record, load=True, key=AdapterKey(model.name, "", 0))
        if result in (OrderResult.STARTED, OrderResult.HOLDS):
            # Until a report shows the model, or that nothing is under way, nothing is ordered.
            self._executing_order = True
            self._report_due = monotonic() + max(MAX_REPORT_LAG, model.load_time)
        return MODEL_POLL_INTERVAL

    def _missing_model(self) -> ModelSpec | None:
        """Returns the model to load on an engine that has none."""
        if self._models or not self._spec.models:
            return None
        return self._spec.models[0]

    async def _send_order(self, record: EndpointRecord, load: bool, key: AdapterKey) -> OrderResult:
        fence = self._authority.fence()
        if not fence:
            return OrderResult.REFUSED
        order = Order(load, key, self._authority.owner, fence, self._sequence)
        body = self._context.dialect.order_body(order)
        path = self._context.dialect.order_path
        answer = await self._call(
            record, "POST", path, body, ORDER_TIMEOUT, lambda: self._may_order(fence)
        )
        result = OrderResult.UNKNOWN
        if not answer.sent:
            result = OrderResult.REFUSED
        elif answer.status:
            result = self._context.dialect.order_result(answer.status)
        self._note_result(order, result, answer.status)
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
        """Calls the engine, and takes up what its answer says of it."""
        around = self._context
        answer = await call_endpoint(
            around.pools, around.dialect, record, method, path, body, timeout, may_send
        )
        if answer.notice is not None:
            around.on_notice(record, answer.notice)
        return answer

    def _accepts_calls(self) -> bool:
        """Tells whether the engine takes calls from this instance now."""
        return not self._context.cooldown_left(self._endpoint)

    def _may_order(self, fence: int) -> bool:
        return self._authority.fence() == fence and self._accepts_calls()

    def _note_result(self, order: Order, result: OrderResult, status: int) -> None:
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
            self._failed_orders = 0
            return
        self._failed_orders += 1
        if result is OrderResult.UNKNOWN and self._failed_orders <= MAX_UNANSWERED_ORDERS:
            # If it took effect, the next order meets a number that has moved on; if not, the next
            # one moves it on, and it never can. So nothing has to be read for now.
            return
        # What is believed of the engine is doubtful.
        self._sequence = None
        pause = min(MAX_CONFLICT_PAUSE, MIN_CONFLICT_PAUSE * 2.0 ** (self._failed_orders - 1))
        self._blocked_until = monotonic() + pause

    async def _read_report(self, record: EndpointRecord) -> bool:
        """Reads the engine's report; returns whether it shows all orders given."""
        path = self._context.dialect.report_path
        answer = await self._call(record, "GET", path, b"", REPORT_TIMEOUT, self._accepts_calls)
        self._context.metrics.reports.inc()
        if answer.status != 200:
            log("report_failed", "WARNING", endpoint=self._endpoint, status=answer.status)
            self._report_due = monotonic() + REPORT_LAG
            return False
        try:
            report = self._context.dialect.decode_report(answer.body)
        except ValueError as exc:
            log("report_unreadable", "ERROR", endpoint=self._endpoint, reason=str(exc))
            return False
        return self._apply_report(report)

    def _apply_report(self, report: EngineReport) -> bool:
        now = monotonic()
        if report.born and report.born < self._born:
            return False  # Of an earlier incarnation.
        self._note_start(report.born)
        if report.sequence < self._min_sequence and now - self._sequence_moved_at < MAX_REPORT_LAG:
            # Sampled before the last order that the engine accepted: it tells nothing new. Later
            # the report is right, and what was counted was not: some answers move nothing on.
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
        self._report_due = now + (MODEL_POLL_INTERVAL if report.busy else REPORT_INTERVAL)
        return True

    def _publish_cooldown(self) -> None:
        """Tells, once for each rest, that no loads can be asked for, so that nobody waits."""
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
        place = {model: number for number, model in enumerate(models)}
        news = EngineUpdate(
            sender=self._authority.owner,
            endpoint=self._endpoint,
            fence=self._update_fence,
            number=self._update_number,
            models=models,
            ready=[
                (place[key.model], key.adapter, key.version)
                for key in self._places.ready_copies(now)
                if key.model in place
            ],
            loading=[
                (place[key.model], key.adapter, key.version, int(left * 1000))
                for key, left in self._places.loading_copies(now)
                if key.model in place
            ],
            free_places=self._places.evictable_count(in_use, now),
            accepts_loads=bool(fence) and self._sequence is not None and self._accepts_calls(),
            born=self._born,
            load_ms=int(self._context.load_times.base_seconds * 1000),
        )
        if self._update_fence:
            self._context.publish(news)
