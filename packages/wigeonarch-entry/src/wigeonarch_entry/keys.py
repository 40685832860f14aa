"""Holds idempotency keys in the platform, by the rules of `wigeonarch_core.idempotency`.

Records are completed by tasks of their own, so that a slow platform delays no answer by more than
`SETTLE_WAIT`. A record that cannot be completed stays held, which is safe: it only keeps a
repetition from learning the answer.
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

RETRY_AFTER: Final = 2.0
# How long an answer waits for its record, so that a repetition right after it finds the answer.
COMPLETION_WAIT: Final = 0.25
COMPLETION_ATTEMPTS: Final = 8
COMPLETION_PAUSE: Final = 0.2
MAX_BACKGROUND_TASKS: Final = 1000
PURGE_PAUSE: Final = 30.0
PURGE_PAGE: Final = 50


@dataclass(frozen=True, slots=True)
class KeyHold:
    """This instance may run the request, once.

    Attributes:
        name: Object name of the record.
        version: Version at which the record was taken.
        record: The record.
        held_at: Monotonic time just before it was taken.
    """

    name: str
    version: int
    record: KeyRecord
    taken_at: float


class IdempotencyKeys:
    """Records of idempotency keys."""

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
        """Takes the key of a request, or returns what is known of the one that has it."""
        if not is_usable(req.key, unix_time(), self._retention):
            self._metrics.keys.labels("expired").inc()
            # An earlier request with this key may have run; nobody can know any more.
            return Unknown(Reason.KEY_EXPIRED)
        name = key_name(req.service, req.key)
        held_at = monotonic()
        attempt = KeyAttempt(self._new_record(req))
        taking = await self._run_attempt(name, attempt)
        self._metrics.keys.labels(type(taking).__name__.lower()).inc()
        if isinstance(taking, Taken):
            return KeyHold(name, taking.version, attempt.record, held_at)
        if isinstance(taking, Told):
            return outcome_for(taking)
        if taking.doubtful:
            self._start_in_background(self._free(name, attempt.record))
        return NotRun(Reason.PLATFORM_DOWN, RETRY_AFTER)

    def may_dispatch(self, hold: KeyHold, req: Request) -> bool:
        """Tells whether a request may still be sent under its hold."""
        return may_dispatch(hold.taken_at, monotonic(), req.deadline, self._retention)

    async def complete(self, hold: KeyHold, req: Request, outcome: Outcome) -> None:
        """Records how the request ended; goes on in the background if that takes long."""
        version = req.work.target.version if isinstance(req.work, Generate) else ""
        record = completed_record(hold.record, outcome, version)
        if record is None:
            return
        task = self._start_in_background(self._replace(hold.name, record, hold.version))
        if task is not None:
            await asyncio.wait([task], timeout=COMPLETION_WAIT)

    async def wait_completed(self) -> None:
        """Waits until no record is to be completed any more; each one gives up by itself."""
        while self._background:
            await asyncio.wait(self._background)

    async def lookup(self, service: str, key: str) -> KeyRecord | Unavailable | None:
        """Reads the record of a key."""
        found = await self._read(key_name(service, key))
        return found if isinstance(found, Unavailable) else _record_in(found)

    async def purge(self) -> None:
        """Deletes records whose time is over, a page at a time, until cancelled.

        Any instance may do so, as a deletion is conditional on the version that was judged. Each
        begins at a place of its own, and goes on without a pause only while it finds work.
        """
        after = uuid.uuid4().hex
        while True:
            page = await self._platform.list(KEYS, after, PURGE_PAGE)
            items = () if isinstance(page, Unavailable) else page.items
            now = unix_time()
            old = [item for item in items if is_purgeable(_decode(item), now)]
            for item in old:
                await self._platform.delete(KEYS, item.name, item.version)
            if old:
                log("keys_purged", count=len(old))
            after = items[-1].name if items and len(items) == PURGE_PAGE else ""
            busy = len(old) > len(items) // 2
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
        """Carries an attempt out, call by call."""
        taking: TakeResult | None = None
        while taking is None:
            step = attempt.next_call
            if isinstance(step, Write):
                taking = await self._write(name, attempt, step.expected)
                continue
            found = await self._read(name)
            if isinstance(found, Unavailable):
                taking = attempt.record_unreadable()
            else:
                version = found.version if isinstance(found, Found) else 0
                taking = attempt.examine(_record_in(found), version)
        return taking

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
        """Runs work in the background; None when there is too much: the key then stays held."""
        if len(self._background) >= MAX_BACKGROUND_TASKS:
            work.close()
            self._metrics.keys.labels("not_settled").inc()
            return None
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def _replace(self, name: str, record: KeyRecord, version: int) -> None:
        """Completes a held record; a conflict means that it is done, or no longer ours."""
        for tried in range(COMPLETION_ATTEMPTS):
            result = await self._platform.replace(KEYS, name, record, version)
            if not isinstance(result, Unavailable):
                return
            await asyncio.sleep(random.uniform(0, COMPLETION_PAUSE * 2**tried))
        self._metrics.keys.labels("not_settled").inc()
        log("key_not_settled", "WARNING", key=name, request=record.request)

    async def _free(self, name: str, record: KeyRecord) -> None:
        """Frees the record of an attempt that gave up, if its write took effect after all."""
        for tried in range(COMPLETION_ATTEMPTS):
            await asyncio.sleep(random.uniform(0, COMPLETION_PAUSE * 2**tried))
            found = await self._read(name)
            if isinstance(found, Unavailable):
                continue
            known = _record_in(found)
            if known is None or known.nonce != record.nonce or not isinstance(found, Found):
                return
            freed = completed_record(known, NotRun(Reason.PLATFORM_DOWN))
            if freed is not None and known.state == KeyState.HELD:
                await self._replace(name, freed, found.version)
            return


def _record_in(found: Found | Missing) -> KeyRecord | None:
    return _decode(found) if isinstance(found, Found) else None


def _decode(found: Found) -> KeyRecord:
    return msgspec.convert(found.value, KeyRecord)
