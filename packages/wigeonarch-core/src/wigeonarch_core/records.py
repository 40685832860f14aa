"""Documents that the project stores in the platform's object API, and their kinds."""

from __future__ import annotations

from typing import Final

import msgspec

LEASES: Final = "leases"
OWNERS: Final = "owners"
CHANGES: Final = "changes"
SNAPSHOTS: Final = "snapshots"
KEYS: Final = "idempotency"
# Owner name in the ownership of an engine whose last owner gave it up and no longer acts on it.
VACANT: Final = ""


class LeaseRecord(msgspec.Struct, frozen=True):
    """Lease of one instance, stored under the instance's name.

    Attributes:
        instance: Name of the instance.
        zone: Its availability zone.
        boot: Nonce made at its start; a different one means a new process.
        peer: Address for messages between instances.
        rpc: Address of its RPC server.
        term: Seconds for which a renewal is valid.
        applied: Number of the last configuration change that it has applied.
        draining: Whether it is shutting down.
        settled: Whether it has reached the platform for so long that all instances of its zone
            know; see `acceptance`.
    """

    instance: str
    zone: str
    boot: str
    peer: str
    rpc: str
    term: float
    applied: int
    draining: bool = False
    settled: bool = False


class OwnerRecord(msgspec.Struct, frozen=True):
    """Ownership of one engine, stored under its name; the object's version is the fencing token.

    Attributes:
        engine: Name of the engine.
        owner: Name of the owning instance; `VACANT` if the last one gave it up.
        boot: Nonce made at the owner's start.
        handed: Fencing token of the ownership that was handed over to it; 0 if it claimed the
            engine.
    """

    engine: str
    owner: str
    boot: str
    handed: int = 0


class KeyRecord(msgspec.Struct, frozen=True):
    """State of an idempotency key, stored under the key's digest.

    Attributes:
        request: Id of the request that uses the key.
        nonce: Made by the instance that handles the request; tells its own write from another
            one's.
        instance: Name of that instance.
        state: See `idempotency.KeyState`.
        expires: Unix time, in seconds, after which the record may be deleted.
        digest: Digest of what the request asks for; a different request must not use the key.
        outcome: Kind of the outcome, once it is known.
        body: The answer, once it is known and if it is small enough to be stored.
        body_kept: Whether the answer was small enough.
        reason: Why the request was not run or failed.
        status: HTTP status of a plain service's failure.
        tokens: Number of generated tokens.
        finish: Why the engine stopped generating.
        version: Adapter version that answered.
    """

    request: str
    nonce: str
    instance: str
    state: str
    expires: float
    digest: str = ""
    outcome: str = ""
    body: str = ""
    body_kept: bool = True
    reason: str = ""
    status: int = 0
    tokens: int = 0
    finish: str = ""
    version: str = ""


def change_name(number: int) -> str:
    """Returns the object name of a change; the names sort in the order of the numbers."""
    return f"{number:012d}"
