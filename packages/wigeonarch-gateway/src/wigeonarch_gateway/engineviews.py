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
from wigeonarch_core.load_pace import COLD_LOAD
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.messages import Adapter, PlacesNews

# Adapters per engine that are remembered as having been there.
REMEMBERED: Final = 120
# Seconds within which an engine that lacks an adapter has refused a request.
TRIAL: Final = 0.008
# News are repeated every one to three seconds, so a holder without any for so long is not heard.
NEWS_VALID: Final = 6.0  # Seconds.
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

    holder: str = ""
    fence: int = 0
    number: int = 0
    heard: float = NEVER
    models: frozenset[str] = frozenset()
    ready: dict[AdapterName, int] = field(default_factory=dict)
    loading: dict[AdapterKey, float] = field(default_factory=dict)
    free: int = 0
    orders: bool = False
    seen: OrderedDict[AdapterName, None] = field(default_factory=OrderedDict)
    tried: dict[AdapterName, float] = field(default_factory=dict)
    began: dict[AdapterName, float] = field(default_factory=dict)
    told: tuple[list[str], list[tuple[int, str, int]]] | None = None
    born: int = 0
    load_time: float = COLD_LOAD

    def names(self) -> set[AdapterName]:
        """Returns the adapters that it holds or that are on their way."""
        return {*self.ready, *(key.name for key in self.loading)}

    def holds(self, key: AdapterKey, now: float) -> bool:
        """Tells whether requests for an adapter can be sent.

        When a load should have ended, one request goes first; the others follow if it was not
        refused within the time of an answer.
        """
        name = key.name
        if self.tried and now - self.tried.get(name, NEVER) < TRIAL:
            return False
        held = self.ready.get(name)
        if held is not None and satisfies(held, key.version):
            return True
        return bool(self.loading) and self.loading.get(key, float("inf")) <= now

    def sending(self, key: AdapterKey, now: float) -> None:
        """Notes that a request is sent; the first one after a load is a trial."""
        if key in self.loading and key.name not in self.tried:
            self.tried[key.name] = now

    def loading_left(self, key: AdapterKey, now: float) -> float | None:
        """Returns the seconds until a load ends; None when none is under way."""
        if not self.loading:
            return None
        ready_at = self.loading.get(key)
        return None if ready_at is None else max(0.0, ready_at - now)

    def loadable(self, now: float) -> bool:
        """Tells whether the holder can be asked for a load."""
        return self.orders and now - self.heard < NEWS_VALID

    def replaces(self, key: AdapterKey) -> bool:
        """Tells whether the engine holds a version that does not serve a request."""
        held = self.ready.get(key.name)
        return held is not None and not satisfies(held, key.version)

    def warm(self, key: AdapterKey) -> bool:
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

    def news(self, news: PlacesNews) -> None:
        """Takes over what a holder tells; news of an older holder or out of order are void.

        So are those of an earlier incarnation of the engine; the first ones of a new incarnation
        end all that is believed of the one before.
        """
        view = self.get(news.endpoint)
        if news.born < view.born or (news.fence, news.number) <= (view.fence, view.number):
            return
        if view.born:
            self.restarted(news.endpoint, news.born)
            view = self.get(news.endpoint)
        view.born = news.born
        now = monotonic()
        view.holder = news.sender
        view.fence = news.fence
        view.number = news.number
        view.heard = now
        # Most news repeat what is known.
        if news.loading or view.loading or view.told != (news.models, news.ready):
            self._take_places(view, news, now)
        if view.tried:
            view.tried = {name: at for name, at in view.tried.items() if now - at < TRIAL}
        view.free = news.free
        view.orders = news.orders
        view.load_time = news.load_ms / 1000 or COLD_LOAD
        self.wake(news.endpoint)

    def _take_places(self, view: EngineView, news: PlacesNews, now: float) -> None:
        models = news.models
        before = view.names()
        view.told = (models, news.ready)
        view.models = frozenset(models)
        view.ready = {(models[place], name): version for place, name, version in news.ready}
        view.loading = {
            AdapterKey(models[place], name, version): now + ms / 1000
            for place, name, version, ms in news.loading
        }
        view.began = {key.name: view.began.get(key.name, now) for key in view.loading}
        # What stays is remembered as it leaves.
        for name in before ^ view.names():
            self._remember(view, name)

    def unheard(self, holder: str) -> None:
        """Notes that a holder is not heard any more: nobody can be asked for loads there."""
        for endpoint, view in self._views.items():
            if view.holder == holder:
                view.orders = False
                self.wake(endpoint)

    def first_seen(
        self, endpoint: str, models: frozenset[str], ready: dict[AdapterName, int]
    ) -> None:
        """Takes over what an endpoint said of itself, until its holder is heard."""
        view = self.get(endpoint)
        if view.fence:
            return
        view.models = models
        view.ready = ready
        self.wake(endpoint)

    def refuted(self, endpoint: str, key: AdapterKey, pause: float) -> None:
        """Notes that an engine refused a request for lack of an adapter."""
        view = self.get(endpoint)
        view.tried.pop(key.name, None)
        if key in view.loading:
            view.loading[key] = monotonic() + pause
        else:
            view.ready.pop(key.name, None)
            view.told = None

    def loads_under_way(self) -> int:
        """Returns the loads begun within the time that a fetch takes, over all engines.

        Loads that are late are not counted: their lateness would lengthen what is expected of the
        next ones, and with that the time for which those are counted.
        """
        now = monotonic()
        return sum(
            now - at < view.load_time for view in self._views.values() for at in view.began.values()
        )

    def remembered(self) -> list[tuple[str, list[AdapterName]]]:
        """Returns the adapters that each engine was seen with, to tell an instance that starts."""
        return [(endpoint, list(view.seen)) for endpoint, view in self._views.items() if view.seen]

    def remember(self, endpoint: str, names: list[AdapterName]) -> None:
        """Takes over what another instance saw before this one started."""
        view = self.get(endpoint)
        known = list(view.seen)
        for name in (*names, *known):
            self._remember(view, name)

    def restarted(self, endpoint: str, born: int) -> None:
        """Forgets what was believed of an engine before its incarnation that started at `born`.

        Its holder goes on with the same numbers, so these stay.
        """
        old = self.get(endpoint)
        if old.born >= born:
            return
        self._views[endpoint] = EngineView(
            holder=old.holder, fence=old.fence, number=old.number, born=born
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

    async def change(self, timeout: float, endpoint: str = "") -> None:
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
        while len(view.seen) > REMEMBERED:
            view.seen.popitem(last=False)
