"""Structured logs: one line of key=value pairs per event.

Lines go directly to standard error, or through a bounded queue to standard output if a reader that
stops must not stop the process.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Final

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

from wigeonarch_runtime.logqueue import LogQueue

_sink: Final = LogQueue(1)
_NEEDS_QUOTES: Final = frozenset(' ="\\')


def _quoted(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if not text.isprintable():
        # Escapes everything that could end the line or move a terminal's cursor, because callers
        # choose some of the texts.
        return json.dumps(text)
    if not text or not _NEEDS_QUOTES.isdisjoint(text):
        return json.dumps(text, ensure_ascii=False)
    return text


def _line(record: Record) -> str:
    pairs = {
        "ts": record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f%z"),
        "level": record["level"].name.lower(),
        "event": record["message"],
        **record["extra"],
    }
    text = " ".join(f"{key}={_quoted(value)}" for key, value in pairs.items())
    if record["exception"] is not None:
        text += f" exc={_quoted(repr(record['exception'].value))}"
    # Loguru formats the returned text once more, so braces and tags must be escaped.
    return text.replace("{", "{{").replace("}", "}}").replace("<", r"\<") + "\n"


def set_up(level: str, **context: str) -> None:
    """Sends events of at least `level` to standard error, each with the given context."""
    logger.remove()
    logger.configure(extra=dict(context))
    logger.add(sys.stderr, level=level, format=_line, colorize=False)


def set_up_bounded(level: str, **context: str) -> None:
    """Sends events to standard output through a queue that never makes the caller wait."""
    logger.remove()
    logger.configure(extra=dict(context))
    logger.add(_sink.put, level=level, format=_line, colorize=False)
    _sink.start()


def flush(timeout: float = 1.0) -> None:
    """Waits until all logged lines are written, for at most `timeout` seconds."""
    _sink.flush(timeout)


def dropped_lines() -> int:
    """Returns the number of lines dropped because they could not be written in time."""
    return _sink.dropped


def log(event: str, level: str = "INFO", **pairs: object) -> None:
    """Logs one event.

    Args:
        event: Name of the event, in snake case.
        level: Its log level.
        **pairs: Key-value pairs that describe it.
    """
    logger.bind(**pairs).opt(depth=1).log(level, event)
