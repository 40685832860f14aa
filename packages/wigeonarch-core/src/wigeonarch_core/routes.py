"""Routes by host and path prefix to services, as an operator configures them.

A configuration arrives whole and replaces the one before it, so a request sees the routes of one
version only. The route of a request is the one of its host with the longest prefix that begins its
path; prefixes end with a slash, so they can be looked up from the longest cut of the path down
without a search over all routes.

Example: with the prefixes `/a/` and `/a/b/`, the path `/a/b/c` has the route of `/a/b/` and `/a/x`
the one of `/a/`; `/ab` has none.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from wigeonarch_core.teams import Teams

SLASH = "/"


class RouteKind(enum.StrEnum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its weight in the split of a route."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Where requests of a host and path prefix go, and on which terms.

    Attributes:
        name: Name of the route.
        host: Host that the request names, in lower case and without a port.
        prefix: Beginning of the path; begins and ends with a slash.
        kind: What may be repeated.
        split: Services with their weights; one entry for a route that is not split.
        attempts: Greatest number of endpoints that one request may be sent to.
        timeout: Longest time until the final answer, in seconds.
        objective: Time to the answer, or to the first event, that counts as prompt, in seconds.
        priority: Rank of the request; 0 is the most urgent.
        resumable: Whether a stream may go on at another endpoint.
        largest_pause: Longest pause between events that counts as prompt, in seconds; 0 if none.
        public: Whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    split: tuple[WeightedService, ...]
    attempts: int
    timeout: float
    objective: float
    priority: int
    resumable: bool = False
    largest_pause: float = 0.0
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Tells whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT


class ModelSpec(msgspec.Struct, frozen=True):
    """A base model that a service's engines can hold.

    Attributes:
        name: Its name.
        weights_mb: Size of its weights, in MB.
        load_time: Time of a load from the weight store, in seconds.
        adapter_mb: Size of one adapter, in MB.
    """

    name: str
    weights_mb: float
    load_time: float
    adapter_mb: float


class EngineSpec(msgspec.Struct, frozen=True):
    """What the engines of a service can do.

    Attributes:
        batch: Requests that run at once.
        kv_tokens: Tokens that fit into the KV cache.
        weights_mb: Memory for weights and adapters, in MB.
        places: Adapters that fit at once; loads under way count.
        loads_per_second: Loads of base models that the weight store allows over all engines.
        models: Models that the engines can hold.
    """

    batch: int
    kv_tokens: int
    weights_mb: float
    places: int
    loads_per_second: float
    models: tuple[ModelSpec, ...]


class ServiceSpec(msgspec.Struct, frozen=True):
    """A service; `engine` is None for one that serves no models."""

    name: str
    max_connections: int
    engine: EngineSpec | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle.

    Attributes:
        header_bytes: Largest head of a request, in bytes.
        body_bytes: Largest body, in bytes.
        idle_time: Seconds for which an idle connection is kept.
    """

    header_bytes: int
    body_bytes: int
    idle_time: float


class RoutingTable:
    """One version of the routes and services; never changed after it is made.

    Attributes:
        version: Version of the configuration.
        services: Services by name.
        limits: What callers may send.
        teams: The teams; None where callers need no keys.
    """

    __slots__ = ("_hosts", "limits", "services", "teams", "version")

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceSpec],
        limits: ClientLimits,
        teams: Teams | None = None,
    ) -> None:
        self.version = version
        self.teams = teams
        self.limits = limits
        self.services = {service.name: service for service in services}
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, or None.

        Args:
            host: Host that the request names; a port and the case are ignored.
            path: Path without its query.
        """
        prefixes = self._hosts.get(bare_host(host))
        if prefixes is None:
            return None
        end = path.rfind(SLASH)
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind(SLASH, 0, end)
        return None

    def routes(self) -> list[Route]:
        """Returns all routes."""
        return [route for prefixes in self._hosts.values() for route in prefixes.values()]


def bare_host(host: str) -> str:
    """Returns a host in lower case and without its port."""
    return host.partition(":")[0].lower()


def pick_service(route: Route, draw: float) -> str:
    """Returns the service for one request of a route.

    Args:
        route: The route.
        draw: Uniform in [0, 1), the same for all tries of one request.
    """
    total = sum(share.weight for share in route.split)
    mark = draw * total
    for share in route.split:
        mark -= share.weight
        if mark < 0:
            return share.service
    return route.split[-1].service
