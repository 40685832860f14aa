"""Passes over the tests that KNOWN-RED.txt lists, and prints them: their faults are still open."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known() -> dict[str, str]:
    """Returns the lines of the list by the test that each begins with."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line for line in KNOWN_RED.read_text().splitlines() if line.strip()]
    return {line.partition(" | ")[0]: line for line in lines}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known = _known()
    for item in items:
        if item.nodeid in known:
            # Not strict: the listed faults show only in some runs, and a pass proves nothing then.
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for line in _known().values():
        terminalreporter.write_line(f"known red: {line}")
