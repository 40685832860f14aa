"""Which instance does what: keeps a zone, may take an endpoint, gives credit and permits.

Each instance works this out by itself, from whom it hears and what the store's list of leases
tells. All rank alike, so they agree where they hear alike; where they don't, leases, fencing
numbers and the sums of quotas and permits keep them from doing harm.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from typing import Final

from wigeonarch_core.homes import ranked
from wigeonarch_core.store_contact import Contact, StoreContact
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.directory import GONE, LARGE_ZONE, Directory
from wigeonarch_gateway.discovery import START_TOGETHER
from wigeonarch_gateway.member import Member

# Seconds for which an instance must have been heard to be preferred for an endpoint: one that just
# started would have to watch the last holder's lease anew.
SETTLED: Final = 5.0
# Seconds without a sign of life of any instance of an availability zone, before others order its
# endpoints.
ZONE_EMPTY: Final = 15.0
KEEPERS_LEAST: Final = 3  # Keepers of a large zone, at least, so that two may be lost at once.
ZONE_PER_KEEPER: Final = 16  # Instances of a zone per keeper of it.
# Seconds without an answer of the store, by what its heartbeats say, after which a keeper comes
# last among those that may watch for the others. One that follows another keeper stays below it.
OUT_OF_CONTACT: Final = 5.0
KEEPERS_KEY: Final = "keepers"
BANKER_KEY: Final = "banker/"
LIMITER_KEY: Final = "limiter/"


class Duties:
    """What each instance is there for.

    Attributes:
        leaving: Whether this instance is shutting down.
    """

    __slots__ = (
        "_bankers",
        "_bankers_of",
        "_contact",
        "_directory",
        "_heard",
        "_known",
        "_me",
        "_started",
        "_zone",
        "leaving",
    )

    def __init__(
        self,
        me: str,
        zone: str,
        known: Mapping[str, Member],
        heard: Callable[[], list[str]],
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
        self._known = known
        self._heard = heard
        self._directory = directory
        self._contact = contact
        self._started = started
        self._bankers_of: tuple[str, ...] = ()
        self._bankers: dict[str, list[str]] = {}
        self.leaving = False

    def rivals(self, zones: Collection[str], within: float = GONE) -> set[str]:
        """Returns the instances that could take over an endpoint of one of these zones.

        Args:
            zones: Availability zones.
            within: Seconds since the last sign of life of those that count.
        """
        now = monotonic()
        signs = {name: (member.zone, member.heard) for name, member in self._known.items()}
        for name, entry in self._directory.entries.items():
            heard = signs.get(name, (entry.zone, entry.sign))[1]
            signs[name] = (entry.zone, max(entry.sign, heard))
        alive = {name for name, (zone, at) in signs.items() if zone in zones and now - at < within}
        return alive - {self._me}

    def candidates(self, zone: str, me: bool) -> list[str]:
        """Returns the instances that may take an endpoint of an availability zone.

        Only those of the zone may: it then goes on by itself when it is cut off. Others may where
        the zone has had no instance for long.
        """
        found = [self._known[name] for name in self._heard()]
        usable = [member for member in found if member.holds and not member.leaving]
        nearby = {member.name for member in usable if member.zone == zone}
        mine = {self._me} if me else set()
        if zone == self._zone:
            nearby = (nearby | mine) & set(self.keepers()) or nearby | mine
            return sorted(self._settled(nearby) or nearby)
        if self.rivals({zone}, ZONE_EMPTY):
            return []
        return sorted({*(member.name for member in usable), *mine})

    def _settled(self, names: Collection[str], together: float = 0.0) -> set[str]:
        """Returns those heard for long; with `together`, also from this one's first seconds."""
        latest = monotonic() - SETTLED
        if together:
            latest = max(latest, self._started + together)
        since = {member.name: member.since for member in self._known.values()}
        since[self._me] = self._started
        return {name for name in names if since[name] <= latest}

    def keepers(self) -> list[str]:
        """Returns those of the zone that watch the store for the others, and order its endpoints.

        All instances of a small zone are; of a larger one a few, so that calls to the store don't
        grow with its size. A rendezvous hash changes at most one as an instance comes or goes.
        """
        present = self._present()
        if len(present) <= LARGE_ZONE:
            return sorted(present)
        names = self._settled(present, START_TOGETHER) or present
        most = max(KEEPERS_LEAST, math.ceil(len(present) / ZONE_PER_KEEPER))
        return ranked(KEEPERS_KEY, sorted(names))[:most]

    def watchers(self) -> list[str]:
        """Returns who may watch the store for the zone, best first; nobody in a small zone.

        These are the keepers, those last that are said to be without the store.
        """
        if len(self._present()) <= LARGE_ZONE:
            return []
        return sorted(self.keepers(), key=self._is_out_of_contact)

    def _is_out_of_contact(self, name: str) -> bool:
        mine = name == self._me
        contact = self._contact.contact() if mine else self._known[name].contact
        return contact is None or monotonic() - contact.until > OUT_OF_CONTACT

    def is_keeper(self) -> bool:
        """Tells whether this instance is one of them."""
        return self._me in self.keepers()

    def _present(self) -> set[str]:
        """Returns the instances of the zone that stay."""
        nearby = {n for n in self._heard() if self._serves_zone(self._known[n])}
        return nearby if self.leaving else nearby | {self._me}

    def _serves_zone(self, member: Member) -> bool:
        return member.zone == self._zone and not member.leaving

    def bankers(self, team: str) -> list[str]:
        """Returns the instances of the zone that may keep a team's credit, best first.

        They are ranked by what all know alike: those that started just now come last in the eyes of
        all, their own included, as they don't know what others gave.
        """
        present = sorted(self._present())
        latest = monotonic() - SETTLED
        settled = tuple(n for n in present if self._start_of(n) <= latest) or tuple(present)
        if settled != self._bankers_of:
            self._bankers_of, self._bankers = settled, {}
        if team not in self._bankers:
            self._bankers[team] = ranked(BANKER_KEY + team, settled)
        return self._bankers[team]

    def limiter(self, endpoint: str, zone: str) -> str:
        """Returns the instance that gives permits for an endpoint in an availability zone.

        It is one of that zone, where there is one, and one of those that the other zones hear.
        """
        stay = {name for name in self._heard() if not self._known[name].leaving}
        found = {name for name in stay if self._known[name].zone == zone}
        if zone == self._zone:
            found = set(self.keepers())
        names = found or stay | {self._me}
        return ranked(LIMITER_KEY + endpoint, sorted(names))[0]

    def _start_of(self, name: str) -> float:
        member = self._known.get(name)
        return self._started if member is None else member.started

    def heard_share(self) -> float:
        """Returns which part of the zone's known instances is heard, this one included."""
        zone, entries = self._zone, self._directory.entries
        known = {n for n in self._directory.present(monotonic()) if entries[n].zone == zone}
        heard = {n for n in self._heard() if self._known[n].zone == zone}
        heard.add(self._me)
        return len(heard) / len(heard | known)

    def other_zones(self) -> set[str]:
        """Returns the other availability zones that have instances."""
        now = monotonic()
        entries = self._directory.entries
        found = {entries[name].zone for name in self._directory.present(now)}
        found |= {self._known[name].zone for name in self._heard()}
        return found - {self._zone}

    def count(self) -> int:
        """Returns the number of instances, this one included, with those that only rest."""
        present = self._directory.present(monotonic())
        return len({self._me, *present, *self._heard()})

    def contacts(self, zone: str) -> list[Contact]:
        """Returns the contacts with the store of those who would share an outage of a zone.

        Those are the zone's other instances, also ones that are not heard any more: what they said
        of the past holds. Where a zone has no instance, all others speak for it.
        """
        told = [(m.zone, m.contact) for m in self._known.values() if m.contact is not None]
        nearby = [contact for where, contact in told if where == zone]
        if nearby or zone == self._zone:
            return nearby
        return [contact for _, contact in told]
