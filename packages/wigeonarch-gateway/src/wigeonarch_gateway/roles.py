"""Decides which instance has which role.

The roles are: zone delegate and zone watcher, possible owner of an endpoint, quota coordinator of a
team, and limiter of an endpoint.

Each instance decides this by itself, from the heartbeats that it receives and the leases listed in
the store. All use the same ranking, so they agree if they hear from the same instances. Where they
disagree, leases, fencing tokens, and the bounds on the sums of quotas and permits keep it safe.
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

# Seconds for which an instance must have been known to be preferred as owner of an endpoint; one
# that just started would have to observe the last owner's lease from the beginning.
PREFERRED_AFTER: Final = 5.0
# Seconds without a sign of life from any instance of an availability zone after which instances of
# other zones may own its endpoints.
ZONE_EMPTY_AFTER: Final = 15.0
MIN_DELEGATES: Final = 3  # Least number of delegates of a large zone, so that two can fail at once.
INSTANCES_PER_DELEGATE: Final = 16  # Instances of a large zone per delegate.
# Sets of delegates of a large zone that may own its engines within some seconds: one and the next.
DELEGATE_GENERATIONS: Final = 2
# Seconds without an answer of the store, according to its heartbeats, after which a delegate is
# ranked last among the possible watchers. One that follows another watcher stays below this.
STORE_LOST_AFTER: Final = 5.0
DELEGATES_HASH_KEY: Final = "keepers"
QUOTA_COORDINATOR_HASH_KEY: Final = "banker/"
LIMITER_HASH_KEY: Final = "limiter/"
ORIGIN_HASH_KEY: Final = "origin/"
# Instances that keep the origin of a stream: of the own zone, where its caller comes back as a
# rule, and of all others together, in case the zone is lost.
NEAR_ORIGIN_HOLDERS: Final = 2
FAR_ORIGIN_HOLDERS: Final = 1


class Roles:
    """The roles of all instances, as this one sees them.

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
        """Creates the roles of the known instances.

        Args:
            me: This instance.
            zone: Its availability zone.
            members: The other instances by name, including those that are no longer reachable.
            reachable: Returns the instances whose heartbeats arrived lately.
            directory: The instances according to their leases in the store.
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
            max_silence: Seconds since its last sign of life up to which an instance counts.
        """
        now = monotonic()
        last_signs = {
            name: (member.zone, member.last_heartbeat) for name, member in self._members.items()
        }
        for name, entry in self._directory.entries.items():
            last_heartbeat = last_signs.get(name, (entry.zone, entry.last_renewal))[1]
            last_signs[name] = (entry.zone, max(entry.last_renewal, last_heartbeat))
        alive = {
            name
            for name, (zone, at) in last_signs.items()
            if zone in zones and now - at < max_silence
        }
        return alive - {self._me}

    def owner_candidates(self, zone: str, include_self: bool) -> list[str]:
        """Returns the instances that may take ownership of an endpoint in an availability zone.

        Only instances of the same zone may, so that a zone keeps working when it is cut off. Those
        of other zones may once the zone has had no instance for `ZONE_EMPTY_AFTER`.

        Args:
            zone: The availability zone.
            include_self: Whether this instance may take endpoints.
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
        """Returns the instances that have been known for `PREFERRED_AFTER`.

        With `start_window`, also those that were known within so many seconds of this instance's
        own start.
        """
        latest = monotonic() - PREFERRED_AFTER
        if start_window:
            latest = max(latest, self._started + start_window)
        since = {member.name: member.first_heartbeat for member in self._members.values()}
        since[self._me] = self._started
        return {name for name in names if since[name] <= latest}

    def delegates(self) -> list[str]:
        """Returns the zone's delegates.

        Delegates may watch the store for the zone, own its endpoints, and send heartbeats for it to
        other zones. All instances of a small zone are delegates; a large zone has a few, so that
        calls to the store don't grow with its size. They are chosen by rendezvous hashing, which
        changes at most one delegate when an instance joins or leaves.
        """
        present = self._staying()
        if len(present) <= LARGE_ZONE:
            return sorted(present)
        names = self._long_known(present, COMMON_START_TIME) or present
        most = _delegates_in_zone(len(present))
        return ranked(DELEGATES_HASH_KEY, sorted(names))[:most]

    def watchers(self) -> list[str]:
        """Returns the instances that may watch the store for the zone, best first.

        These are the delegates, with those last whose heartbeats say that they have lost contact
        with the store. A small zone needs no watcher, so there are none.
        """
        if len(self._staying()) <= LARGE_ZONE:
            return []
        return sorted(self.delegates(), key=self._has_lost_store)

    def _has_lost_store(self, name: str) -> bool:
        mine = name == self._me
        contact = self._contact.contact() if mine else self._members[name].store_contact
        return contact is None or monotonic() - contact.until > STORE_LOST_AFTER

    def is_delegate(self) -> bool:
        """Tells whether this instance is a delegate of its zone."""
        return self._me in self.delegates()

    def _staying(self) -> set[str]:
        """Returns the reachable instances of this zone that are not shutting down."""
        nearby = {n for n in self._reachable() if self._stays_in_zone(self._members[n])}
        return nearby if self.leaving else nearby | {self._me}

    def _stays_in_zone(self, member: Member) -> bool:
        return member.zone == self._zone and not member.leaving

    def quota_coordinators(self, team: str) -> list[str]:
        """Returns the zone's possible quota coordinators for a team, best first.

        The ranking uses only what all instances know alike. Instances that just started are left
        out where there are others, also by themselves, because they don't know which units others
        have granted.
        """
        settled = tuple(self._settled(sorted(self._staying())))
        if settled != self._ranked_instances:
            self._ranked_instances, self._coordinators = settled, {}
        if team not in self._coordinators:
            self._coordinators[team] = ranked(QUOTA_COORDINATOR_HASH_KEY + team, settled)
        return self._coordinators[team]

    def limiter(self, endpoint: str, zone: str) -> str:
        """Returns the instance that issues permits for an endpoint in an availability zone.

        It is an instance of that zone, if there is one, and one whose heartbeats reach the other
        zones. Instances that just started are left out where there are others, also by themselves,
        because they hear few peers yet and don't know which permits others have granted.
        """
        names = self._granters(zone)
        return self.ranked_limiters(endpoint, self._settled(names))[0]

    def place_granter(self, endpoint: str, zone: str) -> str:
        """Returns the instance that grants places at an endpoint in an availability zone.

        Like `limiter`, but also one that just started: it grants nothing before the others have
        stated what they have.
        """
        return self.ranked_limiters(endpoint, self._granters(zone))[0]

    def _granters(self, zone: str) -> set[str]:
        """Returns the instances that may grant what endpoints in a zone allow."""
        stay = {name for name in self._reachable() if not self._members[name].leaving}
        found = {name for name in stay if self._members[name].zone == zone}
        if zone == self._zone:
            found = set(self.delegates())
        return found or stay | {self._me}

    @staticmethod
    def ranked_limiters(endpoint: str, names: Collection[str]) -> list[str]:
        """Returns instances by their preference as an endpoint's limiter."""
        return ranked(LIMITER_HASH_KEY + endpoint, sorted(names))

    def _settled(self, names: Collection[str]) -> list[str]:
        """Returns the instances that did not just start; all of them if they all did."""
        latest = monotonic() - PREFERRED_AFTER
        return [name for name in names if self._start_of(name) <= latest] or list(names)

    def origin_holders(self, key: str) -> list[str]:
        """Returns the other instances that keep the origin of a stream, for its key."""
        stay = [name for name in self._reachable() if not self._members[name].leaving]
        near = [name for name in stay if self._members[name].zone == self._zone]
        far = [name for name in stay if self._members[name].zone != self._zone]
        hash_key = ORIGIN_HASH_KEY + key
        return [
            *ranked(hash_key, near)[:NEAR_ORIGIN_HOLDERS],
            *ranked(hash_key, far)[:FAR_ORIGIN_HOLDERS],
        ]

    def _start_of(self, name: str) -> float:
        member = self._members.get(name)
        return self._started if member is None else member.started

    def reachable_share(self) -> float:
        """Returns the reachable fraction of the zone's known instances, this one included."""
        zone, entries = self._zone, self._directory.entries
        known = {
            n for n in self._directory.present_instances(monotonic()) if entries[n].zone == zone
        }
        reachable = {n for n in self._reachable() if self._members[n].zone == zone}
        reachable.add(self._me)
        return len(reachable) / len(reachable | known)

    def other_zones(self) -> set[str]:
        """Returns the other availability zones that have instances."""
        now = monotonic()
        entries = self._directory.entries
        found = {entries[name].zone for name in self._directory.present_instances(now)}
        found |= {self._members[name].zone for name in self._reachable()}
        return found - {self._zone}

    def instance_count(self) -> int:
        """Returns the number of instances, including this one and idle ones that rarely renew."""
        present = self._directory.present_instances(monotonic())
        return len({self._me, *present, *self._reachable()})

    def owner_count(self) -> int:
        """Returns how many instances may own engines within some seconds, this one included."""
        return possible_owner_count(self._directory.zone_sizes(), self.instance_count())

    def store_contacts(self, zone: str) -> list[Contact]:
        """Returns the store contacts of the instances that would share a store outage of a zone.

        These are the zone's other instances, including ones that are no longer reachable, because
        what they reported of the past stays true. For another zone without instances, the contacts
        of all instances count.
        """
        reported = [
            (m.zone, m.store_contact) for m in self._members.values() if m.store_contact is not None
        ]
        nearby = [contact for where, contact in reported if where == zone]
        if nearby or zone == self._zone:
            return nearby
        return [contact for _, contact in reported]


def _delegates_in_zone(size: int) -> int:
    """Returns the number of delegates of a zone with so many instances."""
    if size <= LARGE_ZONE:
        return size
    return max(MIN_DELEGATES, math.ceil(size / INSTANCES_PER_DELEGATE))


def _owners_in_zone(size: int) -> int:
    """Returns how many instances of a zone may own engines within some seconds."""
    return min(size, DELEGATE_GENERATIONS * _delegates_in_zone(size))


def possible_owner_count(zone_sizes: Mapping[str, int], instances: int) -> int:
    """Returns how many instances may own engines within some seconds.

    In a large zone these are its delegates, and those that replace them meanwhile. Instances whose
    zone is not known yet count each.

    Args:
        zone_sizes: Number of known instances in each zone.
        instances: Number of all instances.
    """
    unplaced = max(0, instances - sum(zone_sizes.values()))
    return max(1, unplaced + sum(_owners_in_zone(size) for size in zone_sizes.values()))
