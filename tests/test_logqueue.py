"""Logs never make the process wait, and lost lines are told of."""

from __future__ import annotations

import os
import threading
import time

from wigeonarch_runtime.logqueue import LogQueue

LINE = "x" * 999 + "\n"


def test_a_reader_that_stops_costs_lines_and_not_time() -> None:
    reader, writer = os.pipe()
    queue = LogQueue(writer, bound=100)
    queue.start()
    done = threading.Event()

    def log_much() -> None:
        for _ in range(2_000):
            queue.put(LINE)
        done.set()

    threading.Thread(target=log_much, daemon=True).start()
    assert done.wait(30)  # Blocked for good if it waited for the reader.
    assert queue.dropped > 1_000
    kept = bytearray()
    while b"event=log_lines_dropped" not in kept:
        kept += os.read(reader, 65_536)
    os.close(reader)
    os.close(writer)


def test_lines_are_written_in_order_before_the_end() -> None:
    reader, writer = os.pipe()
    queue = LogQueue(writer)
    queue.start()
    for number in range(50):
        queue.put(f"{number}\n")
    queue.flush(30.0)
    os.close(writer)
    with os.fdopen(reader) as file:
        assert file.read().split() == [str(number) for number in range(50)]


def test_a_reader_that_is_gone_is_no_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    queue = LogQueue(writer)
    queue.start()
    queue.put(LINE)
    deadline = time.monotonic() + 30
    while queue._lines and time.monotonic() < deadline:
        time.sleep(0.01)
    assert not queue._lines
    os.close(writer)
