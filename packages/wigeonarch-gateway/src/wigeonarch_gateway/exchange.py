"""The caller's side of one request, as the door offers it to what passes requests on."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import msgspec

from wigeonarch_gateway.ports import Headers


class CallerRequest(msgspec.Struct, frozen=True):
    """A whole request of a caller.

    Attributes:
        method: Its method.
        target: Path and query, as sent.
        host: Host that it names.
        raw_headers: Headers as sent.
        headers: Headers by lower-case name; the first of each.
        body: Its body.
        received: Time at which its head was read, in seconds.
    """

    method: str
    target: str
    host: str
    raw_headers: Headers
    headers: Mapping[str, str]
    body: bytes
    received: float

    @property
    def path(self) -> str:
        """Returns the path without its query."""
        return self.target.partition("?")[0]


class ResponseWriter(Protocol):
    """Where the answer goes."""

    @property
    def started(self) -> bool:
        """Tells whether a part of the answer was sent."""

    async def send(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer."""

    async def start(self, status: int, headers: Headers) -> None:
        """Sends the head of an answer whose body follows in parts."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def finish(self) -> None:
        """Ends the answer as complete."""

    def abort(self) -> None:
        """Ends the connection, so that the answer does not look complete."""
