"""Splits a stream of server-sent events into complete events, so that none is forwarded in part.

A line ends with LF, CRLF or CR, and an event with a blank line. What follows the last blank line of
a stream belongs to an event whose end is missing.
"""

from __future__ import annotations

import re
from typing import Final

from wigeonarch_gateway.answer_bounds import MAX_EVENT_BYTES, MAX_IDLE_BYTES

LINE_END: Final = rb"(?:\r\n|\n|\r(?!\n))"
EVENT_END: Final = re.compile(LINE_END * 2)
EVENT_ID: Final = re.compile(rb"(?:^|[\r\n])id:([^\r\n]*)")
LINE_END_BYTES: Final = b"\r\n"
# The first byte of a line that is neither empty nor a comment.
FIELD: Final = re.compile(rb"(?:^|[\r\n])[^:\r\n]")


class EventSplitter:
    """Holds back an incomplete event until its end arrives.

    Attributes:
        last_id: Id of the last complete event; empty before the first.
        count: Number of complete events so far.
        idle_bytes: Bytes of complete events in a row that are only comments and empty lines.
    """

    __slots__ = ("_partial", "count", "idle_bytes", "last_id")

    def __init__(self) -> None:
        self._partial = b""
        self.last_id = ""
        self.count = 0
        self.idle_bytes = 0

    @property
    def inside_event(self) -> bool:
        """Tells whether the stream has arrived up to a place inside an event."""
        return bool(self._partial.strip(LINE_END_BYTES))

    def feed(self, data: bytes) -> bytes:
        """Adds bytes to the stream; returns the events that they complete."""
        data = self._partial + data if self._partial else data
        end = 0
        for match in EVENT_END.finditer(data):
            end = match.end()
            self.count += 1
        complete, self._partial = data[:end], data[end:]
        self._note_id(complete)
        self.idle_bytes = 0 if FIELD.search(complete) else self.idle_bytes + len(complete)
        return complete

    def find_excess(self) -> str:
        """Returns what of the stream is too much; empty if nothing is."""
        if len(self._partial) > MAX_EVENT_BYTES:
            return "an event is too large"
        return "too many bytes without an event" if self.idle_bytes > MAX_IDLE_BYTES else ""

    def discard_partial(self) -> None:
        """Discards an incomplete event whose stream ended early."""
        self._partial = b""

    def take_partial(self) -> bytes:
        """Returns the bytes after the last complete event, and discards them here."""
        data, self._partial = self._partial, b""
        return data

    def _note_id(self, complete: bytes) -> None:
        for match in EVENT_ID.finditer(complete):
            self.last_id = match[1].strip().decode("latin-1")
