"""Quota schemes: each alternative fails in a scenario in which the product's scheme works."""

from __future__ import annotations

import pytest
from wigeonarch_fakes.quota_bench import SCENARIOS, Row, run_scenario, summarize_runs

BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def measure_scheme(scheme: str, scenario: str) -> Row:
    return summarize_runs(scheme, BY_NAME[scenario], [run_scenario(scheme, BY_NAME[scenario], 1)])


@pytest.mark.parametrize("scenario", sorted(BY_NAME))
def test_coordinators_with_a_ledger_keep_the_bound_and_serve(scenario: str) -> None:
    row = measure_scheme("banker, account", scenario)
    assert row.worst <= 1.0
    assert row.within > 0.9


@pytest.mark.parametrize("scenario", ["hot team", "zone cut", "all restarted"])
def test_heartbeat_sums_exceed_the_bound(scenario: str) -> None:
    assert measure_scheme("told sums", scenario).worst > 1.0


@pytest.mark.parametrize("scheme", ["equal shares", "banker, bucket"])
def test_fixed_shares_and_token_buckets_starve_a_small_team(scheme: str) -> None:
    assert measure_scheme(scheme, "small team").within < 0.5
