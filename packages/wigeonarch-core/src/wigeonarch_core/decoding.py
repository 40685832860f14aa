"""Decodes bytes of other processes, and raises nothing but `ValueError` for what can't be used.

Anybody may write to the store, send a datagram or answer a call, so any bytes may come. The
decoders of msgspec raise a `ValueError` for what is malformed or of another type, but a
`RecursionError` for values that are nested about as deep as the interpreter's stack, also where
such a value is an unknown field that is skipped. Nobody expects that, so that it would end the task
that reads. All bytes from outside are therefore decoded here, where it becomes a `NestingError`.

Values whose form isn't known yet are also checked for what fails later: one that is nested deep may
be decoded here and exceed the stack where it is converted or encoded, and MessagePack, in which
instances send them to each other, has no integers of more than 64 bits.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, TypeVar

import msgspec

MAX_DEPTH: Final = 64  # Lists and objects within one another; documents here have up to 6.
MIN_INTEGER: Final = -(2**63)
MAX_INTEGER: Final = 2**64 - 1
# Digits of a number in a text. Sums of thousands of such numbers fit into 64 bits, and quotients
# into a float.
MAX_DIGITS: Final = 12

Value = TypeVar("Value")


class NestingError(msgspec.DecodeError):
    """A value is nested too deep."""

    def __init__(self) -> None:
        super().__init__("a value is nested too deep")


class IntegerRangeError(msgspec.DecodeError):
    """An integer has more than 64 bits."""

    def __init__(self) -> None:
        super().__init__("an integer has more than 64 bits")


def json_decoder(type_: type[Value]) -> Callable[[bytes], Value]:
    """Returns a function that decodes JSON and raises a `ValueError` if that can't be done."""
    return _guarded(msgspec.json.Decoder(type_).decode)


def msgpack_decoder(type_: Any) -> Callable[[bytes], Any]:
    """Returns a function that decodes MessagePack and raises a `ValueError` if it can't.

    Args:
        type_: The type of the value; may be a union.
    """
    return _guarded(msgspec.msgpack.Decoder(type_).decode)


def decode_json(text: bytes | str, type_: type[Value]) -> Value:
    """Decodes JSON.

    Raises:
        ValueError: It is malformed, of another type or nested too deep.
    """
    try:
        return msgspec.json.decode(text, type=type_)
    except RecursionError:
        raise NestingError from None


def decode_json_value(text: bytes) -> Any:
    """Decodes JSON of any form into plain lists, dicts, texts and numbers.

    Raises:
        ValueError: It is malformed, nested too deep, or has an integer of more than 64 bits.
    """
    value = decode_json(text, object)
    check_plain_value(value)
    return value


def check_plain_value(value: object) -> None:
    """Checks that a decoded value of any form can be converted and encoded again.

    Raises:
        ValueError: It is nested too deep, or has an integer of more than 64 bits.
    """
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        inner: list[object] = []
        for one in level:
            if isinstance(one, dict):
                inner += one.values()
            elif isinstance(one, list):
                inner += one
            elif isinstance(one, int) and not MIN_INTEGER <= one <= MAX_INTEGER:
                raise IntegerRangeError
        if not inner:
            return
        level = inner
    raise NestingError


def read_whole_number(text: str) -> int | None:
    """Returns a number of decimal digits; None if it is none or has more than `MAX_DIGITS`."""
    if not (text.isascii() and text.isdecimal()) or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _guarded(decode: Callable[[bytes], Value]) -> Callable[[bytes], Value]:
    def decode_guarded(data: bytes) -> Value:
        try:
            return decode(data)
        except RecursionError:
            raise NestingError from None

    return decode_guarded
