"""What an owner knows of one engine's pins besides the pins themselves, and what it may do there.

A pin that nobody releases would stay until its hard deadline, so the owner asks from time to time
which pins an asker still holds. What a complete declaration does not list is gone, if the grant was
told long enough before the owner asked that it can't be accepted any more. Pins of an earlier
process of the asker stay, as nobody can speak for them.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

import msgspec

from wigeonarch_core.lease import HeldLease
from wigeonarch_core.messages import DeclarePins, HeldPin, HeldPins
from wigeonarch_core.ownership import HeldOwnership, is_confirmed
from wigeonarch_core.refs import AdapterVersion
from wigeonarch_core.takeover_quarantine import TakeoverQuarantine

MAX_TOMBSTONES: Final = 10_000


@dataclass(slots=True)
class _Told:
    """Who was last told of a grant, and when (seconds)."""

    asker: str
    boot: str
    at: float


class DeclarationChanges(msgspec.Struct, frozen=True):
    """What a declaration changes.

    Attributes:
        adopt: Pins to take in.
        gone: Asks whose pins have ended.
    """

    adopt: tuple[HeldPin, ...] = ()
    ended: tuple[str, ...] = ()


class EngineGrants:
    """One owned engine.

    Attributes:
        engine: Its name.
        holding: The ownership.
        quarantine: None when the engine had no owner before, or was handed over.
        announced: Whether an engine that checks fencing numbers knows this ownership's; until then
            an older owner's order could still be accepted. True for engines that don't check.
        handing: Whether it is being handed over; nothing is granted or ordered then.
    """

    __slots__ = (
        "_asked",
        "_number",
        "_released",
        "_told",
        "_validity",
        "announced",
        "engine",
        "handing_over",
        "ownership",
        "quarantine",
    )

    def __init__(
        self,
        engine: str,
        holding: HeldOwnership,
        quarantine: TakeoverQuarantine | None,
        *,
        announced: bool,
        validity: float,
    ) -> None:
        """Begins to own an engine.

        Args:
            engine: Its name.
            holding: The ownership.
            quarantine: None when no other owner can have granted anything.
            announced: Whether an older owner can give no more orders.
            validity: Seconds for which a grant that was told can be accepted, with a margin.
        """
        self.engine = engine
        self.ownership = holding
        self.quarantine = quarantine
        self.announced = announced
        self.handing_over = False
        self._validity = validity
        self._number = 0
        self._asked: OrderedDict[int, float] = OrderedDict()
        self._released: OrderedDict[str, None] = OrderedDict()
        self._told: dict[str, _Told] = {}

    def may_act(self, lease: HeldLease, now: float) -> bool:
        """Tells whether the owner may grant, or give an order, now."""
        if self.handing_over or not self.announced:
            return False
        return is_confirmed(self.ownership, lease, now)

    def may_evict(self, target: AdapterVersion, now: float) -> bool:
        """Tells whether the quarantine allows a copy to go."""
        return self.quarantine is None or self.quarantine.may_evict(target, now)

    def record_grant(self, ask: str, asker: str, boot: str, now: float) -> None:
        """Notes that an asker is being told of a grant, perhaps again."""
        self._told[ask] = _Told(asker, boot, now)

    def dispatch_ids(self) -> list[str]:
        """Returns the asks that are known to be pinned, or were until lately."""
        return list(self._told)

    def requester_of(self, ask: str) -> tuple[str, str] | None:
        """Returns the asker and the process that hold a pin."""
        told = self._told.get(ask)
        return None if told is None else (told.asker, told.boot)

    def record_release(self, ask: str) -> None:
        """Remembers that a pin has ended, so that an older declaration does not bring it back."""
        self._told.pop(ask, None)
        self._released[ask] = None
        while len(self._released) > MAX_TOMBSTONES:
            self._released.popitem(last=False)

    def has_ended(self, ask: str) -> bool:
        """Tells whether a pin is known to have ended."""
        return ask in self._released

    def request_declaration(self, owner: str, now: float) -> DeclarePins:
        """Makes a request for declarations."""
        self._number += 1
        self._asked[self._number] = now
        while len(self._asked) > 100:
            self._asked.popitem(last=False)
        return DeclarePins(self.engine, owner, self.ownership.fence, self._number)

    def instances_to_query(self, now: float) -> set[str]:
        """Returns the instances that should declare: undeclared ones, and holders of old pins."""
        old = {told.asker for told in self._told.values() if told.at + self._validity < now}
        return old | set(self.quarantine.undeclared() if self.quarantine else ())

    def apply_declaration(self, held: HeldPins) -> DeclarationChanges:
        """Judges a declaration; one that was not made to this ownership changes nothing."""
        asked = self._asked.get(held.number)
        if held.fence != self.ownership.fence or asked is None:
            return DeclarationChanges()
        if self.quarantine is not None:
            self.quarantine.record_declaration(held.requester)
        listed = {pin.dispatch_id for pin in held.pins}
        gone = [
            ask
            for ask, told in self._told.items()
            if (told.asker, told.boot) == (held.requester, held.boot)
            and ask not in listed
            and told.at + self._validity < asked
        ]
        for ask in gone:
            self.record_release(ask)
        adopt = [pin for pin in held.pins if pin.dispatch_id not in self._released]
        for pin in adopt:
            self._told.setdefault(pin.dispatch_id, _Told(held.requester, held.boot, asked))
        return DeclarationChanges(tuple(adopt), tuple(gone))

    def forget(self, ask: str) -> None:
        """Forgets a pin that ended by itself: overdue, or lost with its engine's incarnation."""
        self._told.pop(ask, None)
