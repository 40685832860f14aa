"""Sums up the quota usage of teams over the metrics of all instances.

Each instance counts the requests that it has admitted and refused since its start. The `teams`
command names each instance whose metrics can't be read, since the sums lack its counts.
"""

from __future__ import annotations

import urllib.request
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final
from urllib.error import URLError

from prometheus_client.parser import text_string_to_metric_families

READ_TIMEOUT_S: Final = 5.0  # For one instance's metrics.
UNITS_METRIC: Final = "wigeonarch_gateway_quota_units_total"
REQUESTS_METRIC: Final = "wigeonarch_gateway_quota_requests_total"
RATE_METRIC: Final = "wigeonarch_gateway_quota_rate"
BURST_METRIC: Final = "wigeonarch_gateway_quota_burst"
ADMITTED: Final = "admitted"
COLUMNS: Final = ("team", "rate", "burst", "units", "requests", "refused units", "refused requests")
COLUMN_GAP: Final = "  "


@dataclass(slots=True)
class TeamUsage:
    """The quota and the usage of one team.

    Attributes:
        rate: Its quota in units per second, as reported by the last instance that was read; None
            without a quota.
        burst: The burst of its quota, in units; None without a quota.
        units: Units of the admitted requests.
        requests: Number of admitted requests.
        refused_units: Units of the refused requests.
        refused_requests: Number of refused requests.
    """

    rate: float | None = None
    burst: float | None = None
    units: float = 0.0
    requests: float = 0.0
    refused_units: float = 0.0
    refused_requests: float = 0.0


def read_metrics(address: str) -> str:
    """Returns an instance's metrics in the Prometheus text format.

    Args:
        address: `HOST:PORT` of its metrics endpoint.

    Raises:
        OSError: The metrics can't be read.
    """
    url = f"http://{address}/metrics"
    try:
        with urllib.request.urlopen(url, timeout=READ_TIMEOUT_S) as resp:
            body: bytes = resp.read()
    except URLError as exc:
        raise OSError(str(exc.reason)) from exc
    return body.decode()


def sum_usage(pages: Iterable[str]) -> dict[str, TeamUsage]:
    """Returns the usage of each team, summed over the metrics of several instances."""
    teams: dict[str, TeamUsage] = {}
    for page in pages:
        for family in text_string_to_metric_families(page):
            for sample in family.samples:
                if "team" in sample.labels:
                    usage = teams.setdefault(sample.labels["team"], TeamUsage())
                    _add_sample(usage, sample.name, sample.labels.get("outcome", ""), sample.value)
    return teams


def _add_sample(usage: TeamUsage, name: str, outcome: str, value: float) -> None:
    if name == RATE_METRIC:
        usage.rate = value
    elif name == BURST_METRIC:
        usage.burst = value
    elif name == UNITS_METRIC and outcome == ADMITTED:
        usage.units += value
    elif name == UNITS_METRIC:
        usage.refused_units += value
    elif name == REQUESTS_METRIC and outcome == ADMITTED:
        usage.requests += value
    elif name == REQUESTS_METRIC:
        usage.refused_requests += value


def format_table(teams: dict[str, TeamUsage]) -> str:
    """Returns a table for operators, sorted by refused units in descending order."""
    ranked = sorted(teams.items(), key=lambda item: (-item[1].refused_units, item[0]))
    rows = [COLUMNS, *(_format_row(name, usage) for name, usage in ranked)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    return "".join(_format_line(row, widths) for row in rows)


def _format_row(name: str, usage: TeamUsage) -> tuple[str, ...]:
    figures = (usage.rate, usage.burst, usage.units, usage.requests, usage.refused_units)
    shown = ("-" if figure is None else f"{figure:.0f}" for figure in figures)
    return (name, *shown, f"{usage.refused_requests:.0f}")


def _format_line(row: Sequence[str], widths: Sequence[int]) -> str:
    name, *figures = row
    cells = [name.ljust(widths[0])]
    cells += [figure.rjust(width) for figure, width in zip(figures, widths[1:], strict=True)]
    return COLUMN_GAP.join(cells) + "\n"
