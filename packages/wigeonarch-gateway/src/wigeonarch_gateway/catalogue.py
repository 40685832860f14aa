"""Keeps the configuration in force and the newest version of each adapter.

Versions only grow: an older configuration or version that is read late, from a replica that lags,
is ignored. One that can't be decoded is logged and leaves the last valid one in force.
"""

from __future__ import annotations

from collections.abc import Callable

from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_core.revisions import era_of, store_revision
from wigeonarch_core.routes import RoutingTable
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.ports import Change, StoredObject


class Catalogue:
    """The configuration and adapter versions that operators have published.

    Attributes:
        table: The routing table in force; None before the first.
    """

    __slots__ = ("_decode_table", "_decode_version", "_versions", "table")

    def __init__(
        self,
        decode_table: Callable[[StoredObject], RoutingTable],
        decode_version: Callable[[StoredObject], AdapterKey],
    ) -> None:
        self._decode_table = decode_table
        self._decode_version = decode_version
        self._versions: dict[tuple[str, str], int] = {}
        self.table: RoutingTable | None = None

    def version(self, model: str, adapter: str) -> int:
        """Returns the newest version of an adapter; 0 if none was ever published."""
        return self._versions.get((model, adapter), 0)

    def is_outdated(self, key: AdapterKey) -> bool:
        """Tells whether a newer version of an adapter is published."""
        return 0 < key.version < self.version(key.model, key.adapter)

    def take_configuration_list(self, objects: tuple[StoredObject, ...]) -> None:
        """Applies the configurations of a list."""
        for found in objects:
            self._take_table(found)

    def apply_configuration_change(self, change: Change) -> bool:
        """Applies a changed configuration; returns whether followers need the change."""
        return change.deleted or self._take_table(change.stored)

    def take_version_list(self, objects: tuple[StoredObject, ...]) -> None:
        """Applies the adapter versions of a list."""
        for found in objects:
            self._take_version(found)

    def apply_version_change(self, change: Change) -> bool:
        """Applies a changed adapter version; returns whether followers need the change."""
        return change.deleted or self._take_version(change.stored)

    def _take_table(self, found: StoredObject) -> bool:
        """Applies a configuration; returns whether it is new."""
        try:
            table = self._decode_table(found)
        except ValueError as exc:
            log("configuration_unreadable", "ERROR", name=found.name, reason=str(exc))
            return True
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        log(
            "configuration_in_force",
            version=table.version,
            revision=store_revision(found.revision),
            era=era_of(found.revision),
            routes=len(table.routes()),
        )
        return True

    def _take_version(self, found: StoredObject) -> bool:
        """Applies an adapter version; returns whether it is new."""
        try:
            key = self._decode_version(found)
        except ValueError as exc:
            log("version_unreadable", "ERROR", name=found.name, reason=str(exc))
            return True
        name = (key.model, key.adapter)
        if key.version <= self._versions.get(name, 0):
            return False
        self._versions[name] = key.version
        log("version_in_force", model=key.model, adapter=key.adapter, version=key.version)
        return True
