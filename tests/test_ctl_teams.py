"""Tests the quota usage of teams, summed over the metrics of several instances."""

from __future__ import annotations

import asyncio

import pytest
from gateway_world import configuration, team, until, world
from wigeonarch_core.teams import Quota, Team, Unit
from wigeonarch_ctl import exits, teamtable
from wigeonarch_ctl.cli import main
from wigeonarch_gateway.metrics import Metrics


def make_metrics(units: float, refused: float, rate: float = 100.0) -> str:
    metrics = Metrics()
    metrics.set_quotas([Team("deli", None, Quota(Unit.TOKENS, rate, 50.0)), Team("free")])
    metrics.count_admitted("deli", units)
    if refused:
        metrics.count_over_quota("deli", refused)
    return metrics.text().decode()


def test_usage_is_summed_over_all_instances() -> None:
    teams = teamtable.sum_usage([make_metrics(10.0, 3.0), make_metrics(20.0, 0.0)])
    assert teams == {"deli": teamtable.TeamUsage(100.0, 50.0, 30.0, 2.0, 3.0, 1.0)}


def test_team_with_most_refused_units_comes_first() -> None:
    teams = {
        "calm": teamtable.TeamUsage(5.0, 5.0, 7.0, 1.0),
        "hot": teamtable.TeamUsage(None, None, 1.0, 1.0, 90.0, 9.0),
    }
    lines = teamtable.format_table(teams).splitlines()
    assert [text.split()[0] for text in lines] == ["team", "hot", "calm"]
    assert lines[1].split() == ["hot", "-", "-", "1", "1", "90", "9"]


async def test_command_reads_gateways_and_names_unreadable_one(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async with world(nodes=2) as gateways:
        limited = team("deli", "key", rate_per_s=1000.0, burst=1000.0, unit="tokens")
        await gateways.store.put("config", "main", configuration(2, teams=[limited]))

        async def request_is_served() -> bool:
            response = await gateways.send_request(
                "/ask/x", Authorization="Bearer key", X_Token_Counts="10,5"
            )
            return response.status == 200

        async def quota_is_in_metrics() -> bool:
            return "quota_rate" in await gateways.metrics() and "1000.0" in await gateways.metrics()

        await until(quota_is_in_metrics)
        await until(request_is_served)
        addresses = [f"{opts.ip}:{opts.metrics_port}" for opts in gateways.options]
        code = await asyncio.to_thread(main, ["teams", "--metrics", *addresses])
        assert code == exits.OK
        row = capsys.readouterr().out.splitlines()[1].split()
        assert row[:3] == ["deli", "1000", "1000"]
        assert int(row[3]) >= 15
        code = await asyncio.to_thread(main, ["teams", "--metrics", addresses[0], "127.0.0.1:1"])
        assert code == exits.UNREACHABLE
        assert "127.0.0.1:1" in capsys.readouterr().err


@pytest.mark.parametrize("words", [["teams"], ["teams", "--metrics"]])
def test_command_without_addresses_is_a_usage_error(words: list[str]) -> None:
    with pytest.raises(SystemExit) as exit_info:
        main(words)
    assert exit_info.value.code == exits.USAGE
