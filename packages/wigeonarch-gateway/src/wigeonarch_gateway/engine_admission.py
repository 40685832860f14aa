"""Admission of generations while prompts come faster than the engines of a service process them.

An engine processes prompts one after the other. Beyond what all can process, the backlog grows for
all requests alike, every first token is late, and streams take so long that they keep all adapter
places. So the rate of prompt tokens is shared as the requests of a plain service are (see
`core.service_admission`): an engine counts as one place, and `UNIT_TOKENS` of a prompt as one
request. More urgent ranks come first, teams of one rank share fairly, and what does not fit is
refused at once. Below the load at which engines are busy all is admitted.
"""

from __future__ import annotations

import copy
from collections.abc import Callable, Sequence
from typing import Final

from wigeonarch_core.engine_choice import PREFILL_RATE, EngineState
from wigeonarch_core.service_admission import (
    BUSY_SHARE,
    AdmissionRequest,
    Clock,
    EndpointRoom,
    Refusal,
    ServiceAdmission,
    ServiceLoad,
)
from wigeonarch_runtime.clock import unix_time

from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.plain_selection import kind_of
from wigeonarch_gateway.traffic import InFlightTracker

UNIT_TOKENS: Final = 1000.0  # Prompt tokens that count as one request.
# What an engine has to process of one unit at the usual pace, in seconds.
UNIT_TIME: Final = UNIT_TOKENS / PREFILL_RATE
# Which engine gets the request is decided later, so its room plays no part.
ANY_ROOM: Final = EndpointRoom(0, 1)


class EngineAdmission:
    """Admission of this instance's generations."""

    __slots__ = ("_admissions", "_demands", "_draw", "_peer_lag", "_traffic")

    def __init__(
        self,
        traffic: InFlightTracker,
        peer_lag: Callable[[], float],
        draw: Callable[[], float],
    ) -> None:
        """Creates an admission that refuses nothing yet.

        Args:
            traffic: Requests in flight at each endpoint, and what services are asked for.
            peer_lag: Returns the age of what other instances reported, in seconds.
            draw: Returns random numbers in [0, 1).
        """
        self._traffic = traffic
        self._demands = traffic.demands
        self._draw = draw
        self._peer_lag = peer_lag
        self._admissions: dict[str, ServiceAdmission] = {}

    def observing(self, draw: Callable[[], float]) -> EngineAdmission:
        """Returns an admission that decides by what this one knows and has no effect on it."""
        other = copy.copy(self)
        other._draw = draw
        other._demands = copy.deepcopy(self._demands)
        other._admissions = copy.deepcopy(self._admissions)
        return other

    def refuse(self, job: Job, states: Sequence[EngineState], now: float) -> Refusal | None:
        """Returns why a new request is refused; None if it is admitted.

        Args:
            job: The request.
            states: The engines that may be used.
            now: Current time, in seconds.
        """
        demands = self._demands
        units = max(1.0, job.terms.prompt_tokens) / UNIT_TOKENS
        demands.record(job.service, kind_of(job), job.route.objective, now, units)
        load = self._load(job, states)
        if load.running >= BUSY_SHARE * load.places:
            demands.note_busy(job.service, UNIT_TIME, now)
        if not states or not demands.is_watched(job.service, now):
            return None
        request = AdmissionRequest(
            kind_of(job),
            f"{job.request.sender} {job.content_key}",
            job.route.objective,
            now - job.request.received,
        )
        decision = self._admissions.setdefault(job.service, ServiceAdmission()).decide(
            request,
            load,
            demands.own_rates(job.service, now),
            demands.peer_rates(job.service),
            ANY_ROOM,
            Clock(now, unix_time(), self._draw()),
        )
        return decision if isinstance(decision, Refusal) else None

    def _load(self, job: Job, states: Sequence[EngineState]) -> ServiceLoad:
        """Returns the load of a service's engines, in units."""
        waiting = sum(state.waiting_tokens for state in states)
        of_peers = sum(self._traffic.waiting_tokens_of_peers(s.endpoint) for s in states)
        places = sum(1.0 / max(1.0, state.delay) for state in states)
        objective = self._demands.shortest_objective(job.service) or job.route.objective
        return ServiceLoad(
            max(1, round(places)),
            round(waiting / UNIT_TOKENS),
            round(of_peers / UNIT_TOKENS),
            UNIT_TIME,
            objective,
            self._peer_lag(),
        )
