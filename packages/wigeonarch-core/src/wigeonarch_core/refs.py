"""References to adapter versions, and the rules for names in requests and orders."""

from __future__ import annotations

import re
from typing import Final

import msgspec

MODEL_SEPARATOR: Final = "/"
VERSION_SEPARATOR: Final = "@"
NAME_CHARS: Final = 128

# An operation becomes a part of a URL's path, so no character may need quoting, and it may not be
# `.` or `..`.
_OPERATION: Final = re.compile(r"(?!\.{1,2}\Z)[A-Za-z0-9._~-]{1,128}\Z")


class AdapterVersion(msgspec.Struct, frozen=True, order=True, array_like=True):
    """One version of an adapter of a service; held by an adapter slot and named by requests.

    Attributes:
        service: Name of the model service.
        adapter: Name of the adapter, unique within the service.
        version: Name of the version, unique within the adapter.
    """

    service: str
    adapter: str
    version: str

    def __str__(self) -> str:
        """Returns the form that callers use, for example `drafting/blend-7@v2`."""
        return f"{self.service}{MODEL_SEPARATOR}{self.adapter}{VERSION_SEPARATOR}{self.version}"


class ModelName(msgspec.Struct, frozen=True):
    """The `model` of a caller's request; without a version, the routing rule chooses it."""

    service: str
    adapter: str
    version: str = ""


def parse_model(text: str) -> ModelName | None:
    """Parses `service/adapter[@version]`; returns None when the text has another form."""
    service, found, rest = text.partition(MODEL_SEPARATOR)
    adapter, at, version = rest.partition(VERSION_SEPARATOR)
    if not (service and found and adapter) or (at and not version):
        return None
    if MODEL_SEPARATOR in rest or VERSION_SEPARATOR in version:
        return None
    return ModelName(service, adapter, version)


def is_name(text: str) -> bool:
    """Tells whether a text is a valid name of a service, an adapter or a version.

    Names are 1 to 128 printable characters without white space, `/` and `@`.
    """
    if not 0 < len(text) <= NAME_CHARS or not text.isprintable() or " " in text:
        return False
    return MODEL_SEPARATOR not in text and VERSION_SEPARATOR not in text


def is_operation(text: str) -> bool:
    """Tells whether a text is a valid name of an operation of a plain service."""
    return _OPERATION.match(text) is not None
