"""Summaries of the policy benchmark: spread over seeds, tables, comparison with baselines."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

import msgspec

from wigeonarch_fakes.bench_figures import Figures

STORED_DIGITS: Final = 4
CLAIRVOYANT: Final = "clairvoyant"
PLAIN_BASELINES: Final = ("random", "least_loaded_lru", "rendezvous_lru")
STRONG_BASELINES: Final = ("loaded_lru",)
COLUMNS: Final = (
    ("stall_mean", "stall", 2),
    ("stall_p50", "p50", 2),
    ("stall_p95", "p95", 1),
    ("stall_p99", "p99", 1),
    ("stall_worst", "worst", 0),
    ("fill", "fill", 3),
    ("idle_places", "idle", 1),
    ("first_token_p95", "ft95", 1),
    ("unserved", "unserved", 0),
    ("loads", "loads", 0),
    ("wasted_loads", "wasted", 0),
    ("starved", "starved", 0),
    ("violations", "viol", 0),
    ("jain", "jain", 3),
    ("recovery", "recov", 0),
    ("score", "score", 2),
)


class Spread(msgspec.Struct, frozen=True):
    """Mean, least and greatest value of one figure over the seeds."""

    mean: float
    least: float
    most: float


Summary = dict[str, Spread]


class Results(msgspec.Struct, kw_only=True):
    """The stored results of the benchmark.

    Attributes:
        command: The command that reproduces these results.
        commit: The measured commit, with `+` if files differed from it.
        last: Commit of the last policy, which is compared with the measured one.
        seeds: The seeds.
        summaries: Figures by workload and policy.
    """

    command: str
    commit: str
    last: str
    seeds: list[int]
    summaries: dict[str, dict[str, Summary]]


def summarize(runs: Sequence[Figures], weights: Mapping[str, float]) -> Summary:
    """Returns each figure's mean and spread over the seeds, with the user's score."""
    rows = [_numeric_figures(run, weights) for run in runs]
    return {name: _spread([row[name] for row in rows]) for name in rows[0]}


def score(figures: Figures, weights: Mapping[str, float]) -> float:
    """Returns the user's objective per request, in weighted seconds; lower is better."""
    stalls = weights["stall_weight"] * figures.stall_mean
    return stalls + weights["batch_weight"] * figures.idle_places


def _numeric_figures(figures: Figures, weights: Mapping[str, float]) -> dict[str, float]:
    numbers = {
        name: float(value)
        for name, value in msgspec.structs.asdict(figures).items()
        if isinstance(value, int | float)
    }
    numbers["unserved"] = float(figures.requests - figures.served)
    numbers["score"] = score(figures, weights)
    return numbers


def _spread(values: Sequence[float]) -> Spread:
    mean = round(statistics.fmean(values), STORED_DIGITS)
    return Spread(mean, round(min(values), STORED_DIGITS), round(max(values), STORED_DIGITS))


def text_table(workload: str, summaries: Mapping[str, Summary]) -> str:
    """Returns one workload's table as text, one policy a line."""
    lines = [f"{workload:<24}" + "".join(f"{title:>14}" for _, title, _ in COLUMNS)]
    for policy, summary in summaries.items():
        cells = [_text_cell(summary[name], digits) for name, _, digits in COLUMNS]
        lines.append(f"  {policy:<22}" + "".join(f"{cell:>14}" for cell in cells))
    return "\n".join(lines)


def _text_cell(spread: Spread, digits: int) -> str:
    half = (spread.most - spread.least) / 2.0
    return f"{spread.mean:.{digits}f}±{half:.{digits}f}"


def markdown_table(summaries: Mapping[str, Mapping[str, Summary]], policies: Sequence[str]) -> str:
    """Returns one table of all workloads: mean / p99 stall, fill and unserved of some policies."""
    head = "| workload | " + " | ".join(policies) + " |"
    lines = [head, "|---" * (len(policies) + 1) + "|"]
    for workload, by_policy in summaries.items():
        cells = [_markdown_cell(by_policy[policy]) for policy in policies]
        lines.append(f"| {workload} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _markdown_cell(summary: Summary) -> str:
    stall = f"{summary['stall_mean'].mean:.2f} / {summary['stall_p99'].mean:.1f}"
    return f"{stall}, {summary['fill'].mean:.3f}, {summary['unserved'].mean:.0f}"


def compare_with_baselines(summaries: Mapping[str, Summary], own: str) -> str:
    """Returns one line that compares the project's policy with the baselines."""
    own_summary = summaries[own]
    parts = [
        _ratios_against("best named baseline", own_summary, summaries, PLAIN_BASELINES),
        _ratios_against(
            "best of all baselines", own_summary, summaries, (*PLAIN_BASELINES, *STRONG_BASELINES)
        ),
    ]
    if CLAIRVOYANT in summaries:
        bound = summaries[CLAIRVOYANT]
        parts.append(f"clairvoyant: stall x{_ratio(own_summary, bound, 'stall_mean'):.2f}")
    return "  " + "; ".join(part for part in parts if part)


def _ratios_against(
    title: str, own_summary: Summary, summaries: Mapping[str, Summary], names: Iterable[str]
) -> str:
    baselines = [summaries[name] for name in names if name in summaries]
    if not baselines:
        return ""
    stall = _ratio_to_least(own_summary, baselines, "stall_mean")
    worst = _ratio_to_least(own_summary, baselines, "stall_p99")
    fill = own_summary["fill"].mean / max(baseline["fill"].mean for baseline in baselines)
    return f"{title}: stall x{stall:.2f}, p99 x{worst:.2f}, fill x{fill:.2f}"


def _ratio_to_least(own_summary: Summary, baselines: Iterable[Summary], name: str) -> float:
    least = min(baseline[name].mean for baseline in baselines)
    return own_summary[name].mean / least if least else float("inf")


def _ratio(own_summary: Summary, other: Summary, name: str) -> float:
    return own_summary[name].mean / other[name].mean if other[name].mean else float("inf")
