"""One entry instance: creates its components, runs their tasks, and shuts down gracefully."""

from __future__ import annotations

import asyncio
import secrets
from typing import Final

from wigeonarch_core.listing import ListUpdate
from wigeonarch_core.messages import (
    Accepted,
    ChangeNotice,
    DeclarePins,
    Granted,
    GrantRequest,
    Heartbeat,
    HeldPins,
    LoadBid,
    LoadEnded,
    LoadPermit,
    Message,
    Moved,
    Offer,
    Promised,
    Refused,
    Release,
    Renewed,
    Support,
)
from wigeonarch_core.options import Options
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.serving_right import PlatformReachability
from wigeonarch_runtime.caller_memory import CallerMemory
from wigeonarch_runtime.logs import log

from wigeonarch_entry.admission_gate import AdmissionGate
from wigeonarch_entry.configuration import Configuration
from wigeonarch_entry.dispatch import Dispatcher
from wigeonarch_entry.engines import EngineClient
from wigeonarch_entry.grantrequester import GrantRequester
from wigeonarch_entry.httpserver import HttpServer
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.keys import IdempotencyKeys
from wigeonarch_entry.membership import Membership
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.owners import OwnerDuties
from wigeonarch_entry.peers import Peers
from wigeonarch_entry.platform import PlatformClient
from wigeonarch_entry.refusals import Refusals
from wigeonarch_entry.rpccommon import Dependencies
from wigeonarch_entry.rpcserver import RpcServer
from wigeonarch_entry.services import ServiceClient

# Random bytes of the nonce that distinguishes one process of an instance from the next.
BOOT_NONCE_BYTES: Final = 8
# Seconds. A watch of the platform carries a line every second, so a longer silence means that the
# platform is unreachable; that must be detected before the lease ends.
MAX_PLATFORM_SILENCE: Final = 2.0


class Node:
    """An entry instance.

    Attributes:
        opts: Its settings.
    """

    __slots__ = (
        "_configuration",
        "_dispatcher",
        "_drain_requested",
        "_engine_client",
        "_gate",
        "_grant_requester",
        "_handlers",
        "_http_server",
        "_keys",
        "_membership",
        "_owner_duties",
        "_peers",
        "_platform",
        "_rpc_server",
        "_service_client",
        "_tasks",
        "opts",
    )

    def __init__(self, opts: Options) -> None:
        """Creates the components; must run in an event loop."""
        self.opts = opts
        timing = opts.timing
        metrics = Metrics()
        journal = Journal(opts.limits.explained)
        self._drain_requested = asyncio.Event()
        silence = min(MAX_PLATFORM_SILENCE, timing.lease_term / 2)
        reach = PlatformReachability(silence, timing.peer_timeout + timing.lease_margin)
        self._platform = PlatformClient(
            opts.platform,
            opts.instance,
            opts.zone,
            timing.call_timeout,
            metrics,
            reach,
            opts.source,
        )
        self._engine_client = EngineClient(timing.connect_timeout, opts.source)
        self._service_client = ServiceClient(timing.connect_timeout, opts.source)
        self._peers = Peers(opts.peer, self._deliver, metrics, opts.source)
        self._membership = Membership(
            opts,
            secrets.token_hex(BOOT_NONCE_BYTES),
            self._platform,
            self._peers,
            lambda: self._configuration.catalogue.applied,
            lambda: self._owner_duties.summaries(),
        )
        fleet = self._membership.fleet
        self._configuration = Configuration(
            opts, self._platform, self._membership, self._broadcast_change, metrics
        )
        self._membership.on_new_period = self._configuration.hasten_read
        self._gate = AdmissionGate(self.refusal_reason, self._regain_right, opts.timing.lease_term)
        self._owner_duties = OwnerDuties(
            opts,
            self._platform,
            self._membership,
            self._engine_client,
            self._send,
            metrics,
            self._checks_fence,
        )
        self._grant_requester = GrantRequester(timing, opts.policy.pin_margin, fleet, self._send)
        keys = IdempotencyKeys(self._platform, opts.instance, timing.key_retention, metrics)
        self._keys = keys
        self._dispatcher = Dispatcher(
            opts,
            fleet,
            self._grant_requester,
            self._engine_client,
            self._service_client,
            keys,
            journal,
            metrics,
            self._platform.reachability.is_reachable,
        )
        catalogue = self._configuration.catalogue
        refusals = Refusals(journal, metrics)
        caller_memory = CallerMemory(lambda: opts.limits.caller_bytes)
        self._http_server = HttpServer(
            opts, catalogue, self._dispatcher, metrics, refusals, self._gate, caller_memory
        )
        deps = Dependencies(
            opts,
            self._membership,
            self._configuration,
            self._dispatcher,
            self._engine_client,
            journal,
            keys,
            refusals,
            self._gate,
            self.drain,
        )
        self._rpc_server = RpcServer(
            deps,
            caller_memory,
            lambda reason: metrics.callers_ended.labels(reason.value).inc(),
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._handlers = {
            GrantRequest: self._owner_duties.handle_grant_request,
            Release: self._owner_duties.handle_release,
            HeldPins: self._owner_duties.grant_issuer.handle_held_pins,
            Support: self._owner_duties.lease_support.handle_support,
            Promised: self._owner_duties.lease_support.handle_promised,
            Renewed: self._owner_duties.lease_support.handle_renewed,
            Offer: self._owner_duties.hand_overs.handle_offer,
            Accepted: self._owner_duties.hand_overs.handle_accepted,
            Moved: self._handle_moved,
            LoadBid: self._owner_duties.load_permits.handle_bid,
            LoadPermit: self._owner_duties.orders.handle_load_permit,
            LoadEnded: self._owner_duties.load_permits.handle_load_ended,
            Granted: self._grant_requester.handle_answer,
            Refused: self._grant_requester.handle_answer,
            DeclarePins: self._grant_requester.handle_declare_pins,
            ListUpdate: self._membership.handle_list_update,
            ChangeNotice: self._configuration.handle_change_notice,
        }

    def refusal_reason(self) -> Reason | None:
        """Returns why this instance accepts no request now; None when it accepts requests."""
        if self._membership.draining:
            return Reason.DRAINING
        if not (self._membership.initialized and self._owner_duties.first_pass_done):
            return Reason.NOT_READY
        return self._configuration.refusal_reason()

    def _regain_right(self) -> None:
        """Does at once what the right to serve may be missing for."""
        self._configuration.hasten_read()
        self._membership.hasten_renewal()

    def drain(self) -> None:
        """Starts the graceful shutdown; further calls have no effect."""
        if not self._membership.draining:
            log("draining", in_progress=self._dispatcher.in_progress)
        self._membership.draining = True
        self._drain_requested.set()

    async def start(self) -> None:
        """Starts all tasks and both servers."""
        coroutines = (
            self._peers.receive(),
            self._membership.run(),
            self._configuration.run(),
            self._gate.run(),
            self._owner_duties.run(),
            self._keys.purge(),
        )
        self._tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
        await self._http_server.start()
        await self._rpc_server.start()
        log("listening", http=self.opts.http, rpc=self.opts.rpc, peer=self.opts.peer)

    async def serve(self) -> None:
        """Serves until the instance has drained, so that no request is in progress, and stops.

        Raises:
            BaseExceptionGroup: A task failed, which means that an invariant was broken.
        """
        drained = asyncio.create_task(self._run_drain())
        done, _ = await asyncio.wait([drained, *self._tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
        await self.stop()

    async def stop(self) -> None:
        """Stops both servers, ends all tasks and closes all connections."""
        await self._http_server.stop()
        # No request outlives the longest deadline, so no call whose response is being sent does.
        await self._rpc_server.stop(self.opts.timing.max_deadline)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._peers.close()
        await self._engine_client.close()
        await self._service_client.close()
        await self._platform.close()
        log("stopped")

    async def _run_drain(self) -> None:
        """Waits until a drain is requested, then drains; returns once no work is left.

        First the instance shows itself as not ready, to probes and in the platform's list; then it
        hands its engines over. The servers keep listening until load balancers have had time to
        notice and every request in progress has ended. No timeout cuts this short.
        """
        await self._drain_requested.wait()
        notice = asyncio.create_task(asyncio.sleep(self.opts.timing.drain_notice))
        await self._membership.announce_leaving()
        await self._await_drain_step(
            "hand_over", asyncio.create_task(self._owner_duties.hand_over())
        )
        await self._await_drain_step("balancers", notice)
        await self._await_drain_step("requests", asyncio.create_task(self._dispatcher.wait_idle()))
        await self._await_drain_step("keys", asyncio.create_task(self._keys.wait_completed()))
        await self._owner_duties.vacate()
        await self._membership.leave()

    async def _await_drain_step(self, step: str, task: asyncio.Task[None]) -> None:
        """Waits for one step of the shutdown, logging at intervals which step it waits for."""
        while not task.done():
            await asyncio.wait([task], timeout=self.opts.timing.drain_report)
            if not task.done():
                log("drain_waits", waits_for=step, in_progress=self._dispatcher.in_progress)
        task.result()

    def _send(self, name: str, message: Message) -> None:
        if name == self.opts.instance:
            self._deliver(message)
            return
        self._peers.send(name, message)

    def _handle_moved(self, moved: Moved) -> None:
        self._membership.handle_moved(moved)
        self._owner_duties.adopt_handed_over()
        self._grant_requester.handle_moved(moved)

    def _checks_fence(self, service: str, endpoint: str) -> bool:
        known = self._configuration.catalogue.service(service)
        return known is not None and known.checks_fence(endpoint)

    def _broadcast_change(self, notice: ChangeNotice) -> None:
        for name in self._membership.fleet.peers:
            self._peers.send(name, notice)

    def _deliver(self, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self._membership.handle_heartbeat(message)
            self._configuration.handle_heartbeat(message)
            return
        handle: object = self._handlers[type(message)]
        handle(message)  # type: ignore[operator]
