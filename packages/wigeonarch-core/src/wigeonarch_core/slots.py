"""Adapter slots of one engine, as its owner knows them.

Two sources are merged: the results of the owner's own orders, which are exact, and reports, which
lag. A report can't undo an order that ended after the report was sampled. To ensure this, each slot
keeps the time of its last state change, and copies that were removed are remembered until a later
report confirms it.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from wigeonarch_core.engine_report import EngineReport
from wigeonarch_core.refs import AdapterVersion


class SlotState(enum.Enum):
    """State of a slot that is in use."""

    LOADING = "loading"
    LOADED = "loaded"
    EVICTING = "evicting"


@dataclass(slots=True)
class Slot:
    """A slot that is in use.

    Attributes:
        state: Whether its copy is being loaded, is loaded, or is being evicted.
        since: Time of the last change of state, in seconds.
        running: Requests that use it, by the last report.
        sampled: Time at which that report was sampled, in seconds.
        ordered: Whether this owner's own load order is in progress.
    """

    state: SlotState
    since: float
    running: int = 0
    sampled: float = 0.0
    ordered: bool = False


class SlotTable:
    """The adapter slots of one engine."""

    __slots__ = ("_departed", "_service", "_slots", "capacity", "incarnation")

    def __init__(self) -> None:
        self.incarnation = ""
        self.capacity = 0
        self._service = ""
        self._slots: dict[AdapterVersion, Slot] = {}
        self._departed: dict[AdapterVersion, float] = {}

    def get(self, target: AdapterVersion) -> Slot | None:
        """Returns the slot of an adapter version; None if it has none."""
        return self._slots.get(target)

    def is_ready(self, target: AdapterVersion) -> bool:
        """Tells whether requests can use an adapter version now."""
        slot = self._slots.get(target)
        return slot is not None and slot.state is SlotState.LOADED

    def in_state(self, state: SlotState) -> list[AdapterVersion]:
        """Returns the adapter versions whose slots are in a state."""
        return [target for target, slot in self._slots.items() if slot.state is state]

    def loaded(self) -> Iterable[tuple[AdapterVersion, Slot]]:
        """Returns the slots that requests can use."""
        return [item for item in self._slots.items() if item[1].state is SlotState.LOADED]

    def has_free(self) -> bool:
        """Tells whether a slot is free, so that a load needs no eviction."""
        return len(self._slots) < self.capacity

    def is_idle_by_report(self, target: AdapterVersion) -> bool:
        """Tells whether the last report shows no request using an adapter version."""
        slot = self._slots.get(target)
        return slot is None or slot.running == 0

    def apply_report(self, report: EngineReport, service: str, sampled: float) -> bool:
        """Merges a report.

        Args:
            report: The report.
            service: Service of the engine, which its reports leave out.
            sampled: Time at which the report was sampled, in seconds.

        Returns:
            Whether the engine has restarted since the last report.
        """
        restarted = self.incarnation not in ("", report.incarnation)
        if restarted:
            self._slots.clear()
            self._departed.clear()
        self.incarnation = report.incarnation
        self.capacity = report.slots
        listed = self._merge_listed(report, service, sampled)
        self._drop_unlisted(listed, sampled)
        self._departed = {t: at for t, at in self._departed.items() if at >= sampled}
        return restarted

    def begin_load(self, target: AdapterVersion, victim: AdapterVersion | None, now: float) -> None:
        """Notes that a load, and the eviction of `victim` before it, is being ordered."""
        if victim is not None:
            self._slots[victim] = Slot(SlotState.EVICTING, now)
        self._slots[target] = Slot(SlotState.LOADING, now, ordered=True)

    def end_eviction(self, victim: AdapterVersion, now: float) -> None:
        """Notes that an eviction has ended; if it failed, a later report lists the copy again."""
        slot = self._slots.get(victim)
        if slot is None or slot.state is not SlotState.EVICTING:
            return
        del self._slots[victim]
        self._departed[victim] = now

    def end_load(self, target: AdapterVersion, ok: bool, now: float) -> bool:
        """Notes that a load has ended; returns whether this table was waiting for it."""
        slot = self._slots.get(target)
        if slot is None or not slot.ordered:
            return False
        if ok:
            self._slots[target] = Slot(SlotState.LOADED, now)
            return True
        del self._slots[target]
        self._departed[target] = now
        return True

    def _merge_listed(self, rep: EngineReport, service: str, sampled: float) -> set[AdapterVersion]:
        listed: set[AdapterVersion] = set()
        for entry in rep.loaded:
            target = AdapterVersion(service, entry.adapter, entry.version)
            listed.add(target)
            self._merge_one(target, SlotState(entry.state), entry.running, sampled)
        return listed

    def _merge_one(
        self, target: AdapterVersion, state: SlotState, running: int, sampled: float
    ) -> None:
        slot = self._slots.get(target)
        if slot is None:
            if self._departed.get(target, sampled) > sampled:
                return
            slot = Slot(state, sampled)
            self._slots[target] = slot
        slot.running = running
        slot.sampled = sampled
        if slot.ordered or slot.state is SlotState.EVICTING or slot.since > sampled:
            return
        if slot.state is not state:
            slot.state = state
            slot.since = sampled

    def _drop_unlisted(self, listed: set[AdapterVersion], sampled: float) -> None:
        for target, slot in list(self._slots.items()):
            if target in listed or slot.ordered or slot.since > sampled:
                continue
            if slot.state is SlotState.EVICTING:
                continue
            del self._slots[target]
