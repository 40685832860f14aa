"""What an instance states when it hands a request over to a peer, and what the peer states back.

A request is handed over once only: the peer serves it by itself or refuses it. It travels over HTTP
with the headers that an endpoint would get, and with one more that holds its terms. The response is
the endpoint's, byte for byte, or the peer's own.
"""

from __future__ import annotations

from typing import Final

import msgspec
from wigeonarch_core.decoding import decode_json

# Statuses with which an instance itself refuses a request that has not run; those of endpoints are
# never forwarded.
REFUSAL_STATUSES: Final = frozenset({429, 503})


class HandoverTerms(msgspec.Struct, frozen=True):
    """Terms of a request that is handed over.

    Attributes:
        origin: Name of the instance that took the request from its caller.
        elapsed: Seconds since then.
        team: Team whose key the caller sent; empty for none. Keys are not handed over.
        ran_on: Endpoints on which the request may have run.
        service: Service that began the stream of which the caller has events; empty if none did.
        software: Software that began it, as in `core.stream_origins`.
    """

    origin: str
    elapsed: float
    team: str
    ran_on: tuple[str, ...]
    service: str = ""
    software: str = ""


def encode_terms(terms: HandoverTerms) -> bytes:
    """Returns the value of `internal_headers.TERMS_HEADER`."""
    return msgspec.json.encode(terms)


def decode_terms(value: bytes) -> HandoverTerms:
    """Returns the terms in a value of `internal_headers.TERMS_HEADER`.

    Raises:
        ValueError: It can't be decoded.
    """
    return decode_json(value, HandoverTerms)
