"""The caller's side of one request, as the HTTP server hands it to the request pipeline."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import msgspec

from wigeonarch_gateway.ports import Headers


class CallerRequest(msgspec.Struct, frozen=True):
    """A complete request of a caller.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        host: Value of the Host header; empty if there is none.
        raw_headers: All headers, as sent.
        headers: Headers by lower-case name; of a repeated header, the first value.
        body: The complete body.
        received: Time at which the request's head was read, in seconds of the monotonic clock.
        sender: IP address from which it came; empty if unknown.
    """

    method: str
    target: str
    host: str
    raw_headers: Headers
    headers: Mapping[str, str]
    body: bytes
    received: float
    sender: str = ""

    @property
    def path(self) -> str:
        """Returns the path without the query."""
        return self.target.partition("?")[0]


class ResponseWriter(Protocol):
    """Sends the response to the caller."""

    @property
    def started(self) -> bool:
        """Tells whether a part of the response was sent."""

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response."""

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head of a response whose body follows in parts."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def finish(self) -> None:
        """Marks the response as complete."""

    def abort(self) -> None:
        """Closes the connection, so that the caller does not take the response for complete."""
