"""Teams and keys: whose key it is, what endpoints receive, and what a configuration may contain."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_platform_adapter import CONFIGURATION, stored
from wigeonarch_core.teams import KeyedTeam, KeyProblem, Quota, Team, Teams, Unit, team_of
from wigeonarch_gateway.ports import Dispatch
from wigeonarch_platform import dialect, records

KEY = "asnmgkcuyj8pjbvk9m68"
TEAM = Team("hule930")
TEAMS = Teams([KeyedTeam(TEAM, [KEY, "second"]), KeyedTeam(Team("other"), ["third"])])
KEYED = Dispatch("i-1", 1.0, requires_key=True, team="hule930")


@pytest.mark.parametrize(
    ("headers", "key"),
    [
        ([], None),
        ([(b"Authorization", b"Bearer " + KEY.encode())], KEY),
        ([(b"authorization", b"bearer " + KEY.encode())], KEY),
        ([(b"AUTHORIZATION", b"  Bearer   " + KEY.encode() + b" ")], KEY),
        ([(b"Authorization", b"Bearer " + KEY.upper().encode())], KEY.upper()),
        ([(b"Authorization", KEY.encode())], None),
        ([(b"Authorization", b"Bearer")], None),
        ([(b"Authorization", b"Bearer ")], None),
        ([(b"Authorization", b"Bearer a b")], None),
        ([(b"Authorization", b"Basic " + KEY.encode())], None),
        ([(b"Authorization", b"")], None),
        ([(b"Authorization", b"Bearer " + b"x" * 5_000)], None),
        ([(b"Authorization", b"Bearer second"), (b"authorization", b"Bearer third")], None),
        ([(b"Authorization", b"Bearer second"), (b"Authorization", b"Bearer second")], None),
        ([(b"Proxy-Authorization", b"Bearer second")], None),
        ([(b"Authorization", b"Bearer \xff\xfe")], "\xff\xfe"),
    ],
)
def test_key_is_read_from_the_headers(headers: list[tuple[bytes, bytes]], key: str | None) -> None:
    assert dialect.read_key(headers) == key


@pytest.mark.parametrize(
    ("teams", "key", "public", "expected"),
    [
        (None, None, False, None),
        (None, "unknown", False, None),
        (TEAMS, KEY, False, TEAM),
        (TEAMS, "second", False, TEAM),
        (TEAMS, KEY.upper(), False, KeyProblem.UNKNOWN),
        (TEAMS, "unknown", False, KeyProblem.UNKNOWN),
        (TEAMS, None, False, KeyProblem.MISSING),
        (TEAMS, None, True, None),
        (TEAMS, "unknown", True, None),
        (TEAMS, KEY, True, TEAM),
        (Teams([]), KEY, False, KeyProblem.UNKNOWN),
        (Teams([KeyedTeam(TEAM, [])]), KEY, False, KeyProblem.UNKNOWN),
    ],
)
def test_team_is_found_by_the_key(
    teams: Teams | None, key: str | None, public: bool, expected: object
) -> None:
    assert team_of(teams, key, public) == expected


@pytest.mark.parametrize(
    "keyed",
    [
        [KeyedTeam(Team("a"), ["k"]), KeyedTeam(Team("b"), ["k"])],
        [KeyedTeam(Team("a"), ["k"]), KeyedTeam(Team("a"), ["l"])],
        [KeyedTeam(Team("a"), [""])],
    ],
)
def test_error_for_ambiguous_teams_contains_no_key(keyed: list[KeyedTeam]) -> None:
    with pytest.raises(ValueError, match="team") as raised:
        Teams(keyed)
    assert "'k'" not in str(raised.value)


def test_repr_contains_no_keys() -> None:
    assert KEY not in repr(KeyedTeam(TEAM, [KEY]))
    assert KEY not in repr([getattr(TEAMS, name) for name in TEAMS.__slots__])


# What a configuration may contain.

GOOD: dict[str, Any] = {
    "name": "hule930",
    "api_keys": [KEY],
    "priority": 1,
    "unit": "tokens",
    "plain_tokens": 200,
    "rate_per_s": 95140,
    "burst": 47570,
}


def decode_teams(**changes: Any) -> Teams | None:
    tenant = {name: value for name, value in {**GOOD, **changes}.items() if value is not ...}
    return records.decode_configuration(stored({**CONFIGURATION, "tenants": [tenant]})).teams


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, Team("hule930", 1, Quota(Unit.TOKENS, 95_140.0, 47_570.0, 200.0))),
        ({"rate_per_s": 0}, Team("hule930", 1, None)),
        ({"rate_per_s": ...}, Team("hule930", 1, None)),
        ({"priority": ...}, Team("hule930", None, Quota(Unit.TOKENS, 95_140.0, 47_570.0, 200.0))),
        (
            {"unit": ..., "plain_tokens": ..., "burst": ...},
            Team("hule930", 1, Quota(Unit.REQUESTS, 95_140.0, 0.0, 0.0)),
        ),
    ],
)
def test_team_is_decoded_from_the_configuration(changes: dict[str, Any], expected: Team) -> None:
    teams = decode_teams(**changes)
    assert teams is not None
    assert teams.team_by_key(KEY) == expected
    assert teams.get("hule930") == expected


@pytest.mark.parametrize(
    "changes",
    [
        {"rate_per_s": -1},
        {"burst": -1},
        {"plain_tokens": -1},
        {"unit": "bytes"},
        {"name": ""},
        {"name": ...},
        {"api_keys": "one"},
        {"api_keys": [""]},
        {"rate_per_s": "many"},
    ],
)
def test_invalid_team_is_an_error(changes: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        decode_teams(**changes)


def test_without_teams_callers_need_no_keys() -> None:
    assert records.decode_configuration(stored(CONFIGURATION)).teams is None


# What endpoints receive.


@pytest.mark.parametrize(
    ("dispatch", "expected"),
    [
        (KEYED, [(b"X-Tenant", b"hule930")]),
        (Dispatch("i-1", 1.0, requires_key=True), []),
        (Dispatch("i-1", 1.0), [(b"Authorization", b"Bearer " + KEY.encode())]),
    ],
)
def test_team_is_forwarded_but_the_key_is_not(
    dispatch: Dispatch, expected: list[tuple[bytes, bytes]]
) -> None:
    sent = [
        (b"Authorization", b"Bearer " + KEY.encode()),
        (b"X-Tenant", b"claimed"),
        (b"x-tenant", b"claimed again"),
        (b"X_Tenant", b"claimed otherwise"),
    ]
    forwarded = dialect.endpoint_headers(sent, dispatch)
    names = {b"authorization", b"x-tenant", b"x_tenant"}
    assert [pair for pair in forwarded if pair[0].lower() in names] == expected


NAMES = [
    "Authorization",
    "authorization",
    "AUTHORIZATION",
    "Proxy-Authorization",
    "X-Tenant",
    "x-tenant",
    "X_TENANT",
    "X-Other",
    "Last-Event-Id",
    "Connection",
    "Trailer",
]
VALUES = [
    f"Bearer {KEY}",
    KEY,
    "claimed",
    "close, authorization",
    "x-tenant",
    "Authorization, X-Tenant",
    "2",
]


@given(
    st.lists(st.tuples(st.sampled_from(NAMES), st.sampled_from(VALUES)), max_size=12),
    st.sampled_from(["", "7"]),
)
def test_endpoint_gets_only_the_team_name_whatever_headers_were_sent(
    sent: list[tuple[str, str]], resume_after: str
) -> None:
    raw = [(name.encode(), value.encode()) for name, value in sent]
    dispatch = Dispatch("i-1", 1.0, 1, 1, resume_after, requires_key=True, team="hule930")
    forwarded = dialect.endpoint_headers(raw, dispatch)
    plain = [(name.lower().replace(b"_", b"-"), value) for name, value in forwarded]
    assert [value for name, value in plain if name == b"x-tenant"] == [b"hule930"]
    assert b"authorization" not in dict(plain)
    assert b"proxy-authorization" not in dict(plain)


@pytest.mark.parametrize(
    ("headers", "tokens"),
    [
        ({"x-token-counts": "1460,80"}, 1540),
        ({"x-token-counts": " 1460 , 80 "}, 1540),
        ({"x-token-counts": "1460"}, 1460),
        ({"x-token-counts": "many"}, None),
        ({}, None),
    ],
)
def test_token_counts_are_read_from_the_headers(
    headers: dict[str, str], tokens: int | None
) -> None:
    assert dialect.read_terms(headers).tokens == tokens
