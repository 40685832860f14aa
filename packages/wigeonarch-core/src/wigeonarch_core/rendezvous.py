"""Rendezvous hashing: which member a key belongs to, without a table to spread.

Every instance that sees the same members computes the same order, and a member that comes or goes
moves only the keys that it wins or held. Used for the home engines of an adapter, the wanted owner
of an engine and the holder of the turn to load.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import xxhash

KEY_SEPARATOR: Final = "\x00"


def score(key: str, member: str) -> int:
    """Returns the weight of a member for a key; the member with the greatest one is first."""
    return xxhash.xxh3_64_intdigest(f"{key}{KEY_SEPARATOR}{member}".encode())


def ranked(key: str, members: Sequence[str]) -> list[str]:
    """Returns the members in the order of preference for a key."""
    return sorted(members, key=lambda member: (-score(key, member), member))
