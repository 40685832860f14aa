"""The fault plans ("days") in `deploy/` are readable and fit any deployment."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import pytest

DEPLOY = Path(__file__).parent.parent / "deploy"
DAYS = sorted((DEPLOY / "days").glob("*.toml"))
# Days that need teams with keys and quotas; the other days also run on deployments without teams.
TEAM_DAYS = sorted((DEPLOY / "team-days").glob("*.toml"))
# Placeholders for names of the deployment: its first request class, service and zone.
PLACEHOLDERS = {"class": "@c0", "service": "@s0", "zone": "@z0", "to_zone": "@z0"}
LAST_AT = 30.0  # Seconds; a day lasts 41 s, so the end of a later fault would not be observed.
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
    assert {event["kind"] for event in day["plan"]} <= planned
    for event in day["plan"] + day["faults"]:
        assert 0.0 < event["at"] <= LAST_AT
        for key, placeholder in PLACEHOLDERS.items():
            assert event.get(key, placeholder) == placeholder


def kinds_in(days: list[Path]) -> set[tuple[str, str]]:
    return {
        (event["kind"], variant)
        for path in days
        for event in read(path)["plan"] + read(path)["faults"]
        for variant in event.get("how", "").split() or [""]
    }


def test_each_team_fault_has_a_day() -> None:
    assert {
        ("hot_tenant", ""),  # During a partition, and while everything restarts.
        ("zone_cut", "drop"),
        ("herd_kill", ""),
        ("revoke", "last"),
        ("platform_down", "revoke"),  # While instances are cut off from the store.
        ("config_change", "down"),  # A limit lowered during a store outage.
    } <= kinds_in(TEAM_DAYS)


def test_each_finding_that_a_day_can_reproduce_has_one() -> None:
    kinds = kinds_in(DAYS)
    assert {
        ("node_cut", "reborn"),  # Endpoints that restart under the same id,
        ("srv_cut", "reborn"),
        ("applied_late", ""),  # while orders are executed late.
        ("platform_down", "drain"),  # Endpoints that leave while instances lose the store.
        ("platform_compact", "drain"),
        ("node_kill", "race"),
        ("srv_slow", ""),
        ("scale_in", "spot"),
        ("burst", ""),
    } <= kinds
