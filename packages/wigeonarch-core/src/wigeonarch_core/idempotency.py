"""At most one run per idempotency key.

Before a non-idempotent request is dispatched, a record of its key is created in the platform, if
absent. Who creates it may run the request; everybody else only learns what is known of it. A nonce
in the record tells an attempt its own write from another one's, so that a write whose answer was
lost, or which conflicts with its own silent repetition, is settled by reading the record back.

Why it is safe: every write is conditional on the version last seen, so of all attempts only one can
move a key into `HELD`. `HELD` is left by its holder alone: to `DONE` when it ran, to `FREE` when
certainly nothing of it ran and its holder has stopped trying. Only `FREE` can be taken over. A
`FREE` written late finds another version and fails.

Example: two instances receive the same key at once. Both try to create the record; one gets a
conflict, reads the other one's nonce and answers from that record without running anything.
"""

from __future__ import annotations

import enum
import hashlib
from typing import Final

import msgspec

from wigeonarch_core.records import KeyRecord

MAX_TRIES: Final = 4
DIGEST_BYTES: Final = 16


class KeyState(enum.StrEnum):
    """State of a key's record."""

    HELD = "held"  # Its holder may have run the request.
    DONE = "done"  # It ran, and the record says how it ended.
    FREE = "free"  # Its holder has certainly not run it and never will.


class Step(enum.Enum):
    """What to do next with a non-idempotent request."""

    RUN = "run"
    TAKE_OVER = "take_over"  # Replace the record, then run.
    CREATE = "create"  # No record after all: create it.
    ANSWER_FROM_RECORD = "tell_known"  # Answer from the record.
    REPORT_IN_USE = "tell_held"  # Somebody else may be running it.
    MISMATCH = "mismatch"  # The key belongs to another request.


_STEPS: Final = {
    KeyState.HELD: Step.REPORT_IN_USE,
    KeyState.DONE: Step.ANSWER_FROM_RECORD,
    KeyState.FREE: Step.TAKE_OVER,
}


def key_name(service: str, key: str) -> str:
    """Returns the object name under which a service's key is recorded."""
    return request_digest(service, key)


def request_digest(*parts: str | bytes) -> str:
    """Returns a digest of what a request asks for, as its caller wrote it.

    The parts are what the caller named and not what that was resolved to: a repetition must count
    as the same request after a routing rule has moved.
    """
    # A cryptographic hash, as keys come from callers, who must not make two that collide.
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        raw = part if isinstance(part, bytes) else part.encode()
        state.update(f"{len(raw)}:".encode())
        state.update(raw)
    return state.hexdigest()


def next_step(found: KeyRecord | None, mine: KeyRecord) -> Step:
    """Decides from the record found after a conflict or a lost answer.

    Args:
        found: The record as read, or None when there is none.
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
    """Write the record, on condition that the object is at version `expected` (0: absent)."""

    expected: int


class Read(msgspec.Struct, frozen=True):
    """Read the record."""


class Taken(msgspec.Struct, frozen=True):
    """The key is held by this attempt, which may run the request once."""

    version: int


class Told(msgspec.Struct, frozen=True):
    """The request must not run here; `record` is what is known of the one that has the key."""

    step: Step
    record: KeyRecord


class GivenUp(msgspec.Struct, frozen=True):
    """The key could not be taken, so nothing runs.

    Attributes:
        doubtful: Whether a write of this attempt may still have taken effect; the record is then
            to be freed later.
    """

    doubtful: bool


TakeResult = Taken | Told | GivenUp


class KeyAttempt:
    """One attempt to take a key: names the next call to the platform and judges its result.

    Attributes:
        next: The call to make now.
        record: The record that the attempt writes.
    """

    __slots__ = ("_may_have_written", "_tries_left", "next_call", "record")

    def __init__(self, record: KeyRecord) -> None:
        self.record = record
        self.next_call: Write | Read = Write(0)
        self._tries_left = MAX_TRIES
        self._may_have_written = False

    def record_write(self, version: int) -> Taken:
        """Notes that the write took effect."""
        return Taken(version)

    def record_conflict(self) -> None:
        """Notes a conflict, which may also be with a repetition of this attempt's own write."""
        self.next_call = Read()

    def record_no_answer(self, may_have_written: bool) -> GivenUp | None:
        """Notes a write without an answer; `maybe` tells whether it can have taken effect."""
        self._may_have_written = self._may_have_written or may_have_written
        if not may_have_written:
            return GivenUp(self._may_have_written)
        self.next_call = Read()
        return None

    def record_unreadable(self) -> GivenUp:
        """Notes that the record could not be read."""
        return GivenUp(self._may_have_written)

    def examine(self, record: KeyRecord | None, version: int) -> TakeResult | None:
        """Judges the record as read; None when `next` is to be carried out."""
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

    A process can be paused between taking the key and sending. Afterwards the caller may have been
    told something else, and in the end the record may have been purged and the key taken again.

    Args:
        held_at: Time just before the key was taken.
        now: Present time, on the same clock, which must count suspended time.
        deadline: When the answer is worthless.
        retention: Seconds that the record is kept.
    """
    return now < deadline and now - taken_at < retention / 2
