"""What began each stream, and which software can have begun one that nobody remembers.

Endpoints of a service may run several versions of their software side by side. What two versions
write does not fit together, so a stream goes on only at the service and software that began it.
Unknown software is like no other, so it is described by its endpoint and incarnation.

`OriginMemory` keeps what began the streams that an instance has heard of. `SoftwareHistory` keeps
which software the endpoints of each service have run, and proves that a stream which nobody
remembers can have only one origin. The proof holds because of two waits:

    age of the state that an instance relies on < settling time
    time for which software is known before streams begin there >= settling time

So software that is not in an instance's state yet has begun no stream that may be resumed.

An instance knows by itself only what ran since its state was first confirmed, and after a gap,
since it was confirmed again. Of the time before, it relies on what all instances have stored: each
one, of its own streams, the software at which they may have begun (`Evidence`). That is safe
because of three orders:

    an instance's record of a software is stored < its first stream begins there
    state of the endpoints confirmed < evidence requested, and answered by the store itself
    record of the last incarnation is known < the first record of the next one replaces it

So what began before the evidence was read is in the evidence, and what began later ran when the
state was confirmed or after. A service of which nobody has stored anything has begun no stream.

The wait for all instances, and the first order, are given up where no other endpoint can take a
stream; the wait also at an endpoint that restarted under its id before its record followed. Such a
stream is known to those who were told of it, and only if they are all lost can the proof be wrong.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

# Seconds for which a stream's origin is kept: longer than callers wait for a stream to end.
ORIGIN_TTL: Final = 60.0
MAX_ORIGINS: Final = 20_000  # Origins kept at most, of which the oldest go first.
KEY_BYTES: Final = 12
SEPARATOR: Final = b"\0"
KNOWN_MARK: Final = "="
UNKNOWN_MARK: Final = "?"
SEVERAL: Final = ""  # In place of a software: there were several.
NEVER: Final = float("-inf")  # Before all times.


@dataclass(frozen=True, slots=True)
class Origin:
    """What began a stream.

    Attributes:
        service: The service.
        software: Its endpoint's software, as `describe_software` returns it.
    """

    service: str
    software: str


def describe_software(version: str, endpoint: str, born: int) -> str:
    """Returns a description that is equal only for endpoints that are proved to be alike.

    Args:
        version: Version of the endpoint's software; empty if unknown.
        endpoint: Id of the endpoint.
        born: Start time of its incarnation; 0 if unknown.
    """
    if version:
        return KNOWN_MARK + version
    return f"{UNKNOWN_MARK}{endpoint}/{born}"


def stream_key(team: str, content: str, model: str, attempt: str) -> bytes:
    """Returns the key under which the origin of a stream is kept.

    It contains all that makes a stream a caller's own, so that nobody learns of, or takes up, the
    stream of another team, route or adapter by naming its attempt.

    Args:
        team: Name of the team; empty for none.
        content: Content key of the request.
        model: Model and adapter.
        attempt: Id of the caller's attempt.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (team, content, model, attempt):
        digest.update(part.encode("utf-8", "replace"))
        digest.update(SEPARATOR)
    return digest.digest()


@dataclass(slots=True)
class _Entry:
    """The origin of a stream; None if several were told. The time is in seconds."""

    origin: Origin | None
    at: float


class OriginMemory:
    """The origins of streams that began lately."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, key: bytes, origin: Origin, now: float) -> None:
        """Records what began a stream; of two that use one key, neither is known any more."""
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = _Entry(origin, now)
        else:
            entry.at = now
            if entry.origin != origin:
                entry.origin = None
        self._entries.move_to_end(key)
        self.expire(now)

    def knows(self, key: bytes) -> bool:
        """Tells whether anything is known of a stream."""
        return key in self._entries

    def find(self, key: bytes) -> Origin | None:
        """Returns what began a stream; None if that is unknown or ambiguous."""
        entry = self._entries.get(key)
        return entry.origin if entry is not None else None

    def expire(self, now: float) -> None:
        """Forgets what is too old or too much."""
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if now - entry.at < ORIGIN_TTL and len(self._entries) <= MAX_ORIGINS:
                return
            del self._entries[key]


@dataclass(frozen=True, slots=True)
class Evidence:
    """At which software streams of a service may have begun, as instances have stored it.

    Attributes:
        software: The software that ran last; `SEVERAL` if there were several.
        mixed_at: Time until which there may have been several, in seconds.
    """

    software: str
    mixed_at: float = NEVER


def combine_evidence(found: Iterable[tuple[str, Evidence]]) -> dict[str, Evidence]:
    """Returns the evidence of several instances on each service."""
    combined: dict[str, Evidence] = {}
    for service, one in found:
        other = combined.get(service, one)
        software = one.software if one.software == other.software else SEVERAL
        combined[service] = Evidence(software, max(one.mixed_at, other.mixed_at))
    return combined


class SoftwareHistory:
    """Which software the endpoints of each service have run, as one instance has seen it."""

    __slots__ = (
        "_adopted_at",
        "_before",
        "_complete_since",
        "_first_seen",
        "_is_current",
        "_mixed_at",
        "_present",
        "_settling_time",
    )

    def __init__(self, settling_time: float, now: float) -> None:
        """Creates an empty history.

        Args:
            settling_time: Seconds by which the state relied on may be old, at most.
            now: The time, in seconds.
        """
        self._settling_time = settling_time
        self._first_seen: dict[str, dict[str, float]] = {}
        self._present: dict[str, frozenset[str]] = {}
        self._mixed_at: dict[str, float] = {}
        self._complete_since = now
        self._is_current = False  # Whether the state was confirmed lately.
        self._before: dict[str, Evidence] | None = None  # Of the time before that.
        self._adopted_at = NEVER

    def observe(self, services: Mapping[str, Collection[str]], age: float, now: float) -> None:
        """Records the software that runs now.

        Args:
            services: Software of the endpoints of each service.
            age: Seconds since the store last confirmed that.
            now: The time, in seconds.
        """
        is_current = age < self._settling_time
        if not (is_current and self._is_current):
            self._complete_since = now
            self._before = None
        self._is_current = is_current
        for service, software in services.items():
            self._observe_service(service, frozenset(software), now)

    def _observe_service(self, service: str, present: frozenset[str], now: float) -> None:
        if len(present) > 1:
            self._mixed_at[service] = now
        if present == self._present.get(service):
            return
        self._present[service] = present
        seen = self._first_seen.get(service)
        if seen is None:
            # What the first look shows may have run for long.
            self._first_seen[service] = dict.fromkeys(present, NEVER)
            return
        new = present - seen.keys()
        if new:
            self._mixed_at[service] = now
        self._first_seen[service] = {name: seen.get(name, now) for name in present} or seen

    def needs_evidence(self) -> bool:
        """Tells whether the state is confirmed, but nothing is known of the time before."""
        return self._is_current and self._before is None

    def adopt(self, evidence: Mapping[str, Evidence], requested_at: float, now: float) -> None:
        """Takes over what all instances have stored of the time before the state was confirmed.

        Args:
            evidence: What is stored of each service; none for one of which nothing is.
            requested_at: Time at which it was requested, in seconds. Evidence that was requested
                earlier than the state was confirmed is not relied on.
            now: The time, in seconds.
        """
        if self._is_current and requested_at >= self._complete_since:
            self._before = dict(evidence)
            self._adopted_at = now

    def note_mixed(self, service: str, at: float) -> None:
        """Records that streams may have begun at several versions until some time."""
        self._mixed_at[service] = max(at, self._mixed_at.get(service, at))

    def present(self, service: str) -> frozenset[str]:
        """Returns the software that runs; what ran last if no endpoint is there."""
        return self._present.get(service, frozenset())

    def mixed_at(self, now: float) -> dict[str, float]:
        """Returns the services that have run several versions lately, and when they last did."""
        return {s: at for s, at in self._mixed_at.items() if now - at < ORIGIN_TTL}

    def is_settled(self, service: str, software: str, now: float) -> bool:
        """Tells whether all instances whose state is recent know of a software."""
        first = self._first_seen.get(service, {}).get(software)
        return first is not None and now - first >= self._settling_time

    def only_origin(self, service: str, window: float, now: float) -> Origin | None:
        """Returns the only origin that a service's streams of the last seconds can have.

        Args:
            service: The service.
            window: Seconds in which a stream may have begun.
            now: The time, in seconds.
        """
        present = self.present(service)
        if len(present) != 1:
            return None
        software = next(iter(present))
        unlike_until = max(
            self._unseen_until(service, software), self._mixed_at.get(service, NEVER)
        )
        return None if now - unlike_until < window else Origin(service, software)

    def _unseen_until(self, service: str, software: str) -> float:
        """Returns the time until which streams may have begun elsewhere without being seen here."""
        if self._before is None:
            return self._complete_since
        found = self._before.get(service)
        if found is None:
            return NEVER
        return found.mixed_at if found.software == software else self._adopted_at
