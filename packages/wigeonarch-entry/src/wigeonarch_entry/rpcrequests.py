"""The gRPC service `Requests` of the published schema: runs requests and reports on them."""

from __future__ import annotations

from typing import Final

import grpc
from wigeonarch_core.engine_report import MS_PER_SECOND
from wigeonarch_core.idempotency import KeyState
from wigeonarch_core.outcomes import NotRun
from wigeonarch_runtime.clock import monotonic
from wigeonarch_runtime.timeouts import timeout_after
from wigeonarch_schema import wigeonarch_pb2 as pb
from wigeonarch_schema import wigeonarch_pb2_grpc as rpc

from wigeonarch_entry import wire
from wigeonarch_entry.intake import Terms, make_call_request, make_generate_request
from wigeonarch_entry.platform import Unavailable
from wigeonarch_entry.requests import Request
from wigeonarch_entry.rpccommon import Context, Dependencies, abort, abort_malformed
from wigeonarch_entry.texts import CALLER_NOT_READING


class RequestsServicer(rpc.RequestsServicer):
    """Implements the service `Requests`."""

    def __init__(self, deps: Dependencies) -> None:
        self._deps = deps

    async def Submit(self, request: pb.SubmitRequest, context: Context) -> pb.SubmitReply:
        """Runs a request and returns its outcome."""
        req = await self._make_request(request, context)
        if isinstance(req, NotRun):
            return self._refuse(req)
        outcome = await self._deps.dispatcher.run(req)
        return wire.encode_outcome(req, req.id, outcome)

    async def SubmitStream(  # type: ignore[override]
        self, request: pb.SubmitRequest, context: Context
    ) -> None:
        """Runs a request and streams its text.

        Events are written to the context, not yielded: a caller that disconnects then cancels this
        coroutine, and with it the request, at once, while a generator would go on until it was
        garbage-collected.
        """
        req = await self._make_request(request, context)
        if isinstance(req, NotRun):
            await context.write(pb.SubmitEvent(end=self._refuse(req)))
            return
        seq = 0

        async def send_text(text: str) -> None:
            nonlocal seq
            chunk = pb.TextChunk(seq=seq, text=text)
            seq += 1
            try:
                async with timeout_after(self._deps.opts.timing.write_timeout):
                    await context.write(pb.SubmitEvent(chunk=chunk))
            except TimeoutError as exc:
                # The dispatcher would take a TimeoutError for a timeout of the request itself.
                raise ConnectionAbortedError(CALLER_NOT_READING) from exc

        try:
            outcome = await self._deps.dispatcher.run(req, send_text)
        except ConnectionAbortedError:
            await abort(context, grpc.StatusCode.DEADLINE_EXCEEDED, CALLER_NOT_READING)
        end = wire.encode_outcome(req, req.id, outcome)
        # The text of a generation has already been sent in chunks.
        end.text = "" if seq else end.text
        await context.write(pb.SubmitEvent(end=end))

    async def Lookup(self, request: pb.LookupRequest, context: Context) -> pb.LookupReply:
        """Returns the state and outcome of a request, by its id or its idempotency key."""
        key = request.WhichOneof("key")
        if key is None:
            await abort_malformed(context, "request_id or service_key is needed")
        if key == "request_id":
            return self._lookup_by_id(request.request_id)
        service_key = request.service_key
        record = await self._deps.keys.lookup(service_key.service, service_key.idempotency_key)
        if isinstance(record, Unavailable):
            await abort(context, grpc.StatusCode.UNAVAILABLE, "the records cannot be read now")
        if record is None:
            return pb.LookupReply(state=pb.REQUEST_STATE_NOT_KNOWN)
        reply = pb.SubmitReply(request_id=record.request, text=record.body)
        ended = record.state != KeyState.HELD
        if ended:
            # OUTCOME_NOT_RUN promises that nothing ran, so an outcome that this version cannot read
            # is reported as unknown.
            reply.outcome = _OUTCOMES_BY_NAME.get(record.outcome, pb.OUTCOME_UNKNOWN)
        state = pb.REQUEST_STATE_ENDED if ended else pb.REQUEST_STATE_RUNNING
        return pb.LookupReply(state=state, reply=reply, instance=record.instance)

    async def Explain(self, request: pb.ExplainRequest, context: Context) -> pb.ExplainReply:
        """Returns the decisions taken about a request."""
        entry = self._deps.journal.get(request.request_id)
        if entry is None:
            await abort(context, grpc.StatusCode.NOT_FOUND, "this instance does not know it")
        decisions = [
            pb.Decision(at_s=d.at, step=d.step, reason=d.reason, detail=d.detail)
            for d in entry.decisions
        ]
        return pb.ExplainReply(decisions=decisions)

    async def _make_request(self, msg: pb.SubmitRequest, context: Context) -> Request | NotRun:
        work = msg.WhichOneof("work")
        if work is None or not msg.model:
            await abort_malformed(context, "model and work are needed")
        received = monotonic()
        limit = msg.deadline_ms / MS_PER_SECOND or None
        reason = await self._deps.gate.admit(received, limit)
        if reason is not None:
            return NotRun(reason, 1.0)
        terms = Terms(
            caller=msg.caller,
            priority=msg.priority,
            non_idempotent=msg.non_idempotent,
            key=msg.idempotency_key,
            deadline_ms=msg.deadline_ms,
        )
        opts, catalogue = self._deps.opts, self._deps.catalogue
        if work == "generate":
            gen = msg.generate
            return make_generate_request(
                opts, catalogue, msg.model, gen.prompt, gen.max_tokens, terms, received
            )
        body = (msg.call.body or "{}").encode()
        operation = msg.call.operation
        return make_call_request(opts, catalogue, msg.model, operation, body, terms, received)

    def _refuse(self, outcome: NotRun) -> pb.SubmitReply:
        request = self._deps.refusals.record("rpc", outcome)
        return wire.encode_outcome(None, request, outcome)

    def _lookup_by_id(self, request_id: str) -> pb.LookupReply:
        entry = self._deps.journal.get(request_id)
        if entry is None:
            return pb.LookupReply(state=pb.REQUEST_STATE_NOT_KNOWN)
        instance = self._deps.opts.instance
        if entry.outcome is None:
            reply = pb.SubmitReply(request_id=request_id)
            return pb.LookupReply(state=pb.REQUEST_STATE_RUNNING, reply=reply, instance=instance)
        reply = wire.encode_outcome(None, request_id, entry.outcome)
        return pb.LookupReply(state=pb.REQUEST_STATE_ENDED, reply=reply, instance=instance)


_OUTCOMES_BY_NAME: Final = {kind.__name__: value for kind, value in wire.OUTCOMES.items()}
