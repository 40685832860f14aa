"""Finds the cause of one request's outcome in the log files of many instances.

The lines of the request are put in order of time; a table gives the sentence for the event that
ended it, filled in from those lines. What was last logged of its endpoints is shown besides. Where
the lines carry no end, that is said, too: the instance stopped, or its lines were dropped.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final

_PAIR: Final = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')

# Events that say something of an endpoint to all its requests.
ENDPOINT_EVENTS: Final = frozenset(
    {"endpoint_state", "endpoint_missing", "endpoint_gone", "endpoint_unreachable"}
)

# Sentences by the event that ended a request, and its reason where that tells more.
CAUSES: Final[dict[tuple[str, str], str]] = {
    ("answered", ""): "answered with {status} by {endpoint} after {took} s, {sends} sends",
    ("refused", "no_configuration"): "not run: the instance had not read a configuration yet",
    ("refused", "no_endpoint"): (
        "not run: of {ready} ready endpoints {shut} were passed over after failures, "
        "{loadable} could load and {with_model} held the model; waited {waited} s"
    ),
    ("refused", "service_overloaded"): (
        "not run: service {service} is asked for more than it can do within the objective"
    ),
    ("refused", "endpoints_limited"): (
        "not run: {limited} of {ready} ready endpoints of {service} had named a limit "
        "that left no place in time"
    ),
    ("refused", "over_quota"): (
        "not run: team {team} has used up its quota of {rate} a second and {burst} besides; "
        "the request costs {cost}, {left} were left by {banker} (version {version})"
    ),
    ("refused", "quota_unsure"): "not run: no instance that keeps team {team}'s quota answered",
    ("refused", "key_unsure"): (
        "not run: its key is not in version {version}, and a newer one may be in force"
    ),
    ("denied", "key_missing"): "not allowed: it had no API key, or one that can't be read",
    ("denied", "key_unknown"): "not allowed: no team holds its API key in version {version}",
    ("refused", "quarantined"): (
        "not run: endpoints ended each time they ran this request (content {content}); "
        "it is held back for {retry_after} s"
    ),
    ("refused", "endpoints_full"): "not run: every endpoint that was tried refused it",
    ("refused", "retry_budget"): "not run: the bound on repeated sends was reached",
    ("refused", "timed_out"): "not run: its time was over before an endpoint could take it",
    ("failed", "lost"): "may have run: the connection to {last_endpoint} was lost ({how})",
    ("failed", "silent"): "may have run: {last_endpoint} did not answer in the time for one try",
    ("failed", "failed"): "ran and failed at {last_endpoint}, whose answer could not be passed on",
    ("timed_out", ""): "may have run: no whole answer within the route's timeout or the deadline",
    ("caller_left", ""): "the caller left after {sends} sends; the endpoint was told",
    ("no_route", ""): "no route of version {version} for host {host}",
}
OUTCOME_NOT_LOGGED: Final = "no end is logged: the instance stopped, or its lines were dropped"
REQUEST_NOT_LOGGED: Final = "no line names this request"
NOT_RETRIED: Final = "; it was not sent again, as the bound on repeated sends was reached"
STREAM_CUT_OFF: Final = "; the stream had {events} events by then and was cut off"


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log: its time, event and pairs."""

    timestamp: str
    event: str
    fields: dict[str, str]


@dataclass(frozen=True, slots=True)
class Trace:
    """The lines of a request in order, what was known of its endpoints, and the cause."""

    lines: list[LogLine]
    endpoints: list[LogLine]
    cause: str


def parse_line(text: str) -> LogLine | None:
    """Returns the event in a line, or None when it has none."""
    pairs = {key: value.strip('"') for key, value in _PAIR.findall(text)}
    event = pairs.pop("event", "")
    return LogLine(pairs.pop("ts", ""), event, pairs) if event else None


def read_files(paths: Sequence[Path]) -> list[LogLine]:
    """Returns the events of all files, in order of time."""
    lines: list[LogLine] = []
    for path in paths:
        with path.open(errors="replace") as file:
            lines += [line for text in file if (line := parse_line(text)) is not None]
    return sorted(lines, key=lambda line: line.timestamp)


def trace_request(lines: Iterable[LogLine], request: str) -> Trace:
    """Returns what the lines tell of a request."""
    everything = list(lines)
    own = [line for line in everything if line.fields.get("request") == request]
    if not own:
        return Trace([], [], REQUEST_NOT_LOGGED)
    endpoints = {line.fields["endpoint"] for line in own if line.fields.get("endpoint")}
    last = own[-1].timestamp
    about = [
        line
        for line in everything
        if line.event in ENDPOINT_EVENTS
        and line.fields.get("endpoint") in endpoints
        and line.fields.get("instance") == own[-1].fields.get("instance")
        and line.timestamp <= last
    ]
    return Trace(own, about[-3:], _explain_outcome(own))


def _explain_outcome(own: list[LogLine]) -> str:
    end = own[-1]
    if end.event == "answered" and not end.fields.get("endpoint") and len(own) > 1:
        # What the instance answered by itself: why is in the line before.
        end = own[-2] if (own[-2].event, own[-2].fields.get("reason", "")) in CAUSES else end
    text = CAUSES.get((end.event, end.fields.get("reason", ""))) or CAUSES.get((end.event, ""))
    if text is None:
        return OUTCOME_NOT_LOGGED
    known = {"last_endpoint": "the endpoint", "how": "no reason logged"}
    for line in own:
        known |= line.fields
        if line.fields.get("endpoint"):
            known["last_endpoint"] = line.fields["endpoint"]
    if end.event == "failed" and end.fields.get("begun") == "True":
        text += STREAM_CUT_OFF
    if any(line.event == "retry_denied" for line in own):
        text += NOT_RETRIED
    return text.format_map(_KnownFields(known))


class _KnownFields(dict[str, str]):
    """Values of a sentence; what no line told is shown as unknown."""

    def __missing__(self, key: str) -> str:
        return "?"
