"""Measures load peaks on the platform when many instances act at once.

Each storm starts a deployment of separate processes, triggers one event, and measures the
platform's peak calls per second and the time until every instance is ready again.
"""

from __future__ import annotations

import argparse
import json
import signal
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

from wigeonarch_fakes import catalogue_setup, load
from wigeonarch_fakes.procbench import SERVICE, run_load
from wigeonarch_fakes.processes import Deployment, deployment

ZONES: Final = ("zone-a", "zone-b", "zone-c")
INSTANCES_PER_ZONE: Final = 8
OUTAGE_SECONDS: Final = 20.0
SETTLE_SECONDS: Final = 5.0
ENGINE_ARGS: Final = ("--slots", "4", "--max-batch", "64", "--base-ms", "20", "--load-ms", "300")


class PeakSampler:
    """Samples the platform calls per second in a thread and keeps their peak."""

    __slots__ = ("_dep", "_ended", "_thread", "calls_per_s")

    def __init__(self, dep: Deployment) -> None:
        self._dep = dep
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._sample)
        self.calls_per_s = 0.0

    def start(self) -> None:
        """Starts sampling."""
        self._thread.start()

    def stop(self) -> float:
        """Stops sampling; returns the peak."""
        self._ended.set()
        self._thread.join()
        return self.calls_per_s

    def _sample(self) -> None:
        last_time, last = time.monotonic(), self._calls()
        while not self._ended.wait(1.0):
            now, calls = time.monotonic(), self._calls()
            self.calls_per_s = max(self.calls_per_s, (calls - last) / (now - last_time))
            last_time, last = now, calls

    def _calls(self) -> float:
        calls = self._dep.read_record("platform")["calls"]
        return float(sum(calls.values()))


@contextmanager
def running_deployment(instances: int) -> Iterator[tuple[Deployment, list[str]]]:
    """Runs a deployment of three zones with `instances` entry instances in each."""
    with tempfile.TemporaryDirectory() as folder, deployment(Path(folder)) as dep:
        platform = dep.start_platform()
        dep.start_stand_in(
            "many",
            "engines",
            *("--platform", platform.address, "--zones", ",".join(ZONES)),
            *("--service", SERVICE, "--count", "6", *ENGINE_ARGS),
        )
        names = [f"{zone}-{number}" for zone in ZONES for number in range(instances)]
        for name in names:
            dep.start_entry(name, name.rpartition("-")[0], log_level="WARNING")
        dep.wait_ready(*names)
        catalogue_setup.create_model_service(dep.entries[names[0]]["rpc"], SERVICE, 24)
        time.sleep(SETTLE_SECONDS)  # Excludes the calls of starting up.
        yield dep, names


def measure_event(dep: Deployment, names: list[str], event: Callable[[], None]) -> dict[str, Any]:
    """Triggers an event; returns the idle peak, the peak, and the time until all are ready."""
    idle_sampler = PeakSampler(dep)
    idle_sampler.start()
    time.sleep(SETTLE_SECONDS)  # Samples the idle rate.
    idle_peak = idle_sampler.stop()
    peak = PeakSampler(dep)
    peak.start()
    begin = time.monotonic()
    event()
    dep.wait_ready(*names)
    ready_s = time.monotonic() - begin
    time.sleep(SETTLE_SECONDS)  # The peak may come after all are ready.
    return {
        "instances": len(names),
        "quiet_calls_per_s": round(idle_peak, 1),
        "peak_calls_per_s": round(peak.stop(), 1),
        "all_ready_s": round(ready_s, 1),
    }


def replace_zone() -> dict[str, Any]:
    """Kills all instances of one zone and restarts them at once."""
    with running_deployment(INSTANCES_PER_ZONE) as (dep, names):
        zone = [name for name in names if name.startswith(ZONES[0])]

        def event() -> None:
            for name in zone:
                dep.programs[name].stop(signal.SIGKILL)
            for name in zone:
                dep.restart_entry(name)

        return measure_event(dep, names, event)


def end_platform_outage() -> dict[str, Any]:
    """Takes the platform down for a while; then every instance reconnects."""
    with running_deployment(INSTANCES_PER_ZONE) as (dep, names):

        def event() -> None:
            dep.set_faults("platform", down=True)
            time.sleep(OUTAGE_SECONDS)  # The platform stays down for this time.
            dep.set_faults("platform", down=False)

        return measure_event(dep, names, event)


def replace_one_by_one() -> dict[str, Any]:
    """Replaces instances gracefully one by one, without the pauses of the usual 72 a day."""
    with running_deployment(4) as (dep, names):

        def event() -> None:
            for name in names:
                dep.programs[name].stop()
                dep.restart_entry(name)
                dep.wait_ready(name)

        return measure_event(dep, names, event)


def wake_adapters() -> dict[str, Any]:
    """Sends requests for the adapters to all instances, as if a third became active at once."""
    with running_deployment(2) as (dep, names):
        targets = tuple(dep.address(name) for name in names)
        plan = load.Plan(targets=targets, adapters=24, skew=0.0, rate=20.0, seconds=20.0, tokens=10)
        ends: dict[str, int] = {}

        def event() -> None:
            ends.update(run_load(plan).outcomes)

        return measure_event(dep, names, event) | {"ends": ends}


STORMS: Final = {
    "zone_replaced": replace_zone,
    "platform_back": end_platform_outage,
    "rolling": replace_one_by_one,
    "wake_up": wake_adapters,
}


def main() -> None:
    """Runs the storms as a program; writes the JSON and prints it."""
    parser = argparse.ArgumentParser(
        description="measures peaks of platform calls when many instances act at once"
    )
    parser.add_argument("--only", default=",".join(STORMS), help="comma-separated storms")
    parser.add_argument("--out", type=Path, default=Path("bench/results/storms.json"))
    args = parser.parse_args()
    document = json.loads(args.out.read_text()) if args.out.exists() else {}
    for name in args.only.split(","):
        document[name] = STORMS[name]()
        print(f"{name}: {document[name]}", flush=True)
    args.out.parent.mkdir(parents=True, exist_ok=True)
    args.out.write_text(json.dumps(document, indent=1) + "\n")


if __name__ == "__main__":
    main()
