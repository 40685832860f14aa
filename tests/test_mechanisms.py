"""Removes single mechanisms from the source and checks that a scenario then fails.

The rows are in `mechanisms.py`. For every row it is checked that its text and its scenario exist. A
few rows run each time; `MECHANISMS=all` runs all of them, which takes minutes.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from mechanisms import MECHANISMS, Mechanism
from test_scenarios import CASES

ROOT = Path(__file__).parent.parent
ALWAYS_RUN = {
    "the echoed adapter and version are checked",
    "a connection lost after sending is unknown",
    "a refusal's leaving counts",
}
ROWS_TO_RUN = sorted(MECHANISMS if os.environ.get("MECHANISMS") == "all" else ALWAYS_RUN)


@pytest.mark.parametrize("name", MECHANISMS)
def test_row_names_existing_text_and_case(name: str) -> None:
    row = MECHANISMS[name]
    assert (ROOT / "packages" / row.module).read_text().count(row.text) == 1
    assert row.case in CASES


@pytest.mark.parametrize("name", ROWS_TO_RUN)
def test_case_fails_without_the_mechanism(name: str, tmp_path: Path) -> None:
    row = MECHANISMS[name]
    env = {**os.environ, "PYTHONPATH": os.pathsep.join(_packages_without(row, tmp_path))}
    env.pop("PYTEST_XDIST_WORKER", None)
    command = [sys.executable, "-m", "pytest", "-p", "no:xdist", "--basetemp", f"{tmp_path}/run"]
    command.append(f"tests/test_scenarios.py::test_case[{row.case}]")
    completed = subprocess.run(
        command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=200, check=False
    )
    # The failure must come from a step of the scenario, not from the run itself.
    assert completed.returncode == 1, completed.stdout + completed.stderr
    assert "AssertionError: at test-data/" in completed.stdout, completed.stdout + completed.stderr


def _packages_without(row: Mechanism, folder: Path) -> list[str]:
    """Copies the packages, removes the mechanism, and returns their source folders."""
    shutil.copytree(ROOT / "packages", folder / "packages", ignore=_ignore_compiled)
    module = folder / "packages" / row.module
    module.write_text(module.read_text().replace(row.text, row.replacement))
    return [str(path) for path in sorted((folder / "packages").glob("*/src"))]


_ignore_compiled = shutil.ignore_patterns("__pycache__")
