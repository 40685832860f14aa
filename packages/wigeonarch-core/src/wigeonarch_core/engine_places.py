"""Adapter places of one engine, as its owner orders them.

The owner is the only one that orders, one order after the other, each with the sequence number that
the engine is expected to have. An order that takes effect moves the number on, so an order whose
answer was lost can take effect only before the next one does, never after it: the engine checks the
number when it carries the order out. After a lost answer the owner reads the engine's report and
goes on from what that shows; places whose state is not known count as taken until then.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from wigeonarch_core.rates import DecayedCounts

RATE_HALF_LIFE: Final = 12.0  # Seconds; demand moves to other adapters within several of these.
MAX_RATES: Final = 4000
# A load that takes this many seconds longer than expected is looked for in a report.
MAX_LOAD_DELAY: Final = 0.5
# A copy stays this many seconds after its load, as the request that wanted it is on its way.
MIN_RESIDENCE: Final = 0.4


AdapterName = tuple[str, str]


class AdapterKey(msgspec.Struct, frozen=True, order=True):
    """An adapter of a base model at a version.

    As a wish, version 0 means any; as a copy, that its version is not known yet.
    """

    model: str
    adapter: str
    version: int

    @property
    def name(self) -> AdapterName:
        """Returns the model and the adapter."""
        return (self.model, self.adapter)


def satisfies(held_version: int, wanted_version: int) -> bool:
    """Tells whether a copy of one version serves a request for another; 0 wants any."""
    return wanted_version in (0, held_version)


class PlaceState(enum.Enum):
    """What a place is doing."""

    LOADING = "loading"
    READY = "ready"


@dataclass(slots=True)
class Place:
    """One taken place.

    Attributes:
        version: Version of the copy; 0 when it is not known.
        state: What the place is doing.
        since: Time of the last change, in seconds.
        ready_at: Time at which the copy can be used, in seconds.
    """

    version: int
    state: PlaceState
    since: float
    ready_at: float


class AdapterPlaces:
    """The adapter places of one engine.

    Attributes:
        capacity: Adapters that fit; loads under way count.
    """

    __slots__ = ("_host_cache", "_host_limit", "_places", "_rates", "_used_at", "capacity")

    def __init__(self, capacity: int, host_limit: int) -> None:
        self.capacity = capacity
        self._places: dict[AdapterName, Place] = {}
        self._rates: DecayedCounts[AdapterName] = DecayedCounts(RATE_HALF_LIFE, MAX_RATES)
        self._used_at: dict[AdapterName, float] = {}
        self._host_cache: OrderedDict[AdapterName, None] = OrderedDict()
        self._host_limit = host_limit

    def record_use(self, name: AdapterName, now: float) -> None:
        """Notes that a request uses an adapter."""
        self._rates.add(name, now)
        self._used_at[name] = now

    def holds(self, key: AdapterKey) -> bool:
        """Tells whether a copy is there or on its way."""
        place = self._places.get(key.name)
        return place is not None and satisfies(place.version, key.version)

    def is_ready(self, key: AdapterKey, now: float) -> bool:
        """Tells whether a copy can be used."""
        self._complete_loads(now)
        place = self._places.get(key.name)
        return self.holds(key) and place is not None and place.state is PlaceState.READY

    def has_place(self, name: AdapterName) -> bool:
        """Tells whether some version of an adapter has a place, which a load would replace."""
        return name in self._places

    def copy_of(self, name: AdapterName) -> AdapterKey | None:
        """Returns the copy of an adapter, of whatever version."""
        place = self._places.get(name)
        return None if place is None else AdapterKey(*name, place.version)

    def is_warm(self, name: AdapterName) -> bool:
        """Tells whether the engine held the adapter recently."""
        return name in self._host_cache

    def ready_copies(self, now: float) -> list[AdapterKey]:
        """Returns the copies that requests can use."""
        self._complete_loads(now)
        return [
            AdapterKey(*name, place.version)
            for name, place in self._places.items()
            if place.state is PlaceState.READY
        ]

    def loading_copies(self, now: float) -> list[tuple[AdapterKey, float]]:
        """Returns the copies under way, each with the seconds left."""
        self._complete_loads(now)
        return [
            (AdapterKey(*name, place.version), max(0.0, place.ready_at - now))
            for name, place in self._places.items()
            if place.state is PlaceState.LOADING
        ]

    def loading_count(self, now: float) -> int:
        """Returns the number of copies under way."""
        return len(self.loading_copies(now))

    def free_count(self) -> int:
        """Returns the empty places."""
        return self.capacity - len(self._places)

    def choose_victim(
        self, protected: Collection[AdapterName], outdated: Collection[AdapterName], now: float
    ) -> AdapterKey | None:
        """Returns the copy to do without, or None when all are in use or just came.

        Args:
            spared: Adapters that requests use or wait for.
            outdated: Adapters whose copies are of versions that no new request may use.
            now: Time, in seconds.
        """
        self._complete_loads(now)
        idle = [
            name
            for name, place in self._places.items()
            if place.state is PlaceState.READY
            and name not in protected
            and now - place.since > MIN_RESIDENCE
        ]
        if not idle:
            return None
        name = min(idle, key=lambda name: (name not in outdated, *self._eviction_rank(name, now)))
        return AdapterKey(*name, self._places[name].version)

    def evictable_count(self, in_use: Collection[AdapterName], now: float) -> int:
        """Returns the places that are empty or could be made so."""
        ready = [key for key in self.ready_copies(now) if key.name not in in_use]
        return self.free_count() + len(ready)

    def begin_load(self, key: AdapterKey, now: float, duration: float) -> None:
        """Notes that a load was accepted and takes about so many seconds."""
        self._places[key.name] = Place(key.version, PlaceState.LOADING, now, now + duration)
        self._note_in_host_memory(key.name)

    def mark_ready(self, key: AdapterKey, now: float) -> None:
        """Notes that a copy is known to be usable."""
        self._places[key.name] = Place(key.version, PlaceState.READY, now, now)
        self._note_in_host_memory(key.name)

    def extend_load(self, name: AdapterName, now: float, delay: float) -> bool:
        """Notes that a copy that should be there is not; returns whether it may still be coming.

        A load is taken to be late for so long after the time at which it was expected; after that
        only a report can tell what became of it.
        """
        self._complete_loads(now)
        place = self._places.get(name)
        if place is None or now - place.ready_at > MAX_LOAD_DELAY:
            return False
        place.state = PlaceState.LOADING
        place.ready_at = now + delay
        return True

    def remove(self, name: AdapterName) -> None:
        """Notes that a copy has left its place."""
        self._places.pop(name, None)

    def adopt_report(
        self, loaded: Iterable[AdapterKey], loading: Iterable[AdapterKey], now: float
    ) -> None:
        """Takes over what a report shows that was sampled after the last order."""
        held_now = {key.name: key for key in loaded}
        coming = {key.name: key for key in loading if key.name not in held_now}
        for name in [name for name in self._places if name not in held_now | coming]:
            del self._places[name]
        for name, key in held_now.items():
            place = self._places.get(name)
            if place is None or place.state is not PlaceState.READY:
                self.mark_ready(key, now)
            else:
                place.version = key.version
        for name, key in coming.items():
            if name not in self._places:
                self.begin_load(key, now, 0.0)

    def _eviction_rank(self, name: AdapterName, now: float) -> tuple[float, float, AdapterName]:
        return self._rates.rate(name, now), self._used_at.get(name, 0.0), name

    def _complete_loads(self, now: float) -> None:
        for place in self._places.values():
            if place.state is PlaceState.LOADING and now >= place.ready_at:
                place.state = PlaceState.READY
                place.since = now

    def _note_in_host_memory(self, name: AdapterName) -> None:
        self._host_cache[name] = None
        self._host_cache.move_to_end(name)
        while len(self._host_cache) > self._host_limit:
            self._host_cache.popitem(last=False)
