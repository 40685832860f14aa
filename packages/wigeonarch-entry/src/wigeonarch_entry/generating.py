"""One attempt at a model request: choose an engine, get a grant from its owner, read the answer."""

from __future__ import annotations

import asyncio
import random
from typing import Final

from wigeonarch_core.fleet import Endpoint, Fleet
from wigeonarch_core.lifecycle import Event, Phase
from wigeonarch_core.messages import Granted, GrantRequest
from wigeonarch_core.options import Options
from wigeonarch_core.outcomes import Outcome, Reason
from wigeonarch_core.placement import EngineView, choose_engines
from wigeonarch_runtime.clock import monotonic

from wigeonarch_entry.attempts import FailedAttempt, Progress
from wigeonarch_entry.endpoints import EndpointSelector
from wigeonarch_entry.engines import EngineClient, Generation
from wigeonarch_entry.grantrequester import GrantRequester
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.reading import AnswerReader
from wigeonarch_entry.requests import Generate, Request, SendText

# After these the engine certainly does not run the dispatch.
_NOT_RUNNING: Final = frozenset({Event.DECLINED, Event.CONNECT_FAILED, Event.ERROR})


class GenerationAttempts:
    """Attempts at model requests."""

    __slots__ = (
        "_endpoints",
        "_engines",
        "_fleet",
        "_grants",
        "_journal",
        "_metrics",
        "_opts",
        "_rng",
    )

    def __init__(
        self,
        opts: Options,
        fleet: Fleet,
        endpoints: EndpointSelector,
        grants: GrantRequester,
        engines: EngineClient,
        journal: Journal,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._opts = opts
        self._fleet = fleet
        self._endpoints = endpoints
        self._grants = grants
        self._engines = engines
        self._journal = journal
        self._metrics = metrics
        self._rng = rng

    async def run(
        self, req: Request, work: Generate, progress: Progress, show: SendText | None
    ) -> Outcome | FailedAttempt:
        """Makes one attempt: asks the owner of an engine for a grant and uses it."""
        endpoint = self._choose(req, work, progress)
        if endpoint is None:
            return self._endpoints.no_endpoint(req.service)
        name = endpoint.listed.name
        ask = GrantRequest(
            dispatch_id=f"{req.id}.{progress.retries}",
            requester=self._opts.instance,
            engine=name,
            target=work.target,
            caller=req.caller,
            priority=req.priority,
            remaining=req.deadline - monotonic(),
            tokens=work.max_tokens,
        )
        answer = await self._grants.request(ask, req.deadline)
        if not isinstance(answer, Granted):
            detail = f"owner of {name} refused"
            self._journal.note(req.id, "grant", answer.reason, detail)
            mishap = FailedAttempt(Phase.QUEUED, Event.REFUSED, answer.reason, answer.retry_after)
            self._endpoints.work_refused(endpoint, answer.reason)
            progress.record_failure(name, mishap)
            return mishap
        self._metrics.load_stall.observe(answer.stalled)
        detail = f"engine {name}, waited {answer.waited:.3f} s, stalled {answer.stalled:.3f} s"
        self._journal.note(req.id, "grant", detail=detail)
        return await self._use_grant(req, work, progress, ask, endpoint, show)

    def _choose(self, req: Request, work: Generate, progress: Progress) -> Endpoint | None:
        serving = {
            e.listed.name: e for e in self._endpoints.candidates(work.target.service, progress)
        }
        now = monotonic()
        views = [
            EngineView(
                name,
                e.listed.zone,
                e.leaving,
                self._fleet.summaries.get(name),
                self._grants.is_owner_reachable(name, now),
            )
            for name, e in serving.items()
        ]
        choices = choose_engines(work.target, self._opts.zone, views, self._opts.policy)
        if not choices:
            return None
        detail = ", ".join(f"{choice.engine} ({choice.why})" for choice in choices[:4])
        self._journal.note(req.id, "route", detail=f"{work.target} to {detail}")
        return serving[choices[0].engine]

    async def _use_grant(
        self,
        req: Request,
        work: Generate,
        progress: Progress,
        ask: GrantRequest,
        endpoint: Endpoint,
        show: SendText | None,
    ) -> Outcome | FailedAttempt:
        """Runs a granted request; the pin is released once the engine certainly runs it no more."""
        gen = Generation(
            dispatch=ask.dispatch_id,
            target=work.target,
            prompt=work.prompt,
            max_tokens=work.max_tokens,
            priority=req.priority,
            remaining=req.deadline - monotonic(),
        )
        address = endpoint.listed.address
        self._endpoints.call_started(endpoint)
        reading = AnswerReader(
            self._engines, self._journal, self._metrics, req, progress, show, self._rng
        )
        finished = False
        answer = reading.run(
            address, gen, self._opts.timing, lambda: self._grants.is_usable(ask.dispatch_id)
        )
        try:
            async with asyncio.timeout(max(0.0, gen.remaining)):
                ended = await answer
            finished = not isinstance(ended, FailedAttempt) or ended.event in _NOT_RUNNING
        except TimeoutError:
            ended = FailedAttempt(Phase.SENT, Event.DEADLINE, Reason.DEADLINE)
        finally:
            if not finished:
                finished = await asyncio.shield(self._engines.cancel(address, gen.dispatch))
            (self._grants.release if finished else self._grants.abandon)(ask.dispatch_id)
        self._endpoints.call_ended(endpoint, ended)
        if isinstance(ended, FailedAttempt):
            progress.record_failure(endpoint.listed.name, ended)
        return ended
