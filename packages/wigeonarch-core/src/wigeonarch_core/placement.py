"""Where a request goes: the engines to try, in order, each with the reason.

A loaded copy that is not overloaded comes first, the nearest before others; then an engine that is
loading the adapter or about to; then the adapter's home engines by rendezvous hash, of a few of
which the one with the fewest loads to do is taken. A few homes balance the loads almost as well as
all engines would, and instances that have not heard of each other's choice still mostly agree, so
that a cold adapter is loaded once. Overloaded copies come late, as trying them still beats giving
up. Engines whose owner is out of reach come last: each try there ends at once and costs a retry,
and a burst of such tries uses up the share of retries that requests need once an owner is back.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Sequence
from typing import Final

import msgspec

from wigeonarch_core import rendezvous as homes
from wigeonarch_core.messages import EngineSummary
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.refs import AdapterVersion


class PlacementReason(enum.StrEnum):
    """Why an engine was chosen."""

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
        summary: What its owner last said; None when unknown.
        owned: Whether its owner can be asked.
    """

    engine: str
    zone: str
    leaving: bool = False
    summary: EngineSummary | None = None
    owned: bool = True


class Choice(msgspec.Struct, frozen=True):
    """An engine to try, and why."""

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
        target: Adapter version that is to serve.
        own_zone: Availability zone of the instance that asks.
        engines: Engines of the service that it knows.
        opts: Bounds of the policy.
        tried: Engines that have refused this request already.
    """
    usable = [view for view in engines if not view.leaving and view.engine not in tried]
    order = homes.ranked(str(target), [view.engine for view in usable])
    place = {engine: number for number, engine in enumerate(order)}
    near = _home_engines(order, usable, opts)

    def rank(item: tuple[EngineView, PlacementReason]) -> tuple[int, bool, float, int]:
        view, why = item
        local = why in _NEAREST_FIRST and view.zone != own_zone
        return PREFERENCE[why], local, _burden(view, why), place[view.engine]

    found = [(view, _reason_for(view, target, own_zone, near, opts)) for view in usable]
    return [Choice(view.engine, why) for view, why in sorted(found, key=rank)]


def _home_engines(
    order: Sequence[str], views: Sequence[EngineView], opts: PolicyOptions
) -> Collection[str]:
    out = {view.engine for view in views if not view.owned or _overloaded(view, opts)}
    return [engine for engine in order if engine not in out][: opts.homes]


def _burden(view: EngineView, why: PlacementReason) -> float:
    """Returns what makes one engine worse than another that was found for the same reason."""
    if view.summary is None:
        return 0.0
    return view.summary.wait if why is PlacementReason.OVERLOADED else float(view.summary.backlog)


def _reason_for(
    view: EngineView,
    target: AdapterVersion,
    own_zone: str,
    near: Collection[str],
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
    return PlacementReason.HOME if view.engine in near else PlacementReason.SPILL


def _overloaded(view: EngineView, opts: PolicyOptions) -> bool:
    return view.summary is not None and view.summary.wait > opts.overload_wait
