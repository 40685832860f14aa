"""Content key of a request: a digest that is the same for all attempts of one request.

When a caller repeats a request, each attempt has an id of its own and may reach any instance. What
instances remember of a request beyond one attempt is stored under this key. The digest is
cryptographic, so that no caller can craft a request with the key of another one.
"""

from __future__ import annotations

import hashlib
from typing import Final

KEY_BYTES: Final = 12
SEPARATOR: Final = b"\0"  # Occurs in no method, host or target, so the parts stay distinct.


def content_key(method: str, host: str, target: str, body: bytes) -> str:
    """Returns the content key of a request, in hexadecimal.

    Args:
        method: HTTP method.
        host: Host that the request names.
        target: Path and query.
        body: Body of the request.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (method, host.lower(), target):
        digest.update(part.encode("latin-1", "replace"))
        digest.update(SEPARATOR)
    digest.update(body)
    return digest.hexdigest()
