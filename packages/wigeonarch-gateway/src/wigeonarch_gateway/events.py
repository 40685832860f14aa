"""Splits a stream of server-sent events into whole events, so that none is passed on in part."""

from __future__ import annotations

from typing import Final

END: Final = b"\n\n"
ID_FIELD: Final = b"id:"


class EventSplitter:
    """Holds back the beginning of an event until its end has come.

    Attributes:
        last_id: Id of the last whole event; empty before the first.
        count: Whole events so far.
    """

    __slots__ = ("_partial", "count", "last_id")

    def __init__(self) -> None:
        self._partial = b""
        self.last_id = ""
        self.count = 0

    def feed(self, data: bytes) -> bytes:
        """Takes bytes and returns the whole events that they complete."""
        data = self._partial + data if self._partial else data
        end = data.rfind(END)
        if end < 0:
            self._partial = data
            return b""
        whole = data[: end + len(END)]
        self._partial = data[end + len(END) :]
        self.count += whole.count(END)
        self._note_id(whole)
        return whole

    def discard_partial(self) -> None:
        """Forgets the beginning of an event whose stream broke off."""
        self._partial = b""

    def take_partial(self) -> bytes:
        """Returns and forgets what follows the last whole event."""
        data, self._partial = self._partial, b""
        return data

    def _note_id(self, whole: bytes) -> None:
        at = whole.rfind(b"\n" + ID_FIELD)
        if at >= 0:
            start = at + 1 + len(ID_FIELD)
        elif whole.startswith(ID_FIELD):
            start = len(ID_FIELD)
        else:
            return
        end = whole.find(b"\n", start)
        self.last_id = whole[start:end].strip().decode("latin-1")
