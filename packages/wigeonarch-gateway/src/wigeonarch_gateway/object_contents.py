"""Contents of the objects that instances write into the store themselves: leases and holders.

Another writer may have changed them. One that can't be read names nobody.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from wigeonarch_gateway.ports import StoredObject

Content = TypeVar("Content")


class LeaseContent(msgspec.Struct):
    """An instance's lease.

    Attributes:
        address: Address for messages to it.
        zone: Its availability zone.
        incarnation: Incarnation of its process.
        count: Grows with each renewal, which makes each one a change.
        ended_under: Keys of requests under which several endpoints ended, and which ones did.
    """

    address: str
    zone: str
    incarnation: str = ""
    count: int = 0
    ended_under: list[tuple[str, list[str]]] = []


class OwnerContent(msgspec.Struct):
    """Which instance orders an engine.

    Attributes:
        holder: Name of the instance.
        taken_over: Whether it took over from another one, and had to pause first.
        nonce: Makes each write a change, as only a change gives a new fencing number.
        era: The store's era in which it was written.
    """

    holder: str
    taken_over: bool = False
    nonce: str = ""
    era: int = 0


def read_lease(found: StoredObject) -> LeaseContent | None:
    """Returns a lease's content; None when it can't be read."""
    return _read(found.spec, LeaseContent)


def read_owner(found: StoredObject) -> OwnerContent | None:
    """Returns a holder object's content; None when it can't be read."""
    return _read(found.spec, OwnerContent)


def content(struct: LeaseContent | OwnerContent) -> dict[str, Any]:
    """Returns the form in which a content is stored."""
    return msgspec.structs.asdict(struct)


def _read(spec: Any, type_: type[Content]) -> Content | None:
    try:
        return msgspec.convert(spec, type_)
    except ValueError:
        return None
