"""Decides when a new owner may evict adapter versions that the last owner may have granted.

Once its lease has lapsed, the last owner can grant nothing more. But a grant that it gave just
before may still be used, and requests that it granted may still be running. So a new owner evicts
nothing until two things have happened:

* *Settling*: the validity of any old grant has run out, with a margin for a request on its way to
  the engine. From then on, every request that starts was granted by the new owner.
* *Declarations*: the instances that the new owner can hear have declared their pins. Their requests
  are then protected even if the engine has not started them yet.

After that, it may evict a copy that a report *sampled after the settling* shows without requests. A
copy that is not seen idle in this way stays until every old request has reached its hard deadline.

Example: with a settling time of 7 s, an engine taken over at 100.0 keeps all its copies until a
report sampled at 107.0 or later shows some of them idle. A copy with running requests is kept.
"""

from __future__ import annotations

import enum
from collections.abc import Collection

import msgspec

from wigeonarch_core.engine_report import EngineReport
from wigeonarch_core.refs import AdapterVersion


class QuarantineStage(enum.StrEnum):
    """How far a take-over quarantine has progressed, as operators see it."""

    SETTLING = "settling"
    DECLARING = "declaring"
    IDLE_ONLY = "idle_only"
    OVER = "over"


class QuarantineBounds(msgspec.Struct, frozen=True):
    """Durations of a take-over quarantine, in seconds.

    Attributes:
        settle: Time after which no request granted by the last owner can start.
        longest: Time after which every such request has reached its hard deadline.
    """

    settle: float
    longest: float


class TakeoverQuarantine:
    """The quarantine of one engine after a new owner has taken it over."""

    __slots__ = ("_bounds", "_seen_idle", "_started_at", "_undeclared")

    def __init__(self, bounds: QuarantineBounds, undeclared: Collection[str], now: float) -> None:
        """Starts a quarantine.

        Args:
            bounds: Its durations.
            undeclared: Instances that may hold pins.
            now: Time in seconds, not before the ownership was written.
        """
        self._bounds = bounds
        self._started_at = now
        self._undeclared = set(undeclared)
        self._seen_idle: set[AdapterVersion] = set()

    def record_declaration(self, requester: str) -> None:
        """Records that an instance has declared its pins, or can't be heard any more."""
        self._undeclared.discard(requester)

    def undeclared(self) -> list[str]:
        """Returns the instances that have not declared their pins, sorted."""
        return sorted(self._undeclared)

    def record_report(self, engine_report: EngineReport, service: str, sampled: float) -> None:
        """Records which copies a report shows idle.

        A report with requests waiting in the engine's own queue shows nothing, as these may use any
        copy.
        """
        if sampled < self._started_at + self._bounds.settle or engine_report.waiting:
            return
        self._seen_idle.update(
            AdapterVersion(service, entry.adapter, entry.version)
            for entry in engine_report.loaded
            if entry.running == 0
        )

    def may_evict(self, target: AdapterVersion, now: float) -> bool:
        """Returns whether no request granted by the last owner can be using an adapter version."""
        stage = self.stage(now)
        return stage is QuarantineStage.OVER or (
            stage is QuarantineStage.IDLE_ONLY and target in self._seen_idle
        )

    def stage(self, now: float) -> QuarantineStage:
        """Returns the stage that the quarantine has reached."""
        elapsed = now - self._started_at
        if elapsed >= self._bounds.longest:
            return QuarantineStage.OVER
        if elapsed < self._bounds.settle:
            return QuarantineStage.SETTLING
        return QuarantineStage.DECLARING if self._undeclared else QuarantineStage.IDLE_ONLY
