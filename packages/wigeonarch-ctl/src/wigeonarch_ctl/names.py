"""Names of entries: they are validated and parsed before anything is sent to a server."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

from wigeonarch_schema import wigeonarch_pb2 as pb

FORMS: Final[dict[int, str]] = {
    pb.ENTRY_KIND_SERVICE: "SERVICE",
    pb.ENTRY_KIND_ADAPTER: "SERVICE/ADAPTER",
    pb.ENTRY_KIND_VERSION: "SERVICE/ADAPTER@VERSION",
    pb.ENTRY_KIND_RULE: "SERVICE/ADAPTER",
}

_PART: Final = r"[^/@\s]+"
_SERVICE: Final = f"(?P<service>{_PART})"
_ADAPTER: Final = f"{_SERVICE}/(?P<adapter>{_PART})"
_PATTERNS: Final[dict[int, re.Pattern[str]]] = {
    pb.ENTRY_KIND_SERVICE: re.compile(_SERVICE),
    pb.ENTRY_KIND_ADAPTER: re.compile(_ADAPTER),
    pb.ENTRY_KIND_VERSION: re.compile(f"{_ADAPTER}@(?P<version>{_PART})"),
    pb.ENTRY_KIND_RULE: re.compile(_ADAPTER),
}


@dataclass(frozen=True, slots=True)
class EntryName:
    """The parts of an entry's name; empty where names of its kind lack that part."""

    service: str
    adapter: str = ""
    version: str = ""


def parse_entry_name(kind: int, text: str) -> EntryName | None:
    """Parses a name; returns None if it doesn't have the form that its kind requires."""
    match = _PATTERNS[kind].fullmatch(text)
    return EntryName(**match.groupdict()) if match else None
