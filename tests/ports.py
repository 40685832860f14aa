"""Ports on which the processes of a test listen.

The system gives ports of its own range to connections and to whoever asks for any port, so one
that it has just named may be somebody else's before a process listens on it. Ports here lie below
that range; each test process counts through a part of its own and skips what is in use.
"""

from __future__ import annotations

import itertools
import os
import socket
from collections.abc import Iterator
from typing import Final

FIRST: Final = 10_000
SYSTEM_FIRST: Final = 32_768  # From here on the system chooses ports itself.
PARTS: Final = 32  # Test processes that run side by side have ids close to each other.
PART_SIZE: Final = (SYSTEM_FIRST - FIRST) // PARTS


def part_of(process: int) -> range:
    """Returns the ports of a test process, given its id."""
    start = FIRST + process % PARTS * PART_SIZE
    return range(start, start + PART_SIZE)


def free_ports(ports: Iterator[int], host: str, kind: socket.SocketKind) -> Iterator[int]:
    """Yields those of the given ports on which nothing listens at the time."""
    for port in ports:
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        yield port


_mine: Final = itertools.cycle(part_of(os.getpid()))


def free_port(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a port that nothing listens on; for messages between gateways, of datagrams."""
    candidates = itertools.islice(_mine, PART_SIZE)
    port = next(free_ports(candidates, host, kind), None)
    assert port is not None, "all ports of this process are in use"
    return port
