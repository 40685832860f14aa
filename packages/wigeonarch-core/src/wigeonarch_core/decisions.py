"""What a scheduler decides, as values; the task that owns the engine's connections acts on them."""

from __future__ import annotations

import msgspec

from wigeonarch_core.outcomes import Reason
from wigeonarch_core.refs import AdapterVersion


class Grant(msgspec.Struct, frozen=True):
    """The ask may run now; its adapter version is pinned.

    Attributes:
        ask: The ask.
        asker: Instance to tell.
        waited: Seconds the ask waited.
        stalled: The part of it spent waiting for a load.
    """

    dispatch_id: str
    requester: str
    waited: float
    stalled: float


class Refuse(msgspec.Struct, frozen=True):
    """The ask will not be granted here.

    Attributes:
        ask: The ask.
        asker: Instance to tell.
        reason: Why.
        retry_after: Seconds after which a new try makes sense.
    """

    dispatch_id: str
    requester: str
    reason: Reason
    retry_after: float


class Bid(msgspec.Struct, frozen=True):
    """The load that an engine wants most.

    Attributes:
        target: Adapter version to load.
        value: Stall seconds saved per second of weight store.
        victim: Adapter version to evict first; None when a slot is free.
    """

    target: AdapterVersion
    value: float
    victim: AdapterVersion | None


class StartLoad(msgspec.Struct, frozen=True):
    """Orders to give to the engine: evict `victim` if there is one, then load `target`."""

    target: AdapterVersion
    victim: AdapterVersion | None
