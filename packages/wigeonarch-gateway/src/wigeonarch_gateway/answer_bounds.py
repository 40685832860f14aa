"""Bounds on what is read from an endpoint: a faulty one may send bytes without end.

What a caller gets is bounded by its deadline alone if it is a stream, and by `MAX_BODY_BYTES` if it
is kept whole before it is forwarded. All else that arrives is overhead: heads, chunk lines and
trailers, and responses that are skipped. It is bounded by what sound endpoints send at most, in
proportion to the body where it grows with it.
"""

from __future__ import annotations

from typing import Final

# Largest body of a response that is read completely before it is forwarded.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
# Largest body of a response to an order or a request for a report.
MAX_REPORT_BYTES: Final = 2 * 1024 * 1024
# Largest body of a refusal, which nobody reads.
MAX_REFUSAL_BYTES: Final = 65_536
MAX_HEADERS: Final = 500  # Headers of one response.
# Bytes of a response that are no body: its head, its trailers and chunk lines.
MAX_OVERHEAD_BYTES: Final = 65_536
# Further such bytes for each byte of the body: a chunk of one byte takes five.
OVERHEAD_PER_BODY_BYTE: Final = 16
# Responses before the awaited one: interim ones, and those to other requests.
MAX_SKIPPED_RESPONSES: Final = 64
MAX_SKIPPED_BYTES: Final = 1024 * 1024  # Bytes of these responses.
MAX_EVENT_BYTES: Final = 1024 * 1024  # Bytes of one event of a stream.
# Bytes of a stream in a row that tell a client nothing: comments and empty lines.
MAX_IDLE_BYTES: Final = 65_536


def find_excess(received: int, body: int, skipped: int) -> str:
    """Returns what of a response is too much; empty if nothing is.

    Args:
        received: Bytes received since the request was sent.
        body: Those of them that are part of the response's body.
        skipped: Responses that were skipped.
    """
    if skipped > MAX_SKIPPED_RESPONSES:
        return "too many responses to other requests"
    allowed = MAX_OVERHEAD_BYTES + OVERHEAD_PER_BODY_BYTE * body
    if skipped:
        allowed += MAX_SKIPPED_BYTES
    return "too many bytes that are no body" if received - body > allowed else ""
