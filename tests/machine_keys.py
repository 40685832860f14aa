"""A model for the property test of idempotency keys: requests, a platform, an endpoint's record.

The platform and the network are modelled; every decision is the core's own. Each step of a request
is a rule of its own, so processes are paused between any two steps; writes are delayed, doubled or
lost, and land long after their senders have given up.
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
# Once taken out, `DEFECTS[name]` breaks the mechanism that it is named after.
DEFECTS: dict[str, tuple[Any, str, Any]] = {}


@dataclass(eq=False)
class Flight:
    """A write on its way; it may land at any time, and twice."""

    key: str
    record: KeyRecord
    expected: int
    sender: Work | None
    result: int | None = None  # Version written; 0 for a conflict.
    landings: int = 0


@dataclass(eq=False)
class Work:
    """One request at one instance."""

    key: str
    stamped: str
    attempt: KeyAttempt
    began: float
    taking: TakeResult | None = None
    sent: Flight | None = None
    dispatched: bool = False
    outcome: Outcome | None = None


class KeysMachine(RuleBasedStateMachine):
    """Requests with few keys, at any number of instances."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.revision = 0
        self.store: dict[str, tuple[int, KeyRecord]] = {}
        self.flights: list[Flight] = []
        self.works: list[Work] = []
        self.runs: Counter[str] = Counter()
        self.ran: set[Work] = set()
        self.made = 0
        self.keys = dict.fromkeys(KEYS, self.now)

    @rule(seconds=st.sampled_from([0.1, 2.0, 14.0, 36.0]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @rule(key=st.sampled_from(KEYS))
    def submit(self, key: str) -> None:
        self.made += 1
        stamped = key_stamps.make_key(self.keys[key], key)
        if not key_stamps.is_usable(stamped, self.now, RETENTION):
            return
        record = KeyRecord(
            f"r{self.made}",
            f"n{self.made}",
            "i",
            KeyState.HELD,
            key_stamps.expiry(self.now, RETENTION),
            key,
        )
        self.works.append(Work(key, stamped, KeyAttempt(record), self.now))

    def _pick(self, pick: int, works: list[Work]) -> Work:
        return works[pick % len(works)]

    def _taking(self) -> list[Work]:
        return [w for w in self.works if w.taking is None and w.sent is None]

    @precondition(lambda self: self._taking())
    @rule(pick=PICK)
    def step(self, pick: int) -> None:
        work = self._pick(pick, self._taking())
        step = work.attempt.next_call
        if isinstance(step, Write):
            work.sent = Flight(work.key, work.attempt.record, step.expected, work)
            self.flights.append(work.sent)
            return
        assert isinstance(step, Read)
        version, record = self.store.get(work.key, (0, None))
        self._decide(work, work.attempt.examine(record, version))

    @precondition(lambda self: self._taking())
    @rule(pick=PICK)
    def unreadable(self, pick: int) -> None:
        work = self._pick(pick, self._taking())
        if isinstance(work.attempt.next_call, Read):
            self._decide(work, work.attempt.record_unreadable())

    @precondition(lambda self: self.flights)
    @rule(pick=PICK, doubled=st.booleans())
    def land(self, pick: int, doubled: bool) -> None:
        flight = self.flights[pick % len(self.flights)]
        flight.landings += 1
        flight.result = self._write(flight)
        if not doubled or flight.landings > 1:
            self.flights.remove(flight)

    @precondition(lambda self: self.flights)
    @rule(pick=PICK)
    def vanish(self, pick: int) -> None:
        self.flights.remove(self.flights[pick % len(self.flights)])

    @precondition(lambda self: any(w.sent and w.sent.result is not None for w in self.works))
    @rule(pick=PICK)
    def answer(self, pick: int) -> None:
        work = self._pick(pick, [w for w in self.works if w.sent and w.sent.result is not None])
        assert work.sent is not None
        version, work.sent = work.sent.result, None
        if version:
            self._decide(work, work.attempt.record_write(version))
        else:
            work.attempt.record_conflict()

    @precondition(lambda self: any(w.sent for w in self.works))
    @rule(pick=PICK)
    def no_answer(self, pick: int) -> None:
        work = self._pick(pick, [w for w in self.works if w.sent])
        work.sent = None
        self._decide(work, work.attempt.record_no_answer(may_have_written=True))

    @precondition(lambda self: any(self._may_go_on(w) for w in self.works))
    @rule(pick=PICK, ends=st.sampled_from(["answered", "unknown", "refused"]))
    def dispatch(self, pick: int, ends: str) -> None:
        work = self._pick(pick, [w for w in self.works if self._may_go_on(w)])
        work.dispatched = True
        deadline = work.began + DEADLINE
        if not idempotency.may_dispatch(work.began, self.now, deadline, RETENTION):
            self._settle(work, NotRun(Reason.DEADLINE))
        elif ends == "refused":
            self._settle(work, NotRun(Reason.ENDPOINT_OVERLOADED))
        else:
            self.runs[work.key] += 1
            self.ran.add(work)
            done = ends == "answered"
            self._settle(work, Answered("text") if done else Unknown(Reason.SILENT))

    @rule(key=st.sampled_from(KEYS), ends=st.sampled_from(["answered", "unknown", "refused"]))
    def run_through(self, key: str, ends: str) -> None:
        """One request without any fault, so that few rules lead far."""
        self.submit(key)
        work = self.works[-1] if self.works else None
        while work and work.taking is None and work.sent is None:
            self.step(self._taking().index(work))
            if work.sent is not None:
                work.sent.result = self._write(work.sent)
                self.flights.remove(work.sent)
                self.answer(
                    [w for w in self.works if w.sent and w.sent.result is not None].index(work)
                )
        if work and self._may_go_on(work):
            self.dispatch([w for w in self.works if self._may_go_on(w)].index(work), ends)

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
    def not_run_is_true(self) -> None:
        for work in self.ran:
            assert not isinstance(work.outcome, NotRun), work

    def _may_go_on(self, work: Work) -> bool:
        return isinstance(work.taking, Taken) and not work.dispatched

    def _decide(self, work: Work, taking: TakeResult | None) -> None:
        work.taking = taking
        if isinstance(taking, GivenUp):
            work.outcome = NotRun(Reason.PLATFORM_DOWN)
            self._free_later(work)

    def _free_later(self, work: Work) -> None:
        version, record = self.store.get(work.key, (0, None))
        if record is not None and record.nonce == work.attempt.record.nonce:
            freed = key_answers.completed_record(record, NotRun(Reason.PLATFORM_DOWN))
            if freed is not None and record.state == KeyState.HELD:
                self.flights.append(Flight(work.key, freed, version, None))

    def _settle(self, work: Work, outcome: Outcome) -> None:
        assert isinstance(work.taking, Taken)
        work.outcome = outcome
        record = key_answers.completed_record(work.attempt.record, outcome)
        if record is not None:
            self.flights.append(Flight(work.key, record, work.taking.version, None))

    def _write(self, flight: Flight) -> int:
        present = self.store.get(flight.key, (0, None))[0]
        if present != flight.expected:
            return 0
        self.revision += 1
        self.store[flight.key] = (self.revision, flight.record)
        return self.revision


def _judge_without_nonce(found: KeyRecord | None, mine: KeyRecord) -> idempotency.Step:
    """Takes any held record for the own one."""
    if found is not None and found.state == KeyState.HELD:
        return idempotency.Step.RUN
    return idempotency.Step.CREATE if found is None else idempotency.Step.ANSWER_FROM_RECORD


def _settled_always_free(record: KeyRecord, outcome: Outcome, version: str = "") -> KeyRecord:
    """Frees a key also when the request may have run."""
    return msgspec.structs.replace(record, state=KeyState.FREE)


DEFECTS["no nonce read-back"] = (idempotency, "next_step", _judge_without_nonce)
DEFECTS["free after dispatch"] = (key_answers, "completed_record", _settled_always_free)
DEFECTS["no look at the age before dispatch"] = (idempotency, "may_dispatch", lambda *_: True)
DEFECTS["keys without an age"] = (key_stamps, "is_usable", lambda *_: True)
