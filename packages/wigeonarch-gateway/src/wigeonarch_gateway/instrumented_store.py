"""A wrapper around any object store that counts calls by kind and result and records contact.

The time of the last contact with the store is the earliest at which it may have given a response
(see `answer_time`), as a response may be handled long after. A list that may be some seconds old
(`stale`) proves no contact, as it says nothing of the store's present state.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable
from typing import Any, TypeVar

from wigeonarch_core.store_contact import StoreContact
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.answer_time import earliest_answer_time
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.ports import (
    Absent,
    Changes,
    Conflict,
    HistoryGone,
    Listing,
    ObjectKind,
    ObjectStore,
    StoredObject,
    Unavailable,
)

Result = TypeVar("Result")


class InstrumentedStore:
    """An `ObjectStore` that counts its calls and records when the store responded.

    Attributes:
        calls: Number of calls so far, by kind.
    """

    __slots__ = ("_contact", "_era", "_metrics", "_store", "calls")

    def __init__(self, store: ObjectStore, metrics: Metrics, contact: StoreContact) -> None:
        self._store = store
        self._contact = contact
        self._metrics = metrics
        self._era = store.era
        self.calls: Counter[str] = Counter()

    @property
    def era(self) -> int | None:
        """Returns the latest era of the store; None before its first response."""
        return self._store.era

    async def list(self, kind: ObjectKind, stale: bool = False) -> Listing | Unavailable:
        """Returns all objects of a kind."""
        return await self._instrument(
            "list", self._store.list(kind, stale), proves_contact=not stale
        )

    async def watch(
        self, kind: ObjectKind, since: int, wait: float
    ) -> Changes | HistoryGone | Unavailable:
        """Returns what changed after a revision."""
        return await self._instrument("watch", self._store.watch(kind, since, wait), wait=wait)

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | Absent | Unavailable:
        """Returns one object."""
        return await self._instrument("get", self._store.get(kind, name))

    async def create(
        self, kind: ObjectKind, name: str, spec: Any
    ) -> StoredObject | Conflict | Unavailable:
        """Creates an object that must not exist."""
        return await self._instrument("create", self._store.create(kind, name, spec))

    async def replace(
        self, kind: ObjectKind, name: str, spec: Any, revision: int
    ) -> StoredObject | Conflict | Absent | Unavailable:
        """Replaces an object that must have the given revision."""
        return await self._instrument("replace", self._store.replace(kind, name, spec, revision))

    async def remove(self, kind: ObjectKind, name: str, revision: int) -> bool:
        """Removes an object that must have the given revision."""
        return await self._instrument(
            "remove", self._store.remove(kind, name, revision), proves_contact=False
        )

    async def close(self) -> None:
        """Closes the connections to the store."""
        await self._store.close()

    async def _instrument(
        self,
        call: str,
        result_of: Awaitable[Result],
        proves_contact: bool = True,
        wait: float = 0.0,
    ) -> Result:
        """Awaits a call and records its result.

        Args:
            call: Kind of the call.
            result_of: The call.
            proves_contact: Whether a response shows that the store can be reached now.
            wait: Seconds that the store waits for changes before it responds without any.
        """
        self.calls[call] += 1
        began = monotonic()
        result = await result_of
        self._check_era()
        if isinstance(result, Unavailable):
            self._contact.record_failure(began)
        elif proves_contact:
            waited = wait if isinstance(result, Changes) and not result.changes else 0.0
            self._contact.record_answer(earliest_answer_time(began, monotonic(), waited))
        self._metrics.store_calls.labels(call, type(result).__name__.lower()).inc()
        return result

    def _check_era(self) -> None:
        before, self._era = self._era, self._store.era
        if before is not None and self._era is not None and before < self._era:
            log("store_came_back_older", "WARNING", era=self._era, before=before)
