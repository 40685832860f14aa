"""Decides which instance owns which engine of a zone, as the ownership writes to try.

The wanted owner of an engine is the first of the zone's settled instances by rendezvous hashing, so
every instance computes the same one without a coordinator. The ownership object in the platform is
written only when the ownership moves or must be confirmed again. Since the write is conditional,
the version of the object serves as a fencing token that only grows.

Moves are damped. An instance becomes a wanted owner only after its lease has held for a whole term
(it is *settled*). An owner keeps an engine for `LocalState.pause` before it gives it to another
wanted owner, and gives away one engine at a time unless it is shutting down. A takeover needs more:
this instance's own lease must have held for a whole term, so that all others know of it; the last
owner's lease must have lapsed, also in a fresh read; and no promise to leave the last owner alone
may be in force.
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
    """A write of an engine's ownership, on condition of the ownership object's version.

    Attributes:
        engine: Name of the engine.
        expected: Version that the object must have; 0 if it must not exist.
        previous: The ownership to take over; its owner's lease must be read afresh before the
            write. None if there is none, or if it is this process's own.
    """

    engine: str
    expected: int
    previous: Ownership | None = None


class HandOver(msgspec.Struct, frozen=True):
    """A move of an owned engine to a successor, on condition of the ownership object's version.

    Attributes:
        engine: Name of the engine.
        successor: Name of the new owner.
        expected: Version that the object must have.
    """

    engine: str
    successor: str
    expected: int


class HeldOwnership(msgspec.Struct, frozen=True):
    """This instance's ownership of an engine.

    Attributes:
        fence: Fencing token of the ownership.
        generation: Generation of the lease in which the ownership was written or handed over.
        since: Time since which the engine is owned, in seconds.
    """

    fence: int
    generation: int
    since: float


class LocalState(msgspec.Struct, frozen=True):
    """This instance's own state, as far as its ownership moves depend on it.

    Attributes:
        lease: Its own lease.
        held: The engines that it owns, by name.
        promises: Promises that it has given to other owners.
        draining: Whether it is shutting down.
        pause: Seconds for which it keeps an engine before it gives it to the wanted owner.
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
        own: State of this instance.
        now: Time, in seconds.
    """
    if not own.lease.is_valid(now):
        return []
    moves = [_plan_move(fleet, own, engine, now) for engine in fleet.engines_in_zone()]
    claims: list[Claim | HandOver] = [move for move in moves if isinstance(move, Claim)]
    handovers = [move for move in moves if isinstance(move, HandOver)]
    return claims + (handovers if own.draining else handovers[:1])


def is_confirmed(ownership: HeldOwnership | None, lease: HeldLease, now: float) -> bool:
    """Returns whether an ownership lets this instance act now.

    It does if it was written in the current generation of a valid lease.
    """
    return (
        ownership is not None and ownership.generation == lease.generation and lease.is_valid(now)
    )


def may_take_over(fleet: Fleet, own: LocalState, ownership: Ownership, now: float) -> bool:
    """Returns whether the recorded owner can no longer act and this instance may replace it."""
    if not own.lease.is_settled(now):
        return False
    if own.promises.is_in_force(ownership.owner, now) or fleet.has_peer_promise(
        ownership.owner, now
    ):
        return False
    return fleet.is_vacant(ownership, now)


def best_successor(fleet: Fleet, engine: str, now: float) -> str | None:
    """Returns the settled instance, other than this one, that should get an engine, if any."""
    others = [name for name in fleet.settled_instances_in_zone(now) if name != fleet.own_name]
    return ranked(engine, others)[0] if others else None


def _plan_move(fleet: Fleet, own: LocalState, engine: str, now: float) -> Claim | HandOver | None:
    ownership = fleet.owners.get(engine)
    if ownership is None or ownership.owner == VACANT:
        # No owner acts on the engine. What the last one granted is protected by the quarantine that
        # follows a claim.
        preferred = ranked(engine, fleet.live_instances_in_zone(now))[0]
        expected = 0 if ownership is None else ownership.fence
        return Claim(engine, expected) if preferred == fleet.own_name and not own.draining else None
    if ownership.owner == fleet.own_name and ownership.boot == fleet.boot:
        return _keep_or_hand_over(fleet, own, engine, ownership, now)
    if own.draining or not may_take_over(fleet, own, ownership, now):
        return None
    wanted = ranked(engine, [fleet.own_name, *_settled_others(fleet, now)])[0]
    return Claim(engine, ownership.fence, ownership) if wanted == fleet.own_name else None


def _keep_or_hand_over(
    fleet: Fleet, own: LocalState, engine: str, recorded: Ownership, now: float
) -> Claim | HandOver | None:
    ownership = own.held.get(engine)
    if ownership is None or not is_confirmed(ownership, own.lease, now):
        return None if own.draining else Claim(engine, recorded.fence)
    to = best_successor(fleet, engine, now)
    if to is None:
        return None
    if own.draining:
        return HandOver(engine, to, ownership.fence)
    wanted = ranked(engine, [fleet.own_name, *_settled_others(fleet, now)])[0]
    if wanted == fleet.own_name or now < ownership.since + own.pause:
        return None
    return HandOver(engine, wanted, ownership.fence)


def _settled_others(fleet: Fleet, now: float) -> list[str]:
    return [name for name in fleet.settled_instances_in_zone(now) if name != fleet.own_name]
