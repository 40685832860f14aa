"""Membership of this instance in the deployment: its lease, its heartbeats, its view of the others.

`Membership` owns the `Fleet` aggregate and updates it from the platform's list, leases and owners
and from heartbeats; the other parts read it. There is one lease object per instance, renewed every
third of its term, so the number of writes to the platform grows with the number of instances and
not of engines.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

import msgspec
from wigeonarch_core import listing
from wigeonarch_core.fleet import Fleet
from wigeonarch_core.lease import HeldLease
from wigeonarch_core.listing import Listed, ListUpdate, Presence, Role, SharedList
from wigeonarch_core.messages import EngineSummary, Heartbeat, Moved
from wigeonarch_core.options import Options
from wigeonarch_core.promises import PromisesGiven
from wigeonarch_core.records import LEASES, OWNERS, LeaseRecord, OwnerRecord
from wigeonarch_core.serving_right import LeasePeriod, PlatformReachability
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log
from wigeonarch_runtime.timeouts import wait_for_event

from wigeonarch_entry.following import Follower
from wigeonarch_entry.peers import Peers
from wigeonarch_entry.platform import Found, PlatformClient, Unavailable, Written

# Heartbeats are sent to all peers in the own zone and to this many peers in other zones.
OTHER_ZONE_PEERS: Final = 8
# A heartbeat carries the summaries that have changed; every n-th one carries all of them, as a
# heartbeat may have been lost or a peer may be new.
FULL_SUMMARIES_EVERY: Final = 8
# Seconds between two checks whether this process was paused.
PAUSE_CHECK_INTERVAL: Final = 0.1


class Membership:
    """Renews this instance's lease, sends its heartbeats and follows the other instances.

    Attributes:
        fleet: This instance's view of the deployment.
        lease: This instance's own lease.
        listed: Set once the platform's list has been read.
        on_new_period: Called when the lease is valid again after a gap.
        lease_period: The time for which the platform has held the lease without a break.
        draining: Whether this instance is shutting down.
        promises: Promises given to other owners not to take over from them.
        reaches_platform: Whether the last renewal of the lease was answered.
    """

    __slots__ = (
        "_applied",
        "_heartbeats_sent",
        "_leases",
        "_list",
        "_live_zone_peers",
        "_opts",
        "_owners",
        "_peers",
        "_platform",
        "_renewal_hastened",
        "_sent_summaries",
        "_summaries",
        "draining",
        "fleet",
        "lease",
        "lease_period",
        "listed",
        "on_new_period",
        "promises",
        "reaches_platform",
    )

    def __init__(
        self,
        opts: Options,
        boot: str,
        platform: PlatformClient,
        peers: Peers,
        applied: Callable[[], int],
        summaries: Callable[[], tuple[EngineSummary, ...]],
    ) -> None:
        """Makes the membership.

        Args:
            opts: Settings.
            boot: Nonce of this process.
            platform: Client of the platform.
            peers: Connections to the other instances.
            applied: Returns the number of the last configuration change in force here.
            summaries: Returns the summaries of the owned engines.
        """
        timing = opts.timing
        self._opts = opts
        self._platform = platform
        self._peers = peers
        self._applied = applied
        self._summaries = summaries
        self._heartbeats_sent = 0
        self._list = SharedList()
        self._sent_summaries: tuple[EngineSummary, ...] = ()
        self.reaches_platform = False
        self._live_zone_peers: tuple[str, ...] = ()
        self.promises = PromisesGiven(timing.lease_term)
        self.fleet = Fleet(opts.instance, opts.zone, boot, timing.lease_margin, timing.lease_term)
        self.lease = HeldLease(timing.lease_term, timing.lease_margin)
        self.lease_period = LeasePeriod(timing.lease_term, timing.lease_margin, monotonic())
        self.listed = asyncio.Event()
        self.draining = False
        self.on_new_period: Callable[[], None] = lambda: None
        self._renewal_hastened = asyncio.Event()
        watch_timeout = timing.watch_silence
        self._leases = Follower(
            platform, LEASES, watch_timeout, self._on_lease, self._on_lease_deleted
        )
        self._owners = Follower(platform, OWNERS, watch_timeout, self._on_owner, _on_owner_deleted)

    async def run(self) -> None:
        """Runs all tasks of the membership until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_renewals())
            tasks.create_task(self._run_pause_detection())
            tasks.create_task(self._poll_list())
            tasks.create_task(self._run_heartbeats())
            tasks.create_task(self._leases.run())
            tasks.create_task(self._owners.run())

    @property
    def reachability(self) -> PlatformReachability:
        """Reachability of the platform, as seen from this instance."""
        return self._platform.reachability

    @property
    def initialized(self) -> bool:
        """Whether the platform's list, leases and owners have all been read once."""
        events = (self.listed, self._leases.listed, self._owners.listed)
        return all(event.is_set() for event in events)

    async def renew_lease(self) -> bool:
        """Renews the lease once; this also publishes which configuration change is in force here.

        Returns:
            Whether the renewal was confirmed.
        """
        sent_at = monotonic()
        lease_record = self.lease_record()
        self.lease.record_attempt(sent_at)
        if self.lease.version:
            result = await self._platform.replace(
                LEASES, lease_record.instance, lease_record, self.lease.version
            )
        else:
            result = await self._platform.create(LEASES, lease_record.instance, lease_record)
        if isinstance(result, Written):
            now = monotonic()
            self.lease.record_renewal(sent_at, result.version, now)
            self.record_confirmed_renewal(sent_at, now)
            self.reaches_platform = True
            self._live_zone_peers = tuple(
                name
                for name in self.fleet.live_instances_in_zone(now)
                if name != self.fleet.own_name
            )
            return True
        self.reaches_platform = not isinstance(result, Unavailable)
        await self._read_lease_back()
        return False

    def record_confirmed_renewal(self, sent_at: float, now: float) -> None:
        """Records a renewal that was sent at `sent_at` and that the platform has confirmed."""
        had_lease = self.lease_period.is_valid(now)
        self.lease_period.record_renewal(sent_at, now)
        if not had_lease:
            self.on_new_period()

    def hasten_renewal(self) -> None:
        """Renews the lease soon if it has lapsed."""
        if not self.lease_period.is_valid(monotonic()):
            self._renewal_hastened.set()

    async def announce_leaving(self) -> None:
        """Marks this instance as leaving in the platform's list, which load balancers follow."""
        state = Presence.LEAVING
        own_entry = Listed(
            self._opts.instance, self._opts.http, self._opts.zone, Role.ENTRY, state=state
        )
        await self._platform.register(own_entry)

    async def leave(self) -> None:
        """Deletes the lease and the list entry at the end of a graceful shutdown."""
        self.lease.invalidate()
        await self._platform.delete(LEASES, self._opts.instance, self.lease.version)
        await self._platform.unregister(self._opts.instance)

    def may_own(self, now: float) -> bool:
        """Returns whether this instance may become the owner of engines."""
        return self.initialized and not self.draining and self.lease.is_valid(now)

    def zone_peers(self) -> list[str]:
        """Returns the other instances of the zone.

        These are all whose lease was ever seen, and those only known by a recent heartbeat.
        """
        zone = self._opts.zone
        names = [name for name, peer in self.fleet.peers.items() if peer.record.zone == zone]
        return names + self._unknown_peers()

    def potential_successors(self) -> list[str]:
        """Returns the instances that could take over from this one, whose promises are thus needed.

        These are the instances of the zone whose leases held at this instance's last renewal,
        except those that are shutting down, which take nothing over.
        """
        return [name for name in self._live_zone_peers if not self._is_draining(name)]

    def _is_draining(self, name: str) -> bool:
        peer = self.fleet.peers.get(name)
        return peer is not None and peer.heartbeat is not None and peer.heartbeat.draining

    def handle_moved(self, moved: Moved) -> None:
        """Handles a former owner's message that an engine has a new owner."""
        record = OwnerRecord(moved.engine, moved.owner, moved.boot, moved.previous_fence)
        self.fleet.observe_owner(record, moved.fence)

    async def _read_lease_back(self) -> None:
        """Reads the own lease after a conflict or a lost answer."""
        found = await self._platform.get(LEASES, self._opts.instance)
        if not isinstance(found, Found):
            return
        record = msgspec.convert(found.value, LeaseRecord)
        if record.boot == self.fleet.boot:
            self.lease.record_stored_version(found.version, monotonic())
            return
        # The lease is of an earlier process of this instance; the next renewal replaces it.
        self.fleet.observe_lease(record, found.version, monotonic())
        self.lease.record_replacement(found.version)

    async def _run_pause_detection(self) -> None:
        """Detects pauses of this process, and sets the time at which its view was complete."""
        while True:
            now = monotonic()
            paused = self.lease.record_running(now)
            if paused:
                log("paused", "WARNING", seconds=round(paused, 3))
            if self.initialized and self.fleet.initialized_at is None:
                self.fleet.initialized_at = now
            await asyncio.sleep(PAUSE_CHECK_INTERVAL)

    async def _run_renewals(self) -> None:
        pause = self._opts.timing.lease_term / 3
        while True:
            renewed = await self.renew_lease() and self.lease.is_valid(monotonic())
            # A failed renewal is repeated sooner, with jitter. So is one after which the lease has
            # already lapsed, as the process was paused.
            await asyncio.sleep(pause / 6)
            rest = pause * 5 / 6 if renewed else random.uniform(0, pause / 3)
            await wait_for_event(self._renewal_hastened, rest)

    async def _poll_list(self) -> None:
        timing = self._opts.timing
        own_entry = Listed(self._opts.instance, self._opts.http, self._opts.zone, Role.ENTRY)
        while True:
            asked_at = monotonic()
            entries = await self._platform.list_instances()
            if not isinstance(entries, Unavailable):
                age = monotonic() - asked_at
                self._apply_list(self._list.replace(self._opts.instance, entries, age))
                if self._opts.instance not in self.fleet.entries and not self.draining:
                    await self._platform.register(own_entry)
            reachable = self.fleet.instances_heard_within(timing.peer_timeout, monotonic())
            readers = sum(name in reachable for name in self.zone_peers())
            pause = listing.read_interval(timing.list_interval, readers)
            await asyncio.sleep(pause * random.uniform(0.8, 1.2))

    def _apply_list(self, update: ListUpdate | None) -> None:
        self.fleet.observe_list(self._list.items.values())
        self.listed.set()
        if update is not None:
            for name in self.zone_peers():
                self._peers.send(name, update)

    def handle_list_update(self, update: ListUpdate) -> None:
        """Handles a zone peer's message on changes in the platform's list."""
        if self._list.apply(update):
            self.fleet.observe_list(self._list.items.values())

    async def _run_heartbeats(self) -> None:
        while True:
            self._send_heartbeats()
            await asyncio.sleep(self._opts.timing.heartbeat)

    def _send_heartbeats(self) -> None:
        now = monotonic()
        heartbeat = Heartbeat(
            instance=self._opts.instance,
            zone=self._opts.zone,
            boot=self.fleet.boot,
            applied=self._applied(),
            draining=self.draining,
            platform=self.reaches_platform,
            engines=self._changed_summaries(),
            leased=self.lease_period.is_valid(now),
            reaches=self.reachability.is_reachable(now),
            settled=self.reachability.is_settled(now),
            promised_owners=self.promises.owners(now),
            peer_address=self.lease_record().peer,
            sent=now,
        )
        for name in self._heartbeat_targets():
            peer = self.fleet.peers.get(name)
            echo = peer.heartbeat.sent if peer and peer.heartbeat else 0.0
            self._peers.send(name, msgspec.structs.replace(heartbeat, echo=echo))

    def handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handles a heartbeat; connects to an instance of the zone whose lease was never seen."""
        self.fleet.observe_heartbeat(heartbeat, monotonic())
        if heartbeat.instance in self.fleet.unknown_peers:
            self._peers.connect(heartbeat.instance, heartbeat.peer_address)

    def _unknown_peers(self) -> list[str]:
        oldest = monotonic() - self._opts.timing.lease_term
        return [name for name, heard_at in self.fleet.unknown_peers.items() if heard_at > oldest]

    def _changed_summaries(self) -> tuple[EngineSummary, ...]:
        """Returns the summaries for the next heartbeat: changed ones, and all in every n-th one."""
        summaries = self._summaries()
        full = self._heartbeats_sent % FULL_SUMMARIES_EVERY == 0
        self._heartbeats_sent += 1
        changed = tuple(
            summary for summary in summaries if full or summary not in self._sent_summaries
        )
        self._sent_summaries = summaries
        return changed

    def _heartbeat_targets(self) -> list[str]:
        same_zone: list[str] = []
        other_zones: list[str] = []
        for name, peer in self.fleet.peers.items():
            (same_zone if peer.record.zone == self._opts.zone else other_zones).append(name)
        same_zone += self._unknown_peers()
        return same_zone + random.sample(other_zones, min(OTHER_ZONE_PEERS, len(other_zones)))

    def lease_record(self) -> LeaseRecord:
        """Returns the lease record that a renewal stores."""
        return LeaseRecord(
            instance=self._opts.instance,
            zone=self._opts.zone,
            boot=self.fleet.boot,
            peer=self._opts.peer_public or self._opts.peer,
            rpc=self._opts.rpc,
            term=self._opts.timing.lease_term,
            applied=self._applied(),
            draining=self.draining,
            settled=self.reachability.is_settled(monotonic()),
        )

    def _on_lease(self, _name: str, version: int, value: Any) -> None:
        record = msgspec.convert(value, LeaseRecord)
        self.fleet.observe_lease(record, version, monotonic())
        if record.instance != self._opts.instance:
            self._peers.connect(record.instance, record.peer)

    def _on_lease_deleted(self, name: str) -> None:
        if name == self._opts.instance:
            return
        log("peer_stopped", peer=name)
        self.fleet.observe_lease_deleted(name)
        self._peers.disconnect(name)

    def _on_owner(self, _name: str, version: int, value: Any) -> None:
        self.fleet.observe_owner(msgspec.convert(value, OwnerRecord), version)


def _on_owner_deleted(_name: str) -> None:
    """Does nothing: ownership objects are never deleted, and a stray deletion changes nothing."""
