"""What processes use: processor time, resident memory, and figures from their metrics page."""

from __future__ import annotations

import urllib.request
from collections.abc import Iterable

import msgspec
import psutil
from prometheus_client.parser import text_string_to_metric_families

METRICS_TIMEOUT_S = 10.0
MIB = 1024.0 * 1024.0


class Usage(msgspec.Struct, frozen=True):
    """What one process has used so far, or between two readings.

    Attributes:
        cpu_s: Processor time in seconds, user and system.
        rss_mib: Resident memory in MiB; at the later reading if between two.
        counters: Values of metrics by name and labels, for example `name{call=get}`.
    """

    cpu_s: float
    rss_mib: float
    counters: dict[str, float]

    def since(self, earlier: Usage) -> Usage:
        """Returns what was used after an earlier reading."""
        counters = {
            name: value - earlier.counters.get(name, 0.0) for name, value in self.counters.items()
        }
        return Usage(self.cpu_s - earlier.cpu_s, self.rss_mib, counters)

    def total(self, prefix: str) -> float:
        """Returns the sum of all counters whose name begins with `prefix`."""
        return sum(value for name, value in self.counters.items() if name.startswith(prefix))


def read_usage(pid: int, address: str | None = None) -> Usage:
    """Reads what a process has used; with an address, its metrics page as well."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    rss = process.memory_info().rss / MIB
    return Usage(times.user + times.system, rss, read_metrics(address) if address else {})


def read_metrics(address: str) -> dict[str, float]:
    """Returns the counters and gauges of a metrics page."""
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=METRICS_TIMEOUT_S) as resp:
        text = resp.read().decode()
    found: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = ",".join(f"{key}={value}" for key, value in sorted(sample.labels.items()))
            found[f"{sample.name}{{{labels}}}"] = sample.value
    return found


def mean(values: Iterable[float]) -> float:
    """Returns the mean; 0 of nothing."""
    listed = list(values)
    return sum(listed) / len(listed) if listed else 0.0
