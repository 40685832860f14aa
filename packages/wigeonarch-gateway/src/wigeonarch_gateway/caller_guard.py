"""What a server for callers or peers asks about a request before it has read its body."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec
from wigeonarch_runtime.caller_memory import CallerMemory
from wigeonarch_runtime.guarded_server import BodyRefusal, EndReason, ServerBounds

from wigeonarch_gateway.ports import Headers


class CallerGuard(msgspec.Struct, frozen=True):
    """The bounds of one server.

    Attributes:
        memory: Account of the process.
        bounds: Returns the bounds on its connections.
        max_body_bytes: Returns the largest request body that is allowed, in bytes.
        body_time: Returns the seconds that the body of a request may take, by its host, path and
            headers.
        on_ended: Called when a connection is ended.
        on_refused: Called when a request is refused because of its body.
        reads_body: Tells whether bodies from an IP address are read at all.
        refusal_headers: Further headers of such a refusal.
    """

    memory: CallerMemory
    bounds: Callable[[], ServerBounds]
    max_body_bytes: Callable[[], int]
    body_time: Callable[[str, str, Mapping[str, str]], float]
    on_ended: Callable[[EndReason], None]
    on_refused: Callable[[BodyRefusal], None]
    reads_body: Callable[[str], bool] = lambda sender: True
    refusal_headers: Headers = ()
