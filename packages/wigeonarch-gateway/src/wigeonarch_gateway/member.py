"""Another instance, as its heartbeats describe it."""

from __future__ import annotations

from dataclasses import dataclass

from wigeonarch_core.engine_places import AdapterName
from wigeonarch_core.store_contact import Contact

from wigeonarch_gateway.messages import Heartbeat


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
    has_lease: bool
    first_heartbeat: float
    last_heartbeat: float
    adapters_in_use: dict[str, list[AdapterName]]
    store_contact: Contact | None
    started: float


def store_contact_of(heartbeat: Heartbeat, now: float) -> Contact | None:
    """Returns the sender's contact with the store by this instance's clock."""
    if heartbeat.store_contact_ms is None:
        return None
    return Contact(
        now - heartbeat.store_contact_ms / 1000, now - heartbeat.store_answered_ms / 1000
    )
