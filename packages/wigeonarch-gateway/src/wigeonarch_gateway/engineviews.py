"""What an instance believes of the engines' adapter places, as their holders tell.

Views are only beliefs: an engine that lacks an adapter after all refuses the request without
running it, and the view is corrected. The adapters that an engine was seen with are remembered, as
engines keep copies of them from which a load is much faster.
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

# Adapters per engine that are remembered as having been there.
MAX_SEEN_ADAPTERS: Final = 120
# Seconds within which an engine that lacks an adapter has refused a request.
TRIAL_TIME: Final = 0.008
# News are repeated every one to three seconds, so a holder without any for so long is not heard.
UPDATE_VALID: Final = 6.0  # Seconds.
NEVER: Final = float("-inf")  # Before all times.


@dataclass(slots=True)
class EngineView:
    """The places of one engine.

    Attributes:
        holder: Instance that orders it; empty when none is known.
        fence: The holder's fencing number.
        number: Number of the last news.
        heard: Time of the last news, in seconds.
        models: Base models that it holds.
        ready: Adapters that it holds, with their versions.
        loading: Adapters on their way, with the time at which they should be there.
        seen: Adapters that it was seen with, the last one at the end.
        free: Places that are empty or idle.
        orders: Whether the holder may order now.
        tried: When a copy that should just have come was first asked for.
        began: When the loads under way were first heard of.
        told: Models and adapters as its holder last told them, while `ready` is what they say.
        born: Start of the engine's incarnation; 0 when it is not known.
        load_time: Seconds of a load that must be fetched, while few others are.
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
        """Returns the adapters that it holds or that are on their way."""
        return {*self.ready, *(key.name for key in self.loading)}

    def can_serve(self, key: AdapterKey, now: float) -> bool:
        """Tells whether requests for an adapter can be sent.

        When a load should have ended, one request goes first; the others follow if it was not
        refused within the time of an answer.
        """
        name = key.name
        if self.trials and now - self.trials.get(name, NEVER) < TRIAL_TIME:
            return False
        held = self.ready.get(name)
        if held is not None and satisfies(held, key.version):
            return True
        return bool(self.loading) and self.loading.get(key, float("inf")) <= now

    def note_sending(self, key: AdapterKey, now: float) -> None:
        """Notes that a request is sent; the first one after a load is a trial."""
        if key in self.loading and key.name not in self.trials:
            self.trials[key.name] = now

    def loading_left(self, key: AdapterKey, now: float) -> float | None:
        """Returns the seconds until a load ends; None when none is under way."""
        if not self.loading:
            return None
        ready_at = self.loading.get(key)
        return None if ready_at is None else max(0.0, ready_at - now)

    def can_request_load(self, now: float) -> bool:
        """Tells whether the holder can be asked for a load."""
        return self.accepts_loads and now - self.last_update < UPDATE_VALID

    def replaces(self, key: AdapterKey) -> bool:
        """Tells whether the engine holds a version that does not serve a request."""
        held = self.ready.get(key.name)
        return held is not None and not satisfies(held, key.version)

    def is_warm(self, key: AdapterKey) -> bool:
        """Tells whether the adapter was there before."""
        return key.name in self.seen


def to_adapter(key: AdapterKey) -> Adapter:
    """Returns the form of a key in messages."""
    return (key.model, key.adapter, key.version)


def from_adapter(adapter: Adapter) -> AdapterKey:
    """Returns the key of a message's adapter."""
    return AdapterKey(*adapter)


class EngineViews:
    """Views of all engines, and the requests that wait for them to change."""

    __slots__ = ("_views", "_waiters")

    def __init__(self) -> None:
        self._views: dict[str, EngineView] = {}
        self._waiters: dict[asyncio.Future[None], str] = {}

    def get(self, endpoint: str) -> EngineView:
        """Returns the view of an engine; an empty one when nothing is known."""
        view = self._views.get(endpoint)
        if view is None:
            # Not by `setdefault`, which would make a view at each of some thousand calls a second.
            view = self._views[endpoint] = EngineView()
        return view

    def apply_update(self, update: EngineUpdate) -> None:
        """Takes over what a holder tells; news of an older holder or out of order are void.

        So are those of an earlier incarnation of the engine; the first ones of a new incarnation
        end all that is believed of the one before.
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
        # Most news repeat what is known.
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
        view.ready = {(models[place], name): version for place, name, version in update.ready}
        view.loading = {
            AdapterKey(models[place], name, version): now + ms / 1000
            for place, name, version, ms in update.loading
        }
        view.loads_began = {key.name: view.loads_began.get(key.name, now) for key in view.loading}
        # What stays is remembered as it leaves.
        for name in before ^ view.adapter_names():
            self._remember(view, name)

    def note_owner_silent(self, owner: str) -> None:
        """Notes that a holder is not heard any more: nobody can be asked for loads there."""
        for endpoint, view in self._views.items():
            if view.owner == owner:
                view.accepts_loads = False
                self.wake(endpoint)

    def take_self_description(
        self, endpoint: str, models: frozenset[str], ready: dict[AdapterName, int]
    ) -> None:
        """Takes over what an endpoint said of itself, until its holder is heard."""
        view = self.get(endpoint)
        if view.fence:
            return
        view.models = models
        view.ready = ready
        self.wake(endpoint)

    def note_missing_adapter(self, endpoint: str, key: AdapterKey, pause: float) -> None:
        """Notes that an engine refused a request for lack of an adapter."""
        view = self.get(endpoint)
        view.trials.pop(key.name, None)
        if key in view.loading:
            view.loading[key] = monotonic() + pause
        else:
            view.ready.pop(key.name, None)
            view.last_reported = None

    def loads_in_progress(self) -> int:
        """Returns the loads begun within the time that a fetch takes, over all engines.

        Loads that are late are not counted: their lateness would lengthen what is expected of the
        next ones, and with that the time for which those are counted.
        """
        now = monotonic()
        return sum(
            now - at < view.load_time
            for view in self._views.values()
            for at in view.loads_began.values()
        )

    def seen_adapters(self) -> list[tuple[str, list[AdapterName]]]:
        """Returns the adapters that each engine was seen with, to tell an instance that starts."""
        return [(endpoint, list(view.seen)) for endpoint, view in self._views.items() if view.seen]

    def add_seen_adapters(self, endpoint: str, names: list[AdapterName]) -> None:
        """Takes over what another instance saw before this one started."""
        view = self.get(endpoint)
        known = list(view.seen)
        for name in (*names, *known):
            self._remember(view, name)

    def note_restart(self, endpoint: str, born: int) -> None:
        """Forgets what was believed of an engine before its incarnation that started at `born`.

        Its holder goes on with the same numbers, so these stay.
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
        """Wakes the requests that wait for an engine, or for any; all of them without one."""
        for fut, awaited in self._waiters.items():
            if not fut.done() and (not endpoint or awaited in ("", endpoint)):
                fut.set_result(None)

    async def wait_for_change(self, timeout: float, endpoint: str = "") -> None:
        """Waits until the view of an engine, or any, changes; at most so many seconds."""
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
