"""Who owns which engine of a zone: the ownership writes that an instance should try.

The wanted owner of an engine is the first of the zone's settled instances by rendezvous hash, so
every instance computes the same one without a coordinator. The ownership object in the platform is
written only when ownership moves or has to be proved again; the conditional write makes the version
of the object a fencing number that only grows.

Moves are damped: an instance counts as wanted only once it has been live for a whole term, an owner
gives away an engine only after it has had it for a whole term, and one engine at a time. A takeover
needs more: this instance's own lease must have held for a whole term, so that all others know of
it; the last owner's lease must have lapsed, also in a fresh read; and no promise to leave the last
owner alone may be in force.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from wigeonarch_core.fleet import Fleet, Ownership
from wigeonarch_core.lease import HeldLease
from wigeonarch_core.promises import PromisesGiven
from wigeonarch_core.records import VACANT
from wigeonarch_core.rendezvous import ranked


class Claim(msgspec.Struct, frozen=True):
    """Write the ownership of an engine, on condition that its version is `expected` (0: absent).

    Attributes:
        engine: Name of the engine.
        expected: Version of the ownership object.
        last: The ownership that is taken over; its owner's lease must be read afresh before the
            write. None when there is none, or when it is this process's own.
    """

    engine: str
    expected: int
    previous: Ownership | None = None


class HandOver(msgspec.Struct, frozen=True):
    """Give an owned engine to a successor."""

    engine: str
    successor: str
    expected: int


class HeldOwnership(msgspec.Struct, frozen=True):
    """An engine that this instance owns.

    Attributes:
        fence: Fencing number of the ownership.
        generation: Generation of the lease in which the ownership was written or handed over.
        since: Time since which it is owned, in seconds.
    """

    fence: int
    generation: int
    since: float


class LocalState(msgspec.Struct, frozen=True):
    """What an instance's moves depend on, besides the fleet.

    Attributes:
        lease: Its own lease.
        holdings: The engines that it owns.
        promises: Promises that it has given to other owners.
        draining: Whether it is shutting down.
        pause: Seconds for which an owned engine stays, before it is given to a wanted owner.
    """

    lease: HeldLease
    held: Mapping[str, HeldOwnership]
    promises: PromisesGiven
    draining: bool = False
    pause: float = 0.0


def plan_moves(fleet: Fleet, own: LocalState, now: float) -> list[Claim | HandOver]:
    """Returns the ownership writes that this instance should try now.

    Args:
        fleet: What is known of the deployment.
        own: How this instance stands.
        now: Time, in seconds.
    """
    if not own.lease.is_valid(now):
        return []
    moves = [_move(fleet, own, engine, now) for engine in fleet.engines_in_zone()]
    claims: list[Claim | HandOver] = [move for move in moves if isinstance(move, Claim)]
    gifts = [move for move in moves if isinstance(move, HandOver)]
    return claims + (gifts if own.draining else gifts[:1])


def is_confirmed(holding: HeldOwnership | None, lease: HeldLease, now: float) -> bool:
    """Tells whether an ownership lets this instance act now."""
    return holding is not None and holding.generation == lease.generation and lease.is_valid(now)


def may_take_over(fleet: Fleet, own: LocalState, last: Ownership, now: float) -> bool:
    """Tells whether the owner on record can no longer act and this instance may replace it."""
    if not own.lease.is_settled(now):
        return False
    if own.promises.is_in_force(last.owner, now) or fleet.has_peer_promise(last.owner, now):
        return False
    return fleet.is_vacant(last, now)


def best_successor(fleet: Fleet, engine: str, now: float) -> str | None:
    """Returns the settled instance, other than this one, that an engine would best go to."""
    others = [name for name in fleet.settled_instances_in_zone(now) if name != fleet.own_name]
    return ranked(engine, others)[0] if others else None


def _move(fleet: Fleet, own: LocalState, engine: str, now: float) -> Claim | HandOver | None:
    held = fleet.owners.get(engine)
    if held is None or held.owner == VACANT:
        # Nobody acts there; what the last owner granted is what a claim's quarantine is for.
        first = ranked(engine, fleet.live_instances_in_zone(now))[0]
        expected = 0 if held is None else held.fence
        return Claim(engine, expected) if first == fleet.own_name and not own.draining else None
    if held.owner == fleet.own_name and held.boot == fleet.boot:
        return _keep_or_give(fleet, own, engine, held, now)
    if own.draining or not may_take_over(fleet, own, held, now):
        return None
    wanted = ranked(engine, [fleet.own_name, *_others(fleet, now)])[0]
    return Claim(engine, held.fence, held) if wanted == fleet.own_name else None


def _keep_or_give(
    fleet: Fleet, own: LocalState, engine: str, held: Ownership, now: float
) -> Claim | HandOver | None:
    holding = own.held.get(engine)
    if holding is None or not is_confirmed(holding, own.lease, now):
        return None if own.draining else Claim(engine, held.fence)
    to = best_successor(fleet, engine, now)
    if to is None:
        return None
    if own.draining:
        return HandOver(engine, to, holding.fence)
    wanted = ranked(engine, [fleet.own_name, *_others(fleet, now)])[0]
    if wanted == fleet.own_name or now < holding.since + own.pause:
        return None
    return HandOver(engine, wanted, holding.fence)


def _others(fleet: Fleet, now: float) -> list[str]:
    return [name for name in fleet.settled_instances_in_zone(now) if name != fleet.own_name]
