"""Content keys: equal for the attempts of one request, different for other requests."""

from __future__ import annotations

import pytest
from wigeonarch_core.content_key import content_key

REQUEST = ("POST", "shop.example", "/write/a?b=c", b"body")


def test_attempts_of_one_request_have_the_same_key() -> None:
    again = ("POST", "Shop.Example", "/write/a?b=c", b"body")
    assert content_key(*again) == content_key(*REQUEST)


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
def test_different_requests_have_different_keys(other: tuple[str, str, str, bytes]) -> None:
    assert content_key(*other) != content_key(*REQUEST)
