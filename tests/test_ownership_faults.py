"""Histories in which nothing is evicted in use, but is as soon as one mechanism is taken away.

`slow` owns the engine, which has x and y loaded and idle; z is wanted, so one of them has to go.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from ownership_world import RATES, TARGETS, Mutation, Process, World
from wigeonarch_core.messages import Granted, GrantRequest

X, Y, Z = TARGETS
LONG = 25.0


class History:
    """A world whose owner has settled, with steps that histories share."""

    def __init__(self, mutation: Mutation, *, checks_fence: bool = False) -> None:
        self.world = World(mutation, checks_fence=checks_fence)
        self.world.run(9.0)
        self.world.deliver_orders()
        self.world.run(1.0)
        self.slow, self.mean, self.fast = (self.world.processes[name] for name in RATES)
        assert self.slow.grants is not None

    def keep_busy(self, asker: Process) -> None:
        """Has y used for long, so that x is the copy that can go."""
        asker.start_request(Y, LONG)
        self.world.run(0.5)

    def acts(self, process: Process) -> None:
        """Lets one process act a few times, and its messages arrive."""
        for _ in range(3):
            process.run_duties()
            self.world.deliver_messages()

    def both_act(self) -> None:
        """Lets the new owner grant x, then the last one be asked for z."""
        self.fast.read_report()
        self.fast.start_request(X, LONG)
        self.acts(self.fast)
        self.slow.start_request(Z, LONG)
        self.world.deliver_messages()
        self.acts(self.slow)

    def one_takes_over(self, seconds: float) -> Process:
        """Lets time pass without reports; returns who owns the engine then."""
        self.world.run(seconds, reports=False)
        owners = [p for p in (self.mean, self.fast) if p.grants is not None]
        assert len(owners) == 1
        return owners[0]


def paused_with_an_order(mutation: Mutation) -> World:
    """The owner is frozen with an eviction in hand and thawed after x was granted anew."""
    history = History(mutation)
    history.keep_busy(history.mean)
    history.slow.start_request(Z, LONG)
    history.world.deliver_messages()
    history.slow.decide_and_freeze()
    history.one_takes_over(9.0).read_report()
    history.mean.start_request(X, LONG)
    history.world.run(1.5, reports=False)
    assert any(used[0] == X for used in history.world.engine.running.values())
    history.slow.thaw()
    return history.world


def granted_just_before(mutation: Mutation) -> World:
    """A grant of the last owner is used after its successor has seen the copy idle."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut_off.update({"slow", "fast"})
    world.muted.update({"slow", "fast"})
    world.run(4.0)
    history.fast.start_request(X, LONG)
    world.deliver_messages()
    world.deliver_delayed(GrantRequest)
    history.slow.decide_actions()
    world.deliver_messages()
    new = history.one_takes_over(4.0)
    new.read_report()
    world.deliver_delayed(Granted)
    new.start_request(Z, LONG)
    world.deliver_messages()
    new.run_duties()
    return world


def granted_too_late(mutation: Mutation) -> World:
    """A grant is held up until the successor's quarantine has passed."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut_off.update({"slow", "fast"})
    world.muted.update({"slow", "fast"})
    history.fast.start_request(X, LONG)
    world.deliver_messages()
    world.deliver_delayed(GrantRequest)
    history.slow.decide_actions()
    world.deliver_messages()
    history.slow.decide_and_freeze()
    new = history.one_takes_over(9.0)
    world.run(8.0)
    world.deliver_delayed(Granted)
    new.start_request(Z, LONG)
    world.deliver_messages()
    new.run_duties()
    return world


def order_under_way(mutation: Mutation) -> World:
    """An old owner's order reaches an engine that checks, after the new owner has granted."""
    history = History(mutation, checks_fence=True)
    world = history.world
    history.keep_busy(history.mean)
    history.slow.start_request(Z, LONG)
    world.deliver_messages()
    history.slow.run_duties()
    world.deliver_messages()
    history.slow.run_duties()
    old = [order for order in world.pending_orders if order.victim is not None]
    assert old
    history.slow.decide_and_freeze()
    history.one_takes_over(9.0).read_report()
    world.pending_orders = [order for order in world.pending_orders if order not in old]
    world.deliver_orders()
    history.mean.start_request(X, LONG)
    world.run(1.0)
    assert any(used[0] == X for used in world.engine.running.values())
    world.pending_orders = old
    world.deliver_orders()
    return world


def clocks_apart(mutation: Mutation) -> World:
    """The owner's clock is slow, the successor's fast."""
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
    history.both_act()
    return world


def lapsed_and_renewed(mutation: Mutation) -> World:
    """The owner renews a lapsed lease while a takeover is about to be written."""
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
    history.both_act()
    return world


def supported_in_an_outage(mutation: Mutation) -> World:
    """The owner goes on by promises; one of those who gave them reaches the platform first."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut_off.update(RATES)
    world.run(12.0)
    assert history.slow.lease.is_valid(history.slow.now)
    world.cut_off.discard("fast")
    world.run(1.0, reports=False)
    history.fast.read_report()
    history.fast.start_request(X, LONG)
    history.acts(history.fast)
    history.slow.start_request(Z, LONG)
    history.acts(history.slow)
    return world


HISTORIES: dict[Callable[[Mutation], World], Mutation] = {
    paused_with_an_order: Mutation(recheck=False),
    granted_just_before: Mutation(quarantine=False),
    granted_too_late: Mutation(recent_grants_only=False),
    order_under_way: Mutation(fencing=False),
    clocks_apart: Mutation(margin=False),
    lapsed_and_renewed: Mutation(generations=False),
    supported_in_an_outage: Mutation(promises=False),
}


@pytest.mark.parametrize("history", HISTORIES, ids=lambda each: str(each.__name__))
def test_holds_with_every_mechanism(history: Callable[[Mutation], World]) -> None:
    assert not history(Mutation()).engine.violations


@pytest.mark.parametrize(
    ("history", "mutation"), HISTORIES.items(), ids=lambda each: getattr(each, "__name__", "")
)
def test_fails_without_the_mechanism(
    history: Callable[[Mutation], World], mutation: Mutation
) -> None:
    assert history(mutation).engine.violations
