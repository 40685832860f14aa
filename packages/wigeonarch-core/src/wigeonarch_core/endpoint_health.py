"""Health of endpoints, judged by how they respond to this instance's own requests.

Two kinds of evidence are kept apart. Silence and lost connections mean that nothing gets through:
the endpoint is avoided for a pause that doubles each time, and then one request probes it. Failures
that the endpoint itself answers mean that it works badly. Their share makes it less attractive than
its peers of the same service, but never stops requests to it, because a service may fail a part of
its requests by nature. Health checks are not used: they cost requests, and an endpoint may pass
them while it fails real requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from wigeonarch_core.retry import doubled

MIN_PAUSE: Final = 0.5  # Seconds; about the latency objective of the most urgent requests.
MAX_PAUSE: Final = 4.0  # Seconds; a crashed endpoint restarts within a few seconds.
ANSWER_WEIGHT: Final = 0.15  # Of one response in the failure share: about the last ten count.


@dataclass(slots=True)
class _Evidence:
    failure_share: float = 0.0
    answers: int = 0
    pauses: int = 0
    paused_until: float = 0.0
    probing: bool = False


class EndpointHealth:
    """Health of the endpoints that an instance sends requests to."""

    __slots__ = ("_evidence",)

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}

    def is_paused(self, endpoint: str, now: float) -> bool:
        """Tells whether an endpoint must not get a request now: it is paused or being probed."""
        found = self._evidence.get(endpoint)
        if found is None or not found.pauses:
            return False
        return now < found.paused_until or found.probing

    def pause_left(self, endpoint: str, now: float) -> float:
        """Returns the seconds until an endpoint's pause ends; 0 if it is not paused."""
        if not self.is_paused(endpoint, now):
            return 0.0
        return max(0.0, self._evidence[endpoint].paused_until - now)

    def record_send(self, endpoint: str, now: float) -> None:
        """Notes that a request is sent; after a pause, it is the probe of the endpoint."""
        found = self._evidence.get(endpoint)
        if found is not None and found.pauses:
            found.probing = True
            found.paused_until = max(found.paused_until, now + MIN_PAUSE)

    def record_answer(self, endpoint: str, failed: bool) -> None:
        """Notes a response of the endpoint itself, which ends its pauses."""
        found = self._evidence.setdefault(endpoint, _Evidence())
        found.failure_share += ANSWER_WEIGHT * (float(failed) - found.failure_share)
        found.answers += 1
        found.pauses = 0
        found.probing = False

    def end_pause(self, endpoint: str) -> None:
        """Notes that a connection could be opened, so that requests may be sent again."""
        found = self._evidence.get(endpoint)
        if found is not None:
            found.pauses = 0
            found.probing = False

    def end_probe(self, endpoint: str) -> None:
        """Notes that a request ended without showing whether the endpoint works."""
        found = self._evidence.get(endpoint)
        if found is not None:
            found.probing = False

    def record_unreachable(self, endpoint: str, now: float) -> None:
        """Notes that a connection failed, was lost or stayed silent."""
        found = self._evidence.setdefault(endpoint, _Evidence())
        was_probe, found.probing = found.probing, False
        if now < found.paused_until and not was_probe:
            return  # Sent before the pause began, so it is no new evidence.
        found.paused_until = now + doubled(MIN_PAUSE, found.pauses, MAX_PAUSE)
        found.pauses += 1

    def failure_share(self, endpoint: str) -> float:
        """Returns the recent share of responses that were failures, from 0 to 1."""
        found = self._evidence.get(endpoint)
        return found.failure_share if found else 0.0

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that no longer exists."""
        self._evidence.pop(endpoint, None)
