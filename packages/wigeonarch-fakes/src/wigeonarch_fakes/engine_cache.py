"""Prefix cache of the engine stand-in, with events that come late and have gaps."""

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
    """Return the digest of a prompt's first block, as cache events name it."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARS].encode())


class PrefixCache:
    """The prefixes held, least recently used first, with late events that have gaps."""

    def __init__(self, entries: int, lag_s: float) -> None:
        self._entries = entries
        self._lag_s = lag_s
        self._held: OrderedDict[int, None] = OrderedDict()
        self._seq = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)

    def touch(self, prefix: int) -> bool:
        """Use a prefix, storing it if needed; say whether it was held."""
        if prefix in self._held:
            self._held.move_to_end(prefix)
            return True
        if self._entries <= 0:
            return False
        if len(self._held) >= self._entries:
            self._add_event("dropped", self._held.popitem(last=False)[0])
        self._held[prefix] = None
        self._add_event("stored", prefix)
        return False

    def events(self, after: int) -> list[CacheEvent]:
        """Return the events after a number that are old enough to be seen."""
        until = time.monotonic() - self._lag_s
        return [event for at, event in self._events if at <= until and event.seq > after]

    def prefixes(self) -> list[int]:
        """Return the prefixes held."""
        return list(self._held)

    def _add_event(self, kind: str, prefix: int) -> None:
        self._seq += 1
        if self._seq % EVENTS_PER_GAP:
            self._events.append((time.monotonic(), CacheEvent(self._seq, kind, prefix)))
