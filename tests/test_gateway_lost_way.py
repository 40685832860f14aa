"""Requests at an instance that has lost its way to the endpoints, while others reach them.

Callers, the store and the other instances still reach it. Its connections to endpoints fail at
once, or hang.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from functools import partial

import aiohttp
import pytest
from gateway_world import (
    HOST,
    CallerResponse,
    World,
    configuration,
    cut_from_endpoints,
    team,
    until,
    until_true,
    world,
)
from standins.replica import Replica, ReplicaFault, encode_event
from wigeonarch_core.fatal_requests import crash_id
from wigeonarch_gateway.exchange import CallerRequest, ResponseWriter
from wigeonarch_gateway.internal_headers import NOT_RUN_HEADER, TERMS_HEADER
from wigeonarch_gateway.member import Member
from wigeonarch_gateway.messages import CrashReport
from wigeonarch_gateway.node import Node
from wigeonarch_gateway.peer_forwarding import MAX_PEERS
from wigeonarch_gateway.peer_requests import PeerRequests
from wigeonarch_gateway.peer_terms import HandoverTerms, encode_terms

# First requests at the instance, in which it may learn that its way is lost.
LEARNING = 6
ASKED = 20
STREAM = b"".join(encode_event(number) for number in range(1, 7))


async def lose_way(deployment: World, monkeypatch: pytest.MonkeyPatch, silent: bool) -> None:
    """Cuts instance 0 from all endpoints, and waits until requests have shown it."""
    for node in range(len(deployment.nodes)):
        await deployment.wait_until_served("/ask/x", node=node)
        await deployment.wait_until_served("/write/x", node=node, adapter="a1")
    cut_from_endpoints(deployment.nodes[0], monkeypatch, silent)
    for path, adapter in (("/ask/x", ""), ("/write/x", "a1")):
        for _ in range(LEARNING):
            await deployment.send_request(path, adapter=adapter)


@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize(
    ("path", "adapter"), [("/ask/x", ""), ("/book/x", ""), ("/write/x", "a1"), ("/draft/x", "a1")]
)
async def test_requests_are_served_although_their_instance_reaches_no_endpoint(
    path: str, adapter: str, silent: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with world(nodes=2) as deployment:
        await lose_way(deployment, monkeypatch, silent)
        for replica in deployment.replicas:
            replica.executed.clear()
        requests = (deployment.send_request(path, b"%d" % n, adapter=adapter) for n in range(ASKED))
        answers = await asyncio.gather(*requests)
        assert Counter((answer.status, answer.complete) for answer in answers) == {
            (200, True): ASKED
        }
        runs = Counter(s.body for replica in deployment.replicas for s in replica.executed)
        assert runs == {b"%d" % n: 1 for n in range(ASKED)}


async def test_instance_serves_by_itself_again_when_its_way_is_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=2) as deployment:
        await lose_way(deployment, monkeypatch, silent=True)
        monkeypatch.undo()
        desk = deployment.replicas[1]

        async def is_sent_directly() -> bool:
            desk.executed.clear()
            answer = await deployment.send_request("/ask/x")
            return answer.status == 200 and desk.executed[-1].peer == deployment.options[0].ip

        await until(is_sent_directly)


async def test_request_is_refused_and_not_passed_in_circles_if_no_instance_reaches_an_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=3) as deployment:
        await lose_way(deployment, monkeypatch, silent=False)
        for node in deployment.nodes[1:]:
            cut_from_endpoints(node, monkeypatch, silent=False)
        for node in deployment.nodes:
            # As long as an instance has not heard that the others reach nothing, either.
            node._peer_forwarder._peers = partial(known_members, node)
        deployment.replicas[1].executed.clear()
        before = [handovers(node) for node in deployment.nodes]
        for number in range(ASKED):
            answer = await deployment.send_request("/book/x", b"%d" % number)
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
        assert not deployment.replicas[1].executed
        sent = [handovers(node) - was for node, was in zip(deployment.nodes, before, strict=True)]
        assert sent[0] <= MAX_PEERS * ASKED
        assert sent[1:] == [0, 0]


def known_members(node: Node, service: str) -> list[Member]:
    """Returns all instances that an instance knows, whatever they reach."""
    return list(node._members._members.values())


def handovers(node: Node) -> float:
    """Returns the number of requests that an instance handed over."""
    samples = [s for family in node._metrics.handovers.collect() for s in family.samples]
    return sum(
        sample.value
        for sample in samples
        if sample.labels.get("direction") == "out" and sample.name.endswith("_total")
    )


@pytest.mark.parametrize(
    ("fault", "path", "adapter", "status", "complete"),
    [
        (ReplicaFault.SHED, "/book/x", "", 503, True),
        (ReplicaFault.RESET, "/book/x", "", 502, True),
        (ReplicaFault.ERROR, "/book/x", "", 500, True),
        (ReplicaFault.CUT, "/book/x", "", 502, True),
        (ReplicaFault.CUT, "/write/x", "a1", 200, False),
    ],
)
async def test_failure_of_an_endpoint_is_told_alike_over_a_peer(
    fault: ReplicaFault,
    path: str,
    adapter: str,
    status: int,
    complete: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=2) as deployment:
        await lose_way(deployment, monkeypatch, silent=False)
        replica = deployment.replicas[0 if adapter else 1]
        replica.fault = fault
        replica.executed.clear()
        answer = await deployment.send_request(path, adapter=adapter)
        assert (answer.status, answer.complete) == (status, complete)
        assert len(replica.executed) == (status != 503)
        assert STREAM.startswith(answer.body) or answer.status != 200


async def test_request_that_is_lost_with_the_peer_may_have_run_and_is_not_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=3) as deployment:
        await lose_way(deployment, monkeypatch, silent=False)
        desk = deployment.replicas[1]
        desk.fault = ReplicaFault.SILENT
        desk.executed.clear()
        answer = asyncio.create_task(deployment.send_request("/book/x"))
        await until_true(lambda: desk.executed)
        [peer] = [node for node in deployment.nodes if node._peer_server.in_progress]
        await peer._peer_server.close()
        assert (await answer).status == 502
        assert len(desk.executed) == 1


async def test_engine_stops_when_the_caller_of_a_handed_over_stream_leaves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=2) as deployment:
        await lose_way(deployment, monkeypatch, silent=False)
        engine = deployment.replicas[0]
        engine.events = 100_000
        engine.executed.clear()
        asked = asyncio.create_task(deployment.send_request("/write/x", adapter="a1"))
        await until_true(lambda: engine.executed)
        asked.cancel()
        await until_true(lambda: engine.cancelled)


async def test_api_key_stays_with_the_instance_that_took_the_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=2) as deployment:
        teams = [team("gold", "key-1", priority=0), team("plain", "key-2")]
        await deployment.store.put("config", "main", configuration(2, teams=teams))
        desk = deployment.replicas[1]

        async def is_served_with_key() -> bool:
            answer = await deployment.send_request("/ask/x", Authorization="Bearer key-1")
            return answer.status == 200 and desk.executed[-1].headers.get("x-tenant") == "gold"

        await until(is_served_with_key)
        cut_from_endpoints(deployment.nodes[0], monkeypatch, silent=False)
        taken_over: list[CallerRequest] = []
        serve = PeerRequests.serve

        async def note_and_serve(
            self: PeerRequests, request: CallerRequest, response: ResponseWriter
        ) -> None:
            taken_over.append(request)
            await serve(self, request, response)

        server = deployment.nodes[1]._peer_server
        monkeypatch.setattr(server, "_serve", note_and_serve.__get__(server._serve.__self__))  # type: ignore[attr-defined]

        async def is_handed_over() -> bool:
            answer = await deployment.send_request("/ask/x", Authorization="Bearer key-1")
            return answer.status == 200 and bool(taken_over)

        await until(is_handed_over)
        assert desk.executed[-1].headers["x-tenant"] == "gold"
        sent = [value for request in taken_over for _, value in request.raw_headers]
        assert not any(b"key-1" in value for value in sent)
        assert "authorization" not in desk.executed[-1].headers


async def test_lost_way_does_not_make_a_request_suspect_of_crashing_endpoints(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=2) as deployment:
        desks = [deployment.replicas[1]]
        for number in range(2, 4):
            desks.append(await deployment.add_replica(Replica("desk", name=f"i-desk{number}")))

        async def all_ran() -> bool:
            await asyncio.gather(*(deployment.send_request("/ask/x") for _ in range(12)))
            return all(desk.executed for desk in desks)

        await until(all_ran)
        cut_from_endpoints(deployment.nodes[0], monkeypatch, silent=False, keeps_idle=True)
        for desk in desks:
            desk.fault = ReplicaFault.RESET
        for _ in range(LEARNING):
            await deployment.send_request("/ask/x", b"the same")
        monkeypatch.undo()
        for desk in desks:
            desk.fault = ReplicaFault.NONE
        for node in range(2):
            await deployment.wait_until_served("/ask/x", node=node)
            answer = await deployment.send_request("/ask/x", b"the same", node=node)
            assert answer.status == 200


async def test_requests_are_served_while_old_connections_live_on_and_new_ones_fail(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world(nodes=2) as deployment:
        for node in range(2):
            await deployment.wait_until_served("/book/x", node=node)
        cut_from_endpoints(deployment.nodes[0], monkeypatch, silent=False, keeps_idle=True)
        deployment.replicas[1].executed.clear()
        requests = (deployment.send_request("/book/x", b"%d" % n) for n in range(ASKED))
        answers = await asyncio.gather(*requests)
        assert Counter(answer.status for answer in answers) == {200: ASKED}
        runs = Counter(s.body for s in deployment.replicas[1].executed)
        assert runs == {b"%d" % n: 1 for n in range(ASKED)}


async def test_another_process_at_an_endpoints_address_retracts_no_crash() -> None:
    async with world() as deployment:
        await deployment.wait_until_served("/ask/x")
        desk, suspects = deployment.replicas[1], deployment.nodes[0]._suspects
        suspects.receive_report(CrashReport("peer", [("key", crash_id("i-desk", 0), 0)], [], []))
        desk.name = "i-other"
        for _ in range(3):
            await deployment.send_request("/ask/x")
        assert suspects.crash_count("key") == 1
        desk.name = "i-desk"
        await deployment.wait_until_served("/ask/x")
        assert suspects.crash_count("key") == 0


async def hand_over(deployment: World, path: str, terms: HandoverTerms) -> CallerResponse:
    """Hands a request over to instance 1 as instance 0 does."""
    own, peer = deployment.options[:2]
    headers = {"Host": HOST, "X-Request-Id": "handed", "X-Deadline-Ms": "9000"}
    headers[TERMS_HEADER.decode()] = encode_terms(terms).decode()
    connector = aiohttp.TCPConnector(local_addr=(own.ip, 0))
    url = f"http://{peer.ip}:{deployment.peer_port}{path}"
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        session.post(url, headers=headers) as resp,
    ):
        found = {name.lower(): value for name, value in resp.headers.items()}
        return CallerResponse(resp.status, found, await resp.read())


@pytest.mark.parametrize("path", ["/ask/x", "/book/x"])
@pytest.mark.parametrize(("ran_on", "is_not_run"), [((), True), (("i-elsewhere",), False)])
async def test_peer_does_not_promise_not_run_of_what_may_have_run_before(
    path: str, ran_on: tuple[str, ...], is_not_run: bool
) -> None:
    async with world(nodes=2) as deployment:
        await deployment.wait_until_served(path, node=1)
        deployment.replicas[1].fault = ReplicaFault.SHED
        answer = await hand_over(deployment, path, HandoverTerms("edge-0", 0.0, "", ran_on))
        assert (answer.status == 503) is is_not_run
        assert (NOT_RUN_HEADER.decode() in answer.headers) is is_not_run


async def test_peer_counts_the_endpoints_on_which_a_request_may_have_run_before() -> None:
    async with world(nodes=2) as deployment:
        await deployment.add_replica(Replica("desk", name="i-desk2"))
        await until_true(lambda: deployment.nodes[1]._endpoints.get("i-desk2"))
        await deployment.wait_until_served("/ask/x", node=1)
        desks = deployment.replicas[1:]
        for desk in desks:
            desk.fault = ReplicaFault.ERROR
            desk.executed.clear()
        terms = HandoverTerms("edge-0", 0.0, "", ("i-elsewhere",))
        answer = await hand_over(deployment, "/ask/x", terms)
        assert answer.status == 500
        # The route allows two endpoints.
        assert sum(len(desk.executed) for desk in desks) == 1


async def test_time_under_way_before_a_handover_counts() -> None:
    async with world(nodes=2) as deployment:
        await deployment.wait_until_served("/ask/x", node=1)
        desk = deployment.replicas[1]
        desk.executed.clear()
        answer = await hand_over(deployment, "/ask/x", HandoverTerms("edge-0", 4.0, "", ()))
        assert answer.status == 200
        # The route's timeout is 5 s.
        assert int(desk.executed[-1].headers["x-deadline-ms"]) <= 1000
