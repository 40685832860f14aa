"""HTTP status of each outcome; the only place where it is decided.

Each kind of outcome has statuses of its own, so that a caller, or a proxy that retries requests by
status, cannot mistake one for another: 200 means answered; 4xx, 429 and 503 not run; 502 that the
request may have run. A plain service's own error status is passed on to the caller, except 429 and
503, which would promise that nothing ran, and 502, which would say that this is unknown: for these
the caller gets 500.
"""

from __future__ import annotations

from typing import Final

from wigeonarch_core.outcomes import Answered, Failed, NotRun, Outcome, Reason, Unknown

BAD_GATEWAY: Final = 502
RAN_AND_FAILED: Final = 500
TOO_MANY_REQUESTS: Final = 429
SERVICE_UNAVAILABLE: Final = 503

NOT_RUN_STATUS: Final[dict[Reason, int]] = {
    # Errors of the caller: repeating the same request gives the same result.
    Reason.MALFORMED: 400,
    Reason.NO_SUCH_SERVICE: 404,
    Reason.NO_SUCH_ADAPTER: 404,
    Reason.NO_SUCH_VERSION: 404,
    Reason.TOO_LARGE: 413,
    Reason.KEY_EXPIRED: 409,
    Reason.KEY_IN_USE: 409,
    Reason.KEY_MISMATCH: 422,
    Reason.ANSWER_NOT_KEPT: 409,
    # Limits that the caller's own load has reached.
    Reason.QUEUE_FULL: TOO_MANY_REQUESTS,
    Reason.FAIR_SHARE: TOO_MANY_REQUESTS,
    Reason.CONCURRENCY: TOO_MANY_REQUESTS,
    # The state of the deployment prevents the request for now.
    Reason.DEADLINE: SERVICE_UNAVAILABLE,
    Reason.RETRY_BUDGET: SERVICE_UNAVAILABLE,
    Reason.CIRCUIT_OPEN: SERVICE_UNAVAILABLE,
    Reason.NOT_READY: SERVICE_UNAVAILABLE,
    Reason.NO_CONFIGURATION: SERVICE_UNAVAILABLE,
    Reason.NOT_CAUGHT_UP: SERVICE_UNAVAILABLE,
    Reason.CUT_OFF: SERVICE_UNAVAILABLE,
    Reason.NOT_LEASED: SERVICE_UNAVAILABLE,
    Reason.DRAINING: SERVICE_UNAVAILABLE,
    Reason.NO_ENDPOINT: SERVICE_UNAVAILABLE,
    Reason.NO_OWNER: SERVICE_UNAVAILABLE,
    Reason.PLATFORM_DOWN: SERVICE_UNAVAILABLE,
    Reason.LOAD_FAILED: SERVICE_UNAVAILABLE,
    Reason.LEASE_LOST: SERVICE_UNAVAILABLE,
    Reason.ENDPOINT_LEAVING: SERVICE_UNAVAILABLE,
    Reason.ENDPOINT_OVERLOADED: SERVICE_UNAVAILABLE,
    Reason.NOT_LOADED: SERVICE_UNAVAILABLE,
    Reason.UNREACHABLE: SERVICE_UNAVAILABLE,
    Reason.CONNECTION_LOST: SERVICE_UNAVAILABLE,
    Reason.SILENT: SERVICE_UNAVAILABLE,
    Reason.WRONG_ADAPTER: SERVICE_UNAVAILABLE,
    Reason.ENDPOINT_ERROR: SERVICE_UNAVAILABLE,
    Reason.CANCELLED: SERVICE_UNAVAILABLE,
}

# Statuses sent with a Retry-After header.
RETRY_AFTER_STATUSES: Final = frozenset({TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE})

# Statuses that must not be passed on from an endpoint, as they mean something else here than "the
# endpoint ran the request and failed".
_RESERVED_STATUSES: Final = frozenset({TOO_MANY_REQUESTS, BAD_GATEWAY, SERVICE_UNAVAILABLE})

OUTCOME_NAMES: Final[dict[type[Outcome], str]] = {
    Answered: "answered",
    NotRun: "not_run",
    Unknown: "unknown",
    Failed: "failed",
}


def status_of(outcome: Outcome) -> int:
    """Returns the HTTP status for an outcome."""
    match outcome:
        case Answered():
            return 200
        case NotRun(reason=reason):
            return NOT_RUN_STATUS[reason]
        case Unknown():
            return BAD_GATEWAY
        case Failed(status=status):
            return RAN_AND_FAILED if status in _RESERVED_STATUSES or not status else status
