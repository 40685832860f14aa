"""Compares ways to keep a team's quota over all instances, in virtual time.

A team within its quota asks for seven times as much in a hot phase: while nothing happens, while a
zone is cut off before it and healed in it, and while all instances restart in it. One message of
fifty is lost.

`python -m wigeonarch_fakes.quota_bench` plays the same loads and troubles on each way, with five
seeds, and writes figures and a plot to `bench/results/`: what callers asked for, what was admitted,
and what any window may hold.
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
USUAL_LOAD_PART: Final = 0.55  # Part of its quota that a team asks for on the whole.
HOT_FACTOR: Final = 7.5  # Times that in a hot phase.
HOT_START_SECONDS: Final = 16.0  # Seconds.
HOT_END_SECONDS: Final = 44.0
CUT_START_SECONDS: Final = 12.0
CUT_SECONDS: Final = 14.0
RESTART_AT_SECONDS: Final = 22.0
END_SECONDS: Final = 60.0
LARGE_TEAM_RATE: Final = 95_140.0  # Units a second.
SMALL_TEAM_RATE: Final = 2_700.0
PLOTTED_SCENARIO: Final = "zone cut"


@dataclass(frozen=True, slots=True)
class Scenario:
    """A team, its load, and what happens to the instances in a hot phase.

    Attributes:
        name: Its name in figures and plots.
        rate: Units a second of the quota.
        hot: Whether the team has a hot phase.
        trouble: What happens to the instances.
        at: Seconds at which it does.
    """

    name: str
    rate: float
    has_hot_phase: bool = True
    fault: Callable[[World], None] = lambda world: None
    fault_at: float = 0.0

    def load(self, now: float) -> float:
        """Returns the units a second that callers ask for at a time."""
        hot = self.has_hot_phase and HOT_START_SECONDS <= now < HOT_END_SECONDS
        return USUAL_LOAD_PART * self.rate * (HOT_FACTOR if hot else 1.0)


class Row(msgspec.Struct, frozen=True):
    """Figures of one way in one scenario, over all seeds.

    Attributes:
        way: Name of the way.
        scenario: Name of the scenario.
        worst: The most that any window held, as a part of what it may hold; over all seeds.
        within: Part that was admitted of what was asked for outside the hot phase and the window
            that follows it; mean.
        hot: Part of what windows may hold that was admitted in the hot phase; mean; 0 without one.
        messages: Messages per request; mean.
    """

    way: str
    scenario: str
    worst: float
    within: float
    hot: float
    messages: float


class Results(msgspec.Struct, frozen=True):
    """Figures of all ways."""

    seeds: int
    rows: list[Row]


def isolate_zone(world: World) -> None:
    """Cuts a zone off for some seconds."""
    world.zone_cuts.append((world.now + CUT_SECONDS, 0))


def restart_all_instances(world: World) -> None:
    """Kills all instances, which start again knowing nothing."""
    for one in world.instances:
        world.kill(one)


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


def run_scenario(way: str, scenario: Scenario, seed: int) -> World:
    """Plays a scenario on a way."""
    made, bank = SCHEMES[way]
    world = World(
        ZONES,
        ZONE_SIZE,
        quota(scenario.rate),
        seed,
        random_faults=False,
        scheme=made(),
        make_ledger=bank,
    )
    world.run(scenario.fault_at, scenario.load)
    scenario.fault(world)
    world.run(END_SECONDS, scenario.load)
    return world


def summarize_runs(way: str, scenario: Scenario, worlds: Sequence[World]) -> Row:
    """Returns the figures of some plays."""
    return Row(
        way,
        scenario.name,
        max(world.worst_window() for world in worlds),
        mean(_admitted_within_quota(world, scenario) for world in worlds),
        mean(_admitted_in_hot_phase(world) for world in worlds) if scenario.has_hot_phase else 0.0,
        mean(world.messages / len(world.requests) for world in worlds),
    )


def _admitted_within_quota(world: World, scenario: Scenario) -> float:
    """Returns the part that was admitted of what a team within its quota asked for."""
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
    given = sum(cost for at, cost in world.admitted if HOT_START_SECONDS <= at < HOT_END_SECONDS)
    return given / (
        BOUNDS.bound(world.quota) * (HOT_END_SECONDS - HOT_START_SECONDS) / BOUNDS.window
    )


def units_in_window(units: Sequence[tuple[float, float]], at: float) -> float:
    """Returns the units within the window that ends at a time."""
    return sum(cost for when, cost in units if at - BOUNDS.window < when <= at)


def write_plot(worlds: dict[str, World], path: Path) -> bool:
    """Writes a plot of one scenario on all ways as PNG; False without the plotting library."""
    try:
        import matplotlib
    except ImportError:
        return False
    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawing, axes = pyplot.subplots(2, 2, figsize=(11.0, 7.0), sharex=True, sharey=True)
    times = [at / 2 for at in range(int(2 * END_SECONDS) + 1)]
    for axis, (way, world) in zip(axes.flat, worlds.items(), strict=True):
        asked = [(at, cost) for at, cost, _ in world.requests]
        bound = BOUNDS.bound(world.quota)
        axis.plot(
            times,
            [units_in_window(asked, at) / bound for at in times],
            color="0.7",
            label="offered",
        )
        axis.plot(
            times, [units_in_window(world.admitted, at) / bound for at in times], label="admitted"
        )
        axis.axhline(1.0, color="tab:red", linestyle="--", label="bound")
        axis.axvspan(CUT_START_SECONDS, CUT_START_SECONDS + CUT_SECONDS, color="0.92")
        axis.set_title(way)
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
    for one in rows:
        hot = f"{one.hot:.2f}" if one.hot else ""
        lines.append(
            f"| {one.scenario} | {one.way} | {one.worst:.2f} | {one.within:.3f} | {hot} "
            f"| {one.messages:.1f} |"
        )
    return "\n".join(lines)


def main() -> int:
    """Runs the comparison; returns the exit status: 0 if the way in use kept the bound."""
    args = _parse_arguments()
    rows, plotted = [], {}
    for scenario, way in itertools.product(SCENARIOS, SCHEMES):
        worlds = [run_scenario(way, scenario, seed) for seed in range(1, args.seeds + 1)]
        rows.append(summarize_runs(way, scenario, worlds))
        if scenario.name == PLOTTED_SCENARIO:
            plotted[way] = worlds[0]
    print(table(rows))
    if str(args.out) != "-":
        args.out.write_bytes(msgspec.json.format(msgspec.json.encode(Results(args.seeds, rows))))
        if not write_plot(plotted, args.out.with_suffix(".png")):
            print("no plot: the extra `bench` is not installed", file=sys.stderr)
    kept = [one for one in rows if one.way == "banker, account"]
    return int(any(one.worst > 1.0 for one in kept))


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="wigeonarch_fakes.quota_bench", description=__doc__)
    parser.add_argument("--seeds", type=int, default=SEEDS, help="number of seeds, counted from 1")
    parser.add_argument(
        "--out", type=Path, default=Path("bench/results/quota.json"), help="results; - for none"
    )
    return parser.parse_args()


if __name__ == "__main__":
    sys.exit(main())
