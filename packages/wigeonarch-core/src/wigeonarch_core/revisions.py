"""Revisions that only rise, of a store that may be restored from an older copy.

After such a restore the store assigns some revisions a second time, but it also counts its
restores: this count is its *era*. Era and revision together only rise, so here they are combined in
one number with the era in the upper bits. Code that uses this number for ordering, fencing or
deduplication (feeds, leases, fencing tokens) need not know about eras. A store that reports no era
has era 0, and the number is then its revision.
"""

from __future__ import annotations

from typing import Final

# Number of revisions per era: at 3,000 writes a second an era lasts eleven years. The combined
# numbers of 8,000 eras are exact as floating-point numbers, which a JSON reader may use for a
# fencing token.
REVISIONS_PER_ERA: Final = 1 << 40


def global_revision(era: int, revision: int) -> int:
    """Returns a store's revision combined with its era, as a number that rises over eras."""
    return era * REVISIONS_PER_ERA + revision


def era_of(combined: int) -> int:
    """Returns the era of a combined number."""
    return combined // REVISIONS_PER_ERA


def store_revision(combined: int) -> int:
    """Returns the store's own revision of a combined number."""
    return combined % REVISIONS_PER_ERA
