"""What the page `/route` is asked, and what it answers, as JSON.

`wigeonctl route` reads the same documents by the names of their fields; a test compares the two.
Fields may be added; readers skip those that they don't know. Times are in seconds. An infinite age,
of what was never known, is `null`.
"""

from __future__ import annotations

import enum
from typing import Final

import msgspec

# Bytes of a question. The largest head that callers may send has some kilobytes.
MAX_QUERY_BYTES: Final = 32 * 1024
MAX_HEADERS: Final = 100
MAX_LISTED_CANDIDATES: Final = 100  # Endpoints in one answer.

Figure = bool | int | float | str | None


class RouteQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request as its caller would send it, or as far as logs tell of it.

    Attributes:
        host: Host that the request names.
        path: Its path; a query after `?` is ignored.
        method: HTTP method.
        headers: Its headers that matter, in order.
        team: Name of its team; empty to go by the key.
        key: API key, which goes before one in the headers; empty for none.
        route: Name of the route, in place of host and path; empty to go by those.
        service: Service of the route's split; empty to draw one.
        model: Base model, where the headers name none.
        adapter: Adapter, where the headers name none.
        tokens: Units that it counts as against a quota of tokens, where the headers don't say.
        content: Hash of the request as logs name it, by which it may be in quarantine.
        seed: Seed of all random draws, so that instances that know the same choose the same.
    """

    host: str = ""
    path: str = "/"
    method: str = "GET"
    headers: tuple[tuple[str, str], ...] = ()
    team: str = ""
    key: str = ""
    route: str = ""
    service: str = ""
    model: str = ""
    adapter: str = ""
    tokens: int | None = None
    content: str = ""
    seed: int = 0

    def __repr__(self) -> str:
        """Returns a text without the key, which headers may hold, too."""
        return f"RouteQuery(host={self.host!r}, path={self.path!r}, route={self.route!r})"


class Problem(enum.StrEnum):
    """Why a request can't be what the operator meant."""

    UNKNOWN_HOST = "unknown_host"  # No route has the host.
    UNKNOWN_ROUTE = "unknown_route"  # No route has the path or the name.
    UNKNOWN_SERVICE = "unknown_service"  # The service is not one of the route's, or not configured.
    UNKNOWN_TEAM = "unknown_team"  # No team has the name.
    UNKNOWN_MODEL = "unknown_model"  # The service's engines can't hold the model.
    UNKNOWN_ADAPTER = (
        "unknown_adapter"  # It was never published, and no engine is known to have it.
    )


class Action(enum.StrEnum):
    """What happens to a request now."""

    SEND = "send"  # It is sent to the endpoint.
    LOAD = "load"  # It waits for the endpoint to load its adapter.
    HOLD_BACK = "hold_back"  # It waits for the endpoint to read other prompts, then goes there.
    WAIT = "wait"  # It waits until any endpoint can take it.
    HAND_OVER = "hand_over"  # It goes to a peer, as this instance reaches no endpoint.


class Knowledge(msgspec.Struct, frozen=True):
    """How up to date the instance is.

    Attributes:
        configuration: Version of the configuration in force; None if there is none.
        configuration_age: Seconds since it was last known to be that of the store.
        confirmed_by: Who confirmed that.
        may_be_behind: Whether a newer configuration may be in force elsewhere for too long.
        endpoints_age: Seconds since the list of endpoints was last known to be that of the store.
        peer_lag: Age of what other instances reported of their requests, in seconds.
    """

    configuration: int | None
    configuration_age: float
    confirmed_by: str
    may_be_behind: bool
    endpoints_age: float
    peer_lag: float


class RouteFacts(msgspec.Struct, frozen=True):
    """The route of a request, as configured, and its service.

    Attributes:
        name: Name of the route.
        host: Its host.
        prefix: Its path prefix.
        kind: Whether requests may be sent again, and whether responses are streams.
        service: Service that serves this request.
        split: Weights of all services of the route.
        objective: Latency objective, in seconds.
        timeout: Longest time until the end of the response, in seconds.
        attempts: Greatest number of endpoints that one request may be sent to.
        rank: Priority of the request by its team or route; 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: str
    service: str
    split: dict[str, int]
    objective: float
    timeout: float
    attempts: int
    rank: int


class GenerationFacts(msgspec.Struct, frozen=True):
    """What a generation needs.

    Attributes:
        model: Base model.
        adapter: Adapter; empty for the model itself.
        version: Newest published version of the adapter; 0 if there is none.
        prompt_tokens: Length of the prompt.
        output_tokens: Greatest length of the output.
        parts: Number of the prompt's parts that it may share with others.
    """

    model: str
    adapter: str
    version: int
    prompt_tokens: int
    output_tokens: int
    parts: int


class AdmissionFacts(msgspec.Struct, frozen=True):
    """How admission decides.

    Attributes:
        decision: `admitted`, `denied` or `deferred`; `waits` if it waits for its team's quota and
            is decided on again; `unknown` if only the coordinator knows.
        team: Team; empty if the request needs none or its key is not accepted.
        cost: Units that the request costs; None without a quota.
        left: Units that are left of the quota here; None if only the coordinator knows.
        rate: Units a second of the quota; None without one.
        burst: Units that the quota allows in addition; None without one.
        wait: Seconds until the quota is expected to cover the request.
        coordinator: Instance that keeps the quota; empty without one.
    """

    decision: str
    team: str = ""
    cost: float | None = None
    left: float | None = None
    rate: float | None = None
    burst: float | None = None
    wait: float = 0.0
    coordinator: str = ""


class CandidateFacts(msgspec.Struct, frozen=True):
    """An endpoint of the service, and what decides whether it gets the request.

    Attributes:
        endpoint: Its id.
        address: Its address.
        zone: Its availability zone.
        state: Whether it accepts new requests.
        software: Version of its software; empty if unknown.
        usable: Whether it may take the request now.
        paused: Whether nothing is sent there, after failures to reach it.
        pause_left: Seconds until that ends.
        cooldown: Seconds for which it asked this instance to send nothing.
        limit_wait: Seconds until its cooldown or rate limit allows a request.
        part_hold_left: Seconds for which a part of the prompt is held back there.
        expected: Expected wait of the request there, with all costs; None if it can't go there or
            the service is a plain one.
        crowded: Whether another prompt would make streams there pause for too long.
        owner: Instance that owns the engine; empty for none.
        owner_heard: Seconds since the owner reported its adapters; None for plain services.
        figures: What the choice is based on, by the names of the fields in `core`; empty if there
            is none, as an engine without the model is no candidate.
    """

    endpoint: str
    address: str
    zone: str
    state: str
    software: str
    usable: bool
    paused: bool
    pause_left: float
    cooldown: float
    limit_wait: float
    part_hold_left: float
    expected: float | None = None
    crowded: bool = False
    owner: str = ""
    owner_heard: float | None = None
    figures: dict[str, Figure] = {}


class Choice(msgspec.Struct, frozen=True):
    """What is done with a request that is admitted.

    Attributes:
        action: What is done.
        endpoint: The endpoint, or the peer; empty for none.
        expected: Expected wait there, with all costs; None if it is not estimated.
        crowded: Whether another prompt would make streams there pause for too long.
        waits_for: Seconds after which the request is refused if nothing changes; 0 if it is sent.
    """

    action: Action
    endpoint: str = ""
    expected: float | None = None
    crowded: bool = False
    waits_for: float = 0.0


class Refusal(msgspec.Struct, frozen=True):
    """The response of the instance itself.

    Attributes:
        status: HTTP status.
        reason: Reason, as in logs and metrics.
        text: Reason for the caller.
        retry_after: Seconds after which to retry; None if to retry does not help.
    """

    status: int
    reason: str
    text: str
    retry_after: float | None = None


class RouteAnswer(msgspec.Struct, frozen=True):
    """Where a request would go now, and why.

    Attributes:
        instance: Instance that answers.
        zone: Its availability zone.
        known: How up to date it is.
        problems: Why the request can't be what was meant.
        refusal: The response, if the request is refused at once; else None.
        route: Its route; None if it has none.
        generation: What it needs of an engine; None for a request to a plain service.
        admission: How admission decides; None without a route.
        choice: Where it goes if it is admitted; None without a route, and if it is refused.
        runner_up: Where it goes if that endpoint refuses it; None if nowhere else.
        service_time: Seconds that a request of a plain service takes; None while unknown.
        candidate_count: Number of the service's endpoints, also of those that are not listed.
        candidates: Endpoints of the service, those that count most first.
        notes: What this answer leaves out.
    """

    instance: str
    zone: str
    known: Knowledge
    problems: tuple[Problem, ...] = ()
    refusal: Refusal | None = None
    route: RouteFacts | None = None
    generation: GenerationFacts | None = None
    admission: AdmissionFacts | None = None
    choice: Choice | None = None
    runner_up: Choice | None = None
    service_time: float | None = None
    candidate_count: int = 0
    candidates: tuple[CandidateFacts, ...] = ()
    notes: tuple[str, ...] = ()


class QueryError(msgspec.Struct, frozen=True):
    """Why a question is not answered; never a part of it, which may hold a key."""

    error: str
