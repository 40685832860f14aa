"""Tracks requests in flight at each endpoint: exactly for this instance, by heartbeats for others.

Totals are updated whenever a heartbeat arrives, so a query costs the same however many instances
there are.

The paces of endpoints are learned beside it, as reports carry what each instance newly measured.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from wigeonarch_core.endpoint_pace import EndpointPaces, PaceSums
from wigeonarch_core.engine_latency import Wait
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.messages import EndpointLoad
from wigeonarch_gateway.pace_news import PaceNews
from wigeonarch_gateway.service_demands import ServiceDemands

# Time constant, in seconds, with which recently sent prompt tokens decay. It is about the longest
# pause that streams may have while an engine reads prompts between their tokens; known objectives
# allow 0.25 and 0.3.
RECENT_DECAY_TIME: Final = 0.3


@dataclass(slots=True)
class Load:
    """The requests in flight at one endpoint, added up.

    Attributes:
        running: Number of requests that have not ended.
        waiting_tokens: Prompt tokens of requests whose first output token has not come.
        kv_tokens: Tokens that the requests may take in the KV cache.
        recent_tokens: Prompt tokens sent recently, with exponential decay.
    """

    running: int = 0
    waiting_tokens: float = 0.0
    kv_tokens: float = 0.0
    recent_tokens: float = 0.0

    def add(self, other: Load | EndpointLoad, sign: int = 1) -> None:
        """Adds another load or, with `sign` -1, subtracts it."""
        self.running += sign * other.running
        self.waiting_tokens += sign * other.waiting_tokens
        self.kv_tokens += sign * other.kv_tokens
        self.recent_tokens += sign * other.recent_tokens


NO_LOAD: Final = Load()


@dataclass(slots=True)
class InFlightRequest:
    """One request in flight.

    Attributes:
        endpoint: The endpoint that it was sent to.
        unread_tokens: Tokens of its prompt; 0 once its first output token has come.
        kv_tokens: Tokens that it may take in the KV cache.
        adapter: The adapter that it uses; None if it uses none.
        first_token_wait: Its wait for the first token, from which the engine's latency is learned;
            None if nothing is to be learned from it.
    """

    endpoint: str
    unread_tokens: float
    kv_tokens: float
    adapter: AdapterKey | None
    first_token_wait: Wait | None = None


class InFlightTracker:
    """Tracks the requests in flight at all endpoints.

    Attributes:
        paces: What this instance and others measured of the endpoints' paces.
        demands: What all instances are asked for of busy plain services.
    """

    __slots__ = (
        "_adapter_uses",
        "_own_loads",
        "_own_news",
        "_peer_loads",
        "_peer_totals",
        "_recent_prompts",
        "_zone_news",
        "demands",
        "paces",
    )

    def __init__(self) -> None:
        self.demands = ServiceDemands()
        self.paces = EndpointPaces()
        self._own_news = PaceNews()
        self._zone_news = PaceNews()
        self._own_loads: dict[str, Load] = {}
        self._adapter_uses: dict[str, Counter[AdapterKey]] = {}
        self._peer_loads: dict[str, list[EndpointLoad]] = {}
        self._peer_totals: dict[str, Load] = {}
        self._recent_prompts: dict[str, tuple[float, float]] = {}

    def begin(
        self, endpoint: str, prompt_tokens: float, kv_tokens: float, adapter: AdapterKey | None
    ) -> InFlightRequest:
        """Records a request that is sent."""
        in_flight = InFlightRequest(endpoint, prompt_tokens, kv_tokens, adapter)
        load = self._own_loads.setdefault(endpoint, Load())
        load.running += 1
        load.waiting_tokens += prompt_tokens
        load.kv_tokens += kv_tokens
        now = monotonic()
        self._recent_prompts[endpoint] = (self._recent_tokens(endpoint, now) + prompt_tokens, now)
        if adapter is not None:
            self._adapter_uses.setdefault(endpoint, Counter())[adapter] += 1
        return in_flight

    def first_token(self, in_flight: InFlightRequest) -> None:
        """Records that a request's prompt was read."""
        load = self._own_loads.get(in_flight.endpoint)
        if load is not None:
            load.waiting_tokens -= in_flight.unread_tokens
        in_flight.unread_tokens = 0.0

    def end(self, in_flight: InFlightRequest) -> None:
        """Records that a request has ended."""
        self.first_token(in_flight)
        load = self._own_loads.get(in_flight.endpoint)
        if load is not None:
            load.running -= 1
            load.kv_tokens -= in_flight.kv_tokens
            if not load.running:
                del self._own_loads[in_flight.endpoint]
        if in_flight.adapter is not None:
            uses = self._adapter_uses[in_flight.endpoint]
            uses[in_flight.adapter] -= 1
            if not uses[in_flight.adapter]:
                del uses[in_flight.adapter]
            if not uses:
                del self._adapter_uses[in_flight.endpoint]

    def record_pace(self, endpoint: str, observed: float, expected: float) -> None:
        """Records a sample of an endpoint's pace, in seconds; the next reports will include it."""
        now = monotonic()
        self.paces.add(endpoint, observed, expected, now)
        self._own_news.add(endpoint, observed, expected, now)
        self._zone_news.add(endpoint, observed, expected, now)

    def forget_pace(self, endpoint: str) -> None:
        """Forgets the pace of an endpoint that no longer exists or has restarted."""
        self.paces.forget(endpoint, monotonic())
        self._own_news.forget(endpoint)
        self._zone_news.forget(endpoint)

    def receive_loads(
        self, sender: str, loads: list[EndpointLoad], represents: bool = False
    ) -> None:
        """Takes over the loads that another instance reports.

        Args:
            sender: The other instance.
            loads: What it reports.
            represents: Whether the sender is in this zone, so that a delegate reports for it.
        """
        self._receive_paces(loads, represents)
        before = self._peer_loads.get(sender)
        if before == loads:
            return
        if before:
            self._add_peer_loads(before, -1)
        self._peer_loads[sender] = loads
        self._add_peer_loads(loads, 1)

    def _receive_paces(self, loads: list[EndpointLoad], represents: bool) -> None:
        now = monotonic()
        for share in loads:
            if share.pace_expected_ms <= 0:
                continue
            observed, expected = share.pace_observed_ms / 1000, share.pace_expected_ms / 1000
            self.paces.add_reported(share.endpoint, observed, expected, now)
            if represents:
                self._zone_news.add(share.endpoint, observed, expected, now)

    def forget_instance(self, sender: str) -> bool:
        """Forgets an instance that sends no heartbeats any more; returns whether it was known."""
        self.demands.forget_instance(sender)
        if sender not in self._peer_loads:
            return False
        self._add_peer_loads(self._peer_loads.pop(sender), -1)
        return True

    def load_at(self, endpoint: str) -> Load:
        """Returns the load at an endpoint, of all instances."""
        own, others = self._own_loads.get(endpoint), self._peer_totals.get(endpoint)
        if own is None and others is None:
            return NO_LOAD
        total = Load()
        if own is not None:
            total.add(own)
        if others is not None:
            total.add(others)
        if endpoint in self._recent_prompts:
            total.recent_tokens += self._recent_tokens(endpoint, monotonic())
        return total

    def own_running(self, endpoint: str) -> int:
        """Returns the requests that this instance has at an endpoint."""
        own = self._own_loads.get(endpoint)
        return own.running if own is not None else 0

    def running_of_peers(self, endpoint: str) -> int:
        """Returns the requests that other instances have at an endpoint."""
        others = self._peer_totals.get(endpoint)
        return others.running if others is not None else 0

    def _recent_tokens(self, endpoint: str, now: float) -> float:
        """Returns the prompt tokens that this instance sent recently, with decay."""
        tokens, at = self._recent_prompts.get(endpoint, (0.0, now))
        return tokens * math.exp((at - now) / RECENT_DECAY_TIME)

    def _add_peer_loads(self, loads: list[EndpointLoad], sign: int) -> None:
        for share in loads:
            total = self._peer_totals.setdefault(share.endpoint, Load())
            total.add(share, sign)
            if not total.running:
                del self._peer_totals[share.endpoint]

    def own_load_report(self, receivers: int = 1) -> list[EndpointLoad]:
        """Returns this instance's load at each endpoint, for its heartbeats.

        What it measured of paces since the last report is part of one report only.

        Args:
            receivers: Number of instances to which the report goes, which bounds its length.
        """
        now = monotonic()
        self.paces.drop_faded(now)
        self._zone_news.drop_faded(now)
        recent = {endpoint: self._recent_tokens(endpoint, now) for endpoint in self._recent_prompts}
        self._recent_prompts = {
            name: (tokens, now) for name, tokens in recent.items() if tokens >= 1.0
        }
        news = self._own_news.take(receivers, now)
        return [
            _endpoint_load(endpoint, load, recent.get(endpoint, 0.0), news.pop(endpoint, None))
            for endpoint, load in self._own_loads.items()
        ] + [_endpoint_load(endpoint, NO_LOAD, 0.0, sums) for endpoint, sums in news.items()]

    def combined_load_report(self, senders: Iterable[str]) -> list[EndpointLoad]:
        """Returns the loads of this instance and of some others, added up.

        What they measured of paces is part of one such report only.
        """
        sums = {endpoint: Load() for endpoint in self._own_loads}
        for endpoint, load in self._own_loads.items():
            sums[endpoint].add(load)
        for sender in senders:
            for share in self._peer_loads.get(sender, ()):
                sums.setdefault(share.endpoint, Load()).add(share)
        now = monotonic()
        news = self._zone_news.take(1, now)
        for endpoint in news:
            sums.setdefault(endpoint, Load())
        return [
            _endpoint_load(endpoint, load, self._recent_tokens(endpoint, now), news.get(endpoint))
            for endpoint, load in sums.items()
        ]

    def adapters_in_use(self, endpoint: str) -> list[AdapterKey]:
        """Returns the adapters that this instance's requests in flight use at an endpoint."""
        return list(self._adapter_uses.get(endpoint, ()))


def _endpoint_load(
    endpoint: str, load: Load, own_recent: float, pace: PaceSums | None
) -> EndpointLoad:
    recent = int(load.recent_tokens + own_recent)
    tokens = (int(load.waiting_tokens), int(load.kv_tokens), recent)
    report = EndpointLoad(endpoint, load.running, *tokens)
    if pace is not None:
        report.pace_observed_ms = round(pace.observed * 1000)
        report.pace_expected_ms = round(pace.expected * 1000)
    return report
