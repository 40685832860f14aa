"""Teams, their API keys and their quotas, as an operator configures them.

Keys are secrets: only their digests are kept here, and a key is looked up by its digest, so that
the time of a look-up tells nothing about keys that exist. What decides on a request's way is a pure
function of one version of the configuration, which is replaced as a whole.
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
        burst: Units besides.
        plain_cost: Tokens that a request counts as when it does not say its tokens.
    """

    unit: Unit
    rate: float
    burst: float
    plain_cost: float = 0.0

    def cost(self, tokens: int | None) -> float:
        """Returns the units of a request; `tokens` is None when it does not say them."""
        if self.unit is Unit.REQUESTS:
            return 1.0
        return self.plain_cost if tokens is None else float(tokens)


class Team(msgspec.Struct, frozen=True):
    """A team.

    Attributes:
        name: Its name, which endpoints are told.
        priority: Rank of its requests, before that of their route; None leaves the route's.
        quota: Its quota; None when it has no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


@dataclass(frozen=True, slots=True)
class KeyedTeam:
    """A team with its API keys, as a configuration holds it."""

    team: Team
    keys: Sequence[str] = field(repr=False)


class Teams:
    """The teams of one version of the configuration; never changed after it is made."""

    __slots__ = ("_by_digest", "_by_name")

    def __init__(self, keyed: Iterable[KeyedTeam]) -> None:
        """Makes the table.

        Raises:
            ValueError: Two teams have one name or hold one key, or a key is empty.
        """
        self._by_name: dict[str, Team] = {}
        self._by_digest: dict[bytes, Team] = {}
        for each in keyed:
            team = each.team
            if team.name in self._by_name:
                raise ValueError(f"team {team.name} is there twice")
            self._by_name[team.name] = team
            for key in each.keys:
                self._add_key(team, key)

    def _add_key(self, team: Team, key: str) -> None:
        if not key:
            raise ValueError(f"team {team.name} has an empty key")
        owner = self._by_digest.setdefault(_digest(key), team)
        if owner is not team:
            raise ValueError(f"teams {owner.name} and {team.name} hold the same key")

    def team_by_key(self, key: str) -> Team | None:
        """Returns the team that holds a key; None for a key that nobody holds."""
        return self._by_digest.get(_digest(key))

    def get(self, name: str) -> Team | None:
        """Returns a team by name."""
        return self._by_name.get(name)

    def all(self) -> list[Team]:
        """Returns all teams."""
        return list(self._by_name.values())


class KeyProblem(enum.StrEnum):
    """Why a request's key gives no team."""

    MISSING = "key_missing"
    UNKNOWN = "key_unknown"


def team_of(teams: Teams | None, key: str | None, public: bool) -> Team | KeyProblem | None:
    """Returns the team for which a request is made.

    Args:
        teams: The teams; None where the configuration has none, so that no key is asked for.
        key: The key that the request carries; None when it carries none that can be read.
        public: Whether its route needs no key.

    Returns:
        The team; None for a request that needs none; or why it is not allowed.
    """
    if teams is None:
        return None
    found = teams.team_by_key(key) if key is not None else None
    if found is not None or public:
        return found
    return KeyProblem.MISSING if key is None else KeyProblem.UNKNOWN


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode()).digest()
