"""Messages between gateways; fields go by place, names are short-lived, times are durations.

No clock is compared with another instance's: a message says how long something takes from now on.
"""

from __future__ import annotations

import zlib
from typing import Any, Final

import msgspec

Adapter = tuple[str, str, int]


class EndpointLoad(msgspec.Struct, array_like=True):
    """What one instance has under way at one endpoint.

    Attributes:
        endpoint: The endpoint.
        running: Requests that have not ended.
        waiting_tokens: Prompt tokens whose first token has not come.
        kv_tokens: Tokens that the requests may take in the KV cache.
        recent_tokens: Prompt tokens sent lately, as in `traffic.Load`.
    """

    endpoint: str
    running: int
    waiting_tokens: int
    kv_tokens: int
    recent_tokens: int = 0


class AdaptersInUse(msgspec.Struct, array_like=True):
    """Adapters in use at an endpoint by the sender; told to the endpoint's holder only."""

    endpoint: str
    adapters: list[Adapter]


class Heartbeat(msgspec.Struct, array_like=True, tag="beat"):
    """An instance lives, and what it has under way.

    Attributes:
        sender: Its name.
        incarnation: Differs for each start of its process.
        address: Address for messages to it.
        zone: Its availability zone.
        leaving: Whether it is shutting down.
        lease: Revision of its lease.
        lease_left_ms: Milliseconds for which its lease still holds; 0 when it does not.
        loads: What it has under way at endpoints.
        uses: Adapters in use at the endpoints that the receiver holds.
        contact_ms: Milliseconds since the sender's contact with the store began, which has had no
            outage since; None when it has had no answer yet.
        answered_ms: Milliseconds since the store's last answer to it.
        up_ms: Milliseconds since its start.
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


class EngineUpdate(msgspec.Struct, array_like=True, tag="places"):
    """The places of an engine, told by its holder to all.

    Attributes:
        sender: The holder.
        endpoint: The engine.
        fence: The holder's fencing number; older ones are void.
        number: Grows with each of these messages of one fence.
        models: Base models that it holds.
        ready: Adapters that can be used: place of the model in `models`, name, version.
        loading: Adapters on their way, in the same form, with the milliseconds left.
        free: Places that are empty or idle.
        orders: Whether the holder may give orders now.
        born: Start of the engine's incarnation of which this tells; 0 when it does not say.
        load_ms: Milliseconds of a load that must be fetched, while few others are; 0 if unknown.
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


class LoadRequest(msgspec.Struct, array_like=True, tag="wish"):
    """A request of the sender needs an adapter at an endpoint.

    Attributes:
        sender: Who asks.
        endpoint: The engine.
        adapter: What it needs.
        priority: Rank of the request; 0 is the most urgent.
        missing: Whether the engine just refused a request for lack of it.
    """

    sender: str
    endpoint: str
    adapter: Adapter
    priority: int
    missing: bool


class AdapterUse(msgspec.Struct, array_like=True, tag="used"):
    """The sender is sending a request for an adapter to an endpoint."""

    sender: str
    endpoint: str
    adapter: Adapter


class SeenAdapters(msgspec.Struct, array_like=True, tag="seen"):
    """Adapters that an engine was seen with, told to an instance that just started."""

    endpoint: str
    names: list[tuple[str, str]]


class LeaseSupportRequest(msgspec.Struct, array_like=True, tag="plea"):
    """The sender can't renew its lease: it asks for a promise, and perhaps for a renewal.

    Attributes:
        sender: Who asks.
        incarnation: Incarnation of its process.
        number: Number of the plea.
        renew: Whether the receiver should renew the lease in its name.
    """

    sender: str
    incarnation: str
    number: int
    renew: bool = False


class LeaseRenewed(msgspec.Struct, array_like=True, tag="done"):
    """The lease was renewed, as asked in the plea of this number."""

    sender: str
    number: int
    revision: int


class LeaseSupportPromise(msgspec.Struct, array_like=True, tag="promise"):
    """The sender will take nothing over from the one that pleaded, for one term from the plea."""

    sender: str
    number: int


class Relay(msgspec.Struct, array_like=True, tag="relay"):
    """A message that the receiver hands to all instances of its availability zone."""

    frame: bytes


class FollowRequest(msgspec.Struct, array_like=True, tag="follow"):
    """The sender asks to be told of the store's changes, and says what it has.

    Attributes:
        sender: Who asks.
        states: Place of each kind in `ports.Kinds`, and the revision of the sender's state of it.
        number: Grows with each of the sender's; answers name it.
    """

    sender: str
    revisions: list[tuple[int, int]]
    number: int = 0


class StoreUpdate(msgspec.Struct, array_like=True, tag="told"):
    """What changed in the store, told by an instance that watches it.

    Attributes:
        sender: Who tells.
        kind: Place of the kind in `ports.Kinds`.
        since: Revision after which these changes are.
        as_of: Revision up to which they are all.
        age_ms: Milliseconds since the store last brought the sender up to date.
        away: Whether the sender is without an answer of the store.
        changes: Name, revision, content and whether removed; in order.
        answers: Number of the receiver's word that this answers, which bounds the time that it was
            on its way; 0 for news, of which nothing bounds it.
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
    """The sender just started, at an address in an availability zone, and knows few others."""

    sender: str
    address: str
    zone: str


class PeerAddresses(msgspec.Struct, array_like=True, tag="intro"):
    """Addresses of the instances of an availability zone that the sender knows."""

    zone: str
    addresses: list[str]


class UpdateUnavailable(msgspec.Struct, array_like=True, tag="untold"):
    """The sender can't tell of a kind from the receiver's revision on: the store must be asked."""

    sender: str
    kind: int


class QuotaRequest(msgspec.Struct, array_like=True, tag="credit"):
    """A request of the sender needs credit of a team's quota.

    Attributes:
        sender: Who asks.
        number: Number of the question.
        team: The team.
        cost: Units of its quota.
    """

    sender: str
    number: int
    team: str
    cost: int


class QuotaReply(msgspec.Struct, array_like=True, tag="credited"):
    """The answer to a question for credit.

    Attributes:
        sender: The banker.
        number: Number of the question.
        granted: Whether the credit was given.
        wait_ms: Milliseconds until the bucket has refilled for it.
        turn_ms: The same, with what was refused before it.
        level: Units left.
        loan: Whether other zones were asked for a loan, which may come at once.
    """

    sender: str
    number: int
    granted: bool
    wait_ms: int
    queue_wait_ms: int
    level: int
    loan_requested: bool = False


class QuotaReturn(msgspec.Struct, array_like=True, tag="uncredit"):
    """The request for which credit was given under this number has not run and will not."""

    sender: str
    number: int


class QuotaLoanRequest(msgspec.Struct, array_like=True, tag="lend"):
    """A zone's banker needs more credit than its zone's part.

    Attributes:
        sender: The banker.
        address: Its address for messages.
        zone: The zone that is asked.
        team: The team.
        number: Number of the plea.
        wanted: Units.
        handed_on: Whether an instance of the zone handed it on to its banker.
    """

    sender: str
    address: str
    zone: str
    team: str
    number: int
    wanted: int
    forwarded: bool = False


class QuotaLoan(msgspec.Struct, array_like=True, tag="loan"):
    """Units that another zone's banker took out of its bucket for a plea."""

    sender: str
    team: str
    number: int
    units: int


class CrashReport(msgspec.Struct, array_like=True, tag="ends"):
    """Endpoints ended under requests, or were seen not to.

    Attributes:
        sender: Who saw it.
        ends: Ends just seen: key of a request's content, incarnation of the endpoint, and the
            milliseconds since the request was sent there.
        cleared: Keys of requests, and ends under each that don't count any more, as an endpoint ran
            it whole.
        counted: Keys of requests, and all ends under each that the sender counts; told to one that
            may have heard of none.
    """

    sender: str
    crashes: list[tuple[str, str, int]]
    cleared: list[tuple[str, list[str]]]
    counted: list[tuple[str, list[str]]]


class RateLimitUpdate(msgspec.Struct, array_like=True, tag="limit"):
    """An endpoint named the requests a second that it takes from all instances together.

    Attributes:
        sender: Who read it.
        endpoint: The endpoint.
        rate: Requests a second; None when it names a limit no more.
    """

    sender: str
    endpoint: str
    rate: float | None


class LeavingEndpoints(msgspec.Struct, array_like=True, tag="leaving"):
    """Endpoints said in answers that they leave.

    Attributes:
        leaving: Each endpoint, with the start of the incarnation that said so; 0 where it does not
            tell its start.
    """

    leaving: list[tuple[str, int]]


class PermitRequest(msgspec.Struct, array_like=True, tag="permit"):
    """A request of the sender could go to an endpoint that has a limit.

    Attributes:
        sender: Who asks.
        endpoint: The endpoint.
        number: Number of the question.
    """

    sender: str
    endpoint: str
    number: int


class PermitReply(msgspec.Struct, array_like=True, tag="permitted"):
    """The answer to a question for a permit.

    Attributes:
        sender: Who was asked.
        endpoint: The endpoint.
        number: Number of the question.
        granted: Whether one request may be sent.
        wait_ms: Milliseconds after which to ask again.
        limiter: Who gives the permits for the endpoint.
    """

    sender: str
    endpoint: str
    number: int
    granted: bool
    wait_ms: int
    limiter: str


class CompressedFrame(msgspec.Struct, array_like=True, tag="packed"):
    """An encoded message, compressed."""

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
)

# Bytes from which a frame is compressed: what fits into one packet is not worth the work. Long
# frames repeat themselves (routes, endpoints), and one that goes to a whole zone at once would fill
# its sender's link.
MIN_COMPRESSED_BYTES: Final = 1200
COMPRESSION_LEVEL: Final = 1
MAX_DECOMPRESSED_BYTES: Final = 1_000_000  # Bytes of a message that is taken in.

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Message | CompressedFrame)


def encode(message: Message) -> bytes:
    """Returns the MessagePack form of a message, compressed when it is long."""
    frame = _encoder.encode(message)
    if len(frame) < MIN_COMPRESSED_BYTES:
        return frame
    return _encoder.encode(CompressedFrame(zlib.compress(frame, COMPRESSION_LEVEL)))


def decode(frame: bytes) -> Message | None:
    """Returns the message in a frame, or None when it is not one that this version knows."""
    try:
        decoded: Message | CompressedFrame = _decoder.decode(frame)
        if not isinstance(decoded, CompressedFrame):
            return decoded
        unpacked: Message | CompressedFrame = _decoder.decode(_decompress(decoded.frame))
    except (msgspec.DecodeError, zlib.error):
        return None
    return None if isinstance(unpacked, CompressedFrame) else unpacked


def _decompress(packed: bytes) -> bytes:
    """Returns what was compressed, cut off at the bound, so that a small frame can't fill memory.

    Raises:
        zlib.error: It is no compressed frame.
    """
    return zlib.decompressobj().decompress(packed, MAX_DECOMPRESSED_BYTES)
