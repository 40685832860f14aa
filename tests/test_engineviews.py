"""Tests of the view of an engine: remembered adapters, repeated updates and refusals."""

from __future__ import annotations

import pytest
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_gateway.engineviews import MAX_SEEN_ADAPTERS, EngineViews
from wigeonarch_gateway.messages import EngineUpdate


def update(number: int, ready: list[str], loading: list[str]) -> EngineUpdate:
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
    ("updates", "warm"),
    [
        ([(["a"], [])], {"a"}),
        ([([], ["a"]), (["a"], []), ([], [])], {"a"}),
        ([(["a"], []), ([], ["b"]), (["b"], [])], {"a", "b"}),
        ([], set()),
    ],
)
def test_adapters_that_were_loaded_before_are_warm(
    updates: list[tuple[list[str], list[str]]], warm: set[str]
) -> None:
    views = EngineViews()
    for number, (ready, loading) in enumerate(updates, 1):
        views.apply_update(update(number, ready, loading))
    view = views.get("i-1")
    assert {name for name in "abc" if view.is_warm(AdapterKey("m", name, 1))} == warm


def test_an_adapter_unloaded_after_a_long_time_is_forgotten_last() -> None:
    views = EngineViews()
    for number in range(1, 2 * MAX_SEEN_ADAPTERS):
        views.apply_update(update(number, ["stays", f"a{number}"], []))
    views.apply_update(update(2 * MAX_SEEN_ADAPTERS, [], []))
    view = views.get("i-1")
    assert view.is_warm(AdapterKey("m", "stays", 1))
    assert len(view.seen) == MAX_SEEN_ADAPTERS
    assert not view.is_warm(AdapterKey("m", "a1", 1))


def test_the_same_view_is_returned_each_time() -> None:
    views = EngineViews()
    assert views.get("i-1") is views.get("i-1")


KEY = AdapterKey("m", "a", 1)


def test_a_repeated_update_restores_an_adapter_that_the_engine_refused() -> None:
    views = EngineViews()
    views.apply_update(update(1, ["a"], []))
    views.note_missing_adapter("i-1", KEY, 0.0)
    assert not views.get("i-1").can_serve(KEY, 0.0)
    views.apply_update(update(2, ["a"], []))
    assert views.get("i-1").can_serve(KEY, 0.0)


@pytest.mark.parametrize("known", [["a"], []])
def test_a_repeated_update_ends_loads_that_it_no_longer_lists(known: list[str]) -> None:
    views = EngineViews()
    views.apply_update(update(1, known, []))
    views.apply_update(update(2, known, ["b"]))
    views.apply_update(update(3, known, []))
    view = views.get("i-1")
    assert not view.loading
    assert not view.loads_began
    assert set(view.ready) == {("m", name) for name in known}


def test_the_owners_first_update_replaces_the_engines_own_description() -> None:
    views = EngineViews()
    views.take_self_description("i-1", frozenset({"m"}), {("m", "a"): 1})
    views.apply_update(update(1, [], []))
    assert not views.get("i-1").can_serve(KEY, 0.0)
