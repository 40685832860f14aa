"""Credit of teams' quotas for requests: asked of the zone's banker, and given to others as one.

What a banker may give, and why the sum stays within the quota, is in
`wigeonarch_core.quota_ledger`. A question is one datagram to an instance of the own zone and one
back. Where the banker does not answer, the next one is asked, which gives less; where that one
does not either, nothing is known, and the request is better off at another instance.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

import msgspec
from msgspec.structs import replace
from wigeonarch_core.quota_ledger import AcquireResult, QuotaLedger, QuotaShare
from wigeonarch_core.teams import Quota, Team, Teams
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.messages import (
    Message,
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
)

# Seconds for an answer of a banker, which is a fraction of a millisecond away and may be busy.
REPLY_TIMEOUT: Final = 0.06
MAX_COORDINATORS_ASKED: Final = (
    2  # Bankers that are asked for one request: the first and its deputy.
)
# Questions in a row without an answer after which a banker is passed over for a moment.
MAX_UNANSWERED: Final = 2
SKIP_TIME: Final = 0.5  # Seconds.
# Seconds for which a refusal holds for later requests here that cost as much, without asking again.
REFUSAL_TTL: Final = 0.1
# Seconds in which a loan of another zone of the region comes: two ways and a hand-over.
LOAN_DELAY: Final = 0.01
FIRST_NUMBER_BOUND: Final = 1 << 40  # Numbers of questions and pleas begin at random below this.


class ZoneMembers(Protocol):
    """Who keeps the credit of teams, as far as quotas need it."""

    def quota_coordinators(self, team: str) -> list[str]:
        """Returns the instances of the zone that may keep a team's credit, best first."""

    def reachable_share(self) -> float:
        """Returns which part of the zone's known instances is heard, this one included."""

    def other_zones(self) -> set[str]:
        """Returns the other availability zones that have instances."""


class Peers(Protocol):
    """Ways to the other instances."""

    def send(self, name: str, message: Message) -> bool:
        """Sends a message to an instance."""

    def send_to_zone(self, zone: str, message: Message) -> bool:
        """Sends a message to any one instance of another zone."""


class QuotaGrant(msgspec.Struct, frozen=True):
    """Credit that was given for a request, by a banker under a number."""

    coordinator: str
    number: int


class QuotaRefusal(msgspec.Struct, frozen=True):
    """No credit.

    Attributes:
        verdict: What the banker said.
        banker: Who that was.
        asked: Whether it was asked for this request; else an earlier refusal still holds.
    """

    verdict: AcquireResult
    coordinator: str
    asked: bool


@dataclass(slots=True)
class _Silence:
    """Questions in a row that a banker left unanswered, and the time of the last."""

    unanswered: int = 0
    last_at: float = 0.0


class _RememberedRefusal(msgspec.Struct, frozen=True):
    """A refusal, until when it holds, and for what cost."""

    verdict: AcquireResult
    coordinator: str
    cost: float
    expires_at: float


class QuotaManager:
    """Asks for credit, and is asked."""

    __slots__ = (
        "_address",
        "_instance",
        "_ledger",
        "_peers",
        "_pending",
        "_refusals",
        "_request_number",
        "_send_to",
        "_silences",
        "_teams",
        "_zone",
        "_zone_count",
    )

    def __init__(
        self,
        me: str,
        address: str,
        zones: int,
        bank: QuotaLedger,
        zone: ZoneMembers,
        peers: Peers,
        teams: Callable[[], Teams | None],
        send_to: Callable[[str, Message], bool],
    ) -> None:
        """Makes the quotas of an instance.

        Args:
            me: Its name.
            address: Its address for messages.
            zones: Availability zones of the deployment.
            bank: Its buckets.
            zone: Who keeps the credit.
            peers: Ways to the other instances.
            teams: Returns the teams in force.
            send_to: Sends a message to an address.
        """
        self._instance = me
        self._address = address
        self._zone_count = max(1, zones)
        self._ledger = bank
        self._zone = zone
        self._peers = peers
        self._teams = teams
        self._send_to = send_to
        self._request_number = random.randrange(FIRST_NUMBER_BOUND)
        self._pending: dict[int, asyncio.Future[QuotaReply]] = {}
        self._silences: dict[str, _Silence] = {}
        self._refusals: dict[str, _RememberedRefusal] = {}

    # The asker's side.

    async def acquire(
        self, team: Team, quota: Quota, cost: float
    ) -> QuotaGrant | QuotaRefusal | None:
        """Takes credit for a request; None when no banker answers."""
        held = self._refusals.get(team.name)
        now = monotonic()
        if held is not None and now < held.expires_at and cost >= held.cost:
            return QuotaRefusal(held.verdict, held.coordinator, asked=False)
        for banker in self._coordinators_to_ask(team.name, now):
            self._request_number += 1
            number = self._request_number
            verdict = await self._request_units(banker, number, team.name, quota, cost)
            if verdict is not None and verdict.loan_requested:
                await asyncio.sleep(LOAN_DELAY)
                verdict = await self._request_units(banker, number, team.name, quota, cost)
            if verdict is None:
                continue
            if verdict.granted:
                return QuotaGrant(banker, number)
            self._remember_refusal(team.name, verdict, banker, cost)
            return QuotaRefusal(verdict, banker, asked=True)
        return None

    def _remember_refusal(
        self, team: str, verdict: AcquireResult, banker: str, cost: float
    ) -> None:
        until = monotonic() + min(REFUSAL_TTL, verdict.wait)
        self._refusals[team] = _RememberedRefusal(verdict, banker, cost, until)

    def _coordinators_to_ask(self, team: str, now: float) -> Sequence[str]:
        """Returns the bankers to ask, in order; those that are silent are passed over."""
        first = self._zone.quota_coordinators(team)[:MAX_COORDINATORS_ASKED]
        answering = [name for name in first if not self._is_skipped(name, now)]
        return answering or first

    def _is_skipped(self, name: str, now: float) -> bool:
        silence = self._silences.get(name)
        if silence is None or silence.unanswered < MAX_UNANSWERED:
            return False
        return now - silence.last_at < SKIP_TIME

    async def _request_units(
        self, banker: str, number: int, team: str, quota: Quota, cost: float
    ) -> AcquireResult | None:
        if banker == self._instance:
            return self._grant_units(self._instance, number, team, quota, cost)
        fut: asyncio.Future[QuotaReply] = asyncio.get_running_loop().create_future()
        self._pending[number] = fut
        try:
            self._peers.send(banker, QuotaRequest(self._instance, number, team, math.ceil(cost)))
            async with asyncio.timeout(REPLY_TIMEOUT):
                answer = await fut
        except TimeoutError:
            self._note_silence(banker, team)
            return None
        finally:
            del self._pending[number]
        self._silences.pop(banker, None)
        wait, turn = answer.wait_ms / 1000, answer.queue_wait_ms / 1000
        return AcquireResult(answer.granted, wait, turn, answer.level, answer.loan_requested)

    def _note_silence(self, banker: str, team: str) -> None:
        silence = self._silences.setdefault(banker, _Silence())
        silence.unanswered += 1
        silence.last_at = monotonic()
        if silence.unanswered == MAX_UNANSWERED:
            log("banker_silent", "WARNING", peer=banker, team=team)

    def refund(self, credit: QuotaGrant) -> None:
        """Gives back the credit of a request that has not run and will not."""
        if credit.coordinator == self._instance:
            self._ledger.refund(self._instance, credit.number)
        else:
            self._peers.send(credit.coordinator, QuotaReturn(self._instance, credit.number))

    def receive_reply(self, answer: QuotaReply) -> None:
        """Takes an answer over; one that comes too late gives its credit back."""
        fut = self._pending.get(answer.number)
        if fut is not None and not fut.done():
            fut.set_result(answer)
        elif answer.granted:
            self.refund(QuotaGrant(answer.sender, answer.number))

    # The banker's side.

    def receive_request(self, ask: QuotaRequest) -> None:
        """Answers a question for credit."""
        quota = self._quota(ask.team)
        if quota is None:
            # The asker knows a configuration that this instance does not, or no longer: it asks on.
            return
        verdict = self._grant_units(ask.sender, ask.number, ask.team, quota, ask.cost)
        answer = QuotaReply(
            self._instance,
            ask.number,
            verdict.granted,
            math.ceil(verdict.wait * 1000),
            math.ceil(verdict.queue_wait * 1000),
            int(verdict.remaining),
            verdict.loan_requested,
        )
        self._peers.send(ask.sender, answer)

    def _grant_units(
        self, asker: str, number: int, team: str, quota: Quota, cost: float
    ) -> AcquireResult:
        now, part = monotonic(), self._own_quota_share(team)
        verdict = self._ledger.acquire(team, quota, part, cost, now)
        if verdict.granted:
            self._ledger.record_grant(asker, number, team, cost, now)
        pleaded = self._request_loans(team, quota, part, now)
        return replace(verdict, loan_requested=True) if pleaded and not verdict.granted else verdict

    def receive_return(self, back: QuotaReturn) -> None:
        """Takes credit back."""
        self._ledger.refund(back.sender, back.number)

    def _own_quota_share(self, team: str) -> QuotaShare:
        bankers = self._zone.quota_coordinators(team)
        share = self._zone.reachable_share() / self._zone_count
        return QuotaShare(share, bool(bankers) and bankers[0] == self._instance)

    def _quota(self, team: str) -> Quota | None:
        teams = self._teams()
        found = teams.get(team) if teams is not None else None
        return found.quota if found is not None else None

    def refresh(self) -> None:
        """Lets the buckets refill; called several times a second."""
        teams = self._teams()
        if teams is None:
            return
        limited = [(team.name, team.quota) for team in teams.all() if team.quota is not None]
        parts = {name: (quota, self._own_quota_share(name)) for name, quota in limited}
        now = monotonic()
        self._ledger.update(parts, now)
        self._refusals = {
            name: held for name, held in self._refusals.items() if now < held.expires_at
        }

    # Between zones.

    def _request_loans(self, team: str, quota: Quota, part: QuotaShare, now: float) -> bool:
        """Asks other zones for credit, where it is needed; returns whether it did."""
        if self._zone_count == 1:
            return False
        plea = self._ledger.request_loan(team, quota, part, now)
        zones = self._zone.other_zones() if plea is not None else set()
        if plea is None or not zones:
            return False
        each = math.ceil(plea.wanted / len(zones))
        for zone in zones:
            message = QuotaLoanRequest(self._instance, self._address, zone, team, plea.number, each)
            self._peers.send_to_zone(zone, message)
        return True

    def receive_loan_request(self, plea: QuotaLoanRequest) -> None:
        """Lends another zone what this one has to spare, or hands its plea on to the banker."""
        quota = self._quota(plea.team)
        if quota is None:
            return
        part = self._own_quota_share(plea.team)
        if not part.is_coordinator:
            self._forward_loan_request(plea)
            return
        units = int(self._ledger.lend(plea.team, quota, part, plea.wanted, monotonic()))
        if units > 0:
            self._send_to(plea.address, QuotaLoan(self._instance, plea.team, plea.number, units))

    def _forward_loan_request(self, plea: QuotaLoanRequest) -> None:
        bankers = self._zone.quota_coordinators(plea.team)
        if bankers and not plea.forwarded:
            plea.forwarded = True
            self._peers.send(bankers[0], plea)

    def receive_loan(self, loan: QuotaLoan) -> None:
        """Takes a loan of another zone over."""
        self._ledger.accept_loan(loan.team, loan.number, loan.sender, loan.units, monotonic())
