"""Attempts to run a model request.

Each attempt chooses an engine, requests a grant from its owner, and reads the engine's answer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Final

from wigeonarch_core.fleet import Endpoint, Fleet
from wigeonarch_core.lifecycle import Event, Phase
from wigeonarch_core.messages import Granted, GrantRequest
from wigeonarch_core.options import Options
from wigeonarch_core.outcomes import Outcome, Reason
from wigeonarch_core.owner_wait import OwnerWait
from wigeonarch_core.placement import EngineView, choose_engines
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_entry.attempts import FailedAttempt, Progress
from wigeonarch_entry.endpoints import EndpointSelector
from wigeonarch_entry.engines import EngineClient, Generation
from wigeonarch_entry.grantrequester import GrantRequester
from wigeonarch_entry.journal import Journal
from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.reading import AnswerReader
from wigeonarch_entry.requests import Generate, Request, SendText

# Events after which the engine certainly does not run the dispatch.
_NOT_RUNNING: Final = frozenset({Event.REFUSED, Event.DECLINED, Event.CONNECT_FAILED, Event.ERROR})

# Seconds between two looks for an owner of an engine.
OWNER_CHECK_INTERVAL: Final = 0.05


class GenerationAttempts:
    """Makes single attempts to run model requests."""

    __slots__ = (
        "_endpoints",
        "_engines",
        "_fleet",
        "_grants",
        "_journal",
        "_metrics",
        "_opts",
        "_reaches_platform",
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
        reaches_platform: Callable[[float], bool],
    ) -> None:
        self._opts = opts
        self._reaches_platform = reaches_platform
        self._fleet = fleet
        self._endpoints = endpoints
        self._grants = grants
        self._engines = engines
        self._journal = journal
        self._metrics = metrics
        self._rng = rng

    async def run(
        self, req: Request, work: Generate, progress: Progress, send_text: SendText | None
    ) -> Outcome | FailedAttempt:
        """Makes one attempt; returns the outcome, or the failure that ended the attempt."""
        endpoint = self._choose(req, work, progress)
        if endpoint is None:
            return self._endpoints.no_endpoint(req.service)
        name = endpoint.listed.name
        grant_request = GrantRequest(
            dispatch_id=f"{req.id}.{progress.attempts}",
            requester=self._opts.instance,
            engine=name,
            target=work.target,
            caller=req.caller,
            priority=req.priority,
            remaining=req.deadline - monotonic(),
            tokens=work.max_tokens,
        )
        reply = await self._grants.request(grant_request, req.deadline)
        if not isinstance(reply, Granted):
            detail = f"owner of {name} refused"
            self._journal.note(req.id, "grant", reply.reason, detail)
            failure = FailedAttempt(Phase.QUEUED, Event.REFUSED, reply.reason, reply.retry_after)
            self._endpoints.work_refused(endpoint, reply.reason)
            if reply.reason is Reason.NO_OWNER:
                self._record_ownerless(name, progress)
            progress.record_failure(name, failure)
            return failure
        self._metrics.load_stall.observe(reply.stalled)
        detail = f"engine {name}, waited {reply.waited:.3f} s, stalled {reply.stalled:.3f} s"
        self._journal.note(req.id, "grant", detail=detail)
        return await self._use_grant(req, work, progress, grant_request, endpoint, send_text)

    async def wait_for_owner(self, req: Request, progress: Progress) -> bool:
        """Waits until an owner can be asked again, after a refusal for lack of one.

        Returns:
            Whether one should be asked; False if a wait is in vain or has lasted too long.
        """
        wait = progress.owner_wait
        while wait is not None and (now := monotonic()) < req.deadline:
            if not wait.may_go_on(self._can_be_taken_over(now), now):
                return False
            for endpoint in self._endpoints.candidates(req.service, progress):
                name = endpoint.listed.name
                is_reachable = self._grants.is_owner_reachable(name, now)
                if is_reachable and wait.is_due(name, self._fence(name), now):
                    return True
            await asyncio.sleep(OWNER_CHECK_INTERVAL)
        return False

    def _record_ownerless(self, engine: str, progress: Progress) -> None:
        if progress.owner_wait is None:
            timing = self._opts.timing
            progress.owner_wait = OwnerWait(timing.lease_term + timing.lease_margin)
        progress.owner_wait.record_refusal(engine, self._fence(engine), monotonic())

    def _fence(self, engine: str) -> int:
        ownership = self._fleet.owners.get(engine)
        return 0 if ownership is None else ownership.fence

    def _can_be_taken_over(self, now: float) -> bool:
        """Returns whether any instance could take an engine over, which needs the platform."""
        reachable = self._fleet.instances_heard_within(self._opts.timing.peer_timeout, now)
        return self._reaches_platform(now) or any(
            peer.heartbeat is not None and peer.heartbeat.reaches and name in reachable
            for name, peer in self._fleet.peers.items()
        )

    def _choose(self, req: Request, work: Generate, progress: Progress) -> Endpoint | None:
        candidates = {
            endpoint.listed.name: endpoint
            for endpoint in self._endpoints.candidates(work.target.service, progress)
        }
        now = monotonic()
        views = [
            EngineView(
                name,
                endpoint.listed.zone,
                endpoint.leaving,
                self._fleet.summaries.get(name),
                self._grants.is_owner_reachable(name, now),
            )
            for name, endpoint in candidates.items()
        ]
        choices = choose_engines(work.target, self._opts.zone, views, self._opts.policy)
        if not choices:
            return None
        detail = ", ".join(f"{choice.engine} ({choice.why})" for choice in choices[:4])
        self._journal.note(req.id, "route", detail=f"{work.target} to {detail}")
        return candidates[choices[0].engine]

    async def _use_grant(
        self,
        req: Request,
        work: Generate,
        progress: Progress,
        grant_request: GrantRequest,
        endpoint: Endpoint,
        send_text: SendText | None,
    ) -> Outcome | FailedAttempt:
        """Runs a granted request.

        The grant is released once the engine certainly no longer runs the request. If that is not
        known, the grant is abandoned, and the engine's owner keeps the pin.
        """
        gen = Generation(
            dispatch=grant_request.dispatch_id,
            target=work.target,
            prompt=work.prompt,
            max_tokens=work.max_tokens,
            priority=req.priority,
            remaining=req.deadline - monotonic(),
        )
        address = endpoint.listed.address
        self._endpoints.call_started(endpoint)
        reader = AnswerReader(
            self._engines, self._journal, self._metrics, req, progress, send_text, self._rng
        )
        not_running = False
        read_answer = reader.run(
            address,
            gen,
            self._opts.timing,
            lambda: self._grants.is_usable(grant_request.dispatch_id),
        )
        try:
            async with timeout_after(max(0.0, gen.remaining)):
                result = await read_answer
            not_running = not isinstance(result, FailedAttempt) or result.event in _NOT_RUNNING
        except TimeoutError:
            result = FailedAttempt(Phase.SENT, Event.DEADLINE, Reason.DEADLINE)
        finally:
            if not not_running:
                not_running = await asyncio.shield(self._engines.cancel(address, gen.dispatch))
            (self._grants.release if not_running else self._grants.abandon)(
                grant_request.dispatch_id
            )
        self._endpoints.call_ended(endpoint, result)
        if isinstance(result, FailedAttempt):
            progress.record_failure(endpoint.listed.name, result)
        return result
