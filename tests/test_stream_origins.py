"""What began a stream, and whether streams that nobody remembers can have one origin only."""

from __future__ import annotations

import pytest
from wigeonarch_core.stream_origins import (
    MAX_ORIGINS,
    ORIGIN_TTL,
    SEVERAL,
    Evidence,
    Origin,
    OriginMemory,
    SoftwareHistory,
    combine_evidence,
    describe_software,
    stream_key,
)

OLD, NEW = Origin("llm", "=v1"), Origin("llm", "=v1.1")
SETTLING = 5.0
WINDOW = 20.0


@pytest.mark.parametrize(
    ("one", "other", "alike"),
    [
        (("v1", "i-1", 0), ("v1", "i-2", 7), True),
        (("v1", "i-1", 0), ("v1.1", "i-1", 0), False),
        (("", "i-1", 3), ("", "i-1", 3), True),
        (("", "i-1", 3), ("", "i-1", 4), False),
        (("", "i-1", 0), ("", "i-2", 0), False),
        (("", "i-1", 0), ("v1", "i-1", 0), False),
        (("?i-1/0", "i-2", 0), ("", "i-1", 0), False),
    ],
)
def test_endpoints_are_alike_by_a_known_version_or_by_being_the_same(
    one: tuple[str, str, int], other: tuple[str, str, int], alike: bool
) -> None:
    assert (describe_software(*one) == describe_software(*other)) is alike


def test_key_contains_all_that_makes_a_stream_a_callers_own() -> None:
    parts = ["team", "content", "m/a1", "r1"]
    changed = [[*parts[:at], "x", *parts[at + 1 :]] for at in range(len(parts))]
    shifted = ["tea", "mcontent", "m/a1", "r1"]
    keys = [stream_key(*found) for found in (parts, *changed, shifted)]
    assert len(set(keys)) == len(keys)


@pytest.mark.parametrize(
    ("recorded", "expected"),
    [
        ([], None),
        ([OLD], OLD),
        ([OLD, OLD], OLD),
        ([OLD, NEW], None),
        ([OLD, NEW, OLD], None),
    ],
)
def test_origin_of_a_key_that_two_streams_use_is_unknown(
    recorded: list[Origin], expected: Origin | None
) -> None:
    memory = OriginMemory()
    for origin in recorded:
        memory.record(b"key", origin, 1.0)
    assert memory.find(b"key") == expected
    assert memory.knows(b"key") is bool(recorded)


def test_origins_are_kept_for_a_time_and_up_to_a_number() -> None:
    memory = OriginMemory()
    memory.record(b"old", OLD, 0.0)
    memory.record(b"new", OLD, ORIGIN_TTL - 1.0)
    memory.expire(ORIGIN_TTL)
    assert (memory.knows(b"old"), memory.knows(b"new")) == (False, True)
    for number in range(MAX_ORIGINS):
        memory.record(b"%d" % number, OLD, ORIGIN_TTL)
    assert (len(memory), memory.knows(b"new")) == (MAX_ORIGINS, False)


def observed(*looks: tuple[float, set[str], float]) -> SoftwareHistory:
    """Returns the history after looks at a service: time, software that runs, age of the state."""
    history = SoftwareHistory(SETTLING, 0.0)
    for now, software, age in looks:
        history.observe({"llm": software}, age, now)
    return history


ONE, BOTH, OTHER = {"=v1"}, {"=v1", "=v1.1"}, {"=v1.1"}


@pytest.mark.parametrize(
    ("looks", "now", "expected"),
    [
        ([], 100.0, None),
        ([(1.0, ONE, 0.0)], WINDOW - 1.0, None),
        ([(1.0, ONE, 0.0)], WINDOW + 1.0, OLD),
        ([(1.0, BOTH, 0.0)], WINDOW + 1.0, None),
        # The second version is gone, but streams that it began may be taken up.
        ([(1.0, BOTH, 0.0), (30.0, ONE, 0.0)], 30.0 + 1.0, OLD),
        ([(1.0, ONE, 0.0), (30.0, BOTH, 0.0), (31.0, ONE, 0.0)], 30.0 + WINDOW - 1.0, None),
        ([(1.0, ONE, 0.0), (30.0, BOTH, 0.0), (31.0, ONE, 0.0)], 30.0 + WINDOW + 1.0, OLD),
        # One version took the place of another between two looks.
        ([(1.0, ONE, 0.0), (30.0, OTHER, 0.0)], 30.0 + WINDOW - 1.0, None),
        ([(1.0, ONE, 0.0), (30.0, OTHER, 0.0)], 30.0 + WINDOW + 1.0, NEW),
        # What ran meanwhile is not known.
        ([(1.0, ONE, 0.0), (30.0, ONE, SETTLING)], 30.0 + WINDOW - 1.0, None),
        ([(1.0, ONE, 0.0), (30.0, ONE, SETTLING - 0.1)], 31.0, OLD),
    ],
)
def test_only_origin_of_streams(
    looks: list[tuple[float, set[str], float]], now: float, expected: Origin | None
) -> None:
    assert observed(*looks).only_origin("llm", WINDOW, now) == expected


@pytest.mark.parametrize(
    ("evidence", "now", "expected"),
    [
        ({}, 1.0, OLD),  # Nobody has begun a stream of the service.
        ({"llm": Evidence("=v1")}, 1.0, OLD),
        ({"llm": Evidence("=v1", -5.0)}, WINDOW - 6.0, None),
        ({"llm": Evidence("=v1", -5.0)}, WINDOW - 1.0, OLD),
        ({"llm": Evidence("=v0")}, WINDOW, None),
        ({"llm": Evidence(SEVERAL, -30.0)}, WINDOW, None),
        ({"llm": Evidence("=v0")}, WINDOW + 1.0, OLD),
        ({"desk": Evidence("=v0")}, 1.0, OLD),
    ],
)
def test_instance_that_starts_relies_on_what_all_have_stored(
    evidence: dict[str, Evidence], now: float, expected: Origin | None
) -> None:
    history = observed((0.5, ONE, 0.0))
    assert history.only_origin("llm", WINDOW, 1.0) is None
    history.adopt(evidence, 0.5, 0.8)
    assert history.only_origin("llm", WINDOW, now) == expected


@pytest.mark.parametrize(
    ("looks", "requested_at", "expected"),
    [
        ([(0.5, ONE, 0.0)], 0.4, None),  # A stream could begin in between and never be seen.
        ([(0.5, ONE, 0.0)], 0.5, OLD),
        ([(0.5, ONE, SETTLING)], 0.5, None),
        ([(0.5, ONE, 0.0), (0.6, ONE, SETTLING), (0.7, ONE, 0.0)], 0.5, None),
    ],
)
def test_evidence_is_relied_on_only_if_it_was_requested_once_the_state_was_confirmed(
    looks: list[tuple[float, set[str], float]], requested_at: float, expected: Origin | None
) -> None:
    history = observed(*looks)
    history.adopt({}, requested_at, 0.8)
    assert history.only_origin("llm", WINDOW, 1.0) == expected


def test_evidence_is_needed_again_after_a_gap() -> None:
    history = observed((0.5, ONE, 0.0))
    assert history.needs_evidence()
    history.adopt({}, 0.5, 0.6)
    assert not history.needs_evidence()
    history.observe({"llm": ONE}, SETTLING, 10.0)
    assert not history.needs_evidence()
    assert history.only_origin("llm", WINDOW, 10.0) is None
    history.observe({"llm": ONE}, 0.0, 11.0)
    assert history.needs_evidence()
    history.adopt({}, 11.0, 11.1)
    assert history.only_origin("llm", WINDOW, 11.2) == OLD


@pytest.mark.parametrize(
    ("found", "expected"),
    [
        ([], {}),
        ([("llm", Evidence("=v1", 3.0))], {"llm": Evidence("=v1", 3.0)}),
        (
            [("llm", Evidence("=v1", 3.0)), ("llm", Evidence("=v1", 7.0))],
            {"llm": Evidence("=v1", 7.0)},
        ),
        (
            [("llm", Evidence("=v1", 3.0)), ("llm", Evidence("=v1.1"))],
            {"llm": Evidence(SEVERAL, 3.0)},
        ),
        (
            [("llm", Evidence("=v1")), ("desk", Evidence("=v2"))],
            {"llm": Evidence("=v1"), "desk": Evidence("=v2")},
        ),
    ],
)
def test_evidence_of_several_instances(
    found: list[tuple[str, Evidence]], expected: dict[str, Evidence]
) -> None:
    assert combine_evidence(found) == expected


@pytest.mark.parametrize(
    ("software", "now", "settled"),
    [
        ("=v1", 1.0, True),
        ("=v1.1", 10.0, False),
        ("=v1.1", 10.0 + SETTLING - 0.1, False),
        ("=v1.1", 10.0 + SETTLING, True),
        ("=v2", 100.0, False),
    ],
)
def test_new_software_settles_once_all_instances_know_of_it(
    software: str, now: float, settled: bool
) -> None:
    history = observed((1.0, ONE, 0.0), (10.0, BOTH, 0.0))
    assert history.is_settled("llm", software, now) is settled
    assert not history.is_settled("desk", software, now)


def test_services_that_ran_several_versions_are_told_for_a_time() -> None:
    history = observed((1.0, ONE, 0.0), (10.0, BOTH, 0.0), (11.0, ONE, 0.0))
    assert history.mixed_at(12.0) == {"llm": 10.0}
    assert history.mixed_at(10.0 + ORIGIN_TTL) == {}
