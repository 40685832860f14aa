"""The gRPC service `Catalogue` of the published schema: reads and changes the configuration."""

from __future__ import annotations

from typing import Final

import grpc
from wigeonarch_core.engine_report import MS_PER_SECOND
from wigeonarch_schema import wigeonarch_pb2 as pb
from wigeonarch_schema import wigeonarch_pb2_grpc as rpc

from wigeonarch_entry import wire
from wigeonarch_entry.rpccommon import Context, Dependencies, abort, abort_malformed

MAX_PAGE_SIZE: Final = 500


class CatalogueServicer(rpc.CatalogueServicer):
    """Implements the service `Catalogue`."""

    def __init__(self, deps: Dependencies) -> None:
        self._deps = deps

    async def Mutate(self, request: pb.MutateRequest, context: Context) -> pb.MutateReply:
        """Appends a change to the log and returns its status."""
        mutation = wire.decode_mutation(request.mutation)
        if mutation is None or not request.operation_id:
            await abort_malformed(context, "operation_id and a well-formed mutation are needed")
        wait = request.wait_ms / MS_PER_SECOND or self._deps.opts.timing.accept_wait
        reply = await self._deps.configuration.mutate(request.operation_id, mutation, wait)
        return wire.encode_change_reply(reply)

    async def GetChange(self, request: pb.GetChangeRequest, context: Context) -> pb.MutateReply:
        """Returns the status of an earlier change."""
        if request.WhichOneof("key") is None:
            await abort_malformed(context, "operation_id or change is needed")
        reply = await self._deps.configuration.change_status(
            request.operation_id, request.change, request.wait_ms / MS_PER_SECOND
        )
        if reply is None:
            await abort(context, grpc.StatusCode.NOT_FOUND, "no such change is known here")
        return wire.encode_change_reply(reply)

    async def GetEntry(self, request: pb.GetEntryRequest, context: Context) -> pb.Entry:
        """Returns one entry."""
        key = wire.decode_key(request.kind, request.name)
        if key is None:
            await abort_malformed(context, "kind and name are needed")
        stored = self._deps.catalogue.get(key)
        if stored is None:
            await abort(context, grpc.StatusCode.NOT_FOUND, f"no {key.kind} {key.name}")
        return wire.encode_entry(stored)

    async def ListEntries(
        self, request: pb.ListEntriesRequest, context: Context
    ) -> pb.ListEntriesReply:
        """Lists entries of a kind; the page token is the last name of the previous page."""
        kind = wire.KINDS.get(request.kind)
        if kind is None:
            await abort_malformed(context, "kind is needed")
        size = min(request.page_size or MAX_PAGE_SIZE, MAX_PAGE_SIZE)
        found = self._deps.catalogue.list(kind, request.page_token, size + 1)
        entries = [wire.encode_entry(stored) for stored in found[:size]]
        token = entries[-1].name if len(found) > size else ""
        return pb.ListEntriesReply(entries=entries, next_page_token=token)
