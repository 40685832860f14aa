"""The instances of the deployment, as this one hears them, and messages to them.

Heartbeats tell what each has under way. Where they go is told by `discovery`.
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

from wigeonarch_gateway.discovery import FORGET_ADDRESS, Discovery
from wigeonarch_gateway.duties import Duties
from wigeonarch_gateway.engineviews import to_adapter
from wigeonarch_gateway.links import Links
from wigeonarch_gateway.member import Member, contact_of
from wigeonarch_gateway.messages import (
    Beat,
    LoadShare,
    Message,
    Relay,
    RenewalPlea,
    Uses,
    encode,
)
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.traffic import Traffic

BEAT_LEAST: Final = 0.2  # Seconds between heartbeats in a small deployment.
BEATS_PER_SECOND: Final = 60.0  # Heartbeats sent in all per second at most, so cost stays bounded.
# The same in a large zone, where each also hears as many, and decoding them is work.
LARGE_BEATS_PER_SECOND: Final = 40.0
BEAT_MOST: Final = 1.0
# Peers that are asked to renew a lease; each takes two calls to the store.
RENEWERS: Final = 2
NEWS_LEAST: Final = 0.9  # Seconds between repeated news of an engine in a small deployment.
NEWS_PER_SECOND: Final = 30.0  # Repeated news sent in all per second and engine at most.
NEWS_MOST: Final = 2.5
HEARD: Final = 1.3  # Seconds without a heartbeat until an instance is not heard, at least;
HEARD_BEATS: Final = 3.2  # and so many times the pause between heartbeats.
# Seconds after its start in which an instance makes itself known to all.
KNOWN_AFTER: Final = 4.0


class Members:
    """The other instances.

    Attributes:
        discovery: Where they are.
        duties: What each of them is there for.
    """

    __slots__ = (
        "_address",
        "_contact",
        "_directory",
        "_held_by",
        "_incarnation",
        "_lease",
        "_links",
        "_members",
        "_metrics",
        "_on_lease",
        "_on_silent",
        "_on_started",
        "_opts",
        "_pause",
        "_started",
        "_traffic",
        "discovery",
        "duties",
    )

    def __init__(
        self,
        opts: Options,
        incarnation: str,
        links: Links,
        traffic: Traffic,
        lease: Callable[[], tuple[int, int]],
        on_lease: Callable[[str, int, float], None],
        held_by: Callable[[str], str],
        on_started: Callable[[str], None],
        on_silent: Callable[[str], None],
        metrics: Metrics,
        contact: StoreContact,
    ) -> None:
        """Makes an empty list.

        Args:
            opts: Options of this process.
            incarnation: Incarnation of this process.
            links: Sockets to the others.
            traffic: What is under way.
            lease: Returns the own lease's revision and the milliseconds that it has left.
            on_lease: Called with an instance, its lease's revision and the seconds left.
            held_by: Returns the holder of an endpoint.
            on_started: Called with an instance that just started and should be told what was seen.
            on_silent: Called with an instance that is not heard any more.
            metrics: Counters.
            contact: This instance's contact with the store, which heartbeats tell.
        """
        self._opts = opts
        self._contact = contact
        self._incarnation = incarnation
        self._address = f"{opts.ip}:{opts.peer_port}"
        self._links = links
        self._traffic = traffic
        self._lease = lease
        self._on_lease = on_lease
        self.discovery = Discovery(opts, links)
        self._directory = self.discovery.directory
        self._started = self.discovery.started
        self._held_by = held_by
        self._on_started = on_started
        self._on_silent = on_silent
        self._metrics = metrics
        self._members: dict[str, Member] = {}
        self._pause = BEAT_LEAST
        self.duties = Duties(
            opts.instance,
            opts.zone,
            self._members,
            self.heard,
            self._directory,
            contact,
            self._started,
        )

    def heard(self) -> list[str]:
        """Returns the instances heard lately, without this one."""
        since = monotonic() - self._silence()
        return [name for name, member in self._members.items() if member.heard > since]

    def holding(self) -> set[str]:
        """Returns those of them whose lease holds."""
        return {name for name in self.heard() if self._members[name].holds}

    def send_to_zone(self, zone: str, message: Message) -> bool:
        """Sends a message to any one instance of another zone; False when it was dropped."""
        addresses = self._relays().get(zone) or [
            self._members[name].address for name in self.heard() if self._members[name].zone == zone
        ]
        return bool(addresses) and self._links.send(random.choice(addresses), message)

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

    def send_frame(self, name: str, frame: bytes) -> bool:
        """Sends an encoded message to an instance; False when it was dropped at once."""
        member = self._members.get(name)
        return member is not None and self._links.send_frame(member.address, frame)

    def send_all(self, message: Message) -> None:
        """Sends a message to all instances heard; in large zones far away, by way of a relay."""
        frame = encode(message)
        far = self._relays()
        for name in self.heard():
            member = self._members[name]
            if member.zone not in far:
                self._links.send_frame(member.address, frame)
        if far:
            self._send_relayed(far, frame)

    def relay(self, relayed: Relay) -> None:
        """Hands a message on to the instances of the own zone."""
        for name in self.heard():
            member = self._members[name]
            if member.zone == self._opts.zone:
                self._links.send_frame(member.address, relayed.frame)

    def _send_relayed(self, relays: Mapping[str, Sequence[str]], frame: bytes) -> None:
        wrapped = encode(Relay(frame))
        for addresses in relays.values():
            self._links.send_frame(random.choice(addresses), wrapped)

    def _relays(self) -> dict[str, list[str]]:
        leaving = {name for name, member in self._members.items() if member.leaving}
        return self._directory.relays(self._opts.zone, leaving, monotonic())

    def _is_spoken_for(self, zone: str) -> bool:
        """Tells whether a few speak for the instances of a zone, whose silence then means little.

        All are heard as they start, and those that use an engine held here, for a while.
        """
        return zone != self._opts.zone and self._directory.is_large(zone)

    def plead(self, plea: RenewalPlea) -> None:
        """Asks all for promises, and a few, drawn anew each time, for a renewal."""
        names = self.heard()
        asked = set(random.sample(names, min(RENEWERS, len(names))))
        for name in names:
            self.send(name, RenewalPlea(plea.sender, plea.incarnation, plea.number, name in asked))

    def news_pause(self) -> float:
        """Returns the seconds between repeated news of an engine; many instances hear them less."""
        return min(NEWS_MOST, max(NEWS_LEAST, len(self.discovery.addresses()) / NEWS_PER_SECOND))

    def beat(self, beat: Beat) -> None:
        """Takes over a heartbeat."""
        if beat.sender == self._opts.instance:
            return
        left = beat.lease_left_ms / 1000
        self._on_lease(beat.sender, beat.lease, left)
        before = self._members.get(beat.sender)
        now = monotonic()
        started = before is None or before.incarnation != beat.incarnation
        if not self._is_spoken_for(beat.zone):
            self._note_heard(beat, before, now)
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
            left > 0.0,
            now if started or before is None else before.since,
            now,
            uses,
            contact_of(beat, now),
            now - beat.up_ms / 1000,
        )
        self.discovery.know(beat.address, beat.zone)
        self._traffic.heard(beat.sender, beat.loads)
        if started and self._first_to_tell(beat.sender):
            self._on_started(beat.sender)

    def _note_heard(self, beat: Beat, before: Member | None, now: float) -> None:
        """Logs an instance that is new or was silent."""
        peer = beat.sender
        if before is None or before.incarnation != beat.incarnation:
            log("peer_heard", peer=peer, address=beat.address, incarnation=beat.incarnation)
        elif now - before.heard >= self._silence():
            log("peer_heard_again", peer=peer, seconds=now - before.heard)

    def _first_to_tell(self, started: str) -> bool:
        """Tells whether this instance is the one that tells a newcomer what was seen before."""
        others = [name for name in self.heard() if name != started]
        if self._directory.is_large(self._opts.zone):
            if self._members[started].zone != self._opts.zone:
                return False
            others = [n for n in others if self._members[n].zone == self._opts.zone]
        return self._opts.instance == min([self._opts.instance, *others])

    async def keep_beating(self) -> None:
        """Sends heartbeats; runs until cancelled."""
        while True:
            self._set_pause()
            self.discovery.ask_a_seed()
            self._beat_all()
            self._forget_silent()
            await asyncio.sleep(self.pause())

    def pause(self) -> float:
        """Returns the seconds between heartbeats."""
        return self._pause

    def _set_pause(self) -> None:
        told, most = len(self.discovery.addresses()), BEATS_PER_SECOND
        if self._directory.is_large(self._opts.zone):
            told, most = self.discovery.nearby(), LARGE_BEATS_PER_SECOND
        self._pause = min(BEAT_MOST, max(BEAT_LEAST, told / most))

    def _silence(self) -> float:
        """Returns the seconds without a heartbeat after which an instance is not heard."""
        return max(HEARD, HEARD_BEATS * self.pause())

    def _beat_all(self) -> None:
        loads = self._traffic.shares()
        plain = encode(self._beat(loads, []))
        holders = {self._held_by(load.endpoint) for load in loads}
        names = {member.address: member.name for member in self._members.values()}
        spoken_for = self._spoken_for()
        for address in self.discovery.addresses():
            far = self.discovery.zone(address) in spoken_for
            holder = names.get(address) in holders
            if far and not holder:
                continue
            frame = plain
            if holder:
                uses = self._uses_at(names[address], [load.endpoint for load in loads])
                frame = encode(self._beat([] if far else loads, uses))
            self._links.send_frame(address, frame)
        if spoken_for:
            self._beat_far()
        self._metrics.peers.set(len(self.heard()))

    def _spoken_for(self) -> set[str]:
        """Returns the other zones in which only the keepers of the own zone make it heard.

        An instance that just started makes itself known everywhere.
        """
        if monotonic() - self._started < KNOWN_AFTER or not self._directory.is_large(
            self._opts.zone
        ):
            return set()
        return set(self._relays())

    def _beat_far(self) -> None:
        """Tells the other zones that a keeper lives; the first one adds the zone's loads."""
        keepers = self.duties.keepers()
        if self._opts.instance not in keepers:
            return
        loads: list[LoadShare] = []
        if keepers[0] == self._opts.instance:
            nearby = [n for n in self.heard() if self._members[n].zone == self._opts.zone]
            loads = self._traffic.shares_with(nearby)
        self._send_relayed(self._relays(), encode(self._beat(loads, [])))

    def _beat(self, loads: list[LoadShare], uses: list[Uses]) -> Beat:
        contact, now = self._contact.contact(), monotonic()
        return Beat(
            self._opts.instance,
            self._incarnation,
            self._address,
            self._opts.zone,
            self.duties.leaving,
            *self._lease(),
            loads,
            uses,
            None if contact is None else int((now - contact.since) * 1000),
            0 if contact is None else int((now - contact.until) * 1000),
            int((now - self._started) * 1000),
        )

    def _uses_at(self, holder: str, endpoints: list[str]) -> list[Uses]:
        held = [endpoint for endpoint in endpoints if self._held_by(endpoint) == holder]
        return [
            Uses(endpoint, [to_adapter(key) for key in self._traffic.in_use(endpoint)])
            for endpoint in held
        ]

    def _forget_silent(self) -> None:
        now = monotonic()
        for name, member in list(self._members.items()):
            if now - member.heard >= self._silence() and self._traffic.forget(name):
                if not self._is_spoken_for(member.zone):
                    log("peer_silent", "WARNING", peer=name, seconds=now - member.heard)
                self._on_silent(name)
            if now - member.heard >= FORGET_ADDRESS:
                del self._members[name]
        self.discovery.forget_silent()
