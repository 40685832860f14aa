"""Requests that a server refuses before dispatch: counted, logged and kept for `explain`."""

from __future__ import annotations

import uuid
from typing import Final

from wigeonarch_core.outcomes import NotRun
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_entry.journal import Journal
from wigeonarch_entry.metrics import Metrics

INTAKE_STEP: Final = "intake"


class Refusals:
    """Records the requests that the HTTP and RPC servers refuse."""

    __slots__ = ("_journal", "_metrics")

    def __init__(self, journal: Journal, metrics: Metrics) -> None:
        self._journal = journal
        self._metrics = metrics

    def record(self, server: str, outcome: NotRun) -> str:
        """Records a refusal.

        Args:
            server: The server that refused the request: `http` or `rpc`.
            outcome: The refusal.

        Returns:
            The id of the request, which is reported to the caller.
        """
        request = uuid.uuid4().hex
        self._metrics.requests.labels("notrun").inc()
        self._metrics.refusals.labels(outcome.reason).inc()
        self._journal.open(request, monotonic())
        self._journal.note(request, INTAKE_STEP, outcome.reason, outcome.detail)
        self._journal.set_outcome(request, outcome)
        log(
            "request_refused",
            request=request,
            door=server,
            reason=outcome.reason,
            detail=outcome.detail or "-",
        )
        return request
