"""The tables of losses: what counts, and what is said of kinds of trouble."""

from __future__ import annotations

import itertools
from types import ModuleType
from typing import Any

import pytest
from deploy_scripts import load_script


@pytest.fixture(name="losses")
def loaded() -> ModuleType:
    return load_script("losses")


def day(worth: float, *troubles: str, **more: Any) -> dict[str, Any]:
    return {
        "G": worth,
        "slot": "trouble" if troubles else "quiet",
        "troubles": list(troubles),
        "fault": None,
        "parts": [["whole day", 0.5, 0.9], ["worst zone", 0.5, 0.7]],
        "prices": [["calls", 100.0, 0.02], ["machines", 5.0, 0.05]],
        **more,
    }


def entry(head: str, site: str, *days: dict[str, Any]) -> dict[str, Any]:
    return {"head": head, "site": site, "days": list(days)}


@pytest.mark.parametrize(
    ("since", "sites", "worths"),
    [
        ("", [], {"a": [0.7, 0.8], "b": [0.6]}),
        ("c2", [], {"a": [0.8], "b": [0.6]}),
        ("", ["b"], {"b": [0.6]}),
        ("absent", [], {}),
    ],
)
def test_which_days_count(
    losses: ModuleType, since: str, sites: list[str], worths: dict[str, list[float]]
) -> None:
    found = [
        entry("c1", "a", day(0.7), day(0.1, fault="too slow"), {"fault": None, "parts": None}),
        entry("c2", "a", day(0.8)),
        entry("c3", "b", day(0.6)),
        entry("c4", "c"),
    ]
    kept = losses.whole_days(found, since, sites)
    assert {site: [one["G"] for one in days] for site, days in kept.items()} == worths


def test_losses_are_weighed_and_prices_are_in_order(losses: ModuleType) -> None:
    found = losses.by_kind([day(0.8), day(0.6), day(0.5, "cut")])
    assert list(found) == ["quiet", "trouble"]
    assert found["quiet"].worths == [0.8, 0.6]
    assert found["quiet"].parts["worst zone"] == pytest.approx([0.15, 0.15])
    assert [name for name, _ in found["quiet"].dearest(1)] == ["machines"]


def test_a_price_that_a_day_does_not_name_costs_it_nothing(losses: ModuleType) -> None:
    found = losses.by_kind([day(0.8), day(0.8, prices=[])])["quiet"]
    assert dict(found.dearest(2)) == pytest.approx({"machines": 0.025, "calls": 0.01})


def test_what_a_kind_of_trouble_costs_is_found_beside_others(losses: ModuleType) -> None:
    kinds = {"cut": 0.2, "burst": 0.1, "idle": 0.0}
    days = []
    for present in itertools.product([False, True], repeat=3):
        met = [kind for kind, there in zip(kinds, present, strict=True) if there]
        worth = 0.8 - sum(kinds[kind] for kind in met)
        days += [day(worth + error, "any", *met) for error in (-0.01, 0.01)]
    found = {one.kind: one for one in losses.effects(days)}
    assert list(found) == ["cut", "burst", "idle"]
    for kind, loss in kinds.items():
        assert found[kind].loss == pytest.approx(loss)
        assert 0.0 < found[kind].error < 0.02


def test_nothing_is_said_of_troubles_by_few_days(losses: ModuleType) -> None:
    assert losses.effects([day(0.5, "cut"), day(0.7, "burst"), day(0.8)]) == []
