"""Teams, their API keys and their quotas, as operators configure them.

API keys are secrets. Only their digests are stored here, and a key is looked up by its digest, so
that the time of a look-up reveals nothing about the keys that exist. Which team a request belongs
to is a pure function of one version of the configuration, which is replaced as a whole.
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec


class Unit(enum.StrEnum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Quota(msgspec.Struct, frozen=True):
    """What all instances together may run for a team.

    Attributes:
        unit: What is counted.
        rate: Units per second; above 0.
        burst: Units allowed in addition.
        plain_cost: Tokens that a request counts as if it does not say how many it needs.
    """

    unit: Unit
    rate: float
    burst: float
    plain_cost: float = 0.0

    def cost(self, tokens: int | None) -> float:
        """Returns the units that a request costs; `tokens` is None if the request does not say."""
        if self.unit is Unit.REQUESTS:
            return 1.0
        return self.plain_cost if tokens is None else float(tokens)


class Team(msgspec.Struct, frozen=True):
    """A team.

    Attributes:
        name: Its name, which is sent to endpoints.
        priority: Priority of its requests, instead of their route's; None to use the route's.
        quota: Its quota; None if it has no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class KeyedTeam:
    """A team with its API keys, as a configuration contains it."""

    team: Team
    keys: Sequence[str] = field(repr=False)


class Teams:
    """The teams of one version of the configuration; immutable."""

    __slots__ = ("_by_digest", "_by_name")

    def __init__(self, keyed: Iterable[KeyedTeam]) -> None:
        """Builds the table.

        Raises:
            ValueError: Two teams have the same name or the same key, or a key is empty.
        """
        self._by_name: dict[str, Team] = {}
        self._by_digest: dict[bytes, Team] = {}
        for keyed_team in keyed:
            team = keyed_team.team
            if team.name in self._by_name:
                raise ValueError(f"team {team.name} is defined twice")
            self._by_name[team.name] = team
            for key in keyed_team.keys:
                self._add_key(team, key)

    def _add_key(self, team: Team, key: str) -> None:
        if not key:
            raise ValueError(f"team {team.name} has an empty key")
        owner = self._by_digest.setdefault(_digest(key), team)
        if owner is not team:
            raise ValueError(f"teams {owner.name} and {team.name} have the same key")

    def team_by_key(self, key: str) -> Team | None:
        """Returns the team that has a key; None if no team has it."""
        return self._by_digest.get(_digest(key))

    def get(self, name: str) -> Team | None:
        """Returns the team with a name; None if there is none."""
        return self._by_name.get(name)

    def all(self) -> list[Team]:
        """Returns all teams."""
        return list(self._by_name.values())


class KeyProblem(enum.StrEnum):
    """Why no team can be found for a request's key."""

    MISSING = "key_missing"
    UNKNOWN = "key_unknown"


def team_of(teams: Teams | None, key: str | None, public: bool) -> Team | KeyProblem | None:
    """Returns the team for which a request is made.

    Args:
        teams: The teams; None if the configuration has none, so that no key is needed.
        key: The key in the request; None if it has none that can be read.
        public: Whether its route needs no key.

    Returns:
        The team; None for a request that needs none; or why the request is not allowed.
    """
    if teams is None:
        return None
    team = teams.team_by_key(key) if key is not None else None
    if team is not None or public:
        return team
    return KeyProblem.MISSING if key is None else KeyProblem.UNKNOWN


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode()).digest()
