"""Messages of the command line to operators; each error message says what to do next."""

from __future__ import annotations

from typing import Final

from wigeonarch_schema import wigeonarch_pb2 as pb

DESCRIPTION: Final = "Operates wigeonarch: its configuration, its requests and its instances."
EXIT_CODES: Final = "exit codes:"

UNREACHABLE: Final = (
    "No connection to {server} within {timeout:g} s; nothing was sent. Check --server and that the "
    "instance is up, or name another instance."
)
READ_LOST: Final = (
    "No reply from {server} ({code}: {details}). Repeat the command, or name another instance."
)
REFUSED: Final = "Refused ({code}: {details}); nothing was done. Correct the command."
NOT_FOUND: Final = "Not found: {details}. Check the name with the `list` command."
CHANGE_NOT_FOUND: Final = (
    "No change with operation id {operation_id} is known; the first attempt may still be in "
    "progress. Repeat the command that made it with --operation-id {operation_id}: the change "
    "takes effect at most once."
)
LOGS_HELP: Final = "read these log files of instances instead of calling an instance"
METRICS_HELP: Final = "addresses of the metrics of all instances; their values are summed"
HEADER_HELP: Final = (
    "a header that matters, may be repeated; give a key with --key-env or --key-file instead"
)
TEAM_HELP: Final = "ask as this team, without a key"
KEY_ENV_HELP: Final = "environment variable with the API key"
KEY_FILE_HELP: Final = "file with the API key"
INSTANCE_HELP: Final = (
    "metrics ports of the instances to ask, side by side (default: $WIGEONARCH_METRICS, separated "
    "by spaces)"
)
REQUEST_HELP: Final = "ask about this request, as far as log lines tell what it was"
REQUEST_LOG_HELP: Final = "log files of instances in which to look for --request"
JSON_HELP: Final = "print the answers as JSON"
HIDDEN: Final = "[key]"
NO_INSTANCE: Final = "no instance: give --instance HOST:PORT or set WIGEONARCH_METRICS"
TARGET_OR_REQUEST: Final = "give either HOST/PATH or --request"
REQUEST_AND_LOG: Final = "--request and --log go together only"
BAD_TARGET: Final = "{text!r} does not have the form HOST/PATH"
BAD_HEADER: Final = "a header does not have the form 'NAME: VALUE'"
NO_KEY: Final = "{option}: there is no API key there, or more than one word"
UNREADABLE_KEY: Final = "{option}: {reason}"
REQUEST_NOT_LOGGED: Final = "No log line names request {request}. Give the logs of all instances."
ROUTE_NOT_LOGGED: Final = (
    "No log line of request {request} names its route. Give HOST/PATH and headers instead."
)
INSTANCE_UNREACHABLE: Final = (
    "{address}: no answer ({why}). Check that this is the metrics port of an instance that is up."
)
NO_ROUTE_PAGE: Final = (
    "{address}: has no page /route: an older version, or not an instance's metrics port."
)
NO_ROUTE_ANSWER: Final = "{address}: the answer can't be read: not an instance's metrics port."
ROUTE_REFUSED: Final = "{address}: refused the question ({status}: {why})."
ROUTE_PROBLEMS: Final[dict[str, str]] = {
    "unknown_host": "No route has that host. Check the host, and the configuration's version.",
    "unknown_route": "No route has that path or name. Check it, and the configuration's version.",
    "unknown_service": "The service is not in the configuration, or not one of the route's.",
    "unknown_team": "No team has that name. Check the name with `wigeonctl teams`.",
    "unknown_model": "The engines of the service can't hold that model. Check model and adapter.",
    "unknown_adapter": (
        "That adapter was never published, and no engine is known to have had it. Check its name."
    ),
}
UNREADABLE_FILE: Final = "{path}: {reason}"
DECISIONS_NOT_FOUND: Final = (
    "This instance has recorded no decisions about that request. Ask the instance that received "
    "it; `wigeonctl lookup` names it."
)
MUTATION_LOST: Final = (
    "No reply ({code}: {details}); the change may have been made. Look up its status with: "
    "wigeonctl change {operation_id}"
)
SUBMIT_LOST: Final = (
    "No reply ({code}: {details}); the request may have run. It may be submitted again, "
    "since it is idempotent."
)
SUBMIT_LOST_WITH_KEY: Final = (
    "No reply ({code}: {details}); the request may have run. Look up its outcome with: "
    "wigeonctl lookup --service {service} --key {key}"
)
DRAIN_LOST: Final = (
    "No reply ({code}: {details}); the instance may be draining. Check with `wigeonctl status`; "
    "repeating the command is safe."
)
STREAM_CHUNKS_MISSING: Final = "the stream skipped from chunk {expected} to {found}"
STREAM_INCOMPLETE: Final = "the stream closed before its final event"
INTERRUPTED_CALL: Final = "interrupted"
INTERRUPTED: Final = (
    "Interrupted; the command may have taken effect. Check that before you repeat it."
)
INSTANCE_BEHIND: Final = (
    "This instance has {name} at version {found}, older than version {expected}; nothing was sent. "
    "Repeat the command in a few seconds, or name another instance."
)

BAD_NAME: Final = "{name!r} does not have the form {form}"
BAD_SPLIT: Final = "{text!r} does not have the form VERSION=WEIGHT with a weight from 1 to {most}"
BAD_SECONDS: Final = "{text!r} is not a number of seconds from 0 to {most}"
BAD_TIMEOUT: Final = "{text!r} is not a number of seconds above 0 and up to {most}"
BAD_NUMBER: Final = "{text!r} is not a whole number from {least} to {most}"
BAD_SERVICE_KIND: Final = "{text!r} is none of {kinds}"
NO_SERVER: Final = "no server: give --server HOST:PORT or set WIGEONARCH_SERVER"
WAIT_TOO_LONG: Final = (
    "--{option} must be shorter than --timeout, or the reply would be lost; raise --timeout"
)
INAPPLICABLE_OPTION: Final = "--{option} goes with --{other} only"
LOOKUP_KEY: Final = "give either a REQUEST-ID, or both --service and --key"

ADVICE_BY_STATUS: Final[dict[int, str]] = {
    pb.STATUS_PENDING: (
        "Pending: not yet known to be in force in every zone. Check again with: "
        "wigeonctl change {operation_id}"
    ),
    pb.STATUS_REJECTED_CONFLICT: (
        "Conflict: nothing was changed; the entry is at version {entry_version} (0: it does not "
        "exist). Check it with the `get` command, then repeat with that --expected-version."
    ),
    pb.STATUS_REJECTED_INVALID: "Invalid: nothing was changed. Correct what the message names.",
    pb.STATUS_UNAVAILABLE: (
        "Unavailable: nothing was changed, since the platform can't be reached. Repeat the command "
        "in {retry_after_s:g} s."
    ),
}
ADVICE_UNKNOWN_STATUS: Final = (
    "Unknown status {status}; the change may have been made. Update wigeonctl, then check with: "
    "wigeonctl change {operation_id}"
)

ADVICE_BY_OUTCOME: Final[dict[int, str]] = {
    pb.OUTCOME_NOT_RUN: (
        "Not run ({reason}): {message}. It is safe to submit it again{when}. "
        "For the decisions: wigeonctl explain {request_id}"
    ),
    pb.OUTCOME_UNKNOWN: (
        "Unknown outcome ({reason}): {message}. Do not repeat it under another key "
        "if it must not run twice. For the decisions: wigeonctl explain {request_id}"
    ),
    pb.OUTCOME_FAILED: (
        "Failed ({reason}): {message}. For the decisions: wigeonctl explain {request_id}"
    ),
}
ADVICE_UNKNOWN_OUTCOME: Final = (
    "Unknown outcome {outcome}; the request may have run. Update wigeonctl, "
    "then check with: wigeonctl lookup {request_id}"
)
RETRY_AFTER: Final = " in {seconds:g} s"
RETRY_AFTER_FIX: Final = ", but only after the cause has been fixed"

LOOKUP_NOT_KNOWN: Final = (
    "Nothing is known of that request: it was never received, or its record has been dropped."
)
LOOKUP_RUNNING: Final = "The request has not ended; repeat the command later."
LOOKUP_UNKNOWN: Final = "The state of the request is unknown to this wigeonctl; update wigeonctl."
NOT_DRAINING: Final = "The instance is not draining. Repeat the command."


def change_advice(reply: pb.MutateReply, operation_id: str) -> str:
    """Returns the advice for a change that is not accepted."""
    text = ADVICE_BY_STATUS.get(reply.status, ADVICE_UNKNOWN_STATUS)
    return text.format(
        status=reply.status,
        operation_id=operation_id,
        entry_version=reply.entry_version,
        retry_after_s=reply.retry_after_s,
    )


def request_advice(reply: pb.SubmitReply) -> str:
    """Returns the advice for a request whose outcome is not "answered"."""
    text = ADVICE_BY_OUTCOME.get(reply.outcome, ADVICE_UNKNOWN_OUTCOME)
    seconds = reply.retry_after_s
    return text.format(
        outcome=reply.outcome,
        reason=reply.reason,
        message=reply.message or "no details given",
        request_id=reply.request_id,
        when=RETRY_AFTER.format(seconds=seconds) if seconds > 0 else RETRY_AFTER_FIX,
    )
