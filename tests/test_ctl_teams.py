"""What teams used, added up over the metrics of several instances."""

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


def test_the_figures_of_all_instances_are_added_up() -> None:
    found = teamtable.sum_usage([make_metrics(10.0, 3.0), make_metrics(20.0, 0.0)])
    assert found == {"deli": teamtable.TeamUsage(100.0, 50.0, 30.0, 2.0, 3.0, 1.0)}


def test_the_team_with_the_most_refused_comes_first() -> None:
    teams = {
        "calm": teamtable.TeamUsage(5.0, 5.0, 7.0, 1.0),
        "hot": teamtable.TeamUsage(None, None, 1.0, 1.0, 90.0, 9.0),
    }
    lines = teamtable.format_table(teams).splitlines()
    assert [text.split()[0] for text in lines] == ["team", "hot", "calm"]
    assert lines[1].split() == ["hot", "-", "-", "1", "1", "90", "9"]


async def test_the_command_reads_gateways_and_names_one_that_it_cannot_read(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async with world(nodes=2) as found:
        limited = team("deli", "key", rate_per_s=1000.0, burst=1000.0, unit="tokens")
        await found.store.put("config", "main", configuration(2, teams=[limited]))

        async def served() -> bool:
            answer = await found.send_request(
                "/ask/x", Authorization="Bearer key", X_Token_Counts="10,5"
            )
            return answer.status == 200

        async def shown() -> bool:
            return "quota_rate" in await found.metrics() and "1000.0" in await found.metrics()

        await until(shown)
        await until(served)
        addresses = [f"{opts.ip}:{opts.metrics_port}" for opts in found.options]
        code = await asyncio.to_thread(main, ["teams", "--metrics", *addresses])
        assert code == exits.OK
        shown_line = capsys.readouterr().out.splitlines()[1].split()
        assert shown_line[:3] == ["deli", "1000", "1000"]
        assert int(shown_line[3]) >= 15
        code = await asyncio.to_thread(main, ["teams", "--metrics", addresses[0], "127.0.0.1:1"])
        assert code == exits.UNREACHABLE
        assert "127.0.0.1:1" in capsys.readouterr().err


@pytest.mark.parametrize("words", [["teams"], ["teams", "--metrics"]])
def test_without_addresses_the_command_says_what_it_needs(words: list[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        main(words)
    assert ended.value.code == exits.USAGE
