"""Models an engine with continuous batching for the policy benchmark, in virtual time.

Requests join and leave at step boundaries; the length of a step depends on the batch. Between two
changes of the batch all steps are equal, so they are accounted for together. The engine itself
measures the waits for loads from its slots and counts evictions of adapters in use, so that the
figures don't rely on what a policy reports.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from wigeonarch_core.refs import AdapterVersion

from wigeonarch_fakes.bench_store import EPSILON, MS, Action, Clock, EndCallback, Store
from wigeonarch_fakes.bench_workloads import EngineSpec, Request


@dataclass(slots=True)
class EngineFigures:
    """Counters of an engine.

    Attributes:
        steps: Steps run.
        request_steps: Sum over the steps of the requests in each.
        busy_seconds: Seconds spent in steps.
        idle_place_seconds: Sum over the steps of unused batch places times the step's seconds.
        loads: Loads that succeeded.
        failed_loads: Loads that failed.
        evictions: Copies evicted.
        wasted_loads: Copies evicted, or lost, without having served a request.
        violations: Evictions of an adapter in use; must be 0.
        not_loaded: Requests that reached the engine without their adapter; must be 0 except for
            those that reach a restarted engine.
    """

    steps: int = 0
    request_steps: int = 0
    busy_seconds: float = 0.0
    idle_place_seconds: float = 0.0
    loads: int = 0
    failed_loads: int = 0
    evictions: int = 0
    wasted_loads: int = 0
    violations: int = 0
    not_loaded: int = 0


@dataclass(slots=True, eq=False)
class _Running:
    request: Request
    last_step: int


@dataclass(slots=True)
class Copy:
    """A loaded adapter version.

    Attributes:
        users: Number of requests that use it.
        served: Number of requests that it has served.
        last_used: Time of its last use in seconds.
    """

    users: int = 0
    served: int = 0
    last_used: float = 0.0


class Engine:
    """A model engine.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        spec: Its parameters.
        incarnation: Raised by each restart.
        copies: The loaded adapter versions.
        loading: Adapter versions whose load is under way.
        up: Whether it answers.
        figures: Its counters.
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_joining",
        "_prefixes",
        "_running",
        "_step",
        "_step_seconds",
        "_steps_begin_at",
        "_store",
        "_waiting",
        "copies",
        "figures",
        "incarnation",
        "loading",
        "name",
        "on_finished",
        "on_lost",
        "spec",
        "up",
        "zone",
    )

    def __init__(self, name: str, zone: str, spec: EngineSpec, clock: Clock, store: Store) -> None:
        self.name = name
        self.zone = zone
        self.spec = spec
        self.incarnation = 0
        self.copies: dict[AdapterVersion, Copy] = {}
        self.loading: set[AdapterVersion] = set()
        self.up = True
        self.figures = EngineFigures()
        self.on_finished: Callable[[Request], None] = lambda request: None
        self.on_lost: Callable[[Request], None] = lambda request: None
        self._clock = clock
        self._store = store
        self._running: list[_Running] = []
        self._joining: list[Request] = []
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._waiting: dict[AdapterVersion, dict[int, Request]] = {}
        self._step = 0
        self._steps_begin_at = 0.0
        self._step_seconds = 0.0
        self._epoch = 0

    @property
    def in_progress(self) -> int:
        """Number of requests that run or are about to join the batch."""
        return len(self._running) + len(self._joining)

    @property
    def slots_used(self) -> int:
        """Number of slots with a loaded adapter version or one whose load is under way."""
        return len(self.copies) + len(self.loading)

    def begin_wait(self, request: Request) -> None:
        """Adds a waiting request; starts its stall if its adapter is not loaded."""
        request.engine = self.name
        self._waiting.setdefault(request.target, {})[request.number] = request
        if request.target not in self.copies:
            request.cold_since = self._clock.now

    def end_wait(self, request: Request) -> None:
        """Removes a waiting request and ends its stall."""
        waiting = self._waiting.get(request.target, {})
        waiting.pop(request.number, None)
        if not waiting:
            self._waiting.pop(request.target, None)
        self._end_stall(request)

    def submit(self, request: Request) -> bool:
        """Adds a request to the batch; False if the engine is down or lacks the adapter."""
        self.end_wait(request)
        copy = self.copies.get(request.target)
        if not self.up or copy is None:
            self.figures.not_loaded += 1
            return False
        copy.users += 1
        copy.last_used = self._clock.now
        request.started = self._clock.now
        self._joining.append(request)
        if len(self._joining) == 1:
            self._clock.at(self._next_boundary(), self._join_action())
        return True

    def load(
        self, target: AdapterVersion, victim: AdapterVersion | None, on_ended: EndCallback
    ) -> None:
        """Evicts, then loads; calls `on_ended` with whether the load succeeded."""
        if victim is not None:
            self.evict(victim)
        if not self.up or self.slots_used >= self.spec.slots:
            self.figures.failed_loads += 1
            self._clock.after(MS, lambda: on_ended(False))
            return
        self.loading.add(target)
        incarnation = self.incarnation
        self._store.start(lambda ok: self._finish_load(target, incarnation, ok, on_ended))

    def evict(self, target: AdapterVersion) -> None:
        """Evicts an adapter version, if it is loaded."""
        copy = self.copies.pop(target, None)
        if copy is None:
            return
        self.figures.evictions += 1
        self.figures.wasted_loads += copy.served == 0
        self.figures.violations += copy.users > 0
        for request in self._waiting.get(target, {}).values():
            request.cold_since = self._clock.now

    def restart(self) -> None:
        """Drops all adapters, prefixes and running requests; the engine is down for a while."""
        self._account_steps(self._clock.now)
        self.figures.wasted_loads += sum(copy.served == 0 for copy in self.copies.values())
        lost = [each.request for each in self._running] + self._joining
        for target in self.copies:
            for request in self._waiting.get(target, {}).values():
                request.cold_since = self._clock.now
        self._epoch += 1
        self.incarnation += 1
        self.copies.clear()
        self.loading.clear()
        self._prefixes.clear()
        self._running = []
        self._joining = []
        self.up = False
        self._clock.after(self.spec.restart_seconds, self._come_up)
        for request in lost:
            self.on_lost(request)

    def _come_up(self) -> None:
        self.up = True

    def _finish_load(
        self, target: AdapterVersion, incarnation: int, ok: bool, on_ended: EndCallback
    ) -> None:
        if incarnation != self.incarnation:
            on_ended(False)
            return
        self.loading.discard(target)
        if not ok:
            self.figures.failed_loads += 1
            on_ended(False)
            return
        self.figures.loads += 1
        self.copies[target] = Copy(last_used=self._clock.now)
        for request in self._waiting.get(target, {}).values():
            self._end_stall(request)
        on_ended(True)

    def _end_stall(self, request: Request) -> None:
        if request.cold_since < 0.0:
            return
        request.stall += self._clock.now - request.cold_since
        request.cold_since = -1.0

    def _next_boundary(self) -> float:
        if not self._running:
            return self._clock.now
        steps = (
            math.floor((self._clock.now - self._steps_begin_at) / self._step_seconds + EPSILON) + 1
        )
        return self._steps_begin_at + max(0, steps) * self._step_seconds

    def _join_action(self) -> Action:
        incarnation = self.incarnation

        def join() -> None:
            room = len(self._running) < self.spec.max_batch
            if incarnation == self.incarnation and self._joining and room:
                self._change_batch()

        return join

    def _change_batch(self) -> None:
        """Accounts for past steps at a boundary, then lets requests leave and join the batch."""
        self._account_steps(self._clock.now)
        leaving = [each for each in self._running if each.last_step <= self._step]
        self._running = [each for each in self._running if each.last_step > self._step]
        prefill = self._admit_joining()
        self._epoch += 1
        self._schedule_batch_change(prefill)
        for each in leaving:
            self._finish_request(each.request)

    def _admit_joining(self) -> float:
        room = self.spec.max_batch - len(self._running)
        joining, self._joining = self._joining[:room], self._joining[room:]
        prefill = 0.0
        for request in joining:
            prefill += self._prefill_seconds(request)
            self._running.append(_Running(request, self._step + request.tokens))
        if joining:
            self._mark_first_tokens(joining, prefill)
        return prefill

    def _mark_first_tokens(self, joining: list[Request], prefill: float) -> None:
        when = self._clock.now + prefill + self._compute_step_seconds()
        for request in joining:
            if request.first_token < 0.0:
                request.first_token = when

    def _prefill_seconds(self, request: Request) -> float:
        cached = request.prefix in self._prefixes
        self._prefixes[request.prefix] = None
        self._prefixes.move_to_end(request.prefix)
        if len(self._prefixes) > self.spec.prefixes:
            self._prefixes.popitem(last=False)
        return (self.spec.cached_prefill_ms if cached else self.spec.prefill_ms) * MS

    def _compute_step_seconds(self) -> float:
        distinct = len({each.request.target for each in self._running})
        spec = self.spec
        length = spec.base_ms + spec.per_sequence_ms * len(self._running)
        return (length + spec.per_adapter_ms * distinct) * MS

    def _schedule_batch_change(self, prefill: float) -> None:
        if not self._running:
            return
        self._step_seconds = self._compute_step_seconds()
        self._steps_begin_at = self._clock.now + prefill
        steps = min(each.last_step for each in self._running) - self._step
        epoch = self._epoch
        self._clock.at(
            self._steps_begin_at + steps * self._step_seconds,
            lambda: self._change_if_current(epoch),
        )

    def _change_if_current(self, epoch: int) -> None:
        if epoch == self._epoch:
            self._change_batch()

    def _account_steps(self, until: float) -> None:
        if not self._running:
            return
        steps = max(0, round((until - self._steps_begin_at) / self._step_seconds))
        batch = len(self._running)
        seconds = steps * self._step_seconds
        self._step += steps
        self.figures.steps += steps
        self.figures.request_steps += steps * batch
        self.figures.busy_seconds += seconds
        self.figures.idle_place_seconds += (self.spec.max_batch - batch) * seconds

    def _finish_request(self, request: Request) -> None:
        copy = self.copies.get(request.target)
        if copy is not None:
            copy.users -= 1
            copy.served += 1
        request.ended = self._clock.now
        self.on_finished(request)
