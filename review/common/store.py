"""A stand-in of the platform's store: objects by kind and name, revisions, lists and watches.

An object's content is kept as the text that was written, so that an entry of another writer is
handed out as it came.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any, Final

from common import http11

PREFIX: Final = "/wigeonarch/objects/"


class Store:
    """The store.

    Attributes:
        address: Where it listens.
        revision: Revision of the last change.
    """

    def __init__(self) -> None:
        self.address = ""
        self.revision = 1
        self._objects: dict[tuple[str, str], tuple[int, str]] = {}
        self._events: list[tuple[int, str, str, str, bool]] = []
        self._changed = asyncio.Condition()

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        name = server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object as the operator or a replica does; returns its revision."""
        return await self.put_text(kind, name, json.dumps(spec))

    async def put_text(self, kind: str, name: str, text: str) -> int:
        """Writes an object whose content is any JSON text."""
        async with self._changed:
            revision = self._write(kind, name, text)
            self._changed.notify_all()
        return revision

    async def delete(self, kind: str, name: str) -> None:
        """Removes an object."""
        async with self._changed:
            found = self._objects.pop((kind, name), None)
            if found is not None:
                self.revision += 1
                self._events.append((self.revision, kind, name, found[1], True))
                self._changed.notify_all()

    def holder(self, endpoint: str) -> str:
        """Returns the gateway that owns an engine; empty if none does."""
        found = self._objects.get(("wigeonarch-holders", endpoint))
        return str(json.loads(found[1])["holder"]) if found else ""

    def _write(self, kind: str, name: str, text: str) -> int:
        before = self._objects.get((kind, name))
        if before is not None and before[1] == text:
            return before[0]
        self.revision += 1
        self._objects[kind, name] = (self.revision, text)
        self._events.append((self.revision, kind, name, text, False))
        return self.revision

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A handler that ends by a cancellation would be reported as an error at the end of a run.
        ended = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while (request := await http11.read_request(reader)) is not None:
                status, text = await self._answer(request)
                headers = {"Content-Type": "application/json", "Store-Era": "0"}
                writer.write(http11.encode_response(status, headers, text.encode()))
        writer.transport.abort()

    async def _answer(self, request: http11.Request) -> tuple[int, str]:
        kind, _, name = request.path.removeprefix(PREFIX).partition("/")
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query)
        if request.method == "GET" and not name:
            items = [
                _encode(n, revision, text)
                for (k, n), (revision, text) in sorted(self._objects.items())
                if k == kind
            ]
            body = f'{{"items":[{",".join(items)}],"truncated":false,"as_of":{self.revision}}}'
            return 200, body
        found = self._objects.get((kind, name))
        if request.method == "GET":
            return (200, _encode(name, *found)) if found else (404, "{}")
        if request.method == "DELETE":
            return await self._delete_if(kind, name, request.query.get("revision"))
        return await self._put_if(kind, name, json.loads(request.body), request.method)

    async def _delete_if(self, kind: str, name: str, revision: str | None) -> tuple[int, str]:
        found = self._objects.get((kind, name))
        if found is None:
            return 404, "{}"
        if revision is not None and int(revision) != found[0]:
            return 409, _encode(name, *found)
        await self.delete(kind, name)
        return 200, "{}"

    async def _put_if(
        self, kind: str, name: str, body: dict[str, Any], method: str
    ) -> tuple[int, str]:
        name = name or body["metadata"]["name"]
        async with self._changed:
            found = self._objects.get((kind, name))
            if method == "POST" and found is not None:
                return 409, _encode(name, *found)
            if method == "PUT" and found is None:
                return 404, "{}"
            wanted = body["metadata"].get("revision")
            if found is not None and wanted is not None and wanted != found[0]:
                return 409, _encode(name, *found)
            self._write(kind, name, json.dumps(body["spec"]))
            self._changed.notify_all()
            return 200, _encode(name, *self._objects[kind, name])

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, str]:
        since = int(query["watch"])

        def fresh() -> list[str]:
            return [
                f'{{"object":{_encode(name, revision, text)},"deleted":{json.dumps(deleted)}}}'
                for revision, k, name, text, deleted in self._events
                if k == kind and revision > since
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000), self._changed:
                await self._changed.wait_for(fresh)
        return 200, f'{{"events":[{",".join(fresh())}],"as_of":{self.revision}}}'


def _encode(name: str, revision: int, text: str) -> str:
    """Returns an object as the store hands it out."""
    metadata = json.dumps({"name": name, "revision": revision})
    return f'{{"metadata":{metadata},"spec":{text}}}'
