"""One gateway process: its parts, its start and its end."""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final

from wigeonarch_core.doubt import Doubts
from wigeonarch_core.engine_pace import EnginePaces
from wigeonarch_core.engine_places import AdapterName
from wigeonarch_core.load_pace import LoadPace
from wigeonarch_core.quota_bank import QuotaBank
from wigeonarch_core.rests import Rests
from wigeonarch_core.retry_window import RetryWindow
from wigeonarch_core.routes import EngineSpec, RoutingTable
from wigeonarch_core.store_contact import LapseTimes, StoreContact
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import dropped, log

from wigeonarch_gateway.admission import Admission
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.closing import Closing
from wigeonarch_gateway.counting import CountedStore
from wigeonarch_gateway.door import Door
from wigeonarch_gateway.endpoints import Endpoints
from wigeonarch_gateway.engineviews import EngineViews, from_adapter
from wigeonarch_gateway.evidence import Evidence
from wigeonarch_gateway.finding import Finder
from wigeonarch_gateway.holders import Holders
from wigeonarch_gateway.intake import Intake
from wigeonarch_gateway.leasing import Identity, Leasing, Memory
from wigeonarch_gateway.limits import Limits
from wigeonarch_gateway.links import Links, split_address
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.messages import (
    Beat,
    CreditAnswer,
    CreditAsk,
    CreditBack,
    CreditLoan,
    CreditPlea,
    EndsTold,
    Follow,
    Introduction,
    LeavingTold,
    LimitNamed,
    LoadWish,
    Message,
    PermitAnswer,
    PermitAsk,
    PlacesNews,
    PromiseMade,
    Relay,
    Remembered,
    RenewalDone,
    RenewalPlea,
    Told,
    Untold,
    Used,
    WhoIsThere,
    decode,
)
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.model_turns import ModelTurns
from wigeonarch_gateway.notices import Notices
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.orderer import Surroundings
from wigeonarch_gateway.passing import Passing
from wigeonarch_gateway.pools import Pools
from wigeonarch_gateway.ports import (
    Dialect,
    EndpointRecord,
    Kinds,
    ObjectStore,
)
from wigeonarch_gateway.quotas import NUMBERS, Quotas
from wigeonarch_gateway.serving import Serving
from wigeonarch_gateway.sharing import Sharing
from wigeonarch_gateway.status import Page, StatusServer
from wigeonarch_gateway.support import Support
from wigeonarch_gateway.suspects import Suspects
from wigeonarch_gateway.traffic import Traffic
from wigeonarch_gateway.watching import StoreState, keep_watching
from wigeonarch_gateway.wishes import Wishes

VITALS_EVERY: Final = 10.0  # Seconds between lines about the whole instance.
TICK: Final = 0.25  # Seconds between looks at what only time changes.
# Seconds in which a request may still reach an endpoint that is to be dropped by now: the tick, and
# a request for which it was chosen before.
STILL_SENT: Final = TICK + 0.25
CANCELS_MOST: Final = 5  # Times that a duty is cancelled before the process ends without it.
CANCEL_WAIT: Final = 0.1  # Seconds.
DRAIN_STEP: Final = 0.05  # Seconds between looks at whether all requests have ended.
# Seconds before the hard end at which the process ends by itself.
END_MARGIN: Final = 0.7
DEFAULT_BODY_MOST: Final = 4 * 1024 * 1024


class Node:
    """A gateway process."""

    def __init__(self, opts: Options, dialect: Dialect, store: ObjectStore) -> None:
        self._opts = opts
        self._dialect = dialect
        self._metrics = Metrics()
        times = LapseTimes(opts.store.lapse, opts.store.returned, opts.store.contact - STILL_SENT)
        self._contact = StoreContact(times)
        self._store = store = CountedStore(store, self._metrics, self._contact)
        self._incarnation = os.urandom(6).hex()
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        self._pools = Pools(loop, opts.ip)
        self._doubts = Doubts()
        self._paces = EnginePaces()
        self._rests = Rests()
        self._traffic = Traffic()
        self._views = EngineViews()
        self._pace = LoadPace()
        self._endpoints = Endpoints(self._may_lapse_until, self._gone, self._restarted)
        self._catalogue = Catalogue(dialect.decode_configuration, dialect.decode_version)
        self._intake = Intake(
            opts.store, self._catalogue, self._endpoints, self._views, dialect.decode_endpoint
        )
        retries = opts.retries
        self._retries = RetryWindow(retries.share, retries.allowance, retries.window)
        self._state = StoreState()
        address = f"{opts.ip}:{opts.peer_port}"
        self._links = Links(address, self._receive)
        self._leasing = Leasing(
            store,
            opts.holding,
            Identity(opts.instance, self._incarnation, address, opts.zone),
            lambda plea: self._members.plead(plea),
            lambda: self._members.duties.rivals({opts.zone, *self._holders.zones()}),
            lambda: self._members.duties.is_keeper() or bool(self._holders.held()),
            lambda: self._members.discovery.own_lease(),
            Memory(lambda: self._suspects.notable(), lambda kept: self._suspects.read(kept)),
        )
        self._members = Members(
            opts,
            self._incarnation,
            self._links,
            self._traffic,
            self._lease_left,
            lambda name, revision, left: self._holders.observed.told(
                name, revision, left, monotonic()
            ),
            lambda endpoint: self._views.get(endpoint).holder,
            self._tell_remembered,
            self._views.unheard,
            self._metrics,
            self._contact,
        )
        self._suspects = Suspects(
            opts.instance,
            self._members.send_all,
            self._leasing.renew_soon,
            self._pools.reach,
            self._metrics,
        )
        self._limits = Limits(
            opts.instance,
            self._limiter,
            self._members.send,
            self._members.send_all,
            self._metrics,
        )
        self._notices = Notices(self._endpoints, self._limits, self._rests, self._members.send_all)
        evidence = Evidence(
            self._doubts, self._paces, self._suspects, self._limits, self._rests, self._notices
        )
        self._members.discovery.on_entry = lambda entry: self._suspects.read(entry.ended_under)
        self._sharing = Sharing(
            opts.instance,
            opts.store,
            self._members.duties.watchers,
            self._members.send_frame,
            self._contact,
            self._members.discovery.is_alone,
            self._came_back_older,
        )
        self._intake.share(self._sharing)
        self._model_turns = ModelTurns(
            lambda: (spec.loads_per_second for _, spec in self._engines()),
            self._members.duties.count,
        )
        self._holders = Holders(
            opts.instance,
            opts.holding,
            store,
            self._leasing,
            self._members,
            self._views,
            self._engines,
            self._surroundings(),
            self._metrics,
        )
        self._support = Support(opts.instance, store, self._state, self._holders, self._members)
        wishes = Wishes(opts.instance, self._views, self._holders, self._members.send)
        finder = Finder(
            self._catalogue,
            self._endpoints,
            self._views,
            self._traffic,
            evidence,
            wishes,
            opts.zone,
            lambda: self._members.pause(),
        )
        self._bank = QuotaBank(opts.quotas, monotonic(), random.randrange(NUMBERS))
        self._quotas = Quotas(
            opts.instance,
            address,
            opts.zones,
            self._bank,
            self._members.duties,
            self._members,
            lambda: self._catalogue.table.teams if self._catalogue.table else None,
            self._links.send,
        )
        admission = Admission(dialect.read_key, self._quotas, self._is_behind, self._metrics)
        closing = Closing(self._metrics, finder.inputs)
        passing = Passing(
            dialect,
            self._endpoints,
            self._views,
            self._traffic,
            self._pools,
            wishes,
            self._retries,
            evidence,
            self._metrics,
            finder,
            closing,
        )
        serving = Serving(
            dialect,
            self._catalogue,
            admission,
            passing,
            closing,
            self._retries,
            self._metrics,
        )
        self._receivers = self._all_receivers()
        self._door = Door(serving.serve, self._body_most)
        self._ready_server = StatusServer([Page(dialect.ready_path, self._ready)])
        self._metrics_server = StatusServer([Page("/metrics", self._metrics_page)])

    async def start(self) -> None:
        """Opens the sockets and begins all tasks."""
        opts = self._opts
        await self._links.open()
        await self._ready_server.open(*split_address(opts.ready))
        await self._open_metrics()
        await self._door.open(*split_address(opts.front))
        log("started", incarnation=self._incarnation, front=opts.front, seeds=len(opts.seeds))
        for name, coro in self._duties().items():
            self._tasks.append(asyncio.create_task(coro, name=name))

    async def _open_metrics(self) -> None:
        """Serves metrics, or goes on without: callers matter more than figures."""
        try:
            await self._metrics_server.open(self._opts.ip, self._opts.metrics_port)
        except OSError as exc:
            log("metrics_unavailable", "ERROR", port=self._opts.metrics_port, reason=str(exc))

    def stop(self) -> None:
        """Begins the graceful end."""
        self._stopping.set()

    def reload(self, opts: Options) -> None:
        """Takes over settings that may change while the process runs; others need a restart."""
        kept = {"instance", "zone", "ip", "front", "ready", "peer_port", "metrics_port"}
        fixed = [name for name in sorted(kept) if getattr(opts, name) != getattr(self._opts, name)]
        self._opts = opts
        retries = opts.retries
        self._retries.bounds(retries.share, retries.allowance, retries.window)
        self._bank.bounds(opts.quotas)
        self._members.discovery.seeds(opts.seeds)
        log("reloaded", needs_restart=",".join(fixed))

    async def serve(self) -> None:
        """Serves until stopped, then ends what is in progress, and closes."""
        watch = asyncio.create_task(self._watch_tasks())
        await self._stopping.wait()
        await self._drain()
        watch.cancel()
        await self._close()

    async def _drain(self) -> None:
        began = monotonic()
        log("stopping", in_progress=self._door.in_progress, grace=self._opts.grace)
        self._door.closing = True
        self._members.duties.leaving = True
        self._holders.leaving = True
        end = began + self._opts.grace - END_MARGIN
        while monotonic() < end:
            if monotonic() - began >= self._opts.unready_noticed:
                # Callers that are still idle here would be cut off by the end of the process.
                self._door.shut()
                if not self._door.in_progress:
                    break
            await asyncio.sleep(DRAIN_STEP)

    async def _close(self) -> None:
        left = self._door.in_progress
        self._holders.close()
        await self._door.close()
        await self._end_duties()
        await self._ready_server.close()
        await self._metrics_server.close()
        self._pools.close()
        self._links.close()
        await self._store.close()
        log("stopped", cut=left)

    async def _end_duties(self) -> None:
        """Cancels all duties until they have ended, within the time that is left.

        A cancellation that comes in the same moment as a time limit of the HTTP client is taken for
        that limit, and the duty goes on; so it was after a pause of the process. One more does it.
        """
        pending = set(self._tasks)
        for _ in range(CANCELS_MOST):
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_WAIT)
            if not pending:
                return
        log("duties_left", "ERROR", duties=",".join(task.get_name() for task in pending))

    def _duties(self) -> dict[str, Coroutine[Any, Any, None]]:
        opts = self._opts.store
        duties: dict[str, Coroutine[Any, Any, None]] = {
            watched.kind.value: keep_watching(
                self._store, self._state, opts, self._sharing, watched
            )
            for watched in self._intake.watched()
        }
        duties["sharing"] = self._sharing.keep()
        duties["beats"] = self._members.keep_beating()
        duties["discovery"] = self._members.discovery.keep_looking(
            self._store, self._members.duties.is_keeper
        )
        duties["lease"] = self._leasing.keep()
        duties["clock"] = self._leasing.watch_clock()
        duties["holders"] = self._holders.keep()
        duties["tick"] = self._tick()
        return duties

    async def _watch_tasks(self) -> None:
        """Ends the process when a duty ended, which only a broken invariant can cause."""
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if not task.cancelled() and task.exception() is not None:
                log("duty_failed", "CRITICAL", duty=task.get_name(), reason=repr(task.exception()))
        self._stopping.set()

    async def _tick(self) -> None:
        told = monotonic()
        shown: RoutingTable | None = None
        while True:
            await asyncio.sleep(TICK)
            if monotonic() - told >= VITALS_EVERY:
                told = monotonic()
                self._log_vitals()
            for kind in self._sharing.kinds():
                self._metrics.knowledge_age.labels(kind.value).observe(self._sharing.age(kind))
            self._endpoints.tick(monotonic())
            self._pools.trim()
            self._suspects.tick()
            self._limits.tick(lambda endpoint: self._endpoints.get(endpoint) is not None)
            self._metrics.log_lines_dropped.set(dropped())
            self._retries.heard_of(self._members.duties.count())
            self._quotas.look()
            table = self._catalogue.table
            if table is not None and table is not shown:
                shown = table
                self._show_configuration(table)

    def _show_configuration(self, table: RoutingTable) -> None:
        self._metrics.configuration.set(table.version)
        self._metrics.quotas(table.teams.all() if table.teams is not None else ())

    def _log_vitals(self) -> None:
        """Logs what an operator asks first when an instance is in doubt."""
        table = self._catalogue.table
        log(
            "vitals",
            peers=len(self._members.heard()),
            held=len(self._holders.held()),
            in_progress=self._door.in_progress,
            configuration=table.version if table is not None else 0,
            store_away=self._state.away,
            following=self._sharing.following,
            followers=self._sharing.followers(),
            age=max(self._sharing.age(kind) for kind in self._sharing.kinds()),
            loads_at_once=round(self._pace.at_once),
            load_time=self._pace.base,
            store_calls=",".join(f"{call}:{n}" for call, n in self._store.calls.items()),
            connections=self._pools.opened,
            peer_messages_dropped=self._links.dropped,
            log_lines_dropped=dropped(),
        )

    def _is_behind(self) -> bool:
        """Tells whether a configuration may have been in force for long that is not known here."""
        return self._sharing.age(Kinds.CONFIGURATION) > self._opts.store.obeyed.configuration

    def _may_lapse_until(self, zone: str) -> float:
        """Returns the time until which a missing entry of a zone may be one that lapsed."""
        return self._contact.may_lapse_until(self._members.duties.contacts(zone))

    def _came_back_older(self, kind: Kinds) -> None:
        """Notes that what follows of a kind is of an older copy of the store."""
        if kind is Kinds.ENDPOINTS:
            now = monotonic()
            self._contact.came_back_older(now)
            self._endpoints.came_back_older(now)

    def _limiter(self, endpoint: str) -> str:
        """Returns the instance that gives permits for an endpoint."""
        record = self._endpoints.get(endpoint)
        return self._members.duties.limiter(endpoint, record.zone if record is not None else "")

    def _gone(self, endpoint: str) -> None:
        self._limits.gone(endpoint)
        self._pools.forget(endpoint)
        self._views.forget(endpoint)
        self._doubts.forget(endpoint)
        self._paces.forget(endpoint)
        self._suspects.endpoint_ended(endpoint)

    def _restarted(self, record: EndpointRecord) -> None:
        """Ends all that was believed of an endpoint's last incarnation."""
        self._pools.forget(record.endpoint)
        self._doubts.forget(record.endpoint)
        self._paces.forget(record.endpoint)
        self._limits.forget(record.endpoint)
        self._rests.forget(record.endpoint)
        self._suspects.endpoint_ended(record.endpoint)
        self._views.restarted(record.endpoint, record.born)
        orderer = self._holders.orderer(record.endpoint)
        if orderer is not None:
            orderer.look()

    # What peers tell.

    def _receive(self, message: Message) -> None:
        self._receivers[type(message)](message)

    def _all_receivers(self) -> dict[type[Message], Callable[[Any], None]]:
        """Returns who takes each kind of message."""
        return {
            Beat: self._members.beat,
            PlacesNews: self._views.news,
            LoadWish: self._wished,
            Used: self._used,
            Remembered: lambda told: self._views.remember(told.endpoint, told.names),
            PromiseMade: self._leasing.promised,
            RenewalPlea: self._support.pleaded,
            RenewalDone: self._leasing.renewed_by_peer,
            Relay: self._relay,
            Follow: self._sharing.asked,
            Told: self._sharing.told,
            Untold: self._sharing.untold,
            WhoIsThere: self._members.discovery.asked,
            Introduction: self._members.discovery.introduced,
            CreditAsk: self._quotas.asked,
            CreditAnswer: self._quotas.answered,
            CreditBack: self._quotas.returned,
            CreditPlea: self._quotas.pleaded,
            CreditLoan: self._quotas.lent,
            EndsTold: self._suspects.told,
            LimitNamed: self._limits.told,
            LeavingTold: self._notices.told,
            PermitAsk: self._limits.asked,
            PermitAnswer: self._limits.answered,
        }

    def _wished(self, message: LoadWish) -> None:
        orderer = self._holders.orderer(message.endpoint)
        if orderer is not None:
            orderer.wish(from_adapter(message.adapter), message.priority, message.missing)

    def _relay(self, relayed: Relay) -> None:
        inner = decode(relayed.frame)
        if inner is None or isinstance(inner, Relay):
            log("relayed_message_unknown", "WARNING", bytes=len(relayed.frame))
            return
        self._members.relay(relayed)
        self._receive(inner)

    def _used(self, message: Used) -> None:
        orderer = self._holders.orderer(message.endpoint)
        if orderer is not None:
            key = from_adapter(message.adapter)
            self._members.add_use(message.sender, message.endpoint, key)
            orderer.used(key.name)

    def _tell_remembered(self, started: str) -> None:
        for endpoint, names in self._views.remembered():
            self._members.send(started, Remembered(endpoint, names))
        self._members.send(started, self._suspects.known())
        leaving = self._notices.known()
        if leaving is not None:
            self._members.send(started, leaving)

    def _lease_left(self) -> tuple[int, int]:
        """Returns the own lease's revision and the milliseconds for which it holds."""
        now = monotonic()
        lease = self._leasing.lease
        left = lease.remaining(now) if lease.holds(now) else 0.0
        return self._leasing.revision(), int(left * 1000)

    # What the parts ask.

    def _engines(self) -> list[tuple[EndpointRecord, EngineSpec]]:
        table = self._catalogue.table
        if table is None:
            return []
        found = []
        for record in self._endpoints.all():
            service = table.services.get(record.service)
            if service is not None and service.engine is not None:
                found.append((record, service.engine))
        return found

    def _surroundings(self) -> Surroundings:
        return Surroundings(
            self._pools,
            self._dialect,
            self._metrics,
            self._endpoints.get,
            self._in_use,
            self._catalogue.outdated,
            self._publish,
            lambda: self._members.news_pause(),
            self._pace,
            self._views.loads_under_way,
            lambda endpoint, key: self._views.get(endpoint).warm(key),
            self._model_turns.take,
            self._endpoints.since_restart,
            lambda record, notice: self._notices.called(record, notice),
            lambda endpoint: self._rests.left(endpoint, monotonic()),
        )

    def _in_use(self, endpoint: str) -> set[AdapterName]:
        own = {key.name for key in self._traffic.in_use(endpoint)}
        return self._members.uses(endpoint) | own

    def _publish(self, news: PlacesNews) -> None:
        self._views.news(news)
        self._members.send_all(news)

    def _body_most(self) -> int:
        table = self._catalogue.table
        return table.limits.body_bytes if table is not None else DEFAULT_BODY_MOST

    def _ready(self) -> tuple[int, bytes]:
        ready = self._catalogue.table is not None and not self._stopping.is_set()
        return (200, b"ready\n") if ready else (503, b"not ready\n")

    def _metrics_page(self) -> tuple[int, bytes]:
        return 200, self._metrics.text()
