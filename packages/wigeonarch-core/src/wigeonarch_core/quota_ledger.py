"""Accounts of teams' quotas, kept in each zone by one instance for all instances of the zone.

A quota bounds what all instances together run for a team in any time window, even while some of
them can't reach each other. On the other hand, a team that is refused although it is below its
quota is not served as it should be. So each availability zone owns an equal part of every quota,
whatever the other zones do. Within a zone, one instance is the team's *quota coordinator*: it keeps
an account of the units that it gave recently, and the other instances of the zone ask it for the
units of each request.

What a coordinator gives is bounded by an envelope. With `window_limit`, the units that the zone may
give in one window, and `restart`, a rate that serves a team's usual demand, it holds for each `age`
up to the window:

    units given in the last `age` seconds <= window_limit - restart * (window - age)

A coordinator that can't know what was given before it (it has just started, has taken over, was
suspended, or hears other instances again) gives, for one window, no more than `restart` times the
time since then, and a small initial amount. What was given within the envelope and what is given
after such a start never add up to more than `window_limit` in any window, plus that initial amount.
So a burst after a calm time is admitted at once, a lasting load gets all that a window allows, and
the bound holds even if all instances are lost in the middle of a burst.

The sum over all instances is safe for these reasons:

- A coordinator gives only the share of the zone's instances that it has heard from over the last
  window. The two sides of a network cut, and instances that are cut off alone, thus divide the
  zone's part among them.
- An instance that is asked although it believes another one to be the coordinator (that one did not
  answer, or the requester sees the zone differently) acts as a *deputy*: for a moment, it gives
  half of what a restarted coordinator gives.
- Units that one zone lends to another count as given before the message is sent. The borrower
  accepts a loan only once, and only while it waits for it, so late, lost and repeated messages lose
  units but create none. The loan counts for the borrower from the time of its request, so it ends
  there first.
- A part of the bound is not given out (`USABLE_PART`). It covers deputies, two coordinators whose
  views of the zone differ for a moment, and a cut that heals, when both sides have recently given
  their parts.

All this is meant for a load in which one team sends many times its quota through all instances at
once; it protects what the other teams have. Times are passed in as arguments.
"""

from __future__ import annotations

import copy
import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec

from wigeonarch_core.teams import Quota

USABLE_PART: Final = 0.94  # Part of the bound that is given out.
# Part of the bound that a coordinator without knowledge of the past may give at once, and a deputy
# half of it.
INITIAL_PART: Final = 0.01
# Part of a quota's rate that is given for one window without knowledge of the past. A team that
# stays within its quota rarely asks for more than this overall.
RESTART_RATE_PART: Final = 0.6
# An account restarts when its share grows by this factor: it does not know what those instances
# gave that are now heard again.
SHARE_GROWTH_TO_RESTART: Final = 1.1
DEPUTY_PART: Final = 0.5  # Part of what a restarted coordinator may give that a deputy gives.
# Seconds of its rate that a deputy gives at most, until nobody has asked it for a window.
DEPUTY_SECONDS: Final = 0.5
SLOT_SECONDS: Final = 0.25  # Units count as given at the end of the slot in which they were given.
# Seconds between two updates after which the process counts as having been suspended.
MAX_UPDATE_GAP: Final = 1.0
DEMAND_AVERAGING_SECONDS: Final = 4.0  # Time constant of the average of demand.
# Part of its demand in a window for which a zone keeps units when another zone asks for a loan.
KEPT_DEMAND_PART: Final = 0.6
# A zone asks others for a loan when less than this part of its window limit is left.
LOW_LEVEL_PART: Final = 0.2
LOAN_DEMAND_SECONDS: Final = 1.0  # Seconds of its demand for which a zone requests a loan.
LOAN_REQUEST_INTERVAL: Final = 0.2  # Seconds between two loan requests for a team.
LOAN_TIMEOUT: Final = 0.5  # Seconds after a loan request in which a loan is accepted.
REFUND_SECONDS: Final = 20.0  # Seconds in which a grant may be refunded.
MAX_WAIT: Final = 5.0  # Longest time in seconds after which a refused request is told to come back.
MIN_RATE: Final = 1e-9  # Units per second, assumed where none are given, to avoid a division by 0.


class QuotaBounds(msgspec.Struct, frozen=True):
    """How far all instances together may exceed a quota's rate and burst.

    Attributes:
        window: Length of the sliding window, in seconds.
        overshoot: Excess allowed in a window, as a part of what rate and burst allow.
        slack: Units allowed in a window in addition.
    """

    window: float = 8.0
    overshoot: float = 0.1
    slack: float = 0.0

    def bound(self, quota: Quota) -> float:
        """Returns the units of a quota that any window may contain."""
        allowed = quota.rate * self.window + quota.burst
        return allowed * (1.0 + self.overshoot) + self.slack


class QuotaShare(msgspec.Struct, frozen=True):
    """What an instance may give of a quota.

    Attributes:
        share: Part of the whole quota, from 0 to 1.
        is_coordinator: Whether it is the zone's coordinator, as it sees the zone itself.
    """

    share: float
    is_coordinator: bool


class AcquireResult(msgspec.Struct, frozen=True):
    """The answer to a request for units.

    Attributes:
        granted: Whether the units were given.
        wait: Estimated seconds until there are units for this request, if nobody else asks.
        queue_wait: The same, if the requests refused before it are served first.
        remaining: Units that are left for now.
        loan_requested: Whether other zones were just asked for a loan.
    """

    granted: bool
    wait: float = 0.0
    queue_wait: float = 0.0
    remaining: float = 0.0
    loan_requested: bool = False


class LoanRequest(msgspec.Struct, frozen=True):
    """What a zone asks other zones for.

    Attributes:
        number: Number that their loans must carry.
        wanted: Units wanted.
    """

    number: int
    wanted: float


class _Grant(msgspec.Struct, frozen=True):
    """Units that were given to a request of a team, and when (seconds)."""

    team: str
    cost: float
    at: float


@dataclass(slots=True)
class _Slot:
    """A short time interval.

    Attributes:
        end: Its end, in seconds.
        given: Units given in it; loans taken from other zones count as negative.
        seconds: Seconds of it that are accounted for.
        shared: Those seconds, each weighted with the share of the zone that was heard then.
    """

    end: float
    given: float = 0.0
    seconds: float = 0.0
    shared: float = 0.0


@dataclass(slots=True)
class _Account:
    """What one instance recently gave to a team.

    An account starts, or restarts, whenever the instance can't know what was given before.

    Attributes:
        updated_at: Time up to which the account is up to date, in seconds.
        is_coordinator: Whether the instance was the coordinator then.
        share: Lowest share that it had since the start.
        known_since: Time of the start, in seconds; what was given since then is known.
        bound: Units that any window may contain over all instances.
        window_limit: Units that any window may contain here.
        allowed_since_start: Units that may be given since the start, for the first window.
        given_since_start: Units that were given since the start.
        slots: The slots of the last window, oldest first.
        lent: Loans to other zones, as pairs of time and units.
        demand: Recent demand, in units per second.
        refused: Units that were refused recently and may be asked for again.
        shortfall: Units that the last request lacked; 0 if it was granted.
        last_request_at: Time of the last request, in seconds.
        loan_requested_at: Time of the last loan request to other zones, in seconds.
        loan_request: Its number.
        lenders: Senders whose loans in answer to it were accepted.
    """

    updated_at: float
    is_coordinator: bool
    share: float
    known_since: float = -math.inf
    bound: float = 0.0
    window_limit: float = 0.0
    allowed_since_start: float = 0.0
    given_since_start: float = 0.0
    slots: deque[_Slot] = field(default_factory=deque)
    lent: deque[tuple[float, float]] = field(default_factory=deque)
    demand: float = 0.0
    refused: float = 0.0
    shortfall: float = 0.0
    last_request_at: float = -math.inf
    loan_requested_at: float = -math.inf
    loan_request: int = 0
    lenders: set[str] = field(default_factory=set)


class QuotaLedger:
    """The accounts that one instance keeps."""

    __slots__ = ("_accounts", "_bounds", "_grants", "_last_loan_request", "_updated_at")

    def __init__(self, bounds: QuotaBounds, now: float, first_loan_request: int = 0) -> None:
        """Makes a ledger without accounts.

        Args:
            bounds: How far quotas may be exceeded.
            now: The time, in seconds.
            first_loan_request: Number before that of the first loan request. It differs for each
                start of the process, so that loans to an earlier process are not accepted.
        """
        self._bounds = bounds
        self._accounts: dict[str, _Account] = {}
        self._grants: dict[tuple[str, int], _Grant] = {}
        self._updated_at = now
        self._last_loan_request = first_loan_request

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Replaces the bounds."""
        self._bounds = bounds

    def update(self, parts: Mapping[str, tuple[Quota, QuotaShare]], now: float) -> None:
        """Brings all accounts up to date; must be called several times a second.

        Args:
            parts: The teams with a quota, and what this instance may give of each.
            now: The time, in seconds.
        """
        self._clear_after_pause(now)
        for team, account in list(self._accounts.items()):
            idle = now - account.last_request_at > self._bounds.window
            if team not in parts or (idle and not parts[team][1].is_coordinator):
                del self._accounts[team]
        for team, (quota, part) in parts.items():
            if part.is_coordinator or team in self._accounts:
                self._updated_account(team, quota, part, now)
        self._grants = {k: g for k, g in self._grants.items() if now - g.at < REFUND_SECONDS}

    def acquire(
        self, team: str, quota: Quota, part: QuotaShare, cost: float, now: float
    ) -> AcquireResult:
        """Takes units for a request, if there are enough."""
        self._clear_after_pause(now)
        account = self._updated_account(team, quota, part, now)
        account.last_request_at = now
        account.demand += cost / DEMAND_AVERAGING_SECONDS
        available = self._available(account, quota, part, now)
        if available >= cost:
            self._book(account, cost, now)
            account.refused = max(0.0, account.refused - cost)
            account.shortfall = 0.0
            return AcquireResult(True, remaining=available - cost)
        rate = max(account.window_limit / self._bounds.window, MIN_RATE)
        wait = min(MAX_WAIT, (cost - available) / rate)
        queue_wait = min(MAX_WAIT, wait + account.refused / rate)
        account.refused = min(account.refused + cost, MAX_WAIT * rate)
        account.shortfall = cost - available
        return AcquireResult(False, wait, queue_wait, available)

    def preview(
        self, team: str, quota: Quota, part: QuotaShare, cost: float, now: float
    ) -> AcquireResult:
        """Returns what `acquire` would return, without taking units or changing an account."""
        other = QuotaLedger(self._bounds, self._updated_at)
        if team in self._accounts:
            other._accounts[team] = copy.deepcopy(self._accounts[team])
        return other.acquire(team, quota, part, cost, now)

    def record_grant(self, requester: str, number: int, team: str, cost: float, now: float) -> None:
        """Records a grant, so that it can be refunded."""
        self._grants[requester, number] = _Grant(team, cost, now)

    def refund(self, requester: str, number: int) -> None:
        """Takes back the units of a request that has not run and will not run; once per grant."""
        grant = self._grants.pop((requester, number), None)
        account = self._accounts.get(grant.team) if grant is not None else None
        if grant is None or account is None:
            return
        for slot in account.slots:
            # Take the units back from the slot in which they were given; another slot would free
            # them in a second window as well. An account that restarted since then does not contain
            # them.
            if grant.at <= slot.end < grant.at + SLOT_SECONDS and slot.given >= grant.cost:
                slot.given -= grant.cost
                account.given_since_start -= grant.cost
                return

    # Loans between zones.

    def request_loan(
        self, team: str, quota: Quota, part: QuotaShare, now: float
    ) -> LoanRequest | None:
        """Returns what to ask other zones for; None if nothing is needed or a request is recent."""
        account = self._accounts.get(team)
        if (
            account is None
            or not part.is_coordinator
            or now - account.loan_requested_at < LOAN_REQUEST_INTERVAL
        ):
            return None
        available = self._available(account, quota, part, now)
        if account.shortfall <= 0.0 and available > LOW_LEVEL_PART * account.window_limit:
            return None
        wanted = account.shortfall + account.demand * LOAN_DEMAND_SECONDS
        self._last_loan_request += 1
        account.loan_requested_at, account.loan_request, account.lenders = (
            now,
            self._last_loan_request,
            set(),
        )
        return LoanRequest(account.loan_request, wanted)

    def lend(self, team: str, quota: Quota, part: QuotaShare, wanted: float, now: float) -> float:
        """Takes units for another zone out of an account; returns how many."""
        if not part.is_coordinator:
            return 0.0
        self._clear_after_pause(now)
        account = self._updated_account(team, quota, part, now)
        window = self._bounds.window
        while account.lent and account.lent[0][0] <= now - window:
            account.lent.popleft()
        lent = sum(units for _, units in account.lent)
        spare = account.window_limit - lent - KEPT_DEMAND_PART * account.demand * window
        units = max(0.0, min(wanted, spare, self._available(account, quota, part, now)))
        if units > 0.0:
            self._book(account, units, now)
            account.lent.append((now, units))
        return units

    def accept_loan(
        self, team: str, request_number: int, lender: str, units: float, now: float
    ) -> bool:
        """Adds a loan to an account; returns False if it came unexpected, late or twice."""
        account = self._accounts.get(team)
        if (
            account is None
            or account.loan_request != request_number
            or now - account.loan_requested_at > LOAN_TIMEOUT
        ):
            return False
        if lender in account.lenders or account.loan_requested_at < account.known_since:
            return False
        account.lenders.add(lender)
        self._book(account, -units, account.loan_requested_at)
        return True

    # Accounts.

    def _updated_account(self, team: str, quota: Quota, part: QuotaShare, now: float) -> _Account:
        """Returns a team's account as of now, after creating it if there was none."""
        account = self._accounts.get(team)
        if account is None:
            account = self._accounts[team] = _Account(now, part.is_coordinator, part.share)
            self._start_account(account, quota, part, now)
        elif (
            part.is_coordinator is not account.is_coordinator
            or part.share > SHARE_GROWTH_TO_RESTART * account.share
        ):
            self._start_account(account, quota, part, now)
        account.share = min(account.share, part.share)
        self._advance(account, quota, part, now)
        return account

    def _start_account(self, account: _Account, quota: Quota, part: QuotaShare, now: float) -> None:
        """Starts or restarts an account without knowledge of what other instances gave before."""
        initial = self._initial_units(quota, part)
        if account.known_since > now - self._bounds.window:
            # The initial units may be given only once per window, however often the account
            # restarts.
            initial = max(
                0.0, min(initial, account.allowed_since_start - account.given_since_start)
            )
        account.allowed_since_start, account.given_since_start = initial, 0.0
        account.is_coordinator, account.share = part.is_coordinator, part.share
        account.known_since = account.updated_at = now
        for slot in account.slots:
            slot.seconds = slot.shared = 0.0
        account.lent.clear()

    def _initial_units(self, quota: Quota, part: QuotaShare) -> float:
        share = part.share * (1.0 if part.is_coordinator else DEPUTY_PART)
        return INITIAL_PART * self._bounds.bound(quota) * share

    def _advance(self, account: _Account, quota: Quota, part: QuotaShare, now: float) -> None:
        """Accounts for the time since the last update."""
        window = self._bounds.window
        elapsed = max(0.0, now - account.updated_at)
        account.updated_at = max(account.updated_at, now)
        slot = _slot_at(account, now)
        slot.seconds += elapsed
        slot.shared += elapsed * part.share
        while account.slots[0].end <= now - window:
            account.slots.popleft()
        rate = RESTART_RATE_PART * quota.rate * part.share
        account.allowed_since_start += rate * elapsed
        if not part.is_coordinator:
            most = self._initial_units(quota, part) + DEPUTY_PART * rate * DEPUTY_SECONDS
            account.allowed_since_start = min(account.allowed_since_start, most)
        self._apply_bound(account, self._bounds.bound(quota))
        account.window_limit = USABLE_PART * account.bound * _mean_share(account, part)
        account.demand *= math.exp(-elapsed / DEMAND_AVERAGING_SECONDS)
        account.refused = max(0.0, account.refused - account.window_limit / window * elapsed)

    @staticmethod
    def _apply_bound(account: _Account, bound: float) -> None:
        """Applies the bound in force; a lower one scales down what was given before it."""
        if bound < account.bound:
            ratio = bound / account.bound
            for slot in account.slots:
                slot.given *= ratio
            account.given_since_start *= ratio
        account.bound = bound

    def _available(self, account: _Account, quota: Quota, part: QuotaShare, now: float) -> float:
        """Returns the units that may be given now."""
        available = account.allowed_since_start - account.given_since_start
        if not part.is_coordinator:
            return available
        window = self._bounds.window
        if now - account.known_since >= window:
            available = math.inf
        restart = RESTART_RATE_PART * quota.rate * part.share
        given = 0.0
        available = min(available, account.window_limit - restart * window)
        for slot in reversed(account.slots):
            given += slot.given
            age = max(0.0, now - slot.end)
            available = min(
                available, account.window_limit - restart * max(0.0, window - age) - given
            )
        return available

    @staticmethod
    def _book(account: _Account, units: float, at: float) -> None:
        account.given_since_start += units
        _slot_at(account, at).given += units

    def _clear_after_pause(self, now: float) -> None:
        """Clears all accounts after a suspension, as others may have given units meanwhile."""
        if now - self._updated_at > MAX_UPDATE_GAP:
            self._accounts.clear()
        self._updated_at = max(self._updated_at, now)


def _slot_at(account: _Account, at: float) -> _Slot:
    """Returns the slot that contains a time; it is almost always one of the last."""
    end = SLOT_SECONDS * math.ceil(at / SLOT_SECONDS)
    index = len(account.slots)
    while index and account.slots[index - 1].end >= end:
        index -= 1
        if account.slots[index].end == end:
            return account.slots[index]
    slot = _Slot(end)
    account.slots.insert(index, slot)
    return slot


def _mean_share(account: _Account, part: QuotaShare) -> float:
    """Returns the mean of the zone's shares that were heard over the last window."""
    seconds = sum(slot.seconds for slot in account.slots)
    if seconds <= 0.0:
        return part.share
    return sum(slot.shared for slot in account.slots) / seconds
