"""The days of our own can be read, and name nothing that only one deployment has."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

DEPLOY = Path(__file__).parent.parent / "deploy"
DAYS = sorted((DEPLOY / "days").glob("*.toml"))
# Days that need teams, with keys and quotas: hunts play the others on deployments that have none.
TEAM_DAYS = sorted((DEPLOY / "team-days").glob("*.toml"))
# Places for what a deployment names itself: its first kind of request, service and zone.
PLACEHOLDERS = {"class": "@c0", "service": "@s0", "zone": "@z0", "to_zone": "@z0"}
LAST_AT = 30.0  # Seconds; a day lasts 41 s, and what begins later can't be seen to end.
PLANNED_WITH_TEAMS = {"revoke"}
PLANNED = {"config_change", "config_storm", "model_shift", "release", "scale_in", "version_bump"}


def read(path: Path) -> dict[str, Any]:
    return tomllib.loads(path.read_text())


def test_there_are_days() -> None:
    assert len(DAYS) >= 8
    assert TEAM_DAYS


@pytest.mark.parametrize("path", [*DAYS, *TEAM_DAYS], ids=lambda path: path.stem)
def test_a_day_fits_any_deployment(path: Path) -> None:
    day = read(path)
    planned = PLANNED | PLANNED_WITH_TEAMS if path in TEAM_DAYS else PLANNED
    assert day["name"] == path.stem
    assert set(day) == {"name", "slot", "plan", "faults"}
    assert {one["kind"] for one in day["plan"]} <= planned
    for one in day["plan"] + day["faults"]:
        assert 0.0 < one["at"] <= LAST_AT
        for key, placeholder in PLACEHOLDERS.items():
            assert one.get(key, placeholder) == placeholder


def kinds_in(days: list[Path]) -> set[tuple[str, str]]:
    return {
        (one["kind"], how)
        for path in days
        for one in read(path)["plan"] + read(path)["faults"]
        for how in one.get("how", "").split() or [""]
    }


def test_each_matter_of_teams_has_a_day() -> None:
    assert {
        ("hot_tenant", ""),  # In a cut, and as everything restarts.
        ("zone_cut", "drop"),
        ("herd_kill", ""),
        ("revoke", "last"),
        ("platform_down", "revoke"),  # On instances without the store.
        ("config_change", "down"),  # A limit lowered in an outage.
    } <= kinds_in(TEAM_DAYS)


def test_each_finding_that_a_day_can_bring_about_has_one() -> None:
    hows = kinds_in(DAYS)
    assert {
        ("node_cut", "reborn"),  # Endpoints that start again under their id,
        ("srv_cut", "reborn"),
        ("applied_late", ""),  # beside orders that are carried out late.
        ("platform_down", "drain"),  # Endpoints that leave as instances lose the store.
        ("platform_compact", "drain"),
        ("node_kill", "race"),
        ("srv_slow", ""),
        ("scale_in", "spot"),
        ("burst", ""),
    } <= hows
