"""The credit of teams, kept by one instance of an availability zone for all instances there.

A quota bounds what all instances together run for a team in any window, also while some can't hear
others; and a team that is refused below it is not served as it should be. Each availability zone
owns an equal part of every quota, whatever the other zones do. In a zone one instance, its banker
for that team, keeps account of what it gave lately; the others ask it for each request.

What is given is bounded by an envelope. With `most`, what the zone may give in a window, and
`restart`, a rate that serves a team's usual demand:

    what was given in the last `age` seconds <= most - restart x (window - age)

A banker that can't know what was given before it (it just started, took over, stood still, or hears
others again) gives for one window no more than `restart` x its time since, and a little at once.
Both together are never more than `most` in any window, and that little. So a burst after a calm
time is let in at once, a lasting load gets all that a window holds, and even the loss of all
instances in the middle of a burst does not break the bound. What makes the sum over instances safe:

- A banker gives only the share of the zone's instances that it heard over the last window. The
  sides of a cut, and instances that are cut off alone, thereby share the zone's part among them.
- An instance that is asked although it believes another to be the banker (that one did not answer,
  or the asker sees the zone differently) is a deputy: it gives half of what a restarted one does,
  for a moment.
- Credit that one zone lends another counts as given before the message is sent, and the borrower
  takes a loan only once and while it waits for it: lost, late and doubled messages lose credit and
  make none. It counts for the borrower from the time at which it asked, so it ends there first.
- A part of the bound is not used (`USED`): for deputies, for two bankers whose views of the zone
  differ for a moment, and for a cut that heals, when both sides' parts were given lately.

It answers a load in which one team sends many times its quota through all instances at once, and
guards what the others have. Times are handed in.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

import msgspec

from wigeonarch_core.teams import Quota

USABLE_PART: Final = 0.94  # Part of the bound that is given out.
# Part of it that a banker without knowledge of the past may give at once, or a deputy half of.
INITIAL_PART: Final = 0.01
# Part of a quota's rate that is given for a window without knowledge of the past. A team that stays
# within its quota rarely asks for more than this on the whole.
RESTART_RATE_PART: Final = 0.6
# Growth of a share from which on a banker begins anew: it does not know what those gave that it
# hears again.
SHARE_GROWTH_TO_RESTART: Final = 1.1
DEPUTY_PART: Final = 0.5
DEPUTY_SECONDS: Final = 0.5  # Seconds of its rate that a deputy gives at most, until it rested.
SLOT_SECONDS: Final = 0.25  # Seconds; what is given within one counts as given at its end.
# Seconds between two looks at the clock after which the process stood still.
MAX_UPDATE_GAP: Final = 1.0
DEMAND_AVERAGING_SECONDS: Final = 4.0  # Seconds over which demand is averaged.
# Part of its demand in a window that a zone keeps credit for when another one asks.
KEPT_DEMAND_PART: Final = 0.6
# Part of what a zone may give in a window: when less is left, it asks others for credit.
LOW_LEVEL_PART: Final = 0.2
LOAN_DEMAND_SECONDS: Final = 1.0  # Seconds of its demand that a zone asks others for.
LOAN_REQUEST_INTERVAL: Final = 0.2  # Seconds between two pleas for a team.
LOAN_TIMEOUT: Final = 0.5  # Seconds for which a loan is waited for.
REFUND_SECONDS: Final = 20.0  # Seconds in which a grant may be given back.
MAX_WAIT: Final = 5.0  # Longest time after which a refused request is told to come back, seconds.
MIN_RATE: Final = 1e-9  # Units a second, where none are given.


class QuotaBounds(msgspec.Struct, frozen=True):
    """How far all instances together may go beyond a quota's rate and burst.

    Attributes:
        window: Length of the sliding window, in seconds.
        overshoot: Part of what rate and burst allow in a window.
        slack: Units besides, per window.
    """

    window: float = 8.0
    overshoot: float = 0.1
    slack: float = 0.0

    def bound(self, quota: Quota) -> float:
        """Returns the units of a quota that any window may hold."""
        whole = quota.rate * self.window + quota.burst
        return whole * (1.0 + self.overshoot) + self.slack


class QuotaShare(msgspec.Struct, frozen=True):
    """What an instance may give of a quota.

    Attributes:
        share: Part of the whole, from 0 to 1.
        banker: Whether it is the zone's banker by its own view.
    """

    share: float
    is_coordinator: bool


class AcquireResult(msgspec.Struct, frozen=True):
    """The answer to a request for credit.

    Attributes:
        granted: Whether the credit was given.
        wait: Seconds until there is credit for this request, about, if nobody else asks.
        turn: The same, with those that were refused before it.
        level: Units that are left for now.
        loan: Whether other zones were just asked for a loan.
    """

    granted: bool
    wait: float = 0.0
    queue_wait: float = 0.0
    remaining: float = 0.0
    loan_requested: bool = False


class LoanRequest(msgspec.Struct, frozen=True):
    """Units that a zone wants of others, and the number that their loans must name."""

    number: int
    wanted: float


class _Grant(msgspec.Struct, frozen=True):
    """Units that were given to a team's request at a time."""

    team: str
    cost: float
    at: float


@dataclass(slots=True)
class _Slot:
    """A short stretch of time.

    Attributes:
        end: Its end, in seconds.
        given: Units given in it; loans taken count as negative.
        seconds: Seconds of it that are accounted.
        shared: The same, each with the share of the zone that was heard.
    """

    end: float
    given: float = 0.0
    seconds: float = 0.0
    shared: float = 0.0


@dataclass(slots=True)
class _Account:
    """What one instance gave to a team lately.

    Attributes:
        at: Time up to which it is accounted.
        banker: Whether it was the banker then.
        share: Least share that it had since it began.
        began: Time from which on it knows what was given.
        bound: Units that any window may hold over all instances.
        most: Units that it may hold here.
        allowed: Units that may be given since `began`, for the first window.
        given: Units that were.
        slots: The last window, oldest first.
        lent: Units lent, and when.
        demand: Units asked for in a second, lately.
        refused: Units that were refused lately and may come back.
        short: Units that the last question lacked; 0 when it was granted.
        asked: Time of the last question.
        pleaded: Time of the last plea to other zones.
        plea: Its number.
        lenders: Those whose loan for it was taken over.
    """

    at: float
    banker: bool
    share: float
    began: float = -math.inf
    bound: float = 0.0
    most: float = 0.0
    allowed: float = 0.0
    given: float = 0.0
    slots: deque[_Slot] = field(default_factory=deque)
    lent: deque[tuple[float, float]] = field(default_factory=deque)
    demand: float = 0.0
    refused: float = 0.0
    short: float = 0.0
    asked: float = -math.inf
    pleaded: float = -math.inf
    plea: int = 0
    lenders: set[str] = field(default_factory=set)


class QuotaLedger:
    """The accounts of one instance."""

    __slots__ = ("_accounts", "_bounds", "_grants", "_looked", "_pleas")

    def __init__(self, bounds: QuotaBounds, now: float, first_loan_request: int = 0) -> None:
        """Makes a bank without accounts.

        Args:
            bounds: What the rule allows beyond rate and burst.
            now: The time, in seconds.
            first_plea: Number before that of the first plea; differs for each start of the process,
                so that loans of an earlier one are not taken over.
        """
        self._bounds = bounds
        self._accounts: dict[str, _Account] = {}
        self._grants: dict[tuple[str, int], _Grant] = {}
        self._looked = now
        self._pleas = first_loan_request

    def set_bounds(self, bounds: QuotaBounds) -> None:
        """Takes other bounds."""
        self._bounds = bounds

    def update(self, parts: Mapping[str, tuple[Quota, QuotaShare]], now: float) -> None:
        """Brings all accounts up to date; called several times a second.

        Args:
            parts: Teams with a quota, and what this instance may give of each.
            now: The time, in seconds.
        """
        self._forget_after_pause(now)
        for team, account in list(self._accounts.items()):
            rests = now - account.asked > self._bounds.window
            if team not in parts or (rests and not parts[team][1].is_coordinator):
                del self._accounts[team]
        for team, (quota, part) in parts.items():
            if part.is_coordinator or team in self._accounts:
                self._account(team, quota, part, now)
        self._grants = {k: g for k, g in self._grants.items() if now - g.at < REFUND_SECONDS}

    def acquire(
        self, team: str, quota: Quota, part: QuotaShare, cost: float, now: float
    ) -> AcquireResult:
        """Takes credit for a request, if there is any."""
        self._forget_after_pause(now)
        account = self._account(team, quota, part, now)
        account.asked = now
        account.demand += cost / DEMAND_AVERAGING_SECONDS
        left = self._left(account, quota, part, now)
        if left >= cost:
            self._give(account, cost, now)
            account.refused = max(0.0, account.refused - cost)
            account.short = 0.0
            return AcquireResult(True, remaining=left - cost)
        rate = max(account.most / self._bounds.window, MIN_RATE)
        wait = min(MAX_WAIT, (cost - left) / rate)
        turn = min(MAX_WAIT, wait + account.refused / rate)
        account.refused = min(account.refused + cost, MAX_WAIT * rate)
        account.short = cost - left
        return AcquireResult(False, wait, turn, left)

    def record_grant(self, requester: str, number: int, team: str, cost: float, now: float) -> None:
        """Notes a grant, so that it can be given back."""
        self._grants[requester, number] = _Grant(team, cost, now)

    def refund(self, requester: str, number: int) -> None:
        """Takes back the credit of a request that has not run and will not; once for each grant."""
        grant = self._grants.pop((requester, number), None)
        account = self._accounts.get(grant.team) if grant is not None else None
        if grant is None or account is None:
            return
        for slot in account.slots:
            # Where it was given: elsewhere it would open the window twice. An account that began
            # anew since does not have it.
            if grant.at <= slot.end < grant.at + SLOT_SECONDS and slot.given >= grant.cost:
                slot.given -= grant.cost
                account.given -= grant.cost
                return

    # Between zones.

    def request_loan(
        self, team: str, quota: Quota, part: QuotaShare, now: float
    ) -> LoanRequest | None:
        """Returns what to ask other zones for; None when nothing is needed, or was just asked."""
        account = self._accounts.get(team)
        if (
            account is None
            or not part.is_coordinator
            or now - account.pleaded < LOAN_REQUEST_INTERVAL
        ):
            return None
        left = self._left(account, quota, part, now)
        if account.short <= 0.0 and left > LOW_LEVEL_PART * account.most:
            return None
        wanted = account.short + account.demand * LOAN_DEMAND_SECONDS
        self._pleas += 1
        account.pleaded, account.plea, account.lenders = now, self._pleas, set()
        return LoanRequest(account.plea, wanted)

    def lend(self, team: str, quota: Quota, part: QuotaShare, wanted: float, now: float) -> float:
        """Takes units for another zone out of an account; returns how many."""
        if not part.is_coordinator:
            return 0.0
        self._forget_after_pause(now)
        account = self._account(team, quota, part, now)
        window = self._bounds.window
        while account.lent and account.lent[0][0] <= now - window:
            account.lent.popleft()
        lent = sum(units for _, units in account.lent)
        spare = account.most - lent - KEPT_DEMAND_PART * account.demand * window
        units = max(0.0, min(wanted, spare, self._left(account, quota, part, now)))
        if units > 0.0:
            self._give(account, units, now)
            account.lent.append((now, units))
        return units

    def accept_loan(
        self, team: str, request_number: int, lender: str, units: float, now: float
    ) -> bool:
        """Takes a loan over; False when it is not waited for, or was taken over before."""
        account = self._accounts.get(team)
        if (
            account is None
            or account.plea != request_number
            or now - account.pleaded > LOAN_TIMEOUT
        ):
            return False
        if lender in account.lenders or account.pleaded < account.began:
            return False
        account.lenders.add(lender)
        self._give(account, -units, account.pleaded)
        return True

    # Accounts.

    def _account(self, team: str, quota: Quota, part: QuotaShare, now: float) -> _Account:
        """Returns a team's account as of now; a new one if there was none."""
        account = self._accounts.get(team)
        if account is None:
            account = self._accounts[team] = _Account(now, part.is_coordinator, part.share)
            self._begin(account, quota, part, now)
        elif (
            part.is_coordinator is not account.banker
            or part.share > SHARE_GROWTH_TO_RESTART * account.share
        ):
            self._begin(account, quota, part, now)
        account.share = min(account.share, part.share)
        self._advance(account, quota, part, now)
        return account

    def _begin(self, account: _Account, quota: Quota, part: QuotaShare, now: float) -> None:
        """Lets an account begin without knowledge of what others gave before."""
        first = self._first(quota, part)
        if account.began > now - self._bounds.window:
            # What it may give without knowledge is given once in a window, however often it begins.
            first = max(0.0, min(first, account.allowed - account.given))
        account.allowed, account.given = first, 0.0
        account.banker, account.share = part.is_coordinator, part.share
        account.began = account.at = now
        for slot in account.slots:
            slot.seconds = slot.shared = 0.0
        account.lent.clear()

    def _first(self, quota: Quota, part: QuotaShare) -> float:
        share = part.share * (1.0 if part.is_coordinator else DEPUTY_PART)
        return INITIAL_PART * self._bounds.bound(quota) * share

    def _advance(self, account: _Account, quota: Quota, part: QuotaShare, now: float) -> None:
        """Counts the time since the last look."""
        window = self._bounds.window
        passed = max(0.0, now - account.at)
        account.at = max(account.at, now)
        slot = _slot_at(account, now)
        slot.seconds += passed
        slot.shared += passed * part.share
        while account.slots[0].end <= now - window:
            account.slots.popleft()
        rate = RESTART_RATE_PART * quota.rate * part.share
        account.allowed += rate * passed
        if not part.is_coordinator:
            most = self._first(quota, part) + DEPUTY_PART * rate * DEPUTY_SECONDS
            account.allowed = min(account.allowed, most)
        self._take_bound(account, self._bounds.bound(quota))
        account.most = USABLE_PART * account.bound * _mean_share(account, part)
        account.demand *= math.exp(-passed / DEMAND_AVERAGING_SECONDS)
        account.refused = max(0.0, account.refused - account.most / window * passed)

    @staticmethod
    def _take_bound(account: _Account, bound: float) -> None:
        """Takes the bound in force; a lower one holds from now on, not for what was given."""
        if bound < account.bound:
            part = bound / account.bound
            for slot in account.slots:
                slot.given *= part
            account.given *= part
        account.bound = bound

    def _left(self, account: _Account, quota: Quota, part: QuotaShare, now: float) -> float:
        """Returns the units that may be given now."""
        left = account.allowed - account.given
        if not part.is_coordinator:
            return left
        window = self._bounds.window
        if now - account.began >= window:
            left = math.inf
        restart = RESTART_RATE_PART * quota.rate * part.share
        given = 0.0
        left = min(left, account.most - restart * window)
        for slot in reversed(account.slots):
            given += slot.given
            age = max(0.0, now - slot.end)
            left = min(left, account.most - restart * max(0.0, window - age) - given)
        return left

    @staticmethod
    def _give(account: _Account, units: float, at: float) -> None:
        account.given += units
        _slot_at(account, at).given += units

    def _forget_after_pause(self, now: float) -> None:
        """Forgets all accounts if the process stood still: others may have given meanwhile."""
        if now - self._looked > MAX_UPDATE_GAP:
            self._accounts.clear()
        self._looked = max(self._looked, now)


def _slot_at(account: _Account, at: float) -> _Slot:
    """Returns the slot of a time, which is hardly ever far from the last one."""
    end = SLOT_SECONDS * math.ceil(at / SLOT_SECONDS)
    place = len(account.slots)
    while place and account.slots[place - 1].end >= end:
        place -= 1
        if account.slots[place].end == end:
            return account.slots[place]
    slot = _Slot(end)
    account.slots.insert(place, slot)
    return slot


def _mean_share(account: _Account, part: QuotaShare) -> float:
    """Returns the mean of the zone's shares that were heard over the last window."""
    seconds = sum(slot.seconds for slot in account.slots)
    if seconds <= 0.0:
        return part.share
    return sum(slot.shared for slot in account.slots) / seconds
