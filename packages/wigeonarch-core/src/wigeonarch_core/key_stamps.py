"""Age of idempotency keys, and how long their records are kept.

A record is kept for the retention time plus a margin. Once it is gone, nobody can know whether its
key was ever used, so from then on the key must be refused. That requires the key to state its age:
keys made here contain the Unix time at which they were made, and callers may make such keys
themselves. A caller that makes keys without a timestamp must not reuse one after the retention
time.

Why it is safe: a key with a timestamp is accepted while it is younger than the retention time and
not farther in the future than the allowed clock skew. So its record is created no earlier than the
skew before the timestamp, and is purged only after retention plus margin. As the margin is twice
the skew, every clock that is right within half the skew refuses the key before any clock purges the
record.
"""

from __future__ import annotations

from typing import Final

from wigeonarch_core.records import KeyRecord

PREFIX: Final = "wk1"
MARGIN_SHARE: Final = 1 / 7  # Share of the retention time: a day in a week.
SKEW_SHARE: Final = MARGIN_SHARE / 2  # Allowed clock skew, as a share of the retention time.


def make_key(now: float, nonce: str) -> str:
    """Returns a key with a timestamp, for example `wk1-692f1a80-4be2`; `now` is the Unix time."""
    return f"{PREFIX}-{int(now):08x}-{nonce}"


def made_at(key: str) -> float | None:
    """Returns the Unix time at which a key was made; None if the key has no timestamp."""
    prefix, _, rest = key.partition("-")
    stamp, dash, _ = rest.partition("-")
    if prefix != PREFIX or not dash:
        return None
    try:
        return float(int(stamp, 16))
    except ValueError:
        return None


def is_usable(key: str, now: float, retention: float) -> bool:
    """Tells whether the record of a key, if there was one, is certainly still kept.

    Args:
        key: The key.
        now: Unix time.
        retention: Seconds for which records are kept.
    """
    made = made_at(key)
    return made is None or -retention * SKEW_SHARE <= now - made <= retention


def expiry(now: float, retention: float) -> float:
    """Returns the Unix time from which a record made now may be purged."""
    return now + retention * (1 + MARGIN_SHARE)


def is_purgeable(record: KeyRecord, now: float) -> bool:
    """Tells whether a record may be deleted; `now` is Unix time."""
    return now > record.expires
