"""Options of a gateway process, checked once, before a socket opens."""

from __future__ import annotations

from typing import Final

import msgspec
from wigeonarch_core.quota_ledger import QuotaBounds

DEFAULT_RETRY_MOST: Final = (
    1.6  # Seconds, where the time in which an instance must be up to date is short.
)


class RetryOptions(msgspec.Struct, frozen=True):
    """Bound on repeated sends over all instances: `share` of the fresh ones plus `allowance`.

    Attributes:
        share: Repeats per fresh request.
        allowance: Repeats besides, per window.
        window: Length of the sliding window, in seconds.
    """

    share: float = 0.2
    allowance: float = 50.0
    window: float = 10.0


class LeaseOptions(msgspec.Struct, frozen=True):
    """Times of leases and takeovers, in seconds.

    Attributes:
        term: Term of a lease. Shorter ones move the endpoints of a lost instance sooner; outages of
            the store are bridged by promises, so only a few renewals must fit.
        margin: Allowance for clock rates and for a check that comes late.
        renewal: Time between renewals.
        pause: Time without orders after a takeover, which endpoints' operators demand.
    """

    term: float = 4.5
    margin: float = 0.4
    renewal: float = 2.0
    pause: float = 3.3


class PropagationBounds(msgspec.Struct, frozen=True):
    """Times within which what the store accepted must be in force everywhere, in seconds."""

    endpoints: float = 2.0
    configuration: float = 2.0
    versions: float = 5.0


class StoreOptions(msgspec.Struct, frozen=True):
    """Times of the watches of the store, in seconds.

    Attributes:
        watch: Longest wait of one watch call. A connection that went silent for good is noticed
            only when the wait is over; each call has a price, also one that only waits.
        watch_configuration: The same for the configuration: a new one must be in force within two
            seconds, also where a watch hears nothing of it.
        gather: Pause after news of endpoints, so that several changes cost one call.
        obeyed: Time from the store's acceptance of a change until each instance that reaches the
            store must act on it: a leaving endpoint, a configuration, a version. What a follower
            takes from its keeper may not be older than this, less what its own call takes.
        retry: Pause after a failed call.
        retry_most: Longest such pause of an instance that has keepers; it doubles until then.
        returned: Time after an outage in which a missing endpoint may still come back.
        lapse: Least time without the store in which an endpoint's entry lapses: three heartbeats,
            1.2 s each, of which half of the first may have passed before.
        contact: Time with a way to the store after which an instance must act on what the store
            accepts within the times of `obeyed`.
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


class Options(msgspec.Struct, frozen=True):
    """Everything that a gateway is told at its start.

    Attributes:
        instance: Name of this instance, unique in the deployment and kept over restarts.
        zone: Its availability zone.
        ip: Address that its sockets use.
        front: `IP:PORT` for callers.
        ready: `IP:PORT` for the balancer's question whether to send callers here.
        peer_port: Port for messages between instances, the same on all.
        metrics_port: Port of the metrics.
        seeds: Addresses of some instances, perhaps stale.
        grace: Time from SIGTERM to the end of the process, in seconds.
        unready_noticed: Time after SIGTERM in which callers may still be sent here, in seconds; the
            balancer asks each second and takes two misses.
        log_level: Least level of logged events.
        zones: Availability zones of the deployment, which share each quota equally.
        quotas: How far instances together may go beyond a quota.
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
    zones: int = 1
    quotas: QuotaBounds = msgspec.field(default_factory=QuotaBounds)
    retries: RetryOptions = msgspec.field(default_factory=RetryOptions)
    leases: LeaseOptions = msgspec.field(default_factory=LeaseOptions)
    store: StoreOptions = msgspec.field(default_factory=StoreOptions)
