"""A simulated zone for tests of ownership: the real core, a platform, one engine and a clock.

Processes decide only through the classes of the core; this module carries their decisions out. Each
process has a clock that runs at its own rate. What a process has decided (an order, a request,
handling the answer to a write) can stay pending while the process is frozen. Messages can be
delayed, lost and repeated. The engine checks the result: evicting a copy that a request uses is
recorded in `Engine.violations`.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any, Final

import msgspec
from wigeonarch_core.decisions import Grant
from wigeonarch_core.engine_grants import EngineGrants
from wigeonarch_core.engine_report import EngineReport, LoadedAdapter
from wigeonarch_core.fleet import Fleet
from wigeonarch_core.grant_requests import GrantRequests
from wigeonarch_core.lease import HeldLease
from wigeonarch_core.listing import Listed, Role
from wigeonarch_core.messages import (
    DeclarePins,
    Granted,
    GrantRequest,
    Heartbeat,
    HeldPins,
    Message,
    Promised,
    Release,
    Support,
)
from wigeonarch_core.ownership import (
    Claim,
    HeldOwnership,
    LocalState,
    is_confirmed,
    may_take_over,
    plan_moves,
)
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.promises import PromisesGiven, PromisesHeld
from wigeonarch_core.records import LeaseRecord, OwnerRecord
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.scheduler import EngineScheduler
from wigeonarch_core.takeover_quarantine import QuarantineBounds, TakeoverQuarantine

ENGINE: Final = "engine"
SERVICE: Final = "drafting"
TERM, MARGIN, VALIDITY, LONGEST = 6.0, 1.0, 5.0, 30.0
# The process `slow` owns the engine at first, and has the slowest clock.
RATES: Final = {"slow": 0.96, "mean": 1.0, "fast": 1.04}
TARGETS: Final = tuple(AdapterVersion(SERVICE, name, "v1") for name in ("x", "y", "z"))
POLICY: Final = PolicyOptions(thrash_guard=0.0, load_backoff=0.01)


@dataclass(frozen=True)
class Mutation:
    """Switches off one of the mechanisms under test; by default all of them are on."""

    margin: bool = True
    quarantine: bool = True
    fencing: bool = True
    recent_grants_only: bool = True
    generations: bool = True
    promises: bool = True
    recheck: bool = True


@dataclass
class Platform:
    """Stores leases and ownerships by conditional writes."""

    revision: int = 0
    leases: dict[str, tuple[int, LeaseRecord]] = field(default_factory=dict)
    owners: dict[str, tuple[int, OwnerRecord]] = field(default_factory=dict)

    def write(self, kind: dict[str, Any], name: str, value: Any, expected: int) -> int:
        """Returns the new version, or 0 on a conflict."""
        if kind.get(name, (0, None))[0] != expected:
            return 0
        self.revision += 1
        kind[name] = (self.revision, value)
        return self.revision


@dataclass
class Engine:
    """An engine with two slots; records violations."""

    checks_fence: bool
    loaded: set[AdapterVersion] = field(default_factory=lambda: set(TARGETS[:2]))
    running: dict[str, tuple[AdapterVersion, float]] = field(default_factory=dict)
    fence: int = 0
    incarnation: int = 1
    violations: list[str] = field(default_factory=list)

    def order(self, order: Order) -> bool:
        if self.checks_fence and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        if order.victim is not None and order.victim in self.loaded:
            used = [name for name, (target, _) in self.running.items() if target == order.victim]
            if used:
                self.violations.append(f"{order} evicted {order.victim} in use by {used}")
            self.loaded.discard(order.victim)
        if order.target is not None and len(self.loaded) < 2:
            self.loaded.add(order.target)
        return order.target is None or order.target in self.loaded

    def report(self) -> EngineReport:
        used = [target for target, _ in self.running.values()]
        loaded = [LoadedAdapter(t.adapter, t.version, used.count(t)) for t in sorted(self.loaded)]
        return EngineReport(str(self.incarnation), 2, 8, running=len(used), loaded=tuple(loaded))


@dataclass(frozen=True)
class Order:
    """An eviction and a load with their fencing token; an announcement has neither."""

    owner: str
    fence: int
    victim: AdapterVersion | None = None
    target: AdapterVersion | None = None


class World:
    """The platform, the engine, the processes, the messages in transit and the clock."""

    def __init__(self, mutation: Mutation, *, checks_fence: bool) -> None:
        self.clock = 100.0
        self.mutation = mutation
        self.platform = Platform()
        self.engine = Engine(checks_fence)
        self.in_transit: list[tuple[str, str, Message]] = []
        self.delayed: list[tuple[str, str, Message]] = []
        self.pending_orders: list[Order] = []
        self.cut_off: set[str] = set()
        self.muted: set[str] = set()
        self.durations: dict[str, float] = {}
        self.numbers = itertools.count(1)
        self.processes = {name: Process(self, name) for name in RATES}

    def advance(self, seconds: float) -> None:
        self.clock += seconds
        for name in [k for k, used in self.engine.running.items() if used[1] <= self.clock]:
            self.finish_request(name)

    def deliver_messages(self) -> None:
        """Delivers all messages and those that they cause; those of muted processes are delayed."""
        while self.in_transit:
            sender, name, message = self.in_transit.pop(0)
            if self.muted & {sender, name} and sender != name:
                self.delayed.append((sender, name, message))
            else:
                self.processes[name].receive(message)
        for process in self.processes.values():
            process.run_pending_actions()

    def run(self, seconds: float, *, reports: bool = True) -> None:
        """Lets all processes that are not frozen carry out their duties every half second."""
        end = self.clock + seconds
        while self.clock < end:
            self.advance(0.5)
            for process in self.processes.values():
                process.run_duties()
                if reports:
                    process.read_report()
            self.deliver_messages()

    def deliver_delayed(self, *kinds: type) -> None:
        """Delivers the delayed messages; only those of some types if any are given."""
        delivered = [item for item in self.delayed if not kinds or isinstance(item[2], kinds)]
        self.delayed = [item for item in self.delayed if item not in delivered]
        for _, name, message in delivered:
            self.processes[name].receive(message)
        self.deliver_messages()

    def deliver_orders(self) -> None:
        """Delivers all pending orders to the engine."""
        orders, self.pending_orders = self.pending_orders, []
        for order in orders:
            self.execute_order(order)

    def execute_order(self, order: Order) -> None:
        """Executes an order at the engine and returns its result to the owner."""
        done = self.engine.order(order)
        self.processes[order.owner].run_when_thawed(
            lambda process: process.on_order_done(order, done)
        )

    def finish_request(self, dispatch_id: str) -> None:
        """Ends a request on the engine; its requester learns of it when it is not frozen."""
        self.engine.running.pop(dispatch_id, None)
        for process in self.processes.values():
            process.run_when_thawed(lambda thawed: thawed.on_request_finished(dispatch_id))

    def kill(self, name: str) -> None:
        """Ends a process and starts another one with the same name."""
        self.processes[name] = Process(self, name)


class Process:
    """One instance, as an owner and as a requester."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        mutation = world.mutation
        self.boot = f"{name}{next(world.numbers)}"
        self.frozen = False
        self.pending_actions: list[Callable[[Process], None]] = []
        self.fleet = Fleet(name, "zone", self.boot, MARGIN, TERM, self.now)
        self.fleet.observe_list([Listed(ENGINE, "127.0.0.1:1", "zone", Role.ENGINE, SERVICE)])
        # Without the margin, the holder relies on its lease for as long as the others do.
        self.lease = HeldLease(TERM if mutation.margin else TERM + 2 * MARGIN, MARGIN)
        self.promises_given, self.promises_held = PromisesGiven(TERM), PromisesHeld(TERM)
        self.needed_peers: list[str] = []
        validity = VALIDITY if mutation.recent_grants_only else 1e9
        self.grant_requests = GrantRequests(name, self.boot, validity, POLICY.pin_margin)
        self.waiting_requests: dict[str, tuple[GrantRequest, float]] = {}
        self.last_rounds: dict[str, GrantRequest] = {}
        self.grants: EngineGrants | None = None
        self.scheduler = EngineScheduler(ENGINE, POLICY, self.now, service=SERVICE)

    @property
    def now(self) -> float:
        return self.world.clock * RATES[self.name]

    @property
    def is_cut_off(self) -> bool:
        return self.name in self.world.cut_off

    def send(self, name: str, message: Message) -> None:
        self.world.in_transit.append((self.name, name, message))

    def others(self) -> list[str]:
        return [name for name in RATES if name != self.name]

    def run_when_thawed(self, action: Callable[[Process], None]) -> None:
        """Runs an action now, or when the process is thawed."""
        if self.frozen:
            self.pending_actions.append(action)
        else:
            action(self)

    def receive(self, message: Message) -> None:
        self.run_when_thawed(lambda process: process.handle(message))

    # Duties -------------------------------------------------------------------------------------

    def run_duties(self) -> None:
        """Decides on all duties once and carries the decisions out at once."""
        if self.frozen:
            return
        self.decide_actions()
        self.run_pending_actions()

    def decide_and_freeze(self) -> None:
        """Decides on all duties once, but freezes before it carries anything out."""
        if not self.frozen:
            self.decide_actions()
            self.frozen = True

    def thaw(self) -> None:
        self.frozen = False
        self.run_pending_actions()

    def run_pending_actions(self) -> None:
        while self.pending_actions and not self.frozen:
            self.pending_actions.pop(0)(self)

    def decide_actions(self) -> None:
        now = self.now
        self.lease.record_running(now)
        self.send_heartbeat()
        if not self.is_cut_off:
            self.renew_lease(now)
            self.read_platform(now)
            self.plan_claims(now)
        if self.lease.wants_support(now):
            number = self.promises_held.start_request(now)
            for name in self.others():
                self.send(name, Support(number, self.record(), self.lease.version))
        self.act_as_owner(now)
        for request, deadline in list(self.waiting_requests.values()):
            self.repeat_request(request, deadline, now)

    def send_heartbeat(self) -> None:
        heartbeat = Heartbeat(
            self.name, "zone", self.boot, 0, False, not self.is_cut_off, (), self.promised_owners()
        )
        for name in self.others():
            peer = self.world.processes[name]
            if not peer.frozen and not self.world.muted & {self.name, name}:
                peer.fleet.observe_heartbeat(heartbeat, peer.now)

    def promised_owners(self) -> tuple[str, ...]:
        return self.promises_given.owners(self.now) if self.world.mutation.promises else ()

    def record(self) -> LeaseRecord:
        return LeaseRecord(self.name, "zone", self.boot, "", "", TERM, 0)

    def renew_lease(self, now: float) -> None:
        platform = self.world.platform
        version, stored = platform.leases.get(self.name, (0, None))
        if stored is not None and stored.boot != self.boot:
            self.lease.record_replacement(version)
        self.lease.record_attempt(now)
        new = platform.write(platform.leases, self.name, self.record(), self.lease.version)
        if new:
            self.pending_actions.append(lambda process: process.on_lease_renewed(now, new))

    def on_lease_renewed(self, sent_at: float, version: int) -> None:
        self.lease.record_renewal(sent_at, version, self.now)
        if not self.world.mutation.generations:
            self.lease.generation = 1
        live = self.fleet.live_instances_in_zone(self.now)
        self.needed_peers = [name for name in live if name != self.name]

    def read_platform(self, now: float) -> None:
        for version, record in self.world.platform.leases.values():
            self.fleet.observe_lease(record, version, now)
        for version, owner in self.world.platform.owners.values():
            self.fleet.observe_owner(owner, version)
        recorded = self.fleet.owners.get(ENGINE)
        mine = recorded is not None and (recorded.owner, recorded.boot) == (self.name, self.boot)
        if self.grants is not None and recorded is not None and not mine:
            self.grants = None

    # Ownership ----------------------------------------------------------------------------------

    def local_state(self) -> LocalState:
        owned = {ENGINE: self.grants.ownership} if self.grants else {}
        promises = self.promises_given if self.world.mutation.promises else PromisesGiven(TERM)
        return LocalState(self.lease, owned, promises, pause=1e9)

    def plan_claims(self, now: float) -> None:
        for move in plan_moves(self.fleet, self.local_state(), now):
            if not isinstance(move, Claim):
                continue
            if move.previous and not may_take_over(
                self.fleet, self.local_state(), move.previous, now
            ):
                continue
            self.pending_actions.append(partial(Process.write_claim, claim=move))

    def write_claim(self, claim: Claim) -> None:
        if self.is_cut_off or not self.lease.is_valid(self.now):
            return
        platform, generation = self.world.platform, self.lease.generation
        record = OwnerRecord(ENGINE, self.name, self.boot)
        version = platform.write(platform.owners, ENGINE, record, claim.expected)
        if version:
            self.on_claimed(claim, version, generation)

    def on_claimed(self, claim: Claim, version: int, generation: int) -> None:
        now = self.now
        self.fleet.observe_owner(OwnerRecord(ENGINE, self.name, self.boot), version)
        if not self.lease.is_valid(now) or self.lease.generation != generation:
            return
        ownership = HeldOwnership(version, generation, now)
        announced = not (self.world.engine.checks_fence and self.world.mutation.fencing)
        if self.grants is not None:
            self.grants.ownership, self.grants.announced = ownership, announced
            return
        settle = VALIDITY + POLICY.pin_margin + MARGIN
        bounds = QuarantineBounds(settle, LONGEST + POLICY.pin_margin + MARGIN)
        quarantine = TakeoverQuarantine(bounds, list(RATES), now)
        is_new = claim.expected == 0 or not self.world.mutation.quarantine
        self.grants = EngineGrants(
            ENGINE,
            ownership,
            None if is_new else quarantine,
            announced=announced,
            validity=VALIDITY + MARGIN,
        )
        self.scheduler = EngineScheduler(ENGINE, POLICY, now, service=SERVICE)
        self.scheduler.may_evict = self.grants.may_evict

    def act_as_owner(self, now: float) -> None:
        grants = self.grants
        if grants is None:
            return
        if not grants.announced:
            announcement = Order(self.name, grants.ownership.fence)
            self.pending_actions.append(lambda process: process.send_order(announcement))
        if not grants.may_act(self.lease, now):
            return
        request = grants.request_declaration(self.name, now)
        for requester in grants.instances_to_query(now):
            self.send(requester, request)
        if grants.quarantine is not None:
            heard_instances = self.fleet.instances_heard_within(2.5, now)
            for requester in set(grants.quarantine.undeclared()) - set(heard_instances):
                grants.quarantine.record_declaration(requester)
        for decided in self.scheduler.decide(now):
            if isinstance(decided, Grant):
                self.send_grant(decided.dispatch_id, decided.requester, now)
        bid = self.scheduler.best_bid(now)
        start = self.scheduler.start_load(bid.target, now) if bid else None
        if start is not None:
            order = Order(self.name, grants.ownership.fence, start.victim, start.target)
            self.pending_actions.append(lambda process: process.send_order(order))

    def send_grant(self, dispatch_id: str, requester: str, now: float) -> None:
        assert self.grants is not None
        request = self.last_rounds.get(dispatch_id)
        number, boot = (request.round, request.boot) if request else (0, "")
        self.grants.record_grant(dispatch_id, requester, boot, now)
        fence = self.grants.ownership.fence
        self.send(requester, Granted(dispatch_id, number, 0.0, 0.0, ENGINE, fence))

    def send_order(self, order: Order) -> None:
        """Checks an order again and sends it; only an engine that checks tokens may get it late."""
        now, grants = self.now, self.grants
        if self.world.mutation.recheck and not self.may_still_order(order, grants, now):
            self.on_order_done(order, False)
            return
        if self.world.engine.checks_fence:
            self.world.pending_orders.append(order)
            return
        self.world.execute_order(order)

    def may_still_order(self, order: Order, grants: EngineGrants | None, now: float) -> bool:
        if grants is None or grants.ownership.fence != order.fence:
            return False
        if not is_confirmed(grants.ownership, self.lease, now):
            return False
        if order.victim is None:
            return True
        enough = self.lease.remaining(now) >= MARGIN or not self.world.mutation.margin
        unused = self.scheduler.pin_count(order.victim) == 0
        return enough and unused and grants.may_evict(order.victim, now)

    def on_order_done(self, order: Order, done: bool) -> None:
        grants = self.grants
        if grants is None or grants.ownership.fence != order.fence:
            return
        if order.target is None:
            grants.announced = grants.announced or done
            return
        self.scheduler.finish_load(order.target, done, self.now)

    def read_report(self) -> None:
        """Reads the engine's report; until the next one, the view of the engine is out of date."""
        if self.grants is None or self.frozen:
            return
        rep, now = self.world.engine.report(), self.now
        self.scheduler.apply_report(rep, now)
        if self.grants.quarantine is not None:
            self.grants.quarantine.record_report(rep, SERVICE, now)

    # Requests -----------------------------------------------------------------------------------

    def start_request(self, target: AdapterVersion, duration: float) -> None:
        dispatch_id = f"{self.boot}.{next(self.world.numbers)}"
        now = self.now
        request = GrantRequest(
            dispatch_id, self.name, ENGINE, target, "caller", 0, LONGEST, 10, 0, 0, self.boot
        )
        self.waiting_requests[dispatch_id] = (request, now + LONGEST)
        self.world.durations[dispatch_id] = duration
        self.repeat_request(request, now + LONGEST, now)

    def repeat_request(self, request: GrantRequest, deadline: float, now: float) -> None:
        ownership = self.fleet.owners.get(ENGINE)
        if now >= deadline:
            self.waiting_requests.pop(request.dispatch_id, None)
            self.grant_requests.stop_waiting(request.dispatch_id)
            return
        if ownership is None:
            return
        number = next(self.world.numbers)
        self.grant_requests.note_sent(request.dispatch_id, number, now)
        again = msgspec.structs.replace(request, round=number, remaining=deadline - now)
        self.send(ownership.owner, again)

    def on_request_finished(self, dispatch_id: str) -> None:
        if self.grant_requests.release(dispatch_id) is not None:
            self.send_release(dispatch_id)

    def send_release(self, dispatch_id: str) -> None:
        ownership = self.fleet.owners.get(ENGINE)
        if ownership is not None:
            self.send(ownership.owner, Release(dispatch_id, self.name, ENGINE))

    def begin_request(self, request: GrantRequest, deadline: float) -> None:
        """Starts a granted request on the engine."""
        if self.world.mutation.recent_grants_only and not self.grant_requests.is_usable(
            request.dispatch_id, self.now
        ):
            self.on_request_finished(request.dispatch_id)
            return
        if request.target not in self.world.engine.loaded:
            self.on_request_finished(request.dispatch_id)
            return
        duration = min(max(0.1, deadline - self.now), self.world.durations[request.dispatch_id])
        self.world.engine.running[request.dispatch_id] = (
            request.target,
            self.world.clock + duration,
        )

    # Messages -----------------------------------------------------------------------------------

    def handle(self, message: Message) -> None:
        HANDLERS[type(message)](self, message)

    def on_grant_request(self, request: GrantRequest) -> None:
        grants, now = self.grants, self.now
        if (
            grants is None
            or grants.has_ended(request.dispatch_id)
            or not grants.may_act(self.lease, now)
        ):
            return
        self.last_rounds[request.dispatch_id] = request
        if self.scheduler.is_pinned(request.dispatch_id):
            self.send_grant(request.dispatch_id, request.requester, now)
            return
        self.scheduler.submit(request, now)

    def on_granted(self, granted: Granted) -> None:
        waiting = self.waiting_requests.get(granted.dispatch_id)
        if waiting is None:
            if self.grant_requests.is_unwanted(granted):
                self.send_release(granted.dispatch_id)
            return
        if not self.grant_requests.may_use(granted, self.now):
            return
        request, deadline = self.waiting_requests.pop(granted.dispatch_id)
        self.grant_requests.hold(request, deadline, self.now)
        self.grant_requests.stop_waiting(granted.dispatch_id)
        self.pending_actions.append(lambda process: process.begin_request(request, deadline))

    def on_release(self, release: Release) -> None:
        if self.grants is not None:
            self.grants.record_release(release.dispatch_id)
            self.scheduler.release(release.dispatch_id, self.now)

    def on_declare_pins(self, request: DeclarePins) -> None:
        held = self.grant_requests.declare_pins(request, self.now)
        if held is not None:
            self.send(request.owner, held)

    def on_held_pins(self, held: HeldPins) -> None:
        if self.grants is None:
            return
        changes = self.grants.apply_declaration(held)
        for pin in changes.adopt:
            self.scheduler.adopt_pin(
                pin.dispatch_id, held.requester, pin.target, pin.remaining, self.now
            )
        for dispatch_id in changes.ended:
            self.scheduler.release(dispatch_id, self.now)

    def on_support(self, support: Support) -> None:
        self.promises_given.give(support.record.instance, self.now)
        self.send(support.record.instance, Promised(support.round, self.name))

    def on_promised(self, promised: Promised) -> None:
        self.promises_held.record_promise(promised.peer, promised.round)
        supported_since = self.promises_held.supported_since(self.needed_peers, self.now)
        if supported_since is not None:
            self.lease.record_promises(supported_since, self.now)


HANDLERS: Final[dict[type, Callable[[Process, Any], None]]] = {
    GrantRequest: Process.on_grant_request,
    Granted: Process.on_granted,
    Release: Process.on_release,
    DeclarePins: Process.on_declare_pins,
    HeldPins: Process.on_held_pins,
    Support: Process.on_support,
    Promised: Process.on_promised,
}
