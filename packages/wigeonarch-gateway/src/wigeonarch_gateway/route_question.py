"""Turns a question to `/route` into the request that it is about.

Its headers are read by the platform's dialect, as those of callers are. Where a question comes from
logs, which name no host and no headers, it names the route, the adapter and so on instead.
"""

from __future__ import annotations

import msgspec
from msgspec.structs import replace
from wigeonarch_core.routes import Route, RoutingTable, bare_host
from wigeonarch_core.teams import KeyProblem, Team, team_of
from wigeonarch_runtime.clock import monotonic

from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.exchange import CallerRequest
from wigeonarch_gateway.internal_headers import without_internal_headers
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.ports import Dialect, Headers, RequestTerms
from wigeonarch_gateway.route_answer import Problem, RouteQuery
from wigeonarch_gateway.serving import make_job


class Question(msgspec.Struct, frozen=True):
    """What a question is about.

    Attributes:
        job: The request, as if it had been admitted.
        team: Its team, or why its key is not accepted; None if it needs none.
        problems: Why the request can't be what was meant.
    """

    job: Job
    team: Team | KeyProblem | None
    problems: tuple[Problem, ...]


class QuestionReader:
    """Reads questions by the configuration in force."""

    __slots__ = ("_catalogue", "_dialect", "_endpoints", "_views")

    def __init__(
        self,
        dialect: Dialect,
        catalogue: Catalogue,
        endpoints: EndpointRegistry,
        views: EngineViews,
    ) -> None:
        """Creates a reader.

        Args:
            dialect: The platform's names of headers.
            catalogue: Configuration and adapter versions in force.
            endpoints: The known endpoints.
            views: What is known of engines.
        """
        self._dialect = dialect
        self._catalogue = catalogue
        self._endpoints = endpoints
        self._views = views

    def read(self, query: RouteQuery, route: Route, table: RoutingTable, draw: float) -> Question:
        """Returns what a question is about.

        Args:
            query: The question.
            route: Its route.
            table: The routing table with that route.
            draw: Uniform in [0, 1), decides on a service of a split route.
        """
        request = _as_request(query, route)
        terms = self._dialect.read_terms(request.headers)
        team, problem = self._find_team(query, request, route, table)
        known_team = team if isinstance(team, Team) else None
        job = make_job(request, terms, _NoCaller(), route, table, known_team, draw)
        if query.service:
            job.service, job.spec = query.service, table.services.get(query.service)
        if query.content:
            job.content_key = query.content
        job.terms = self._complete_terms(query, job)
        problems = (problem, self._find_problem(job))
        return Question(job, team, tuple(each for each in problems if each is not None))

    def _find_team(
        self, query: RouteQuery, request: CallerRequest, route: Route, table: RoutingTable
    ) -> tuple[Team | KeyProblem | None, Problem | None]:
        if query.team:
            team = table.teams.get(query.team) if table.teams is not None else None
            return team, Problem.UNKNOWN_TEAM if team is None else None
        key = query.key or self._dialect.read_key(request.raw_headers)
        return team_of(table.teams, key, route.public), None

    def _complete_terms(self, query: RouteQuery, job: Job) -> RequestTerms:
        """Returns the terms, with what the question states where its headers don't."""
        terms = job.terms
        adapter = terms.adapter or query.adapter
        model = terms.model or query.model
        if adapter and not model:
            model = self._guess_model(job, adapter)
        tokens = query.tokens if terms.tokens is None else terms.tokens
        return replace(terms, adapter=adapter, model=model, tokens=tokens)

    def _guess_model(self, job: Job, adapter: str) -> str:
        """Returns the only model of a service that can have an adapter; empty if unclear."""
        engine = job.spec.engine if job.spec is not None else None
        names = [model.name for model in engine.models] if engine is not None else []
        published = [name for name in names if self._catalogue.version(name, adapter)]
        found = published or names
        return found[0] if len(found) == 1 else ""

    def _find_problem(self, job: Job) -> Problem | None:
        services = {share.service for share in job.route.split}
        if job.spec is None or job.service not in services:
            return Problem.UNKNOWN_SERVICE
        terms, engine = job.terms, job.spec.engine
        if engine is None or not (terms.model or terms.adapter):
            return None
        if terms.model not in {model.name for model in engine.models}:
            return Problem.UNKNOWN_MODEL
        if terms.adapter and not self._is_adapter_known(job):
            return Problem.UNKNOWN_ADAPTER
        return None

    def _is_adapter_known(self, job: Job) -> bool:
        """Tells whether an adapter was published, or an engine has it or has had it."""
        name = (job.terms.model, job.terms.adapter)
        if self._catalogue.version(*name):
            return True
        records = (record for record in self._endpoints.all() if record.service == job.service)
        views = (self._views.peek(record.endpoint) for record in records)
        return any(name in view.adapter_names() or name in view.seen for view in views)


class _NoCaller:
    """The caller of a request that nobody sent; implements `exchange.ResponseWriter`."""

    __slots__ = ()

    @property
    def started(self) -> bool:
        """Tells that nothing was sent."""
        return False

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Fails, as all others: nothing may be sent."""
        raise AssertionError

    async def start(self, status: int, headers: Headers) -> None:
        """Fails."""
        raise AssertionError

    async def write(self, data: bytes) -> None:
        """Fails."""
        raise AssertionError

    async def finish(self) -> None:
        """Fails."""
        raise AssertionError

    def abort(self) -> None:
        """Fails."""
        raise AssertionError


def find_route(query: RouteQuery, table: RoutingTable) -> Route | Problem:
    """Returns the route of a question, or what of it is unknown."""
    if query.route:
        named = (route for route in table.routes() if route.name == query.route)
        return next(named, Problem.UNKNOWN_ROUTE)
    route = table.find(query.host, query.path.partition("?")[0])
    if route is not None:
        return route
    hosts = {route.host for route in table.routes()}
    return Problem.UNKNOWN_ROUTE if bare_host(query.host) in hosts else Problem.UNKNOWN_HOST


def _as_request(query: RouteQuery, route: Route) -> CallerRequest:
    host, path = (route.host, route.prefix) if query.route else (query.host, query.path)
    raw = [
        (name.encode("latin-1", "replace"), value.encode("latin-1", "replace"))
        for name, value in query.headers
    ]
    headers: dict[str, str] = {}
    for name, value in query.headers:
        headers.setdefault(name.lower(), value)
    request = CallerRequest(query.method, path, host, raw, headers, b"", monotonic())
    return without_internal_headers(request)
