"""Decides what an event means for a request: its outcome if it ends there, and who may retry.

A state table maps (phase, event) to a disposition: the outcome of the request if it ends here, and
which requests may be retried. The table is safe because it covers all pairs that can happen, and
because it has `NotRun` only where no byte of the request can have reached an endpoint that could
run it, or where an endpoint said that it refused the request before running it.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec

from wigeonarch_core.outcomes import Failed, NotRun, Outcome, Reason, Unknown


class Phase(enum.Enum):
    """How far a dispatch of a request has progressed."""

    QUEUED = "queued"  # Nothing has been sent to an endpoint.
    SENT = "sent"  # Bytes may have reached the endpoint; no answer yet.
    RUNNING = "running"  # The endpoint has begun to answer.


class Event(enum.Enum):
    """What can happen to a dispatch, other than a complete answer."""

    REFUSED = "refused"  # The owner or a limit refused it, or there was no endpoint.
    CONNECT_FAILED = "connect_failed"  # No connection was made, so nothing was sent.
    DECLINED = "declined"  # The endpoint said that it did not run the request.
    LOST = "lost"  # The connection broke.
    SILENT = "silent"  # No byte arrived within the timeout.
    MISMATCH = "mismatch"  # The answer came from another adapter or version.
    ERROR = "error"  # The endpoint reported an error.
    DEADLINE = "deadline"  # The request's deadline passed.
    CANCELLED = "cancelled"  # The caller disconnected.


# Events of a dispatch of which nothing was sent.
UNSENT_EVENTS: Final = frozenset({Event.REFUSED, Event.CONNECT_FAILED})


class Retry(enum.Enum):
    """Which requests may be retried after an event."""

    NEVER = "never"
    IDEMPOTENT = "idempotent"
    ANY = "any"


class OutcomeKind(enum.Enum):
    """Kind of outcome, if the request ends here."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Disposition(msgspec.Struct, frozen=True):
    """What an event means in a phase.

    Attributes:
        outcome_kind: Outcome of the request if it ends here.
        retry: Which requests may be retried.
    """

    outcome_kind: OutcomeKind
    retry: Retry


_NOT_RUN: Final = Disposition(OutcomeKind.NOT_RUN, Retry.NEVER)
_NOT_RUN_RETRY: Final = Disposition(OutcomeKind.NOT_RUN, Retry.ANY)
_UNKNOWN: Final = Disposition(OutcomeKind.UNKNOWN, Retry.NEVER)
_UNKNOWN_RETRY: Final = Disposition(OutcomeKind.UNKNOWN, Retry.IDEMPOTENT)
_FAILED: Final = Disposition(OutcomeKind.FAILED, Retry.NEVER)
_FAILED_RETRY: Final = Disposition(OutcomeKind.FAILED, Retry.IDEMPOTENT)

DISPOSITIONS: Final[dict[tuple[Phase, Event], Disposition]] = {
    (Phase.QUEUED, Event.REFUSED): _NOT_RUN_RETRY,
    (Phase.QUEUED, Event.CONNECT_FAILED): _NOT_RUN_RETRY,
    (Phase.QUEUED, Event.DEADLINE): _NOT_RUN,
    (Phase.QUEUED, Event.CANCELLED): _NOT_RUN,
    (Phase.SENT, Event.DECLINED): _NOT_RUN_RETRY,
    (Phase.SENT, Event.LOST): _UNKNOWN_RETRY,
    (Phase.SENT, Event.SILENT): _UNKNOWN_RETRY,
    (Phase.SENT, Event.MISMATCH): _FAILED_RETRY,
    (Phase.SENT, Event.ERROR): _FAILED,
    (Phase.SENT, Event.DEADLINE): _UNKNOWN,
    (Phase.SENT, Event.CANCELLED): _UNKNOWN,
    (Phase.RUNNING, Event.LOST): _UNKNOWN_RETRY,
    (Phase.RUNNING, Event.SILENT): _UNKNOWN_RETRY,
    (Phase.RUNNING, Event.MISMATCH): _FAILED_RETRY,
    (Phase.RUNNING, Event.ERROR): _FAILED_RETRY,
    (Phase.RUNNING, Event.DEADLINE): _UNKNOWN,
    (Phase.RUNNING, Event.CANCELLED): _UNKNOWN,
}

# Reasons of refusals for which a retry is useless, at this endpoint or another one.
_FINAL_REASONS: Final = frozenset(
    {Reason.DEADLINE, Reason.DRAINING, Reason.FAIR_SHARE, Reason.RETRY_BUDGET}
)


# Reasons that may be gone a moment later at the same endpoint.
_TRANSIENT_REASONS: Final = frozenset(
    {
        Reason.NO_OWNER,
        Reason.LEASE_LOST,
        Reason.NOT_LOADED,
        Reason.CONNECTION_LOST,
        Reason.SILENT,
    }
)

# No endpoint was asked, so an earlier endpoint's reason to refuse is more informative.
_NO_ENDPOINT_REASONS: Final = frozenset({Reason.NO_ENDPOINT, Reason.CIRCUIT_OPEN})


def disposition_of(phase: Phase, event: Event) -> Disposition:
    """Returns the disposition for an event; a pair missing from the table is a broken invariant."""
    return DISPOSITIONS[phase, event]


def may_retry(
    disposition: Disposition, reason: Reason, idempotent: bool, answer_started: bool
) -> bool:
    """Returns whether a request may be retried.

    Args:
        disposition: The disposition for what happened.
        reason: Why it happened.
        idempotent: Whether the request may run more than once.
        answer_started: Whether part of an answer has already gone to the caller; a new run could
            contradict it.
    """
    if answer_started or reason in _FINAL_REASONS:
        return False
    if disposition.retry is Retry.IDEMPOTENT:
        return idempotent
    return disposition.retry is Retry.ANY


def may_retry_same_endpoint(reason: Reason) -> bool:
    """Returns whether a retry may go to the same endpoint again if there is no other."""
    return reason in _TRANSIENT_REASONS


def combine_outcomes(earlier: Outcome | None, latest: Outcome) -> Outcome:
    """Returns the outcome that a caller gets after several attempts.

    If the last attempt did not run, this says nothing about the earlier ones. Example: an engine
    restarts while it runs a request, and the retry finds no other engine; the request did run in
    part. An endpoint's reason to refuse also takes precedence over the fact that there was no
    further endpoint to ask.

    Args:
        earlier: The outcome before the last attempt; None if that was the first.
        latest: The outcome of the last attempt alone.
    """
    if earlier is None or not isinstance(latest, NotRun):
        return latest
    if not isinstance(earlier, NotRun) or latest.reason in _NO_ENDPOINT_REASONS:
        return earlier
    return latest


def outcome_of(disposition: Disposition, reason: Reason, retry_after: float) -> Outcome:
    """Returns the outcome of a request that ends with this disposition."""
    if disposition.outcome_kind is OutcomeKind.NOT_RUN:
        return NotRun(reason, retry_after)
    if disposition.outcome_kind is OutcomeKind.UNKNOWN:
        return Unknown(reason)
    return Failed(reason)
