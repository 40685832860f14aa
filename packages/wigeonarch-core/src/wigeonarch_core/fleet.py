"""What one instance knows of the deployment: instances, endpoints, owners and their loads.

`Fleet` only records observations and answers questions about them. Each observation has a version
or a time by which a later one wins. Observations come from the platform's list, which lags, from
watches on leases and ownerships, and from peers' heartbeats.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from wigeonarch_core.lease import PeerLease
from wigeonarch_core.listing import Listed, Presence, Role
from wigeonarch_core.messages import EngineSummary, Heartbeat
from wigeonarch_core.records import LeaseRecord, OwnerRecord


@dataclass(slots=True)
class Peer:
    """Another entry instance.

    Attributes:
        record: Its lease record.
        lease: Its lease, as seen from here.
        heard_at: Time of its last heartbeat, in seconds; None before the first.
        heartbeat: That heartbeat.
    """

    record: LeaseRecord
    lease: PeerLease
    heard_at: float | None = None
    heartbeat: Heartbeat | None = None


class Ownership(msgspec.Struct, frozen=True):
    """The ownership of an engine, as recorded in the platform.

    Attributes:
        owner: Name of the owning instance; `records.VACANT` if the last owner gave the engine up.
        boot: Nonce made at the start of the owner's process.
        fence: Fencing token of the ownership.
        handed: Fencing token of the ownership that was handed over to this owner; 0 if it claimed
            the engine.
    """

    owner: str
    boot: str
    fence: int
    handed: int = 0


@dataclass(slots=True)
class Endpoint:
    """A model engine or an instance of a plain service.

    Attributes:
        listed: Its item in the platform's list.
        declared_leaving: Whether it has itself said that it is leaving. This holds until it
            restarts, or until the list shows it as leaving and then as live again.
        incarnation: Incarnation in the last report that its owner passed on.
    """

    listed: Listed
    declared_leaving: bool = False
    incarnation: str = ""

    @property
    def leaving(self) -> bool:
        """Whether it must get no new work."""
        return self.declared_leaving or self.listed.state is Presence.LEAVING


@dataclass(slots=True)
class Fleet:
    """The deployment as one instance knows it.

    Attributes:
        own_name: Name of this instance.
        zone: Its availability zone.
        boot: Nonce made at its start.
        margin: Allowance for differences in clock rates, in seconds.
        term: Term assumed for leases of which nothing else is known, in seconds.
        initialized_at: Time at which the list, the leases and the ownerships had all been read
            once; None before.
        peers: The other entry instances, by name.
        endpoints: Model engines and instances of plain services, by name.
        entries: Entry instances in the platform's list, by name.
        owners: Ownership of each engine, by the engine's name.
        summaries: Last summary of each engine from its owner, by the engine's name.
        unknown_peers: Instances of the zone that send heartbeats but whose leases were never seen,
            as when one joins while this instance can't reach the platform. By name, with the time
            of the last heartbeat in seconds.
    """

    own_name: str
    zone: str
    boot: str
    margin: float
    term: float = 6.0
    initialized_at: float | None = None
    peers: dict[str, Peer] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    entries: dict[str, Listed] = field(default_factory=dict)
    owners: dict[str, Ownership] = field(default_factory=dict)
    summaries: dict[str, EngineSummary] = field(default_factory=dict)
    unknown_peers: dict[str, float] = field(default_factory=dict)
    _replaced_leases: dict[tuple[str, str], PeerLease] = field(default_factory=dict)
    _stopped_processes: set[tuple[str, str]] = field(default_factory=set)

    def observe_list(self, items: Iterable[Listed]) -> None:
        """Records the platform's list; endpoints that are missing from it are removed."""
        listed = list(items)
        self.entries = {item.name: item for item in listed if item.role is Role.ENTRY}
        fresh = {item.name: item for item in listed if item.role is not Role.ENTRY}
        for name in self.endpoints.keys() - fresh.keys():
            del self.endpoints[name]
            self.summaries.pop(name, None)
        for name, item in fresh.items():
            self._observe_endpoint(name, item)

    def _observe_endpoint(self, name: str, item: Listed) -> None:
        known = self.endpoints.get(name)
        if known is None or known.listed.address != item.address:
            self.endpoints[name] = Endpoint(item)
            return
        if known.listed.state is Presence.LEAVING and item.state is Presence.LIVE:
            known.declared_leaving = False
        known.listed = item

    def observe_lease(self, record: LeaseRecord, version: int, now: float) -> None:
        """Records a lease record, including one of an earlier process with this instance's name."""
        if record.instance == self.own_name:
            if record.boot != self.boot:
                lease = PeerLease(record.term, self.margin, version, now)
                self._replaced_leases.setdefault((record.instance, record.boot), lease)
            return
        peer = self.peers.get(record.instance)
        if peer is not None and version < peer.lease.version:
            return
        if peer is None or peer.record.boot != record.boot:
            self._observe_new_process(record, version, now)
            return
        if version > peer.lease.version:
            peer.record = record
        peer.lease.observe(version, now)

    def _observe_new_process(self, record: LeaseRecord, version: int, now: float) -> None:
        """Records a new process; the one it replaces may still run under its unlapsed lease."""
        known = self.peers.get(record.instance)
        if known is not None:
            former_lease = PeerLease(known.record.term, self.margin, known.lease.version, now)
            self._replaced_leases[record.instance, known.record.boot] = former_lease
        lease = PeerLease(record.term, self.margin, version, now)
        self.peers[record.instance] = Peer(record, lease)

    def observe_lease_deleted(self, instance: str) -> None:
        """Records that a lease was deleted, which its holder does after it has stopped."""
        peer = self.peers.pop(instance, None)
        if peer is not None:
            self._stopped_processes.add((instance, peer.record.boot))

    def is_vacant(self, ownership: Ownership, now: float) -> bool:
        """Returns whether the recorded owner can no longer act on the ownership.

        An owner whose lease this instance never saw may still be running behind a network cut that
        began earlier. It counts as gone only after a whole term has passed since all leases were
        read.
        """
        process = (ownership.owner, ownership.boot)
        if process in self._stopped_processes:
            return True
        lease = self._lease_of(ownership)
        if lease is not None:
            return lease.has_lapsed(now)
        initialized_at = self.initialized_at
        return initialized_at is not None and now > initialized_at + self.term + self.margin

    def _lease_of(self, ownership: Ownership) -> PeerLease | None:
        peer = self.peers.get(ownership.owner)
        if peer is not None and peer.record.boot == ownership.boot:
            return peer.lease
        return self._replaced_leases.get((ownership.owner, ownership.boot))

    def has_peer_promise(self, owner: str, now: float) -> bool:
        """Returns whether a peer that was heard from lately promised not to take over from `owner`.

        A peer counts if its last heartbeat arrived within the last term.
        """
        return any(
            peer.heartbeat is not None
            and owner in peer.heartbeat.promised_owners
            and peer.heard_at is not None
            and now <= peer.heard_at + self.term
            for peer in self.peers.values()
        )

    def observe_owner(self, record: OwnerRecord, version: int) -> None:
        """Records an ownership; an older version never replaces a newer one."""
        known = self.owners.get(record.engine)
        if known is None or version > known.fence:
            self.owners[record.engine] = Ownership(
                record.owner, record.boot, version, record.handed
            )

    def observe_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Records a heartbeat; its summaries count only if from the newest ownership known."""
        peer = self.peers.get(heartbeat.instance)
        if peer is None and heartbeat.zone == self.zone:
            self.unknown_peers[heartbeat.instance] = now
        if peer is None or peer.record.boot != heartbeat.boot:
            return
        self.unknown_peers.pop(heartbeat.instance, None)
        peer.heard_at = now
        peer.heartbeat = heartbeat
        for summary in heartbeat.engines:
            self.observe_summary(summary)

    def observe_summary(self, summary: EngineSummary) -> None:
        """Records an owner's summary of its engine."""
        known = self.summaries.get(summary.engine)
        if known is None or summary.fence >= known.fence:
            self.summaries[summary.engine] = summary
            self._observe_leaving_state(summary)

    def _observe_leaving_state(self, summary: EngineSummary) -> None:
        """Records whether an engine is leaving; only a restart makes it take new work again.

        The engine's report lags, so a report that says "live" does not cancel an earlier refusal.
        """
        endpoint = self.endpoints.get(summary.engine)
        if endpoint is None:
            return
        if endpoint.incarnation != summary.incarnation:
            endpoint.incarnation = summary.incarnation
            endpoint.declared_leaving = False
        endpoint.declared_leaving = endpoint.declared_leaving or summary.leaving

    def observe_leaving(self, endpoint: str) -> None:
        """Records that an endpoint itself said that it is leaving."""
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.declared_leaving = True

    def live_instances_in_zone(self, now: float) -> list[str]:
        """Returns the instances of this zone that may own engines, including this one, sorted."""
        live = [
            name
            for name, peer in self.peers.items()
            if peer.record.zone == self.zone
            and not peer.record.draining
            and not peer.lease.has_lapsed(now)
        ]
        return sorted([self.own_name, *live])

    def settled_instances_in_zone(self, now: float) -> list[str]:
        """Returns the other instances of this zone that have been live for a whole term, sorted."""
        return sorted(
            name
            for name, peer in self.peers.items()
            if peer.record.zone == self.zone
            and not peer.record.draining
            and peer.lease.is_settled(now)
        )

    def engines_in_zone(self) -> list[str]:
        """Returns the engines of this zone, including leaving ones, sorted."""
        return sorted(
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.listed.role is Role.ENGINE and endpoint.listed.zone == self.zone
        )

    def zones(self) -> list[str]:
        """Returns the availability zones that have instances or endpoints, sorted."""
        listed = [*self.entries.values(), *(end.listed for end in self.endpoints.values())]
        return sorted({self.zone, *(item.zone for item in listed)})

    def instances_heard_within(self, bound: float, now: float) -> list[str]:
        """Returns the instances heard from in the last `bound` seconds and this one, sorted."""
        heard = [
            name
            for name, peer in self.peers.items()
            if peer.heard_at is not None and now - peer.heard_at <= bound
        ]
        return sorted([self.own_name, *heard])

    def endpoints_serving(self, service: str) -> list[Endpoint]:
        """Returns the endpoints of a service that take new work."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.listed.service == service and not endpoint.leaving
        ]
