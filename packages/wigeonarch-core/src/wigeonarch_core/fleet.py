"""What one instance knows of the deployment: instances, endpoints, owners and their loads.

The aggregate only takes observations, each with the version or the time that lets a later one win,
and answers questions. Observations come from the platform's lagging list, from watches on leases
and owners, and from peers' heartbeats.
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
        heard: Time of its last heartbeat, in seconds; None before the first.
        heartbeat: That heartbeat.
    """

    record: LeaseRecord
    lease: PeerLease
    heard_at: float | None = None
    heartbeat: Heartbeat | None = None


class Ownership(msgspec.Struct, frozen=True):
    """Who owns an engine.

    Attributes:
        owner: Name of the owning instance; `records.VACANT` when the last one gave it up.
        boot: Nonce made at its start.
        fence: Fencing number of the ownership.
        handed: Fencing number of the ownership that was handed over to it; 0 when it claimed.
    """

    owner: str
    boot: str
    fence: int
    handed: int = 0


@dataclass(slots=True)
class Endpoint:
    """A model engine or an instance of a plain service.

    Attributes:
        listed: What the platform's list says.
        left: Whether it has said itself that it is leaving; that holds until it restarts, or until
            the list shows it as leaving and then as live again.
        incarnation: Of the last report that its owner told of.
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
        me: Name of this instance.
        zone: Its availability zone.
        boot: Nonce made at its start.
        margin: Seconds that cover differences in clock rates.
        term: Term of leases of which nothing else is known, in seconds.
        informed_at: Time at which list, leases and owners had all been read once; None before.
        peers: The other entry instances, by name.
        endpoints: Model engines and instances of plain services, by name.
        entries: Entry instances in the platform's list.
        owners: Who owns which engine.
        summaries: What owners say of their engines.
        strangers: Instances of the zone that send heartbeats but whose leases were never seen, as
            when one joins while this instance can't reach the platform; by name, with the time of
            the last heartbeat in seconds.
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
    _replaced: dict[tuple[str, str], PeerLease] = field(default_factory=dict)
    _stopped: set[tuple[str, str]] = field(default_factory=set)

    def observe_list(self, items: Iterable[Listed]) -> None:
        """Takes over the platform's list; endpoints missing from it are gone."""
        listed = list(items)
        self.entries = {item.name: item for item in listed if item.role is Role.ENTRY}
        fresh = {item.name: item for item in listed if item.role is not Role.ENTRY}
        for name in self.endpoints.keys() - fresh.keys():
            del self.endpoints[name]
            self.summaries.pop(name, None)
        for name, item in fresh.items():
            self._saw_endpoint(name, item)

    def _saw_endpoint(self, name: str, item: Listed) -> None:
        known = self.endpoints.get(name)
        if known is None or known.listed.address != item.address:
            self.endpoints[name] = Endpoint(item)
            return
        if known.listed.state is Presence.LEAVING and item.state is Presence.LIVE:
            known.declared_leaving = False
        known.listed = item

    def observe_lease(self, record: LeaseRecord, version: int, now: float) -> None:
        """Notes a lease record; one of an earlier process in this instance's name counts too."""
        if record.instance == self.own_name:
            if record.boot != self.boot:
                seen = PeerLease(record.term, self.margin, version, now)
                self._replaced.setdefault((record.instance, record.boot), seen)
            return
        peer = self.peers.get(record.instance)
        if peer is not None and version < peer.lease.version:
            return
        if peer is None or peer.record.boot != record.boot:
            self._saw_process(record, version, now)
            return
        if version > peer.lease.version:
            peer.record = record
        peer.lease.observe(version, now)

    def _saw_process(self, record: LeaseRecord, version: int, now: float) -> None:
        """Notes a new process; the one that it replaces may still run, with a lease that holds."""
        known = self.peers.get(record.instance)
        if known is not None:
            former = PeerLease(known.record.term, self.margin, known.lease.version, now)
            self._replaced[record.instance, known.record.boot] = former
        seen = PeerLease(record.term, self.margin, version, now)
        self.peers[record.instance] = Peer(record, seen)

    def observe_lease_deleted(self, instance: str) -> None:
        """Notes that a lease was deleted, which its holder does when it has stopped."""
        peer = self.peers.pop(instance, None)
        if peer is not None:
            self._stopped.add((instance, peer.record.boot))

    def is_vacant(self, held: Ownership, now: float) -> bool:
        """Tells whether the owner on record can no longer act on the ownership.

        An owner that this instance never saw may be alive in a cut that began before; it counts as
        gone only when a whole term has passed since this instance saw all leases.
        """
        process = (held.owner, held.boot)
        if process in self._stopped:
            return True
        lease = self._lease_of(held)
        if lease is not None:
            return lease.has_lapsed(now)
        informed = self.initialized_at
        return informed is not None and now > informed + self.term + self.margin

    def _lease_of(self, held: Ownership) -> PeerLease | None:
        peer = self.peers.get(held.owner)
        if peer is not None and peer.record.boot == held.boot:
            return peer.lease
        return self._replaced.get((held.owner, held.boot))

    def has_peer_promise(self, owner: str, now: float) -> bool:
        """Tells whether a peer heard lately has promised `owner` not to take over from it."""
        return any(
            peer.heartbeat is not None
            and owner in peer.heartbeat.promised_owners
            and peer.heard_at is not None
            and now <= peer.heard_at + self.term
            for peer in self.peers.values()
        )

    def observe_owner(self, record: OwnerRecord, version: int) -> None:
        """Notes an ownership; an older version never replaces a newer one."""
        known = self.owners.get(record.engine)
        if known is None or version > known.fence:
            self.owners[record.engine] = Ownership(
                record.owner, record.boot, version, record.handed
            )

    def observe_heartbeat(self, beat: Heartbeat, now: float) -> None:
        """Notes a heartbeat; summaries count only from the newest ownership known."""
        peer = self.peers.get(beat.instance)
        if peer is None and beat.zone == self.zone:
            self.unknown_peers[beat.instance] = now
        if peer is None or peer.record.boot != beat.boot:
            return
        self.unknown_peers.pop(beat.instance, None)
        peer.heard_at = now
        peer.heartbeat = beat
        for summary in beat.engines:
            self.observe_summary(summary)

    def observe_summary(self, summary: EngineSummary) -> None:
        """Notes what an owner says about its engine."""
        known = self.summaries.get(summary.engine)
        if known is None or summary.fence >= known.fence:
            self.summaries[summary.engine] = summary
            self._saw_state(summary)

    def _saw_state(self, summary: EngineSummary) -> None:
        """Notes whether an engine is leaving; only a restart makes it take new work again.

        Its report lags, so that one which says "live" does not undo a refusal.
        """
        endpoint = self.endpoints.get(summary.engine)
        if endpoint is None:
            return
        if endpoint.incarnation != summary.incarnation:
            endpoint.incarnation = summary.incarnation
            endpoint.declared_leaving = False
        endpoint.declared_leaving = endpoint.declared_leaving or summary.leaving

    def observe_leaving(self, endpoint: str) -> None:
        """Notes that an endpoint itself said that it is leaving."""
        known = self.endpoints.get(endpoint)
        if known is not None:
            known.declared_leaving = True

    def live_instances_in_zone(self, now: float) -> list[str]:
        """Returns the instances of the own zone that may own engines, this one included."""
        live = [
            name
            for name, peer in self.peers.items()
            if peer.record.zone == self.zone
            and not peer.record.draining
            and not peer.lease.has_lapsed(now)
        ]
        return sorted([self.own_name, *live])

    def settled_instances_in_zone(self, now: float) -> list[str]:
        """Returns the other instances of the zone that have been live for a whole term."""
        return sorted(
            name
            for name, peer in self.peers.items()
            if peer.record.zone == self.zone
            and not peer.record.draining
            and peer.lease.is_settled(now)
        )

    def engines_in_zone(self) -> list[str]:
        """Returns the engines of the own zone, leaving ones included."""
        return sorted(
            name
            for name, endpoint in self.endpoints.items()
            if endpoint.listed.role is Role.ENGINE and endpoint.listed.zone == self.zone
        )

    def zones(self) -> list[str]:
        """Returns the availability zones that have instances of any kind."""
        listed = [*self.entries.values(), *(end.listed for end in self.endpoints.values())]
        return sorted({self.zone, *(item.zone for item in listed)})

    def instances_heard_within(self, bound: float, now: float) -> list[str]:
        """Returns the instances heard from in the last `bound` seconds, this one included."""
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
