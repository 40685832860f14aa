"""Reading of what endpoints say of themselves in the heads of their responses."""

from __future__ import annotations

import pytest
from wigeonarch_gateway.ports import Notice, ResponseHead
from wigeonarch_platform.dialect import read_notice


@pytest.mark.parametrize(
    ("status", "headers", "notice"),
    [
        (200, {}, Notice()),
        (200, {b"server-leaving": b"1"}, Notice(leaving=True)),
        (500, {b"server-leaving": b" 1 "}, Notice(leaving=True)),
        (503, {b"server-leaving": b"1", b"retry-after": b"2"}, Notice(leaving=True, cooldown=2.0)),
        (200, {b"server-leaving": b"0"}, Notice()),
        (200, {b"server-leaving": b""}, Notice()),
        (503, {b"retry-after": b"0.5"}, Notice(cooldown=0.5)),
        (503, {b"retry-after": b"0"}, Notice()),
        (503, {b"retry-after": b"-1"}, Notice()),
        (503, {b"retry-after": b"nan"}, Notice()),
        (503, {b"retry-after": b"inf"}, Notice()),
        (503, {b"retry-after": b"Fri, 04 Dec 2026 10:00:00 GMT"}, Notice()),
        # Only a refusal asks for a cooldown.
        (200, {b"retry-after": b"3"}, Notice()),
        (500, {b"retry-after": b"3"}, Notice()),
        # Misdirected: another endpoint may have the address by now.
        (421, {b"server-leaving": b"1", b"server-limit": b"1"}, None),
    ],
)
def test_notice_of_a_response_head_is_read(
    status: int, headers: dict[bytes, bytes], notice: Notice | None
) -> None:
    assert read_notice(ResponseHead(status, tuple(headers.items()))) == notice
