"""Prints what the journal shows for each deployment and commit, as a table in Markdown.

    python deploy/verification.py [COMMIT ...]

Without commits, those of the last entries are shown. Days that were ended before their end have no
entry and don't count; days without a figure were given up by whoever played them.
"""

from __future__ import annotations

import argparse
import json
import statistics
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

JOURNAL: Final = Path(__file__).parent.parent / "journal"
COMMITS_SHOWN: Final = 3
HEAD: Final = (
    "| commit | deployment | hunted days | broken | given up | mean worth | score | sweep |"
)


@dataclass
class Shown:
    """What one commit showed on one deployment.

    Attributes:
        worths: Worth of each hunted day that was played to its end.
        broken: Hunted days on which a rule was broken.
        given_up: Hunted days that were given up.
        score: Score of the standard days; None when it was not played.
        sweep: Whether a sweep was played: nothing, "clean" or "broken".
    """

    worths: list[float] = field(default_factory=list)
    broken: int = 0
    given_up: int = 0
    score: float | None = None
    sweep: str = ""

    def hunted(self, day: dict[str, Any]) -> None:
        """Counts a hunted day."""
        self.broken += bool(day.get("rules"))
        if day.get("fault"):
            self.given_up += 1
        else:
            self.worths.append(float(day["G"]))

    def row(self, commit: str, site: str) -> str:
        """Returns its row of the table."""
        mean = f"{statistics.mean(self.worths):.3f}" if self.worths else ""
        score = "" if self.score is None else f"{self.score:.3f}"
        days = len(self.worths) + self.given_up
        return (
            f"| {commit} | {site} | {days} | {self.broken} | {self.given_up} | {mean} | {score} "
            f"| {self.sweep} |"
        )


Table = dict[tuple[str, str], Shown]


def entries(folder: Path) -> Iterator[dict[str, Any]]:
    """Yields the entries of a journal, oldest first; what can't be read is left out."""
    for path in sorted(folder.glob("*.json")):
        try:
            entry = json.loads(path.read_text())
        except ValueError:
            continue
        if isinstance(entry, dict) and entry.get("site") and entry.get("head"):
            yield entry


def table(found: Iterable[dict[str, Any]]) -> Table:
    """Returns what entries show, by commit and deployment."""
    shown: Table = {}
    for entry in found:
        one = shown.setdefault((entry["head"][:8], entry["site"]), Shown())
        days = entry.get("days") or []
        if entry["cmd"] == "hunt":
            for day in days:
                one.hunted(day)
        elif entry["cmd"] == "score" and entry.get("score") is not None:
            one.score = float(entry["score"])
        elif entry["cmd"] == "sweep" and days:
            clean = not any(day.get("rules") or day.get("fault") for day in days)
            one.sweep = "clean" if clean and one.sweep != "broken" else "broken"
    return {key: one for key, one in shown.items() if one != Shown()}


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description="What the journal shows, by commit.")
    parser.add_argument("commits", nargs="*")
    args = parser.parse_args()
    shown = table(entries(JOURNAL))
    heads = list(dict.fromkeys(commit for commit, _ in shown))
    wanted = tuple(commit[:8] for commit in args.commits or heads[-COMMITS_SHOWN:])
    print(HEAD)
    print("|---" * HEAD.count(" | ") + "|---|")
    for (commit, site), one in shown.items():
        if commit.startswith(wanted):
            print(one.row(commit, site))


if __name__ == "__main__":
    main()
