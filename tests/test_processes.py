"""Tests requests end to end through entry instances and stand-ins in separate processes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest
from wigeonarch_fakes.processes import Deployment, call, deployment, wait_for

ENTRIES = {"entry-a": "zone-a", "entry-b": "zone-b", "entry-c": "zone-c"}
SETUP = (
    ("service", "create", "drafting", "--kind", "model", "--base-model", "base"),
    ("service", "create", "orders", "--kind", "plain"),
    ("adapter", "create", "drafting/blend"),
    ("version", "create", "drafting/blend@v1", "--weights", "w1"),
    ("version", "create", "drafting/blend@v2", "--weights", "w2"),
    ("rule", "create", "drafting/blend", "--split", "v1=1"),
)


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    folder: Path = tmp_path_factory.mktemp("whole")
    with deployment(folder) as dep:
        dep.start_platform()
        for zone in ENTRIES.values():
            dep.start_endpoint("engine", f"engine-{zone}", zone, "drafting", "--load-ms", "20")
        dep.start_endpoint("service", "orders-1", "zone-a", "orders")
        for name, zone in ENTRIES.items():
            dep.start_entry(name, zone)
        dep.wait_ready(*ENTRIES)
        for args in SETUP:
            code, output = dep.run_ctl("entry-a", *args)
            assert code == 0, output
        yield dep


@pytest.mark.parametrize("entry", ENTRIES)
def test_completion_comes_from_the_version_of_the_rule(running: Deployment, entry: str) -> None:
    body = {"model": "drafting/blend", "prompt": "a blend", "max_tokens": 5}
    wait_for(
        lambda: call("POST", f"{running.address(entry)}/v1/completions", body)[0] == 200,
        "an engine is owned",
    )
    status, doc, headers = call("POST", f"{running.address(entry)}/v1/completions", body)
    assert status == 200, doc
    assert doc["choices"][0]["text"] == "".join(f"blend@v1#{i} " for i in range(5))
    assert headers["X-Request-Id"] == doc["id"]


def test_non_idempotent_call_runs_once(running: Deployment) -> None:
    headers = {"Idempotency-Key": "confirm-17"}
    answers = [
        call("POST", f"{running.address(entry)}/v1/services/orders/confirm", {"n": 1}, headers)
        for entry in ("entry-a", "entry-b")
    ]
    assert [status for status, _, _ in answers] == [200, 200], answers
    assert answers[0][1] == answers[1][1]
    runs = [run for run in running.read_record("orders-1")["runs"] if run["key"] == "confirm-17"]
    assert len(runs) == 1
