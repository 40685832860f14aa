"""Builds mutations of entries from the current entry and the command's arguments.

A mutation writes the whole entry, so an update copies the current entry and sets only the fields
that the operator gave. To create an entry, the current entry is an empty one.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import Final

from wigeonarch_schema import wigeonarch_pb2 as pb

from wigeonarch_ctl.names import EntryName

MutationBuilder = Callable[[pb.Entry, EntryName, argparse.Namespace], pb.Mutation]


def _put_service(entry: pb.Entry, name: EntryName, args: argparse.Namespace) -> pb.Mutation:
    service = pb.Service()
    service.CopyFrom(entry.service)
    service.name = name.service
    if args.kind is not None:
        service.kind = args.kind
    if args.base_model is not None:
        service.base_model = args.base_model
    if args.deadline is not None:
        service.deadline_ms = args.deadline
    if args.fencing_endpoint is not None:
        service.fencing_endpoints[:] = filter(None, args.fencing_endpoint)
    return pb.Mutation(put_service=pb.PutService(service=service))


def _put_adapter(_: pb.Entry, name: EntryName, __: argparse.Namespace) -> pb.Mutation:
    adapter = pb.Adapter(service=name.service, name=name.adapter)
    return pb.Mutation(put_adapter=pb.PutAdapter(adapter=adapter))


def _put_version(entry: pb.Entry, name: EntryName, args: argparse.Namespace) -> pb.Mutation:
    version = pb.Version()
    version.CopyFrom(entry.adapter_version)
    version.service, version.adapter, version.name = name.service, name.adapter, name.version
    if args.weights is not None:
        version.weights = args.weights
    if args.bytes is not None:
        version.bytes = args.bytes
    return pb.Mutation(put_version=pb.PutVersion(version=version))


def _put_rule(_: pb.Entry, name: EntryName, args: argparse.Namespace) -> pb.Mutation:
    rule = pb.Rule(service=name.service, adapter=name.adapter, splits=args.split)
    return pb.Mutation(put_rule=pb.PutRule(rule=rule))


BUILDERS: Final[dict[int, MutationBuilder]] = {
    pb.ENTRY_KIND_SERVICE: _put_service,
    pb.ENTRY_KIND_ADAPTER: _put_adapter,
    pb.ENTRY_KIND_VERSION: _put_version,
    pb.ENTRY_KIND_RULE: _put_rule,
}


def put_entry(entry: pb.Entry, name: EntryName, args: argparse.Namespace) -> pb.Mutation:
    """Returns the mutation that writes an entry with the arguments' values.

    Args:
        entry: The current entry; an empty one to create it.
        name: Name of the entry.
        args: The command's arguments, including `entry_kind` and `expected_version`.
    """
    mutation = BUILDERS[args.entry_kind](entry, name, args)
    mutation.expected_version = args.expected_version
    return mutation


def delete_entry(args: argparse.Namespace) -> pb.Mutation:
    """Returns the mutation that deletes the entry named by the arguments."""
    return pb.Mutation(
        delete_entry=pb.DeleteEntry(kind=args.entry_kind, name=args.name),
        expected_version=args.expected_version,
    )
