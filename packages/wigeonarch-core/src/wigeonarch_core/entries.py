"""The catalogue's entries: services, adapters, versions and routing rules; data only."""

from __future__ import annotations

import enum
from typing import Final

import msgspec

ALL_ENDPOINTS: Final = "*"


class ServiceKind(enum.StrEnum):
    """What kind of endpoint serves a service's requests."""

    MODEL = "model"
    PLAIN = "plain"


class Service(msgspec.Struct, frozen=True, tag=True):
    """A service that requests can name.

    Attributes:
        name: Unique name.
        kind: Whether model engines or plain services serve it.
        base_model: Model that its engines run; empty for plain services.
        fencing_endpoints: Endpoints that refuse orders with an outdated fencing token; `*` stands
            for all.
        deadline_ms: Default deadline of its requests in milliseconds; 0 for the instance's default.
    """

    name: str
    kind: ServiceKind
    base_model: str = ""
    fencing_endpoints: tuple[str, ...] = ()
    deadline_ms: int = 0

    def checks_fence(self, endpoint: str) -> bool:
        """Returns whether an endpoint is known to refuse orders with an outdated fencing token."""
        fencing = self.fencing_endpoints
        return endpoint in fencing or ALL_ENDPOINTS in fencing


class Adapter(msgspec.Struct, frozen=True, tag=True):
    """An adapter of a model service."""

    service: str
    name: str


class Version(msgspec.Struct, frozen=True, tag=True):
    """A version of an adapter.

    Attributes:
        service: Name of the service.
        adapter: Name of the adapter.
        name: Name of the version.
        weights: Path of its weights in the weight store.
        bytes: Size of its weights.
    """

    service: str
    adapter: str
    name: str
    weights: str = ""
    bytes: int = 0


class Split(msgspec.Struct, frozen=True):
    """A version's share of an adapter's requests: its weight relative to the sum of all weights."""

    version: str
    weight: int = 1


class Rule(msgspec.Struct, frozen=True, tag=True):
    """Which versions serve the requests that name an adapter without a version."""

    service: str
    adapter: str
    splits: tuple[Split, ...]


Entry = Service | Adapter | Version | Rule


class EntryKind(enum.StrEnum):
    """Kinds of entries, as used in their keys."""

    SERVICE = "service"
    ADAPTER = "adapter"
    VERSION = "version"
    RULE = "rule"


class EntryKey(msgspec.Struct, frozen=True, order=True):
    """Kind and full name of an entry, for example `version` and `drafting/blend-7@v2`."""

    kind: EntryKind
    name: str


def key_of(entry: Entry) -> EntryKey:
    """Returns the key under which an entry is stored."""
    match entry:
        case Service(name=name):
            return EntryKey(EntryKind.SERVICE, name)
        case Adapter(service=service, name=name):
            return EntryKey(EntryKind.ADAPTER, f"{service}/{name}")
        case Version(service=service, adapter=adapter, name=name):
            return EntryKey(EntryKind.VERSION, f"{service}/{adapter}@{name}")
        case Rule(service=service, adapter=adapter):
            return EntryKey(EntryKind.RULE, f"{service}/{adapter}")


def parents_of(entry: Entry) -> list[EntryKey]:
    """Returns the keys of the entries that must exist before this one can be created."""
    match entry:
        case Service():
            return []
        case Adapter(service=service):
            return [EntryKey(EntryKind.SERVICE, service)]
        case Version(service=service, adapter=adapter):
            return [EntryKey(EntryKind.ADAPTER, f"{service}/{adapter}")]
        case Rule(service=service, adapter=adapter, splits=splits):
            name = f"{service}/{adapter}"
            versions = [EntryKey(EntryKind.VERSION, f"{name}@{s.version}") for s in splits]
            return [EntryKey(EntryKind.ADAPTER, name), *versions]


class Stored(msgspec.Struct, frozen=True):
    """An entry with its version.

    Attributes:
        version: Number of the change that last set the entry.
        entry: The entry.
    """

    version: int
    entry: Entry
