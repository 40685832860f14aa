"""Days on which each pair of a site's kinds of trouble meets at least once, and a table of them.

    python3 deploy/pairs.py write SITE.toml DIRECTORY [--seed N] [--each N]
    python3 deploy/pairs.py table DIRECTORY

`write` draws days greedily from the list `troubles` of a site file, which it takes as it is, until
all pairs of kinds are covered; each is a file for `fleetbench run SITE FILE`, whose output belongs
beside it as NAME.out. `table` counts, for each pair, the days played on which both came, and names
the days that broke a rule. Times are drawn, so a pair meets early, late, one in the other or apart.
"""

from __future__ import annotations

import argparse
import itertools
import random
import sys
import tomllib
from pathlib import Path
from typing import Any, Final

FIRST_AT: Final = 1.0  # Seconds from the start of traffic to the first trouble.
LAST_AT: Final = 30.0  # A day lasts 41 s; what begins here can be seen to end.
LENGTH: Final = 41.0
# Work that an operator plans; all else are faults.
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
# Kinds that a site's list may lack and that may come all the same.
MORE: Final[tuple[dict[str, Any], ...]] = (
    {"kind": "srv_slow", "share": 0.15, "x": 4.0, "for_s": 5.0},
    {"kind": "srv_cut", "share": 0.2, "for_s": 5.0},
    {"kind": "replace_with_reuse", "share": 0.15},
    {"kind": "scale_out", "share": 0.3, "gap_s": 1.0},
    {"kind": "after_ack_kill", "how": "kill", "for_s": 3.0},
    {"kind": "reset_conns", "share": 0.1, "x": 0.5, "for_s": 4.0},
)


def toml(value: Any) -> str:
    """Returns the TOML form of a value, tables in one line."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml(one)}" for key, one in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml(one) for one in value) + "]"
    if isinstance(value, bool):
        return "true" if value else "false"
    return f'"{value}"' if isinstance(value, str) else repr(value)


def draw(
    templates: list[dict[str, Any]], each: int, rng: random.Random
) -> list[list[dict[str, Any]]]:
    """Returns the troubles of each day; all pairs of kinds are in some day."""
    kinds = sorted({one["kind"] for one in templates})
    left = set(itertools.combinations(kinds, 2))
    days = []
    while left:
        chosen = list(rng.choice(sorted(left)))
        while len(chosen) < each:
            rest = [kind for kind in kinds if kind not in chosen]
            rng.shuffle(rest)
            chosen.append(max(rest, key=lambda kind: sum(_pair(kind, c) in left for c in chosen)))
        left -= {_pair(a, b) for a, b in itertools.combinations(chosen, 2)}
        day = [rng.choice([one for one in templates if one["kind"] == kind]) for kind in chosen]
        days.append([{**one, "at": round(rng.uniform(FIRST_AT, LAST_AT), 2)} for one in day])
    return days


def _pair(a: str, b: str) -> tuple[str, str]:
    return (a, b) if a < b else (b, a)


def write(site_file: Path, directory: Path, seed: int, each: int) -> None:
    """Writes the day files."""
    site = tomllib.loads(site_file.read_text())
    quiet = next(day for day in site["day"] if day.get("slot") == "quiet")
    listed = {one["kind"] for one in site["troubles"]}
    templates = site["troubles"] + [one for one in MORE if one["kind"] not in listed]
    rng = random.Random(seed)
    directory.mkdir(parents=True, exist_ok=True)
    for number, troubles in enumerate(draw(templates, each, rng)):
        day = {
            "name": f"pairs-{number}",
            "seed": rng.randrange(1, 1 << 27),
            "length_s": LENGTH,
            "plan": [one for one in troubles if one["kind"] in PLANNED],
            "faults": [one for one in troubles if one["kind"] not in PLANNED],
            "classes": quiet["classes"],
            "traffic": quiet["traffic"],
        }
        lines = [f"{key} = {toml(value)}" for key, value in day.items()]
        (directory / f"pairs-{number}.toml").write_text("\n".join(lines) + "\n")


def table(directory: Path) -> None:
    """Prints how often each pair was played, and which days broke a rule."""
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
            str(played.get(_pair(row, column), "")) if row != column else "" for column in names
        ]
        print(f"| {number} {row} | " + " | ".join(cells) + " |")
    missing = [pair for pair in itertools.combinations(names, 2) if pair not in played]
    print(f"\npairs not played: {len(missing)} {missing or ''}")
    print("broken: " + ("; ".join(broken) or "none"))


def main() -> int:
    """Reads the arguments and does what they ask for."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    verbs = parser.add_subparsers(dest="verb", required=True)
    writing = verbs.add_parser("write")
    writing.add_argument("site", type=Path)
    writing.add_argument("directory", type=Path)
    writing.add_argument("--seed", type=int, default=1)
    writing.add_argument("--each", type=int, default=9, help="kinds of trouble a day")
    showing = verbs.add_parser("table")
    showing.add_argument("directory", type=Path)
    args = parser.parse_args()
    if args.verb == "write":
        write(args.site, args.directory, args.seed, args.each)
    else:
        table(args.directory)
    return 0


if __name__ == "__main__":
    sys.exit(main())
