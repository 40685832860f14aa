"""The instances of the deployment, as this one hears them, and messages to them.

Heartbeats tell what each has under way. Addresses come from the seeds, from the leases in the store
and from heartbeats, so an instance that joins while the store is away is heard as well.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from wigeonarch_core.engine_places import AdapterKey, AdapterName
from wigeonarch_entry.clock import monotonic
from wigeonarch_entry.logs import log

from wigeonarch_gateway.engineviews import to_adapter
from wigeonarch_gateway.links import Links
from wigeonarch_gateway.messages import Beat, Message, Uses
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.ports import Kinds, Listing, ObjectStore
from wigeonarch_gateway.traffic import Traffic

BEAT_LEAST: Final = 0.2  # Seconds between heartbeats in a small deployment.
BEATS_PER_SECOND: Final = 60.0  # Heartbeats sent in all per second at most, so cost stays bounded.
BEAT_MOST: Final = 1.0
HEARD: Final = 2.5  # Seconds without a heartbeat until an instance is not heard.
LIST_EVERY: Final = 5.0  # Seconds between looks for instances that were never heard.
FORGET_ADDRESS: Final = 30.0  # Seconds without a heartbeat until an address is given up.


@dataclass(slots=True)
class Member:
    """Another instance, as its last heartbeat described it."""

    name: str
    incarnation: str
    address: str
    zone: str
    leaving: bool
    holds: bool
    heard: float
    uses: dict[str, list[AdapterName]]


class Members:
    """The other instances.

    Attributes:
        leaving: Whether this instance is shutting down.
    """

    __slots__ = (
        "_address",
        "_addresses",
        "_held_by",
        "_holds",
        "_incarnation",
        "_links",
        "_members",
        "_metrics",
        "_on_started",
        "_opts",
        "_traffic",
        "leaving",
    )

    def __init__(
        self,
        opts: Options,
        incarnation: str,
        links: Links,
        traffic: Traffic,
        holds: Callable[[], bool],
        held_by: Callable[[str], str],
        on_started: Callable[[str], None],
        metrics: Metrics,
    ) -> None:
        """Makes an empty list.

        Args:
            opts: Options of this process.
            incarnation: Incarnation of this process.
            links: Sockets to the others.
            traffic: What is under way.
            holds: Tells whether the own lease holds.
            held_by: Returns the holder of an endpoint.
            on_started: Called with an instance that just started and should be told what was seen.
            metrics: Counters.
        """
        self._opts = opts
        self._incarnation = incarnation
        self._address = f"{opts.ip}:{opts.peer_port}"
        self._links = links
        self._traffic = traffic
        self._holds = holds
        self._held_by = held_by
        self._on_started = on_started
        self._metrics = metrics
        self._members: dict[str, Member] = {}
        self._addresses: dict[str, float] = {}
        self.leaving = False
        self.seeds(opts.seeds)

    def seeds(self, seeds: Sequence[str]) -> None:
        """Takes the hosts of some instances; all use the same port for messages."""
        for seed in seeds:
            self._know(f"{seed.rpartition(':')[0]}:{self._opts.peer_port}")

    def heard(self) -> list[str]:
        """Returns the instances heard lately, without this one."""
        now = monotonic()
        return [name for name, member in self._members.items() if now - member.heard < HEARD]

    def holding(self) -> set[str]:
        """Returns those of them whose lease holds."""
        return {name for name in self.heard() if self._members[name].holds}

    def candidates(self, zone: str, me: bool) -> list[str]:
        """Returns the instances that may take an endpoint, those of its zone if there are any."""
        found = [self._members[name] for name in self.heard()]
        usable = {m.name: m.zone for m in found if m.holds and not m.leaving}
        if me:
            usable[self._opts.instance] = self._opts.zone
        nearby = [name for name, where in usable.items() if where == zone]
        return nearby or list(usable)

    def count(self) -> int:
        """Returns the number of instances, this one included."""
        return 1 + len(self.heard())

    def uses(self, endpoint: str) -> set[AdapterName]:
        """Returns the adapters that other instances use at an endpoint held here."""
        found: set[AdapterName] = set()
        for name in self.heard():
            found.update(self._members[name].uses.get(endpoint, ()))
        return found

    def add_use(self, sender: str, endpoint: str, key: AdapterKey) -> None:
        """Notes a use that the next heartbeat will confirm."""
        member = self._members.get(sender)
        if member is not None:
            member.uses.setdefault(endpoint, []).append(key.name)

    def send(self, name: str, message: Message) -> bool:
        """Sends a message to an instance; False when it was dropped at once."""
        member = self._members.get(name)
        return member is not None and self._links.send(member.address, message)

    def send_all(self, message: Message) -> None:
        """Sends a message to all instances heard."""
        for name in self.heard():
            self.send(name, message)

    def beat(self, beat: Beat) -> None:
        """Takes over a heartbeat."""
        if beat.sender == self._opts.instance:
            return
        before = self._members.get(beat.sender)
        now = monotonic()
        started = before is None or before.incarnation != beat.incarnation
        if started:
            log("peer_heard", peer=beat.sender, address=beat.address, incarnation=beat.incarnation)
        elif before is not None and now - before.heard >= HEARD:
            log("peer_heard_again", peer=beat.sender, seconds=now - before.heard)
        uses = {
            use.endpoint: [(model, adapter) for model, adapter, _ in use.adapters]
            for use in beat.uses
        }
        self._members[beat.sender] = Member(
            beat.sender,
            beat.incarnation,
            beat.address,
            beat.zone,
            beat.leaving,
            beat.holds,
            now,
            uses,
        )
        self._know(beat.address)
        self._traffic.heard(beat.sender, beat.loads)
        if started and self._first_to_tell(beat.sender):
            self._on_started(beat.sender)

    def _first_to_tell(self, started: str) -> bool:
        """Tells whether this instance is the one that tells a newcomer what was seen before."""
        others = [name for name in self.heard() if name != started]
        return self._opts.instance == min([self._opts.instance, *others])

    async def keep_beating(self) -> None:
        """Sends heartbeats; runs until cancelled."""
        while True:
            self._beat_all()
            self._forget_silent()
            peers = max(1, len(self._addresses))
            await asyncio.sleep(min(BEAT_MOST, max(BEAT_LEAST, peers / BEATS_PER_SECOND)))

    async def keep_finding(self, store: ObjectStore) -> None:
        """Looks for instances in the store; runs until cancelled."""
        while True:
            found = await store.list(Kinds.LEASES, stale=True)
            if isinstance(found, Listing):
                for lease in found.objects:
                    address = lease.spec.get("address")
                    if isinstance(address, str):
                        self._know(address)
            await asyncio.sleep(LIST_EVERY)

    def _know(self, address: str) -> None:
        if address == self._address:
            return
        if address not in self._addresses:
            self._links.connect(address)
        self._addresses[address] = monotonic()

    def _beat_all(self) -> None:
        loads = self._traffic.shares()
        names = {member.address: member.name for member in self._members.values()}
        for address in list(self._addresses):
            beat = Beat(
                self._opts.instance,
                self._incarnation,
                self._address,
                self._opts.zone,
                self.leaving,
                self._holds(),
                loads,
                self._uses_at(names.get(address, ""), [load.endpoint for load in loads]),
            )
            self._links.send(address, beat)
        self._metrics.peers.set(len(self.heard()))

    def _uses_at(self, holder: str, endpoints: list[str]) -> list[Uses]:
        held = [endpoint for endpoint in endpoints if holder and self._held_by(endpoint) == holder]
        return [
            Uses(endpoint, [to_adapter(key) for key in self._traffic.in_use(endpoint)])
            for endpoint in held
        ]

    def _forget_silent(self) -> None:
        now = monotonic()
        for name, member in list(self._members.items()):
            if now - member.heard >= HEARD and self._traffic.forget(name):
                log("peer_silent", "WARNING", peer=name, seconds=now - member.heard)
            if now - member.heard >= FORGET_ADDRESS:
                del self._members[name]
        for address, at in list(self._addresses.items()):
            if now - at >= FORGET_ADDRESS:
                del self._addresses[address]
                self._links.disconnect(address)
