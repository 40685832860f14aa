"""A caller's request from its head to its end: route, admission, time limit, and what was taken.

What happens at endpoints is in `passing`; how requests end is in `closing`.
"""

from __future__ import annotations

import asyncio
import random
from typing import Final

from wigeonarch_core.content_key import content_key
from wigeonarch_core.retry_window import RetryWindow
from wigeonarch_core.routes import Route, RoutingTable, pick_service
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway import texts
from wigeonarch_gateway.admission import Admission, Admitted, Deferred, Denied
from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.exchange import CallerRequest, ResponseWriter
from wigeonarch_gateway.forwarding import Forwarder
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import Dialect, RequestTerms
from wigeonarch_gateway.responder import Responder
from wigeonarch_gateway.selection import LogFields

TOO_MANY_REQUESTS: Final = 429
UNAVAILABLE: Final = 503


class RequestPipeline:
    """Serves requests."""

    __slots__ = (
        "_admission",
        "_catalogue",
        "_dialect",
        "_forwarder",
        "_metrics",
        "_responder",
        "_retries",
    )

    def __init__(
        self,
        dialect: Dialect,
        catalogue: Catalogue,
        admission: Admission,
        passing: Forwarder,
        closing: Responder,
        retries: RetryWindow,
        metrics: Metrics,
    ) -> None:
        self._dialect = dialect
        self._catalogue = catalogue
        self._admission = admission
        self._forwarder = passing
        self._responder = closing
        self._retries = retries
        self._metrics = metrics

    async def serve(self, req: CallerRequest, answer: ResponseWriter) -> None:
        """Answers a request; cancelled when the caller leaves."""
        terms = self._dialect.read_terms(req.headers)
        table = self._catalogue.table
        if table is None:
            await self._responder.refuse(answer, terms, "no_configuration", texts.NO_CONFIGURATION)
            return
        route = table.find(req.host, req.path)
        if route is None:
            log("no_route", request=terms.request_id, host=req.host, version=table.version)
            self._metrics.refusals.labels("no_route").inc()
            await answer.send(404, [], texts.NO_ROUTE.encode())
            return
        decision = await self._admission.admit(req, terms, route, table)
        if not isinstance(decision, Admitted):
            inputs: LogFields = {"route": route.name, "version": table.version}
            await self._respond_not_admitted(answer, terms, decision, inputs)
            return
        job = self._make_job(req, terms, answer, route, table, decision)
        await self._serve_admitted(job, decision)

    async def _respond_not_admitted(
        self,
        answer: ResponseWriter,
        terms: RequestTerms,
        decision: Denied | Deferred,
        inputs: LogFields,
    ) -> None:
        """Answers a request that may not be served, or not now."""
        if isinstance(decision, Denied):
            await self._responder.deny(answer, terms, decision.reason, decision.text, inputs)
            return
        status = TOO_MANY_REQUESTS if decision.over_quota else UNAVAILABLE
        await self._responder.refuse(
            answer,
            terms,
            decision.reason,
            decision.text,
            inputs | decision.log_fields,
            decision.retry_after,
            status,
        )

    async def _serve_admitted(self, job: Job, admitted: Admitted) -> None:
        self._retries.record_request(job.service, monotonic())
        self._metrics.in_progress.inc()
        try:
            async with asyncio.timeout_at(_loop_time(job.deadline)):
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
            if not job.may_have_run_on:
                self._admission.refund(admitted)

    @staticmethod
    def _make_job(
        req: CallerRequest,
        terms: RequestTerms,
        answer: ResponseWriter,
        route: Route,
        table: RoutingTable,
        admitted: Admitted,
    ) -> Job:
        wait = route.timeout if terms.wait is None else min(terms.wait, route.timeout)
        service = pick_service(route, random.random())
        return Job(
            req,
            terms,
            answer,
            route,
            service,
            content_key(req.method, req.host, req.target, req.body),
            req.received + wait,
            table.services.get(service),
            requires_key=table.teams is not None,
            team=admitted.team,
        )


def _loop_time(when: float) -> float:
    return asyncio.get_running_loop().time() + when - monotonic()
