"""Admission control: decides by API key and team quota whether a request may be served.

Requests are admitted after they are routed and before an endpoint is chosen, so that a request that
is not allowed uses up no place, adapter load or retry of others.

While this instance's configuration may be out of date, an API key that is unknown may be a new one,
and a route that needs a key may need none any more. Such a request is told to retry, which may take
it to another instance, and is not denied. A request beyond its team's quota waits only if the quota
will cover it soon enough to meet the objective.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import msgspec
from wigeonarch_core.quota_ledger import AcquireResult
from wigeonarch_core.routes import Route, RoutingTable
from wigeonarch_core.teams import KeyProblem, Quota, Team, team_of

from wigeonarch_gateway import texts
from wigeonarch_gateway.exchange import CallerRequest
from wigeonarch_gateway.freshness import ConfigurationFreshness
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import Headers, RequestTerms
from wigeonarch_gateway.quotas import QuotaGrant, QuotaManager, QuotaOutlook, QuotaRefusal
from wigeonarch_gateway.selection import RETRY_ELSEWHERE_AFTER, LogFields

# Share of the latency objective for which a request waits until its team's quota covers it.
QUOTA_WAIT_SHARE: Final = 0.2

KEY_TEXTS: Final = {
    KeyProblem.MISSING: texts.KEY_MISSING,
    KeyProblem.UNKNOWN: texts.KEY_UNKNOWN,
}


class Admitted(msgspec.Struct, frozen=True):
    """The request may be served.

    Attributes:
        team: Team of the API key; None if the request needs none.
        quota_grant: Units granted out of the team's quota; None if it has no quota.
    """

    team: Team | None = None
    quota_grant: QuotaGrant | None = None


class Denied(msgspec.Struct, frozen=True):
    """The request is not allowed, and to retry does not help: its key is missing or unknown."""

    reason: str
    text: str


class Deferred(msgspec.Struct, frozen=True):
    """The request is refused for now and may be retried.

    Attributes:
        reason: Reason for logs and metrics.
        text: Reason for the caller.
        retry_after: Seconds after which to retry.
        over_quota: Whether its team has used up its quota.
        log_fields: What the decision was based on, for the log.
    """

    reason: str
    text: str
    retry_after: float
    over_quota: bool
    log_fields: LogFields


Decision = Admitted | Denied | Deferred


class Outlook(msgspec.Struct, frozen=True):
    """How a request would be decided on now, as far as that is known here.

    Attributes:
        decision: The decision; None if only the team's quota coordinator knows. A request that
            waits for its quota counts as admitted.
        team: The team; None if the request needs none or it is unknown.
        cost: Units that the request costs; None if no quota applies.
        quota: What is known of the quota; None if none applies.
    """

    decision: Decision | None
    team: Team | None = None
    cost: float | None = None
    quota: QuotaOutlook | None = None


class Admission:
    """Admits, denies or defers requests."""

    __slots__ = ("_freshness", "_metrics", "_quotas", "_read_key")

    def __init__(
        self,
        read_key: Callable[[Headers], str | None],
        quotas: QuotaManager,
        freshness: ConfigurationFreshness,
        metrics: Metrics,
    ) -> None:
        """Creates the admission control.

        Args:
            read_key: Returns the API key in a request's headers; None if there is none.
            quotas: Grants units of teams' quotas.
            freshness: How up to date the configuration is known to be.
            metrics: Counters.
        """
        self._read_key = read_key
        self._quotas = quotas
        self._freshness = freshness
        self._metrics = metrics

    async def admit(
        self, request: CallerRequest, terms: RequestTerms, route: Route, table: RoutingTable
    ) -> Decision:
        """Decides on a request; takes the units that it costs out of its team's quota."""
        if table.teams is None:
            return Admitted()
        team = team_of(table.teams, self._read_key(request.raw_headers), route.public)
        if isinstance(team, KeyProblem):
            return self._reject_key(team)
        if team is None or team.quota is None:
            return Admitted(team)
        return await self._admit_within_quota(team, team.quota, terms, route)

    def outlook(self, team: Team | KeyProblem | None, terms: RequestTerms, route: Route) -> Outlook:
        """Tells how `admit` would decide now; takes no units and asks no other instance.

        Args:
            team: The team of the request, or why its key is not accepted.
            terms: What its headers ask for.
            route: The route that it matched.
        """
        if isinstance(team, KeyProblem):
            return Outlook(self._reject_key(team))
        if team is None or team.quota is None:
            return Outlook(Admitted(team), team)
        cost = team.quota.cost(terms.tokens)
        found = self._quotas.outlook(team, team.quota, cost)
        if found.verdict is None:
            return Outlook(None, team, cost, found)
        if found.verdict.granted or self._waits_for_quota(found.verdict, route):
            return Outlook(Admitted(team), team, cost, found)
        refusal = QuotaRefusal(found.verdict, found.coordinator, found.asked)
        return Outlook(self._over_quota(team, team.quota, cost, refusal), team, cost, found)

    def refund(self, admitted: Admitted) -> None:
        """Gives back the quota units of a request that has not run and will not."""
        if admitted.quota_grant is not None:
            self._quotas.refund(admitted.quota_grant)

    def _reject_key(self, problem: KeyProblem) -> Denied | Deferred:
        if self._freshness.is_behind():
            return Deferred("key_unsure", texts.KEY_UNSURE, RETRY_ELSEWHERE_AFTER, False, {})
        return Denied(problem.value, KEY_TEXTS[problem])

    async def _admit_within_quota(
        self, team: Team, quota: Quota, terms: RequestTerms, route: Route
    ) -> Admitted | Deferred:
        cost = quota.cost(terms.tokens)
        result = await self._quotas.acquire(team, quota, cost)
        if isinstance(result, QuotaRefusal) and self._waits_for_quota(result.verdict, route):
            await asyncio.sleep(result.verdict.queue_wait)
            result = await self._quotas.acquire(team, quota, cost)
        if isinstance(result, QuotaGrant):
            self._metrics.count_admitted(team.name, cost)
            return Admitted(team, result)
        self._metrics.count_over_quota(team.name, cost)
        return self._over_quota(team, quota, cost, result)

    @staticmethod
    def _waits_for_quota(verdict: AcquireResult, route: Route) -> bool:
        """Tells whether the quota covers a refused request soon enough to wait for it."""
        return verdict.queue_wait < QUOTA_WAIT_SHARE * route.objective

    @staticmethod
    def _over_quota(team: Team, quota: Quota, cost: float, result: QuotaRefusal | None) -> Deferred:
        """Returns the refusal of a request that its team's quota does not cover."""
        log_fields: LogFields = {"team": team.name, "cost": cost}
        if result is None:
            return Deferred(
                "quota_unsure", texts.QUOTA_UNSURE, RETRY_ELSEWHERE_AFTER, False, log_fields
            )
        log_fields |= {
            "left": result.verdict.remaining,
            "rate": quota.rate,
            "burst": quota.burst,
            "banker": result.coordinator,
            "asked": result.asked,
        }
        after = result.verdict.queue_wait
        return Deferred("over_quota", texts.OVER_QUOTA, after, True, log_fields)
