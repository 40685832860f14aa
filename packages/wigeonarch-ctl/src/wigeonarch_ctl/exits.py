"""Exit codes of the command line, and the tables that map replies to them.

Scripts rely on these numbers. `NOT_RUN` guarantees that nothing was done; where that isn't certain,
the code is `UNKNOWN`.
"""

from __future__ import annotations

from typing import Final

from wigeonarch_schema import wigeonarch_pb2 as pb

OK: Final = 0
NOT_RUN: Final = 1
USAGE: Final = 2
UNKNOWN: Final = 3
UNREACHABLE: Final = 4
PENDING: Final = 5
FAILED: Final = 6

MEANINGS: Final[dict[int, str]] = {
    OK: "done, or answered",
    NOT_RUN: "not run, rejected, or not found: nothing was done",
    USAGE: "wrong usage: nothing was sent",
    UNKNOWN: "unknown outcome: it may have been done",
    UNREACHABLE: "server unreachable: nothing was done",
    PENDING: "pending: not yet known to be in force in every zone, or not ended yet",
    FAILED: "the request ran and failed",
}

BY_STATUS: Final[dict[int, int]] = {
    pb.STATUS_ACCEPTED: OK,
    pb.STATUS_PENDING: PENDING,
    pb.STATUS_REJECTED_CONFLICT: NOT_RUN,
    pb.STATUS_REJECTED_INVALID: NOT_RUN,
    pb.STATUS_UNAVAILABLE: NOT_RUN,
}

BY_OUTCOME: Final[dict[int, int]] = {
    pb.OUTCOME_ANSWERED: OK,
    pb.OUTCOME_NOT_RUN: NOT_RUN,
    pb.OUTCOME_UNKNOWN: UNKNOWN,
    pb.OUTCOME_FAILED: FAILED,
}


def of_status(status: int) -> int:
    """Returns the exit code for a change's status; `UNKNOWN` for a status of a newer schema."""
    return BY_STATUS.get(status, UNKNOWN)


def of_outcome(outcome: int) -> int:
    """Returns the exit code for a request's outcome; `UNKNOWN` for one of a newer schema."""
    return BY_OUTCOME.get(outcome, UNKNOWN)
