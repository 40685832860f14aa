"""What a gateway needs from the outside, as types and functions that a dialect implements.

A dialect knows how things are called and encoded; it decides nothing. The gateway decides and knows
no names. Outcomes of calls to the store are values: what was read or stored, a conflict, or that
the store could not be used and whether the call may still take effect.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

import msgspec
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_core.routes import RoutingTable

Headers = Sequence[tuple[bytes, bytes]]


class ObjectKind(enum.Enum):
    """The kinds of objects that the gateway uses in the store."""

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    VERSIONS = "versions"
    LEASES = "leases"
    HOLDERS = "holders"


class StoredObject(msgspec.Struct, frozen=True):
    """An object of the store; `revision` is that of its last change."""

    name: str
    revision: int
    spec: Any


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind as of a revision."""

    objects: tuple[StoredObject, ...]
    as_of: int


class Change(msgspec.Struct, frozen=True):
    """One change that a watch told of."""

    stored: StoredObject
    deleted: bool


class Changes(msgspec.Struct, frozen=True):
    """Changes of a kind up to a revision; none when the wait was over."""

    changes: tuple[Change, ...]
    as_of: int


class HistoryGone(msgspec.Struct, frozen=True):
    """The changes since the revision asked for are no longer kept; the kind must be listed."""


class Absent(msgspec.Struct, frozen=True):
    """There is no such object."""


class Conflict(msgspec.Struct, frozen=True):
    """The object has another revision, or exists already."""


class Unavailable(msgspec.Struct, frozen=True):
    """The store could not be used.

    Attributes:
        reason: Why, for the log.
        undone: Whether it is certain that nothing was or will be done.
    """

    reason: str
    no_effect: bool = False


class ObjectStore(Protocol):
    """The store of everything that must last.

    It may come back from a copy some seconds old: what was written since is gone, and revisions are
    given out again. Each time that it does, an era ends and the next one begins.
    """

    @property
    def era(self) -> int | None:
        """Returns the latest era of the store; None before its first answer."""

    async def list(self, kind: ObjectKind, stale: bool = False) -> Listing | Unavailable:
        """Returns all objects of a kind; `stale` allows what is some seconds old."""

    async def watch(
        self, kind: ObjectKind, since: int, wait: float
    ) -> Changes | HistoryGone | Unavailable:
        """Returns what changed after a revision, waiting up to `wait` seconds for a change."""

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | Absent | Unavailable:
        """Returns one object."""

    async def create(
        self, kind: ObjectKind, name: str, spec: Any
    ) -> StoredObject | Conflict | Unavailable:
        """Makes an object that must not exist."""

    async def replace(
        self, kind: ObjectKind, name: str, spec: Any, revision: int
    ) -> StoredObject | Conflict | Absent | Unavailable:
        """Replaces an object that must have the given revision."""

    async def remove(self, kind: ObjectKind, name: str, revision: int) -> bool:
        """Removes an object that must have the given revision; returns whether it is gone."""

    async def close(self) -> None:
        """Closes the connections."""


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class LoadedModel(msgspec.Struct, frozen=True):
    """A base model that an engine holds, with its version and the adapters on it."""

    model: str
    version: int
    adapters: tuple[AdapterKey, ...]


class EndpointRecord(msgspec.Struct, frozen=True):
    """What an endpoint says of itself.

    Attributes:
        endpoint: Its id.
        service: Service that it belongs to.
        address: `IP:PORT`.
        zone: Its availability zone.
        slots: Requests that it runs at once.
        state: Whether it takes new work.
        models: Models that it held when it last described itself.
        born: Time of its start by its own clock, in milliseconds; only compared with others of the
            same id, where a greater one is a later incarnation. 0 when it does not say.
    """

    endpoint: str
    service: str
    address: str
    zone: str
    slots: int
    state: EndpointState
    models: tuple[LoadedModel, ...]
    born: int = 0


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's answer about itself; some hundred milliseconds old.

    Attributes:
        sequence: Number of orders that it had accepted.
        models: Models and adapters that it held.
        pending: Adapters on their way to it.
        busy: Whether it was carrying out an order that keeps it from others.
        born: As in `EndpointRecord`.
    """

    sequence: int
    models: tuple[LoadedModel, ...]
    pending: tuple[AdapterKey, ...]
    busy: bool
    born: int = 0


class OrderResult(enum.Enum):
    """How an engine answered an order."""

    STARTED = "started"  # It is being carried out.
    HOLDS = "holds"  # What was ordered is so already, or became so at once.
    CONFLICT = "conflict"  # Another order is under way, or the sequence number differs.
    FENCED = "fenced"  # A higher fencing number was seen.
    MISDIRECTED = "misdirected"  # Another endpoint has the address, or the model is not there.
    REFUSED = "refused"  # The engine does not know such an order.
    UNKNOWN = "unknown"  # No answer: it may have been or may yet be carried out.


class Order(msgspec.Struct, frozen=True):
    """An order to an engine.

    Attributes:
        load: True for a load, false for an unload.
        key: What to load or unload; an empty adapter means the model itself.
        holder: Instance that gives the order.
        fence: Its fencing number.
        sequence: Sequence number that the engine must have; None when any will do.
    """

    load: bool
    key: AdapterKey
    holder: str
    fence: int
    sequence: int | None


class RequestTerms(msgspec.Struct, frozen=True):
    """What a caller's headers ask for.

    Attributes:
        request_id: Id of this try of the caller; empty when it sent none.
        wait: Seconds for which the caller will wait; None when it does not say.
        model: Base model; empty when the request is for none.
        adapter: Adapter of it; empty for the model itself.
        prompt_tokens: Length of the prompt.
        output_tokens: Greatest length of the output.
        shared_tokens: Tokens of the prompt before its last part.
        resumed: Whether the caller itself goes on with a stream.
        tokens: Tokens that a quota counts; None when the caller does not say.
    """

    request_id: str
    wait: float | None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_tokens: int = 0
    resumed: bool = False
    tokens: int | None = None


class Dispatch(msgspec.Struct, frozen=True):
    """What the system tells an endpoint of a request, besides what the caller sent.

    Attributes:
        endpoint: Id of the endpoint that is meant.
        left: Seconds until the answer is of no use.
        priority: Rank among the requests of the engine; None for other endpoints.
        version: Version of the adapter that must run; 0 for any.
        resume_after: Id of the last event that the caller has; empty at the beginning.
        keyed: Whether callers show keys, which endpoints must not see.
        team: Team for which the request is made; empty for none.
    """

    endpoint: str
    time_left: float
    priority: int | None = None
    version: int = 0
    resume_after: str = ""
    requires_key: bool = False
    team: str = ""


class Verdict(enum.Enum):
    """What the head of an endpoint's answer says."""

    ANSWER = "answer"  # To be passed on.
    FAILURE = "failure"  # The endpoint ran the request and failed; passed on if it is the last try.
    NOT_RUN = "not_run"  # The endpoint did not run it: full, late, or not ready for it.
    MISDIRECTED = "misdirected"  # Not run: another endpoint, or it lacks the adapter or version.
    UNUSABLE = "unusable"  # Unsigned, encoded, or a promise of "not run" without its proof.
    FOREIGN = "foreign"  # The answer belongs to another request.


class ResponseHead(msgspec.Struct, frozen=True):
    """Status line and headers of an answer; names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Returns the first header of a name."""
        return next((value for key, value in self.headers if key == name), None)


class Notice(msgspec.Struct, frozen=True):
    """What an endpoint says of itself in the head of an answer, whatever was asked.

    Attributes:
        leaving: Whether it is about to end.
        rest: Seconds for which it wants nothing from this instance; 0 for none.
        limit: Requests a second that it takes from all instances together; None for any number.
    """

    leaving: bool = False
    cooldown: float = 0.0
    limit: float | None = None


class Dialect(msgspec.Struct, frozen=True):
    """How callers and endpoints spell things: the functions that translate.

    Attributes:
        decode_configuration: Object to the routes of one version; raises ValueError.
        decode_endpoint: Object to an endpoint's own description; raises ValueError.
        decode_version: Object to the newest version of an adapter; raises ValueError.
        read_terms: Headers of a caller's request, names in lower case, to its terms.
        read_key: Headers of a caller's request to its API key; None when it has none, or not one
            that can be read.
        forward: Headers of a caller's request to those for the endpoint.
        judge: Request id and head of an answer to a verdict.
        read_notice: Head of an answer to what the endpoint says of itself in it; None where another
            endpoint may have sent it.
        order_body: An order to its body.
        order_result: Status of the answer to an order to its meaning.
        decode_report: Body of a report; raises ValueError.
        order_path: Path of orders.
        report_path: Path of reports.
        ready_path: Path at which the balancer asks whether to send callers here.
        identity: Header that names the endpoint that a request is meant for.
    """

    decode_configuration: Callable[[StoredObject], RoutingTable]
    decode_endpoint: Callable[[StoredObject], EndpointRecord]
    decode_version: Callable[[StoredObject], AdapterKey]
    read_terms: Callable[[Mapping[str, str]], RequestTerms]
    read_key: Callable[[Headers], str | None]
    endpoint_headers: Callable[[Headers, Dispatch], list[tuple[bytes, bytes]]]
    classify_response: Callable[[str, ResponseHead], Verdict]
    read_notice: Callable[[ResponseHead], Notice | None]
    order_body: Callable[[Order], bytes]
    order_result: Callable[[int], OrderResult]
    decode_report: Callable[[bytes], EngineReport]
    order_path: str
    report_path: str
    ready_path: str
    identity_header: bytes
