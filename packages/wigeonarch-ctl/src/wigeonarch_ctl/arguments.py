"""Argument types for `argparse`: each function validates an argument's text and converts it."""

from __future__ import annotations

import argparse
import math
from collections.abc import Callable
from typing import Final

from wigeonarch_schema import wigeonarch_pb2 as pb

from wigeonarch_ctl import texts
from wigeonarch_ctl.names import FORMS, parse_entry_name

UINT32_MAX: Final = 2**32 - 1
UINT64_MAX: Final = 2**64 - 1
INT32_MAX: Final = 2**31 - 1
INT32_MIN: Final = -(2**31)
MS_PER_S: Final = 1000
MAX_SECONDS: Final = UINT32_MAX // MS_PER_S


def entry_name(kind: int) -> Callable[[str], str]:
    """Returns an argument type that accepts names of entries of a kind."""

    def check(text: str) -> str:
        if parse_entry_name(kind, text) is None:
            message = texts.BAD_NAME.format(name=text, form=FORMS[kind])
            raise argparse.ArgumentTypeError(message)
        return text

    return check


def whole_number(minimum: int, maximum: int) -> Callable[[str], int]:
    """Returns an argument type that accepts integers from `minimum` to `maximum`."""

    def check(text: str) -> int:
        number = _parse_integer(text)
        if number is None or not minimum <= number <= maximum:
            message = texts.BAD_NUMBER.format(text=text, least=minimum, most=maximum)
            raise argparse.ArgumentTypeError(message)
        return number

    return check


def seconds_as_ms(text: str) -> int:
    """Parses a number of seconds and returns it in milliseconds, rounded up."""
    seconds = _parse_float(text)
    if not 0 <= seconds <= MAX_SECONDS:
        message = texts.BAD_SECONDS.format(text=text, most=MAX_SECONDS)
        raise argparse.ArgumentTypeError(message)
    return math.ceil(seconds * MS_PER_S)


def timeout(text: str) -> float:
    """Parses a timeout: a number of seconds above 0."""
    seconds = _parse_float(text)
    if not 0 < seconds <= MAX_SECONDS:
        message = texts.BAD_TIMEOUT.format(text=text, most=MAX_SECONDS)
        raise argparse.ArgumentTypeError(message)
    return seconds


def version_split(text: str) -> pb.Split:
    """Parses `VERSION=WEIGHT`, the traffic share of one adapter version in a rule."""
    version, _, weight = text.rpartition("=")
    number = _parse_integer(weight)
    if not version or number is None or not 1 <= number <= UINT32_MAX:
        message = texts.BAD_SPLIT.format(text=text, most=UINT32_MAX)
        raise argparse.ArgumentTypeError(message)
    return pb.Split(version=version, weight=number)


def _parse_integer(text: str) -> int | None:
    try:
        return int(text)
    except ValueError:
        return None


def _parse_float(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return math.nan
