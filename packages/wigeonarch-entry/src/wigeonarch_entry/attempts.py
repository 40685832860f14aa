"""What one attempt to run a request comes to, and what is kept between attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.lifecycle import Event, Phase, may_retry_same_endpoint
from wigeonarch_core.outcomes import Outcome, Reason

# Seconds after which a request that found no endpoint, or lost it, may find another.
NO_ENDPOINT_RETRY: Final = 1.0


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """What ended an attempt without an answer."""

    phase: Phase
    event: Event
    reason: Reason
    retry_after: float = 0.0


@dataclass(slots=True)
class Progress:
    """What has happened to one request so far.

    Attributes:
        tried: Endpoints that it is sent to again only when there is no other.
        refused: Endpoints that it is not sent to again.
        retries: Number of attempts after the first.
        shown: Whether part of an answer has gone to the caller.
        told: What the caller would be told if the attempts so far were all.
    """

    avoided: set[str] = field(default_factory=set)
    excluded: set[str] = field(default_factory=set)
    retries: int = 0
    streamed: bool = False
    outcome: Outcome | None = None

    def record_failure(self, endpoint: str, mishap: FailedAttempt) -> None:
        """Notes an attempt that an endpoint, or its owner, did not answer."""
        (self.avoided if may_retry_same_endpoint(mishap.reason) else self.excluded).add(endpoint)
