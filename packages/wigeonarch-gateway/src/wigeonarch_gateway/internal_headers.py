"""Headers by which instances speak to one another, and which nobody else may set or see.

Whoever sends a request or a response can write any header. So what begins with `PREFIX` is dropped
from callers' requests as they come in, and from endpoints' responses before they are passed on; an
instance adds its own after that. Many programs take `_` for `-`, so both spellings are dropped.
"""

from __future__ import annotations

from typing import Final

from msgspec.structs import replace

from wigeonarch_gateway.exchange import CallerRequest
from wigeonarch_gateway.ports import Headers

PREFIX: Final = b"wigeonarch-"
TERMS_HEADER: Final = PREFIX + b"handover"
# Marks a response by which a peer states that it has not run the request and will not.
NOT_RUN_HEADER: Final = PREFIX + b"not-run"


def is_internal(name: bytes) -> bool:
    """Tells whether only instances may set a header."""
    return name.lower().replace(b"_", b"-").startswith(PREFIX)


def without_internal_headers(request: CallerRequest) -> CallerRequest:
    """Returns a request without the headers that only instances may set."""
    kept: Headers = [pair for pair in request.raw_headers if not is_internal(pair[0])]
    if len(kept) == len(request.raw_headers):
        return request
    return replace(request, raw_headers=kept)
