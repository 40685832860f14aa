"""Prints the journal's results for each deployment and commit, as a table in Markdown.

    python deploy/verification.py [COMMIT ...]

Without arguments, the commits of the last entries are shown. A hunted day is a day played by the
command `hunt`. Days that were interrupted before their end have no entry and don't count. Days
without a worth, whose `fault` is set, were given up by the program or person that played them.
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
TABLE_HEADER: Final = (
    "| commit | deployment | hunted days | broken | given up | mean worth | score | sweep |"
)


@dataclass
class Shown:
    """Results of one commit on one deployment.

    Attributes:
        worths: Worth of each hunted day that was played to its end.
        broken: Hunted days on which a rule was broken.
        given_up: Hunted days that were given up.
        score: Score of the standard days; None if they were not played.
        sweep: Result of the sweeps: empty if none was played, "clean" or "broken".
    """

    worths: list[float] = field(default_factory=list)
    broken: int = 0
    given_up: int = 0
    score: float | None = None
    sweep: str = ""

    def add_hunted_day(self, day: dict[str, Any]) -> None:
        """Adds the result of a hunted day."""
        self.broken += bool(day.get("rules"))
        if day.get("fault"):
            self.given_up += 1
        else:
            self.worths.append(float(day["G"]))

    def format_row(self, commit: str, site: str) -> str:
        """Returns the row of the Markdown table."""
        mean = f"{statistics.mean(self.worths):.3f}" if self.worths else ""
        score = "" if self.score is None else f"{self.score:.3f}"
        days = len(self.worths) + self.given_up
        return (
            f"| {commit} | {site} | {days} | {self.broken} | {self.given_up} | {mean} | {score} "
            f"| {self.sweep} |"
        )


Table = dict[tuple[str, str], Shown]


def entries(folder: Path) -> Iterator[dict[str, Any]]:
    """Yields the entries of a journal, oldest first; files without a valid entry are left out."""
    for path in sorted(folder.glob("*.json")):
        try:
            entry = json.loads(path.read_text())
        except ValueError:
            continue
        if isinstance(entry, dict) and entry.get("site") and entry.get("head"):
            yield entry


def table(journal: Iterable[dict[str, Any]]) -> Table:
    """Returns the results in entries, by commit (its first 8 digits) and deployment."""
    shown: Table = {}
    for entry in journal:
        results = shown.setdefault((entry["head"][:8], entry["site"]), Shown())
        days = entry.get("days") or []
        if entry["cmd"] == "hunt":
            for day in days:
                results.add_hunted_day(day)
        elif entry["cmd"] == "score" and entry.get("score") is not None:
            results.score = float(entry["score"])
        elif entry["cmd"] == "sweep" and days:
            clean = not any(day.get("rules") or day.get("fault") for day in days)
            results.sweep = "clean" if clean and results.sweep != "broken" else "broken"
    return {key: results for key, results in shown.items() if results != Shown()}


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description="What the journal shows, by commit.")
    parser.add_argument("commits", nargs="*")
    args = parser.parse_args()
    shown = table(entries(JOURNAL))
    heads = list(dict.fromkeys(commit for commit, _ in shown))
    wanted = tuple(commit[:8] for commit in args.commits or heads[-COMMITS_SHOWN:])
    print(TABLE_HEADER)
    print("|---" * TABLE_HEADER.count(" | ") + "|---|")
    for (commit, site), results in shown.items():
        if commit.startswith(wanted):
            print(results.format_row(commit, site))


if __name__ == "__main__":
    main()
