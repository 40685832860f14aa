"""Quota units for requests: requested from the zone's quota coordinator, and granted as one.

What a coordinator may grant, and why the sum stays within the quota, is described in the quota
ledger of `wigeonarch_core`. A quota request is one datagram to an instance of the own zone, and its
reply another one. If the coordinator does not reply, its deputy is asked, which may grant less. If
that does not reply either, nothing is known of the quota, and the caller should try another
instance.
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

# Seconds to wait for a coordinator's reply. The network takes a fraction of a millisecond, but the
# coordinator may be busy.
REPLY_TIMEOUT: Final = 0.06
MAX_COORDINATORS_ASKED: Final = 2  # Instances asked for one request: the coordinator and a deputy.
# Consecutive requests without a reply after which a coordinator is skipped for `SKIP_TIME`.
MAX_UNANSWERED: Final = 2
SKIP_TIME: Final = 0.5  # Seconds.
# Seconds for which a refusal also applies to later requests of this instance that cost as much.
REFUSAL_TTL: Final = 0.1
# Seconds within which a loan of another zone of the region arrives: there and back, and forwarding
# to the coordinator there.
LOAN_DELAY: Final = 0.01
# Numbers of quota and loan requests start at a random value below this.
FIRST_NUMBER_BOUND: Final = 1 << 40


class ZoneMembers(Protocol):
    """The instances of this availability zone, as far as quotas concern them."""

    def quota_coordinators(self, team: str) -> list[str]:
        """Returns the zone's instances that may coordinate a team's quota, best first."""

    def reachable_share(self) -> float:
        """Returns the share of the zone's known instances that can be heard, including this one."""

    def other_zones(self) -> set[str]:
        """Returns the other availability zones that have instances."""


class Peers(Protocol):
    """Sends messages to the other instances."""

    def send(self, name: str, message: Message) -> bool:
        """Sends a message to an instance."""

    def send_to_zone(self, zone: str, message: Message) -> bool:
        """Sends a message to any instance of another zone."""


class QuotaGrant(msgspec.Struct, frozen=True):
    """Quota units that were granted for a request.

    Attributes:
        coordinator: Instance that granted them.
        number: Number of the request under which they can be given back.
    """

    coordinator: str
    number: int


class QuotaRefusal(msgspec.Struct, frozen=True):
    """A refusal of quota units.

    Attributes:
        verdict: The coordinator's reply.
        coordinator: Instance that refused.
        asked: Whether it was asked for this request; else an earlier refusal still applies.
    """

    verdict: AcquireResult
    coordinator: str
    asked: bool


@dataclass(slots=True)
class _Silence:
    """Number of consecutive requests without a reply, and the time of the last one, in seconds."""

    unanswered: int = 0
    last_at: float = 0.0


class QuotaOutlook(msgspec.Struct, frozen=True):
    """What is known here of the units that a request would get now.

    Attributes:
        coordinator: Instance that would be asked; empty if there is none.
        verdict: Its reply, or an earlier refusal that still applies; None if only it knows.
        asked: Whether it would be asked; else an earlier refusal still applies.
    """

    coordinator: str
    verdict: AcquireResult | None
    asked: bool = True


class _RememberedRefusal(msgspec.Struct, frozen=True):
    """A refusal that also applies to later requests, until it expires, if they cost as much."""

    verdict: AcquireResult
    coordinator: str
    cost: float
    expires_at: float


class QuotaManager:
    """Requests quota units from coordinators, and grants them as coordinator or deputy."""

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
        instance: str,
        address: str,
        zone_count: int,
        ledger: QuotaLedger,
        zone: ZoneMembers,
        peers: Peers,
        teams: Callable[[], Teams | None],
        send_to: Callable[[str, Message], bool],
    ) -> None:
        """Creates the quotas of an instance.

        Args:
            instance: Name of this instance.
            address: Address at which this instance receives messages.
            zone_count: Number of availability zones of the deployment.
            ledger: Quota ledger of this instance.
            zone: Instances of this availability zone.
            peers: Sends messages to the other instances.
            teams: Returns the teams in force.
            send_to: Sends a message to an address.
        """
        self._instance = instance
        self._address = address
        self._zone_count = max(1, zone_count)
        self._ledger = ledger
        self._zone = zone
        self._peers = peers
        self._teams = teams
        self._send_to = send_to
        self._request_number = random.randrange(FIRST_NUMBER_BOUND)
        self._pending: dict[int, asyncio.Future[QuotaReply]] = {}
        self._silences: dict[str, _Silence] = {}
        self._refusals: dict[str, _RememberedRefusal] = {}

    # The requester's side.

    async def acquire(
        self, team: Team, quota: Quota, cost: float
    ) -> QuotaGrant | QuotaRefusal | None:
        """Acquires the units that a request costs; returns None if no coordinator replies."""
        now = monotonic()
        refusal = self._refusal_in_force(team, cost, now)
        if refusal is not None:
            return QuotaRefusal(refusal.verdict, refusal.coordinator, asked=False)
        for coordinator in self._coordinators_to_ask(team.name, now):
            self._request_number += 1
            number = self._request_number
            verdict = await self._request_units(coordinator, number, team.name, quota, cost)
            if verdict is not None and verdict.loan_requested:
                # The coordinator requested loans from other zones; by then they may have arrived.
                await asyncio.sleep(LOAN_DELAY)
                verdict = await self._request_units(coordinator, number, team.name, quota, cost)
            if verdict is None:
                continue
            if verdict.granted:
                return QuotaGrant(coordinator, number)
            self._remember_refusal(team.name, verdict, coordinator, cost)
            return QuotaRefusal(verdict, coordinator, asked=True)
        return None

    def outlook(self, team: Team, quota: Quota, cost: float) -> QuotaOutlook:
        """Returns what `acquire` would find, as far as that is known here; takes no units."""
        now = monotonic()
        refusal = self._refusal_in_force(team, cost, now)
        if refusal is not None:
            return QuotaOutlook(refusal.coordinator, refusal.verdict, asked=False)
        coordinator = next(iter(self._coordinators_to_ask(team.name, now)), "")
        if coordinator != self._instance:
            return QuotaOutlook(coordinator, None)
        quota_share = self._own_quota_share(team.name)
        verdict = self._ledger.preview(team.name, quota, quota_share, cost, now)
        return QuotaOutlook(coordinator, verdict)

    def _refusal_in_force(self, team: Team, cost: float, now: float) -> _RememberedRefusal | None:
        """Returns an earlier refusal that applies to a request, too."""
        refusal = self._refusals.get(team.name)
        if refusal is not None and now < refusal.expires_at and cost >= refusal.cost:
            return refusal
        return None

    def _remember_refusal(
        self, team: str, verdict: AcquireResult, coordinator: str, cost: float
    ) -> None:
        expires_at = monotonic() + min(REFUSAL_TTL, verdict.wait)
        self._refusals[team] = _RememberedRefusal(verdict, coordinator, cost, expires_at)

    def _coordinators_to_ask(self, team: str, now: float) -> Sequence[str]:
        """Returns the coordinators to ask, in order, without silent ones if any other is left."""
        preferred = self._zone.quota_coordinators(team)[:MAX_COORDINATORS_ASKED]
        replying = [name for name in preferred if not self._is_skipped(name, now)]
        return replying or preferred

    def _is_skipped(self, name: str, now: float) -> bool:
        silence = self._silences.get(name)
        if silence is None or silence.unanswered < MAX_UNANSWERED:
            return False
        return now - silence.last_at < SKIP_TIME

    async def _request_units(
        self, coordinator: str, number: int, team: str, quota: Quota, cost: float
    ) -> AcquireResult | None:
        if coordinator == self._instance:
            return self._grant_units(self._instance, number, team, quota, cost)
        reply_future: asyncio.Future[QuotaReply] = asyncio.get_running_loop().create_future()
        self._pending[number] = reply_future
        try:
            self._peers.send(
                coordinator, QuotaRequest(self._instance, number, team, math.ceil(cost))
            )
            async with asyncio.timeout(REPLY_TIMEOUT):
                reply = await reply_future
        except TimeoutError:
            self._note_silence(coordinator, team)
            return None
        finally:
            del self._pending[number]
        self._silences.pop(coordinator, None)
        wait, turn = reply.wait_ms / 1000, reply.queue_wait_ms / 1000
        return AcquireResult(reply.granted, wait, turn, reply.level, reply.loan_requested)

    def _note_silence(self, coordinator: str, team: str) -> None:
        silence = self._silences.setdefault(coordinator, _Silence())
        silence.unanswered += 1
        silence.last_at = monotonic()
        if silence.unanswered == MAX_UNANSWERED:
            log("banker_silent", "WARNING", peer=coordinator, team=team)

    def refund(self, grant: QuotaGrant) -> None:
        """Gives back the units of a request that has not run and will not."""
        if grant.coordinator == self._instance:
            self._ledger.refund(self._instance, grant.number)
        else:
            self._peers.send(grant.coordinator, QuotaReturn(self._instance, grant.number))

    def receive_reply(self, reply: QuotaReply) -> None:
        """Takes over a reply; if a grant arrives too late, its units are given back."""
        reply_future = self._pending.get(reply.number)
        if reply_future is not None and not reply_future.done():
            reply_future.set_result(reply)
        elif reply.granted:
            self.refund(QuotaGrant(reply.sender, reply.number))

    # The coordinator's side.

    def receive_request(self, request: QuotaRequest) -> None:
        """Replies to a request for quota units."""
        quota = self._quota(request.team)
        if quota is None:
            # The requester knows an older or newer configuration than this instance. Without a
            # reply it goes on to the next coordinator.
            return
        verdict = self._grant_units(
            request.sender, request.number, request.team, quota, request.cost
        )
        reply = QuotaReply(
            self._instance,
            request.number,
            verdict.granted,
            math.ceil(verdict.wait * 1000),
            math.ceil(verdict.queue_wait * 1000),
            int(verdict.remaining),
            verdict.loan_requested,
        )
        self._peers.send(request.sender, reply)

    def _grant_units(
        self, requester: str, number: int, team: str, quota: Quota, cost: float
    ) -> AcquireResult:
        now, quota_share = monotonic(), self._own_quota_share(team)
        verdict = self._ledger.acquire(team, quota, quota_share, cost, now)
        if verdict.granted:
            self._ledger.record_grant(requester, number, team, cost, now)
        loan_requested = self._request_loans(team, quota, quota_share, now)
        return (
            replace(verdict, loan_requested=True)
            if loan_requested and not verdict.granted
            else verdict
        )

    def receive_return(self, returned: QuotaReturn) -> None:
        """Takes back the units of a grant."""
        self._ledger.refund(returned.sender, returned.number)

    def _own_quota_share(self, team: str) -> QuotaShare:
        coordinators = self._zone.quota_coordinators(team)
        share = self._zone.reachable_share() / self._zone_count
        return QuotaShare(share, bool(coordinators) and coordinators[0] == self._instance)

    def _quota(self, team: str) -> Quota | None:
        teams = self._teams()
        configured = teams.get(team) if teams is not None else None
        return configured.quota if configured is not None else None

    def refresh(self) -> None:
        """Updates the ledger and drops expired refusals; called several times a second."""
        teams = self._teams()
        if teams is None:
            return
        limited = [(team.name, team.quota) for team in teams.all() if team.quota is not None]
        parts = {name: (quota, self._own_quota_share(name)) for name, quota in limited}
        now = monotonic()
        self._ledger.update(parts, now)
        self._refusals = {
            name: refusal for name, refusal in self._refusals.items() if now < refusal.expires_at
        }

    # Between zones.

    def _request_loans(self, team: str, quota: Quota, quota_share: QuotaShare, now: float) -> bool:
        """Requests loans from other zones if the ledger needs them; returns whether it did."""
        if self._zone_count == 1:
            return False
        loan_request = self._ledger.request_loan(team, quota, quota_share, now)
        zones = self._zone.other_zones() if loan_request is not None else set()
        if loan_request is None or not zones:
            return False
        units_per_zone = math.ceil(loan_request.wanted / len(zones))
        for zone in zones:
            message = QuotaLoanRequest(
                self._instance, self._address, zone, team, loan_request.number, units_per_zone
            )
            self._peers.send_to_zone(zone, message)
        return True

    def receive_loan_request(self, loan_request: QuotaLoanRequest) -> None:
        """Lends another zone what can be spared, or forwards its request to the coordinator."""
        quota = self._quota(loan_request.team)
        if quota is None:
            return
        quota_share = self._own_quota_share(loan_request.team)
        if not quota_share.is_coordinator:
            self._forward_loan_request(loan_request)
            return
        units = int(
            self._ledger.lend(
                loan_request.team, quota, quota_share, loan_request.wanted, monotonic()
            )
        )
        if units > 0:
            self._send_to(
                loan_request.address,
                QuotaLoan(self._instance, loan_request.team, loan_request.number, units),
            )

    def _forward_loan_request(self, loan_request: QuotaLoanRequest) -> None:
        coordinators = self._zone.quota_coordinators(loan_request.team)
        if coordinators and not loan_request.forwarded:
            loan_request.forwarded = True
            self._peers.send(coordinators[0], loan_request)

    def receive_loan(self, loan: QuotaLoan) -> None:
        """Takes over a loan of another zone."""
        self._ledger.accept_loan(loan.team, loan.number, loan.sender, loan.units, monotonic())
