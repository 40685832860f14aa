"""Prints replies as JSON or as tables.

JSON output has one document for each reply, in Protocol Buffers' JSON mapping (where 64-bit numbers
are strings) with the field names of the schema. Table output consists of sections, each a heading
row and rows of cells; `BUILDERS` has a function for each type of reply that builds its sections.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Final

from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message
from wigeonarch_schema import wigeonarch_pb2 as pb

JSON: Final = "json"
TABLE: Final = "table"
OUTPUTS: Final = (JSON, TABLE)

COLUMN_GAP: Final = "  "
ABSENT: Final = "-"

WriteText = Callable[[str], None]
Printer = Callable[[Message], None]


@dataclass(frozen=True, slots=True)
class Section:
    """A part of the table output, with columns of its own.

    Attributes:
        heading: Titles of the columns.
        rows: Rows of cells, with one cell for each title.
    """

    heading: Sequence[str]
    rows: Sequence[Sequence[object]]


def make_printer(output: str, write: WriteText) -> Printer:
    """Returns the function that prints a reply.

    Args:
        output: One of `OUTPUTS`.
        write: Prints text unchanged, without adding line ends.
    """

    def show_json(message: Message) -> None:
        write(json_line(message) + "\n")

    def show_table(message: Message) -> None:
        write("\n".join(table_blocks(message)) + "\n")

    return show_json if output == JSON else show_table


def json_line(message: Message) -> str:
    """Returns a reply as a JSON document on one line."""
    document = MessageToDict(
        message, preserving_proto_field_name=True, always_print_fields_with_no_presence=True
    )
    return json.dumps(document, ensure_ascii=False)


def table_blocks(message: Message) -> list[str]:
    """Returns a reply as blocks of aligned text, one for each section that has rows."""
    build = BUILDERS[message.DESCRIPTOR.name]
    return [_format_section(section) for section in build(message) if section.rows]


def _format_section(section: Section) -> str:
    lines = [
        list(section.heading),
        *([_format_cell(value) for value in row] for row in section.rows),
    ]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "".join(_format_row(line, widths) for line in lines)


def _format_row(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, widths, strict=True))
    return COLUMN_GAP.join(padded).rstrip() + "\n"


def _format_cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value) if value != "" else ABSENT


def _enum_name(name: str, prefix: str) -> str:
    return name.removeprefix(prefix).lower()


def _status_name(status: pb.Status.ValueType) -> str:
    known = status in pb.Status.values()
    return _enum_name(pb.Status.Name(status), "STATUS_") if known else str(status)


def _outcome_name(outcome: pb.Outcome.ValueType) -> str:
    known = outcome in pb.Outcome.values()
    return _enum_name(pb.Outcome.Name(outcome), "OUTCOME_") if known else str(outcome)


def _state_name(state: pb.RequestState.ValueType) -> str:
    known = state in pb.RequestState.values()
    return _enum_name(pb.RequestState.Name(state), "REQUEST_STATE_") if known else str(state)


def _service_details(entry: pb.Entry) -> str:
    service = entry.service
    known = service.kind in pb.ServiceKind.values()
    kind = _enum_name(pb.ServiceKind.Name(service.kind), "SERVICE_KIND_") if known else service.kind
    fencing = ",".join(service.fencing_endpoints) or ABSENT
    base = service.base_model or ABSENT
    return f"kind={kind} base_model={base} fencing={fencing} deadline_ms={service.deadline_ms}"


def _version_details(entry: pb.Entry) -> str:
    version = entry.adapter_version
    return f"weights={version.weights or ABSENT} bytes={version.bytes}"


def _rule_details(entry: pb.Entry) -> str:
    return " ".join(f"{split.version}={split.weight}" for split in entry.rule.splits)


def _no_details(_: pb.Entry) -> str:
    return ""


DETAIL_FORMATTERS: Final[dict[str | None, Callable[[pb.Entry], str]]] = {
    "service": _service_details,
    "adapter_version": _version_details,
    "rule": _rule_details,
}


def _entry_table(entries: Iterable[pb.Entry]) -> list[Section]:
    rows = [
        (
            entry.name,
            entry.version,
            DETAIL_FORMATTERS.get(entry.WhichOneof("value"), _no_details)(entry),
        )
        for entry in entries
    ]
    return [Section(("NAME", "VERSION", "DETAILS"), rows)]


def _entry_sections(entry: pb.Entry) -> list[Section]:
    return _entry_table([entry])


def _entry_list_sections(reply: pb.ListEntriesReply) -> list[Section]:
    return _entry_table(reply.entries)


def _change_sections(reply: pb.MutateReply) -> list[Section]:
    row = (_status_name(reply.status), reply.change, reply.entry_version, reply.message)
    lagging = [(lag.zone, lag.instance) for lag in reply.lagging]
    return [
        Section(("STATUS", "CHANGE", "VERSION", "MESSAGE"), [row]),
        Section(("LAGGING ZONE", "INSTANCE"), lagging),
    ]


def _submit_sections(reply: pb.SubmitReply) -> list[Section]:
    values = (
        ("request", reply.request_id),
        ("outcome", _outcome_name(reply.outcome)),
        ("reason", reply.reason),
        ("retry after, s", reply.retry_after_s or ""),
        ("adapter", reply.adapter),
        ("version", reply.version),
        ("tokens", reply.tokens or ""),
        ("finish", reply.finish),
        ("status", reply.status or ""),
        ("key", reply.idempotency_key),
        ("text", reply.text),
    )
    return [Section(("FIELD", "VALUE"), [pair for pair in values if pair[1] != ""])]


def _lookup_sections(reply: pb.LookupReply) -> list[Section]:
    known = Section(("STATE", "INSTANCE"), [(_state_name(reply.state), reply.instance)])
    return [known, *(_submit_sections(reply.reply) if reply.HasField("reply") else [])]


def _explain_sections(reply: pb.ExplainReply) -> list[Section]:
    rows = [
        (f"{decision.at_s:.6f}", decision.step, decision.reason, decision.detail)
        for decision in reply.decisions
    ]
    return [Section(("AT, S", "STEP", "REASON", "DETAIL"), rows)]


def _instance_table(reply: pb.StatusReply) -> Section:
    rows = [
        (
            instance.name,
            instance.zone,
            instance.ready,
            instance.draining,
            instance.applied_change,
            instance.lease,
        )
        for instance in reply.instances
    ]
    return Section(("INSTANCE", "ZONE", "READY", "DRAINING", "CHANGE", "LEASE"), rows)


def _format_loaded(engine: pb.EngineStatus) -> str:
    names = (
        f"{adapter.adapter}@{adapter.version}"
        + ("" if adapter.state == "loaded" else f"({adapter.state})")
        for adapter in engine.loaded
    )
    return ",".join(names)


def _engine_table(reply: pb.StatusReply) -> Section:
    heading = (
        *("ENGINE", "ZONE", "SERVICE", "STATE", "OWNER", "FENCE", "INCARNATION"),
        *("SLOTS", "QUEUE", "RUNNING", "LOADED"),
    )
    rows = [
        (
            *(
                engine.name,
                engine.zone,
                engine.service,
                engine.state,
                engine.owner,
                engine.fencing_number,
            ),
            *(
                engine.incarnation,
                engine.slots,
                engine.queue,
                engine.running,
                _format_loaded(engine),
            ),
        )
        for engine in reply.engines
    ]
    return Section(heading, rows)


def _status_sections(reply: pb.StatusReply) -> list[Section]:
    zones = [(zone.zone, zone.lowest_applied, zone.highest_applied) for zone in reply.zones]
    configuration = Section(("ZONE", "LOWEST CHANGE", "HIGHEST CHANGE"), zones)
    return [_instance_table(reply), _engine_table(reply), configuration]


def _drain_sections(reply: pb.DrainReply) -> list[Section]:
    row = (reply.instance, reply.draining, reply.remaining, reply.message)
    return [Section(("INSTANCE", "DRAINING", "REMAINING", "MESSAGE"), [row])]


BUILDERS: Final[dict[str, Callable[[Any], list[Section]]]] = {
    pb.Entry.DESCRIPTOR.name: _entry_sections,
    pb.ListEntriesReply.DESCRIPTOR.name: _entry_list_sections,
    pb.MutateReply.DESCRIPTOR.name: _change_sections,
    pb.SubmitReply.DESCRIPTOR.name: _submit_sections,
    pb.LookupReply.DESCRIPTOR.name: _lookup_sections,
    pb.ExplainReply.DESCRIPTOR.name: _explain_sections,
    pb.StatusReply.DESCRIPTOR.name: _status_sections,
    pb.DrainReply.DESCRIPTOR.name: _drain_sections,
}
