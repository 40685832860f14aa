"""One entry instance: makes the parts, starts their tasks, and shuts down gracefully."""

from __future__ import annotations

import asyncio
import secrets
from typing import Final

from wigeonarch_core.listing import ListNews
from wigeonarch_core.messages import (
    Accepted,
    Ask,
    ChangeNotice,
    DeclarePins,
    Granted,
    Heartbeat,
    HeldPins,
    LoadBid,
    LoadEnded,
    LoadTurn,
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
from wigeonarch_core.serving_right import Reach
from wigeonarch_runtime.logs import log

from wigeonarch_entry.configuration import Configuration
from wigeonarch_entry.dispatch import Dispatcher
from wigeonarch_entry.engines import Engines
from wigeonarch_entry.grants import Grants
from wigeonarch_entry.httpdoor import HttpDoor
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.keys import Keys
from wigeonarch_entry.membership import Membership
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.owners import Owners
from wigeonarch_entry.peers import Peers
from wigeonarch_entry.platform import Platform
from wigeonarch_entry.refusals import Refusals
from wigeonarch_entry.rpcdoor import RpcDoor
from wigeonarch_entry.rpcparts import Parts
from wigeonarch_entry.services import Services

# Random bytes of the nonce that tells one process of an instance from the next.
BOOT_BYTES: Final = 8
# The platform's watches carry a line a second, so a longer silence means that it is out of reach;
# that must be noticed before the lease ends.
PLATFORM_SILENCE: Final = 2.0


class Node:
    """An entry instance.

    Attributes:
        opts: Its settings.
    """

    __slots__ = (
        "_configuration",
        "_dispatcher",
        "_draining",
        "_engines",
        "_grants",
        "_handlers",
        "_http",
        "_keys",
        "_membership",
        "_owners",
        "_peers",
        "_platform",
        "_rpc",
        "_services",
        "_tasks",
        "opts",
    )

    def __init__(self, opts: Options) -> None:
        """Makes the parts; must run in an event loop."""
        self.opts = opts
        timing = opts.timing
        metrics = Metrics()
        journal = Journal(opts.limits.explained)
        self._draining = asyncio.Event()
        silence = min(PLATFORM_SILENCE, timing.lease_term / 2)
        reach = Reach(silence, timing.peer_timeout + timing.lease_margin)
        self._platform = Platform(
            opts.platform,
            opts.instance,
            opts.zone,
            timing.call_timeout,
            metrics,
            reach,
            opts.source,
        )
        self._engines = Engines(timing.connect_timeout, opts.source)
        self._services = Services(timing.connect_timeout, opts.source)
        self._peers = Peers(opts.peer, self._deliver, metrics, opts.source)
        self._membership = Membership(
            opts,
            secrets.token_hex(BOOT_BYTES),
            self._platform,
            self._peers,
            lambda: self._configuration.catalogue.applied,
            lambda: self._owners.summaries(),
        )
        fleet = self._membership.fleet
        self._configuration = Configuration(
            opts, self._platform, self._membership, self._notify_all, metrics
        )
        self._owners = Owners(
            opts,
            self._platform,
            self._membership,
            self._engines,
            self._send,
            metrics,
            self._checks_fence,
        )
        self._grants = Grants(timing, opts.policy.pin_margin, fleet, self._send)
        keys = Keys(self._platform, opts.instance, timing.key_retention, metrics)
        self._keys = keys
        self._dispatcher = Dispatcher(
            opts, fleet, self._grants, self._engines, self._services, keys, journal, metrics
        )
        catalogue = self._configuration.catalogue
        refusals = Refusals(journal, metrics)
        self._http = HttpDoor(opts, catalogue, self._dispatcher, metrics, refusals, self.refusal)
        parts = Parts(
            opts,
            self._membership,
            self._configuration,
            self._dispatcher,
            self._engines,
            journal,
            keys,
            refusals,
            self.refusal,
            self.drain,
        )
        self._rpc = RpcDoor(parts)
        self._tasks: list[asyncio.Task[None]] = []
        self._handlers = {
            Ask: self._owners.asked,
            Release: self._owners.released,
            HeldPins: self._owners.granting.pins_declared,
            Support: self._owners.supporting.asked,
            Promised: self._owners.supporting.promised,
            Renewed: self._owners.supporting.renewed,
            Offer: self._owners.hand_overs.offered,
            Accepted: self._owners.hand_overs.accepted,
            Moved: self._moved,
            LoadBid: self._owners.turns.bid,
            LoadTurn: self._owners.orders.turn_given,
            LoadEnded: self._owners.turns.load_ended,
            Granted: self._grants.answered,
            Refused: self._grants.answered,
            DeclarePins: self._grants.declare,
            ListNews: self._membership.list_news,
            ChangeNotice: self._configuration.noticed,
        }

    def refusal(self) -> Reason | None:
        """Tells why this instance takes no request now; None when it takes them."""
        if self._membership.draining:
            return Reason.DRAINING
        if not (self._membership.informed and self._owners.begun):
            return Reason.NOT_READY
        return self._configuration.refusal()

    def drain(self) -> None:
        """Begins the graceful shutdown; repeating it changes nothing."""
        if not self._membership.draining:
            log("draining", in_progress=self._dispatcher.in_progress)
        self._membership.draining = True
        self._draining.set()

    async def start(self) -> None:
        """Opens the doors and starts all tasks."""
        works = (
            self._peers.receive(),
            self._membership.run(),
            self._configuration.run(),
            self._owners.run(),
            self._keys.purge(),
        )
        self._tasks = [asyncio.create_task(work) for work in works]
        await self._http.open()
        await self._rpc.open()
        log("listening", http=self.opts.http, rpc=self.opts.rpc, peer=self.opts.peer)

    async def serve(self) -> None:
        """Serves until drained; ends only when no request is in progress.

        Raises:
            BaseExceptionGroup: A task failed, which is a broken invariant.
        """
        drained = asyncio.create_task(self._drained())
        done, _ = await asyncio.wait([drained, *self._tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
        await self.stop()

    async def stop(self) -> None:
        """Closes the doors and ends all tasks."""
        await self._http.close()
        # No request outlives the longest deadline, so neither does a call whose answer is sent.
        await self._rpc.close(self.opts.timing.max_deadline)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._peers.close()
        await self._engines.close()
        await self._services.close()
        await self._platform.close()
        log("stopped")

    async def _drained(self) -> None:
        """Ends once nothing is left that this instance must do; no time cuts that off.

        Not ready comes first (probe and list), then ownerships leave; the door stays open until
        balancers have had time to see it, and until each request in progress has ended.
        """
        await self._draining.wait()
        seen = asyncio.create_task(asyncio.sleep(self.opts.timing.drain_notice))
        await self._membership.announce_leaving()
        await self._awaited("hand_over", asyncio.create_task(self._owners.hand_over()))
        await self._awaited("balancers", seen)
        await self._awaited("requests", asyncio.create_task(self._dispatcher.idle()))
        await self._awaited("keys", asyncio.create_task(self._keys.settled()))
        await self._owners.vacate()
        await self._membership.give_up()

    async def _awaited(self, what: str, task: asyncio.Task[None]) -> None:
        """Waits for a part of the shutdown, saying so now and then."""
        while not task.done():
            await asyncio.wait([task], timeout=self.opts.timing.drain_report)
            if not task.done():
                log("drain_waits", waits_for=what, in_progress=self._dispatcher.in_progress)
        task.result()

    def _send(self, name: str, message: Message) -> None:
        if name == self.opts.instance:
            self._deliver(message)
            return
        self._peers.send(name, message)

    def _moved(self, moved: Moved) -> None:
        self._membership.moved(moved)
        self._owners.moved()
        self._grants.moved(moved)

    def _checks_fence(self, service: str, endpoint: str) -> bool:
        known = self._configuration.catalogue.service(service)
        return known is not None and known.checks_fence(endpoint)

    def _notify_all(self, notice: ChangeNotice) -> None:
        for name in self._membership.fleet.peers:
            self._peers.send(name, notice)

    def _deliver(self, message: Message) -> None:
        if isinstance(message, Heartbeat):
            self._membership.heard(message)
            self._configuration.heard(message)
            return
        handle: object = self._handlers[type(message)]
        handle(message)  # type: ignore[operator]
