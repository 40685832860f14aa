"""Implements the commands: each calls a server, prints the reply and returns an exit code.

`explain_logs` and `teams` read log files and metrics instead of calling a server.
"""

from __future__ import annotations

import argparse
import sys
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import grpc
from wigeonarch_schema import wigeonarch_pb2 as pb

from wigeonarch_ctl import exits, logtrace, render, teamtable, texts
from wigeonarch_ctl.mutations import delete_entry, put_entry
from wigeonarch_ctl.names import parse_entry_name
from wigeonarch_ctl.session import CallError, LostReplyHandler, Session, lost_reply_handler

FROM_STDIN: Final = "-"
EMPTY_ENTRY: Final = pb.Entry()


@dataclass(frozen=True, slots=True)
class Console:
    """The output functions of a command.

    Attributes:
        output: The output format, one of `render.OUTPUTS`.
        show: Prints a reply in the output format.
        write: Prints text unchanged.
        advise: Prints advice for the operator, separately from replies.
    """

    output: str
    show: render.Printer
    write: render.WriteText
    advise: Callable[[str], None]


Command = Callable[[Console, Session, argparse.Namespace], int]


def create(console: Console, session: Session, args: argparse.Namespace) -> int:
    """Creates an entry; the server refuses if it exists."""
    return _put_entry(console, session, args, EMPTY_ENTRY)


def update(console: Console, session: Session, args: argparse.Namespace) -> int:
    """Sets the given fields of an entry that has the expected version.

    The server checks the expected version. This function checks only for an instance whose copy of
    the entry is older than that version: its old fields must not overwrite newer ones.
    """
    entry = _get_entry(session, args)
    if isinstance(entry, CallError):
        return _report_error(console, entry)
    if entry.version < args.expected_version:
        console.advise(
            texts.INSTANCE_BEHIND.format(
                name=args.name, found=entry.version, expected=args.expected_version
            )
        )
        return exits.NOT_RUN
    return _put_entry(console, session, args, entry)


def delete(console: Console, session: Session, args: argparse.Namespace) -> int:
    """Deletes an entry if it has the expected version."""
    return _mutate(console, session, args, delete_entry(args))


def get(console: Console, session: Session, args: argparse.Namespace) -> int:
    """Prints one entry."""
    entry = _get_entry(session, args)
    if isinstance(entry, CallError):
        return _report_error(console, entry)
    console.show(entry)
    return exits.OK


def list_entries(console: Console, session: Session, args: argparse.Namespace) -> int:
    """Prints all entries of a kind."""
    reply = pb.ListEntriesReply()
    request = pb.ListEntriesRequest(kind=args.entry_kind)
    while True:
        page = session.call(session.catalogue.ListEntries, request)
        if isinstance(page, CallError):
            return _report_error(console, page)
        reply.entries.extend(page.entries)
        if not page.next_page_token:
            break
        request.page_token = page.next_page_token
    console.show(reply)
    return exits.OK


def change(console: Console, session: Session, args: argparse.Namespace) -> int:
    """Prints the status of an earlier change."""
    request = pb.GetChangeRequest(operation_id=args.operation_id, wait_ms=args.wait)
    missing = CallError(
        exits.UNKNOWN, texts.CHANGE_NOT_FOUND.format(operation_id=args.operation_id)
    )
    reply = session.call(session.catalogue.GetChange, request, missing=missing)
    return _report_change(console, reply, args.operation_id)


def submit(console: Console, session: Session, args: argparse.Namespace) -> int:
    """Submits a request and prints its outcome, or streams its text."""
    request = _make_submit_request(args)
    lost = _make_lost_submit_handler(request)
    if args.stream:
        return _submit_streamed(console, session, request, lost)
    reply = session.call(session.requests.Submit, request, lost)
    if isinstance(reply, CallError):
        return _report_error(console, reply)
    console.show(reply)
    return _report_outcome(console, reply)


def lookup(console: Console, session: Session, args: argparse.Namespace) -> int:
    """Prints the state of an earlier request."""
    request = pb.LookupRequest(request_id=args.request_id or "")
    if args.key:
        key = pb.ServiceKey(service=args.service, idempotency_key=args.key)
        request = pb.LookupRequest(service_key=key)
    reply = session.call(session.requests.Lookup, request)
    if isinstance(reply, CallError):
        return _report_error(console, reply)
    console.show(reply)
    if reply.state == pb.REQUEST_STATE_ENDED:
        return _report_outcome(console, reply.reply)
    code, text = LOOKUP_STATES.get(reply.state, (exits.UNKNOWN, texts.LOOKUP_UNKNOWN))
    console.advise(text)
    return code


def explain(console: Console, session: Session, args: argparse.Namespace) -> int:
    """Prints the decisions about a request that an instance has recorded."""
    request = pb.ExplainRequest(request_id=args.request_id)
    missing = CallError(exits.NOT_RUN, texts.DECISIONS_NOT_FOUND)
    reply = session.call(session.requests.Explain, request, missing=missing)
    if isinstance(reply, CallError):
        return _report_error(console, reply)
    console.show(reply)
    return exits.OK


def explain_logs(console: Console, args: argparse.Namespace) -> int:
    """Prints the log lines about a request and the cause of its outcome."""
    try:
        lines = logtrace.read_files(args.logs)
    except OSError as exc:
        console.advise(texts.UNREADABLE_FILE.format(path=exc.filename, reason=exc.strerror))
        return exits.USAGE
    trace = logtrace.trace_request(lines, args.request_id)
    for line in [*trace.lines, *trace.endpoints]:
        pairs = " ".join(f"{key}={value}" for key, value in line.fields.items())
        console.write(f"{line.timestamp} {line.event} {pairs}\n")
    console.write(f"cause: {trace.cause}\n")
    return exits.OK if trace.lines else exits.NOT_RUN


def teams(console: Console, args: argparse.Namespace) -> int:
    """Prints the quota usage of teams, summed over the metrics of the given instances."""
    pages = []
    for address in args.metrics:
        try:
            pages.append(teamtable.read_metrics(address))
        except OSError as exc:
            console.advise(texts.UNREADABLE_FILE.format(path=address, reason=exc))
    if not pages:
        return exits.UNREACHABLE
    console.write(teamtable.format_table(teamtable.sum_usage(pages)))
    return exits.OK if len(pages) == len(args.metrics) else exits.UNREACHABLE


def status(console: Console, session: Session, _: argparse.Namespace) -> int:
    """Prints the state of the fleet."""
    reply = session.call(session.fleet.Status, pb.StatusRequest())
    if isinstance(reply, CallError):
        return _report_error(console, reply)
    console.show(reply)
    return exits.OK


def drain(console: Console, session: Session, args: argparse.Namespace) -> int:
    """Starts the graceful shutdown of an instance."""
    request = pb.DrainRequest(instance=args.instance)
    reply = session.call(session.fleet.Drain, request, lost_reply_handler(texts.DRAIN_LOST))
    if isinstance(reply, CallError):
        return _report_error(console, reply)
    console.show(reply)
    if reply.draining:
        return exits.OK
    console.advise(texts.NOT_DRAINING)
    return exits.NOT_RUN


LOOKUP_STATES: Final[dict[int, tuple[int, str]]] = {
    pb.REQUEST_STATE_NOT_KNOWN: (exits.UNKNOWN, texts.LOOKUP_NOT_KNOWN),
    pb.REQUEST_STATE_RUNNING: (exits.PENDING, texts.LOOKUP_RUNNING),
}


def _report_error(console: Console, error: CallError) -> int:
    console.advise(error.message)
    return error.exit_code


def _get_entry(session: Session, args: argparse.Namespace) -> pb.Entry | CallError:
    request = pb.GetEntryRequest(kind=args.entry_kind, name=args.name)
    return session.call(session.catalogue.GetEntry, request)


def _put_entry(
    console: Console, session: Session, args: argparse.Namespace, entry: pb.Entry
) -> int:
    name = parse_entry_name(args.entry_kind, args.name)
    assert name is not None, "the parser has checked the name"
    return _mutate(console, session, args, put_entry(entry, name, args))


def _mutate(
    console: Console, session: Session, args: argparse.Namespace, mutation: pb.Mutation
) -> int:
    operation_id = args.operation_id or uuid.uuid4().hex
    request = pb.MutateRequest(operation_id=operation_id, mutation=mutation, wait_ms=args.wait)
    lost = lost_reply_handler(texts.MUTATION_LOST, operation_id=operation_id)
    reply = session.call(session.catalogue.Mutate, request, lost)
    return _report_change(console, reply, operation_id)


def _report_change(console: Console, reply: pb.MutateReply | CallError, operation_id: str) -> int:
    if isinstance(reply, CallError):
        return _report_error(console, reply)
    console.show(reply)
    code = exits.of_status(reply.status)
    if code != exits.OK:
        console.advise(texts.change_advice(reply, operation_id))
    return code


def _report_outcome(console: Console, reply: pb.SubmitReply) -> int:
    code = exits.of_outcome(reply.outcome)
    if code != exits.OK:
        console.advise(texts.request_advice(reply))
    return code


def _make_submit_request(args: argparse.Namespace) -> pb.SubmitRequest:
    """Builds the request; a non-idempotent one gets an idempotency key, for `lookup`."""
    key = args.key or (uuid.uuid4().hex if args.non_idempotent else "")
    request = pb.SubmitRequest(
        model=args.model,
        non_idempotent=args.non_idempotent,
        idempotency_key=key,
        deadline_ms=args.deadline,
        priority=args.priority,
        caller=args.caller,
    )
    if args.prompt is not None:
        generate = pb.Generate(prompt=_read_text(args.prompt), max_tokens=args.max_tokens or 0)
        request.generate.CopyFrom(generate)
    else:
        request.call.CopyFrom(pb.Call(operation=args.operation, body=_read_text(args.body or "")))
    return request


def _read_text(argument: str) -> str:
    return sys.stdin.read() if argument == FROM_STDIN else argument


def _make_lost_submit_handler(request: pb.SubmitRequest) -> LostReplyHandler:
    if not request.idempotency_key:
        return lost_reply_handler(texts.SUBMIT_LOST)
    service = request.model.partition("/")[0]
    return lost_reply_handler(
        texts.SUBMIT_LOST_WITH_KEY, service=service, key=request.idempotency_key
    )


def _submit_streamed(
    console: Console, session: Session, request: pb.SubmitRequest, lost: LostReplyHandler
) -> int:
    result = _read_stream(console, session, request, lost)
    if console.output == render.TABLE:
        console.write("\n")
    if isinstance(result, CallError):
        return _report_error(console, result)
    if console.output == render.TABLE:
        console.advise("\n".join(render.table_blocks(result)))
    return _report_outcome(console, result)


def _read_stream(
    console: Console, session: Session, request: pb.SubmitRequest, lost: LostReplyHandler
) -> pb.SubmitReply | CallError:
    """Prints chunks as they arrive and returns the final event's reply, or an error without one.

    After the first chunk, no error may be reported as "not run": the request has started.
    """
    code = grpc.StatusCode.DATA_LOSS.name
    next_seq = 0
    events = session.requests.SubmitStream(request, timeout=session.timeout)
    try:
        for event in events:
            if event.WhichOneof("event") == "end":
                _print_event(console, event)
                return event.end
            if event.chunk.seq != next_seq:
                events.cancel()
                gap = texts.STREAM_CHUNKS_MISSING.format(expected=next_seq, found=event.chunk.seq)
                return lost(code, gap)
            next_seq += 1
            _print_event(console, event)
    except grpc.RpcError as exc:
        return session.error_of_failed_call(exc, lost, reply_started=next_seq > 0)
    except KeyboardInterrupt:
        events.cancel()
        return lost(grpc.StatusCode.CANCELLED.name, texts.INTERRUPTED_CALL)
    return lost(code, texts.STREAM_INCOMPLETE)


def _print_event(console: Console, event: pb.SubmitEvent) -> None:
    if console.output == render.JSON:
        console.write(render.json_line(event) + "\n")
    else:
        console.write(event.chunk.text)
