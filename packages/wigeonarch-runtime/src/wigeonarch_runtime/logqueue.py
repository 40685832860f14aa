"""A bounded queue of log lines in front of a file that may not accept them in time.

A thread writes the lines, several in one call. A line that does not fit is dropped and counted, and
the count is written as a line of its own when there is room again. Nothing here makes the caller
wait: if nobody reads standard output, lines are lost, but no time.
"""

from __future__ import annotations

import os
import threading
from collections import deque
from typing import Final

MAX_LINES: Final = 4_000  # Some seconds of the busiest instance, about a megabyte.
LINES_PER_WRITE: Final = 200
WRITE_INTERVAL: Final = 0.05  # Seconds between writes, so that single lines don't wake the thread.


class LogQueue:
    """Log lines on their way to a file descriptor.

    Attributes:
        dropped: Number of lines dropped so far.
    """

    def __init__(self, fd: int, bound: int = MAX_LINES) -> None:
        self._fd = fd
        self._bound = bound
        self._lines: deque[str] = deque()
        self._started = False
        self._reported_dropped = 0
        self._idle = threading.Event()
        self._stop = threading.Event()
        self.dropped = 0

    def start(self) -> None:
        """Starts the writing thread, unless it was started before."""
        if not self._started:
            self._started = True
            threading.Thread(target=self._run, name="log", daemon=True).start()

    def put(self, line: str) -> None:
        """Adds a line, or drops it if the queue is full."""
        if len(self._lines) >= self._bound:
            self.dropped += 1
            return
        self._lines.append(str(line))

    def flush(self, timeout: float) -> None:
        """Waits at most `timeout` seconds for the thread to write all lines and stop."""
        self._stop.set()
        if self._started:
            self._idle.wait(timeout)

    def _run(self) -> None:
        while True:
            if not self._lines:
                if self._stop.is_set():
                    self._idle.set()
                    return
                self._stop.wait(WRITE_INTERVAL)
                continue
            self._write_batch()

    def _write_batch(self) -> None:
        batch = [self._lines.popleft() for _ in range(min(LINES_PER_WRITE, len(self._lines)))]
        if self.dropped > self._reported_dropped:
            batch.append(f"level=warning event=log_lines_dropped count={self.dropped}\n")
            self._reported_dropped = self.dropped
        data = "".join(batch).encode()
        while data:
            try:
                data = data[os.write(self._fd, data) :]
            except OSError:
                return  # The reader is gone, so the lines can't be written.
