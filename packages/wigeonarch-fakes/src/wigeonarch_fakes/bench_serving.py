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

MAX_DISPATCHES: Final = 4


@dataclass(slots=True)
class _PartitionSide:
    """The holder of the turn to load on one side of a cut; there is one side when there is none."""

    permits: LoadPermits
    next_due: float = -1.0


@dataclass(slots=True)
class _RequestState:
    """Where a request is: the ask under way, its engine, and the engines that refused it."""

    request: Request
    tried_engines: set[str] = field(default_factory=set)
    dispatch_id: str = ""
    engine: str = ""
    dispatch_count: int = 0


def build_policy(world: World, opts: PolicyOptions) -> Policy:
    """Returns the project's policy with the given options."""
    return ServingSimulation(world, opts).start()


class ServingSimulation:
    """Routers, owners and the holder of the turn, in one process and virtual time."""

    __slots__ = (
        "_by_dispatch",
        "_hop_seconds",
        "_next_due",
        "_opts",
        "_owners",
        "_request_states",
        "_sides",
        "_summaries",
        "_world",
    )

    def __init__(self, world: World, opts: PolicyOptions) -> None:
        self._world = world
        self._opts = opts
        self._hop_seconds = world.deployment.hop_ms * MS
        self._owners = {
            name: EngineScheduler(name, opts, 0.0, service=SERVICE) for name in world.engines
        }
        zones = world.deployment.zones
        self._summaries: dict[str, dict[str, EngineSummary]] = {zone: {} for zone in zones}
        self._sides = {zone: _PartitionSide(LoadPermits(opts, zones, 0.0)) for zone in ("", *zones)}
        self._next_due = dict.fromkeys(world.engines, -1.0)
        self._request_states: dict[int, _RequestState] = {}
        self._by_dispatch: dict[str, _RequestState] = {}

    def start(self) -> Policy:
        """Returns the callbacks, with the timers started."""
        for engine in self._world.engines.values():
            self._owners[engine.name].apply_report(_engine_report(engine), 0.0)
            self._start_reports(engine)
        self._send_heartbeats()
        return Policy(
            on_arrival=self._on_arrival,
            on_finished=self._on_finished,
            on_expired=self._on_expired,
            on_partition_changed=self._on_partition_changed,
        )

    def _on_arrival(self, request: Request) -> None:
        before = self._request_states.get(request.number)
        if before is not None:
            self._owners[before.engine].release(before.dispatch_id, self._world.clock.now)
        asks = 0 if before is None else before.dispatch_count
        self._request_states[request.number] = _RequestState(request, dispatch_count=asks)
        self._try_next(self._request_states[request.number])

    def _try_next(self, ticket: _RequestState, reason: str = "no_endpoint") -> None:
        request = ticket.request
        if request.ended >= 0.0:
            return
        views = self._engine_views(request.zone)
        choices = choose_engines(
            request.target, request.zone, views, self._opts, ticket.tried_engines
        )
        if not choices or len(ticket.tried_engines) >= MAX_DISPATCHES:
            self._world.refuse(request, reason)
            return
        ticket.engine = choices[0].engine
        ticket.tried_engines.add(ticket.engine)
        ticket.dispatch_count += 1
        ticket.dispatch_id = f"{request.number}.{ticket.dispatch_count}"
        self._by_dispatch[ticket.dispatch_id] = ticket
        self._world.engines[ticket.engine].begin_wait(request)
        self._world.clock.after(self._hop_seconds, lambda: self._send_grant_request(ticket))

    def _engine_views(self, zone: str) -> list[EngineView]:
        return [
            EngineView(engine.name, engine.zone, False, self._summaries[zone].get(engine.name))
            for engine in self._world.engines.values()
            if self._world.can_reach(zone, engine.zone)
        ]

    def _send_grant_request(self, ticket: _RequestState) -> None:
        now = self._world.clock.now
        request = ticket.request
        ask = GrantRequest(
            dispatch_id=ticket.dispatch_id,
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
            self._on_refused(refused)
            return
        self._run_owner(ticket.engine)

    def _run_owner(self, engine: str) -> None:
        now = self._world.clock.now
        owner = self._owners[engine]
        for decision in owner.decide(now):
            if isinstance(decision, Grant):
                self._world.clock.after(self._hop_seconds, self._grant_action(decision.dispatch_id))
                continue
            self._on_refused(decision)
        self._update_bid(engine)
        self._schedule_owner(engine, owner.next_due(now))

    def _schedule_owner(self, engine: str, due: float) -> None:
        if not self._owners[engine].queue_length or due == self._next_due[engine]:
            return
        self._next_due[engine] = due

        def wake() -> None:
            if self._next_due[engine] == due:
                self._run_owner(engine)

        self._world.clock.at(due, wake)

    def _grant_action(self, ask: str) -> Callable[[], None]:
        def go() -> None:
            ticket = self._by_dispatch.pop(ask, None)
            if ticket is None:
                return
            request = ticket.request
            if request.ended < 0.0 and self._world.engines[ticket.engine].submit(request):
                return
            self._owners[ticket.engine].release(ask, self._world.clock.now)
            self._run_owner(ticket.engine)
            self._try_next(ticket)

        return go

    def _on_refused(self, refused: Refuse) -> None:
        ticket = self._by_dispatch.pop(refused.dispatch_id, None)
        if ticket is None:
            return
        self._world.engines[ticket.engine].end_wait(ticket.request)
        self._world.clock.after(self._hop_seconds, lambda: self._try_next(ticket, refused.reason))

    def _on_finished(self, request: Request) -> None:
        self._send_release(self._request_states.pop(request.number))

    def _on_expired(self, request: Request) -> None:
        ticket = self._request_states.pop(request.number)
        if self._by_dispatch.pop(ticket.dispatch_id, None) is not None:
            self._send_release(ticket)

    def _send_release(self, ticket: _RequestState) -> None:
        def release() -> None:
            self._owners[ticket.engine].release(ticket.dispatch_id, self._world.clock.now)
            self._run_owner(ticket.engine)

        self._world.clock.after(self._hop_seconds, release)

    def _side_of(self, engine: str) -> _PartitionSide:
        cut = self._world.isolated_zone
        return self._sides[cut if self._world.engines[engine].zone == cut else ""]

    def _update_bid(self, engine: str) -> None:
        side = self._side_of(engine)
        bid = self._owners[engine].best_bid(self._world.clock.now)
        if bid is None:
            side.permits.withdraw(engine)
            return
        zone = self._world.engines[engine].zone
        side.permits.add_bid(engine, zone, bid.value, self._world.clock.now)
        self._grant_permits(side)

    def _grant_permits(self, side: _PartitionSide) -> None:
        now = self._world.clock.now
        for engine in side.permits.grant_due(now):
            self._world.clock.after(2 * self._hop_seconds, self._load_action(side, engine))
        due = side.permits.next_due(now)
        if due == side.next_due:
            return
        side.next_due = due
        self._world.clock.at(due, lambda: self._grant_due_permits(side, due))

    def _grant_due_permits(self, side: _PartitionSide, due: float) -> None:
        if side.next_due == due:
            self._grant_permits(side)

    def _load_action(self, side: _PartitionSide, name: str) -> Callable[[], None]:
        owner = self._owners[name]

        def go() -> None:
            now = self._world.clock.now
            bid = owner.best_bid(now)
            order = None if bid is None else owner.start_load(bid.target, now)
            if order is None:
                side.permits.end_load(name, now)
                self._grant_permits(side)
                return
            target = order.target
            self._world.engines[name].load(target, order.victim, lambda ok: ended(target, ok))

        def ended(target: AdapterVersion, ok: bool) -> None:
            now = self._world.clock.now
            owner.finish_load(target, ok, now)
            side.permits.end_load(name, now)
            self._run_owner(name)
            self._grant_permits(side)

        return go

    def _on_partition_changed(self) -> None:
        now = self._world.clock.now
        cut = self._world.isolated_zone
        zones = self._world.deployment.zones
        for name, side in self._sides.items():
            side.permits.set_reachable_zones(
                [zone for zone in zones if (zone == cut) == (name != "")], now
            )
        for engine in self._owners:
            for side in self._sides.values():
                side.permits.withdraw(engine)
            self._update_bid(engine)

    def _send_heartbeats(self) -> None:
        for engine in self._world.engines.values():
            summary = self._owners[engine.name].summary(1)
            for zone, seen in self._summaries.items():
                if self._world.can_reach(zone, engine.zone):
                    seen[engine.name] = summary
        self._world.clock.after(self._world.deployment.heartbeat, self._send_heartbeats)

    def _start_reports(self, engine: Engine) -> None:
        deployment = self._world.deployment

        def sample() -> None:
            if engine.up:
                rep = _engine_report(engine, deployment.report_lag)
                self._world.clock.after(deployment.report_lag, lambda: deliver(rep))
            self._world.clock.after(deployment.report_interval, sample)

        def deliver(rep: EngineReport) -> None:
            self._owners[engine.name].apply_report(rep, self._world.clock.now)
            self._run_owner(engine.name)

        self._world.clock.after(deployment.report_interval, sample)


def _engine_report(engine: Engine, lag: float = 0.0) -> EngineReport:
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
