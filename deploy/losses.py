"""Prints where worth is lost on the journal's days: by kind of day and by kind of trouble.

    python deploy/losses.py [--since COMMIT] [--site SITE ...] [--plot FILE]

The worth of a day (`G` in the journal) has weighted parts, each of which is at most 1, and prices,
which are deducted from it. A trouble is a fault or a planned operation.

For each deployment and kind of day, the script prints the mean worth, the loss of each part (its
weight times its distance from 1) and the highest prices, highest first. Then, for each deployment,
it prints the loss caused by each kind of trouble, estimated by least squares over the days that had
any trouble, with standard errors. Only days that were played to their end count; with --since, only
those from that commit's first entry on.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from statistics import mean
from typing import Any, Final

import numpy as np
from verification import JOURNAL, entries

PRICES_SHOWN: Final = 5
MIN_DAYS_WITH_TROUBLE: Final = 12  # With fewer days with trouble, no effects are estimated
MIN_DAYS_PER_KIND: Final = 4  # With fewer days with or without a kind, it is left out


@dataclass
class Losses:
    """Losses of the days of one kind on one deployment.

    Attributes:
        worths: Worth of each day.
        parts: Losses by part of the worth, one for each day.
        prices: Losses by price, one for each day that names it.
    """

    worths: list[float] = field(default_factory=list)
    parts: dict[str, list[float]] = field(default_factory=dict)
    prices: dict[str, list[float]] = field(default_factory=dict)

    def add(self, day: dict[str, Any]) -> None:
        """Adds the worth and the losses of a day."""
        self.worths.append(float(day["G"]))
        for name, weight, share in day["parts"]:
            self.parts.setdefault(name, []).append(weight * (1.0 - share))
        for name, _, loss in day["prices"]:
            self.prices.setdefault(name, []).append(loss)

    def dearest(self, limit: int) -> list[tuple[str, float]]:
        """Returns the `limit` prices with the highest mean loss, highest first."""
        # A day that does not name a price paid nothing for it, so the mean is over all days.
        means = [(name, sum(losses) / len(self.worths)) for name, losses in self.prices.items()]
        return sorted(means, key=lambda pair: -pair[1])[:limit]


@dataclass(frozen=True)
class Effect:
    """Estimated loss of a day that has a kind of trouble.

    Attributes:
        kind: Kind of trouble.
        days: Number of days that had it.
        loss: Worth lost by it on a day.
        error: Standard error of the loss.
    """

    kind: str
    days: int
    loss: float
    error: float


DaysBySite = dict[str, list[dict[str, Any]]]


def whole_days(journal: Iterable[dict[str, Any]], since: str, sites: Sequence[str]) -> DaysBySite:
    """Returns the days that were played to their end, by deployment.

    Args:
        journal: Entries of the journal, oldest first.
        since: Commit from whose first entry on days count; empty for all.
        sites: Deployments that count; empty for all.
    """
    days: DaysBySite = {}
    started = not since
    for entry in journal:
        started = started or entry["head"].startswith(since)
        if not started or (sites and entry["site"] not in sites):
            continue
        whole = [day for day in entry.get("days") or [] if day.get("parts") and not day["fault"]]
        days.setdefault(entry["site"], []).extend(whole)
    return {site: played for site, played in days.items() if played}


def by_kind(days: Iterable[dict[str, Any]]) -> dict[str, Losses]:
    """Returns the losses of a deployment's days, by kind of day."""
    found: dict[str, Losses] = {}
    for day in days:
        found.setdefault(day["slot"], Losses()).add(day)
    return dict(sorted(found.items()))


def effects(days: Sequence[dict[str, Any]]) -> list[Effect]:
    """Estimates the loss by each kind of trouble.

    Returns:
        The effects, highest loss first; none if there are too few days.
    """
    troubled = [day for day in days if day["troubles"]]
    occurring = {kind for day in troubled for kind in day["troubles"]}
    counts = {kind: sum(kind in day["troubles"] for day in troubled) for kind in occurring}
    kinds = sorted(
        k for k, n in counts.items() if MIN_DAYS_PER_KIND <= n <= len(troubled) - MIN_DAYS_PER_KIND
    )
    if len(troubled) < max(MIN_DAYS_WITH_TROUBLE, 2 * (len(kinds) + 1)):
        return []
    rows = [[1.0, *(float(kind in day["troubles"]) for kind in kinds)] for day in troubled]
    matrix = np.array(rows)
    worths = np.array([float(day["G"]) for day in troubled])
    inverse = np.linalg.pinv(matrix.T @ matrix)
    coefficients = inverse @ matrix.T @ worths
    residuals = worths - matrix @ coefficients
    variance = float(residuals @ residuals) / (len(troubled) - len(kinds) - 1)
    errors = np.sqrt(variance * np.diag(inverse))
    found = [
        Effect(kind, counts[kind], -float(coefficients[place]), float(errors[place]))
        for place, kind in enumerate(kinds, 1)
    ]
    return sorted(found, key=lambda effect: -effect.loss)


def print_losses(site: str, found: dict[str, Losses]) -> None:
    """Prints the table of losses by kind of day for a deployment."""
    names = list(next(iter(found.values())).parts)
    print(f"\n## {site}\n")
    print("| kind of day | days | worth | " + " | ".join(names) + " | dearest prices |")
    print("|---" * (len(names) + 4) + "|")
    for slot, losses in found.items():
        parts = " | ".join(f"{mean(losses.parts[name]):.3f}" for name in names)
        prices = ", ".join(f"{name} {loss:.3f}" for name, loss in losses.dearest(PRICES_SHOWN))
        worth = mean(losses.worths)
        print(f"| {slot} | {len(losses.worths)} | {worth:.3f} | {parts} | {prices} |")


def print_effects(found: Sequence[Effect]) -> None:
    """Prints the table of losses by kind of trouble."""
    if not found:
        return
    print("\n| trouble | days with it | a day loses | standard error |\n|---|---|---|---|")
    for effect in found:
        print(f"| {effect.kind} | {effect.days} | {effect.loss:.3f} | {effect.error:.3f} |")


def write_plot(found: dict[str, dict[str, Losses]], path: Path) -> None:
    """Plots a stacked bar for each deployment and kind of day: worth, losses by part, prices."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    bars = [
        (f"{site}\n{slot}", one) for site, kinds in found.items() for slot, one in kinds.items()
    ]
    names = list(bars[0][1].parts)
    figure, axis = pyplot.subplots(figsize=(max(8.0, 0.9 * len(bars)), 6.0))
    positions = range(len(bars))
    bottom = [mean(one.worths) for _, one in bars]
    axis.bar(positions, bottom, color="0.8", label="worth")
    for name in names:
        heights = [mean(one.parts[name]) for _, one in bars]
        axis.bar(positions, heights, bottom=bottom, label=name)
        bottom = [low + height for low, height in zip(bottom, heights, strict=True)]
    heights = [sum(map(mean, one.prices.values())) for _, one in bars]
    axis.bar(positions, heights, bottom=bottom, label="prices", color="0.3")
    axis.set_xticks(
        positions, [name for name, _ in bars], rotation=60, ha="right", fontsize="small"
    )
    axis.legend(fontsize="small", ncols=3)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def main() -> None:
    """Prints the tables and writes the plot if one is asked for."""
    parser = argparse.ArgumentParser(description="Where worth is lost, by the journal.")
    parser.add_argument("--since", default="", help="commit from whose first entry on days count")
    parser.add_argument("--site", action="append", default=[], help="only these deployments")
    parser.add_argument("--plot", type=Path, default=None, help="PNG file to write")
    args = parser.parse_args()
    days = whole_days(entries(JOURNAL), args.since, args.site)
    found = {site: by_kind(played) for site, played in days.items()}
    for site, kinds in found.items():
        print_losses(site, kinds)
        print_effects(effects(days[site]))
    if args.plot is not None and found:
        write_plot(found, args.plot)


if __name__ == "__main__":
    main()
