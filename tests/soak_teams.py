"""Soak checks of teams: API keys identify them, quotas hold over all gateways, no key is logged."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from gateway_world import team
from standins.replica import ReceivedRequest, Replica

WINDOW_SECONDS: Final = 8.0
OVERSHOOT: Final = 0.1
SLACK_TOKENS: Final = 1_500.0
TOKENS_PER_PLAIN_REQUEST: Final = 50  # Charged without token counts.
TOKENS_PER_GENERATION: Final = 120
UNLIMITED_TEAM: Final = "calm"  # Has no quota, so it must be served once faults have ended.
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
    """The teams of a soak, their API keys, and the team of each request.

    Attributes:
        rng: Random source of the key rotations.
        valid_keys: Keys of the current configuration, by team.
        issued_keys: All keys ever issued; none is issued again.
        team_by_request: Team name by request id; empty for a key that no team has.
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
        """Returns the teams as the next configuration lists them."""
        return [team(name, *self.valid_keys[name], **limit) for name, limit in QUOTAS.items()]

    def rotate_keys(self) -> None:
        """Replaces the older of the two keys of one team."""
        name = self.rng.choice(list(QUOTAS))
        self.valid_keys[name] = [self.valid_keys[name][1], self._new_key(name)]

    def authorize(self, request_id: str, rng: random.Random, name: str = "") -> dict[str, str]:
        """Returns headers with a key of the named or a random team, or with an unknown key."""
        drawn = rng.random()
        if not name and drawn < 0.03:
            self.team_by_request[request_id] = ""
            return {"Authorization": f"Bearer {UNKNOWN_KEY}", "X-Tenant": UNLIMITED_TEAM}
        name = name or (OVERLOADED_TEAM if drawn < 0.6 else rng.choice(list(QUOTAS)))
        self.team_by_request[request_id] = name
        return {
            "Authorization": f"Bearer {rng.choice(self.valid_keys[name])}",
            "X-Tenant": "claimed",
        }

    def violations(self, replicas: Iterable[Replica], folder: Path) -> list[str]:
        """Returns the violated invariants, judged by requests at endpoints and by the logs."""
        executed = sorted((one for r in replicas for one in r.executed), key=lambda one: one.at)
        violations = [line for one in executed for line in self._execution_violations(one)]
        for name, limit in QUOTAS.items():
            if limit:
                violations += self._quota_violations(name, limit, executed)
        return violations + self._logged_keys(folder)

    def _execution_violations(self, request: ReceivedRequest) -> list[str]:
        request_id = request.headers.get("x-request-id", "")
        expected, actual = self.team_by_request.get(request_id, ""), request.headers.get("x-tenant")
        violations = []
        if not expected:
            violations.append(f"ROUTE: {request_id} ran with a key that nobody holds")
        elif actual != expected:
            violations.append(f"UNASKED: {request_id} ran for {actual}, not for {expected}")
        if "authorization" in request.headers:
            violations.append(f"UNASKED: the key of {request_id} was passed on")
        return violations

    def _quota_violations(
        self, name: str, limit: dict[str, Any], executed: list[ReceivedRequest]
    ) -> list[str]:
        quota = limit["rate_per_s"] * WINDOW_SECONDS + limit["burst"]
        max_tokens = quota * (1.0 + OVERSHOOT) + SLACK_TOKENS
        window: deque[tuple[float, int]] = deque()
        tokens_in_window = 0
        for request in executed:
            if self.team_by_request.get(request.headers.get("x-request-id", "")) != name:
                continue
            cost = (
                TOKENS_PER_GENERATION
                if "x-token-counts" in request.headers
                else TOKENS_PER_PLAIN_REQUEST
            )
            window.append((request.at, cost))
            tokens_in_window += cost
            while window[0][0] <= request.at - WINDOW_SECONDS:
                tokens_in_window -= window.popleft()[1]
            if tokens_in_window > max_tokens:
                return [
                    f"QUOTA: {tokens_in_window} tokens of {name} in {WINDOW_SECONDS} s, "
                    f"allowed {max_tokens:.0f}"
                ]
        return []

    def _logged_keys(self, folder: Path) -> list[str]:
        violations = []
        for path in sorted(folder.glob("*.log")):
            text = path.read_text(errors="replace")
            violations += [
                f"SECRET: {key} in {path.name}" for key in self.issued_keys if key in text
            ]
        return violations
