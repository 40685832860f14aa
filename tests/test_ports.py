"""Ports of tests: none is given to two processes of one run, or twice to one."""

from __future__ import annotations

import os
import socket

from ports import PART_SIZE, PARTS, SYSTEM_FIRST, free_port, part_of

HOST = "127.0.0.10"


def test_processes_side_by_side_share_no_port() -> None:
    parts = [set(part_of(4_000 + number)) for number in range(PARTS)]
    assert len(set.union(*parts)) == PARTS * PART_SIZE


def test_no_port_is_one_that_the_system_gives_to_connections() -> None:
    assert all(max(part_of(process)) < SYSTEM_FIRST for process in range(PARTS))


def test_a_port_is_not_returned_again_before_it_can_be_listened_on() -> None:
    found = [free_port(HOST) for _ in range(PART_SIZE // 2)]
    assert len(set(found)) == len(found)
    assert set(found) <= set(part_of(os.getpid()))


def test_a_port_that_is_listened_on_is_skipped() -> None:
    with socket.create_server((HOST, free_port(HOST))) as taken:
        found = {free_port(HOST) for _ in range(PART_SIZE)}
        assert taken.getsockname()[1] not in found
