"""HTTP statuses of outcomes: every reason has one, and no status stands for two outcomes."""

from __future__ import annotations

import pytest
from wigeonarch_core.outcomes import Answered, Failed, NotRun, Outcome, Reason, Unknown
from wigeonarch_core.refs import is_name, is_operation
from wigeonarch_entry.httperrors import error_doc, error_response
from wigeonarch_entry.statuses import NOT_RUN_STATUS, OUTCOME_NAMES, RETRY_AFTER_STATUSES, status_of
from wigeonarch_entry.texts import MAY_HAVE_RUN, NOT_RUN, REASON_TEXTS

NOT_RUN_STATUSES = {400, 404, 409, 413, 422, 429, 503}


def test_tables_contain_every_reason_and_outcome() -> None:
    assert set(NOT_RUN_STATUS) == set(Reason)
    assert set(REASON_TEXTS) == set(Reason)
    assert set(OUTCOME_NAMES) == {Answered, NotRun, Unknown, Failed}


@pytest.mark.parametrize("reason", Reason)
def test_not_run_has_a_status_of_its_own_and_retry_after(reason: Reason) -> None:
    resp = error_response(NotRun(reason), {})
    assert resp.status in NOT_RUN_STATUSES
    assert ("Retry-After" in resp.headers) == (resp.status in RETRY_AFTER_STATUSES)
    assert error_doc(NotRun(reason))["error"]["message"].endswith(NOT_RUN)


@pytest.mark.parametrize("reason", Reason)
def test_unknown_is_502_without_retry_after(reason: Reason) -> None:
    resp = error_response(Unknown(reason), {})
    assert resp.status == 502
    assert "Retry-After" not in resp.headers
    assert MAY_HAVE_RUN in error_doc(Unknown(reason))["error"]["message"]


@pytest.mark.parametrize("service_status", [0, *range(400, 600)])
def test_failed_never_looks_like_not_run_or_unknown(service_status: int) -> None:
    status = status_of(Failed(Reason.ENDPOINT_ERROR, service_status))
    assert status >= 400
    assert status not in {429, 502, 503}


@pytest.mark.parametrize(
    ("outcome", "seconds"),
    [
        (NotRun(Reason.QUEUE_FULL, 0.0), "1"),
        (NotRun(Reason.QUEUE_FULL, 0.2), "1"),
        (NotRun(Reason.NO_ENDPOINT, 2.1), "3"),
        (NotRun(Reason.DRAINING, 30.0), "30"),
    ],
)
def test_retry_after_is_rounded_up_to_whole_seconds_above_0(outcome: Outcome, seconds: str) -> None:
    assert error_response(outcome, {}).headers["Retry-After"] == seconds


@pytest.mark.parametrize(
    ("text", "is_valid"),
    [
        *[("blend-7", True), ("Mūsu.v2", True), ("x" * 128, True)],
        *[("", False), ("x" * 129, False), ("a/b", False), ("a@b", False)],
        *[("a b", False), ("a\n", False), ("a\0", False), ("a\u00a0b", False)],
    ],
)
def test_names(text: str, is_valid: bool) -> None:
    assert is_name(text) is is_valid


@pytest.mark.parametrize(
    ("text", "is_valid"),
    [
        *[("confirm", True), ("v1.confirm_all~x-2", True), ("...", True), ("x" * 128, True)],
        *[("", False), (".", False), ("..", False), ("a/b", False), ("a?b", False)],
        *[("a%2F", False), ("a\n", False), ("ā", False), ("x" * 129, False)],
    ],
)
def test_operations(text: str, is_valid: bool) -> None:
    assert is_operation(text) is is_valid
