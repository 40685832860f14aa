"""This instance's view of the adapter places of each engine, from the updates of their owners.

A view may be wrong. An engine that lacks an adapter after all refuses the request without running
it, and the view is corrected. Adapters that an engine has had loaded are remembered, because the
engine keeps copies of them from which a load is much faster.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.engine_places import AdapterKey, AdapterName, satisfies
from wigeonarch_core.load_time import COLD_LOAD
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.messages import Adapter, EngineUpdate

# Number of adapters remembered for each engine as having been loaded.
MAX_SEEN_ADAPTERS: Final = 120
# Seconds within which an engine that lacks an adapter refuses a request.
TRIAL_TIME: Final = 0.008
# Seconds for which an update is valid. Updates are repeated every one to three seconds, so an owner
# without any for so long is unreachable.
UPDATE_VALID: Final = 6.0
NEVER: Final = float("-inf")  # Before all times.


@dataclass(slots=True)
class EngineView:
    """The adapter places of one engine.

    Attributes:
        owner: Instance that gives it orders; empty if unknown.
        fence: The owner's fencing token.
        update_number: Sequence number of the last update.
        last_update: Time of the last update, in seconds.
        models: Base models that are loaded.
        ready: Adapters that are loaded, with their versions.
        loading: Adapters being loaded, with the times at which the loads should end.
        free_places: Places that are empty or whose adapter is not in use.
        accepts_loads: Whether the owner may give orders now.
        seen: Adapters that it has had loaded, the latest at the end.
        trials: Times at which the first request for an adapter was dispatched after its load should
            have ended.
        loads_began: Times at which the loads in progress became known.
        last_reported: Models and adapters of the owner's last update; None if `ready` was changed
            since.
        born: Start time of the engine's incarnation; 0 if unknown.
        load_time: Seconds that a load takes which must be fetched while few others are in progress.
    """

    owner: str = ""
    fence: int = 0
    update_number: int = 0
    last_update: float = NEVER
    models: frozenset[str] = frozenset()
    ready: dict[AdapterName, int] = field(default_factory=dict)
    loading: dict[AdapterKey, float] = field(default_factory=dict)
    free_places: int = 0
    accepts_loads: bool = False
    seen: OrderedDict[AdapterName, None] = field(default_factory=OrderedDict)
    trials: dict[AdapterName, float] = field(default_factory=dict)
    loads_began: dict[AdapterName, float] = field(default_factory=dict)
    last_reported: tuple[list[str], list[tuple[int, str, int]]] | None = None
    born: int = 0
    load_time: float = COLD_LOAD

    def adapter_names(self) -> set[AdapterName]:
        """Returns the adapters that are loaded or being loaded."""
        return {*self.ready, *(key.name for key in self.loading)}

    def can_serve(self, key: AdapterKey, now: float) -> bool:
        """Tells whether requests for an adapter can be dispatched.

        When a load should have ended, one request is dispatched as a trial. The others follow if
        the engine has not refused it within `TRIAL_TIME`.
        """
        name = key.name
        if self.trials and now - self.trials.get(name, NEVER) < TRIAL_TIME:
            return False
        version = self.ready.get(name)
        if version is not None and satisfies(version, key.version):
            return True
        return bool(self.loading) and self.loading.get(key, float("inf")) <= now

    def note_sending(self, key: AdapterKey, now: float) -> None:
        """Notes that a request is dispatched; the first one after a load is a trial."""
        if key in self.loading and key.name not in self.trials:
            self.trials[key.name] = now

    def loading_left(self, key: AdapterKey, now: float) -> float | None:
        """Returns the seconds until an adapter's load ends; None if it is not being loaded."""
        if not self.loading:
            return None
        ready_at = self.loading.get(key)
        return None if ready_at is None else max(0.0, ready_at - now)

    def can_request_load(self, now: float) -> bool:
        """Tells whether the owner can be asked for a load."""
        return self.accepts_loads and now - self.last_update < UPDATE_VALID

    def replaces(self, key: AdapterKey) -> bool:
        """Tells whether a load would replace another version that doesn't satisfy the request."""
        version = self.ready.get(key.name)
        return version is not None and not satisfies(version, key.version)

    def is_warm(self, key: AdapterKey) -> bool:
        """Tells whether the engine has had the adapter loaded, so that a load is fast."""
        return key.name in self.seen


def to_adapter(key: AdapterKey) -> Adapter:
    """Returns an adapter key as it is sent in messages."""
    return (key.model, key.adapter, key.version)


def from_adapter(adapter: Adapter) -> AdapterKey:
    """Returns the adapter key for an adapter in a message."""
    return AdapterKey(*adapter)


UNKNOWN_ENGINE: Final = EngineView()  # Of which nothing is known; never changed.


class EngineViews:
    """Views of all engines, and the requests that wait for them to change."""

    __slots__ = ("_views", "_waiters")

    def __init__(self) -> None:
        self._views: dict[str, EngineView] = {}
        self._waiters: dict[asyncio.Future[None], str] = {}

    def get(self, endpoint: str) -> EngineView:
        """Returns the view of an engine; an empty one if nothing is known of it."""
        view = self._views.get(endpoint)
        if view is None:
            # `setdefault` would create a view in each of some thousand calls per second.
            view = self._views[endpoint] = EngineView()
        return view

    def peek(self, endpoint: str) -> EngineView:
        """Returns the view of an engine to read from, without beginning one."""
        return self._views.get(endpoint, UNKNOWN_ENGINE)

    def apply_update(self, update: EngineUpdate) -> None:
        """Applies an update of an engine's owner.

        Updates of an earlier owner, out of order, or of an earlier incarnation of the engine are
        ignored. The first update of a new incarnation discards all that was known of the one
        before.
        """
        view = self.get(update.endpoint)
        if update.born < view.born or (update.fence, update.number) <= (
            view.fence,
            view.update_number,
        ):
            return
        if view.born:
            self.note_restart(update.endpoint, update.born)
            view = self.get(update.endpoint)
        view.born = update.born
        now = monotonic()
        view.owner = update.sender
        view.fence = update.fence
        view.update_number = update.number
        view.last_update = now
        # Most updates repeat what is known.
        if update.loading or view.loading or view.last_reported != (update.models, update.ready):
            self._take_places(view, update, now)
        if view.trials:
            view.trials = {name: at for name, at in view.trials.items() if now - at < TRIAL_TIME}
        view.free_places = update.free_places
        view.accepts_loads = update.accepts_loads
        view.load_time = update.load_ms / 1000 or COLD_LOAD
        self.wake(update.endpoint)

    def _take_places(self, view: EngineView, update: EngineUpdate, now: float) -> None:
        models = update.models
        before = view.adapter_names()
        view.last_reported = (models, update.ready)
        view.models = frozenset(models)
        view.ready = {(models[index], name): version for index, name, version in update.ready}
        view.loading = {
            AdapterKey(models[index], name, version): now + ms / 1000
            for index, name, version, ms in update.loading
        }
        view.loads_began = {key.name: view.loads_began.get(key.name, now) for key in view.loading}
        # An adapter that stays is remembered when it is unloaded.
        for name in before ^ view.adapter_names():
            self._remember(view, name)

    def note_owner_silent(self, owner: str) -> None:
        """Notes that an owner is unreachable, so its engines can't be asked for loads."""
        for endpoint, view in self._views.items():
            if view.owner == owner:
                view.accepts_loads = False
                self.wake(endpoint)

    def take_self_description(
        self, endpoint: str, models: frozenset[str], ready: dict[AdapterName, int]
    ) -> None:
        """Applies an endpoint's own description, which counts until its owner sends an update."""
        view = self.get(endpoint)
        if view.fence:
            return
        view.models = models
        view.ready = ready
        self.wake(endpoint)

    def note_missing_adapter(self, endpoint: str, key: AdapterKey, pause: float) -> None:
        """Notes that an engine refused a request because it lacks an adapter.

        Args:
            endpoint: The engine.
            key: The adapter.
            pause: Seconds until a load that is late is expected to end.
        """
        view = self.get(endpoint)
        view.trials.pop(key.name, None)
        if key in view.loading:
            view.loading[key] = monotonic() + pause
        else:
            view.ready.pop(key.name, None)
            view.last_reported = None

    def loads_in_progress(self) -> int:
        """Returns the number of loads on all engines that began within the duration of a cold load.

        Late loads are not counted. Their delay would lengthen the expected duration of the next
        loads, and thereby the time for which those are counted.
        """
        now = monotonic()
        return sum(
            now - at < view.load_time
            for view in self._views.values()
            for at in view.loads_began.values()
        )

    def seen_adapters(self) -> list[tuple[str, list[AdapterName]]]:
        """Returns the adapters that each engine has had loaded, for a starting instance."""
        return [(endpoint, list(view.seen)) for endpoint, view in self._views.items() if view.seen]

    def add_seen_adapters(self, endpoint: str, names: list[AdapterName]) -> None:
        """Adds adapters that another instance saw on an engine before this one started."""
        view = self.get(endpoint)
        known = list(view.seen)
        for name in (*names, *known):
            self._remember(view, name)

    def note_restart(self, endpoint: str, born: int) -> None:
        """Discards what was known of an engine before its incarnation that started at `born`.

        The owner, its fencing token and the update number stay, because the owner continues to
        count from them.
        """
        old = self.get(endpoint)
        if old.born >= born:
            return
        self._views[endpoint] = EngineView(
            owner=old.owner, fence=old.fence, update_number=old.update_number, born=born
        )
        self.wake(endpoint)

    def forget(self, endpoint: str) -> None:
        """Forgets an engine that is gone."""
        self._views.pop(endpoint, None)
        self.wake()

    def wake(self, endpoint: str = "") -> None:
        """Wakes the requests that wait for an engine or for any; all requests if none is given."""
        for fut, awaited in self._waiters.items():
            if not fut.done() and (not endpoint or awaited in ("", endpoint)):
                fut.set_result(None)

    async def wait_for_change(self, timeout: float, endpoint: str = "") -> None:
        """Waits until the view of an engine changes, or of any engine without one.

        Args:
            timeout: Seconds to wait at most.
            endpoint: The engine; empty for any.
        """
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[fut] = endpoint
        try:
            async with asyncio.timeout(timeout):
                await fut
        except TimeoutError:
            pass
        finally:
            del self._waiters[fut]

    def _remember(self, view: EngineView, name: AdapterName) -> None:
        view.seen[name] = None
        view.seen.move_to_end(name)
        while len(view.seen) > MAX_SEEN_ADAPTERS:
            view.seen.popitem(last=False)
