"""Tracks requests in flight at each endpoint: exactly for this instance, by heartbeats for others.

Totals are updated whenever a heartbeat arrives, so a query costs the same however many instances
there are.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from wigeonarch_core.engine_latency import Wait
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.messages import EndpointLoad
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
        demands: What all instances are asked for of busy plain services.
    """

    __slots__ = (
        "_adapter_uses",
        "_own_loads",
        "_peer_loads",
        "_peer_totals",
        "_recent_prompts",
        "demands",
    )

    def __init__(self) -> None:
        self.demands = ServiceDemands()
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

    def receive_loads(self, sender: str, loads: list[EndpointLoad]) -> None:
        """Takes over the loads that another instance reports."""
        before = self._peer_loads.get(sender)
        if before == loads:
            return
        if before:
            self._add_peer_loads(before, -1)
        self._peer_loads[sender] = loads
        self._add_peer_loads(loads, 1)

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

    def own_load_report(self) -> list[EndpointLoad]:
        """Returns this instance's load at each endpoint, for its heartbeats."""
        now = monotonic()
        recent = {endpoint: self._recent_tokens(endpoint, now) for endpoint in self._recent_prompts}
        self._recent_prompts = {
            name: (tokens, now) for name, tokens in recent.items() if tokens >= 1.0
        }
        return [
            _endpoint_load(endpoint, load, recent.get(endpoint, 0.0))
            for endpoint, load in self._own_loads.items()
        ]

    def combined_load_report(self, senders: Iterable[str]) -> list[EndpointLoad]:
        """Returns the loads of this instance and of some others, added up."""
        sums = {endpoint: Load() for endpoint in self._own_loads}
        for endpoint, load in self._own_loads.items():
            sums[endpoint].add(load)
        for sender in senders:
            for share in self._peer_loads.get(sender, ()):
                sums.setdefault(share.endpoint, Load()).add(share)
        now = monotonic()
        return [
            _endpoint_load(endpoint, load, self._recent_tokens(endpoint, now))
            for endpoint, load in sums.items()
        ]

    def adapters_in_use(self, endpoint: str) -> list[AdapterKey]:
        """Returns the adapters that this instance's requests in flight use at an endpoint."""
        return list(self._adapter_uses.get(endpoint, ()))


def _endpoint_load(endpoint: str, load: Load, own_recent: float) -> EndpointLoad:
    recent = int(load.recent_tokens + own_recent)
    tokens = (int(load.waiting_tokens), int(load.kv_tokens), recent)
    return EndpointLoad(endpoint, load.running, *tokens)
