"""Which instance does what: keeps a zone, may take an endpoint, gives credit and permits.

Each instance works this out by itself, from whom it hears and what the store's list of leases
tells. All rank alike, so they agree where they hear alike; where they don't, leases, fencing
numbers and the sums of quotas and permits keep them from doing harm.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from typing import Final

from wigeonarch_core.rendezvous import ranked
from wigeonarch_core.store_contact import Contact, StoreContact
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.directory import GONE_AFTER, LARGE_ZONE, Directory
from wigeonarch_gateway.discovery import COMMON_START_TIME
from wigeonarch_gateway.member import Member

# Seconds for which an instance must have been heard to be preferred for an endpoint: one that just
# started would have to watch the last holder's lease anew.
PREFERRED_AFTER: Final = 5.0
# Seconds without a sign of life of any instance of an availability zone, before others order its
# endpoints.
ZONE_EMPTY_AFTER: Final = 15.0
MIN_DELEGATES: Final = 3  # Keepers of a large zone, at least, so that two may be lost at once.
INSTANCES_PER_DELEGATE: Final = 16  # Instances of a zone per keeper of it.
# Seconds without an answer of the store, by what its heartbeats say, after which a keeper comes
# last among those that may watch for the others. One that follows another keeper stays below it.
STORE_LOST_AFTER: Final = 5.0
DELEGATES_HASH_KEY: Final = "keepers"
QUOTA_COORDINATOR_HASH_KEY: Final = "banker/"
LIMITER_HASH_KEY: Final = "limiter/"


class Roles:
    """What each instance is there for.

    Attributes:
        leaving: Whether this instance is shutting down.
    """

    __slots__ = (
        "_contact",
        "_coordinators",
        "_directory",
        "_me",
        "_members",
        "_ranked_instances",
        "_reachable",
        "_started",
        "_zone",
        "leaving",
    )

    def __init__(
        self,
        me: str,
        zone: str,
        members: Mapping[str, Member],
        reachable: Callable[[], list[str]],
        directory: Directory,
        contact: StoreContact,
        started: float,
    ) -> None:
        """Looks at the instances that are known.

        Args:
            me: This instance.
            zone: Its availability zone.
            known: The others by name, also those that are not heard any more.
            heard: Returns those that were heard lately.
            directory: Instances by the store's list.
            contact: This instance's contact with the store.
            started: Time at which this process started.
        """
        self._me = me
        self._zone = zone
        self._members = members
        self._reachable = reachable
        self._directory = directory
        self._contact = contact
        self._started = started
        self._ranked_instances: tuple[str, ...] = ()
        self._coordinators: dict[str, list[str]] = {}
        self.leaving = False

    def possible_successors(
        self, zones: Collection[str], max_silence: float = GONE_AFTER
    ) -> set[str]:
        """Returns the instances that could take over an endpoint of one of these zones.

        Args:
            zones: Availability zones.
            within: Seconds since the last sign of life of those that count.
        """
        now = monotonic()
        signs = {
            name: (member.zone, member.last_heartbeat) for name, member in self._members.items()
        }
        for name, entry in self._directory.entries.items():
            heard = signs.get(name, (entry.zone, entry.last_renewal))[1]
            signs[name] = (entry.zone, max(entry.last_renewal, heard))
        alive = {
            name for name, (zone, at) in signs.items() if zone in zones and now - at < max_silence
        }
        return alive - {self._me}

    def owner_candidates(self, zone: str, include_self: bool) -> list[str]:
        """Returns the instances that may take an endpoint of an availability zone.

        Only those of the zone may: it then goes on by itself when it is cut off. Others may where
        the zone has had no instance for long.
        """
        found = [self._members[name] for name in self._reachable()]
        usable = [member for member in found if member.has_lease and not member.leaving]
        nearby = {member.name for member in usable if member.zone == zone}
        mine = {self._me} if include_self else set()
        if zone == self._zone:
            nearby = (nearby | mine) & set(self.delegates()) or nearby | mine
            return sorted(self._long_known(nearby) or nearby)
        if self.possible_successors({zone}, ZONE_EMPTY_AFTER):
            return []
        return sorted({*(member.name for member in usable), *mine})

    def _long_known(self, names: Collection[str], start_window: float = 0.0) -> set[str]:
        """Returns those heard for long; with `together`, also from this one's first seconds."""
        latest = monotonic() - PREFERRED_AFTER
        if start_window:
            latest = max(latest, self._started + start_window)
        since = {member.name: member.first_heartbeat for member in self._members.values()}
        since[self._me] = self._started
        return {name for name in names if since[name] <= latest}

    def delegates(self) -> list[str]:
        """Returns those of the zone that watch the store for the others, and order its endpoints.

        All instances of a small zone are; of a larger one a few, so that calls to the store don't
        grow with its size. A rendezvous hash changes at most one as an instance comes or goes.
        """
        present = self._staying()
        if len(present) <= LARGE_ZONE:
            return sorted(present)
        names = self._long_known(present, COMMON_START_TIME) or present
        most = max(MIN_DELEGATES, math.ceil(len(present) / INSTANCES_PER_DELEGATE))
        return ranked(DELEGATES_HASH_KEY, sorted(names))[:most]

    def watchers(self) -> list[str]:
        """Returns who may watch the store for the zone, best first; nobody in a small zone.

        These are the keepers, those last that are said to be without the store.
        """
        if len(self._staying()) <= LARGE_ZONE:
            return []
        return sorted(self.delegates(), key=self._has_lost_store)

    def _has_lost_store(self, name: str) -> bool:
        mine = name == self._me
        contact = self._contact.contact() if mine else self._members[name].store_contact
        return contact is None or monotonic() - contact.until > STORE_LOST_AFTER

    def is_delegate(self) -> bool:
        """Tells whether this instance is one of them."""
        return self._me in self.delegates()

    def _staying(self) -> set[str]:
        """Returns the instances of the zone that stay."""
        nearby = {n for n in self._reachable() if self._stays_in_zone(self._members[n])}
        return nearby if self.leaving else nearby | {self._me}

    def _stays_in_zone(self, member: Member) -> bool:
        return member.zone == self._zone and not member.leaving

    def quota_coordinators(self, team: str) -> list[str]:
        """Returns the instances of the zone that may keep a team's credit, best first.

        They are ranked by what all know alike: those that started just now come last in the eyes of
        all, their own included, as they don't know what others gave.
        """
        present = sorted(self._staying())
        latest = monotonic() - PREFERRED_AFTER
        settled = tuple(n for n in present if self._start_of(n) <= latest) or tuple(present)
        if settled != self._ranked_instances:
            self._ranked_instances, self._coordinators = settled, {}
        if team not in self._coordinators:
            self._coordinators[team] = ranked(QUOTA_COORDINATOR_HASH_KEY + team, settled)
        return self._coordinators[team]

    def limiter(self, endpoint: str, zone: str) -> str:
        """Returns the instance that gives permits for an endpoint in an availability zone.

        It is one of that zone, where there is one, and one of those that the other zones hear.
        """
        stay = {name for name in self._reachable() if not self._members[name].leaving}
        found = {name for name in stay if self._members[name].zone == zone}
        if zone == self._zone:
            found = set(self.delegates())
        names = found or stay | {self._me}
        return ranked(LIMITER_HASH_KEY + endpoint, sorted(names))[0]

    def _start_of(self, name: str) -> float:
        member = self._members.get(name)
        return self._started if member is None else member.started

    def reachable_share(self) -> float:
        """Returns which part of the zone's known instances is heard, this one included."""
        zone, entries = self._zone, self._directory.entries
        known = {
            n for n in self._directory.present_instances(monotonic()) if entries[n].zone == zone
        }
        heard = {n for n in self._reachable() if self._members[n].zone == zone}
        heard.add(self._me)
        return len(heard) / len(heard | known)

    def other_zones(self) -> set[str]:
        """Returns the other availability zones that have instances."""
        now = monotonic()
        entries = self._directory.entries
        found = {entries[name].zone for name in self._directory.present_instances(now)}
        found |= {self._members[name].zone for name in self._reachable()}
        return found - {self._zone}

    def instance_count(self) -> int:
        """Returns the number of instances, this one included, with those that only rest."""
        present = self._directory.present_instances(monotonic())
        return len({self._me, *present, *self._reachable()})

    def store_contacts(self, zone: str) -> list[Contact]:
        """Returns the contacts with the store of those who would share an outage of a zone.

        Those are the zone's other instances, also ones that are not heard any more: what they said
        of the past holds. Where a zone has no instance, all others speak for it.
        """
        told = [
            (m.zone, m.store_contact) for m in self._members.values() if m.store_contact is not None
        ]
        nearby = [contact for where, contact in told if where == zone]
        if nearby or zone == self._zone:
            return nearby
        return [contact for _, contact in told]
