"""Tests that events are forwarded only when they are complete."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wigeonarch_gateway.events import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nx-version: 3\nid: 3\ndata: c\n\n"


@pytest.mark.parametrize(
    ("parts", "forwarded", "last_id"),
    [
        ([b"id: 1\ndata: a\n\n"], b"id: 1\ndata: a\n\n", "1"),
        ([b"id: 1\nda", b"ta: a\n\nid: 2\n"], b"id: 1\ndata: a\n\n", "1"),
        ([b"data: a\n\n"], b"data: a\n\n", ""),
        ([b"version: 2\nid: 9\ndata: id: 4\n\n"], b"version: 2\nid: 9\ndata: id: 4\n\n", "9"),
        ([b"id: 1"], b"", ""),
        ([b"id: 1\r\ndata: a\r\n\r\n"], b"id: 1\r\ndata: a\r\n\r\n", "1"),
        ([b"id: 1\r\ndata: a\r\n"], b"", ""),
        ([b"id: 1\rdata: a\r\rid: 2\r"], b"id: 1\rdata: a\r\r", "1"),
        ([b"id: 1\ndata: a\r\n\n"], b"id: 1\ndata: a\r\n\n", "1"),
        ([b"id: 1\r\n", b"\r\nid: 2"], b"id: 1\r\n\r\n", "1"),
    ],
)
def test_splitting_into_complete_events(parts: list[bytes], forwarded: bytes, last_id: str) -> None:
    splitter = EventSplitter()
    assert b"".join(splitter.feed(part) for part in parts) == forwarded
    assert splitter.last_id == last_id


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_the_events_do_not_depend_on_where_the_stream_is_cut(cuts: list[int]) -> None:
    splitter = EventSplitter()
    marks = [0, *sorted(cuts), len(STREAM)]
    forwarded = b"".join(splitter.feed(STREAM[a:b]) for a, b in pairwise(marks) if a < b)
    assert forwarded == STREAM
    assert (splitter.last_id, splitter.count, splitter.take_partial()) == ("3", 3, b"")


@given(st.sampled_from([b"\n", b"\r\n", b"\r"]), st.lists(st.integers(0, 80), max_size=8))
def test_the_bytes_do_not_depend_on_line_ends_and_cuts(line_end: bytes, cuts: list[int]) -> None:
    stream = STREAM.replace(b"\n", line_end)
    splitter = EventSplitter()
    marks = [0, *sorted(cut for cut in cuts if cut < len(stream)), len(stream)]
    forwarded = b"".join(splitter.feed(stream[a:b]) for a, b in pairwise(marks) if a < b)
    assert not splitter.inside_event
    assert forwarded + splitter.take_partial() == stream
    assert splitter.last_id == "3"


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_a_stream_is_inside_an_event_unless_a_blank_line_came_last(line_end: bytes) -> None:
    lines = [b"id: 1", b"data: a", b"", b"id: 2", b"data: b", b""]
    stream = b"".join(line + line_end for line in lines)
    ends = {len(b"".join(line + line_end for line in lines[:count])) for count in (0, 3, 6)}
    # A CRLF whose LF is missing is a complete line end, as CR alone is one.
    ends |= {end - 1 for end in ends if line_end == b"\r\n" and end}
    for size in range(len(stream) + 1):
        splitter = EventSplitter()
        splitter.feed(stream[:size])
        assert splitter.inside_event == (size not in ends), stream[:size]


def test_an_incomplete_event_is_not_joined_with_the_next_stream() -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    splitter.discard_partial()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
