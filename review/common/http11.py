"""The little of HTTP/1.1 that the stand-ins need."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass
class Request:
    """A request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Returns the path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Returns the query's parameters."""
        text = self.target.partition("?")[2]
        pairs = (part.partition("=") for part in text.split("&") if part)
        return {name: value for name, _, value in pairs}


@dataclass
class Response:
    """A response as a client received it.

    Attributes:
        status: Status code; 0 if there was no response.
        headers: Headers by lower-case name.
        body: What arrived of the body.
        complete: Whether the body arrived to its marked end.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Reads the head of a message; returns None if the connection ended before it."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request whose body has a length; returns None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    body = await reader.readexactly(int(head[1].get("content-length", "0")))
    return Request(method, target, head[1], body)


def encode_response(status: int, headers: dict[str, str], body: bytes | None = b"") -> bytes:
    """Returns a response with a length; only its head, before chunks, if the body is None."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + (body or b"")


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    gap: float = 0.0,
) -> Response:
    """Sends a request on a new connection and reads the response until it ends.

    With a `gap`, it leaves after so many seconds without a further part of the response.
    """
    host, _, port = address.rpartition(":")
    found = Response()
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return found
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
        async with asyncio.timeout(gap or None) as patience:
            head = await read_head(reader)
            if head is not None:
                found.status = int(head[0].split(" ")[1])
                found.headers = head[1]
                await _read_body(reader, found, lambda: _extend(patience, gap))
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        pass
    finally:
        writer.transport.abort()
    return found


def _extend(patience: asyncio.Timeout, gap: float) -> None:
    if gap:
        patience.reschedule(asyncio.get_running_loop().time() + gap)


async def _read_body(
    reader: asyncio.StreamReader, found: Response, on_part: Callable[[], None]
) -> None:
    if "chunked" not in found.headers.get("transfer-encoding", ""):
        found.body = await reader.readexactly(int(found.headers.get("content-length", "0")))
        found.complete = True
        return
    while size := int((await reader.readuntil(b"\r\n")).strip() or b"0", 16):
        found.body += await reader.readexactly(size)
        await reader.readexactly(2)
        on_part()
    found.complete = True
