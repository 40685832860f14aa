"""One gateway process: its parts, its start and its end."""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final

from wigeonarch_core.cooldowns import Cooldowns
from wigeonarch_core.endpoint_health import EndpointHealth
from wigeonarch_core.engine_latency import EngineLatency
from wigeonarch_core.engine_places import AdapterName
from wigeonarch_core.load_time import LoadTimeEstimate
from wigeonarch_core.quota_ledger import QuotaLedger
from wigeonarch_core.retry_window import RetryWindow
from wigeonarch_core.routes import EngineSpec, RoutingTable
from wigeonarch_core.store_contact import LapseTimes, StoreContact
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import dropped_lines, log

from wigeonarch_gateway.admission import Admission
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engine_controller import ControllerContext
from wigeonarch_gateway.engine_ownership import EngineOwnership
from wigeonarch_gateway.engineviews import EngineViews, from_adapter
from wigeonarch_gateway.forwarding import Forwarder
from wigeonarch_gateway.http_server import HttpServer
from wigeonarch_gateway.instrumented_store import InstrumentedStore
from wigeonarch_gateway.leasing import CrashMemory, Identity, OwnLease
from wigeonarch_gateway.limits import EndpointLimits
from wigeonarch_gateway.load_requests import LoadRequests
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.messages import (
    AdapterUse,
    CrashReport,
    EngineUpdate,
    FollowRequest,
    Heartbeat,
    LeaseRenewed,
    LeaseSupportPromise,
    LeaseSupportRequest,
    LeavingEndpoints,
    LoadRequest,
    Message,
    PeerAddresses,
    PeerQuery,
    PermitReply,
    PermitRequest,
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    RateLimitUpdate,
    Relay,
    SeenAdapters,
    StoreUpdate,
    UpdateUnavailable,
    decode,
)
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.model_load_permits import ModelLoadPermits
from wigeonarch_gateway.notices import Notices
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.peer_socket import PeerSocket, split_address
from wigeonarch_gateway.pools import ConnectionPools
from wigeonarch_gateway.ports import (
    Dialect,
    EndpointRecord,
    ObjectKind,
    ObjectStore,
)
from wigeonarch_gateway.quotas import FIRST_NUMBER_BOUND, QuotaManager
from wigeonarch_gateway.responder import Responder
from wigeonarch_gateway.selection import EndpointSelector
from wigeonarch_gateway.serving import RequestPipeline
from wigeonarch_gateway.sharing import WatchSharing
from wigeonarch_gateway.status import Page, StatusServer
from wigeonarch_gateway.store_updates import StoreUpdateHandlers
from wigeonarch_gateway.support import LeaseSupport
from wigeonarch_gateway.suspects import SuspectRequests
from wigeonarch_gateway.traffic import InFlightTracker
from wigeonarch_gateway.watching import StoreReachability, keep_watching

VITALS_INTERVAL: Final = 10.0  # Seconds between lines about the whole instance.
TICK_INTERVAL: Final = 0.25  # Seconds between looks at what only time changes.
# Seconds in which a request may still reach an endpoint that is to be dropped by now: the tick, and
# a request for which it was chosen before.
LATE_DISPATCH_WINDOW: Final = TICK_INTERVAL + 0.25
MAX_CANCEL_ATTEMPTS: Final = 5  # Times that a duty is cancelled before the process ends without it.
CANCEL_TIMEOUT: Final = 0.1  # Seconds.
DRAIN_POLL_INTERVAL: Final = 0.05  # Seconds between looks at whether all requests have ended.
# Seconds before the hard end at which the process ends by itself.
SHUTDOWN_MARGIN: Final = 0.7
DEFAULT_MAX_BODY_BYTES: Final = 4 * 1024 * 1024


class Node:
    """A gateway process."""

    def __init__(self, opts: Options, dialect: Dialect, store: ObjectStore) -> None:
        self._opts = opts
        self._dialect = dialect
        self._metrics = Metrics()
        times = LapseTimes(
            opts.store.lapse, opts.store.return_time, opts.store.contact - LATE_DISPATCH_WINDOW
        )
        self._store_contact = StoreContact(times)
        self._store = store = InstrumentedStore(store, self._metrics, self._store_contact)
        self._incarnation = os.urandom(6).hex()
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        loop = asyncio.get_running_loop()
        self._pools = ConnectionPools(loop, opts.ip)
        self._endpoint_health = EndpointHealth()
        self._engine_latency = EngineLatency()
        self._cooldowns = Cooldowns()
        self._traffic = InFlightTracker()
        self._views = EngineViews()
        self._load_time_estimate = LoadTimeEstimate()
        self._endpoints = EndpointRegistry(
            self._may_lapse_until, self._endpoint_gone, self._endpoint_restarted
        )
        self._catalogue = Catalogue(dialect.decode_configuration, dialect.decode_version)
        self._store_updates = StoreUpdateHandlers(
            opts.store, self._catalogue, self._endpoints, self._views, dialect.decode_endpoint
        )
        retries = opts.retries
        self._retries = RetryWindow(retries.share, retries.allowance, retries.window)
        self._store_state = StoreReachability()
        address = f"{opts.ip}:{opts.peer_port}"
        self._links = PeerSocket(address, self._receive)
        self._own_lease = OwnLease(
            store,
            opts.leases,
            Identity(opts.instance, self._incarnation, address, opts.zone),
            lambda plea: self._members.request_lease_support(plea),
            lambda: self._members.roles.possible_successors(
                {opts.zone, *self._engine_ownership.zones()}
            ),
            lambda: self._members.roles.is_delegate() or bool(self._engine_ownership.owned()),
            lambda: self._members.discovery.own_lease_revision(),
            CrashMemory(
                lambda: self._suspects.crashes_to_store(),
                lambda kept: self._suspects.adopt_stored_crashes(kept),
            ),
        )
        self._members = Members(
            opts,
            self._incarnation,
            self._links,
            self._traffic,
            self._own_lease_left,
            lambda name, revision, left: self._engine_ownership.observed_leases.record_heartbeat(
                name, revision, left, monotonic()
            ),
            lambda endpoint: self._views.get(endpoint).owner,
            self._send_known_state,
            self._views.note_owner_silent,
            self._metrics,
            self._store_contact,
        )
        self._suspects = SuspectRequests(
            opts.instance,
            self._members.send_all,
            self._own_lease.renew_soon,
            self._pools.probe,
            self._metrics,
        )
        self._limits = EndpointLimits(
            opts.instance,
            self._limiter,
            self._members.send,
            self._members.send_all,
            self._metrics,
        )
        self._notices = Notices(
            self._endpoints, self._limits, self._cooldowns, self._members.send_all
        )
        evidence = DispatchOutcomes(
            self._endpoint_health,
            self._engine_latency,
            self._suspects,
            self._limits,
            self._cooldowns,
            self._notices,
        )
        self._members.discovery.on_entry = lambda entry: self._suspects.adopt_stored_crashes(
            entry.ended_under
        )
        self._sharing = WatchSharing(
            opts.instance,
            opts.store,
            self._members.roles.watchers,
            self._members.send_frame,
            self._store_contact,
            self._members.discovery.is_zone_small,
            self._store_came_back_older,
        )
        self._store_updates.register_handlers(self._sharing)
        self._model_load_permits = ModelLoadPermits(
            lambda: (spec.loads_per_second for _, spec in self._known_engines()),
            self._members.roles.instance_count,
        )
        self._engine_ownership = EngineOwnership(
            opts.instance,
            opts.leases,
            store,
            self._own_lease,
            self._members,
            self._views,
            self._known_engines,
            self._orderer_context(),
            self._metrics,
        )
        self._lease_support = LeaseSupport(
            opts.instance, store, self._store_state, self._engine_ownership, self._members
        )
        wishes = LoadRequests(
            opts.instance, self._views, self._engine_ownership, self._members.send
        )
        finder = EndpointSelector(
            self._catalogue,
            self._endpoints,
            self._views,
            self._traffic,
            evidence,
            wishes,
            opts.zone,
            lambda: self._members.heartbeat_interval(),
        )
        self._quota_ledger = QuotaLedger(
            opts.quotas, monotonic(), random.randrange(FIRST_NUMBER_BOUND)
        )
        self._quotas = QuotaManager(
            opts.instance,
            address,
            opts.zones,
            self._quota_ledger,
            self._members.roles,
            self._members,
            lambda: self._catalogue.table.teams if self._catalogue.table else None,
            self._links.send,
        )
        admission = Admission(dialect.read_key, self._quotas, self._is_behind, self._metrics)
        closing = Responder(self._metrics, finder.log_fields)
        passing = Forwarder(
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
        serving = RequestPipeline(
            dialect,
            self._catalogue,
            admission,
            passing,
            closing,
            self._retries,
            self._metrics,
        )
        self._receivers = self._message_receivers()
        self._http_server = HttpServer(serving.serve, self._max_body_bytes)
        self._ready_server = StatusServer([Page(dialect.ready_path, self._readiness_page)])
        self._metrics_server = StatusServer([Page("/metrics", self._metrics_page)])

    async def start(self) -> None:
        """Opens the sockets and begins all tasks."""
        opts = self._opts
        await self._links.open()
        await self._ready_server.listen(*split_address(opts.ready))
        await self._open_metrics()
        await self._http_server.listen(*split_address(opts.front))
        log("started", incarnation=self._incarnation, front=opts.front, seeds=len(opts.seeds))
        for name, coro in self._background_tasks().items():
            self._tasks.append(asyncio.create_task(coro, name=name))

    async def _open_metrics(self) -> None:
        """Serves metrics, or goes on without: callers matter more than figures."""
        try:
            await self._metrics_server.listen(self._opts.ip, self._opts.metrics_port)
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
        self._retries.set_bounds(retries.share, retries.allowance, retries.window)
        self._quota_ledger.set_bounds(opts.quotas)
        self._members.discovery.set_seeds(opts.seeds)
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
        log("stopping", in_progress=self._http_server.in_progress, grace=self._opts.grace)
        self._http_server.draining = True
        self._members.roles.leaving = True
        self._engine_ownership.leaving = True
        end = began + self._opts.grace - SHUTDOWN_MARGIN
        while monotonic() < end:
            if monotonic() - began >= self._opts.unready_detection_time:
                # Callers that are still idle here would be cut off by the end of the process.
                self._http_server.stop_accepting()
                if not self._http_server.in_progress:
                    break
            await asyncio.sleep(DRAIN_POLL_INTERVAL)

    async def _close(self) -> None:
        left = self._http_server.in_progress
        self._engine_ownership.close()
        await self._http_server.close()
        await self._cancel_background_tasks()
        await self._ready_server.close()
        await self._metrics_server.close()
        self._pools.close()
        self._links.close()
        await self._store.close()
        log("stopped", cut=left)

    async def _cancel_background_tasks(self) -> None:
        """Cancels all duties until they have ended, within the time that is left.

        A cancellation that comes in the same moment as a time limit of the HTTP client is taken for
        that limit, and the duty goes on; so it was after a pause of the process. One more does it.
        """
        pending = set(self._tasks)
        for _ in range(MAX_CANCEL_ATTEMPTS):
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=CANCEL_TIMEOUT)
            if not pending:
                return
        log("duties_left", "ERROR", duties=",".join(task.get_name() for task in pending))

    def _background_tasks(self) -> dict[str, Coroutine[Any, Any, None]]:
        opts = self._opts.store
        duties: dict[str, Coroutine[Any, Any, None]] = {
            watched.kind.value: keep_watching(
                self._store, self._store_state, opts, self._sharing, watched
            )
            for watched in self._store_updates.watched_kinds()
        }
        duties["sharing"] = self._sharing.follow()
        duties["beats"] = self._members.send_heartbeats()
        duties["discovery"] = self._members.discovery.poll_leases(
            self._store, self._members.roles.is_delegate
        )
        duties["lease"] = self._own_lease.keep_renewed()
        duties["clock"] = self._own_lease.watch_clock()
        duties["holders"] = self._engine_ownership.claim_engines()
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
            await asyncio.sleep(TICK_INTERVAL)
            if monotonic() - told >= VITALS_INTERVAL:
                told = monotonic()
                self._log_vitals()
            for kind in self._sharing.kinds():
                self._metrics.knowledge_age.labels(kind.value).observe(self._sharing.age(kind))
            self._endpoints.expire(monotonic())
            self._pools.close_expired()
            self._suspects.expire()
            self._limits.expire(lambda endpoint: self._endpoints.get(endpoint) is not None)
            self._metrics.log_lines_dropped.set(dropped_lines())
            self._retries.note_instance_count(self._members.roles.instance_count())
            self._quotas.refresh()
            table = self._catalogue.table
            if table is not None and table is not shown:
                shown = table
                self._update_configuration_metrics(table)

    def _update_configuration_metrics(self, table: RoutingTable) -> None:
        self._metrics.configuration.set(table.version)
        self._metrics.set_quotas(table.teams.all() if table.teams is not None else ())

    def _log_vitals(self) -> None:
        """Logs what an operator asks first when an instance is in doubt."""
        table = self._catalogue.table
        log(
            "vitals",
            peers=len(self._members.reachable()),
            held=len(self._engine_ownership.owned()),
            in_progress=self._http_server.in_progress,
            configuration=table.version if table is not None else 0,
            store_away=self._store_state.is_away,
            following=self._sharing.following,
            followers=self._sharing.follower_count(),
            age=max(self._sharing.age(kind) for kind in self._sharing.kinds()),
            loads_at_once=round(self._load_time_estimate.concurrency),
            load_time=self._load_time_estimate.base_seconds,
            store_calls=",".join(f"{call}:{n}" for call, n in self._store.calls.items()),
            connections=self._pools.opened_count,
            peer_messages_dropped=self._links.dropped,
            log_lines_dropped=dropped_lines(),
        )

    def _is_behind(self) -> bool:
        """Tells whether a configuration may have been in force for long that is not known here."""
        return (
            self._sharing.age(ObjectKind.CONFIGURATION) > self._opts.store.propagation.configuration
        )

    def _may_lapse_until(self, zone: str) -> float:
        """Returns the time until which a missing entry of a zone may be one that lapsed."""
        return self._store_contact.may_lapse_until(self._members.roles.store_contacts(zone))

    def _store_came_back_older(self, kind: ObjectKind) -> None:
        """Notes that what follows of a kind is of an older copy of the store."""
        if kind is ObjectKind.ENDPOINTS:
            now = monotonic()
            self._store_contact.record_older_copy(now)
            self._endpoints.store_came_back_older(now)

    def _limiter(self, endpoint: str) -> str:
        """Returns the instance that gives permits for an endpoint."""
        record = self._endpoints.get(endpoint)
        return self._members.roles.limiter(endpoint, record.zone if record is not None else "")

    def _endpoint_gone(self, endpoint: str) -> None:
        self._limits.endpoint_gone(endpoint)
        self._pools.forget(endpoint)
        self._views.forget(endpoint)
        self._endpoint_health.forget(endpoint)
        self._engine_latency.forget(endpoint)
        self._suspects.endpoint_ended(endpoint)

    def _endpoint_restarted(self, record: EndpointRecord) -> None:
        """Ends all that was believed of an endpoint's last incarnation."""
        self._pools.forget(record.endpoint)
        self._endpoint_health.forget(record.endpoint)
        self._engine_latency.forget(record.endpoint)
        self._limits.forget(record.endpoint)
        self._cooldowns.forget(record.endpoint)
        self._suspects.endpoint_ended(record.endpoint)
        self._views.note_restart(record.endpoint, record.born)
        orderer = self._engine_ownership.controller(record.endpoint)
        if orderer is not None:
            orderer.wake()

    # What peers tell.

    def _receive(self, message: Message) -> None:
        self._receivers[type(message)](message)

    def _message_receivers(self) -> dict[type[Message], Callable[[Any], None]]:
        """Returns who takes each kind of message."""
        return {
            Heartbeat: self._members.receive_heartbeat,
            EngineUpdate: self._views.apply_update,
            LoadRequest: self._receive_load_request,
            AdapterUse: self._receive_use,
            SeenAdapters: lambda told: self._views.add_seen_adapters(told.endpoint, told.names),
            LeaseSupportPromise: self._own_lease.note_promise,
            LeaseSupportRequest: self._lease_support.answer_request,
            LeaseRenewed: self._own_lease.note_peer_renewal,
            Relay: self._receive_relayed,
            FollowRequest: self._sharing.answer_follower,
            StoreUpdate: self._sharing.receive_update,
            UpdateUnavailable: self._sharing.receive_unavailable,
            PeerQuery: self._members.discovery.answer_query,
            PeerAddresses: self._members.discovery.take_addresses,
            QuotaRequest: self._quotas.receive_request,
            QuotaReply: self._quotas.receive_reply,
            QuotaReturn: self._quotas.receive_return,
            QuotaLoanRequest: self._quotas.receive_loan_request,
            QuotaLoan: self._quotas.receive_loan,
            CrashReport: self._suspects.receive_report,
            RateLimitUpdate: self._limits.receive_limit,
            LeavingEndpoints: self._notices.receive_leaving,
            PermitRequest: self._limits.receive_request,
            PermitReply: self._limits.receive_reply,
        }

    def _receive_load_request(self, message: LoadRequest) -> None:
        orderer = self._engine_ownership.controller(message.endpoint)
        if orderer is not None:
            orderer.request_load(from_adapter(message.adapter), message.priority, message.missing)

    def _receive_relayed(self, relayed: Relay) -> None:
        inner = decode(relayed.frame)
        if inner is None or isinstance(inner, Relay):
            log("relayed_message_unknown", "WARNING", bytes=len(relayed.frame))
            return
        self._members.forward_in_zone(relayed)
        self._receive(inner)

    def _receive_use(self, message: AdapterUse) -> None:
        orderer = self._engine_ownership.controller(message.endpoint)
        if orderer is not None:
            key = from_adapter(message.adapter)
            self._members.note_adapter_use(message.sender, message.endpoint, key)
            orderer.note_use(key.name)

    def _send_known_state(self, started: str) -> None:
        for endpoint, names in self._views.seen_adapters():
            self._members.send(started, SeenAdapters(endpoint, names))
        self._members.send(started, self._suspects.known_crashes())
        leaving = self._notices.known_leaving()
        if leaving is not None:
            self._members.send(started, leaving)

    def _own_lease_left(self) -> tuple[int, int]:
        """Returns the own lease's revision and the milliseconds for which it holds."""
        now = monotonic()
        lease = self._own_lease.lease
        left = lease.remaining(now) if lease.is_valid(now) else 0.0
        return self._own_lease.revision(), int(left * 1000)

    # What the parts ask.

    def _known_engines(self) -> list[tuple[EndpointRecord, EngineSpec]]:
        table = self._catalogue.table
        if table is None:
            return []
        found = []
        for record in self._endpoints.all():
            service = table.services.get(record.service)
            if service is not None and service.engine is not None:
                found.append((record, service.engine))
        return found

    def _orderer_context(self) -> ControllerContext:
        return ControllerContext(
            self._pools,
            self._dialect,
            self._metrics,
            self._endpoints.get,
            self._adapters_in_use,
            self._catalogue.is_outdated,
            self._publish_engine_update,
            lambda: self._members.engine_update_interval(),
            self._load_time_estimate,
            self._views.loads_in_progress,
            lambda endpoint, key: self._views.get(endpoint).is_warm(key),
            self._model_load_permits.acquire,
            self._endpoints.since_restart,
            lambda record, notice: self._notices.note(record, notice),
            lambda endpoint: self._cooldowns.remaining(endpoint, monotonic()),
        )

    def _adapters_in_use(self, endpoint: str) -> set[AdapterName]:
        own = {key.name for key in self._traffic.adapters_in_use(endpoint)}
        return self._members.adapters_in_use(endpoint) | own

    def _publish_engine_update(self, news: EngineUpdate) -> None:
        self._views.apply_update(news)
        self._members.send_all(news)

    def _max_body_bytes(self) -> int:
        table = self._catalogue.table
        return table.limits.body_bytes if table is not None else DEFAULT_MAX_BODY_BYTES

    def _readiness_page(self) -> tuple[int, bytes]:
        ready = self._catalogue.table is not None and not self._stopping.is_set()
        return (200, b"ready\n") if ready else (503, b"not ready\n")

    def _metrics_page(self) -> tuple[int, bytes]:
        return 200, self._metrics.text()
