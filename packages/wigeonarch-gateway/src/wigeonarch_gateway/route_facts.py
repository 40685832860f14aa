"""Puts what decides about a request into the words of an answer to `/route`."""

from __future__ import annotations

from typing import Final

from wigeonarch_gateway.admission import Admitted, Denied, Outlook
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.ports import EndpointRecord
from wigeonarch_gateway.route_answer import (
    Action,
    AdmissionFacts,
    Choice,
    Refusal,
    RouteFacts,
    RouteQuery,
)
from wigeonarch_gateway.selection import Decision, EndpointSelector
from wigeonarch_gateway.serving import TOO_MANY_REQUESTS, UNAVAILABLE

UNAUTHORIZED: Final = 401
DECISION_UNKNOWN: Final = "unknown"
WAITS_FOR_QUOTA: Final = "waits"
NOTE_RESUMED: Final = (
    "the software that began the stream is looked up first, at other instances if need be, "
    "and only its endpoints are used"
)
NOTE_QUARANTINE: Final = "whether the request is in quarantine depends on its body"
NOTE_QUOTA: Final = "only the quota coordinator knows what is left of the quota"


def choice_facts(job: Job, decision: Decision, selector: EndpointSelector) -> Choice:
    """Returns what is done with a request that is not refused."""
    engine, record = decision.choice, decision.selected
    expected = None if engine is None else engine.expected
    crowded = engine is not None and engine.crowded
    if isinstance(record, EndpointRecord):
        action = Action.HOLD_BACK if decision.held_back else Action.SEND
        return Choice(action, record.endpoint, expected, crowded)
    waits_for = selector.longest_wait(job, engine)
    if engine is None:
        return Choice(Action.WAIT, waits_for=waits_for)
    return Choice(Action.LOAD, engine.endpoint, expected, crowded, waits_for)


def route_facts(job: Job) -> RouteFacts:
    """Returns the route and the service of a request."""
    route = job.route
    return RouteFacts(
        route.name,
        route.host,
        route.prefix,
        route.kind.value,
        job.service,
        {share.service: share.weight for share in route.split},
        route.objective,
        route.timeout,
        route.attempts,
        job.priority,
    )


def admission_facts(outlook: Outlook) -> AdmissionFacts:
    """Returns how admission decides."""
    decision = type(outlook.decision).__name__.lower() if outlook.decision else DECISION_UNKNOWN
    team = outlook.team
    if team is None or team.quota is None or outlook.quota is None or outlook.cost is None:
        return AdmissionFacts(decision, "" if team is None else team.name)
    verdict = outlook.quota.verdict
    left: float | None = None
    wait = 0.0
    if verdict is not None:
        left = verdict.remaining + (outlook.cost if verdict.granted else 0.0)
        wait = verdict.queue_wait
        if not verdict.granted and isinstance(outlook.decision, Admitted):
            decision = WAITS_FOR_QUOTA
    return AdmissionFacts(
        decision,
        team.name,
        outlook.cost,
        left,
        team.quota.rate,
        team.quota.burst,
        wait,
        outlook.quota.coordinator,
    )


def refusal_of(outlook: Outlook) -> Refusal | None:
    """Returns the response to a request that is not admitted; None if it is, or may be."""
    decision = outlook.decision
    if decision is None or isinstance(decision, Admitted):
        return None
    if isinstance(decision, Denied):
        return Refusal(UNAUTHORIZED, decision.reason, decision.text)
    status = TOO_MANY_REQUESTS if decision.over_quota else UNAVAILABLE
    return Refusal(status, decision.reason, decision.text, decision.retry_after)


def notes_on(query: RouteQuery, job: Job, outlook: Outlook) -> tuple[str, ...]:
    """Returns what the answer to a question leaves out."""
    notes = []
    if not query.content:
        notes.append(NOTE_QUARANTINE)
    if job.takes_up_stream:
        notes.append(NOTE_RESUMED)
    if outlook.decision is None:
        notes.append(NOTE_QUOTA)
    return tuple(notes)
