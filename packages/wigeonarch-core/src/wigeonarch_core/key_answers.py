"""Conversion between outcomes of requests and the records of their idempotency keys."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

from wigeonarch_core.idempotency import KeyState, Step, Told
from wigeonarch_core.outcomes import Answered, Failed, NotRun, Outcome, Reason, Unknown
from wigeonarch_core.records import KeyRecord

# Of the body, encoded as JSON; a quarter of the platform's limit for an object.
MAX_KEPT_BYTES: Final = 256 * 1024


def completed_record(record: KeyRecord, outcome: Outcome, version: str = "") -> KeyRecord | None:
    """Returns the record for a key whose request has ended; None if the key must stay held.

    Args:
        record: The record as held.
        outcome: How the request ended.
        version: Adapter version that answered; empty for plain services.
    """
    if isinstance(outcome, Unknown):
        return None
    ended = msgspec.structs.replace(record, outcome=type(outcome).__name__)
    match outcome:
        case NotRun(reason=reason):
            return msgspec.structs.replace(ended, state=KeyState.FREE, reason=reason)
        case Failed(reason=reason, status=status, body=body):
            return _done_record(ended, body, reason=reason, status=status)
        case Answered(text=text, tokens=tokens, finish=finish):
            return _done_record(ended, text, tokens=tokens, finish=finish, version=version)


def _done_record(record: KeyRecord, body: str, **fields: object) -> KeyRecord:
    kept = len(msgspec.json.encode(body)) <= MAX_KEPT_BYTES
    kept_body = body if kept else ""
    return msgspec.structs.replace(
        record, state=KeyState.DONE, body=kept_body, body_kept=kept, **fields
    )


def outcome_for(result: Told) -> Outcome:
    """Returns the outcome for a request whose key belongs to an earlier request."""
    return _ANSWERS[result.step](result.record)


def _mismatch(_record: KeyRecord) -> Outcome:
    # Nothing of this request ran: the key belongs to another one, and this one was not sent.
    return NotRun(Reason.KEY_MISMATCH)


def _held(_record: KeyRecord) -> Outcome:
    return Unknown(Reason.KEY_IN_USE)


def _known(record: KeyRecord) -> Outcome:
    if not record.body_kept:
        # A part of a response must not look like the whole one.
        return Unknown(Reason.ANSWER_NOT_KEPT)
    if record.outcome == Answered.__name__:
        return Answered(record.body, record.tokens, record.finish, record.version)
    return Failed(Reason(record.reason), record.status, record.body)


_ANSWERS: Final[dict[Step, Callable[[KeyRecord], Outcome]]] = {
    Step.MISMATCH: _mismatch,
    Step.REPORT_IN_USE: _held,
    Step.ANSWER_FROM_RECORD: _known,
}
