"""Chooses the instance to which a request is handed over that can't be served here.

Keeps the work in the availability zone as long as its instances there are not burdened much more
than others, so that one neighbour does not carry the requests of a whole zone.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

# Requests in progress by which a peer in the own zone may have more than one in another zone.
FAR_COST: Final = 4


@dataclass(frozen=True, slots=True)
class PeerState:
    """An instance that may serve a request.

    Attributes:
        name: Its name.
        same_zone: Whether it is in the availability zone of this instance.
        in_progress: Requests that this instance handed over to it and that have not ended.
    """

    name: str
    same_zone: bool
    in_progress: int


def choose_peer(peers: Sequence[PeerState], tie_breaker: Callable[[], float]) -> str:
    """Returns the name of the peer that is best for a request; empty if there is none."""
    if not peers:
        return ""

    def cost(peer: PeerState) -> tuple[int, float]:
        return peer.in_progress + (0 if peer.same_zone else FAR_COST), tie_breaker()

    return min(peers, key=cost).name
