"""The one place that decides what an event means for a request.

A state table maps (phase, event) to a ruling: which outcome the request has if it ends here, and
who may be retried. The table is safe because it is total over the pairs that can happen, and
because `NotRun` only stands where no byte of the request can have reached an endpoint that could
run it, or where an endpoint said that it refused before running.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec

from wigeonarch_core.outcomes import Failed, NotRun, Outcome, Reason, Unknown


class Phase(enum.Enum):
    """How far one dispatch of a request has come."""

    QUEUED = "queued"  # Nothing has been sent to an endpoint.
    SENT = "sent"  # Bytes may have reached the endpoint; no answer yet.
    RUNNING = "running"  # The endpoint has begun to answer.


class Event(enum.Enum):
    """What can happen to a dispatch, apart from a whole answer."""

    REFUSED = "refused"  # By the owner, a limit or the lack of an endpoint.
    CONNECT_FAILED = "connect_failed"  # No connection, so nothing was sent.
    DECLINED = "declined"  # The endpoint says that it did not run it.
    LOST = "lost"  # The connection broke.
    SILENT = "silent"  # No byte within the bound.
    MISMATCH = "mismatch"  # The answer is of another adapter or version.
    ERROR = "error"  # The endpoint says that it failed.
    DEADLINE = "deadline"  # The request's time is over.
    CANCELLED = "cancelled"  # The caller has gone.


class Retry(enum.Enum):
    """Which requests may be tried again from here."""

    NEVER = "never"
    IDEMPOTENT = "idempotent"
    ANY = "any"


class OutcomeKind(enum.Enum):
    """Tag of the outcome if the request ends here."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Disposition(msgspec.Struct, frozen=True):
    """What an event means in a phase."""

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

# Refusals that another endpoint, or the same one a moment later, cannot change.
_FINAL_REASONS: Final = frozenset(
    {Reason.DEADLINE, Reason.DRAINING, Reason.FAIR_SHARE, Reason.RETRY_BUDGET}
)


# What may be different a moment later at the same endpoint.
_PASSING: Final = frozenset(
    {
        Reason.NO_OWNER,
        Reason.LEASE_LOST,
        Reason.NOT_LOADED,
        Reason.CONNECTION_LOST,
        Reason.SILENT,
    }
)

# Nothing was asked; why the endpoints before refused says more.
_NOWHERE: Final = frozenset({Reason.NO_ENDPOINT, Reason.CIRCUIT_OPEN})


def disposition_of(phase: Phase, event: Event) -> Disposition:
    """Returns the ruling on an event; a pair that is not in the table is a broken invariant."""
    return DISPOSITIONS[phase, event]


def may_retry(
    disposition: Disposition, reason: Reason, idempotent: bool, answer_started: bool
) -> bool:
    """Tells whether a request may be tried again.

    Args:
        rule: The ruling on what happened.
        reason: Why it happened.
        idempotent: Whether the request may run more than once.
        shown: Whether part of an answer has already gone to the caller; a fresh run could
            contradict it.
    """
    if answer_started or reason in _FINAL_REASONS:
        return False
    if disposition.retry is Retry.IDEMPOTENT:
        return idempotent
    return disposition.retry is Retry.ANY


def may_retry_same_endpoint(reason: Reason) -> bool:
    """Tells whether a retry may go to the same endpoint again, when there is no other."""
    return reason in _PASSING


def combine_outcomes(earlier: Outcome | None, latest: Outcome) -> Outcome:
    """Returns what a caller is told after several attempts.

    That the last attempt did not run says nothing of those before it. Example: an engine restarts
    under a request, and the retry finds no other engine; the request ran, in part. And why an
    endpoint refused goes before that there was no further one to ask.

    Args:
        earlier: What the caller would have been told before the last attempt; None if that was the
            first.
        latest: What the last attempt alone would be told.
    """
    if earlier is None or not isinstance(latest, NotRun):
        return latest
    if not isinstance(earlier, NotRun) or latest.reason in _NOWHERE:
        return earlier
    return latest


def outcome_of(disposition: Disposition, reason: Reason, retry_after: float) -> Outcome:
    """Returns the outcome of a request that ends with this ruling."""
    if disposition.outcome_kind is OutcomeKind.NOT_RUN:
        return NotRun(reason, retry_after)
    if disposition.outcome_kind is OutcomeKind.UNKNOWN:
        return Unknown(reason)
    return Failed(reason)
