"""The instances of the deployment by their leases in the store.

Leases of instances that are gone stay in the store. So one counts as a sign of life only when it is
seen to change, and for a time; what counts as present here is bounded by who renews.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.revisions import era_of

from wigeonarch_gateway.object_contents import LeaseContent, read_lease
from wigeonarch_gateway.peer_socket import is_address
from wigeonarch_gateway.ports import StoredObject

LIST_INTERVAL: Final = 5.0  # Seconds between looks at the leases.
# Seconds without a sign of life (heartbeat, renewed lease) after which an instance is not waited
# for: two looks at the leases and a term.
GONE_AFTER: Final = 8.0
# Instances of a zone up to which each speaks, watches and orders for itself: what keepers spare
# grows with the zone, and is little there.
LARGE_ZONE: Final = 6
IDLE_LIST_INTERVAL: Final = 15.0  # The same by an instance that is no keeper.
# Seconds since an instance's lease was seen to change in which it may hand messages on: those that
# rest renew each 25 s, and the leases are read each 15 s.
RELAY_RENEWED_WITHIN: Final = 45.0
PRESENT_WITHIN: Final = 60.0  # The same until an instance counts no more.


@dataclass(slots=True)
class Entry:
    """An instance by its lease.

    Attributes:
        revision: Revision of the lease.
        count: Its count of renewals.
        address: Address for messages.
        zone: Availability zone.
        sign: Time at which the lease was last seen to change, in seconds.
        ended_under: As in the lease.
    """

    revision: int
    count: int
    address: str
    zone: str
    last_renewal: float
    ended_under: list[tuple[str, list[str]]] = field(default_factory=list)


class Directory:
    """What the leases say.

    Attributes:
        entries: Instances by name, gone ones included.
    """

    __slots__ = ("_sizes", "entries")

    def __init__(self) -> None:
        """Knows nobody."""
        self.entries: dict[str, Entry] = {}
        self._sizes: Counter[str] = Counter()

    def take_leases(self, leases: Iterable[StoredObject], now: float) -> list[Entry]:
        """Takes over all leases; returns the entries that are new or changed."""
        # Of a lease found at the first look it is not known how old it is: it must change soon.
        sign = now if self.entries else now - GONE_AFTER + LIST_INTERVAL
        before, self.entries = self.entries, {}
        changed = []
        for lease in leases:
            content = read_lease(lease)
            if content is None or not is_address(content.address):
                continue
            entry = before.get(lease.name)
            if entry is None or _is_renewed(entry, lease.revision, content):
                entry = Entry(
                    lease.revision,
                    content.count,
                    content.address,
                    content.zone,
                    sign,
                    content.ended_under,
                )
                changed.append(entry)
            entry.revision = lease.revision
            self.entries[lease.name] = entry
        self._sizes = Counter(self.entries[name].zone for name in self.present_instances(now))
        return changed

    def extend_presence(self, now: float) -> None:
        """Counts all as alive that were when the store was last read."""
        for entry in self.entries.values():
            if now - entry.last_renewal < GONE_AFTER:
                entry.last_renewal = now

    def present_instances(self, now: float) -> list[str]:
        """Returns the instances whose leases were seen to change lately."""
        return [
            name
            for name, entry in self.entries.items()
            if now - entry.last_renewal < PRESENT_WITHIN
        ]

    def is_large(self, zone: str) -> bool:
        """Tells whether only a few instances of a zone speak for it."""
        return self._sizes[zone] > LARGE_ZONE

    def relay_addresses(
        self, own_zone: str, leaving: Collection[str], now: float
    ) -> dict[str, list[str]]:
        """Returns the addresses that hand messages on in each other zone that is large.

        What goes between zones then does not grow with the number of instances there. Any instance
        of the zone may be drawn, so that its link carries its part only: two that handed on all of
        70 engines' news filled links of 5 Mbit/s, and were heard seconds late. One that is gone
        loses its share of the messages, until its lease is seen not to change.
        """
        found: dict[str, list[str]] = {}
        for name, entry in self.entries.items():
            fresh = now - entry.last_renewal < RELAY_RENEWED_WITHIN and name not in leaving
            if fresh and entry.zone != own_zone and self.is_large(entry.zone):
                found.setdefault(entry.zone, []).append(entry.address)
        return found


def _is_renewed(entry: Entry, revision: int, content: LeaseContent) -> bool:
    """Tells whether a lease was written since; a store that came back older has it anew as it was.

    A process that started anew counts from the beginning, under its new address or at it.
    """
    if era_of(entry.revision) == era_of(revision):
        return entry.revision != revision
    return content.count > entry.count or content.address != entry.address
