"""Grants the permits of endpoints with a rate limit, while this instance is their limiter.

Several instances may take themselves for an endpoint's limiter while they hear different peers; see
`granter_choice` for which of them goes on.

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

from wigeonarch_gateway.granter_choice import GranterChoice
from wigeonarch_gateway.permit_log import PermitLog

# Rate, in requests per second, at which permits are granted while nobody knows the limit. It keeps
# to the sum in `core.permits` whatever the limit is.
CAUTIOUS_RATE: Final = 0.5
# Rate, in requests per second, at which permits are granted at least, however low the limit is:
# that it has ended shows only in answers.
PROBE_RATE: Final = 0.125


class Limiter:
    """The permits that this instance grants."""

    __slots__ = ("_buckets", "_choice", "_instance", "_permit_log")

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
        self._choice = GranterChoice(instance, appointed, rank)
        self._buckets: dict[str, PermitBucket] = {}
        self._permit_log = PermitLog()

    def choose(self, endpoint: str, now: float) -> str:
        """Returns the instance to ask for permits; this one if it grants them."""
        return self._choice.choose(endpoint, now)

    def note_announcement(self, endpoint: str, sender: str, grants: bool, now: float) -> None:
        """Notes whether another instance grants permits for an endpoint."""
        self._choice.note_announcement(endpoint, sender, grants, now)

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
            if self.choose(endpoint, now) == self._instance:
                is_due = self._choice.begins(endpoint, now)
            else:
                del self._buckets[endpoint]
                is_due = self._choice.ends(endpoint)
            if is_due:
                due.append(endpoint)
        return due

    def is_announced(self, endpoint: str) -> bool:
        """Tells whether this instance announced last that it grants an endpoint's permits."""
        return self._choice.is_announced(endpoint)

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that has no limit any more."""
        self._buckets.pop(endpoint, None)
        self._choice.forget(endpoint)

    def write_log(self, now: float) -> None:
        """Logs what was granted."""
        self._permit_log.write(now)
