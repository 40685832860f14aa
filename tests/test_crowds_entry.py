"""No crowd of callers that don't behave ends an entry instance, fills it, or shuts others out.

Each test starts a platform, a plain service and an entry instance as processes of their own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

import grpc
import pytest
from crowd import (
    CONNECTION_FORMS,
    FORMS,
    MB,
    Form,
    Target,
    crowd,
    limit_descriptors,
    open_descriptors,
    peak_memory,
)
from rpc_crowd import RpcForm, rpc_crowd
from wigeonarch_fakes.processes import Deployment, call, deployment, wait_for
from wigeonarch_schema import wigeonarch_pb2 as pb
from wigeonarch_schema import wigeonarch_pb2_grpc as rpc

pytestmark = pytest.mark.alone

MEMORY_MB: Final = 160  # Memory of the smallest machine known.
DESCRIPTORS: Final = 512  # Descriptors that the instance's process may open.
FILE_DESCRIPTORS: Final = 200  # Of these, how many are kept for files.
MAX_BODY_BYTES: Final = MB
CROWD_SIZE: Final = 256  # Callers that send bodies.
ANSWER_TIME: Final = 20.0  # Seconds after which an ordinary request counts as not answered.
# Milliseconds for which the service holds each call of a crowd.
WORK_MS: Final = 3000
PATH: Final = "/v1/services/orders/confirm"
SUBMIT: Final = "/wigeonarch.v1.Requests/Submit"


def _message(size: int) -> bytes:
    """Returns a call whose message has about this size in bytes."""
    body = '"' + "x" * (size - 200) + '"'
    work = pb.Call(operation="confirm", body=body)
    return pb.SubmitRequest(model="orders", call=work).SerializeToString()


LARGEST: Final = _message(MAX_BODY_BYTES)
RPC_FORMS: Final = (
    RpcForm("message_short_of_its_end", 8, 32, LARGEST, left_out=1),
    RpcForm("whole_messages", 8, 32, LARGEST),
    RpcForm("calls_without_message", 8, 1000),
    RpcForm("header_frames_without_end", 64, 1, header_frames=200),
    RpcForm("silent_connections", 700, 0, has_preface=False),
    RpcForm("idle_connections", 700, 0),
)


class Entry:
    """An entry instance on a machine of its own, and what its callers see."""

    def __init__(self, started: Deployment) -> None:
        self._started = started
        started.start_platform()
        started.start_endpoint("service", "orders-1", "zone-a", "orders")
        program = started.start_entry("entry-a", "zone-a")
        limit_descriptors(program.process.pid, DESCRIPTORS)
        started.wait_ready("entry-a")
        code, output = started.run_ctl("entry-a", "service", "create", "orders", "--kind", "plain")
        assert code == 0, output
        wait_for(lambda: self._call()[0] == 200, "the service is known")

    def _call(self) -> tuple[int, Any, dict[str, str]]:
        return call("POST", f"{self._started.address('entry-a')}{PATH}", {"n": 1})

    @property
    def target(self) -> Target:
        return Target(
            self._started.address("entry-a"), PATH, "entry", "X-Caller: crowd\r\n", MAX_BODY_BYTES
        )

    @property
    def rpc_address(self) -> str:
        return str(self._started.entries["entry-a"]["rpc"])

    def hold_calls(self) -> None:
        """Makes the service hold each call for a while."""
        self._started.set_faults("orders-1", delay_ms=WORK_MS)

    async def check_answers(self) -> None:
        """Sends one ordinary request to each door."""
        status, _, _ = await asyncio.to_thread(self._call)
        assert status == 200
        request = pb.SubmitRequest(model="orders", call=pb.Call(operation="confirm", body="{}"))
        async with grpc.aio.insecure_channel(self.rpc_address) as channel:
            reply = await rpc.RequestsStub(channel).Submit(request, timeout=ANSWER_TIME)
        assert reply.outcome == pb.OUTCOME_ANSWERED, reply

    def check_process(self) -> None:
        """Checks that the process lives, and what it holds."""
        process = self._started.programs["entry-a"].process
        assert process.poll() is None
        assert peak_memory(process.pid) < MEMORY_MB
        assert open_descriptors(process.pid) <= DESCRIPTORS - FILE_DESCRIPTORS


@contextmanager
def _running_entry(folder: Path) -> Iterator[Entry]:
    with deployment(folder) as started:
        yield Entry(started)


def _sized(form: Form) -> Form:
    """Returns a form with as many callers as fill a machine with the bodies allowed here."""
    return replace(form, size=max(form.size, CROWD_SIZE))


@pytest.mark.parametrize("form", (*FORMS, *CONNECTION_FORMS), ids=lambda form: form.name)
async def test_crowd_of_callers_harms_neither_process_nor_others(
    tmp_path: Path, form: Form
) -> None:
    with _running_entry(tmp_path) as entry:
        async with crowd(_sized(form), entry.target):
            entry.check_process()
            await entry.check_answers()
        await entry.check_answers()
        entry.check_process()


@pytest.mark.parametrize("form", RPC_FORMS, ids=lambda form: form.name)
async def test_crowd_of_rpc_callers_harms_neither_process_nor_others(
    tmp_path: Path, form: RpcForm
) -> None:
    with _running_entry(tmp_path) as entry:
        entry.hold_calls()
        async with rpc_crowd(form, entry.rpc_address, SUBMIT):
            entry.check_process()
            await entry.check_answers()
        await entry.check_answers()
        entry.check_process()


@pytest.mark.parametrize("size", [1, MAX_BODY_BYTES - 3], ids=["small", "largest"])
async def test_single_request_inside_the_limits_is_served_in_calm(
    tmp_path: Path, size: int
) -> None:
    with _running_entry(tmp_path) as entry:
        url = f"{entry.target.address}{PATH}"
        status, doc, _ = await asyncio.to_thread(call, "POST", url, "x" * size)
        assert status == 200, doc
        message = pb.SubmitRequest.FromString(_message(max(size, 300)))
        async with grpc.aio.insecure_channel(entry.rpc_address) as channel:
            reply = await rpc.RequestsStub(channel).Submit(message, timeout=ANSWER_TIME)
        assert reply.outcome == pb.OUTCOME_ANSWERED, reply
        entry.check_process()
