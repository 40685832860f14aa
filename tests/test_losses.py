"""`deploy/losses.py`: which days count, and the estimated loss by kind of fault."""

from __future__ import annotations

import itertools
from types import ModuleType
from typing import Any

import pytest
from deploy_scripts import load_script


@pytest.fixture(name="losses")
def losses_script() -> ModuleType:
    return load_script("losses")


def day(worth: float, *kinds: str, **fields: Any) -> dict[str, Any]:
    return {
        "G": worth,
        "slot": "trouble" if kinds else "quiet",
        "troubles": list(kinds),
        "fault": None,
        "parts": [["whole day", 0.5, 0.9], ["worst zone", 0.5, 0.7]],
        "prices": [["calls", 100.0, 0.02], ["machines", 5.0, 0.05]],
        **fields,
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
def test_days_are_selected_by_commit_and_site(
    losses: ModuleType, since: str, sites: list[str], worths: dict[str, list[float]]
) -> None:
    entries = [
        entry("c1", "a", day(0.7), day(0.1, fault="too slow"), {"fault": None, "parts": None}),
        entry("c2", "a", day(0.8)),
        entry("c3", "b", day(0.6)),
        entry("c4", "c"),
    ]
    kept = losses.whole_days(entries, since, sites)
    assert {site: [found_day["G"] for found_day in days] for site, days in kept.items()} == worths


def test_losses_are_weighted_and_costs_are_sorted(losses: ModuleType) -> None:
    result = losses.by_kind([day(0.8), day(0.6), day(0.5, "cut")])
    assert list(result) == ["quiet", "trouble"]
    assert result["quiet"].worths == [0.8, 0.6]
    assert result["quiet"].parts["worst zone"] == pytest.approx([0.15, 0.15])
    assert [name for name, _ in result["quiet"].dearest(1)] == ["machines"]


def test_a_cost_missing_from_a_day_counts_as_zero(losses: ModuleType) -> None:
    result = losses.by_kind([day(0.8), day(0.8, prices=[])])["quiet"]
    assert dict(result.dearest(2)) == pytest.approx({"machines": 0.025, "calls": 0.01})


def test_the_loss_by_one_kind_is_separated_from_that_by_others(losses: ModuleType) -> None:
    kinds = {"cut": 0.2, "burst": 0.1, "idle": 0.0}
    days = []
    for presence in itertools.product([False, True], repeat=3):
        present_kinds = [
            kind for kind, is_present in zip(kinds, presence, strict=True) if is_present
        ]
        worth = 0.8 - sum(kinds[kind] for kind in present_kinds)
        days += [day(worth + error, "any", *present_kinds) for error in (-0.01, 0.01)]
    result = {one.kind: one for one in losses.effects(days)}
    assert list(result) == ["cut", "burst", "idle"]
    for kind, loss in kinds.items():
        assert result[kind].loss == pytest.approx(loss)
        assert 0.0 < result[kind].error < 0.02


def test_few_days_give_no_estimates(losses: ModuleType) -> None:
    assert losses.effects([day(0.5, "cut"), day(0.7, "burst"), day(0.8)]) == []
