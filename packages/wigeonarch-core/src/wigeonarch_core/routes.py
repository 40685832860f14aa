"""Routes from host and path prefix to services, as an operator configures them.

A configuration is replaced as a whole, so a request sees the routes of a single version. Of the
routes for a request's host, the one with the longest prefix of the path applies. Prefixes end with
a slash, so a lookup only tries the path cut at each slash, the longest first, instead of searching
all routes.

Example: with the prefixes `/a/` and `/a/b/`, the path `/a/b/c` gets the route of `/a/b/` and `/a/x`
that of `/a/`; `/ab` has no route.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from wigeonarch_core.teams import Teams

SLASH = "/"


class RouteKind(enum.StrEnum):
    """Whether requests of a route may be sent again, and whether their responses are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Where requests with a host and path prefix go, and how they are handled.

    Attributes:
        name: Name of the route.
        host: Host that the request names, in lower case and without a port.
        prefix: Beginning of the path; begins and ends with a slash.
        kind: Whether requests may be sent again, and whether responses are streams.
        split: Services with their weights; one entry for a route that is not split.
        attempts: Greatest number of endpoints that one request may be sent to.
        timeout: Longest time until the end of the response, in seconds.
        objective: Latency objective of the response, or of the first event of a stream, in seconds.
        priority: Priority of the request; 0 is the most urgent.
        resumable: Whether another endpoint may resume a stream.
        largest_pause: Longest allowed pause between events of a stream, in seconds; 0 if unlimited.
        public: Whether requests need no API key.
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
        name: Name of the model.
        weights_mb: Size of its weights, in MB.
        load_time: Time of a load from the weight store, in seconds.
        adapter_mb: Size of one adapter, in MB.
    """

    name: str
    weights_mb: float
    load_time: float
    adapter_mb: float


class EngineSpec(msgspec.Struct, frozen=True):
    """Capacity of each engine of a service.

    Attributes:
        batch: Requests that run at the same time.
        kv_tokens: Tokens that fit into the KV cache.
        weights_mb: Memory for weights and adapters, in MB.
        places: Adapters that fit at the same time, including those being loaded.
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
    """A service; `engine` is None for a plain service."""

    name: str
    max_connections: int
    engine: EngineSpec | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on requests and connections of callers.

    Attributes:
        header_bytes: Largest request head, in bytes.
        body_bytes: Largest body, in bytes.
        idle_time: Seconds for which an idle connection is kept.
        header_time: Seconds that a request head may take.
    """

    header_bytes: int
    body_bytes: int
    idle_time: float
    header_time: float = 5.0


class RoutingTable:
    """One version of the routes and services; immutable.

    Attributes:
        version: Version of the configuration.
        services: Services by name.
        limits: Limits on requests and connections of callers.
        teams: The teams; None if callers need no keys.
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
        """Returns the route of a request, or None if it has none.

        Args:
            host: Host that the request names; its port and case are ignored.
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
    """Returns the service for one request of a route, chosen by the weights of the split.

    Args:
        route: The route.
        draw: Uniform in [0, 1), the same for all tries of one request.
    """
    total = sum(share.weight for share in route.split)
    point = draw * total
    for share in route.split:
        point -= share.weight
        if point < 0:
            return share.service
    return route.split[-1].service
