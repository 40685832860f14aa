"""Prefix cache of the engine stand-in, whose events arrive late and with gaps."""

from __future__ import annotations

import time
from collections import OrderedDict, deque
from typing import Final

import xxhash

from wigeonarch_fakes.engine_documents import CacheEvent

PREFIX_CHARS: Final = 256
EVENTS_PER_GAP: Final = 5
MAX_EVENTS: Final = 10_000


def prefix_digest(prompt: str) -> int:
    """Return the digest of a prompt's first block, which identifies the prefix in cache events."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARS].encode())


class PrefixCache:
    """LRU cache of prompt prefixes.

    Events become visible only after a lag, and every `EVENTS_PER_GAP`-th event is lost, so that
    callers must tolerate gaps.
    """

    def __init__(self, entries: int, lag_s: float) -> None:
        self._entries = entries
        self._lag_s = lag_s
        self._prefixes: OrderedDict[int, None] = OrderedDict()
        self._seq = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)

    def touch(self, prefix: int) -> bool:
        """Mark a prefix as used, storing it if necessary; return whether it was cached."""
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            return True
        if self._entries <= 0:
            return False
        if len(self._prefixes) >= self._entries:
            self._add_event("dropped", self._prefixes.popitem(last=False)[0])
        self._prefixes[prefix] = None
        self._add_event("stored", prefix)
        return False

    def events(self, after: int) -> list[CacheEvent]:
        """Return the events numbered above ``after`` that are old enough to be visible."""
        until = time.monotonic() - self._lag_s
        return [event for at, event in self._events if at <= until and event.seq > after]

    def prefixes(self) -> list[int]:
        """Return the digests of the cached prefixes, least recently used first."""
        return list(self._prefixes)

    def _add_event(self, kind: str, prefix: int) -> None:
        self._seq += 1
        if self._seq % EVENTS_PER_GAP:
            self._events.append((time.monotonic(), CacheEvent(self._seq, kind, prefix)))
