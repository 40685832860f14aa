"""Measures how resource use grows with the size of a deployment, for docs/CAPACITY.md.

Each sweep varies one size. It starts the programs as separate processes, lets them settle, measures
what the entry instances and the platform stand-in use over a window, and fits a line by least
squares. CPU time is read per process, so other work on the machine changes it little. For resident
memory, the slope gives the growth over an idle process, and the value at zero the idle process.
"""

from __future__ import annotations

import argparse
import json
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, Final

import msgspec
import numpy as np

from wigeonarch_fakes import catalogue_setup, load, usage
from wigeonarch_fakes.procbench import SERVICE, run_load
from wigeonarch_fakes.processes import Deployment, call, deployment

ZONE: Final = "zone-a"
SETTLE_SECONDS: Final = 8.0
WINDOW_SECONDS: Final = 10.0
WRITE_METHODS: Final = ("PUT", "DELETE")
ENGINE_ARGS: Final = ("--slots", "8", "--max-batch", "64", "--base-ms", "20", "--load-ms", "20")


class Point(msgspec.Struct, frozen=True, kw_only=True):
    """Resource use at one size, per entry instance and second unless stated otherwise.

    Attributes:
        size: The varied size.
        cpu: Fraction of a core.
        rss_mib: Resident memory in MiB.
        peer_bytes: Payload bytes to and from peers.
        peer_messages: Messages to and from peers.
        platform_bytes: Payload bytes to and from the platform.
        platform_calls: Calls to the platform, watches not counted.
        platform_writes: Writes at the platform by all instances together.
        platform_reads: Reads at the platform by all instances together.
        watches: Number of open watches at the platform, of all instances together.
    """

    size: float
    cpu: float
    rss_mib: float
    peer_bytes: float
    peer_messages: float
    platform_bytes: float
    platform_calls: float
    platform_writes: float
    platform_reads: float
    watches: float


class Line(msgspec.Struct, frozen=True):
    """A line through points: `at_zero + per_unit * size`; `r2` is the goodness of fit."""

    at_zero: float
    per_unit: float
    r2: float


FIGURES: Final = tuple(name for name in Point.__struct_fields__ if name != "size")


def fit_line(points: Sequence[Point], figure: str) -> Line:
    """Fits a line to one figure of the points, by least squares."""
    sizes = np.array([point.size for point in points])
    values = np.array([getattr(point, figure) for point in points])
    per_unit, at_zero = np.polyfit(sizes, values, 1)
    variation = float(((values - values.mean()) ** 2).sum())
    residual = float(((values - (at_zero + per_unit * sizes)) ** 2).sum())
    r2 = 1.0 - residual / variation if variation else 1.0
    return Line(float(at_zero), float(per_unit), r2)


def measure_window(
    dep: Deployment, size: float, workload: Callable[[], object] | None = None
) -> Point:
    """Measures the resource use over a window, under a workload or idle."""
    time.sleep(SETTLE_SECONDS)  # Excludes the costs of starting up.
    first = _platform_calls(dep)
    before = _read_entry_usage(dep)
    begin = time.monotonic()
    if workload is not None:
        workload()
    # Measures over a whole window even if the workload ends earlier.
    time.sleep(max(0.0, begin + WINDOW_SECONDS - time.monotonic()))  # The rest of the window.
    seconds = time.monotonic() - begin
    after = _read_entry_usage(dep)
    last = _platform_calls(dep)
    usages = [after[name].since(before[name]) for name in after]
    return Point(
        size=size,
        cpu=usage.mean(each.cpu_s for each in usages) / seconds,
        rss_mib=usage.mean(each.rss_mib for each in usages),
        peer_bytes=_rate(usages, "wigeonarch_control_bytes_total{direction=in,with=peers", seconds)
        + _rate(usages, "wigeonarch_control_bytes_total{direction=out,with=peers", seconds),
        peer_messages=_rate(usages, "wigeonarch_peer_messages_total", seconds),
        platform_bytes=_rate(
            usages, "wigeonarch_control_bytes_total{direction=in,with=platform", seconds
        )
        + _rate(usages, "wigeonarch_control_bytes_total{direction=out,with=platform", seconds),
        platform_calls=_rate(usages, "wigeonarch_platform_calls_total", seconds),
        platform_writes=(last["writes"] - first["writes"]) / seconds,
        platform_reads=(last["reads"] - first["reads"]) / seconds,
        watches=last["watches"],
    )


def _rate(usages: Sequence[usage.Usage], prefix: str, seconds: float) -> float:
    return usage.mean(each.total(prefix) for each in usages) / seconds


def _read_entry_usage(dep: Deployment) -> dict[str, usage.Usage]:
    return {
        name: usage.read_usage(dep.programs[name].process.pid, dep.address(name))
        for name in dep.entries
    }


def _platform_calls(dep: Deployment) -> dict[str, float]:
    """Returns the platform stand-in's own counts: writes, reads and waiting watches."""
    record = dep.read_record("platform")
    totals = {"writes": 0.0, "reads": 0.0, "watches": float(record["waiting_watches"])}
    for name, count in record["calls"].items():
        method = name.partition(" ")[0]
        if method != "WATCH":
            totals["writes" if method in WRITE_METHODS else "reads"] += count
    return totals


def _start_entries(dep: Deployment, count: int) -> None:
    names = [f"entry-{number}" for number in range(count)]
    for name in names:
        dep.start_entry(name, ZONE, log_level="WARNING")
    dep.wait_ready(*names)


def _start_engines(dep: Deployment, count: int) -> None:
    platform = dep.address("platform")
    dep.start_stand_in(
        "many",
        "engines",
        *("--platform", platform, "--zones", ZONE, "--service", SERVICE),
        *("--count", str(count), *ENGINE_ARGS),
    )


def measure_instances(dep: Deployment, size: int) -> Point:
    """Varies the entry instances of one zone."""
    _start_entries(dep, size)
    return measure_window(dep, size)


def measure_engines(dep: Deployment, size: int) -> Point:
    """Varies the engines that one instance owns."""
    _start_engines(dep, size)
    _start_entries(dep, 1)
    return measure_window(dep, size)


def measure_adapters(dep: Deployment, size: int) -> Point:
    """Varies the adapters in the catalogue, each with one version and a rule."""
    _start_entries(dep, 1)
    server = dep.entries["entry-0"]["rpc"]
    catalogue_setup.create_model_service(server, SERVICE, size)
    return measure_window(dep, size)


def measure_requests(dep: Deployment, size: int) -> Point:
    """Varies the requests per second at one instance, of 20 tokens each."""
    _start_engines(dep, 4)
    _start_entries(dep, 1)
    catalogue_setup.create_model_service(dep.entries["entry-0"]["rpc"], SERVICE, 4)
    targets = (dep.address("entry-0"),)
    warm = load.Plan(targets=targets, adapters=4, rate=5.0, seconds=4.0, tokens=2)
    run_load(warm)
    plan = load.Plan(targets=targets, adapters=4, rate=size, seconds=WINDOW_SECONDS, tokens=20)
    return measure_window(dep, size, lambda: run_load(plan))


def paced_calls(rate: float) -> Iterator[int]:
    """Yields the call numbers of one window, each at its due time; `rate` is per second."""
    begin = time.monotonic()
    for number in range(int(rate * WINDOW_SECONDS)):
        time.sleep(max(0.0, begin + number / rate - time.monotonic()))  # Until due.
        yield number


def measure_keyed_calls(dep: Deployment, size: int) -> Point:
    """Varies the non-idempotent calls per second at one instance."""
    dep.start_endpoint("service", "orders-1", ZONE, "orders")
    _start_entries(dep, 1)
    assert dep.run_ctl("entry-0", "service", "create", "orders", "--kind", "plain")[0] == 0
    url = f"{dep.address('entry-0')}/v1/services/orders/confirm"

    def send_calls() -> None:
        for number in paced_calls(size):
            call("POST", url, {}, {"Idempotency-Key": f"key-{number}"})

    return measure_window(dep, size, send_calls)


def measure_changes(dep: Deployment, size: float) -> Point:
    """Varies the configuration changes per second, with four instances."""
    _start_entries(dep, 4)
    server = dep.entries["entry-0"]["rpc"]
    catalogue_setup.create_model_service(server, SERVICE, 1)

    def send_calls() -> None:
        for number in paced_calls(size):
            catalogue_setup.apply_mutations_blocking(
                server, catalogue_setup.adapter_with_rule(SERVICE, f"new{number}")[:1]
            )

    return measure_window(dep, size, send_calls)


SWEEPS: Final[dict[str, tuple[Callable[[Deployment, Any], Point], tuple[float, ...]]]] = {
    "instances": (measure_instances, (1, 4, 8, 16)),
    "engines": (measure_engines, (1, 8, 16, 32)),
    "adapters": (measure_adapters, (100, 500, 1000, 2000)),
    "requests": (measure_requests, (5, 20, 40, 80)),
    "keyed_calls": (measure_keyed_calls, (5, 20, 40)),
    "changes": (measure_changes, (0.5, 1, 2, 4)),
}


def sweep(name: str) -> dict[str, Any]:
    """Runs one sweep; returns its points and lines as a document."""
    measure, sizes = SWEEPS[name]
    points = []
    for size in sizes:
        with tempfile.TemporaryDirectory() as folder, deployment(Path(folder)) as dep:
            dep.start_platform()
            points.append(measure(dep, size))
    lines = {figure: msgspec.to_builtins(fit_line(points, figure)) for figure in FIGURES}
    return {"points": msgspec.to_builtins(points), "lines": lines}


def table(document: dict[str, Any]) -> str:
    """Returns the lines of all sweeps as a table in Markdown."""
    rows = ["| sweep | figure | at zero | per unit | r² |", "|---|---|---:|---:|---:|"]
    for name, result in document["sweeps"].items():
        for figure, line in result["lines"].items():
            cells = (name, figure, *(f"{line[key]:.4g}" for key in ("at_zero", "per_unit", "r2")))
            rows.append("| " + " | ".join(cells) + " |")
    return "\n".join(rows)


def main() -> None:
    """Runs the sweeps as a program; writes the JSON and prints the table."""
    parser = argparse.ArgumentParser(
        description="measures an entry instance's resource use at several sizes"
    )
    parser.add_argument("--only", default=",".join(SWEEPS), help="comma-separated sweeps")
    parser.add_argument("--out", type=Path, default=Path("bench/results/slopes.json"))
    args = parser.parse_args()
    document: dict[str, Any] = {"window_s": WINDOW_SECONDS, "sweeps": {}}
    if args.out.exists():
        document["sweeps"] = json.loads(args.out.read_text())["sweeps"]
    for name in args.only.split(","):
        document["sweeps"][name] = sweep(name)
        print(f"{name}: done", flush=True)
    args.out.parent.mkdir(parents=True, exist_ok=True)
    args.out.write_text(json.dumps(document, indent=1) + "\n")
    print(table(document))


if __name__ == "__main__":
    main()
