"""Attempts of one request have one key, and others have other keys."""

from __future__ import annotations

import pytest
from wigeonarch_core.content_key import content_key

ASKED = ("POST", "shop.example", "/write/a?b=c", b"body")


def test_two_attempts_of_one_request_have_one_key() -> None:
    again = ("POST", "Shop.Example", "/write/a?b=c", b"body")
    assert content_key(*again) == content_key(*ASKED)


@pytest.mark.parametrize(
    "other",
    [
        ("GET", "shop.example", "/write/a?b=c", b"body"),
        ("POST", "desk.example", "/write/a?b=c", b"body"),
        ("POST", "shop.example", "/write/a?b=d", b"body"),
        ("POST", "shop.example", "/write/a", b"body"),
        ("POST", "shop.example", "/write/a?b=c", b"bodies"),
        ("POST", "shop.example", "/write/a?b=c", b""),
        ("POSTs", "hop.example", "/write/a?b=c", b"body"),
    ],
)
def test_another_request_has_another_key(other: tuple[str, str, str, bytes]) -> None:
    assert content_key(*other) != content_key(*ASKED)
