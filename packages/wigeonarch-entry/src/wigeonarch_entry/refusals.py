"""Refusals at a door: counted, logged, and remembered, so that `explain` can tell them too."""

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
    """What both doors do with a request that they do not take."""

    __slots__ = ("_journal", "_metrics")

    def __init__(self, journal: Journal, metrics: Metrics) -> None:
        self._journal = journal
        self._metrics = metrics

    def record(self, door: str, outcome: NotRun) -> str:
        """Notes a refusal; returns the id that its caller is told."""
        request = uuid.uuid4().hex
        self._metrics.requests.labels("notrun").inc()
        self._metrics.refusals.labels(outcome.reason).inc()
        self._journal.open(request, monotonic())
        self._journal.note(request, INTAKE_STEP, outcome.reason, outcome.detail)
        self._journal.set_outcome(request, outcome)
        log(
            "request_refused",
            request=request,
            door=door,
            reason=outcome.reason,
            detail=outcome.detail or "-",
        )
        return request
