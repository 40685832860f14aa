"""One run of the policy benchmark: a workload with its engines, weight store and policy."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from wigeonarch_fakes.bench_engine import Engine
from wigeonarch_fakes.bench_store import Clock, Store
from wigeonarch_fakes.bench_workloads import Deployment, Fault, Request, Workload, draw_arrivals

TAIL_SECONDS: Final = 60.0


def _do_nothing() -> None:
    return None


def _ignore_request(request: Request) -> None:
    return None


@dataclass(slots=True)
class Policy:
    """The callbacks of a policy, which keeps its state to itself.

    Attributes:
        on_arrival: Called when a request arrives, also again after an engine lost it.
        on_finished: Called when an engine has answered a request.
        on_expired: Called when a request passed its deadline while waiting and was refused.
        on_partition_changed: Called when a partition between zones begins or ends.
    """

    on_arrival: Callable[[Request], None]
    on_finished: Callable[[Request], None] = _ignore_request
    on_expired: Callable[[Request], None] = _ignore_request
    on_partition_changed: Callable[[], None] = _do_nothing


class World:
    """Engines, store, requests and faults of one run.

    Attributes:
        workload: The workload.
        deployment: Its deployment.
        clock: Virtual time.
        store: The weight store.
        engines: The engines by name.
        requests: All requests in the order of arrival.
        rng: Random source for the policy's own choices.
        isolated_zone: Zone that is cut off from the others; empty if none is.
    """

    __slots__ = (
        "_policy",
        "clock",
        "deployment",
        "engines",
        "isolated_zone",
        "requests",
        "rng",
        "store",
        "workload",
    )

    def __init__(self, workload: Workload, deployment: Deployment, seed: int) -> None:
        self.workload = workload
        self.deployment = deployment
        self.clock = Clock()
        self.store = Store(self.clock, deployment.load_rate, random.Random(f"store/{seed}"))
        self.requests = draw_arrivals(workload, deployment, seed)
        self.rng = random.Random(f"policy/{seed}")
        self.isolated_zone = ""
        self.engines: dict[str, Engine] = {}
        self._policy = Policy(on_arrival=_ignore_request)
        for zone, count in zip(deployment.zones, deployment.engines, strict=True):
            for number in range(count):
                self._add_engine(f"{zone}-{number}", zone)

    def can_reach(self, first: str, second: str) -> bool:
        """Returns whether two zones reach each other."""
        return first == second or self.isolated_zone not in (first, second)

    def refuse(self, request: Request, reason: str) -> None:
        """Refuses a request, unless it has ended already."""
        if request.ended >= 0.0:
            return
        if request.engine:
            request.cold_at_refusal = request.target not in self.engines[request.engine].copies
            self.engines[request.engine].end_wait(request)
        request.refusal = reason
        request.ended = self.clock.now

    def run(self, policy: Policy) -> None:
        """Runs the workload under a policy, and longer for requests still in progress."""
        self._policy = policy
        for request in self.requests:
            self.clock.at(request.arrival, self._arrival_action(request))
        for fault in self.workload.faults:
            self._schedule_fault(fault)
        patience = max(each.deadline for each in self.workload.classes)
        self.clock.run(self.workload.seconds + patience + TAIL_SECONDS)

    def _add_engine(self, name: str, zone: str) -> None:
        engine = Engine(name, zone, self.deployment.engine, self.clock, self.store)
        engine.on_finished = lambda request: self._policy.on_finished(request)
        engine.on_lost = self._resubmit
        self.engines[name] = engine

    def _arrival_action(self, request: Request) -> Callable[[], None]:
        def arrive() -> None:
            self.clock.at(request.deadline, lambda: self._expire(request))
            self._policy.on_arrival(request)

        return arrive

    def _expire(self, request: Request) -> None:
        if request.started >= 0.0 or request.ended >= 0.0:
            return
        if request.deadline > self.clock.now:
            self.clock.at(request.deadline, lambda: self._expire(request))
            return
        self.refuse(request, "deadline")
        self._policy.on_expired(request)

    def _resubmit(self, request: Request) -> None:
        request.retries += 1
        request.started = -1.0
        request.patience += self.clock.now - request.arrival
        self.clock.at(request.deadline, lambda: self._expire(request))
        self._policy.on_arrival(request)

    def _schedule_fault(self, fault: Fault) -> None:
        begin, end = self._effects(fault)
        self.clock.at(fault.at, begin)
        if fault.seconds:
            self.clock.at(fault.at + fault.seconds, end)

    def _effects(self, fault: Fault) -> tuple[Callable[[], None], Callable[[], None]]:
        effects: dict[str, tuple[Callable[[], None], Callable[[], None]]] = {
            "restart": (lambda: self._restart(fault.share), _do_nothing),
            "slow_store": (
                lambda: self.store.set_speed(fault.share),
                lambda: self.store.set_speed(1.0),
            ),
            "fail_loads": (
                lambda: self._fail_loads(fault.share),
                lambda: self._fail_loads(0.0),
            ),
            "cut": (
                lambda: self._isolate_zone(self.deployment.zones[0]),
                lambda: self._isolate_zone(""),
            ),
        }
        return effects.get(fault.kind, (_do_nothing, _do_nothing))

    def _restart(self, share: float) -> None:
        engines = list(self.engines.values())
        for engine in engines[: max(1, round(share * len(engines)))]:
            engine.restart()

    def _fail_loads(self, share: float) -> None:
        self.store.fail_share = share

    def _isolate_zone(self, zone: str) -> None:
        self.isolated_zone = zone
        self._policy.on_partition_changed()
