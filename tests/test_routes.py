"""Lookup of routes, and the traffic split of a route."""

from __future__ import annotations

from collections import Counter

import pytest
from wigeonarch_core.routes import (
    ClientLimits,
    Route,
    RouteKind,
    RoutingTable,
    WeightedService,
    pick_service,
)

LIMITS = ClientLimits(16384, 1 << 20, 15.0)


def route(name: str, host: str, prefix: str, *split: WeightedService) -> Route:
    shares = split or (WeightedService("s", 1),)
    return Route(name, host, prefix, RouteKind.IDEMPOTENT, shares, 2, 1.0, 0.3, 0)


TABLE = RoutingTable(
    3,
    [
        route("root", "x.example", "/"),
        route("a", "x.example", "/a/"),
        route("ab", "x.example", "/a/b/"),
        route("other", "y.example", "/a/"),
    ],
    [],
    LIMITS,
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("x.example", "/a/b/c", "ab"),
        ("x.example", "/a/b/", "ab"),
        ("x.example", "/a/b", "a"),  # The prefix `/a/b/` ends with a slash, so it does not match.
        ("x.example", "/ab/", "root"),
        ("x.example", "/", "root"),
        ("X.Example:8080", "/a/x", "a"),
        ("y.example", "/a/b/c", "other"),
        ("y.example", "/", None),
        ("z.example", "/a/", None),
        ("x.example", "", None),
        ("x.example", "*", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host: str, path: str, expected: str | None) -> None:
    found = TABLE.find(host, path)
    assert (found.name if found else None) == expected


def test_a_split_follows_its_weights() -> None:
    split = route(
        "s",
        "x",
        "/",
        WeightedService("old", 90),
        WeightedService("none", 0),
        WeightedService("new", 10),
    )
    drawn = Counter(pick_service(split, number / 1000) for number in range(1000))
    assert drawn == {"old": 900, "new": 100}


def test_the_last_service_gets_the_rounding_error() -> None:
    split = route("s", "x", "/", WeightedService("a", 1), WeightedService("b", 2))
    assert pick_service(split, 0.9999999999999999) == "b"
