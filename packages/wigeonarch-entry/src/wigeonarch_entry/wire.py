"""Converts between the messages of the published schema and the types of the core."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wigeonarch_core import entries as cat
from wigeonarch_core.changelog import Delete, Mutation, Put
from wigeonarch_core.outcomes import Answered, Failed, NotRun, Outcome, Unknown
from wigeonarch_core.refs import MODEL_SEPARATOR, VERSION_SEPARATOR, is_name
from wigeonarch_schema import wigeonarch_pb2 as pb

from wigeonarch_entry.configuration import ChangeReply, ChangeStatus
from wigeonarch_entry.requests import Generate, Request
from wigeonarch_entry.texts import describe

KINDS: Final = {
    pb.ENTRY_KIND_SERVICE: cat.EntryKind.SERVICE,
    pb.ENTRY_KIND_ADAPTER: cat.EntryKind.ADAPTER,
    pb.ENTRY_KIND_VERSION: cat.EntryKind.VERSION,
    pb.ENTRY_KIND_RULE: cat.EntryKind.RULE,
}
KIND_VALUES: Final = {kind: value for value, kind in KINDS.items()}

SERVICE_KINDS: Final = {
    pb.SERVICE_KIND_MODEL: cat.ServiceKind.MODEL,
    pb.SERVICE_KIND_PLAIN: cat.ServiceKind.PLAIN,
}
SERVICE_KIND_VALUES: Final = {kind: value for value, kind in SERVICE_KINDS.items()}

STATUSES: Final = {
    ChangeStatus.ACCEPTED: pb.STATUS_ACCEPTED,
    ChangeStatus.PENDING: pb.STATUS_PENDING,
    ChangeStatus.CONFLICT: pb.STATUS_REJECTED_CONFLICT,
    ChangeStatus.INVALID: pb.STATUS_REJECTED_INVALID,
    ChangeStatus.UNAVAILABLE: pb.STATUS_UNAVAILABLE,
}

OUTCOMES: Final[dict[type[Outcome], pb.Outcome.ValueType]] = {
    Answered: pb.OUTCOME_ANSWERED,
    NotRun: pb.OUTCOME_NOT_RUN,
    Unknown: pb.OUTCOME_UNKNOWN,
    Failed: pb.OUTCOME_FAILED,
}


# The separators in a name of each kind of entry, and the number of its parts.
_NAME_FORMS: Final = {
    cat.EntryKind.SERVICE: ("", 1),
    cat.EntryKind.ADAPTER: (MODEL_SEPARATOR, 2),
    cat.EntryKind.VERSION: (MODEL_SEPARATOR + VERSION_SEPARATOR, 3),
    cat.EntryKind.RULE: (MODEL_SEPARATOR, 2),
}


def decode_mutation(message: pb.Mutation) -> Mutation | None:
    """Decodes a mutation; returns None when it is malformed."""
    change = message.WhichOneof("change")
    expected = message.expected_version
    if change == "delete_entry":
        key = decode_key(message.delete_entry.kind, message.delete_entry.name)
        return Delete(key, expected) if key else None
    entry = _decode_entry(message, change or "")
    return Put(entry, expected) if entry is not None else None


def decode_key(kind: pb.EntryKind.ValueType, name: str) -> cat.EntryKey | None:
    """Decodes the key of an entry; returns None when it is malformed."""
    known = KINDS.get(kind)
    return cat.EntryKey(known, name) if known and _has_name_form(known, name) else None


def _has_name_form(kind: cat.EntryKind, name: str) -> bool:
    """Tells whether a name has the form of its kind.

    A service is named `s`, an adapter and its routing rule `s/a`, a version `s/a@v`.
    """
    service, slash, rest = name.partition(MODEL_SEPARATOR)
    adapter, at, version = rest.partition(VERSION_SEPARATOR)
    separators, parts = _NAME_FORMS[kind]
    return slash + at == separators and _are_names(*(service, adapter, version)[:parts])


def _decode_entry(message: pb.Mutation, change: str) -> cat.Entry | None:
    decoders: dict[str, Callable[[], cat.Entry | None]] = {
        "put_service": lambda: _decode_service(message.put_service.service),
        "put_adapter": lambda: _decode_adapter(message.put_adapter.adapter),
        "put_version": lambda: _decode_version(message.put_version.version),
        "put_rule": lambda: _decode_rule(message.put_rule.rule),
    }
    decode = decoders.get(change)
    return decode() if decode else None


def _are_names(*parts: str) -> bool:
    return all(map(is_name, parts))


def _decode_service(msg: pb.Service) -> cat.Service | None:
    kind = SERVICE_KINDS.get(msg.kind)
    if kind is None or not _are_names(msg.name):
        return None
    fencing = tuple(msg.fencing_endpoints)
    return cat.Service(msg.name, kind, msg.base_model, fencing, msg.deadline_ms)


def _decode_adapter(msg: pb.Adapter) -> cat.Adapter | None:
    return cat.Adapter(msg.service, msg.name) if _are_names(msg.service, msg.name) else None


def _decode_version(msg: pb.Version) -> cat.Version | None:
    if not _are_names(msg.service, msg.adapter, msg.name):
        return None
    return cat.Version(msg.service, msg.adapter, msg.name, msg.weights, msg.bytes)


def _decode_rule(msg: pb.Rule) -> cat.Rule | None:
    versions = [split.version for split in msg.splits]
    if not _are_names(msg.service, msg.adapter, *versions):
        return None
    if not versions or len(set(versions)) < len(versions):
        return None
    if any(split.weight < 1 for split in msg.splits):
        return None
    splits = tuple(cat.Split(split.version, split.weight) for split in msg.splits)
    return cat.Rule(msg.service, msg.adapter, splits)


def encode_entry(stored: cat.Stored) -> pb.Entry:
    """Encodes a stored entry."""
    key = cat.key_of(stored.entry)
    message = pb.Entry(kind=KIND_VALUES[key.kind], name=key.name, version=stored.version)
    match stored.entry:
        case cat.Service() as service:
            message.service.CopyFrom(
                pb.Service(
                    name=service.name,
                    kind=SERVICE_KIND_VALUES[service.kind],
                    base_model=service.base_model,
                    fencing_endpoints=service.fencing_endpoints,
                    deadline_ms=service.deadline_ms,
                )
            )
        case cat.Adapter() as adapter:
            message.adapter.CopyFrom(pb.Adapter(service=adapter.service, name=adapter.name))
        case cat.Version() as version:
            message.adapter_version.CopyFrom(
                pb.Version(
                    service=version.service,
                    adapter=version.adapter,
                    name=version.name,
                    weights=version.weights,
                    bytes=version.bytes,
                )
            )
        case cat.Rule() as rule:
            splits = [pb.Split(version=s.version, weight=s.weight) for s in rule.splits]
            message.rule.CopyFrom(
                pb.Rule(service=rule.service, adapter=rule.adapter, splits=splits)
            )
    return message


def encode_change_reply(reply: ChangeReply) -> pb.MutateReply:
    """Encodes a reply about a change."""
    return pb.MutateReply(
        status=STATUSES[reply.status],
        change=reply.result.number if reply.result else 0,
        entry_version=reply.result.version if reply.result else 0,
        message=reply.message,
        lagging=[pb.Lagging(zone=each.zone, instance=each.instance) for each in reply.lagging],
        retry_after_s=reply.retry_after,
    )


def encode_outcome(req: Request | None, request_id: str, outcome: Outcome) -> pb.SubmitReply:
    """Encodes an outcome; `req` is None when no `Request` was made or it is no longer known."""
    reply = pb.SubmitReply(
        request_id=request_id, outcome=OUTCOMES[type(outcome)], message=describe(outcome)
    )
    if req is not None:
        reply.idempotency_key = req.key
    match outcome:
        case Answered(text=text, tokens=tokens, finish=finish):
            reply.text, reply.tokens, reply.finish = text, tokens, finish
            if req is not None and isinstance(req.work, Generate):
                reply.adapter = req.work.target.adapter
                reply.version = outcome.version or req.work.target.version
        case NotRun(reason=reason, retry_after=retry_after):
            reply.reason, reply.retry_after_s = reason, retry_after
        case Unknown(reason=reason):
            reply.reason = reason
        case Failed(reason=reason, status=status, body=body):
            reply.reason, reply.status, reply.text = reason, status, body
    return reply
