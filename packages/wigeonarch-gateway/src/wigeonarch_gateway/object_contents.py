"""Contents of the objects that instances write to the store themselves: leases and owner objects.

Another writer may have changed them, so content that can't be decoded is treated as unknown.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from wigeonarch_gateway.ports import StoredObject

Content = TypeVar("Content")


class LeaseContent(msgspec.Struct):
    """Content of an instance's lease.

    Attributes:
        address: The instance's address for messages.
        zone: Its availability zone.
        incarnation: Incarnation of its process.
        count: Number of renewals, which makes each renewal a change.
        ended_under: Keys of requests that crashed several endpoints, and the crashed incarnations.
        mixed: Services whose endpoints have run several versions of their software lately, with the
            Unix time at which they last did, in milliseconds.
        ended_by_part: Parts of prompts and software versions under which several endpoints crashed,
            and the crashed incarnations.
        software: Software at which streams of this instance may have begun, by service; empty text
            for several. None if an older version of the product wrote the lease.
        written_ms: Unix time at which the instance wrote it, in milliseconds.
    """

    address: str
    zone: str
    incarnation: str = ""
    count: int = 0
    ended_under: list[tuple[str, list[str]]] = []
    mixed: dict[str, int] = {}
    ended_by_part: list[tuple[str, str, list[str]]] = []
    software: dict[str, str] | None = None
    written_ms: int = 0


class OwnerContent(msgspec.Struct):
    """Content of an engine's owner object.

    Attributes:
        holder: Name of the instance that owns the engine.
        taken_over: Whether it took the engine over from another instance and had to pause first.
        nonce: Random text that makes each write a change, because only a change yields a new
            fencing token.
        era: Era of the store in which the object was written.
    """

    holder: str
    taken_over: bool = False
    nonce: str = ""
    era: int = 0


def read_lease(found: StoredObject) -> LeaseContent | None:
    """Returns a lease's content; None if it can't be decoded."""
    return _read(found.spec, LeaseContent)


def read_owner(found: StoredObject) -> OwnerContent | None:
    """Returns an owner object's content; None if it can't be decoded."""
    return _read(found.spec, OwnerContent)


def content(struct: LeaseContent | OwnerContent) -> dict[str, Any]:
    """Returns content in the form in which it is stored."""
    return msgspec.structs.asdict(struct)


def _read(spec: Any, type_: type[Content]) -> Content | None:
    try:
        return msgspec.convert(spec, type_)
    except ValueError:
        return None
