"""Follows which RPC calls are open on a connection, by the heads of its HTTP/2 frames.

Nothing of a frame's payload is read. The client's half of a connection tells which calls begin, how
many bytes they have sent and which requests are whole; the server's half tells which have ended.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

PREFACE_BYTES: Final = 24  # Bytes with which a client begins.
FRAME_HEAD_BYTES: Final = 9
# Kinds of frames, and flags.
DATA: Final = 0
HEADERS: Final = 1
RST_STREAM: Final = 3
CONTINUATION: Final = 9
END_STREAM: Final = 1
END_HEADERS: Final = 4


@dataclass(frozen=True, slots=True)
class Frame:
    """The head of a frame.

    Attributes:
        kind: Kind of the frame.
        flags: Its flags.
        stream: Number of the call that it belongs to; 0 for the connection.
        size: Bytes of its payload.
    """

    kind: int
    flags: int
    stream: int
    size: int

    @property
    def ends_stream(self) -> bool:
        """Tells whether its sender sends no more of the call."""
        return self.kind in (DATA, HEADERS) and bool(self.flags & END_STREAM)


class FrameReader:
    """Finds the heads of frames in bytes that arrive in any pieces."""

    __slots__ = ("_head", "_on_frame", "_skip")

    def __init__(self, on_frame: Callable[[Frame], None], preface: int = 0) -> None:
        """Creates a reader.

        Args:
            on_frame: Called with the head of each frame.
            preface: Bytes before the first frame.
        """
        self._on_frame = on_frame
        self._skip = preface
        self._head = b""

    def feed(self, data: bytes) -> None:
        """Reads the next bytes."""
        at = 0
        while at < len(data):
            if self._skip:
                step = min(self._skip, len(data) - at)
                self._skip -= step
                at += step
                continue
            part = data[at : at + FRAME_HEAD_BYTES - len(self._head)]
            self._head += part
            at += len(part)
            if len(self._head) == FRAME_HEAD_BYTES:
                head, self._head = self._head, b""
                self._skip = int.from_bytes(head[:3])
                stream = int.from_bytes(head[5:9]) & 0x7FFFFFFF
                self._on_frame(Frame(head[3], head[4], stream, self._skip))


@dataclass(slots=True)
class _Call:
    began: float
    size: int = 0


class OpenCalls:
    """The calls that are open on a connection.

    Attributes:
        head_bytes: Bytes of the head that is being received.
        whole_size: Bytes of the requests that are whole.
    """

    __slots__ = ("_incomplete", "_sizes", "_whole", "head_bytes", "whole_size")

    def __init__(self) -> None:
        self._incomplete: dict[int, _Call] = {}  # By their beginning.
        self._whole: dict[int, _Call] = {}
        self._sizes = 0
        self.head_bytes = 0
        self.whole_size = 0

    def __len__(self) -> int:
        return len(self._incomplete) + len(self._whole)

    @property
    def size(self) -> int:
        """Returns the bytes of all requests of open calls."""
        return self._sizes + self.head_bytes

    @property
    def incomplete_since(self) -> float | None:
        """Returns when the oldest call began whose request is not whole; None if all are."""
        first = next(iter(self._incomplete.values()), None)
        return None if first is None else first.began

    def note_client_frame(self, frame: Frame, now: float) -> None:
        """Takes in a frame of the client, at a time in seconds."""
        if frame.kind == HEADERS:
            self.head_bytes = frame.size
            if frame.stream not in self._incomplete and frame.stream not in self._whole:
                self._incomplete[frame.stream] = _Call(now)
        elif frame.kind == CONTINUATION:
            self.head_bytes += frame.size
        elif frame.kind == DATA and frame.stream in self._incomplete:
            self._incomplete[frame.stream].size += frame.size
            self._sizes += frame.size
        elif frame.kind == RST_STREAM:
            self._forget(frame.stream)
        if frame.kind in (HEADERS, CONTINUATION) and frame.flags & END_HEADERS:
            self.head_bytes = 0
        if frame.ends_stream and frame.stream in self._incomplete:
            call = self._whole[frame.stream] = self._incomplete.pop(frame.stream)
            self.whole_size += call.size

    def note_server_frame(self, frame: Frame) -> None:
        """Takes in a frame of the server."""
        if frame.ends_stream or frame.kind == RST_STREAM:
            self._forget(frame.stream)

    def _forget(self, stream: int) -> None:
        incomplete = self._incomplete.pop(stream, None)
        whole = self._whole.pop(stream, None)
        if incomplete is not None:
            self._sizes -= incomplete.size
        if whole is not None:
            self._sizes -= whole.size
            self.whole_size -= whole.size
