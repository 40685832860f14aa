"""Idempotency keys: who may run a request, what repetitions get, and how old a key may be."""

from __future__ import annotations

import msgspec
import pytest
from wigeonarch_core.idempotency import (
    GivenUp,
    KeyAttempt,
    KeyState,
    Read,
    Step,
    Taken,
    Told,
    Write,
    may_dispatch,
    next_step,
    request_digest,
)
from wigeonarch_core.key_answers import MAX_KEPT_BYTES, completed_record, outcome_for
from wigeonarch_core.key_stamps import expiry, is_purgeable, is_usable, made_at, make_key
from wigeonarch_core.outcomes import Answered, Failed, NotRun, Outcome, Reason, Unknown
from wigeonarch_core.records import KeyRecord

MINE = KeyRecord("r1", "mine", "entry-a", KeyState.HELD, 100.0, "body-1")
THEIRS = msgspec.structs.replace(MINE, nonce="theirs", instance="entry-b")
OTHER_BODY = msgspec.structs.replace(THEIRS, digest="body-2")


def state(record: KeyRecord, value: KeyState) -> KeyRecord:
    return msgspec.structs.replace(record, state=value)


@pytest.mark.parametrize(
    ("found", "step"),
    [
        (None, Step.CREATE),
        (MINE, Step.RUN),
        (state(MINE, KeyState.FREE), Step.TAKE_OVER),
        (THEIRS, Step.REPORT_IN_USE),
        (state(THEIRS, KeyState.DONE), Step.ANSWER_FROM_RECORD),
        (state(THEIRS, KeyState.FREE), Step.TAKE_OVER),
        (OTHER_BODY, Step.MISMATCH),
        (state(OTHER_BODY, KeyState.DONE), Step.MISMATCH),
        (state(OTHER_BODY, KeyState.FREE), Step.MISMATCH),
    ],
)
def test_next_step(found: KeyRecord | None, step: Step) -> None:
    assert next_step(found, MINE) is step


@pytest.mark.parametrize(
    ("found", "version", "expected"),
    [
        # The write conflicted with its own automatic repetition, or its response was lost.
        (MINE, 7, Taken(7)),
        (THEIRS, 7, Told(Step.REPORT_IN_USE, THEIRS)),
        (
            state(THEIRS, KeyState.DONE),
            7,
            Told(Step.ANSWER_FROM_RECORD, state(THEIRS, KeyState.DONE)),
        ),
        (OTHER_BODY, 7, Told(Step.MISMATCH, OTHER_BODY)),
        (state(THEIRS, KeyState.FREE), 7, Write(7)),
        (None, 0, Write(0)),
    ],
)
@pytest.mark.parametrize("lost", [False, True])
def test_attempt_reads_the_record_after_a_conflict_or_a_lost_response(
    found: KeyRecord | None, version: int, expected: object, lost: bool
) -> None:
    attempt = KeyAttempt(MINE)
    first: object = attempt.next_call
    assert first == Write(0)
    if lost:
        assert attempt.record_no_answer(may_have_written=True) is None
    else:
        attempt.record_conflict()
    second: object = attempt.next_call
    assert second == Read()
    result = attempt.examine(found, version)
    assert (attempt.next_call if result is None else result) == expected


def test_attempt_gives_up_without_a_clear_result() -> None:
    assert KeyAttempt(MINE).record_no_answer(may_have_written=False) == GivenUp(doubtful=False)
    attempt = KeyAttempt(MINE)
    assert attempt.record_no_answer(may_have_written=True) is None
    assert attempt.record_unreadable() == GivenUp(doubtful=True)
    attempt = KeyAttempt(MINE)
    for _ in range(100):
        attempt.record_conflict()
        result = attempt.examine(None, 0)
        if result is not None:
            break
    assert result == GivenUp(doubtful=False)


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (Answered("text", 3, "length", "v1"), Answered("text", 3, "length", "v1")),
        (Failed(Reason.ENDPOINT_ERROR, 500, "no"), Failed(Reason.ENDPOINT_ERROR, 500, "no")),
        (Answered("x" * MAX_KEPT_BYTES), Unknown(Reason.ANSWER_NOT_KEPT)),
        # Six bytes each in JSON: the size of the encoded record counts.
        (Answered("\x01" * (MAX_KEPT_BYTES // 4)), Unknown(Reason.ANSWER_NOT_KEPT)),
    ],
)
def test_a_repetition_gets_the_first_outcome(outcome: Outcome, expected: Outcome) -> None:
    record = completed_record(MINE, outcome, getattr(outcome, "version", ""))
    assert record is not None
    read = msgspec.json.decode(msgspec.json.encode(record), type=KeyRecord)
    assert outcome_for(Told(next_step(read, THEIRS), read)) == expected


def test_only_a_request_that_did_not_run_frees_its_key() -> None:
    freed = completed_record(MINE, NotRun(Reason.NO_ENDPOINT, 1.0))
    assert freed is not None
    assert freed.state == KeyState.FREE
    assert completed_record(MINE, Unknown(Reason.SILENT)) is None


@pytest.mark.parametrize(
    ("step", "record", "outcome"),
    [
        (Step.REPORT_IN_USE, THEIRS, Unknown(Reason.KEY_IN_USE)),
        (Step.MISMATCH, OTHER_BODY, NotRun(Reason.KEY_MISMATCH)),
    ],
)
def test_outcome_when_the_key_is_in_use_or_mismatched(
    step: Step, record: KeyRecord, outcome: Outcome
) -> None:
    assert outcome_for(Told(step, record)) == outcome


def test_digest_separates_its_parts() -> None:
    assert request_digest("a", "bc") != request_digest("ab", "c")
    assert request_digest("a", b"b") == request_digest(b"a", "b")


@pytest.mark.parametrize(
    ("now", "deadline", "may"),
    [
        (10.0, 60.0, True),
        (60.0, 60.0, False),
        (61.0, 60.0, False),
        # Before its deadline, but too old for its record.
        (500.0, 900.0, False),
    ],
)
def test_dispatch_ends_with_the_deadline_and_half_of_the_retention(
    now: float, deadline: float, may: bool
) -> None:
    assert may_dispatch(0.0, now, deadline, retention=1000.0) is may


WEEK = 7 * 86400.0


@pytest.mark.parametrize(
    ("key", "usable"),
    [
        (make_key(1e9, "n"), True),
        (make_key(1e9 - WEEK + 1, "n"), True),
        (make_key(1e9 - WEEK - 1, "n"), False),
        (make_key(1e9 + 3600, "n"), True),
        (make_key(1e9 + WEEK, "n"), False),
        ("order-17", True),
        ("wk1-", True),
        ("wk1-nothex-17", True),
    ],
)
def test_a_key_is_refused_by_its_age(key: str, usable: bool) -> None:
    assert is_usable(key, 1e9, WEEK) is usable


def test_no_clock_purges_what_another_clock_accepts() -> None:
    made = 1e9
    key = make_key(made, "n")
    skew = WEEK / 14
    # The record is as old as any clock allows, and a fast clock purges it.
    record = msgspec.structs.replace(MINE, expires=expiry(made - skew, WEEK))
    for second in range(0, int(2 * WEEK), 3600):
        now = made + second
        accepted_by_a_slow_clock = is_usable(key, now - skew / 2 + 1, WEEK)
        purged_by_a_fast_clock = is_purgeable(record, now + skew / 2 - 1)
        assert not (accepted_by_a_slow_clock and purged_by_a_fast_clock), second
    assert made_at(key) == made
