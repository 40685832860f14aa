"""Credit of teams' quotas for requests: asked of the zone's banker, and given to others as one.

What a banker may give, and why the sum stays within the quota, is in
`wigeonarch_core.quota_bank`. A question is one datagram to an instance of the own zone and one
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
from wigeonarch_core.quota_bank import Part, QuotaBank, Verdict
from wigeonarch_core.teams import Quota, Team, Teams
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.messages import (
    CreditAnswer,
    CreditAsk,
    CreditBack,
    CreditLoan,
    CreditPlea,
    Message,
)

# Seconds for an answer of a banker, which is a fraction of a millisecond away and may be busy.
ANSWER_WAIT: Final = 0.06
ASKED_MOST: Final = 2  # Bankers that are asked for one request: the first and its deputy.
# Questions in a row without an answer after which a banker is passed over for a moment.
SILENT_TIMES: Final = 2
PASSED_OVER: Final = 0.5  # Seconds.
# Seconds for which a refusal holds for later requests here that cost as much, without asking again.
REFUSAL_HOLDS: Final = 0.1
# Seconds in which a loan of another zone of the region comes: two ways and a hand-over.
LOAN_COMES: Final = 0.01
NUMBERS: Final = 1 << 40  # Numbers of questions and pleas begin at random below this.


class Zone(Protocol):
    """Who keeps the credit of teams, as far as quotas need it."""

    def bankers(self, team: str) -> list[str]:
        """Returns the instances of the zone that may keep a team's credit, best first."""

    def heard_share(self) -> float:
        """Returns which part of the zone's known instances is heard, this one included."""

    def other_zones(self) -> set[str]:
        """Returns the other availability zones that have instances."""


class Peers(Protocol):
    """Ways to the other instances."""

    def send(self, name: str, message: Message) -> bool:
        """Sends a message to an instance."""

    def send_to_zone(self, zone: str, message: Message) -> bool:
        """Sends a message to any one instance of another zone."""


class Credit(msgspec.Struct, frozen=True):
    """Credit that was given for a request, by a banker under a number."""

    banker: str
    number: int


class Refused(msgspec.Struct, frozen=True):
    """No credit.

    Attributes:
        verdict: What the banker said.
        banker: Who that was.
        asked: Whether it was asked for this request; else an earlier refusal still holds.
    """

    verdict: Verdict
    banker: str
    asked: bool


@dataclass(slots=True)
class _Silence:
    """Questions in a row that a banker left unanswered, and the time of the last."""

    times: int = 0
    at: float = 0.0


class _Held(msgspec.Struct, frozen=True):
    """A refusal, until when it holds, and for what cost."""

    verdict: Verdict
    banker: str
    cost: float
    until: float


class Quotas:
    """Asks for credit, and is asked."""

    __slots__ = (
        "_address",
        "_bank",
        "_held",
        "_me",
        "_number",
        "_peers",
        "_send_to",
        "_silent",
        "_teams",
        "_waiting",
        "_zone",
        "_zones",
    )

    def __init__(
        self,
        me: str,
        address: str,
        zones: int,
        bank: QuotaBank,
        zone: Zone,
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
        self._me = me
        self._address = address
        self._zones = max(1, zones)
        self._bank = bank
        self._zone = zone
        self._peers = peers
        self._teams = teams
        self._send_to = send_to
        self._number = random.randrange(NUMBERS)
        self._waiting: dict[int, asyncio.Future[CreditAnswer]] = {}
        self._silent: dict[str, _Silence] = {}
        self._held: dict[str, _Held] = {}

    # The asker's side.

    async def take(self, team: Team, quota: Quota, cost: float) -> Credit | Refused | None:
        """Takes credit for a request; None when no banker answers."""
        held = self._held.get(team.name)
        now = monotonic()
        if held is not None and now < held.until and cost >= held.cost:
            return Refused(held.verdict, held.banker, asked=False)
        for banker in self._to_ask(team.name, now):
            self._number += 1
            number = self._number
            verdict = await self._ask(banker, number, team.name, quota, cost)
            if verdict is not None and verdict.loan:
                await asyncio.sleep(LOAN_COMES)
                verdict = await self._ask(banker, number, team.name, quota, cost)
            if verdict is None:
                continue
            if verdict.granted:
                return Credit(banker, number)
            self._hold(team.name, verdict, banker, cost)
            return Refused(verdict, banker, asked=True)
        return None

    def _hold(self, team: str, verdict: Verdict, banker: str, cost: float) -> None:
        until = monotonic() + min(REFUSAL_HOLDS, verdict.wait)
        self._held[team] = _Held(verdict, banker, cost, until)

    def _to_ask(self, team: str, now: float) -> Sequence[str]:
        """Returns the bankers to ask, in order; those that are silent are passed over."""
        first = self._zone.bankers(team)[:ASKED_MOST]
        answering = [name for name in first if not self._passed_over(name, now)]
        return answering or first

    def _passed_over(self, name: str, now: float) -> bool:
        silence = self._silent.get(name)
        if silence is None or silence.times < SILENT_TIMES:
            return False
        return now - silence.at < PASSED_OVER

    async def _ask(
        self, banker: str, number: int, team: str, quota: Quota, cost: float
    ) -> Verdict | None:
        if banker == self._me:
            return self._give(self._me, number, team, quota, cost)
        fut: asyncio.Future[CreditAnswer] = asyncio.get_running_loop().create_future()
        self._waiting[number] = fut
        try:
            self._peers.send(banker, CreditAsk(self._me, number, team, math.ceil(cost)))
            async with asyncio.timeout(ANSWER_WAIT):
                answer = await fut
        except TimeoutError:
            self._note_silence(banker, team)
            return None
        finally:
            del self._waiting[number]
        self._silent.pop(banker, None)
        wait, turn = answer.wait_ms / 1000, answer.turn_ms / 1000
        return Verdict(answer.granted, wait, turn, answer.level, answer.loan)

    def _note_silence(self, banker: str, team: str) -> None:
        silence = self._silent.setdefault(banker, _Silence())
        silence.times += 1
        silence.at = monotonic()
        if silence.times == SILENT_TIMES:
            log("banker_silent", "WARNING", peer=banker, team=team)

    def give_back(self, credit: Credit) -> None:
        """Gives back the credit of a request that has not run and will not."""
        if credit.banker == self._me:
            self._bank.give_back(self._me, credit.number)
        else:
            self._peers.send(credit.banker, CreditBack(self._me, credit.number))

    def answered(self, answer: CreditAnswer) -> None:
        """Takes an answer over; one that comes too late gives its credit back."""
        fut = self._waiting.get(answer.number)
        if fut is not None and not fut.done():
            fut.set_result(answer)
        elif answer.granted:
            self.give_back(Credit(answer.sender, answer.number))

    # The banker's side.

    def asked(self, ask: CreditAsk) -> None:
        """Answers a question for credit."""
        quota = self._quota(ask.team)
        if quota is None:
            # The asker knows a configuration that this instance does not, or no longer: it asks on.
            return
        verdict = self._give(ask.sender, ask.number, ask.team, quota, ask.cost)
        answer = CreditAnswer(
            self._me,
            ask.number,
            verdict.granted,
            math.ceil(verdict.wait * 1000),
            math.ceil(verdict.turn * 1000),
            int(verdict.level),
            verdict.loan,
        )
        self._peers.send(ask.sender, answer)

    def _give(self, asker: str, number: int, team: str, quota: Quota, cost: float) -> Verdict:
        now, part = monotonic(), self._part(team)
        verdict = self._bank.ask(team, quota, part, cost, now)
        if verdict.granted:
            self._bank.granted(asker, number, team, cost, now)
        pleaded = self._plead(team, quota, part, now)
        return replace(verdict, loan=True) if pleaded and not verdict.granted else verdict

    def returned(self, back: CreditBack) -> None:
        """Takes credit back."""
        self._bank.give_back(back.sender, back.number)

    def _part(self, team: str) -> Part:
        bankers = self._zone.bankers(team)
        share = self._zone.heard_share() / self._zones
        return Part(share, bool(bankers) and bankers[0] == self._me)

    def _quota(self, team: str) -> Quota | None:
        teams = self._teams()
        found = teams.get(team) if teams is not None else None
        return found.quota if found is not None else None

    def look(self) -> None:
        """Lets the buckets refill; called several times a second."""
        teams = self._teams()
        if teams is None:
            return
        limited = [(team.name, team.quota) for team in teams.all() if team.quota is not None]
        parts = {name: (quota, self._part(name)) for name, quota in limited}
        now = monotonic()
        self._bank.look(parts, now)
        self._held = {name: held for name, held in self._held.items() if now < held.until}

    # Between zones.

    def _plead(self, team: str, quota: Quota, part: Part, now: float) -> bool:
        """Asks other zones for credit, where it is needed; returns whether it did."""
        if self._zones == 1:
            return False
        plea = self._bank.plea(team, quota, part, now)
        zones = self._zone.other_zones() if plea is not None else set()
        if plea is None or not zones:
            return False
        each = math.ceil(plea.wanted / len(zones))
        for zone in zones:
            message = CreditPlea(self._me, self._address, zone, team, plea.number, each)
            self._peers.send_to_zone(zone, message)
        return True

    def pleaded(self, plea: CreditPlea) -> None:
        """Lends another zone what this one has to spare, or hands its plea on to the banker."""
        quota = self._quota(plea.team)
        if quota is None:
            return
        part = self._part(plea.team)
        if not part.banker:
            self._hand_on(plea)
            return
        units = int(self._bank.lend(plea.team, quota, part, plea.wanted, monotonic()))
        if units > 0:
            self._send_to(plea.address, CreditLoan(self._me, plea.team, plea.number, units))

    def _hand_on(self, plea: CreditPlea) -> None:
        bankers = self._zone.bankers(plea.team)
        if bankers and not plea.handed_on:
            plea.handed_on = True
            self._peers.send(bankers[0], plea)

    def lent(self, loan: CreditLoan) -> None:
        """Takes a loan of another zone over."""
        self._bank.borrowed(loan.team, loan.number, loan.sender, loan.units, monotonic())
