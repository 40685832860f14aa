"""What is known of another instance from its heartbeats."""

from __future__ import annotations

from dataclasses import dataclass

from wigeonarch_core.engine_places import AdapterName
from wigeonarch_core.store_contact import Contact

from wigeonarch_gateway.messages import Heartbeat


@dataclass(slots=True)
class Member:
    """Another instance, as its last heartbeat described it.

    Attributes:
        name: Name of the instance.
        incarnation: Incarnation of its process.
        address: Its address for messages.
        zone: Its availability zone.
        leaving: Whether it is shutting down.
        has_lease: Whether its lease was in force.
        first_heartbeat: Time of the first heartbeat of its incarnation.
        last_heartbeat: Time of its last heartbeat.
        adapters_in_use: Adapters that it uses at the endpoints owned here, by endpoint.
        uses_told_at: Time at which it last told of these.
        loads_told_at: Time at which it last told of its load at endpoints.
        store_contact: Its contact with the store, by this instance's clock: later than it really
            was by the heartbeat's transit time. None if the store has not answered it yet.
        started: Time of its start, by this instance's clock and late by the transit time; all
            instances know it alike.
        lost_services: Services of which it reaches no endpoint.
    """

    name: str
    incarnation: str
    address: str
    zone: str
    leaving: bool
    has_lease: bool
    first_heartbeat: float
    last_heartbeat: float
    adapters_in_use: dict[str, set[AdapterName]]
    uses_told_at: float
    loads_told_at: float
    store_contact: Contact | None
    started: float
    lost_services: frozenset[str] = frozenset()


def store_contact_of(heartbeat: Heartbeat, now: float) -> Contact | None:
    """Returns the sender's contact with the store, by this instance's clock."""
    if heartbeat.store_contact_ms is None:
        return None
    return Contact(
        now - heartbeat.store_contact_ms / 1000, now - heartbeat.store_answered_ms / 1000
    )
