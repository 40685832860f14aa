"""Mechanisms behind the rules of "What must always hold", each with a scenario that depends on it.

Each row replaces a piece of source text in one module so that the mechanism is removed. The named
scenario must then fail. `test_mechanisms.py` applies the rows to a copy of the packages.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

CORE: Final = "wigeonarch-core/src/wigeonarch_core"
ENTRY: Final = "wigeonarch-entry/src/wigeonarch_entry"


@dataclass(frozen=True)
class Mechanism:
    """A mechanism and the change of the source that removes it.

    Attributes:
        invariant: Number of the rule in "What must always hold".
        module: Path of the module below `packages/`.
        text: Source text that occurs exactly once in the module.
        replacement: Text that replaces it, which removes the mechanism.
        case: Name of the scenario that fails without the mechanism.
    """

    invariant: int
    module: str
    text: str
    replacement: str
    case: str


MECHANISMS: Final[dict[str, Mechanism]] = {
    "the echoed adapter and version are checked": Mechanism(
        1,
        f"{ENTRY}/engines.py",
        "if (chunk.adapter, chunk.version) != (gen.target.adapter, gen.target.version):",
        "if False:",
        "engineEchoesAnotherVersion",
    ),
    "a version in use is no victim": Mechanism(
        1,
        f"{CORE}/eviction.py",
        "if pins.count(target) or slot.running:",
        "if False:",
        "oneSlotForThreeVersions",
    ),
    "chunks ahead of their turn wait": Mechanism(
        3,
        f"{CORE}/reorder_buffer.py",
        "if number >= self.next_number + MAX_AHEAD:",
        "if number > self.next_number:",
        "chunksOutOfOrderAndDoubled",
    ),
    "chunks of other dispatches are dropped": Mechanism(
        3,
        f"{ENTRY}/engines.py",
        "if chunk.dispatch != gen.dispatch:",
        "if False:",
        "chunksOfAnotherDispatch",
    ),
    "a missing chunk is fetched by a resume": Mechanism(
        3,
        f"{ENTRY}/reading.py",
        "while latest is not None and self._may_resume(latest) and monotonic() < until:",
        "while False:",
        "chunkLeftOut",
    ),
    "a resume that brings chunks renews the patience": Mechanism(
        3,
        f"{ENTRY}/reading.py",
        "if self._answer.next_seq > next_seq:",
        "if False:",
        "streamSilentAgainAndAgain",
    ),
    "a stream is resumed for a while": Mechanism(
        3,
        f"{ENTRY}/reading.py",
        "RESUME_WINDOW_FACTOR: Final = 3",
        "RESUME_WINDOW_FACTOR: Final = 0",
        "engineCutOffForAWhileUnderAStream",
    ),
    "a refused retry does not undo an attempt that ran": Mechanism(
        4,
        f"{CORE}/lifecycle.py",
        "if earlier is None or not isinstance(latest, NotRun):",
        "if True:",
        "engineEchoesAnotherVersion",
    ),
    "a connection lost after sending is unknown": Mechanism(
        4,
        f"{CORE}/lifecycle.py",
        "(Phase.SENT, Event.LOST): _UNKNOWN_RETRY",
        "(Phase.SENT, Event.LOST): _NOT_RUN",
        "connectionLostBeforeAndAfterTheRun",
    ),
    "silence after sending is unknown": Mechanism(
        4,
        f"{CORE}/lifecycle.py",
        "(Phase.SENT, Event.SILENT): _UNKNOWN_RETRY",
        "(Phase.SENT, Event.SILENT): _NOT_RUN",
        "silenceBeforeAndAfterTheRun",
    ),
    "a deadline after sending is unknown": Mechanism(
        4,
        f"{CORE}/lifecycle.py",
        "(Phase.SENT, Event.DEADLINE): _UNKNOWN,",
        "(Phase.SENT, Event.DEADLINE): _NOT_RUN,",
        "deadlineInEachPhase",
    ),
    "the owner's queue is bounded": Mechanism(
        4,
        f"{CORE}/scheduler.py",
        "if len(self._queue) >= limit:",
        "if False:",
        "shedAtTheOwnersQueue",
    ),
    "a lost answer is asked for again": Mechanism(
        4,
        f"{ENTRY}/endpoints.py",
        "if e.listed.name not in progress.avoided] or allowed",
        "if e.listed.name not in progress.avoided]",
        "postIsNotSentAgainOnAPooledConnection",
    ),
    "an endpoint's refusal is what is told": Mechanism(
        4,
        f"{CORE}/lifecycle.py",
        "if not isinstance(earlier, NotRun) or latest.reason in _NO_ENDPOINT_REASONS:",
        "if not isinstance(earlier, NotRun):",
        "endpointsRefuse",
    ),
    "the list's leaving counts": Mechanism(
        6,
        f"{CORE}/fleet.py",
        "return self.declared_leaving or self.listed.state is Presence.LEAVING",
        "return self.declared_leaving",
        "leavingByTheList",
    ),
    "the report's leaving counts": Mechanism(
        6,
        f"{CORE}/scheduler.py",
        'self._leaving = rep.state == "leaving"',
        "self._leaving = False",
        "leavingByItsReport",
    ),
    "a refusal's leaving counts": Mechanism(
        6,
        f"{CORE}/fleet.py",
        "known.declared_leaving = True",
        "known.declared_leaving = known.declared_leaving",
        "leavingByItsRefusalAlone",
    ),
    "the door stays open until balancers know": Mechanism(
        7,
        f"{ENTRY}/node.py",
        'await self._await_drain_step("balancers", notice)',
        "notice.cancel()",
        "idleInstanceAnswersUntilBalancersHaveSeen",
    ),
    "a draining instance takes no request": Mechanism(
        7,
        f"{ENTRY}/node.py",
        "return Reason.DRAINING",
        "pass",
        "newRequestsWhileShuttingDownAreNotRun",
    ),
    "asks wait while their engine is handed over": Mechanism(
        7,
        f"{ENTRY}/owners.py",
        "if self.hand_overs.is_offered(request.engine) and request.engine not in self._ctx.owned:",
        "if False:",
        "shutdownUnderStreamsAndQueuedGrants",
    ),
    "an owner stays until it can hand over": Mechanism(
        7,
        f"{ENTRY}/owners.py",
        "if not successors or (not self._ctx.owned and (platform_answers or successors > 1)):",
        "if True:",
        "shutdownInAPlatformOutage",
    ),
    "the last but one stays in an outage": Mechanism(
        7,
        f"{ENTRY}/owners.py",
        "(platform_answers or successors > 1)",
        "(platform_answers or successors > 0)",
        "lastButOneStaysInAPlatformOutage",
    ),
}
