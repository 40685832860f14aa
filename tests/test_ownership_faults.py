"""Histories in which no adapter in use is evicted, but is once one mechanism is switched off.

The process `slow` owns the engine, which has x and y loaded and idle. z is wanted, so x or y must
be evicted.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from ownership_world import RATES, TARGETS, Mutation, Process, World
from wigeonarch_core.messages import Granted, GrantRequest

X, Y, Z = TARGETS
LONG_DURATION = 25.0


class History:
    """A world whose owner is settled, with steps that the histories share."""

    def __init__(self, mutation: Mutation, *, checks_fence: bool = False) -> None:
        self.world = World(mutation, checks_fence=checks_fence)
        self.world.run(9.0)
        self.world.deliver_orders()
        self.world.run(1.0)
        self.slow, self.mean, self.fast = (self.world.processes[name] for name in RATES)
        assert self.slow.grants is not None

    def keep_busy(self, requester: Process) -> None:
        """Has y used for a long time, so that x is the copy to evict."""
        requester.start_request(Y, LONG_DURATION)
        self.world.run(0.5)

    def run_duties_of(self, process: Process) -> None:
        """Lets one process run its duties three times, and delivers the messages."""
        for _ in range(3):
            process.run_duties()
            self.world.deliver_messages()

    def grant_x_then_ask_for_z(self) -> None:
        """Lets the new owner grant x; then the last owner is asked for z."""
        self.fast.read_report()
        self.fast.start_request(X, LONG_DURATION)
        self.run_duties_of(self.fast)
        self.slow.start_request(Z, LONG_DURATION)
        self.world.deliver_messages()
        self.run_duties_of(self.slow)

    def wait_for_takeover(self, seconds: float) -> Process:
        """Lets time pass without reports; returns the process that then owns the engine."""
        self.world.run(seconds, reports=False)
        owners = [p for p in (self.mean, self.fast) if p.grants is not None]
        assert len(owners) == 1
        return owners[0]


def frozen_with_a_pending_order(mutation: Mutation) -> World:
    """The owner freezes with an eviction pending and thaws after its successor has granted x."""
    history = History(mutation)
    history.keep_busy(history.mean)
    history.slow.start_request(Z, LONG_DURATION)
    history.world.deliver_messages()
    history.slow.decide_and_freeze()
    history.wait_for_takeover(9.0).read_report()
    history.mean.start_request(X, LONG_DURATION)
    history.world.run(1.5, reports=False)
    assert any(used[0] == X for used in history.world.engine.running.values())
    history.slow.thaw()
    return history.world


def granted_just_before_the_takeover(mutation: Mutation) -> World:
    """A grant of the last owner is used after its successor has seen the copy idle."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut_off.update({"slow", "fast"})
    world.muted.update({"slow", "fast"})
    world.run(4.0)
    history.fast.start_request(X, LONG_DURATION)
    world.deliver_messages()
    world.deliver_delayed(GrantRequest)
    history.slow.decide_actions()
    world.deliver_messages()
    new = history.wait_for_takeover(4.0)
    new.read_report()
    world.deliver_delayed(Granted)
    new.start_request(Z, LONG_DURATION)
    world.deliver_messages()
    new.run_duties()
    return world


def grant_arrives_after_the_quarantine(mutation: Mutation) -> World:
    """A grant of the last owner is delayed until its successor's quarantine has ended."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut_off.update({"slow", "fast"})
    world.muted.update({"slow", "fast"})
    history.fast.start_request(X, LONG_DURATION)
    world.deliver_messages()
    world.deliver_delayed(GrantRequest)
    history.slow.decide_actions()
    world.deliver_messages()
    history.slow.decide_and_freeze()
    new = history.wait_for_takeover(9.0)
    world.run(8.0)
    world.deliver_delayed(Granted)
    new.start_request(Z, LONG_DURATION)
    world.deliver_messages()
    new.run_duties()
    return world


def order_arrives_after_the_takeover(mutation: Mutation) -> World:
    """The last owner's order reaches an engine that checks tokens after its successor's grant."""
    history = History(mutation, checks_fence=True)
    world = history.world
    history.keep_busy(history.mean)
    history.slow.start_request(Z, LONG_DURATION)
    world.deliver_messages()
    history.slow.run_duties()
    world.deliver_messages()
    history.slow.run_duties()
    old = [order for order in world.pending_orders if order.victim is not None]
    assert old
    history.slow.decide_and_freeze()
    history.wait_for_takeover(9.0).read_report()
    world.pending_orders = [order for order in world.pending_orders if order not in old]
    world.deliver_orders()
    history.mean.start_request(X, LONG_DURATION)
    world.run(1.0)
    assert any(used[0] == X for used in world.engine.running.values())
    world.pending_orders = old
    world.deliver_orders()
    return world


def clocks_run_at_different_rates(mutation: Mutation) -> World:
    """The owner's clock is slow and its successor's is fast."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut_off.update({"slow", "mean"})
    world.muted.add("slow")
    while history.fast.grants is None:
        world.advance(0.05)
        for process in world.processes.values():
            process.lease.record_running(process.now)
        history.fast.run_duties()
        world.deliver_messages()
    history.grant_x_then_ask_for_z()
    return world


def lease_renewed_during_a_takeover(mutation: Mutation) -> World:
    """The owner renews its lapsed lease while a takeover is about to be written."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut_off.update({"slow", "mean"})
    world.muted.add("slow")
    while not history.fast.frozen:
        world.advance(0.1)
        for process in world.processes.values():
            process.lease.record_running(process.now)
        history.fast.decide_actions()
        history.fast.frozen = any("write_claim" in str(act) for act in history.fast.pending_actions)
        if not history.fast.frozen:
            history.fast.run_pending_actions()
    world.cut_off.clear()
    history.slow.run_duties()
    world.cut_off.add("slow")
    history.fast.thaw()
    history.grant_x_then_ask_for_z()
    return world


def supported_during_an_outage(mutation: Mutation) -> World:
    """The owner has lease support; a peer that promised it reaches the platform first."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut_off.update(RATES)
    world.run(12.0)
    assert history.slow.lease.is_valid(history.slow.now)
    world.cut_off.discard("fast")
    world.run(1.0, reports=False)
    history.fast.read_report()
    history.fast.start_request(X, LONG_DURATION)
    history.run_duties_of(history.fast)
    history.slow.start_request(Z, LONG_DURATION)
    history.run_duties_of(history.slow)
    return world


MECHANISM_BY_HISTORY: dict[Callable[[Mutation], World], Mutation] = {
    frozen_with_a_pending_order: Mutation(recheck=False),
    granted_just_before_the_takeover: Mutation(quarantine=False),
    grant_arrives_after_the_quarantine: Mutation(recent_grants_only=False),
    order_arrives_after_the_takeover: Mutation(fencing=False),
    clocks_run_at_different_rates: Mutation(margin=False),
    lease_renewed_during_a_takeover: Mutation(generations=False),
    supported_during_an_outage: Mutation(promises=False),
}


@pytest.mark.parametrize("history", MECHANISM_BY_HISTORY, ids=lambda each: str(each.__name__))
def test_no_adapter_in_use_is_evicted(history: Callable[[Mutation], World]) -> None:
    assert not history(Mutation()).engine.violations


@pytest.mark.parametrize(
    ("history", "mutation"),
    MECHANISM_BY_HISTORY.items(),
    ids=lambda each: getattr(each, "__name__", ""),
)
def test_adapter_in_use_is_evicted_without_the_mechanism(
    history: Callable[[Mutation], World], mutation: Mutation
) -> None:
    assert history(mutation).engine.violations
