"""Settings of the scheduling policy: its objective and its limits."""

from __future__ import annotations

import msgspec


class PolicyOptions(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Objective and limits of the scheduler, the placement and the load permits.

    Attributes:
        stall_weight: Value of one second that one request waits for a load; first term of the
            objective.
        batch_weight: Value of one batch place kept busy for one second; second term of the
            objective. It makes requests with long responses outweigh short ones.
        queue_limit: Grant requests that may wait for one engine.
        caller_share: Greatest share of the queue that one caller may use once the queue is half
            full.
        adapter_share: Greatest share of the queue that one adapter version may use then.
        rate_half_life: Seconds after which a past use counts half.
        rate_entries: Adapter versions whose rate of use is remembered per engine.
        keep_horizon: Seconds for which a loaded copy is expected to be of use.
        age_weight: How much a waiting request's claim to a load grows each second, as a share of
            its initial claim; 0 starves single requests, 1 comes close to first come, first served.
        thrash_guard: Seconds for which a newly loaded copy is not evicted.
        load_rate: Loads per second that the weight store allows the deployment.
        load_parallel: Loads at a time that run at full speed.
        load_seconds: Seconds of one load at full speed.
        load_attempts: Failed loads after which the waiting grant requests are refused.
        load_backoff: Seconds before a failed load is tried again; doubles each time.
        load_backoff_limit: Longest such wait, in seconds.
        turn_lease: Seconds after which a load permit that was not returned counts as returned.
        zone_guarantee: Part of a zone's share of the load rate that bids of other zones cannot
            take.
        overcommit: Grants beyond the batch places, so that the batch refills without a delay.
        pin_margin: Seconds after the hard deadline at which a pin may be dropped.
        homes: Home engines of a cold adapter; the one with the fewest loads to do is chosen.
        coming_listed: Greatest number of requested adapter versions that a summary lists.
        overload_wait: Seconds of expected wait from which placement prefers another engine.
        retry_least: Shortest `retry_after`, in seconds.
        retry_most: Longest `retry_after`, in seconds.
        idle_interval: Seconds between decisions when nothing happens.
    """

    stall_weight: float = 1.0
    batch_weight: float = 0.05
    queue_limit: int = 256
    caller_share: float = 0.5
    adapter_share: float = 0.5
    rate_half_life: float = 120.0
    rate_entries: int = 4096
    keep_horizon: float = 10.0
    age_weight: float = 0.1
    thrash_guard: float = 2.0
    load_rate: float = 2.0
    load_parallel: int = 1
    load_seconds: float = 0.5
    load_attempts: int = 2
    load_backoff: float = 0.5
    load_backoff_limit: float = 30.0
    turn_lease: float = 10.0
    zone_guarantee: float = 0.5
    overcommit: int = 0
    pin_margin: float = 1.0
    homes: int = 2
    coming_listed: int = 32
    overload_wait: float = 8.0
    retry_least: float = 0.1
    retry_most: float = 30.0
    idle_interval: float = 0.5
