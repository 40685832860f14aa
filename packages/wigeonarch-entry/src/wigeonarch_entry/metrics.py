"""Prometheus metrics of one instance.

The registry belongs to the instance, not to the process, so that several instances in one event
loop (in the demo and in tests) have separate metrics.
"""

from __future__ import annotations

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from wigeonarch_core.outcomes import Answered, Failed, NotRun, Reason, Unknown

OUTCOME_KINDS: Final = tuple(kind.__name__.lower() for kind in (Answered, NotRun, Unknown, Failed))
RESUME_REASONS: Final = (Reason.CONNECTION_LOST, Reason.SILENT)

LOAD_STALL_BUCKETS: Final = (0.0, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
FIRST_TOKEN_BUCKETS: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.77, 1.5, 3.0, 10.0)
BETWEEN_TOKENS_BUCKETS: Final = (0.001, 0.002, 0.005, 0.01, 0.02, 0.028, 0.05, 0.1, 0.5, 2.0)
BATCH_FILL_BUCKETS: Final = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0)


class Metrics:
    """Counters, gauges and histograms of one instance."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        reg = self.registry
        self.requests = Counter(
            "wigeonarch_requests", "Requests by kind of outcome", ["outcome"], registry=reg
        )
        self.refusals = Counter(
            "wigeonarch_refusals", "Requests not run, by reason", ["reason"], registry=reg
        )
        self.callers_ended = Counter(
            "wigeonarch_callers_ended",
            "Connections of callers that were ended before their answer, by reason",
            ["reason"],
            registry=reg,
        )
        self.retries = Counter(
            "wigeonarch_retries", "Retries of requests, by reason", ["reason"], registry=reg
        )
        self.retries_denied = Counter(
            "wigeonarch_retries_denied", "Retries that the budget did not allow", registry=reg
        )
        self.resumes = Counter(
            "wigeonarch_resumes", "Streams resumed on a new connection", ["reason"], registry=reg
        )
        self.orders = Counter(
            "wigeonarch_orders", "Orders to engines, by result", ["order", "result"], registry=reg
        )
        self.platform_calls = Counter(
            "wigeonarch_platform_calls", "Calls to the platform", ["call", "result"], registry=reg
        )
        self.ownership_moves = Counter(
            "wigeonarch_ownership_moves", "Ownership writes", ["move", "result"], registry=reg
        )
        self.keys = Counter(
            "wigeonarch_keys", "Idempotency keys, by what became of them", ["result"], registry=reg
        )
        self.control_bytes = Counter(
            "wigeonarch_control_bytes",
            "Payload bytes exchanged with peers and the platform, without headers",
            ["with", "direction"],
            registry=reg,
        )
        self.peer_messages = Counter(
            "wigeonarch_peer_messages", "Messages to and from peers", ["direction"], registry=reg
        )
        self.log_readings = Counter(
            "wigeonarch_log_readings", "Readings of the log beside the watch", registry=reg
        )
        self.peer_messages_dropped = Counter(
            "wigeonarch_peer_messages_dropped", "Messages to peers not sent", registry=reg
        )
        self.requests_in_progress = Gauge(
            "wigeonarch_requests_in_progress", "Requests in progress", registry=reg
        )
        self.configuration_applied = Gauge(
            "wigeonarch_configuration_applied", "Last change in force here", registry=reg
        )
        self.engines_owned = Gauge("wigeonarch_engines_owned", "Engines owned", registry=reg)
        self.load_stall = Histogram(
            "wigeonarch_load_stall_seconds",
            "Time that requests waited for a load",
            buckets=LOAD_STALL_BUCKETS,
            registry=reg,
        )
        self.first_token = Histogram(
            "wigeonarch_first_token_seconds",
            "Time from receipt to the first token",
            buckets=FIRST_TOKEN_BUCKETS,
            registry=reg,
        )
        self.between_tokens = Histogram(
            "wigeonarch_between_tokens_seconds",
            "Time between tokens",
            buckets=BETWEEN_TOKENS_BUCKETS,
            registry=reg,
        )
        self.batch_fill = Histogram(
            "wigeonarch_batch_fill_ratio",
            "Share of batch places used, as engines report it",
            buckets=BATCH_FILL_BUCKETS,
            registry=reg,
        )

        self._create_labelled_counters()

    def _create_labelled_counters(self) -> None:
        """Creates the labelled request counters at 0, so that rates are defined from the start."""
        for kind in OUTCOME_KINDS:
            self.requests.labels(kind)
        for reason in Reason:
            self.refusals.labels(reason)
            self.retries.labels(reason)
        for reason in RESUME_REASONS:
            self.resumes.labels(reason)

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus exposition format."""
        return generate_latest(self.registry)
