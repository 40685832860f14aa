"""When a new owner may evict what the last owner may have granted.

The last owner can grant nothing more once its lease has lapsed, but a grant that it gave just
before may still be used, and requests that it granted may still run. So a new owner evicts nothing
until two things have happened:

* *Settling*: the validity of any old grant has run out, with a margin for a request on its way to
  the engine. From then on every request that begins was granted by the new owner.
* *Declarations*: the instances that it hears have declared their pins, so that their requests are
  protected even if the engine has not begun them yet.

After that it may evict a copy that a report *sampled after the settling* shows without requests.
Whatever is not seen idle so stays until every old request has met its hard deadline.

Example: with a settling time of 7 s, an engine taken over at 100.0 keeps all its copies until a
report sampled at 107.0 or later shows some of them idle; a copy with running requests is kept.
"""

from __future__ import annotations

import enum
from collections.abc import Collection

import msgspec

from wigeonarch_core.engine_report import EngineReport
from wigeonarch_core.refs import AdapterVersion


class QuarantineStage(enum.StrEnum):
    """How far a quarantine has come, as operators see it."""

    SETTLING = "settling"
    DECLARING = "declaring"
    IDLE_ONLY = "idle_only"
    OVER = "over"


class QuarantineBounds(msgspec.Struct, frozen=True):
    """Durations of a quarantine, in seconds.

    Attributes:
        settle: After it no request granted by the last owner can begin.
        longest: After it every such request has met its hard deadline.
    """

    settle: float
    longest: float


class TakeoverQuarantine:
    """The quarantine of one engine at its new owner."""

    __slots__ = ("_began", "_bounds", "_idle", "_undeclared")

    def __init__(self, bounds: QuarantineBounds, undeclared: Collection[str], now: float) -> None:
        """Begins a quarantine.

        Args:
            bounds: Its durations.
            undeclared: Instances that may hold pins.
            now: Time at which the ownership was written or later, in seconds.
        """
        self._bounds = bounds
        self._began = now
        self._undeclared = set(undeclared)
        self._idle: set[AdapterVersion] = set()

    def record_declaration(self, asker: str) -> None:
        """Notes that an instance has declared its pins, or can't be heard any more."""
        self._undeclared.discard(asker)

    def undeclared(self) -> list[str]:
        """Returns the instances that have not declared their pins."""
        return sorted(self._undeclared)

    def record_report(self, rep: EngineReport, service: str, sampled: float) -> None:
        """Notes which copies a report shows idle; what the engine itself queues may use any."""
        if sampled < self._began + self._bounds.settle or rep.waiting:
            return
        self._idle.update(
            AdapterVersion(service, entry.adapter, entry.version)
            for entry in rep.loaded
            if entry.running == 0
        )

    def may_evict(self, target: AdapterVersion, now: float) -> bool:
        """Tells whether no request that the last owner granted can use a copy."""
        stage = self.stage(now)
        return stage is QuarantineStage.OVER or (
            stage is QuarantineStage.IDLE_ONLY and target in self._idle
        )

    def stage(self, now: float) -> QuarantineStage:
        """Returns how far it has come."""
        passed = now - self._began
        if passed >= self._bounds.longest:
            return QuarantineStage.OVER
        if passed < self._bounds.settle:
            return QuarantineStage.SETTLING
        return QuarantineStage.DECLARING if self._undeclared else QuarantineStage.IDLE_ONLY
