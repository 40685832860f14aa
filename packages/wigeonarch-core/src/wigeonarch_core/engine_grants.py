"""What an owner has granted on one engine, and whether it may grant and give orders there.

A pin whose requester never releases it would stay until its hard deadline. So the owner regularly
asks the requesters which pins they still hold. A declaration is complete, so a pin that it does not
list has ended, provided that its grant was sent so long before the owner asked that the requester
can no longer accept it. Pins of an earlier process of the requester are kept, because the new
process knows nothing of them.
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

MAX_TOMBSTONES: Final = 10_000  # Dispatch ids of ended pins that are remembered per engine.


@dataclass(slots=True)
class _SentGrant:
    """To which process a grant was last sent, and when (seconds)."""

    requester: str
    boot: str
    sent_at: float


class DeclarationChanges(msgspec.Struct, frozen=True):
    """What a declaration of pins changes.

    Attributes:
        adopt: Pins that the owner must add.
        ended: Dispatch ids of the pins that have ended.
    """

    adopt: tuple[HeldPin, ...] = ()
    ended: tuple[str, ...] = ()


class EngineGrants:
    """The owner's record of one engine: its ownership, its quarantine and who holds its grants.

    Attributes:
        engine: Name of the engine.
        ownership: This instance's ownership of the engine.
        quarantine: None if the engine had no owner before, or its last owner handed it over.
        announced: Whether the engine has seen this ownership's fencing token, if it checks tokens;
            until then it could still accept an order of an earlier owner. True for engines that
            don't check.
        handing_over: Whether the engine is being handed over; nothing is granted or ordered then.
    """

    __slots__ = (
        "_declaration_count",
        "_declarations_asked_at",
        "_grant_validity",
        "_sent_grants",
        "_tombstones",
        "announced",
        "engine",
        "handing_over",
        "ownership",
        "quarantine",
    )

    def __init__(
        self,
        engine: str,
        ownership: HeldOwnership,
        quarantine: TakeoverQuarantine | None,
        *,
        announced: bool,
        validity: float,
    ) -> None:
        """Starts the record of a newly owned engine.

        Args:
            engine: Name of the engine.
            ownership: This instance's ownership of it.
            quarantine: None if no other owner can have granted anything.
            announced: Whether no earlier owner can give orders any more.
            validity: Seconds after its sending in which a grant can be accepted, with a margin.
        """
        self.engine = engine
        self.ownership = ownership
        self.quarantine = quarantine
        self.announced = announced
        self.handing_over = False
        self._grant_validity = validity
        self._declaration_count = 0
        self._declarations_asked_at: OrderedDict[int, float] = OrderedDict()
        self._tombstones: OrderedDict[str, None] = OrderedDict()
        self._sent_grants: dict[str, _SentGrant] = {}

    def may_act(self, lease: HeldLease, now: float) -> bool:
        """Returns whether the owner may grant or give an order now."""
        if self.handing_over or not self.announced:
            return False
        return is_confirmed(self.ownership, lease, now)

    def may_evict(self, target: AdapterVersion, now: float) -> bool:
        """Returns whether the quarantine allows evicting an adapter version."""
        return self.quarantine is None or self.quarantine.may_evict(target, now)

    def record_grant(self, dispatch_id: str, requester: str, boot: str, now: float) -> None:
        """Records that a grant is being sent to a requester, perhaps again."""
        self._sent_grants[dispatch_id] = _SentGrant(requester, boot, now)

    def dispatch_ids(self) -> list[str]:
        """Returns the dispatch ids of all sent grants that are not known to have ended."""
        return list(self._sent_grants)

    def requester_of(self, dispatch_id: str) -> tuple[str, str] | None:
        """Returns a pin's requester, as its name and its process's nonce; None if unknown."""
        grant = self._sent_grants.get(dispatch_id)
        return None if grant is None else (grant.requester, grant.boot)

    def record_release(self, dispatch_id: str) -> None:
        """Records that a pin has ended, so that an older declaration does not bring it back."""
        self._sent_grants.pop(dispatch_id, None)
        self._tombstones[dispatch_id] = None
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)

    def has_ended(self, dispatch_id: str) -> bool:
        """Returns whether a pin is known to have ended."""
        return dispatch_id in self._tombstones

    def request_declaration(self, owner: str, now: float) -> DeclarePins:
        """Returns a new message that asks requesters to declare their pins."""
        self._declaration_count += 1
        self._declarations_asked_at[self._declaration_count] = now
        while len(self._declarations_asked_at) > 100:
            self._declarations_asked_at.popitem(last=False)
        return DeclarePins(self.engine, owner, self.ownership.fence, self._declaration_count)

    def instances_to_query(self, now: float) -> set[str]:
        """Returns the instances to ask: undeclared ones and requesters of old grants."""
        old = {
            grant.requester
            for grant in self._sent_grants.values()
            if grant.sent_at + self._grant_validity < now
        }
        return old | set(self.quarantine.undeclared() if self.quarantine else ())

    def apply_declaration(self, declaration: HeldPins) -> DeclarationChanges:
        """Applies a declaration, unless it answers another ownership's request."""
        asked_at = self._declarations_asked_at.get(declaration.number)
        if declaration.fence != self.ownership.fence or asked_at is None:
            return DeclarationChanges()
        if self.quarantine is not None:
            self.quarantine.record_declaration(declaration.requester)
        listed_ids = {pin.dispatch_id for pin in declaration.pins}
        ended = [
            dispatch_id
            for dispatch_id, grant in self._sent_grants.items()
            if (grant.requester, grant.boot) == (declaration.requester, declaration.boot)
            and dispatch_id not in listed_ids
            and grant.sent_at + self._grant_validity < asked_at
        ]
        for dispatch_id in ended:
            self.record_release(dispatch_id)
        adopt = [pin for pin in declaration.pins if pin.dispatch_id not in self._tombstones]
        for pin in adopt:
            self._sent_grants.setdefault(
                pin.dispatch_id, _SentGrant(declaration.requester, declaration.boot, asked_at)
            )
        return DeclarationChanges(tuple(adopt), tuple(ended))

    def forget(self, dispatch_id: str) -> None:
        """Forgets a pin that was not released but is overdue or was lost in an engine restart."""
        self._sent_grants.pop(dispatch_id, None)
