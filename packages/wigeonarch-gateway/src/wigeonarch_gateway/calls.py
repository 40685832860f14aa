"""Control calls to an endpoint: orders and requests for its report."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec
from wigeonarch_runtime.timeouts import timeout_after

from wigeonarch_gateway.answer_bounds import MAX_REPORT_BYTES
from wigeonarch_gateway.connections import Connection, ConnectionLost
from wigeonarch_gateway.pools import ConnectionPools
from wigeonarch_gateway.ports import Dialect, EndpointRecord, Notice, ResponseHead

OK: Final = 200


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
    request = _encode_call(dialect, endpoint, method, path, body)
    if not may_send():
        pools.release_unused(endpoint.endpoint, conn)
        return CallResult(0, b"", False)
    try:
        async with timeout_after(timeout):
            head, found = await _exchange(conn, dialect, request)
    except (ConnectionLost, TimeoutError):
        conn.close()
        return CallResult(0, b"", True)
    except BaseException:
        conn.close()
        raise
    pools.release(endpoint.endpoint, conn)
    return CallResult(head.status, found, True, dialect.read_notice(head))


async def learn_incarnation(
    conn: Connection, dialect: Dialect, endpoint: EndpointRecord, timeout: float
) -> bool:
    """Learns which process is at the other end of a connection; returns whether it told.

    An endpoint that restarted under its id may run other software than its record says. A
    connection leads to one process only, so its report tells for all that is sent on it. After a
    failure the connection can't be used any more.

    Args:
        conn: An unused or idle connection to the endpoint; its `process_born` is set.
        dialect: The platform's names of headers and paths.
        endpoint: The record.
        timeout: Time limit for the report, in seconds.
    """
    request = _encode_call(dialect, endpoint, "GET", dialect.report_path, b"")
    try:
        async with timeout_after(timeout):
            head, body = await _exchange(conn, dialect, request)
        if head.status != OK or not conn.finish():
            return False
        conn.process_born = dialect.decode_report(body).born
    except (ConnectionLost, TimeoutError, ValueError):
        return False
    return True


def _encode_call(
    dialect: Dialect, endpoint: EndpointRecord, method: str, path: str, body: bytes
) -> bytes:
    lines = [
        f"{method} {path} HTTP/1.1".encode(),
        b"Host: " + endpoint.address.encode(),
        dialect.identity_header + b": " + endpoint.endpoint.encode(),
    ]
    if body:
        lines.append(b"Content-Type: application/json")
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def _exchange(
    conn: Connection, dialect: Dialect, request: bytes
) -> tuple[ResponseHead, bytes]:
    """Sends a call and reads the response.

    A call has no id. So a response that names one belongs to a request that was sent before.
    """
    conn.send_request(request, lambda head: dialect.answered_id(head) is not None)
    head = await conn.read_head()
    return head, await conn.read_all(MAX_REPORT_BYTES)
