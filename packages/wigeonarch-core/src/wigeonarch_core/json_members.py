"""Decodes a JSON document member by member where it can't be decoded as a whole.

A document that holds the contents of several writers must not become unreadable because of one of
them. Here it is split into its members and elements by brackets and commas only, without looking
into them. So whatever a member holds, the others are found, and each is decoded by itself.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any, Final, TypeVar

import msgspec

from wigeonarch_core.decoding import decode_json

# A text as a whole, so that brackets in it don't count; a text without an end; a run of opening or
# of closing brackets; a separator.
_TOKEN: Final = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|"|[\[{]++|[\]}]++|[,:]', re.DOTALL)
_QUOTE: Final = b'"'
_OPENING: Final = frozenset(b"[{")
_CLOSING: Final = frozenset(b"]}")
_SEPARATORS: Final = (b",", b":")

Document = TypeVar("Document", bound=msgspec.Struct)


def decode_by_member(text: bytes, type_: type[Document]) -> Document:
    """Decodes a JSON object into a struct, each field of it by itself.

    Fields that are raw or lists of raw elements are not looked into. Unknown members are skipped.

    Raises:
        ValueError: A field is missing or can't be decoded, or this is no JSON object.
    """
    members = split_object(text)
    values: dict[str, Any] = {}
    for field in msgspec.structs.fields(type_):
        raw = members.get(field.encode_name)
        if raw is not None:
            values[field.name] = _decode_member(raw, field.type)
        elif field.required:
            raise msgspec.DecodeError(f"the field {field.encode_name!r} is missing")
    return type_(**values)


def split_object(text: bytes) -> dict[str, bytes]:
    """Returns the members of a JSON object, not decoded; the last of those with one name.

    Raises:
        ValueError: This is no JSON object.
    """
    pieces = _split(text, b"{")
    if len(pieces) % 2:
        raise msgspec.DecodeError("a member has no value")
    names = (decode_json(name, str) for name in pieces[::2])
    return dict(zip(names, pieces[1::2], strict=True))


def split_array(text: bytes) -> list[bytes]:
    """Returns the elements of a JSON array, not decoded.

    Raises:
        ValueError: This is no JSON array.
    """
    return _split(text, b"[")


def _decode_member(raw: bytes, type_: Any) -> Any:
    if type_ is msgspec.Raw:
        return msgspec.Raw(raw)
    if type_ == list[msgspec.Raw]:
        return [msgspec.Raw(element) for element in split_array(raw)]
    if isinstance(type_, type) and issubclass(type_, msgspec.Struct):
        return decode_by_member(raw, type_)
    return decode_json(raw, type_)


def _split(text: bytes, opening: bytes) -> list[bytes]:
    """Returns what stands between the separators of the outermost array or object."""
    text = text.strip()
    if text[:1] != opening:
        raise msgspec.DecodeError(f"the document doesn't begin with {opening.decode()}")
    ends = list(_separator_positions(text))
    starts = [1, *(end + 1 for end in ends[:-1])]
    pieces = [text[start:end].strip() for start, end in zip(starts, ends, strict=True)]
    if pieces == [b""]:
        return []
    if not all(pieces):
        raise msgspec.DecodeError("a member or an element is missing")
    return pieces


def _separator_positions(text: bytes) -> Iterator[int]:
    """Returns the positions of the outermost separators, and of the closing bracket last."""
    depth = 0
    for token in _TOKEN.finditer(text):
        first = text[token.start()]
        if first in _OPENING:
            depth += token.end() - token.start()
        elif first in _CLOSING:
            depth -= token.end() - token.start()
            if depth <= 0:
                break
        elif token[0] == _QUOTE:
            break
        elif depth == 1 and token[0] in _SEPARATORS:
            yield token.start()
    if depth != 0 or token.end() != len(text):
        raise msgspec.DecodeError("the brackets of the document don't match")
    yield len(text) - 1
