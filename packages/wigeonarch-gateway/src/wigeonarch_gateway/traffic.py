"""What is under way at each endpoint: exactly for this instance, by their heartbeats for others."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from wigeonarch_core.engine_places import AdapterKey

from wigeonarch_gateway.messages import LoadShare


@dataclass(slots=True)
class Load:
    """Requests under way at one endpoint."""

    running: int = 0
    waiting_tokens: float = 0.0
    kv_tokens: float = 0.0

    def add(self, other: Load | LoadShare) -> None:
        """Adds another instance's share."""
        self.running += other.running
        self.waiting_tokens += other.waiting_tokens
        self.kv_tokens += other.kv_tokens


@dataclass(slots=True)
class Under:
    """One request under way; `prompt` is 0 once its first token has come."""

    endpoint: str
    prompt: float
    kv: float
    key: AdapterKey | None


@dataclass(slots=True)
class _Shares:
    loads: dict[str, LoadShare] = field(default_factory=dict)


class Traffic:
    """Requests under way at all endpoints."""

    __slots__ = ("_others", "_own", "_uses")

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._uses: dict[str, Counter[AdapterKey]] = {}
        self._others: dict[str, _Shares] = {}

    def begin(self, endpoint: str, prompt: float, kv: float, key: AdapterKey | None) -> Under:
        """Notes a request that is sent."""
        under = Under(endpoint, prompt, kv, key)
        load = self._own.setdefault(endpoint, Load())
        load.running += 1
        load.waiting_tokens += prompt
        load.kv_tokens += kv
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
        self._others[sender] = _Shares({share.endpoint: share for share in loads})

    def forget(self, sender: str) -> bool:
        """Forgets an instance that is not heard any more; returns whether it was known."""
        return self._others.pop(sender, None) is not None

    def at(self, endpoint: str) -> Load:
        """Returns all that is believed to be under way at an endpoint."""
        total = Load()
        own = self._own.get(endpoint)
        if own is not None:
            total.add(own)
        for shares in self._others.values():
            share = shares.loads.get(endpoint)
            if share is not None:
                total.add(share)
        return total

    def own_running(self, endpoint: str) -> int:
        """Returns this instance's requests at an endpoint."""
        own = self._own.get(endpoint)
        return own.running if own else 0

    def shares(self) -> list[LoadShare]:
        """Returns this instance's part, to tell others."""
        return [
            LoadShare(endpoint, load.running, int(load.waiting_tokens), int(load.kv_tokens))
            for endpoint, load in self._own.items()
        ]

    def in_use(self, endpoint: str) -> list[AdapterKey]:
        """Returns the adapters that this instance's requests use at an endpoint."""
        return list(self._uses.get(endpoint, ()))
