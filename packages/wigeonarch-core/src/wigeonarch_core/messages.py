"""Messages between instances, encoded as MessagePack by msgspec.

Fields are encoded by position, not by name, which makes a heartbeat a third as long. So a new field
is added at the end, with a default, and no field is removed while an older version may run.

Each message is a tagged struct, so a reader decodes to a type and never to a bare map. Durations
are sent as seconds that remain or have passed; points in time are never sent, as clocks differ.
"""

from __future__ import annotations

import msgspec

from wigeonarch_core.changelog import Change
from wigeonarch_core.decoding import msgpack_decoder
from wigeonarch_core.listing import ListUpdate
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.records import LeaseRecord
from wigeonarch_core.refs import AdapterVersion


class GrantRequest(msgspec.Struct, frozen=True, tag="Ask", array_like=True):
    """Asks the owner of an engine for a grant to use it.

    Attributes:
        dispatch_id: Identifies the grant request and the dispatch to the engine that it is for.
        requester: Name of the requesting instance.
        engine: Name of the engine.
        target: Adapter version that the request needs.
        caller: Whose request it is, for fair shares.
        priority: A higher one goes first.
        remaining: Seconds until the request's deadline.
        tokens: Upper bound of tokens to generate.
        prefix: Digest of the prompt's first block; 0 if unknown.
        round: Number of this sending. A requester sends its grant request again and again while it
            waits, and accepts a grant only for a recent round, so a grant that was held up is worth
            nothing.
        boot: Nonce made at the start of the requester's process.
    """

    dispatch_id: str
    requester: str
    engine: str
    target: AdapterVersion
    caller: str
    priority: int
    remaining: float
    tokens: int
    prefix: int = 0
    round: int = 0
    boot: str = ""


class Granted(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The adapter version is pinned in the engine for a grant request.

    Attributes:
        dispatch_id: Identifies the grant request.
        round: Last round of the grant request that the owner had received.
        waited: Seconds that the grant request waited at the owner.
        stalled: The part of that time spent waiting for a load.
        engine: Name of the engine.
        fence: Fencing token of the ownership in which it was granted. A requester that has declared
            its pins to a newer owner accepts no grant from an older one.
    """

    dispatch_id: str
    round: int
    waited: float
    stalled: float
    engine: str = ""
    fence: int = 0


class Refused(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The owner refuses a grant request; the request was not and will not be run there.

    Attributes:
        dispatch_id: Identifies the grant request.
        reason: Why it is refused.
        retry_after: Seconds after which a retry makes sense.
    """

    dispatch_id: str
    reason: Reason
    retry_after: float


class Release(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The requester no longer uses a grant, or no longer waits for it.

    Attributes:
        dispatch_id: Identifies the grant request.
        requester: Name of the requesting instance.
        engine: Name of the engine.
    """

    dispatch_id: str
    requester: str
    engine: str


class HeldPin(msgspec.Struct, frozen=True, array_like=True):
    """One use of an adapter version.

    Attributes:
        dispatch_id: Identifies the dispatch that uses it.
        target: Adapter version in use.
        remaining: Seconds until the request's hard deadline.
    """

    dispatch_id: str
    target: AdapterVersion
    remaining: float


class HeldPins(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Declares all pins that an instance holds on one engine; a pin that is not listed has ended.

    Attributes:
        requester: Name of the declaring instance.
        boot: Nonce made at its start; a new process knows nothing of the pins of the one before.
        engine: Name of the engine.
        fence: Fencing token of the ownership to which the pins are declared.
        number: Number of the owner's request that this answers.
        pins: The pins.
    """

    requester: str
    boot: str
    engine: str
    fence: int
    number: int
    pins: tuple[HeldPin, ...]


class DeclarePins(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An owner asks an instance to declare the pins that it holds on an engine.

    Attributes:
        engine: Name of the engine.
        owner: Name of the owner that asks.
        fence: Fencing token of its ownership.
        number: Number of this request among the owner's requests for this engine.
    """

    engine: str
    owner: str
    fence: int
    number: int = 0


class Support(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An owner that can't renew its lease asks a peer of its zone for lease support.

    Attributes:
        round: Number of the request.
        record: The lease record to store on the owner's behalf.
        version: Version of the stored lease that it replaces.
    """

    round: int
    record: LeaseRecord
    version: int


class Promised(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The peer will not take over from the owner for one term after it received the request.

    Attributes:
        round: Number of the request for lease support.
        peer: Name of the peer that promises.
    """

    round: int
    peer: str


class Renewed(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The peer has renewed the owner's lease on its behalf.

    Attributes:
        round: Number of the request for lease support.
        version: Version of the stored lease after the renewal.
    """

    round: int
    version: int


class OfferedPin(msgspec.Struct, frozen=True, array_like=True):
    """A pin that is passed on to a new owner.

    Attributes:
        requester: Name of the instance that holds the pin.
        boot: Nonce of its process.
        pin: The pin.
    """

    requester: str
    boot: str
    pin: HeldPin


class Offer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An owner hands an engine over: what the successor must know before the ownership is written.

    Attributes:
        engine: Name of the engine.
        owner: Name of the current owner; it no longer grants or orders anything on the engine.
        fence: Fencing token of its ownership.
        pins: All pins.
        queue: The waiting grant requests, first come first.
    """

    engine: str
    owner: str
    fence: int
    pins: tuple[OfferedPin, ...]
    queue: tuple[GrantRequest, ...]


class Accepted(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The successor keeps an offer and will act on it once the ownership is written.

    Attributes:
        engine: Name of the engine.
        successor: Name of the successor.
        boot: Nonce made at its start.
        fence: Fencing token in the offer.
    """

    engine: str
    successor: str
    boot: str
    fence: int


class Moved(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An engine has a new owner; requesters send it their grant requests again at once.

    Attributes:
        engine: Name of the engine.
        owner: Name of the new owner.
        boot: Nonce made at its start.
        fence: Fencing token of the new ownership.
        previous_fence: Fencing token of the ownership before.
    """

    engine: str
    owner: str
    boot: str
    fence: int
    previous_fence: int


class EngineSummary(msgspec.Struct, frozen=True, array_like=True):
    """What an owner tells its peers about one engine, so that they can choose among engines.

    Attributes:
        engine: Name of the engine.
        fence: Fencing token of the ownership.
        loaded: Adapter versions that are ready in slots.
        coming: Adapter versions being loaded, and those with the most waiting requests; bounded.
        free: Batch places not in use.
        queued: Number of waiting grant requests.
        wait: Seconds that a new grant request for a loaded adapter is expected to wait.
        incarnation: Incarnation in the engine's last report; empty before the first.
        leaving: Whether that report says that the engine takes no new work.
        backlog: Number of loads that grant requests wait for.
    """

    engine: str
    fence: int
    loaded: tuple[AdapterVersion, ...]
    coming: tuple[AdapterVersion, ...]
    free: int
    queued: int
    wait: float
    incarnation: str = ""
    leaving: bool = False
    backlog: int = 0


class Heartbeat(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Tells peers that an instance is alive, what it has applied and what it owns.

    Attributes:
        instance: Name of the sender.
        zone: Its availability zone.
        boot: Nonce made at its start.
        applied: Number of the last configuration change that it has applied.
        draining: Whether it is shutting down.
        platform: Whether its last call for its lease reached the platform.
        engines: Summaries of the engines that it owns.
        promised_owners: Owners of its zone from which it has promised not to take over.
        leased: Whether the platform holds its lease; see `serving_right`.
        reaches: Whether the platform has answered it recently.
        settled: Whether the platform has been answering for so long that all instances of its zone
            know.
        peer_address: Its address for messages, for those that can't read its lease.
        sent: When it was sent, by the sender's clock; of no use to others except to echo it.
        echo: `sent` of the last heartbeat that the sender got from the receiver; 0 if none. It
            tells the receiver, by its own clock, that this heartbeat is at least as new as that
            one.
    """

    instance: str
    zone: str
    boot: str
    applied: int
    draining: bool
    platform: bool
    engines: tuple[EngineSummary, ...] = ()
    promised_owners: tuple[str, ...] = ()
    leased: bool = False
    reaches: bool = False
    settled: bool = False
    peer_address: str = ""
    sent: float = 0.0
    echo: float = 0.0


class ChangeNotice(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Tells a peer of a change in the change log, so that it need not wait for its watch.

    Attributes:
        number: Number of the change.
        sender: Name of the sending instance.
        change: The change.
    """

    number: int
    sender: str
    change: Change


class LoadBid(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An owner asks for a permit to load from the weight store.

    Attributes:
        bid: Identifies the bid.
        owner: Name of the bidding instance.
        engine: Engine that is to load.
        target: Adapter version to load.
        value: Seconds of stalling saved per second of use of the weight store.
    """

    bid: str
    owner: str
    engine: str
    target: AdapterVersion
    value: float


class LoadPermit(msgspec.Struct, frozen=True, tag="LoadTurn", array_like=True):
    """A bid gets its permit to load."""

    bid: str


class LoadEnded(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The load of a bid has ended, successfully or not.

    Attributes:
        bid: Identifies the bid.
        owner: Name of the instance that loaded.
    """

    bid: str
    owner: str


Message = (
    GrantRequest
    | Granted
    | Refused
    | Release
    | HeldPins
    | DeclarePins
    | Support
    | Promised
    | Renewed
    | Offer
    | Accepted
    | Moved
    | Heartbeat
    | ChangeNotice
    | ListUpdate
    | LoadBid
    | LoadPermit
    | LoadEnded
)

_encoder = msgspec.msgpack.Encoder()
_decode = msgpack_decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the MessagePack encoding of a message."""
    return _encoder.encode(message)


def decode(frame: bytes) -> Message | None:
    """Returns the message in a frame; None if this version does not know such a message."""
    try:
        decoded: Message = _decode(frame)
    except ValueError:
        return None
    return decoded
