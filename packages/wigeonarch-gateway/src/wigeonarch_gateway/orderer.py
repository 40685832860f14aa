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
from wigeonarch_core.engine_choice import LOADS_AT_ONCE
from wigeonarch_core.engine_places import AdapterKey, AdapterName, Places
from wigeonarch_core.load_pace import LoadPace
from wigeonarch_core.routes import EngineSpec, ModelSpec
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.calls import CallAnswer, call
from wigeonarch_gateway.messages import PlacesNews
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.pools import Pools
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
CONFLICT_PAUSE: Final = 0.06
CONFLICT_MOST: Final = 0.5
# Orders without an answer in a row after which the report is read before the next one.
UNKNOWNS_BORNE: Final = 3
# An order may be carried out so many seconds after it was given, the known worst case and one more;
# one meant for an earlier incarnation of the engine may then take effect on the next one, when that
# has the sequence number named.
ORDERS_LATE: Final = 13.0
# Places of an engine that are kept empty for that time: a load that comes on top of full places
# crashes the engine. After each that takes effect the next own order is refused for its number, and
# the report is read, so these can't pile up unseen.
KEPT_FOR_LATE: Final = 2
MODEL_POLL: Final = 0.4  # Seconds between reports while a base model is loaded; it takes seconds.
REPORT_LAG_MOST: Final = 0.8  # Seconds after which a report shows all orders answered before.
REPORT_EVERY: Final = 4.0  # Seconds between reports while all goes well; each one has a price.
IDLE: Final = 0.3  # Seconds between looks while nothing is wished.
WISH_VALID: Final = 0.4  # Seconds that a wish counts; requests repeat theirs while they need it.
HOST_COPIES: Final = 120  # Adapters that an engine keeps copies of, about.
# Seconds after which a load that is late is expected again, at least, and as a share of what a load
# takes: each try in vain spends the allowance of repeats.
LATE_PAUSE: Final = 0.03
LATE_SHARE: Final = 0.15
# Seconds within which it is known here that an engine refused a request for lack of an adapter.
MISSED_WITHIN: Final = 0.08
FETCH_FORGOTTEN: Final = 3.0  # Seconds after which a fetch that nobody used tells nothing.
LOAD_MARGIN: Final = 0.012  # Seconds added to a load's time, for the way of the order.
RETRY: Final = 0.03  # Seconds until a wish is tried again that no place could be found for.
TIMER_SLACK: Final = 0.002  # Seconds added so that a timer is not early.


@dataclass(slots=True)
class Wish:
    """A request somewhere needs an adapter here."""

    priority: int
    since: float
    renewed: float


@dataclass(slots=True)
class Fetch:
    """A load that is not warm, until it is known whether it was there in time.

    Attributes:
        under_way: Other loads on their way as it began.
        due: Time at which it was expected to end, in seconds.
        tried: Time of the first request sent after that; None before.
    """

    under_way: int
    due: float
    tried: float | None = None


class Right(msgspec.Struct, frozen=True):
    """The right to order an engine, judged by the holder of the lease.

    Attributes:
        holder: Name of this instance.
        fence: Returns the fencing number; 0 when nothing may be ordered now.
    """

    holder: str
    fence: Callable[[], int]


class Surroundings(msgspec.Struct, frozen=True):
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

    pools: Pools
    dialect: Dialect
    metrics: Metrics
    record: Callable[[str], EndpointRecord | None]
    in_use: Callable[[str], set[AdapterName]]
    outdated: Callable[[AdapterKey], bool]
    publish: Callable[[PlacesNews], None]
    news_pause: Callable[[], float]
    pace: LoadPace
    loads_under_way: Callable[[], int]
    was_seen: Callable[[str, AdapterKey], bool]
    model_turn: Callable[[], bool]
    since_restart: Callable[[str], float]
    noticed: Callable[[EndpointRecord, Notice], None]
    rest_left: Callable[[str], float]


class Orderer:
    """The holder's side of one engine."""

    __slots__ = (
        "_accepted",
        "_answered",
        "_around",
        "_blocked_until",
        "_born",
        "_busy",
        "_conflicts",
        "_endpoint",
        "_fetches",
        "_models",
        "_news",
        "_news_fence",
        "_places",
        "_report_due",
        "_rests",
        "_right",
        "_sequence",
        "_spec",
        "_told",
        "_wake",
        "_wishes",
    )

    def __init__(self, endpoint: str, spec: EngineSpec, right: Right, around: Surroundings) -> None:
        self._endpoint = endpoint
        self._spec = spec
        self._right = right
        self._around = around
        self._born = 0  # Start of the engine's incarnation; 0 when it does not say.
        self._wishes: dict[AdapterKey, Wish] = {}
        self._wake = asyncio.Event()
        self._news = 0
        self._news_fence = 0
        self._told = 0.0
        self._know_nothing()

    def _know_nothing(self) -> None:
        """Sets what is believed of an engine of which nothing is known."""
        self._places = Places(self._spec.places, HOST_COPIES)
        self._models: set[str] = set()
        self._conflicts = 0  # Orders in a row that were not accepted.
        self._blocked_until = 0.0
        self._busy = False  # Whether the engine carries out an order that keeps it from others.
        self._sequence: int | None = None  # None while it is in doubt.
        self._accepted = 0  # Least sequence number that the engine can have, by its answers.
        self._answered = 0.0  # Time of the last answer that moved it on.
        self._fetches: dict[AdapterName, Fetch] = {}
        self._report_due = 0.0
        self._rests = False  # Whether it was told that the engine wants no orders for a while.

    def _note_start(self, born: int) -> None:
        """Notes the start of the engine's incarnation, which may be a new one."""
        if born <= self._born:
            return
        if self._born:
            log("engine_restarted", "WARNING", endpoint=self._endpoint, sequence=self._sequence)
            self._know_nothing()
        self._born = born

    def wish(self, key: AdapterKey, priority: int, missing: bool) -> None:
        """Notes that a request needs an adapter; `missing` if the engine just refused one."""
        now = monotonic()
        self._places.used(key.name, now)
        pause = max(LATE_PAUSE, LATE_SHARE * self._around.pace.base)
        if missing and not self._places.not_yet(key.name, now, pause):
            self._report_due = min(self._report_due, now)
        if missing:
            self._note_late(key.name)
        wish = self._wishes.get(key)
        if wish is None:
            self._wishes[key] = Wish(priority, now, now)
        else:
            wish.priority = min(wish.priority, priority)
            wish.renewed = now
        self._wake.set()

    def look(self) -> None:
        """Looks at the engine anew, as something about it has changed."""
        self._wake.set()

    def used(self, name: AdapterName) -> None:
        """Notes that a request is sent to the engine."""
        now = monotonic()
        self._places.used(name, now)
        fetch = self._fetches.get(name)
        if fetch is not None and now >= fetch.due and fetch.tried is None:
            fetch.tried = now

    def _note_late(self, name: AdapterName) -> None:
        """Learns that a fetch took longer than expected."""
        fetch = self._fetches.pop(name, None)
        if fetch is not None and fetch.tried is not None:
            self._around.pace.late(fetch.under_way)

    def _note_in_time(self) -> None:
        """Learns from the fetches whose copies were used and not missed."""
        now = monotonic()
        for name, fetch in list(self._fetches.items()):
            if fetch.tried is not None and now - fetch.tried > MISSED_WITHIN:
                self._around.pace.in_time(fetch.under_way)
                del self._fetches[name]
            elif now - fetch.due > FETCH_FORGOTTEN:
                del self._fetches[name]

    async def run(self) -> None:
        """Carries out wishes; runs until cancelled."""
        while True:
            pause = await self._step()
            self._note_in_time()
            self._tell_in_turn()
            try:
                async with asyncio.timeout(pause):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _step(self) -> float:
        """Does what can be done now; returns the seconds until something may be due."""
        now = monotonic()
        record = self._around.record(self._endpoint)
        if record is None or not self._right.fence():
            return IDLE
        self._note_start(record.born)
        late = self._around.since_restart(self._endpoint) < ORDERS_LATE
        self._places.capacity = max(1, self._spec.places - KEPT_FOR_LATE * late)
        if now < self._blocked_until:
            return self._blocked_until - now + TIMER_SLACK
        rest = self._around.rest_left(self._endpoint)
        if rest:
            self._tell_of_rest()
            return rest + TIMER_SLACK
        self._rests = False
        if self._sequence is None or now >= self._report_due:
            if not await self._learn(record):
                return REPORT_LAG
            self._tell()
        if self._missing_model() is not None:
            return await self._load_model(record)
        return await self._serve_wishes(record)

    async def _serve_wishes(self, record: EndpointRecord) -> float:
        pause = IDLE
        for key in self._wishes_in_order():
            now = monotonic()
            if self._places.holds(key):
                self._wishes.pop(key, None)
                self._tell()
                continue
            if self._places.in_transit(now) >= LOADS_AT_ONCE:
                return min(left for _, left in self._places.loading(now)) + TIMER_SLACK
            if self._places.takes_place(key.name):
                if not await self._drop_old_version(record, key):
                    continue
            elif self._places.free() <= 0 and not await self._make_room(record):
                return RETRY
            if not await self._load(record, key):
                return RETRY
            self._wishes.pop(key, None)
            self._tell()
        return pause

    async def _drop_old_version(self, record: EndpointRecord, key: AdapterKey) -> bool:
        """Unloads another version of an adapter; False while requests use it.

        An engine that is ordered to replace a copy in use takes no other order until the last of
        its requests has ended, which takes seconds.
        """
        if key.name in self._around.in_use(self._endpoint):
            return False
        old = self._places.copy(key.name)
        return old is not None and await self._unload(record, old)

    def _wishes_in_order(self) -> list[AdapterKey]:
        now = monotonic()
        for key in [k for k, w in self._wishes.items() if now - w.renewed > WISH_VALID]:
            del self._wishes[key]
        waiting = self._wishes
        return sorted(waiting, key=lambda key: (waiting[key].priority, waiting[key].since))

    async def _make_room(self, record: EndpointRecord) -> bool:
        now = monotonic()
        spared = self._around.in_use(self._endpoint) | {key.name for key in self._wishes}
        loaded = self._places.ready(now)
        outdated = {key.name for key in loaded if self._around.outdated(key)}
        victim = self._places.victim(spared, outdated, now)
        if victim is None:
            return False
        return await self._unload(record, victim)

    async def _unload(self, record: EndpointRecord, victim: AdapterKey) -> bool:
        result = await self._order(record, load=False, key=victim)
        if result is OrderResult.HOLDS:
            self._places.gone(victim.name)
            return True
        if result is OrderResult.STARTED:
            # It ends when requests that use it have ended; a report will show that.
            self._report_due = monotonic() + REPORT_LAG
        return False

    async def _load(self, record: EndpointRecord, key: AdapterKey) -> bool:
        warm = self._places.warm(key.name) or self._around.was_seen(self._endpoint, key)
        result = await self._order(record, load=True, key=key)
        now = monotonic()
        if result is OrderResult.STARTED:
            under_way = self._around.loads_under_way()
            takes = self._around.pace.expected(warm, under_way) + LOAD_MARGIN
            self._places.began(key, now, takes)
            if not warm:
                self._fetches[key.name] = Fetch(under_way, now + takes)
            return True
        if result is OrderResult.HOLDS:
            self._places.there(key, now)
            return True
        return False

    async def _load_model(self, record: EndpointRecord) -> float:
        model = self._missing_model()
        if model is None or self._busy or not self._around.model_turn():
            return MODEL_POLL
        result = await self._order(record, load=True, key=AdapterKey(model.name, "", 0))
        if result in (OrderResult.STARTED, OrderResult.HOLDS):
            # Until a report shows the model, or that nothing is under way, nothing is ordered.
            self._busy = True
            self._report_due = monotonic() + max(REPORT_LAG_MOST, model.load_time)
        return MODEL_POLL

    def _missing_model(self) -> ModelSpec | None:
        """Returns the model to load on an engine that has none."""
        if self._models or not self._spec.models:
            return None
        return self._spec.models[0]

    async def _order(self, record: EndpointRecord, load: bool, key: AdapterKey) -> OrderResult:
        fence = self._right.fence()
        if not fence:
            return OrderResult.REFUSED
        order = Order(load, key, self._right.holder, fence, self._sequence)
        body = self._around.dialect.order_body(order)
        path = self._around.dialect.order_path
        answer = await self._call(
            record, "POST", path, body, ORDER_TIMEOUT, lambda: self._may_order(fence)
        )
        result = OrderResult.UNKNOWN
        if not answer.sent:
            result = OrderResult.REFUSED
        elif answer.status:
            result = self._around.dialect.order_result(answer.status)
        self._ordered(order, result, answer.status)
        return result

    async def _call(
        self,
        record: EndpointRecord,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        may_send: Callable[[], bool],
    ) -> CallAnswer:
        """Calls the engine, and takes up what its answer says of it."""
        around = self._around
        answer = await call(
            around.pools, around.dialect, record, method, path, body, timeout, may_send
        )
        if answer.notice is not None:
            around.noticed(record, answer.notice)
        return answer

    def _is_welcome(self) -> bool:
        """Tells whether the engine takes calls from this instance now."""
        return not self._around.rest_left(self._endpoint)

    def _may_order(self, fence: int) -> bool:
        return self._right.fence() == fence and self._is_welcome()

    def _ordered(self, order: Order, result: OrderResult, status: int) -> None:
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
        self._around.metrics.orders.labels("load" if order.load else "unload", result.value).inc()
        if result in (OrderResult.STARTED, OrderResult.HOLDS):
            if result is OrderResult.STARTED or not order.load:
                self._accepted += 1
                self._sequence = self._accepted
                self._answered = monotonic()
            self._conflicts = 0
            return
        self._conflicts += 1
        if result is OrderResult.UNKNOWN and self._conflicts <= UNKNOWNS_BORNE:
            # If it took effect, the next order meets a number that has moved on; if not, the next
            # one moves it on, and it never can. So nothing has to be read for now.
            return
        # What is believed of the engine is doubtful.
        self._sequence = None
        pause = min(CONFLICT_MOST, CONFLICT_PAUSE * 2.0 ** (self._conflicts - 1))
        self._blocked_until = monotonic() + pause

    async def _learn(self, record: EndpointRecord) -> bool:
        """Reads the engine's report; returns whether it shows all orders given."""
        path = self._around.dialect.report_path
        answer = await self._call(record, "GET", path, b"", REPORT_TIMEOUT, self._is_welcome)
        self._around.metrics.reports.inc()
        if answer.status != 200:
            log("report_failed", "WARNING", endpoint=self._endpoint, status=answer.status)
            self._report_due = monotonic() + REPORT_LAG
            return False
        try:
            report = self._around.dialect.decode_report(answer.body)
        except ValueError as exc:
            log("report_unreadable", "ERROR", endpoint=self._endpoint, reason=str(exc))
            return False
        return self._adopt(report)

    def _adopt(self, report: EngineReport) -> bool:
        now = monotonic()
        if report.born and report.born < self._born:
            return False  # Of an earlier incarnation.
        self._note_start(report.born)
        if report.sequence < self._accepted and now - self._answered < REPORT_LAG_MOST:
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
        self._sequence = self._accepted = report.sequence
        self._models = {model.model for model in report.models}
        self._places.adopt(held, report.pending, now)
        self._busy = report.busy
        self._report_due = now + (MODEL_POLL if report.busy else REPORT_EVERY)
        return True

    def _tell_of_rest(self) -> None:
        """Tells, once for each rest, that no loads can be asked for, so that nobody waits."""
        if not self._rests:
            self._rests = True
            self._tell()

    def _tell_in_turn(self) -> None:
        if monotonic() - self._told >= self._around.news_pause():
            self._tell()

    def _tell(self) -> None:
        now = monotonic()
        fence = self._right.fence()
        if fence and fence != self._news_fence:
            self._news_fence = fence
            self._news = 0
        self._news += 1
        self._told = now
        in_use = self._around.in_use(self._endpoint)
        models = sorted(self._models)
        place = {model: number for number, model in enumerate(models)}
        news = PlacesNews(
            sender=self._right.holder,
            endpoint=self._endpoint,
            fence=self._news_fence,
            number=self._news,
            models=models,
            ready=[
                (place[key.model], key.adapter, key.version)
                for key in self._places.ready(now)
                if key.model in place
            ],
            loading=[
                (place[key.model], key.adapter, key.version, int(left * 1000))
                for key, left in self._places.loading(now)
                if key.model in place
            ],
            free=self._places.idle(in_use, now),
            orders=bool(fence) and self._sequence is not None and self._is_welcome(),
            born=self._born,
            load_ms=int(self._around.pace.base * 1000),
        )
        if self._news_fence:
            self._around.publish(news)
