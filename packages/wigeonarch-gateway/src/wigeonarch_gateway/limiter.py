"""Grants the permits of endpoints with a rate limit, while this instance is their limiter.

All instances determine an endpoint's limiter by themselves, so several may take themselves for it
while they hear different peers. A limiter therefore announces that it grants permits, as soon as it
does and regularly. Of limiters that hear each other only the one that ranks first goes on. That
needs no agreement, since all rank alike.

An instance that begins to grant permits starts with none saved, as another one may have granted
some a moment ago. It need not know the limit: each request for a permit states what the requester
knows of it. An announcement states the limit, too, so that an instance that missed a notice learns
of it.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Sequence
from typing import Final

from wigeonarch_core.permits import PermitBucket

from wigeonarch_gateway.permit_log import PermitLog

# Seconds between announcements of a limiter that grants permits.
ANNOUNCEMENT_INTERVAL: Final = 1.0
# Seconds after which a limiter that announced itself no longer counts: two announcements were lost.
RIVAL_TTL: Final = 2.5
# Rate, in requests per second, at which permits are granted while nobody knows the limit. It keeps
# to the sum in `core.permits` whatever the limit is.
CAUTIOUS_RATE: Final = 0.5
# Rate, in requests per second, at which permits are granted at least, however low the limit is:
# that it has ended shows only in answers.
PROBE_RATE: Final = 0.125


class Limiter:
    """The permits that this instance grants."""

    __slots__ = (
        "_announced_at",
        "_appointed",
        "_buckets",
        "_instance",
        "_permit_log",
        "_rank",
        "_rivals",
    )

    def __init__(
        self,
        instance: str,
        appointed: Callable[[str], str],
        rank: Callable[[str, Sequence[str]], list[str]],
    ) -> None:
        """Creates a limiter that has granted nothing.

        Args:
            instance: Name of this instance.
            appointed: Returns the limiter of an endpoint, as this instance sees it.
            rank: Orders instances by their preference as an endpoint's limiter, alike everywhere.
        """
        self._instance = instance
        self._appointed = appointed
        self._rank = rank
        self._buckets: dict[str, PermitBucket] = {}
        # Time of the last announcement of each endpoint that this instance grants permits for.
        self._announced_at: dict[str, float] = {}
        # Other instances that announced that they grant permits for an endpoint, and when.
        self._rivals: dict[str, dict[str, float]] = {}
        self._permit_log = PermitLog()

    def choose(self, endpoint: str, now: float) -> str:
        """Returns the instance to ask for permits; this one if it grants them."""
        appointed = self._appointed(endpoint)
        if appointed != self._instance or endpoint not in self._rivals:
            return appointed
        rivals = [name for name, at in self._rivals[endpoint].items() if now - at < RIVAL_TTL]
        return self._rank(endpoint, [self._instance, *rivals])[0]

    def note_announcement(self, endpoint: str, sender: str, grants: bool, now: float) -> None:
        """Notes whether another instance grants permits for an endpoint."""
        if grants:
            self._rivals.setdefault(endpoint, {})[sender] = now
        elif endpoint in self._rivals:
            self._rivals[endpoint].pop(sender, None)

    def wait(self, endpoint: str, rate: float | None, now: float) -> float:
        """Returns the seconds until a permit is available; `rate` is None if nobody knows it."""
        return self._bucket(endpoint, rate, now).seconds_until_permit(now)

    def expected_wait(self, endpoint: str, rate: float, now: float) -> float:
        """Returns what `wait` returns, without beginning to save up permits."""
        bucket = copy.copy(self._buckets.get(endpoint))
        rate = max(rate, PROBE_RATE)
        if bucket is None:
            bucket = PermitBucket(rate, now)
        bucket.set_rate(rate, now)
        return bucket.seconds_until_permit(now)

    def take(self, endpoint: str, rate: float, now: float) -> bool:
        """Takes a permit for a request of this instance; False if none is available."""
        taken = self._bucket(endpoint, rate, now).take(now)
        if taken:
            self._permit_log.record_own(endpoint, rate)
        return taken

    def grant(self, endpoint: str, rate: float | None, now: float) -> bool:
        """Takes a permit for another instance; False if none is available."""
        granted = self._bucket(endpoint, rate, now).take(now)
        self._permit_log.record_reply(endpoint, rate, granted)
        return granted

    def _bucket(self, endpoint: str, rate: float | None, now: float) -> PermitBucket:
        rate = CAUTIOUS_RATE if rate is None else max(rate, PROBE_RATE)
        bucket = self._buckets.get(endpoint)
        if bucket is None:
            bucket = self._buckets[endpoint] = PermitBucket(rate, now)
        bucket.set_rate(rate, now)
        return bucket

    def announcements_due(self, now: float) -> list[str]:
        """Returns the endpoints of which to announce now whether this instance grants permits.

        Forgets what it saved up for endpoints whose permits another instance grants now.
        """
        due = []
        for endpoint in list(self._buckets):
            if self.choose(endpoint, now) != self._instance:
                del self._buckets[endpoint]
                if self._announced_at.pop(endpoint, None) is not None:
                    due.append(endpoint)
            elif now - self._announced_at.get(endpoint, float("-inf")) >= ANNOUNCEMENT_INTERVAL:
                self._announced_at[endpoint] = now
                due.append(endpoint)
        return due

    def is_announced(self, endpoint: str) -> bool:
        """Tells whether this instance announced last that it grants an endpoint's permits."""
        return endpoint in self._announced_at

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that has no limit any more."""
        self._buckets.pop(endpoint, None)
        self._announced_at.pop(endpoint, None)
        self._rivals.pop(endpoint, None)

    def write_log(self, now: float) -> None:
        """Logs what was granted."""
        self._permit_log.write(now)
