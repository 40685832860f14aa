"""Measures CPU time and resident memory of processes, and reads their Prometheus metrics."""

from __future__ import annotations

import urllib.request
from collections.abc import Iterable

import msgspec
import psutil
from prometheus_client.parser import text_string_to_metric_families

METRICS_TIMEOUT_S = 10.0
MIB = 1024.0 * 1024.0


class Usage(msgspec.Struct, frozen=True):
    """Resource usage of one process since its start, or between two readings.

    Attributes:
        cpu_s: CPU time in seconds, user and system.
        rss_mib: Resident memory in MiB; between two readings, that of the later one.
        counters: Metric values by name and labels, for example `name{call=get}`.
    """

    cpu_s: float
    rss_mib: float
    counters: dict[str, float]

    def since(self, earlier: Usage) -> Usage:
        """Returns the usage since an earlier reading."""
        counters = {
            name: value - earlier.counters.get(name, 0.0) for name, value in self.counters.items()
        }
        return Usage(self.cpu_s - earlier.cpu_s, self.rss_mib, counters)

    def total(self, prefix: str) -> float:
        """Returns the sum of all counters whose name begins with `prefix`."""
        return sum(value for name, value in self.counters.items() if name.startswith(prefix))


def read_usage(pid: int, address: str | None = None) -> Usage:
    """Reads the usage of a process; with an address, also its metrics page."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    rss = process.memory_info().rss / MIB
    return Usage(times.user + times.system, rss, read_metrics(address) if address else {})


def read_metrics(address: str) -> dict[str, float]:
    """Returns the samples of a metrics page by name and labels."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=METRICS_TIMEOUT_S) as resp:
        text = resp.read().decode()
    samples: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = ",".join(f"{key}={value}" for key, value in sorted(sample.labels.items()))
            samples[f"{sample.name}{{{labels}}}"] = sample.value
    return samples


def mean(values: Iterable[float]) -> float:
    """Returns the mean; 0 if there are no values."""
    listed = list(values)
    return sum(listed) / len(listed) if listed else 0.0
