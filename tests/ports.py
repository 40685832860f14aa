"""Allocates ports on which the processes of a test can listen.

The operating system assigns ports of its ephemeral range to outgoing connections and to binds to
port 0, so another process may take a port that it has just returned. The ports allocated here lie
below that range. Each test process cycles through a range of its own and skips ports in use.
"""

from __future__ import annotations

import itertools
import os
import socket
from collections.abc import Iterator
from typing import Final

FIRST_PORT: Final = 10_000
FIRST_EPHEMERAL_PORT: Final = 32_768  # Start of the ephemeral range.
RANGE_COUNT: Final = 32  # Concurrent test processes have ids close to each other.
RANGE_SIZE: Final = (FIRST_EPHEMERAL_PORT - FIRST_PORT) // RANGE_COUNT


def port_range(process_id: int) -> range:
    """Returns the ports that the test process with the given id may use."""
    start = FIRST_PORT + process_id % RANGE_COUNT * RANGE_SIZE
    return range(start, start + RANGE_SIZE)


def free_ports(ports: Iterator[int], host: str, kind: socket.SocketKind) -> Iterator[int]:
    """Yields those of the given ports that can be bound now."""
    for port in ports:
        with socket.socket(type=kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
        yield port


_own_ports: Final = itertools.cycle(port_range(os.getpid()))


def free_port(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a port that is not in use.

    Args:
        host: Address to listen on.
        kind: `SOCK_STREAM` for TCP; `SOCK_DGRAM` for messages between gateways, over UDP.
    """
    candidates = itertools.islice(_own_ports, RANGE_SIZE)
    port = next(free_ports(candidates, host, kind), None)
    assert port is not None, "all ports of this process are in use"
    return port
