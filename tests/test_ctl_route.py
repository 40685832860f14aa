"""`wigeonctl route`: how it asks instances, what it prints, and what it returns."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import pytest
from gateway_world import HOST, World, configuration, team, until, until_true, world
from loguru import logger
from ports import free_port
from wigeonarch_ctl import exits, routeanswer, routequery, routetext, texts
from wigeonarch_ctl.cli import main
from wigeonarch_gateway import route_answer
from wigeonarch_gateway.route_answer import (
    MAX_HEADERS,
    MAX_QUERY_BYTES,
    Action,
    CandidateFacts,
    Choice,
    Figure,
    Knowledge,
    Problem,
    Refusal,
    RouteAnswer,
    RouteFacts,
)

KEY = "key-of-deli-5b1f"
KNOWN = Knowledge(7, 0.21, "store", False, float("inf"), 0.2)
ROUTE = RouteFacts("ask", HOST, "/ask/", "idempotent", "desk", {"desk": 1}, 0.8, 5.0, 2, 1)
FIGURES: dict[str, Figure] = {
    "running": 3,
    "failing": 0.25,
    "holds": True,
    "loading_left": None,
    "new_figure": 8,
}
CANDIDATES = (
    CandidateFacts(
        "i-1", "h:1", "a", "ready", "", True, False, 0, 0, 0, 0, 0.0123, figures=FIGURES
    ),
    CandidateFacts("i-2", "h:2", "b", "leaving", "v2", False, True, 1.5, 0, 0, 0),
)
SENT = RouteAnswer(
    "edge-0",
    "a",
    KNOWN,
    route=ROUTE,
    choice=Choice(Action.SEND, "i-1", 0.0123),
    runner_up=Choice(Action.LOAD, "i-2", 0.5, waits_for=1.6),
    candidate_count=3,
    candidates=CANDIDATES,
    notes=("something",),
)
REFUSED = RouteAnswer(
    "edge-1", "a", KNOWN, route=ROUTE, refusal=Refusal(429, "over_quota", "not run", 0.4)
)
NO_HOST = RouteAnswer(
    "edge-2",
    "a",
    KNOWN,
    problems=(Problem.UNKNOWN_HOST,),
    refusal=Refusal(404, "no_route", "no route"),
)


class Page:
    """A metrics port that gives one reply to each question, and keeps the questions."""

    def __init__(self, status: int, body: bytes) -> None:
        self.paths: list[str] = []
        self.questions: list[dict[str, Any]] = []
        page = self

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                page.paths.append(self.path)
                length = int(self.headers["Content-Length"])
                page.questions.append(json.loads(self.rfile.read(length)))
                self.send_response(status)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, format: str, *args: Any) -> None:
                """Logs nothing."""

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_port}"


@contextmanager
def page(reply: RouteAnswer | bytes, status: int = 200) -> Iterator[Page]:
    """Runs a metrics port that gives a reply."""
    body = reply if isinstance(reply, bytes) else msgspec.json.encode(reply)
    found = Page(status, body)
    thread = threading.Thread(target=found.server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    try:
        yield found
    finally:
        found.server.shutdown()
        thread.join()
        found.server.server_close()


@pytest.mark.parametrize(
    "name",
    [
        "Knowledge",
        "RouteFacts",
        "GenerationFacts",
        "AdmissionFacts",
        "CandidateFacts",
        "Choice",
        "Refusal",
        "RouteAnswer",
    ],
)
def test_command_reads_the_fields_that_instances_send(name: str) -> None:
    sent = {each.name for each in msgspec.structs.fields(getattr(route_answer, name))}
    read = {each.name for each in dataclasses.fields(getattr(routeanswer, name))}
    assert sent == read


def test_command_sends_fields_that_instances_read() -> None:
    sent = {each.name for each in dataclasses.fields(routequery.Question)}
    assert sent <= {each.name for each in msgspec.structs.fields(route_answer.RouteQuery)}


def test_each_problem_and_action_has_a_text() -> None:
    assert set(texts.ROUTE_PROBLEMS) == set(Problem)
    assert set(routetext.ACTIONS) == set(Action)


def test_answer_of_another_version_is_read() -> None:
    document = {"instance": "edge-0", "news": 1, "choice": {"action": "send", "news": 2}}
    answer = routeanswer.read_answer(document)
    assert answer.choice == routeanswer.Choice("send")
    assert answer.known == routeanswer.Knowledge()


def test_text_tells_what_decides() -> None:
    answer = routeanswer.read_answer(msgspec.json.decode(msgspec.json.encode(SENT)))
    lines = routetext.format_answer(answer).splitlines()
    assert lines[0] == "edge-0 in zone a"
    assert "configuration 7, confirmed 0.2 s ago by store; endpoints as of never" in lines[1]
    found = {line.split()[0]: line for line in lines if line}
    assert "i-1, expected wait 0.0123 s" in found["goes"]
    assert "i-2, once it has loaded" in found["then"]
    assert "i-1 zone=a state=ready usable=yes expected=0.0123 running=3" in found[">"]
    assert "failing=0.25 holds=yes loading_left=- new_figure=8" in found[">"]
    assert "state=leaving usable=no expected=- paused=yes pause_left=1.5 software=v2" in found["+"]
    assert "1 more are not listed" in "\n".join(lines)


@pytest.mark.parametrize(
    ("replies", "code", "out", "err"),
    [
        ([SENT], exits.OK, "goes to    i-1", ""),
        ([REFUSED], exits.OK, "refused    429 over_quota, Retry-After 0.40: not run", ""),
        ([SENT, REFUSED], exits.OK, "they disagree:", ""),
        ([SENT, SENT], exits.OK, "all 2 agree: send i-1", ""),
        ([NO_HOST], exits.NOT_RUN, "404 no_route", "No route has that host"),
        ([SENT, NO_HOST], exits.NOT_RUN, "they disagree:", "No route has that host"),
        ([b"not json"], exits.UNREACHABLE, "", "can't be read"),
        ([b"[1]"], exits.UNREACHABLE, "", "can't be read"),
        ([b'{"choice": 3}'], exits.UNREACHABLE, "", "can't be read"),
        ([SENT, b"not json"], exits.UNREACHABLE, "goes to", "can't be read"),
        ([(404, b"")], exits.UNREACHABLE, "", "no page /route"),
        ([(400, b'{"error": "bad"}')], exits.UNREACHABLE, "", "refused the question (400: bad)"),
        ([(500, b"<html>")], exits.UNREACHABLE, "", "refused the question (500"),
    ],
)
def test_replies_lead_to_text_and_exit_code(
    capsys: pytest.CaptureFixture[str], replies: list[Any], code: int, out: str, err: str
) -> None:
    asked: list[str] = []

    def ask(left: list[Any]) -> int:
        if not left:
            return main(["route", f"{HOST}/ask/x", "--instance", *asked])
        status, reply = left[0] if isinstance(left[0], tuple) else (200, left[0])
        with page(reply, status) as found:
            asked.append(found.address)
            return ask(left[1:])

    assert ask(replies) == code
    shown = capsys.readouterr()
    assert out in shown.out
    assert err in shown.err
    assert bool(err) == bool(shown.err)


@pytest.mark.parametrize("address", ["127.0.0.1:{port}", "no-such-host.invalid:1", "127.0.0.1:x"])
def test_instance_that_does_not_answer_is_named(
    capsys: pytest.CaptureFixture[str], address: str
) -> None:
    address = address.format(port=free_port("127.0.0.1"))
    with page(SENT) as found:
        words = ["route", f"{HOST}/ask/x", "--instance", found.address, address]
        assert main(words) == exits.UNREACHABLE
    shown = capsys.readouterr()
    assert "goes to" in shown.out
    assert address in shown.err


@pytest.mark.parametrize(
    "words",
    [
        [],
        [f"{HOST}/ask/x"],
        ["--instance", "h:1"],
        ["/no-host", "--instance", "h:1"],
        [f"{HOST}/x", "--instance", "h:1", "--header", f"no colon {KEY}"],
        [f"{HOST}/x", "--instance", "h:1", "--team", "deli", "--key-env", "X"],
        [f"{HOST}/x", "--instance", "h:1", "--key-env", "NO_SUCH_VARIABLE"],
        [f"{HOST}/x", "--instance", "h:1", "--key-env", KEY],
        [f"{HOST}/x", "--instance", "h:1", "--key-file", "/no/such/file"],
        [f"{HOST}/x", "--instance", "h:1", "--request", "r1", "--log", "x"],
        [f"{HOST}/x", "--instance", "h:1", "--log", "x"],
        ["--instance", "h:1", "--request", "r1"],
        ["--instance", "h:1", "--request", "r1", "--log", "/no/such/file"],
    ],
)
def test_wrong_usage_sends_nothing(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    words: list[str],
) -> None:
    def fail(*_: Any) -> None:
        raise AssertionError("an instance is asked")

    monkeypatch.delenv("WIGEONARCH_METRICS", raising=False)
    monkeypatch.setattr("wigeonarch_ctl.routecommand.ask_all", fail)
    try:
        code = main(["route", *words])
    except SystemExit as exc:
        code = exc.code  # type: ignore[assignment]
    assert code == exits.USAGE
    shown = capsys.readouterr()
    assert shown.err
    assert KEY not in shown.out + shown.err


@pytest.mark.parametrize("content", [b"", b"two words", b"\xff\xfe"])
def test_file_without_one_key_is_wrong_usage(
    capsys: pytest.CaptureFixture[str], tmp_path: Path, content: bytes
) -> None:
    (tmp_path / "key").write_bytes(content)
    words = ["route", f"{HOST}/x", "--instance", "h:1", "--key-file", str(tmp_path / "key")]
    assert main(words) == exits.USAGE
    assert "--key-file" in capsys.readouterr().err


@pytest.mark.parametrize("option", ["--key-env", "--key-file"])
@pytest.mark.parametrize("reply", [SENT, b"not json", (400, b'{"error": "bad"}')])
@pytest.mark.parametrize("output", [[], ["--json"]])
def test_key_is_sent_in_the_body_only(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
    option: str,
    reply: Any,
    output: list[str],
) -> None:
    monkeypatch.setenv("TEAM_KEY", KEY)
    (tmp_path / "key").write_text(KEY + "\n")
    where = "TEAM_KEY" if option == "--key-env" else str(tmp_path / "key")
    status, body = reply if isinstance(reply, tuple) else (200, reply)
    with page(body, status) as found:
        # A proxy must not see the question.
        monkeypatch.setenv("http_proxy", "http://127.0.0.1:1")
        main(["route", f"{HOST}/x", "--instance", found.address, option, where, *output])
        assert found.paths == ["/route"]
        assert found.questions[0]["key"] == KEY
    shown = capsys.readouterr()
    assert KEY not in shown.out + shown.err


@pytest.mark.parametrize(
    ("reply", "status"),
    [
        (json.dumps({"error": f"what is {KEY}?"}).encode(), 400),
        (json.dumps({"instance": KEY, "notes": [KEY], "choice": {"action": KEY}}).encode(), 200),
    ],
)
@pytest.mark.parametrize(
    "words", [["--key-env", "TEAM_KEY"], ["--header", f"Authorization: B {KEY}"]]
)
@pytest.mark.parametrize("output", [[], ["--json"]])
def test_key_that_a_wrong_server_repeats_is_not_printed(
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    reply: bytes,
    status: int,
    words: list[str],
    output: list[str],
) -> None:
    monkeypatch.setenv("TEAM_KEY", KEY)
    with page(reply, status) as found:
        main(["route", f"{HOST}/x", "--instance", found.address, *words, *output])
    shown = capsys.readouterr()
    assert KEY not in shown.out + shown.err
    assert texts.HIDDEN in shown.out + shown.err


def test_question_has_no_key_in_its_text() -> None:
    question = routequery.Question(headers=[("Authorization", KEY)], key=KEY)
    assert KEY not in repr(question)


def test_instances_are_asked_alike(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    with page(SENT) as first, page(REFUSED) as second:
        monkeypatch.setenv("WIGEONARCH_METRICS", f"{first.address} {second.address}")
        words = ["--method", "POST", "--header", "X-Model: m/a1", "--header", "A:b:c"]
        target = f"https://{HOST}/write/x?y"
        assert main(["route", target, *words, "--team", "deli", "--json"]) == exits.OK
        assert first.questions == second.questions
    question = first.questions[0]
    assert (question["host"], question["path"]) == (HOST, "/write/x?y")
    assert question["method"] == "POST"
    assert question["headers"] == [["X-Model", "m/a1"], ["A", "b:c"]]
    assert question["team"] == "deli"
    documents = json.loads(capsys.readouterr().out)
    assert [each["address"] for each in documents] == [first.address, second.address]
    assert documents[0]["answer"]["choice"]["endpoint"] == "i-1"
    assert documents[1]["answer"]["refusal"]["reason"] == "over_quota"


LOG = [
    "ts=2 event=adapter_awaited request=r1 endpoint=i-9 adapter=a7 waited=0",
    "ts=3 event=refused request=r1 reason=no_endpoint route=write content=3f0c service=llm "
    "adapter=a7 team=deli cost=120.0",
    "ts=1 event=refused request=r2 route=ask",
    "ts=1 event=no_route request=r3 host=elsewhere version=3",
    "ts=1 event=answer_lost request=r4 endpoint=i-9",
]


@pytest.mark.parametrize(
    ("request_id", "code", "expected"),
    [
        (
            "r1",
            exits.OK,
            {
                "route": "write",
                "adapter": "a7",
                "content": "3f0c",
                "service": "llm",
                "team": "deli",
                "tokens": 120,
                "host": "",
            },
        ),
        ("r2", exits.OK, {"route": "ask", "adapter": "", "team": "", "tokens": None}),
        ("r3", exits.OK, {"route": "", "host": "elsewhere", "path": "/"}),
        ("r4", exits.NOT_RUN, None),
        ("r9", exits.NOT_RUN, None),
    ],
)
def test_request_is_taken_from_logs(
    capsys: pytest.CaptureFixture[str],
    tmp_path: Path,
    request_id: str,
    code: int,
    expected: dict[str, Any] | None,
) -> None:
    (tmp_path / "log").write_text("\n".join(LOG))
    with page(SENT) as found:
        words = ["--request", request_id, "--log", str(tmp_path / "log")]
        assert main(["route", *words, "--instance", found.address]) == code
        if expected is None:
            assert found.questions == []
            assert request_id in capsys.readouterr().err
        else:
            question = found.questions[0]
            assert {name: question[name] for name in expected} == expected


def metrics_ports(gateways: World) -> list[str]:
    return [f"{opts.ip}:{opts.metrics_port}" for opts in gateways.options]


async def test_command_tells_where_gateways_send_a_request_next(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{message} {extra}")
    async with world(nodes=2) as gateways:
        limited = team("deli", KEY, rate_per_s=1000.0, burst=1000.0, unit="tokens")
        await gateways.store.put("config", "main", configuration(2, teams=[limited]))
        await until_true(
            lambda: all(
                node._catalogue.table is not None and node._catalogue.table.version == 2
                for node in gateways.nodes
            )
        )
        bearer: dict[str, Any] = {"Authorization": f"Bearer {KEY}"}

        async def is_served() -> bool:
            sent = await gateways.send_request("/write/x", adapter="a1", **bearer)
            return sent.status == 200

        await until(is_served)
        monkeypatch.setenv("TEAM_KEY", KEY)
        monkeypatch.setenv("WIGEONARCH_METRICS", " ".join(metrics_ports(gateways)))
        generation = ["--header", "X-Model: m/a1", "--header", "X-Token-Counts: 100,20"]

        async def run(*words: str) -> tuple[int, list[Any]]:
            code = await asyncio.to_thread(main, ["route", *words, "--json"])
            documents = json.loads(capsys.readouterr().out)
            return code, [each["answer"] for each in documents]

        before = len(gateways.replicas[0].received)
        code, answers = await run(f"{HOST}/write/x", *generation, "--key-env", "TEAM_KEY")
        assert code == exits.OK
        assert [answer["choice"]["action"] for answer in answers] == ["send", "send"]
        assert {answer["choice"]["endpoint"] for answer in answers} == {"i-llm"}
        assert {answer["admission"]["team"] for answer in answers} == {"deli"}
        assert {answer["admission"]["cost"] for answer in answers} == {120.0}
        assert {answer["candidates"][0]["figures"]["holds"] for answer in answers} == {True}
        assert len(gateways.replicas[0].received) == before
        code, answers = await run(f"{HOST}/ask/x", "--team", "deli")
        assert code == exits.OK
        assert {answer["choice"]["endpoint"] for answer in answers} == {"i-desk"}
        code, answers = await run(f"{HOST}/ask/x")
        assert code == exits.OK
        assert {answer["refusal"]["reason"] for answer in answers} == {"key_missing"}
        code, _ = await run(f"{HOST}/write/x", "--header", "X-Model: m/a99", "--team", "deli")
        assert code == exits.NOT_RUN
        code, _ = await run("elsewhere/x")
        assert code == exits.NOT_RUN
        code, _ = await run(f"{HOST}/ask/x", "--team", "nobody")
        assert code == exits.NOT_RUN
        assert KEY not in capsys.readouterr().err
    logger.remove(sink)
    assert not [line for line in lines if KEY in line]


@pytest.mark.parametrize(
    ("method", "body", "status"),
    [
        ("POST", b'{"host": "h"}', 200),
        ("GET", b'{"host": "h"}', 200),
        ("PUT", b'{"host": "h"}', 405),
        ("POST", b"", 400),
        ("POST", b"x" * MAX_QUERY_BYTES, 400),
        ("POST", b"x" * (MAX_QUERY_BYTES + 1), 413),
        ("POST", b"x" * 3_000_000, 413),
        ("POST", json.dumps({"headers": [["a", "b"]] * MAX_HEADERS}).encode(), 200),
        ("POST", json.dumps({"headers": [["a", "b"]] * (MAX_HEADERS + 1)}).encode(), 400),
    ],
)
async def test_page_is_bounded(method: str, body: bytes, status: int) -> None:
    async with world() as gateways:
        url = f"http://{metrics_ports(gateways)[0]}/route"
        async with aiohttp.ClientSession() as session:
            try:
                async with session.request(method, url, data=body) as resp:
                    found = resp.status
            except aiohttp.ClientOSError:
                found = 413  # The connection was closed while the rest was being sent.
            assert found == status
            async with session.get(url.replace("/route", "/metrics")) as resp:
                assert resp.status == 200
