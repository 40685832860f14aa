"""Tests of the encoding of messages: compression, and frames that can't be decoded."""

from __future__ import annotations

import zlib
from typing import get_args

import msgspec
import pytest
from gateway_world import world
from wigeonarch_gateway.messages import (
    MAX_DECOMPRESSED_BYTES,
    MIN_COMPRESSED_BYTES,
    CompressedFrame,
    CrashReport,
    FollowRequest,
    Message,
    PermitRequest,
    RateLimitUpdate,
    Relay,
    StoreUpdate,
    UpdateUnavailable,
    decode,
    encode,
)


def routes(count: int) -> StoreUpdate:
    spec = {"routes": [{"host": "shop.example", "service": "desk", "n": n} for n in range(count)]}
    return StoreUpdate("k", 0, 1, 2, 3, False, [("main", 2, spec, False)], 7)


@pytest.mark.parametrize(
    "message", [UpdateUnavailable("k", 1), FollowRequest("f", [(0, 12)], 3), routes(300)]
)
def test_a_decoded_message_equals_the_encoded_one(message: Message) -> None:
    assert decode(encode(message)) == message
    assert decode(encode(Relay(encode(message)))) == Relay(encode(message))


def test_a_long_repetitive_message_is_compressed() -> None:
    plain = msgspec.msgpack.encode(routes(300))
    assert len(plain) > 5 * MIN_COMPRESSED_BYTES
    assert len(encode(routes(300))) < len(plain) / 4


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode(CompressedFrame(b"not compressed")),
        msgspec.msgpack.encode(CompressedFrame(zlib.compress(b"\xc1"))),
        msgspec.msgpack.encode(CompressedFrame(zlib.compress(encode(routes(300))[:50]))),
        # Frames are compressed only once, so a nested one is not valid.
        msgspec.msgpack.encode(
            CompressedFrame(
                zlib.compress(msgspec.msgpack.encode(CompressedFrame(zlib.compress(b"x"))))
            )
        ),
        # A small frame that would exhaust the memory.
        msgspec.msgpack.encode(CompressedFrame(zlib.compress(bytes(20 * MAX_DECOMPRESSED_BYTES)))),
    ],
)
def test_an_invalid_frame_decodes_to_no_message(frame: bytes) -> None:
    assert decode(frame) is None


async def test_each_kind_of_message_has_a_receiver() -> None:
    async with world() as found:
        assert set(found.nodes[0]._receivers) == set(get_args(Message))


@pytest.mark.parametrize(
    ("fields", "message"),
    [
        (["limit", "a", "e", 1.5], RateLimitUpdate("a", "e", 1.5)),
        (["limit", "a", "e", None], RateLimitUpdate("a", "e", None)),
        (["permit", "a", "e", 7], PermitRequest("a", "e", 7)),
        (["ends", "a", [["k", "e@1", 5]], [], []], CrashReport("a", [("k", "e@1", 5)], [], [])),
    ],
)
def test_messages_of_other_builds_with_fewer_or_more_fields_are_read(
    fields: list[object], message: Message
) -> None:
    assert decode(msgspec.msgpack.encode(fields)) == message
    whole = msgspec.msgpack.decode(encode(message))
    assert decode(msgspec.msgpack.encode([*whole, "a field to come"])) == message
