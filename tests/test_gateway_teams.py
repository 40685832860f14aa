"""Keys, teams and quotas through gateways: who is let in, what endpoints see, and what holds."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from gateway_world import (
    CallerResponse,
    World,
    configuration,
    route,
    team,
    until,
    until_true,
    world,
)
from standins.replica import Seen

KEY, SECOND, OTHER = "key-of-one", "second-of-one", "key-of-other"
OPEN = route("open", "idempotent", "desk", public=True)
REFUSED = {429, 503}


def bearer(key: str) -> dict[str, Any]:
    return {"Authorization": f"Bearer {key}"}


async def put_teams(found: World, version: int, *teams: dict[str, Any]) -> None:
    """Puts a configuration in force at all gateways."""
    await found.store.put("config", "main", configuration(version, OPEN, teams=list(teams)))

    def in_force() -> bool:
        tables = [node._catalogue.table for node in found.nodes]
        return all(table is not None and table.version == version for table in tables)

    await until_true(in_force)
    await until_true(lambda: not any(node._is_behind() for node in found.nodes))


async def served(found: World, key: str, node: int = 0) -> CallerResponse:
    """Returns the first answer that is none of the gateway's refusals."""
    answers: list[CallerResponse] = []

    async def ok() -> bool:
        answers.append(await found.send_request("/ask/x", node=node, **bearer(key)))
        return answers[-1].status not in REFUSED

    await until(ok)
    return answers[-1]


async def test_the_endpoint_is_told_the_team_and_never_the_key() -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY, SECOND), team("other", OTHER))
        for key, name in ((KEY, "one"), (SECOND, "one"), (OTHER, "other")):
            found.replicas[1].ran.clear()
            answer = await found.send_request("/ask/x", X_Tenant="claimed", **bearer(key))
            assert answer.status == 200
            (seen,) = found.replicas[1].ran
            assert seen.headers["x-tenant"] == name
            assert "authorization" not in seen.headers


@pytest.mark.parametrize(
    ("path", "headers", "status"),
    [
        ("/ask/x", {}, 401),
        ("/ask/x", bearer("unknown"), 401),
        ("/ask/x", {"Authorization": KEY}, 401),
        ("/none/x", {}, 404),
        ("/none/x", bearer(KEY), 404),
    ],
)
async def test_who_is_not_let_in_is_sent_nowhere(
    path: str, headers: dict[str, Any], status: int
) -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY))
        answer = await found.send_request(path, **headers)
        assert answer.status == status
        assert KEY.encode() not in answer.body
        assert not found.replicas[1].arrived


async def test_a_public_route_needs_no_key_and_a_key_goes_no_further() -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY))
        for headers, name in (({}, None), (bearer("unknown"), None), (bearer(KEY), "one")):
            found.replicas[1].ran.clear()
            answer = await found.send_request("/open/x", X_Tenant="claimed", **headers)
            assert answer.status == 200
            (seen,) = found.replicas[1].ran
            assert seen.headers.get("x-tenant") == name
            assert "authorization" not in seen.headers


async def test_keys_are_added_moved_and_taken_away_by_new_versions() -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY), team("other", OTHER))
        await put_teams(found, 3, team("one"), team("other", OTHER, KEY, SECOND))
        assert (await found.send_request("/ask/x", **bearer(SECOND))).status == 200
        assert (await found.send_request("/ask/x", **bearer(KEY))).status == 200
        assert {seen.headers["x-tenant"] for seen in found.replicas[1].ran} == {"other"}
        await put_teams(found, 4, team("one"), team("other", OTHER))
        assert (await found.send_request("/ask/x", **bearer(KEY))).status == 401


async def test_a_stream_whose_key_is_taken_away_is_finished() -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY))
        llm = found.replicas[0]
        await until(lambda: _streams(found))
        llm.events = 60
        stream = asyncio.create_task(
            found.send_request("/write/x", adapter="a1", node=0, **bearer(KEY))
        )
        await until_true(lambda: len(llm.ran) > 1)
        await put_teams(found, 3, team("one"))
        assert (await found.send_request("/write/x", adapter="a1", **bearer(KEY))).status == 401
        answer = await stream
        assert answer.complete
        assert answer.body.count(b"data:") == 60


async def _streams(found: World) -> bool:
    answer = await found.send_request("/write/x", adapter="a1", **bearer(KEY))
    return answer.status == 200


async def test_a_teams_priority_goes_before_its_routes() -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY, priority=7), team("other", OTHER))
        await until(lambda: _streams(found))
        answer = await found.send_request("/write/x", adapter="a1", **bearer(OTHER))
        assert answer.status == 200
        by_team = {seen.headers["x-tenant"]: seen for seen in found.replicas[0].ran}
        assert by_team["one"].headers["x-request-priority"] == "7"
        assert by_team["other"].headers["x-request-priority"] == "1"


async def test_a_configuration_whose_teams_cannot_be_read_leaves_the_last_one_in_force() -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY))
        bad = configuration(3, teams=[team("one", KEY), team("other", KEY)])
        await found.store.put("config", "main", bad)
        await put_teams(found, 4, team("one", SECOND))
        assert (await found.send_request("/ask/x", **bearer(KEY))).status == 401
        assert (await found.send_request("/ask/x", **bearer(SECOND))).status == 200


# Quotas.

LIMIT = {"rate_per_s": 1, "burst": 3}
WINDOW = 8.0  # Seconds.
MOST = 8 * 1 + 3  # Requests in any window.


def most_in_a_window(ran: list[Seen]) -> int:
    times = [seen.at for seen in ran]
    return max(sum(at <= other < at + WINDOW for other in times) for at in times)


async def test_beyond_its_quota_a_team_is_refused_and_others_are_not() -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY, **LIMIT), team("other", OTHER))
        answers = await asyncio.gather(
            *(found.send_request("/ask/x", **bearer(KEY)) for _ in range(3 * MOST))
        )
        refused = [answer for answer in answers if answer.status == 429]
        assert refused
        assert all(float(answer.headers["retry-after"]) > 0.0 for answer in refused)
        assert len(found.replicas[1].arrived) == len(answers) - len(refused)
        assert (await found.send_request("/ask/x", **bearer(OTHER))).status == 200
        assert (await served(found, KEY)).status == 200  # Its turn comes.


@pytest.mark.parametrize("lost", [None, 0, 1, 2])
async def test_a_quota_holds_over_all_instances_together(lost: int | None) -> None:
    async with world(nodes=3) as found:
        await put_teams(found, 2, team("one", KEY, **LIMIT))
        desk = found.replicas[1]
        for node in range(3):
            await served(found, KEY, node)
        if lost is not None:
            found.nodes[lost].stop()
        left = [node for node in range(3) if node != lost]
        for _ in range(12):
            await asyncio.gather(
                *(found.send_request("/ask/x", node=node, **bearer(KEY)) for node in left * 4)
            )
        assert most_in_a_window(desk.ran) <= MOST
        for node in left:
            assert (await served(found, KEY, node)).status == 200


async def test_credit_of_a_request_that_no_endpoint_ran_is_given_back() -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY, **LIMIT))
        await found.store.delete("servers", "i-desk")
        await until_true(lambda: not found.nodes[0]._endpoints.ready("desk"))

        async def credited() -> bool:
            return (await found.send_request("/ask/x", **bearer(KEY))).status == 503

        await until(credited)
        answers = [await found.send_request("/ask/x", **bearer(KEY)) for _ in range(MOST + 1)]
        assert {answer.status for answer in answers} == {503}


async def test_a_key_that_is_unknown_to_an_instance_behind_the_store_is_sent_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY))
        sharing = found.nodes[0]._sharing
        monkeypatch.setattr(type(sharing), "age", lambda self, kind: 60.0)
        answer = await found.send_request("/ask/x", **bearer("unknown"))
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert (await found.send_request("/ask/x", **bearer(KEY))).status == 200


async def test_figures_are_kept_by_team() -> None:
    async with world() as found:
        await put_teams(found, 2, team("one", KEY, **LIMIT))
        await served(found, KEY)
        page = await found.metrics()
        assert 'wigeonarch_gateway_team_answer_seconds_count{team="one"}' in page
        assert 'wigeonarch_gateway_quota_requests_total{outcome="admitted",team="one"}' in page
        assert KEY not in page
