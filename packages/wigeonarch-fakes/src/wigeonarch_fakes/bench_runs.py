"""Runs cases of the policy benchmark in a pool of processes.

For comparison, the benchmark also runs the project's last committed policy: the core package of
that commit is exported into a directory that comes first on the import path of a separate pool.
Pools start fresh interpreters, so the two versions never mix.
"""

from __future__ import annotations

import multiprocessing
import subprocess
import sys
import tarfile
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from io import BytesIO
from pathlib import Path
from typing import Final

import msgspec

from wigeonarch_fakes.bench_figures import Figures, measure
from wigeonarch_fakes.bench_workloads import Deployment, Workload, read_workload
from wigeonarch_fakes.bench_world import World

CORE_PATH: Final = "packages/wigeonarch-core/src"
OWN_POLICY: Final = "own"
LAST_POLICY: Final = "last"


class Case(msgspec.Struct, frozen=True):
    """One run of the benchmark.

    Attributes:
        workload: Path of the workload file.
        policy: Name of the policy.
        seed: Seed of the run.
        objective: Path of the settings file with the user's objective.
    """

    workload: str
    policy: str
    seed: int
    objective: str


class Objective(msgspec.Struct, frozen=True):
    """The part of a settings file that the benchmark reads: `policy`, as plain values."""

    policy: dict[str, float]


def run_case(case: Case) -> Figures:
    """Runs one case and returns its figures."""
    workload, deployment = read_workload(Path(case.workload))
    world = World(workload, deployment, case.seed)
    if case.policy in (OWN_POLICY, LAST_POLICY):
        return _run_project_policy(world, deployment, case)
    from wigeonarch_fakes.bench_baselines import BASELINES

    world.run(BASELINES[case.policy](world))
    return measure(world)


def _run_project_policy(world: World, deployment: Deployment, case: Case) -> Figures:
    from wigeonarch_core.policy_options import PolicyOptions

    from wigeonarch_fakes.bench_serving import build_policy

    objective = read_objective(Path(case.objective))
    known = set(PolicyOptions.__struct_fields__)
    values = {name: value for name, value in objective.policy.items() if name in known}
    values["load_rate"] = deployment.load_rate
    values["load_seconds"] = 1.0 / deployment.load_rate
    world.run(build_policy(world, msgspec.convert(values, PolicyOptions)))
    return measure(world)


def read_objective(path: Path) -> Objective:
    """Reads the weights of an objective from a settings file."""
    return msgspec.json.decode(path.read_bytes(), type=Objective)


def run_all(cases: Iterable[Case], workers: int, core: Path | None) -> Iterator[Figures]:
    """Runs cases in a pool, and yields their figures in the same order.

    Args:
        cases: The cases to run.
        workers: Number of concurrent processes.
        core: Directory with a core package to use in place of the installed one.
    """
    context = multiprocessing.get_context("spawn")
    before = list(sys.path)
    if core is not None:
        # Spawned interpreters inherit their parent's import path.
        sys.path.insert(0, str(core))
    try:
        with ProcessPoolExecutor(workers, mp_context=context) as pool:
            yield from pool.map(run_case, cases)
    finally:
        sys.path[:] = before


def last_policy_commit(root: Path) -> str:
    """Returns the commit of the last policy that differs from the current one; empty if none."""
    changed = _git_output(root, "status", "--porcelain", "--", CORE_PATH).strip()
    commits = _git_output(root, "log", "-n", "2", "--format=%h", "--", CORE_PATH).split()
    place = 0 if changed else 1
    return commits[place] if place < len(commits) else ""


def current_commit(root: Path) -> str:
    """Returns the current commit, with `+` if files of the core package differ from it."""
    commit = _git_output(root, "rev-parse", "--short", "HEAD").strip()
    return commit + (
        "+" if _git_output(root, "status", "--porcelain", "--", CORE_PATH).strip() else ""
    )


def export_core(root: Path, commit: str, target: Path) -> Path:
    """Exports a commit's core package below a directory; returns its import path."""
    archive = subprocess.run(
        ["git", "-C", str(root), "archive", commit, CORE_PATH], check=True, capture_output=True
    ).stdout
    with tarfile.open(fileobj=BytesIO(archive)) as packed:
        packed.extractall(target, filter="data")
    return target / CORE_PATH


def _git_output(root: Path, *arguments: str) -> str:
    done = subprocess.run(
        ["git", "-C", str(root), *arguments], check=False, capture_output=True, text=True
    )
    if done.returncode:
        sys.stderr.write(done.stderr)
    return done.stdout


def select_workloads(root: Path, quick: bool, names: Iterable[str]) -> list[tuple[Path, Workload]]:
    """Returns the selected workload files, sorted by path."""
    wanted = set(names)
    available = [(path, read_workload(path)[0]) for path in sorted(root.glob("*.json"))]
    if wanted:
        return [(path, workload) for path, workload in available if workload.name in wanted]
    return [(path, workload) for path, workload in available if workload.quick or not quick]
