"""Finds the cause of one request's outcome in the log files of many instances.

The log lines of the request are sorted by time. `CAUSES` has a sentence for each event that ends a
request; its placeholders are filled from the fields of those lines. The last events about the
endpoints that the request used are returned as well. If no line has the outcome, the cause says so:
the instance stopped, or its lines were dropped.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

_PAIR: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')

# Events about an endpoint that concern all its requests.
ENDPOINT_EVENTS: Final = frozenset(
    {"endpoint_state", "endpoint_missing", "endpoint_gone", "endpoint_unreachable"}
)

# Sentences by the event that ended a request and, where it matters, the event's reason.
CAUSES: Final[dict[tuple[str, str], str]] = {
    ("answered", ""): "answered with {status} by {endpoint} after {took} s, {sends} sends",
    ("refused", "no_configuration"): "not run: the instance had not read a configuration yet",
    ("refused", "no_endpoint"): (
        "not run: of {ready} ready endpoints {shut} were passed over after failures, "
        "{loadable} could load and {with_model} held the model; waited {waited} s"
    ),
    ("refused", "service_overloaded"): (
        "not run: service {service} is asked for more than it can serve within its latency "
        "objective"
    ),
    ("refused", "endpoints_limited"): (
        "not run: {limited} of {ready} ready endpoints of {service} had declared a limit "
        "that left no free slot in time"
    ),
    ("refused", "over_quota"): (
        "not run: team {team} has used up its quota of {rate} a second with a burst of {burst}; "
        "the request costs {cost}, {left} were left by {banker}'s ledger (version {version})"
    ),
    ("refused", "quota_unsure"): "not run: no instance that keeps team {team}'s quota replied",
    ("refused", "key_unsure"): (
        "not run: configuration version {version} does not allow it without its API key, and a "
        "newer version may be in force"
    ),
    ("refused", "route_unsure"): (
        "not run: configuration version {version} has no route for host {host}, and a newer "
        "version may be in force"
    ),
    ("denied", "key_missing"): "not allowed: it had no API key, or a malformed one",
    ("denied", "key_unknown"): (
        "not allowed: no team holds its API key in configuration version {version}"
    ),
    ("refused", "quarantined"): (
        "not run: endpoints ended each time they ran this request (content {content}); "
        "it is quarantined for {retry_after} s"
    ),
    ("refused", "endpoints_full"): "not run: every endpoint that was tried refused it",
    ("refused", "retry_budget"): "not run: the bound on repeated sends was reached",
    ("refused", "timed_out"): "not run: it timed out before an endpoint could accept it",
    ("failed", "lost"): "may have run: the connection to {last_endpoint} was lost ({how})",
    ("failed", "silent"): (
        "may have run: {last_endpoint} did not respond within the timeout of one attempt"
    ),
    ("failed", "failed"): (
        "ran and failed at {last_endpoint}, whose response could not be forwarded"
    ),
    ("timed_out", ""): (
        "may have run: no complete response within the route's timeout or the deadline"
    ),
    ("caller_left", ""): "the caller disconnected after {sends} sends; the endpoint was notified",
    ("no_route", ""): "no route of version {version} for host {host}",
}
OUTCOME_NOT_LOGGED: Final = "no outcome is logged: the instance stopped, or its lines were dropped"
REQUEST_NOT_LOGGED: Final = "no log line names this request"
NOT_RETRIED: Final = "; it was not sent again, as the bound on repeated sends was reached"
STREAM_CUT_OFF: Final = "; the stream was cut off after {events} events"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes:
        timestamp: Its `ts` field, by which log lines are sorted.
        event: Its `event` field.
        fields: Its other fields.
    """

    timestamp: str
    event: str
    fields: dict[str, str]


@dataclass(frozen=True, slots=True)
class Trace:
    """The history of a request as found in the logs.

    Attributes:
        lines: Its log lines, in order of time.
        endpoints: The last events (at most 3) that the instance of its last line logged about its
            endpoints, up to that line.
        cause: The cause of its outcome, as a sentence.
    """

    lines: list[LogLine]
    endpoints: list[LogLine]
    cause: str


def parse_line(text: str) -> LogLine | None:
    """Parses a log line; returns None if it has no event."""
    pairs = {key: value.strip('"') for key, value in _PAIR.findall(text)}
    event = pairs.pop("event", "")
    return LogLine(pairs.pop("ts", ""), event, pairs) if event else None


def read_files(paths: Sequence[Path]) -> list[LogLine]:
    """Returns the log lines of all files, in order of time."""
    lines: list[LogLine] = []
    for path in paths:
        with path.open(errors="replace") as file:
            lines += [line for text in file if (line := parse_line(text)) is not None]
    return sorted(lines, key=lambda line: line.timestamp)


def trace_request(lines: Iterable[LogLine], request: str) -> Trace:
    """Returns the history of a request, given the log lines of all instances in order of time."""
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.fields.get("request") == request]
    if not request_lines:
        return Trace([], [], REQUEST_NOT_LOGGED)
    endpoints = {line.fields["endpoint"] for line in request_lines if line.fields.get("endpoint")}
    last_timestamp = request_lines[-1].timestamp
    endpoint_lines = [
        line
        for line in all_lines
        if line.event in ENDPOINT_EVENTS
        and line.fields.get("endpoint") in endpoints
        and line.fields.get("instance") == request_lines[-1].fields.get("instance")
        and line.timestamp <= last_timestamp
    ]
    return Trace(request_lines, endpoint_lines[-3:], _explain_outcome(request_lines))


def fields_of_request(lines: Iterable[LogLine], request: str) -> dict[str, str]:
    """Returns the fields of all log lines of a request; of a repeated one, the last that is set."""
    fields: dict[str, str] = {}
    for line in lines:
        if line.fields.get("request") == request:
            fields |= {name: value for name, value in line.fields.items() if value}
    return fields


def _explain_outcome(lines: list[LogLine]) -> str:
    last = lines[-1]
    if last.event == "answered" and not last.fields.get("endpoint") and len(lines) > 1:
        # The instance responded without an endpoint; the line before has the reason.
        last = (
            lines[-2] if (lines[-2].event, lines[-2].fields.get("reason", "")) in CAUSES else last
        )
    text = CAUSES.get((last.event, last.fields.get("reason", ""))) or CAUSES.get((last.event, ""))
    if text is None:
        return OUTCOME_NOT_LOGGED
    values = {"last_endpoint": "the endpoint", "how": "no reason logged"}
    for line in lines:
        values |= line.fields
        if line.fields.get("endpoint"):
            values["last_endpoint"] = line.fields["endpoint"]
    if last.event == "failed" and last.fields.get("begun") == "True":
        text += STREAM_CUT_OFF
    if any(line.event == "retry_denied" for line in lines):
        text += NOT_RETRIED
    return text.format_map(_KnownFields(values))


class _KnownFields(dict[str, str]):
    """Values for the placeholders of a sentence; a value that no line has becomes `?`."""

    def __missing__(self, key: str) -> str:
        return "?"
