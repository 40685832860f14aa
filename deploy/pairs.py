"""Writes days on which each pair of a site's kinds of trouble occurs, and tabulates the results.

    python3 deploy/pairs.py write SITE.toml DIRECTORY [--seed N] [--each N]
    python3 deploy/pairs.py table DIRECTORY

A trouble is a fault or a planned operation. `write` draws days greedily from the list `troubles` of
a site file, whose entries are used unchanged, until all pairs of kinds are covered. Each day is a
file for `fleetbench run SITE FILE`; save the output of that run next to it as NAME.out. `table`
counts, for each pair, the played days that had both kinds, and lists the days that broke a rule.

Start times are drawn at random, so the troubles of a pair may come early or late in the day, one
within the other or apart.
"""

from __future__ import annotations

import argparse
import itertools
import random
import sys
import tomllib
from pathlib import Path
from typing import Any, Final

EARLIEST_START: Final = 1.0  # Earliest start of a trouble, in seconds from the start of traffic
LATEST_START: Final = 30.0  # Latest start, in seconds: a day lasts 41 s, so the end can be observed
DAY_LENGTH: Final = 41.0  # Seconds
# Kinds that are operations planned by an operator; all others are faults.
PLANNED: Final = frozenset(
    {
        "add_nodes",
        "big_config",
        "config_change",
        "hup",
        "model_shift",
        "release",
        "replace_core",
        "roll_term",
        "scale_in",
        "scale_out",
        "version_bump",
    }
)
# Troubles that are added if the site's list lacks their kind, since they can occur there too.
EXTRA_TROUBLES: Final[tuple[dict[str, Any], ...]] = (
    {"kind": "srv_slow", "share": 0.15, "x": 4.0, "for_s": 5.0},
    {"kind": "srv_cut", "share": 0.2, "for_s": 5.0},
    {"kind": "replace_with_reuse", "share": 0.15},
    {"kind": "scale_out", "share": 0.3, "gap_s": 1.0},
    {"kind": "after_ack_kill", "how": "kill", "for_s": 3.0},
    {"kind": "reset_conns", "share": 0.1, "x": 0.5, "for_s": 4.0},
)


def toml(value: Any) -> str:
    """Returns a value as TOML, with inline tables."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml(one)}" for key, one in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml(one) for one in value) + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    return f'"{value}"' if isinstance(value, str) else repr(value)


def draw(
    templates: list[dict[str, Any]], kinds_per_day: int, rng: random.Random
) -> list[list[dict[str, Any]]]:
    """Draws the troubles of each day, so that each pair of kinds occurs on some day.

    Args:
        templates: Troubles to choose from; a kind may have several.
        kinds_per_day: Kinds of trouble on each day.
        rng: Source of random choices.

    Returns:
        The troubles of each day, with their start times `at` in seconds.
    """
    kinds = sorted({one["kind"] for one in templates})
    uncovered = set(itertools.combinations(kinds, 2))
    days = []
    while uncovered:
        chosen = list(rng.choice(sorted(uncovered)))
        while len(chosen) < kinds_per_day:
            others = [kind for kind in kinds if kind not in chosen]
            rng.shuffle(others)
            chosen.append(
                max(others, key=lambda new: sum(_sorted_pair(new, c) in uncovered for c in chosen))
            )
        uncovered -= {_sorted_pair(a, b) for a, b in itertools.combinations(chosen, 2)}
        day = [rng.choice([one for one in templates if one["kind"] == kind]) for kind in chosen]
        days.append(
            [{**one, "at": round(rng.uniform(EARLIEST_START, LATEST_START), 2)} for one in day]
        )
    return days


def _sorted_pair(a: str, b: str) -> tuple[str, str]:
    return (a, b) if a < b else (b, a)


def write(site_file: Path, directory: Path, seed: int, kinds_per_day: int) -> None:
    """Writes the day files; classes and traffic are those of the site's quiet day."""
    site = tomllib.loads(site_file.read_text())
    quiet = next(day for day in site["day"] if day.get("slot") == "quiet")
    listed = {one["kind"] for one in site["troubles"]}
    templates = site["troubles"] + [one for one in EXTRA_TROUBLES if one["kind"] not in listed]
    rng = random.Random(seed)
    directory.mkdir(parents=True, exist_ok=True)
    for number, troubles in enumerate(draw(templates, kinds_per_day, rng)):
        day = {
            "name": f"pairs-{number}",
            "seed": rng.randrange(1, 1 << 27),
            "length_s": DAY_LENGTH,
            "plan": [one for one in troubles if one["kind"] in PLANNED],
            "faults": [one for one in troubles if one["kind"] not in PLANNED],
            "classes": quiet["classes"],
            "traffic": quiet["traffic"],
        }
        lines = [f"{key} = {toml(value)}" for key, value in day.items()]
        (directory / f"pairs-{number}.toml").write_text("\n".join(lines) + "\n")


def table(directory: Path) -> None:
    """Prints how many played days had each pair, and which days broke a rule."""
    played: dict[tuple[str, str], int] = {}
    broken = []
    kinds: set[str] = set()
    for file in sorted(directory.glob("*.toml")):
        out = file.with_suffix(".out")
        if not out.exists() or "\nworth " not in out.read_text():
            print(f"not played: {file.stem}")
            continue
        day = tomllib.loads(file.read_text())
        found = sorted({one["kind"] for one in day["plan"] + day["faults"]})
        kinds.update(found)
        for pair in itertools.combinations(found, 2):
            played[pair] = played.get(pair, 0) + 1
        if "BROKEN" in out.read_text() or "short of the gate" in out.read_text():
            broken.append(f"{file.stem}: {', '.join(found)}")
    names = sorted(kinds)
    print("| | " + " | ".join(str(number) for number, _ in enumerate(names)) + " |")
    print("|" + "---|" * (len(names) + 1))
    for number, row in enumerate(names):
        cells = [
            str(played.get(_sorted_pair(row, column), "")) if row != column else ""
            for column in names
        ]
        print(f"| {number} {row} | " + " | ".join(cells) + " |")
    missing = [pair for pair in itertools.combinations(names, 2) if pair not in played]
    print(f"\npairs not played: {len(missing)} {missing or ''}")
    print("broken: " + ("; ".join(broken) or "none"))


def main() -> int:
    """Runs the command `write` or `table`."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    commands = parser.add_subparsers(dest="verb", required=True)
    write_parser = commands.add_parser("write")
    write_parser.add_argument("site", type=Path)
    write_parser.add_argument("directory", type=Path)
    write_parser.add_argument("--seed", type=int, default=1)
    write_parser.add_argument("--each", type=int, default=9, help="kinds of trouble a day")
    table_parser = commands.add_parser("table")
    table_parser.add_argument("directory", type=Path)
    args = parser.parse_args()
    if args.verb == "write":
        write(args.site, args.directory, args.seed, args.each)
    else:
        table(args.directory)
    return 0


if __name__ == "__main__":
    sys.exit(main())
