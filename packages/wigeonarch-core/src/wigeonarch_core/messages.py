"""Messages between instances, encoded as MessagePack by msgspec.

Fields travel by their place, not by their names, which makes a heartbeat a third as long; so a new
field is added at the end, with a default, and none is taken out while an older version may run.

Each message is a tagged struct, so a reader decodes to a type and never to a bare map. Durations
travel as seconds that remain or have passed; points in time never travel, as clocks differ.
"""

from __future__ import annotations

import msgspec

from wigeonarch_core.changelog import Change
from wigeonarch_core.listing import ListUpdate
from wigeonarch_core.outcomes import Reason
from wigeonarch_core.records import LeaseRecord
from wigeonarch_core.refs import AdapterVersion


class GrantRequest(msgspec.Struct, frozen=True, tag="Ask", array_like=True):
    """Asks the owner of an engine for a grant to use it.

    Attributes:
        ask: Identifies the ask; also the dispatch id that the engine will see.
        asker: Name of the asking instance.
        engine: Name of the engine.
        target: Adapter version to be served by.
        caller: Whose request it is, for fair shares.
        priority: Greater goes first.
        remaining: Seconds until the request's deadline.
        tokens: Upper bound of tokens to generate.
        prefix: Digest of the prompt's first block; 0 when unknown.
        round: Counts the repetitions of this ask. An asker repeats an ask while it waits, and takes
            a grant only for a recent round, so a grant that was held up is worth nothing.
        boot: Nonce made at the asker's start.
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
    """The adapter version is pinned in the engine for this ask.

    Attributes:
        ask: The ask answered.
        round: Last round of the ask that the owner had received.
        waited: Seconds the ask waited at the owner.
        stalled: The part of it spent waiting for a load.
        engine: Name of the engine.
        fence: Fencing number of the ownership in which it was granted. An asker that has declared
            its pins to a newer owner takes no grant of an older one.
    """

    dispatch_id: str
    round: int
    waited: float
    stalled: float
    engine: str = ""
    fence: int = 0


class Refused(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The owner will not grant this ask; nothing of it will run."""

    dispatch_id: str
    reason: Reason
    retry_after: float


class Release(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The asker no longer uses the grant, or no longer waits for it."""

    dispatch_id: str
    requester: str
    engine: str


class HeldPin(msgspec.Struct, frozen=True, array_like=True):
    """One use of an adapter version.

    Attributes:
        ask: Identifies the request.
        target: Adapter version in use.
        remaining: Seconds until the request's hard deadline.
    """

    dispatch_id: str
    target: AdapterVersion
    remaining: float


class HeldPins(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """All pins that an instance holds on one engine; complete, so what is not listed is gone.

    Attributes:
        asker: Name of the declaring instance.
        boot: Nonce made at its start; a new process knows nothing of the pins of the one before.
        engine: Name of the engine.
        fence: Fencing number of the ownership to which they are declared.
        number: Number of the request that this answers.
        held: The pins.
    """

    requester: str
    boot: str
    engine: str
    fence: int
    number: int
    pins: tuple[HeldPin, ...]


class DeclarePins(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An owner asks an instance to declare the pins it holds on an engine.

    Attributes:
        engine: Name of the engine.
        owner: Name of the owner that asks.
        fence: Fencing number of its ownership.
        number: Counts the owner's requests for this engine.
    """

    engine: str
    owner: str
    fence: int
    number: int = 0


class Support(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An owner that can't renew its lease asks a peer of its zone for support.

    Attributes:
        round: Number of the request.
        record: The lease record to store on the owner's behalf.
        version: Version of the stored lease that it replaces.
    """

    round: int
    record: LeaseRecord
    version: int


class Promised(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The peer will not take over from the owner for one term from receipt of the request."""

    round: int
    peer: str


class Renewed(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The peer has renewed the owner's lease in request `round`; it is stored as `version`."""

    round: int
    version: int


class OfferedPin(msgspec.Struct, frozen=True, array_like=True):
    """A pin that goes to a new owner: who holds it, in which process, and what it holds."""

    requester: str
    boot: str
    pin: HeldPin


class Offer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An owner hands an engine over: what the successor must know before the ownership is written.

    Attributes:
        engine: Name of the engine.
        owner: Name of the present owner; it grants and orders nothing on the engine any more.
        fence: Fencing number of its ownership.
        pins: All pins.
        queue: The asks that wait, first come first.
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
        fence: Fencing number in the offer.
    """

    engine: str
    successor: str
    boot: str
    fence: int


class Moved(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An engine has a new owner; askers repeat their asks to it at once.

    Attributes:
        engine: Name of the engine.
        owner: Name of the new owner.
        boot: Nonce made at its start.
        fence: Fencing number of the new ownership.
        last: Fencing number of the one before.
    """

    engine: str
    owner: str
    boot: str
    fence: int
    previous_fence: int


class EngineSummary(msgspec.Struct, frozen=True, array_like=True):
    """What an owner tells its peers about one engine, for choosing among engines.

    Attributes:
        engine: Name of the engine.
        fence: Fencing number of the ownership.
        loaded: Adapter versions ready in slots.
        coming: Adapter versions being loaded, and those most waited for; bounded.
        free: Batch places not in use.
        queued: Asks that wait.
        wait: Seconds a new ask for a loaded adapter is expected to wait.
        incarnation: Of the engine's last report; empty before the first.
        leaving: Whether that report says that the engine takes no new work.
        backlog: Loads that asks wait for.
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
    """Tells peers that an instance lives, what it has applied and what it owns.

    Attributes:
        instance: Name of the sender.
        zone: Its availability zone.
        boot: Nonce made at its start.
        applied: Number of the last configuration change in force there.
        draining: Whether it is shutting down.
        platform: Whether it reaches the platform.
        engines: Summaries of the engines it owns.
        promised: Owners of its zone from which it has promised not to take over.
        leased: Whether the platform holds its lease; see `serving_right`.
        reaches: Whether the platform has answered of late.
        settled: Whether it has been doing so for so long that the zone knows.
        peer: Its address for messages, for those who can't read its lease.
        sent: When it was sent, by the sender's clock; means nothing to others but as an echo.
        echo: `sent` of the last heartbeat that the sender had from the receiver; 0 without one. It
            tells the receiver, by its own clock, what this heartbeat is at least as new as.
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
    """Tells a peer of a change that is in the log, so that it need not wait for its watch."""

    number: int
    sender: str
    change: Change


class LoadBid(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """An owner asks for the turn to load.

    Attributes:
        bid: Identifies the bid.
        owner: Name of the bidding instance.
        engine: Engine that is to load.
        target: Adapter version to load.
        value: Stall seconds saved per second of weight store.
    """

    bid: str
    owner: str
    engine: str
    target: AdapterVersion
    value: float


class LoadPermit(msgspec.Struct, frozen=True, tag="LoadTurn", array_like=True):
    """The turn to load is given to a bid."""

    bid: str


class LoadEnded(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The load of a bid has ended, well or not."""

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
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Returns the MessagePack form of a message."""
    return _encoder.encode(message)


def decode(frame: bytes) -> Message | None:
    """Returns the message in a frame, or None when it is not one that this version knows."""
    try:
        decoded: Message = _decoder.decode(frame)
    except msgspec.DecodeError:
        return None
    return decoded
