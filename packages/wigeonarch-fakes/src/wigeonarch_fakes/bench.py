"""Compares the project's scheduling policy with baselines, in virtual time.

`python -m wigeonarch_fakes.bench --size quick` runs the workload files marked quick with five
seeds; `--size full` runs all of them with ten. Results are written to `bench/results/`, and a table
is printed.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Final

import msgspec

from wigeonarch_fakes import bench_report, bench_runs
from wigeonarch_fakes.bench_figures import Figures
from wigeonarch_fakes.bench_plot import write_plot
from wigeonarch_fakes.bench_runs import LAST_POLICY, OWN_POLICY, Case
from wigeonarch_fakes.bench_workloads import Workload

SEEDS_BY_SIZE: Final = {"quick": 5, "full": 10}
DEFAULT_WORKERS: Final = 6
POLICIES: Final = (
    "random",
    "least_loaded_lru",
    "rendezvous_lru",
    "loaded_lru",
    "clairvoyant",
    LAST_POLICY,
    OWN_POLICY,
)


def main() -> int:
    """Runs the benchmark; returns 1 if a run evicted an adapter in use, else 0."""
    args = _parse_arguments()
    workloads = bench_runs.select_workloads(
        args.root / "bench/workloads", args.size == "quick", args.workload
    )
    seeds = list(range(1, (args.seeds or SEEDS_BY_SIZE[args.size]) + 1))
    last = args.last or bench_runs.last_policy_commit(args.root)
    policies = [name for name in args.policy or POLICIES if name != LAST_POLICY or last]
    command = "python -m wigeonarch_fakes.bench " + " ".join(sys.argv[1:])
    commit = bench_runs.current_commit(args.root)
    print(f"commit {commit}, last policy {last or 'none'}, seeds {seeds}")
    cases = [
        Case(str(path), policy, seed, str(_objective_path(args.root, workload)))
        for path, workload in workloads
        for policy in policies
        for seed in seeds
    ]
    figures = _run_cases(args, cases, last)
    results = _summarize_cases(args.root, workloads, policies, seeds, cases, figures)
    results.command, results.commit, results.last = command, commit, last
    _print_tables(results)
    _write_results(args, results)
    return int(any(run.violations for run in figures))


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="wigeonarch_fakes.bench", description=__doc__)
    parser.add_argument("--size", choices=sorted(SEEDS_BY_SIZE), default="quick")
    parser.add_argument("--seeds", type=int, default=0, help="number of seeds, counted from 1")
    parser.add_argument("--workload", action="append", default=[], help="only these workloads")
    parser.add_argument("--policy", action="append", default=[], help="only these policies")
    parser.add_argument("--last", default="", help="commit of the policy to compare with")
    parser.add_argument("--workers", type=int, default=DEFAULT_WORKERS)
    parser.add_argument("--root", type=Path, default=Path(), help="root of the repository")
    parser.add_argument("--out", type=Path, default=None, help="results file; - for none")
    return parser.parse_args()


def _objective_path(root: Path, workload: Workload) -> Path:
    user = Path(workload.deployment).stem
    return root / "examples" / f"objective-{user}.json"


def _run_cases(args: argparse.Namespace, cases: list[Case], last: str) -> list[Figures]:
    own_cases = [case for case in cases if case.policy != LAST_POLICY]
    last_cases = [case for case in cases if case.policy == LAST_POLICY]
    done = dict(zip(own_cases, bench_runs.run_all(own_cases, args.workers, None), strict=True))
    if last_cases:
        with tempfile.TemporaryDirectory() as directory:
            core = bench_runs.export_core(args.root, last, Path(directory))
            done.update(
                zip(last_cases, bench_runs.run_all(last_cases, args.workers, core), strict=True)
            )
    return [done[case] for case in cases]


def _summarize_cases(
    root: Path,
    workloads: Iterable[tuple[Path, Workload]],
    policies: list[str],
    seeds: list[int],
    cases: list[Case],
    figures: list[Figures],
) -> bench_report.Results:
    by_case = dict(zip(cases, figures, strict=True))
    summaries: dict[str, dict[str, bench_report.Summary]] = {}
    for path, workload in workloads:
        objective = _objective_path(root, workload)
        weights = bench_runs.read_objective(objective).policy
        summaries[workload.name] = {
            policy: bench_report.summarize(
                [by_case[Case(str(path), policy, seed, str(objective))] for seed in seeds], weights
            )
            for policy in policies
        }
    return bench_report.Results(command="", commit="", last="", seeds=seeds, summaries=summaries)


def _print_tables(results: bench_report.Results) -> None:
    for name, summaries in results.summaries.items():
        print(bench_report.text_table(name, summaries))
        if OWN_POLICY in summaries:
            print(bench_report.compare_with_baselines(summaries, OWN_POLICY))


def _write_results(args: argparse.Namespace, results: bench_report.Results) -> None:
    if str(args.out) == "-":
        return
    path = args.out or args.root / "bench/results" / f"{args.size}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1) + b"\n")
    shown = [name for name in POLICIES if all(name in each for each in results.summaries.values())]
    path.with_suffix(".md").write_text(bench_report.markdown_table(results.summaries, shown) + "\n")
    plotted = write_plot(results, path.with_suffix(".png"))
    print(f"wrote {path}" + (" and a plot" if plotted else "; no plot, the library is missing"))


if __name__ == "__main__":
    sys.exit(main())
