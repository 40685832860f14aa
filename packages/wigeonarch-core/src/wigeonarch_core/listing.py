"""The platform's list of instances, which the instances of a zone take turns to read.

The list grows with the deployment, and it would be costly if each instance read all of it every
second. Instead, the more peers an instance has in its zone, the less often it reads the list, and
it sends its peers what differs from what the zone knew. If such an update is lost, or a peer stops
sending any, an instance is late by no more than the time to its own next read. An update that was
held up at its sender is not used.

Example: with 34 instances in the zone and an interval of a second, each instance reads the list
every 34 seconds, so the zone as a whole reads it every second.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Final

import msgspec

MAX_READ_INTERVAL: Final = 60.0  # Seconds.
MAX_UPDATE_AGE: Final = 2.0  # Seconds from the request for the list to the sending of the update.


class Role(enum.StrEnum):
    """What kind of process a listed instance is."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class Presence(enum.StrEnum):
    """Whether an endpoint takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Listed(msgspec.Struct, frozen=True):
    """One item of the platform's list of instances.

    Attributes:
        name: Unique name.
        address: `IP:PORT` of its HTTP port.
        zone: Its availability zone.
        role: What kind of process it is.
        service: Name of the service that it serves; empty for entry instances.
        state: Whether it takes new work.
    """

    name: str
    address: str
    zone: str
    role: Role
    service: str = ""
    state: Presence = Presence.LIVE


class ListUpdate(msgspec.Struct, frozen=True, tag="ListNews", array_like=True):
    """What an instance found changed when it read the list.

    Attributes:
        sender: Name of the instance.
        changed: Items that are new or differ.
        removed: Names that are no longer on the list.
        age: Seconds from the request for the list to the sending of the update.
    """

    sender: str
    changed: tuple[Listed, ...]
    removed: tuple[str, ...]
    age: float


class SharedList:
    """The list as one instance knows it.

    Attributes:
        items: The items, by name.
    """

    __slots__ = ("_has_read", "items")

    def __init__(self) -> None:
        self.items: dict[str, Listed] = {}
        self._has_read = False

    def replace(self, own_name: str, items: Iterable[Listed], age: float) -> ListUpdate | None:
        """Replaces the list by one that was read.

        Args:
            own_name: Name of this instance.
            items: The list.
            age: Seconds since it was requested.

        Returns:
            What peers may not know yet; None if nothing has changed.
        """
        first = not self._has_read
        fresh = {item.name: item for item in items}
        changed = tuple(item for name, item in fresh.items() if self.items.get(name) != item)
        removed = tuple(name for name in self.items if name not in fresh)
        self.items = fresh
        self._has_read = True
        # After the first read everything differs, but none of it is new to the others.
        return (
            None
            if first or not (changed or removed)
            else ListUpdate(own_name, changed, removed, age)
        )

    def apply(self, update: ListUpdate) -> bool:
        """Applies a peer's update; returns False if the update can't be used.

        An update can't be used before this instance's first read, nor if the peer was held up
        between requesting the list and sending the update: the list may have changed since.
        """
        if not self._has_read or update.age > MAX_UPDATE_AGE:
            return False
        self.items.update((item.name, item) for item in update.changed)
        for name in update.removed:
            self.items.pop(name, None)
        return True


def read_interval(interval: float, peers: int) -> float:
    """Returns the seconds between two reads of the list by one instance.

    Args:
        interval: Seconds between two reads by any instance of the zone.
        peers: Number of other instances of the zone that take turns.
    """
    return max(interval, min(MAX_READ_INTERVAL, interval * (peers + 1)))
