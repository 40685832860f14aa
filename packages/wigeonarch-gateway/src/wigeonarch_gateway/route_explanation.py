"""Explains where a request would go now, and why, without sending it.

The explanation calls the code that decides: the routing table, `Admission.outlook` and
`EndpointSelector.decide`. It calls them on a selector that has no effects: it requests no permit
and no load, takes no units, notes no lost way, and draws from a generator of its own. What only
other instances know (the quota that another one keeps, the software that began a stream) is not
asked for; the answer names it instead.

API keys are looked up and dropped. No part of a question is logged, and none of its headers is
returned.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import replace as copy_with
from typing import Final

import msgspec
from msgspec.structs import asdict, replace
from wigeonarch_core.decoding import decode_json
from wigeonarch_core.engine_choice import EngineChoice, EngineState, estimate_engines
from wigeonarch_core.routes import Route, RoutingTable
from wigeonarch_core.service_choice import ServiceState
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway import texts
from wigeonarch_gateway.admission import Admission
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.dispatch_outcomes import DispatchOutcomes
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.forwarding import NO_ENDPOINT_TEXTS
from wigeonarch_gateway.freshness import ConfigurationFreshness
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.peer_forwarding import PeerForwarder
from wigeonarch_gateway.ports import Dialect, EndpointRecord
from wigeonarch_gateway.refusal_reasons import NoEndpointReason
from wigeonarch_gateway.route_answer import (
    MAX_HEADERS,
    MAX_LISTED_CANDIDATES,
    Action,
    CandidateFacts,
    Choice,
    Figure,
    GenerationFacts,
    Knowledge,
    Problem,
    QueryError,
    Refusal,
    RouteAnswer,
    RouteQuery,
)
from wigeonarch_gateway.route_facts import (
    admission_facts,
    choice_facts,
    notes_on,
    refusal_of,
    route_facts,
)
from wigeonarch_gateway.route_question import QuestionReader, find_route
from wigeonarch_gateway.selection import (
    DEFAULT_RETRY_AFTER,
    RETRY_ELSEWHERE_AFTER,
    EndpointSelector,
    needs_engine,
)
from wigeonarch_gateway.serving import UNAVAILABLE

NOT_FOUND: Final = 404
UNREADABLE_QUERY: Final = "the question is not a JSON document of the expected form"
TOO_MANY_HEADERS: Final = f"the question has more than {MAX_HEADERS} headers"


class RouteExplainer:
    """Answers questions about where requests would go."""

    __slots__ = (
        "_admission",
        "_catalogue",
        "_endpoints",
        "_endpoints_age",
        "_freshness",
        "_instance",
        "_outcomes",
        "_peer_forwarder",
        "_peer_lag",
        "_questions",
        "_selector",
        "_views",
        "_zone",
    )

    def __init__(
        self,
        instance: str,
        zone: str,
        dialect: Dialect,
        catalogue: Catalogue,
        freshness: ConfigurationFreshness,
        endpoints_age: Callable[[], float],
        peer_lag: Callable[[], float],
        admission: Admission,
        endpoints: EndpointRegistry,
        views: EngineViews,
        outcomes: DispatchOutcomes,
        selector: EndpointSelector,
        peer_forwarder: PeerForwarder,
    ) -> None:
        """Creates an explainer.

        Args:
            instance: Name of this instance.
            zone: Its availability zone.
            dialect: The platform's names of headers.
            catalogue: Configuration and adapter versions in force.
            freshness: How up to date the configuration is known to be.
            endpoints_age: Returns the age of the list of endpoints, in seconds.
            peer_lag: Returns the age of what other instances reported, in seconds.
            admission: Decides on keys and quotas.
            endpoints: The known endpoints.
            views: What is known of engines.
            outcomes: What dispatches showed of endpoints.
            selector: Selects endpoints.
            peer_forwarder: Chooses peers while no endpoint can be reached.
        """
        self._instance = instance
        self._zone = zone
        self._catalogue = catalogue
        self._freshness = freshness
        self._endpoints_age = endpoints_age
        self._peer_lag = peer_lag
        self._admission = admission
        self._endpoints = endpoints
        self._outcomes = outcomes
        self._selector = selector
        self._views = views
        self._peer_forwarder = peer_forwarder
        self._questions = QuestionReader(dialect, catalogue, endpoints, views)

    def answer(self, question: bytes) -> tuple[int, bytes]:
        """Returns the status and the body of the answer to a question; both bodies are JSON."""
        try:
            query = decode_json(question, RouteQuery)
        except ValueError:  # Its text may quote the question, which may hold a key.
            return 400, msgspec.json.encode(QueryError(UNREADABLE_QUERY))
        if len(query.headers) > MAX_HEADERS:
            return 400, msgspec.json.encode(QueryError(TOO_MANY_HEADERS))
        return 200, msgspec.json.encode(self.explain(query))

    def explain(self, query: RouteQuery) -> RouteAnswer:
        """Returns where a request would go now, and why; changes nothing."""
        answer = RouteAnswer(self._instance, self._zone, self._knowledge())
        table = self._catalogue.table
        if table is None:
            text = texts.NO_CONFIGURATION
            refusal = Refusal(UNAVAILABLE, "no_configuration", text, DEFAULT_RETRY_AFTER)
            return replace(answer, refusal=refusal)
        route = find_route(query, table)
        if isinstance(route, Problem):
            return replace(answer, refusal=self._refuse_unrouted(), problems=(route,))
        return self._explain_routed(query, route, table, answer)

    def _knowledge(self) -> Knowledge:
        table = self._catalogue.table
        confirmation = self._freshness.confirmation()
        return Knowledge(
            None if table is None else table.version,
            confirmation.age,
            confirmation.confirmed_by,
            self._freshness.is_behind(),
            self._endpoints_age(),
            self._peer_lag(),
        )

    def _refuse_unrouted(self) -> Refusal:
        if self._freshness.is_behind():
            text = texts.ROUTE_UNSURE
            return Refusal(UNAVAILABLE, "route_unsure", text, RETRY_ELSEWHERE_AFTER)
        return Refusal(NOT_FOUND, "no_route", texts.NO_ROUTE)

    def _explain_routed(
        self, query: RouteQuery, route: Route, table: RoutingTable, answer: RouteAnswer
    ) -> RouteAnswer:
        draw = random.Random(query.seed).random
        question = self._questions.read(query, route, table, draw())
        job = question.job
        outlook = self._admission.outlook(question.team, job.terms, route)
        selector = self._selector.observing(
            lambda job: self._peer_forwarder.peer_if_needed(job, draw) is not None, draw
        )
        answer = replace(
            answer,
            problems=question.problems,
            refusal=refusal_of(outlook),
            route=route_facts(job),
            generation=self._generation_facts(job),
            admission=admission_facts(outlook),
            notes=notes_on(query, job, outlook),
        )
        return self._explain_choice(job, selector, draw, answer)

    def _generation_facts(self, job: Job) -> GenerationFacts | None:
        if not needs_engine(job):
            return None
        key, terms = self._selector.required_adapter(job), job.terms
        return GenerationFacts(
            key.model,
            key.adapter,
            key.version,
            terms.prompt_tokens,
            terms.output_tokens,
            len(terms.parts),
        )

    # The choice.

    def _explain_choice(
        self, job: Job, selector: EndpointSelector, draw: Callable[[], float], answer: RouteAnswer
    ) -> RouteAnswer:
        now = monotonic()
        found = self._choose(job, selector, draw, now)
        choice = found if isinstance(found, Choice) else None
        refusal = answer.refusal or (found if isinstance(found, Refusal) else None)
        runner_up = None if choice is None else self._choose_other(job, selector, draw, now, choice)
        first = [each.endpoint for each in (choice, runner_up) if each is not None]
        return replace(
            answer,
            refusal=refusal,
            choice=choice,
            runner_up=runner_up,
            service_time=None if needs_engine(job) else selector.service_time(job.service),
            candidate_count=len(self._endpoints_of(job)),
            candidates=self._candidates(job, selector, now, first),
        )

    def _choose(
        self, job: Job, selector: EndpointSelector, draw: Callable[[], float], now: float
    ) -> Choice | Refusal:
        quarantine_left = self._outcomes.quarantine_left(job)
        if quarantine_left:
            return Refusal(UNAVAILABLE, "quarantined", texts.QUARANTINED, quarantine_left)
        decision = selector.decide(job, now, 0.0)
        selected = decision.selected
        if selected is NoEndpointReason.OUT_OF_REACH:
            peer = self._peer_forwarder.peer_if_needed(job, draw)
            if peer is not None:
                return Choice(Action.HAND_OVER, peer.name)
        if selected is None:
            selected = selector.refusal_of_wait(job, decision.choice, now, 0.0)
        if isinstance(selected, NoEndpointReason):
            after = selector.retry_after(job, selected)
            return Refusal(UNAVAILABLE, selected.value, NO_ENDPOINT_TEXTS[selected], after)
        return choice_facts(job, decision, selector)

    def _choose_other(
        self,
        job: Job,
        selector: EndpointSelector,
        draw: Callable[[], float],
        now: float,
        first: Choice,
    ) -> Choice | None:
        """Returns where a request goes if the first endpoint refused it; None if nowhere else."""
        if first.action in (Action.WAIT, Action.HAND_OVER):
            return None
        again = copy_with(job, avoided_endpoints={first.endpoint}, dispatch_count=1)
        found = self._choose(again, selector, draw, now)
        if isinstance(found, Refusal) or found.endpoint in ("", first.endpoint):
            return None
        return found

    def _candidates(
        self, job: Job, selector: EndpointSelector, now: float, first: Sequence[str]
    ) -> tuple[CandidateFacts, ...]:
        """Returns the endpoints that count most: those of `first`, then usable ones by wait."""
        records = self._endpoints_of(job)
        usable = {record.endpoint for record in selector.usable(job, now)}
        states: Sequence[EngineState] | Sequence[ServiceState]
        estimates: dict[str, EngineChoice] = {}
        if needs_engine(job):
            states = engines = selector.engine_states(job, records, now)
            compared = [state for state in engines if state.endpoint in usable]
            estimates = estimate_engines(compared, job.terms.prompt_tokens)
        else:
            states = selector.service_states(job, records, now)
        by_name = {state.endpoint: state for state in states}
        records.sort(key=lambda record: _rank(record.endpoint, first, usable, estimates))
        return tuple(
            self._candidate_facts(
                job,
                record,
                record.endpoint in usable,
                estimates.get(record.endpoint),
                by_name.get(record.endpoint),
                now,
            )
            for record in records[:MAX_LISTED_CANDIDATES]
        )

    def _endpoints_of(self, job: Job) -> list[EndpointRecord]:
        return [record for record in self._endpoints.all() if record.service == job.service]

    def _candidate_facts(
        self,
        job: Job,
        record: EndpointRecord,
        usable: bool,
        estimate: EngineChoice | None,
        state: EngineState | ServiceState | None,
        now: float,
    ) -> CandidateFacts:
        view = self._views.peek(record.endpoint)
        figures: dict[str, Figure] = {} if state is None else asdict(state)
        figures.pop("endpoint", None)
        return CandidateFacts(
            record.endpoint,
            record.address,
            record.zone,
            record.state.value,
            record.software,
            usable,
            self._outcomes.is_paused(record, now),
            self._outcomes.pause_left(record, now),
            self._outcomes.cooldown_left(record, now),
            self._outcomes.expected_limit_wait(record, now),
            self._outcomes.parts_hold_left(job, record),
            None if estimate is None else estimate.expected,
            estimate is not None and estimate.crowded,
            view.owner,
            now - view.last_update if needs_engine(job) else None,
            figures,
        )


def _rank(
    endpoint: str,
    first: Sequence[str],
    usable: Collection[str],
    estimates: Mapping[str, EngineChoice],
) -> tuple[int, bool, float, str]:
    """Returns the place of an endpoint in the list of candidates."""
    place = first.index(endpoint) if endpoint in first else len(first)
    estimate = estimates.get(endpoint)
    wait = math.inf if estimate is None else estimate.expected
    return place, endpoint not in usable, wait, endpoint
