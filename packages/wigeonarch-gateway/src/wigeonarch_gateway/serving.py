"""Serves a caller's request from the HTTP server: route, admission, deadline, and quota refund.

The steps are those of `RequestPipeline.serve`. Dispatching to endpoints is in `forwarding`, and
sending responses is in `responder`.
"""

from __future__ import annotations

import asyncio
import random
from typing import Final

from wigeonarch_core.content_key import content_key
from wigeonarch_core.retry_window import RetryWindow
from wigeonarch_core.routes import Route, RoutingTable, pick_service
from wigeonarch_core.teams import Team
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log
from wigeonarch_runtime.timeouts import timeout_at

from wigeonarch_gateway import texts
from wigeonarch_gateway.admission import Admission, Admitted, Deferred, Denied
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.exchange import CallerRequest, ResponseWriter
from wigeonarch_gateway.forwarding import Forwarder
from wigeonarch_gateway.freshness import ConfigurationFreshness
from wigeonarch_gateway.internal_headers import without_internal_headers
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import Dialect, RequestTerms
from wigeonarch_gateway.responder import Responder
from wigeonarch_gateway.selection import RETRY_ELSEWHERE_AFTER, LogFields

TOO_MANY_REQUESTS: Final = 429
UNAVAILABLE: Final = 503


class RequestPipeline:
    """Takes each request through routing, admission and forwarding."""

    __slots__ = (
        "_admission",
        "_catalogue",
        "_dialect",
        "_forwarder",
        "_freshness",
        "_metrics",
        "_responder",
        "_retries",
    )

    def __init__(
        self,
        dialect: Dialect,
        catalogue: Catalogue,
        freshness: ConfigurationFreshness,
        admission: Admission,
        forwarder: Forwarder,
        responder: Responder,
        retries: RetryWindow,
        metrics: Metrics,
    ) -> None:
        self._dialect = dialect
        self._catalogue = catalogue
        self._freshness = freshness
        self._admission = admission
        self._forwarder = forwarder
        self._responder = responder
        self._retries = retries
        self._metrics = metrics

    async def serve(self, request: CallerRequest, response: ResponseWriter) -> None:
        """Responds to a request; the task is cancelled when the caller disconnects."""
        request = without_internal_headers(request)
        terms = self._dialect.read_terms(request.headers)
        table = self._catalogue.table
        if table is None:
            await self._responder.refuse(
                response, terms, "no_configuration", texts.NO_CONFIGURATION
            )
            return
        route = table.find(request.host, request.path)
        if route is None:
            await self._respond_no_route(request, terms, response, table)
            return
        decision = await self._admission.admit(request, terms, route, table)
        if not isinstance(decision, Admitted):
            log_fields: LogFields = {"route": route.name, "version": table.version}
            log_fields |= self._freshness.log_fields()
            await self._respond_not_admitted(response, terms, decision, log_fields)
            return
        job = make_job(request, terms, response, route, table, decision.team)
        await self._serve_admitted(job, decision)

    async def _respond_no_route(
        self,
        request: CallerRequest,
        terms: RequestTerms,
        response: ResponseWriter,
        table: RoutingTable,
    ) -> None:
        """Responds to a request for which the configuration has no route; a newer one may have."""
        log_fields: LogFields = {"host": request.host, "version": table.version}
        log_fields |= self._freshness.log_fields()
        if self._freshness.is_behind():
            await self._responder.refuse(
                response,
                terms,
                "route_unsure",
                texts.ROUTE_UNSURE,
                log_fields,
                RETRY_ELSEWHERE_AFTER,
            )
            return
        log("no_route", "INFO", request=terms.request_id, **log_fields)
        self._metrics.refusals.labels("no_route").inc()
        await response.send(404, [], texts.NO_ROUTE.encode())

    async def _respond_not_admitted(
        self,
        response: ResponseWriter,
        terms: RequestTerms,
        decision: Denied | Deferred,
        log_fields: LogFields,
    ) -> None:
        """Responds to a request that was not admitted."""
        if isinstance(decision, Denied):
            await self._responder.deny(response, terms, decision.reason, decision.text, log_fields)
            return
        status = TOO_MANY_REQUESTS if decision.over_quota else UNAVAILABLE
        await self._responder.refuse(
            response,
            terms,
            decision.reason,
            decision.text,
            log_fields | decision.log_fields,
            decision.retry_after,
            status,
        )

    async def _serve_admitted(self, job: Job, admitted: Admitted) -> None:
        self._retries.record_request(job.service, monotonic())
        try:
            await self.run(job)
        finally:
            if not job.may_have_run_on:
                self._admission.refund(admitted)

    async def run(self, job: Job) -> None:
        """Responds to an admitted request; the task is cancelled when the caller disconnects."""
        self._metrics.in_progress.inc()
        try:
            async with timeout_at(_loop_time(job.deadline)):
                await self._forwarder.forward(job)
        except TimeoutError:
            await self._responder.respond_timed_out(job)
        except asyncio.CancelledError:
            log(
                "caller_left",
                request=job.request_id,
                sends=job.dispatch_count,
                begun=job.response.started,
            )
            self._metrics.requests.labels(job.route.name, "caller_left").inc()
            raise
        finally:
            self._metrics.in_progress.dec()


def make_job(
    request: CallerRequest,
    terms: RequestTerms,
    response: ResponseWriter,
    route: Route,
    table: RoutingTable,
    team: Team | None,
    draw: float | None = None,
) -> Job:
    """Returns the state of a request that was admitted, with its deadline.

    Args:
        request: The request.
        terms: What its headers ask for.
        response: Sends the response.
        route: The route that it matched.
        table: The routing table with that route.
        team: Its team; None if it has none.
        draw: Uniform in [0, 1), decides on a service of a split route; drawn if not given.
    """
    service = pick_service(route, random.random() if draw is None else draw)
    return Job(
        request,
        terms,
        response,
        route,
        service,
        content_key(request.method, request.host, request.target, request.body),
        request.received + time_limit(terms, route),
        table.services.get(service),
        requires_key=table.teams is not None,
        team=team,
    )


def time_limit(terms: RequestTerms, route: Route) -> float:
    """Returns the seconds from a request's head to its deadline."""
    return route.timeout if terms.wait is None else min(terms.wait, route.timeout)


def _loop_time(when: float) -> float:
    return asyncio.get_running_loop().time() + when - monotonic()
