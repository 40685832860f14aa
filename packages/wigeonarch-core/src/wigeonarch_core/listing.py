"""The platform's list of instances, read by the instances of a zone in turn.

The list grows with the deployment and each instance would read all of it each second. Instead each
reads it the less often, the more peers its zone has, and tells them what differs from what the zone
knew. Safe because a message that is lost, or a peer that falls silent, costs no more than the wait
for one's own next turn, and news that was held up at its sender is not used.

Example: with 34 instances in the zone and an interval of a second, each reads the list every 34 s,
and the zone as a whole each second.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from typing import Final

import msgspec

MAX_READ_INTERVAL: Final = 60.0
MAX_UPDATE_AGE: Final = 2.0


class Role(enum.StrEnum):
    """What a listed instance does."""

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
        role: What it does.
        service: Service that it serves; empty for entry instances.
        state: Whether it takes new work.
    """

    name: str
    address: str
    zone: str
    role: Role
    service: str = ""
    state: Presence = Presence.LIVE


class ListUpdate(msgspec.Struct, frozen=True, tag="ListNews", array_like=True):
    """What an instance found to differ when it read the list.

    Attributes:
        sender: Name of the instance.
        put: Items that are new or differ.
        gone: Names that are no longer on the list.
        age: Seconds from the request for the list to the sending of the news.
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

    __slots__ = ("_read", "items")

    def __init__(self) -> None:
        self.items: dict[str, Listed] = {}
        self._read = False

    def replace(self, me: str, items: Iterable[Listed], age: float) -> ListUpdate | None:
        """Takes over the whole list; returns what peers may not know, None when nothing differs.

        Args:
            me: Name of this instance.
            items: The list.
            age: Seconds since it was asked for.
        """
        first = not self._read
        fresh = {item.name: item for item in items}
        put = tuple(item for name, item in fresh.items() if self.items.get(name) != item)
        gone = tuple(name for name in self.items if name not in fresh)
        self.items = fresh
        self._read = True
        # The first reading differs in everything, and says nothing new to the others.
        return None if first or not (put or gone) else ListUpdate(me, put, gone, age)

    def apply(self, news: ListUpdate) -> bool:
        """Takes over a peer's news; False when it is of no use.

        News is of no use before the first reading, and when the peer was held up between asking for
        the list and sending: what it found may have been overtaken.
        """
        if not self._read or news.age > MAX_UPDATE_AGE:
            return False
        self.items.update((item.name, item) for item in news.changed)
        for name in news.removed:
            self.items.pop(name, None)
        return True


def read_interval(interval: float, peers: int) -> float:
    """Returns the seconds between two readings of one instance.

    Args:
        interval: Seconds between two readings of the whole zone.
        peers: Other instances of the zone that take turns.
    """
    return max(interval, min(MAX_READ_INTERVAL, interval * (peers + 1)))
