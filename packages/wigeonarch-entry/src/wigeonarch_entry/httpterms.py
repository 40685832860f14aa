"""Reads and checks the terms of a request (caller, priority, deadline, key) from HTTP headers.

Header values are used in metrics, in messages between instances and in digests, so a value that
could not be encoded there (bytes that are not UTF-8, numbers out of the schema's range) is refused
here.
"""

from __future__ import annotations

from typing import Final

from aiohttp import web
from wigeonarch_core.outcomes import NotRun, Reason

from wigeonarch_entry.intake import Terms
from wigeonarch_entry.texts import BAD_KEY, BAD_NUMBER

CALLER_HEADER: Final = "X-Caller"
DEADLINE_HEADER: Final = "X-Deadline-Ms"
PRIORITY_HEADER: Final = "X-Priority"
KEY_HEADER: Final = "Idempotency-Key"

# Least and greatest value of each number, as in the published schema.
PRIORITY_BOUNDS: Final = (-(2**31), 2**31 - 1)
DEADLINE_BOUNDS: Final = (0, 2**32 - 1)


def read_terms(http: web.Request) -> Terms | NotRun:
    """Returns the terms of a request; an empty idempotency key is malformed, not absent."""
    key = http.headers.get(KEY_HEADER)
    if key is not None and not key.strip():
        return NotRun(Reason.MALFORMED, detail=BAD_KEY)
    priority = _read_number(http, PRIORITY_HEADER, PRIORITY_BOUNDS)
    if isinstance(priority, NotRun):
        return priority
    deadline_ms = _read_number(http, DEADLINE_HEADER, DEADLINE_BOUNDS)
    if isinstance(deadline_ms, NotRun):
        return deadline_ms
    return Terms(
        caller=http.headers.get(CALLER_HEADER, ""),
        priority=priority,
        non_idempotent=key is not None,
        key=key or "",
        deadline_ms=deadline_ms,
    )


def _read_number(http: web.Request, name: str, bounds: tuple[int, int]) -> int | NotRun:
    least, most = bounds
    text = http.headers.get(name, "0")
    # A longer text is out of bounds, and slow to parse.
    number = int(text) if len(text) <= 12 and _is_integer(text) else None
    if number is None or not least <= number <= most:
        detail = BAD_NUMBER.format(name=name, least=least, most=most)
        return NotRun(Reason.MALFORMED, detail=detail)
    return number


def _is_integer(text: str) -> bool:
    digits = text.removeprefix("-")
    return digits.isascii() and digits.isdigit()
