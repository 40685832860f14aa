"""Which adapters an engine is remembered to have held."""

from __future__ import annotations

import pytest
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_gateway.engineviews import MAX_SEEN_ADAPTERS, EngineViews
from wigeonarch_gateway.messages import EngineUpdate


def news(number: int, ready: list[str], loading: list[str]) -> EngineUpdate:
    return EngineUpdate(
        sender="h",
        endpoint="i-1",
        fence=1,
        number=number,
        models=["m"],
        ready=[(0, name, 1) for name in ready],
        loading=[(0, name, 1, 100) for name in loading],
        free_places=0,
        accepts_loads=True,
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
        views.apply_update(news(number, ready, loading))
    view = views.get("i-1")
    assert {name for name in "abc" if view.is_warm(AdapterKey("m", name, 1))} == warm


def test_what_leaves_after_a_long_stay_is_the_last_to_be_forgotten() -> None:
    views = EngineViews()
    for number in range(1, 2 * MAX_SEEN_ADAPTERS):
        views.apply_update(news(number, ["stays", f"a{number}"], []))
    views.apply_update(news(2 * MAX_SEEN_ADAPTERS, [], []))
    view = views.get("i-1")
    assert view.is_warm(AdapterKey("m", "stays", 1))
    assert len(view.seen) == MAX_SEEN_ADAPTERS
    assert not view.is_warm(AdapterKey("m", "a1", 1))


def test_the_same_view_is_returned_each_time() -> None:
    views = EngineViews()
    assert views.get("i-1") is views.get("i-1")


KEY = AdapterKey("m", "a", 1)


def test_news_that_repeat_what_is_known_bring_back_what_an_engine_refused() -> None:
    views = EngineViews()
    views.apply_update(news(1, ["a"], []))
    views.note_missing_adapter("i-1", KEY, 0.0)
    assert not views.get("i-1").can_serve(KEY, 0.0)
    views.apply_update(news(2, ["a"], []))
    assert views.get("i-1").can_serve(KEY, 0.0)


@pytest.mark.parametrize("known", [["a"], []])
def test_news_that_repeat_what_is_known_end_loads_that_are_told_no_more(known: list[str]) -> None:
    views = EngineViews()
    views.apply_update(news(1, known, []))
    views.apply_update(news(2, known, ["b"]))
    views.apply_update(news(3, known, []))
    view = views.get("i-1")
    assert not view.loading
    assert not view.loads_began
    assert set(view.ready) == {("m", name) for name in known}


def test_the_first_news_of_an_engine_end_what_it_had_said_of_itself() -> None:
    views = EngineViews()
    views.take_self_description("i-1", frozenset({"m"}), {("m", "a"): 1})
    views.apply_update(news(1, [], []))
    assert not views.get("i-1").can_serve(KEY, 0.0)
