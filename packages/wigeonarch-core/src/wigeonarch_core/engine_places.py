"""Adapter places of one engine, as its owner tracks them; a place holds or loads one adapter.

Only the owner sends load and unload orders to the engine, one at a time, each with the sequence
number that the engine should have reached. An order that takes effect increments the engine's
number, and the engine checks the number when it executes an order. So an order whose response was
lost can take effect only before the next order does, never after it. After a lost response the
owner reads the engine's report and continues from there; until then, places of unknown state count
as taken.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from wigeonarch_core.rates import DecayedCounts

RATE_HALF_LIFE: Final = 12.0  # Seconds; the adapters in demand change within several half-lives.
MAX_RATES: Final = 4000  # Adapters whose rate of use is remembered.
# Seconds that a load may be late before its state must be read from a report.
MAX_LOAD_DELAY: Final = 0.5
# Seconds that a copy stays after its load, as the request that needs it is still on its way.
MIN_RESIDENCE: Final = 0.4
# Seconds after a use was noted within which the instance that uses the copy reports it as in use,
# for as long as the use lasts. Until then the copy counts as in use.
USE_REPORTED_WITHIN: Final = 1.2
# Seconds after which an unload that was accepted counts as lost if the copy is still held.
MAX_UNLOAD_TIME: Final = 30.0


AdapterName = tuple[str, str]


class AdapterKey(msgspec.Struct, frozen=True, order=True):
    """A version of an adapter of a base model.

    In a load request, version 0 means any version; in a copy, it means that the version is unknown.
    """

    model: str
    adapter: str
    version: int

    @property
    def name(self) -> AdapterName:
        """Returns the model and adapter names."""
        return (self.model, self.adapter)


def satisfies(held_version: int, wanted_version: int) -> bool:
    """Tells whether a copy of one version serves a request for another; 0 requests any version."""
    return wanted_version in (0, held_version)


class PlaceState(enum.Enum):
    """State of a place that is taken."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"  # As soon as the requests that use it have ended.


@dataclass(slots=True)
class Place:
    """A place that is taken.

    Attributes:
        version: Version of the copy; 0 if unknown.
        state: Whether the copy is being loaded, can be used, or is being unloaded.
        since: Time of the last state change, in seconds.
        ready_at: Time from which the copy is expected to be usable, in seconds.
    """

    version: int
    state: PlaceState
    since: float
    ready_at: float


class AdapterPlaces:
    """The adapter places of one engine.

    Attributes:
        capacity: Adapters that fit, including those being loaded.
    """

    __slots__ = ("_host_cache", "_host_limit", "_places", "_rates", "_used_at", "capacity")

    def __init__(self, capacity: int, host_limit: int) -> None:
        """Starts with all places empty.

        Args:
            capacity: Adapters that fit, including those being loaded.
            host_limit: Adapters that the engine keeps in host memory, from where a load is faster.
        """
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
        """Tells whether a matching copy is loaded or being loaded."""
        place = self._places.get(key.name)
        if place is None or place.state is PlaceState.UNLOADING:
            return False
        return satisfies(place.version, key.version)

    def is_ready(self, key: AdapterKey, now: float) -> bool:
        """Tells whether a matching copy can be used."""
        self._complete_loads(now)
        place = self._places.get(key.name)
        return self.holds(key) and place is not None and place.state is PlaceState.READY

    def copy_of(self, name: AdapterName) -> AdapterKey | None:
        """Returns the copy of an adapter, of any version; None if there is none."""
        place = self._places.get(name)
        return None if place is None else AdapterKey(*name, place.version)

    def is_warm(self, name: AdapterName) -> bool:
        """Tells whether the engine held the adapter recently, so that a load is faster."""
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
        """Returns the copies being loaded, each with the seconds left."""
        self._complete_loads(now)
        return [
            (AdapterKey(*name, place.version), max(0.0, place.ready_at - now))
            for name, place in self._places.items()
            if place.state is PlaceState.LOADING
        ]

    def loading_count(self, now: float) -> int:
        """Returns the number of copies being loaded."""
        return len(self.loading_copies(now))

    def free_count(self) -> int:
        """Returns the number of empty places."""
        return self.capacity - len(self._places)

    def choose_victim(
        self, protected: Collection[AdapterName], outdated: Collection[AdapterName], now: float
    ) -> AdapterKey | None:
        """Returns the copy to evict, or None if all copies may be in use or were loaded just now.

        Outdated copies go first, then those of the adapters that are used least.

        Args:
            protected: Adapters that requests use or wait for.
            outdated: Adapters whose copies are of versions that no new request may use.
            now: Current time, in seconds.
        """
        self._complete_loads(now)
        idle = [
            name
            for name, place in self._places.items()
            if place.state is PlaceState.READY
            and name not in protected
            and not self._may_be_in_use(name, now)
            and now - place.since > MIN_RESIDENCE
        ]
        if not idle:
            return None
        name = min(idle, key=lambda name: (name not in outdated, *self._eviction_rank(name, now)))
        return AdapterKey(*name, self._places[name].version)

    def evictable_count(self, in_use: Collection[AdapterName], now: float) -> int:
        """Returns the number of places that are empty or hold an adapter not in use."""
        idle = [
            key
            for key in self.ready_copies(now)
            if key.name not in in_use and not self._may_be_in_use(key.name, now)
        ]
        return self.free_count() + len(idle)

    def begin_unload(self, name: AdapterName, now: float) -> None:
        """Notes that the engine unloads a copy once the requests that use it have ended."""
        place = self._places.get(name)
        if place is not None:
            place.state = PlaceState.UNLOADING
            place.since = now

    def is_unloading(self, now: float) -> bool:
        """Tells whether the engine waits for requests to end before it unloads their adapter."""
        for place in self._places.values():
            if place.state is PlaceState.UNLOADING and now - place.since > MAX_UNLOAD_TIME:
                place.state = PlaceState.READY
                place.since = now
        return any(place.state is PlaceState.UNLOADING for place in self._places.values())

    def begin_load(self, key: AdapterKey, now: float, duration: float) -> None:
        """Notes that the engine accepted a load that takes about `duration` seconds."""
        self._places[key.name] = Place(key.version, PlaceState.LOADING, now, now + duration)
        self._note_in_host_memory(key.name)

    def mark_ready(self, key: AdapterKey, now: float) -> None:
        """Notes that a copy is known to be usable."""
        self._places[key.name] = Place(key.version, PlaceState.READY, now, now)
        self._note_in_host_memory(key.name)

    def extend_load(self, name: AdapterName, now: float, delay: float) -> bool:
        """Notes that a copy is later than expected; returns whether it may still be loading.

        A load counts as late until `MAX_LOAD_DELAY` after its expected end; then only a report can
        show what became of it.

        Args:
            name: The adapter.
            now: Current time, in seconds.
            delay: Seconds from now until the copy is expected.
        """
        self._complete_loads(now)
        place = self._places.get(name)
        if place is None or place.state is PlaceState.UNLOADING:
            return False
        if now - place.ready_at > MAX_LOAD_DELAY:
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
        """Adopts the state in a report that was sampled after the last order."""
        held = {key.name: key for key in loaded}
        coming = {key.name: key for key in loading if key.name not in held}
        for name in [name for name in self._places if name not in held | coming]:
            del self._places[name]
        for name, key in held.items():
            place = self._places.get(name)
            if place is None or place.state is PlaceState.LOADING:
                self.mark_ready(key, now)
            else:
                place.version = key.version
        for name, key in coming.items():
            if name not in self._places:
                self.begin_load(key, now, 0.0)

    def _may_be_in_use(self, name: AdapterName, now: float) -> bool:
        """Tells whether a copy was used so lately that nobody had to report the use yet."""
        return now - self._used_at.get(name, float("-inf")) < USE_REPORTED_WITHIN

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
