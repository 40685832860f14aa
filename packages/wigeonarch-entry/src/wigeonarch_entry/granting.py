"""The owner's side of grants: queues, pins, reports and declarations of one engine each."""

from __future__ import annotations

import asyncio
from typing import Final

import msgspec
from wigeonarch_core.decisions import Grant, Refuse
from wigeonarch_core.messages import Ask, Granted, HeldPins, Moved, Refused, Release
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.ownership import confirmed
from wigeonarch_core.quarantine import Stage
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.owned import Owned, OwnerContext

DECLARE_INTERVAL: Final = 0.5
REPORT_BOUND_INTERVALS: Final = 4


class Granting:
    """Queues and pins of the owned engines.

    Attributes:
        moved: Engines that were handed over, with what askers are told about it.
    """

    __slots__ = ("_ctx", "moved")

    def __init__(self, ctx: OwnerContext) -> None:
        self._ctx = ctx
        self.moved: dict[str, Moved] = {}

    def start(self, owned: Owned) -> None:
        """Begins to serve an engine."""
        self.moved.pop(owned.engine, None)
        owned.start(self._keep_reports(owned))
        owned.start(self._keep_queue(owned))
        owned.start(self._keep_pins(owned))

    # Messages -------------------------------------------------------------------------------

    def asked(self, ask: Ask) -> None:
        """Queues an ask for an owned engine, tells of its grant again, or refuses it."""
        now = monotonic()
        owned = self._ctx.owned.get(ask.engine)
        if owned is None:
            self._turn_away(ask)
            return
        # Until the hand-over ends, an ask that is repeated finds out where it belongs.
        if owned.custody.handing or owned.custody.ended(ask.ask):
            return
        if not confirmed(owned.custody.holding, self._ctx.lease, now):
            self._refuse(ask)
            return
        owned.asks[ask.ask] = ask
        if owned.scheduler.pinned(ask.ask):
            known = owned.granted.get(ask.ask)
            self.answer(owned, known or Grant(ask.ask, ask.asker, 0.0, 0.0), now)
            return
        refuse = owned.scheduler.ask(ask, now)
        if refuse is not None:
            self.answer(owned, refuse, now)
            return
        owned.wake.set()

    def released(self, release: Release) -> None:
        """Ends a grant or withdraws an ask; one of an engine handed over is passed on."""
        owned = self._ctx.owned.get(release.engine)
        if owned is None:
            moved = self.moved.get(release.engine)
            if moved is not None:
                self._ctx.send(moved.owner, release)
            return
        if owned.successor:
            self._ctx.send(owned.successor, release)
        owned.custody.released(release.ask)
        owned.asks.pop(release.ask, None)
        owned.granted.pop(release.ask, None)
        owned.scheduler.release(release.ask, monotonic())
        owned.wake.set()

    def pins_declared(self, held: HeldPins) -> None:
        """Adopts and ends pins as a peer declares them."""
        owned = self._ctx.owned.get(held.engine)
        if owned is None:
            return
        now = monotonic()
        change = owned.custody.declared(held)
        for pin in change.adopt:
            owned.scheduler.adopt_pin(pin.ask, held.asker, pin.target, pin.remaining, now)
        for ask in change.gone:
            owned.scheduler.release(ask, now)
            owned.asks.pop(ask, None)
            owned.granted.pop(ask, None)
        if change.gone:
            owned.wake.set()

    # Answers --------------------------------------------------------------------------------

    def answer(self, owned: Owned, decided: Grant | Refuse, now: float) -> None:
        """Tells an asker what was decided."""
        ask = owned.asks.get(decided.ask)
        if isinstance(decided, Refuse):
            owned.asks.pop(decided.ask, None)
            refused = Refused(decided.ask, decided.reason, decided.retry_after)
            self._ctx.send(decided.asker, refused)
            return
        owned.granted[decided.ask] = decided
        last, boot = (ask.round, ask.boot) if ask else (0, "")
        owned.custody.told(decided.ask, decided.asker, boot, now)
        granted = Granted(
            decided.ask, last, decided.waited, decided.stalled, owned.engine, owned.fence
        )
        self._ctx.send(decided.asker, granted)

    def _turn_away(self, ask: Ask) -> None:
        moved = self.moved.get(ask.engine)
        if moved is not None:
            self._ctx.send(ask.asker, moved)
            return
        held = self._ctx.fleet.owners.get(ask.engine)
        if held is None or (held.owner, held.boot) != self._ctx.me:
            self._refuse(ask)
        # Else this instance is about to own the engine; the ask comes again.

    def _refuse(self, ask: Ask) -> None:
        """Refuses what this instance may not grant; by the next term somebody else may."""
        retry = self._ctx.opts.timing.lease_term
        self._ctx.send(ask.asker, Refused(ask.ask, Reason.NO_OWNER, retry))

    # Tasks of one engine ----------------------------------------------------------------------

    async def _keep_queue(self, owned: Owned) -> None:
        while True:
            now = monotonic()
            if owned.custody.may_act(self._ctx.lease, now):
                for decided in owned.scheduler.decide(now):
                    self.answer(owned, decided, now)
            elif not confirmed(owned.custody.holding, self._ctx.lease, now):
                retry = self._ctx.opts.timing.lease_term
                for refuse in owned.scheduler.close(now):
                    late = msgspec.structs.replace(refuse, retry_after=retry)
                    self.answer(owned, late, now)
            due = max(0.001, owned.scheduler.next_due(now) - now)
            try:
                # Not `wait_for`, which drops a cancel that comes in the same turn as the wake.
                async with asyncio.timeout(due):
                    await owned.wake.wait()
            except TimeoutError:
                continue
            owned.wake.clear()

    async def _keep_reports(self, owned: Owned) -> None:
        interval = self._ctx.opts.timing.report_interval
        fleet = self._ctx.fleet
        while True:
            endpoint = fleet.endpoints.get(owned.engine)
            if endpoint is None:
                return
            # The age counts from the answer, which came after this moment: the sample is not older.
            asked_at = monotonic()
            address = endpoint.listed.address
            report = await self._ctx.engines.report(address, interval * REPORT_BOUND_INTERVALS)
            if report is not None:
                owned.scheduler.report(report, asked_at)
                quarantine = owned.custody.quarantine
                if quarantine is not None:
                    sampled = asked_at - report.age_ms / 1000.0
                    service = endpoint.listed.service
                    quarantine.report(report, service, sampled)
                self._ctx.metrics.batch_fill.observe(report.batch_fill)
                fleet.saw_summary(owned.scheduler.summary(owned.fence))
                owned.wake.set()
            await asyncio.sleep(interval)

    async def _keep_pins(self, owned: Owned) -> None:
        """Asks for declarations until all have come, and ends what nobody holds any more."""
        custody, me = owned.custody, self._ctx.opts.instance
        stage = None
        while True:
            now = monotonic()
            for ask in [ask for ask in custody.asks() if not owned.scheduler.pinned(ask)]:
                owned.granted.pop(ask, None)
                owned.asks.pop(ask, None)
                custody.forget(ask)
            askers = custody.askers_to_ask(now)
            if askers and not custody.handing:
                request = custody.ask_pins(me, now)
                for asker in askers:
                    self._ctx.send(asker, request)
            if custody.quarantine is not None:
                stage = self._note_stage(owned, stage, now)
            await asyncio.sleep(DECLARE_INTERVAL)

    def _note_stage(self, owned: Owned, last: Stage | None, now: float) -> Stage:
        quarantine = owned.custody.quarantine
        assert quarantine is not None
        stage = quarantine.stage(now)
        if stage is Stage.DECLARING:
            # It had the settling time to answer; what it may still run has a hard deadline.
            heard = self._ctx.fleet.heard_within(self._ctx.opts.timing.peer_timeout, now)
            for asker in quarantine.undeclared():
                if asker not in heard:
                    log("pins_undeclared", "WARNING", engine=owned.engine, peer=asker)
                    quarantine.declared(asker)
        if stage is not last:
            log("quarantine", engine=owned.engine, fence=owned.fence, stage=stage)
        if stage is Stage.OVER:
            owned.custody.quarantine = None
        return stage
