"""Soak check of streams while several software versions of their service serve side by side.

Callers leave streams in the middle and take them up again at any gateway. What a caller has in the
end must be one stream, written by one version, without a gap and without a repetition. Engines take
another version when they restart under their id, and their entries follow late.
"""

from __future__ import annotations

import asyncio
import random
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import aiohttp
from gateway_world import HOST
from standins.replica import Replica, encode_event

VERSIONS = ("v1", "v1.1", "v2")
EVENTS = 60  # Events of a whole stream.
MAX_TRIES = 4  # Attempts of a caller at one stream.
RETRY_PAUSE = 0.05  # Seconds.
EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+)(?: by (\S+))?\n\n")


@dataclass
class TakenUpStream:
    """A stream as its caller received it over several attempts.

    Attributes:
        attempts: Ids of the attempts that sent events, in order.
        body: The whole events.
        complete: Whether the last attempt was answered completely.
        was_left: Whether an attempt after the first one had events to go on from.
    """

    attempts: list[str] = field(default_factory=list)
    body: bytes = b""
    complete: bool = False
    was_left: bool = False


@dataclass
class StreamChecks:
    """Takes streams up again, and checks what callers then have.

    Attributes:
        rng: Random source of this class alone, so that its draws don't change the other ones.
        streams: The streams of all callers.
        sent: Ids of all attempts.
    """

    rng: random.Random
    streams: list[TakenUpStream] = field(default_factory=list)
    sent: list[str] = field(default_factory=list)

    def prepare(self, replicas: Sequence[Replica]) -> None:
        """Gives engines their versions and long streams."""
        engines = [replica for replica in replicas if replica.model]
        for number, engine in enumerate(engines):
            engine.events = EVENTS
            engine.software = VERSIONS[number % 2]

    def change_software(self, replica: Replica) -> None:
        """Gives an engine that restarts another version, or the same one."""
        if replica.model:
            replica.software = self.rng.choice(VERSIONS)

    def whole_streams(self) -> set[bytes]:
        """Returns the streams as each version writes them."""
        numbers = range(1, EVENTS + 1)
        return {b"".join(encode_event(n, version) for n in numbers) for version in VERSIONS}

    async def take_up_streams(
        self, caller: int, addresses: Sequence[str], is_stopping: Callable[[], bool]
    ) -> None:
        """Begins streams, leaves them and takes them up until the soak ends."""
        rng = random.Random(f"{self.rng.random()}-{caller}")
        number = 0
        while not is_stopping():
            number += 1
            stream = TakenUpStream()
            self.streams.append(stream)
            for attempt in range(MAX_TRIES):
                request_id = f"s{caller}-{number}-{attempt}"
                leave_after = rng.choice([EVENTS + 1, rng.randrange(1, EVENTS)])
                await self._attempt(stream, request_id, rng.choice(addresses), leave_after)
                if stream.complete:
                    break
                await asyncio.sleep(RETRY_PAUSE)

    async def _attempt(
        self, stream: TakenUpStream, request_id: str, address: str, leave_after: int
    ) -> None:
        self.sent.append(request_id)
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "3000"}
        headers |= {"X-Model": "m/a1", "X-Token-Counts": "100,20"}
        if stream.attempts:
            stream.was_left = True
            headers["Resumes"] = stream.attempts[0]
            headers["Last-Event-Id"] = EVENT.findall(stream.body)[-1][0].decode()
        received = b""
        try:
            async with (
                asyncio.timeout(6),
                aiohttp.ClientSession(auto_decompress=False) as session,
                session.post(f"http://{address}/draft/x", headers=headers) as resp,
            ):
                if resp.status != 200:
                    return
                async for part in resp.content.iter_any():
                    received += part
                    if received.count(b"\n\n") >= leave_after:
                        resp.close()
                        break
                else:
                    stream.complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        events = received[: received.rfind(b"\n\n") + 2] if b"\n\n" in received else b""
        if events:
            stream.attempts.append(request_id)
        stream.body += events

    def violations(self) -> list[str]:
        """Returns the streams that are not one version's, or have a gap or a repetition."""
        return [
            f"ORDER: {stream.attempts} got {found}"
            for stream in self.streams
            if (found := _find_fault(stream))
        ]

    def count(self) -> str:
        """Returns how many streams were whole, of those that were taken up and of the others."""
        taken_up = [stream.complete for stream in self.streams if stream.was_left]
        others = [stream.complete for stream in self.streams if not stream.was_left]
        return f"taken_up={sum(taken_up)}/{len(taken_up)} others={sum(others)}/{len(others)}"


def _find_fault(stream: TakenUpStream) -> str:
    """Returns what is wrong with a stream; empty if nothing is."""
    found = EVENT.findall(stream.body)
    if b"".join(encode_event(int(n), v.decode() or VERSIONS[0]) for n, _, v in found) != (
        stream.body
    ):
        return "bytes that are no event"
    if len({version for _, _, version in found}) > 1:
        return f"versions {sorted({version.decode() for _, _, version in found})}"
    numbers = [int(number) for number, _, _ in found]
    if numbers != list(range(1, len(numbers) + 1)):
        return f"events {numbers}"
    if stream.complete and len(numbers) != EVENTS:
        return f"{len(numbers)} events as a whole stream"
    return ""
