"""`deploy/verification.py`: the table counts exactly the days that journal entries record."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from types import ModuleType
from typing import Any

import pytest
from deploy_scripts import load_script


@pytest.fixture(scope="module")
def verification() -> ModuleType:
    return load_script("verification")


def entry(cmd: str, *days: dict[str, Any], score: float | None = None) -> dict[str, Any]:
    return {"cmd": cmd, "head": "0123456789abcdef", "site": "s", "days": list(days), "score": score}


def day(worth: float, rules: dict[str, int] | None = None, fault: str | None = None) -> Any:
    return {"G": worth, "rules": rules or {}, "fault": fault}


@pytest.mark.parametrize(
    ("entries", "summary"),
    [
        ([entry("run", day(0.5))], None),
        ([entry("hunt", day(0.5), day(0.7))], {"worths": [0.5, 0.7]}),
        ([entry("hunt", day(0.5, {"RULE": 1}))], {"worths": [0.5], "broken": 1}),
        ([entry("hunt", day(0.0, fault="too slow"))], {"given_up": 1}),
        ([entry("hunt", day(0.5)), entry("hunt", day(0.6))], {"worths": [0.5, 0.6]}),
        ([entry("score", score=0.9)], {"score": 0.9}),
        ([entry("sweep", day(0.5), day(0.6))], {"sweep": "clean"}),
        ([entry("sweep", day(0.5), day(0.6, {"RULE": 2}))], {"sweep": "broken"}),
        ([entry("sweep", day(0.5, {"RULE": 2})), entry("sweep", day(0.6))], {"sweep": "broken"}),
    ],
)
def test_journal_entries_are_summarised(
    verification: ModuleType, entries: list[dict[str, Any]], summary: dict[str, Any] | None
) -> None:
    expected = None if summary is None else verification.Shown(**summary)
    assert verification.table(entries).get(("01234567", "s")) == expected


def test_unreadable_entries_are_skipped(verification: ModuleType, tmp_path: Path) -> None:
    (tmp_path / "1.json").write_text("{")
    (tmp_path / "2.json").write_text("[]")
    (tmp_path / "3.json").write_text(json.dumps(entry("hunt", day(0.5))))
    assert [one["cmd"] for one in verification.entries(tmp_path)] == ["hunt"]


def test_a_commit_is_selected_by_its_prefix(
    verification: ModuleType,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    (tmp_path / "1.json").write_text(json.dumps(entry("hunt", day(0.5))))
    monkeypatch.setattr(verification, "JOURNAL", tmp_path)
    for prefix, rows in (("0123", 1), ("0123456789ab", 1), ("9", 0)):
        monkeypatch.setattr(sys, "argv", ["verification.py", prefix])
        verification.main()
        assert capsys.readouterr().out.count("| s |") == rows
