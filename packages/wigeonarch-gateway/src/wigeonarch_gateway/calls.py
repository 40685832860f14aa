"""Control calls to an endpoint: orders and requests for its report."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_gateway.connections import ConnectionLost
from wigeonarch_gateway.pools import ConnectionPools
from wigeonarch_gateway.ports import Dialect, EndpointRecord, Notice


class CallResult(msgspec.Struct, frozen=True):
    """The result of a call.

    Attributes:
        status: Status code of the response; 0 if there was none.
        body: Body of the response.
        sent: Whether a byte of the call was sent; if not, it can't have reached the endpoint.
        notice: What the endpoint's response headers say of the endpoint itself; None if they can't
            be read or there was no response.
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
    """Calls an endpoint; a header names it, so that another process at its address can refuse.

    Args:
        pools: Connections to endpoints.
        dialect: The platform's names of headers and paths.
        endpoint: The endpoint.
        method: HTTP method.
        path: HTTP path.
        body: Request body, in JSON; may be empty.
        timeout: Time limit for the response, in seconds.
        may_send: Called once the connection is open, just before the first byte is written; if it
            returns False, nothing is sent.
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
        async with timeout_after(timeout):
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
