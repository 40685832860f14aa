"""Whether a request may be served at all: by its API key, and by what is left of its team's quota.

It comes between the request's route and the choice of an endpoint, so a request that is not allowed
takes no place, load or repeat of others.

A key that is unknown while this instance is behind the store may be a new one: such a request is
sent elsewhere and not denied. One beyond its team's quota waits only where its turn comes so soon
that it can still be prompt.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from wigeonarch_core.routes import Route, RoutingTable
from wigeonarch_core.teams import KeyProblem, Quota, Team, team_of

from wigeonarch_gateway import texts
from wigeonarch_gateway.exchange import CallerRequest
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import Headers, RequestTerms
from wigeonarch_gateway.quotas import QuotaGrant, QuotaManager, QuotaRefusal
from wigeonarch_gateway.selection import LogFields

# Share of its objective for which a request waits for its turn.
QUOTA_WAIT_SHARE: Final = 0.2
# When to come back after a refusal that another instance would not have given, in seconds.
RETRY_ELSEWHERE_AFTER: Final = 0.05

KEY_TEXTS: Final = {
    KeyProblem.MISSING: texts.KEY_MISSING,
    KeyProblem.UNKNOWN: texts.KEY_UNKNOWN,
}


class Admitted(msgspec.Struct, frozen=True):
    """The request may be served, for a team or for none, on credit or without."""

    team: Team | None = None
    quota_grant: QuotaGrant | None = None


class Denied(msgspec.Struct, frozen=True):
    """The request is not allowed, and coming back does not help: its key is not known."""

    reason: str
    text: str


class Deferred(msgspec.Struct, frozen=True):
    """The request may come back.

    Attributes:
        reason: Why, for logs and metrics.
        text: Why, for the caller.
        after: When to come back, in seconds.
        over_quota: Whether its team has used up its quota.
        inputs: What decided, for the log.
    """

    reason: str
    text: str
    retry_after: float
    over_quota: bool
    log_fields: LogFields


Decision = Admitted | Denied | Deferred


class Admission:
    """Lets requests in."""

    __slots__ = ("_is_behind", "_metrics", "_quotas", "_read_key")

    def __init__(
        self,
        read_key: Callable[[Headers], str | None],
        quotas: QuotaManager,
        is_behind: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        """Makes the admission.

        Args:
            read_key: Returns the key among a request's headers.
            quotas: Credit of teams.
            is_behind: Tells whether a newer configuration may have been in force for long.
            metrics: Counters.
        """
        self._read_key = read_key
        self._quotas = quotas
        self._is_behind = is_behind
        self._metrics = metrics

    async def admit(
        self, req: CallerRequest, terms: RequestTerms, route: Route, table: RoutingTable
    ) -> Decision:
        """Decides on a request; takes its credit when it may be served."""
        if table.teams is None:
            return Admitted()
        team = team_of(table.teams, self._read_key(req.raw_headers), route.public)
        if isinstance(team, KeyProblem):
            return self._reject_key(team)
        if team is None or team.quota is None:
            return Admitted(team)
        return await self._admit_within_quota(team, team.quota, terms, route)

    def refund(self, admitted: Admitted) -> None:
        """Gives back the credit of a request that has not run and will not."""
        if admitted.quota_grant is not None:
            self._quotas.refund(admitted.quota_grant)

    def _reject_key(self, problem: KeyProblem) -> Denied | Deferred:
        if problem is KeyProblem.UNKNOWN and self._is_behind():
            return Deferred("key_unsure", texts.KEY_UNSURE, RETRY_ELSEWHERE_AFTER, False, {})
        return Denied(problem.value, KEY_TEXTS[problem])

    async def _admit_within_quota(
        self, team: Team, quota: Quota, terms: RequestTerms, route: Route
    ) -> Admitted | Deferred:
        cost = quota.cost(terms.tokens)
        taken = await self._quotas.acquire(team, quota, cost)
        if (
            isinstance(taken, QuotaRefusal)
            and taken.verdict.queue_wait < QUOTA_WAIT_SHARE * route.objective
        ):
            await asyncio.sleep(taken.verdict.queue_wait)
            taken = await self._quotas.acquire(team, quota, cost)
        if isinstance(taken, QuotaGrant):
            self._metrics.count_admitted(team.name, cost)
            return Admitted(team, taken)
        self._metrics.count_over_quota(team.name, cost)
        inputs: LogFields = {"team": team.name, "cost": cost}
        if taken is None:
            return Deferred(
                "quota_unsure", texts.QUOTA_UNSURE, RETRY_ELSEWHERE_AFTER, False, inputs
            )
        inputs |= {
            "left": taken.verdict.remaining,
            "rate": quota.rate,
            "burst": quota.burst,
            "banker": taken.coordinator,
            "asked": taken.asked,
        }
        after = taken.verdict.queue_wait
        return Deferred("over_quota", texts.OVER_QUOTA, after, True, inputs)
