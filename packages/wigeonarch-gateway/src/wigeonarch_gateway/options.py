"""Options of a gateway process, which are checked once before a socket is opened."""

from __future__ import annotations

import math
from typing import Final

import msgspec
from wigeonarch_core.quota_ledger import QuotaBounds

# Seconds. Longest retry pause where an instance must be up to date within a short time; settings
# may raise it where that time is longer.
DEFAULT_RETRY_MOST: Final = 1.6


class RetryOptions(msgspec.Struct, frozen=True):
    """Retry budget of all instances together: `share` of the new requests plus `allowance`.

    Attributes:
        share: Retries per new request.
        allowance: Additional retries per window.
        window: Length of the sliding window, in seconds.
    """

    share: float = 0.2
    allowance: float = 50.0
    window: float = 10.0


MAX_EXTRA_TRY_SHARE: Final = 0.2  # Above this, extra tries would be a load of their own.


class ExtraTryOptions(msgspec.Struct, frozen=True):
    """Limit on extra tries: requests that are sent to a second endpoint as their answer is slow.

    Attributes:
        share: Extra tries per request of a service, over all instances; 0 for none.
        window: Length of the sliding window, in seconds.

    Raises:
        ValueError: A value is out of its range; the message names the field.
    """

    share: float = 0.0
    window: float = 10.0

    def __post_init__(self) -> None:
        if not 0.0 <= self.share <= MAX_EXTRA_TRY_SHARE:
            raise ValueError(f"share: {self.share!r} is not from 0 to {MAX_EXTRA_TRY_SHARE}")
        if not 0.0 < self.window < math.inf:
            raise ValueError(f"window: {self.window!r} is not a positive number of seconds")


# Seconds that a call to the store and the handling of its answer take at most, beside its wait.
STORE_CALL_TIME: Final = 1.0


class LeaseOptions(msgspec.Struct, frozen=True):
    """Times of leases and takeovers, in seconds.

    Attributes:
        term: Term of a lease. With a shorter term, the endpoints of a lost instance are taken over
            sooner. Promises bridge outages of the store, so a term needs room for only a few
            renewals.
        margin: Allowance for differences in clock rates and for a check that runs late.
        renewal: Time between renewals.
        pause: Time without orders after a takeover, which the operators of endpoints require.
    """

    term: float = 4.5
    margin: float = 0.4
    renewal: float = 2.0
    pause: float = 3.3


class PropagationBounds(msgspec.Struct, frozen=True):
    """Times within which an accepted change must be in force everywhere, in seconds."""

    endpoints: float = 2.0
    configuration: float = 2.0
    versions: float = 5.0


class StoreOptions(msgspec.Struct, frozen=True):
    """Times of the watches of the store, in seconds.

    Attributes:
        watch: Longest wait of one watch call. A connection that stays silent is noticed only when
            the wait is over, but each call has a cost, even one that only waits.
        watch_configuration: Longest wait of one watch call for the configuration. It is shorter
            because a new configuration must be in force within two seconds, even if a watch
            never reports it.
        batch_pause: Pause after changes of endpoints, so that several changes cost one call.
        propagation: Time from the store's acceptance of a change (a leaving endpoint, a
            configuration, a version) until each instance that reaches the store must act on it.
            State that a follower receives from its watcher may not be older than this, less the
            time that the follower's own call takes.
        retry: Pause after a failed call.
        retry_most: Longest pause after failed calls of an instance that follows a watcher; the
            pause doubles with each failure up to this.
        return_time: Time after an outage within which a missing endpoint may still come back.
        lapse: Least time without the store after which an endpoint's entry can expire: three
            heartbeats of 1.2 s, of which half of the first may already have passed.
        contact: Time in contact with the store after which an instance must act on what the store
            accepts within the times of `propagation`.
    """

    watch: float = 3.5
    watch_configuration: float = 1.4
    batch_pause: float = 0.9
    retry: float = 0.25
    retry_most: float = DEFAULT_RETRY_MOST
    return_time: float = 2.2
    lapse: float = 3.0
    contact: float = 3.0
    propagation: PropagationBounds = msgspec.field(default_factory=PropagationBounds)

    @property
    def endpoints_age(self) -> float:
        """Returns the age that the state of endpoints has at most while the store answers."""
        return self.watch + self.batch_pause + STORE_CALL_TIME


class Options(msgspec.Struct, frozen=True):
    """All options that a gateway is started with.

    Attributes:
        instance: Name of this instance, unique in the deployment and kept over restarts.
        zone: Its availability zone.
        ip: Address that its sockets bind to.
        front: `IP:PORT` of the server for callers.
        ready: `IP:PORT` of the readiness check that the load balancer calls.
        peer_port: Port for messages between instances, the same on all.
        metrics_port: Port of the metrics.
        seeds: Addresses of some instances, which may be outdated.
        grace: Time from SIGTERM to the end of the process, in seconds.
        unready_detection_time: Time after SIGTERM in which the load balancer may still send callers
            here, in seconds. It checks every second and removes an instance after two failed
            checks.
        log_level: Lowest level of events that are logged.
        memory_mb: Memory of this machine, in MB; 0 for that of the smallest known.
        descriptors: Descriptors that this process may open; 0 to ask the operating system.
        zones: Availability zones of the deployment, which share each quota equally.
        quotas: Bounds on how far all instances together may exceed a quota.
        retries: Retry budget.
        extra_tries: Limit on requests that are sent to a second endpoint.
        leases: Times of leases and takeovers.
        store: Times of the watches of the store.
    """

    instance: str
    zone: str
    ip: str
    front: str
    ready: str
    peer_port: int
    metrics_port: int
    seeds: tuple[str, ...] = ()
    grace: float = 8.0
    unready_detection_time: float = 2.6
    log_level: str = "INFO"
    memory_mb: float = 0.0
    descriptors: int = 0
    zones: int = 1
    quotas: QuotaBounds = msgspec.field(default_factory=QuotaBounds)
    retries: RetryOptions = msgspec.field(default_factory=RetryOptions)
    extra_tries: ExtraTryOptions = msgspec.field(default_factory=ExtraTryOptions)
    leases: LeaseOptions = msgspec.field(default_factory=LeaseOptions)
    store: StoreOptions = msgspec.field(default_factory=StoreOptions)
