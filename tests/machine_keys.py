"""State machine for the property test of idempotency keys.

The platform, the network and the endpoint are modelled; all decisions are made by the core's own
code. Each step of a request is a separate rule, so a process may be paused between any two steps.
Writes may be delayed, doubled or lost, and may take effect long after their senders have given up.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from wigeonarch_core import idempotency, key_answers, key_stamps
from wigeonarch_core.idempotency import (
    GivenUp,
    KeyAttempt,
    KeyState,
    Read,
    Taken,
    TakeResult,
    Write,
)
from wigeonarch_core.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from wigeonarch_core.records import KeyRecord

RETENTION = 70.0
DEADLINE = 15.0
KEYS = ("k1", "k2")
PICK = st.integers(0, 10**6)
# Defects by name: object, name of its attribute, and a value that disables a mechanism.
DEFECTS: dict[str, tuple[Any, str, Any]] = {}


@dataclass(eq=False)
class PendingWrite:
    """A write in flight; it may take effect at any time, and twice.

    Attributes:
        key: The key that is written.
        record: The record to write.
        expected: Version of the stored record that the write expects; 0 for none.
        sender: The request that waits for the result; None for a write in the background.
        result: Version written; 0 for a conflict; None before the write took effect.
        times_applied: How often the write has taken effect.
    """

    key: str
    record: KeyRecord
    expected: int
    sender: KeyedRequest | None
    result: int | None = None
    times_applied: int = 0


@dataclass(eq=False)
class KeyedRequest:
    """One request at one instance.

    Attributes:
        key: Its key, without the time stamp.
        stamped_key: Its key with the time stamp.
        attempt: The attempt to take the key.
        began: Time of receipt, in seconds.
        taking: Result of the attempt; None while it is in progress.
        sent: The write that it waits for.
        dispatched: Whether the decision to dispatch has been made.
        outcome: What the caller was told.
    """

    key: str
    stamped_key: str
    attempt: KeyAttempt
    began: float
    taking: TakeResult | None = None
    sent: PendingWrite | None = None
    dispatched: bool = False
    outcome: Outcome | None = None


class KeysMachine(RuleBasedStateMachine):
    """Requests that share a few keys, at any number of instances."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.revision = 0
        self.store: dict[str, tuple[int, KeyRecord]] = {}
        self.writes: list[PendingWrite] = []
        self.requests: list[KeyedRequest] = []
        self.runs: Counter[str] = Counter()
        self.ran: set[KeyedRequest] = set()
        self.made = 0
        self.keys = dict.fromkeys(KEYS, self.now)

    @rule(seconds=st.sampled_from([0.1, 2.0, 14.0, 36.0]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(key=st.sampled_from(KEYS))
    def submit(self, key: str) -> None:
        self.made += 1
        stamped_key = key_stamps.make_key(self.keys[key], key)
        if not key_stamps.is_usable(stamped_key, self.now, RETENTION):
            return
        record = KeyRecord(
            f"r{self.made}",
            f"n{self.made}",
            "i",
            KeyState.HELD,
            key_stamps.expiry(self.now, RETENTION),
            key,
        )
        self.requests.append(KeyedRequest(key, stamped_key, KeyAttempt(record), self.now))

    def _pick(self, pick: int, requests: list[KeyedRequest]) -> KeyedRequest:
        return requests[pick % len(requests)]

    def _taking_key(self) -> list[KeyedRequest]:
        return [each for each in self.requests if each.taking is None and each.sent is None]

    @precondition(lambda self: self._taking_key())
    @rule(pick=PICK)
    def step(self, pick: int) -> None:
        request = self._pick(pick, self._taking_key())
        call = request.attempt.next_call
        if isinstance(call, Write):
            request.sent = PendingWrite(request.key, request.attempt.record, call.expected, request)
            self.writes.append(request.sent)
            return
        assert isinstance(call, Read)
        version, record = self.store.get(request.key, (0, None))
        self._decide(request, request.attempt.examine(record, version))

    @precondition(lambda self: self._taking_key())
    @rule(pick=PICK)
    def unreadable(self, pick: int) -> None:
        request = self._pick(pick, self._taking_key())
        if isinstance(request.attempt.next_call, Read):
            self._decide(request, request.attempt.record_unreadable())

    @precondition(lambda self: self.writes)
    @rule(pick=PICK, doubled=st.booleans())
    def write_takes_effect(self, pick: int, doubled: bool) -> None:
        write = self.writes[pick % len(self.writes)]
        write.times_applied += 1
        write.result = self._write(write)
        if not doubled or write.times_applied > 1:
            self.writes.remove(write)

    @precondition(lambda self: self.writes)
    @rule(pick=PICK)
    def lose_write(self, pick: int) -> None:
        self.writes.remove(self.writes[pick % len(self.writes)])

    @precondition(
        lambda self: any(each.sent and each.sent.result is not None for each in self.requests)
    )
    @rule(pick=PICK)
    def answer_write(self, pick: int) -> None:
        request = self._pick(
            pick, [each for each in self.requests if each.sent and each.sent.result is not None]
        )
        assert request.sent is not None
        version, request.sent = request.sent.result, None
        if version:
            self._decide(request, request.attempt.record_write(version))
        else:
            request.attempt.record_conflict()

    @precondition(lambda self: any(each.sent for each in self.requests))
    @rule(pick=PICK)
    def no_answer(self, pick: int) -> None:
        request = self._pick(pick, [each for each in self.requests if each.sent])
        request.sent = None
        self._decide(request, request.attempt.record_no_answer(may_have_written=True))

    @precondition(lambda self: any(self._may_dispatch(each) for each in self.requests))
    @rule(pick=PICK, endpoint_result=st.sampled_from(["answered", "unknown", "refused"]))
    def dispatch(self, pick: int, endpoint_result: str) -> None:
        request = self._pick(pick, [each for each in self.requests if self._may_dispatch(each)])
        request.dispatched = True
        deadline = request.began + DEADLINE
        if not idempotency.may_dispatch(request.began, self.now, deadline, RETENTION):
            self._complete(request, NotRun(Reason.DEADLINE))
        elif endpoint_result == "refused":
            self._complete(request, NotRun(Reason.ENDPOINT_OVERLOADED))
        else:
            self.runs[request.key] += 1
            self.ran.add(request)
            answered = endpoint_result == "answered"
            self._complete(request, Answered("text") if answered else Unknown(Reason.SILENT))

    @rule(
        key=st.sampled_from(KEYS),
        endpoint_result=st.sampled_from(["answered", "unknown", "refused"]),
    )
    def run_through(self, key: str, endpoint_result: str) -> None:
        """Runs one request without any fault, so that few rules reach many states."""
        self.submit(key)
        request = self.requests[-1] if self.requests else None
        while request and request.taking is None and request.sent is None:
            self.step(self._taking_key().index(request))
            if request.sent is not None:
                request.sent.result = self._write(request.sent)
                self.writes.remove(request.sent)
                self.answer_write(
                    [
                        each for each in self.requests if each.sent and each.sent.result is not None
                    ].index(request)
                )
        if request and self._may_dispatch(request):
            self.dispatch(
                [each for each in self.requests if self._may_dispatch(each)].index(request),
                endpoint_result,
            )

    @rule()
    def retention_passes(self) -> None:
        self.now += RETENTION * (1 + key_stamps.MARGIN_SHARE) + 1
        self.purge()

    @rule()
    def purge(self) -> None:
        for key, (_, record) in list(self.store.items()):
            if key_stamps.is_purgeable(record, self.now):
                del self.store[key]

    @invariant()
    def at_most_one_run(self) -> None:
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @invariant()
    def not_run_means_no_run(self) -> None:
        for request in self.ran:
            assert not isinstance(request.outcome, NotRun), request

    def _may_dispatch(self, request: KeyedRequest) -> bool:
        return isinstance(request.taking, Taken) and not request.dispatched

    def _decide(self, request: KeyedRequest, taking: TakeResult | None) -> None:
        request.taking = taking
        if isinstance(taking, GivenUp):
            request.outcome = NotRun(Reason.PLATFORM_DOWN)
            self._free_later(request)

    def _free_later(self, request: KeyedRequest) -> None:
        version, record = self.store.get(request.key, (0, None))
        if record is not None and record.nonce == request.attempt.record.nonce:
            freed = key_answers.completed_record(record, NotRun(Reason.PLATFORM_DOWN))
            if freed is not None and record.state == KeyState.HELD:
                self.writes.append(PendingWrite(request.key, freed, version, None))

    def _complete(self, request: KeyedRequest, outcome: Outcome) -> None:
        assert isinstance(request.taking, Taken)
        request.outcome = outcome
        record = key_answers.completed_record(request.attempt.record, outcome)
        if record is not None:
            self.writes.append(PendingWrite(request.key, record, request.taking.version, None))

    def _write(self, write: PendingWrite) -> int:
        stored_version = self.store.get(write.key, (0, None))[0]
        if stored_version != write.expected:
            return 0
        self.revision += 1
        self.store[write.key] = (self.revision, write.record)
        return self.revision


def _next_step_without_nonce(found: KeyRecord | None, mine: KeyRecord) -> idempotency.Step:
    """Treats any held record as the attempt's own."""
    if found is not None and found.state == KeyState.HELD:
        return idempotency.Step.RUN
    return idempotency.Step.CREATE if found is None else idempotency.Step.ANSWER_FROM_RECORD


def _always_freed(record: KeyRecord, outcome: Outcome, version: str = "") -> KeyRecord:
    """Frees a key even if the request may have run."""
    return msgspec.structs.replace(record, state=KeyState.FREE)


DEFECTS["no nonce read-back"] = (idempotency, "next_step", _next_step_without_nonce)
DEFECTS["free after dispatch"] = (key_answers, "completed_record", _always_freed)
DEFECTS["no look at the age before dispatch"] = (idempotency, "may_dispatch", lambda *_: True)
DEFECTS["keys without an age"] = (key_stamps, "is_usable", lambda *_: True)
