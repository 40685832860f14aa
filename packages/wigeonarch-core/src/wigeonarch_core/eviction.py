"""Which loaded copy an engine can best do without.

A copy may go only if no pin names it, the last report shows no request using it, it was not just
loaded, and no ask waits for it; among those, the one with the least rate of use goes. Frequency is
preferred to recency, as a skewed popularity rewards it.
"""

from __future__ import annotations

from collections.abc import Callable

from wigeonarch_core.pins import PinTable
from wigeonarch_core.queueing import FairQueue
from wigeonarch_core.rates import DecayedCounts
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.slots import Slot, SlotTable


def is_evictable(
    target: AdapterVersion, slot: Slot, pins: PinTable, now: float, thrash_guard: float
) -> bool:
    """Tells whether a loaded copy may go without harm to a running request."""
    if pins.count(target) or slot.running:
        return False
    return now - slot.since >= thrash_guard


def choose_victim(
    slots: SlotTable,
    pins: PinTable,
    queue: FairQueue,
    rates: DecayedCounts[AdapterVersion],
    now: float,
    thrash_guard: float,
    allowed: Callable[[AdapterVersion, float], bool],
) -> AdapterVersion | None:
    """Returns the copy to evict next among those `allowed`, or None when none may go."""
    candidates = [
        target
        for target, slot in slots.loaded()
        if is_evictable(target, slot, pins, now, thrash_guard)
        and allowed(target, now)
        and not queue.count_by_target(target)
    ]
    return min(candidates, key=lambda target: (rates.rate(target, now), target), default=None)
