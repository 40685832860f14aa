"""Scheduler of one engine, run by the engine's owner.

Grant requests wait in a fair queue. `decide` grants those whose adapter version is loaded while
batch places are free, and refuses those that cannot be served in time. `best_bid` names the load
that is worth most; `start_load` checks it again when the load permit arrives, since a copy may have
been pinned meanwhile. Only the scheduler grants requests and chooses victims, so a copy is never
both granted and evicted.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wigeonarch_core import eviction
from wigeonarch_core.backoff import LoadBackoff
from wigeonarch_core.decisions import Bid, Grant, Refuse, StartLoad
from wigeonarch_core.engine_report import MS_PER_SECOND, EngineReport
from wigeonarch_core.messages import EngineSummary, GrantRequest
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.pins import Pin, PinTable
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.queueing import FairQueue, Waiting
from wigeonarch_core.rates import DecayedCounts
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.slots import SlotState, SlotTable

HOLD_SMOOTHING: Final = 0.05  # Weight of one grant's duration.
GAP_SMOOTHING: Final = 0.2  # Weight of one gap between loads.


class EngineScheduler:
    """Queue, pins and adapter slots of one engine, kept by its owner.

    Attributes:
        engine: Name of the engine.
        service: Service that the engine serves; reports leave it out.
        may_evict: Tells whether the owner's take-over quarantine allows the eviction of a copy; set
            by the owner.
    """

    __slots__ = (
        "_backoff",
        "_hold_seconds",
        "_leaving",
        "_load_ended_at",
        "_load_gap",
        "_max_batch",
        "_opts",
        "_pins",
        "_queue",
        "_rates",
        "_refusals",
        "_slots",
        "_token_seconds",
        "_victims",
        "engine",
        "may_evict",
        "service",
    )

    def __init__(self, engine: str, opts: PolicyOptions, now: float, *, service: str) -> None:
        self.engine = engine
        self.service = service
        self._opts = opts
        self._queue = FairQueue()
        self._pins = PinTable()
        self._slots = SlotTable()
        self._rates: DecayedCounts[AdapterVersion] = DecayedCounts(
            opts.rate_half_life, opts.rate_entries
        )
        self._backoff = LoadBackoff(engine, opts)
        self._victims: dict[AdapterVersion, AdapterVersion] = {}
        self._refusals: list[Refuse] = []
        self._hold_seconds = 0.0
        self._load_gap = 0.0
        self._load_ended_at = -1.0
        self._token_seconds = 0.0
        self._max_batch = 0
        self._leaving = False
        self.may_evict: Callable[[AdapterVersion, float], bool] = _always

    @property
    def queue_length(self) -> int:
        """Number of grant requests that wait."""
        return len(self._queue)

    @property
    def incarnation(self) -> str:
        """Incarnation in the engine's last report; empty before the first."""
        return self._slots.incarnation

    def apply_report(self, rep: EngineReport, now: float) -> None:
        """Merges a report of the engine, which lags by its age."""
        sampled = now - rep.age_ms / MS_PER_SECOND
        if self._slots.apply_report(rep, self.service, sampled):
            # Copies in this report were loaded after the restart, so they may be in use.
            self._pins.keep_only({target for target, _ in self._slots.loaded()})
            self._victims.clear()
        self._max_batch = rep.max_batch
        self._leaving = rep.state == "leaving"
        # Requests in the engine's own queue may use any adapter version.
        if rep.waiting == 0:
            self._pins.remove_overdue(
                sampled - self._opts.pin_margin, self._slots.is_idle_by_report
            )

    def submit(self, request: GrantRequest, now: float) -> Refuse | None:
        """Queues a grant request, or refuses it at once; does nothing if it is known already."""
        if request.dispatch_id in self._queue or request.dispatch_id in self._pins:
            return None
        reason = self._refusal_reason(request, now)
        if reason is not None:
            return Refuse(
                request.dispatch_id,
                request.requester,
                reason,
                self._retry_after(request.target, now),
            )
        self._rates.add(request.target, now)
        self._queue.enqueue(request, now, lacks_adapter=not self._slots.is_ready(request.target))
        return None

    def release(self, dispatch_id: str, now: float) -> None:
        """Ends a grant, or withdraws a grant request that still waits."""
        pin = self._pins.remove(dispatch_id)
        if pin is None:
            self._queue.remove(dispatch_id)
            return
        self._measure_hold(now - pin.since, pin.tokens)

    def decide(self, now: float) -> list[Grant | Refuse]:
        """Returns the grants and refusals that are due."""
        decided: list[Grant | Refuse] = list(self._refusals)
        self._refusals.clear()
        expired = self._queue.pop_expired(now)
        decided.extend(self._refuse(waiting, Reason.DEADLINE, now) for waiting in expired)
        if self._leaving:
            decided.extend(self._refuse_all(Reason.ENDPOINT_LEAVING, now))
            return decided
        while self._free_batch_places() > 0:
            waiting = self._queue.peek(self._slots.in_state(SlotState.LOADED))
            if waiting is None:
                break
            decided.append(self._grant(waiting, now))
        return decided

    def best_bid(self, now: float) -> Bid | None:
        """Returns the bid for the load that is worth most; None if there is no such load."""
        if self._leaving:
            return None
        victim = None if self._slots.has_free() else self._choose_victim(now)
        if victim is None and not self._slots.has_free():
            return None
        wanted = [target for target in self._queue.targets() if self._may_load(target, now)]
        bids = [Bid(target, self._bid_value(target, victim, now), victim) for target in wanted]
        return max(bids, key=lambda bid: (bid.value, bid.target), default=None)

    def start_load(self, target: AdapterVersion, now: float) -> StartLoad | None:
        """Starts a load that got its permit; returns None if it is not needed or possible now."""
        if self._leaving or not self._queue.count_by_target(target):
            return None
        if not self._may_load(target, now):
            return None
        victim = None if self._slots.has_free() else self._choose_victim(now)
        if victim is None and not self._slots.has_free():
            return None
        self._slots.begin_load(target, victim, now)
        if victim is not None:
            self._victims[target] = victim
        return StartLoad(target, victim)

    def finish_load(self, target: AdapterVersion, ok: bool, now: float) -> None:
        """Notes that the orders of a load, its eviction included, have certainly ended."""
        self._measure_load_gap(target, now)
        victim = self._victims.pop(target, None)
        if victim is not None:
            self._slots.end_eviction(victim, now)
        if not self._slots.end_load(target, ok, now):
            return
        if ok:
            self._backoff.record_success(target)
            return
        self._backoff.record_failure(target, now)
        if self._backoff.exhausted(target):
            waiting = self._queue.waiting_for(target)
            self._refusals.extend(self._refuse(each, Reason.LOAD_FAILED, now) for each in waiting)

    def adopt_pin(
        self, dispatch_id: str, requester: str, target: AdapterVersion, remaining: float, now: float
    ) -> None:
        """Adds a pin that a peer declares.

        Args:
            dispatch_id: Identifies the grant request.
            requester: Instance that holds the grant.
            target: Adapter version in use.
            remaining: Seconds until the request's hard deadline.
            now: Current time, in seconds.
        """
        self._queue.remove(dispatch_id)
        self._pins.add(Pin(dispatch_id, requester, target, now + remaining, now))

    def is_pinned(self, dispatch_id: str) -> bool:
        """Tells whether a grant request holds a pin."""
        return dispatch_id in self._pins

    def pin_count(self, target: AdapterVersion) -> int:
        """Returns how many pins an adapter version has."""
        return self._pins.count(target)

    def pins(self) -> list[Pin]:
        """Returns all pins."""
        return self._pins.all()

    def waiting(self) -> list[Waiting]:
        """Returns the grant requests that wait, the oldest first."""
        return sorted(self._queue, key=lambda waiting: waiting.since)

    def pins_of(self, requester: str) -> list[Pin]:
        """Returns the pins that an instance holds."""
        return self._pins.held_by(requester)

    def drop_requester(self, requester: str, now: float) -> None:
        """Withdraws the requests of a silent instance; its pins stay until overdue and idle."""
        for waiting in self._queue:
            if waiting.request.requester == requester:
                self._queue.remove(waiting.request.dispatch_id)

    def summary(self, fence: int) -> EngineSummary:
        """Returns what peers need to choose among engines; `fence` is the owner's fencing token."""
        cold = self._targets_without_slot()
        cold.sort(key=self._queue.count_by_target, reverse=True)
        loading = self._slots.in_state(SlotState.LOADING)
        return EngineSummary(
            engine=self.engine,
            fence=fence,
            loaded=tuple(self._slots.in_state(SlotState.LOADED)),
            coming=(*loading, *cold[: self._opts.coming_listed]),
            free=max(0, self._free_batch_places()),
            queued=len(self._queue),
            wait=self._expected_wait_if_loaded(),
            incarnation=self.incarnation,
            leaving=self._leaving,
            backlog=len(cold) + len(loading),
        )

    def next_due(self, now: float) -> float:
        """Returns the time, in seconds, at which `decide` should run at the latest."""
        deadline = self._queue.earliest_deadline()
        idle = now + self._opts.idle_interval
        return idle if deadline is None else min(idle, deadline)

    def close(self, now: float) -> list[Refuse]:
        """Refuses all waiting requests, as this instance no longer owns the engine."""
        return self._refuse_all(Reason.NO_OWNER, now)

    def _refusal_reason(self, request: GrantRequest, now: float) -> Reason | None:
        if self._leaving:
            return Reason.ENDPOINT_LEAVING
        if request.remaining <= 0.0:
            return Reason.DEADLINE
        if self._backoff.exhausted(request.target) and not self._backoff.may_load(
            request.target, now
        ):
            return Reason.LOAD_FAILED
        limit = self._opts.queue_limit
        if len(self._queue) >= limit:
            return Reason.QUEUE_FULL
        if len(self._queue) * 2 < limit:
            return self._refusal_if_late(request)
        if self._queue.count_by_caller(request.caller) >= self._opts.caller_share * limit:
            return Reason.FAIR_SHARE
        if self._queue.count_by_target(request.target) >= self._opts.adapter_share * limit:
            return Reason.FAIR_SHARE
        return self._refusal_if_late(request)

    def _refusal_if_late(self, request: GrantRequest) -> Reason | None:
        return (
            Reason.DEADLINE if self._expected_wait_for(request.target) > request.remaining else None
        )

    def _expected_wait_for(self, target: AdapterVersion) -> float:
        """Returns the expected wait of a new request, its load included, in seconds."""
        needs_load = self._slots.get(target) is None and not self._queue.count_by_target(target)
        return (
            len(self._targets_without_slot()) * self._load_gap
            if needs_load
            else self._expected_wait_if_loaded()
        )

    def _targets_without_slot(self) -> list[AdapterVersion]:
        return [each for each in self._queue.targets() if self._slots.get(each) is None]

    def _measure_load_gap(self, target: AdapterVersion, now: float) -> None:
        """Measures the time between two loads; after a pause, from the need for a load to its end.

        Each load that ends gives a sample, so an estimate from a slow period is soon forgotten.
        """
        needed_since = min((each.since for each in self._queue.waiting_for(target)), default=now)
        since = self._load_ended_at if self._load_ended_at >= 0.0 else needed_since
        self._load_gap = _smoothed(self._load_gap, now - since, GAP_SMOOTHING)
        self._load_ended_at = now if self._targets_without_slot() else -1.0

    def _free_batch_places(self) -> int:
        return self._max_batch + self._opts.overcommit - len(self._pins)

    def _expected_wait_if_loaded(self) -> float:
        """Returns the expected wait of one more request for a loaded adapter, in seconds."""
        ready = sum(self._queue.count_by_target(each) for each, _ in self._slots.loaded())
        ahead = ready + 1 - self._free_batch_places()
        return max(0, ahead) * self._seconds_per_grant()

    def _seconds_per_grant(self) -> float:
        return self._hold_seconds / max(1, self._max_batch)

    def _measure_hold(self, held: float, tokens: int) -> None:
        self._hold_seconds = _smoothed(self._hold_seconds, held)
        if tokens:
            self._token_seconds = _smoothed(self._token_seconds, held / tokens)

    def _retry_after(self, target: AdapterVersion, now: float) -> float:
        backlog = (len(self._queue) + 1) * self._seconds_per_grant()
        loads = self._expected_wait_for(target)
        wait = max(backlog, loads, self._backoff.remaining(target, now), self._opts.retry_least)
        return min(wait, self._opts.retry_most)

    def _grant(self, waiting: Waiting, now: float) -> Grant:
        request = waiting.request
        self._queue.remove_granted(waiting)
        self._pins.add(
            Pin(
                request.dispatch_id,
                request.requester,
                request.target,
                waiting.deadline,
                now,
                request.tokens,
            )
        )
        return Grant(
            request.dispatch_id,
            request.requester,
            now - waiting.since,
            self._load_wait(waiting, now),
        )

    def _load_wait(self, waiting: Waiting, now: float) -> float:
        slot = self._slots.get(waiting.request.target)
        if not waiting.lacked_adapter or slot is None:
            return 0.0
        return max(0.0, min(now, slot.since) - waiting.since)

    def _refuse(self, waiting: Waiting, reason: Reason, now: float) -> Refuse:
        self._queue.remove(waiting.request.dispatch_id)
        request = waiting.request
        return Refuse(
            request.dispatch_id, request.requester, reason, self._retry_after(request.target, now)
        )

    def _refuse_all(self, reason: Reason, now: float) -> list[Refuse]:
        return [self._refuse(waiting, reason, now) for waiting in self._queue]

    def _may_load(self, target: AdapterVersion, now: float) -> bool:
        return self._slots.get(target) is None and self._backoff.may_load(target, now)

    def _choose_victim(self, now: float) -> AdapterVersion | None:
        guard = self._opts.thrash_guard
        return eviction.choose_victim(
            self._slots, self._pins, self._queue, self._rates, now, guard, self.may_evict
        )

    def _bid_value(
        self, target: AdapterVersion, victim: AdapterVersion | None, now: float
    ) -> float:
        waiting = self._queue.waiting_for(target)
        claims = sum(self._load_claim(each, now) for each in waiting)
        horizon = self._opts.keep_horizon
        lost = 0.0 if victim is None else self._rates.rate(victim, now) * horizon
        stalls = claims + self._rates.rate(target, now) * horizon - lost
        worth = (
            self._opts.stall_weight * stalls
            + self._opts.batch_weight * self._batch_place_seconds(waiting)
        )
        return worth / self._opts.load_seconds

    def _load_claim(self, waiting: Waiting, now: float) -> float:
        """Returns a request's claim to a load: 1 on arrival, growing slowly as it waits."""
        return 1.0 + self._opts.age_weight * (now - waiting.since)

    def _batch_place_seconds(self, waiting: list[Waiting]) -> float:
        """Returns for how long these requests would use free batch places, in place-seconds."""
        tokens = sorted((each.request.tokens for each in waiting), reverse=True)
        return self._token_seconds * sum(tokens[: max(0, self._free_batch_places())])


def _smoothed(before: float, value: float, smoothing: float = HOLD_SMOOTHING) -> float:
    return before + smoothing * (value - before) if before else value


def _always(_target: AdapterVersion, _now: float) -> bool:
    return True
