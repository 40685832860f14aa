"""Generation streams of the engine stand-in, which send chunks as they are or altered by faults."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec
from aiohttp import web

from wigeonarch_fakes import serving
from wigeonarch_fakes.engine_documents import Chunk, Faults
from wigeonarch_fakes.engine_model import Sequence

FOREIGN_DISPATCH: Final = "0.given-up"

ChunkTransform = Callable[[Chunk], list[Chunk]]


class Stream:
    """One stream, subject to the faults that were active when it was opened."""

    def __init__(
        self,
        request: web.Request,
        response: web.StreamResponse,
        faults: Faults,
        wait_while_frozen: Callable[[], Awaitable[None]],
    ) -> None:
        self._request = request
        self._response = response
        self._cut, self._silent = faults.cut_streams_after, faults.silent_after
        self._delay_s = faults.chunk_delay_ms / 1000
        self._transforms = _make_transforms(faults)
        self._wait_while_frozen = wait_while_frozen
        self._sent = 0

    async def send(self, sequence: Sequence, first: int) -> bool:
        """Send the chunks from number ``first`` to the final one; return whether all were sent."""
        position = first
        while not (serving.is_disconnected(self._request) or sequence.lost):
            chunk_added = sequence.chunk_added
            await self._wait_while_frozen()
            for chunk in sequence.chunks[position:]:
                position += 1
                if not await self._send_transformed(chunk):
                    return False
            if self._cut and self._sent >= self._cut:
                return False
            if sequence.ended_at is not None and position >= len(sequence.chunks):
                return True
            await chunk_added.wait()
        return False

    async def _send_transformed(self, chunk: Chunk) -> bool:
        """Send the transformed lines of a chunk; return whether the stream continues."""
        lines = [chunk]
        for transform in self._transforms:
            lines = [out for line in lines for out in transform(line)]
        for line in lines:
            if self._cut and self._sent >= self._cut:
                return False
            if self._silent and self._sent >= self._silent:
                await serving.never_answer(self._request)
                return False
            if self._delay_s:
                await asyncio.sleep(self._delay_s)
            await self._response.write(msgspec.json.encode(line) + b"\n")
            self._sent += 1
        return True


def _make_transforms(faults: Faults) -> list[ChunkTransform]:
    transforms: list[ChunkTransform] = []
    if faults.omit >= 0:
        transforms.append(_omit(faults.omit))
        # Applies to this stream only, so that a resumed stream gets the chunk.
        faults.omit = -1
    if faults.shuffle:
        transforms.append(_swap_pairs())
    if faults.foreign:
        transforms.append(_add_foreign)
    return transforms


def _omit(number: int) -> ChunkTransform:
    return lambda chunk: [] if chunk.seq == number else [chunk]


def _add_foreign(chunk: Chunk) -> list[Chunk]:
    foreign = msgspec.structs.replace(chunk, dispatch=FOREIGN_DISPATCH, text="not yours ")
    return [foreign, chunk]


def _swap_pairs() -> Callable[[Chunk], list[Chunk]]:
    """Return a transform that turns chunks 0, 1 into 1, 0, 0 and never holds back a final chunk."""
    held: list[Chunk] = []

    def swap(chunk: Chunk) -> list[Chunk]:
        if not held and not chunk.final:
            held.append(chunk)
            return []
        first = list(held)
        held.clear()
        return [chunk, *first, *first]

    return swap
