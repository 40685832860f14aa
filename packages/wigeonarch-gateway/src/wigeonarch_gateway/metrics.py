"""The counters, histograms and gauges of one gateway instance, in the text format of Prometheus."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from wigeonarch_core.teams import Team

# Upper bounds of histogram buckets, in seconds.
WAIT_BUCKETS: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.0, 2.0, 5.0, 15.0)
AGE_BUCKETS: Final = (0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 6.0, 10.0)
# Teams with label values of their own; the others share one, so that the page stays small.
MAX_TEAM_LABELS: Final = 200
OTHER_TEAMS: Final = "(others)"


class Metrics:
    """The metrics of one instance, with a registry of their own so that tests can run several."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        reg = self.registry
        self.requests = Counter(
            "wigeonarch_gateway_requests",
            "Requests by route and outcome",
            ["route", "outcome"],
            registry=reg,
        )
        self.refusals = Counter(
            "wigeonarch_gateway_refusals", "Requests not run, by reason", ["reason"], registry=reg
        )
        self.callers_ended = Counter(
            "wigeonarch_gateway_callers_ended",
            "Connections of callers that were ended before their answer, by reason",
            ["reason"],
            registry=reg,
        )
        self.caller_memory = Gauge(
            "wigeonarch_gateway_caller_memory_bytes",
            "Bytes held for callers: requests, and answers that they have not read",
            registry=reg,
        )
        self.service_refusals = Counter(
            "wigeonarch_gateway_service_refusals",
            "Requests that overloaded plain services did not take, by service and reason",
            ["service", "reason"],
            registry=reg,
        )
        self._labeled_teams: set[str] = set()
        self.quota_units = Counter(
            "wigeonarch_gateway_quota_units",
            "Units of quotas that requests asked for, by team and outcome",
            ["team", "outcome"],
            registry=reg,
        )
        self.quota_rate = Gauge(
            "wigeonarch_gateway_quota_rate",
            "Units a second of each team's quota, by the configuration in force",
            ["team"],
            registry=reg,
        )
        self.quota_burst = Gauge(
            "wigeonarch_gateway_quota_burst", "Units besides", ["team"], registry=reg
        )
        self.quota_requests = Counter(
            "wigeonarch_gateway_quota_requests",
            "Requests under a quota, by team and outcome",
            ["team", "outcome"],
            registry=reg,
        )
        self.team_answers = Histogram(
            "wigeonarch_gateway_team_answer_seconds",
            "Time to the first event or the whole answer, by team",
            ["team"],
            buckets=WAIT_BUCKETS,
            registry=reg,
        )
        self.quarantined = Counter(
            "wigeonarch_gateway_quarantined",
            "Requests that are held back, as endpoints ended under them",
            registry=reg,
        )
        self.parts_held = Counter(
            "wigeonarch_gateway_parts_held",
            "Parts of prompts that are held back, as endpoints ended under requests with them",
            registry=reg,
        )
        self.permits = Counter(
            "wigeonarch_gateway_permits",
            "Permits for endpoints that name a limit, by outcome",
            ["outcome"],
            registry=reg,
        )
        self.places = Counter(
            "wigeonarch_gateway_places",
            "Places at endpoints that crash when they turn requests away, by outcome",
            ["outcome"],
            registry=reg,
        )
        self.turned_away = Counter(
            "wigeonarch_gateway_turned_away",
            "Requests that endpoints refused to run, by service, and whether it was the first try",
            ["service", "first"],
            registry=reg,
        )
        self.retries = Counter(
            "wigeonarch_gateway_retries", "Repeated sends, by reason", ["reason"], registry=reg
        )
        self.extra_tries = Counter(
            "wigeonarch_gateway_extra_tries",
            "Requests sent to a second endpoint as their answer was slow, by outcome",
            ["outcome"],
            registry=reg,
        )
        self.extra_tries_denied = Counter(
            "wigeonarch_gateway_extra_tries_denied",
            "Requests not sent to a second endpoint, by reason",
            ["reason"],
            registry=reg,
        )
        self.handovers = Counter(
            "wigeonarch_gateway_handovers",
            "Requests handed over to peers (out) and by peers (in), by result",
            ["direction", "result"],
            registry=reg,
        )
        self.orders = Counter(
            "wigeonarch_gateway_orders", "Orders by result", ["order", "result"], registry=reg
        )
        self.reports = Counter("wigeonarch_gateway_reports", "Engine reports read", registry=reg)
        self.store_calls = Counter(
            "wigeonarch_gateway_store_calls", "Calls to the store", ["call", "result"], registry=reg
        )
        self.claims = Counter(
            "wigeonarch_gateway_claims", "Claims of endpoints by result", ["result"], registry=reg
        )
        self.held = Gauge("wigeonarch_gateway_endpoints_held", "Endpoints held", registry=reg)
        self.peers = Gauge("wigeonarch_gateway_peers", "Instances heard", registry=reg)
        self.configuration = Gauge(
            "wigeonarch_gateway_configuration_version", "Version in force", registry=reg
        )
        self.in_progress = Gauge(
            "wigeonarch_gateway_requests_in_progress", "Requests in progress", registry=reg
        )
        self.log_lines_dropped = Gauge(
            "wigeonarch_gateway_log_lines_dropped", "Log lines that nobody took", registry=reg
        )
        self.endpoint_pace = Gauge(
            "wigeonarch_gateway_endpoint_pace",
            "How many times as long as the usual endpoint of its service each endpoint takes",
            ["endpoint"],
            registry=reg,
        )
        self.first_byte = Histogram(
            "wigeonarch_gateway_first_byte_seconds",
            "Time to the first byte of the answer",
            ["route"],
            buckets=WAIT_BUCKETS,
            registry=reg,
        )
        self.knowledge_age = Histogram(
            "wigeonarch_gateway_knowledge_age_seconds",
            "Time since the store last vouched for what is known of a kind, at each look",
            ["kind"],
            buckets=AGE_BUCKETS,
            registry=reg,
        )
        self.loop_lag = Histogram(
            "wigeonarch_gateway_loop_lag_seconds",
            "Time by which a timer was late, because the process stood still or was busy",
            buckets=WAIT_BUCKETS,
            registry=reg,
        )
        self.load_wait = Histogram(
            "wigeonarch_gateway_load_wait_seconds",
            "Time that requests waited for an adapter",
            buckets=WAIT_BUCKETS,
            registry=reg,
        )

    def set_paces(self, paces: Mapping[str, float]) -> None:
        """Sets the gauges of the endpoints' paces; endpoints that are gone have none."""
        self.endpoint_pace.clear()
        for endpoint, pace in paces.items():
            self.endpoint_pace.labels(endpoint).set(pace)

    def set_quotas(self, teams: Iterable[Team]) -> None:
        """Sets the gauges to the quotas of a configuration, for at most `MAX_TEAM_LABELS` teams."""
        self.quota_rate.clear()
        self.quota_burst.clear()
        limited = [team for team in teams if team.quota is not None]
        for team in limited[:MAX_TEAM_LABELS]:
            assert team.quota is not None
            self.quota_rate.labels(team.name).set(team.quota.rate)
            self.quota_burst.labels(team.name).set(team.quota.burst)

    def count_admitted(self, team: str, units: float) -> None:
        """Counts a request that was admitted within its team's quota."""
        self._count_quota(team, "admitted", units)

    def count_over_quota(self, team: str, units: float) -> None:
        """Counts a request that was refused because of its team's quota."""
        self._count_quota(team, "refused", units)

    def observe_team_answer(self, team: str, seconds: float) -> None:
        """Records how long a team's caller waited for its response to begin."""
        self.team_answers.labels(self._team_label(team)).observe(seconds)

    def _team_label(self, team: str) -> str:
        """Returns the label value under which a team is counted."""
        if team not in self._labeled_teams and len(self._labeled_teams) >= MAX_TEAM_LABELS:
            return OTHER_TEAMS
        self._labeled_teams.add(team)
        return team

    def _count_quota(self, team: str, outcome: str, units: float) -> None:
        team = self._team_label(team)
        self.quota_units.labels(team, outcome).inc(units)
        self.quota_requests.labels(team, outcome).inc()

    def text(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        return generate_latest(self.registry)
