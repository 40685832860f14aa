"""What is the same for two attempts of one request: a digest of what it asks for.

Each attempt of a caller has an id of its own and may reach any instance. What is remembered of a
request beyond one attempt goes by this key. A cryptographic digest keeps callers from making a
request that is taken for somebody else's.
"""

from __future__ import annotations

import hashlib
from typing import Final

KEY_BYTES: Final = 12
SEPARATOR: Final = b"\0"  # It is in no method, host or target, so parts can't run into each other.


def content_key(method: str, host: str, target: str, body: bytes) -> str:
    """Returns the key of a request, in hexadecimal.

    Args:
        method: Its method.
        host: The host that it names.
        target: Path and query.
        body: Its body.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (method, host.lower(), target):
        digest.update(part.encode("latin-1", "replace"))
        digest.update(SEPARATOR)
    digest.update(body)
    return digest.hexdigest()
