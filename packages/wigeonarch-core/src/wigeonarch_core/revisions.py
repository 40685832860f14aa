"""Revisions of a store that may come back from an older copy, in an order that never goes back.

Such a store gives revisions out again, but says how often it came back: its era. Era and revision
together only rise, so here they are one number, the era in the upper bits. Whatever orders, fences
or remembers by it (feeds, leases, fencing numbers) needs no word of eras. A store that names no era
has era 0, and the number is its revision.
"""

from __future__ import annotations

from typing import Final

# Revisions of an era: at 3,000 writes a second it lasts eleven years. The numbers of 8,000 eras are
# exact as floating-point numbers, as which a reader of JSON may take a fencing number.
REVISIONS_PER_ERA: Final = 1 << 40


def global_revision(era: int, revision: int) -> int:
    """Returns a store's revision as a number that rises over eras."""
    return era * REVISIONS_PER_ERA + revision


def era_of(revision: int) -> int:
    """Returns the era of such a number."""
    return revision // REVISIONS_PER_ERA


def store_revision(revision: int) -> int:
    """Returns the store's own revision of such a number."""
    return revision % REVISIONS_PER_ERA
