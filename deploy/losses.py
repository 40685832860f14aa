"""Prints where worth is lost, by the days in the journal: by kind of day and by kind of trouble.

    python deploy/losses.py [--since COMMIT] [--site SITE ...] [--plot FILE]

For each deployment and kind of day: the mean worth, what each part of it loses (its weight times
what is missing to 1), and the prices, dearest first. Then, for each deployment, what a day loses
with each kind of trouble, by least squares over its days with any, with standard errors. Only days
that were played to their end count; with --since, only from that commit's first entry on.
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
DAYS_LEAST: Final = 12  # Days with trouble, below which nothing is said of kinds of trouble.
MET_LEAST: Final = 4  # Days with a kind of trouble, and without, below which nothing is said of it.


@dataclass
class Losses:
    """What the days of one kind lose on one deployment.

    Attributes:
        worths: Worth of each day.
        parts: Loss by each part of the worth, for each day.
        prices: Loss by each price, for each day.
    """

    worths: list[float] = field(default_factory=list)
    parts: dict[str, list[float]] = field(default_factory=dict)
    prices: dict[str, list[float]] = field(default_factory=dict)

    def add(self, day: dict[str, Any]) -> None:
        """Adds a day."""
        self.worths.append(float(day["G"]))
        for name, weight, share in day["parts"]:
            self.parts.setdefault(name, []).append(weight * (1.0 - share))
        for name, _, loss in day["prices"]:
            self.prices.setdefault(name, []).append(loss)

    def dearest(self, most: int) -> list[tuple[str, float]]:
        """Returns the prices that cost most on the mean."""
        # A day that does not name a price paid nothing of it.
        means = [(name, sum(losses) / len(self.worths)) for name, losses in self.prices.items()]
        return sorted(means, key=lambda pair: -pair[1])[:most]


@dataclass(frozen=True)
class Effect:
    """What a kind of trouble costs a day.

    Attributes:
        kind: Its name.
        days: Days that had it.
        loss: Worth lost by it.
        error: Standard error of that.
    """

    kind: str
    days: int
    loss: float
    error: float


Kept = dict[str, list[dict[str, Any]]]


def whole_days(found: Iterable[dict[str, Any]], since: str, sites: Sequence[str]) -> Kept:
    """Returns the days that were played to their end, by deployment."""
    days: Kept = {}
    begun = not since
    for entry in found:
        begun = begun or entry["head"].startswith(since)
        if not begun or (sites and entry["site"] not in sites):
            continue
        whole = [day for day in entry.get("days") or [] if day.get("parts") and not day["fault"]]
        days.setdefault(entry["site"], []).extend(whole)
    return {site: some for site, some in days.items() if some}


def by_kind(days: Iterable[dict[str, Any]]) -> dict[str, Losses]:
    """Returns the losses of a deployment's days, by kind of day."""
    found: dict[str, Losses] = {}
    for day in days:
        found.setdefault(day["slot"], Losses()).add(day)
    return dict(sorted(found.items()))


def effects(days: Sequence[dict[str, Any]]) -> list[Effect]:
    """Returns what each kind of trouble costs, dearest first; nothing where days are too few."""
    troubled = [day for day in days if day["troubles"]]
    met = {kind for day in troubled for kind in day["troubles"]}
    counts = {kind: sum(kind in day["troubles"] for day in troubled) for kind in met}
    kinds = sorted(k for k, n in counts.items() if MET_LEAST <= n <= len(troubled) - MET_LEAST)
    if len(troubled) < max(DAYS_LEAST, 2 * (len(kinds) + 1)):
        return []
    has = [[1.0, *(float(kind in day["troubles"]) for kind in kinds)] for day in troubled]
    matrix = np.array(has)
    worths = np.array([float(day["G"]) for day in troubled])
    inverse = np.linalg.pinv(matrix.T @ matrix)
    fitted = inverse @ matrix.T @ worths
    rest = worths - matrix @ fitted
    variance = float(rest @ rest) / (len(troubled) - len(kinds) - 1)
    errors = np.sqrt(variance * np.diag(inverse))
    found = [
        Effect(kind, counts[kind], -float(fitted[place]), float(errors[place]))
        for place, kind in enumerate(kinds, 1)
    ]
    return sorted(found, key=lambda effect: -effect.loss)


def print_losses(site: str, found: dict[str, Losses]) -> None:
    """Prints a table of a deployment's kinds of day."""
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
    """Prints what kinds of trouble cost."""
    if not found:
        return
    print("\n| trouble | days with it | a day loses | standard error |\n|---|---|---|---|")
    for one in found:
        print(f"| {one.kind} | {one.days} | {one.loss:.3f} | {one.error:.3f} |")


def write_plot(found: dict[str, dict[str, Losses]], path: Path) -> None:
    """Writes a bar for each deployment and kind of day: worth, losses by part, prices."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    bars = [
        (f"{site}\n{slot}", one) for site, kinds in found.items() for slot, one in kinds.items()
    ]
    names = list(bars[0][1].parts)
    drawing, axis = pyplot.subplots(figsize=(max(8.0, 0.9 * len(bars)), 6.0))
    places = range(len(bars))
    below = [mean(one.worths) for _, one in bars]
    axis.bar(places, below, color="0.8", label="worth")
    for name in names:
        heights = [mean(one.parts[name]) for _, one in bars]
        axis.bar(places, heights, bottom=below, label=name)
        below = [low + height for low, height in zip(below, heights, strict=True)]
    heights = [sum(map(mean, one.prices.values())) for _, one in bars]
    axis.bar(places, heights, bottom=below, label="prices", color="0.3")
    axis.set_xticks(places, [name for name, _ in bars], rotation=60, ha="right", fontsize="small")
    axis.legend(fontsize="small", ncols=3)
    drawing.tight_layout()
    drawing.savefig(path, dpi=90)
    pyplot.close(drawing)


def main() -> None:
    """Prints the tables."""
    parser = argparse.ArgumentParser(description="Where worth is lost, by the journal.")
    parser.add_argument("--since", default="", help="commit from whose first entry on days count")
    parser.add_argument("--site", action="append", default=[], help="only these deployments")
    parser.add_argument("--plot", type=Path, default=None, help="PNG file to write")
    args = parser.parse_args()
    days = whole_days(entries(JOURNAL), args.since, args.site)
    found = {site: by_kind(some) for site, some in days.items()}
    for site, kinds in found.items():
        print_losses(site, kinds)
        print_effects(effects(days[site]))
    if args.plot is not None and found:
        write_plot(found, args.plot)


if __name__ == "__main__":
    main()
