"""Admission to a plain service: which requests are sent while it is asked for more than it can do.

Every instance computes the same from what all have reported: the rate that the service can take
(`RateControl`), and which part of each kind of request fits into it (`admitted_parts`). A kind is
a rank and a team. More urgent ranks come first; within a rank, teams share by max-min fairness, so
what one team leaves is lent to others. A request is then drawn by a hash of its caller and content:
a caller that repeats it in the same time slot, at any instance, gets the same result, and one that
returns when it was told to is drawn anew.

The rate follows the number of requests at the endpoints: as long as their queues are shorter than
intended it is a little above the capacity, and below it when they are longer. The gain is small for
old reports, so that instances that react to the same news do not all stop and all start.

This helps a plain service that lost an endpoint, whose callers retry, or where one team or one
unimportant kind of request asks for more than its share. No share is refused while the rate that is
asked for stays below the allowed one; a request that finds no room in time may be. Wrong or missing
reports cost goodput or fairness only: each decision is to send once or to refuse a request that has
not run.
"""

from __future__ import annotations

import enum
import math
import zlib
from collections.abc import Collection, Mapping
from typing import Final

import msgspec

from wigeonarch_core.service_demand import (
    MIN_RATE,
    NO_TEAM,
    Kind,
    admitted_parts,
    total_demand,
)

# Share of the latency objective that an endpoint's queue and the service itself may take. The rest
# allows for requests that take longer than usual, and for bursts that are not known yet.
QUEUE_SHARE: Final = 0.5
# Requests per slot that endpoints get at most, running or queued: their queues are bounded, and a
# longer one would only make requests wait.
MAX_INTENDED_PER_SLOT: Final = 2.5
# Share of the latency objective in which a request must be expected to end to be sent at all.
IN_TIME_SHARE: Final = 0.9
# Share of a service's places in use from which on it is watched: instances tell each other what
# they are asked for, and refuse what does not fit.
BUSY_SHARE: Final = 0.7
# Seconds for which it is still watched after that. Old news of free places would else open all
# instances at once.
WATCH_TIME: Final = 5.0
# Share of the latency objective for which an admitted request may wait for room.
WAIT_SHARE: Final = 0.1
# Part of a deviation of the queue that is corrected within the age of the reports; more would make
# it swing, as every correction comes as late as the reports.
CORRECTION_PER_LAG: Final = 0.35
# Ages of the reports in which the rest of a deviation is corrected for good.
CORRECTION_LAGS: Final = 6.0
FORGET_TIME: Final = 60.0  # Time constant in which corrections are forgotten, in seconds.
MAX_UPDATE_GAP: Final = 1.0  # Seconds that one update accounts for at most.
MIN_RATE_FACTOR: Final = 0.3  # Bounds of the allowed rate, as factors of the capacity.
MAX_RATE_FACTOR: Final = 1.5
# Seconds for which a caller's request is drawn only once.
DRAW_SLOT: Final = 1.0
# Requests of a kind by which an instance may be ahead of its part or behind it. Requests that are
# all alike are drawn alike, and would be all sent or all refused without a bound.
MAX_AHEAD: Final = 5.0
AHEAD_KEPT: Final = 0.95  # Part of that which each further request leaves.
RAISE_STEP: Final = 0.03  # Correction of a part by each request, on a logarithmic scale.
MAX_RAISE: Final = 2.0
MAX_RETRY_SPREAD: Final = 3.0  # Seconds over which the returns of refused callers are spread.
MIN_RETRY_AFTER: Final = 0.1  # Seconds.


class Decision(enum.StrEnum):
    """What becomes of a request."""

    SEND = "send"
    WAIT = "wait"  # It is asked again shortly.
    SHARE = "share"  # Refused: its kind asks for more than fits.
    LATE = "late"  # Refused: it would not be answered within its objective.
    FULL = "full"  # Refused: the endpoint has no room, though its kind has.


class ServiceLoad(msgspec.Struct, frozen=True):
    """What an instance knows of the load of a plain service.

    Attributes:
        places: Requests that its endpoints can run at the same time.
        running: Requests that were sent to them and have not ended, by all instances.
        running_of_peers: Those of other instances.
        service_time: Seconds that a request takes without waiting.
        objective: Latency objective, in seconds.
        lag: Age of what other instances reported, in seconds.
    """

    places: int
    running: int
    running_of_peers: int
    service_time: float
    objective: float
    lag: float

    @property
    def capacity(self) -> float:
        """Returns the requests a second that the endpoints can finish."""
        return max(1, self.places) / self.service_time

    @property
    def sent_by_peers(self) -> float:
        """Returns the requests a second that other instances send, by what they have running."""
        return self.capacity * self.running_of_peers / max(self.running, self.places, 1)

    @property
    def intended(self) -> float:
        """Returns the number of requests that the endpoints should have while they are busy."""
        return max(1, self.places) * _intended_per_slot(self.service_time, self.objective)


class Refusal(msgspec.Struct, frozen=True):
    """Why a request was refused, for logs and for its caller.

    Attributes:
        decision: The reason.
        kind: Its kind.
        part: Part of its kind that fits, from 0 to 1.
        asked: Requests a second that all callers ask for.
        kind_asked: Those of its kind.
        allowed: Requests a second that the service takes.
        running: Requests at the service.
        limit: Number of requests that the service should have.
        retry_after: Seconds after which the caller should return.
    """

    decision: Decision
    kind: Kind
    part: float
    asked: float
    kind_asked: float
    allowed: float
    running: int
    limit: float
    retry_after: float


def _intended_per_slot(service_time: float, objective: float) -> float:
    return min(MAX_INTENDED_PER_SLOT, max(1.0, QUEUE_SHARE * objective / service_time))


class RateControl:
    """The rate that all instances together should send to a service.

    It follows the number of requests there at once, by a small part, and corrects a wrong estimate
    of the capacity in the long run. Each instance corrects by itself, from about the same reports.
    """

    __slots__ = ("_correction", "_updated")

    def __init__(self) -> None:
        self._correction = 1.0
        self._updated: float | None = None

    def allowed_rate(self, load: ServiceLoad) -> float:
        """Returns the requests a second that all instances together should send."""
        factor = self._correction + _gain(load) * _deviation(load)
        return load.capacity * min(MAX_RATE_FACTOR, max(MIN_RATE_FACTOR, factor))

    def update(self, load: ServiceLoad, is_limiting: bool, now: float) -> None:
        """Corrects the estimate of the capacity.

        Args:
            load: What is known of the service's load.
            is_limiting: Whether more is asked for than the allowed rate. Otherwise the number of
                requests tells nothing of the capacity, and the correction is forgotten.
            now: Current time, in seconds.
        """
        passed = 0.0 if self._updated is None else min(MAX_UPDATE_GAP, now - self._updated)
        self._updated = now
        change = (1.0 - self._correction) / FORGET_TIME
        if is_limiting:
            change += _gain(load) * _deviation(load) / (CORRECTION_LAGS * _delay(load))
        corrected = self._correction + passed * change
        self._correction = min(MAX_RATE_FACTOR, max(MIN_RATE_FACTOR, corrected))


def _delay(load: ServiceLoad) -> float:
    return max(load.lag, load.service_time)


def _gain(load: ServiceLoad) -> float:
    return min(1.0, CORRECTION_PER_LAG * load.intended / (load.capacity * _delay(load)))


def _deviation(load: ServiceLoad) -> float:
    """Returns by which share of the intended number too few requests are at the service."""
    return max(-1.0, 1.0 - load.running / load.intended)


def draw_of(caller: str, seconds: float) -> float:
    """Returns a number in [0, 1) that is the same for repeats of a request in one time slot.

    Args:
        caller: Identifies the caller and the content of its request.
        seconds: Time since the epoch. Instances whose clocks differ draw independently.
    """
    return zlib.crc32(f"{caller}/{int(seconds / DRAW_SLOT)}".encode()) / 2**32


def retry_delay(
    kind: Kind, demand: Mapping[Kind, float], allowed: float, seconds: float, draw: float
) -> float:
    """Returns the seconds after which a refused caller should return.

    Not before the next time slot, and later the more is asked for beyond what fits. More urgent
    kinds return first, and each spread over the time of those of its rank.

    Args:
        kind: Kind of the request.
        demand: Requests a second of each kind.
        allowed: Requests a second that fit.
        seconds: Time since the epoch.
        draw: Uniform in [0, 1).
    """
    total = sum(demand.values())
    spread = min(MAX_RETRY_SPREAD, DRAW_SLOT * max(0.5, total / max(allowed, MIN_RATE) - 1.0))
    before = sum(rate for other, rate in demand.items() if other.rank < kind.rank)
    until = sum(rate for other, rate in demand.items() if other.rank <= kind.rank)
    point = (before + (until - before) * draw) / total if total > 0.0 else draw
    return max(MIN_RETRY_AFTER, DRAW_SLOT - seconds % DRAW_SLOT + spread * point)


class Draws:
    """Draws requests so that an instance sends about the part of each kind that fits.

    Callers that repeat refused requests too early are refused again, so that fewer than intended
    are sent. The part is then raised for all requests of the kind, not for those that repeat.
    """

    __slots__ = ("_ahead", "_raised")

    def __init__(self) -> None:
        self._ahead: dict[Kind, float] = {}
        self._raised: dict[Kind, float] = {}

    def admits(self, kind: Kind, part: float, draw: float) -> bool:
        """Decides on one request, and counts it.

        Args:
            kind: Its kind.
            part: Part of its kind that fits, from 0 to 1.
            draw: Its draw.
        """
        ahead, raised = self._ahead.get(kind, 0.0), self._raised.get(kind, 0.0)
        is_admitted = part >= 1.0 or draw < part * math.exp(raised)
        if ahead >= MAX_AHEAD and part < 1.0:
            is_admitted = False
        elif ahead <= -MAX_AHEAD:
            is_admitted = True
        error = is_admitted - part
        self._ahead[kind] = max(-MAX_AHEAD, min(MAX_AHEAD, ahead * AHEAD_KEPT + error))
        self._raised[kind] = max(0.0, min(MAX_RAISE, raised - RAISE_STEP * error))
        return is_admitted

    def keep(self, kinds: Collection[Kind]) -> None:
        """Forgets all kinds but these."""
        for table in (self._ahead, self._raised):
            for kind in [each for each in table if each not in kinds]:
                del table[kind]


class AdmissionRequest(msgspec.Struct, frozen=True):
    """One request that asks for admission.

    Attributes:
        kind: Its kind.
        caller: Identifies the caller and the content of its request.
        objective: Its latency objective, in seconds.
        elapsed: Seconds since the attempt of its caller was received.
        waited: Seconds for which it has waited for an endpoint since it was last refused.
        is_repeat: Whether an endpoint has refused it before.
        is_admitted: Whether it was admitted before and waits for room.
    """

    kind: Kind
    caller: str
    objective: float
    elapsed: float = 0.0
    waited: float = 0.0
    is_repeat: bool = False
    is_admitted: bool = False


class EndpointRoom(msgspec.Struct, frozen=True):
    """The endpoint that was chosen for a request.

    Attributes:
        running: Requests that were sent to it and have not ended, by all instances.
        slots: Requests that it can run at the same time.
    """

    running: int
    slots: int


class Clock(msgspec.Struct, frozen=True):
    """The time and a random number for one decision.

    Attributes:
        now: Current time, in seconds.
        unix_time: Seconds since the epoch.
        draw: Uniform in [0, 1).
    """

    now: float
    unix_time: float
    draw: float


class ServiceAdmission:
    """Admission of one instance to one service."""

    __slots__ = ("_control", "_draws")

    def __init__(self) -> None:
        self._control = RateControl()
        self._draws = Draws()

    def decide(
        self,
        request: AdmissionRequest,
        load: ServiceLoad,
        own: Mapping[Kind, float],
        peers: Mapping[Kind, float],
        endpoint: EndpointRoom,
        clock: Clock,
    ) -> Decision | Refusal:
        """Decides whether a request is sent to the endpoint that was chosen for it.

        Args:
            request: The request.
            load: What is known of the service's load.
            own: Requests a second of each kind that this instance is asked for, this one included.
            peers: Those that other instances report.
            endpoint: The chosen endpoint.
            clock: The time and a random number.
        """
        demand = total_demand(own, peers, load.sent_by_peers)
        allowed = self._control.allowed_rate(load)
        is_first = not request.is_admitted and not request.is_repeat
        self._control.update(load, sum(demand.values()) > allowed, clock.now)
        kind = request.kind if request.kind in own else Kind(request.kind.rank, NO_TEAM)
        part = admitted_parts(demand, allowed).get(kind, 1.0)
        self._draws.keep(own)
        draw = draw_of(request.caller, clock.unix_time)
        if is_first and not self._draws.admits(kind, part, draw):
            decision = Decision.SHARE
        else:
            decision = decide_room(request, endpoint, load.service_time)
        if decision in (Decision.SEND, Decision.WAIT):
            return decision
        return Refusal(
            decision,
            kind,
            part,
            sum(demand.values()),
            demand.get(kind, 0.0),
            allowed,
            load.running,
            load.intended,
            retry_delay(kind, demand, allowed, clock.unix_time, clock.draw),
        )


def decide_room(request: AdmissionRequest, endpoint: EndpointRoom, service_time: float) -> Decision:
    """Decides whether the chosen endpoint has room for an admitted request.

    Args:
        request: The request.
        endpoint: The endpoint.
        service_time: Seconds that a request takes without waiting.
    """
    running, slots = endpoint.running, max(1, endpoint.slots)
    if running < slots:
        return Decision.SEND
    objective = request.objective
    if request.elapsed + service_time > objective > service_time:
        return Decision.LATE
    end = service_time * (running + 1) / slots
    if request.is_repeat:
        has_room = running < slots * _intended_per_slot(service_time, objective)
        return Decision.SEND if has_room else Decision.FULL
    since = request.elapsed - request.waited
    if since + end <= max(IN_TIME_SHARE * objective, service_time * (slots + 1) / slots):
        return Decision.SEND
    return Decision.WAIT if request.waited < WAIT_SHARE * objective else Decision.FULL
