"""What teams used of their quotas, added up over the metrics of all instances.

Each instance counts what it let in and what it refused since its start. An instance that can't be
read is named, as the sums lack its part.
"""

from __future__ import annotations

import urllib.request
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final
from urllib.error import URLError

from prometheus_client.parser import text_string_to_metric_families

READ_TIMEOUT_S: Final = 5.0  # Seconds for one instance's metrics.
UNITS_METRIC: Final = "wigeonarch_gateway_quota_units_total"
REQUESTS_METRIC: Final = "wigeonarch_gateway_quota_requests_total"
RATE_METRIC: Final = "wigeonarch_gateway_quota_rate"
BURST_METRIC: Final = "wigeonarch_gateway_quota_burst"
ADMITTED: Final = "admitted"
COLUMNS: Final = ("team", "rate", "burst", "units", "requests", "refused units", "refused requests")
COLUMN_GAP: Final = "  "


@dataclass(slots=True)
class TeamUsage:
    """What one team used.

    Attributes:
        rate: Its quota in units a second, the newest that an instance knows; None without one.
        burst: Units besides.
        units: Units of the requests that were let in.
        requests: Their number.
        refused_units: Units of those that were refused.
        refused_requests: Their number.
    """

    rate: float | None = None
    burst: float | None = None
    units: float = 0.0
    requests: float = 0.0
    refused_units: float = 0.0
    refused_requests: float = 0.0


def read_metrics(address: str) -> str:
    """Returns an instance's metrics.

    Args:
        address: `HOST:PORT` of its metrics.

    Raises:
        OSError: They can't be read.
    """
    url = f"http://{address}/metrics"
    try:
        with urllib.request.urlopen(url, timeout=READ_TIMEOUT_S) as resp:
            body: bytes = resp.read()
    except URLError as exc:
        raise OSError(str(exc.reason)) from exc
    return body.decode()


def sum_usage(pages: Iterable[str]) -> dict[str, TeamUsage]:
    """Returns what each team used, by the metrics of several instances."""
    teams: dict[str, TeamUsage] = {}
    for page in pages:
        for family in text_string_to_metric_families(page):
            for sample in family.samples:
                if "team" in sample.labels:
                    use = teams.setdefault(sample.labels["team"], TeamUsage())
                    _add_sample(use, sample.name, sample.labels.get("outcome", ""), sample.value)
    return teams


def _add_sample(use: TeamUsage, name: str, outcome: str, value: float) -> None:
    if name == RATE_METRIC:
        use.rate = value
    elif name == BURST_METRIC:
        use.burst = value
    elif name == UNITS_METRIC and outcome == ADMITTED:
        use.units += value
    elif name == UNITS_METRIC:
        use.refused_units += value
    elif name == REQUESTS_METRIC and outcome == ADMITTED:
        use.requests += value
    elif name == REQUESTS_METRIC:
        use.refused_requests += value


def format_table(teams: dict[str, TeamUsage]) -> str:
    """Returns a table for people, the team with the most refused units first."""
    ranked = sorted(teams.items(), key=lambda item: (-item[1].refused_units, item[0]))
    rows = [COLUMNS, *(_format_row(name, use) for name, use in ranked)]
    widths = [max(len(row[place]) for row in rows) for place in range(len(COLUMNS))]
    return "".join(_format_line(row, widths) for row in rows)


def _format_row(name: str, use: TeamUsage) -> tuple[str, ...]:
    figures = (use.rate, use.burst, use.units, use.requests, use.refused_units)
    shown = ("-" if figure is None else f"{figure:.0f}" for figure in figures)
    return (name, *shown, f"{use.refused_requests:.0f}")


def _format_line(row: Sequence[str], widths: Sequence[int]) -> str:
    name, *figures = row
    cells = [name.ljust(widths[0])]
    cells += [figure.rjust(width) for figure, width in zip(figures, widths[1:], strict=True)]
    return COLUMN_GAP.join(cells) + "\n"
