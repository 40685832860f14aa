"""Short calls to an endpoint itself: orders and reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from wigeonarch_gateway.connections import Lost
from wigeonarch_gateway.pools import Pools
from wigeonarch_gateway.ports import Dialect, EndpointRecord, Notice


class CallAnswer(msgspec.Struct, frozen=True):
    """The answer to a call; `sent` is False when it can't have reached the endpoint.

    Attributes:
        status: Status of the answer; 0 when there was none.
        body: Its body.
        sent: Whether a byte of the call was sent.
        notice: What the endpoint says of itself; None when it can't be told.
    """

    status: int
    body: bytes
    sent: bool
    notice: Notice | None = None


async def call(
    pools: Pools,
    dialect: Dialect,
    endpoint: EndpointRecord,
    method: str,
    path: str,
    body: bytes,
    timeout: float,
    may_send: Callable[[], bool] = lambda: True,
) -> CallAnswer:
    """Calls an endpoint, naming the one that is meant.

    Args:
        pools: Connections.
        dialect: How things are spelled.
        endpoint: The endpoint.
        method: Method of the call.
        path: Its path.
        body: Its body, in JSON; may be empty.
        timeout: Longest time for the answer, in seconds.
        may_send: Asked when the connection stands, just before the first byte is written.
    """
    conn = await pools.take(endpoint)
    if conn is None:
        return CallAnswer(0, b"", False)
    lines = [
        f"{method} {path} HTTP/1.1".encode(),
        b"Host: " + endpoint.address.encode(),
        dialect.identity + b": " + endpoint.endpoint.encode(),
    ]
    if body:
        lines.append(b"Content-Type: application/json")
        lines.append(b"Content-Length: %d" % len(body))
    request = b"\r\n".join(lines) + b"\r\n\r\n" + body
    if not may_send():
        pools.put_back(endpoint.endpoint, conn)
        return CallAnswer(0, b"", False)
    try:
        async with asyncio.timeout(timeout):
            conn.begin(request, None)
            head = await conn.head()
            parts = []
            while part := await conn.read():
                parts.append(part)
    except (Lost, TimeoutError):
        conn.close()
        return CallAnswer(0, b"", True)
    except BaseException:
        conn.close()
        raise
    pools.give_back(endpoint.endpoint, conn)
    return CallAnswer(head.status, b"".join(parts), True, dialect.read_notice(head))
