"""Short soak runs with fixed seeds, and with every seed that ever failed."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
import soak

# Seeds, with the duration of their faults in seconds. A seed that failed is added with its cause
# and never changed.
SEEDS = [
    (1, 8.0),
    # A process suspended during its shutdown mistook the cancellation of its background tasks for
    # timeouts of the HTTP client. It kept serving until it was killed, and the soak hung.
    (2007, 12.0),
]


@pytest.mark.timeout(240)
@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
async def test_invariants_hold_under_faults(seed: int, seconds: float) -> None:
    _, violations = await soak.run(seed, seconds, gateways=3, callers=6)
    assert not violations


# Also with endpoints that restart under the same id, and with invalid entries by another writer.
RESTART_SEEDS = [(5000, 8.0)]


@pytest.mark.timeout(240)
@pytest.mark.parametrize(("seed", "seconds"), RESTART_SEEDS)
async def test_invariants_hold_under_restarts_and_invalid_entries(
    seed: int, seconds: float
) -> None:
    _, violations = await soak.run(seed, seconds, gateways=3, callers=6, all_faults=True)
    assert not violations


# The same with so many gateways that some follow the watches of others.
FOLLOWER_SEEDS = [
    # An engine's entry was overwritten by another writer and then restored. Its owner record had
    # been removed meanwhile, so another instance took the engine over without a pause.
    (6005, 12.0),
    (6011, 12.0),
]


@pytest.mark.timeout(240)
@pytest.mark.parametrize(("seed", "seconds"), FOLLOWER_SEEDS)
async def test_no_promise_is_broken_where_one_watches_for_others(seed: int, seconds: float) -> None:
    _, violations = await soak.run(seed, seconds, gateways=9, callers=8, all_faults=True)
    assert not violations


# With teams, one of them far beyond its quota; with restarts, suspensions and key rotations.
TEAMS_SEEDS = [(7000, 12.0)]


@pytest.mark.timeout(240)
@pytest.mark.parametrize(("seed", "seconds"), TEAMS_SEEDS)
async def test_invariants_hold_for_teams(seed: int, seconds: float) -> None:
    finished_soak, violations = await soak.run(
        seed, seconds, gateways=4, callers=10, all_faults=True, teams=True
    )
    assert not violations
    assert any(response.status == 429 for response in finished_soak.responses.values())


# With a request that crashes engines, a plain service with rate limits, endpoints that announce in
# responses that they leave or ask for a cooldown, and a store restored from an older copy. Each
# row: seed, seconds, gateways, callers.
ENDPOINT_SEEDS = [
    (8000, 10.0, 4, 6),
    # More requests than a limit allows arrived: overwriting the endpoint's entry dropped the limit.
    (9152, 8.0, 3, 8),
]


@pytest.mark.timeout(240)
@pytest.mark.parametrize(("seed", "seconds", "gateways", "callers"), ENDPOINT_SEEDS)
async def test_invariants_hold_for_crashing_and_limited_endpoints(
    seed: int, seconds: float, gateways: int, callers: int
) -> None:
    _, violations = await soak.run(
        seed, seconds, gateways, callers, all_faults=True, endpoint_checks=True
    )
    assert not violations


# The same, with requests of which one part of the prompt crashes engines.
PART_SEEDS = [(13000, 8.0)]


@pytest.mark.timeout(240)
@pytest.mark.parametrize(("seed", "seconds"), PART_SEEDS)
async def test_parts_that_crash_engines_are_sent_to_no_more_of_them(
    seed: int, seconds: float
) -> None:
    _, violations = await soak.run(
        seed, seconds, 3, 4, all_faults=True, endpoint_checks=True, parts=True
    )
    assert not violations


# With endpoints that fall when they turn requests away, and one that answers without end.
BRITTLE_SEEDS = [(15000, 12.0)]


@pytest.mark.timeout(240)
@pytest.mark.parametrize(("seed", "seconds"), BRITTLE_SEEDS)
async def test_brittle_endpoints_stay_up_and_endless_answers_are_cut_off(
    seed: int, seconds: float
) -> None:
    _, violations = await soak.run(
        seed, seconds, 4, 10, all_faults=True, endpoint_checks=True, brittle=True
    )
    assert not violations


# With several software versions side by side, and callers that take their streams up again.
VERSIONS_SEEDS = [(11000, 8.0)]


@pytest.mark.timeout(240)
@pytest.mark.parametrize(("seed", "seconds"), VERSIONS_SEEDS)
async def test_no_stream_is_joined_of_several_versions(seed: int, seconds: float) -> None:
    finished_soak, violations = await soak.run(
        seed, seconds, gateways=3, callers=4, all_faults=True, versions=True
    )
    assert not violations
    assert finished_soak.stream_checks is not None
    assert any(one.was_left and one.complete for one in finished_soak.stream_checks.streams)


# With endpoints that refuse requests now and then, and send each refusal again late.
COPIES_SEEDS = [(41000, 8.0)]


@pytest.mark.timeout(240)
@pytest.mark.parametrize(("seed", "seconds"), COPIES_SEEDS)
async def test_no_request_runs_after_a_refusal_that_was_sent_twice(
    seed: int, seconds: float
) -> None:
    _, violations = await soak.run(seed, seconds, gateways=3, callers=8, copies=True)
    assert not violations


async def test_a_process_that_a_signal_ends_before_its_program_ran_is_started_again(
    tmp_path: Path,
) -> None:
    gateway = soak.Gateway(0, "", tmp_path / "edge-0.conf")
    gateway.settings.write_text("")
    # A process inherits that SIGHUP is ignored, as under nohup.
    inherited = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        await gateway.start()
    finally:
        signal.signal(signal.SIGHUP, inherited)
    first = gateway.process
    gateway.send_signal(signal.SIGHUP)
    try:
        async with asyncio.timeout(20.0):
            while gateway.process is first:  # noqa: ASYNC110 - polled.
                await asyncio.sleep(0.05)
        assert (gateway.early_hangups, gateway.late_hangups) == (1, 0)
    finally:
        await gateway.end()
