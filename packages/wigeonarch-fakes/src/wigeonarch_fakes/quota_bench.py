"""Compares schemes that enforce a team's quota over all instances, in virtual time.

A team that stays within its quota requests about seven times as much in a hot phase. The scenarios
are: no fault, a zone that is cut off before the hot phase and reconnected within it, and a restart
of all instances within it. One message in fifty is lost.

`python -m wigeonarch_fakes.quota_bench` runs the same loads and faults on each scheme with five
seeds, and writes figures and a plot to `bench/results/`: the requested units, the admitted units
and the bound of a window.
"""

from __future__ import annotations

import argparse
import itertools
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import mean
from typing import Final

import msgspec
from wigeonarch_core.quota_ledger import QuotaLedger

from wigeonarch_fakes.quota_schemes import EqualShares, HeartbeatSums, TokenBucketLedger
from wigeonarch_fakes.quota_world import BOUNDS, QuotaScheme, World, ZoneCoordinators, quota

SEEDS: Final = 5
ZONES: Final = 3
ZONE_SIZE: Final = 8
USUAL_LOAD_PART: Final = 0.55  # Requested share of the quota outside a hot phase.
HOT_FACTOR: Final = 7.5  # Multiple of that in a hot phase.
HOT_START_SECONDS: Final = 16.0
HOT_END_SECONDS: Final = 44.0
CUT_START_SECONDS: Final = 12.0
CUT_SECONDS: Final = 14.0
RESTART_AT_SECONDS: Final = 22.0
END_SECONDS: Final = 60.0
LARGE_TEAM_RATE: Final = 95_140.0  # Units per second.
SMALL_TEAM_RATE: Final = 2_700.0
PLOTTED_SCENARIO: Final = "zone cut"


@dataclass(frozen=True, slots=True)
class Scenario:
    """A team's load and a fault during the run.

    Attributes:
        name: Its name in figures and plots.
        rate: The quota in units per second.
        has_hot_phase: Whether the team has a hot phase.
        fault: Injects the fault.
        fault_at: Time of the fault in seconds.
    """

    name: str
    rate: float
    has_hot_phase: bool = True
    fault: Callable[[World], None] = lambda world: None
    fault_at: float = 0.0

    def load(self, now: float) -> float:
        """Returns the units per second that callers request at a time."""
        hot = self.has_hot_phase and HOT_START_SECONDS <= now < HOT_END_SECONDS
        return USUAL_LOAD_PART * self.rate * (HOT_FACTOR if hot else 1.0)


class Row(msgspec.Struct, frozen=True):
    """Figures of one scheme in one scenario, over all seeds.

    Attributes:
        way: Name of the scheme.
        scenario: Name of the scenario.
        worst: The most units admitted in any window of any seed, divided by the bound.
        within: Admitted share of the units requested outside the hot phase and the window that
            follows it; mean over the seeds.
        hot: Units admitted in the hot phase, divided by what its windows allow; mean over the
            seeds; 0 without a hot phase.
        messages: Messages per request; mean over the seeds.
    """

    way: str
    scenario: str
    worst: float
    within: float
    hot: float
    messages: float


class Results(msgspec.Struct, frozen=True):
    """Figures of all schemes."""

    seeds: int
    rows: list[Row]


def isolate_zone(world: World) -> None:
    """Cuts a zone off for some seconds."""
    world.zone_cuts.append((world.now + CUT_SECONDS, 0))


def restart_all_instances(world: World) -> None:
    """Kills all instances; they restart without state."""
    for instance in world.instances:
        world.kill(instance)


SCENARIOS: Final = (
    Scenario("hot team", LARGE_TEAM_RATE),
    Scenario(PLOTTED_SCENARIO, LARGE_TEAM_RATE, fault=isolate_zone, fault_at=CUT_START_SECONDS),
    Scenario(
        "all restarted", LARGE_TEAM_RATE, fault=restart_all_instances, fault_at=RESTART_AT_SECONDS
    ),
    Scenario("small team", SMALL_TEAM_RATE, has_hot_phase=False),
)
SCHEMES: Final[dict[str, tuple[Callable[[], QuotaScheme], type[QuotaLedger]]]] = {
    "equal shares": (EqualShares, QuotaLedger),
    "told sums": (HeartbeatSums, QuotaLedger),
    "banker, bucket": (ZoneCoordinators, TokenBucketLedger),
    "banker, account": (ZoneCoordinators, QuotaLedger),
}


def run_scenario(scheme: str, scenario: Scenario, seed: int) -> World:
    """Runs a scenario with a scheme and returns the finished simulation."""
    make_scheme, ledger = SCHEMES[scheme]
    world = World(
        ZONES,
        ZONE_SIZE,
        quota(scenario.rate),
        seed,
        random_faults=False,
        scheme=make_scheme(),
        make_ledger=ledger,
    )
    world.run(scenario.fault_at, scenario.load)
    scenario.fault(world)
    world.run(END_SECONDS, scenario.load)
    return world


def summarize_runs(scheme: str, scenario: Scenario, worlds: Sequence[World]) -> Row:
    """Returns the figures of one scheme and scenario from the runs of all seeds."""
    return Row(
        scheme,
        scenario.name,
        max(world.worst_window() for world in worlds),
        mean(_admitted_within_quota(world, scenario) for world in worlds),
        mean(_admitted_in_hot_phase(world) for world in worlds) if scenario.has_hot_phase else 0.0,
        mean(world.messages / len(world.requests) for world in worlds),
    )


def _admitted_within_quota(world: World, scenario: Scenario) -> float:
    """Returns the admitted share of the units requested while the load is within the quota."""
    calm = [
        (cost, granted)
        for at, cost, granted in world.requests
        if BOUNDS.window <= at
        and not (
            scenario.has_hot_phase and HOT_START_SECONDS <= at < HOT_END_SECONDS + BOUNDS.window
        )
    ]
    return sum(cost for cost, granted in calm if granted) / sum(cost for cost, _ in calm)


def _admitted_in_hot_phase(world: World) -> float:
    admitted = sum(cost for at, cost in world.admitted if HOT_START_SECONDS <= at < HOT_END_SECONDS)
    return admitted / (
        BOUNDS.bound(world.quota) * (HOT_END_SECONDS - HOT_START_SECONDS) / BOUNDS.window
    )


def units_in_window(units: Sequence[tuple[float, float]], at: float) -> float:
    """Returns the units in the window that ends at a time."""
    return sum(cost for when, cost in units if at - BOUNDS.window < when <= at)


def write_plot(worlds: dict[str, World], path: Path) -> bool:
    """Plots one scenario with all schemes as PNG; False without the plotting library."""
    try:
        import matplotlib
    except ImportError:
        return False
    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawing, axes = pyplot.subplots(2, 2, figsize=(11.0, 7.0), sharex=True, sharey=True)
    times = [at / 2 for at in range(int(2 * END_SECONDS) + 1)]
    for axis, (scheme, world) in zip(axes.flat, worlds.items(), strict=True):
        requested = [(at, cost) for at, cost, _ in world.requests]
        bound = BOUNDS.bound(world.quota)
        axis.plot(
            times,
            [units_in_window(requested, at) / bound for at in times],
            color="0.7",
            label="offered",
        )
        axis.plot(
            times, [units_in_window(world.admitted, at) / bound for at in times], label="admitted"
        )
        axis.axhline(1.0, color="tab:red", linestyle="--", label="bound")
        axis.axvspan(CUT_START_SECONDS, CUT_START_SECONDS + CUT_SECONDS, color="0.92")
        axis.set_title(scheme)
        axis.set_ylim(0.0, 3.5)
    axes[0][0].legend(fontsize="small")
    for axis in axes[-1]:
        axis.set_xlabel("seconds; grey: a zone of three is cut off")
    for axis in axes[:, 0]:
        axis.set_ylabel("units in the last window / bound")
    drawing.tight_layout()
    drawing.savefig(path, dpi=90)
    pyplot.close(drawing)
    return True


def table(rows: Sequence[Row]) -> str:
    """Returns the figures as a table in Markdown."""
    lines = [
        "| scenario | way | worst window | admitted within the quota | of the bound when hot "
        "| messages a request |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows:
        hot = f"{row.hot:.2f}" if row.hot else ""
        lines.append(
            f"| {row.scenario} | {row.way} | {row.worst:.2f} | {row.within:.3f} | {hot} "
            f"| {row.messages:.1f} |"
        )
    return "\n".join(lines)


def main() -> int:
    """Runs the comparison; returns 0 if the product's scheme never exceeded the bound."""
    args = _parse_arguments()
    rows, plotted = [], {}
    for scenario, scheme in itertools.product(SCENARIOS, SCHEMES):
        worlds = [run_scenario(scheme, scenario, seed) for seed in range(1, args.seeds + 1)]
        rows.append(summarize_runs(scheme, scenario, worlds))
        if scenario.name == PLOTTED_SCENARIO:
            plotted[scheme] = worlds[0]
    print(table(rows))
    if str(args.out) != "-":
        args.out.write_bytes(msgspec.json.format(msgspec.json.encode(Results(args.seeds, rows))))
        if not write_plot(plotted, args.out.with_suffix(".png")):
            print("no plot: the extra `bench` is not installed", file=sys.stderr)
    product_rows = [row for row in rows if row.way == "banker, account"]
    return int(any(row.worst > 1.0 for row in product_rows))


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="wigeonarch_fakes.quota_bench", description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS, help="number of seeds, counted from 1")
    parser.add_argument(
        "--out", type=Path, default=Path("bench/results/quota.json"), help="results; - for none"
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
