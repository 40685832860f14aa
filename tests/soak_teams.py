"""Teams in a soak: keys that callers show, quotas that hold over all gateways, and secrets."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from gateway_world import team
from standins.replica import Replica
from standins.replica import Seen as Arrival

WINDOW: Final = 8.0  # Seconds.
OVERSHOOT: Final = 0.1
SLACK: Final = 1_500.0
PLAIN_TOKENS: Final = 50  # What a request without token counts counts as.
TOKENS: Final = 120  # Of a generation.
CALM: Final = "calm"  # Has no quota, so it must always be served in the end.
HOT: Final = "hot"
LIMITS: Final[dict[str, dict[str, Any]]] = {
    CALM: {},
    HOT: {
        "unit": "tokens",
        "plain_tokens": PLAIN_TOKENS,
        "rate_per_s": 500,
        "burst": 500,
    },
    "small": {
        "unit": "tokens",
        "plain_tokens": PLAIN_TOKENS,
        "rate_per_s": 100,
        "burst": 200,
    },
}
NOBODYS: Final = "key-that-no-configuration-holds"
SETTINGS: Final = {
    "zones.a": "r",
    "bounds.quota_window_s": str(WINDOW),
    "bounds.quota_overshoot": str(OVERSHOOT),
    "bounds.quota_slack": str(SLACK),
}


@dataclass
class Teams:
    """The teams of a soak, their keys, and whose each request was.

    Attributes:
        keys: Keys in force, by team.
        made: Keys made so far, so that none is used again.
        teams: Team by request; empty for a key that nobody holds.
    """

    rng: random.Random
    keys: dict[str, list[str]] = field(default_factory=dict)
    made: list[str] = field(default_factory=list)
    teams: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for name in LIMITS:
            self.keys[name] = [self._new_key(name), self._new_key(name)]

    def _new_key(self, name: str) -> str:
        key = f"secret-of-{name}-{len(self.made)}"
        self.made.append(key)
        return key

    def listed(self) -> list[dict[str, Any]]:
        """Returns the teams of the next configuration."""
        return [team(name, *self.keys[name], **limit) for name, limit in LIMITS.items()]

    def change_keys(self) -> None:
        """Takes a key away from a team that keeps one, and gives it another."""
        name = self.rng.choice(list(LIMITS))
        self.keys[name] = [self.keys[name][1], self._new_key(name)]

    def authorize(self, request: str, rng: random.Random, name: str = "") -> dict[str, str]:
        """Returns the headers of a request of some team, or of none."""
        drawn = rng.random()
        if not name and drawn < 0.03:
            self.teams[request] = ""
            return {"Authorization": f"Bearer {NOBODYS}", "X-Tenant": CALM}
        name = name or (HOT if drawn < 0.6 else rng.choice(list(LIMITS)))
        self.teams[request] = name
        return {"Authorization": f"Bearer {rng.choice(self.keys[name])}", "X-Tenant": "claimed"}

    def broken(self, replicas: Iterable[Replica], folder: Path) -> list[str]:
        """Returns the promises that were broken, by what endpoints saw and processes logged."""
        ran = sorted((one for r in replicas for one in r.ran), key=lambda one: one.at)
        found = [line for one in ran for line in self._broken_run(one)]
        for name, limit in LIMITS.items():
            if limit:
                found += self._broken_quota(name, limit, ran)
        return found + self._told_secrets(folder)

    def _broken_run(self, seen: Arrival) -> list[str]:
        request = seen.headers.get("x-request-id", "")
        wanted, told = self.teams.get(request, ""), seen.headers.get("x-tenant")
        found = []
        if not wanted:
            found.append(f"ROUTE: {request} ran with a key that nobody holds")
        elif told != wanted:
            found.append(f"UNASKED: {request} ran for {told}, not for {wanted}")
        if "authorization" in seen.headers:
            found.append(f"UNASKED: the key of {request} was passed on")
        return found

    def _broken_quota(self, name: str, limit: dict[str, Any], ran: list[Arrival]) -> list[str]:
        whole = limit["rate_per_s"] * WINDOW + limit["burst"]
        most = whole * (1.0 + OVERSHOOT) + SLACK
        window: deque[tuple[float, int]] = deque()
        held = 0
        for seen in ran:
            if self.teams.get(seen.headers.get("x-request-id", "")) != name:
                continue
            cost = TOKENS if "x-token-counts" in seen.headers else PLAIN_TOKENS
            window.append((seen.at, cost))
            held += cost
            while window[0][0] <= seen.at - WINDOW:
                held -= window.popleft()[1]
            if held > most:
                return [f"QUOTA: {held} tokens of {name} in {WINDOW} s, allowed {most:.0f}"]
        return []

    def _told_secrets(self, folder: Path) -> list[str]:
        found = []
        for path in sorted(folder.glob("*.log")):
            text = path.read_text(errors="replace")
            found += [f"SECRET: {key} in {path.name}" for key in self.made if key in text]
        return found
