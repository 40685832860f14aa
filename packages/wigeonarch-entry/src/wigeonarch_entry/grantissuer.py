"""The owner's side of grants: queues, pins, reports and declarations of one engine each."""

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

PIN_RECONCILE_INTERVAL: Final = 0.5
REPORT_TIMEOUT_INTERVALS: Final = 4


class GrantIssuer:
    """Queues and pins of the owned engines.

    Attributes:
        moved: Engines that were handed over, with what askers are told about it.
    """

    __slots__ = ("_ctx", "handed_over")

    def __init__(self, ctx: OwnerContext) -> None:
        self._ctx = ctx
        self.handed_over: dict[str, Moved] = {}

    def start(self, owned: OwnedEngine) -> None:
        """Begins to serve an engine."""
        self.handed_over.pop(owned.engine, None)
        owned.start(self._poll_reports(owned))
        owned.start(self._run_queue(owned))
        owned.start(self._reconcile_pins(owned))

    # Messages -------------------------------------------------------------------------------

    def handle_grant_request(self, ask: GrantRequest) -> None:
        """Queues an ask for an owned engine, tells of its grant again, or refuses it."""
        now = monotonic()
        owned = self._ctx.owned.get(ask.engine)
        if owned is None:
            self._reject_unowned(ask)
            return
        # Until the hand-over ends, an ask that is repeated finds out where it belongs.
        if owned.engine_grants.handing_over or owned.engine_grants.has_ended(ask.dispatch_id):
            return
        if not is_confirmed(owned.engine_grants.ownership, self._ctx.lease, now):
            self._refuse_no_owner(ask)
            return
        owned.requests[ask.dispatch_id] = ask
        if owned.scheduler.is_pinned(ask.dispatch_id):
            known = owned.sent_grants.get(ask.dispatch_id)
            self.send_decision(owned, known or Grant(ask.dispatch_id, ask.requester, 0.0, 0.0), now)
            return
        refuse = owned.scheduler.submit(ask, now)
        if refuse is not None:
            self.send_decision(owned, refuse, now)
            return
        owned.wake.set()

    def handle_release(self, release: Release) -> None:
        """Ends a grant or withdraws an ask; one of an engine handed over is passed on."""
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

    def handle_held_pins(self, held: HeldPins) -> None:
        """Adopts and ends pins as a peer declares them."""
        owned = self._ctx.owned.get(held.engine)
        if owned is None:
            return
        now = monotonic()
        change = owned.engine_grants.apply_declaration(held)
        for pin in change.adopt:
            owned.scheduler.adopt_pin(
                pin.dispatch_id, held.requester, pin.target, pin.remaining, now
            )
        for ask in change.ended:
            owned.scheduler.release(ask, now)
            owned.requests.pop(ask, None)
            owned.sent_grants.pop(ask, None)
        if change.ended:
            owned.wake.set()

    # Answers --------------------------------------------------------------------------------

    def send_decision(self, owned: OwnedEngine, decided: Grant | Refuse, now: float) -> None:
        """Tells an asker what was decided."""
        ask = owned.requests.get(decided.dispatch_id)
        if isinstance(decided, Refuse):
            owned.requests.pop(decided.dispatch_id, None)
            refused = Refused(decided.dispatch_id, decided.reason, decided.retry_after)
            self._ctx.send(decided.requester, refused)
            return
        owned.sent_grants[decided.dispatch_id] = decided
        last, boot = (ask.round, ask.boot) if ask else (0, "")
        owned.engine_grants.record_grant(decided.dispatch_id, decided.requester, boot, now)
        granted = Granted(
            decided.dispatch_id, last, decided.waited, decided.stalled, owned.engine, owned.fence
        )
        self._ctx.send(decided.requester, granted)

    def _reject_unowned(self, ask: GrantRequest) -> None:
        moved = self.handed_over.get(ask.engine)
        if moved is not None:
            self._ctx.send(ask.requester, moved)
            return
        held = self._ctx.fleet.owners.get(ask.engine)
        if held is None or (held.owner, held.boot) != self._ctx.identity:
            self._refuse_no_owner(ask)
        # Else this instance is about to own the engine; the ask comes again.

    def _refuse_no_owner(self, ask: GrantRequest) -> None:
        """Refuses what this instance may not grant; by the next term somebody else may."""
        retry = self._ctx.opts.timing.lease_term
        self._ctx.send(ask.requester, Refused(ask.dispatch_id, Reason.NO_OWNER, retry))

    # Tasks of one engine ----------------------------------------------------------------------

    async def _run_queue(self, owned: OwnedEngine) -> None:
        while True:
            now = monotonic()
            if owned.engine_grants.may_act(self._ctx.lease, now):
                for decided in owned.scheduler.decide(now):
                    self.send_decision(owned, decided, now)
            elif not is_confirmed(owned.engine_grants.ownership, self._ctx.lease, now):
                retry = self._ctx.opts.timing.lease_term
                for refuse in owned.scheduler.close(now):
                    late = msgspec.structs.replace(refuse, retry_after=retry)
                    self.send_decision(owned, late, now)
            due = max(0.001, owned.scheduler.next_due(now) - now)
            try:
                # Not `wait_for`, which drops a cancel that comes in the same turn as the wake.
                async with asyncio.timeout(due):
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
            # The age counts from the answer, which came after this moment: the sample is not older.
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
        """Asks for declarations until all have come, and ends what nobody holds any more."""
        custody, me = owned.engine_grants, self._ctx.opts.instance
        stage = None
        while True:
            now = monotonic()
            for ask in [
                ask for ask in custody.dispatch_ids() if not owned.scheduler.is_pinned(ask)
            ]:
                owned.sent_grants.pop(ask, None)
                owned.requests.pop(ask, None)
                custody.forget(ask)
            askers = custody.instances_to_query(now)
            if askers and not custody.handing_over:
                request = custody.request_declaration(me, now)
                for asker in askers:
                    self._ctx.send(asker, request)
            if custody.quarantine is not None:
                stage = self._update_quarantine(owned, stage, now)
            await asyncio.sleep(PIN_RECONCILE_INTERVAL)

    def _update_quarantine(
        self, owned: OwnedEngine, last: QuarantineStage | None, now: float
    ) -> QuarantineStage:
        quarantine = owned.engine_grants.quarantine
        assert quarantine is not None
        stage = quarantine.stage(now)
        if stage is QuarantineStage.DECLARING:
            # It had the settling time to answer; what it may still run has a hard deadline.
            heard = self._ctx.fleet.instances_heard_within(self._ctx.opts.timing.peer_timeout, now)
            for asker in quarantine.undeclared():
                if asker not in heard:
                    log("pins_undeclared", "WARNING", engine=owned.engine, peer=asker)
                    quarantine.record_declaration(asker)
        if stage is not last:
            log("quarantine", engine=owned.engine, fence=owned.fence, stage=stage)
        if stage is QuarantineStage.OVER:
            owned.engine_grants.quarantine = None
        return stage
