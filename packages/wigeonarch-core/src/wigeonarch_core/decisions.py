"""Decisions of a scheduler, as values; executed by the task that owns the engine's connections."""

from __future__ import annotations

import msgspec

from wigeonarch_core.outcomes import Reason
from wigeonarch_core.refs import AdapterVersion


class Grant(msgspec.Struct, frozen=True):
    """A granted request: it may be sent to the engine, and its adapter version is pinned.

    Attributes:
        dispatch_id: Identifies the grant request.
        requester: Instance to notify.
        waited: Seconds that the grant request waited.
        stalled: The part of `waited` that was spent waiting for an adapter load.
    """

    dispatch_id: str
    requester: str
    waited: float
    stalled: float


class Refuse(msgspec.Struct, frozen=True):
    """A grant request that this owner will not grant.

    Attributes:
        dispatch_id: Identifies the grant request.
        requester: Instance to notify.
        reason: Why it is refused.
        retry_after: Seconds after which the caller should try again.
    """

    dispatch_id: str
    requester: str
    reason: Reason
    retry_after: float


class Bid(msgspec.Struct, frozen=True):
    """The load that is worth most to an engine; the engines' bids compete for load permits.

    Attributes:
        target: Adapter version to load.
        value: Seconds of waiting saved per second of loading from the weight store.
        victim: Adapter version to evict first; None when a slot is free.
    """

    target: AdapterVersion
    value: float
    victim: AdapterVersion | None


class StartLoad(msgspec.Struct, frozen=True):
    """Orders for an engine: evict `victim` unless it is None, then load `target`."""

    target: AdapterVersion
    victim: AdapterVersion | None
