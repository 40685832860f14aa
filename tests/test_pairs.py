"""`deploy/pairs.py`: generated days cover all pairs of faults and can be read back."""

from __future__ import annotations

import itertools
import random
import tomllib
from pathlib import Path
from types import ModuleType

import pytest
from deploy_scripts import load_script

KINDS = ["burst", "hup", "lossy", "node_kill", "release", "zone_cut"]


@pytest.fixture(scope="module")
def pairs() -> ModuleType:
    return load_script("pairs")


@pytest.mark.parametrize("each", [2, 3, 5])
@pytest.mark.parametrize("seed", range(5))
def test_all_pairs_of_kinds_are_drawn(pairs: ModuleType, each: int, seed: int) -> None:
    days = pairs.draw([{"kind": kind} for kind in KINDS], each, random.Random(seed))
    drawn_pairs = {
        pair
        for day in days
        for pair in itertools.combinations(sorted(fault["kind"] for fault in day), 2)
    }
    assert drawn_pairs == set(itertools.combinations(KINDS, 2))
    assert all(len({fault["kind"] for fault in day}) == each for day in days)


def test_written_toml_can_be_read_back(pairs: ModuleType) -> None:
    value = {"a": [{"b": 1, "c": [0.5, "x y"], "d": True}], "e": {"f-g": "h"}}
    assert tomllib.loads("\n".join(f"{k} = {pairs.toml(v)}" for k, v in value.items())) == value


def test_the_table_lists_missing_and_failed_days(
    pairs: ModuleType, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    for number, kinds in enumerate((["burst", "hup"], ["hup", "lossy"], ["burst", "lossy"])):
        faults = [{"kind": kind, "at": 1.0} for kind in kinds]
        text = f"plan = []\nfaults = {pairs.toml(faults)}\n"
        (tmp_path / f"d{number}.toml").write_text(text)
    (tmp_path / "d0.out").write_text("d0  0.9\n\nworth 0.9\n")
    (tmp_path / "d1.out").write_text("d1  0.9 BROKEN: run twice\n\nworth 0.9\n")
    pairs.table(tmp_path)
    output = capsys.readouterr().out
    assert "not played: d2" in output
    assert "| 1 hup | 1 |  | 1 |" in output
    assert "broken: d1: hup, lossy" in output
