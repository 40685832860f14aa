"""Logging never makes the process wait, and dropped lines are reported."""

from __future__ import annotations

import os
import threading
import time

from wigeonarch_runtime.logqueue import LogQueue

LINE = "x" * 999 + "\n"


def test_stopped_reader_costs_lines_but_no_time() -> None:
    reader, writer = os.pipe()
    queue = LogQueue(writer, bound=100)
    queue.start()
    done = threading.Event()

    def log_many_lines() -> None:
        for _ in range(2_000):
            queue.put(LINE)
        done.set()

    threading.Thread(target=log_many_lines, daemon=True).start()
    assert done.wait(30)  # It would block forever if it waited for the reader.
    assert queue.dropped > 1_000
    kept = bytearray()
    while b"event=log_lines_dropped" not in kept:
        kept += os.read(reader, 65_536)
    os.close(reader)
    os.close(writer)


def test_flush_writes_all_lines_in_order() -> None:
    reader, writer = os.pipe()
    queue = LogQueue(writer)
    queue.start()
    for number in range(50):
        queue.put(f"{number}\n")
    queue.flush(30.0)
    os.close(writer)
    with os.fdopen(reader) as file:
        assert file.read().split() == [str(number) for number in range(50)]


def test_missing_reader_is_no_error() -> None:
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
