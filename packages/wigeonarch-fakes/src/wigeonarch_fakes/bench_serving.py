"""Drives the project's own policy in the bench: the part that the entry instances play.

It passes messages between routers (one for each zone), the owners of engines and the holder of the
turn to load, with the delays of the deployment: a hop for each message, heartbeats that carry
summaries, engine reports that lag. All decisions are those of `wigeonarch_core`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.decisions import Grant, Refuse
from wigeonarch_core.engine_report import EngineReport, LoadedAdapter
from wigeonarch_core.load_permits import LoadPermits
from wigeonarch_core.messages import EngineSummary, GrantRequest
from wigeonarch_core.placement import EngineView, choose_engines
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.scheduler import EngineScheduler

from wigeonarch_fakes.bench_engine import Engine
from wigeonarch_fakes.bench_store import MS
from wigeonarch_fakes.bench_workloads import SERVICE, Request
from wigeonarch_fakes.bench_world import Policy, World

TRIES: Final = 4


@dataclass(slots=True)
class _Side:
    """The holder of the turn to load on one side of a cut; there is one side when there is none."""

    turns: LoadPermits
    due: float = -1.0


@dataclass(slots=True)
class _Ticket:
    """Where a request is: the ask under way, its engine, and the engines that refused it."""

    request: Request
    tried: set[str] = field(default_factory=set)
    ask: str = ""
    engine: str = ""
    asks: int = 0


def build(world: World, opts: PolicyOptions) -> Policy:
    """Returns the project's policy with the given options."""
    return Serving(world, opts).policy()


class Serving:
    """Routers, owners and the holder of the turn, in one process and virtual time."""

    __slots__ = (
        "_by_ask",
        "_due",
        "_hop",
        "_opts",
        "_owners",
        "_seen",
        "_sides",
        "_tickets",
        "_world",
    )

    def __init__(self, world: World, opts: PolicyOptions) -> None:
        self._world = world
        self._opts = opts
        self._hop = world.deployment.hop_ms * MS
        self._owners = {
            name: EngineScheduler(name, opts, 0.0, service=SERVICE) for name in world.engines
        }
        zones = world.deployment.zones
        self._seen: dict[str, dict[str, EngineSummary]] = {zone: {} for zone in zones}
        self._sides = {zone: _Side(LoadPermits(opts, zones, 0.0)) for zone in ("", *zones)}
        self._due = dict.fromkeys(world.engines, -1.0)
        self._tickets: dict[int, _Ticket] = {}
        self._by_ask: dict[str, _Ticket] = {}

    def policy(self) -> Policy:
        """Returns the callbacks, with the timers started."""
        for engine in self._world.engines.values():
            self._owners[engine.name].apply_report(_report(engine), 0.0)
            self._report_later(engine)
        self._heartbeat()
        return Policy(
            arrive=self._arrive,
            finished=self._finished,
            expired=self._expired,
            parted=self._parted,
        )

    def _arrive(self, request: Request) -> None:
        before = self._tickets.get(request.number)
        if before is not None:
            self._owners[before.engine].release(before.ask, self._world.clock.now)
        asks = 0 if before is None else before.asks
        self._tickets[request.number] = _Ticket(request, asks=asks)
        self._try_next(self._tickets[request.number])

    def _try_next(self, ticket: _Ticket, reason: str = "no_endpoint") -> None:
        request = ticket.request
        if request.ended >= 0.0:
            return
        views = self._views(request.zone)
        choices = choose_engines(request.target, request.zone, views, self._opts, ticket.tried)
        if not choices or len(ticket.tried) >= TRIES:
            self._world.refuse(request, reason)
            return
        ticket.engine = choices[0].engine
        ticket.tried.add(ticket.engine)
        ticket.asks += 1
        ticket.ask = f"{request.number}.{ticket.asks}"
        self._by_ask[ticket.ask] = ticket
        self._world.engines[ticket.engine].wait_here(request)
        self._world.clock.after(self._hop, lambda: self._ask(ticket))

    def _views(self, zone: str) -> list[EngineView]:
        return [
            EngineView(engine.name, engine.zone, False, self._seen[zone].get(engine.name))
            for engine in self._world.engines.values()
            if self._world.reaches(zone, engine.zone)
        ]

    def _ask(self, ticket: _Ticket) -> None:
        now = self._world.clock.now
        request = ticket.request
        ask = GrantRequest(
            dispatch_id=ticket.ask,
            requester=f"entry-{request.zone}",
            engine=ticket.engine,
            target=request.target,
            caller=request.caller,
            priority=request.priority,
            remaining=request.deadline - now,
            tokens=request.tokens,
            prefix=request.prefix,
        )
        refused = self._owners[ticket.engine].submit(ask, now)
        if refused is not None:
            self._refused(refused)
            return
        self._wake(ticket.engine)

    def _wake(self, engine: str) -> None:
        now = self._world.clock.now
        owner = self._owners[engine]
        for decision in owner.decide(now):
            if isinstance(decision, Grant):
                self._world.clock.after(self._hop, self._granted(decision.dispatch_id))
                continue
            self._refused(decision)
        self._bid(engine)
        self._arm(engine, owner.next_due(now))

    def _arm(self, engine: str, due: float) -> None:
        if not self._owners[engine].queue_length or due == self._due[engine]:
            return
        self._due[engine] = due

        def wake() -> None:
            if self._due[engine] == due:
                self._wake(engine)

        self._world.clock.at(due, wake)

    def _granted(self, ask: str) -> Callable[[], None]:
        def go() -> None:
            ticket = self._by_ask.pop(ask, None)
            if ticket is None:
                return
            request = ticket.request
            if request.ended < 0.0 and self._world.engines[ticket.engine].submit(request):
                return
            self._owners[ticket.engine].release(ask, self._world.clock.now)
            self._wake(ticket.engine)
            self._try_next(ticket)

        return go

    def _refused(self, refused: Refuse) -> None:
        ticket = self._by_ask.pop(refused.dispatch_id, None)
        if ticket is None:
            return
        self._world.engines[ticket.engine].wait_no_more(ticket.request)
        self._world.clock.after(self._hop, lambda: self._try_next(ticket, refused.reason))

    def _finished(self, request: Request) -> None:
        self._release(self._tickets.pop(request.number))

    def _expired(self, request: Request) -> None:
        ticket = self._tickets.pop(request.number)
        if self._by_ask.pop(ticket.ask, None) is not None:
            self._release(ticket)

    def _release(self, ticket: _Ticket) -> None:
        def release() -> None:
            self._owners[ticket.engine].release(ticket.ask, self._world.clock.now)
            self._wake(ticket.engine)

        self._world.clock.after(self._hop, release)

    def _side(self, engine: str) -> _Side:
        cut = self._world.cut_zone
        return self._sides[cut if self._world.engines[engine].zone == cut else ""]

    def _bid(self, engine: str) -> None:
        side = self._side(engine)
        bid = self._owners[engine].best_bid(self._world.clock.now)
        if bid is None:
            side.turns.withdraw(engine)
            return
        zone = self._world.engines[engine].zone
        side.turns.add_bid(engine, zone, bid.value, self._world.clock.now)
        self._give_turns(side)

    def _give_turns(self, side: _Side) -> None:
        now = self._world.clock.now
        for engine in side.turns.grant_due(now):
            self._world.clock.after(2 * self._hop, self._turn(side, engine))
        due = side.turns.next_due(now)
        if due == side.due:
            return
        side.due = due
        self._world.clock.at(due, lambda: self._give_due_turns(side, due))

    def _give_due_turns(self, side: _Side, due: float) -> None:
        if side.due == due:
            self._give_turns(side)

    def _turn(self, side: _Side, name: str) -> Callable[[], None]:
        owner = self._owners[name]

        def go() -> None:
            now = self._world.clock.now
            bid = owner.best_bid(now)
            order = None if bid is None else owner.start_load(bid.target, now)
            if order is None:
                side.turns.end_load(name, now)
                self._give_turns(side)
                return
            target = order.target
            self._world.engines[name].load(target, order.victim, lambda ok: ended(target, ok))

        def ended(target: AdapterVersion, ok: bool) -> None:
            now = self._world.clock.now
            owner.finish_load(target, ok, now)
            side.turns.end_load(name, now)
            self._wake(name)
            self._give_turns(side)

        return go

    def _parted(self) -> None:
        now = self._world.clock.now
        cut = self._world.cut_zone
        zones = self._world.deployment.zones
        for name, side in self._sides.items():
            side.turns.set_reachable_zones(
                [zone for zone in zones if (zone == cut) == (name != "")], now
            )
        for engine in self._owners:
            for side in self._sides.values():
                side.turns.withdraw(engine)
            self._bid(engine)

    def _heartbeat(self) -> None:
        for engine in self._world.engines.values():
            summary = self._owners[engine.name].summary(1)
            for zone, seen in self._seen.items():
                if self._world.reaches(zone, engine.zone):
                    seen[engine.name] = summary
        self._world.clock.after(self._world.deployment.heartbeat, self._heartbeat)

    def _report_later(self, engine: Engine) -> None:
        deployment = self._world.deployment

        def sample() -> None:
            if engine.up:
                rep = _report(engine, deployment.report_lag)
                self._world.clock.after(deployment.report_lag, lambda: deliver(rep))
            self._world.clock.after(deployment.report_interval, sample)

        def deliver(rep: EngineReport) -> None:
            self._owners[engine.name].apply_report(rep, self._world.clock.now)
            self._wake(engine.name)

        self._world.clock.after(deployment.report_interval, sample)


def _report(engine: Engine, lag: float = 0.0) -> EngineReport:
    loaded = [
        LoadedAdapter(target.adapter, target.version, copy.users, "loaded")
        for target, copy in engine.copies.items()
    ]
    loading = [
        LoadedAdapter(target.adapter, target.version, 0, "loading") for target in engine.loading
    ]
    return EngineReport(
        incarnation=f"{engine.name}#{engine.incarnation}",
        slots=engine.spec.slots,
        max_batch=engine.spec.max_batch,
        age_ms=lag / MS,
        running=engine.in_progress,
        loaded=(*loaded, *loading),
    )
