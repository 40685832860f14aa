"""An answer to a request that comes again late is no answer to an order or a report."""

from __future__ import annotations

import asyncio
import json

import pytest
from wigeonarch_gateway.calls import call_endpoint, learn_incarnation
from wigeonarch_gateway.connections import encode_head
from wigeonarch_gateway.pools import ConnectionPools
from wigeonarch_gateway.ports import EndpointRecord, EndpointState
from wigeonarch_platform.dialect import DIALECT

BORN = 1_700_000_000_000
REPORT = json.dumps({"models": [], "seq": 3, "born": BORN}).encode()
TIMEOUT = 5.0  # Seconds; no bound under test.


def _response(status: int, body: bytes = b"", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} Any", *headers, f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class CopyingEndpoint:
    """An endpoint that answers a request, and again just before its next answer.

    Attributes:
        copy: What it sends before the answer to a call.
    """

    def __init__(self, copy: bytes) -> None:
        self.copy = copy

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                return
            if b"/wigeonarch/report" in head:
                writer.write(self.copy + _response(200, REPORT))
            elif b"/wigeonarch/order" in head:
                writer.write(self.copy + _response(409))
            else:
                writer.write(_response(200, b"ok", "X-Request-Id: r1", "X-Server-Stamp: s"))


COPIES = {
    "answer": _response(200, b"ok", "X-Request-Id: r1", "X-Server-Stamp: s"),
    "accepted": _response(202, b"", "X-Request-Id: r1", "X-Server-Stamp: s"),
    "refusal": _response(421, b"", "X-Request-Id: r1"),
    "old_report": _response(200, REPORT.replace(b"3", b"9"), "X-Request-Id: r1"),
}


@pytest.mark.parametrize("copy", COPIES)
async def test_an_answer_to_a_request_that_comes_late_is_no_answer_to_a_call(copy: str) -> None:
    endpoint = CopyingEndpoint(COPIES[copy])
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    record = EndpointRecord("i-1", "s", f"{host}:{port}", "a", 8, EndpointState.READY, (), BORN, "")
    pools = ConnectionPools(asyncio.get_running_loop(), "")
    async with server:
        conn = await pools.acquire(record)
        assert conn is not None
        conn.send_request(encode_head("POST", "/x", [(b"X-Request-Id", b"r1")], b""), None)
        await conn.read_head()
        await conn.read_all()
        pools.release("i-1", conn)
        order = await call_endpoint(
            pools, DIALECT, record, "POST", "/wigeonarch/order", b"{}", TIMEOUT
        )
        report = await call_endpoint(
            pools, DIALECT, record, "GET", DIALECT.report_path, b"", TIMEOUT
        )
        learnt = await pools.acquire(record)
        assert learnt is not None
        assert await learn_incarnation(learnt, DIALECT, record, TIMEOUT)
        learnt.close()
        pools.close()
    assert order.status == 409
    assert (report.status, report.body) == (200, REPORT)
    assert learnt.process_born == BORN
