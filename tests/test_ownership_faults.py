"""Histories in which nothing is evicted in use, but is as soon as one mechanism is taken away.

`slow` owns the engine, which has x and y loaded and idle; z is wanted, so one of them has to go.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest
from ownership_world import RATES, TARGETS, Mutation, Process, World
from wigeonarch_core.messages import Ask, Granted

X, Y, Z = TARGETS
LONG = 25.0


class History:
    """A world whose owner has settled, with steps that histories share."""

    def __init__(self, mutation: Mutation, *, checks_fence: bool = False) -> None:
        self.world = World(mutation, checks_fence=checks_fence)
        self.world.work(9.0)
        self.world.bring_orders()
        self.world.work(1.0)
        self.slow, self.mean, self.fast = (self.world.processes[name] for name in RATES)
        assert self.slow.custody is not None

    def keep_busy(self, asker: Process) -> None:
        """Has y used for long, so that x is the copy that can go."""
        asker.ask(Y, LONG)
        self.world.work(0.5)

    def acts(self, process: Process) -> None:
        """Lets one process act a few times, and its messages arrive."""
        for _ in range(3):
            process.tick()
            self.world.flow()

    def both_act(self) -> None:
        """Lets the new owner grant x, then the last one be asked for z."""
        self.fast.read_report()
        self.fast.ask(X, LONG)
        self.acts(self.fast)
        self.slow.ask(Z, LONG)
        self.world.flow()
        self.acts(self.slow)

    def one_takes_over(self, seconds: float) -> Process:
        """Lets time pass without reports; returns who owns the engine then."""
        self.world.work(seconds, reports=False)
        owners = [p for p in (self.mean, self.fast) if p.custody is not None]
        assert len(owners) == 1
        return owners[0]


def paused_with_an_order(mutation: Mutation) -> World:
    """The owner is frozen with an eviction in hand and thawed after x was granted anew."""
    history = History(mutation)
    history.keep_busy(history.mean)
    history.slow.ask(Z, LONG)
    history.world.flow()
    history.slow.stall()
    history.one_takes_over(9.0).read_report()
    history.mean.ask(X, LONG)
    history.world.work(1.5, reports=False)
    assert any(used[0] == X for used in history.world.engine.running.values())
    history.slow.thaw()
    return history.world


def granted_just_before(mutation: Mutation) -> World:
    """A grant of the last owner is used after its successor has seen the copy idle."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut.update({"slow", "fast"})
    world.muted.update({"slow", "fast"})
    world.work(4.0)
    history.fast.ask(X, LONG)
    world.flow()
    world.bring_late(Ask)
    history.slow.decide()
    world.flow()
    new = history.one_takes_over(4.0)
    new.read_report()
    world.bring_late(Granted)
    new.ask(Z, LONG)
    world.flow()
    new.tick()
    return world


def granted_too_late(mutation: Mutation) -> World:
    """A grant is held up until the successor's quarantine has passed."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut.update({"slow", "fast"})
    world.muted.update({"slow", "fast"})
    history.fast.ask(X, LONG)
    world.flow()
    world.bring_late(Ask)
    history.slow.decide()
    world.flow()
    history.slow.stall()
    new = history.one_takes_over(9.0)
    world.work(8.0)
    world.bring_late(Granted)
    new.ask(Z, LONG)
    world.flow()
    new.tick()
    return world


def order_under_way(mutation: Mutation) -> World:
    """An old owner's order reaches an engine that checks, after the new owner has granted."""
    history = History(mutation, checks_fence=True)
    world = history.world
    history.keep_busy(history.mean)
    history.slow.ask(Z, LONG)
    world.flow()
    history.slow.tick()
    world.flow()
    history.slow.tick()
    old = [order for order in world.orders if order.victim is not None]
    assert old
    history.slow.stall()
    history.one_takes_over(9.0).read_report()
    world.orders = [order for order in world.orders if order not in old]
    world.bring_orders()
    history.mean.ask(X, LONG)
    world.work(1.0)
    assert any(used[0] == X for used in world.engine.running.values())
    world.orders = old
    world.bring_orders()
    return world


def clocks_apart(mutation: Mutation) -> World:
    """The owner's clock is slow, the successor's fast."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut.update({"slow", "mean"})
    world.muted.add("slow")
    while history.fast.custody is None:
        world.advance(0.05)
        for process in world.processes.values():
            process.lease.alive(process.now)
        history.fast.tick()
        world.flow()
    history.both_act()
    return world


def lapsed_and_renewed(mutation: Mutation) -> World:
    """The owner renews a lapsed lease while a takeover is about to be written."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut.update({"slow", "mean"})
    world.muted.add("slow")
    while not history.fast.frozen:
        world.advance(0.1)
        for process in world.processes.values():
            process.lease.alive(process.now)
        history.fast.decide()
        history.fast.frozen = any("write_claim" in str(act) for act in history.fast.hands)
        if not history.fast.frozen:
            history.fast.act()
    world.cut.clear()
    history.slow.tick()
    world.cut.add("slow")
    history.fast.thaw()
    history.both_act()
    return world


def supported_in_an_outage(mutation: Mutation) -> World:
    """The owner goes on by promises; one of those who gave them reaches the platform first."""
    history = History(mutation)
    world = history.world
    history.keep_busy(history.mean)
    world.cut.update(RATES)
    world.work(12.0)
    assert history.slow.lease.holds(history.slow.now)
    world.cut.discard("fast")
    world.work(1.0, reports=False)
    history.fast.read_report()
    history.fast.ask(X, LONG)
    history.acts(history.fast)
    history.slow.ask(Z, LONG)
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
    assert not history(Mutation()).engine.harm


@pytest.mark.parametrize(
    ("history", "mutation"), HISTORIES.items(), ids=lambda each: getattr(each, "__name__", "")
)
def test_fails_without_the_mechanism(
    history: Callable[[Mutation], World], mutation: Mutation
) -> None:
    assert history(mutation).engine.harm
