"""Documents that the project keeps in the platform's object API, by kind."""

from __future__ import annotations

from typing import Final

import msgspec

LEASES: Final = "leases"
OWNERS: Final = "owners"
CHANGES: Final = "changes"
SNAPSHOTS: Final = "snapshots"
KEYS: Final = "idempotency"
# Owner of an engine whose last owner gave it up and acts no more.
VACANT: Final = ""


class LeaseRecord(msgspec.Struct, frozen=True):
    """Lease of one instance, kept under its name.

    Attributes:
        instance: Its name.
        zone: Its availability zone.
        boot: Nonce made at its start; another one means a new process.
        peer: Address for messages between instances.
        rpc: Address of its RPC door.
        term: Seconds that a renewal holds.
        applied: Last configuration change in force there.
        draining: Whether it is shutting down.
        settled: Whether it has reached the platform for so long that its zone knows; see
            `acceptance`.
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
    """Ownership of one engine, kept under its name; the object's version is the fencing number.

    Attributes:
        engine: Name of the engine.
        owner: Name of the owning instance; `VACANT` when the last one gave it up.
        boot: Nonce made at its start.
        handed: Fencing number of the ownership that was handed over to it; 0 when it claimed.
    """

    engine: str
    owner: str
    boot: str
    handed: int = 0


class KeyRecord(msgspec.Struct, frozen=True):
    """What is known of an idempotency key, kept under the key's digest.

    Attributes:
        request: Id of the request that holds the key.
        nonce: Made by the instance that holds it; tells its own write from another one's.
        instance: Name of that instance.
        state: See `idempotency.KeyState`.
        expires: Unix time, in seconds, after which it may be deleted.
        digest: Of what the request asks for; another request must not use the key.
        outcome: Kind of the outcome, once it is known.
        body: The answer, once it is known and if it fits.
        body_kept: Whether it fitted.
        reason: Why the request was not run or failed.
        status: HTTP status of a plain service's failure.
        tokens: Number of generated tokens.
        finish: Why the engine stopped.
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
    """Returns the object name of a change; names sort like numbers."""
    return f"{number:012d}"
