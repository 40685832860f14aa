"""Marks the tests listed in KNOWN-RED.txt, whose faults are open, as expected failures."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known_failures() -> dict[str, str]:
    """Returns the lines of KNOWN-RED.txt by the test id that each begins with."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {line.partition(" | ")[0]: line for line in lines}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_failures = _known_failures()
    for item in items:
        if item.nodeid in known_failures:
            # Not strict: the listed faults show only in some runs, so a pass proves nothing.
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for line in _known_failures().values():
        terminalreporter.write_line(f"known red: {line}")
