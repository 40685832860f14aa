"""Options of one instance: a single frozen object, made by `settings` and passed down."""

from __future__ import annotations

import msgspec

from wigeonarch_core.policy_options import PolicyOptions


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Intervals and timeouts, all in seconds.

    Attributes:
        lease_term: How long an instance's lease is valid after a renewal.
        lease_margin: How long before its end the instance stops relying on it.
        heartbeat: Interval between heartbeats to peers.
        peer_timeout: Silence after which a peer counts as unreachable.
        list_interval: Interval between reads of the platform's list of instances.
        report_interval: Interval between reads of an engine's report.
        grant_validity: How long after sending a grant request an instance may use the grant.
        connect_timeout: Timeout for opening a connection.
        call_timeout: Timeout of one call to the platform.
        first_token_timeout: Timeout for the first chunk after a request is sent.
        token_timeout: Silence within a stream after which the stream is resumed.
        body_timeout: Timeout for receiving the body of a caller's request.
        write_timeout: Longest time for which the caller of a stream may read nothing.
        watch_silence: Silence after which a watch is reopened.
        accept_wait: How long a configuration call waits for the change to take effect.
        drain_report: Interval between log lines while a draining instance waits for requests.
        drain_notice: How long a draining instance still answers callers, if only to refuse, so that
            load balancers can see that it is not ready before its server closes.
        default_deadline: Deadline of a request that names none.
        max_deadline: Longest deadline that a request may name.
        key_retention: How long the record of an idempotency key is kept.
    """

    lease_term: float = 6.0
    lease_margin: float = 1.0
    heartbeat: float = 0.5
    peer_timeout: float = 2.5
    list_interval: float = 1.0
    report_interval: float = 0.25
    grant_validity: float = 5.0
    connect_timeout: float = 1.0
    call_timeout: float = 2.0
    first_token_timeout: float = 10.0
    token_timeout: float = 2.0
    body_timeout: float = 30.0
    write_timeout: float = 10.0
    watch_silence: float = 3.0
    accept_wait: float = 3.0
    drain_report: float = 5.0
    drain_notice: float = 3.0
    default_deadline: float = 60.0
    max_deadline: float = 600.0
    key_retention: float = 7 * 24 * 3600.0


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits of one instance.

    Attributes:
        body_bytes: Largest body of a caller's request.
        header_bytes: Largest header line of a caller's request.
        head_bytes: Largest head of a caller's request, and what comes beside a body.
        caller_bytes: Bytes that the instance holds for all callers together.
        connections: Connections of callers to each server; 0 for a share of the descriptors.
        requests: Requests in progress at the same time.
        streams: Concurrent streams on one RPC connection.
        event_streams: Streamed responses in progress at the same time at the HTTP server.
        prompt_chars: Longest prompt, in characters.
        max_tokens: Greatest number of tokens that one request may generate.
        retry_share: Allowed retries, as a share of fresh requests.
        retries: Greatest number of retries of one request.
        explained: Requests whose decisions are remembered.
        snapshot_every: Configuration changes between two snapshots.
    """

    body_bytes: int = 1 << 20
    header_bytes: int = 8190
    head_bytes: int = 65_536
    caller_bytes: int = 32 << 20
    connections: int = 0
    requests: int = 2000
    streams: int = 1000
    event_streams: int = 1000
    prompt_chars: int = 200_000
    max_tokens: int = 8192
    retry_share: float = 0.2
    retries: int = 3
    explained: int = 2000
    snapshot_every: int = 1000


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All settings of one instance.

    Attributes:
        instance: Name of this instance, unique in the deployment.
        zone: Its availability zone.
        http: `IP:PORT` of the HTTP server for callers, metrics and probes.
        rpc: `IP:PORT` of the RPC server.
        peer: `IP:PORT` that this instance listens on for other instances.
        peer_public: `IP:PORT` that other instances connect to; empty if it is `peer`.
        source: Source IP of outgoing connections; empty leaves it to the system.
        platform: `IP:PORT` of each server of the platform's object API; they are tried in turn.
        log_level: Lowest level that is logged.
        timing: Intervals and timeouts.
        limits: Limits on accepted work.
        policy: Settings of placement, loads and queues, with the weights of the objective.
    """

    instance: str
    zone: str
    http: str
    rpc: str
    peer: str
    platform: tuple[str, ...]
    peer_public: str = ""
    source: str = ""
    log_level: str = "INFO"
    timing: Timing = Timing()
    limits: Limits = Limits()
    policy: PolicyOptions = PolicyOptions()
