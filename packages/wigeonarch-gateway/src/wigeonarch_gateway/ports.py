"""Interfaces to everything outside the gateway: the store, callers and endpoints.

A dialect implements their formats: it knows names and encodings and makes no decisions. The gateway
makes the decisions and knows no names. Calls to the store return their outcome as a value: what was
read or stored, a conflict, or that the store could not be used and whether the call may still take
effect.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final, Protocol

import msgspec
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_core.routes import RoutingTable

Headers = Sequence[tuple[bytes, bytes]]
EVENT_STREAM: Final = b"text/event-stream"


class ObjectKind(enum.Enum):
    """Kinds of objects in the store that the gateway uses."""

    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    VERSIONS = "versions"
    LEASES = "leases"
    HOLDERS = "holders"


class StoredObject(msgspec.Struct, frozen=True):
    """An object in the store; `revision` is that of its last change."""

    name: str
    revision: int
    spec: Any


class Listing(msgspec.Struct, frozen=True):
    """All objects of a kind as of a revision."""

    objects: tuple[StoredObject, ...]
    as_of: int


class Change(msgspec.Struct, frozen=True):
    """One change of an object that a watch returned."""

    stored: StoredObject
    deleted: bool


class Changes(msgspec.Struct, frozen=True):
    """Changes of a kind up to a revision; none if the wait ended without a change."""

    changes: tuple[Change, ...]
    as_of: int


class HistoryGone(msgspec.Struct, frozen=True):
    """The store no longer keeps the changes since the revision; the kind must be listed."""


class Absent(msgspec.Struct, frozen=True):
    """The object does not exist."""


class Conflict(msgspec.Struct, frozen=True):
    """The object has another revision than expected, or already exists."""


class Unavailable(msgspec.Struct, frozen=True):
    """The store could not be used.

    Attributes:
        reason: Reason for the log.
        no_effect: Whether it is certain that the call had and will have no effect.
        answered: Whether the store did answer, but the answer can't be used.
    """

    reason: str
    no_effect: bool = False
    answered: bool = False


class ObjectStore(Protocol):
    """The platform's object store, which holds all durable state.

    The store may come back from a copy that is some seconds old. What was written since is then
    lost, and revisions are used again. Each time this happens, the next era begins.
    """

    @property
    def era(self) -> int | None:
        """The latest era of the store; None before its first answer."""

    async def list(self, kind: ObjectKind, stale: bool = False) -> Listing | Unavailable:
        """Returns all objects of a kind; with `stale` the result may be some seconds old."""

    async def watch(
        self, kind: ObjectKind, since: int, wait: float
    ) -> Changes | HistoryGone | Unavailable:
        """Returns the changes after a revision; waits up to `wait` seconds for one."""

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | Absent | Unavailable:
        """Returns an object."""

    async def create(
        self, kind: ObjectKind, name: str, spec: Any
    ) -> StoredObject | Conflict | Unavailable:
        """Creates an object that must not exist yet."""

    async def replace(
        self, kind: ObjectKind, name: str, spec: Any, revision: int
    ) -> StoredObject | Conflict | Absent | Unavailable:
        """Replaces an object that must have the given revision."""

    async def remove(self, kind: ObjectKind, name: str, revision: int) -> bool:
        """Removes an object that must have the given revision; returns whether it is gone."""

    async def close(self) -> None:
        """Closes the connections."""


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


class LoadedModel(msgspec.Struct, frozen=True):
    """A base model that an engine has loaded, with its version and its loaded adapters."""

    model: str
    version: int
    adapters: tuple[AdapterKey, ...]


class EndpointRecord(msgspec.Struct, frozen=True):
    """An endpoint's description of itself.

    Attributes:
        endpoint: Its id.
        service: Service that it belongs to.
        address: `IP:PORT`.
        zone: Its availability zone.
        slots: Number of requests that it runs at once.
        state: Whether it accepts new requests.
        models: Models that were loaded when it last wrote its description.
        software: Version of its software; empty if unknown.
        born: Time of its start by its own clock, in milliseconds; 0 if unknown. It is compared only
            with that of the same endpoint id, where a greater value means a later incarnation.
    """

    endpoint: str
    service: str
    address: str
    zone: str
    slots: int
    state: EndpointState
    models: tuple[LoadedModel, ...]
    born: int = 0
    software: str = ""


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report of its state, which is some hundred milliseconds old.

    Attributes:
        sequence: Number of orders that it had accepted.
        models: Models and adapters that were loaded.
        pending: Adapters that were being loaded.
        busy: Whether it was executing an order and accepted no other.
        born: Start time, as in `EndpointRecord`.
    """

    sequence: int
    models: tuple[LoadedModel, ...]
    pending: tuple[AdapterKey, ...]
    busy: bool
    born: int = 0


class OrderResult(enum.Enum):
    """An engine's response to an order."""

    STARTED = "started"  # The order is being executed.
    HOLDS = "holds"  # The ordered state exists already, or was reached at once.
    CONFLICT = "conflict"  # Another order is being executed, or the sequence number differs.
    FENCED = "fenced"  # The engine has seen a higher fencing token.
    MISDIRECTED = "misdirected"  # Another endpoint has the address, or the model is missing.
    REFUSED = "refused"  # The engine does not know such an order.
    UNKNOWN = "unknown"  # No answer: the order may have been executed or may yet be.


class Order(msgspec.Struct, frozen=True):
    """An order to an engine.

    Attributes:
        load: True to load, False to unload.
        key: What to load or unload; an empty adapter means the model itself.
        holder: Instance that gives the order.
        fence: Fencing token of that instance.
        sequence: Sequence number that the engine must have.
    """

    load: bool
    key: AdapterKey
    holder: str
    fence: int
    sequence: int


class RequestTerms(msgspec.Struct, frozen=True):
    """What a caller's request headers specify.

    Attributes:
        request_id: Id of this attempt of the caller; empty if it sent none.
        wait: Seconds for which the caller will wait; None if not stated.
        model: Base model; empty if the request needs none.
        adapter: Adapter of the model; empty for the model itself.
        prompt_tokens: Length of the prompt.
        output_tokens: Greatest length of the output.
        shared_tokens: Tokens of the prompt before its last part.
        parts: Ids of the prompt's parts in order, without the last, which is specific to the
            request; each only once.
        resumed: Whether the caller itself resumes a stream.
        resumes: Id of the caller's attempt that brought the first event of the resumed stream;
            empty if not stated.
        tokens: Tokens that count against a quota; None if not stated.
    """

    request_id: str
    wait: float | None
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_tokens: int = 0
    parts: tuple[str, ...] = ()
    resumed: bool = False
    resumes: str = ""
    tokens: int | None = None


class Dispatch(msgspec.Struct, frozen=True):
    """What the gateway adds to a request that it dispatches to an endpoint.

    Attributes:
        endpoint: Id of the endpoint that the request is meant for.
        time_left: Seconds until the deadline.
        priority: Rank among the requests of the engine; None for plain services.
        version: Version of the adapter that must run; 0 for any.
        resume_after: Id of the last event that the caller has received; empty at the beginning.
        requires_key: Whether callers send API keys, which endpoints must not see.
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
    """What the head of an endpoint's response means."""

    ANSWER = "answer"  # The response is forwarded to the caller.
    FAILURE = "failure"  # The endpoint ran it and failed; forwarded after the last dispatch.
    NOT_RUN = "not_run"  # The endpoint did not run it: full, too late, or not ready for it.
    MISDIRECTED = "misdirected"  # Not run: another endpoint, or the adapter or version is missing.
    UNUSABLE = "unusable"  # Unsigned, encoded, or "not run" without the proof of it.
    FOREIGN = "foreign"  # The response belongs to another request.


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of the first header with a name; None if there is none."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def is_event_stream(self) -> bool:
        """Tells whether the body is a stream of server-sent events."""
        return self.status == 200 and (self.get(b"content-type") or b"").startswith(EVENT_STREAM)


class Notice(msgspec.Struct, frozen=True):
    """What an endpoint states about itself in the head of any response.

    Attributes:
        leaving: Whether it is about to shut down.
        cooldown: Seconds for which it wants no calls from this instance; 0 for none.
        limit: Requests per second that it accepts from all instances together; None for no limit.
        tolerated: Rejections per second above which it crashes; None if it states none.
        unreadable: Whether it states such a number that can't be read.
    """

    leaving: bool = False
    cooldown: float = 0.0
    limit: float | None = None
    tolerated: int | None = None
    unreadable: bool = False


class Dialect(msgspec.Struct, frozen=True):
    """Names and encodings used by callers, endpoints and the store.

    Attributes:
        decode_configuration: Decodes a stored configuration into its routes; raises ValueError.
        decode_endpoint: Decodes an endpoint's stored description; raises ValueError.
        decode_version: Decodes a stored newest version of an adapter; raises ValueError.
        read_terms: Reads the terms from a caller's request headers, with names in lower case.
        read_key: Reads the API key from a caller's request headers; None if there is none, or none
            that can be read.
        endpoint_headers: Converts a caller's request headers to those for the endpoint.
        classify_response: Determines the verdict on a response from the id of the request and the
            head of the response.
        answered_id: Reads the id of the request that a response names; None if it names none.
        read_notice: Reads what the endpoint states about itself from a response head; None if
            another endpoint may have sent it.
        order_body: Encodes an order as a request body.
        order_result: Interprets the status of the response to an order.
        decode_report: Decodes the body of a report; raises ValueError.
        order_path: Path of orders.
        report_path: Path of reports.
        ready_path: Path of the readiness check that the load balancer calls.
        identity_header: Header that names the endpoint that a request is meant for.
    """

    decode_configuration: Callable[[StoredObject], RoutingTable]
    decode_endpoint: Callable[[StoredObject], EndpointRecord]
    decode_version: Callable[[StoredObject], AdapterKey]
    read_terms: Callable[[Mapping[str, str]], RequestTerms]
    read_key: Callable[[Headers], str | None]
    endpoint_headers: Callable[[Headers, Dispatch], list[tuple[bytes, bytes]]]
    classify_response: Callable[[str, ResponseHead], Verdict]
    answered_id: Callable[[ResponseHead], str | None]
    read_notice: Callable[[ResponseHead], Notice | None]
    order_body: Callable[[Order], bytes]
    order_result: Callable[[int], OrderResult]
    decode_report: Callable[[bytes], EngineReport]
    order_path: str
    report_path: str
    ready_path: str
    identity_header: bytes
