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

FIRST_PORT: Final = 10_000
FIRST_EPHEMERAL_PORT: Final = 32_768  # From here on the system chooses ports itself.
RANGE_COUNT: Final = 32  # Test processes that run side by side have ids close to each other.
RANGE_SIZE: Final = (FIRST_EPHEMERAL_PORT - FIRST_PORT) // RANGE_COUNT


def port_range(process_id: int) -> range:
    """Returns the ports of a test process, given its id."""
    start = FIRST_PORT + process_id % RANGE_COUNT * RANGE_SIZE
    return range(start, start + RANGE_SIZE)


def free_ports(ports: Iterator[int], host: str, kind: socket.SocketKind) -> Iterator[int]:
    """Yields those of the given ports on which nothing listens at the time."""
    for port in ports:
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        yield port


_own_ports: Final = itertools.cycle(port_range(os.getpid()))


def free_port(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a port that nothing listens on; for messages between gateways, of datagrams."""
    candidates = itertools.islice(_own_ports, RANGE_SIZE)
    port = next(free_ports(candidates, host, kind), None)
    assert port is not None, "all ports of this process are in use"
    return port
