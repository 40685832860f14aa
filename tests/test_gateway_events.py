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


def test_an_incomplete_event_is_not_joined_with_the_next_stream() -> None:
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    splitter.discard_partial()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
