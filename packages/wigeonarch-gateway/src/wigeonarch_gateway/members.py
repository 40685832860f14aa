"""Tracks the other instances by their heartbeats, and sends heartbeats and messages to them.

Heartbeats carry each instance's lease and its load at the endpoints. Their addresses come from
`discovery`. To bound the traffic between zones, only the delegates of a large zone send heartbeats
to other zones for it, and messages to a large zone go to one instance that forwards them there.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from typing import Final

from wigeonarch_core.engine_places import AdapterKey, AdapterName
from wigeonarch_core.store_contact import StoreContact
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.discovery import ADDRESS_TIMEOUT, Discovery
from wigeonarch_gateway.engineviews import to_adapter
from wigeonarch_gateway.member import Member, store_contact_of
from wigeonarch_gateway.messages import (
    AdaptersInUse,
    EndpointLoad,
    Heartbeat,
    LeaseSupportRequest,
    Message,
    Relay,
    ServiceDemand,
    encode,
)
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.peer_socket import PeerSocket, split_address
from wigeonarch_gateway.roles import Roles
from wigeonarch_gateway.traffic import InFlightTracker

MIN_HEARTBEAT_INTERVAL: Final = 0.2  # Seconds between heartbeats in a small deployment.
# Heartbeats that an instance sends per second at most, over all receivers, to bound the cost.
MAX_HEARTBEATS_PER_SECOND: Final = 60.0
# The same in a large zone, where each instance also receives and decodes as many.
LARGE_ZONE_MAX_HEARTBEATS_PER_SECOND: Final = 40.0
MAX_HEARTBEAT_INTERVAL: Final = 1.0  # Seconds.
# Number of peers that are asked to renew a lease; each makes two calls to the store for it.
RENEWING_PEERS: Final = 2
# Seconds between repeated updates of an engine in a small deployment.
MIN_UPDATE_INTERVAL: Final = 0.9
# Repeated updates of one engine that are sent per second at most, over all receivers.
MAX_UPDATES_PER_SECOND: Final = 30.0
MAX_UPDATE_INTERVAL: Final = 2.5  # Seconds.
# An instance is unreachable after this many seconds without a heartbeat, and at least this many
# heartbeat intervals.
MIN_SILENCE_LIMIT: Final = 1.3
SILENCE_LIMIT_INTERVALS: Final = 3.2
NEVER: Final = float("-inf")  # Before all times.
# Seconds after its start in which an instance sends heartbeats to all others.
ANNOUNCEMENT_TIME: Final = 4.0


class Members:
    """The other instances of the deployment.

    Attributes:
        discovery: Their addresses.
        roles: The role of each instance.
    """

    __slots__ = (
        "_address",
        "_directory",
        "_heartbeat_interval",
        "_incarnation",
        "_lost_services",
        "_members",
        "_metrics",
        "_on_lease_reported",
        "_on_silent",
        "_on_started",
        "_opts",
        "_own_lease",
        "_owner_of",
        "_socket",
        "_started",
        "_store_contact",
        "_traffic",
        "discovery",
        "roles",
    )

    def __init__(
        self,
        opts: Options,
        incarnation: str,
        socket: PeerSocket,
        traffic: InFlightTracker,
        own_lease: Callable[[], tuple[int, int]],
        on_lease_reported: Callable[[str, int, float], None],
        owner_of: Callable[[str], str],
        on_started: Callable[[str], None],
        on_silent: Callable[[str], None],
        metrics: Metrics,
        store_contact: StoreContact,
        lost_services: Callable[[], list[str]] = list,
    ) -> None:
        """Creates the members; no other instance is known yet.

        Args:
            opts: Options of this process.
            incarnation: Incarnation of this process.
            socket: Socket for messages to the other instances.
            traffic: Requests in progress at endpoints.
            own_lease: Returns the revision of this instance's lease and the milliseconds left.
            on_lease_reported: Called with the name of an instance, the revision of its lease and
                the seconds left.
            owner_of: Returns the owner of an endpoint.
            on_started: Called with an instance that just started, if this one is to send it what
                was observed before its start.
            on_silent: Called with an instance that is no longer reachable.
            metrics: Counters.
            store_contact: This instance's contact with the store, which heartbeats report.
            lost_services: Returns the services of which this instance reaches no endpoint.
        """
        self._opts = opts
        self._store_contact = store_contact
        self._lost_services = lost_services
        self._incarnation = incarnation
        self._address = f"{opts.ip}:{opts.peer_port}"
        self._socket = socket
        self._traffic = traffic
        self._own_lease = own_lease
        self._on_lease_reported = on_lease_reported
        self.discovery = Discovery(opts, socket)
        self._directory = self.discovery.directory
        self._started = self.discovery.started
        self._owner_of = owner_of
        self._on_started = on_started
        self._on_silent = on_silent
        self._metrics = metrics
        self._members: dict[str, Member] = {}
        self._heartbeat_interval = MIN_HEARTBEAT_INTERVAL
        self.roles = Roles(
            opts.instance,
            opts.zone,
            self._members,
            self.reachable,
            self._directory,
            store_contact,
            self._started,
        )

    def reachable(self) -> list[str]:
        """Returns the other instances whose heartbeats arrived lately."""
        since = monotonic() - self._silence_limit()
        return [name for name, member in self._members.items() if member.last_heartbeat > since]

    def has_address(self, ip: str) -> bool:
        """Tells whether a known instance has an IP address."""
        return any(split_address(address)[0] == ip for address in self.discovery.addresses())

    def with_lease(self) -> set[str]:
        """Returns the reachable instances whose lease is in force."""
        return {name for name in self.reachable() if self._members[name].has_lease}

    def reaching(self, service: str) -> list[Member]:
        """Returns the reachable instances that go on running and reach a service's endpoints."""
        members = [self._members[name] for name in self.reachable()]
        return [m for m in members if not m.leaving and service not in m.lost_services]

    def send_to_zone(self, zone: str, message: Message) -> bool:
        """Sends a message to a random instance of another zone; returns False if it was dropped."""
        addresses = self._relays().get(zone) or [
            self._members[name].address
            for name in self.reachable()
            if self._members[name].zone == zone
        ]
        return bool(addresses) and self._socket.send(random.choice(addresses), message)

    def adapters_in_use(self, endpoint: str) -> set[AdapterName]:
        """Returns the adapters that other instances use at an endpoint owned here."""
        since = monotonic() - self._silence_limit()
        found: set[AdapterName] = set()
        for member in self._members.values():
            if member.uses_told_at > since:
                found |= member.adapters_in_use.get(endpoint, set())
        return found

    def note_adapter_use(self, sender: str, endpoint: str, key: AdapterKey) -> None:
        """Notes an adapter's use, which the sender's next heartbeat will include."""
        member = self._members.get(sender)
        if member is not None:
            member.adapters_in_use.setdefault(endpoint, set()).add(key.name)
            member.uses_told_at = monotonic()

    def send(self, name: str, message: Message) -> bool:
        """Sends a message to an instance; returns False if it was dropped at once."""
        member = self._members.get(name)
        return member is not None and self._socket.send(member.address, message)

    def send_frame(self, name: str, frame: bytes) -> bool:
        """Sends an encoded message to an instance; returns False if it was dropped at once."""
        member = self._members.get(name)
        return member is not None and self._socket.send_frame(member.address, frame)

    def send_all(self, message: Message) -> None:
        """Sends a message to all reachable instances; to other large zones by way of a relay."""
        frame = encode(message)
        far = self._relays()
        for name in self.reachable():
            member = self._members[name]
            if member.zone not in far:
                self._socket.send_frame(member.address, frame)
        if far:
            self._send_relayed(far, frame)

    def forward_in_zone(self, relayed: Relay) -> None:
        """Forwards a relayed message to the instances of this zone."""
        for name in self.reachable():
            member = self._members[name]
            if member.zone == self._opts.zone:
                self._socket.send_frame(member.address, relayed.frame)

    def _send_relayed(self, relays: Mapping[str, Sequence[str]], frame: bytes) -> None:
        wrapped = encode(Relay(frame))
        for addresses in relays.values():
            self._socket.send_frame(random.choice(addresses), wrapped)

    def _relays(self) -> dict[str, list[str]]:
        """Returns the addresses of possible relays in each other large zone."""
        leaving = {name for name, member in self._members.items() if member.leaving}
        return self._directory.relay_addresses(self._opts.zone, leaving, monotonic())

    def _is_represented(self, zone: str) -> bool:
        """Tells whether only the delegates of another zone send heartbeats here.

        The silence of its other instances then means little: they send heartbeats only while they
        start, and while they use an engine that is owned here.
        """
        return zone != self._opts.zone and self._directory.is_large(zone)

    def request_lease_support(self, request: LeaseSupportRequest) -> None:
        """Asks all peers for a lease support promise, and a few random ones for a renewal."""
        names = self.reachable()
        asked = set(random.sample(names, min(RENEWING_PEERS, len(names))))
        for name in names:
            self.send(
                name,
                LeaseSupportRequest(
                    request.sender, request.incarnation, request.number, name in asked
                ),
            )

    def engine_update_interval(self) -> float:
        """Returns the seconds between repeated updates of an engine; more with more instances."""
        return min(
            MAX_UPDATE_INTERVAL,
            max(MIN_UPDATE_INTERVAL, len(self.discovery.addresses()) / MAX_UPDATES_PER_SECOND),
        )

    def receive_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Applies a heartbeat."""
        if heartbeat.sender == self._opts.instance:
            return
        left = heartbeat.lease_left_ms / 1000
        self._on_lease_reported(heartbeat.sender, heartbeat.lease_revision, left)
        before = self._members.get(heartbeat.sender)
        now = monotonic()
        started = before is None or before.incarnation != heartbeat.incarnation
        if not self._is_represented(heartbeat.zone):
            self._log_peer(heartbeat, before, now)
        self._members[heartbeat.sender] = Member(
            heartbeat.sender,
            heartbeat.incarnation,
            heartbeat.address,
            heartbeat.zone,
            heartbeat.leaving,
            left > 0.0,
            now if started or before is None else before.first_heartbeat,
            now,
            {},
            NEVER,
            NEVER,
            store_contact_of(heartbeat, now),
            now - heartbeat.uptime_ms / 1000,
            frozenset(heartbeat.lost_services),
        )
        self._take_uses(heartbeat, before, now)
        self.discovery.note_address(heartbeat.address, heartbeat.zone)
        is_near = heartbeat.zone == self._opts.zone
        member = self._members[heartbeat.sender]
        if before is not None and not heartbeat.states_loads:
            member.loads_told_at = before.loads_told_at
        if heartbeat.states_loads:
            member.loads_told_at = now
            self._traffic.receive_loads(heartbeat.sender, heartbeat.loads, is_near)
            self._traffic.demands.receive(heartbeat.sender, heartbeat.demands)
        if started and self._informs_newcomer(heartbeat.sender):
            self._on_started(heartbeat.sender)

    def _take_uses(self, heartbeat: Heartbeat, before: Member | None, now: float) -> None:
        """Notes the adapters that a heartbeat's sender uses; keeps them if it states none."""
        member = self._members[heartbeat.sender]
        if heartbeat.states_uses:
            member.uses_told_at = now
            member.adapters_in_use = {
                use.endpoint: {(model, adapter) for model, adapter, _ in use.adapters}
                for use in heartbeat.adapters_in_use
            }
        elif before is not None and before.incarnation == heartbeat.incarnation:
            member.uses_told_at = before.uses_told_at
            member.adapters_in_use = before.adapters_in_use

    def _log_peer(self, heartbeat: Heartbeat, before: Member | None, now: float) -> None:
        """Logs the heartbeat of an instance that just started or was unreachable."""
        peer = heartbeat.sender
        if before is None or before.incarnation != heartbeat.incarnation:
            log(
                "peer_heard",
                peer=peer,
                address=heartbeat.address,
                incarnation=heartbeat.incarnation,
            )
        elif now - before.last_heartbeat >= self._silence_limit():
            log("peer_heard_again", peer=peer, seconds=now - before.last_heartbeat)

    def _informs_newcomer(self, newcomer: str) -> bool:
        """Tells whether this instance is the one that sends a newcomer what was observed before."""
        others = [name for name in self.reachable() if name != newcomer]
        if self._directory.is_large(self._opts.zone):
            if self._members[newcomer].zone != self._opts.zone:
                return False
            others = [n for n in others if self._members[n].zone == self._opts.zone]
        return self._opts.instance == min([self._opts.instance, *others])

    async def send_heartbeats(self) -> None:
        """Sends heartbeats; runs until cancelled."""
        while True:
            self._set_heartbeat_interval()
            self.discovery.query_seed()
            self._send_heartbeat_round()
            self._forget_silent()
            await asyncio.sleep(self.heartbeat_interval())

    def heartbeat_interval(self) -> float:
        """Returns the seconds between heartbeats."""
        return self._heartbeat_interval

    def _set_heartbeat_interval(self) -> None:
        receivers, most = len(self.discovery.addresses()), MAX_HEARTBEATS_PER_SECOND
        if self._directory.is_large(self._opts.zone):
            receivers, most = (
                self.discovery.own_zone_address_count(),
                LARGE_ZONE_MAX_HEARTBEATS_PER_SECOND,
            )
        self._heartbeat_interval = min(
            MAX_HEARTBEAT_INTERVAL, max(MIN_HEARTBEAT_INTERVAL, receivers / most)
        )

    def _silence_limit(self) -> float:
        """Returns the seconds without a heartbeat after which an instance is unreachable."""
        return max(MIN_SILENCE_LIMIT, SILENCE_LIMIT_INTERVALS * self.heartbeat_interval())

    def _send_heartbeat_round(self) -> None:
        """Sends one heartbeat to each instance that should get one from this instance."""
        addresses = self.discovery.addresses()
        represented = self._represented_zones()
        receivers = sum(self.discovery.zone(address) not in represented for address in addresses)
        loads = self._traffic.own_load_report(receivers)
        demands = self._traffic.demands.own_report(monotonic())
        plain = encode(self._make_heartbeat(loads, demands, []))
        used = [load.endpoint for load in loads if load.running]
        owners = {self._owner_of(endpoint) for endpoint in used}
        names = {member.address: member.name for member in self._members.values()}
        for address in addresses:
            far = self.discovery.zone(address) in represented
            is_owner = names.get(address) in owners
            if far and not is_owner:
                continue
            frame = plain
            if is_owner:
                in_use = self._adapters_in_use_at(names[address], used)
                near_loads, near_demands = ([], []) if far else (loads, demands)
                heartbeat = self._make_heartbeat(near_loads, near_demands, in_use)
                heartbeat.states_loads = not far
                frame = encode(heartbeat)
            self._socket.send_frame(address, frame)
        if represented:
            self._send_heartbeat_to_zones()
        self._metrics.peers.set(len(self.reachable()))

    def _represented_zones(self) -> set[str]:
        """Returns the other zones to which only this zone's delegates send heartbeats.

        An instance that just started sends heartbeats everywhere, so there are none for it.
        """
        if monotonic() - self._started < ANNOUNCEMENT_TIME or not self._directory.is_large(
            self._opts.zone
        ):
            return set()
        return set(self._relays())

    def _send_heartbeat_to_zones(self) -> None:
        """Sends a delegate's heartbeat to the other zones; the first one adds the zone's loads."""
        delegates = self.roles.delegates()
        if self._opts.instance not in delegates:
            return
        loads: list[EndpointLoad] = []
        demands: list[ServiceDemand] = []
        if delegates[0] == self._opts.instance:
            nearby = [n for n in self.reachable() if self._members[n].zone == self._opts.zone]
            loads = self._traffic.combined_load_report(nearby)
            demands = self._traffic.demands.combined_report(nearby, monotonic())
        heartbeat = self._make_heartbeat(loads, demands, [])
        heartbeat.states_uses = False
        self._send_relayed(self._relays(), encode(heartbeat))

    def _make_heartbeat(
        self,
        loads: list[EndpointLoad],
        demands: list[ServiceDemand],
        in_use: list[AdaptersInUse],
    ) -> Heartbeat:
        contact, now = self._store_contact.contact(), monotonic()
        return Heartbeat(
            self._opts.instance,
            self._incarnation,
            self._address,
            self._opts.zone,
            self.roles.leaving,
            *self._own_lease(),
            loads,
            in_use,
            None if contact is None else int((now - contact.since) * 1000),
            0 if contact is None else int((now - contact.until) * 1000),
            int((now - self._started) * 1000),
            self._lost_services(),
            demands=demands,
        )

    def _adapters_in_use_at(self, owner: str, endpoints: list[str]) -> list[AdaptersInUse]:
        owned = [endpoint for endpoint in endpoints if self._owner_of(endpoint) == owner]
        return [
            AdaptersInUse(
                endpoint, [to_adapter(key) for key in self._traffic.adapters_in_use(endpoint)]
            )
            for endpoint in owned
        ]

    def _forget_silent(self) -> None:
        """Drops the loads of unreachable instances, and forgets those silent for long."""
        now = monotonic()
        for name, member in list(self._members.items()):
            if now - member.loads_told_at >= self._silence_limit():
                self._drop_loads(member, now)
            if now - member.last_heartbeat >= ADDRESS_TIMEOUT:
                del self._members[name]
        self.discovery.forget_silent()

    def _drop_loads(self, member: Member, now: float) -> None:
        """Drops the loads of an instance that no longer tells of them."""
        had_loads = self._traffic.forget_instance(member.name)
        silent = now - member.last_heartbeat
        if not had_loads or silent < self._silence_limit():
            return
        if not self._is_represented(member.zone):
            log("peer_silent", "WARNING", peer=member.name, seconds=silent)
        self._on_silent(member.name)
