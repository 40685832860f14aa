"""What is under way at each endpoint: exactly for this instance, by their heartbeats for others.

Totals are kept up to date as news come, so asking costs the same however many instances there are.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from wigeonarch_core.engine_pace import Wait
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.messages import LoadShare

# Seconds over which prompt tokens count as sent lately: about the longest pause that streams may
# have while prompts are read between their tokens (0.25 and 0.3 are known).
RECENT: Final = 0.3


@dataclass(slots=True)
class Load:
    """Requests under way at one endpoint.

    Attributes:
        running: Requests that have not ended.
        waiting_tokens: Prompt tokens whose first token has not come.
        kv_tokens: Tokens that the requests may take in the KV cache.
        recent_tokens: Prompt tokens sent lately, older ones counting less and less.
    """

    running: int = 0
    waiting_tokens: float = 0.0
    kv_tokens: float = 0.0
    recent_tokens: float = 0.0

    def add(self, other: Load | LoadShare, sign: int = 1) -> None:
        """Adds another instance's share, or takes it away."""
        self.running += sign * other.running
        self.waiting_tokens += sign * other.waiting_tokens
        self.kv_tokens += sign * other.kv_tokens
        self.recent_tokens += sign * other.recent_tokens


NOTHING: Final = Load()


@dataclass(slots=True)
class Under:
    """One request under way; `prompt` is 0 once its first token has come.

    Attributes:
        wait: What is expected until its first token; None if nothing is learned from it.
    """

    endpoint: str
    prompt: float
    kv: float
    key: AdapterKey | None
    wait: Wait | None = None


class Traffic:
    """Requests under way at all endpoints."""

    __slots__ = ("_others", "_own", "_recent", "_totals", "_uses")

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._uses: dict[str, Counter[AdapterKey]] = {}
        self._others: dict[str, list[LoadShare]] = {}
        self._totals: dict[str, Load] = {}
        self._recent: dict[str, tuple[float, float]] = {}

    def begin(self, endpoint: str, prompt: float, kv: float, key: AdapterKey | None) -> Under:
        """Notes a request that is sent."""
        under = Under(endpoint, prompt, kv, key)
        load = self._own.setdefault(endpoint, Load())
        load.running += 1
        load.waiting_tokens += prompt
        load.kv_tokens += kv
        now = monotonic()
        self._recent[endpoint] = (self._recently(endpoint, now) + prompt, now)
        if key is not None:
            self._uses.setdefault(endpoint, Counter())[key] += 1
        return under

    def first_token(self, under: Under) -> None:
        """Notes that a request's prompt was read."""
        load = self._own.get(under.endpoint)
        if load is not None:
            load.waiting_tokens -= under.prompt
        under.prompt = 0.0

    def end(self, under: Under) -> None:
        """Notes that a request has ended."""
        self.first_token(under)
        load = self._own.get(under.endpoint)
        if load is not None:
            load.running -= 1
            load.kv_tokens -= under.kv
            if not load.running:
                del self._own[under.endpoint]
        if under.key is not None:
            uses = self._uses[under.endpoint]
            uses[under.key] -= 1
            if not uses[under.key]:
                del uses[under.key]
            if not uses:
                del self._uses[under.endpoint]

    def heard(self, sender: str, loads: list[LoadShare]) -> None:
        """Takes over what another instance has under way."""
        before = self._others.get(sender)
        if before == loads:
            return
        if before:
            self._count(before, -1)
        self._others[sender] = loads
        self._count(loads, 1)

    def forget(self, sender: str) -> bool:
        """Forgets an instance that is not heard any more; returns whether it was known."""
        if sender not in self._others:
            return False
        self._count(self._others.pop(sender), -1)
        return True

    def at(self, endpoint: str) -> Load:
        """Returns all that is believed to be under way at an endpoint."""
        own, others = self._own.get(endpoint), self._totals.get(endpoint)
        if own is None and others is None:
            return NOTHING
        total = Load()
        if own is not None:
            total.add(own)
        if others is not None:
            total.add(others)
        if endpoint in self._recent:
            total.recent_tokens += self._recently(endpoint, monotonic())
        return total

    def _recently(self, endpoint: str, now: float) -> float:
        """Returns the prompt tokens that this instance sent lately."""
        tokens, at = self._recent.get(endpoint, (0.0, now))
        return tokens * math.exp((at - now) / RECENT)

    def _count(self, loads: list[LoadShare], sign: int) -> None:
        for share in loads:
            total = self._totals.setdefault(share.endpoint, Load())
            total.add(share, sign)
            if not total.running:
                del self._totals[share.endpoint]

    def shares(self) -> list[LoadShare]:
        """Returns this instance's part, to tell others."""
        now = monotonic()
        recent = {endpoint: self._recently(endpoint, now) for endpoint in self._recent}
        self._recent = {name: (tokens, now) for name, tokens in recent.items() if tokens >= 1.0}
        return [
            _share(endpoint, load, recent.get(endpoint, 0.0))
            for endpoint, load in self._own.items()
        ]

    def shares_with(self, senders: Iterable[str]) -> list[LoadShare]:
        """Returns the parts of this instance and of some others, added up."""
        sums = {endpoint: Load() for endpoint in self._own}
        for endpoint, load in self._own.items():
            sums[endpoint].add(load)
        for sender in senders:
            for share in self._others.get(sender, ()):
                sums.setdefault(share.endpoint, Load()).add(share)
        now = monotonic()
        return [
            _share(endpoint, load, self._recently(endpoint, now)) for endpoint, load in sums.items()
        ]

    def in_use(self, endpoint: str) -> list[AdapterKey]:
        """Returns the adapters that this instance's requests use at an endpoint."""
        return list(self._uses.get(endpoint, ()))


def _share(endpoint: str, load: Load, own_recent: float) -> LoadShare:
    recent = int(load.recent_tokens + own_recent)
    tokens = (int(load.waiting_tokens), int(load.kv_tokens), recent)
    return LoadShare(endpoint, load.running, *tokens)
