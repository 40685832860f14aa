"""Ports of tests: none is given to two processes of one run, or twice to one."""

from __future__ import annotations

import os
import socket

from ports import FIRST_EPHEMERAL_PORT, RANGE_COUNT, RANGE_SIZE, free_port, port_range

HOST = "127.0.0.10"


def test_processes_side_by_side_share_no_port() -> None:
    parts = [set(port_range(4_000 + number)) for number in range(RANGE_COUNT)]
    assert len(set.union(*parts)) == RANGE_COUNT * RANGE_SIZE


def test_no_port_is_one_that_the_system_gives_to_connections() -> None:
    assert all(max(port_range(process)) < FIRST_EPHEMERAL_PORT for process in range(RANGE_COUNT))


def test_a_port_is_not_returned_again_before_it_can_be_listened_on() -> None:
    found = [free_port(HOST) for _ in range(RANGE_SIZE // 2)]
    assert len(set(found)) == len(found)
    assert set(found) <= set(port_range(os.getpid()))


def test_a_port_that_is_listened_on_is_skipped() -> None:
    with socket.create_server((HOST, free_port(HOST))) as taken:
        found = {free_port(HOST) for _ in range(RANGE_SIZE)}
        assert taken.getsockname()[1] not in found
