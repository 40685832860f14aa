"""Order in which a request tries engines, with a reason for each engine.

1. Engines that hold the adapter and are not overloaded, the nearest first.
2. Engines that are loading the adapter or about to.
3. The adapter's home engines, which are the first ones by rendezvous hash; of these, the one with
   the fewest loads to do comes first.
4. The other engines that are not overloaded.
5. Overloaded engines, as trying them is still better than giving up.
6. Engines whose owner is unreachable: a try there fails at once and costs a retry, and a burst of
   such tries uses up the retries that requests need once the engine has an owner again.

A few home engines balance the loads almost as well as all engines would. Instances that don't know
of each other's choices yet still mostly agree, so a cold adapter is loaded only once.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Sequence
from typing import Final

import msgspec

from wigeonarch_core import rendezvous
from wigeonarch_core.messages import EngineSummary
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.refs import AdapterVersion


class PlacementReason(enum.StrEnum):
    """Why an engine was chosen; the members are in order of preference."""

    LOADED = "loaded"
    LOADED_OTHER_ZONE = "loaded_other_zone"
    COMING = "coming"
    HOME = "home"
    SPILL = "spill"
    OVERLOADED = "overloaded"
    UNOWNED = "unowned"


class EngineView(msgspec.Struct, frozen=True):
    """What an instance knows of an engine that can serve a request's service.

    Attributes:
        engine: Name of the engine.
        zone: Its availability zone.
        leaving: Whether it takes no new work.
        summary: Last summary from its owner; None if unknown.
        owned: Whether it has an owner that can be reached.
    """

    engine: str
    zone: str
    leaving: bool = False
    summary: EngineSummary | None = None
    owned: bool = True


class Choice(msgspec.Struct, frozen=True):
    """An engine to try, and the reason."""

    engine: str
    why: PlacementReason


PREFERENCE: Final[dict[PlacementReason, int]] = {
    why: number for number, why in enumerate(PlacementReason)
}
_NEAREST_FIRST: Final = frozenset(
    {PlacementReason.LOADED, PlacementReason.COMING, PlacementReason.OVERLOADED}
)


def choose_engines(
    target: AdapterVersion,
    own_zone: str,
    engines: Sequence[EngineView],
    opts: PolicyOptions,
    tried: Collection[str] = (),
) -> list[Choice]:
    """Returns the engines to try, best first.

    Args:
        target: Adapter version that is to serve the request.
        own_zone: Availability zone of this instance.
        engines: Known engines of the service.
        opts: Settings of the policy.
        tried: Engines that have already refused this request.
    """
    usable = [view for view in engines if not view.leaving and view.engine not in tried]
    order = rendezvous.ranked(str(target), [view.engine for view in usable])
    position = {engine: number for number, engine in enumerate(order)}
    home_engines = _home_engines(order, usable, opts)

    def rank(item: tuple[EngineView, PlacementReason]) -> tuple[int, bool, float, int]:
        view, why = item
        distant = why in _NEAREST_FIRST and view.zone != own_zone
        return PREFERENCE[why], distant, _burden(view, why), position[view.engine]

    found = [(view, _reason_for(view, target, own_zone, home_engines, opts)) for view in usable]
    return [Choice(view.engine, why) for view, why in sorted(found, key=rank)]


def _home_engines(
    order: Sequence[str], views: Sequence[EngineView], opts: PolicyOptions
) -> Collection[str]:
    excluded = {view.engine for view in views if not view.owned or _overloaded(view, opts)}
    return [engine for engine in order if engine not in excluded][: opts.homes]


def _burden(view: EngineView, why: PlacementReason) -> float:
    """Returns the cost that orders engines with the same reason; lower is better."""
    if view.summary is None:
        return 0.0
    return view.summary.wait if why is PlacementReason.OVERLOADED else float(view.summary.backlog)


def _reason_for(
    view: EngineView,
    target: AdapterVersion,
    own_zone: str,
    home_engines: Collection[str],
    opts: PolicyOptions,
) -> PlacementReason:
    if not view.owned:
        return PlacementReason.UNOWNED
    if _overloaded(view, opts):
        return PlacementReason.OVERLOADED
    if view.summary is not None and target in view.summary.loaded:
        return (
            PlacementReason.LOADED if view.zone == own_zone else PlacementReason.LOADED_OTHER_ZONE
        )
    if view.summary is not None and target in view.summary.coming:
        return PlacementReason.COMING
    return PlacementReason.HOME if view.engine in home_engines else PlacementReason.SPILL


def _overloaded(view: EngineView, opts: PolicyOptions) -> bool:
    return view.summary is not None and view.summary.wait > opts.overload_wait
