"""Runs the project's own scheduling policy in the benchmark, in place of the entry instances.

The simulation passes messages between one router for each zone, the owners of engines and the
coordinator that grants load permits. It applies the deployment's delays: one hop for each message,
periodic heartbeats with engine summaries, and delayed engine reports. `wigeonarch_core` makes all
decisions.
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
    """The load permits on one side of a partition; without a partition, one side has all."""

    permits: LoadPermits
    next_due: float = -1.0


@dataclass(slots=True)
class _RequestState:
    """The state of a request: its current dispatch, its engine and the engines tried so far."""

    request: Request
    tried_engines: set[str] = field(default_factory=set)
    dispatch_id: str = ""
    engine: str = ""
    dispatch_count: int = 0


def build_policy(world: World, opts: PolicyOptions) -> Policy:
    """Returns the project's policy with the given options."""
    return ServingSimulation(world, opts).start()


class ServingSimulation:
    """Simulates routers, owners of engines and load permits in virtual time."""

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
        """Starts the timers and returns the policy's callbacks."""
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
        previous = self._request_states.get(request.number)
        if previous is not None:
            self._owners[previous.engine].release(previous.dispatch_id, self._world.clock.now)
        dispatch_count = 0 if previous is None else previous.dispatch_count
        self._request_states[request.number] = _RequestState(request, dispatch_count=dispatch_count)
        self._try_next(self._request_states[request.number])

    def _try_next(self, state: _RequestState, reason: str = "no_endpoint") -> None:
        request = state.request
        if request.ended >= 0.0:
            return
        views = self._engine_views(request.zone)
        choices = choose_engines(
            request.target, request.zone, views, self._opts, state.tried_engines
        )
        if not choices or len(state.tried_engines) >= MAX_DISPATCHES:
            self._world.refuse(request, reason)
            return
        state.engine = choices[0].engine
        state.tried_engines.add(state.engine)
        state.dispatch_count += 1
        state.dispatch_id = f"{request.number}.{state.dispatch_count}"
        self._by_dispatch[state.dispatch_id] = state
        self._world.engines[state.engine].begin_wait(request)
        self._world.clock.after(self._hop_seconds, lambda: self._send_grant_request(state))

    def _engine_views(self, zone: str) -> list[EngineView]:
        return [
            EngineView(engine.name, engine.zone, False, self._summaries[zone].get(engine.name))
            for engine in self._world.engines.values()
            if self._world.can_reach(zone, engine.zone)
        ]

    def _send_grant_request(self, state: _RequestState) -> None:
        now = self._world.clock.now
        request = state.request
        grant_request = GrantRequest(
            dispatch_id=state.dispatch_id,
            requester=f"entry-{request.zone}",
            engine=state.engine,
            target=request.target,
            caller=request.caller,
            priority=request.priority,
            remaining=request.deadline - now,
            tokens=request.tokens,
            prefix=request.prefix,
        )
        refusal = self._owners[state.engine].submit(grant_request, now)
        if refusal is not None:
            self._on_refused(refusal)
            return
        self._run_owner(state.engine)

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

        def run_if_due() -> None:
            if self._next_due[engine] == due:
                self._run_owner(engine)

        self._world.clock.at(due, run_if_due)

    def _grant_action(self, dispatch_id: str) -> Callable[[], None]:
        def go() -> None:
            state = self._by_dispatch.pop(dispatch_id, None)
            if state is None:
                return
            request = state.request
            if request.ended < 0.0 and self._world.engines[state.engine].submit(request):
                return
            self._owners[state.engine].release(dispatch_id, self._world.clock.now)
            self._run_owner(state.engine)
            self._try_next(state)

        return go

    def _on_refused(self, refusal: Refuse) -> None:
        state = self._by_dispatch.pop(refusal.dispatch_id, None)
        if state is None:
            return
        self._world.engines[state.engine].end_wait(state.request)
        self._world.clock.after(self._hop_seconds, lambda: self._try_next(state, refusal.reason))

    def _on_finished(self, request: Request) -> None:
        self._send_release(self._request_states.pop(request.number))

    def _on_expired(self, request: Request) -> None:
        state = self._request_states.pop(request.number)
        if self._by_dispatch.pop(state.dispatch_id, None) is not None:
            self._send_release(state)

    def _send_release(self, state: _RequestState) -> None:
        def release() -> None:
            self._owners[state.engine].release(state.dispatch_id, self._world.clock.now)
            self._run_owner(state.engine)

        self._world.clock.after(self._hop_seconds, release)

    def _side_of(self, engine: str) -> _PartitionSide:
        isolated = self._world.isolated_zone
        return self._sides[isolated if self._world.engines[engine].zone == isolated else ""]

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
        isolated = self._world.isolated_zone
        zones = self._world.deployment.zones
        for name, side in self._sides.items():
            side.permits.set_reachable_zones(
                [zone for zone in zones if (zone == isolated) == (name != "")], now
            )
        for engine in self._owners:
            for side in self._sides.values():
                side.permits.withdraw(engine)
            self._update_bid(engine)

    def _send_heartbeats(self) -> None:
        for engine in self._world.engines.values():
            summary = self._owners[engine.name].summary(1)
            for zone, summaries in self._summaries.items():
                if self._world.can_reach(zone, engine.zone):
                    summaries[engine.name] = summary
        self._world.clock.after(self._world.deployment.heartbeat, self._send_heartbeats)

    def _start_reports(self, engine: Engine) -> None:
        deployment = self._world.deployment

        def sample() -> None:
            if engine.up:
                report = _engine_report(engine, deployment.report_lag)
                self._world.clock.after(deployment.report_lag, lambda: deliver(report))
            self._world.clock.after(deployment.report_interval, sample)

        def deliver(report: EngineReport) -> None:
            self._owners[engine.name].apply_report(report, self._world.clock.now)
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
