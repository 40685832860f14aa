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
    LARGE_ZONE,
    LIST_EVERY,
    LIST_RARELY,
    PRESENT,
    Directory,
    Entry,
)
from wigeonarch_gateway.links import Links, is_address
from wigeonarch_gateway.messages import Introduction, WhoIsThere
from wigeonarch_gateway.options import Options
from wigeonarch_gateway.ports import Kinds, Listing, ObjectStore, StoredObject

FIRST_LOOK: Final = 0.5  # Seconds for which the first look at the leases is waited for.
LIST_YOUNG: Final = 2.0  # Seconds after the start in which leases are read five times as often.
# Seconds after its start in which an instance hears from a seed, if one lives.
INTRODUCED: Final = 0.4
# Seconds after its own start in which an instance finds those that started with it.
START_TOGETHER: Final = 2.5
# Seconds without a heartbeat or a changed lease until an address is given up: those of other large
# zones are known by their leases only.
FORGET_ADDRESS: Final = PRESENT


class Discovery:
    """Where the other instances are.

    Attributes:
        directory: What the leases in the store say.
        on_entry: Called with each lease that is new or changed.
        started: Time at which this instance began to look.
    """

    __slots__ = (
        "_address",
        "_heard",
        "_links",
        "_looked",
        "_opts",
        "_seeds",
        "_zones",
        "directory",
        "on_entry",
        "started",
    )

    def __init__(self, opts: Options, links: Links) -> None:
        """Knows the seeds only."""
        self._opts = opts
        self._links = links
        self._address = f"{opts.ip}:{opts.peer_port}"
        self._heard: dict[str, float] = {}  # Addresses, and when something was heard of each.
        self._zones: dict[str, str] = {}  # Availability zones of addresses.
        self._looked = asyncio.Event()
        self._seeds: list[str] = []
        self.directory = Directory()
        self.on_entry: Callable[[Entry], None] = lambda entry: None
        self.started = monotonic()
        self.seeds(opts.seeds)

    def seeds(self, seeds: Sequence[str]) -> None:
        """Takes the hosts of some instances; all use the same port for messages."""
        hosts = [seed.rpartition(":")[0] for seed in seeds]
        addresses = [f"{host}:{self._opts.peer_port}" for host in hosts]
        self._seeds = [address for address in addresses if address != self._address]
        for address in self._seeds:
            self.know(address)

    def know(self, address: str, zone: str = "") -> None:
        """Notes that something was heard of an instance at an address."""
        if address == self._address:
            return
        if zone:
            self._zones[address] = zone
        if address not in self._heard:
            self._links.connect(address)
        self._heard[address] = monotonic()

    def forget_silent(self) -> None:
        """Gives up addresses of which nothing was heard for long."""
        now = monotonic()
        for address, at in list(self._heard.items()):
            if now - at >= FORGET_ADDRESS:
                del self._heard[address]
                self._zones.pop(address, None)
                self._links.disconnect(address)

    def addresses(self) -> list[str]:
        """Returns all addresses known."""
        return list(self._heard)

    def zone(self, address: str) -> str | None:
        """Returns the availability zone of an address, if it is known."""
        return self._zones.get(address)

    def nearby(self) -> int:
        """Returns how many addresses may be of the own zone."""
        own = self._opts.zone
        return sum(self._zones.get(address, own) == own for address in self._heard)

    def is_alone(self) -> bool:
        """Tells whether the own zone seems small, so that each instance watches for itself.

        Seeds and leases tell of the others; until they had the time to, nobody seems alone.
        """
        known = sum(zone == self._opts.zone for zone in self._zones.values())
        if known >= LARGE_ZONE or self.directory.is_large(self._opts.zone):
            return False
        return monotonic() - self.started >= INTRODUCED

    # Seeds.

    def ask_a_seed(self) -> None:
        """Asks who is there, while this instance is young."""
        if self._seeds and monotonic() - self.started < START_TOGETHER:
            question = WhoIsThere(self._opts.instance, self._address, self._opts.zone)
            self._links.send(random.choice(self._seeds), question)

    def asked(self, question: WhoIsThere) -> None:
        """Tells an instance that just started who else is in its zone."""
        if not is_address(question.address):
            return
        self.know(question.address, question.zone)
        nearby = [address for address, zone in self._zones.items() if zone == question.zone]
        if question.zone == self._opts.zone:
            nearby.append(self._address)
        others = [address for address in nearby if address != question.address]
        self._links.send(question.address, Introduction(question.zone, others))

    def introduced(self, introduction: Introduction) -> None:
        """Takes over the addresses of instances, of which the heartbeats will tell the rest."""
        for address in introduction.addresses:
            if is_address(address):
                self.know(address, introduction.zone)

    # Leases.

    async def keep_looking(self, store: ObjectStore, is_keeper: Callable[[], bool]) -> None:
        """Looks for instances in the store; runs until cancelled.

        Keepers look often, as they must know who could take over from them; the others only where
        else to send what concerns all.
        """
        looked = float("-inf")
        while True:
            if is_keeper() or monotonic() - looked >= LIST_RARELY:
                looked = monotonic()
                await self._look(store)
            young = monotonic() - self.started < LIST_YOUNG
            await asyncio.sleep(LIST_EVERY / 5 if young else LIST_EVERY)

    async def _look(self, store: ObjectStore) -> None:
        found = await store.list(Kinds.LEASES, stale=True)
        self._looked.set()
        if isinstance(found, Listing):
            self.leases_listed(found.objects)
        else:
            self.directory.nothing_listed(monotonic())

    def leases_listed(self, leases: Iterable[StoredObject]) -> None:
        """Takes over all leases."""
        for entry in self.directory.listed(leases, monotonic()):
            self.know(entry.address, entry.zone)
            self.on_entry(entry)

    async def own_lease(self) -> int:
        """Returns the revision of this instance's lease by the first look; 0 when it has none."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LOOK):
                await self._looked.wait()
        entry = self.directory.entries.get(self._opts.instance)
        return entry.revision if entry is not None else 0
