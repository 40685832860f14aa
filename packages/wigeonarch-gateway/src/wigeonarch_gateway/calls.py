"""Short calls to an endpoint itself: orders and reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from wigeonarch_gateway.connections import ConnectionLost
from wigeonarch_gateway.pools import ConnectionPools
from wigeonarch_gateway.ports import Dialect, EndpointRecord, Notice


class CallResult(msgspec.Struct, frozen=True):
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


async def call_endpoint(
    pools: ConnectionPools,
    dialect: Dialect,
    endpoint: EndpointRecord,
    method: str,
    path: str,
    body: bytes,
    timeout: float,
    may_send: Callable[[], bool] = lambda: True,
) -> CallResult:
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
    conn = await pools.acquire(endpoint)
    if conn is None:
        return CallResult(0, b"", False)
    lines = [
        f"{method} {path} HTTP/1.1".encode(),
        b"Host: " + endpoint.address.encode(),
        dialect.identity_header + b": " + endpoint.endpoint.encode(),
    ]
    if body:
        lines.append(b"Content-Type: application/json")
        lines.append(b"Content-Length: %d" % len(body))
    request = b"\r\n".join(lines) + b"\r\n\r\n" + body
    if not may_send():
        pools.release_unused(endpoint.endpoint, conn)
        return CallResult(0, b"", False)
    try:
        async with asyncio.timeout(timeout):
            conn.send_request(request, None)
            head = await conn.read_head()
            parts = []
            while part := await conn.read():
                parts.append(part)
    except (ConnectionLost, TimeoutError):
        conn.close()
        return CallResult(0, b"", True)
    except BaseException:
        conn.close()
        raise
    pools.release(endpoint.endpoint, conn)
    return CallResult(head.status, b"".join(parts), True, dialect.read_notice(head))
