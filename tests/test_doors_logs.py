"""Log format: one line of key=value pairs for each event, whatever the values contain."""

from __future__ import annotations

import json
import shlex

import pytest
from wigeonarch_runtime import logs


@pytest.mark.parametrize(
    ("value", "shown"),
    [
        ("plain", "plain"),
        (17, "17"),
        (0.123456789, "0.123457"),
        ("", '""'),
        ("two words", '"two words"'),
        ("a=b", '"a=b"'),
        ('say "x"', '"say \\"x\\""'),
        ("{braces}", "{braces}"),
        ("<red>tag</red>", "<red>tag</red>"),
        ("Mūsu", "Mūsu"),
        ("back\\slash", '"back\\\\slash"'),
        ("line\nbreak", '"line\\nbreak"'),
        ("return\r", '"return\\r"'),
        ("escape\x1b[2J", '"escape\\u001b[2J"'),
        ("separator\u2028", '"separator\\u2028"'),
    ],
)
def test_one_line_for_each_event(
    capsys: pytest.CaptureFixture[str], value: object, shown: str
) -> None:
    logs.set_up("INFO", instance="entry-1", zone="zone-a")
    logs.log("something_happened", request="r1", value=value)
    (line,) = capsys.readouterr().err.splitlines()
    pairs = "level=info event=something_happened instance=entry-1 zone=zone-a request=r1"
    assert line.endswith(f" {pairs} value={shown}")
    assert line.startswith("ts=20")
    if isinstance(value, str) and shown.startswith('"'):
        assert json.loads(shown) == value


@pytest.mark.parametrize(("level", "events"), [("DEBUG", 3), ("INFO", 2), ("WARNING", 1)])
def test_only_events_of_the_set_level_are_logged(
    capsys: pytest.CaptureFixture[str], level: str, events: int
) -> None:
    logs.set_up(level, instance="entry-1", zone="zone-a")
    for event_level in ("DEBUG", "INFO", "WARNING"):
        logs.log("event", event_level)
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == events
    assert all("event" in dict(pair.split("=", 1) for pair in shlex.split(line)) for line in lines)
