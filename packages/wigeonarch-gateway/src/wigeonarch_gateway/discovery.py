"""Finds the addresses of the other instances.

An instance that starts asks a seed, which replies at once with the addresses of the zone. Leases in
the store show the same some seconds later, even if no seed is alive. An instance that joins while
the store is away becomes known by its heartbeats. An address is forgotten after
`ADDRESS_TIMEOUT` without a heartbeat or a changed lease.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Final

from wigeonarch_core.addresses import is_ipv4_address
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_gateway.directory import (
    IDLE_LIST_INTERVAL,
    LARGE_ZONE,
    LIST_INTERVAL,
    PRESENT_WITHIN,
    Directory,
    Entry,
    ListedLease,
)
from wigeonarch_gateway.messages import PeerAddresses, PeerQuery
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.peer_socket import PeerSocket
from wigeonarch_gateway.ports import Listing, ObjectKind, ObjectStore, StoredObject

FIRST_LIST_TIMEOUT: Final = 0.5  # Seconds to wait for the first list of the leases.
# Seconds after the start within which the leases are listed five times as often.
FREQUENT_LISTS_TIME: Final = 2.0
# Seconds after its start in which an instance gets a seed's reply, if one is alive.
SEED_REPLY_TIME: Final = 0.4
# Seconds after its start in which an instance finds those that started together with it.
COMMON_START_TIME: Final = 2.5
# Seconds without a heartbeat or a changed lease after which an address is forgotten. It equals
# `PRESENT_WITHIN`, because instances of other large zones are known only by their leases.
ADDRESS_TIMEOUT: Final = PRESENT_WITHIN


class Discovery:
    """The addresses and availability zones of the other instances.

    Attributes:
        directory: The instances according to their leases in the store.
        on_entry: Called with each lease that is new or changed.
        started: Time at which this instance started to look for others.
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
        """Creates the discovery; only the seeds are known."""
        self._opts = opts
        self._socket = socket
        self._address = f"{opts.ip}:{opts.peer_port}"
        self._last_heard: dict[str, float] = {}  # Last sign of life by address.
        self._zones: dict[str, str] = {}  # Availability zone by address.
        self._first_list_done = asyncio.Event()
        self._seeds: list[str] = []
        self.directory = Directory()
        self.on_entry: Callable[[Entry], None] = lambda entry: None
        self.started = monotonic()
        self.set_seeds(opts.seeds)

    def set_seeds(self, seeds: Sequence[str]) -> None:
        """Sets the seeds from addresses of some instances.

        Only the hosts are used, because all instances use the same port for messages.
        """
        hosts = [seed.rpartition(":")[0] for seed in seeds]
        addresses = [f"{host}:{self._opts.peer_port}" for host in hosts]
        self._seeds = [address for address in addresses if address != self._address]
        for address in self._seeds:
            self.note_address(address)

    def note_address(self, address: str, zone: str = "") -> None:
        """Notes a sign of life of the instance at an address."""
        if address == self._address:
            return
        if zone:
            self._zones[address] = zone
        if address not in self._last_heard:
            self._socket.connect(address)
        self._last_heard[address] = monotonic()

    def forget_silent(self) -> None:
        """Forgets addresses without a sign of life for `ADDRESS_TIMEOUT`."""
        now = monotonic()
        for address, at in list(self._last_heard.items()):
            if now - at >= ADDRESS_TIMEOUT:
                del self._last_heard[address]
                self._zones.pop(address, None)
                self._socket.disconnect(address)

    def addresses(self) -> list[str]:
        """Returns all known addresses."""
        return list(self._last_heard)

    def zone(self, address: str) -> str | None:
        """Returns the availability zone of an address; None if it is unknown."""
        return self._zones.get(address)

    def own_zone_address_count(self) -> int:
        """Returns how many addresses may belong to this zone; those of unknown zones count."""
        own = self._opts.zone
        return sum(self._zones.get(address, own) == own for address in self._last_heard)

    def is_zone_small(self) -> bool:
        """Tells whether this zone is so small that each instance watches the store itself.

        Returns False until seeds had the time to name the other instances.
        """
        known = sum(zone == self._opts.zone for zone in self._zones.values())
        if known >= LARGE_ZONE or self.directory.is_large(self._opts.zone):
            return False
        return monotonic() - self.started >= SEED_REPLY_TIME

    # Seeds.

    def query_seed(self) -> None:
        """Asks a random seed for addresses while this instance is starting."""
        if self._seeds and monotonic() - self.started < COMMON_START_TIME:
            query = PeerQuery(self._opts.instance, self._address, self._opts.zone)
            self._socket.send(random.choice(self._seeds), query)

    def answer_query(self, query: PeerQuery) -> None:
        """Sends an instance that just started the addresses of the others in its zone."""
        if not is_ipv4_address(query.address):
            return
        self.note_address(query.address, query.zone)
        nearby = [address for address, zone in self._zones.items() if zone == query.zone]
        if query.zone == self._opts.zone:
            nearby.append(self._address)
        others = [address for address in nearby if address != query.address]
        self._socket.send(query.address, PeerAddresses(query.zone, others))

    def take_addresses(self, reply: PeerAddresses) -> None:
        """Notes the addresses in a seed's reply; heartbeats will bring the rest."""
        for address in reply.addresses:
            if is_ipv4_address(address):
                self.note_address(address, reply.zone)

    # Leases.

    async def poll_leases(self, store: ObjectStore, is_delegate: Callable[[], bool]) -> None:
        """Lists the leases in the store periodically; runs until cancelled.

        Delegates do so often, because they must know which instances could take over from them.
        The others only need to know where to send messages for all instances.
        """
        last_list = float("-inf")
        while True:
            if is_delegate() or monotonic() - last_list >= IDLE_LIST_INTERVAL:
                last_list = monotonic()
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
        """Takes over all leases of a list."""
        for entry in self.directory.take_leases(leases, monotonic()):
            self.note_address(entry.address, entry.zone)
            self.on_entry(entry)

    async def own_lease(self) -> ListedLease | None:
        """Returns this instance's lease in the first list; None if it has none."""
        with contextlib.suppress(TimeoutError):
            async with timeout_after(FIRST_LIST_TIMEOUT):
                await self._first_list_done.wait()
        entry = self.directory.entries.get(self._opts.instance)
        return None if entry is None else ListedLease(entry.revision, entry.content)
