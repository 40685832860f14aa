"""The addresses of the other instances: from seeds, from leases in the store, from what others say.

An instance that starts asks a seed, which tells of its zone at once; leases tell the same some
seconds later, also where no seed lives. An instance that joins while the store is away is known by
its heartbeats. An address of which nothing was heard for long is forgotten.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.directory import (
    IDLE_LIST_INTERVAL,
    LARGE_ZONE,
    LIST_INTERVAL,
    PRESENT_WITHIN,
    Directory,
    Entry,
)
from wigeonarch_gateway.messages import PeerAddresses, PeerQuery
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.peer_socket import PeerSocket, is_address
from wigeonarch_gateway.ports import Listing, ObjectKind, ObjectStore, StoredObject

FIRST_LIST_TIMEOUT: Final = 0.5  # Seconds for which the first look at the leases is waited for.
FREQUENT_LISTS_TIME: Final = (
    2.0  # Seconds after the start in which leases are read five times as often.
)
# Seconds after its start in which an instance hears from a seed, if one lives.
SEED_REPLY_TIME: Final = 0.4
# Seconds after its own start in which an instance finds those that started with it.
COMMON_START_TIME: Final = 2.5
# Seconds without a heartbeat or a changed lease until an address is given up: those of other large
# zones are known by their leases only.
ADDRESS_TIMEOUT: Final = PRESENT_WITHIN


class Discovery:
    """Where the other instances are.

    Attributes:
        directory: What the leases in the store say.
        on_entry: Called with each lease that is new or changed.
        started: Time at which this instance began to look.
    """

    __slots__ = (
        "_address",
        "_first_list_done",
        "_last_heard",
        "_opts",
        "_seeds",
        "_socket",
        "_zones",
        "directory",
        "on_entry",
        "started",
    )

    def __init__(self, opts: Options, socket: PeerSocket) -> None:
        """Knows the seeds only."""
        self._opts = opts
        self._socket = socket
        self._address = f"{opts.ip}:{opts.peer_port}"
        self._last_heard: dict[str, float] = {}  # Addresses, and when something was heard of each.
        self._zones: dict[str, str] = {}  # Availability zones of addresses.
        self._first_list_done = asyncio.Event()
        self._seeds: list[str] = []
        self.directory = Directory()
        self.on_entry: Callable[[Entry], None] = lambda entry: None
        self.started = monotonic()
        self.set_seeds(opts.seeds)

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Takes the hosts of some instances; all use the same port for messages."""
        hosts = [seed.rpartition(":")[0] for seed in seeds]
        addresses = [f"{host}:{self._opts.peer_port}" for host in hosts]
        self._seeds = [address for address in addresses if address != self._address]
        for address in self._seeds:
            self.note_address(address)

    def note_address(self, address: str, zone: str = "") -> None:
        """Notes that something was heard of an instance at an address."""
        if address == self._address:
            return
        if zone:
            self._zones[address] = zone
        if address not in self._last_heard:
            self._socket.connect(address)
        self._last_heard[address] = monotonic()

    def forget_silent(self) -> None:
        """Gives up addresses of which nothing was heard for long."""
        now = monotonic()
        for address, at in list(self._last_heard.items()):
            if now - at >= ADDRESS_TIMEOUT:
                del self._last_heard[address]
                self._zones.pop(address, None)
                self._socket.disconnect(address)

    def addresses(self) -> list[str]:
        """Returns all addresses known."""
        return list(self._last_heard)

    def zone(self, address: str) -> str | None:
        """Returns the availability zone of an address, if it is known."""
        return self._zones.get(address)

    def own_zone_address_count(self) -> int:
        """Returns how many addresses may be of the own zone."""
        own = self._opts.zone
        return sum(self._zones.get(address, own) == own for address in self._last_heard)

    def is_zone_small(self) -> bool:
        """Tells whether the own zone seems small, so that each instance watches for itself.

        Seeds and leases tell of the others; until they had the time to, nobody seems alone.
        """
        known = sum(zone == self._opts.zone for zone in self._zones.values())
        if known >= LARGE_ZONE or self.directory.is_large(self._opts.zone):
            return False
        return monotonic() - self.started >= SEED_REPLY_TIME

    # Seeds.

    def query_seed(self) -> None:
        """Asks who is there, while this instance is young."""
        if self._seeds and monotonic() - self.started < COMMON_START_TIME:
            question = PeerQuery(self._opts.instance, self._address, self._opts.zone)
            self._socket.send(random.choice(self._seeds), question)

    def answer_query(self, query: PeerQuery) -> None:
        """Tells an instance that just started who else is in its zone."""
        if not is_address(query.address):
            return
        self.note_address(query.address, query.zone)
        nearby = [address for address, zone in self._zones.items() if zone == query.zone]
        if query.zone == self._opts.zone:
            nearby.append(self._address)
        others = [address for address in nearby if address != query.address]
        self._socket.send(query.address, PeerAddresses(query.zone, others))

    def take_addresses(self, reply: PeerAddresses) -> None:
        """Takes over the addresses of instances, of which the heartbeats will tell the rest."""
        for address in reply.addresses:
            if is_address(address):
                self.note_address(address, reply.zone)

    # Leases.

    async def poll_leases(self, store: ObjectStore, is_delegate: Callable[[], bool]) -> None:
        """Looks for instances in the store; runs until cancelled.

        Keepers look often, as they must know who could take over from them; the others only where
        else to send what concerns all.
        """
        looked = float("-inf")
        while True:
            if is_delegate() or monotonic() - looked >= IDLE_LIST_INTERVAL:
                looked = monotonic()
                await self._list_leases(store)
            young = monotonic() - self.started < FREQUENT_LISTS_TIME
            await asyncio.sleep(LIST_INTERVAL / 5 if young else LIST_INTERVAL)

    async def _list_leases(self, store: ObjectStore) -> None:
        found = await store.list(ObjectKind.LEASES, stale=True)
        self._first_list_done.set()
        if isinstance(found, Listing):
            self.take_leases(found.objects)
        else:
            self.directory.extend_presence(monotonic())

    def take_leases(self, leases: Iterable[StoredObject]) -> None:
        """Takes over all leases."""
        for entry in self.directory.take_leases(leases, monotonic()):
            self.note_address(entry.address, entry.zone)
            self.on_entry(entry)

    async def own_lease_revision(self) -> int:
        """Returns the revision of this instance's lease by the first look; 0 when it has none."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT):
                await self._first_list_done.wait()
        entry = self.directory.entries.get(self._opts.instance)
        return entry.revision if entry is not None else 0
