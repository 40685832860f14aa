"""The messages that gateway instances send each other, and their encoding.

Messages are MessagePack arrays: a field is identified by its position, so the order of fields is
part of the format and their names are not. Times are sent as durations relative to the moment of
sending, because the clocks of two instances are never compared.
"""

from __future__ import annotations

import zlib
from typing import Any, Final

import msgspec
from wigeonarch_core.decoding import check_plain_value, msgpack_decoder
from wigeonarch_core.place_ledger import Statement

Adapter = tuple[str, str, int]


class EndpointLoad(msgspec.Struct, array_like=True):
    """The load that one instance has in progress at one endpoint.

    Attributes:
        endpoint: The endpoint.
        running: Requests that have not completed.
        waiting_tokens: Prompt tokens of requests that have not received a first token yet.
        kv_tokens: Tokens that the requests may occupy in the KV cache.
        recent_tokens: Recently sent prompt tokens, weighted by age as in `traffic.Load`.
        pace_observed_ms: Milliseconds that samples of the endpoint's pace took since the sender's
            last heartbeat.
        pace_expected_ms: Milliseconds that they were expected to take; 0 without new samples.
    """

    endpoint: str
    running: int
    waiting_tokens: int
    kv_tokens: int
    recent_tokens: int = 0
    pace_observed_ms: int = 0
    pace_expected_ms: int = 0


class AdaptersInUse(msgspec.Struct, array_like=True):
    """Adapters that the sender uses at an endpoint; sent only to the endpoint's owner."""

    endpoint: str
    adapters: list[Adapter]


class ServiceDemand(msgspec.Struct, array_like=True):
    """What callers ask the sender for of one plain service that is busy.

    Attributes:
        service: The service.
        time_ms: Milliseconds that its requests take without waiting; 0 if unknown.
        kinds: For each kind of request its rank, the key of its team, and tenths of requests a
            second.
    """

    service: str
    time_ms: int = 0
    kinds: list[tuple[int, int, int]] = []


class Heartbeat(msgspec.Struct, array_like=True, tag="beat"):
    """Periodic sign of life of an instance, with its lease and its load.

    Attributes:
        sender: Name of the sending instance.
        incarnation: Differs for each start of the sender's process.
        address: The sender's address for messages.
        zone: The sender's availability zone.
        leaving: Whether the sender is shutting down.
        lease_revision: Revision of the sender's lease.
        lease_left_ms: Milliseconds until the sender's lease expires; 0 if it is not in force.
        loads: The sender's load at each endpoint.
        adapters_in_use: Adapters that the sender uses at the endpoints that the receiver owns.
        store_contact_ms: Milliseconds since the first answer of the store after the sender's last
            outage, or after its start; None if the store has not answered yet.
        store_answered_ms: Milliseconds since the store's last answer to the sender.
        uptime_ms: Milliseconds since the sender started.
        lost_services: Services of which the sender reaches no endpoint.
        states_uses: Whether `adapters_in_use` is complete for the receiver; False for a heartbeat
            that goes to many and states none.
        states_loads: Whether `loads` and `demands` are complete; False for a heartbeat to an
            instance of a zone that hears of them by this zone's first delegate.
        demands: What the sender is asked for of busy plain services.
    """

    sender: str
    incarnation: str
    address: str
    zone: str
    leaving: bool
    lease_revision: int
    lease_left_ms: int
    loads: list[EndpointLoad]
    adapters_in_use: list[AdaptersInUse]
    store_contact_ms: int | None = None
    store_answered_ms: int = 0
    uptime_ms: int = 0
    lost_services: list[str] = []
    states_uses: bool = True
    states_loads: bool = True
    demands: list[ServiceDemand] = []


class EngineUpdate(msgspec.Struct, array_like=True, tag="places"):
    """The adapter places of an engine, sent by its owner to all instances.

    Attributes:
        sender: The owner.
        endpoint: The engine.
        fence: The owner's fencing token; updates with an older token are ignored.
        number: Sequence number of the update among those with the same fencing token.
        models: Base models that are loaded.
        ready: Adapters that can be used: index of the model in `models`, name, version.
        loading: Adapters being loaded, in the same form, with the milliseconds left.
        free_places: Adapter places that are empty or whose adapter is not in use.
        accepts_loads: Whether the owner may give the engine orders now.
        born: Start time of the engine's incarnation that this describes; 0 if unknown.
        load_ms: Milliseconds that a load takes which must be fetched while few others are in
            progress; 0 if unknown.
        waiting_loads: Loads that were requested and have not begun.
    """

    sender: str
    endpoint: str
    fence: int
    number: int
    models: list[str]
    ready: list[tuple[int, str, int]]
    loading: list[tuple[int, str, int, int]]
    free_places: int
    accepts_loads: bool
    born: int = 0
    load_ms: int = 0
    waiting_loads: int = 0


class LoadRequest(msgspec.Struct, array_like=True, tag="wish"):
    """Asks the owner of an engine to load an adapter that a request of the sender needs.

    Attributes:
        sender: The instance that needs the adapter.
        endpoint: The engine.
        adapter: The adapter to load.
        priority: Rank of the request; 0 is the most urgent.
        missing: Whether the engine just refused a request because it lacks the adapter.
    """

    sender: str
    endpoint: str
    adapter: Adapter
    priority: int
    missing: bool


class AdapterUse(msgspec.Struct, array_like=True, tag="used"):
    """Tells an engine's owner that the sender dispatches a request for an adapter to the engine."""

    sender: str
    endpoint: str
    adapter: Adapter


class SeenAdapters(msgspec.Struct, array_like=True, tag="seen"):
    """Adapters that an engine has had loaded before, sent to an instance that just started."""

    endpoint: str
    names: list[tuple[str, str]]


class LeaseSupportRequest(msgspec.Struct, array_like=True, tag="plea"):
    """Asks a peer for a lease support promise because the sender can't renew its lease.

    Attributes:
        sender: The instance whose lease is about to expire.
        incarnation: Incarnation of the sender's process.
        number: Number of the request.
        renew: Whether the receiver should also renew the lease on behalf of the sender.
    """

    sender: str
    incarnation: str
    number: int
    renew: bool = False


class LeaseRenewed(msgspec.Struct, array_like=True, tag="done"):
    """The sender renewed the receiver's lease, as the request with this number asked."""

    sender: str
    number: int
    revision: int


class LeaseSupportPromise(msgspec.Struct, array_like=True, tag="promise"):
    """The sender promises to take over no endpoint from the requester for one lease term.

    The term counts from the request with this number.
    """

    sender: str
    number: int


class Relay(msgspec.Struct, array_like=True, tag="relay"):
    """An encoded message that the receiver forwards to all instances of its availability zone."""

    frame: bytes


class FollowRequest(msgspec.Struct, array_like=True, tag="follow"):
    """Asks a zone watcher for the store's changes since the revisions that the sender has.

    Attributes:
        sender: The follower.
        revisions: For each kind, its index in `ports.ObjectKind` and the sender's revision of it.
        number: Sequence number of the request, which the replies repeat.
    """

    sender: str
    revisions: list[tuple[int, int]]
    number: int = 0


class StoreUpdate(msgspec.Struct, array_like=True, tag="told"):
    """Changes of one kind of stored objects, sent by a zone watcher to its followers.

    Attributes:
        sender: The watcher.
        kind: Index of the kind in `ports.ObjectKind`.
        since: Revision after which the changes begin.
        as_of: Revision up to which the changes are complete.
        age_ms: Milliseconds since the store last brought the sender up to date.
        store_away: Whether the store does not answer the sender's calls.
        changes: Name, revision, content, and whether the object was removed; in order.
        in_reply_to: Number of the receiver's `FollowRequest` that this answers, whose time bounds
            how long the update can have been in transit; 0 for an unsolicited update, whose time
            in transit is unknown.
    """

    sender: str
    kind: int
    since: int
    as_of: int
    age_ms: int
    store_away: bool
    changes: list[tuple[str, int, Any, bool]]
    in_reply_to: int = 0


class PeerQuery(msgspec.Struct, array_like=True, tag="who"):
    """Asks a seed for the instances of the sender's zone; sent by an instance that just started."""

    sender: str
    address: str
    zone: str


class PeerAddresses(msgspec.Struct, array_like=True, tag="intro"):
    """The addresses that the sender knows of instances in an availability zone."""

    zone: str
    addresses: list[str]


class UpdateUnavailable(msgspec.Struct, array_like=True, tag="untold"):
    """The sender lacks a kind's changes since the receiver's revision.

    The receiver must read them from the store itself.
    """

    sender: str
    kind: int


class QuotaRequest(msgspec.Struct, array_like=True, tag="credit"):
    """Asks the quota coordinator for units of a team's quota for one request.

    Attributes:
        sender: The instance that received the request.
        number: Number of the quota request.
        team: The team.
        cost: Units of the team's quota.
    """

    sender: str
    number: int
    team: str
    cost: int


class QuotaReply(msgspec.Struct, array_like=True, tag="credited"):
    """The quota coordinator's reply to a `QuotaRequest`.

    Attributes:
        sender: The quota coordinator.
        number: Number of the quota request.
        granted: Whether the units were granted.
        wait_ms: Milliseconds until the token bucket has refilled enough for the request.
        queue_wait_ms: Milliseconds until it has also refilled for requests refused before this one.
        level: Units left in the bucket.
        loan_requested: Whether other zones were asked for a loan, which may arrive at once.
    """

    sender: str
    number: int
    granted: bool
    wait_ms: int
    queue_wait_ms: int
    level: int
    loan_requested: bool = False


class QuotaReturn(msgspec.Struct, array_like=True, tag="uncredit"):
    """Returns the units granted under this number, because the request did not and will not run."""

    sender: str
    number: int


class QuotaLoanRequest(msgspec.Struct, array_like=True, tag="lend"):
    """Asks another zone to lend units of a team's quota, beyond the share of the sender's zone.

    Attributes:
        sender: The quota coordinator that borrows.
        address: The sender's address for messages.
        zone: The zone that is asked to lend.
        team: The team.
        number: Number of the loan request.
        wanted: Units to borrow.
        forwarded: Whether an instance of the lending zone forwarded the request to its quota
            coordinator.
    """

    sender: str
    address: str
    zone: str
    team: str
    number: int
    wanted: int
    forwarded: bool = False


class QuotaLoan(msgspec.Struct, array_like=True, tag="loan"):
    """Units that another zone's quota coordinator took out of its bucket for a loan request."""

    sender: str
    team: str
    number: int
    units: int


class PartReport(msgspec.Struct, array_like=True):
    """Parts of prompts under which endpoints crashed, and those cleared of suspicion.

    Attributes:
        crashes: New crashes: part, version of the endpoint's software, incarnation of the endpoint,
            and the milliseconds since the last request with the part was sent there.
        cleared: Parts and software versions, with the crashes that no longer count against each
            because of a run that speaks for it.
        counted: Parts and software versions, with all crashes that the sender counts against each;
            sent to an instance that may know of none of them.
        tried: Parts that were held back and that a request of the sender tries now, so that no
            other request is to.
    """

    crashes: list[tuple[str, str, str, int]]
    cleared: list[tuple[str, str, list[str]]]
    counted: list[tuple[str, str, list[str]]]
    tried: list[str]


class CrashReport(msgspec.Struct, array_like=True, tag="ends"):
    """Endpoints that crashed while running certain requests, and requests cleared of suspicion.

    Attributes:
        sender: The instance that observed it.
        crashes: New crashes: key of the request's content, incarnation of the endpoint, and the
            milliseconds since the request was dispatched there.
        cleared: Keys of requests, with the crashes that no longer count against each because an
            endpoint has run it to completion.
        counted: Keys of requests, with all crashes that the sender counts against each; sent to an
            instance that may know of none of them.
        retracted: Incarnations of endpoints that were reported to have crashed and that have
            answered since.
        parts: The same for parts of prompts; None for nothing.
    """

    sender: str
    crashes: list[tuple[str, str, int]]
    cleared: list[tuple[str, list[str]]]
    counted: list[tuple[str, list[str]]]
    retracted: list[str] = []
    parts: PartReport | None = None


class RateLimitUpdate(msgspec.Struct, array_like=True, tag="limit"):
    """What an instance knows of the request rate that an endpoint accepts from all together.

    Attributes:
        sender: The instance that knows it.
        endpoint: The endpoint.
        rate: Requests per second; None if the endpoint no longer states a limit.
        age_ms: Milliseconds since the last response that stated the limit arrived, or since the
            request was sent whose response stated none.
        grants: Whether the sender grants permits for the endpoint.
    """

    sender: str
    endpoint: str
    rate: float | None
    age_ms: int = 0
    grants: bool = False


class LeavingEndpoints(msgspec.Struct, array_like=True, tag="leaving"):
    """Endpoints that announced in a response that they are leaving.

    Attributes:
        leaving: Each endpoint, with the start time of the incarnation that announced it; 0 if the
            endpoint does not state its start time.
    """

    leaving: list[tuple[str, int]]


class PermitRequest(msgspec.Struct, array_like=True, tag="permit"):
    """Asks the limiter of a rate-limited endpoint for permission to dispatch one request to it.

    Attributes:
        sender: The instance that has the request.
        endpoint: The endpoint.
        number: Number of the permit request.
        rate: Limit that the sender knows of, in requests per second; None if it does not state it.
        age_ms: Milliseconds since the last response that stated this limit arrived.
    """

    sender: str
    endpoint: str
    number: int
    rate: float | None = None
    age_ms: int = 0


class PermitReply(msgspec.Struct, array_like=True, tag="permitted"):
    """The reply to a `PermitRequest`.

    Attributes:
        sender: The instance that was asked.
        endpoint: The endpoint.
        number: Number of the permit request.
        granted: Whether one request may be dispatched.
        wait_ms: Milliseconds after which to ask again.
        limiter: The instance that issues permits for the endpoint.
    """

    sender: str
    endpoint: str
    number: int
    granted: bool
    wait_ms: int
    limiter: str


class BrittleUpdate(msgspec.Struct, array_like=True, tag="brittle"):
    """What an instance knows of an endpoint that crashes when it turns too many requests away.

    Attributes:
        sender: The instance that knows it.
        endpoint: The endpoint.
        service: Its service.
        tolerated: Rejections per second that it tolerates; None if it no longer states any.
        age_ms: Milliseconds since the last response that stated it arrived, or since the request
            was sent whose response stated none.
    """

    sender: str
    endpoint: str
    service: str
    tolerated: int | None
    age_ms: int


class PlaceStatement(msgspec.Struct, array_like=True, tag="place"):
    """States to the instance that grants places at an endpoint what the sender has and wants."""

    sender: str
    endpoint: str
    statement: Statement


class PlaceGrant(msgspec.Struct, array_like=True, tag="placed"):
    """Grants one place at an endpoint, or names the instance that grants them.

    Attributes:
        endpoint: The endpoint.
        granter: The instance that grants its places.
        ledger: Epoch of the ledger that the grant comes from.
        number: Number of the grant; 0 if nothing is granted.
    """

    endpoint: str
    granter: str
    ledger: int
    number: int


class PlacesGranted(msgspec.Struct, array_like=True, tag="places granted"):
    """Tells whether the sender grants the places at an endpoint."""

    sender: str
    endpoint: str
    grants: bool


class StreamsBegun(msgspec.Struct, array_like=True, tag="began"):
    """What began some streams that their callers may take up at any instance.

    Attributes:
        streams: Key of each stream, with the service and the software that began it.
    """

    streams: list[tuple[bytes, str, str]]


class OriginQuery(msgspec.Struct, array_like=True, tag="whose"):
    """Asks what began a stream that a caller takes up.

    Attributes:
        sender: The instance at which the caller is.
        address: Its address for messages.
        number: Number of the query.
        key: Key of the stream; empty if the caller does not name it.
        host: Host that the request names.
        path: Its path.
        only_if_known: Whether only an instance that knows the stream is to reply.
    """

    sender: str
    address: str
    number: int
    key: bytes
    host: str
    path: str
    only_if_known: bool


class OriginReply(msgspec.Struct, array_like=True, tag="origin"):
    """The reply to an `OriginQuery`.

    Attributes:
        sender: The instance that was asked.
        number: Number of the query.
        known: Whether the sender remembers the stream.
        is_only: Whether it does not, and streams of the route can have this origin only.
        service: Service that began the stream; empty if that is unknown or ambiguous.
        software: Software that began it; empty if that is unknown or ambiguous.
    """

    sender: str
    number: int
    known: bool
    is_only: bool
    service: str
    software: str


class CompressedFrame(msgspec.Struct, array_like=True, tag="packed"):
    """An encoded message in compressed form."""

    frame: bytes


Message = (
    Heartbeat
    | EngineUpdate
    | LoadRequest
    | AdapterUse
    | SeenAdapters
    | LeaseSupportRequest
    | LeaseRenewed
    | LeaseSupportPromise
    | Relay
    | FollowRequest
    | StoreUpdate
    | UpdateUnavailable
    | PeerQuery
    | PeerAddresses
    | QuotaRequest
    | QuotaReply
    | QuotaReturn
    | QuotaLoanRequest
    | QuotaLoan
    | CrashReport
    | RateLimitUpdate
    | LeavingEndpoints
    | PermitRequest
    | PermitReply
    | BrittleUpdate
    | PlaceStatement
    | PlaceGrant
    | PlacesGranted
    | StreamsBegun
    | OriginQuery
    | OriginReply
)

# Size in bytes from which a frame is compressed; compressing one that fits into a single packet
# saves nothing. Long frames are repetitive (routes, endpoints), and sending one uncompressed to a
# whole zone at once would fill the sender's link.
MIN_COMPRESSED_BYTES: Final = 1200
COMPRESSION_LEVEL: Final = 1
MAX_DECOMPRESSED_BYTES: Final = 1_000_000  # Bytes; the rest of a longer message is cut off.

_encoder: Final = msgspec.msgpack.Encoder()
_decode: Final = msgpack_decoder(Message | CompressedFrame)


def encode(message: Message) -> bytes:
    """Returns the MessagePack encoding of a message, compressed if it is long."""
    frame = _encoder.encode(message)
    if len(frame) < MIN_COMPRESSED_BYTES:
        return frame
    return _encoder.encode(CompressedFrame(zlib.compress(frame, COMPRESSION_LEVEL)))


def decode(frame: bytes) -> Message | None:
    """Returns the message in a frame; None if this version does not know such a message."""
    try:
        decoded: Message | CompressedFrame = _decode(frame)
        if isinstance(decoded, CompressedFrame):
            decoded = _decode(_decompress(decoded.frame))
        if isinstance(decoded, StoreUpdate):
            check_plain_value([spec for _, _, spec, _ in decoded.changes])
    except (ValueError, zlib.error):
        return None
    return None if isinstance(decoded, CompressedFrame) else decoded


def _decompress(packed: bytes) -> bytes:
    """Returns the decompressed frame, truncated so that a small frame can't exhaust the memory.

    Raises:
        zlib.error: The data is not a valid compressed frame.
    """
    return zlib.decompressobj().decompress(packed, MAX_DECOMPRESSED_BYTES)
