"""One gateway process: creates and connects its components, runs them, and shuts them down.

A request of a caller passes through `HttpServer`, `RequestPipeline` (routing and `Admission`) and
`Forwarder`. The forwarder asks `EndpointSelector` for an endpoint, sends the request there, records
the result in `DispatchOutcomes`, and hands the response to `Responder`.

What these components know of endpoints and engines comes from the store, by `StoreUpdateHandlers`,
and from other instances, whose messages `Node` hands to the component that each concerns.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, Final

from msgspec.structs import replace
from wigeonarch_core.cooldowns import Cooldowns
from wigeonarch_core.endpoint_health import EndpointHealth
from wigeonarch_core.engine_latency import EngineLatency
from wigeonarch_core.engine_places import AdapterName
from wigeonarch_core.load_time import LoadTimeEstimate
from wigeonarch_core.quota_ledger import QuotaLedger
from wigeonarch_core.retry_window import RetryWindow
from wigeonarch_core.routes import ClientLimits, EngineSpec, RoutingTable
from wigeonarch_core.store_contact import LapseTimes, StoreContact
from wigeonarch_runtime.caller_memory import CallerMemory
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import dropped_lines, log

from wigeonarch_gateway.admission import Admission
from wigeonarch_gateway.brittle_endpoints import BrittleEndpoints
from wigeonarch_gateway.caller_bounds import (
    DEFAULT_BODY_TIME,
    ServerRole,
    bounds_in_force,
    memory_for_callers,
)
from wigeonarch_gateway.caller_guard import CallerGuard
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.directory import Entry
from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engine_controller import ControllerContext
from wigeonarch_gateway.engine_ownership import EngineOwnership
from wigeonarch_gateway.engineviews import EngineViews, from_adapter
from wigeonarch_gateway.extra_tries import ExtraTries
from wigeonarch_gateway.forwarding import Forwarder
from wigeonarch_gateway.freshness import ConfigurationFreshness
from wigeonarch_gateway.granter_choice import GranterChoice
from wigeonarch_gateway.http_server import HttpServer
from wigeonarch_gateway.instrumented_store import InstrumentedStore
from wigeonarch_gateway.internal_headers import NOT_RUN_HEADER
from wigeonarch_gateway.leasing import CrashMemory, Identity, OwnLease, SoftwareMemory
from wigeonarch_gateway.limits import EndpointLimits
from wigeonarch_gateway.load_requests import LoadRequests
from wigeonarch_gateway.members import Members
from wigeonarch_gateway.messages import (
    AdapterUse,
    BrittleUpdate,
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
    OriginQuery,
    OriginReply,
    PeerAddresses,
    PeerQuery,
    PermitReply,
    PermitRequest,
    PlaceGrant,
    PlacesGranted,
    PlaceStatement,
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    RateLimitUpdate,
    Relay,
    SeenAdapters,
    StoreUpdate,
    StreamsBegun,
    UpdateUnavailable,
    decode,
)
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.model_load_permits import ModelLoadPermits
from wigeonarch_gateway.notices import Notices
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.peer_forwarding import PeerForwarder
from wigeonarch_gateway.peer_requests import PeerRequests
from wigeonarch_gateway.peer_socket import PeerSocket, split_address
from wigeonarch_gateway.places import Places
from wigeonarch_gateway.pools import ConnectionPools
from wigeonarch_gateway.ports import (
    Dialect,
    EndpointRecord,
    ObjectKind,
    ObjectStore,
)
from wigeonarch_gateway.quotas import FIRST_NUMBER_BOUND, QuotaManager
from wigeonarch_gateway.responder import Responder
from wigeonarch_gateway.route_answer import MAX_QUERY_BYTES
from wigeonarch_gateway.route_explanation import RouteExplainer
from wigeonarch_gateway.selection import EndpointSelector
from wigeonarch_gateway.service_reach import ServiceReach
from wigeonarch_gateway.serving import RequestPipeline, time_limit
from wigeonarch_gateway.sharing import WatchSharing
from wigeonarch_gateway.status import Page, QueryPage, StatusServer
from wigeonarch_gateway.store_updates import StoreUpdateHandlers
from wigeonarch_gateway.stream_origins import StreamOrigins
from wigeonarch_gateway.support import LeaseSupport
from wigeonarch_gateway.suspects import SuspectRequests
from wigeonarch_gateway.traffic import InFlightTracker
from wigeonarch_gateway.watching import StoreReachability, keep_watching

VITALS_INTERVAL: Final = 10.0  # Seconds between log lines about the state of the whole instance.
TICK_INTERVAL: Final = 0.25  # Seconds between checks of what changes only as time passes.
# Seconds for which requests may still reach an endpoint after the time at which it must be dropped:
# until the next tick, and until a request is sent for which it was chosen before.
LATE_DISPATCH_WINDOW: Final = TICK_INTERVAL + 0.25
# Times that a background task is cancelled before the process ends without waiting for it.
MAX_CANCEL_ATTEMPTS: Final = 5
CANCEL_TIMEOUT: Final = 0.1  # Seconds that a background task has to end after a cancellation.
DRAIN_POLL_INTERVAL: Final = 0.05  # Seconds between checks whether all requests have ended.
# Seconds before the end of the grace period, when the process is killed, at which draining stops.
SHUTDOWN_MARGIN: Final = 0.7
# Writes of all instances together when the software of a service changes. At 370 instances they
# take less than the time for which new software waits for its first streams.
SOFTWARE_RECORDS_PER_SECOND: Final = 100.0
DEFAULT_MAX_BODY_BYTES: Final = 4 * 1024 * 1024  # Applies until a configuration is known.


class Node:
    """A gateway process."""

    def __init__(self, opts: Options, dialect: Dialect, store: ObjectStore) -> None:
        """Creates all components; nothing runs before `start`.

        Args:
            opts: Settings of this process.
            dialect: The platform's names of headers, paths and stored fields.
            store: The object store.
        """
        self._opts = opts
        self._dialect = dialect
        self._metrics = Metrics()
        lapse_times = LapseTimes(
            opts.store.lapse, opts.store.return_time, opts.store.contact - LATE_DISPATCH_WINDOW
        )
        self._store_contact = StoreContact(lapse_times)
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
        self._reach = ServiceReach(self._endpoints.ready, self._pools, self._endpoint_health)
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
            lambda request: self._members.request_lease_support(request),
            lambda: self._members.roles.possible_successors(
                {opts.zone, *self._engine_ownership.zones()}
            ),
            lambda: self._members.roles.is_delegate() or bool(self._engine_ownership.owned()),
            lambda: self._members.discovery.own_lease(),
            CrashMemory(
                lambda: self._suspects.crashes_to_store(),
                lambda stored: self._suspects.adopt_stored_crashes(stored),
                lambda: self._suspects.part_crashes_to_store(),
                lambda stored: self._suspects.adopt_stored_parts(stored),
            ),
            SoftwareMemory(
                lambda: self._streams.record_to_store(),
                lambda lease: self._streams.restore(lease),
                lambda record: self._streams.note_stored(record),
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
            self._reach.lost_services,
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
            self._members.roles.ranked_limiters,
            self._members.send,
            self._members.send_all,
            self._metrics,
        )
        self._brittle = BrittleEndpoints(
            opts.instance,
            self._members.send,
            self._members.send_all,
            lambda: self._places.follow_change(),
        )
        self._places = Places(
            opts.instance,
            self._brittle,
            GranterChoice(opts.instance, self._place_granter, self._members.roles.ranked_limiters),
            self._endpoints.get,
            self._traffic.own_running,
            self._members.send,
            self._members.send_all,
            self._metrics,
        )
        self._notices = Notices(
            self._endpoints,
            self._limits,
            self._cooldowns,
            self._brittle,
            self._members.send_all,
        )
        outcomes = DispatchOutcomes(
            self._endpoint_health,
            self._engine_latency,
            self._suspects,
            self._limits,
            self._places,
            self._cooldowns,
            self._notices,
            self._reach,
        )
        self._members.discovery.on_entry = self._take_lease
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
            self._members.roles.owner_count,
        )
        self._engine_ownership = EngineOwnership(
            opts.instance,
            opts.leases,
            store,
            self._own_lease,
            self._members,
            self._views,
            self._known_engines,
            self._controller_context(),
            self._metrics,
        )
        self._lease_support = LeaseSupport(
            opts.instance, store, self._store_state, self._engine_ownership, self._members
        )
        self._streams = StreamOrigins(
            opts.instance,
            address,
            opts.store.endpoints_age,
            self._endpoints,
            self._members,
            self._members.roles.origin_holders,
            self._links.send,
            lambda: self._catalogue.table,
            lambda: self._sharing.age(ObjectKind.ENDPOINTS),
            self._store_software_record,
        )
        load_requests = LoadRequests(
            opts.instance, self._views, self._engine_ownership, self._members.send
        )
        selector = EndpointSelector(
            self._catalogue,
            self._endpoints,
            self._views,
            self._traffic,
            outcomes,
            self._places,
            load_requests,
            opts.zone,
            lambda: self._members.heartbeat_interval(),
            lambda job: self._peer_forwarder.is_needed(job),
            self._streams.is_settled,
            self._metrics,
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
        self._freshness = ConfigurationFreshness(
            self._sharing, opts.store.propagation.configuration
        )
        admission = Admission(dialect.read_key, self._quotas, self._freshness, self._metrics)
        responder = Responder(self._metrics, selector.log_fields)
        self._peer_pools = ConnectionPools(loop, opts.ip)
        self._peer_forwarder = PeerForwarder(
            opts.instance,
            opts.zone,
            dialect,
            self._peer_pools,
            self._reach,
            self._members.reaching,
            responder,
            self._metrics,
        )
        self._extra_tries = ExtraTries(
            opts.extra_tries,
            self._endpoints.ready,
            self._traffic,
            self._retries,
            outcomes,
            self._metrics,
            selector,
            self._stopping.is_set,
        )
        forwarder = Forwarder(
            dialect,
            self._endpoints,
            self._views,
            self._traffic,
            self._pools,
            load_requests,
            self._retries,
            outcomes,
            self._metrics,
            selector,
            responder,
            self._peer_forwarder,
            self._streams,
            self._extra_tries,
        )
        pipeline = RequestPipeline(
            dialect,
            self._catalogue,
            self._freshness,
            admission,
            forwarder,
            responder,
            self._retries,
            self._metrics,
        )
        self._receivers = self._message_receivers()
        peer_requests = PeerRequests(
            dialect,
            self._catalogue,
            pipeline,
            responder,
            self._metrics,
            self._members.has_address,
        )
        self._explainer = RouteExplainer(
            opts.instance,
            opts.zone,
            dialect,
            self._catalogue,
            self._freshness,
            lambda: self._sharing.age(ObjectKind.ENDPOINTS),
            lambda: self._members.heartbeat_interval(),
            admission,
            self._endpoints,
            self._views,
            outcomes,
            selector,
            self._peer_forwarder,
        )
        self._caller_memory = CallerMemory(
            lambda: memory_for_callers(opts.memory_mb, self._max_body_bytes())
        )
        guard = CallerGuard(
            self._caller_memory,
            bounds_in_force(ServerRole.CALLERS, opts.descriptors, self._client_limits),
            self._max_body_bytes,
            self._body_time,
            lambda reason: self._metrics.callers_ended.labels(reason.value).inc(),
            lambda refusal: self._metrics.refusals.labels(refusal.value).inc(),
        )
        self._http_server = HttpServer(pipeline.serve, guard)
        self._peer_server = HttpServer(
            peer_requests.serve,
            replace(
                guard,
                bounds=bounds_in_force(ServerRole.PEERS, opts.descriptors, self._client_limits),
                reads_body=self._members.has_address,
                refusal_headers=((NOT_RUN_HEADER, b"1"),),
            ),
        )
        self._ready_server = StatusServer(
            [Page(dialect.ready_path, self._readiness_page)],
            self._caller_memory,
            bounds_in_force(ServerRole.READINESS, opts.descriptors, self._client_limits),
        )
        self._metrics_server = StatusServer(
            [
                Page("/metrics", self._metrics_page),
                QueryPage("/route", MAX_QUERY_BYTES, self._explainer.answer),
            ],
            self._caller_memory,
            bounds_in_force(ServerRole.METRICS, opts.descriptors, self._client_limits),
        )

    async def start(self) -> None:
        """Opens the sockets and starts all background tasks."""
        opts = self._opts
        await self._links.open()
        await self._ready_server.listen(*split_address(opts.ready))
        await self._open_metrics()
        await self._open_peer_server()
        await self._http_server.listen(*split_address(opts.front))
        log("started", incarnation=self._incarnation, front=opts.front, seeds=len(opts.seeds))
        for name, coroutine in self._background_tasks().items():
            self._tasks.append(asyncio.create_task(coroutine, name=name))

    async def _open_peer_server(self) -> None:
        """Opens the server for peers; without it only their requests are not served."""
        try:
            await self._peer_server.listen(self._opts.ip, self._opts.peer_port)
        except OSError as exc:
            port = self._opts.peer_port
            log("peer_server_unavailable", "ERROR", port=port, reason=str(exc))

    async def _open_metrics(self) -> None:
        """Opens the metrics server; without it the process goes on, as callers matter more."""
        try:
            await self._metrics_server.listen(self._opts.ip, self._opts.metrics_port)
        except OSError as exc:
            log("metrics_unavailable", "ERROR", port=self._opts.metrics_port, reason=str(exc))

    def stop(self) -> None:
        """Begins the graceful shutdown."""
        self._stopping.set()

    def reload(self, opts: Options) -> None:
        """Applies settings that may change while the process runs; others need a restart."""
        not_reloadable = {"instance", "zone", "ip", "front", "ready", "peer_port", "metrics_port"}
        needs_restart = [
            name
            for name in sorted(not_reloadable)
            if getattr(opts, name) != getattr(self._opts, name)
        ]
        self._opts = opts
        retries = opts.retries
        self._retries.set_bounds(retries.share, retries.allowance, retries.window)
        self._extra_tries.set_options(opts.extra_tries)
        self._quota_ledger.set_bounds(opts.quotas)
        self._members.discovery.set_seeds(opts.seeds)
        log("reloaded", needs_restart=",".join(needs_restart))

    async def serve(self) -> None:
        """Serves until stopped, then drains requests in progress and closes everything."""
        watch = asyncio.create_task(self._watch_tasks())
        await self._stopping.wait()
        await self._drain()
        watch.cancel()
        await self._close()

    async def _drain(self) -> None:
        began = monotonic()
        log("stopping", in_progress=self._in_progress(), grace=self._opts.grace)
        self._http_server.draining = self._peer_server.draining = True
        self._members.roles.leaving = True
        self._engine_ownership.leaving = True
        end = began + self._opts.grace - SHUTDOWN_MARGIN
        servers = [self._http_server, self._peer_server]
        while monotonic() < end:
            if monotonic() - began >= self._opts.unready_detection_time:
                # Callers with idle connections here would otherwise be cut off when the process
                # ends.
                are_empty = [server.stop_accepting() for server in servers]
                if all(are_empty) and not self._in_progress():
                    break
            await asyncio.sleep(DRAIN_POLL_INTERVAL)

    async def _close(self) -> None:
        aborted = self._in_progress()
        self._engine_ownership.close()
        await self._http_server.close()
        await self._peer_server.close()
        await self._cancel_background_tasks()
        await self._ready_server.close()
        await self._metrics_server.close()
        self._pools.close()
        self._peer_pools.close()
        self._links.close()
        await self._store.close()
        log("stopped", cut=aborted)

    def _in_progress(self) -> int:
        """Returns the number of requests of callers and peers that are being served."""
        return self._http_server.in_progress + self._peer_server.in_progress

    async def _cancel_background_tasks(self) -> None:
        """Cancels all background tasks until they have ended, within the time that is left.

        A task may survive a cancellation: if it comes at the same moment as a timeout of the HTTP
        client, the client takes it for that timeout and the task goes on, as happened after a pause
        of the process. Then it is cancelled again.
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
        tasks: dict[str, Coroutine[Any, Any, None]] = {
            watched.kind.value: keep_watching(
                self._store, self._store_state, opts, self._sharing, watched
            )
            for watched in self._store_updates.watched_kinds()
        }
        tasks["sharing"] = self._sharing.follow()
        tasks["beats"] = self._members.send_heartbeats()
        tasks["discovery"] = self._members.discovery.poll_leases(
            self._store, self._members.roles.is_delegate
        )
        tasks["lease"] = self._own_lease.keep_renewed()
        tasks["clock"] = self._own_lease.watch_clock()
        tasks["holders"] = self._engine_ownership.claim_engines()
        tasks["stream_evidence"] = self._streams.gather_evidence(self._store)
        tasks["reach"] = self._reach.keep_probing()
        tasks["tick"] = self._tick()
        return tasks

    async def _watch_tasks(self) -> None:
        """Stops the process if a background task ends, which only a broken invariant can cause."""
        done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if not task.cancelled() and task.exception() is not None:
                log("duty_failed", "CRITICAL", duty=task.get_name(), reason=repr(task.exception()))
        self._stopping.set()

    async def _tick(self) -> None:
        last_vitals = monotonic()
        table_in_metrics: RoutingTable | None = None
        while True:
            slept_from = monotonic()
            await asyncio.sleep(TICK_INTERVAL)
            self._metrics.loop_lag.observe(monotonic() - slept_from - TICK_INTERVAL)
            if monotonic() - last_vitals >= VITALS_INTERVAL:
                last_vitals = monotonic()
                self._log_vitals()
            for kind in self._sharing.kinds():
                self._metrics.knowledge_age.labels(kind.value).observe(self._sharing.age(kind))
            self._endpoints.expire(monotonic())
            self._streams.refresh()
            self._pools.close_expired()
            self._peer_pools.close_expired()
            self._suspects.expire()
            self._limits.expire(lambda endpoint: self._endpoints.get(endpoint) is not None)
            self._brittle.expire(lambda endpoint: self._endpoints.get(endpoint) is not None)
            self._places.refresh()
            self._metrics.log_lines_dropped.set(dropped_lines())
            self._metrics.caller_memory.set(self._caller_memory.held)
            self._retries.note_instance_count(self._members.roles.instance_count())
            self._quotas.refresh()
            table = self._catalogue.table
            if table is not None and table is not table_in_metrics:
                table_in_metrics = table
                self._update_configuration_metrics(table)

    def _paces(self) -> dict[str, float]:
        """Returns the pace of each endpoint among those of its service."""
        services: dict[str, list[str]] = {}
        for record in self._endpoints.all():
            services.setdefault(record.service, []).append(record.endpoint)
        now, found = monotonic(), dict[str, float]()
        for endpoints in services.values():
            found |= self._traffic.paces.ratios(endpoints, now)
        return found

    def _update_configuration_metrics(self, table: RoutingTable) -> None:
        self._metrics.configuration.set(table.version)
        self._metrics.set_quotas(table.teams.all() if table.teams is not None else ())

    def _log_vitals(self) -> None:
        """Logs what an operator looks at first when an instance may be unhealthy."""
        table = self._catalogue.table
        log(
            "vitals",
            peers=len(self._members.reachable()),
            held=len(self._engine_ownership.owned()),
            in_progress=self._http_server.in_progress,
            configuration=table.version if table is not None else 0,
            store_away=self._store_state.is_away,
            ways_lost=",".join(self._reach.lost_services()),
            following=self._sharing.following,
            followers=self._sharing.follower_count(),
            age=max(self._sharing.age(kind) for kind in self._sharing.kinds()),
            loads_at_once=round(self._load_time_estimate.concurrency),
            load_time=self._load_time_estimate.base_seconds,
            store_calls=",".join(f"{call}:{n}" for call, n in self._store.calls.items()),
            connections=self._pools.opened_count,
            callers_hold=self._caller_memory.held,
            callers_ended=self._caller_memory.ended,
            peer_messages_dropped=self._links.dropped,
            log_lines_dropped=dropped_lines(),
        )

    def _may_lapse_until(self, zone: str) -> float:
        """Returns the time until which a missing entry of a zone may merely have lapsed."""
        return self._store_contact.may_lapse_until(self._members.roles.store_contacts(zone))

    def _store_came_back_older(self, kind: ObjectKind) -> None:
        """Records that the next entries of a kind are from an older copy of the store."""
        if kind is ObjectKind.ENDPOINTS:
            now = monotonic()
            self._store_contact.record_older_copy(now)
            self._endpoints.store_came_back_older(now)

    def _take_lease(self, entry: Entry) -> None:
        """Takes over what another instance stored in its lease."""
        self._suspects.adopt_stored_crashes(entry.content.ended_under)
        self._suspects.adopt_stored_parts(entry.content.ended_by_part)

    def _store_software_record(self) -> None:
        """Stores at which software streams may begin here; all instances do at about one time."""
        spread = self._members.roles.instance_count() / SOFTWARE_RECORDS_PER_SECOND
        delay = random.uniform(0.0, spread)
        asyncio.get_running_loop().call_later(delay, self._own_lease.renew_soon)

    def _limiter(self, endpoint: str) -> str:
        """Returns the instance that grants permits for an endpoint."""
        record = self._endpoints.get(endpoint)
        return self._members.roles.limiter(endpoint, record.zone if record is not None else "")

    def _place_granter(self, endpoint: str) -> str:
        """Returns the instance that grants places at an endpoint."""
        record = self._endpoints.get(endpoint)
        zone = record.zone if record is not None else ""
        return self._members.roles.place_granter(endpoint, zone)

    def _endpoint_gone(self, endpoint: str) -> None:
        self._limits.endpoint_gone(endpoint)
        self._brittle.endpoint_gone(endpoint)
        self._places.forget(endpoint)
        self._pools.forget(endpoint)
        self._views.forget(endpoint)
        self._endpoint_health.forget(endpoint)
        self._reach.forget(endpoint)
        self._engine_latency.forget(endpoint)
        self._traffic.forget_pace(endpoint)
        self._suspects.endpoint_ended(endpoint)

    def _endpoint_restarted(self, record: EndpointRecord) -> None:
        """Forgets what was known of an endpoint's last incarnation.

        Its rate limit holds until an answer states none: the next incarnation may name it again.
        """
        self._pools.forget(record.endpoint)
        self._endpoint_health.forget(record.endpoint)
        self._reach.forget(record.endpoint)
        self._engine_latency.forget(record.endpoint)
        self._traffic.forget_pace(record.endpoint)
        self._cooldowns.forget(record.endpoint)
        self._suspects.endpoint_ended(record.endpoint)
        self._streams.endpoint_restarted(record)
        self._views.note_restart(record.endpoint, record.born)
        controller = self._engine_ownership.controller(record.endpoint)
        if controller is not None:
            controller.wake()

    # Messages from other instances.

    def _receive(self, message: Message) -> None:
        self._receivers[type(message)](message)

    def _message_receivers(self) -> dict[type[Message], Callable[[Any], None]]:
        """Returns the handler of each kind of message."""
        return {
            Heartbeat: self._members.receive_heartbeat,
            EngineUpdate: self._views.apply_update,
            LoadRequest: self._receive_load_request,
            AdapterUse: self._receive_use,
            SeenAdapters: lambda seen: self._views.add_seen_adapters(seen.endpoint, seen.names),
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
            BrittleUpdate: self._brittle.receive_update,
            PlaceStatement: self._places.receive_statement,
            PlaceGrant: self._places.receive_grant,
            PlacesGranted: self._places.receive_announcement,
            StreamsBegun: self._streams.receive_begun,
            OriginQuery: self._streams.receive_query,
            OriginReply: self._streams.receive_reply,
        }

    def _receive_load_request(self, message: LoadRequest) -> None:
        controller = self._engine_ownership.controller(message.endpoint)
        if controller is not None:
            controller.request_load(
                from_adapter(message.adapter), message.priority, message.missing
            )

    def _receive_relayed(self, relayed: Relay) -> None:
        message = decode(relayed.frame)
        if message is None or isinstance(message, Relay):
            log("relayed_message_unknown", "WARNING", bytes=len(relayed.frame))
            return
        self._members.forward_in_zone(relayed)
        self._receive(message)

    def _receive_use(self, message: AdapterUse) -> None:
        controller = self._engine_ownership.controller(message.endpoint)
        if controller is not None:
            key = from_adapter(message.adapter)
            self._members.note_adapter_use(message.sender, message.endpoint, key)
            controller.note_use(key.name)

    def _send_known_state(self, newcomer: str) -> None:
        for endpoint, names in self._views.seen_adapters():
            self._members.send(newcomer, SeenAdapters(endpoint, names))
        self._members.send(newcomer, self._suspects.known_crashes())
        self._members.send(newcomer, self._suspects.known_parts())
        leaving = self._notices.known_leaving()
        if leaving is not None:
            self._members.send(newcomer, leaving)
        for limit in self._limits.known_limits():
            self._members.send(newcomer, limit)
        for update in self._brittle.known():
            self._members.send(newcomer, update)

    def _own_lease_left(self) -> tuple[int, int]:
        """Returns the revision of this instance's lease and for how many milliseconds it holds."""
        now = monotonic()
        lease = self._own_lease.lease
        left = lease.remaining(now) if lease.is_valid(now) else 0.0
        return self._own_lease.revision(), int(left * 1000)

    # Used by the components.

    def _known_engines(self) -> list[tuple[EndpointRecord, EngineSpec]]:
        table = self._catalogue.table
        if table is None:
            return []
        engines = []
        for record in self._endpoints.all():
            service = table.services.get(record.service)
            if service is not None and service.engine is not None:
                engines.append((record, service.engine))
        return engines

    def _controller_context(self) -> ControllerContext:
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
            self._model_load_permits.give_back,
            self._endpoints.since_restart,
            lambda record, notice: self._notices.note(record, notice),
            lambda endpoint: self._cooldowns.remaining(endpoint, monotonic()),
        )

    def _adapters_in_use(self, endpoint: str) -> set[AdapterName]:
        own = {key.name for key in self._traffic.adapters_in_use(endpoint)}
        return self._members.adapters_in_use(endpoint) | own

    def _publish_engine_update(self, update: EngineUpdate) -> None:
        self._views.apply_update(update)
        self._members.send_all(update)

    def _client_limits(self) -> ClientLimits | None:
        table = self._catalogue.table
        return table.limits if table is not None else None

    def _max_body_bytes(self) -> int:
        limits = self._client_limits()
        return limits.body_bytes if limits is not None else DEFAULT_MAX_BODY_BYTES

    def _body_time(self, host: str, path: str, headers: Mapping[str, str]) -> float:
        """Returns the seconds after which a request is refused anyway: its deadline."""
        table = self._catalogue.table
        route = table.find(host, path) if table is not None else None
        if route is None:
            return DEFAULT_BODY_TIME
        return time_limit(self._dialect.read_terms(headers), route)

    def _readiness_page(self) -> tuple[int, bytes]:
        ready = self._catalogue.table is not None and not self._stopping.is_set()
        return (200, b"ready\n") if ready else (503, b"not ready\n")

    def _metrics_page(self) -> tuple[int, bytes]:
        self._metrics.set_paces(self._paces())
        return 200, self._metrics.text()
