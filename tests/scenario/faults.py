"""Steps that inject faults: in stand-ins, on links, and by endpoints that leave."""

from __future__ import annotations

from typing import Any

from wigeonarch_fakes.processes import call as http_call

from scenario.programs import put_on_list
from scenario.world import PLATFORM, World


def fault(world: World, names: str, **faults: Any) -> None:
    """Sets faults in stand-ins; `null` clears one. A list is written with commas."""
    lists = {"blocked_callers"}
    doc = {k: v.split(",") if k in lists and isinstance(v, str) else v for k, v in faults.items()}
    for name in world.names(names):
        world.dep.set_faults(name, **doc)


def leaving(world: World, names: str, by: str) -> None:
    """Marks endpoints as leaving, by the platform's `list` or by their own `report`."""
    for name in world.names(names):
        if by == "list":
            world.listed[name]["state"] = "leaving"
            put_on_list(world, name)
            continue
        assert by == "report", "by=list or by=report"
        address = world.program(name).address
        assert http_call("POST", f"{address}/_control/leaving", {"leaving": True})[0] == 200


def unlist(world: World, names: str) -> None:
    """Removes endpoints from the platform's list."""
    platform = world.program(PLATFORM).address
    for name in world.names(names):
        assert http_call("DELETE", f"{platform}/v1/instances/{name}")[0] == 200


def cut(world: World, callers: str, targets: str) -> None:
    """Resets all present and new connections of instances (`all` for any caller) to programs."""
    _set_links(world, "cut", callers, targets)


def swallow(world: World, callers: str, targets: str) -> None:
    """Drops all bytes from now on; connections stay open, and new ones are accepted."""
    _set_links(world, "swallow", callers, targets)


def swallow_open(world: World, callers: str, targets: str) -> None:
    """Drops all bytes of the connections that are open now, for good; new connections work."""
    _set_links(world, "swallow_open", callers, targets)


def heal(world: World, callers: str, targets: str) -> None:
    """Lets new connections work again."""
    _set_links(world, "pass", callers, targets)


def part(world: World, some: str, others: str) -> None:
    """Cuts instances, zones or the platform off from each other, both ways."""
    _both_ways(world, "cut", some, others)


def join(world: World, some: str, others: str) -> None:
    """Undoes a `part`."""
    _both_ways(world, "pass", some, others)


def delay(world: World, targets: str, ms: float) -> None:
    """Delays the bytes to and from programs by `ms` milliseconds each way."""
    for name in _link_names(world, "all", targets):
        world.network.delay(name, ms)


def _both_ways(world: World, mode: Any, some: str, others: str) -> None:
    for callers, targets in ((some, others), (others, some)):
        if world.entries(callers):
            _set_links(world, mode, callers, targets)


def _set_links(world: World, mode: Any, callers: str, targets: str) -> None:
    assert world.linked, "a deployment whose links can break begins with the step `links`"
    sources = [] if callers == "all" else [world.source(each) for each in world.entries(callers)]
    assert sources or callers == "all", f"no instance among {callers!r}"
    for name in _link_names(world, callers, targets):
        world.network.set(name, mode, sources)


def _link_names(world: World, callers: str, targets: str) -> list[str]:
    """Returns the names of the links to programs; each instance has its own to the platform."""
    instances = world.entries("entries" if callers == "all" else callers)
    links: list[str] = []
    for name in world.names(targets):
        links += [f"{PLATFORM}<{each}" for each in instances] if name == PLATFORM else [name]
    return links
