"""The failure of one attempt to run a request, and the state kept between its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from wigeonarch_core.lifecycle import Event, Phase, may_retry_same_endpoint
from wigeonarch_core.outcomes import Outcome, Reason
from wigeonarch_core.owner_wait import OwnerWait

# Seconds after which a request that found no endpoint, or lost its endpoint, should be retried.
NO_ENDPOINT_RETRY: Final = 1.0


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """Why an attempt ended without an answer.

    Attributes:
        phase: How far the dispatch had come.
        event: What happened to it.
        reason: Why.
        retry_after: Seconds after which a new attempt makes sense; 0 when unknown.
    """

    phase: Phase
    event: Event
    reason: Reason
    retry_after: float = 0.0


@dataclass(slots=True)
class Progress:
    """State of one request over all its attempts.

    Attributes:
        avoided: Endpoints that get the request again only if there is no other.
        excluded: Endpoints that do not get the request again.
        attempts: Number of attempts so far, for the dispatch id of the next one.
        retries: Number of attempts after the first that count towards the limit of retries.
        owner_wait: Wait for an owner of an engine; None before the first refusal for lack of one.
        streamed: Whether part of an answer has been sent to the caller.
        outcome: Outcome of the request if there is no further attempt; None before the first ends.
    """

    avoided: set[str] = field(default_factory=set)
    excluded: set[str] = field(default_factory=set)
    attempts: int = 0
    retries: int = 0
    owner_wait: OwnerWait | None = None
    streamed: bool = False
    outcome: Outcome | None = None

    def record_failure(self, endpoint: str, failure: FailedAttempt) -> None:
        """Records an attempt that failed at an endpoint or was refused by the endpoint's owner."""
        (self.avoided if may_retry_same_endpoint(failure.reason) else self.excluded).add(endpoint)
