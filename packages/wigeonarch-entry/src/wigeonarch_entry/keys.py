"""Stores the records of idempotency keys in the platform; see `wigeonarch_core.idempotency`.

Records are completed by background tasks, so that a slow platform delays no answer by more than
`COMPLETION_WAIT`. A record that cannot be completed stays held, which is safe: a repetition of the
request just does not get the answer.
"""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, Final

import msgspec
from wigeonarch_core.idempotency import (
    GivenUp,
    KeyAttempt,
    KeyState,
    Taken,
    TakeResult,
    Told,
    Write,
    key_name,
    may_dispatch,
)
from wigeonarch_core.key_answers import completed_record, outcome_for
from wigeonarch_core.key_stamps import expiry, is_purgeable, is_usable
from wigeonarch_core.outcomes import NotRun, Outcome, Reason, Unknown
from wigeonarch_core.records import KEYS, KeyRecord
from wigeonarch_runtime.clock import monotonic, unix_time
from wigeonarch_runtime.logs import log

from wigeonarch_entry.metrics import Metrics
from wigeonarch_entry.platform import Found, Missing, PlatformClient, Unavailable, Written
from wigeonarch_entry.requests import Generate, Request

# Seconds after which a request whose key could not be taken should be retried.
RETRY_AFTER: Final = 2.0
# Seconds that an answer waits for its record to be completed, so that a repetition right after the
# answer finds it.
COMPLETION_WAIT: Final = 0.25
COMPLETION_ATTEMPTS: Final = 8
# Longest pause after the first failed attempt, in seconds; doubles with each further one.
COMPLETION_PAUSE: Final = 0.2
MAX_BACKGROUND_TASKS: Final = 1000
# Seconds between two pages of a purge that finds little to delete.
PURGE_PAUSE: Final = 30.0
PURGE_PAGE: Final = 50


@dataclass(frozen=True, slots=True)
class KeyHold:
    """An idempotency key that this instance has taken; the request may be run once.

    Attributes:
        name: Object name of the key's record.
        version: Version of the record as written by this instance.
        record: The record.
        taken_at: Monotonic time just before the key was taken, in seconds.
    """

    name: str
    version: int
    record: KeyRecord
    taken_at: float


class IdempotencyKeys:
    """Takes idempotency keys and completes their records."""

    __slots__ = ("_background", "_instance", "_metrics", "_platform", "_retention")

    def __init__(
        self, platform: PlatformClient, instance: str, retention: float, metrics: Metrics
    ) -> None:
        self._platform = platform
        self._instance = instance
        self._retention = retention
        self._metrics = metrics
        self._background: set[asyncio.Task[None]] = set()

    async def acquire(self, req: Request) -> KeyHold | Outcome:
        """Takes the key of a request.

        Returns:
            The key, or the outcome of a request that must not run: it is made from the record if
            another request has taken the key.
        """
        if not is_usable(req.key, unix_time(), self._retention):
            self._metrics.keys.labels("expired").inc()
            # An earlier request with this key may have run; that can no longer be known.
            return Unknown(Reason.KEY_EXPIRED)
        name = key_name(req.service, req.key)
        taken_at = monotonic()
        attempt = KeyAttempt(self._new_record(req))
        result = await self._run_attempt(name, attempt)
        self._metrics.keys.labels(type(result).__name__.lower()).inc()
        if isinstance(result, Taken):
            return KeyHold(name, result.version, attempt.record, taken_at)
        if isinstance(result, Told):
            return outcome_for(result)
        if result.doubtful:
            self._start_in_background(self._free(name, attempt.record))
        return NotRun(Reason.PLATFORM_DOWN, RETRY_AFTER)

    def may_dispatch(self, held_key: KeyHold, req: Request) -> bool:
        """Returns whether a request may still be sent with the key that it holds."""
        return may_dispatch(held_key.taken_at, monotonic(), req.deadline, self._retention)

    async def complete(self, held_key: KeyHold, req: Request, outcome: Outcome) -> None:
        """Records how a request ended; continues in the background after `COMPLETION_WAIT`."""
        version = req.work.target.version if isinstance(req.work, Generate) else ""
        record = completed_record(held_key.record, outcome, version)
        if record is None:
            return
        task = self._start_in_background(self._replace(held_key.name, record, held_key.version))
        if task is not None:
            await asyncio.wait([task], timeout=COMPLETION_WAIT)

    async def wait_completed(self) -> None:
        """Waits until no background task is left; each gives up after a number of attempts."""
        while self._background:
            await asyncio.wait(self._background)

    async def lookup(self, service: str, key: str) -> KeyRecord | Unavailable | None:
        """Reads the record of a key; returns None if there is none."""
        found = await self._read(key_name(service, key))
        return found if isinstance(found, Unavailable) else _record_in(found)

    async def purge(self) -> None:
        """Deletes expired records, one page at a time, until cancelled.

        All instances may do this at once, as a deletion is conditional on the version that was
        read. Each starts at a random name, and pauses only briefly while more than half of a page
        is expired.
        """
        after = uuid.uuid4().hex
        while True:
            page = await self._platform.list(KEYS, after, PURGE_PAGE)
            items = () if isinstance(page, Unavailable) else page.items
            now = unix_time()
            expired = [item for item in items if is_purgeable(_decode(item), now)]
            for item in expired:
                await self._platform.delete(KEYS, item.name, item.version)
            if expired:
                log("keys_purged", count=len(expired))
            after = items[-1].name if items and len(items) == PURGE_PAGE else ""
            busy = len(expired) > len(items) // 2
            await asyncio.sleep(1.0 if busy else PURGE_PAUSE * random.uniform(0.5, 1.5))

    def _new_record(self, req: Request) -> KeyRecord:
        return KeyRecord(
            request=req.id,
            nonce=uuid.uuid4().hex,
            instance=self._instance,
            state=KeyState.HELD,
            expires=expiry(unix_time(), self._retention),
            digest=req.digest,
        )

    async def _run_attempt(self, name: str, attempt: KeyAttempt) -> TakeResult:
        """Makes the platform calls of an attempt to take a key, until it has a result."""
        result: TakeResult | None = None
        while result is None:
            call = attempt.next_call
            if isinstance(call, Write):
                result = await self._write(name, attempt, call.expected)
                continue
            found = await self._read(name)
            if isinstance(found, Unavailable):
                result = attempt.record_unreadable()
            else:
                version = found.version if isinstance(found, Found) else 0
                result = attempt.examine(_record_in(found), version)
        return result

    async def _write(self, name: str, attempt: KeyAttempt, expected: int) -> Taken | GivenUp | None:
        if expected:
            result = await self._platform.replace(KEYS, name, attempt.record, expected)
        else:
            result = await self._platform.create(KEYS, name, attempt.record)
        if isinstance(result, Written):
            return attempt.record_write(result.version)
        if isinstance(result, Unavailable):
            return attempt.record_no_answer(result.may_have_written)
        attempt.record_conflict()
        return None

    async def _read(self, name: str) -> Found | Missing | Unavailable:
        return await self._platform.get(KEYS, name)

    def _start_in_background(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None] | None:
        """Runs work in the background.

        Returns:
            The task; None if there are too many, and then the key's record stays held.
        """
        if len(self._background) >= MAX_BACKGROUND_TASKS:
            work.close()
            self._metrics.keys.labels("not_settled").inc()
            return None
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def _replace(self, name: str, record: KeyRecord, version: int) -> None:
        """Replaces a held record; a conflict means that another replacement has taken effect."""
        for attempt_number in range(COMPLETION_ATTEMPTS):
            result = await self._platform.replace(KEYS, name, record, version)
            if not isinstance(result, Unavailable):
                return
            await asyncio.sleep(random.uniform(0, COMPLETION_PAUSE * 2**attempt_number))
        self._metrics.keys.labels("not_settled").inc()
        log("key_not_settled", "WARNING", key=name, request=record.request)

    async def _free(self, name: str, record: KeyRecord) -> None:
        """Frees the record of an attempt that gave up, in case its write took effect."""
        for attempt_number in range(COMPLETION_ATTEMPTS):
            await asyncio.sleep(random.uniform(0, COMPLETION_PAUSE * 2**attempt_number))
            found = await self._read(name)
            if isinstance(found, Unavailable):
                continue
            stored = _record_in(found)
            if stored is None or stored.nonce != record.nonce or not isinstance(found, Found):
                return
            freed = completed_record(stored, NotRun(Reason.PLATFORM_DOWN))
            if freed is not None and stored.state == KeyState.HELD:
                await self._replace(name, freed, found.version)
            return


def _record_in(found: Found | Missing) -> KeyRecord | None:
    return _decode(found) if isinstance(found, Found) else None


def _decode(found: Found) -> KeyRecord:
    return msgspec.convert(found.value, KeyRecord)
