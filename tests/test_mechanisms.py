"""Removes a mechanism and shows that the case which needs it fails.

The rows are in `mechanisms.py`. All are checked for naming text and cases that are there; a few are
run each time, and all of them with `MECHANISMS=all`, which takes minutes.
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
ALWAYS = {
    "the echoed adapter and version are checked",
    "a connection lost after sending is unknown",
    "a refusal's leaving counts",
}
RUN = sorted(MECHANISMS if os.environ.get("MECHANISMS") == "all" else ALWAYS)


@pytest.mark.parametrize("name", MECHANISMS)
def test_row_names_what_is_there(name: str) -> None:
    row = MECHANISMS[name]
    assert (ROOT / "packages" / row.module).read_text().count(row.text) == 1
    assert row.case in CASES


@pytest.mark.parametrize("name", RUN)
def test_case_fails_without_the_mechanism(name: str, tmp_path: Path) -> None:
    row = MECHANISMS[name]
    env = {**os.environ, "PYTHONPATH": os.pathsep.join(_packages_without(row, tmp_path))}
    env.pop("PYTEST_XDIST_WORKER", None)
    command = [sys.executable, "-m", "pytest", "-p", "no:xdist", "--basetemp", f"{tmp_path}/run"]
    command.append(f"tests/test_scenarios.py::test_case[{row.case}]")
    done = subprocess.run(
        command, cwd=ROOT, env=env, capture_output=True, text=True, timeout=200, check=False
    )
    # The case itself must have failed, at one of its steps.
    assert done.returncode == 1, done.stdout + done.stderr
    assert "AssertionError: at test-data/" in done.stdout, done.stdout + done.stderr


def _packages_without(row: Mechanism, folder: Path) -> list[str]:
    """Copies the packages without the mechanism; returns their source folders."""
    shutil.copytree(ROOT / "packages", folder / "packages", ignore=_compiled)
    module = folder / "packages" / row.module
    module.write_text(module.read_text().replace(row.text, row.replacement))
    return [str(path) for path in sorted((folder / "packages").glob("*/src"))]


_compiled = shutil.ignore_patterns("__pycache__")
