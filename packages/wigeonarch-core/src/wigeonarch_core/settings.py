"""Decodes the settings of one instance from JSON, strictly, before any socket is opened.

Unknown keys and wrong types are found by msgspec, numbers out of range by the table `RANGES`, and
other invalid values and combinations by the table `CHECKS`. Each error names the JSON path.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from wigeonarch_core.addresses import is_address, parse_ip
from wigeonarch_core.decoding import decode_json
from wigeonarch_core.options import Limits, Options, Timing
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.refs import is_name

LOG_LEVELS: Final = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")


class BadSettings(msgspec.Struct, frozen=True):
    """Why settings can't be used.

    Attributes:
        path: JSON path of the invalid value, for example `$.timing.lease_term`.
        message: What is wrong with it.
    """

    path: str
    message: str


class Range(msgspec.Struct, frozen=True):
    """Allowed range of a number; the bounds are allowed themselves unless said otherwise.

    Attributes:
        least: Lower bound.
        most: Upper bound.
        above: Whether the lower bound itself is not allowed.
    """

    least: float = 0.0
    most: float = math.inf
    above: bool = False

    def contains(self, value: float) -> bool:
        """Returns whether a number is in the range; an infinite or undefined one never is."""
        low = value > self.least if self.above else value >= self.least
        return low and value <= self.most and math.isfinite(value)

    def __str__(self) -> str:
        """Returns the range in words, for example `greater than 0 and at most 1`."""
        low = f"{'greater than' if self.above else 'at least'} {self.least:g}"
        return low if math.isinf(self.most) else f"{low} and at most {self.most:g}"


class Check(msgspec.Struct, frozen=True):
    """A rule about settings that go together.

    Attributes:
        path: JSON path at which a violation is reported: of the setting to change.
        predicate: Returns whether the settings follow the rule.
        message: What is reported otherwise.
    """

    path: str
    predicate: Callable[[Options], bool]
    message: str


POSITIVE: Final = Range(above=True)
COUNT: Final = Range(least=1)
NOT_NEGATIVE: Final = Range()
SHARE: Final = Range(most=1.0)
FRACTION: Final = Range(most=1.0, above=True)

# Ranges of the numbers by JSON path; those that are missing here must be greater than 0.
RANGES: Final[dict[str, Range]] = {
    "$.limits.body_bytes": COUNT,
    "$.limits.header_bytes": Range(least=256),
    "$.limits.head_bytes": Range(least=256),
    "$.limits.caller_bytes": COUNT,
    "$.limits.connections": NOT_NEGATIVE,
    "$.limits.requests": COUNT,
    "$.limits.streams": COUNT,
    "$.limits.event_streams": COUNT,
    "$.limits.prompt_chars": COUNT,
    "$.limits.max_tokens": COUNT,
    "$.limits.retry_share": SHARE,
    "$.limits.retries": NOT_NEGATIVE,
    "$.limits.explained": COUNT,
    "$.limits.snapshot_every": COUNT,
    "$.policy.stall_weight": NOT_NEGATIVE,
    "$.policy.batch_weight": NOT_NEGATIVE,
    "$.policy.queue_limit": COUNT,
    "$.policy.caller_share": FRACTION,
    "$.policy.adapter_share": FRACTION,
    "$.policy.rate_entries": COUNT,
    "$.policy.thrash_guard": NOT_NEGATIVE,
    "$.policy.load_parallel": COUNT,
    "$.policy.load_attempts": COUNT,
    "$.policy.zone_guarantee": SHARE,
    "$.policy.overcommit": NOT_NEGATIVE,
    "$.policy.pin_margin": NOT_NEGATIVE,
}


def _is_reachable(text: str) -> bool:
    """Returns whether others can connect to an address, so it must not mean all of a host's."""
    host, _, _ = text.rpartition(":")
    ip = parse_ip(host)
    return ip is not None and not ip.is_unspecified


def _are_distinct(opts: Options) -> bool:
    return len({opts.http, opts.rpc, opts.peer}) == 3


ADDRESS: Final = "must be IP:PORT"
REACHABLE: Final = "others connect to it, so it must be one IP, not all of the host's"

CHECKS: Final = (
    Check(
        "$.instance", lambda o: is_name(o.instance), "must be a name: printable, no space, / or @"
    ),
    Check("$.zone", lambda o: is_name(o.zone), "must be a name: printable, no space, / or @"),
    Check("$.http", lambda o: is_address(o.http), ADDRESS),
    Check("$.rpc", lambda o: is_address(o.rpc), ADDRESS),
    Check("$.peer", lambda o: is_address(o.peer), ADDRESS),
    Check("$.peer_public", lambda o: not o.peer_public or is_address(o.peer_public), ADDRESS),
    Check("$.http", lambda o: _is_reachable(o.http), REACHABLE),
    Check("$.rpc", lambda o: _is_reachable(o.rpc), REACHABLE),
    Check("$.peer", lambda o: _is_reachable(o.peer_public or o.peer), REACHABLE),
    Check("$.peer", _are_distinct, "http, rpc and peer must be three different addresses"),
    Check("$.source", lambda o: not o.source or parse_ip(o.source) is not None, "must be an IP"),
    Check("$.platform", lambda o: bool(o.platform), "must name at least one address"),
    Check("$.platform", lambda o: all(map(is_address, o.platform)), "must be IP:PORT each"),
    Check(
        "$.log_level",
        lambda o: o.log_level in LOG_LEVELS,
        f"must be one of {', '.join(LOG_LEVELS)}",
    ),
    Check(
        "$.timing.lease_margin",
        lambda o: o.timing.lease_margin * 3 <= o.timing.lease_term,
        "must be at most a third of lease_term",
    ),
    Check(
        "$.timing.call_timeout",
        lambda o: o.timing.call_timeout < o.timing.lease_term - o.timing.lease_margin,
        "must be less than lease_term without its margin, or no renewal could come in time",
    ),
    Check(
        "$.timing.peer_timeout",
        lambda o: o.timing.peer_timeout > 2 * o.timing.heartbeat,
        "must be more than two heartbeats",
    ),
    Check(
        "$.limits.caller_bytes",
        lambda o: o.limits.caller_bytes >= 2 * o.limits.body_bytes,
        "must be at least twice body_bytes, or the largest request could not be served",
    ),
    Check(
        "$.limits.head_bytes",
        lambda o: o.limits.head_bytes >= o.limits.header_bytes,
        "must be at least header_bytes",
    ),
    Check(
        "$.timing.max_deadline",
        lambda o: o.timing.max_deadline >= o.timing.default_deadline,
        "must be at least default_deadline",
    ),
    Check(
        "$.timing.key_retention",
        lambda o: o.timing.key_retention >= o.timing.max_deadline,
        "must be at least max_deadline, or a record could go before its request has ended",
    ),
    Check(
        "$.policy.stall_weight",
        lambda o: o.policy.stall_weight + o.policy.batch_weight > 0,
        "must not be 0 together with batch_weight",
    ),
    Check(
        "$.policy.load_backoff_limit",
        lambda o: o.policy.load_backoff_limit >= o.policy.load_backoff,
        "must be at least load_backoff",
    ),
    Check(
        "$.policy.turn_lease",
        lambda o: o.policy.turn_lease > o.policy.load_seconds,
        "must be more than load_seconds, or a load would outlast its permit",
    ),
    Check(
        "$.policy.retry_most",
        lambda o: o.policy.retry_most >= o.policy.retry_least,
        "must be at least retry_least",
    ),
)


def decode_options(text: bytes) -> Options | BadSettings:
    """Decodes and checks settings.

    Args:
        text: The JSON document, in UTF-8.

    Returns:
        The options, or the first error in them.
    """
    try:
        opts = decode_json(text, Options)
    except msgspec.ValidationError as exc:
        message, _, path = str(exc).partition(" - at `")
        return BadSettings(path.rstrip("`") or "$", message)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return BadSettings("$", str(exc))
    for path, value in iter_numbers(opts):
        allowed = RANGES.get(path, POSITIVE)
        if not allowed.contains(value):
            return BadSettings(path, f"must be {allowed}, not {value:g}")
    for check in CHECKS:
        if not check.predicate(opts):
            return BadSettings(check.path, check.message)
    return opts


def iter_numbers(opts: Options) -> Iterator[tuple[str, float]]:
    """Yields the JSON path and the value of each number among the settings."""
    groups: dict[str, Timing | Limits | PolicyOptions] = {
        "timing": opts.timing,
        "limits": opts.limits,
        "policy": opts.policy,
    }
    for group, options in groups.items():
        for name, value in msgspec.structs.asdict(options).items():
            if isinstance(value, int | float) and not isinstance(value, bool):
                yield f"$.{group}.{name}", value
