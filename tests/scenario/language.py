"""Parses scenario files into sections and steps; an error names its file and line."""

from __future__ import annotations

import inspect
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from lark import Lark, Token, Tree, UnexpectedInput

GRAMMAR: Final = r"""
    start: _NL? section*
    section: "[" WORD WORD "]" _NL step*
    step: (WORD | STRING | option)+ [OPERATOR value] _NL
    option: KEY value
    value: WORD | STRING

    KEY.3: /[A-Za-z_][\w.]*=(?!=)/
    OPERATOR.2: "==" | "!=" | ">=" | "<=" | ">" | "<" | "~"
    WORD.1: /[^\s"=<>~!\[\]]+/
    STRING: /"[^"\n]*"/
    _NL: /(\r?\n[ \t]*(#[^\n]*)?)+/
    %ignore /[ \t]+/
"""
CONSTANTS: Final[dict[str, Any]] = {"true": True, "false": False, "null": None}

Function = Callable[..., Any]


class ScenarioError(Exception):
    """A mistake in a scenario file; the message names the file and line."""


@dataclass(frozen=True)
class Step:
    """One line: a verb with its arguments, and a comparison if it has one.

    Attributes:
        where: File and line, for messages.
        text: The line.
        words: The verb and its positional arguments.
        options: Its arguments of the form `key=value`.
        operator: Operator of the comparison; empty if there is none.
        value: Right side of the comparison.
    """

    where: str
    text: str
    words: tuple[Any, ...]
    options: dict[str, Any]
    operator: str = ""
    value: Any = None


@dataclass(frozen=True)
class Section:
    """A case, or a deployment: steps that several cases share."""

    kind: str
    name: str
    where: str
    steps: tuple[Step, ...]


_PARSER: Final = Lark(GRAMMAR, parser="lalr", propagate_positions=True)


def parse(text: str, name: str) -> list[Section]:
    """Parses the text of a file; `name` is the file's name in messages."""
    # The grammar expects a line end, which may contain a comment, before the first line and after
    # each line.
    try:
        tree = _PARSER.parse("\n" + text + "\n")
    except UnexpectedInput as exc:
        raise ScenarioError(f"{name}:{exc.line - 1}: {_short(exc)}") from None
    lines = text.split("\n")
    return [_section(each, name, lines) for each in tree.children if isinstance(each, Tree)]


def load(paths: Iterable[Path]) -> tuple[dict[str, Section], dict[str, Section]]:
    """Parses files; returns the cases and the deployments by name."""
    sections: dict[str, dict[str, Section]] = {"case": {}, "deployment": {}}
    for path in paths:
        for section in parse(path.read_text(), f"{path.parent.name}/{path.name}"):
            if section.kind not in sections:
                raise ScenarioError(f"{section.where}: a section is a case or a deployment")
            if section.name in sections[section.kind]:
                raise ScenarioError(f"{section.where}: {section.name} is there already")
            sections[section.kind][section.name] = section
    return sections["case"], sections["deployment"]


def function_of(step: Step, table: dict[str, Function]) -> Function:
    """Returns the function of a step's verb, after checking that the arguments fit it."""
    verb = str(step.words[0])
    if verb not in table:
        raise ScenarioError(f"{step.where}: no {verb!r}; there are {', '.join(sorted(table))}")
    try:
        inspect.signature(table[verb]).bind(None, *step.words[1:], **step.options)
    except TypeError as exc:
        raise ScenarioError(f"{step.where}: {verb}: {exc}") from None
    return table[verb]


def rest_of(step: Step, count: int = 1) -> Step:
    """Returns the step without its first `count` words."""
    if len(step.words) <= count:
        raise ScenarioError(f"{step.where}: something is missing after {step.words[-1]!r}")
    words = step.words[count:]
    return Step(step.where, step.text, words, step.options, step.operator, step.value)


def _short(exc: UnexpectedInput) -> str:
    return str(exc).splitlines()[0]


def _section(tree: Tree[Token], name: str, lines: list[str]) -> Section:
    kind, title = (str(token) for token in tree.children[:2])
    where = f"{name}:{tree.meta.line - 1}"
    steps = [_step(each, name, lines) for each in tree.children[2:] if isinstance(each, Tree)]
    return Section(kind, title, where, tuple(steps))


def _step(tree: Tree[Token], name: str, lines: list[str]) -> Step:
    number = tree.meta.line - 1
    words: list[Any] = []
    options: dict[str, Any] = {}
    operator, value = "", None
    for child in tree.children:
        if isinstance(child, Tree) and child.data == "option":
            key, argument = child.children
            options[str(key).rstrip("=")] = _value(argument)
        elif isinstance(child, Tree):
            value = _value(child)
        elif child is not None and child.type == "OPERATOR":
            operator = str(child)
        elif child is not None:
            words.append(_constant(child))
    if not words:
        raise ScenarioError(f"{name}:{number}: a step begins with its verb")
    return Step(
        f"{name}:{number}", lines[number - 1].strip(), tuple(words), options, operator, value
    )


def _value(tree: Any) -> Any:
    return _constant(tree.children[0])


def _constant(token: Token) -> Any:
    if token.type == "STRING":
        return str(token)[1:-1]
    text = str(token)
    if text in CONSTANTS:
        return CONSTANTS[text]
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text
