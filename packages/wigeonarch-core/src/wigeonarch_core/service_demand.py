"""What a plain service is asked for, by kinds of requests, and which part of each kind fits.

A kind is a rank and a team. More urgent ranks come first; within a rank, teams share by max-min
fairness: none gets more than it asks for, and what one team leaves is lent to the others. Without
teams, a rank has one kind.

Instances measure what they are asked for and tell each other, so all compute about the same parts.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping
from typing import Final

import msgspec

RATE_TIME: Final = 2.0  # Time constant of measured rates, in seconds.
MIN_RATE: Final = 0.05  # Requests a second below which a kind is forgotten.
# Share of what peers send that their reports must explain. Above, a difference is taken for chance.
REPORTED_SHARE: Final = 0.5
MAX_KINDS: Final = 64  # Kinds of one service that are counted one by one.
NO_TEAM: Final = 0


class Kind(msgspec.Struct, frozen=True, order=True):
    """A kind of requests that are treated alike.

    Attributes:
        rank: Priority; 0 is the most urgent.
        team: Key of the team (`team_key`); `NO_TEAM` for none.
    """

    rank: int
    team: int


def team_key(name: str) -> int:
    """Returns the key of a team, which is short enough for frequent messages."""
    return zlib.crc32(name.encode()) or 1


class RequestRates:
    """Rates at which requests of each kind arrive, with exponential decay."""

    __slots__ = ("_counts", "_objectives", "_since", "_updated")

    def __init__(self, now: float) -> None:
        self._counts: dict[Kind, float] = {}
        self._objectives: dict[Kind, float] = {}
        self._since = self._updated = now

    def record(self, kind: Kind, objective: float, now: float) -> None:
        """Counts a request.

        Args:
            kind: Its kind; beyond `MAX_KINDS`, it is counted without its team.
            objective: Its latency objective, in seconds.
            now: Current time, in seconds.
        """
        self._decay(now)
        if kind not in self._counts and len(self._counts) >= MAX_KINDS:
            kind = Kind(kind.rank, NO_TEAM)
        self._counts[kind] = self._counts.get(kind, 0.0) + 1.0
        self._objectives[kind] = objective

    def rates(self, now: float) -> dict[Kind, float]:
        """Returns the requests a second of each kind."""
        self._decay(now)
        # Before the time constant has passed, only a part of the weight can have been collected.
        weight = RATE_TIME * -math.expm1(-max(now - self._since, 0.5) / RATE_TIME)
        return {kind: count / weight for kind, count in self._counts.items()}

    def shortest_objective(self) -> float:
        """Returns the shortest latency objective of recent requests, in seconds; 0 without any."""
        return min(self._objectives.values(), default=0.0)

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0.0, self._updated - now) / RATE_TIME)
        if factor == 1.0:
            return
        self._updated = now
        counts = {kind: count * factor for kind, count in self._counts.items()}
        self._counts = {k: count for k, count in counts.items() if count >= MIN_RATE * RATE_TIME}
        self._objectives = {kind: self._objectives[kind] for kind in self._counts}


def total_demand(
    own: Mapping[Kind, float], peers: Mapping[Kind, float], sent_by_peers: float
) -> dict[Kind, float]:
    """Returns the requests a second of each kind that all instances are asked for.

    Peers that report no demand, like those of older builds, still send requests. Those are taken to
    be of the same kinds as this instance's own.

    Args:
        own: Requests a second of each kind that this instance is asked for.
        peers: Those that the others report.
        sent_by_peers: Requests a second that the others send, by their requests in progress.
    """
    demand = _spread_unnamed(dict(peers), own)
    reported = sum(peers.values())
    unreported = sent_by_peers - reported if reported < REPORTED_SHARE * sent_by_peers else 0.0
    scale = 1.0 + unreported / max(sum(own.values()), MIN_RATE)
    for kind, rate in own.items():
        demand[kind] = demand.get(kind, 0.0) + rate * scale
    return demand


def _spread_unnamed(peers: dict[Kind, float], own: Mapping[Kind, float]) -> dict[Kind, float]:
    """Returns a demand whose unnamed teams are taken to be this instance's teams that it lacks.

    Reports name only the largest teams of a rank, and give the others together without a team.
    """
    for rest in [kind for kind in peers if kind.team == NO_TEAM]:
        missing = {k: r for k, r in own.items() if k.rank == rest.rank and k not in peers}
        total = sum(missing.values())
        if not total:
            continue
        rate = peers.pop(rest)
        for kind, own_rate in missing.items():
            peers[kind] = rate * own_rate / total
    return peers


def admitted_parts(demand: Mapping[Kind, float], allowed: float) -> dict[Kind, float]:
    """Returns which part of the requests of each kind fits into a rate, from 0 to 1.

    Args:
        demand: Requests a second of each kind.
        allowed: Requests a second that fit.
    """
    parts: dict[Kind, float] = {}
    left = allowed
    for rank in sorted({kind.rank for kind in demand}):
        wanted = {kind: rate for kind, rate in demand.items() if kind.rank == rank}
        shares = max_min_shares(wanted, left)
        left -= sum(shares.values())
        for kind, rate in wanted.items():
            parts[kind] = min(1.0, shares[kind] / rate) if rate > 0.0 else 1.0
    return parts


def max_min_shares(wanted: Mapping[Kind, float], available: float) -> dict[Kind, float]:
    """Divides a rate: none gets more than it wants, and what one leaves goes to the others."""
    shares: dict[Kind, float] = {}
    left = max(0.0, available)
    for number, kind in enumerate(sorted(wanted, key=lambda each: (wanted[each], each))):
        shares[kind] = min(wanted[kind], left / (len(wanted) - number))
        left -= shares[kind]
    return shares


def largest_kinds(demand: Mapping[Kind, float], limit: int) -> dict[Kind, float]:
    """Returns a demand with at most so many kinds.

    The smallest kinds of a rank are added up as one without a team; if there are too many ranks
    for that, they are added to the kind of the nearest rank.
    """
    ranks = len({kind.rank for kind in demand})
    single = limit if len(demand) <= limit else max(1, limit - ranks)
    found: dict[Kind, float] = {}
    for kind in sorted(demand, key=lambda each: -demand[each]):
        rate = demand[kind]
        if len(found) >= single:
            kind = Kind(kind.rank, NO_TEAM)
        if kind not in found and len(found) >= limit:
            kind = _nearest(found, kind.rank)
        found[kind] = found.get(kind, 0.0) + rate
    return found


def _nearest(kinds: Iterable[Kind], rank: int) -> Kind:
    return min(kinds, key=lambda each: (abs(each.rank - rank), each.team != NO_TEAM))
