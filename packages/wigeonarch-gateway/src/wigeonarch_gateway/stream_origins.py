"""Tells on which service and software a stream may go on that its caller takes up again.

The caller may come to any instance, within milliseconds, also when the one at which the stream
began is gone. So an instance that begins a stream which may be resumed tells a few others what
began it, before the caller has its first event. These are chosen by a function of the stream's key,
so that all instances ask the same ones. An instance that gets no answer from them asks all others.

Nothing is told while a stream of the service can have one origin only. As soon as a second software
appears, instances tell the origins of the streams that began before. What nobody remembers goes on
if only one origin is possible (see `core.stream_origins`), and else is refused: a guess could join
what two versions wrote.

Leases store at which software streams of each instance may have begun (see `software_records`). So
an instance that starts can prove that there was one only, also when all instances start at once.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import Final, Protocol

from wigeonarch_core.routes import Route, RoutingTable
from wigeonarch_core.stream_origins import (
    SEVERAL,
    Origin,
    OriginMemory,
    SoftwareHistory,
    describe_software,
    stream_key,
)
from wigeonarch_runtime.clock import monotonic, unix_time
from wigeonarch_runtime.logs import log

from wigeonarch_gateway.endpoints import EndpointRegistry
from wigeonarch_gateway.jobs import Job
from wigeonarch_gateway.messages import Message, OriginQuery, OriginReply, StreamsBegun
from wigeonarch_gateway.object_contents import LeaseContent, read_lease
from wigeonarch_gateway.ports import (
    EndpointRecord,
    Listing,
    ObjectKind,
    ObjectStore,
    StoredObject,
)
from wigeonarch_gateway.software_records import (
    SoftwareRecord,
    evidence_in_leases,
    record_in_lease,
)

# Seconds to wait for the instances that should know a stream, and then for all others.
HOLDER_TIMEOUT: Final = 0.04
BROADCAST_TIMEOUT: Final = 0.08
# Seconds after its start within which an instance waits until it hears others to ask.
FIRST_CONTACT_TIME: Final = 1.5
CONTACT_POLL_INTERVAL: Final = 0.05  # Seconds.
MAX_STREAMS_PER_MESSAGE: Final = 100
EVIDENCE_RETRY: Final = 1.0  # Seconds until leases are listed again after that failed.
UNSURE_SOFTWARE: Final = ""  # Like no software that a stream can go on at.
# Seconds after which all are told again that streams of a service begin at unsure software.
UNSURE_INTERVAL: Final = 1.0
MAX_LOGGED_ID: Final = 64  # Characters of a caller's id that are logged.
FIRST_NUMBER_BOUND: Final = 1 << 40  # Numbers of queries start at a random value below this.


class Unresumable(enum.Enum):
    """Why a stream that a caller takes up can't go on."""

    ORIGIN_UNKNOWN = "origin_unknown"  # Nobody knows what began it.
    SOFTWARE_GONE = "software_gone"  # Its route leads to no service that could go on with it.


class Peers(Protocol):
    """Sends messages to the other instances."""

    def reachable(self) -> list[str]:
        """Returns the other instances whose heartbeats arrived lately."""

    def send(self, name: str, message: Message) -> bool:
        """Sends a message to an instance."""

    def send_all(self, message: Message) -> None:
        """Sends a message to all instances."""


def software_of(record: EndpointRecord) -> str:
    """Returns the description of an endpoint's software; equal ones are proved to be alike."""
    return describe_software(record.software, record.endpoint, record.born)


@dataclass(frozen=True, slots=True)
class _Begun:
    """A stream that began at an endpoint; the time is in seconds."""

    at: float
    endpoint: str
    key: bytes


@dataclass(slots=True)
class _Query:
    """A query that waits for replies.

    Attributes:
        awaited: Instances that were asked by name and have not replied yet.
        replies: The replies so far.
        done: Set when all have replied, or one of those asked together knows the stream.
    """

    awaited: set[str]
    replies: list[OriginReply] = field(default_factory=list)
    done: asyncio.Event = field(default_factory=asyncio.Event)


class StreamOrigins:
    """What this instance knows of the streams that callers may take up again."""

    __slots__ = (
        "_address",
        "_age",
        "_begun_at",
        "_endpoints",
        "_history",
        "_holders",
        "_instance",
        "_last_record",
        "_memory",
        "_needs_evidence",
        "_noted",
        "_peers",
        "_queries",
        "_query_number",
        "_send_to",
        "_services",
        "_settling_time",
        "_started",
        "_store_soon",
        "_stored",
        "_table",
        "_table_noted",
        "_unsure_told_at",
        "_untold",
    )

    def __init__(
        self,
        instance: str,
        address: str,
        settling_time: float,
        endpoints: EndpointRegistry,
        peers: Peers,
        holders: Callable[[str], list[str]],
        send_to: Callable[[str, Message], bool],
        table: Callable[[], RoutingTable | None],
        age: Callable[[], float],
        store_soon: Callable[[], None],
    ) -> None:
        """Creates an empty memory.

        Args:
            instance: Name of this instance.
            address: Address at which it receives messages.
            settling_time: Seconds by which the state of endpoints relied on may be old, at most.
            endpoints: The known endpoints.
            peers: The other instances.
            holders: Returns the other instances that keep the origin of a stream, by its key.
            send_to: Sends a message to an address.
            table: Returns the routing table in force.
            age: Returns the seconds since the store last confirmed the state of endpoints.
            store_soon: Called when `record_to_store` has something new.
        """
        self._instance = instance
        self._address = address
        self._settling_time = settling_time
        self._endpoints = endpoints
        self._peers = peers
        self._holders = holders
        self._send_to = send_to
        self._table = table
        self._age = age
        self._store_soon = store_soon
        self._started = monotonic()
        self._memory = OriginMemory()
        self._history = SoftwareHistory(settling_time, self._started)
        self._needs_evidence = asyncio.Event()
        # Services of routes whose streams may be resumed, now or since this instance started.
        self._services: set[str] = set()
        self._table_noted: RoutingTable | None = None
        # Record of the last incarnation, of the services that have not been seen here yet.
        self._last_record: dict[str, str] = {}
        self._stored = SoftwareRecord()
        self._noted: frozenset[tuple[str, str]] = frozenset()
        self._begun_at: deque[_Begun] = deque()
        self._untold: dict[bytes, Origin] = {}
        self._unsure_told_at: dict[str, float] = {}
        self._queries: dict[int, _Query] = {}
        self._query_number = random.randrange(FIRST_NUMBER_BOUND)

    # Streams that begin.

    def is_settled(self, record: EndpointRecord) -> bool:
        """Tells whether streams that may be resumed may begin at an endpoint.

        All instances in touch with the store must know of its software, as they could take a stream
        of software that they do not know for one of what they know. And the store must have the
        record of it, for those that start later.
        """
        service, software = record.service, software_of(record)
        return self._stored.covers(service, software) and self._history.is_settled(
            service, software, monotonic()
        )

    def record_begun(self, job: Job, record: EndpointRecord, is_certain: bool) -> None:
        """Records what began a stream, before its caller has the first event.

        Args:
            job: The request.
            record: The endpoint's record.
            is_certain: Whether the endpoint's process is the one that the record is of.
        """
        if job.origin is None:
            software = software_of(record) if is_certain else UNSURE_SOFTWARE
            job.origin = Origin(record.service, software)
        if not job.route.resumable or job.origin_recorded:
            return
        job.origin_recorded = True
        key, now = _key(job, job.request_id), monotonic()
        self._memory.record(key, job.origin, now)
        self._begun_at.append(_Begun(now, record.endpoint, key))
        if job.origin.software == UNSURE_SOFTWARE:
            self._tell_unsure(key, job.origin, now)
        elif self._only_origin(job.route) is None:
            self._tell({key: job.origin})
        else:
            self._untold[key] = job.origin

    def is_behind(self) -> bool:
        """Tells whether this instance may have missed that an endpoint restarted."""
        return self._age() >= self._settling_time

    def endpoint_restarted(self, record: EndpointRecord) -> None:
        """Forgets what began at an endpoint that may have run other software by then.

        Args:
            record: The new record; the registry still has the one before.
        """
        before = self._endpoints.get(record.endpoint)
        if before is None or software_of(before) == software_of(record):
            return
        unsure = {
            begun.key: Origin(record.service, UNSURE_SOFTWARE)
            for begun in self._begun_at
            if begun.endpoint == record.endpoint
        }
        for key, origin in unsure.items():
            self._memory.record(key, origin, monotonic())
        self._tell(unsure)

    def refresh(self) -> None:
        """Notes which software runs now, and tells what others must know for it."""
        now = monotonic()
        present = self._observe(now)
        self._request_record(now)
        while self._begun_at and now - self._begun_at[0].at >= self._settling_time:
            self._begun_at.popleft()
        self._memory.expire(now)
        self._untold = {k: o for k, o in self._untold.items() if self._memory.knows(k)}
        services = {origin.service for origin in self._untold.values()}
        mixed = {s for s in services if len(present.get(s, ())) > 1}
        if mixed:
            due = {key: o for key, o in self._untold.items() if o.service in mixed}
            self._tell(due)
            self._untold = {k: o for k, o in self._untold.items() if k not in due}

    def _observe(self, now: float) -> dict[str, set[str]]:
        """Notes which software runs now; returns it by service."""
        present: dict[str, set[str]] = {}
        for record in self._endpoints.all():
            present.setdefault(record.service, set()).add(software_of(record))
        self._history.observe(present, self._age(), now)
        if self._history.needs_evidence():
            self._needs_evidence.set()
        return present

    # What instances leave to those that start later.

    def _request_record(self, now: float) -> None:
        """Has the record stored if it has something that is needed before streams begin there."""
        record = self.record_to_store()
        needed = {(service, SEVERAL) for service in record.mixed}
        for service in self._services:
            for software in self._history.present(service):
                if not self._stored.covers(service, software):
                    needed.add((service, software))
        if not needed <= self._noted:
            self._store_soon()
        self._noted = frozenset(needed)

    def record_to_store(self) -> SoftwareRecord:
        """Returns at which software streams of this instance may have begun lately.

        Those of its last incarnation count, too, as its record is replaced by this one.
        """
        self._note_services()
        software = dict(self._last_record)
        for service in self._services:
            present = self._history.present(service)
            if not present:
                continue
            software[service] = next(iter(present)) if len(present) == 1 else SEVERAL
            last = self._last_record.pop(service, software[service])
            if last != software[service]:
                self._history.note_mixed(service, self._started)
        return SoftwareRecord(software, self._history.mixed_at(monotonic()))

    def _note_services(self) -> None:
        """Notes the services of a new configuration whose streams may be resumed."""
        table = self._table()
        if table is None or table is self._table_noted:
            return
        self._table_noted = table
        for route in table.routes():
            if route.resumable:
                self._services.update(share.service for share in route.split)

    def restore(self, lease: LeaseContent) -> None:
        """Takes over the record of the last incarnation, before it is replaced."""
        record = record_in_lease(lease, monotonic(), unix_time())
        self._last_record |= record.software
        for service, at in record.mixed.items():
            self._history.note_mixed(service, at)

    def note_stored(self, record: SoftwareRecord) -> None:
        """Notes the record that the store has accepted."""
        self._stored = record

    async def gather_evidence(self, store: ObjectStore) -> None:
        """Reads what all instances have stored whenever it is needed; runs until cancelled.

        The store itself must answer, as an older list could lack what was stored last.
        """
        while True:
            await self._needs_evidence.wait()
            requested_at = monotonic()
            found = await store.list(ObjectKind.LEASES, stale=False)
            if isinstance(found, Listing):
                self._adopt_leases(found.objects, requested_at)
            else:
                await asyncio.sleep(EVIDENCE_RETRY)
            self._needs_evidence.clear()

    def _adopt_leases(self, objects: Iterable[StoredObject], requested_at: float) -> None:
        """Takes over what all instances have stored in their leases."""
        now = monotonic()
        leases = [lease for lease in map(read_lease, objects) if lease is not None]
        evidence = evidence_in_leases(leases, now, unix_time())
        self._history.adopt(evidence, requested_at, now)
        log("software_evidence", services=len(evidence), leases=len(leases))

    def _tell(self, streams: dict[bytes, Origin]) -> None:
        """Tells the origins of streams to the instances that keep them."""
        by_holder: dict[str, list[tuple[bytes, str, str]]] = {}
        for key, origin in streams.items():
            for holder in self._holders(key.hex()):
                by_holder.setdefault(holder, []).append((key, origin.service, origin.software))
        for holder, found in by_holder.items():
            for at in range(0, len(found), MAX_STREAMS_PER_MESSAGE):
                part = found[at : at + MAX_STREAMS_PER_MESSAGE]
                self._peers.send(holder, StreamsBegun(part))

    def _tell_unsure(self, key: bytes, origin: Origin, now: float) -> None:
        """Tells that a stream began at software that may not be known to anybody yet.

        All are told now and then, as a caller need not name the attempt that began its stream.
        """
        self._history.note_mixed(origin.service, now)
        if now - self._unsure_told_at.get(origin.service, float("-inf")) < UNSURE_INTERVAL:
            self._tell({key: origin})
            return
        self._unsure_told_at[origin.service] = now
        self._peers.send_all(StreamsBegun([(key, origin.service, origin.software)]))

    def receive_begun(self, message: StreamsBegun) -> None:
        """Keeps what another instance tells of streams."""
        now = monotonic()
        for key, service, software in message.streams:
            self._memory.record(key, Origin(service, software), now)
            if software == UNSURE_SOFTWARE:
                self._history.note_mixed(service, now)

    # Streams that callers take up.

    async def bind(self, job: Job) -> Unresumable | None:
        """Binds a request that takes up a stream to what began it; returns why it can't go on."""
        origin = await self._find(job)
        if origin is None:
            log("origin_unknown", request=job.request_id, resumes=job.terms.resumes[:MAX_LOGGED_ID])
            return Unresumable.ORIGIN_UNKNOWN
        table = self._table()
        if table is None or all(share.service != origin.service for share in job.route.split):
            return Unresumable.SOFTWARE_GONE
        job.origin = origin
        job.service = origin.service
        job.spec = table.services.get(origin.service)
        return None

    async def _find(self, job: Job) -> Origin | None:
        """Returns what began the stream that a request takes up; None if nobody can tell."""
        attempt = job.terms.resumes
        key = _key(job, attempt) if attempt and attempt != job.request_id else None
        if key is not None and self._memory.knows(key):
            return self._memory.find(key)
        if key is None:
            return self._only_origin(job.route) or await self._ask_for_proof(job)
        return await self._ask(job, key)

    def _only_origin(self, route: Route) -> Origin | None:
        """Returns the only origin that streams of a route can have, as far as is known here."""
        if len(route.split) != 1 or self._age() >= self._settling_time:
            return None
        now = monotonic()
        self._observe(now)
        return self._history.only_origin(route.split[0].service, route.timeout, now)

    async def _ask(self, job: Job, key: bytes) -> Origin | None:
        """Asks other instances what began a stream: first those that should know it."""
        await self._wait_for_contact(job)
        replies = await self._query(job, key, self._holders(key.hex()), HOLDER_TIMEOUT)
        if any(reply.known for reply in replies):
            return _agreed(reply for reply in replies if reply.known)
        proved = self._only_origin(job.route)
        if proved is not None:
            return proved
        known = await self._query(job, key, [], BROADCAST_TIMEOUT)
        return _agreed(known or [reply for reply in replies if reply.is_only])

    async def _ask_for_proof(self, job: Job) -> Origin | None:
        """Asks other instances for the only origin that a stream can have."""
        await self._wait_for_contact(job)
        names = self._holders(job.content_key)
        replies = await self._query(job, b"", names, HOLDER_TIMEOUT)
        return _agreed(reply for reply in replies if reply.is_only)

    async def _wait_for_contact(self, job: Job) -> None:
        """Waits until an instance that just started hears others."""
        end = min(self._started + FIRST_CONTACT_TIME, job.deadline)
        while not self._peers.reachable() and monotonic() < end:  # noqa: ASYNC110 - rare.
            await asyncio.sleep(CONTACT_POLL_INTERVAL)

    async def _query(
        self, job: Job, key: bytes, names: Collection[str], timeout: float
    ) -> list[OriginReply]:
        """Asks some instances, or all of them if none is named; returns their replies."""
        self._query_number += 1
        number = self._query_number
        query = self._queries[number] = _Query(set(names))
        message = OriginQuery(
            self._instance,
            self._address,
            number,
            key,
            job.request.host,
            job.request.path,
            not names,
        )
        if names:
            for name in names:
                self._peers.send(name, message)
        else:
            self._peers.send_all(message)
        try:
            async with asyncio.timeout(timeout):
                await query.done.wait()
        except TimeoutError:
            pass
        finally:
            del self._queries[number]
        return query.replies

    def receive_query(self, query: OriginQuery) -> None:
        """Replies what began a stream, if this instance knows it or can prove it."""
        known = bool(query.key) and self._memory.knows(query.key)
        if query.only_if_known and not known:
            return
        origin = self._memory.find(query.key) if known else self._prove(query.host, query.path)
        reply = OriginReply(
            self._instance,
            query.number,
            known,
            not known and origin is not None,
            origin.service if origin is not None else "",
            origin.software if origin is not None else "",
        )
        self._send_to(query.address, reply)

    def _prove(self, host: str, path: str) -> Origin | None:
        table = self._table()
        route = table.find(host, path) if table is not None else None
        return self._only_origin(route) if route is not None else None

    def receive_reply(self, reply: OriginReply) -> None:
        """Takes over the reply to a query of this instance."""
        query = self._queries.get(reply.number)
        if query is None:
            return
        query.replies.append(reply)
        asked_all = not query.awaited
        query.awaited.discard(reply.sender)
        if not query.awaited and (reply.known or not asked_all):
            query.done.set()


def _agreed(replies: Iterable[OriginReply]) -> Origin | None:
    """Returns the origin in which replies agree; None if there is none or one is ambiguous."""
    found = {Origin(reply.service, reply.software) for reply in replies}
    origin = found.pop() if len(found) == 1 else None
    return origin if origin is not None and origin.software else None


def _key(job: Job, attempt: str) -> bytes:
    team = job.team.name if job.team is not None else ""
    model = f"{job.terms.model}/{job.terms.adapter}"
    return stream_key(team, job.content_key, model, attempt)
