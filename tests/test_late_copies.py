"""A late second copy of a refusal is no answer to the next dispatch of the same request."""

from __future__ import annotations

import asyncio

import pytest
from gateway_world import until_true, world

RUN_TIME = 0.5  # Seconds that an endpoint takes for a request.
COPY_AFTER = 0.25  # Seconds after a refusal at which its copy comes.


class CopyingEndpoint:
    """An endpoint that refuses the first dispatch of a request, says so twice, and runs the others.

    Attributes:
        executed: Number of dispatches that it ran.
    """

    def __init__(self) -> None:
        self.executed = 0
        self._refused = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return
            lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
            own = b"X-Request-Id: " + lines[b"x-request-id"] + b"\r\nX-Server-Stamp: i-copy.1\r\n"
            if not self._refused:
                self._refused = True
                refusal = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n" + own
                refusal += b"Content-Length: 0\r\n\r\n"
                writer.write(refusal)
                asyncio.get_running_loop().call_later(COPY_AFTER, writer.write, refusal)
                continue
            self.executed += 1
            answer = b"HTTP/1.1 200 OK\r\n" + own + b"Content-Length: 2\r\n\r\nok"
            asyncio.get_running_loop().call_later(RUN_TIME, writer.write, answer)


@pytest.mark.parametrize("path", ["/book/x", "/ask/x"])
async def test_a_request_runs_once_although_its_refusal_comes_again_late(path: str) -> None:
    endpoint = CopyingEndpoint()
    server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with server, world() as deployment:
        [node], store = deployment.nodes, deployment.store
        entry = {**deployment.replicas[1].record(), "address": f"{host}:{port}"}
        await store.delete("servers", "i-desk")
        await store.put("servers", "i-copy", entry)
        await until_true(
            lambda: node._endpoints.get("i-copy") and not node._endpoints.get("i-desk")
        )
        answer = await deployment.send_request(path)
        assert (answer.status, answer.body) == (200, b"ok")
        assert endpoint.executed == 1
