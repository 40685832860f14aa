"""Another instance, as its heartbeats describe it."""

from __future__ import annotations

from dataclasses import dataclass

from wigeonarch_core.engine_places import AdapterName
from wigeonarch_core.store_contact import Contact

from wigeonarch_gateway.messages import Beat


@dataclass(slots=True)
class Member:
    """Another instance, as its last heartbeat described it; `since` is its first one's time.

    The contact is its contact with the store, by this instance's clock: later than it was by the
    time that the heartbeat took. So is its start, which all know alike.
    """

    name: str
    incarnation: str
    address: str
    zone: str
    leaving: bool
    holds: bool
    since: float
    heard: float
    uses: dict[str, list[AdapterName]]
    contact: Contact | None
    started: float


def contact_of(beat: Beat, now: float) -> Contact | None:
    """Returns the sender's contact with the store by this instance's clock."""
    if beat.contact_ms is None:
        return None
    return Contact(now - beat.contact_ms / 1000, now - beat.answered_ms / 1000)
