"""Which adapters an engine is remembered to have held."""

from __future__ import annotations

import pytest
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_gateway.engineviews import REMEMBERED, EngineViews
from wigeonarch_gateway.messages import PlacesNews


def news(number: int, ready: list[str], loading: list[str]) -> PlacesNews:
    return PlacesNews(
        sender="h",
        endpoint="i-1",
        fence=1,
        number=number,
        models=["m"],
        ready=[(0, name, 1) for name in ready],
        loading=[(0, name, 1, 100) for name in loading],
        free=0,
        orders=True,
    )


@pytest.mark.parametrize(
    ("told", "warm"),
    [
        ([(["a"], [])], {"a"}),
        ([([], ["a"]), (["a"], []), ([], [])], {"a"}),
        ([(["a"], []), ([], ["b"]), (["b"], [])], {"a", "b"}),
        ([], set()),
    ],
)
def test_what_an_engine_was_seen_with(
    told: list[tuple[list[str], list[str]]], warm: set[str]
) -> None:
    views = EngineViews()
    for number, (ready, loading) in enumerate(told, 1):
        views.news(news(number, ready, loading))
    view = views.get("i-1")
    assert {name for name in "abc" if view.warm(AdapterKey("m", name, 1))} == warm


def test_what_leaves_after_a_long_stay_is_the_last_to_be_forgotten() -> None:
    views = EngineViews()
    for number in range(1, 2 * REMEMBERED):
        views.news(news(number, ["stays", f"a{number}"], []))
    views.news(news(2 * REMEMBERED, [], []))
    view = views.get("i-1")
    assert view.warm(AdapterKey("m", "stays", 1))
    assert len(view.seen) == REMEMBERED
    assert not view.warm(AdapterKey("m", "a1", 1))


def test_the_same_view_is_returned_each_time() -> None:
    views = EngineViews()
    assert views.get("i-1") is views.get("i-1")
