"""Hands requests over to a peer while this instance reaches no endpoint that could run them.

A request that was sent to a peer may have run, unless the peer itself states that it has not. Since
nobody else knows on how many endpoints it ran there, it is not sent again when the peer's response
is lost. A connection that is closed here ends the request at the peer and at its endpoint.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Final

from wigeonarch_core.peer_choice import PeerState, choose_peer
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.connections import Connection, ConnectionLost, Framing, encode_head
from wigeonarch_gateway.internal_headers import NOT_RUN_HEADER, TERMS_HEADER
from wigeonarch_gateway.jobs import DispatchFailure, Job
from wigeonarch_gateway.member import Member
from wigeonarch_gateway.metrics import Metrics
from wigeonarch_gateway.peer_terms import HandoverTerms, encode_terms
from wigeonarch_gateway.pools import ConnectionPools
from wigeonarch_gateway.ports import Dialect, Dispatch, ResponseHead, Verdict
from wigeonarch_gateway.responder import Responder, end_to_end_headers
from wigeonarch_gateway.service_reach import ServiceReach

# Verdicts on a peer's response with which it is forwarded; failures may also be the peer's own.
FORWARDED: Final = frozenset({Verdict.ANSWER, Verdict.FAILURE})
MAX_PEERS: Final = 2  # Peers to which one request is handed over at most, one after the other.


class PeerForwarder:
    """Hands requests over to peers while the way to a service's endpoints is lost."""

    __slots__ = (
        "_dialect",
        "_in_progress",
        "_instance",
        "_metrics",
        "_peers",
        "_pools",
        "_reach",
        "_responder",
        "_zone",
    )

    def __init__(
        self,
        instance: str,
        zone: str,
        dialect: Dialect,
        pools: ConnectionPools,
        reach: ServiceReach,
        peers: Callable[[str], Sequence[Member]],
        responder: Responder,
        metrics: Metrics,
    ) -> None:
        """Creates a forwarder.

        Args:
            instance: Name of this instance.
            zone: Its availability zone.
            dialect: The platform's names of headers.
            pools: Connections to peers.
            reach: The services that this instance can't reach.
            peers: Returns the peers that reach a service.
            responder: Sends responses to callers.
            metrics: Counters.
        """
        self._instance = instance
        self._zone = zone
        self._dialect = dialect
        self._pools = pools
        self._reach = reach
        self._peers = peers
        self._responder = responder
        self._metrics = metrics
        self._in_progress: Counter[str] = Counter()

    def is_needed(self, job: Job) -> bool:
        """Tells whether a request need not wait here for an endpoint: none can be reached.

        A request that was handed over to this instance is never handed over again.
        """
        if not self._reach.is_lost(job.service):
            return False
        return job.from_peer or bool(job.peers_tried) or self.choose(job) is not None

    def peer_if_needed(self, job: Job, draw: Callable[[], float]) -> Member | None:
        """Returns the peer for a new request; None if it is to be served here.

        Unlike `is_needed`, this does not note that the way to a service was lost or is back.
        """
        return self.choose(job, draw) if self._reach.reaches_none(job.service) else None

    def choose(self, job: Job, draw: Callable[[], float] = random.random) -> Member | None:
        """Returns the peer to hand a request over to; None if it is not to be handed over.

        Args:
            job: The request.
            draw: Returns random numbers in [0, 1), which decide between equal peers.
        """
        if job.from_peer or len(job.peers_tried) >= MAX_PEERS:
            return None
        members = {
            member.name: member
            for member in self._peers(job.service)
            if member.name not in job.peers_tried
        }
        states = [
            PeerState(name, member.zone == self._zone, self._in_progress[name])
            for name, member in members.items()
        ]
        return members.get(choose_peer(states, draw))

    async def forward(self, job: Job, peer: Member) -> DispatchFailure | None:
        """Hands a request over; returns None when the caller has its response."""
        job.peers_tried.append(peer.name)
        conn = await self._pools.acquire_at(peer.name, peer.address)
        if conn is None:
            log("peer_unreachable", "WARNING", peer=peer.name, request=job.request_id)
            return DispatchFailure.NOT_SENT
        if monotonic() >= job.deadline:
            self._pools.release_unused(peer.name, conn)
            raise TimeoutError
        log(
            "handed_over",
            request=job.request_id,
            peer=peer.name,
            service=job.service,
            waited=monotonic() - job.request.received,
        )
        self._in_progress[peer.name] += 1
        try:
            failure = await self._exchange(job, peer, conn)
        except ConnectionLost as exc:
            conn.close()
            log("answer_lost", "WARNING", request=job.request_id, endpoint=peer.name, how=str(exc))
            failure = DispatchFailure.LOST
        except BaseException:
            conn.close()
            raise
        finally:
            self._in_progress[peer.name] -= 1
        result = "answered" if failure is None else failure.value
        self._metrics.handovers.labels("out", result).inc()
        return failure

    async def _exchange(self, job: Job, peer: Member, conn: Connection) -> DispatchFailure | None:
        request_head = self._encode_head(job)
        job.dispatch_count += 1
        job.may_have_run_on.append(peer.name)
        is_head = job.request.method == "HEAD"
        conn.send_request(request_head, None, no_body=is_head, body=job.request.body)
        head = await conn.read_head()
        if head.get(NOT_RUN_HEADER) is not None:
            job.may_have_run_on.remove(peer.name)
            job.dispatch_count -= 1
            await conn.discard_rest()
            self._pools.release(peer.name, conn)
            return DispatchFailure.NOT_RUN
        if conn.framing is Framing.CONNECTION and job.request.method != "HEAD":
            raise ConnectionLost("a peer's response without a mark of its end")
        if self._dialect.classify_response(job.request_id, head) not in FORWARDED:
            raise ConnectionLost(f"a peer's response that no endpoint has signed: {head.status}")
        if head.is_event_stream:
            await self._copy_stream(job, conn, head)
            self._pools.release(peer.name, conn)
            await job.response.finish()
            self._responder.record_responded(job, peer.name, head.status)
            return None
        body = await conn.read_all()
        self._pools.release(peer.name, conn)
        if job.response.started:
            return DispatchFailure.FAILED
        await job.response.send(head.status, end_to_end_headers(head), body)
        self._responder.record_responded(job, peer.name, head.status)
        return None

    @staticmethod
    async def _copy_stream(job: Job, conn: Connection, head: ResponseHead) -> None:
        """Copies a stream, of which a peer sends whole events only."""
        job.splitter.discard_partial()
        if not job.response.started:
            await job.response.start(head.status, end_to_end_headers(head))
        while data := await conn.read():
            job.record_events(monotonic())
            await job.response.write(data)

    def _encode_head(self, job: Job) -> bytes:
        now = monotonic()
        terms = HandoverTerms(
            self._instance,
            now - job.request.received,
            job.team.name if job.team is not None else "",
            tuple(job.may_have_run_on),
            job.origin.service if job.origin is not None else "",
            job.origin.software if job.origin is not None else "",
        )
        dispatch = Dispatch(
            "",
            max(0.001, job.deadline - now),
            resume_after=job.splitter.last_id,
            requires_key=job.requires_key,
        )
        headers = self._dialect.endpoint_headers(job.request.raw_headers, dispatch)
        headers.append((TERMS_HEADER, encode_terms(terms)))
        request = job.request
        return encode_head(request.method, request.target, headers, request.body)
