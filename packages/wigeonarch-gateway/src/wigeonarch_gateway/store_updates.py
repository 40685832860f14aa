"""Applies what the store reports: configuration, adapter versions and endpoints.

Changes come either from this instance's own watch or from a zone watcher (see `sharing`); lists
come from its own watch only. All of them are applied here, so that they are treated alike. An entry
that can't be decoded is logged and left out.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.catalogue import Catalogue
from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.engineviews import EngineViews
from wigeonarch_gateway.options import StoreOptions
from wigeonarch_gateway.ports import Change, EndpointRecord, ObjectKind, StoredObject
from wigeonarch_gateway.sharing import WatchSharing
from wigeonarch_gateway.watching import WatchedKind


class StoreUpdateHandlers:
    """Applies lists and changes of the store to the state of this instance."""

    __slots__ = (
        "_catalogue",
        "_decode_endpoint",
        "_endpoints",
        "_opts",
        "_unreadable",
        "_views",
    )

    def __init__(
        self,
        opts: StoreOptions,
        catalogue: Catalogue,
        endpoints: EndpointRegistry,
        views: EngineViews,
        decode_endpoint: Callable[[StoredObject], EndpointRecord],
    ) -> None:
        """Creates a handler.

        Args:
            opts: Settings for the store.
            catalogue: Configuration and adapter versions in force.
            endpoints: The known endpoints.
            views: What is known of engines.
            decode_endpoint: Decodes an endpoint's entry; raises ValueError if it is malformed.
        """
        self._opts = opts
        self._catalogue = catalogue
        self._endpoints = endpoints
        self._views = views
        self._decode_endpoint = decode_endpoint
        self._unreadable: dict[str, int] = {}

    def register_handlers(self, sharing: WatchSharing) -> None:
        """Registers the functions that apply changes, whoever reports them."""
        sharing.add_kind(ObjectKind.CONFIGURATION, self._catalogue.apply_configuration_change)
        sharing.add_kind(ObjectKind.VERSIONS, self._catalogue.apply_version_change)
        sharing.add_kind(ObjectKind.ENDPOINTS, self._endpoint_changed)

    def watched_kinds(self) -> list[WatchedKind]:
        """Returns the kinds to be watched, each with the function that applies its lists."""
        opts = self._opts
        return [
            WatchedKind(
                ObjectKind.CONFIGURATION,
                self._catalogue.take_configuration_list,
                opts.watch_configuration,
            ),
            WatchedKind(ObjectKind.VERSIONS, self._catalogue.take_version_list, opts.watch),
            WatchedKind(ObjectKind.ENDPOINTS, self._endpoints_listed, opts.watch, opts.batch_pause),
        ]

    def _endpoints_listed(self, objects: tuple[StoredObject, ...]) -> None:
        decoded = {stored.name: self._decode(stored) for stored in objects}
        records = [record for record in decoded.values() if record is not None]
        unreadable = [name for name, record in decoded.items() if record is None]
        self._unreadable = {n: r for n, r in self._unreadable.items() if n in unreadable}
        self._endpoints.apply_list(records, monotonic(), unreadable)
        for record in records:
            self._record_reported_adapters(record)

    def _endpoint_changed(self, change: Change) -> bool:
        """Applies a change of an endpoint's entry.

        Returns:
            Whether the change must be passed on to followers. One that concerns only the engine's
            adapters need not: the engine's owner reports those, and to pass on 40 loads a second to
            eight followers would take 100 KB/s of a zone watcher's network link.
        """
        if change.deleted:
            self._unreadable.pop(change.stored.name, None)
            self._endpoints.entry_removed(change.stored.name, monotonic())
            return True
        record = self._decode(change.stored)
        if record is None:
            self._endpoints.drop_unreadable(change.stored.name)
            return True
        before = self._endpoints.get(record.endpoint)
        # Followers were notified that the entry is missing, so they must learn that it is back.
        was_missing = self._endpoints.is_missing(record.endpoint)
        if self._endpoints.update(record):
            self._record_reported_adapters(record)
        return was_missing or before is None or replace(before, models=record.models) != record

    def _decode(self, stored: StoredObject) -> EndpointRecord | None:
        try:
            return self._decode_endpoint(stored)
        except ValueError as exc:
            # Logged once for each revision, as lists repeat the same entries.
            if self._unreadable.get(stored.name) != stored.revision:
                self._unreadable[stored.name] = stored.revision
                log("endpoint_unreadable", "ERROR", name=stored.name, reason=str(exc))
            return None

    def _record_reported_adapters(self, record: EndpointRecord) -> None:
        if self._endpoints.get(record.endpoint) is not record:
            return  # The record is of an earlier incarnation and was not taken over.
        adapters = {key.name: key.version for model in record.models for key in model.adapters}
        models = frozenset(model.model for model in record.models)
        self._views.take_self_description(record.endpoint, models, adapters)
