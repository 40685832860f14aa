"""Rendezvous hashing: assigns keys to members without a shared table.

Every instance that sees the same members computes the same order for a key. A member that joins or
leaves moves only the keys that it ranks first for. Used for the home engines of an adapter, the
preferred owner of an engine and the load permit coordinator.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import xxhash

KEY_SEPARATOR: Final = "\x00"
SCORES: Final = 2.0**64  # Number of possible scores.


def score(key: str, member: str) -> int:
    """Returns the score of a member for a key; the member with the highest score is preferred."""
    return xxhash.xxh3_64_intdigest(f"{key}{KEY_SEPARATOR}{member}".encode())


def aversion(key: str, member: str) -> float:
    """Returns how little a member is preferred for a key: uniform in [0, 1], 0 for the most."""
    return 1.0 - score(key, member) / SCORES


def ranked(key: str, members: Sequence[str]) -> list[str]:
    """Returns the members in their order of preference for a key."""
    return sorted(members, key=lambda member: (-score(key, member), member))
