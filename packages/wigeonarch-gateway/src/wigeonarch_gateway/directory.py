"""Lists the instances of the deployment by their leases in the store.

The leases of instances that are gone stay in the store. A lease is therefore a sign of life only
when it is seen to change, and only for a limited time; instances that no longer renew theirs drop
out.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from wigeonarch_core.addresses import is_ipv4_address
from wigeonarch_core.revisions import era_of

from wigeonarch_gateway.object_contents import LeaseContent, read_lease
from wigeonarch_gateway.ports import StoredObject

LIST_INTERVAL: Final = 5.0  # Seconds between lists of the leases by a delegate.
# Seconds without a sign of life (heartbeat, renewed lease) after which an instance counts as gone:
# two lists of the leases and a lease term.
GONE_AFTER: Final = 8.0
# Greatest number of instances in a zone that needs no delegates: each one then sends heartbeats,
# watches the store and owns engines by itself. Delegates would save little in such a zone.
LARGE_ZONE: Final = 6
IDLE_LIST_INTERVAL: Final = 15.0  # The same by an instance that is no delegate.
# Seconds since its lease was seen to change within which an instance may relay messages. Idle
# instances renew every 25 s, and the leases are listed every 15 s.
RELAY_RENEWED_WITHIN: Final = 45.0
PRESENT_WITHIN: Final = 60.0  # Seconds within which an instance counts as present.


@dataclass(frozen=True, slots=True)
class ListedLease:
    """An instance's own lease as a list of the store shows it."""

    revision: int
    content: LeaseContent


@dataclass(slots=True)
class Entry:
    """An instance according to its lease.

    Attributes:
        revision: Revision of the lease.
        count: Number of renewals stored in it.
        address: Address for messages.
        zone: Availability zone.
        last_renewal: Time at which the lease was last seen to change, in seconds.
        content: Content of the lease when it last did.
    """

    revision: int
    count: int
    address: str
    zone: str
    last_renewal: float
    content: LeaseContent


class Directory:
    """The instances that have a lease.

    Attributes:
        entries: Instances by name, including those that are gone.
    """

    __slots__ = ("_sizes", "entries")

    def __init__(self) -> None:
        """Creates an empty directory."""
        self.entries: dict[str, Entry] = {}
        self._sizes: Counter[str] = Counter()

    def take_leases(self, leases: Iterable[StoredObject], now: float) -> list[Entry]:
        """Takes over all leases; returns the entries that are new or changed."""
        # The age of a lease in the first list is unknown, so it must change soon to count.
        last_renewal = now if self.entries else now - GONE_AFTER + LIST_INTERVAL
        before, self.entries = self.entries, {}
        changed = []
        for lease in leases:
            content = read_lease(lease)
            if content is None or not is_ipv4_address(content.address):
                continue
            entry = before.get(lease.name)
            if entry is None or _is_renewed(entry, lease.revision, content):
                entry = Entry(
                    lease.revision,
                    content.count,
                    content.address,
                    content.zone,
                    last_renewal,
                    content,
                )
                changed.append(entry)
            entry.revision = lease.revision
            self.entries[lease.name] = entry
        self._sizes = Counter(self.entries[name].zone for name in self.present_instances(now))
        return changed

    def extend_presence(self, now: float) -> None:
        """Extends the presence of live instances, because the store could not be read."""
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
        """Tells whether a zone is large enough to be represented by delegates."""
        return self._sizes[zone] > LARGE_ZONE

    def zone_sizes(self) -> Mapping[str, int]:
        """Returns the number of instances in each zone."""
        return self._sizes

    def relay_addresses(
        self, own_zone: str, leaving: Collection[str], now: float
    ) -> dict[str, list[str]]:
        """Returns the addresses of instances that can relay messages in each other large zone.

        With relays, the traffic between zones does not grow with the number of instances there. The
        sender picks any of the zone's instances at random, so that each link carries only its
        share: when two instances relayed the updates of all 70 engines, they filled links of
        5 Mbit/s, and messages from them arrived seconds late. Messages to a relay that is gone are
        lost until its lease is seen not to change.
        """
        found: dict[str, list[str]] = {}
        for name, entry in self.entries.items():
            fresh = now - entry.last_renewal < RELAY_RENEWED_WITHIN and name not in leaving
            if fresh and entry.zone != own_zone and self.is_large(entry.zone):
                found.setdefault(entry.zone, []).append(entry.address)
        return found


def _is_renewed(entry: Entry, revision: int, content: LeaseContent) -> bool:
    """Tells whether a lease was written since an entry was made from it.

    A store that came back from an older copy shows an old lease under a new revision, so across
    eras the renewal count and the address decide. A process that restarted counts from zero,
    at a new address or the same one.
    """
    if era_of(entry.revision) == era_of(revision):
        return entry.revision != revision
    return content.count > entry.count or content.address != entry.address
