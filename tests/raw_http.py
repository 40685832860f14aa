"""A caller that reads responses from the socket itself, to tell what may be taken for complete."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass
class RawResponse:
    """A response as its bytes arrived.

    Attributes:
        status: Status code; 0 if there was no head.
        body: The body, without its framing.
        complete: Whether the caller has to take the body for complete.
    """

    status: int
    body: bytes
    complete: bool


async def request_raw(
    address: str, path: str, headers: dict[str, str], http: str = "HTTP/1.1"
) -> RawResponse:
    """Sends a request on a connection of its own and reads until the connection has ended."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"POST {path} {http}", *(f"{name}: {value}" for name, value in headers.items())]
    writer.write("\r\n".join([*lines, "Connection: close", "Content-Length: 0", "", ""]).encode())
    received = bytearray()
    closed_in_order = True
    try:
        while data := await reader.read(65_536):
            received += data
    except ConnectionError:
        closed_in_order = False
    finally:
        writer.transport.abort()
    return _parse(bytes(received), closed_in_order)


def _parse(received: bytes, closed_in_order: bool) -> RawResponse:
    head, end, rest = received.partition(b"\r\n\r\n")
    if not end:
        return RawResponse(0, b"", False)
    status_line, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    status = int(status_line.split(" ")[1])
    if headers.get("transfer-encoding") == "chunked":
        body, complete = _decode_chunks(rest)
        return RawResponse(status, body, complete)
    if "content-length" in headers:
        return RawResponse(status, rest, len(rest) == int(headers["content-length"]))
    return RawResponse(status, rest, closed_in_order)


def _decode_chunks(data: bytes) -> tuple[bytes, bool]:
    """Returns the body of a chunked response, and whether its last chunk arrived."""
    body = b""
    while True:
        size_line, found, data = data.partition(b"\r\n")
        if not found:
            return body, False
        size = int(size_line, 16)
        if not size:
            return body, data == b"\r\n"
        body += data[:size]
        if len(data) < size + 2:
            return body, False
        data = data[size + 2 :]
