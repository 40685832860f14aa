"""The owner's side of grants: answers grant requests for the engines that this instance owns.

Three tasks run for each owned engine. They decide on the queued requests, poll the engine's report,
and ask the requesters which pins they still hold.
"""

from __future__ import annotations

import asyncio
from typing import Final

import msgspec
from wigeonarch_core.decisions import Grant, Refuse
from wigeonarch_core.messages import Granted, GrantRequest, HeldPins, Moved, Refused, Release
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.ownership import is_confirmed
from wigeonarch_core.takeover_quarantine import QuarantineStage
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.owned import OwnedEngine, OwnerContext

# Seconds between two checks for pins to ask about.
PIN_RECONCILE_INTERVAL: Final = 0.5
# Timeout of one report call, in report intervals.
REPORT_TIMEOUT_INTERVALS: Final = 4


class GrantIssuer:
    """Queues and pins of the owned engines.

    Attributes:
        handed_over: For each engine that was handed over, the message to send to requesters.
    """

    __slots__ = ("_ctx", "handed_over")

    def __init__(self, ctx: OwnerContext) -> None:
        self._ctx = ctx
        self.handed_over: dict[str, Moved] = {}

    def start(self, owned: OwnedEngine) -> None:
        """Starts the tasks of an engine that is now owned."""
        self.handed_over.pop(owned.engine, None)
        owned.start(self._poll_reports(owned))
        owned.start(self._run_queue(owned))
        owned.start(self._reconcile_pins(owned))

    # Messages -------------------------------------------------------------------------------

    def handle_grant_request(self, request: GrantRequest) -> None:
        """Queues a grant request for an owned engine, repeats its answer, or refuses it."""
        now = monotonic()
        owned = self._ctx.owned.get(request.engine)
        if owned is None:
            self._reject_unowned(request)
            return
        # During a hand-over nothing is answered; the requester repeats its request, and a later
        # round reaches the engine's owner of that time.
        if owned.engine_grants.handing_over or owned.engine_grants.has_ended(request.dispatch_id):
            return
        if not is_confirmed(owned.engine_grants.ownership, self._ctx.lease, now):
            self._refuse_no_owner(request)
            return
        owned.requests[request.dispatch_id] = request
        if owned.scheduler.is_pinned(request.dispatch_id):
            grant = owned.sent_grants.get(request.dispatch_id)
            self.send_decision(
                owned, grant or Grant(request.dispatch_id, request.requester, 0.0, 0.0), now
            )
            return
        refusal = owned.scheduler.submit(request, now)
        if refusal is not None:
            self.send_decision(owned, refusal, now)
            return
        owned.wake.set()

    def handle_release(self, release: Release) -> None:
        """Ends a grant or withdraws a request.

        If the engine is being handed over or has been, the release is forwarded to the successor.
        """
        owned = self._ctx.owned.get(release.engine)
        if owned is None:
            moved = self.handed_over.get(release.engine)
            if moved is not None:
                self._ctx.send(moved.owner, release)
            return
        if owned.successor:
            self._ctx.send(owned.successor, release)
        owned.engine_grants.record_release(release.dispatch_id)
        owned.requests.pop(release.dispatch_id, None)
        owned.sent_grants.pop(release.dispatch_id, None)
        owned.scheduler.release(release.dispatch_id, monotonic())
        owned.wake.set()

    def handle_held_pins(self, declaration: HeldPins) -> None:
        """Adds and ends pins according to a requester's declaration."""
        owned = self._ctx.owned.get(declaration.engine)
        if owned is None:
            return
        now = monotonic()
        changes = owned.engine_grants.apply_declaration(declaration)
        for pin in changes.adopt:
            owned.scheduler.adopt_pin(
                pin.dispatch_id, declaration.requester, pin.target, pin.remaining, now
            )
        for dispatch_id in changes.ended:
            owned.scheduler.release(dispatch_id, now)
            owned.requests.pop(dispatch_id, None)
            owned.sent_grants.pop(dispatch_id, None)
        if changes.ended:
            owned.wake.set()

    # Answers --------------------------------------------------------------------------------

    def send_decision(self, owned: OwnedEngine, decision: Grant | Refuse, now: float) -> None:
        """Sends a decision to the requester."""
        request = owned.requests.get(decision.dispatch_id)
        if isinstance(decision, Refuse):
            owned.requests.pop(decision.dispatch_id, None)
            refused = Refused(decision.dispatch_id, decision.reason, decision.retry_after)
            self._ctx.send(decision.requester, refused)
            return
        owned.sent_grants[decision.dispatch_id] = decision
        last_round, boot = (request.round, request.boot) if request else (0, "")
        owned.engine_grants.record_grant(decision.dispatch_id, decision.requester, boot, now)
        granted = Granted(
            decision.dispatch_id,
            last_round,
            decision.waited,
            decision.stalled,
            owned.engine,
            owned.fence,
        )
        self._ctx.send(decision.requester, granted)

    def _reject_unowned(self, request: GrantRequest) -> None:
        """Redirects or refuses a request for an engine that this instance does not own."""
        moved = self.handed_over.get(request.engine)
        if moved is not None:
            self._ctx.send(request.requester, moved)
            return
        ownership = self._ctx.fleet.owners.get(request.engine)
        if ownership is None or (ownership.owner, ownership.boot) != self._ctx.identity:
            self._refuse_no_owner(request)
        # Otherwise this instance is about to own the engine, and the request will be repeated.

    def _refuse_no_owner(self, request: GrantRequest) -> None:
        """Refuses a request that this instance may not grant.

        The requester retries after one lease term, as another instance may own the engine by then.
        """
        retry_after = self._ctx.opts.timing.lease_term
        self._ctx.send(
            request.requester, Refused(request.dispatch_id, Reason.NO_OWNER, retry_after)
        )

    # Tasks of one engine ----------------------------------------------------------------------

    async def _run_queue(self, owned: OwnedEngine) -> None:
        while True:
            now = monotonic()
            if owned.engine_grants.may_act(self._ctx.lease, now):
                for decision in owned.scheduler.decide(now):
                    self.send_decision(owned, decision, now)
            elif not is_confirmed(owned.engine_grants.ownership, self._ctx.lease, now):
                retry_after = self._ctx.opts.timing.lease_term
                for refusal in owned.scheduler.close(now):
                    delayed = msgspec.structs.replace(refusal, retry_after=retry_after)
                    self.send_decision(owned, delayed, now)
            wait = max(0.001, owned.scheduler.next_due(now) - now)
            try:
                # `asyncio.wait_for` would lose a cancellation that comes in the same iteration of
                # the event loop as the wake-up.
                async with asyncio.timeout(wait):
                    await owned.wake.wait()
            except TimeoutError:
                continue
            owned.wake.clear()

    async def _poll_reports(self, owned: OwnedEngine) -> None:
        interval = self._ctx.opts.timing.report_interval
        fleet = self._ctx.fleet
        while True:
            endpoint = fleet.endpoints.get(owned.engine)
            if endpoint is None:
                return
            # The report's age counts from its answer, which is sent after this moment. So the time
            # computed from `asked_at` is not later than the true time of the sample.
            asked_at = monotonic()
            address = endpoint.listed.address
            report = await self._ctx.engines.report(address, interval * REPORT_TIMEOUT_INTERVALS)
            if report is not None:
                owned.scheduler.apply_report(report, asked_at)
                quarantine = owned.engine_grants.quarantine
                if quarantine is not None:
                    sampled = asked_at - report.age_ms / 1000.0
                    service = endpoint.listed.service
                    quarantine.record_report(report, service, sampled)
                self._ctx.metrics.batch_fill.observe(report.batch_fill)
                fleet.observe_summary(owned.scheduler.summary(owned.fence))
                owned.wake.set()
            await asyncio.sleep(interval)

    async def _reconcile_pins(self, owned: OwnedEngine) -> None:
        """Requests declarations of pins, and drops the records of pins that have ended.

        Declarations are requested from instances that have not declared since the take-over, and
        from the requesters of old pins.
        """
        engine_grants, own_name = owned.engine_grants, self._ctx.opts.instance
        stage = None
        while True:
            now = monotonic()
            for dispatch_id in [
                dispatch_id
                for dispatch_id in engine_grants.dispatch_ids()
                if not owned.scheduler.is_pinned(dispatch_id)
            ]:
                owned.sent_grants.pop(dispatch_id, None)
                owned.requests.pop(dispatch_id, None)
                engine_grants.forget(dispatch_id)
            instances = engine_grants.instances_to_query(now)
            if instances and not engine_grants.handing_over:
                declaration_request = engine_grants.request_declaration(own_name, now)
                for instance in instances:
                    self._ctx.send(instance, declaration_request)
            if engine_grants.quarantine is not None:
                stage = self._update_quarantine(owned, stage, now)
            await asyncio.sleep(PIN_RECONCILE_INTERVAL)

    def _update_quarantine(
        self, owned: OwnedEngine, previous: QuarantineStage | None, now: float
    ) -> QuarantineStage:
        quarantine = owned.engine_grants.quarantine
        assert quarantine is not None
        stage = quarantine.stage(now)
        if stage is QuarantineStage.DECLARING:
            # An instance that is not heard from had the whole settling time to declare its pins, so
            # it is not waited for. What it may still run has a hard deadline.
            reachable = self._ctx.fleet.instances_heard_within(
                self._ctx.opts.timing.peer_timeout, now
            )
            for instance in quarantine.undeclared():
                if instance not in reachable:
                    log("pins_undeclared", "WARNING", engine=owned.engine, peer=instance)
                    quarantine.record_declaration(instance)
        if stage is not previous:
            log("quarantine", engine=owned.engine, fence=owned.fence, stage=stage)
        if stage is QuarantineStage.OVER:
            owned.engine_grants.quarantine = None
        return stage
