"""Error texts for callers and operators, including a text for each `Reason`."""

from __future__ import annotations

from typing import Final

from wigeonarch_core.outcomes import Answered, Failed, NotRun, Outcome, Reason

MAY_HAVE_RUN: Final = "the request may have run; do not repeat it unless it is idempotent"
RAN_AND_FAILED: Final = "the request ran and failed"
NOT_RUN: Final = "the request did not run"

BAD_PROMPT: Final = "`prompt` must be a string or a list of one string"
BAD_CHOICE_COUNT: Final = "`n` must be 1"
NO_MESSAGES: Final = "`messages` must not be empty"
BAD_MODEL: Final = "`model` must have the form service/adapter[@version]"
BAD_TOKENS: Final = "the number of tokens must not be negative"
TOO_MANY_TOKENS: Final = "at most {most} tokens may be asked for"
PROMPT_TOO_LONG: Final = "a prompt may have at most {most} characters"
BODY_TOO_LARGE: Final = "a body may have at most {most} bytes"
BAD_OPERATION: Final = "an operation is 1 to 128 letters, digits, `.`, `_`, `~` or `-`"
BAD_JSON: Final = "the body of a call must be a JSON document in UTF-8"
BAD_BODY: Final = "the body does not have the encoding that its headers say"
BAD_CALLER: Final = "the caller's name must be printable and at most 255 characters"
BAD_KEY: Final = "an idempotency key must be 1 to 255 printable characters"
BAD_NUMBER: Final = "{name} must be a whole number from {least} to {most}"
NO_ROOM: Final = "the instance has no room for the body now"
TOO_MANY_STREAMS: Final = "too many streamed answers in progress at this instance"
CALLER_NOT_READING: Final = "the caller does not read"
BODY_TIMED_OUT: Final = "the body did not arrive in time"
UNKNOWN_PATH: Final = "no such path; see the operators' page for what this door serves"
UNKNOWN_METHOD: Final = "this path does not take this method"
INTERNAL_ERROR: Final = "an error of the system itself; " + MAY_HAVE_RUN

REASON_TEXTS: Final[dict[Reason, str]] = {
    Reason.MALFORMED: "the request is malformed",
    Reason.NO_SUCH_SERVICE: "no such service; see GET /v1/models",
    Reason.NO_SUCH_ADAPTER: "no such adapter; see GET /v1/models",
    Reason.NO_SUCH_VERSION: "no such version, or no routing rule for this adapter",
    Reason.TOO_LARGE: "the request is too large",
    Reason.KEY_EXPIRED: "the idempotency key is older than its record would be kept",
    Reason.KEY_IN_USE: "another request with this idempotency key may be running",
    Reason.KEY_MISMATCH: "this idempotency key belongs to a request with another body",
    Reason.ANSWER_NOT_KEPT: "the request ran, but its answer was too large to keep",
    Reason.QUEUE_FULL: "the queue is full",
    Reason.FAIR_SHARE: "this caller already uses its share of the queue",
    Reason.DEADLINE: "the deadline would pass before an answer",
    Reason.CONCURRENCY: "too many requests in progress at this instance",
    Reason.RETRY_BUDGET: "the retry budget is used up",
    Reason.CIRCUIT_OPEN: "recent calls to the endpoints failed",
    Reason.NOT_READY: "this instance is not ready",
    Reason.NO_CONFIGURATION: (
        "neither the platform nor an instance of the zone has given a configuration yet"
    ),
    Reason.NOT_CAUGHT_UP: "this instance may have missed changes of the configuration",
    Reason.CUT_OFF: "this instance reaches neither the platform nor its zone's instances",
    Reason.NOT_LEASED: "this instance has no lease, while others of its zone serve",
    Reason.DRAINING: "this instance is shutting down",
    Reason.NO_ENDPOINT: "no endpoint serves this service now",
    Reason.NO_OWNER: "no instance owns a suitable engine now",
    Reason.PLATFORM_DOWN: "the platform cannot record the request",
    Reason.LOAD_FAILED: "the adapter could not be loaded",
    Reason.LEASE_LOST: "the permission to use the engine ended before the request was sent",
    Reason.ENDPOINT_LEAVING: "the endpoint is leaving",
    Reason.ENDPOINT_OVERLOADED: "the endpoint is overloaded",
    Reason.NOT_LOADED: "the adapter is not loaded",
    Reason.UNREACHABLE: "the endpoint cannot be reached",
    Reason.CONNECTION_LOST: "the connection to the endpoint was lost",
    Reason.SILENT: "the endpoint went silent",
    Reason.WRONG_ADAPTER: "the endpoint answered with another adapter or version",
    Reason.ENDPOINT_ERROR: "the endpoint failed",
    Reason.CANCELLED: "the caller has gone",
}


def describe(outcome: Outcome) -> str:
    """Returns the error text for an outcome; empty for an answered request.

    Its last part says whether the request ran: "the queue is full; the request did not run".
    """
    match outcome:
        case Answered():
            return ""
        case NotRun(reason=reason, detail=detail):
            return "; ".join(filter(None, (REASON_TEXTS[reason], detail, NOT_RUN)))
        case Failed(reason=reason):
            return f"{REASON_TEXTS[reason]}; {RAN_AND_FAILED}"
        case _:
            return f"{REASON_TEXTS[outcome.reason]}; {MAY_HAVE_RUN}"
