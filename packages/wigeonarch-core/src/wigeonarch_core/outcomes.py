"""Outcomes of requests: each request ends with exactly one of four tagged types.

`NotRun` guarantees that nothing of the request ran. `Unknown` is returned when it cannot be known
whether the request ran. Only `lifecycle` decides which of the two applies.
"""

from __future__ import annotations

import enum

import msgspec


class Reason(enum.StrEnum):
    """Why a request was refused, retried or failed; used as a label of metrics."""

    # Errors of the caller.
    MALFORMED = "malformed"
    NO_SUCH_SERVICE = "no_such_service"
    NO_SUCH_ADAPTER = "no_such_adapter"
    NO_SUCH_VERSION = "no_such_version"
    TOO_LARGE = "too_large"
    KEY_EXPIRED = "key_expired"
    KEY_IN_USE = "key_in_use"
    KEY_MISMATCH = "key_mismatch"
    ANSWER_NOT_KEPT = "answer_not_kept"
    # Limits.
    QUEUE_FULL = "queue_full"
    FAIR_SHARE = "fair_share"
    DEADLINE = "deadline"
    CONCURRENCY = "concurrency"
    RETRY_BUDGET = "retry_budget"
    CIRCUIT_OPEN = "circuit_open"
    # The state of the deployment.
    NOT_READY = "not_ready"
    NO_CONFIGURATION = "no_configuration"
    NOT_CAUGHT_UP = "not_caught_up"
    CUT_OFF = "cut_off"
    NOT_LEASED = "not_leased"
    DRAINING = "draining"
    NO_ENDPOINT = "no_endpoint"
    NO_OWNER = "no_owner"
    PLATFORM_DOWN = "platform_down"
    LOAD_FAILED = "load_failed"
    LEASE_LOST = "lease_lost"
    # Behavior of an endpoint.
    ENDPOINT_LEAVING = "endpoint_leaving"
    ENDPOINT_OVERLOADED = "endpoint_overloaded"
    NOT_LOADED = "not_loaded"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection_lost"
    SILENT = "silent"
    WRONG_ADAPTER = "wrong_adapter"
    ENDPOINT_ERROR = "endpoint_error"
    CANCELLED = "cancelled"


class Answered(msgspec.Struct, frozen=True):
    """The complete response, from the adapter and version that the request named.

    Attributes:
        text: The generated text, or the body of the plain service's response.
        tokens: Number of generated tokens; 0 for plain services.
        finish: Why the engine stopped: `stop` or `length`.
        version: Adapter version that ran it, if not the one that this request resolved to. That
            happens when an earlier request with the same idempotency key ran before a routing rule
            changed.
    """

    text: str
    tokens: int = 0
    finish: str = "stop"
    version: str = ""


class NotRun(msgspec.Struct, frozen=True):
    """Nothing of the request ran, and nothing of it will run.

    Attributes:
        reason: Why.
        retry_after: Seconds after which the caller should try again; 0 if that would not help.
        detail: Details for people, such as which part of the request is wrong.
    """

    reason: Reason
    retry_after: float = 0.0
    detail: str = ""


class Unknown(msgspec.Struct, frozen=True):
    """The request may have run; it cannot be known whether it did."""

    reason: Reason


class Failed(msgspec.Struct, frozen=True):
    """The request ran and failed.

    Attributes:
        reason: Why.
        status: HTTP status of the plain service's own response; 0 if none.
        body: Body of that response.
    """

    reason: Reason
    status: int = 0
    body: str = ""


Outcome = Answered | NotRun | Unknown | Failed
