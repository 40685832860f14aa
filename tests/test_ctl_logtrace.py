"""Tests finding the cause of a request's outcome in the log lines of several instances."""

from __future__ import annotations

from pathlib import Path

import pytest
from wigeonarch_ctl import exits, logtrace
from wigeonarch_ctl.cli import main

LINE_START = "ts=2026-01-01T00:00:0{at}+0000 level=info event={event} instance=edge-1 zone=a "


def make_line(at: int, event: str, pairs: str) -> str:
    return LINE_START.format(at=at, event=event) + pairs


REFUSED_LINES = [
    make_line(1, "adapter_awaited", "request=r1 endpoint=i-9 adapter=a7 waited=0"),
    make_line(
        2,
        "refused",
        "request=r1 reason=no_endpoint retry_after=0.3 ready=6 shut=1 loadable=0 with_model=4 "
        "sends=0 waited=0.4",
    ),
]
LOST_LINES = [
    make_line(1, "sent", "request=r1 endpoint=i-9 adapter=a7 running=3"),
    make_line(3, "answer_lost", "request=r1 endpoint=i-9 how=reset"),
    make_line(4, "try_failed", "request=r1 endpoint=i-9 reason=lost sends=1"),
    make_line(5, "failed", "request=r1 reason=lost sends=1 begun=False events=0"),
]
STREAM_CUT_OFF_LINES = [
    *LOST_LINES[:3],
    make_line(5, "failed", "request=r1 reason=lost sends=1 begun=True events=134"),
]
UNRELATED_LINES = [
    make_line(2, "endpoint_unreachable", "endpoint=i-9 request=r5"),
    make_line(2, "endpoint_state", "endpoint=i-8 state=leaving"),
    make_line(9, "endpoint_gone", "endpoint=i-9 reason=removed"),
    make_line(2, "answered", "request=r2 endpoint=i-9 status=200"),
    "not a line of ours",
]


@pytest.mark.parametrize(
    ("lines", "words"),
    [
        (REFUSED_LINES, ["not run", "of 6 ready endpoints 1", "0 could load and 4 held the model"]),
        (LOST_LINES, ["may have run", "i-9", "reset"]),
        (STREAM_CUT_OFF_LINES, ["may have run", "i-9", "134 events"]),
        (
            [make_line(1, "denied", "request=r1 reason=key_unknown route=x version=7")],
            ["not allowed", "no team holds its API key", "version 7"],
        ),
        (
            [
                make_line(
                    1,
                    "refused",
                    "request=r1 reason=over_quota retry_after=0.4 version=7 team=deli cost=1632 "
                    "left=310 rate=2700 burst=2700 banker=edge-4 asked=True",
                )
            ],
            ["not run", "team deli", "2700 a second", "costs 1632", "310 were left by edge-4"],
        ),
        (
            [make_line(1, "refused", "request=r1 reason=quota_unsure team=deli cost=1632")],
            ["not run", "no instance that keeps team deli's quota"],
        ),
        (
            [make_line(1, "refused", "request=r1 reason=quarantined retry_after=894 content=3f0c")],
            ["not run", "endpoints ended each time", "3f0c", "894 s"],
        ),
        (
            [
                make_line(
                    1,
                    "refused",
                    "request=r1 reason=endpoints_limited service=desk ready=2 limited=2",
                )
            ],
            ["not run", "2 of 2 ready endpoints of desk", "limit"],
        ),
        (
            [make_line(1, "refused", "request=r1 reason=service_overloaded service=desk")],
            ["not run", "service desk is asked for more"],
        ),
        (
            [make_line(1, "answered", "request=r1 endpoint=i-9 status=200 sends=1 took=0.2")],
            ["answered with 200 by i-9"],
        ),
        (
            [
                make_line(1, "sent", "request=r1 endpoint=i-9"),
                make_line(2, "try_failed", "request=r1 endpoint=i-9 reason=failed"),
                make_line(3, "retry_denied", "request=r1 service=desk"),
                make_line(4, "failed", "request=r1 reason=failed sends=1 begun=False events=0"),
                make_line(5, "answered", "request=r1 endpoint= status=500 sends=1 took=0.05"),
            ],
            ["ran and failed at i-9", "bound on repeated sends"],
        ),
        (LOST_LINES[:1], [logtrace.OUTCOME_NOT_LOGGED]),
        ([], [logtrace.REQUEST_NOT_LOGGED]),
        ([make_line(1, "refused", "request=r1 reason=no_endpoint")], ["of ? ready endpoints"]),
    ],
)
def test_cause_of_each_outcome(lines: list[str], words: list[str]) -> None:
    parsed = [found for text in [*lines, *UNRELATED_LINES] if (found := logtrace.parse_line(text))]
    trace = logtrace.trace_request(sorted(parsed, key=lambda found: found.timestamp), "r1")
    assert [found.fields["request"] for found in trace.lines] == ["r1"] * len(lines)
    for word in words:
        assert word in trace.cause


def test_trace_has_endpoint_events_up_to_the_last_request_line() -> None:
    parsed = [
        found for text in [*LOST_LINES, *UNRELATED_LINES] if (found := logtrace.parse_line(text))
    ]
    trace = logtrace.trace_request(parsed, "r1")
    assert [found.event for found in trace.endpoints] == ["endpoint_unreachable"]


def test_lines_of_several_files_are_sorted_by_time(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "b.log").write_text("\n".join(LOST_LINES[2:]))
    (tmp_path / "a.log").write_text("\n".join([*UNRELATED_LINES, *LOST_LINES[:2]]))
    files = [str(tmp_path / name) for name in ("b.log", "a.log")]
    assert main(["explain", "r1", "--logs", *files]) == exits.OK
    shown = capsys.readouterr().out.splitlines()
    assert [text.split()[1] for text in shown[:4]] == [
        "sent",
        "answer_lost",
        "try_failed",
        "failed",
    ]
    assert shown[-1].startswith("cause: may have run")


def test_error_names_unreadable_file(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["explain", "r1", "--logs", "/nowhere/x.log"]) == exits.USAGE
    assert "/nowhere/x.log" in capsys.readouterr().err
