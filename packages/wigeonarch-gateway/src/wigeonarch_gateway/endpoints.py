"""The registry of known endpoints: those in the store, of which leaving ones get no new requests.

While the store is away, entries of live endpoints lapse; they are written again shortly after its
return. So an endpoint whose entry is missing just after an outage is kept for a moment, unless it
had announced that it leaves, or its entry is known not to have lapsed (see `core.store_contact`).

An endpoint may restart under its id. Its incarnations are distinguished by their start times, which
only grow: what an older incarnation reported is ignored, however late it arrives. An entry that
can't be decoded was written by something else than an endpoint, and is not used.

An endpoint may announce that it leaves before the store shows it, in a response to this instance or
another, and its entry may still be an earlier one. An incarnation that has announced this, by
whatever way, never gets new requests again.

A store that came back from an older copy again lists endpoints that were gone. Nothing is sent to
such an endpoint until its entry is written anew, or has existed for so long that the entry of a
silent endpoint would have lapsed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Final

from msgspec.structs import replace
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.ports import EndpointRecord, EndpointState

# Endpoints whose last start is remembered, including gone ones; a deployment has some hundred.
MAX_REMEMBERED_ENDPOINTS: Final = 4000
# Seconds after the store came back from an older copy in which an entry of that copy does not bring
# back an endpoint that was gone. Entries of silent endpoints lapse within this time.
OLD_COPY_PERIOD: Final = 4.0
# Earlier than the start of any incarnation, including those that report no start time (0).
NEVER_BORN: Final = -1


class EndpointRegistry:
    """The endpoints of all services.

    Attributes:
        on_gone: Called with the id of an endpoint that is gone.
        on_restarted: Called with the record of an endpoint that restarted under its id.
    """

    __slots__ = (
        "_born",
        "_by_service",
        "_gone_before_copy",
        "_gone_born",
        "_leaving_born",
        "_may_lapse_until",
        "_missing_since",
        "_old_copy_records",
        "_old_copy_until",
        "_records",
        "_restarted_at",
        "on_gone",
        "on_restarted",
    )

    def __init__(
        self,
        may_lapse_until: Callable[[str], float],
        on_gone: Callable[[str], None],
        on_restarted: Callable[[EndpointRecord], None],
    ) -> None:
        """Creates an empty registry.

        Args:
            may_lapse_until: Returns, for an availability zone, the time until which a missing entry
                may only have lapsed, so that its endpoint is kept.
            on_gone: Called with the id of an endpoint that is gone.
            on_restarted: Called with the record of an endpoint that restarted under its id.
        """
        self._born: OrderedDict[str, int] = OrderedDict()
        # Start of the last incarnation that announced that it leaves.
        self._leaving_born: OrderedDict[str, int] = OrderedDict()
        # Start of the last incarnation that is gone.
        self._gone_born: OrderedDict[str, int] = OrderedDict()
        # The same, as of the moment when the store came back from an older copy.
        self._gone_before_copy: dict[str, int] = {}
        # Records of such endpoints in the older copy; they are not used yet.
        self._old_copy_records: dict[str, EndpointRecord] = {}
        self._old_copy_until = float("-inf")
        self._restarted_at: dict[str, float] = {}
        self._records: dict[str, EndpointRecord] = {}
        self._by_service: dict[str, dict[str, EndpointRecord]] = {}
        self._missing_since: dict[str, float] = {}
        self._may_lapse_until = may_lapse_until
        self.on_gone = on_gone
        self.on_restarted = on_restarted

    def get(self, endpoint: str) -> EndpointRecord | None:
        """Returns an endpoint that is not gone."""
        return self._records.get(endpoint)

    def all(self) -> list[EndpointRecord]:
        """Returns all endpoints, leaving ones included."""
        return list(self._records.values())

    def is_missing(self, endpoint: str) -> bool:
        """Tells whether an endpoint is kept although its entry is missing in the store."""
        return endpoint in self._missing_since

    def ready(self, service: str) -> list[EndpointRecord]:
        """Returns the endpoints of a service that take new requests."""
        endpoints = self._by_service.get(service, {})
        return [record for record in endpoints.values() if record.state is EndpointState.READY]

    def since_restart(self, endpoint: str) -> float:
        """Returns the seconds since an endpoint was seen to have restarted; infinity if never."""
        return monotonic() - self._restarted_at.get(endpoint, float("-inf"))

    def update(self, record: EndpointRecord) -> bool:
        """Takes over an endpoint's entry; returns False if it is out of date or invalid."""
        last_born = self._born.get(record.endpoint, 0)
        if last_born and not record.born:
            # An endpoint reports its start time always or never, so something else wrote this.
            self.drop_unreadable(record.endpoint)
            return False
        if record.born < last_born:
            return False
        if self._is_from_old_copy(record):
            return False
        before = self._records.get(record.endpoint)
        if self._leaving_born.get(record.endpoint, NEVER_BORN) >= record.born:
            record = replace(record, state=EndpointState.LEAVING)
        elif record.state is EndpointState.LEAVING:
            self._note_leaving(record.endpoint, record.born)
        self._note_start(record, last_born)
        self._missing_since.pop(record.endpoint, None)
        self._records[record.endpoint] = record
        self._by_service.setdefault(record.service, {})[record.endpoint] = record
        if before is None or before.state is not record.state:
            log(
                "endpoint_state",
                endpoint=record.endpoint,
                service=record.service,
                address=record.address,
                zone=record.zone,
                state=record.state.value,
                software=record.software,
            )

        return True

    def store_came_back_older(self, now: float) -> None:
        """Records that the store came back from an older copy, from which the next entries are."""
        self._old_copy_until = now + OLD_COPY_PERIOD
        self._gone_before_copy = dict(self._gone_born)
        self._old_copy_records.clear()

    def _is_from_old_copy(self, record: EndpointRecord) -> bool:
        """Tells whether an entry is to be ignored, as the older copy may have brought it back.

        That is the first entry of an incarnation that was gone when the store came back. A second
        one was written anew, and counts.
        """
        endpoint = record.endpoint
        if self._gone_before_copy.get(endpoint, NEVER_BORN) < record.born:
            return False
        if endpoint in self._old_copy_records or monotonic() >= self._old_copy_until:
            self._old_copy_records.pop(endpoint, None)
            del self._gone_before_copy[endpoint]
            return False
        self._old_copy_records[endpoint] = record
        return True

    def _note_start(self, record: EndpointRecord, last_born: int) -> None:
        """Records an endpoint's start time; reports a restart if the incarnation is a new one."""
        if not record.born:
            return
        endpoint = record.endpoint
        self._born[endpoint] = record.born
        self._born.move_to_end(endpoint)
        while len(self._born) > MAX_REMEMBERED_ENDPOINTS:
            self._restarted_at.pop(self._born.popitem(last=False)[0], None)
        if last_born and record.born > last_born:
            log(
                "endpoint_restarted",
                "WARNING",
                endpoint=endpoint,
                born=record.born,
                before=last_born,
            )
            self._restarted_at[endpoint] = monotonic()
            self.on_restarted(record)

    def mark_leaving(self, endpoint: str, born: int) -> bool:
        """Records that an incarnation of an endpoint announced that it leaves.

        The entry of the same incarnation, whether earlier or later, can't take that back.

        Returns:
            Whether this is new: neither an earlier announcement nor the entry showed it.
        """
        if self._leaving_born.get(endpoint, NEVER_BORN) >= born:
            return False
        self._note_leaving(endpoint, born)
        record = self._records.get(endpoint)
        if record is None:
            return True
        if record.born > born or record.state is not EndpointState.READY:
            return False
        self.update(record)
        return True

    def _note_leaving(self, endpoint: str, born: int) -> None:
        self._leaving_born[endpoint] = born
        self._leaving_born.move_to_end(endpoint)
        while len(self._leaving_born) > MAX_REMEMBERED_ENDPOINTS:
            self._leaving_born.popitem(last=False)

    def leaving_incarnations(self) -> list[tuple[str, int]]:
        """Returns the incarnations that announced that they leave, to report them to newcomers."""
        return [
            (endpoint, born) for endpoint, born in self._leaving_born.items() if self.get(endpoint)
        ]

    def drop_unreadable(self, endpoint: str) -> None:
        """Drops an endpoint whose entry can't be decoded any more; nothing is sent there."""
        self._drop(endpoint, "unreadable")

    def entry_removed(self, endpoint: str, now: float) -> None:
        """Records that an endpoint's entry is not in the store any more."""
        self._old_copy_records.pop(endpoint, None)
        record = self._records.get(endpoint)
        if record is None:
            return
        kept_for = self._may_lapse_until(record.zone) - now
        if kept_for > 0.0 and record.state is EndpointState.READY:
            if endpoint not in self._missing_since:
                self._missing_since[endpoint] = now
                log("endpoint_missing", endpoint=endpoint, kept_for=kept_for)
            return
        self._drop(endpoint, "removed")

    def apply_list(
        self, records: Iterable[EndpointRecord], now: float, unreadable: Iterable[str] = ()
    ) -> None:
        """Takes over a complete list, and the names of the entries that can't be decoded."""
        for endpoint in unreadable:
            self.drop_unreadable(endpoint)
        listed = {record.endpoint: record for record in records}
        for record in listed.values():
            self.update(record)
        for endpoint in [name for name in self._records if name not in listed]:
            self.entry_removed(endpoint, now)

    def expire(self, now: float) -> None:
        """Drops missing endpoints once their entries can't merely have lapsed.

        After `OLD_COPY_PERIOD` it also takes over the held-back entries of an older copy.
        """
        for endpoint in list(self._missing_since):
            if now >= self._may_lapse_until(self._records[endpoint].zone):
                self._drop(endpoint, "missing_after_outage")
        if self._gone_before_copy and now >= self._old_copy_until:
            for record in list(self._old_copy_records.values()):
                self.update(record)
            self._gone_before_copy.clear()

    def _drop(self, endpoint: str, reason: str) -> None:
        missing_since = self._missing_since.pop(endpoint, None)
        record = self._records.pop(endpoint, None)
        if record is None:
            return
        self._by_service[record.service].pop(endpoint, None)
        self._gone_born[endpoint] = record.born
        self._gone_born.move_to_end(endpoint)
        while len(self._gone_born) > MAX_REMEMBERED_ENDPOINTS:
            self._gone_born.popitem(last=False)
        kept_for = 0.0 if missing_since is None else monotonic() - missing_since
        log(
            "endpoint_gone", endpoint=endpoint, service=record.service, reason=reason, kept=kept_for
        )
        self.on_gone(endpoint)
