"""Errors in settings are found before any socket is opened, and name the JSON path."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
from wigeonarch_core.options import Limits, Options, Timing
from wigeonarch_core.policy_options import PolicyOptions
from wigeonarch_core.settings import (
    CHECKS,
    RANGES,
    BadSettings,
    decode_options,
    iter_numbers,
)
from wigeonarch_entry import cli

GOOD: dict[str, Any] = {
    "instance": "entry-1",
    "zone": "zone-a",
    "http": "127.0.0.1:8080",
    "rpc": "127.0.0.1:8081",
    "peer": "127.0.0.1:8082",
    "platform": ["127.0.0.1:7000"],
}
EXAMPLES = sorted((Path(__file__).parent.parent / "examples").glob("*-entry.json"))


def settings(path: str, value: Any) -> bytes:
    """Returns valid settings with one value changed; `...` removes it."""
    doc = json.loads(json.dumps(GOOD))
    *groups, name = path.removeprefix("$.").split(".")
    group_doc = doc
    for group in groups:
        group_doc = group_doc.setdefault(group, {})
    group_doc[name] = value
    if value is ...:
        del group_doc[name]
    return json.dumps(doc).encode()


BAD: list[tuple[str, Any, str]] = [
    # Changed path, its new value, path in the error.
    *((f"$.{name}", ..., "$") for name in GOOD),
    ("$.nonsense", 1, "$"),
    ("$.timing.nonsense", 1, "$.timing"),
    ("$.limits.nonsense", 1, "$.limits"),
    ("$.policy.nonsense", 1, "$.policy"),
    ("$.instance", 7, "$.instance"),
    ("$.platform", "127.0.0.1:7000", "$.platform"),
    ("$.platform", [7], "$.platform[0]"),
    ("$.timing.heartbeat", "1 s", "$.timing.heartbeat"),
    ("$.timing.heartbeat", True, "$.timing.heartbeat"),
    ("$.limits.requests", 1.5, "$.limits.requests"),
    ("$.instance", "", "$.instance"),
    ("$.instance", "a b", "$.instance"),
    ("$.zone", "a/b", "$.zone"),
    ("$.http", "127.0.0.1", "$.http"),
    ("$.http", "localhost:80", "$.http"),
    ("$.http", "127.0.0.1:0", "$.http"),
    ("$.http", "127.0.0.1:65536", "$.http"),
    ("$.http", "127.0.0.1:٨٠", "$.http"),
    ("$.http", "0.0.0.0:80", "$.http"),
    ("$.rpc", "[::]:80", "$.rpc"),
    ("$.rpc", ":80", "$.rpc"),
    ("$.peer", "0.0.0.0:80", "$.peer"),
    ("$.peer", "127.0.0.1:8080", "$.peer"),
    ("$.peer_public", "here", "$.peer_public"),
    ("$.source", "here", "$.source"),
    ("$.platform", [], "$.platform"),
    ("$.platform", ["127.0.0.1:7000", "store"], "$.platform"),
    ("$.log_level", "LOUD", "$.log_level"),
    ("$.timing.lease_margin", 3.0, "$.timing.lease_margin"),
    ("$.timing.call_timeout", 5.5, "$.timing.call_timeout"),
    ("$.timing.peer_timeout", 0.9, "$.timing.peer_timeout"),
    ("$.timing.max_deadline", 1.0, "$.timing.max_deadline"),
    ("$.timing.key_retention", 60.0, "$.timing.key_retention"),
    ("$.policy.stall_weight", -0.1, "$.policy.stall_weight"),
    ("$.policy.load_backoff_limit", 0.1, "$.policy.load_backoff_limit"),
    ("$.policy.turn_lease", 0.1, "$.policy.turn_lease"),
    ("$.policy.retry_most", 0.01, "$.policy.retry_most"),
    ("$.policy.caller_share", 1.01, "$.policy.caller_share"),
    ("$.policy.zone_guarantee", 1.01, "$.policy.zone_guarantee"),
    ("$.limits.retry_share", 1.01, "$.limits.retry_share"),
]


@pytest.mark.parametrize(("path", "value", "reported_path"), BAD)
def test_error_names_the_path(path: str, value: Any, reported_path: str) -> None:
    result = decode_options(settings(path, value))
    assert isinstance(result, BadSettings), result
    assert result.path == reported_path
    assert result.message


DEFAULTS = Options(instance="i", zone="z", http="", rpc="", peer="", platform=())
NUMBERS = [path for path, _ in iter_numbers(DEFAULTS)]


@pytest.mark.parametrize("path", NUMBERS)
def test_no_number_may_be_negative(path: str) -> None:
    result = decode_options(settings(path, -1))
    assert isinstance(result, BadSettings)
    assert result.path == path


@pytest.mark.parametrize("path", [path for path in NUMBERS if path not in RANGES])
def test_other_numbers_must_be_greater_than_0(path: str) -> None:
    result = decode_options(settings(path, 0))
    assert isinstance(result, BadSettings)
    assert (result.path, "greater than 0" in result.message) == (path, True)


def test_ranges_and_checks_name_existing_settings() -> None:
    assert set(RANGES) <= set(NUMBERS)
    check_paths = {check.path for check in CHECKS} - set(NUMBERS)
    assert check_paths <= {f"$.{field.name}" for field in msgspec.structs.fields(Options)}


@pytest.mark.parametrize("group", [Timing, Limits, PolicyOptions])
def test_every_setting_is_documented(group: type[msgspec.Struct]) -> None:
    doc = group.__doc__ or ""
    for field in msgspec.structs.fields(group):
        assert f"{field.name}:" in doc


@pytest.mark.parametrize("weights", [(0, 1), (1, 0)])
def test_only_one_weight_of_the_objective_may_be_0(weights: tuple[float, float]) -> None:
    doc = GOOD | {"policy": {"stall_weight": weights[0], "batch_weight": weights[1]}}
    assert isinstance(decode_options(json.dumps(doc).encode()), Options)
    doc = GOOD | {"policy": {"stall_weight": 0, "batch_weight": 0}}
    assert isinstance(decode_options(json.dumps(doc).encode()), BadSettings)


@pytest.mark.parametrize(
    ("text", "code", "shown"),
    [
        (json.dumps(GOOD).encode(), 0, ": ok"),
        (b"", 2, ": $: "),
        (b"{", 2, ": $: "),
        (b"\xff", 2, ": $: "),
        (settings("$.timing.lease_term", 0), 2, ": $.timing.lease_term: must be greater than 0"),
    ],
)
def test_check_settings(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: bytes, code: int, shown: str
) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(text)
    assert cli.main(["check-settings", str(path)]) == code
    captured = capsys.readouterr()
    assert f"{path}{shown}" in (captured.err if code else captured.out)


def test_serve_opens_nothing_with_bad_settings(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def make_node(*_args: object) -> None:
        raise AssertionError("a node was created")

    monkeypatch.setattr(cli, "Node", make_node)
    path = tmp_path / "settings.json"
    path.write_bytes(settings("$.http", "nowhere"))
    assert cli.main(["serve", "--settings", str(path)]) == 2
    assert cli.main(["serve", "--settings", str(tmp_path / "none.json")]) == 2
    assert "$.http: must be IP:PORT" in capsys.readouterr().err


@pytest.mark.parametrize("path", EXAMPLES, ids=[path.name for path in EXAMPLES])
def test_example_settings_are_valid(path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert cli.main(["check-settings", str(path)]) == 0, capsys.readouterr().err


def test_both_deployments_have_an_example() -> None:
    assert [path.name for path in EXAMPLES] == ["daugava-entry.json", "galbraith-mure-entry.json"]
