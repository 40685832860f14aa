"""Splits a stream of server-sent events into complete events, so that none is forwarded in part."""

from __future__ import annotations

from typing import Final

END: Final = b"\n\n"
ID_FIELD: Final = b"id:"


class EventSplitter:
    """Holds back an incomplete event until its end arrives.

    Attributes:
        last_id: Id of the last complete event; empty before the first.
        count: Number of complete events so far.
    """

    __slots__ = ("_partial", "count", "last_id")

    def __init__(self) -> None:
        self._partial = b""
        self.last_id = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Adds bytes to the stream; returns the events that they complete."""
        data = self._partial + data if self._partial else data
        end = data.rfind(END)
        if end < 0:
            self._partial = data
            return b""
        complete = data[: end + len(END)]
        self._partial = data[end + len(END) :]
        self.count += complete.count(END)
        self._note_id(complete)
        return complete

    def discard_partial(self) -> None:
        """Discards an incomplete event whose stream ended early."""
        self._partial = b""

    def take_partial(self) -> bytes:
        """Returns the bytes after the last complete event, and discards them here."""
        data, self._partial = self._partial, b""
        return data

    def _note_id(self, complete: bytes) -> None:
        at = complete.rfind(b"\n" + ID_FIELD)
        if at >= 0:
            start = at + 1 + len(ID_FIELD)
        elif complete.startswith(ID_FIELD):
            start = len(ID_FIELD)
        else:
            return
        end = complete.find(b"\n", start)
        self.last_id = complete[start:end].strip().decode("latin-1")
