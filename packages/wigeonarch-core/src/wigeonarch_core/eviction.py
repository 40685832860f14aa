"""Choice of the loaded adapter version to evict from an engine.

A copy may be evicted only if no pin names it, the last report shows no request that uses it, it was
not loaded just now, and no grant request waits for it. Of these, the one with the lowest rate of
use is chosen. Frequency is preferred to recency because adapter popularity is skewed.
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
    """Tells whether a loaded copy may be evicted without harm to a running request.

    Args:
        target: Adapter version of the copy.
        slot: Its slot.
        pins: Pins of the engine.
        now: Current time, in seconds.
        thrash_guard: Seconds for which a copy stays after its load.
    """
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
    """Returns the copy to evict among those that `allowed` accepts, or None if there is none."""
    candidates = [
        target
        for target, slot in slots.loaded()
        if is_evictable(target, slot, pins, now, thrash_guard)
        and allowed(target, now)
        and not queue.count_by_target(target)
    ]
    return min(candidates, key=lambda target: (rates.rate(target, now), target), default=None)
