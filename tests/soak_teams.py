"""Teams in a soak: keys that callers show, quotas that hold over all gateways, and secrets."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from gateway_world import team
from standins.replica import ReceivedRequest as Arrival
from standins.replica import Replica

WINDOW_SECONDS: Final = 8.0  # Seconds.
OVERSHOOT: Final = 0.1
SLACK_TOKENS: Final = 1_500.0
TOKENS_PER_PLAIN_REQUEST: Final = 50  # What a request without token counts counts as.
TOKENS_PER_GENERATION: Final = 120  # Of a generation.
UNLIMITED_TEAM: Final = "calm"  # Has no quota, so it must always be served in the end.
OVERLOADED_TEAM: Final = "hot"
QUOTAS: Final[dict[str, dict[str, Any]]] = {
    UNLIMITED_TEAM: {},
    OVERLOADED_TEAM: {
        "unit": "tokens",
        "plain_tokens": TOKENS_PER_PLAIN_REQUEST,
        "rate_per_s": 500,
        "burst": 500,
    },
    "small": {
        "unit": "tokens",
        "plain_tokens": TOKENS_PER_PLAIN_REQUEST,
        "rate_per_s": 100,
        "burst": 200,
    },
}
UNKNOWN_KEY: Final = "key-that-no-configuration-holds"
SETTINGS: Final = {
    "zones.a": "r",
    "bounds.quota_window_s": str(WINDOW_SECONDS),
    "bounds.quota_overshoot": str(OVERSHOOT),
    "bounds.quota_slack": str(SLACK_TOKENS),
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
    valid_keys: dict[str, list[str]] = field(default_factory=dict)
    issued_keys: list[str] = field(default_factory=list)
    team_by_request: dict[str, str] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for name in QUOTAS:
            self.valid_keys[name] = [self._new_key(name), self._new_key(name)]

    def _new_key(self, name: str) -> str:
        key = f"secret-of-{name}-{len(self.issued_keys)}"
        self.issued_keys.append(key)
        return key

    def configuration_entries(self) -> list[dict[str, Any]]:
        """Returns the teams of the next configuration."""
        return [team(name, *self.valid_keys[name], **limit) for name, limit in QUOTAS.items()]

    def rotate_keys(self) -> None:
        """Takes a key away from a team that keeps one, and gives it another."""
        name = self.rng.choice(list(QUOTAS))
        self.valid_keys[name] = [self.valid_keys[name][1], self._new_key(name)]

    def authorize(self, request: str, rng: random.Random, name: str = "") -> dict[str, str]:
        """Returns the headers of a request of some team, or of none."""
        drawn = rng.random()
        if not name and drawn < 0.03:
            self.team_by_request[request] = ""
            return {"Authorization": f"Bearer {UNKNOWN_KEY}", "X-Tenant": UNLIMITED_TEAM}
        name = name or (OVERLOADED_TEAM if drawn < 0.6 else rng.choice(list(QUOTAS)))
        self.team_by_request[request] = name
        return {
            "Authorization": f"Bearer {rng.choice(self.valid_keys[name])}",
            "X-Tenant": "claimed",
        }

    def violations(self, replicas: Iterable[Replica], folder: Path) -> list[str]:
        """Returns the promises that were broken, by what endpoints saw and processes logged."""
        ran = sorted((one for r in replicas for one in r.executed), key=lambda one: one.at)
        found = [line for one in ran for line in self._execution_violations(one)]
        for name, limit in QUOTAS.items():
            if limit:
                found += self._quota_violations(name, limit, ran)
        return found + self._logged_keys(folder)

    def _execution_violations(self, seen: Arrival) -> list[str]:
        request = seen.headers.get("x-request-id", "")
        wanted, told = self.team_by_request.get(request, ""), seen.headers.get("x-tenant")
        found = []
        if not wanted:
            found.append(f"ROUTE: {request} ran with a key that nobody holds")
        elif told != wanted:
            found.append(f"UNASKED: {request} ran for {told}, not for {wanted}")
        if "authorization" in seen.headers:
            found.append(f"UNASKED: the key of {request} was passed on")
        return found

    def _quota_violations(self, name: str, limit: dict[str, Any], ran: list[Arrival]) -> list[str]:
        whole = limit["rate_per_s"] * WINDOW_SECONDS + limit["burst"]
        most = whole * (1.0 + OVERSHOOT) + SLACK_TOKENS
        window: deque[tuple[float, int]] = deque()
        held = 0
        for seen in ran:
            if self.team_by_request.get(seen.headers.get("x-request-id", "")) != name:
                continue
            cost = (
                TOKENS_PER_GENERATION
                if "x-token-counts" in seen.headers
                else TOKENS_PER_PLAIN_REQUEST
            )
            window.append((seen.at, cost))
            held += cost
            while window[0][0] <= seen.at - WINDOW_SECONDS:
                held -= window.popleft()[1]
            if held > most:
                return [f"QUOTA: {held} tokens of {name} in {WINDOW_SECONDS} s, allowed {most:.0f}"]
        return []

    def _logged_keys(self, folder: Path) -> list[str]:
        found = []
        for path in sorted(folder.glob("*.log")):
            text = path.read_text(errors="replace")
            found += [f"SECRET: {key} in {path.name}" for key in self.issued_keys if key in text]
        return found
