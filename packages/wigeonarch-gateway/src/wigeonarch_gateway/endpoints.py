"""What an instance knows of the endpoints: the store's list, with leaving ones obeyed at once.

While the store is away, entries of living endpoints lapse and come back shortly after its return.
So what is missing just after an outage is kept for a moment, unless it had said that it leaves, or
is known not to have lapsed (see `core.store_contact`).

An endpoint may start again under its id. Its incarnations are told apart by the time of their
start, which only grows: what an older one said is void however late it comes. An entry that can't
be read was written by somebody else, and names no endpoint to use.

An endpoint may say that it leaves before the store does, in an answer to this instance or another,
and its entry may be one of before. An incarnation that has said so, by whatever way, never takes
work again.

A store that comes back older lists endpoints again that were gone. Nothing is sent to one until its
entry is written anew, or has stood long enough that a silent endpoint's would have lapsed.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Final

from msgspec.structs import replace
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.ports import EndpointRecord, EndpointState

# Endpoints whose last start is remembered, gone ones included; a deployment has some hundred.
MAX_REMEMBERED_ENDPOINTS: Final = 4000
# Seconds after the store came back older in which an entry of its copy brings back no endpoint that
# was gone: those of silent endpoints lapse in it.
OLD_COPY_PERIOD: Final = 4.0
NEVER_BORN: Final = -1  # Before the start of all incarnations, those that don't tell it included.


class EndpointRegistry:
    """The endpoints of all services.

    Attributes:
        on_gone: Called with the id of an endpoint that is gone.
        on_restarted: Called with the record of an endpoint that started again under its id.
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
        """Knows no endpoint.

        Args:
            may_lapse_until: Returns the time until which a missing entry of an endpoint in an
                availability zone may be one that lapsed, and is kept.
            on_gone: Called with the id of an endpoint that is gone.
            on_restarted: Called with the record of an endpoint that started again under its id.
        """
        self._born: OrderedDict[str, int] = OrderedDict()
        self._leaving_born: OrderedDict[str, int] = (
            OrderedDict()
        )  # Start of the incarnation that leaves.
        self._gone_born: OrderedDict[str, int] = (
            OrderedDict()
        )  # Start of the incarnation that is gone.
        self._gone_before_copy: dict[str, int] = {}  # The same, before the store came back older.
        self._old_copy_records: dict[str, EndpointRecord] = (
            {}
        )  # Those of them that the store's copy has.
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
        """Tells whether an endpoint is kept although its entry is missing."""
        return endpoint in self._missing_since

    def ready(self, service: str) -> list[EndpointRecord]:
        """Returns the endpoints of a service that take new work."""
        found = self._by_service.get(service, {})
        return [record for record in found.values() if record.state is EndpointState.READY]

    def since_restart(self, endpoint: str) -> float:
        """Returns the seconds since an endpoint was seen to start again; infinity if never."""
        return monotonic() - self._restarted_at.get(endpoint, float("-inf"))

    def update(self, record: EndpointRecord) -> bool:
        """Takes over what an endpoint says of itself; returns whether it counts."""
        known = self._born.get(record.endpoint, 0)
        if known and not record.born:
            # Endpoints say their start always or never, so somebody else wrote this.
            self.drop_unreadable(record.endpoint)
            return False
        if record.born < known:
            return False
        if self._is_from_old_copy(record):
            return False
        before = self._records.get(record.endpoint)
        if self._leaving_born.get(record.endpoint, NEVER_BORN) >= record.born:
            record = replace(record, state=EndpointState.LEAVING)
        elif record.state is EndpointState.LEAVING:
            self._note_leaving(record.endpoint, record.born)
        self._note_start(record, known)
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
            )

        return True

    def store_came_back_older(self, now: float) -> None:
        """Notes that the entries that follow are of a copy that is older than those before."""
        self._old_copy_until = now + OLD_COPY_PERIOD
        self._gone_before_copy = dict(self._gone_born)
        self._old_copy_records.clear()

    def _is_from_old_copy(self, record: EndpointRecord) -> bool:
        """Tells whether an entry is the first of an endpoint that was gone before the copy."""
        endpoint = record.endpoint
        if self._gone_before_copy.get(endpoint, NEVER_BORN) < record.born:
            return False
        if endpoint in self._old_copy_records or monotonic() >= self._old_copy_until:
            self._old_copy_records.pop(endpoint, None)
            del self._gone_before_copy[endpoint]
            return False
        self._old_copy_records[endpoint] = record
        return True

    def _note_start(self, record: EndpointRecord, known: int) -> None:
        """Notes the start of an endpoint; ends what was believed of an earlier incarnation."""
        if not record.born:
            return
        endpoint = record.endpoint
        self._born[endpoint] = record.born
        self._born.move_to_end(endpoint)
        while len(self._born) > MAX_REMEMBERED_ENDPOINTS:
            self._restarted_at.pop(self._born.popitem(last=False)[0], None)
        if known and record.born > known:
            log("endpoint_restarted", "WARNING", endpoint=endpoint, born=record.born, before=known)
            self._restarted_at[endpoint] = monotonic()
            self.on_restarted(record)

    def mark_leaving(self, endpoint: str, born: int) -> bool:
        """Notes that an incarnation of an endpoint said that it leaves.

        What its entry says of the same incarnation, before or later, can't take that back.

        Returns:
            Whether the entry had not said so yet.
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
        """Returns the endpoints that said that they leave, for an instance that just started."""
        return [
            (endpoint, born) for endpoint, born in self._leaving_born.items() if self.get(endpoint)
        ]

    def drop_unreadable(self, endpoint: str) -> None:
        """Notes that the entry of an endpoint names none any more: nothing is sent there."""
        self._drop(endpoint, "unreadable")

    def entry_removed(self, endpoint: str, now: float) -> None:
        """Notes that an entry is not in the store any more."""
        self._old_copy_records.pop(endpoint, None)
        record = self._records.get(endpoint)
        if record is None:
            return
        left = self._may_lapse_until(record.zone) - now
        if left > 0.0 and record.state is EndpointState.READY:
            if endpoint not in self._missing_since:
                self._missing_since[endpoint] = now
                log("endpoint_missing", endpoint=endpoint, kept_for=left)
            return
        self._drop(endpoint, "removed")

    def apply_list(
        self, records: Iterable[EndpointRecord], now: float, unreadable: Iterable[str] = ()
    ) -> None:
        """Takes over a whole list, and the names of its entries that can't be read."""
        for endpoint in unreadable:
            self.drop_unreadable(endpoint)
        found = {record.endpoint: record for record in records}
        for record in found.values():
            self.update(record)
        for endpoint in [name for name in self._records if name not in found]:
            self.entry_removed(endpoint, now)

    def expire(self, now: float) -> None:
        """Drops what is still missing and can't be one that lapsed any more."""
        for endpoint in list(self._missing_since):
            if now >= self._may_lapse_until(self._records[endpoint].zone):
                self._drop(endpoint, "missing_after_outage")
        if self._gone_before_copy and now >= self._old_copy_until:
            for record in list(self._old_copy_records.values()):
                self.update(record)
            self._gone_before_copy.clear()

    def _drop(self, endpoint: str, reason: str) -> None:
        missing = self._missing_since.pop(endpoint, None)
        record = self._records.pop(endpoint, None)
        if record is None:
            return
        self._by_service[record.service].pop(endpoint, None)
        self._gone_born[endpoint] = record.born
        self._gone_born.move_to_end(endpoint)
        while len(self._gone_born) > MAX_REMEMBERED_ENDPOINTS:
            self._gone_born.popitem(last=False)
        kept = 0.0 if missing is None else monotonic() - missing
        log("endpoint_gone", endpoint=endpoint, service=record.service, reason=reason, kept=kept)
        self.on_gone(endpoint)
