"""API keys, teams and quotas: which requests gateways admit, and what endpoints see of them."""

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
from standins.replica import ReceivedRequest

KEY, SECOND, OTHER = "key-of-one", "second-of-one", "key-of-other"
OPEN = route("open", "idempotent", "desk", public=True)
REFUSED = {429, 503}


def bearer(key: str) -> dict[str, Any]:
    return {"Authorization": f"Bearer {key}"}


async def put_teams(deployment: World, version: int, *teams: dict[str, Any]) -> None:
    """Stores a configuration and waits until it is in force at all gateways."""
    await deployment.store.put("config", "main", configuration(version, OPEN, teams=list(teams)))

    def in_force() -> bool:
        tables = [node._catalogue.table for node in deployment.nodes]
        return all(table is not None and table.version == version for table in tables)

    await until_true(in_force)
    await until_true(lambda: not any(node._freshness.is_behind() for node in deployment.nodes))


async def wait_until_served(deployment: World, key: str, node: int = 0) -> CallerResponse:
    """Sends requests until one is not refused by the gateway, and returns its response."""
    answers: list[CallerResponse] = []

    async def is_served() -> bool:
        answers.append(await deployment.send_request("/ask/x", node=node, **bearer(key)))
        return answers[-1].status not in REFUSED

    await until(is_served)
    return answers[-1]


async def test_endpoint_gets_the_team_and_never_the_key() -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY, SECOND), team("other", OTHER))
        for key, name in ((KEY, "one"), (SECOND, "one"), (OTHER, "other")):
            deployment.replicas[1].executed.clear()
            answer = await deployment.send_request("/ask/x", X_Tenant="claimed", **bearer(key))
            assert answer.status == 200
            (seen,) = deployment.replicas[1].executed
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
async def test_denied_request_reaches_no_endpoint(
    path: str, headers: dict[str, Any], status: int
) -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY))
        answer = await deployment.send_request(path, **headers)
        assert answer.status == status
        assert KEY.encode() not in answer.body
        assert not deployment.replicas[1].received


async def test_public_route_needs_no_key_and_keys_are_not_forwarded() -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY))
        for headers, name in (({}, None), (bearer("unknown"), None), (bearer(KEY), "one")):
            deployment.replicas[1].executed.clear()
            answer = await deployment.send_request("/open/x", X_Tenant="claimed", **headers)
            assert answer.status == 200
            (seen,) = deployment.replicas[1].executed
            assert seen.headers.get("x-tenant") == name
            assert "authorization" not in seen.headers


async def test_new_configurations_add_move_and_remove_keys() -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY), team("other", OTHER))
        await put_teams(deployment, 3, team("one"), team("other", OTHER, KEY, SECOND))
        assert (await deployment.send_request("/ask/x", **bearer(SECOND))).status == 200
        assert (await deployment.send_request("/ask/x", **bearer(KEY))).status == 200
        assert {seen.headers["x-tenant"] for seen in deployment.replicas[1].executed} == {"other"}
        await put_teams(deployment, 4, team("one"), team("other", OTHER))
        assert (await deployment.send_request("/ask/x", **bearer(KEY))).status == 401


async def test_stream_is_completed_after_its_key_was_removed() -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY))
        llm = deployment.replicas[0]
        await until(lambda: _streams(deployment))
        llm.events = 60
        stream = asyncio.create_task(
            deployment.send_request("/write/x", adapter="a1", node=0, **bearer(KEY))
        )
        await until_true(lambda: len(llm.executed) > 1)
        await put_teams(deployment, 3, team("one"))
        assert (
            await deployment.send_request("/write/x", adapter="a1", **bearer(KEY))
        ).status == 401
        answer = await stream
        assert answer.complete
        assert answer.body.count(b"data:") == 60


async def _streams(deployment: World) -> bool:
    answer = await deployment.send_request("/write/x", adapter="a1", **bearer(KEY))
    return answer.status == 200


async def test_priority_of_the_team_overrides_that_of_the_route() -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY, priority=7), team("other", OTHER))
        await until(lambda: _streams(deployment))
        answer = await deployment.send_request("/write/x", adapter="a1", **bearer(OTHER))
        assert answer.status == 200
        by_team = {seen.headers["x-tenant"]: seen for seen in deployment.replicas[0].executed}
        assert by_team["one"].headers["x-request-priority"] == "7"
        assert by_team["other"].headers["x-request-priority"] == "1"


async def test_configuration_with_malformed_teams_leaves_the_last_one_in_force() -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY))
        bad = configuration(3, teams=[team("one", KEY), team("other", KEY)])
        await deployment.store.put("config", "main", bad)
        await put_teams(deployment, 4, team("one", SECOND))
        assert (await deployment.send_request("/ask/x", **bearer(KEY))).status == 401
        assert (await deployment.send_request("/ask/x", **bearer(SECOND))).status == 200


# Quotas.

LIMIT = {"rate_per_s": 1, "burst": 3}
WINDOW = 8.0  # Seconds.
MAX_IN_WINDOW = 8 * 1 + 3  # Requests that any window may hold.


def most_in_a_window(ran: list[ReceivedRequest]) -> int:
    times = [seen.at for seen in ran]
    return max(sum(at <= other < at + WINDOW for other in times) for at in times)


async def test_team_beyond_its_quota_is_refused_and_others_are_not() -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY, **LIMIT), team("other", OTHER))
        answers = await asyncio.gather(
            *(deployment.send_request("/ask/x", **bearer(KEY)) for _ in range(3 * MAX_IN_WINDOW))
        )
        refused = [answer for answer in answers if answer.status == 429]
        assert refused
        assert all(float(answer.headers["retry-after"]) > 0.0 for answer in refused)
        assert len(deployment.replicas[1].received) == len(answers) - len(refused)
        assert (await deployment.send_request("/ask/x", **bearer(OTHER))).status == 200
        assert (
            await wait_until_served(deployment, KEY)
        ).status == 200  # Units become available again.


@pytest.mark.parametrize("stopped", [None, 0, 1, 2])
async def test_quota_is_kept_by_all_instances_together(stopped: int | None) -> None:
    async with world(nodes=3) as deployment:
        await put_teams(deployment, 2, team("one", KEY, **LIMIT))
        desk = deployment.replicas[1]
        for node in range(3):
            await wait_until_served(deployment, KEY, node)
        if stopped is not None:
            deployment.nodes[stopped].stop()
        remaining = [node for node in range(3) if node != stopped]
        for _ in range(12):
            await asyncio.gather(
                *(
                    deployment.send_request("/ask/x", node=node, **bearer(KEY))
                    for node in remaining * 4
                )
            )
        assert most_in_a_window(desk.executed) <= MAX_IN_WINDOW
        for node in remaining:
            assert (await wait_until_served(deployment, KEY, node)).status == 200


async def test_quota_units_of_a_request_that_no_endpoint_ran_are_refunded() -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY, **LIMIT))
        await deployment.store.delete("servers", "i-desk")
        await until_true(lambda: not deployment.nodes[0]._endpoints.ready("desk"))

        async def is_admitted() -> bool:
            return (await deployment.send_request("/ask/x", **bearer(KEY))).status == 503

        await until(is_admitted)
        answers = [
            await deployment.send_request("/ask/x", **bearer(KEY)) for _ in range(MAX_IN_WINDOW + 1)
        ]
        assert {answer.status for answer in answers} == {503}


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        ("/ask/x", bearer("unknown")),
        ("/ask/x", {}),  # The route may need no key any more.
        ("/new/x", bearer(KEY)),
        ("/new/x", {}),
    ],
)
async def test_request_is_not_denied_by_a_configuration_that_may_be_outdated(
    monkeypatch: pytest.MonkeyPatch, path: str, headers: dict[str, Any]
) -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY))
        sharing = deployment.nodes[0]._sharing
        monkeypatch.setattr(type(sharing), "age", lambda self, kind: 60.0)
        answer = await deployment.send_request(path, **headers)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0.0
        assert not deployment.replicas[1].received
        assert (await deployment.send_request("/ask/x", **bearer(KEY))).status == 200


async def test_metrics_are_labeled_by_team() -> None:
    async with world() as deployment:
        await put_teams(deployment, 2, team("one", KEY, **LIMIT))
        await wait_until_served(deployment, KEY)
        page = await deployment.metrics()
        assert 'wigeonarch_gateway_team_answer_seconds_count{team="one"}' in page
        assert 'wigeonarch_gateway_quota_requests_total{outcome="admitted",team="one"}' in page
        assert KEY not in page
