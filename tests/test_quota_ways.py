"""Ways to keep a quota: what rules each of them out, and that the one in use is not."""

from __future__ import annotations

import pytest
from wigeonarch_fakes.quota_bench import SCENARIOS, Row, run_scenario, summarize_runs

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def figures(way: str, scenario: str) -> Row:
    return summarize_runs(way, BY_NAME[scenario], [run_scenario(way, BY_NAME[scenario], 1)])


@pytest.mark.parametrize("scenario", sorted(BY_NAME))
def test_a_banker_with_an_account_keeps_the_bound_and_serves(scenario: str) -> None:
    found = figures("banker, account", scenario)
    assert found.worst <= 1.0
    assert found.within > 0.9


@pytest.mark.parametrize("scenario", ["hot team", "zone cut", "all restarted"])
def test_told_sums_give_more_than_the_bound(scenario: str) -> None:
    assert figures("told sums", scenario).worst > 1.0


@pytest.mark.parametrize("way", ["equal shares", "banker, bucket"])
def test_small_parts_serve_no_small_team(way: str) -> None:
    assert figures(way, "small team").within < 0.5
