"""Idempotency keys: at most one run of a request per key.

Before a non-idempotent request is dispatched, a record of its key is created in the platform, if
there is none yet. The attempt that creates the record may run the request; every other attempt only
learns what the record says. A nonce in the record tells an attempt its own write from another
attempt's. So when the response to a write is lost, or the write conflicts with an automatic
repetition of itself, reading the record shows who holds the key.

Why it is safe: every write is conditional on the version last read, so only one attempt can move a
key to `HELD`. Only its holder moves a key on from `HELD`: to `DONE` when the request ran, to `FREE`
when certainly nothing of it ran and the holder has stopped trying. Only a `FREE` key can be taken
over. A delayed write of `FREE` finds another version and fails.

Example: two instances receive the same key at the same time and both try to create the record. One
gets a conflict, reads the other one's nonce and answers from that record without running anything.
"""

from __future__ import annotations

import enum
import hashlib
from typing import Final

import msgspec

from wigeonarch_core.records import KeyRecord

MAX_TRIES: Final = 4  # Writes of one attempt.
DIGEST_BYTES: Final = 16


class KeyState(enum.StrEnum):
    """State of a key, as stored in its record."""

    HELD = "held"  # The holder may have run the request.
    DONE = "done"  # The request ran, and the record holds the outcome.
    FREE = "free"  # The holder has certainly not run the request and never will.


class Step(enum.Enum):
    """The next step for a non-idempotent request."""

    RUN = "run"
    TAKE_OVER = "take_over"  # Replace the record, then run.
    CREATE = "create"  # There is no record: create it.
    ANSWER_FROM_RECORD = "tell_known"  # The request ran already.
    REPORT_IN_USE = "tell_held"  # Another attempt may be running the request.
    MISMATCH = "mismatch"  # The key was used for another request.


_STEPS: Final = {
    KeyState.HELD: Step.REPORT_IN_USE,
    KeyState.DONE: Step.ANSWER_FROM_RECORD,
    KeyState.FREE: Step.TAKE_OVER,
}


def key_name(service: str, key: str) -> str:
    """Returns the name of the object that holds the record of a service's key."""
    return request_digest(service, key)


def request_digest(*parts: str | bytes) -> str:
    """Returns a digest of a request as its caller wrote it.

    The parts are the names that the caller used, not what they were resolved to: a repetition must
    count as the same request even if a routing rule has changed meanwhile.
    """
    # Cryptographic, as callers choose the parts and must not be able to cause collisions.
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        raw = part if isinstance(part, bytes) else part.encode()
        state.update(f"{len(raw)}:".encode())
        state.update(raw)
    return state.hexdigest()


def next_step(found: KeyRecord | None, mine: KeyRecord) -> Step:
    """Decides what to do after a conflict or a lost response.

    Args:
        found: The record as read, or None if there is none.
        mine: The record that this attempt tries to write.
    """
    if found is None:
        return Step.CREATE
    if found.digest != mine.digest:
        return Step.MISMATCH
    if found.nonce == mine.nonce and found.state == KeyState.HELD:
        return Step.RUN
    return _STEPS[KeyState(found.state)]


class Write(msgspec.Struct, frozen=True):
    """Call to make: write the record if the object is at version `expected` (0: absent)."""

    expected: int


class Read(msgspec.Struct, frozen=True):
    """Call to make: read the record."""


class Taken(msgspec.Struct, frozen=True):
    """This attempt holds the key and may run the request once; the record is at `version`."""

    version: int


class Told(msgspec.Struct, frozen=True):
    """The request must not run here; `record` is that of the request that has the key."""

    step: Step
    record: KeyRecord


class GivenUp(msgspec.Struct, frozen=True):
    """The key could not be taken, so nothing runs.

    Attributes:
        doubtful: Whether a write of this attempt may still have taken effect; if so, the record
            must be freed later.
    """

    doubtful: bool


TakeResult = Taken | Told | GivenUp


class KeyAttempt:
    """One attempt to take a key: names the next call to the platform and evaluates its result.

    Attributes:
        next_call: The call to make now.
        record: The record that the attempt writes.
    """

    __slots__ = ("_may_have_written", "_tries_left", "next_call", "record")

    def __init__(self, record: KeyRecord) -> None:
        self.record = record
        self.next_call: Write | Read = Write(0)
        self._tries_left = MAX_TRIES
        self._may_have_written = False

    def record_write(self, version: int) -> Taken:
        """Notes that the write took effect, so the key is taken."""
        return Taken(version)

    def record_conflict(self) -> None:
        """Notes a conflict, which a repetition of this attempt's own write may have caused."""
        self.next_call = Read()

    def record_no_answer(self, may_have_written: bool) -> GivenUp | None:
        """Notes a write without a response; gives up if it cannot have taken effect."""
        self._may_have_written = self._may_have_written or may_have_written
        if not may_have_written:
            return GivenUp(self._may_have_written)
        self.next_call = Read()
        return None

    def record_unreadable(self) -> GivenUp:
        """Notes that the record could not be read, so the attempt gives up."""
        return GivenUp(self._may_have_written)

    def examine(self, record: KeyRecord | None, version: int) -> TakeResult | None:
        """Evaluates the record as read; returns None if `next_call` must be made."""
        step = next_step(record, self.record)
        if step is Step.RUN:
            return Taken(version)
        if record is not None and step is not Step.TAKE_OVER:
            return Told(step, record)
        self._tries_left -= 1
        if self._tries_left <= 0:
            return GivenUp(self._may_have_written)
        self.next_call = Write(version)
        return None


def may_dispatch(taken_at: float, now: float, deadline: float, retention: float) -> bool:
    """Tells whether the holder of a key may still send its request to an endpoint.

    A process can be paused between taking the key and sending the request. By then the caller may
    have received another answer, or the record may even have been purged and the key taken again.

    Args:
        taken_at: Time just before the key was taken.
        now: Current time on the same clock, which must include suspended time.
        deadline: Time after which the response is of no use.
        retention: Seconds for which the record is kept.
    """
    return now < deadline and now - taken_at < retention / 2
