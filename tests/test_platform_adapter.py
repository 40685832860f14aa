"""The platform adapter converts settings, records and headers to the gateway's types and back."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest
from wigeonarch_core.engine_places import AdapterKey
from wigeonarch_core.routes import RouteKind, WeightedService
from wigeonarch_gateway.node import LATE_DISPATCH_WINDOW
from wigeonarch_gateway.options import ExtraTryOptions
from wigeonarch_gateway.ports import (
    Dispatch,
    EndpointState,
    Order,
    OrderResult,
    ResponseHead,
    StoredObject,
    Verdict,
)
from wigeonarch_gateway.sharing import OWN_CALL_TIME
from wigeonarch_platform import dialect, records
from wigeonarch_platform.settings import SettingsError, read_settings
from wigeonarch_platform.store import WATCH_MARGIN

PARTS_READ = tuple(f"{n:x}" for n in range(64))
VALID_SETTINGS = {
    "node_name": "edge-1",
    "zone": "a",
    "ip": "10.0.0.1",
    "listen.front": "10.0.0.1:8000",
    "listen.ready": "10.0.0.1:8001",
    "internal_ports": "7000,7015",
    "seeds": "10.0.0.1:8004,10.0.0.2:8004",
    "platform.address": "10.0.9.9:8142",
    "bounds.lease_ms": "3000",
    "bounds.retry_budget_ratio": "0.3",
    "something.new": "x=y",
}


def settings_text(**changes: str | None) -> str:
    pairs = {**VALID_SETTINGS, **{key.replace("__", "."): value for key, value in changes.items()}}
    return "\n".join(f"{key}={value}" for key, value in pairs.items() if value is not None)


def test_settings() -> None:
    settings = read_settings("# a comment\n\n" + settings_text())
    opts = settings.options
    assert settings.store_address == "10.0.9.9:8142"
    assert (opts.instance, opts.zone, opts.front) == ("edge-1", "a", "10.0.0.1:8000")
    assert (opts.peer_port, opts.seeds) == (7000, ("10.0.0.1:8004", "10.0.0.2:8004"))
    assert opts.retries.share == 0.3
    assert opts.leases.pause > 3.0
    assert (opts.store.watch, opts.store.batch_pause) == pytest.approx((3.5, 0.9))


@pytest.mark.parametrize(("contact_ms", "drain_ms"), [(3000, 2000), (4000, 3000), (5000, 4000)])
def test_waits_after_an_outage_fit_the_contact_time(contact_ms: int, drain_ms: int) -> None:
    bounds = {"bounds__contact_ms": str(contact_ms), "bounds__drain_ms": str(drain_ms)}
    store = read_settings(settings_text(**bounds)).options.store
    assert store.contact == contact_ms / 1000
    # A silent connection to the store is noticed by the shortest watch; then the kinds are listed.
    assert store.watch_configuration + WATCH_MARGIN + OWN_CALL_TIME < store.contact
    # A call is refused; after the longest pause the kinds are listed.
    assert store.retry_most + OWN_CALL_TIME < store.contact
    # A zone watcher notifies followers, the store returns, and requests in progress finish.
    assert store.retry + store.return_time + LATE_DISPATCH_WINDOW <= store.contact


@pytest.mark.parametrize(
    ("changes", "setting"),
    [
        ({"node_name": None}, "node_name"),
        ({"listen__front": "10.0.0.1"}, "listen.front"),
        ({"listen__ready": "10.0.0.1:99999"}, "listen.ready"),
        ({"platform__address": ":80"}, "platform.address"),
        ({"internal_ports": "7000"}, "internal_ports"),
        ({"bounds__grace_s": "soon"}, "bounds.grace_s"),
        ({"extra_tries__share": "-0.01"}, "extra_tries.share: share:"),
        ({"extra_tries__share": "0.21"}, "extra_tries.share: share:"),
        ({"extra_tries__share": "nan"}, "extra_tries.share: share:"),
        ({"extra_tries__share": "few"}, "extra_tries.share"),
    ],
)
def test_the_error_names_the_invalid_setting(changes: dict[str, str | None], setting: str) -> None:
    with pytest.raises(SettingsError, match=setting.replace(".", r"\.")):
        read_settings(settings_text(**changes))


@pytest.mark.parametrize(
    ("in_file", "variable", "share"),
    [
        (None, None, 0.0),
        ("0.02", None, 0.02),
        ("0.02", "", 0.02),
        ("0.02", "0.05", 0.05),
        ("0.02", "0", 0.0),
        (None, "0.01", 0.01),
    ],
)
def test_the_variable_goes_before_the_file(
    in_file: str | None, variable: str | None, share: float
) -> None:
    environment = {} if variable is None else {"WIGEONARCH_EXTRA_TRIES": variable}
    text = settings_text(extra_tries__share=in_file)
    assert read_settings(text, environment).options.extra_tries.share == share


@pytest.mark.parametrize("value", ["-1", "0.5", "nan", "inf", "two"])
def test_the_error_names_the_invalid_variable(value: str) -> None:
    with pytest.raises(SettingsError, match="WIGEONARCH_EXTRA_TRIES"):
        read_settings(settings_text(), {"WIGEONARCH_EXTRA_TRIES": value})


@pytest.mark.parametrize(
    ("share", "window", "field"),
    [(-0.01, 10.0, "share"), (0.3, 10.0, "share"), (0.1, 0.0, "window"), (0.1, math.nan, "window")],
)
def test_extra_try_options_name_the_invalid_field(share: float, window: float, field: str) -> None:
    with pytest.raises(ValueError, match=field):
        ExtraTryOptions(share, window)


CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "X.example",
            "path_prefix": "/p/",
            "route_kind": "streaming",
            "timeout_ms": 15000,
            "slo_ms": 800,
            "priority": 2,
            "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
            "attempts": 1,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 250,
        }
    ],
    "services": [{"name": "s", "max_conns": 360, "tls": False}],
    "limits": {"max_body_bytes": 99, "idle_timeout_ms": 15000},
}


def stored(spec: Any, name: str = "main") -> StoredObject:
    return StoredObject(name, 1, spec)


def test_configuration() -> None:
    table = records.decode_configuration(stored(CONFIGURATION))
    route = table.find("x.example", "/p/q")
    assert route is not None
    assert route.split == (WeightedService("s", 90), WeightedService("t", 10))
    assert (route.kind, route.timeout, route.objective) == (RouteKind.STREAMING, 15.0, 0.8)
    assert (route.resumable, route.largest_pause, route.priority) == (True, 0.25, 2)
    assert table.limits.body_bytes == 99


@pytest.mark.parametrize(
    "spec",
    [None, {}, {**CONFIGURATION, "version": "x"}, {**CONFIGURATION, "routes": [{"name": "r"}]}],
)
def test_an_unreadable_configuration_is_a_value_error(spec: Any) -> None:
    with pytest.raises(ValueError):
        records.decode_configuration(stored(spec))


@pytest.mark.parametrize(
    ("state", "expected"),
    [
        ("ready", EndpointState.READY),
        ("draining", EndpointState.LEAVING),
    ],
)
def test_endpoint(state: str, expected: EndpointState) -> None:
    spec = {
        "service": "s",
        "address": "10.0.0.9:80",
        "zone": "b",
        "slots": 6,
        "state": state,
        "models": [{"name": "m", "version": 1, "adapters": ["a1@3", "a2@1"]}],
    }
    result = records.decode_endpoint(stored(spec, "i-1"))
    assert (result.endpoint, result.state) == ("i-1", expected)
    assert result.models[0].adapters == (AdapterKey("m", "a1", 3), AdapterKey("m", "a2", 1))


@pytest.mark.parametrize(
    ("version", "expected"),
    [("v1.1", "v1.1"), ("", ""), (" ", ""), (3, ""), (None, ""), ("v" * 10_000, "")],
)
def test_software_of_an_endpoint_is_unknown_if_its_version_can_not_be_read(
    version: object, expected: str
) -> None:
    spec = {"service": "s", "address": "10.0.0.9:80", "zone": "b", "slots": 6, "state": "ready"}
    found = records.decode_endpoint(stored({**spec, "version": version}, "i-1"))
    assert found.software == expected


def test_report() -> None:
    body = {
        "models": [{"name": "m", "version": 1, "adapters": ["a1@2"]}],
        "seq": 5,
        "pending": ["m/a9@4"],
        "queued": 1,
    }
    report = records.decode_report(json.dumps(body).encode())
    assert (report.sequence, report.pending) == (5, (AdapterKey("m", "a9", 4),))


@pytest.mark.parametrize(
    ("headers", "field", "expected"),
    [
        ({"x-model": "m/a7"}, "adapter", "a7"),
        ({"x-model": "m"}, "adapter", ""),
        ({"x-deadline-ms": "1500"}, "wait", 1.5),
        ({"x-deadline-ms": "soon"}, "wait", None),
        ({"x-token-counts": "1460,80"}, "prompt_tokens", 1460),
        ({"x-token-counts": "1460,80"}, "output_tokens", 80),
        ({"x-token-counts": "many"}, "prompt_tokens", 0),
        ({"x-prefix-hash": "5c:800,91:410,e4:250"}, "shared_tokens", 1210),
        ({"x-prefix-hash": ""}, "shared_tokens", 0),
        ({"x-prefix-hash": "5c:800,91:410,e4:250"}, "parts", ("5c", "91")),
        ({"x-prefix-hash": "5C:800, 91 :410,5c:1,e4:250"}, "parts", ("5c", "91")),
        ({"x-prefix-hash": "5c:800,91:410,5c:250"}, "parts", ("5c", "91")),
        ({"x-prefix-hash": "e4:250"}, "parts", ()),
        ({"x-prefix-hash": ",,:3,"}, "parts", ()),
        ({"x-prefix-hash": f"{'a' * 65}:1,91:410,e4:250"}, "parts", ("91",)),
        ({"x-prefix-hash": ",".join(f"{n:x}:1" for n in range(9000))}, "parts", PARTS_READ),
        ({"last-event-id": "4"}, "resumed", True),
        ({"last-event-id": "4", "resumes": "r1"}, "resumes", "r1"),
    ],
)
def test_terms(headers: dict[str, str], field: str, expected: object) -> None:
    assert getattr(dialect.read_terms(headers), field) == expected


def test_headers_sent_to_an_endpoint() -> None:
    received_headers = [
        (b"Host", b"x.example"),
        (b"X-Request-Id", b"r1"),
        (b"X-Deadline-Ms", b"9999"),
        (b"X-Expect-Instance", b"forged"),
        (b"Kv-From", b"10.0.0.1:80/h"),
        (b"Connection", b"close, X-Private"),
        (b"X-Private", b"1"),
        (b"Content-Length", b"3"),
        (b"Last-Event-Id", b"2"),
        (b"X-Model", b"m/a"),
    ]
    result = dialect.endpoint_headers(received_headers, Dispatch("i-1", 1.2345, 2, 4, "7"))
    assert result == [
        (b"Host", b"x.example"),
        (b"X-Request-Id", b"r1"),
        (b"X-Model", b"m/a"),
        (b"x-deadline-ms", b"1234"),
        (b"X-Expect-Instance", b"i-1"),
        (b"X-Request-Priority", b"2"),
        (b"X-Expect-Version", b"4"),
        (b"last-event-id", b"7"),
    ]


def test_a_resumed_stream_keeps_its_last_event_id() -> None:
    result = dict(dialect.endpoint_headers([(b"Last-Event-Id", b"2")], Dispatch("i-1", 1.0)))
    assert result[b"Last-Event-Id"] == b"2"


OWN_REQUEST_ID = (b"x-request-id", b"r1")
SERVER_STAMP = (b"x-server-stamp", b"s")


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, (OWN_REQUEST_ID, SERVER_STAMP), Verdict.ANSWER),
        (404, (OWN_REQUEST_ID, SERVER_STAMP), Verdict.ANSWER),
        (200, (OWN_REQUEST_ID,), Verdict.UNUSABLE),
        (200, (SERVER_STAMP,), Verdict.UNUSABLE),
        (200, (OWN_REQUEST_ID, SERVER_STAMP, (b"content-encoding", b"gzip")), Verdict.UNUSABLE),
        (200, ((b"x-request-id", b"r2"), SERVER_STAMP), Verdict.FOREIGN),
        (503, ((b"x-request-id", b"r2"), (b"x-not-executed", b"1")), Verdict.FOREIGN),
        (503, ((b"x-not-executed", b"1"),), Verdict.NOT_RUN),
        (503, (OWN_REQUEST_ID, SERVER_STAMP), Verdict.UNUSABLE),
        (429, (OWN_REQUEST_ID, SERVER_STAMP), Verdict.UNUSABLE),
        (408, (OWN_REQUEST_ID, SERVER_STAMP), Verdict.UNUSABLE),
        (421, (), Verdict.MISDIRECTED),
        (500, (OWN_REQUEST_ID, SERVER_STAMP), Verdict.FAILURE),
        (504, (OWN_REQUEST_ID, SERVER_STAMP), Verdict.FAILURE),
    ],
)
def test_responses_are_classified(
    status: int, headers: tuple[tuple[bytes, bytes], ...], expected: Verdict
) -> None:
    assert dialect.classify_response("r1", ResponseHead(status, headers)) is expected


@pytest.mark.parametrize(
    ("order", "expected"),
    [
        (
            Order(True, AdapterKey("m", "a", 3), "n", 41, 2),
            {"op": "load", "model": "m", "adapter": "a", "version": 3, "expect": 2},
        ),
        (
            Order(True, AdapterKey("m", "", 0), "n", 41, 7),
            {"op": "load", "model": "m", "expect": 7},
        ),
        (
            Order(False, AdapterKey("m", "a", 0), "n", 41, 0),
            {"op": "unload", "model": "m", "adapter": "a", "expect": 0},
        ),
    ],
)
def test_order(order: Order, expected: dict[str, Any]) -> None:
    assert json.loads(dialect.order_body(order)) == {"holder": "n", "fence": 41, **expected}


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (202, OrderResult.STARTED),
        (200, OrderResult.HOLDS),
        (409, OrderResult.CONFLICT),
        (412, OrderResult.FENCED),
        (421, OrderResult.MISDIRECTED),
        (500, OrderResult.UNKNOWN),
    ],
)
def test_order_results(status: int, expected: OrderResult) -> None:
    assert dialect.order_result(status) is expected
