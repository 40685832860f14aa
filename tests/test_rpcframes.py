"""The relay before the RPC server knows which calls are open, and what they hold."""

from __future__ import annotations

import random

import pytest
from wigeonarch_entry.rpcframes import (
    CONTINUATION,
    DATA,
    END_HEADERS,
    END_STREAM,
    HEADERS,
    RST_STREAM,
    Frame,
    FrameReader,
    OpenCalls,
)


def encode(frame: Frame) -> bytes:
    head = frame.size.to_bytes(3) + bytes([frame.kind, frame.flags]) + frame.stream.to_bytes(4)
    return head + b"x" * frame.size


@pytest.mark.parametrize("seed", range(20))
def test_frames_are_found_in_any_pieces(seed: int) -> None:
    rng = random.Random(seed)
    frames = [
        Frame(rng.randrange(10), rng.randrange(256), rng.randrange(2**31), rng.choice([0, 1, 300]))
        for _ in range(50)
    ]
    data = b"p" * 24 + b"".join(map(encode, frames))
    found: list[Frame] = []
    reader = FrameReader(found.append, preface=24)
    while data:
        step = rng.choice([1, 2, 9, 10, 500])
        reader.feed(data[:step])
        data = data[step:]
    assert found == frames


def begin(calls: OpenCalls, stream: int, now: float = 0.0) -> None:
    calls.note_client_frame(Frame(HEADERS, END_HEADERS, stream, 50), now)


def test_request_counts_until_its_call_has_ended() -> None:
    calls = OpenCalls()
    begin(calls, 1, 1.0)
    begin(calls, 3, 2.0)
    calls.note_client_frame(Frame(DATA, 0, 1, 100), 2.0)
    calls.note_client_frame(Frame(DATA, END_STREAM, 3, 10), 2.0)
    assert (calls.size, calls.incomplete_since, len(calls)) == (110, 1.0, 2)
    calls.note_client_frame(Frame(DATA, END_STREAM, 1, 5), 3.0)
    assert (calls.size, calls.incomplete_since) == (115, None)
    calls.note_server_frame(Frame(HEADERS, END_HEADERS, 3, 5))
    assert calls.size == 115
    calls.note_server_frame(Frame(HEADERS, END_HEADERS | END_STREAM, 3, 5))
    calls.note_server_frame(Frame(RST_STREAM, 0, 1, 4))
    assert (calls.size, len(calls)) == (0, 0)


def test_head_counts_until_it_is_whole() -> None:
    calls = OpenCalls()
    calls.note_client_frame(Frame(HEADERS, 0, 1, 100), 0.0)
    calls.note_client_frame(Frame(CONTINUATION, 0, 1, 1000), 0.0)
    assert calls.head_bytes == 1100
    calls.note_client_frame(Frame(CONTINUATION, END_HEADERS, 1, 10), 0.0)
    assert calls.head_bytes == 0


def test_data_of_a_call_that_has_ended_is_not_counted() -> None:
    calls = OpenCalls()
    begin(calls, 1)
    calls.note_server_frame(Frame(RST_STREAM, 0, 1, 4))
    calls.note_client_frame(Frame(DATA, 0, 1, 100), 0.0)
    assert calls.size == 0
